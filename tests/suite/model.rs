//! A slow, plain model of a server and of the four rules, which plays host to the module.

use aldercrank::{Admission, CallerId, Effect, Host, IncomingRequest, Outcome, RequestId, Settings, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum At {
    #[default]
    Held,
    Joined,
    Running,
    Waiting,
    Calling,
    Over,
}

#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub at: At,
    pub class: usize,
    pub arrived: Duration,
    pub deadline: Duration,
    pub began: Duration,
    pub reference: Option<u8>,
    pub repeats: Option<RequestId>,
    pub kb: f64,
    pub answers: u32,
    pub ran: bool,
    pub gone: bool,
    pub called: bool,
}

#[derive(Default)]
pub struct World {
    pub now: Duration,
    pub requests: BTreeMap<RequestId, Seen>,
    pub entries: BTreeMap<u8, (RequestId, Duration, Duration)>,
    pub effects: Vec<Effect>,
    pub cfg: Settings,
    pub leaving: Option<(Duration, Duration)>,
    pub wake: Option<Duration>,
    pub ending: Vec<(RequestId, Outcome)>,
    pub broken: Vec<String>,
    pub said: Vec<f64>,
    pub idle: Duration,
    pub calls: Vec<(RequestId, Duration)>,
    pub rejected: Vec<(RequestId, Option<Duration>, bool)>,
}

impl World {
    fn breaks(&mut self, what: &str, request: RequestId) {
        let line = format!("{what}: {request:?} at {:?}, {:?}", self.now, self.requests.get(&request));
        self.broken.push(line);
    }

    fn num(&self, name: &str, or: f64) -> f64 {
        self.cfg.num(name).unwrap_or(or)
    }

    pub fn count(&self, at: At) -> usize {
        self.requests.values().filter(|t| t.at == at).count()
    }

    /// Rule 4, checked at every moment and not only in the mean.
    fn check_limits(&mut self, request: RequestId) {
        let weight = |t: &Seen| match t.at {
            At::Over => 0.0,
            At::Held | At::Joined => t.kb,
            _ => t.kb * self.num("family_info.run_factor", 8.0),
        };
        let keys = self.entries.values().filter(|(_, _, until)| *until > self.now).count() as f64;
        let used: f64 =
            self.requests.values().map(weight).sum::<f64>() + keys * self.num("family_info.key_kb", 0.0);
        let cold = self.cfg.flag("family_info.cold") == Some(true);
        let warm = self.now.as_secs_f64() / (self.num("rules.warm_after", 0.0) / 1e6);
        let speed = if cold { 0.2 + 0.8 * warm.min(1.0) } else { 1.0 };
        let cores = self.num("family_info.cores", 1.0).max(1.0);
        let limit = cores * (1.0 + (self.num("rules.fall_multiple", 2.0) - 1.0) * speed);
        if used > self.num("family_info.memory_kb", f64::MAX) {
            self.breaks("memory", request);
        }
        if self.count(At::Running) as f64 > limit {
            self.breaks("crowd", request);
        }
    }

    fn answer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.breaks("answer to a stranger", id);
        };
        request.answers += 1;
        let (twice, at) = (request.answers > 1, request.at);
        match at {
            At::Held | At::Joined => request.at = At::Over,
            At::Waiting | At::Calling => self.ending.push((id, Outcome::Cancelled)),
            _ => {}
        }
        if twice {
            self.breaks("answered twice", id);
        }
    }

    /// Rule 1, and at the stop rule 3.
    pub fn check_lost(&mut self) {
        let slack = Duration::from_micros(self.num("rules.answer_slack", 40_000.0) as u64);
        let stop = self.leaving.map_or(Duration::MAX, |(_, stop)| stop);
        let open = |t: &Seen| t.answers == 0 && !t.gone;
        let late =
            |t: &Seen| self.now > t.deadline.max(t.began) + slack || self.now >= stop.max(t.began + slack);
        let lost = self.requests.iter().find(|(_, t)| open(t) && late(t)).map(|(id, _)| *id);
        if let Some(id) = lost {
            self.breaks("lost", id);
        }
    }
}

#[derive(Clone, Default)]
pub struct Shared(pub Rc<RefCell<World>>);

