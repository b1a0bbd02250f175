//! Reads scenarios from KDL documents. All errors of a document are reported, each with its line and column.

use super::defaults::default_class;
use super::error::{ScenarioError, ScenarioErrors};
use super::model::{InjectedViolation, RequestClass, Scenario, VersionedConfigSettings};
use crate::edge_nodes::{ConnectionUsage, ServerChoice};
use crate::invariant_checker::Effect;
use crate::kdl_properties::NodeProperties;
use aldercrank_service_config::Reader;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The greatest nesting depth of includes.
const MAX_INCLUDE_DEPTH: usize = 8;

/// Reads a file that a document includes by its name, and adds the file's errors to the list. Returns a message if the
/// document may not include the file.
type Include<'a> = dyn FnMut(&mut Scenario, &str, &mut Vec<ScenarioError>) -> Option<String> + 'a;

/// The names of the nodes of a document.
const NODES: [&str; 15] = [
    "name",
    "from-start",
    "include",
    "seed",
    "seconds",
    "fleet",
    "product",
    "callers",
    "index",
    "list",
    "at",
    "bounds",
    "rules",
    "start",
    "sabotage",
];

pub(super) fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

pub(super) fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Overwrites `target` if the document has a valid value.
fn set<T>(target: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *target = value;
    }
}

/// Like `set`, for a target that may be absent.
fn set_some<T>(target: &mut Option<T>, value: Option<T>) {
    if value.is_some() {
        *target = value;
    }
}

