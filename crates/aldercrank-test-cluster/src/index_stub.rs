//! A stub of the shared index without sockets and clock. It has a number of slots, beyond which all calls slow down,
//! and can be slow, hung, shedding, truncating, dead or cold. It counts its open calls, since no other party sees the
//! calls of all servers.

use crate::ids::ConnNo;
use std::collections::BTreeMap;
use std::time::Duration;

/// The exponent by which the duration of calls grows with the load per slot.
const CROWDING_EXPONENT: f64 = 1.5;
/// Calls beyond this many times the limit are rejected.
const SHEDDING_FACTOR: f64 = 2.0;
/// The index has collapsed where calls take more than this many times what each would take alone, for longer than
/// `COLLAPSE_SECONDS`. Slowness of cold caches is not counted, since no caller causes it.
const COLLAPSE_SLOWDOWN: f64 = 4.0;
const COLLAPSE_SECONDS: u64 = 2;

/// The index's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IndexSettings {
    /// Calls that it serves at once without slowing down.
    pub slots: f64,
    /// Calls that all servers together may have outstanding on average.
    pub limit: f64,
    /// The duration of a call that is alone, with warm caches.
    pub call_duration: Duration,
    /// How many times as long a call takes while the caches are empty.
    pub cold_slowdown: f64,
    /// How many calls warm the caches.
    pub warming: u32,
}

/// The injected fault, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IndexState {
    /// No fault.
    Healthy,
    /// Each call takes this many times as long.
    Slow(f64),
    /// Connections are accepted and calls never answered.
    Hung,
    /// Each call is rejected.
    Shedding,
    /// Each answer ends in its middle.
    Truncating,
    /// Connections are refused.
    Dead,
}

/// The answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IndexAnswer {
    /// The result.
    Found,
    /// The call was rejected and did not run.
    Rejected,
    /// The first half of a result, then the connection ends.
    Truncated,
}

/// A call that has come to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedCall {
    /// The connection that it came on.
    pub conn: ConnNo,
    /// Its answer.
    pub answer: IndexAnswer,
}

/// How much callers have overloaded the index.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overload {
    /// How often it collapsed.
    pub collapses: u32,
    /// The largest mean duration of the calls of one second, as a multiple of what each would have taken alone.
    pub worst_slowdown: f64,
}

struct OpenCall {
    /// `Duration::MAX` if it never ends.
    ends: Duration,
    since: Duration,
    /// The duration that it would have if no other call were open.
    duration_alone: Duration,
}

#[derive(Default)]
struct SecondOfCalls {
    slowdown_sum: f64,
    calls: u32,
}

/// The shared index.
pub struct IndexStub {
    settings: IndexSettings,
    /// The injected fault.
    pub state: IndexState,
    open_calls: BTreeMap<ConnNo, OpenCall>,
    /// Calls served since the caches were empty.
    calls_since_cold: u32,
    /// The number of open calls, integrated over time in seconds.
    open_call_seconds: f64,
    integrated_to: Duration,
    /// The most calls that were open at once.
    pub most_open_calls: usize,
    /// Ended calls, by the second of their end.
    seconds: BTreeMap<u64, SecondOfCalls>,
}

impl IndexStub {
    /// A healthy index with warm caches.
    pub fn new(settings: IndexSettings) -> IndexStub {
        IndexStub {
            settings,
            state: IndexState::Healthy,
            open_calls: BTreeMap::new(),
            calls_since_cold: settings.warming,
            open_call_seconds: 0.0,
            integrated_to: Duration::ZERO,
            most_open_calls: 0,
            seconds: BTreeMap::new(),
        }
    }

    /// How much it has been overloaded so far.
    pub fn overload(&self) -> Overload {
        let mut overload = Overload::default();
        let mut seconds_in_row = 0;
        let mut previous = None;
        for (second, calls) in &self.seconds {
            let slowdown = calls.slowdown_sum / f64::from(calls.calls);
            overload.worst_slowdown = overload.worst_slowdown.max(slowdown);
            let consecutive = previous.is_some_and(|previous| previous + 1 == *second);
            seconds_in_row = match (slowdown > COLLAPSE_SLOWDOWN, consecutive) {
                (false, _) => 0,
                (true, true) => seconds_in_row + 1,
                (true, false) => 1,
            };
            overload.collapses += u32::from(seconds_in_row == COLLAPSE_SECONDS + 1);
            previous = Some(*second);
        }
        overload
    }