impl Host for Shared {
    fn start_run(&mut self, id: RequestId) {
        let mut w = self.0.borrow_mut();
        let Some(request) = w.requests.get(&id).cloned() else { return w.breaks("start of a stranger", id) };
        if request.at != At::Held || request.gone {
            return w.breaks("start of what is not held", id);
        }
        let window = w.num(&format!("profiles.{}.window", request.class), 0.0) as u64;
        let (effect, grace) = (w.effects[request.class], w.num("rules.stop_sending_within", 0.0) as u64);
        let twin = |t: &Seen| {
            let near = request.arrived.saturating_sub(t.arrived) <= Duration::from_micros(window);
            t.ran && near && t.reference == request.reference && effect == Effect::Keyed
        };
        if w.requests.values().any(twin) {
            w.breaks("ran twice", id);
        }
        if w.leaving.is_some_and(|(told, _)| request.arrived > told + Duration::from_micros(grace)) {
            w.breaks("run after the grace", id);
        }
        let request = w.requests.get_mut(&id).unwrap();
        (request.at, request.ran) = (At::Running, true);
        w.check_limits(id);
    }
    fn stop_run(&mut self, id: RequestId) {
        let mut w = self.0.borrow_mut();
        let request = w.requests[&id].clone();
        if w.cfg.text("family_info.halt").unwrap_or("none") == "none"
            || w.effects[request.class] != Effect::Idempotent
        {
            w.breaks("stopped", id);
        }
        if request.at == At::Running {
            w.ending.push((id, Outcome::Cancelled));
        }
    }
    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>, last: bool) {
        let mut w = self.0.borrow_mut();
        let request = w.requests.get(&id).cloned().unwrap_or_default();
        let ran = |t: &Seen| request.reference.is_some() && t.reference == request.reference && t.ran;
        if request.ran || request.repeats.and_then(|r| w.requests.get(&r)).is_some_and(ran) {
            w.breaks("declined after it ran", id);
        }
        w.rejected.push((id, retry_after, last));
        w.answer(id);
    }
    fn fail(&mut self, id: RequestId) {
        self.0.borrow_mut().answer(id);
    }
    fn remember(&mut self, id: RequestId, span: Duration) {
        let mut w = self.0.borrow_mut();
        if let Some(reference) = w.requests.get(&id).and_then(|t| t.reference) {
            let now = w.now;
            let before = w.entries.insert(reference, (id, now, now + span));
            // One that is kept for longer takes no more room than it did.
            if before.is_none_or(|(holder, _, _)| holder != id) {
                w.check_limits(id);
            }
        }
    }
    fn forget(&mut self, id: RequestId) {
        let mut w = self.0.borrow_mut();
        if w.requests.get(&id).is_some_and(|t| t.ran) {
            w.breaks("forgot what ran", id);
        }
        w.entries.retain(|_, (holder, _, _)| *holder != id);
    }
    fn join_original(&mut self, id: RequestId) {
        let mut w = self.0.borrow_mut();
        if w.requests.get(&id).is_none_or(|t| t.repeats.is_none()) {
            w.breaks("joined nothing", id);
        }
        w.requests.get_mut(&id).unwrap().at = At::Joined;
    }
    fn start_call(&mut self, id: RequestId, timeout: Duration) {
        let mut w = self.0.borrow_mut();
        w.calls.push((id, timeout));
        let request = w.requests[&id].clone();
        if request.at != At::Waiting || (request.called && w.effects[request.class] != Effect::Idempotent) {
            w.breaks("called again", id);
        }
        w.requests.get_mut(&id).unwrap().at = At::Calling;
    }
    fn skip_call(&mut self, id: RequestId) {
        let mut w = self.0.borrow_mut();
        let class = w.requests[&id].class;
        if w.num(&format!("family_info.worth_without.{class}"), 0.0) <= 0.0 {
            w.breaks("skipped what earns nothing", id);
        }
        w.requests.get_mut(&id).unwrap().at = At::Running;
    }
    fn set_health(&mut self, _good: bool, _stored: bool) {}
    fn close_idle(&mut self, span: Duration) {
        self.0.borrow_mut().idle = span;
    }
    fn set_load_hint(&mut self, value: f64) {
        let mut w = self.0.borrow_mut();
        if !value.is_finite() || value < 0.0 || w.cfg.text("family_info.advert").unwrap_or("none") == "none" {
            w.breaks("free value", RequestId(0));
        }
        w.said.push(value);
    }
    fn set_timer(&mut self, after: Duration) {
        let mut w = self.0.borrow_mut();
        w.wake = Some(w.now + after);
    }
    fn log(&mut self, _line: &str) {}
}

/// Settings as a deployment would hand them over; spans in microseconds.
pub fn settings(effects: &[&str]) -> Settings {
    let mut cfg = Settings::default();
    for (name, n) in [
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
        cfg.set(name, Value::Num(n));
    }
    cfg.set("limits.retry_after", Value::Flag(true));
    cfg.set("family_info.meters.0", Value::Text("runnable".into()));
    for (i, effect) in effects.iter().enumerate() {
        cfg.set(&format!("profiles.{i}.name"), Value::Text(format!("p{i}")));
        cfg.set(&format!("profiles.{i}.effect"), Value::Text(effect.to_string()));
        cfg.set(&format!("profiles.{i}.goal_time"), Value::Num(1_000_000.0));
        cfg.set(&format!("profiles.{i}.give_up"), Value::Num(3_000_000.0));
        cfg.set(&format!("profiles.{i}.points"), Value::Num(1.0 + i as f64));
        cfg.set(&format!("profiles.{i}.window"), Value::Num(6_000_000.0));
    }
    cfg
}

