//! What the platform tells the program: a JSON file, and two variables that stand in for what it lacks.

use aldercrank::Settings;
use aldercrank_service_config::Service;
use aldercrank_versioned_config::VersionedConfig;
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the module is built round: it is as it was at the start.
const CORES: &str = "family_info.cores";

/// The rule book, where the service file names one.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The version that the fleet starts from.
    pub book: VersionedConfig,
    pub dir: Option<PathBuf>,
    pub read_list: bool,
    pub reach: BTreeMap<String, SocketAddr>,
    /// Something done wrong on purpose, so that a check is seen to find it; no file can set it.
    pub injected_fault: Option<aldercrank_consensus::InjectedFault>,
}

#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub pool: SocketAddr,
    pub members: SocketAddr,
    /// Not needed where no product makes calls.
    pub index: Option<SocketAddr>,
    /// From the notice to leave until the process is killed.
    pub stop: Duration,
    pub memory: usize,
    pub sockets: usize,
    /// The longest result, in bytes.
    pub result: usize,
    /// The platform's seed for this start.
    pub seed: String,
    /// The longest between reports that come to nothing, where the service file says so.
    pub reports_longest: Option<Duration>,
    /// Whether the service file asks for a log in JSON.
    pub json_log: bool,
    pub rules: Option<Rules>,
    /// How this server starts, by the service file.
    pub start: aldercrank_service_config::Start,
    pub settings: Settings,
}

/// What is wrong with a file, a line each.
fn said(path: &str, faults: &[aldercrank_service_config::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{path}:{fault}")).collect();
    lines.join("\n")
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names, or this one; and the service file, where there is one. Of the
    /// latter all that is wrong is said, a line each.
    pub fn load(path: Option<&str>, service: Option<&str>) -> Result<Config, String> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = path.map(str::to_string).or_else(|| var("ROUTER_CONFIG"));
        let path = path.ok_or("ROUTER_CONFIG is not set and no file was named")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let mut config = Config::parse(&text, var).map_err(|why| format!("{path}: {why}"))?;
        if let Some(path) = service {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
            let service = aldercrank_service_config::parse(&text).map_err(|faults| said(path, &faults))?;
            config.apply(&service)?;
        }
        Ok(config)
    }

    fn apply(&mut self, service: &Service) -> Result<(), String> {
        if let Some(kb) = service.results.longest_kb {
            self.result = kb as usize * 1024;
        }
        self.json_log = service.log.json;
        self.start = service.start.clone();
        self.reports_longest = service.reports.longest_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        if let Some(rules) = &service.rules {
            let text = std::fs::read_to_string(&rules.book).map_err(|e| format!("{}: {e}", rules.book))?;
            let book = VersionedConfig::parse(&text).map_err(|faults| said(&rules.book, &faults))?;
            if let Some(why) = book.incompatibilities(&self.settings, &self.name).first() {
                return Err(format!("{}: {why}", rules.book));
            }
            self.rules = Some(Rules {
                book,
                dir: rules.dir.as_ref().map(PathBuf::from),
                read_list: rules.read_list,
                reach: rules.reach.clone(),
                injected_fault: None,
            });
        }
        Ok(())
    }

    /// Which fields of a new configuration differ that can't change while serving.
    pub fn fixed(&self, new: &Config) -> Vec<&'static str> {
        let fields = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("limits.memory_mb", self.memory == new.memory),
            ("limits.sockets", self.sockets == new.sockets),
            ("results in the service file", self.result == new.result),
            ("reports in the service file", self.reports_longest == new.reports_longest),
            ("rules in the service file", self.rules == new.rules),
            ("start in the service file", self.start == new.start),
            ("cores of the settings", self.cores() == new.cores()),
            ("products of the settings", self.classes() == new.classes()),
        ];
        fields.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }

    /// Why a new configuration can't be meant for this server: it names another, or none of the products is known.
    /// Its addresses would be another customer's, so nothing of it may hold.
    pub fn foreign(&self, new: &Config) -> Option<String> {
        if self.name != new.name {
            return Some(format!("it names the server {}, and this is {}", new.name, self.name));
        }
        let (known, offered) = (self.classes(), new.classes());
        let shared = offered.iter().any(|name| known.contains(name));
        (!shared).then(|| {
            format!("it names the products {}, and here are {}", offered.join(", "), known.join(", "))
        })
    }

    fn cores(&self) -> Option<f64> {
        self.settings.num(CORES)
    }

    /// The products' names, in their order.
    fn classes(&self) -> Vec<&str> {
        let named = (0..).map_while(|i| self.settings.text(&format!("profiles.{i}.name")));
        named.collect()
    }

    /// The settings of a new configuration that may hold from now on: none where they are about other products.
    pub fn settings_of(&self, new: &Config) -> Option<Settings> {
        let mut settings = new.settings.clone();
        match self.cores() {
            Some(cores) => settings.set(CORES, aldercrank::Value::Num(cores)),
            None => drop(settings.0.remove(CORES)),
        }
        (self.classes() == new.classes() && settings.0 != self.settings.0).then_some(settings)
    }

    /// Takes the configuration's text; says in one line which field is missing or makes no sense.
    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let json: Json = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let word = |field: &str, or: &str| {
            let given = match json.get(field) {
                Some(Json::String(text)) => Some(text.clone()),
                Some(Json::Null) | None => None,
                Some(_) => return Err(format!("{field} is no text")),
            };
            given.or_else(|| var(or)).filter(|v| !v.is_empty()).ok_or(format!("{field} is missing"))
        };
        let addr = |field: &str, or: &str| {
            let text = word(field, or)?;
            text.parse().map_err(|_| format!("{field} is no address with a port: {text}"))
        };
        let count = |value: Option<&Json>, field: &str| {
            let n = value.ok_or(format!("{field} is missing"))?.as_f64();
            n.filter(|n| *n >= 1.0 && *n <= 1e9).ok_or(format!("{field} is no number of 1 or more"))
        };
        let limit = |field: &str| {
            let limits = json.get("limits").and_then(|l| l.get(field));
            count(limits, &format!("limits.{field}"))
        };
        let name = word("name", "ROUTER_NAME")?;
        if !name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b)) {
            return Err(format!("name is no plain word: {name}"));
        }
        let settings = json.get("settings").ok_or("settings are missing")?;
        if !settings.is_object() {
            return Err("settings are no object".to_string());
        }
        let settings = aldercrank_json_settings::settings(settings);
        if settings.text("profiles.0.name").is_none() {
            return Err("settings.profiles names no product".to_string());
        }
        let senseless = settings.senseless();
        if !senseless.is_empty() {
            return Err(format!("settings.{}", senseless.join(", settings.")));
        }
        let calls = settings.text("family_info.below") != Some("none");
        let sockets = limit("sockets")? as usize;
        if sockets < 32 {
            return Err("limits.sockets is under 32".to_string());
        }
        Ok(Config {
            name,
            result: crate::worker_pool::MAX_PAYLOAD_BYTES,
            seed: json.get("seed").and_then(Json::as_str).unwrap_or_default().to_string(),
            reports_longest: None,
            json_log: false,
            rules: None,
            start: Default::default(),
            listen: addr("listen", "ROUTER_LISTEN")?,
            pool: addr("pool", "")?,
            members: addr("members", "")?,
            index: if calls || json.get("index").is_some() { Some(addr("index", "")?) } else { None },
            stop: Duration::from_secs_f64(count(json.get("stop_ms"), "stop_ms")? / 1e3),
            memory: (limit("memory_mb")? * 1e6) as usize,
            sockets,
            settings,
        })
    }
}
