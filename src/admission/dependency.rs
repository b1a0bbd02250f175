//! The state of the upstream dependency: the call window, this server's call quota, and usual call times.

use super::constants::{
    CALL_BOUND, CALL_WINDOW_STEP_SHARE, MAX_CALL_WINDOW_SHARE, MIN_CALL_WINDOW_SHARE, REJECTED_CALL_FACTOR,
    SLOW_CALL_LATENCY_SHARE, SLOW_CALL_RATIO, WINDOW_CUT_FACTOR,
};
use super::state::{CallEnding, LogTopic};
use super::Admission;
use crate::host::Host;
use crate::types::RequestId;
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Records the end of a call. An abandoned call counts as outstanding for a while, since it may still occupy the
    /// dependency.
    pub(super) fn end_call(&mut self, now: Duration, id: RequestId, ending: CallEnding) {
        let remaining = match ending {
            CallEnding::Ended => Duration::ZERO,
            CallEnding::Abandoned => self.parameters.abandoned_call_time,
        };
        self.calls.set_end(id, now, now + remaining);
    }

    /// Halves the call window at the first rejected call of an evaluation interval only, since the dependency rejects
    /// calls of other servers too.
    pub(super) fn call_was_rejected(&mut self) {
        if !std::mem::replace(&mut self.call_rejected, true) {
            let smallest = self.parameters.call_quota * MIN_CALL_WINDOW_SHARE;
            self.call_window = (self.call_window * REJECTED_CALL_FACTOR).max(smallest);
        }
    }

    /// Cuts the call window if calls are much slower than at best, which is a sign that the calls of all servers
    /// overload the dependency. Grows it otherwise, unless a call has been rejected.
    pub(super) fn evaluate_call_window(&mut self, now: Duration) {
        let (quota, rejected) = (self.parameters.call_quota, std::mem::take(&mut self.call_rejected));
        if self.call_times.smoothed > SLOW_CALL_RATIO * self.call_times.best {
            self.call_window = (self.call_window * WINDOW_CUT_FACTOR).max(quota * MIN_CALL_WINDOW_SHARE);
            let (seconds, window) = (self.call_times.smoothed, self.call_window);
            self.log(now, LogTopic::CallWindow, || {
                format!("upstream calls take {seconds:.2} s: call window cut to {window:.2}")
            });
        } else if !rejected {
            self.call_window =
                (self.call_window + quota * CALL_WINDOW_STEP_SHARE).min(quota * MAX_CALL_WINDOW_SHARE);
        }
    }

    /// The longest timeout that another call may have. The calls of the quota period, each counted up to its timeout,
    /// then stay within this server's quota however slow the dependency becomes.
    pub(super) fn longest_timeout(&mut self, now: Duration) -> Duration {
        let period = self.parameters.call_quota_period;
        let used = self.calls.time_since(now.saturating_sub(period));
        let quota = (self.parameters.call_quota * MAX_CALL_WINDOW_SHARE).min(CALL_BOUND);
        period.mul_f64(quota).saturating_sub(used)
    }

    /// A multiple of the usual call time; practically unlimited until a call has been answered.
    pub(super) fn multiple_of_call_time(&self, multiple: f64) -> Duration {
        let best = if self.call_times.best < f64::MAX { self.call_times.best } else { 0.0 };
        let usual = self.call_times.smoothed.max(best);
        Duration::from_secs_f64(if usual > 0.0 { (usual * multiple).min(CALL_BOUND) } else { CALL_BOUND })
    }

    /// Whether calls take much longer than at best, and long enough to affect the latency targets.
    pub(super) fn calls_are_slow(&self) -> bool {
        self.call_times.smoothed
            > (SLOW_CALL_RATIO * self.call_times.best)
                .max(SLOW_CALL_LATENCY_SHARE * self.shortest_latency_target())
    }

    /// The shortest latency target of all classes, in seconds.
    pub(super) fn shortest_latency_target(&self) -> f64 {
        self.classes.iter().map(|class| class.latency_target.as_secs_f64()).fold(f64::MAX, f64::min)
    }

    /// What an answer loses if its call is skipped, in millionths of a priority weight.
    pub(super) fn loss_without_call(&self, class: usize) -> i64 {
        (self.classes[class].priority_weight * (1.0 - self.classes[class].share_without_call) * 1e6) as i64
    }
}
