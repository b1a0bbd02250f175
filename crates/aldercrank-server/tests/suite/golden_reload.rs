//! Golden files of the comparison at a reload: for each change, the fields that can't change while serving, whether the
//! configuration belongs to another server, and which settings change.

use crate::compare;
use crate::golden_config::{changed, setting};
use aldercrank::Settings;
use aldercrank_server::config::Config;
use serde_json::{json, Value as Json};
use std::fmt::Write;
use std::path::PathBuf;

const VERSION: &str = "rules 8 {
    agree-within-ms 2000
    committee { n1 \"127.0.0.1:7001\"; n2 \"127.0.0.1:7002\"; n3 \"127.0.0.1:7003\"; }
    product \"licence-buy\" { points 5 }
}
";

/// Lists what differs between two sets of settings.
fn differences(before: &Settings, after: &Settings) -> String {
    let mut lines = String::new();
    for (name, value) in &after.0 {
        if before.0.get(name) != Some(value) {
            let previous = before.0.get(name).map_or("absent".to_string(), setting);
            writeln!(lines, "    {name}: {previous} -> {}", setting(value)).unwrap();
        }
    }
    for name in before.0.keys().filter(|name| !after.0.contains_key(*name)) {
        writeln!(lines, "    {name}: gone").unwrap();
    }
    lines
}

fn compared(old: &Config, new: &Config) -> String {
    let fixed = old.restart_only_changes(new);
    let mut lines =
        format!("  can't change: {}\n", if fixed.is_empty() { "nothing".into() } else { fixed.join("; ") });
    writeln!(
        lines,
        "  foreign: {}",
        old.foreign_reason(new).map_or("no".to_string(), |foreign| foreign.to_string())
    )
    .unwrap();
    match old.reloadable_settings(new) {
        None => writeln!(lines, "  settings: as they are").unwrap(),
        Some(settings) => write!(lines, "  settings:\n{}", differences(&old.settings, &settings)).unwrap(),
    }
    lines
}

fn parsed(changes: &[(&str, Json)]) -> Config {
    Config::parse(&changed(changes), |_| None).unwrap()
}

fn changes() -> Vec<Vec<(&'static str, Json)>> {
    let third = json!({"name": "third", "effect": "retryable"});
    vec![
        vec![],
        vec![("/name", json!("n2"))],
        vec![("/listen", json!("127.0.0.1:7002"))],
        vec![("/pool", json!("127.0.0.1:9301"))],
        vec![("/members", json!("127.0.0.1:8762"))],
        vec![("/index", json!("127.0.0.1:8901"))],
        vec![("/seed", json!("other"))],
        vec![("/stop_ms", json!(100))],
        vec![("/limits/memory_mb", json!(193))],
        vec![("/limits/sockets", json!(1025))],
        vec![("/settings/family_info/cores", json!(5))],
        vec![("/settings/family_info/cores", json!(null))],
        vec![("/settings/family_info/cores", json!(5)), ("/settings/rules/fall", json!(3))],
        vec![("/settings/family_info/calls_out", json!(8)), ("/settings/limits/retry_after", json!(null))],
        vec![("/settings/profiles/0/points", json!(9)), ("/settings/added", json!("x"))],
        vec![("/settings/profiles/-", third.clone())],
        vec![("/settings/profiles/0", json!(null))],
        vec![("/settings/profiles/0/name", json!("renamed"))],
        vec![("/settings/profiles", json!([{"name": "licence-buy"}, {"name": "map-extract"}]))],
        vec![("/settings/profiles", json!([third]))],
        vec![("/name", json!("n2")), ("/listen", json!("127.0.0.1:1")), ("/limits/sockets", json!(64))],
    ]
}

#[test]
fn a_reload_of_the_platforms_file_compares_as_recorded() {
    let old = parsed(&[]);
    let mut built = String::new();
    for change in changes() {
        let described: Vec<String> =
            change.iter().map(|(pointer, value)| format!("{pointer} = {value}")).collect();
        writeln!(built, "== {}\n{}", described.join(", "), compared(&old, &parsed(&change))).unwrap();
    }
    let without_cores = parsed(&[("/settings/family_info/cores", json!(null))]);
    writeln!(built, "== from no cores to some\n{}", compared(&without_cores, &old)).unwrap();
    compare::check("config/reload.txt", &built);
}

/// A temporary directory with a configuration and configuration versions, removed on drop.
struct ConfigDir(PathBuf);

impl ConfigDir {
    fn new() -> ConfigDir {
        let dir = std::env::temp_dir().join(format!("golden-reload-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("config.json"), changed(&[])).unwrap();
        std::fs::write(dir.join("rules.kdl"), VERSION).unwrap();
        std::fs::write(dir.join("rules-9.kdl"), VERSION.replace("rules 8", "rules 9")).unwrap();
        std::fs::write(dir.join("misfit.kdl"), VERSION.replace("licence-buy", "never-sold")).unwrap();
        std::fs::write(dir.join("bad.kdl"), VERSION.replace("points 5", "pionts 5")).unwrap();
        ConfigDir(dir)
    }

    /// Loads the configuration with this service file. `FOLDER` stands for the directory in the file and in the error.
    fn load(&self, service: &str) -> Result<Config, String> {
        let text = service.replace("FOLDER", self.0.to_str().unwrap());
        std::fs::write(self.0.join("service.kdl"), text).unwrap();
        let path = |name: &str| self.0.join(name).to_str().unwrap().to_string();
        let loaded = Config::load(Some(&path("config.json")), Some(&path("service.kdl")));
        loaded.map_err(|error| error.to_string().replace(self.0.to_str().unwrap(), "FOLDER"))
    }
}

impl Drop for ConfigDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const SERVICE_FILES: [&str; 14] = [
    "",
    "results { longest-kb 256 }",
    "results { longest-kb 1024 }",
    "reports { longest-ms 4000 }",
    "log { json #true }",
    "start { tell-share #true }",
    "rules { book \"FOLDER/rules.kdl\" }",
    "rules { book \"FOLDER/rules-9.kdl\" }",
    "rules { book \"FOLDER/rules.kdl\"; dir \"/d\"; read-list #true; reach { n2 \"127.0.0.1:7102\" } }",
    "rules { book \"FOLDER/misfit.kdl\" }",
    "rules { book \"FOLDER/bad.kdl\" }",
    "rules { book \"FOLDER/absent.kdl\" }",
    "rules { dir \"/d\" }",
    "resluts { longest-kb 1 }\nlog { json 3 }",
];

#[test]
fn a_reload_of_the_service_file_compares_as_recorded() {
    let dir = ConfigDir::new();
    let (without_version, with_version) =
        (dir.load(SERVICE_FILES[0]).unwrap(), dir.load(SERVICE_FILES[6]).unwrap());
    let mut built = String::new();
    for service in SERVICE_FILES {
        let outcome = match dir.load(service) {
            Err(error) => format!("  error: {error}\n"),
            Ok(new) => format!(
                "{}  against no service file:\n{}  against rules alone:\n{}",
                crate::golden_config::service_fields(&new),
                compared(&without_version, &new),
                compared(&with_version, &new)
            ),
        };
        writeln!(built, "== {service}\n{outcome}").unwrap();
    }
    compare::check("config/reload-service-file.txt", &built);
}
