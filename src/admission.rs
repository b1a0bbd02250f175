//! The decision module: what this server takes, runs and turns away.
//! `Brain::start` gets the settings, the time and a `Host`; afterwards one method is called for each thing
//! that happens, with the time since start: `txn_read`, `woken` (the one timer), `drain`, `call_needed`,
//! `call_ended`, `run_ended`, `caller_gone`. It acts by calling the host, at once. A kill drops it.
//! The ordinary path is that of "AIMD Queue Server" (docs/design.md): a window of running txns, grown by
//! ALPHA on demand while the p99 of run time over SLA time has headroom, cut by BETA or the breaker.

use crate::calls::Calls;
use crate::heard::{Heard, HEARD};
use crate::hold::Hold;
use crate::host::Host;
use crate::ledger::{Ledger, Stage};
use crate::marks::Marks;
use crate::quotas::Quotas;
use crate::recent::Recent;
use crate::settings::Settings;
use crate::terms::{self, Advert, Terms};
use crate::tree::Tree;
use crate::txn::{Due, Txn};
use crate::types::{Arrival, Effect, IdMap, Leave, Outcome, Product, TxnId};
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

// The level of value, by the time the hold takes to drain over the slack that txns have.
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

pub struct Brain<H: Host> {
    pub host: H,
    terms: Terms,
    products: Vec<Product>,
    txns: IdMap<Txn>,
    ledger: Ledger,
    hold: Hold,
    /// Txns whose call is to be made, and a list of them that is used again.
    at_call: Tree<TxnId>,
    waiting: Vec<(i64, Duration, TxnId)>,
    marks: Marks,
    dues: Tree<(Duration, Due, TxnId)>,
    window: f64,
    recent: Recent,
    pressure: bool,
    evaluated: Duration,
    /// Seconds on the cores that a run of each product takes once warm, and its share of what is read.
    pace: Vec<f64>,
    seen: Vec<f64>,
    /// The callers and waits of the last txns read.
    heard: Heard,
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
    leave: Leave,
    advertised: f64,
    logged: BTreeMap<&'static str, Duration>,
}

impl<H: Host> Brain<H> {
    pub fn start(cfg: Settings, now: Duration, mut host: H) -> Self {
        for name in cfg.missing() {
            host.log(&format!("setting {name} is missing or makes no sense: a cautious default holds"));
        }
        let (terms, products) = (Terms::read(&cfg), terms::products(&cfg));
        host.health(true, true);
        host.wake(terms.tick);
        let pace = products.iter().map(|p| p.sla.as_secs_f64() * PACE_AT_FIRST).collect();
        Brain {
            host,
            txns: IdMap::default(),
            ledger: Ledger::new(products.len()),
            hold: Hold::default(),
            at_call: Tree::default(),
            waiting: Vec::new(),
            marks: Marks::default(),
            dues: Tree::default(),
            window: terms.cores,
            recent: Recent::default(),
            pressure: false,
            evaluated: now,
            pace,
            seen: vec![1.0; products.len()],
            heard: Heard::default(),
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
            leave: Leave::Everything,
            advertised: -1.0,
            logged: BTreeMap::new(),
            terms,
            products,
        }
    }

