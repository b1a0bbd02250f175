//! The concurrency window: its evaluation and limit, and the speed of the server while it warms up.

use super::constants::{
    COLD_WINDOW_PER_CORE, DECAY_WITHOUT_SAMPLES, GROWTH_MAX_P99, INITIAL_RUN_TIME, MIN_IDLE_SHARE,
    MIN_ON_CORE_SHARE, P99_SPAN, STORM_READ_SHARE, WARM_WINDOW_PER_CORE, WINDOW_CUT_FACTOR, WINDOW_INCREMENT,
};
use super::state::LogTopic;
use super::Admission;
use crate::host::Host;
use crate::recent_callers::COMPARED_REQUESTS;
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Periodic evaluation: adjusts the windows, the run time estimates and the idle timeout.
    pub(super) fn evaluate(&mut self, now: Duration) {
        let last_evaluation = std::mem::replace(&mut self.evaluated_at, now);
        self.evaluate_window(now);
        self.decay_run_times(last_evaluation);
        self.decay_unread_time(now, last_evaluation);
        self.decay_call_time(now);
        self.evaluate_call_window(now);
        self.evaluate_idle_timeout();
    }

    fn evaluate_window(&mut self, now: Duration) {
        let p99 = self.recent_runs.p99(now, self.sample_span());
        if p99 > 1.0 {
            self.window *= WINDOW_CUT_FACTOR;
            let window = self.window;
            self.log(now, LogTopic::Window, || {
                format!(
                    "p99 of run time over latency target is {p99:.2}: concurrency window cut to {window:.1}"
                )
            });
        } else if p99 < GROWTH_MAX_P99 && self.window_was_full {
            self.window += WINDOW_INCREMENT;
        }
        self.window = self.window.min(self.max_window(now)).max(self.parameters.cores);
        self.window_was_full = false;
    }

    /// Decays the run time of classes without a completed run since the last evaluation towards its initial value. A
    /// class that is rejected because of the run times in one stall would otherwise never run again, and so never be
    /// measured.
    fn decay_run_times(&mut self, last_evaluation: Duration) {
        for i in 0..self.classes.len() {
            let initial = self.classes[i].latency_target.as_secs_f64() * INITIAL_RUN_TIME;
            if !self.recent_runs.has_ended_since(i, last_evaluation) && self.run_seconds[i] > initial {
                self.run_seconds[i] += DECAY_WITHOUT_SAMPLES * (initial - self.run_seconds[i]);
            }
        }
    }

    /// Decays the time that requests wait unread if none was read since the last evaluation of an unhealthy server, or
    /// none for as long as runs count on a server that sheds load: callers that steer clear of a server send it no
    /// request that would show that it reads promptly again. On a server that still reads late the time does not decay,
    /// since it reads requests all the time.
    fn decay_unread_time(&mut self, now: Duration, last_evaluation: Duration) {
        let is_avoided = !self.healthy && self.request_read_at <= last_evaluation;
        let is_outdated = self.threshold > 0.0 && now >= self.request_read_at + self.sample_span();
        if is_avoided || is_outdated {
            self.unread_seconds *= 1.0 - DECAY_WITHOUT_SAMPLES;
        }
    }

    /// Decays the smoothed call time towards its best value if none was measured for as long as runs count, and no call
    /// is outstanding. While calls look slow, requests that need one are rejected and optional calls are skipped, so
    /// that possibly none is made which would show that the dependency is fast again.
    fn decay_call_time(&mut self, now: Duration) {
        let is_outdated = now >= self.call_times.recorded_at + self.sample_span();
        if is_outdated && self.calls.open_count(now) == 0 {
            let times = &mut self.call_times;
            let usual = if times.best < f64::MAX { times.best } else { 0.0 };
            times.smoothed -= DECAY_WITHOUT_SAMPLES * (times.smoothed - usual).max(0.0);
        }
    }

    /// How long measurements count.
    fn sample_span(&self) -> Duration {
        let targets = self.classes.iter().map(|class| class.latency_target);
        targets.max().unwrap_or(self.parameters.tick).mul_f64(P99_SPAN)
    }

    /// Shortens the idle timeout, down to a bound that is lower the more callers there are and so the less often each
    /// of them returns: a full connection table takes CPU time and leaves no room for new connections. Lengthens it in
    /// a reconnect storm, where rejecting on an open connection is cheapest.
    fn evaluate_idle_timeout(&mut self) {
        let Some(longest) = self.parameters.idle_timeout else { return };
        let is_storm = self.read_load > STORM_READ_SHARE * (self.read_load + self.parameters.cores);
        let return_share = COMPARED_REQUESTS as f64 / self.parameters.caller_count;
        let shortest = longest.mul_f64(return_share.powi(2).clamp(MIN_IDLE_SHARE, 1.0));
        let factor = if is_storm { 2.0 } else { WINDOW_CUT_FACTOR };
        self.idle_timeout = self.idle_timeout.mul_f64(factor).clamp(shortest, longest.max(shortest));
        self.host.close_idle(self.idle_timeout);
    }

    /// Upper bound of the window. After a cold start it rises from the cold to the warm limit.
    pub(super) fn max_window(&self, now: Duration) -> f64 {
        let warm = self.parameters.window_per_core.unwrap_or(WARM_WINDOW_PER_CORE);
        let cold = self.parameters.cold_window_per_core.unwrap_or(COLD_WINDOW_PER_CORE).min(warm);
        (self.parameters.cores * (cold + (warm - cold) * self.warm_up_progress(now))
            / self.on_core_share.max(MIN_ON_CORE_SHARE))
        .max(self.parameters.cores)
    }

    /// Lower bound of how far this server has warmed up, from 0 (cold) to 1 (warm).
    pub(super) fn warm_up_progress(&self, now: Duration) -> f64 {
        self.parameters.warm_after.map_or(1.0, |after| now.div_duration_f64(after).min(1.0))
    }

    /// Lower bound of this server's speed, as a share of its warm speed.
    pub(super) fn speed(&self, now: Duration) -> f64 {
        let warm_up_progress = self.warm_up_progress(now);
        let cold_speed = if warm_up_progress < 1.0 { self.parameters.cold_speed } else { 1.0 };
        cold_speed + (1.0 - cold_speed) * warm_up_progress
    }

    /// Expected run time of this class at the current speed, in seconds.
    pub(super) fn run_seconds_now(&self, now: Duration, class: usize) -> f64 {
        self.run_seconds[class] / self.speed(now)
    }
}
