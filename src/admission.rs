//! The decision module: what this server takes, runs and turns away.
//! `Admission::start` gets the settings, the time and a `Host`; afterwards one method is called for each thing
//! that happens, with the time since start: `request_received`, `woken` (the one timer), `drain`, `call_needed`,
//! `call_ended`, `run_ended`, `caller_gone`. It acts by calling the host, at once. A kill drops it.
//! The ordinary path is that of "AIMD Queue Server" (docs/design.md): a window of running txns, grown by
//! ALPHA on demand while the p99 of run time over SLA time has headroom, cut by BETA or the breaker.

mod dependency;
mod rejection;
mod window;

use crate::dedup::DedupEntries;
use crate::host::Host;
use crate::outstanding_calls::Calls;
use crate::parameters::{self, Advert, Terms};
use crate::queue::Queue;
use crate::quotas::Quotas;
use crate::recent_callers::{RecentCallers, COMPARED};
use crate::recent_runs::Recent;
use crate::request::{Due, Request};
use crate::settings::Settings;
use crate::totals::{Stage, Totals};
use crate::tree::Tree;
use crate::types::{Effect, IncomingRequest, Outcome, Permission, RequestClass, RequestId, RequestMap};
use std::collections::BTreeMap;
use std::time::Duration;

// The mechanism. Spans are ratios to the SLA times that the settings give.
const ALPHA: f64 = 1.0;
const BETA: f64 = 0.7;
const HEADROOM: f64 = 0.8;
const FAST_DECREASE_MULTIPLIER: f64 = 3.0;
const EVALUATION: f64 = 0.5; // interval, of the shortest SLA time
const SLIDING: f64 = 4.0; // latency window, of the longest SLA time
const WARM_PER_CORE: f64 = 1.3; // ceiling, txns a core
const COLD_PER_CORE: f64 = 1.0;

// The level of value, by the time the queue takes to drain over the slack that txns have.
const LEVEL_FROM: f64 = 0.15;
const LEVEL_TO: f64 = 0.6;
const SURER: f64 = 2.0; // usual runs that a start needs before its SLA time, beside one, under a full level
const PACE_GAIN: f64 = 0.1;
const TURNED_MOST: f64 = 0.5; // of what is read
const PACE_AT_FIRST: f64 = 0.25; // of the SLA time, until a run has ended

// Guards, as shares of the limits that the settings give.
const MEMORY_SHARE: f64 = 0.9;
const CROWD_SHARE: f64 = 0.8;
const CALLS_SHARE: f64 = 0.8;
// Calls have a window of their own, cut when they take this many times what they took when all was well.
const CALLS_SLOW: f64 = 2.5;
const CALLS_HURT: f64 = 0.15; // of the shortest SLA time
const CALLS_LEAST: f64 = 0.35; // of this server's share
const CALLS_STEP: f64 = 0.1;
const CALLS_GONE: f64 = 25.0; // times the usual, after which no answer is waited for
const CALLS_SURE: f64 = 8.0; // times the usual, the shortest time-out that nearly all are answered in
const CALLS_LOST: f64 = 4.0; // times the usual, as which one without an answer counts
const CALLS_KNOWN: f64 = 20.0; // calls until their usual time is known
const CREDIT: f64 = 0.45; // txns out with us in all: what the window gets done in this share of an SLA time
const STORM: f64 = 0.33; // reading and new connections, of what wants a core
const IDLE_LEAST: f64 = 0.03; // of the time that callers keep an idle connection
const WAITS: f64 = 50.0; // parts that a product's whole time is told apart in
const USUAL: f64 = 0.15; // of those heard
const QUIET_LOG: Duration = Duration::from_secs(5);

