//! A slow, plain model of a server and of the four rules, which plays host to the module.

use aldercrank::{Admission, Arrival, CallerId, Effect, Host, Outcome, Settings, TxnId, Value};
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
    pub product: usize,
    pub arrived: Duration,
    pub expiry: Duration,
    pub began: Duration,
    pub reference: Option<u8>,
    pub repeats: Option<TxnId>,
    pub kb: f64,
    pub answers: u32,
    pub ran: bool,
    pub gone: bool,
    pub called: bool,
}

#[derive(Default)]
pub struct World {
    pub now: Duration,
    pub txns: BTreeMap<TxnId, Seen>,
    pub entries: BTreeMap<u8, (TxnId, Duration, Duration)>,
    pub effects: Vec<Effect>,
    pub cfg: Settings,
    pub leaving: Option<(Duration, Duration)>,
    pub wake: Option<Duration>,
    pub ending: Vec<(TxnId, Outcome)>,
    pub broken: Vec<String>,
    pub said: Vec<f64>,
    pub idle: Duration,
    pub calls: Vec<(TxnId, Duration)>,
    pub declined: Vec<(TxnId, Option<Duration>, bool)>,
}

impl World {
    fn breaks(&mut self, what: &str, txn: TxnId) {
        let line = format!("{what}: {txn:?} at {:?}, {:?}", self.now, self.txns.get(&txn));
        self.broken.push(line);
    }

    fn num(&self, name: &str, or: f64) -> f64 {
        self.cfg.num(name).unwrap_or(or)
    }

    pub fn count(&self, at: At) -> usize {
        self.txns.values().filter(|t| t.at == at).count()
    }

    /// Rule 4, checked at every moment and not only in the mean.
    fn check_limits(&mut self, txn: TxnId) {
        let weight = |t: &Seen| match t.at {
            At::Over => 0.0,
            At::Held | At::Joined => t.kb,
            _ => t.kb * self.num("family_info.run_factor", 8.0),
        };
        let keys = self.entries.values().filter(|(_, _, until)| *until > self.now).count() as f64;
        let used: f64 =
            self.txns.values().map(weight).sum::<f64>() + keys * self.num("family_info.key_kb", 0.0);
        let cold = self.cfg.flag("family_info.cold") == Some(true);
        let warm = self.now.as_secs_f64() / (self.num("rules.warm_after", 0.0) / 1e6);
        let speed = if cold { 0.2 + 0.8 * warm.min(1.0) } else { 1.0 };
        let cores = self.num("family_info.cores", 1.0).max(1.0);
        let limit = cores * (1.0 + (self.num("rules.fall_multiple", 2.0) - 1.0) * speed);
        if used > self.num("family_info.memory_kb", f64::MAX) {
            self.breaks("memory", txn);
        }
        if self.count(At::Running) as f64 > limit {
            self.breaks("crowd", txn);
        }
    }

    fn answer(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get_mut(&id) else { return self.breaks("answer to a stranger", id) };
        txn.answers += 1;
        let (twice, at) = (txn.answers > 1, txn.at);
        match at {
            At::Held | At::Joined => txn.at = At::Over,
            At::Waiting | At::Calling => self.ending.push((id, Outcome::Recalled)),
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
            |t: &Seen| self.now > t.expiry.max(t.began) + slack || self.now >= stop.max(t.began + slack);
        let lost = self.txns.iter().find(|(_, t)| open(t) && late(t)).map(|(id, _)| *id);
        if let Some(id) = lost {
            self.breaks("lost", id);
        }
    }
}

#[derive(Clone, Default)]
pub struct Shared(pub Rc<RefCell<World>>);

impl Host for Shared {
    fn start(&mut self, id: TxnId) {
        let mut w = self.0.borrow_mut();
        let Some(txn) = w.txns.get(&id).cloned() else { return w.breaks("start of a stranger", id) };
        if txn.at != At::Held || txn.gone {
            return w.breaks("start of what is not held", id);
        }
        let window = w.num(&format!("profiles.{}.window", txn.product), 0.0) as u64;
        let (effect, grace) = (w.effects[txn.product], w.num("rules.stop_sending_within", 0.0) as u64);
        let twin = |t: &Seen| {
            let near = txn.arrived.saturating_sub(t.arrived) <= Duration::from_micros(window);
            t.ran && near && t.reference == txn.reference && effect == Effect::Keyed
        };
        if w.txns.values().any(twin) {
            w.breaks("ran twice", id);
        }
        if w.leaving.is_some_and(|(told, _)| txn.arrived > told + Duration::from_micros(grace)) {
            w.breaks("run after the grace", id);
        }
        let txn = w.txns.get_mut(&id).unwrap();
        (txn.at, txn.ran) = (At::Running, true);
        w.check_limits(id);
    }
    fn stop(&mut self, id: TxnId) {
        let mut w = self.0.borrow_mut();
        let txn = w.txns[&id].clone();
        if w.cfg.text("family_info.halt").unwrap_or("none") == "none"
            || w.effects[txn.product] != Effect::Idempotent
        {
            w.breaks("stopped", id);
        }
        if txn.at == At::Running {
            w.ending.push((id, Outcome::Recalled));
        }
    }
    fn decline(&mut self, id: TxnId, back_in: Option<Duration>, last: bool) {
        let mut w = self.0.borrow_mut();
        let txn = w.txns.get(&id).cloned().unwrap_or_default();
        let ran = |t: &Seen| txn.reference.is_some() && t.reference == txn.reference && t.ran;
        if txn.ran || txn.repeats.and_then(|r| w.txns.get(&r)).is_some_and(ran) {
            w.breaks("declined after it ran", id);
        }
        w.declined.push((id, back_in, last));
        w.answer(id);
    }
    fn void(&mut self, id: TxnId) {
        self.0.borrow_mut().answer(id);
    }
    fn keep(&mut self, id: TxnId, span: Duration) {
        let mut w = self.0.borrow_mut();
        if let Some(reference) = w.txns.get(&id).and_then(|t| t.reference) {
            let now = w.now;
            let before = w.entries.insert(reference, (id, now, now + span));
            // One that is kept for longer takes no more room than it did.
            if before.is_none_or(|(holder, _, _)| holder != id) {
                w.check_limits(id);
            }
        }
    }
    fn forget(&mut self, id: TxnId) {
        let mut w = self.0.borrow_mut();
        if w.txns.get(&id).is_some_and(|t| t.ran) {
            w.breaks("forgot what ran", id);
        }
        w.entries.retain(|_, (holder, _, _)| *holder != id);
    }
    fn join(&mut self, id: TxnId) {
        let mut w = self.0.borrow_mut();
        if w.txns.get(&id).is_none_or(|t| t.repeats.is_none()) {
            w.breaks("joined nothing", id);
        }
        w.txns.get_mut(&id).unwrap().at = At::Joined;
    }
    fn call(&mut self, id: TxnId, give_up_after: Duration) {
        let mut w = self.0.borrow_mut();
        w.calls.push((id, give_up_after));
        let txn = w.txns[&id].clone();
        if txn.at != At::Waiting || (txn.called && w.effects[txn.product] != Effect::Idempotent) {
            w.breaks("called again", id);
        }
        w.txns.get_mut(&id).unwrap().at = At::Calling;
    }
    fn skip_call(&mut self, id: TxnId) {
        let mut w = self.0.borrow_mut();
        let product = w.txns[&id].product;
        if w.num(&format!("family_info.worth_without.{product}"), 0.0) <= 0.0 {
            w.breaks("skipped what earns nothing", id);
        }
        w.txns.get_mut(&id).unwrap().at = At::Running;
    }
    fn health(&mut self, _good: bool, _stored: bool) {}
    fn close_idle(&mut self, span: Duration) {
        self.0.borrow_mut().idle = span;
    }
    fn advertise(&mut self, value: f64) {
        let mut w = self.0.borrow_mut();
        if !value.is_finite() || value < 0.0 || w.cfg.text("family_info.advert").unwrap_or("none") == "none" {
            w.breaks("free value", TxnId(0));
        }
        w.said.push(value);
    }
    fn wake(&mut self, after: Duration) {
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
    pub lay: Duration,
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
        let admission = Admission::start(cfg, Duration::ZERO, world.clone());
        Play { admission, world, next: 1, caller: 0, lay: Duration::ZERO, kb: 10.0 }
    }

