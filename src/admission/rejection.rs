//! Load shedding: the admission threshold, the rejection of requests that can't be answered in time, and final answers
//! to requests that don't complete.

use super::constants::{
    EXTRA_RUN_TIMES, LAST_ATTEMPT_REJECTED_SHARE, MAX_THRESHOLD, SMOOTHING, THRESHOLD_FULL_LOAD,
    THRESHOLD_START_LOAD,
};
use super::state::{LogTopic, OtherServers};
use super::Admission;
use crate::host::Host;
use crate::queue::QueuePosition;
use crate::request::{Stage, Timer};
use crate::types::{Effect, RequestId};
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Whether a request arrived so late in a drain that its caller should have stopped sending to this server.
    pub(super) fn arrived_after_drain_grace(&self, arrived_at: Duration) -> bool {
        self.draining
            .is_some_and(|drain| arrived_at > drain.notified_at + self.parameters.senders_stop_within)
    }

    /// Estimated time to work off the queue, in seconds.
    pub(super) fn queue_seconds(&self, now: Duration) -> f64 {
        self.queue.total_run_seconds(|class| self.run_seconds_now(now, class)) / self.window
    }

    /// Sets the admission threshold according to the time that requests wait divided by the slack that they have.
    pub(super) fn update_threshold(&mut self, now: Duration) {
        let slack = self.mean_over_arrivals(|i| {
            (self.classes[i].latency_target.as_secs_f64() - self.run_seconds_now(now, i)).max(0.0)
        });
        let load = (self.queue_seconds(now) + self.unread_seconds) / slack.max(1e-3);
        self.threshold = ((load - THRESHOLD_START_LOAD) / (THRESHOLD_FULL_LOAD - THRESHOLD_START_LOAD))
            .clamp(0.0, MAX_THRESHOLD);
    }

    /// Rejects requests so that the remaining ones can be answered in time. If a request is late only because of those
    /// ahead of it, the request with the lowest priority up to and including it is rejected instead.
    pub(super) fn reject_late(&mut self, now: Duration) {
        let run_times = 1.0 + EXTRA_RUN_TIMES * self.threshold.min(1.0);
        let speed = self.speed(now);
        let mut after = None;
        loop {
            let run_seconds = |class: usize| self.run_seconds[class] / speed;
            let slack = |due_at: Duration, class: usize| {
                due_at.saturating_sub(now).as_secs_f64() - run_seconds(class) * run_times
            };
            // Also holds for any negative slack, since the time ahead is never negative.
            let is_late = |seconds_ahead: f64, due_at: Duration, class: usize| {
                seconds_ahead / self.window > slack(due_at, class)
            };
            let Some(found) = self.queue.find_late(after, run_seconds, is_late) else { return };
            let is_late_alone = slack(found.position.due_at, found.class) < 0.0;
            let lowest = if is_late_alone { None } else { self.queue.lowest_priority_until(found.position) };
            after = Some(found.position);
            self.reject(now, lowest.unwrap_or(found.position).request_id);
        }
    }

    /// Rejects a request that has not run, for a reason such as load, a drain, its deadline or a repeat that replaces
    /// it.
    pub(super) fn reject(&mut self, now: Duration, id: RequestId) {
        let is_past_due = self.requests.get(&id).is_some_and(|request| request.due_at <= now);
        self.remove_unstarted(id);
        let longest = self.parameters.max_retry_after;
        let queue_seconds = self.queue_seconds(now);
        let is_warm = self.warm_up_progress(now) >= 1.0;
        let out_of_service = self.draining.is_some() || (!self.healthy && is_warm);
        let retry_after =
            if out_of_service { longest } else { longest.min(Duration::from_secs_f64(queue_seconds)) };
        let threshold = self.threshold;
        self.log(now, LogTopic::Rejection, || {
            format!(
                "rejecting requests: admission threshold {threshold:.2}, queue delay {queue_seconds:.2} s"
            )
        });
        // If a warm server rejects most requests, other servers do so too, and another attempt would be futile.
        self.rejected_share += SMOOTHING;
        let all_overloaded =
            self.rejected_share > LAST_ATTEMPT_REJECTED_SHARE && self.draining.is_none() && is_warm;
        let retry_after = Some(retry_after).filter(|span| !span.is_zero());
        self.host.reject(id, retry_after, all_overloaded || is_past_due);
    }

    /// Rejects a request that this server may not run regardless of load, because of its class, its caller or the
    /// permission.
    pub(super) fn reject_by_policy(&mut self, id: RequestId, other_servers: OtherServers) {
        self.remove_unstarted(id);
        let retry_after = Some(self.parameters.max_retry_after).filter(|span| !span.is_zero());
        self.host.reject(id, retry_after, other_servers == OtherServers::WouldRejectToo);
    }

    /// Fails a request that has started or repeats an earlier one: the answer leaves open whether it took effect.
    pub(super) fn fail(&mut self, id: RequestId) {
        self.host.fail(id);
        self.abandon(id);
    }

    /// Handles a request for which no caller waits any more. A request that has not started is removed; a run is
    /// stopped if runs can be stopped and the request is idempotent.
    pub(super) fn abandon(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.stage, Stage::Queued | Stage::Joined) {
            return self.remove_unstarted(id);
        }
        request.answered = true;
        self.awaiting_call.remove(&id);
        let is_running = request.stage == Stage::Running;
        if self.parameters.can_stop_runs && is_running && request.effect == Effect::Idempotent {
            self.host.stop_run(id);
        }
    }

    /// Removes a request that has not started from all tables.
    fn remove_unstarted(&mut self, id: RequestId) {
        if let Some(request) = self.remove(id) {
            self.queue.remove(QueuePosition { due_at: request.due_at, request_id: id });
            self.forget(id);
        }
    }

    /// Removes the deduplication entry of a request that has not run, and its timer.
    pub(super) fn forget(&mut self, id: RequestId) {
        if let Some(ends_at) = self.dedup.remove(id) {
            self.timers.remove(&Timer::dedup_entry(id, ends_at));
            self.host.forget(id);
        }
    }
}
