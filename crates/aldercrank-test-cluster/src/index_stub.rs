//! The shared index as a stand-in, without sockets: so many slots, slower the more calls it holds, slow, dead or
//! cold when told so. It counts what it holds, since nobody else sees the calls of all servers.

use crate::ids::ConnNo;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much slower each call beyond the slots makes all others.
const CROWDED: f64 = 1.5;
/// It turns calls away beyond this many times its limit.
const SHED: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Calls that it works on at once without slowing.
    pub slots: f64,
    /// What all servers together may have in hand on average.
    pub limit: f64,
    /// How long a call takes when all is well.
    pub take: Duration,
    /// How many times as long while its caches are cold, and how many calls warm them.
    pub cold: f64,
    pub warming: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Well,
    /// All takes so many times as long.
    Slow(f64),
    /// Takes connections and never answers.
    Hung,
    /// Turns all away unexamined.
    Shedding,
    /// Ends each answer in its middle.
    Half,
    /// Refuses connections.
    Dead,
}

/// What a call is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Found,
    /// Turned away: it never ran.
    Shed,
    /// The first half of an answer, then the end.
    Half,
}

struct Open {
    ends: Duration,
    since: Duration,
    /// How long it would take if no other were in hand: slow and cold as the index is.
    alone: Duration,
}

pub struct Index {
    terms: Terms,
    pub state: State,
    open: BTreeMap<ConnNo, Open>,
    /// Calls since its caches were cold.
    warmed: u32,
    /// For the averages: calls in hand times seconds, and up to when.
    pub held: f64,
    at: Duration,
    pub most: usize,
    /// By second: how many times as long calls that ended then took as each would have alone, and how many there were.
    took: BTreeMap<u64, (f64, u32)>,
}

/// It has collapsed where calls take over so many times what each would alone for longer than this, in seconds. What it
/// takes for being cold is no caller's doing.
const COLLAPSED: f64 = 4.0;
const COLLAPSED_FOR: u64 = 2;

impl Index {
    pub fn new(terms: Terms) -> Index {
        let warmed = terms.warming;
        Index {
            terms,
            state: State::Well,
            open: BTreeMap::new(),
            warmed,
            held: 0.0,
            at: Duration::ZERO,
            most: 0,
            took: BTreeMap::new(),
        }
    }

    /// How often it collapsed, and the most that calls of one second took, in times what each would have alone.
    pub fn collapses(&self) -> (u32, f64) {
        let (mut collapses, mut row, mut worst) = (0, 0, 0.0f64);
        let mut last = None;
        for (second, (sum, count)) in &self.took {
            let times = sum / f64::from(*count);
            worst = worst.max(times);
            let follows = last.is_some_and(|last| last + 1 == *second);
            row = if times <= COLLAPSED {
                0
            } else if follows {
                row + 1
            } else {
                1
            };
            collapses += u32::from(row == COLLAPSED_FOR + 1);
            last = Some(*second);
        }
        (collapses, worst)
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Its caches are empty again.
    pub fn chill(&mut self) {
        self.warmed = 0;
    }

    fn count(&mut self, now: Duration) {
        self.held += self.open.len() as f64 * now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
    }

    /// A call has come whole. Gives its answer where that is at once; else it ends with `due`.
    pub fn called(&mut self, now: Duration, conn: ConnNo) -> Option<Word> {
        self.count(now);
        let full = self.open.len() as f64 >= self.terms.limit * SHED;
        if self.state == State::Shedding || full {
            return Some(Word::Shed);
        }
        let crowd = (self.open.len() as f64 + 1.0) / self.terms.slots.max(1.0);
        let cold =
            1.0 - f64::from(self.warmed.min(self.terms.warming)) / f64::from(self.terms.warming.max(1));
        let slow = match self.state {
            State::Slow(by) => by,
            _ => 1.0,
        };
        let factor = crowd.max(1.0).powf(CROWDED) * slow * (1.0 + (self.terms.cold - 1.0) * cold);
        let ends = match self.state {
            State::Hung | State::Dead => Duration::MAX,
            _ => now + self.terms.take.mul_f64(factor),
        };
        let alone = self.terms.take.mul_f64(slow * (1.0 + (self.terms.cold - 1.0) * cold));
        self.open.insert(conn, Open { ends, since: now, alone });
        self.most = self.most.max(self.open.len());
        None
    }

    /// The call's connection has ended, whoever ended it.
    pub fn gone(&mut self, now: Duration, conn: ConnNo) {
        self.count(now);
        self.open.remove(&conn);
    }

    pub fn next(&self) -> Option<Duration> {
        self.open.values().map(|o| o.ends).filter(|at| *at != Duration::MAX).min()
    }

    /// Calls that have come to their end: whose, the answer, and how long each took.
    pub fn due(&mut self, now: Duration) -> Vec<(ConnNo, Word, Duration)> {
        self.count(now);
        let done: Vec<ConnNo> = self.open.iter().filter(|(_, o)| o.ends <= now).map(|(c, _)| *c).collect();
        let word = if self.state == State::Half { Word::Half } else { Word::Found };
        self.warmed = self.warmed.saturating_add(done.len() as u32);
        let mut ended = Vec::with_capacity(done.len());
        for conn in done {
            let Some(open) = self.open.remove(&conn) else { continue };
            let took = now.saturating_sub(open.since);
            let second = self.took.entry(now.as_secs()).or_default();
            let times = took.as_secs_f64() / open.alone.as_secs_f64().max(1e-6);
            *second = (second.0 + times, second.1 + 1);
            ended.push((conn, word, took));
        }
        ended
    }

    /// It died: what it held is gone. Gives the connections to be reset.
    pub fn drop_all(&mut self, now: Duration) -> Vec<ConnNo> {
        self.count(now);
        std::mem::take(&mut self.open).into_keys().collect()
    }

    /// The calls in hand times seconds up to now.
    pub fn held_by(&mut self, now: Duration) -> f64 {
        self.count(now);
        self.held
    }
}
