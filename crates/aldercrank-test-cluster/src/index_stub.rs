//! A stub of the shared index. More open calls than it has slots slow all calls down, and injected faults make it slow,
//! hung, shedding, truncating, dead or cold. It counts its open calls, since no other component sees the calls of all
//! servers. It performs no I/O and reads no clock.

use crate::ids::ConnNo;
use std::collections::BTreeMap;
use std::time::Duration;

/// The duration of calls grows with the load per slot, raised to this power.
const CROWDING_EXPONENT: f64 = 1.5;
/// Calls are rejected while the number of open calls is at least this multiple of the limit.
const SHEDDING_FACTOR: f64 = 2.0;
/// The index has collapsed if calls take, on average, more than this multiple of their uncontended duration for more
/// than `COLLAPSE_SECONDS` seconds in a row. Slowness of cold caches is not counted, since no caller causes it.
const COLLAPSE_SLOWDOWN: f64 = 4.0;
const COLLAPSE_SECONDS: u64 = 2;

/// The index's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IndexSettings {
    /// Concurrent calls that it serves without slowing down.
    pub slots: f64,
    /// The mean number of outstanding calls that all servers together may have.
    pub limit: f64,
    /// The uncontended duration of a call with warm caches.
    pub call_duration: Duration,
    /// The factor by which a call takes longer while the caches are empty.
    pub cold_slowdown: f64,
    /// The number of calls after which the caches are warm.
    pub calls_to_warm: u32,
}

/// The injected fault, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IndexState {
    /// No fault.
    Healthy,
    /// Each call takes longer by this factor.
    Slow(f64),
    /// Connections are accepted, but calls are never answered.
    Hung,
    /// Each call is rejected.
    Shedding,
    /// Each answer is cut off halfway.
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

/// A call that has ended.
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
    /// The largest mean duration of the calls that ended within one second, as a multiple of their uncontended
    /// duration.
    pub worst_slowdown: f64,
}

struct OpenCall {
    /// `Duration::MAX` if it never ends.
    ends: Duration,
    since: Duration,
    /// The duration that it would have if no other call were open.
    uncontended_duration: Duration,
}

#[derive(Default)]
struct CallsInSecond {
    slowdown_sum: f64,
    calls: u32,
}

/// The shared index.
pub struct IndexStub {
    settings: IndexSettings,
    /// The injected fault.
    pub state: IndexState,
    open_calls: BTreeMap<ConnNo, OpenCall>,
    /// Calls served since the caches were last emptied.
    calls_since_cold: u32,
    /// The number of open calls, integrated over time in seconds.
    open_call_seconds: f64,
    integrated_to: Duration,
    /// The most calls that were open at once.
    pub most_open_calls: usize,
    /// Ended calls, by the second of their end.
    seconds: BTreeMap<u64, CallsInSecond>,
}

impl IndexStub {
    /// A healthy index with warm caches.
    pub fn new(settings: IndexSettings) -> IndexStub {
        IndexStub {
            settings,
            state: IndexState::Healthy,
            open_calls: BTreeMap::new(),
            calls_since_cold: settings.calls_to_warm,
            open_call_seconds: 0.0,
            integrated_to: Duration::ZERO,
            most_open_calls: 0,
            seconds: BTreeMap::new(),
        }
    }

    /// The overload so far.
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

    /// The capacity that was passed to [`IndexStub::new`].
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

    /// Handles a call that has been received in full. Returns the answer if the call is rejected; otherwise the call
    /// stays open until [`IndexStub::take_ended_calls`] returns it.
    pub fn call_received(&mut self, now: Duration, conn: ConnNo) -> Option<IndexAnswer> {
        self.integrate_open_calls(now);
        let settings = &self.settings;
        let full = self.open_calls.len() as f64 >= settings.limit * SHEDDING_FACTOR;
        if self.state == IndexState::Shedding || full {
            return Some(IndexAnswer::Rejected);
        }
        let load_per_slot = (self.open_calls.len() as f64 + 1.0) / settings.slots.max(1.0);
        let coldness = 1.0
            - f64::from(self.calls_since_cold.min(settings.calls_to_warm))
                / f64::from(settings.calls_to_warm.max(1));
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
        let uncontended_duration = settings.call_duration.mul_f64(slow * cold);
        self.open_calls.insert(conn, OpenCall { ends, since: now, uncontended_duration });
        self.most_open_calls = self.most_open_calls.max(self.open_calls.len());
        None
    }

    /// Drops the call of a connection that either side has ended.
    pub fn connection_ended(&mut self, now: Duration, conn: ConnNo) {
        self.integrate_open_calls(now);
        self.open_calls.remove(&conn);
    }

    /// When the next call ends.
    pub fn next_end(&self) -> Option<Duration> {
        self.open_calls.values().map(|call| call.ends).filter(|at| *at != Duration::MAX).min()
    }

    /// Removes and returns the calls that have ended by `now`, in the order of their connections.
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
            second.slowdown_sum += took.as_secs_f64() / call.uncontended_duration.as_secs_f64().max(1e-6);
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