    pub fn now(&self) -> Duration {
        self.world.0.borrow().now
    }

    pub fn at(&self, id: TxnId) -> At {
        self.world.0.borrow().txns[&id].at
    }

    pub fn set(&self, id: TxnId, at: At) {
        self.world.0.borrow_mut().txns.get_mut(&id).unwrap().at = at;
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
                self.admission.woken(now, &[runnable]);
            }
            self.world.0.borrow_mut().check_lost();
        }
    }

    pub fn read(&mut self, product: usize, left: Duration, reference: Option<u8>, rank: f64) -> TxnId {
        let (id, now, kb) = (TxnId(self.next), self.now(), self.kb);
        self.next += 1;
        let entry = reference.and_then(|r| self.world.0.borrow().entries.get(&r).copied());
        let lay = self.lay.min(entry.map_or(self.lay, |(_, since, _)| now.saturating_sub(since)));
        let arrived = now.saturating_sub(lay);
        let repeats = entry.filter(|(_, _, until)| arrived <= *until).map(|(holder, _, _)| holder);
        let open = |id: &TxnId| self.world.0.borrow().txns.get(id).is_some_and(|t| t.ran || t.at == At::Held);
        let repeats = repeats.filter(open);
        // Some come without their expiry; then the product's stands, from the arrival on.
        let told = kb as u64 % 10 != 3;
        let expiry = if told { now + left } else { arrived + MS * 3000 };
        let seen = Seen { product, arrived, expiry, began: now, reference, repeats, kb, ..Seen::default() };
        self.world.0.borrow_mut().txns.insert(id, seen);
        let product = format!("p{product}");
        let read = Arrival {
            product: &product,
            expiry: told.then_some(expiry),
            tenant: (rank < 0.5).then_some("t0"),
            memory_kb: kb,
            rank,
            lay,
            repeats,
            caller: CallerId(self.caller),
            ..Arrival::default()
        };
        self.admission.txn_read(now, id, &read);
        id
    }

    pub fn end(&mut self, id: TxnId, how: Outcome) {
        let now = self.now();
        let began = {
            let mut w = self.world.0.borrow_mut();
            let Some(txn) = w.txns.get_mut(&id).filter(|t| t.at != At::Over && t.at != At::Held) else {
                return;
            };
            txn.at = At::Over;
            if txn.answers == 0 && matches!(how, Outcome::Completed | Outcome::Errored) {
                txn.answers = 1;
            }
            txn.began
        };
        self.admission.run_ended(now, id, how, now.saturating_sub(began));
        let joined = |t: &Seen| t.at == At::Joined && t.repeats == Some(id);
        let world = self.world.0.clone();
        let joined: Vec<TxnId> =
            world.borrow().txns.iter().filter(|(_, t)| joined(t)).map(|(id, _)| *id).collect();
        let theirs = if how == Outcome::Completed { how } else { Outcome::Errored };
        joined.into_iter().for_each(|id| self.end(id, theirs));
    }
}