pub struct Admission<H: Host> {
    pub host: H,
    terms: Terms,
    classes: Vec<RequestClass>,
    requests: RequestMap<Request>,
    totals: Totals,
    queue: Queue,
    /// Txns whose call is to be made, and a list of them that is used again.
    at_call: Tree<RequestId>,
    waiting: Vec<(i64, Duration, RequestId)>,
    dedup: DedupEntries,
    dues: Tree<(Duration, Due, RequestId)>,
    window: f64,
    recent: Recent,
    pressure: bool,
    evaluated: Duration,
    /// Seconds on the cores that a run of each product takes once warm, and its share of what is read.
    pace: Vec<f64>,
    seen: Vec<f64>,
    /// The callers and waits of the last txns read.
    recent_callers: RecentCallers,
    /// What wants a core and is no run: reading, new connections.
    reading: f64,
    idle: Duration,
    /// Seconds that txns lie unread, of late.
    unread: f64,
    /// The share of what is read that is turned away, of late.
    turned: f64,
    /// The share of running txns that are on a core, not at a disk: the ceiling is for those.
    on_core: f64,
    healthy: bool,
    level: f64,
    calls: Calls,
    /// The window of calls at once (under 1: of the time), seconds of late and at best.
    calls_window: f64,
    call_pace: f64,
    call_base: f64,
    /// Seconds that the last one took, answered or not.
    call_last: f64,
    calls_seen: f64,
    /// The index has turned a call away since the last evaluation.
    refused: bool,
    quotas: Quotas,
    /// When the notice to leave came, and when the process is stopped.
    leaving: Option<(Duration, Duration)>,
    /// What may be taken at all, by what is known of the rules in force.
    permission: Permission,
    advertised: f64,
    logged: BTreeMap<&'static str, Duration>,
}

impl<H: Host> Admission<H> {
    pub fn new(cfg: Settings, now: Duration, mut host: H) -> Self {
        for name in cfg.missing() {
            host.log(&format!("setting {name} is missing or makes no sense: a cautious default holds"));
        }
        let (terms, classes) = (Terms::read(&cfg), parameters::classes(&cfg));
        host.set_health(true, true);
        host.set_timer(terms.tick);
        let pace = classes.iter().map(|p| p.latency_target.as_secs_f64() * PACE_AT_FIRST).collect();
        Admission {
            host,
            requests: RequestMap::default(),
            totals: Totals::new(classes.len()),
            queue: Queue::default(),
            at_call: Tree::default(),
            waiting: Vec::new(),
            dedup: DedupEntries::default(),
            dues: Tree::default(),
            window: terms.cores,
            recent: Recent::default(),
            pressure: false,
            evaluated: now,
            pace,
            seen: vec![1.0; classes.len()],
            recent_callers: RecentCallers::default(),
            reading: 0.0,
            idle: Duration::from_secs(1),
            unread: 0.0,
            turned: 0.0,
            on_core: 1.0,
            healthy: true,
            level: 0.0,
            calls: Calls::default(),
            calls_window: terms.calls_share * CALLS_LEAST,
            call_pace: 0.0,
            call_base: f64::MAX,
            call_last: 0.0,
            calls_seen: 0.0,
            refused: false,
            quotas: Quotas::default(),
            leaving: None,
            permission: Permission::Everything,
            advertised: -1.0,
            logged: BTreeMap::new(),
            terms,
            classes,
        }
    }

