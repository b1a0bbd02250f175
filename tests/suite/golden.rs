//! Golden test: feeds generated events to admission control and compares every event and resulting action byte by byte
//! with `tests/golden/admission.txt`. The events depend only on fixed seeds and on the actions before them, so the
//! first difference shows where a decision has changed. The texts of log lines are not recorded.

use crate::model::settings;
use aldercrank::{
    Admission, CallerId, Host, IncomingRequest, Outcome, Permission, RequestId, Settings, Value,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

const EVENTS_PER_RECORDING: usize = 1500;
const MICROSECOND: Duration = Duration::from_micros(1);

/// A linear congruential generator, which yields the same numbers on every machine.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn unit(&mut self) -> f64 {
        self.below(1 << 20) as f64 / f64::from(1 << 20)
    }
}

/// Records the actions of admission control under their names in the simulator's protocol, and keeps the sets of
/// requests to which the next events can apply.
#[derive(Default)]
struct Recorder {
    text: String,
    running: BTreeMap<RequestId, Duration>,
    calling: BTreeSet<RequestId>,
    queued: BTreeSet<RequestId>,
    remembered: BTreeSet<RequestId>,
    wake_in: Option<Duration>,
    now: Duration,
}

impl Recorder {
    fn action(&mut self, line: String) {
        writeln!(self.text, "  {line}").expect("writing to a string succeeds");
    }

    fn forget_queued(&mut self, id: RequestId) {
        self.queued.remove(&id);
    }
}

impl Host for Recorder {
    fn start_run(&mut self, id: RequestId) {
        self.action(format!("Process {}", id.0));
        self.queued.remove(&id);
        self.running.insert(id, self.now);
    }
    fn stop_run(&mut self, id: RequestId) {
        self.action(format!("Stop {}", id.0));
    }
    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>, last: bool) {
        self.action(format!("SayNo {} hold_off={retry_after:?} last={last}", id.0));
        self.forget_queued(id);
    }
    fn fail(&mut self, id: RequestId) {
        self.action(format!("EndFailed {}", id.0));
        self.forget_queued(id);
    }
    fn remember(&mut self, id: RequestId, span: Duration) {
        self.action(format!("Remember {} for_time={span:?}", id.0));
        self.remembered.insert(id);
    }
    fn forget(&mut self, id: RequestId) {
        self.action(format!("Erase {}", id.0));
        self.remembered.remove(&id);
    }
    fn join_original(&mut self, id: RequestId) {
        self.action(format!("Join {}", id.0));
        self.queued.remove(&id);
        self.running.insert(id, self.now);
    }
    fn start_call(&mut self, id: RequestId, timeout: Duration) {
        self.action(format!("Dial {} give_up_after={timeout:?}", id.0));
        self.calling.insert(id);
    }
    fn skip_call(&mut self, id: RequestId) {
        self.action(format!("Skip {}", id.0));
    }
    fn set_health(&mut self, healthy: bool, stored: bool) {
        self.action(format!("Fitness enable={healthy} stored={stored}"));
    }
    fn close_idle(&mut self, span: Duration) {
        self.action(format!("CloseIdle for_time={span:?}"));
    }
    fn set_load_hint(&mut self, value: f64) {
        self.action(format!("Say {value:?}"));
    }
    fn set_timer(&mut self, after: Duration) {
        self.action(format!("Remind delay={after:?}"));
        self.wake_in = Some(self.now + after);
    }
    fn log(&mut self, _line: &str) {
        self.action("WriteLog".to_string());
    }
}

/// A simulated server: its settings, the share of arrivals, and the events generated for it.
struct Recording {
    random: Random,
    admission: Admission<Recorder>,
    settings: Settings,
    classes: u64,
    /// Percent of the events that are new requests.
    arrivals: u64,
    next_id: u32,
    draining: bool,
}

impl Recording {
    fn new(seed: u64, settings: Settings, classes: u64, arrivals: u64) -> Recording {
        let admission = Admission::new(&settings, Duration::ZERO, Recorder::default());
        Recording {
            random: Random(seed),
            admission,
            settings,
            classes,
            arrivals,
            next_id: 1,
            draining: false,
        }
    }

    fn pick(&mut self, from: &BTreeSet<RequestId>) -> Option<RequestId> {
        let count = from.len() as u64;
        (count > 0).then(|| self.random.below(count) as usize).and_then(|at| from.iter().nth(at).copied())
    }

    fn event(&mut self, line: &str) {
        let now = self.admission.host.now;
        writeln!(self.admission.host.text, "{} {line}", now.as_micros())
            .expect("writing to a string succeeds");
    }

