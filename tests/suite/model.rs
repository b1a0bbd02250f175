//! A simple model of a server, used as the host of admission control. It checks four rules:
//!
//! 1. Every request gets exactly one answer, in time.
//! 2. A request runs at most as often as its effect allows.
//! 3. Nothing starts late in a drain, and all requests are answered before its end.
//! 4. No limit is exceeded.

use aldercrank::{Admission, CallerId, Effect, Host, IncomingRequest, Outcome, RequestId, Settings, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
/// The remaining wait of most requests.
pub const LONG_WAIT_MS: u32 = 2500;

/// The stage that a request has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Queued,
    Joined,
    Running,
    AwaitingCall,
    Calling,
    Ended,
}

/// The state of a request in the model.
#[derive(Clone, Debug, Default)]
pub struct ModelRequest {
    pub stage: Stage,
    pub class: usize,
    pub arrived_at: Duration,
    pub deadline: Duration,
    pub read_at: Duration,
    pub key: Option<u8>,
    pub repeats: Option<RequestId>,
    pub memory_kb: f64,
    pub answers: u32,
    pub ran: bool,
    pub caller_gone: bool,
    /// Whether an upstream call that may have taken effect has been made.
    pub call_may_have_run: bool,
}

/// A deduplication entry.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The request that the entry was created for.
    pub holder: RequestId,
    pub since: Duration,
    pub until: Duration,
}

#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub notified_at: Duration,
    pub stops_at: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub id: RequestId,
    pub retry_after: Option<Duration>,
    pub last: bool,
}

#[derive(Default)]
pub struct Model {
    pub now: Duration,
    pub requests: BTreeMap<RequestId, ModelRequest>,
    pub entries: BTreeMap<u8, Entry>,
    pub effects: Vec<Effect>,
    pub settings: Settings,
    pub drain: Option<Drain>,
    pub timer_at: Option<Duration>,
    /// Runs that end at the next step of [`Scenario::advance`], with their outcomes.
    pub ending_runs: Vec<(RequestId, Outcome)>,
    pub violations: Vec<String>,
    pub load_hints: Vec<f64>,
    pub idle_timeout: Duration,
    /// Timeouts of the upstream calls made so far.
    pub call_timeouts: Vec<Duration>,
    pub rejected: Vec<Rejection>,
    pub healthy: bool,
}

impl Model {
    fn violation(&mut self, what: &str, id: RequestId) {
        let line = format!("{what}: {id:?} at {:?}, {:?}", self.now, self.requests.get(&id));
        self.violations.push(line);
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        self.settings.number(name).unwrap_or(default)
    }

    pub fn count(&self, stage: Stage) -> usize {
        self.requests.values().filter(|request| request.stage == stage).count()
    }

    /// Rule 4. Limits hold at every moment, not only on average.
    fn check_limits(&mut self, id: RequestId) {
        let memory_kb = |request: &ModelRequest| match request.stage {
            Stage::Ended => 0.0,
            Stage::Queued | Stage::Joined => request.memory_kb,
            _ => request.memory_kb * self.number("family_info.run_factor", 8.0),
        };
        let entries = self.entries.values().filter(|entry| entry.until > self.now).count() as f64;
        let used: f64 = self.requests.values().map(memory_kb).sum::<f64>()
            + entries * self.number("family_info.key_kb", 0.0);
        let cold = self.settings.flag("family_info.cold") == Some(true);
        let warmth = self.now.as_secs_f64() / (self.number("rules.warm_after", 0.0) / 1e6);
        let speed = if cold { 0.2 + 0.8 * warmth.min(1.0) } else { 1.0 };
        let cores = self.number("family_info.cores", 1.0).max(1.0);
        let limit = cores * (1.0 + (self.number("rules.fall_multiple", 2.0) - 1.0) * speed);
        if used > self.number("family_info.memory_kb", f64::MAX) {
            self.violation("memory limit exceeded", id);
        }
        if self.count(Stage::Running) as f64 > limit {
            self.violation("number of runs at which the server collapses exceeded", id);
        }
    }

