//! The core of a server: owns the admission module and the requests in flight, with their stages and timers.
//!
//! It does no I/O and has no clock. Each event is a method that takes the time of the event; actions are taken through
//! the trait [`Ports`]. Only the admission module decides on admission.

mod configuration;
mod confirmed_connections;
mod host;
mod lease;
mod log;
mod pool_link;
mod ports;
mod receive;
mod recent_attempts;
mod request;
mod runs;
mod slow_start;
mod state;
mod timers;

pub use aldercrank_protocol::msgpack_rpc::MessageId;
pub use ports::{ConnId, Ports, ReceivedRequest, ReplyTo, TimerId};

use crate::dedup::CachedOutcome;
use crate::payload::Payload;
use aldercrank::{Admission, Outcome, RequestId, Settings};
use aldercrank_pacing::SlowStartStatus;
use log::log_request;
use request::Stage;
use slow_start::SlowStartTracker;
use state::{CoreState, EndedRequest};
use std::time::Duration;

/// The share of the server's memory that cached results may use.
pub const CACHED_RESULTS_MEMORY_SHARE: f64 = 0.1;

/// The number of entries in the core's tables, expired ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests with a slot.
    pub requests: usize,
    /// Deduplication entries.
    pub dedup_entries: usize,
    /// Ids of unsafe attempts whose runs have ended.
    pub recent_attempts: usize,
}

/// A server's core: the admission module with its host.
pub struct Core<P: Ports> {
    admission: Admission<CoreState<P>>,
    /// Present if the service file asks for it.
    slow_start: Option<SlowStartTracker>,
}

impl<P: Ports> Core<P> {
    /// Creates a core. `now` is the time since the worker pool came up; `result_capacity` is the number of bytes that
    /// cached results may use.
    pub fn new(settings: &Settings, now: Duration, result_capacity: usize, ports: P) -> Core<P> {
        let mut state = CoreState::new(now, result_capacity, ports);
        state.load_settings(settings);
        Core { admission: Admission::new(settings, now, state), slow_start: None }
    }

    /// Starts to track the slow start. `cold`: whether the worker pool has just started.
    pub fn track_slow_start(&mut self, now: Duration, settings: &Settings, cold: bool) {
        let mut tracker = SlowStartTracker::new(settings);
        tracker.pool_up(now, cold);
        self.slow_start = Some(tracker);
    }

    /// Returns the progress of the slow start, or none if it is not tracked.
    pub fn slow_start_status(&self) -> Option<SlowStartStatus> {
        self.slow_start.as_ref().map(SlowStartTracker::status)
    }

    /// Returns the number of requests that are queued, joined to another or running.
    pub fn requests_in_flight(&self) -> usize {
        self.admission.host.in_flight.len()
    }

    /// Returns the number of requests that have not been answered and whose callers have not gone.
    pub fn responses_owed(&self) -> usize {
        self.admission.host.replies_owed.len()
    }

    /// Returns the number of entries in the tables.
    pub fn table_sizes(&self) -> TableSizes {
        let state = &self.admission.host;
        TableSizes {
            requests: state.requests.len(),
            dedup_entries: state.dedup.len(),
            recent_attempts: state.recent_attempts.len(),
        }
    }

    /// Begins an event: advances the time, and applies an expiry of the lease first.
    fn advance_to(&mut self, now: Duration) -> &mut CoreState<P> {
        self.admission.host.now = self.admission.host.now.max(now);
        if now >= self.admission.host.lease.next_change() {
            self.apply_lease(now);
        }
        &mut self.admission.host
    }

    /// Completes an event: notifies the admission module of the calls that were suppressed and the requests that ended
    /// during the event.
    fn notify_ended(&mut self) {
        self.notify_suppressed_calls();
        while let Some(EndedRequest { id, outcome }) = self.admission.host.ended.pop_front() {
            let state = &mut self.admission.host;
            let now = state.now;
            let Some(request) = state.request(id) else { continue };
            match request.stage {
                Stage::Joined => {
                    let cached = request.dedup_key.map(|key| state.dedup.outcome(&key));
                    match cached.filter(|_| outcome == Outcome::Completed) {
                        Some(CachedOutcome::Completed(result)) => {
                            self.end_join(id, Some(Payload::Shared(&result)));
                        }
                        _ => self.end_join(id, None),
                    }
                }
                Stage::Running if outcome == Outcome::NeverStarted => {
                    state.run_never_started(id);
                    state.finish(id);
                    self.admission.run_never_started(now, id);
                }
                Stage::Running => {
                    state.remember_attempt(id);
                    state.finish(id);
                    self.admission.run_ended(now, id, outcome, Duration::ZERO);
                }
                Stage::Queued | Stage::Finished => {}
            }
        }
    }

    /// Answers a repeat with the result of the request that it repeats, or fails it if there is none.
    fn end_join(&mut self, id: RequestId, result: Option<Payload>) {
        let state = &mut self.admission.host;
        let now = state.now;
        let Some(request) = state.request(id).filter(|request| request.stage == Stage::Joined) else {
            return;
        };
        let waited = now.saturating_sub(request.joined_at);
        log_request!(
            request.attempt,
            completed = result.is_some(),
            "repeat answered with the original request's outcome"
        );
        if let Some(reply_to) = state.take_reply_to(id) {
            match result {
                Some(result) => state.ports.complete(reply_to, result),
                None => state.ports.fail(reply_to),
            }
        }
        state.finish(id);
        let outcome = if result.is_some() { Outcome::Completed } else { Outcome::Failed };
        self.admission.run_ended(now, id, outcome, waited);
    }
}