    /// Advances the time by `span`, and fires the timer whenever it is due in between.
    fn advance(&mut self, span: Duration) {
        let until = self.admission.host.now + span;
        while let Some(at) = self.admission.host.wake_in.filter(|at| *at <= until) {
            self.admission.host.now = at;
            self.admission.host.wake_in = None;
            let running = self.admission.host.running.len() as f64;
            let runnable = (running * self.random.unit() * 1.2).round();
            let sockets = self.random.below(64) as f64;
            self.event(&format!("Alarm {runnable} {sockets}"));
            self.admission.timer_fired(at, &[runnable, sockets, 0.5, 0.4]);
        }
        self.admission.host.now = until;
    }

    fn outcome(&mut self) -> (Outcome, &'static str) {
        match self.random.below(40) {
            0 => (Outcome::Failed, "errored"),
            1 => (Outcome::Rejected, "saturated"),
            2 | 3 => (Outcome::TimedOut, "overdue"),
            4 => (Outcome::Unreachable, "refused_conn"),
            5 => (Outcome::ConnectionLost, "severed"),
            6 => (Outcome::Cancelled, "recalled"),
            7 => (Outcome::NeverStarted, "superseded"),
            _ => (Outcome::Completed, "completed"),
        }
    }

    fn new_request(&mut self) {
        let (id, now) = (RequestId(self.next_id), self.admission.host.now);
        self.next_id += 1;
        let class = format!("p{}", self.random.below(self.classes));
        let unread = MICROSECOND * self.random.below(30_000) as u32;
        let left = MICROSECOND * (20_000 + self.random.below(3_000_000) as u32);
        let deadline = self.random.chance(80).then_some(now + left);
        let remembered = self.admission.host.remembered.clone();
        let repeats = if self.random.chance(12) { self.pick(&remembered) } else { None };
        let tenant = ["t0", "t1", "nobody"].get(self.random.below(4) as usize).copied();
        let caller = self.random.below(12);
        let (rank, memory_kb) = (self.random.unit(), self.random.below(60) as f64);
        self.event(&format!(
            "NewRequest {} cls={class} user_group={tenant:?} drop_dead={deadline:?} footprint={memory_kb} \
             precedence={rank:?} by={caller} lay={unread:?} dup_of={repeats:?}",
            id.0,
            repeats = repeats.map(|first| first.0)
        ));
        self.admission.host.queued.insert(id);
        let incoming = IncomingRequest {
            class: &class,
            tenant,
            deadline,
            memory_kb,
            rank,
            caller: CallerId(caller),
            unread_time: unread,
            repeats,
            ..IncomingRequest::default()
        };
        self.admission.request_received(now, id, &incoming);
    }

    fn run_ended(&mut self) {
        let running: BTreeSet<RequestId> = self.admission.host.running.keys().copied().collect();
        let Some(id) = self.pick(&running) else { return };
        let now = self.admission.host.now;
        let (outcome, name) = self.outcome();
        let started_at = self.admission.host.running.remove(&id).unwrap_or(now);
        self.admission.host.calling.remove(&id);
        let took = now.saturating_sub(started_at);
        self.event(&format!("WoundUp {} result={name} duration={took:?}", id.0));
        self.admission.run_ended(now, id, outcome, took);
    }

    fn call_requested(&mut self) {
        let calling = &self.admission.host.calling;
        let idle: BTreeSet<RequestId> =
            self.admission.host.running.keys().filter(|id| !calling.contains(id)).copied().collect();
        let Some(id) = self.pick(&idle) else { return };
        self.event(&format!("Awaiting {}", id.0));
        self.admission.call_requested(self.admission.host.now, id);
    }

    fn call_ended(&mut self) {
        let calling = self.admission.host.calling.clone();
        let Some(id) = self.pick(&calling) else { return };
        self.admission.host.calling.remove(&id);
        let (outcome, name) = self.outcome();
        let took = MICROSECOND * (1_000 + self.random.below(250_000) as u32);
        self.event(&format!("CallEnded {} result={name} duration={took:?}", id.0));
        self.admission.call_ended(self.admission.host.now, id, outcome, took);
    }

    fn caller_gone(&mut self) {
        let mut known = self.admission.host.queued.clone();
        known.extend(self.admission.host.running.keys());
        let Some(id) = self.pick(&known) else { return };
        self.admission.host.queued.remove(&id);
        self.event(&format!("ClientGone {}", id.0));
        self.admission.caller_gone(self.admission.host.now, id);
    }

    fn change_permission(&mut self) {
        let (permission, name) = match self.random.below(4) {
            0 => (Permission::Nothing, "nothing"),
            1 => (Permission::Idempotent, "idempotent"),
            _ => (Permission::Everything, "everything"),
        };
        self.event(&format!("permission {name}"));
        self.admission.set_permission(self.admission.host.now, permission);
    }

