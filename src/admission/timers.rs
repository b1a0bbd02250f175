//! The periodic timer and the timers of individual requests.

use super::constants::{EVALUATION_INTERVAL, SMOOTHING};
use super::state::LogTopic;
use super::Admission;
use crate::host::Host;
use crate::request::{Stage, Timer, TimerKind};
use crate::types::Effect;
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Handles the periodic timer. `load_metrics` are in the order of the setting `family_info.meters`.
    pub fn timer_fired(&mut self, now: Duration, load_metrics: &[f64]) {
        self.host.set_timer(self.parameters.tick);
        self.run_due_timers(now);
        self.record_load(now, load_metrics);
        if now.saturating_sub(self.evaluated_at).as_secs_f64()
            >= self.shortest_latency_target() * EVALUATION_INTERVAL
        {
            self.evaluate(now);
        }
        self.update_threshold(now);
        self.reject_late(now);
        self.start_calls(now);
        self.update_health(now);
        self.update_load_hint(now);
    }

    /// Records the load metrics. If cores are idle while requests are queued, grows the window by the length of the
    /// queue.
    fn record_load(&mut self, now: Duration, load_metrics: &[f64]) {
        let runnable = self.parameters.runnable_metric.and_then(|i| load_metrics.get(i)).copied();
        let running = self.totals.running() as f64;
        let on_core_share = runnable
            .filter(|_| running > 0.0)
            .map_or(self.on_core_share, |runnable| (runnable / running).min(1.0));
        self.on_core_share += SMOOTHING * (on_core_share - self.on_core_share);
        let read_load = (runnable.unwrap_or(0.0) - running * self.on_core_share).max(0.0);
        self.read_load += SMOOTHING * (read_load - self.read_load);
        let cores_idle = runnable.is_some_and(|runnable| runnable < self.parameters.cores);
        if cores_idle && !self.queue.is_empty() {
            self.window = (self.window + self.queue.len() as f64).min(self.max_window(now));
        }
    }

    /// Updates the health. A server is unhealthy while requests wait at least the shortest latency target before they
    /// are read.
    fn update_health(&mut self, now: Duration) {
        let healthy = self.unread_seconds < self.shortest_latency_target();
        if self.draining.is_none() && std::mem::replace(&mut self.healthy, healthy) != healthy {
            self.host.set_health(healthy, true);
            let unread_seconds = self.unread_seconds;
            self.log(now, LogTopic::Health, || {
                format!(
                    "health check set to healthy={healthy}: requests wait {unread_seconds:.2} s to be read"
                )
            });
        }
    }

    /// Handles all request timers that are due.
    pub(super) fn run_due_timers(&mut self, now: Duration) {
        while let Some((timer, ())) = self.timers.first().filter(|(timer, ())| timer.at <= now) {
            self.timers.remove(&timer);
            match timer.kind {
                TimerKind::Deadline => self.deadline_reached(now, timer),
                TimerKind::DedupEntry => self.dedup_entry_ended(now, timer),
            }
        }
    }

    fn deadline_reached(&mut self, now: Duration, timer: Timer) {
        let Some(request) = self.requests.get(&timer.request_id) else { return };
        match (request.stage, request.answered) {
            (Stage::Queued, _) => self.reject(now, timer.request_id),
            (_, false) => self.fail(timer.request_id),
            (_, true) => {}
        }
    }

    fn dedup_entry_ended(&mut self, now: Duration, timer: Timer) {
        let longest_window = self.classes.iter().map(|class| class.dedup_window).max().unwrap_or_default();
        // A repeat of a keyed request that was sent within the window may be read until its caller gives up, however
        // short the window is.
        let inactive_span = |class: usize| match self.classes[class].effect {
            Effect::Keyed => self.longest_deadline,
            Effect::Idempotent | Effect::Unsafe => longest_window,
        };
        if let Some(ends_at) = self.dedup.expire(timer.request_id, now, inactive_span) {
            self.timers.insert(Timer::dedup_entry(timer.request_id, ends_at), ());
        }
    }
}
