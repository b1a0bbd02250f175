//! Events of runs in the worker pool and of the upstream calls that they wait for.

use super::log::log_request;
use super::ports::Ports;
use super::request::{BlockedCall, CallResult, Delivery};
use super::state::LinkState;
use super::Core;
use crate::payload::Payload;
use crate::worker_pool::{AttemptId, NoticeNumber};
use aldercrank::{Outcome, RequestId};
use std::time::Duration;

impl<P: Ports> Core<P> {
    /// A run ended. `run_time` is the time it spent in the worker pool; `result` is used only if it completed.
    pub fn run_ended(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: Outcome,
        run_time: Duration,
        result: Payload,
    ) {
        let state = self.advance_to(now);
        let Some(id) = state.in_flight.get(&attempt).copied() else {
            return tracing::debug!(%attempt, "run-ended notice ignored: the attempt is not in flight");
        };
        if state.running_request(id).is_none() {
            return tracing::warn!(%attempt, "run-ended notice ignored: the attempt's run was not started");
        }
        log_request!(attempt, ?outcome, "run ended");
        let completed = Some(result).filter(|_| outcome == Outcome::Completed);
        if let Some(reply_to) = state.take_reply_to(id) {
            if outcome != Outcome::NeverStarted {
                state.confirmed_connections.confirm(reply_to.conn);
            }
            match completed {
                Some(result) => state.ports.complete(reply_to, result),
                None => state.ports.fail(reply_to),
            }
        }
        let Some(request) = state.request(id) else { return };
        let (class, dedup_key) = (request.class, request.dedup_key);
        let waiters = std::mem::take(&mut request.waiters);
        if request.call_started_at.take().is_some() {
            state.ports.cancel_call(id);
        }
        let never_started = outcome.provably_not_run();
        if never_started {
            state.run_never_started(id);
        } else {
            state.remember_attempt(id);
        }
        if let Some(dedup_key) = dedup_key.filter(|_| !never_started) {
            state.dedup.run_ended(&dedup_key, id, completed);
        }
        state.finish(id);
        if let (Outcome::Completed, Some(tracker)) = (outcome, &mut self.slow_start) {
            tracker.run_completed(class, run_time);
        }
        if never_started {
            self.admission.run_never_started(now, id);
        } else {
            self.admission.run_ended(now, id, outcome, run_time);
        }
        waiters.into_iter().for_each(|waiter| self.end_join(waiter, completed));
        self.notify_ended();
    }

    /// The worker pool does not know a run whose start command it has received, so the run will never start.
    pub fn run_unknown(&mut self, now: Duration, attempt: AttemptId) {
        let state = self.advance_to(now);
        let id = state.in_flight.get(&attempt).copied();
        if let Some(reply_to) = id.and_then(|id| state.request(id)?.reply_to) {
            state.confirmed_connections.revoke(reply_to.conn);
        }
        self.run_ended(now, attempt, Outcome::NeverStarted, Duration::ZERO, Payload::Transient(&[]));
    }

    /// A run waits for an upstream call with this body; `notice` identifies the call to the worker pool.
    pub fn call_needed(&mut self, now: Duration, attempt: AttemptId, notice: NoticeNumber, body: &[u8]) {
        let state = self.advance_to(now);
        let Some(id) = state.in_flight.get(&attempt).copied() else {
            return tracing::debug!(%attempt, "upstream call notice ignored: the attempt is not in flight");
        };
        let Some(request) = state.running_request(id) else { return };
        request.blocked_call = Some(BlockedCall { notice, body: body.into() });
        request.delivery = Delivery::Confirmed;
        (request.undelivered_result, request.skip_sent_last) = (None, false);
        self.admission.call_requested(now, id);
        self.notify_ended();
    }

    /// The worker pool answered the poll with this tag. It has received every command sent before that poll.
    pub fn metrics_received(&mut self, now: Duration, tag: u64, load_metrics: &[f64]) {
        let state = self.advance_to(now);
        state.load_metrics.clear();
        state.load_metrics.extend_from_slice(load_metrics);
        (state.polling, state.answered_poll_tag) = (false, tag);
        if state.link == LinkState::Replaying(tag) {
            state.link = LinkState::Up;
            state.resend_commands();
        }
        self.notify_ended();
    }

    /// An upstream call ended. `reply` is used only if it completed.
    pub fn call_ended(&mut self, now: Duration, id: RequestId, outcome: Outcome, reply: &[u8]) {
        let state = self.advance_to(now);
        let Some(request) = state.running_request(id) else { return };
        let Some(started_at) = request.call_started_at.take() else { return };
        let has_caller = request.reply_to.is_some();
        log_request!(request.attempt, ?outcome, "upstream call ended");
        if outcome == Outcome::Completed && has_caller {
            state.send_call_result(id, CallResult::Reply(reply.into()));
        }
        if matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::TimedOut) {
            if let Some(tracker) = &mut self.slow_start {
                tracker.call_rejected();
            }
        }
        self.admission.call_ended(now, id, outcome, now.saturating_sub(started_at));
        self.notify_ended();
    }
}