pub struct Play {
    pub admission: Admission<Shared>,
    pub world: Shared,
    pub next: u32,
    pub caller: u64,
    /// How long what is read next lay unread, and its memory.
    pub unread_for: Duration,
    pub kb: f64,
}

impl Play {
    pub fn new(cfg: Settings) -> Play {
        let world = Shared::default();
        let effect = |i: usize| match cfg.text(&format!("profiles.{i}.effect")) {
            Some("retryable") => Effect::Idempotent,
            Some("dedup") => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        let named = (0..).take_while(|i| cfg.text(&format!("profiles.{i}.name")).is_some());
        world.0.borrow_mut().effects = named.map(effect).collect();
        world.0.borrow_mut().cfg = cfg.clone();
        let admission = Admission::new(&cfg, Duration::ZERO, world.clone());
        Play { admission, world, next: 1, caller: 0, unread_for: Duration::ZERO, kb: 10.0 }
    }

    pub fn now(&self) -> Duration {
        self.world.0.borrow().now
    }

    pub fn at(&self, id: RequestId) -> At {
        self.world.0.borrow().requests[&id].at
    }

    pub fn set(&self, id: RequestId, at: At) {
        self.world.0.borrow_mut().requests.get_mut(&id).unwrap().at = at;
    }

    /// Lets time pass; the timer goes off on the way, with `runnable` on the cores.
    pub fn pass(&mut self, span: Duration, runnable: f64) {
        let end = self.now() + span;
        while self.now() < end {
            let wake = self.world.0.borrow().wake.unwrap_or(end).min(end);
            self.world.0.borrow_mut().now = wake.max(self.now() + MS);
            let now = self.now();
            let ending = std::mem::take(&mut self.world.0.borrow_mut().ending);
            for (id, how) in ending {
                self.end(id, how);
            }
            if self.world.0.borrow().wake.is_some_and(|w| w <= now) {
                self.admission.timer_fired(now, &[runnable]);
            }
            self.world.0.borrow_mut().check_lost();
        }
    }

    pub fn read(&mut self, class: usize, left: Duration, reference: Option<u8>, rank: f64) -> RequestId {
        let (id, now, kb) = (RequestId(self.next), self.now(), self.kb);
        self.next += 1;
        let entry = reference.and_then(|r| self.world.0.borrow().entries.get(&r).copied());
        let unread_for =
            self.unread_for.min(entry.map_or(self.unread_for, |(_, since, _)| now.saturating_sub(since)));
        let arrived = now.saturating_sub(unread_for);
        let repeats = entry.filter(|(_, _, until)| arrived <= *until).map(|(holder, _, _)| holder);
        let open = |id: &RequestId| {
            self.world.0.borrow().requests.get(id).is_some_and(|t| t.ran || t.at == At::Held)
        };
        let repeats = repeats.filter(open);
        // Some come without their expiry; then the product's stands, from the arrival on.
        let told = kb as u64 % 10 != 3;
        let deadline = if told { now + left } else { arrived + MS * 3000 };
        let seen = Seen { class, arrived, deadline, began: now, reference, repeats, kb, ..Seen::default() };
        self.world.0.borrow_mut().requests.insert(id, seen);
        let class = format!("p{class}");
        let read = IncomingRequest {
            class: &class,
            deadline: told.then_some(deadline),
            tenant: (rank < 0.5).then_some("t0"),
            memory_kb: kb,
            rank,
            unread_for,
            repeats,
            caller: CallerId(self.caller),
            ..IncomingRequest::default()
        };
        self.admission.request_received(now, id, &read);
        id
    }

    pub fn end(&mut self, id: RequestId, how: Outcome) {
        let now = self.now();
        let began = {
            let mut w = self.world.0.borrow_mut();
            let Some(request) = w.requests.get_mut(&id).filter(|t| t.at != At::Over && t.at != At::Held)
            else {
                return;
            };
            request.at = At::Over;
            if request.answers == 0 && matches!(how, Outcome::Completed | Outcome::Failed) {
                request.answers = 1;
            }
            request.began
        };
        self.admission.run_ended(now, id, how, now.saturating_sub(began));
        let joined = |t: &Seen| t.at == At::Joined && t.repeats == Some(id);
        let world = self.world.0.clone();
        let joined: Vec<RequestId> =
            world.borrow().requests.iter().filter(|(_, t)| joined(t)).map(|(id, _)| *id).collect();
        let theirs = if how == Outcome::Completed { how } else { Outcome::Failed };
        joined.into_iter().for_each(|id| self.end(id, theirs));
    }
}