impl Scenario {
    /// Reads a file and the files that it includes.
    ///
    /// # Errors
    /// All errors of the files, or else the first contradiction between parts of the scenario.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioErrors> {
        let mut scenario = Scenario::default();
        let mut errors = Vec::new();
        scenario.read_file(path, &mut errors, 0);
        scenario.into_validated(errors, &format!("{}: ", path.display()))
    }

    /// Reads a document that may not include others.
    ///
    /// # Errors
    /// All errors of the document, or else the first contradiction between parts of the scenario.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioErrors> {
        let mut scenario = Scenario::default();
        let mut errors = Vec::new();
        scenario.read(text, "", &mut errors, &mut |_, _, _| {
            Some("only a scenario file can include another".into())
        });
        scenario.into_validated(errors, "")
    }

    fn into_validated(self, errors: Vec<ScenarioError>, file: &str) -> Result<Scenario, ScenarioErrors> {
        if !errors.is_empty() {
            return Err(ScenarioErrors(errors));
        }
        let file = file.to_string();
        match self.validate() {
            Ok(()) => Ok(self),
            Err(contradiction) => {
                Err(ScenarioErrors(vec![ScenarioError::Contradictory { file, contradiction }]))
            }
        }
    }

    fn read_file(&mut self, path: &Path, errors: &mut Vec<ScenarioError>, depth: usize) {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(source) => {
                return errors.push(ScenarioError::Unreadable { path: path.to_path_buf(), source })
            }
        };
        let folder: PathBuf = path.parent().unwrap_or(Path::new(".")).to_path_buf();
        self.read(&text, &format!("{}:", path.display()), errors, &mut |scenario, name, errors| {
            if depth >= MAX_INCLUDE_DEPTH {
                return Some(format!("includes are nested more than {MAX_INCLUDE_DEPTH} deep"));
            }
            scenario.read_file(&folder.join(name), errors, depth + 1);
            None
        });
    }

    fn read(&mut self, text: &str, file: &str, errors: &mut Vec<ScenarioError>, include: &mut Include) {
        let mut reader = Reader::new(text);
        if let Some(document) = reader.parse_document() {
            for node in document.nodes() {
                let name = node.name().value();
                if !NODES.contains(&name) {
                    reader.record_unknown_name(node.name().span().offset(), name, &NODES);
                    continue;
                }
                let mut properties = NodeProperties::new(&mut reader, node);
                if name == "include" {
                    let included = properties.string_argument("file name");
                    if let Some(message) = included.and_then(|name| include(self, &name, errors)) {
                        properties.report_error(message);
                    }
                } else {
                    self.read_node(name, &mut properties);
                }
                properties.reject_unread();
            }
        }
        let faults = reader.into_faults();
        let messages = faults.iter().map(|fault| fault.to_string());
        errors.extend(messages.map(|message| ScenarioError::Document { file: file.to_string(), message }));
    }

    fn read_node(&mut self, name: &str, properties: &mut NodeProperties) {
        match name {
            "name" => set(&mut self.name, properties.string_argument("scenario name")),
            "seed" => {
                set(&mut self.seed, properties.number_argument("seed", 0.0, 9e15).map(|n| n as u64));
            }
            "from-start" => set(&mut self.from_start, Some(true)),
            "seconds" => {
                set(
                    &mut self.span,
                    properties.number_argument("duration in seconds", 0.5, 86_400.0).map(seconds),
                );
            }
            "fleet" => self.read_fleet(properties),
            "product" => self.read_class(properties),
            "callers" => self.read_callers(properties),
            "index" => self.read_index(properties),
            "list" => self.read_membership(properties),
            "rules" => self.read_versioned_config(properties),
            "start" => set(&mut self.start.report_share, properties.flag("tell-share")),
            "at" => self.read_step(properties),
            "bounds" => self.read_bounds(properties),
            _ => self.read_injected_violation(properties),
        }
    }

    fn read_index(&mut self, properties: &mut NodeProperties) {
        let index = &mut self.index;
        set(&mut index.slots, properties.number("slots", 1.0, 1e6));
        set(&mut index.limit, properties.number("limit", 1.0, 1e6));
        set(&mut index.call_duration, properties.number("take-ms", 0.1, 1e5).map(milliseconds));
        set(&mut index.cold_slowdown, properties.number("cold", 1.0, 100.0));
        set(&mut index.calls_to_warm, properties.number("warming", 1.0, 1e6).map(|n| n as u32));
    }

    fn read_membership(&mut self, properties: &mut NodeProperties) {
        let callers = &mut self.callers;
        set(&mut self.membership_capacity, properties.number("capacity", 0.1, 1e6));
        set(&mut callers.membership_lag, properties.number("lag-ms", 0.0, 20_000.0).map(milliseconds));
        let refresh = properties.number("learn-ms", 10.0, 20_000.0);
        set(&mut callers.membership_refresh, refresh.map(milliseconds));
    }

    fn read_bounds(&mut self, properties: &mut NodeProperties) {
        let bounds = &mut self.bounds;
        set_some(&mut bounds.value, properties.number("value", 0.0, 1.0));
        set_some(&mut bounds.of_calm, properties.number("of-calm", 0.0, 2.0));
        set_some(&mut bounds.idempotent_of_calm, properties.number("inquiry-of-calm", 0.0, 2.0));
        set_some(&mut bounds.membership_per_second, properties.number("list-second", 0.0, 1e6));
        set_some(&mut bounds.membership_per_tenth, properties.number("list-tenth", 0.0, 1e6));
        set_some(
            &mut bounds.membership_rejected,
            properties.number("list-refused", 0.0, 1e9).map(|n| n as u64),
        );
        set_some(&mut bounds.listed_by, properties.number("listed-by", 0.0, 86_400.0).map(seconds));
        set_some(&mut bounds.acted, properties.number("acted", 0.0, 1e9).map(|n| n as u64));
        set_some(&mut bounds.free_p99_ms, properties.number("free-p99-ms", 0.0, 1e6));
        set_some(&mut bounds.fenced_p99_ms, properties.number("fenced-p99-ms", 0.0, 1e6));
        set_some(&mut bounds.cut_off_idempotent_of_calm, properties.number("cut-inquiry-of-calm", 0.0, 2.0));
        set_some(&mut bounds.collapses, properties.number("collapses", 0.0, 1e9).map(|n| n as u64));
        set_some(&mut bounds.flaps, properties.number("flaps", 0.0, 1e9).map(|n| n as u64));
        set_some(&mut bounds.steady, properties.number("steady", 0.0, 1e6));
        set_some(&mut bounds.crowded, properties.number("crowded", 0.0, 1e6));
        set_some(&mut bounds.index_most, properties.number("index-most", 0.0, 1e9).map(|n| n as u64));
        set_some(&mut bounds.across, properties.number("across", 0.0, 1e9).map(|n| n as u64));
    }

    fn read_injected_violation(&mut self, properties: &mut NodeProperties) {
        let keywords = [
            "lose-answer",
            "double-run",
            "late-start",
            "swap-result",
            "overrun",
            "double-answer",
            "lose-last-answer",
            "ignore-term",
        ];
        let violations = [
            InjectedViolation::LoseAnswer,
            InjectedViolation::DoubleRun,
            InjectedViolation::LateStart,
            InjectedViolation::SwapResult,
            InjectedViolation::Overrun,
            InjectedViolation::DoubleAnswer,
            InjectedViolation::LoseLastAnswer,
            InjectedViolation::IgnoreTerm,
        ];
        let index = properties.keyword_argument("violation", &keywords);
        self.injected_violation = index.map(|i| violations[i]);
    }

    fn read_fleet(&mut self, properties: &mut NodeProperties) {
        let fleet = &mut self.fleet;
        set(&mut fleet.servers, properties.number("servers", 1.0, 2000.0).map(|n| n as usize));
        set(&mut fleet.zones, properties.number("zones", 1.0, 26.0).map(|n| n as usize));
        set(&mut fleet.cores, properties.number("cores", 1.0, 256.0));
        set(&mut fleet.admission_memory_kb, properties.number("memory-kb", 100.0, 1e9));
        set(&mut fleet.starts_cold, properties.flag("cold"));
        set(&mut fleet.cold_speed, properties.number("cold-from", 0.05, 1.0));
        set(&mut fleet.warm_up, properties.number("warm-ms", 1.0, 1e6).map(milliseconds));
        set(&mut fleet.warm_up_factor, properties.number("warms-times", 0.1, 100.0));
        set(&mut fleet.stop_timeout, properties.number("stop-ms", 200.0, 60_000.0).map(milliseconds));
        set(&mut fleet.drain_grace, properties.number("grace-ms", 0.0, 60_000.0).map(milliseconds));
        set(&mut fleet.answer_slack, properties.number("slack-ms", 10.0, 1000.0).map(milliseconds));
        set(&mut fleet.process_memory_mb, properties.number("memory-mb", 8.0, 1e5));
        set(&mut fleet.max_sockets, properties.number("sockets", 32.0, 65_536.0).map(|n| n as usize));
    }

    fn read_class(&mut self, properties: &mut NodeProperties) {
        let Some(name) = properties.string_argument("class name") else { return };
        let index = self.classes.iter().position(|class| class.name == name).unwrap_or_else(|| {
            self.classes.push(RequestClass { name, ..default_class() });
            self.classes.len() - 1
        });
        let class = &mut self.classes[index];
        let effects = [Effect::Idempotent, Effect::Keyed, Effect::Unsafe];
        let effect = properties.keyword("effect", &["inquiry-like", "referenced", "once-only"]);
        set(&mut class.effect, effect.map(|i| effects[i]));
        set(&mut class.share, properties.number("share", 0.0, 1e6));
        set(&mut class.value, properties.number("value", 0.0, 1e6));
        set(&mut class.late_share, properties.number("late", 0.0, 1.0));
        set(&mut class.work, properties.number("work-ms", 0.1, 60_000.0).map(milliseconds));
        set(&mut class.call_probability, properties.number("calls", 0.0, 1.0));
        set(&mut class.degraded_share, properties.number("without", 0.0, 1.0));
        set(&mut class.latency_target, properties.number("sla-ms", 10.0, 60_000.0).map(milliseconds));
        set(&mut class.deadline, properties.number("expiry-ms", 20.0, 120_000.0).map(milliseconds));
        set(&mut class.dedup_window, properties.number("window-ms", 100.0, 600_000.0).map(milliseconds));
        set(&mut class.memory_kb, properties.number("memory-kb", 0.1, 2000.0));
        set(&mut class.body_length, properties.number("body", 0.0, 2048.0).map(|n| n as usize));
    }

    fn read_callers(&mut self, properties: &mut NodeProperties) {
        let callers = &mut self.callers;
        let policy = &mut callers.policy;
        set(&mut callers.rate, properties.number("rate", 0.1, 1e6));
        set(&mut callers.edges, properties.number("edges", 1.0, 1000.0).map(|n| n as usize));
        let choices = [
            ServerChoice::RoundRobin,
            ServerChoice::LeastOpenCalls,
            ServerChoice::TwoChoices,
            ServerChoice::Sticky,
        ];
        let choice = properties.keyword("choose", &["round-robin", "least-open", "two-choices", "sticky"]);
        set(&mut policy.server_choice, choice.map(|i| choices[i]));
        set(&mut policy.max_attempts, properties.number("tries", 1.0, 100.0).map(|n| n as u32));
        if let Some(timeout) = properties.number("patience-ms", 0.0, 120_000.0) {
            policy.attempt_timeout = (timeout > 0.0).then(|| milliseconds(timeout));
        }
        set(&mut policy.follows_advice, properties.flag("heeds"));
        set(&mut policy.retry_budget, properties.number("retry-budget", 0.0, 1000.0));
        if let Some(interval) = properties.number("checks-ms", 0.0, 60_000.0) {
            policy.health_check_interval = (interval > 0.0).then(|| milliseconds(interval));
        }
        set(&mut policy.max_connections, properties.number("connections", 1.0, 100.0).map(|n| n as usize));
        set(&mut policy.idle_timeout, properties.number("idle-ms", 100.0, 600_000.0).map(milliseconds));
        set(&mut policy.cancel_probability, properties.number("leave", 0.0, 1.0));
        set(&mut policy.retries_keyed_after_failure, properties.flag("again"));
        set_some(
            &mut policy.split_write_delay,
            properties.number("pieces-ms", 0.1, 1000.0).map(milliseconds),
        );
        let usages = [ConnectionUsage::WhileListed, ConnectionUsage::UntilClosing, ConnectionUsage::UntilEnd];
        let usage = properties.keyword("use", &["while-listed", "until-closing", "until-end"]);
        set(&mut policy.connection_usage, usage.map(|i| usages[i]));
    }

    fn read_versioned_config(&mut self, properties: &mut NodeProperties) {
        let mut settings = self.versioned_config.take().unwrap_or(VersionedConfigSettings {
            committee: 3,
            decision_bound: Duration::from_secs(2),
            alone_for: Duration::from_secs(60),
            has_disks: false,
            initial_items: String::new(),
        });
        set(&mut settings.committee, properties.number("committee", 1.0, 9.0).map(|n| n as usize));
        set(&mut settings.decision_bound, properties.number("within-ms", 500.0, 60_000.0).map(milliseconds));
        set(&mut settings.alone_for, properties.number("alone-ms", 1000.0, 86_400_000.0).map(milliseconds));
        set(&mut settings.has_disks, properties.flag("disks"));
        set(&mut settings.initial_items, properties.string("set"));
        self.versioned_config = Some(settings);
    }
}