    fn answer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.violation("answer to an unknown request", id);
        };
        request.answers += 1;
        let (twice, stage) = (request.answers > 1, request.stage);
        match stage {
            Stage::Queued | Stage::Joined => request.stage = Stage::Ended,
            Stage::AwaitingCall | Stage::Calling => self.ending_runs.push((id, Outcome::Cancelled)),
            _ => {}
        }
        if twice {
            self.violation("answered twice", id);
        }
    }

    /// Rule 1, and from the end of a drain on rule 3.
    pub fn check_answered(&mut self) {
        let slack = Duration::from_micros(self.number("rules.answer_slack", 40_000.0) as u64);
        let stop = self.drain.map_or(Duration::MAX, |drain| drain.stops_at);
        let is_open = |request: &ModelRequest| request.answers == 0 && !request.caller_gone;
        let is_late = |request: &ModelRequest| {
            self.now > request.deadline.max(request.read_at) + slack
                || self.now >= stop.max(request.read_at + slack)
        };
        let unanswered = self.requests.iter().find(|(_, r)| is_open(r) && is_late(r)).map(|(id, _)| *id);
        if let Some(id) = unanswered {
            self.violation("not answered in time", id);
        }
    }
}

#[derive(Clone, Default)]
pub struct SharedModel(pub Rc<RefCell<Model>>);

impl Host for SharedModel {
    fn start_run(&mut self, id: RequestId) {
        let mut model = self.0.borrow_mut();
        let Some(request) = model.requests.get(&id).cloned() else {
            return model.violation("start of an unknown request", id);
        };
        if request.stage != Stage::Queued || request.caller_gone {
            return model.violation("start of a request that is not queued", id);
        }
        let window = model.number(&format!("profiles.{}.window", request.class), 0.0) as u64;
        let effect = model.effects[request.class];
        let senders_stop_within =
            Duration::from_micros(model.number("rules.stop_sending_within", 0.0) as u64);
        let is_original_that_ran = |other: &ModelRequest| {
            let in_window =
                request.arrived_at.saturating_sub(other.arrived_at) <= Duration::from_micros(window);
            other.ran && in_window && other.key == request.key && effect == Effect::Keyed
        };
        if model.requests.values().any(is_original_that_ran) {
            model.violation("ran twice", id);
        }
        if model.drain.is_some_and(|drain| request.arrived_at > drain.notified_at + senders_stop_within) {
            model.violation("run of a request that arrived late in a drain", id);
        }
        let request = model.requests.get_mut(&id).unwrap();
        (request.stage, request.ran) = (Stage::Running, true);
        model.check_limits(id);
    }
    fn stop_run(&mut self, id: RequestId) {
        let mut model = self.0.borrow_mut();
        let request = model.requests[&id].clone();
        if model.settings.text("family_info.halt").unwrap_or("none") == "none"
            || model.effects[request.class] != Effect::Idempotent
        {
            model.violation("stopped a run that must not be stopped", id);
        }
        if request.stage == Stage::Running {
            model.ending_runs.push((id, Outcome::Cancelled));
        }
    }
    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>, last: bool) {
        let mut model = self.0.borrow_mut();
        let request = model.requests.get(&id).cloned().unwrap_or_default();
        // A read that repeats another is an attempt of its own, which may be rejected.
        let is_keyed = request.key.is_some() && model.effects[request.class] == Effect::Keyed;
        let original_ran = |original: &ModelRequest| is_keyed && original.key == request.key && original.ran;
        let original = request.repeats.and_then(|original| model.requests.get(&original));
        if request.ran || original.is_some_and(original_ran) {
            model.violation("rejected after it ran", id);
        }
        model.rejected.push(Rejection { id, retry_after, last });
        model.answer(id);
    }
    fn fail(&mut self, id: RequestId) {
        self.0.borrow_mut().answer(id);
    }
    fn remember(&mut self, id: RequestId, span: Duration) {
        let mut model = self.0.borrow_mut();
        if let Some(key) = model.requests.get(&id).and_then(|request| request.key) {
            let now = model.now;
            let before = model.entries.insert(key, Entry { holder: id, since: now, until: now + span });
            // Extending an entry takes no additional memory.
            if before.is_none_or(|entry| entry.holder != id) {
                model.check_limits(id);
            }
        }
    }
    fn forget(&mut self, id: RequestId) {
        let mut model = self.0.borrow_mut();
        if model.requests.get(&id).is_some_and(|request| request.ran) {
            model.violation("forgot a request that ran", id);
        }
        model.entries.retain(|_, entry| entry.holder != id);
    }
    fn join_original(&mut self, id: RequestId) {
        let mut model = self.0.borrow_mut();
        if model.requests.get(&id).is_none_or(|request| request.repeats.is_none()) {
            model.violation("joined a request that repeats none", id);
        }
        model.requests.get_mut(&id).unwrap().stage = Stage::Joined;
        model.check_limits(id);
    }
    fn start_call(&mut self, id: RequestId, timeout: Duration) {
        let mut model = self.0.borrow_mut();
        model.call_timeouts.push(timeout);
        let request = model.requests[&id].clone();
        let must_not_repeat = request.call_may_have_run && model.effects[request.class] != Effect::Idempotent;
        if request.stage != Stage::AwaitingCall || must_not_repeat {
            model.violation("upstream call not awaited, or repeated although it may have run", id);
        }
        model.requests.get_mut(&id).unwrap().stage = Stage::Calling;
    }
    fn skip_call(&mut self, id: RequestId) {
        let mut model = self.0.borrow_mut();
        let class = model.requests[&id].class;
        if model.number(&format!("family_info.worth_without.{class}"), 0.0) <= 0.0 {
            model.violation("skipped a required call", id);
        }
        model.requests.get_mut(&id).unwrap().stage = Stage::Running;
    }
    fn set_health(&mut self, healthy: bool, _stored: bool) {
        self.0.borrow_mut().healthy = healthy;
    }
    fn close_idle(&mut self, span: Duration) {
        self.0.borrow_mut().idle_timeout = span;
    }
    fn set_load_hint(&mut self, value: f64) {
        let mut model = self.0.borrow_mut();
        let expected = model.settings.text("family_info.advert").unwrap_or("none") != "none";
        if !value.is_finite() || value < 0.0 || !expected {
            model.violation("load hint invalid or not expected", RequestId(0));
        }
        model.load_hints.push(value);
    }
    fn set_timer(&mut self, after: Duration) {
        let mut model = self.0.borrow_mut();
        model.timer_at = Some(model.now + after);
    }
    fn log(&mut self, _line: &str) {}
}