    /// A txn has been read and is now in the hold.
    pub fn txn_read(&mut self, now: Duration, id: TxnId, read: &Arrival) {
        self.run_dues(now);
        // An id comes once; a second time it would stand for two txns.
        if self.txns.contains_key(&id) || self.marks.knows(id) {
            return;
        }
        let arrived = now.saturating_sub(read.lay);
        self.turned *= 1.0 - PACE_GAIN;
        self.unread += PACE_GAIN * (read.lay.as_secs_f64() - self.unread);
        let Some(product) = self.products.iter().position(|p| *p.name == *read.product) else {
            return self.host.decline(id, None, false);
        };
        let p = self.products[product].clone();
        let mut expiry = read.expiry.unwrap_or(arrived + p.expiry);
        expiry = expiry.min(self.leaving.map_or(expiry, |(_, stop)| stop));
        self.seen.iter_mut().for_each(|s| *s *= 0.995);
        self.seen[product] += 1.0;
        let age = self.age(read, arrived, &p);
        let due = (arrived + p.sla.saturating_sub(age)).min(expiry);
        let worth = self.worth(now, product, read);
        let (effect, kb) = (p.effect, read.memory_kb.max(0.0));
        let txn = Txn { product, effect, arrived, due, expiry, kb, ..Txn::default() };
        // A repeat never runs beside what it repeats: it takes the place of one still held, and is answered
        // from one that has run. An id that is not in the table is from before it, or a twin not yet read.
        let first = read.repeats.map(|f| self.marks.last_heir(f));
        let first = first.filter(|r| self.marks.knows(*r) || self.txns.contains_key(r));
        let takes = |t: &Txn| t.stage == Stage::Held && p.effect == Effect::Referenced;
        let held = first.and_then(|f| self.txns.get(&f)).is_some_and(takes);
        self.ledger.enter(product, txn.stage, txn.kb);
        self.txns.insert(id, txn);
        self.dues.insert((expiry.saturating_sub(self.terms.tick), Due::Expiry, id), ());
        if expiry <= now + self.terms.tick {
            return if first.is_some() { self.void(id) } else { self.turn_away(now, id) };
        }
        match first {
            Some(_) if !held => {
                self.put(id, Stage::Joined);
                return self.host.join(id);
            }
            Some(f) => {
                // Others read in this batch may still name the one whose place is taken.
                self.turn_away(now, f);
                let until = now + p.window;
                self.marks.replaced(f, product, id, until);
                self.dues.insert((until, Due::Key, f), ());
            }
            None => self.weigh(now),
        }
        self.hold.insert((due, id), product, worth);
        // Calls that can't be left out may take too long in all for one more txn to be in time.
        let dear = |p: &Product| p.calls && p.without <= 0.0;
        let those = |(i, p): (usize, &Product)| if dear(p) { self.ledger.of_product(i) } else { 0 };
        let ahead = || self.products.iter().enumerate().map(those).sum::<usize>() as f64;
        let slack = p.sla.as_secs_f64() - self.run_time(now, product);
        let starved = dear(&p) && ahead() * self.call_pace / self.calls_window > slack;
        let served = p.offered && !self.terms.turned_away.contains(&read.caller.0);
        if !served || !self.leave.covers(effect) {
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

    /// The timer has gone off; `gauges` stand in the order of the setting `family_info.meters`.
    pub fn woken(&mut self, now: Duration, gauges: &[f64]) {
        self.host.wake(self.terms.tick);
        self.run_dues(now);
        // Idle-core growth: cores idle while work waits, so the window grows by the number held.
        let runnable = self.terms.runnable.and_then(|i| gauges.get(i)).copied();
        let runs = self.ledger.running() as f64;
        let on_core = runnable.filter(|_| runs > 0.0).map_or(self.on_core, |r| (r / runs).min(1.0));
        self.on_core += PACE_GAIN * (on_core - self.on_core);
        let reading = (runnable.unwrap_or(0.0) - runs * self.on_core).max(0.0);
        self.reading += PACE_GAIN * (reading - self.reading);
        if runnable.is_some_and(|r| r < self.terms.cores) && !self.hold.is_empty() {
            self.window = (self.window + self.hold.len() as f64).min(self.ceiling(now));
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
            self.host.health(healthy, true);
            let unread = self.unread;
            self.log(now, "health", || format!("healthy {healthy}: txns lie unread for {unread:.2} s"));
        }
        self.advertise(now);
    }

    /// Other settings hold from now on. What was read before keeps its effect and expiry; a mark keeps its
    /// window where that is longer than the new one.
    pub fn reset(&mut self, now: Duration, cfg: &Settings) {
        let products = terms::products(cfg);
        if !products.iter().map(|p| &p.name).eq(self.products.iter().map(|p| &p.name)) {
            return self.log(now, "reset", || "other products: the settings stay as they were".to_string());
        }
        let longer = self.marks.extend(&self.products, &products);
        (self.terms, self.products) = (Terms::read(cfg), products);
        self.calls_window = self.calls_window.min(self.terms.calls_share * CALLS_SHARE);
        for (id, until) in longer {
            self.dues.insert((until, Due::Key, id), ());
            self.host.keep(id, until.saturating_sub(now));
        }
        self.go_on(now);
    }

    /// What may be taken from now on; what is held and may not be started is given up at once.
    pub fn leave(&mut self, now: Duration, leave: Leave) {
        self.leave = leave;
        let barred = |t: &Txn| t.stage == Stage::Held && !leave.covers(t.effect);
        let mut all: Vec<TxnId> = self.txns.iter().filter(|t| barred(t.1)).map(|t| *t.0).collect();
        all.sort_unstable();
        all.into_iter().for_each(|id| self.bar(id, false));
        self.fill(now);
    }

    pub fn call_needed(&mut self, now: Duration, id: TxnId) {
        self.run_dues(now);
        if let Some(txn) = self.txns.get_mut(&id).filter(|t| t.stage == Stage::Running && !t.answered) {
            txn.call_since = now;
            self.put(id, Stage::AtCall);
            self.go_on(now);
        }
    }

    pub fn call_ended(&mut self, now: Duration, id: TxnId, how: Outcome, took: Duration) {
        self.run_dues(now);
        if !self.txns.get(&id).is_some_and(|t| t.stage == Stage::Calling && !t.answered) {
            return;
        }
        self.put(id, Stage::AtCall);
        self.call_over(now, id, how != Outcome::Overdue);
        // The first that is turned away halves the window: those of other servers are turned away as well.
        if how == Outcome::Saturated && !std::mem::replace(&mut self.refused, true) {
            self.calls_window = (self.calls_window / 2.0).max(self.terms.calls_share * CALLS_LEAST);
        }
        let txn = &self.txns[&id];
        let (effect, without) = (txn.effect, self.products[txn.product].without);
        if matches!(how, Outcome::Completed | Outcome::Overdue) {
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
            let time = how != Outcome::Overdue || now + took <= txn.due;
            let again = how.never_ran() || (effect == Effect::InquiryLike && time);
            if without > 0.0 && (!again || self.txns[&id].calls > 1) {
                self.resume(now, id);
                self.host.skip_call(id);
            } else if again && self.txns[&id].calls < 5 {
                self.txns.get_mut(&id).expect("looked up above").redial = now + self.terms.tick * 2;
            } else {
                self.void(id);
            }
        }
        self.go_on(now);
    }

    pub fn run_ended(&mut self, now: Duration, id: TxnId, how: Outcome, took: Duration) {
        if self.txns.get(&id).is_some_and(|t| t.stage == Stage::Calling) {
            self.call_over(now, id, false);
        }
        let ended = self.remove(id).filter(|t| how == Outcome::Completed && t.stage != Stage::Joined);
        if let Some(txn) = ended {
            let ran = took.saturating_sub(txn.call_wait).as_secs_f64();
            let sla = self.products[txn.product].sla.as_secs_f64();
            let ratio = ran / sla;
            let warm = (ran * self.speed(txn.started)).min(sla);
            self.pace[txn.product] += PACE_GAIN * (warm - self.pace[txn.product]);
            self.recent.ended(now, txn.product, ratio);
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

    pub fn caller_gone(&mut self, now: Duration, id: TxnId) {
        self.run_dues(now);
        self.unwanted(id);
        self.fill(now);
    }

    /// The notice to leave: nothing that comes later than the grace is run, all is answered by `stop`.
    pub fn drain(&mut self, now: Duration, stop: Duration) {
        self.leaving = Some((now, stop));
        self.host.health(false, true);
        for (id, txn) in self.txns.iter_mut().filter(|(_, t)| t.expiry > stop) {
            self.dues.remove(&(txn.expiry.saturating_sub(self.terms.tick), Due::Expiry, *id));
            txn.expiry = stop;
            self.dues.insert((stop.saturating_sub(self.terms.tick), Due::Expiry, *id), ());
        }
        let in_hand = self.txns.len();
        self.log(now, "drain", || format!("leaving by {stop:?} with {in_hand} txns in hand"));
        self.run_dues(now);
    }

    fn evaluate(&mut self, now: Duration) {
        let since = std::mem::replace(&mut self.evaluated, now);
        let longest = self.products.iter().map(|p| p.sla).max().unwrap_or(self.terms.tick);
        let p99 = self.recent.p99(now, longest.mul_f64(SLIDING));
        if p99 > 1.0 {
            self.window *= BETA;
            let window = self.window;
            self.log(now, "cut", || format!("p99 at {p99:.2} SLA times, window {window:.1}"));
        } else if p99 < HEADROOM && self.pressure {
            self.window += ALPHA;
        }
        self.window = self.window.min(self.ceiling(now)).max(self.terms.cores);
        self.pressure = false;
        // A product that nothing has been learnt of lately is taken for quicker again, or a stall, once
        // learnt, would have it turned away for ever.
        for i in 0..self.products.len() {
            let first = self.products[i].sla.as_secs_f64() * PACE_AT_FIRST;
            if !self.recent.any(i, since) && self.pace[i] > first {
                self.pace[i] += 2.0 * PACE_GAIN * (first - self.pace[i]);
            }
        }
        let (share, refused) = (self.terms.calls_share, std::mem::take(&mut self.refused));
        // What is harmless here may be a crowd there: all servers' calls together slow each other.
        if self.call_pace > CALLS_SLOW * self.call_base {
            self.calls_window = (self.calls_window * BETA).max(share * CALLS_LEAST);
            let (pace, at_once) = (self.call_pace, self.calls_window);
            self.log(now, "calls", || format!("calls take {pace:.2} s, {at_once:.2} at once"));
        } else if !refused {
            self.calls_window = (self.calls_window + share * CALLS_STEP).min(share * CALLS_SHARE);
        }
        // Idle connections of callers that seldom return give way to new ones: a full table takes cores and
        // leaves others no room. In a storm of tries it is still the cheapest way to turn callers away.
        if let Some(most) = self.terms.idle {
            let storm = self.reading > STORM * (self.reading + self.terms.cores);
            let least = most.mul_f64((HEARD as f64 / self.terms.upstreams).powi(2).clamp(IDLE_LEAST, 1.0));
            self.idle = self.idle.mul_f64(if storm { 2.0 } else { BETA }).clamp(least, most.max(least));
            self.host.close_idle(self.idle);
        }
    }

    /// The most that the window may be: the cold figure a core after a cold start, rising to the warm one.
    fn ceiling(&self, now: Duration) -> f64 {
        let warm = self.terms.per_core.unwrap_or(WARM_PER_CORE);
        let cold = self.terms.cold_per_core.unwrap_or(COLD_PER_CORE).min(warm);
        (self.terms.cores * (cold + (warm - cold) * self.warmth(now)) / self.on_core.max(0.4))
            .max(self.terms.cores)
    }

    /// How far this server has warmed up at least, 0 to 1.
    fn warmth(&self, now: Duration) -> f64 {
        self.terms.warm_after.map_or(1.0, |after| now.div_duration_f64(after).min(1.0))
    }

    /// Starts held txns by due time while the window has room.
    fn fill(&mut self, now: Duration) {
        while let Some((_, id)) = self.hold.first() {
            let running = self.ledger.running() as f64;
            if running + 1.0 > self.window || !self.start_txn(now, id) {
                self.pressure = true;
                return;
            }
        }
    }

    /// The only place where a run begins: all guards of the four rules stand here.
    fn start_txn(&mut self, now: Duration, id: TxnId) -> bool {
        let Some(txn) = self.txns.get(&id).filter(|t| t.stage == Stage::Held) else { return false };
        let unkept = txn.effect == Effect::Referenced && !self.marks.is_live(id);
        if unkept || self.too_late(txn.arrived) || now + self.terms.tick >= txn.expiry {
            self.turn_away(now, id);
            return true;
        }
        // Calls return to the cores on their own, so they count for the crowd.
        let crowd = self.ledger.begun() as f64 + 1.0;
        let memory = self.memory(txn.kb);
        let survives = self.terms.cores * (1.0 + (self.terms.fall_multiple - 1.0) * self.speed(now));
        if crowd > (CROWD_SHARE * survives).max(self.terms.cores) || memory > MEMORY_SHARE {
            return false;
        }
        self.hold.remove((txn.due, id));
        self.put(id, Stage::Running);
        self.txns.entry(id).and_modify(|t| t.started = now);
        self.host.start(id);
        true
    }

    /// The share of its speed that this server has at least.
    fn speed(&self, now: Duration) -> f64 {
        let warmth = self.warmth(now);
        let from = if warmth < 1.0 { self.terms.cold_from } else { 1.0 };
        from + (1.0 - from) * warmth
    }

    /// Seconds that a run of this product takes on the cores at present.
    fn run_time(&self, now: Duration, product: usize) -> f64 {
        self.pace[product] / self.speed(now)
    }

    /// Memory in use once a held txn of this size is started, as a share of what there is.
    fn memory(&self, started: f64) -> f64 {
        let (factor, (waiting, begun)) = (self.terms.run_factor, self.ledger.kb());
        let keys = self.marks.live() as f64 * self.terms.key_kb;
        (waiting + begun * factor + keys + started * (factor - 1.0)) / self.terms.memory_kb
    }

    fn too_late(&self, arrived: Duration) -> bool {
        self.leaving.is_some_and(|(told, _)| arrived > told + self.terms.grace)
    }

    /// The one place where a txn's stage changes.
    fn put(&mut self, id: TxnId, stage: Stage) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        self.ledger.leave(txn.product, txn.stage, txn.kb);
        self.ledger.enter(txn.product, stage, txn.kb);
        txn.stage = stage;
        match stage {
            Stage::AtCall => self.at_call.insert(id, ()),
            _ => self.at_call.remove(&id),
        };
    }

    /// Time since the first try, where it shows: most tries wait a usual part of the product's whole time, or
    /// what their caller waited before; one that waits another has what is left of the whole.
    fn age(&mut self, read: &Arrival, arrived: Duration, p: &Product) -> Duration {
        let span =
            |end: Duration| end.saturating_sub(arrived).div_duration_f64(p.expiry.max(self.terms.tick));
        let left = read.expiry.map_or(1.0, span).min(1.0);
        let (near, known) = self.heard.came(read.caller, (left * WAITS) as usize);
        let usual = near >= USUAL || known;
        let age = if usual { Duration::ZERO } else { p.expiry.mul_f64(1.0 - left) };
        // One that is late already counts as new where it still earns as much as the cheapest in time.
        let cheapest = self.products.iter().map(|p| p.value).fold(f64::MAX, f64::min);
        if age > p.sla && p.value * p.late >= cheapest {
            Duration::ZERO
        } else {
            age
        }
    }

    /// What the level is compared with: below 1 for products that are shed first, above for the others, by
    /// the user's place within the product, so that a level cuts the same users everywhere.
    fn worth(&mut self, now: Duration, product: usize, read: &Arrival) -> f64 {
        let place = (read.rank.clamp(0.0, 1.0) * self.products.len() as f64).fract();
        let gain = self.products[product].value * self.usual(|i| self.pace[i]) / self.pace[product].max(1e-9);
        let worth = place + f64::from(u32::from(gain >= self.usual(|i| self.products[i].value)));
        let Some(tenant) = read.tenant else { return worth };
        // What a tenant sends beyond its share is worth little: this server's part of its quota is a bucket.
        let named = self.terms.tenants.iter().position(|(name, _)| name == tenant);
        let Some((i, rate)) = named.map(|i| (i, self.terms.tenants[i].1)) else { return worth };
        if !self.quotas.take(i, rate, now) {
            return worth * self.terms.over_share;
        }
        worth
    }

    fn wait(&self, now: Duration) -> f64 {
        self.hold.cost(|i| self.run_time(now, i)) / self.window
    }

    /// The mean of a figure over the products, by their share of what is read.
    fn usual(&self, figure: impl Fn(usize) -> f64) -> f64 {
        let sum: f64 = self.seen.iter().enumerate().map(|(i, s)| s * figure(i)).sum();
        sum / self.seen.iter().sum::<f64>().max(1e-9)
    }

    fn weigh(&mut self, now: Duration) {
        let slack = self.usual(|i| (self.products[i].sla.as_secs_f64() - self.run_time(now, i)).max(0.0));
        let filled = (self.wait(now) + self.unread) / slack.max(1e-3);
        self.level = ((filled - LEVEL_FROM) / (LEVEL_TO - LEVEL_FROM)).clamp(0.0, 2.0);
    }

    /// Turns away at once what cannot be in time any more. Where the hold as a whole cannot be, the least
    /// worth among those ahead goes, until the rest can.
    fn prune(&mut self, now: Duration) {
        let (sure, speed) = (1.0 + SURER * self.level.min(1.0), self.speed(now));
        let mut after = None;
        loop {
            let run = |i: usize| self.pace[i] / speed;
            let slack = |due: Duration, i: usize| due.saturating_sub(now).as_secs_f64() - run(i) * sure;
            // None ahead take less than no time, so one without slack is found too.
            let bad = |ahead: f64, due: Duration, i: usize| ahead / self.window > slack(due, i);
            let Some((place, product)) = self.hold.find(after, run, bad) else { return };
            let alone = slack(place.0, product) < 0.0;
            let least = if alone { None } else { self.hold.least_to(place) };
            after = Some(place);
            self.turn_away(now, least.unwrap_or(place).1);
        }
    }

    /// Gives up on a txn that has not run, and says when to come back.
    fn turn_away(&mut self, now: Duration, id: TxnId) {
        let past = self.txns.get(&id).is_some_and(|t| t.due <= now);
        self.drop_unrun(id);
        let (most, held, level) = (self.terms.retry_after, self.wait(now), self.level);
        let away = self.leaving.is_some() || (!self.healthy && self.warmth(now) >= 1.0);
        let back_in = if away { most } else { most.min(Duration::from_secs_f64(held)) };
        self.log(now, "level", || format!("declines at level {level:.2}: the hold takes {held:.2} s"));
        // A warm server that turns away most of what it reads is not alone: one more try would be in vain.
        self.turned += PACE_GAIN;
        let last = self.turned > TURNED_MOST && self.leaving.is_none() && self.warmth(now) >= 1.0;
        self.host.decline(id, Some(back_in).filter(|b| !b.is_zero()), last || past);
    }

    /// Not for this server to run, at least not now; says nothing of its load.
    fn bar(&mut self, id: TxnId, last: bool) {
        self.drop_unrun(id);
        self.host.decline(id, Some(self.terms.retry_after).filter(|b| !b.is_zero()), last);
    }

    /// The error that promises nothing, for what has run or repeats what has run.
    fn void(&mut self, id: TxnId) {
        self.host.void(id);
        self.unwanted(id);
    }

    /// Nobody waits any more: a run is stopped where that is allowed and it may be done again.
    fn unwanted(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        if matches!(txn.stage, Stage::Held | Stage::Joined) {
            return self.drop_unrun(id);
        }
        txn.answered = true;
        self.at_call.remove(&id);
        if self.terms.halt && txn.stage == Stage::Running && txn.effect == Effect::InquiryLike {
            self.host.stop(id);
        }
    }

    /// Takes a txn that has not run out of the hold, and out of the table.
    fn drop_unrun(&mut self, id: TxnId) {
        if let Some(txn) = self.remove(id) {
            self.hold.remove((txn.due, id));
            if self.marks.forget(id) {
                self.host.forget(id);
            }
        }
    }

    fn remove(&mut self, id: TxnId) -> Option<Txn> {
        let txn = self.txns.remove(&id)?;
        self.ledger.leave(txn.product, txn.stage, txn.kb);
        self.at_call.remove(&id);
        self.dues.remove(&(txn.expiry.saturating_sub(self.terms.tick), Due::Expiry, id));
        Some(txn)
    }

    /// Enters a txn in the table for its window, counted from its arrival.
    fn keep(&mut self, now: Duration, id: TxnId, arrived: Duration, p: &Product) {
        let window = if p.effect == Effect::Referenced { p.window } else { self.terms.fresh };
        let span = (arrived + window + self.terms.tick * 2).saturating_sub(now);
        if p.effect != Effect::OnceOnly && !window.is_zero() && !span.is_zero() {
            self.host.keep(id, span);
            self.marks.keep(id, self.txns[&id].product, now + span);
            self.dues.insert((now + span, Due::Key, id), ());
        }
    }

    /// A call is over, here at least: one given up, whatever for, lingers below.
    fn call_over(&mut self, now: Duration, id: TxnId, gone: bool) {
        let linger = if gone { Duration::ZERO } else { self.terms.linger };
        self.calls.ends(id, now, now + linger);
    }

    /// The longest that one more call may take: the calls of the last `calls_over`, each counted up to its
    /// time-out, stay within this server's share, however slow what lies below becomes.
    fn call_room(&mut self, now: Duration) -> Duration {
        let over = self.terms.calls_over;
        let taken = self.calls.taken(now.saturating_sub(over));
        let most = (self.terms.calls_share * CALLS_SHARE).min(1e6);
        over.mul_f64(most).saturating_sub(taken)
    }

    /// So many times what a call takes; without end while none has been answered.
    fn usual_calls(&self, times: f64) -> Duration {
        let base = if self.call_base < f64::MAX { self.call_base } else { 0.0 };
        let usual = self.call_pace.max(base);
        Duration::from_secs_f64(if usual > 0.0 { (usual * times).min(1e6) } else { 1e6 })
    }

    /// Whether calls take much longer than at best, and long enough to matter for the SLA times.
    fn calls_slow(&self) -> bool {
        self.call_pace > (CALLS_SLOW * self.call_base).max(CALLS_HURT * self.shortest())
    }

    fn shortest(&self) -> f64 {
        self.products.iter().map(|p| p.sla.as_secs_f64()).fold(f64::MAX, f64::min)
    }

    /// What leaving out a call loses, in millionths.
    fn stake(&self, product: usize) -> i64 {
        (self.products[product].value * (1.0 - self.products[product].without) * 1e6) as i64
    }

    /// Makes the calls that wait, those first that lose most without, while the calls' window has room. Goes
    /// on without, where that earns a part, once the wait would take half of the time left. Then fills cores.
    fn go_on(&mut self, now: Duration) {
        if self.at_call.is_empty() {
            return self.fill(now);
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        for (id, _) in self.at_call.iter() {
            let t = &self.txns[&id];
            // One that can't be in time any more has only its late value at stake.
            let usual = self.run_time(now, t.product) * 0.5 + self.call_pace;
            let in_time = t.due.saturating_sub(now).as_secs_f64() >= usual;
            let share = if in_time { 1.0 } else { self.products[t.product].late };
            waiting.push(((-self.stake(t.product) as f64 * share) as i64, t.due, id));
        }
        waiting.sort_unstable();
        let mut longest = self.call_room(now);
        let (mut ahead, mut out) = (0.0, self.calls.out(now) as f64);
        let dearest =
            (0..self.products.len()).filter(|i| self.products[*i].calls).map(|i| self.stake(i)).max();
        for (stake, _, id) in waiting.drain(..) {
            let txn = &self.txns[&id];
            let p = &self.products[txn.product];
            let rest = Duration::from_secs_f64(self.run_time(now, txn.product) * 0.5);
            let to_due = txn.due.saturating_sub(now + rest);
            let to_expiry = txn.expiry.saturating_sub(now + rest + self.terms.tick);
            let gap = self.call_pace / self.calls_window;
            let last = self.calls.last().map_or(f64::MAX, |made| now.saturating_sub(made).as_secs_f64());
            // Its own share of the time, also while the pace lags behind what calls have come to take.
            let paced = out == 0.0 && last >= gap.max(self.call_last / self.calls_window);
            let left = if p.without > 0.0 && to_due > self.terms.tick { to_due } else { to_expiry };
            // One that takes many times the usual will not be answered; it must not keep others out.
            let left = left.min(self.usual_calls(CALLS_GONE));
            // A time-out that is short for want of room would leave the call's effect unknown.
            let sure = left.min(p.sla / 2).min(self.usual_calls(CALLS_SURE));
            let fits = longest >= sure || self.calls.is_empty();
            let room = fits && (out + 1.0 <= self.calls_window || paced) && now >= txn.redial;
            let wait = if room { self.call_pace } else { (ahead + 1.0) * gap + self.call_pace };
            let futile = wait > to_due.as_secs_f64() * 0.5 && (!to_due.is_zero() || p.late <= 0.0 || !room);
            if p.without > 0.0 && (futile || (-stake < dearest.unwrap_or(0) && self.calls_slow())) {
                self.resume(now, id);
                self.host.skip_call(id);
            } else if room {
                let give_up = left.max(self.terms.tick).min(longest);
                out += 1.0;
                self.calls.made(id, now, now + give_up);
                longest = longest.saturating_sub(give_up);
                self.put(id, Stage::Calling);
                self.txns.entry(id).and_modify(|t| t.calls += 1);
                self.host.call(id, give_up);
            } else {
                ahead += 1.0;
            }
        }
        self.waiting = waiting;
        self.fill(now);
    }

    fn resume(&mut self, now: Duration, id: TxnId) {
        self.put(id, Stage::Running);
        self.txns.entry(id).and_modify(|t| t.call_wait += now.saturating_sub(t.call_since));
    }

    fn run_dues(&mut self, now: Duration) {
        while let Some(((at, what, id), _)) = self.dues.first().filter(|(due, _)| due.0 <= now) {
            self.dues.remove(&(at, what, id));
            match what {
                Due::Expiry => match self.txns.get(&id).map(|t| (t.stage, t.answered)) {
                    Some((Stage::Held, _)) => self.turn_away(now, id),
                    Some((_, false)) => self.void(id),
                    _ => {}
                },
                Due::Key => {
                    let longest = self.products.iter().map(|p| p.window).max().unwrap_or_default();
                    if let Some(until) = self.marks.lapse(id, now, longest) {
                        self.dues.insert((until, Due::Key, id), ());
                    }
                }
            }
        }
    }

    /// The free value, in the form that the settings ask for.
    fn advertise(&mut self, now: Duration) {
        let value = match self.terms.advert {
            Some(Advert::Threshold) => self.level.min(1.0) / self.products.len().max(1) as f64,
            Some(Advert::ShareOf) if !self.healthy => 0.0,
            Some(Advert::ShareOf) => (0.3 + 0.7 * self.warmth(now)) * (1.0 - self.level.min(1.0) / 2.0),
            // Txns a caller may have out with us: the same for all, by how evenly they send.
            Some(Advert::Window) => {
                let each = self.heard.same().max(1.0 / self.terms.upstreams);
                let stay = |i: usize| (self.run_time(now, i) + self.unread).max(1e-3);
                self.window * CREDIT * self.usual(|i| self.products[i].sla.as_secs_f64() / stay(i)) * each
            }
            None => return,
        };
        let value = if value < 10.0 { (value * 20.0).round() / 20.0 } else { value.round() };
        if std::mem::replace(&mut self.advertised, value) != value {
            self.host.advertise(value);
        }
    }

    fn log(&mut self, now: Duration, kind: &'static str, line: impl FnOnce() -> String) {
        if self.logged.get(kind).is_none_or(|at| now.saturating_sub(*at) >= QUIET_LOG) {
            self.logged.insert(kind, now);
            self.host.log(&line());
        }
    }
}
