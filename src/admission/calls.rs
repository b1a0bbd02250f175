//! Upstream calls of individual requests: which are made, with which timeout, which are skipped, and how they end.

use super::constants::{
    ABANDONED_CALL_RATIO, BEST_CALL_DRIFT, MAX_CALL_ATTEMPTS, MAX_CALL_WAIT_SHARE, MIN_CALLS_FOR_BEST,
    RUN_SHARE_AFTER_CALL, SMOOTHING, SUFFICIENT_TIMEOUT_RATIO, UNANSWERED_CALL_RATIO,
};
use super::state::{CallEnding, RankedCall};
use super::Admission;
use crate::host::Host;
use crate::request::{Request, Stage};
use crate::types::{Effect, Outcome, RequestId};
use std::time::Duration;

/// State shared by the decisions of one pass over the requested calls.
struct CallPass {
    /// The longest timeout that this server's call quota still allows.
    longest_timeout: Duration,
    /// Number of calls that have to wait, of those decided so far.
    calls_ahead: f64,
    /// Number of calls that may occupy the dependency.
    open_calls: f64,
    /// The largest loss of any class if its call is not made, in millionths of a priority weight.
    largest_loss: Option<i64>,
}

/// The decision on one requested call.
enum CallDecision {
    Make { timeout: Duration },
    Skip,
    Wait,
}

impl<H: Host> Admission<H> {
    /// Handles a running request that needs its upstream call.
    pub fn call_requested(&mut self, now: Duration, id: RequestId) {
        self.run_due_timers(now);
        let running = |request: &&mut Request| request.stage == Stage::Running && !request.answered;
        if let Some(request) = self.requests.get_mut(&id).filter(running) {
            request.call_requested_at = now;
            self.set_stage(id, Stage::AwaitingCall);
            self.start_calls(now);
        }
    }

    /// Handles the end of an upstream call. The request continues with the result, retries the call, continues without
    /// it, or fails.
    pub fn call_ended(&mut self, now: Duration, id: RequestId, outcome: Outcome, took: Duration) {
        self.run_due_timers(now);
        if !self.requests.get(&id).is_some_and(|request| request.stage == Stage::Calling && !request.answered)
        {
            return;
        }
        self.set_stage(id, Stage::AwaitingCall);
        let timed_out = outcome == Outcome::TimedOut;
        self.end_call(now, id, if timed_out { CallEnding::Abandoned } else { CallEnding::Ended });
        if outcome == Outcome::Rejected {
            self.call_was_rejected();
        }
        if matches!(outcome, Outcome::Completed | Outcome::TimedOut) {
            self.record_call_time(now, outcome, took);
        }
        if outcome == Outcome::Completed {
            self.resume_run(now, id);
        } else {
            self.call_failed(now, id, outcome, took);
        }
        self.start_calls(now);
    }

    fn record_call_time(&mut self, now: Duration, outcome: Outcome, took: Duration) {
        let times = &mut self.call_times;
        times.recorded_at = now;
        times.count += 1.0;
        let (smoothed, took) = (times.smoothed, took.as_secs_f64());
        times.last = took;
        // An unanswered call says little about other calls, so only many of them raise the smoothed time significantly.
        let counted = if outcome == Outcome::Completed {
            took
        } else {
            took.clamp(smoothed, smoothed * UNANSWERED_CALL_RATIO)
        };
        times.smoothed += SMOOTHING.max(1.0 / times.count) * (counted - smoothed);
        if times.count >= MIN_CALLS_FOR_BEST {
            times.best = times.best.min(times.smoothed) * BEST_CALL_DRIFT;
        }
    }

    /// Handles a failed call. It is retried if it provably did not run, or if running it again is safe and there is
    /// time. Otherwise it is skipped if it is optional, or else the request fails. An optional call is retried at most
    /// once.
    fn call_failed(&mut self, now: Duration, id: RequestId, outcome: Outcome, took: Duration) {
        let request = &self.requests[&id];
        let attempts = request.call_attempts;
        let has_time = outcome != Outcome::TimedOut || now + took <= request.due_at;
        let may_retry = outcome.provably_not_run() || (request.effect == Effect::Idempotent && has_time);
        let can_skip = self.classes[request.class].share_without_call > 0.0;
        if can_skip && (!may_retry || attempts > 1) {
            self.resume_run(now, id);
            self.host.skip_call(id);
        } else if may_retry && attempts < MAX_CALL_ATTEMPTS {
            let next_call_at = now + self.parameters.tick * 2;
            self.requests.entry(id).and_modify(|request| request.next_call_at = next_call_at);
        } else {
            self.fail(id);
        }
    }