    fn change_settings(&mut self) {
        let class = self.random.below(self.classes);
        let window = 1_000_000.0 * (4 + self.random.below(6)) as f64;
        let points = 1.0 + self.random.below(5) as f64;
        self.event(&format!("settings profiles.{class}.window={window} profiles.{class}.points={points}"));
        self.settings.set(&format!("profiles.{class}.window"), Value::Number(window));
        self.settings.set(&format!("profiles.{class}.points"), Value::Number(points));
        self.admission.apply_settings(self.admission.host.now, &self.settings);
    }

    fn drain(&mut self) {
        let now = self.admission.host.now;
        let stop = now + Duration::from_secs(4);
        self.draining = true;
        self.event(&format!("WindDown drop_dead={stop:?}"));
        self.admission.drain(now, stop);
    }

    fn step(&mut self) {
        let span = MICROSECOND * self.random.below(12_000) as u32;
        self.advance(span);
        match self.random.below(100) {
            roll if roll < self.arrivals => self.new_request(),
            roll if roll < 70 => self.run_ended(),
            roll if roll < 82 => self.call_requested(),
            roll if roll < 94 => self.call_ended(),
            roll if roll < 97 => self.caller_gone(),
            97 => self.change_permission(),
            98 => self.change_settings(),
            _ => {}
        }
    }

    fn record(mut self, name: &str) -> String {
        writeln!(self.admission.host.text, "run {name}").expect("writing to a string succeeds");
        for event in 0..EVENTS_PER_RECORDING {
            if event == EVENTS_PER_RECORDING - 150 && !self.draining {
                self.drain();
            }
            self.step();
        }
        self.advance(Duration::from_secs(30));
        self.admission.host.text
    }
}

fn number(settings: &mut Settings, name: &str, value: f64) {
    settings.set(name, Value::Number(value));
}

fn text(settings: &mut Settings, name: &str, value: &str) {
    settings.set(name, Value::Text(value.to_string()));
}

/// Optional upstream calls to a shared dependency, a load hint in the form of a window, and runs that can be stopped.
fn settings_with_calls() -> Settings {
    let mut settings = settings(&["retryable", "dedup", "once"]);
    text(&mut settings, "family_info.halt", "abort");
    text(&mut settings, "family_info.advert", "window");
    number(&mut settings, "family_info.worth_without.0", 0.6);
    number(&mut settings, "family_info.idle", 30_000_000.0);
    number(&mut settings, "family_info.calls_over", 5_000_000.0);
    number(&mut settings, "profiles.0.late_worth", 0.2);
    text(&mut settings, "family_info.meters.1", "sockets");
    settings
}

/// A cold start with little memory, tenants with quotas, and a deduplication window for idempotent requests.
fn settings_cold_with_tenants() -> Settings {
    let mut settings = settings(&["retryable", "dedup"]);
    settings.set("family_info.cold", Value::Flag(true));
    text(&mut settings, "family_info.advert", "share_of");
    number(&mut settings, "family_info.memory_kb", 3_000.0);
    number(&mut settings, "family_info.fresh_for", 400_000.0);
    for (tenant, quota) in [("t0", 12.0), ("t1", 40.0)].iter().enumerate() {
        text(&mut settings, &format!("tenants.{tenant}.name"), quota.0);
        number(&mut settings, &format!("tenants.{tenant}.quota_per_s"), quota.1);
    }
    number(&mut settings, "over_share_worth", 0.3);
    number(&mut settings, "peers_total", 2.0);
    settings
}

/// One core, the admission threshold as load hint, a caller whose requests are all rejected, and a class that is not
/// offered.
fn settings_small_with_threshold() -> Settings {
    let mut settings = settings(&["retryable", "dedup", "retryable"]);
    number(&mut settings, "family_info.cores", 1.0);
    text(&mut settings, "family_info.advert", "threshold");
    number(&mut settings, "rules.turned_away.0", 7.0);
    settings.set("profiles.2.offered", Value::Flag(false));
    settings.set("family_info.class_calls.0", Value::Flag(false));
    settings.set("limits.retry_after", Value::Flag(false));
    settings
}

#[test]
fn decisions_match_the_golden_file() {
    let mut record = String::new();
    record += &Recording::new(11, settings_with_calls(), 3, 45).record("with calls");
    record += &Recording::new(12, settings_cold_with_tenants(), 2, 55).record("cold with tenants");
    record += &Recording::new(13, settings_small_with_threshold(), 4, 35).record("small with threshold");
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/admission.txt");
    if std::env::var_os("RECORD_GOLDEN_FILES").is_some() {
        std::fs::write(&path, &record).expect("the golden file can be written");
    }
    let golden = std::fs::read_to_string(&path).expect("the golden file can be read");
    let different = golden.lines().zip(record.lines()).enumerate().find(|(_, (was, is))| was != is);
    if let Some((line, (was, is))) = different {
        panic!("tests/golden/admission.txt differs first at line {}: recorded '{was}', now '{is}'", line + 1);
    }
    assert_eq!(golden.len(), record.len(), "the lengths differ, although all common lines are equal");
}