    /// A txn has been read and is now in the queue.
    pub fn request_received(&mut self, now: Duration, id: RequestId, read: &IncomingRequest) {
        self.run_dues(now);
        // An id comes once; a second time it would stand for two txns.
        if self.requests.contains_key(&id) || self.dedup.knows(id) {
            return;
        }
        let arrived = now.saturating_sub(read.unread_for);
        self.turned *= 1.0 - PACE_GAIN;
        self.unread += PACE_GAIN * (read.unread_for.as_secs_f64() - self.unread);
        let Some(class) = self.classes.iter().position(|p| *p.name == *read.class) else {
            return self.host.reject(id, None, false);
        };
        let p = self.classes[class].clone();
        let mut deadline = read.deadline.unwrap_or(arrived + p.deadline);
        deadline = deadline.min(self.leaving.map_or(deadline, |(_, stop)| stop));
        self.seen.iter_mut().for_each(|s| *s *= 0.995);
        self.seen[class] += 1.0;
        let age = self.age(read, arrived, &p);
        let due = (arrived + p.latency_target.saturating_sub(age)).min(deadline);
        let worth = self.worth(now, class, read);
        let (effect, kb) = (p.effect, read.memory_kb.max(0.0));
        let request = Request { class, effect, arrived, due, deadline, kb, ..Request::default() };
        // A repeat never runs beside what it repeats: it takes the place of one still held, and is answered
        // from one that has run. An id that is not in the table is from before it, or a twin not yet read.
        let first = read.repeats.map(|f| self.dedup.last_heir(f));
        let first = first.filter(|r| self.dedup.knows(*r) || self.requests.contains_key(r));
        let takes = |t: &Request| t.stage == Stage::Queued && p.effect == Effect::Keyed;
        let held = first.and_then(|f| self.requests.get(&f)).is_some_and(takes);
        self.totals.enter(class, request.stage, request.kb);
        self.requests.insert(id, request);
        self.dues.insert((deadline.saturating_sub(self.terms.tick), Due::Expiry, id), ());
        if deadline <= now + self.terms.tick {
            return if first.is_some() { self.fail(id) } else { self.turn_away(now, id) };
        }
        match first {
            Some(_) if !held => {
                self.put(id, Stage::Joined);
                return self.host.join_original(id);
            }
            Some(f) => {
                // Others read in this batch may still name the one whose place is taken.
                self.turn_away(now, f);
                let until = now + p.window;
                self.dedup.replaced(f, class, id, until);
                self.dues.insert((until, Due::Key, f), ());
            }
            None => self.weigh(now),
        }
        self.queue.insert((due, id), class, worth);
        // Calls that can't be left out may take too long in all for one more txn to be in time.
        let dear = |p: &RequestClass| p.calls && p.without <= 0.0;
        let those = |(i, p): (usize, &RequestClass)| if dear(p) { self.totals.of_class(i) } else { 0 };
        let ahead = || self.classes.iter().enumerate().map(those).sum::<usize>() as f64;
        let slack = p.latency_target.as_secs_f64() - self.run_time(now, class);
        let starved = dear(&p) && ahead() * self.call_pace / self.calls_window > slack;
        let served = p.offered && !self.terms.rejected_callers.contains(&read.caller.0);
        if !served || !self.permission.permits(effect) {
            return self.bar(id, !served);
        }
        let under = first.is_none() && (worth < self.level || starved);
        if under || self.too_late(arrived) || self.memory(0.0) > MEMORY_SHARE {
            return self.turn_away(now, id);
        }
        self.keep(now, id, arrived, &p);
        self.prune(now);
        self.fill(now);
    }

    /// The timer has gone off; `load_metrics` stand in the order of the setting `family_info.meters`.
    pub fn timer_fired(&mut self, now: Duration, load_metrics: &[f64]) {
        self.host.set_timer(self.terms.tick);
        self.run_dues(now);
        // Idle-core growth: cores idle while work waits, so the window grows by the number held.
        let runnable = self.terms.runnable.and_then(|i| load_metrics.get(i)).copied();
        let runs = self.totals.running() as f64;
        let on_core = runnable.filter(|_| runs > 0.0).map_or(self.on_core, |r| (r / runs).min(1.0));
        self.on_core += PACE_GAIN * (on_core - self.on_core);
        let reading = (runnable.unwrap_or(0.0) - runs * self.on_core).max(0.0);
        self.reading += PACE_GAIN * (reading - self.reading);
        if runnable.is_some_and(|r| r < self.terms.cores) && !self.queue.is_empty() {
            self.window = (self.window + self.queue.len() as f64).min(self.ceiling(now));
        }
        if now.saturating_sub(self.evaluated).as_secs_f64() >= self.shortest() * EVALUATION {
            self.evaluate(now);
        }
        self.weigh(now);
        self.prune(now);
        self.go_on(now);
        // Unfit while txns lie unread for longer than the SLA time, whatever slows the reading.
        let healthy = self.unread < self.shortest();
        if self.leaving.is_none() && std::mem::replace(&mut self.healthy, healthy) != healthy {
            self.host.set_health(healthy, true);
            let unread = self.unread;
            self.log(now, "health", || format!("healthy {healthy}: txns lie unread for {unread:.2} s"));
        }
        self.advertise(now);
    }