    /// Makes requested calls while the call window has room, in descending order of the loss if they are not made, and
    /// skips optional calls that would wait too long. Then starts queued requests.
    pub(super) fn start_calls(&mut self, now: Duration) {
        if self.awaiting_call.is_empty() {
            return self.start_queued(now);
        }
        let mut ranked = std::mem::take(&mut self.ranked_calls);
        ranked.extend(self.awaiting_call.iter().map(|(id, ())| self.rank_call(now, id)));
        ranked.sort_unstable();
        let callers = (0..self.classes.len()).filter(|class| self.classes[*class].makes_calls);
        let mut pass = CallPass {
            largest_loss: callers.map(|class| self.loss_without_call(class)).max(),
            longest_timeout: self.longest_timeout(now),
            calls_ahead: 0.0,
            open_calls: self.calls.open_count(now) as f64,
        };
        for call in ranked.drain(..) {
            match self.decide_call(now, &call, &pass) {
                CallDecision::Make { timeout } => self.make_call(now, call.request_id, timeout, &mut pass),
                CallDecision::Skip => {
                    self.resume_run(now, call.request_id);
                    self.host.skip_call(call.request_id);
                }
                CallDecision::Wait => pass.calls_ahead += 1.0,
            }
        }
        self.ranked_calls = ranked;
        self.start_queued(now);
    }

    /// Ranks a requested call. A request that can't be answered in time any more has only the weight of a late answer
    /// to lose.
    fn rank_call(&self, now: Duration, id: RequestId) -> RankedCall {
        let request = &self.requests[&id];
        let usual_seconds =
            self.run_seconds_now(now, request.class) * RUN_SHARE_AFTER_CALL + self.call_times.smoothed;
        let in_time = request.due_at.saturating_sub(now).as_secs_f64() >= usual_seconds;
        let share = if in_time { 1.0 } else { self.classes[request.class].late_share };
        let negated_loss = (-self.loss_without_call(request.class) as f64 * share) as i64;
        RankedCall { negated_loss, due_at: request.due_at, request_id: id }
    }

    fn decide_call(&self, now: Duration, call: &RankedCall, pass: &CallPass) -> CallDecision {
        let request = &self.requests[&call.request_id];
        let class = &self.classes[request.class];
        let can_skip = class.share_without_call > 0.0;
        let run_after = self.run_seconds_now(now, request.class) * RUN_SHARE_AFTER_CALL;
        let run_after = Duration::from_secs_f64(run_after);
        let until_due = request.due_at.saturating_sub(now + run_after);
        let until_deadline = request.deadline.saturating_sub(now + run_after + self.parameters.tick);
        let in_time = until_due > self.parameters.tick;
        let time_left = if can_skip && in_time { until_due } else { until_deadline };
        // A call that takes many times the usual time is unlikely to be answered and must not block others.
        let time_left = time_left.min(self.multiple_of_call_time(ABANDONED_CALL_RATIO));
        // Unless no call counts against the quota, a call waits while the quota would cut its timeout below the
        // sufficient one: if such a timeout expired, it would be unknown whether the call took effect.
        let sufficient =
            time_left.min(class.latency_target / 2).min(self.multiple_of_call_time(SUFFICIENT_TIMEOUT_RATIO));
        let fits_quota = pass.longest_timeout >= sufficient || self.calls.is_empty();
        let interval = self.call_times.smoothed / self.call_window;
        let has_room = fits_quota
            && (pass.open_calls + 1.0 <= self.call_window || self.is_next_call_due(now, pass, interval))
            && now >= request.next_call_at;
        let wait_seconds = if has_room {
            self.call_times.smoothed
        } else {
            (pass.calls_ahead + 1.0) * interval + self.call_times.smoothed
        };
        let is_futile = wait_seconds > until_due.as_secs_f64() * MAX_CALL_WAIT_SHARE
            && (!until_due.is_zero() || class.late_share <= 0.0 || !has_room);
        let is_cheap = -call.negated_loss < pass.largest_loss.unwrap_or(0);
        if can_skip && (is_futile || (is_cheap && self.calls_are_slow())) {
            CallDecision::Skip
        } else if has_room {
            CallDecision::Make { timeout: time_left.max(self.parameters.tick).min(pass.longest_timeout) }
        } else {
            CallDecision::Wait
        }
    }

    /// With a call window below 1, calls are made one at a time, at intervals that keep them within their share of the
    /// time. The interval also allows for the time of the last call by itself, since the smoothed time lags behind a
    /// dependency that has become slow.
    fn is_next_call_due(&self, now: Duration, pass: &CallPass, interval: f64) -> bool {
        let since_last =
            self.calls.last_start().map_or(f64::MAX, |started| now.saturating_sub(started).as_secs_f64());
        pass.open_calls == 0.0 && since_last >= interval.max(self.call_times.last / self.call_window)
    }

    fn make_call(&mut self, now: Duration, id: RequestId, timeout: Duration, pass: &mut CallPass) {
        pass.open_calls += 1.0;
        self.calls.start(id, now, now + timeout);
        pass.longest_timeout = pass.longest_timeout.saturating_sub(timeout);
        self.set_stage(id, Stage::Calling);
        self.requests.entry(id).and_modify(|request| request.call_attempts += 1);
        self.host.start_call(id, timeout);
    }

    /// Continues a run after its upstream call, or without it.
    fn resume_run(&mut self, now: Duration, id: RequestId) {
        self.set_stage(id, Stage::Running);
        self.requests
            .entry(id)
            .and_modify(|request| request.call_time += now.saturating_sub(request.call_requested_at));
    }
}
