//! The start and the end of runs, and the limits that are checked at a start.

use super::constants::{
    BREAKER_RUN_RATIO, MAX_MEMORY_SHARE, MAX_STARTED_SHARE, SMOOTHING, WINDOW_CUT_FACTOR,
};
use super::state::{CallEnding, LogTopic};
use super::Admission;
use crate::host::Host;
use crate::queue::QueuePosition;
use crate::request::{Request, Stage};
use crate::types::{Effect, Outcome, RequestId};
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Handles the end of a run, or the response to a joined request. `took` is the time since the start of the run,
    /// including upstream calls.
    pub fn run_ended(&mut self, now: Duration, id: RequestId, outcome: Outcome, took: Duration) {
        if self.requests.get(&id).is_some_and(|request| request.stage == Stage::Calling) {
            self.end_call(now, id, CallEnding::Abandoned);
        }
        if let Some(request) = self.remove(id) {
            if outcome == Outcome::Completed && request.stage != Stage::Joined {
                self.record_run(now, &request, took);
            }
        }
        self.run_due_timers(now);
        self.start_calls(now);
    }

    /// Handles the proof that the run of a request never started, although it was told to. Nothing ran, so the request
    /// needs no deduplication entry: its next attempt may run.
    pub fn run_never_started(&mut self, now: Duration, id: RequestId) {
        self.forget(id);
        self.run_ended(now, id, Outcome::NeverStarted, Duration::ZERO);
    }

    /// Updates the run time statistics with a completed run. A very slow run cuts the window immediately.
    fn record_run(&mut self, now: Duration, request: &Request, took: Duration) {
        let ran = took.saturating_sub(request.call_time).as_secs_f64();
        let latency_target = self.classes[request.class].latency_target.as_secs_f64();
        let ratio = ran / latency_target;
        let warm_seconds = (ran * self.speed(request.started_at)).min(latency_target);
        self.run_seconds[request.class] += SMOOTHING * (warm_seconds - self.run_seconds[request.class]);
        self.recent_runs.record(now, request.class, ratio);
        if ratio > BREAKER_RUN_RATIO {
            self.window = (self.window * WINDOW_CUT_FACTOR).max(self.parameters.cores);
            let window = self.window;
            self.log(now, LogTopic::Breaker, || {
                format!(
                    "a run took {ratio:.1} times its latency target: concurrency window cut to {window:.1}"
                )
            });
        }
    }

    /// Starts queued requests in the order of their due times while the window and the limits allow it.
    pub(super) fn start_queued(&mut self, now: Duration) {
        while let Some(position) = self.queue.first() {
            let running = self.totals.running() as f64;
            if running + 1.0 > self.window || !self.start_or_reject(now, position.request_id) {
                self.window_was_full = true;
                return;
            }
        }
    }

    /// Starts a queued request, or rejects it if it may not run any more. Returns false if a limit leaves no room for
    /// it. This is the only place where a run starts, so all limits are checked here.
    fn start_or_reject(&mut self, now: Duration, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id).filter(|request| request.stage == Stage::Queued) else {
            return false;
        };
        let lacks_entry = request.effect == Effect::Keyed && !self.dedup.is_active(id);
        let is_late = now + self.parameters.tick >= request.deadline;
        if lacks_entry || self.arrived_after_drain_grace(request.arrived_at) || is_late {
            self.reject(now, id);
            return true;
        }
        // Requests that wait for an upstream call count too: they need a core again as soon as the call is answered.
        let started = self.totals.started() as f64 + 1.0;
        let memory_share = self.memory_share(request.memory_kb);
        let collapse_at =
            self.parameters.cores * (1.0 + (self.parameters.collapse_multiple - 1.0) * self.speed(now));
        let max_started = (MAX_STARTED_SHARE * collapse_at).max(self.parameters.cores);
        if started > max_started || memory_share > MAX_MEMORY_SHARE {
            return false;
        }
        self.queue.remove(QueuePosition { due_at: request.due_at, request_id: id });
        self.set_stage(id, Stage::Running);
        self.requests.entry(id).and_modify(|request| request.started_at = now);
        self.host.start_run(id);
        true
    }

    /// Share of the available memory that would be in use after starting a queued request of `starting_kb`.
    pub(super) fn memory_share(&self, starting_kb: f64) -> f64 {
        let (factor, memory) = (self.parameters.run_memory_factor, self.totals.memory_totals());
        let entries_kb = self.dedup.active_count() as f64 * self.parameters.dedup_entry_kb;
        (memory.not_started_kb + memory.started_kb * factor + entries_kb + starting_kb * (factor - 1.0))
            / self.parameters.memory_kb
    }
}