    /// Other settings hold from now on. What was read before keeps its effect and expiry; a dedup entry keeps its
    /// window where that is longer than the new one.
    pub fn apply_settings(&mut self, now: Duration, cfg: &Settings) {
        let classes = parameters::classes(cfg);
        if !classes.iter().map(|p| &p.name).eq(self.classes.iter().map(|p| &p.name)) {
            return self.log(now, "reset", || "other products: the settings stay as they were".to_string());
        }
        let longer = self.dedup.extend(&self.classes, &classes);
        (self.terms, self.classes) = (Terms::read(cfg), classes);
        self.calls_window = self.calls_window.min(self.terms.calls_share * CALLS_SHARE);
        for (id, until) in longer {
            self.dues.insert((until, Due::Key, id), ());
            self.host.remember(id, until.saturating_sub(now));
        }
        self.go_on(now);
    }

    /// What may be taken from now on; what is held and may not be started is given up at once.
    pub fn set_permission(&mut self, now: Duration, permission: Permission) {
        self.permission = permission;
        let barred = |t: &Request| t.stage == Stage::Queued && !permission.permits(t.effect);
        let mut all: Vec<RequestId> = self.requests.iter().filter(|t| barred(t.1)).map(|t| *t.0).collect();
        all.sort_unstable();
        all.into_iter().for_each(|id| self.bar(id, false));
        self.fill(now);
    }

    pub fn call_requested(&mut self, now: Duration, id: RequestId) {
        self.run_dues(now);
        if let Some(request) = self.requests.get_mut(&id).filter(|t| t.stage == Stage::Running && !t.answered)
        {
            request.call_since = now;
            self.put(id, Stage::AtCall);
            self.go_on(now);
        }
    }

    pub fn call_ended(&mut self, now: Duration, id: RequestId, how: Outcome, took: Duration) {
        self.run_dues(now);
        if !self.requests.get(&id).is_some_and(|t| t.stage == Stage::Calling && !t.answered) {
            return;
        }
        self.put(id, Stage::AtCall);
        self.call_over(now, id, how != Outcome::TimedOut);
        // The first that is turned away halves the window: those of other servers are turned away as well.
        if how == Outcome::Rejected && !std::mem::replace(&mut self.refused, true) {
            self.calls_window = (self.calls_window / 2.0).max(self.terms.calls_share * CALLS_LEAST);
        }
        let request = &self.requests[&id];
        let (effect, without) = (request.effect, self.classes[request.class].without);
        if matches!(how, Outcome::Completed | Outcome::TimedOut) {
            self.calls_seen += 1.0;
            // One without an answer says little of the others; only many of them make the pace slow.
            let (pace, took) = (self.call_pace, took.as_secs_f64());
            self.call_last = took;
            let took = if how == Outcome::Completed { took } else { took.clamp(pace, pace * CALLS_LOST) };
            self.call_pace += PACE_GAIN.max(1.0 / self.calls_seen) * (took - pace);
            if self.calls_seen >= CALLS_KNOWN {
                self.call_base = self.call_base.min(self.call_pace) * 1.001;
            }
        }
        if how == Outcome::Completed {
            self.resume(now, id);
        } else {
            // Again only where the call provably never ran, or may run twice, and the time suffices.
            let time = how != Outcome::TimedOut || now + took <= request.due;
            let again = how.never_ran() || (effect == Effect::Idempotent && time);
            if without > 0.0 && (!again || self.requests[&id].calls > 1) {
                self.resume(now, id);
                self.host.skip_call(id);
            } else if again && self.requests[&id].calls < 5 {
                self.requests.get_mut(&id).expect("looked up above").redial = now + self.terms.tick * 2;
            } else {
                self.fail(id);
            }
        }
        self.go_on(now);
    }