/// Settings of a typical deployment, with one class per effect. Time spans are in microseconds.
pub fn settings(effects: &[&str]) -> Settings {
    let mut settings = Settings::default();
    for (name, number) in [
        ("family_info.cores", 4.0),
        ("family_info.memory_kb", 10_000.0),
        ("family_info.run_factor", 4.0),
        ("family_info.key_kb", 20.0),
        ("family_info.calls_out", 2.0),
        ("family_info.linger", 200_000.0),
        ("family_info.upstreams", 3.0),
        ("rules.fall_multiple", 5.0),
        ("rules.answer_slack", 60_000.0),
        ("rules.stop_sending_within", 1_000_000.0),
        ("rules.warm_after", 10_000_000.0),
        ("rules.cold_from", 0.2),
        ("limits.max_retry_after", 1_000_000.0),
    ] {
        settings.set(name, Value::Number(number));
    }
    settings.set("limits.retry_after", Value::Flag(true));
    settings.set("family_info.meters.0", Value::Text("runnable".into()));
    for (i, effect) in effects.iter().enumerate() {
        settings.set(&format!("profiles.{i}.name"), Value::Text(format!("p{i}")));
        settings.set(&format!("profiles.{i}.effect"), Value::Text(effect.to_string()));
        settings.set(&format!("profiles.{i}.goal_time"), Value::Number(1_000_000.0));
        settings.set(&format!("profiles.{i}.give_up"), Value::Number(3_000_000.0));
        settings.set(&format!("profiles.{i}.points"), Value::Number(1.0 + i as f64));
        settings.set(&format!("profiles.{i}.window"), Value::Number(6_000_000.0));
    }
    settings
}

/// Settings with an idempotent and a keyed class, with the number `name` set to `value`.
pub fn settings_with(name: &str, value: f64) -> Settings {
    let mut settings = settings(&["retryable", "dedup"]);
    settings.set(name, Value::Number(value));
    settings
}

/// Receives `count` requests of the first class.
pub fn offer(scenario: &mut Scenario, count: usize) -> Vec<RequestId> {
    (0..count).map(|_| scenario.receive(0, MS * LONG_WAIT_MS, None, 0.99)).collect()
}

/// Drives admission control, with the model as its host, through the events of a test.
pub struct Scenario {
    pub admission: Admission<SharedModel>,
    pub model: SharedModel,
    pub next_id: u32,
    pub caller: u64,
    /// How long the next request has waited before it was read, and its memory.
    pub unread_time: Duration,
    pub memory_kb: f64,
}

