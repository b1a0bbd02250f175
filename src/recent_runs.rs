//! Recently completed runs, each with the ratio of its run time to the latency target of its class.

use std::time::Duration;

#[derive(Debug)]
struct RecentRun {
    ended_at: Duration,
    class: usize,
    latency_ratio: f64,
}

/// Completed runs, kept until they are older than the span passed to [`RecentRuns::p99`].
#[derive(Debug, Default)]
pub(crate) struct RecentRuns {
    runs: Vec<RecentRun>,
    /// Scratch buffer of `p99`, kept to avoid an allocation per call.
    ratios: Vec<f64>,
}

impl RecentRuns {
    pub(crate) fn record(&mut self, now: Duration, class: usize, latency_ratio: f64) {
        self.runs.push(RecentRun { ended_at: now, class, latency_ratio });
    }

    /// The 99th percentile of the latency ratios of runs that ended within `span` before `now`; 0 if there were none.
    /// Drops older runs.
    pub(crate) fn p99(&mut self, now: Duration, span: Duration) -> f64 {
        self.runs.retain(|run| run.ended_at + span >= now);
        self.ratios.clear();
        self.ratios.extend(self.runs.iter().map(|run| run.latency_ratio));
        let index = self.ratios.len() * 99 / 100;
        if index >= self.ratios.len() {
            return 0.0;
        }
        *self.ratios.select_nth_unstable_by(index, f64::total_cmp).1
    }

    /// Whether a run of this class has completed after `since`.
    pub(crate) fn has_ended_since(&self, class: usize, since: Duration) -> bool {
        self.runs.iter().any(|run| run.class == class && run.ended_at > since)
    }
}