    /// The capacity that it was made with.
    pub fn settings(&self) -> &IndexSettings {
        &self.settings
    }

    /// Empties the caches.
    pub fn empty_caches(&mut self) {
        self.calls_since_cold = 0;
    }

    fn integrate_open_calls(&mut self, now: Duration) {
        let span = now.saturating_sub(self.integrated_to).as_secs_f64();
        self.open_call_seconds += self.open_calls.len() as f64 * span;
        self.integrated_to = self.integrated_to.max(now);
    }

    /// A call has been received in full. Returns its answer if it is rejected; otherwise the call is open until
    /// [`IndexStub::take_ended_calls`] returns it.
    pub fn call_received(&mut self, now: Duration, conn: ConnNo) -> Option<IndexAnswer> {
        self.integrate_open_calls(now);
        let settings = &self.settings;
        let full = self.open_calls.len() as f64 >= settings.limit * SHEDDING_FACTOR;
        if self.state == IndexState::Shedding || full {
            return Some(IndexAnswer::Rejected);
        }
        let load_per_slot = (self.open_calls.len() as f64 + 1.0) / settings.slots.max(1.0);
        let coldness =
            1.0 - f64::from(self.calls_since_cold.min(settings.warming)) / f64::from(settings.warming.max(1));
        let slow = match self.state {
            IndexState::Slow(by) => by,
            _ => 1.0,
        };
        let cold = 1.0 + (settings.cold_slowdown - 1.0) * coldness;
        let factor = load_per_slot.max(1.0).powf(CROWDING_EXPONENT) * slow * cold;
        let ends = match self.state {
            IndexState::Hung | IndexState::Dead => Duration::MAX,
            _ => now + settings.call_duration.mul_f64(factor),
        };
        let duration_alone = settings.call_duration.mul_f64(slow * cold);
        self.open_calls.insert(conn, OpenCall { ends, since: now, duration_alone });
        self.most_open_calls = self.most_open_calls.max(self.open_calls.len());
        None
    }

    /// The connection of a call has ended, at either side.
    pub fn connection_ended(&mut self, now: Duration, conn: ConnNo) {
        self.integrate_open_calls(now);
        self.open_calls.remove(&conn);
    }

    /// When the next call ends.
    pub fn next_end(&self) -> Option<Duration> {
        self.open_calls.values().map(|call| call.ends).filter(|at| *at != Duration::MAX).min()
    }

    /// Takes the calls that have ended by `now`, by connection.
    pub fn take_ended_calls(&mut self, now: Duration) -> Vec<EndedCall> {
        self.integrate_open_calls(now);
        let ended = self.open_calls.iter().filter(|(_, call)| call.ends <= now);
        let conns: Vec<ConnNo> = ended.map(|(conn, _)| *conn).collect();
        let truncating = self.state == IndexState::Truncating;
        let answer = if truncating { IndexAnswer::Truncated } else { IndexAnswer::Found };
        self.calls_since_cold = self.calls_since_cold.saturating_add(conns.len() as u32);
        for conn in &conns {
            let Some(call) = self.open_calls.remove(conn) else { continue };
            let took = now.saturating_sub(call.since);
            let second = self.seconds.entry(now.as_secs()).or_default();
            second.slowdown_sum += took.as_secs_f64() / call.duration_alone.as_secs_f64().max(1e-6);
            second.calls += 1;
        }
        conns.into_iter().map(|conn| EndedCall { conn, answer }).collect()
    }

    /// Drops all open calls, as a crash does. Returns their connections, which are to be reset.
    pub fn drop_open_calls(&mut self, now: Duration) -> Vec<ConnNo> {
        self.integrate_open_calls(now);
        std::mem::take(&mut self.open_calls).into_keys().collect()
    }

    /// The number of open calls, integrated over time up to `now`, in call seconds.
    pub fn open_call_seconds(&mut self, now: Duration) -> f64 {
        self.integrate_open_calls(now);
        self.open_call_seconds
    }
}