impl Scenario {
    pub fn new(settings: Settings) -> Scenario {
        let model = SharedModel::default();
        let effect = |i: usize| match settings.text(&format!("profiles.{i}.effect")) {
            Some("retryable") => Effect::Idempotent,
            Some("dedup") => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        let classes = (0..).take_while(|i| settings.text(&format!("profiles.{i}.name")).is_some());
        model.0.borrow_mut().effects = classes.map(effect).collect();
        model.0.borrow_mut().settings = settings.clone();
        let admission = Admission::new(&settings, Duration::ZERO, model.clone());
        Scenario { admission, model, next_id: 1, caller: 0, unread_time: Duration::ZERO, memory_kb: 10.0 }
    }

    pub fn now(&self) -> Duration {
        self.model.0.borrow().now
    }

    pub fn stage(&self, id: RequestId) -> Stage {
        self.model.0.borrow().requests[&id].stage
    }

    pub fn set_stage(&self, id: RequestId, stage: Stage) {
        self.model.0.borrow_mut().requests.get_mut(&id).unwrap().stage = stage;
    }

    pub fn has_violations(&self) -> bool {
        !self.model.0.borrow().violations.is_empty()
    }

    /// Advances the time by `span`. The timer fires when it is due, with `runnable` as the number of runnable tasks.
    pub fn advance(&mut self, span: Duration, runnable: f64) {
        let end = self.now() + span;
        while self.now() < end {
            let timer_at = self.model.0.borrow().timer_at.unwrap_or(end).min(end);
            self.model.0.borrow_mut().now = timer_at.max(self.now() + MS);
            let now = self.now();
            let ending_runs = std::mem::take(&mut self.model.0.borrow_mut().ending_runs);
            for (id, outcome) in ending_runs {
                self.end_run(id, outcome);
            }
            if self.model.0.borrow().timer_at.is_some_and(|at| at <= now) {
                self.admission.timer_fired(now, &[runnable]);
            }
            self.model.0.borrow_mut().check_answered();
        }
    }

    pub fn receive(&mut self, class: usize, time_left: Duration, key: Option<u8>, rank: f64) -> RequestId {
        let (id, now, memory_kb) = (RequestId(self.next_id), self.now(), self.memory_kb);
        self.next_id += 1;
        let entry = key.and_then(|key| self.model.0.borrow().entries.get(&key).copied());
        let unread_time =
            self.unread_time.min(entry.map_or(self.unread_time, |entry| now.saturating_sub(entry.since)));
        let arrived_at = now.saturating_sub(unread_time);
        let repeats = entry.filter(|entry| arrived_at <= entry.until).map(|entry| entry.holder);
        let can_be_repeated = |id: &RequestId| {
            let model = self.model.0.borrow();
            model.requests.get(id).is_some_and(|request| request.ran || request.stage == Stage::Queued)
        };
        let repeats = repeats.filter(can_be_repeated);
        // Some requests carry no deadline. The deadline of their class then applies, counted from the arrival.
        let states_deadline = memory_kb as u64 % 10 != 3;
        let deadline = if states_deadline { now + time_left } else { arrived_at + MS * 3000 };
        let request = ModelRequest {
            class,
            arrived_at,
            deadline,
            read_at: now,
            key,
            repeats,
            memory_kb,
            ..ModelRequest::default()
        };
        self.model.0.borrow_mut().requests.insert(id, request);
        let class = format!("p{class}");
        let incoming = IncomingRequest {
            class: &class,
            deadline: states_deadline.then_some(deadline),
            tenant: (rank < 0.5).then_some("t0"),
            memory_kb,
            rank,
            unread_time,
            repeats,
            caller: CallerId(self.caller),
            ..IncomingRequest::default()
        };
        self.admission.request_received(now, id, &incoming);
        id
    }

    /// Ends a run, unless it has already ended, and the requests that have joined it.
    pub fn end_run(&mut self, id: RequestId, outcome: Outcome) {
        let now = self.now();
        let read_at = {
            let mut model = self.model.0.borrow_mut();
            let has_started =
                |request: &&mut ModelRequest| request.stage != Stage::Ended && request.stage != Stage::Queued;
            let Some(request) = model.requests.get_mut(&id).filter(has_started) else { return };
            request.stage = Stage::Ended;
            if request.answers == 0 && matches!(outcome, Outcome::Completed | Outcome::Failed) {
                request.answers = 1;
            }
            request.read_at
        };
        self.admission.run_ended(now, id, outcome, now.saturating_sub(read_at));
        let has_joined =
            |request: &ModelRequest| request.stage == Stage::Joined && request.repeats == Some(id);
        let model = self.model.0.clone();
        let joined: Vec<RequestId> =
            model.borrow().requests.iter().filter(|(_, r)| has_joined(r)).map(|(id, _)| *id).collect();
        let joined_outcome = if outcome == Outcome::Completed { outcome } else { Outcome::Failed };
        joined.into_iter().for_each(|id| self.end_run(id, joined_outcome));
    }
}
