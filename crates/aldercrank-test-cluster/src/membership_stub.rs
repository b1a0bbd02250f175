//! The list service as a stand-in, without sockets: servers report to it, an entry lapses when its reports stop,
//! and edge nodes see what it says a while late. It has a stated capacity, beyond which it queues and refuses.

use crate::ids::{ConnNo, ServerNo};
use aldercrank_protocol::membership::ENTRY_TTL;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The longest that a report may queue; beyond it is refused.
const QUEUE: Duration = Duration::from_millis(500);
/// What it says to those that it refuses.
pub const COME_BACK: Duration = Duration::from_secs(1);
/// How long what was said is remembered, for edge nodes that see it late.
const PAST: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Refuses connections.
    Down,
    /// Takes reports and never answers; they do not count.
    Silent,
    /// Takes connections and closes them.
    Closing,
}

/// What becomes of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Answered 204 at this moment.
    Taken(Duration),
    /// Answered 503, with when to come back.
    Refused,
    /// Not answered at all.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
struct Said {
    at: Duration,
    up: bool,
}

pub struct MembershipStub {
    /// Reports a second.
    capacity: f64,
    pub state: State,
    said: BTreeMap<ServerNo, VecDeque<Said>>,
    /// Spans in which it was down: nothing lapses then.
    down: Vec<(Duration, Option<Duration>)>,
    busy_until: Duration,
    /// Times at which reports came whole: who, and whether it was taken.
    pub reports: Vec<(Duration, ServerNo, bool)>,
    /// When connections were made, of which some never ask.
    pub connections: Vec<Duration>,
    waiting: BTreeMap<(Duration, ConnNo), ()>,
}

impl MembershipStub {
    pub fn new(capacity: f64) -> MembershipStub {
        MembershipStub {
            capacity: capacity.max(0.1),
            state: State::Up,
            said: BTreeMap::new(),
            down: Vec::new(),
            busy_until: Duration::ZERO,
            reports: Vec::new(),
            connections: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }

    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(0.1);
    }

    pub fn turn(&mut self, now: Duration, state: State) {
        let (was, is) = (self.state != State::Up, state != State::Up);
        if is && !was {
            self.down.push((now, None));
        } else if let Some(last) = self.down.last_mut().filter(|_| was && !is) {
            last.1 = Some(now);
        }
        self.state = state;
    }

    /// It has started again and knows nobody.
    pub fn forget(&mut self) {
        self.said.clear();
    }

    /// A report has come whole on this connection.
    pub fn report(&mut self, now: Duration, conn: ConnNo, server: ServerNo, up: bool) -> Word {
        if self.state != State::Up {
            self.reports.push((now, server, false));
            return Word::Nothing;
        }
        let begins = self.busy_until.max(now);
        if begins - now > QUEUE {
            self.reports.push((now, server, false));
            return Word::Refused;
        }
        self.busy_until = begins + Duration::from_secs_f64(1.0 / self.capacity);
        self.reports.push((now, server, true));
        let said = self.said.entry(server).or_default();
        said.push_back(Said { at: now, up });
        while said.len() > 2 && said[1].at + PAST < now {
            said.pop_front();
        }
        self.waiting.insert((self.busy_until, conn), ());
        Word::Taken(self.busy_until)
    }

    /// When the next answer is due.
    pub fn next(&self) -> Option<Duration> {
        self.waiting.keys().next().map(|(at, _)| *at)
    }

    /// Reports whose answer is due.
    pub fn due(&mut self, now: Duration) -> Vec<ConnNo> {
        let mut conns = Vec::new();
        while let Some(((_, conn), ())) = self.waiting.first_key_value().filter(|((at, _), ())| *at <= now) {
            conns.push(*conn);
            self.waiting.pop_first();
        }
        conns
    }

    /// How much of this span it was down.
    fn down_in(&self, from: Duration, to: Duration) -> Duration {
        let part = |(began, ended): &(Duration, Option<Duration>)| {
            ended.unwrap_or(Duration::MAX).min(to).saturating_sub((*began).max(from))
        };
        self.down.iter().map(part).sum()
    }

    /// Whether a server stood in the list at that moment.
    pub fn listed(&self, server: ServerNo, at: Duration) -> bool {
        let said = self.said.get(&server);
        let last = said.and_then(|s| s.iter().rev().find(|s| s.at <= at));
        last.is_some_and(|s| s.up && at.saturating_sub(s.at) < ENTRY_TTL + self.down_in(s.at, at))
    }

    /// The most connections in any tenth of a second, and in any second, within this span.
    pub fn crowd(&self, from: Duration, to: Duration) -> (usize, usize) {
        let within: Vec<Duration> =
            self.connections.iter().copied().filter(|at| *at >= from && *at < to).collect();
        let most = |span: Duration| {
            let (mut first, mut most) = (0, 0);
            for (last, at) in within.iter().enumerate() {
                while within[first] + span <= *at {
                    first += 1;
                }
                most = most.max(last + 1 - first);
            }
            most
        };
        (most(Duration::from_millis(100)), most(Duration::from_secs(1)))
    }

    /// Those listed at that moment, in their order.
    pub fn view(&self, at: Duration) -> Vec<ServerNo> {
        self.said.keys().copied().filter(|s| self.listed(*s, at)).collect()
    }
}