    pub fn run_ended(&mut self, now: Duration, id: RequestId, how: Outcome, took: Duration) {
        if self.requests.get(&id).is_some_and(|t| t.stage == Stage::Calling) {
            self.call_over(now, id, false);
        }
        let ended = self.remove(id).filter(|t| how == Outcome::Completed && t.stage != Stage::Joined);
        if let Some(request) = ended {
            let ran = took.saturating_sub(request.call_wait).as_secs_f64();
            let latency_target = self.classes[request.class].latency_target.as_secs_f64();
            let ratio = ran / latency_target;
            let warm = (ran * self.speed(request.started)).min(latency_target);
            self.pace[request.class] += PACE_GAIN * (warm - self.pace[request.class]);
            self.recent.ended(now, request.class, ratio);
            // The fast circuit breaker.
            if ratio > FAST_DECREASE_MULTIPLIER {
                self.window = (self.window * BETA).max(self.terms.cores);
                let window = self.window;
                self.log(now, "breaker", || format!("a run at {ratio:.1} SLA times, window {window:.1}"));
            }
        }
        self.run_dues(now);
        self.go_on(now);
    }

    pub fn caller_gone(&mut self, now: Duration, id: RequestId) {
        self.run_dues(now);
        self.unwanted(id);
        self.fill(now);
    }

    /// The notice to leave: nothing that comes later than the grace is run, all is answered by `stop`.
    pub fn drain(&mut self, now: Duration, stop: Duration) {
        self.leaving = Some((now, stop));
        self.host.set_health(false, true);
        for (id, request) in self.requests.iter_mut().filter(|(_, t)| t.deadline > stop) {
            self.dues.remove(&(request.deadline.saturating_sub(self.terms.tick), Due::Expiry, *id));
            request.deadline = stop;
            self.dues.insert((stop.saturating_sub(self.terms.tick), Due::Expiry, *id), ());
        }
        let in_hand = self.requests.len();
        self.log(now, "drain", || format!("leaving by {stop:?} with {in_hand} txns in hand"));
        self.run_dues(now);
    }

    fn run_dues(&mut self, now: Duration) {
        while let Some(((at, what, id), _)) = self.dues.first().filter(|(due, _)| due.0 <= now) {
            self.dues.remove(&(at, what, id));
            match what {
                Due::Expiry => match self.requests.get(&id).map(|t| (t.stage, t.answered)) {
                    Some((Stage::Queued, _)) => self.turn_away(now, id),
                    Some((_, false)) => self.fail(id),
                    _ => {}
                },
                Due::Key => {
                    let longest = self.classes.iter().map(|p| p.window).max().unwrap_or_default();
                    if let Some(until) = self.dedup.lapse(id, now, longest) {
                        self.dues.insert((until, Due::Key, id), ());
                    }
                }
            }
        }
    }

    /// The free value, in the form that the settings ask for.
    fn advertise(&mut self, now: Duration) {
        let value = match self.terms.advert {
            Some(Advert::Threshold) => self.level.min(1.0) / self.classes.len().max(1) as f64,
            Some(Advert::ShareOf) if !self.healthy => 0.0,
            Some(Advert::ShareOf) => (0.3 + 0.7 * self.warmth(now)) * (1.0 - self.level.min(1.0) / 2.0),
            // Txns a caller may have out with us: the same for all, by how evenly they send.
            Some(Advert::Window) => {
                let each = self.recent_callers.same().max(1.0 / self.terms.upstreams);
                let stay = |i: usize| (self.run_time(now, i) + self.unread).max(1e-3);
                self.window
                    * CREDIT
                    * self.usual(|i| self.classes[i].latency_target.as_secs_f64() / stay(i))
                    * each
            }
            None => return,
        };
        let value = if value < 10.0 { (value * 20.0).round() / 20.0 } else { value.round() };
        if std::mem::replace(&mut self.advertised, value) != value {
            self.host.set_load_hint(value);
        }
    }

    fn log(&mut self, now: Duration, kind: &'static str, line: impl FnOnce() -> String) {
        if self.logged.get(kind).is_none_or(|at| now.saturating_sub(*at) >= QUIET_LOG) {
            self.logged.insert(kind, now);
            self.host.log(&line());
        }
    }
}
