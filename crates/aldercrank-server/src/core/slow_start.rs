//! Tracks the progress of a server's slow start, if the service file asks for it: passes completed runs and rejected
//! calls to `aldercrank-pacing`, and logs each change of status. It does not limit load (docs/design-pacing.md).

use aldercrank::{parameters, Settings};
use aldercrank_pacing::{SlowStart, SlowStartConfig, SlowStartStatus};
use std::time::Duration;

/// The interval between two evaluations, as a share of the shortest latency target.
const EVALUATION_INTERVAL_SHARE: f64 = 0.25;

pub(super) struct SlowStartTracker {
    slow_start: SlowStart,
    /// By class, in the order of the settings.
    latency_targets: Vec<Duration>,
}

fn latency_targets(settings: &Settings) -> Vec<Duration> {
    parameters::request_classes(settings).into_iter().map(|class| class.latency_target).collect()
}

impl SlowStartTracker {
    pub(super) fn new(settings: &Settings) -> SlowStartTracker {
        let latency_targets = latency_targets(settings);
        let shortest = latency_targets.iter().min().copied().unwrap_or_default();
        let config = SlowStartConfig {
            min_share: settings.number("rules.cold_from").unwrap_or(0.0),
            warm_after: settings.duration("rules.warm_after").unwrap_or_default(),
            evaluation_interval: shortest.mul_f64(EVALUATION_INTERVAL_SHARE),
        };
        SlowStartTracker { slow_start: SlowStart::new(config), latency_targets }
    }

    pub(super) fn status(&self) -> SlowStartStatus {
        self.slow_start.status()
    }

    pub(super) fn apply_settings(&mut self, settings: &Settings) {
        self.latency_targets = latency_targets(settings);
    }

    /// The worker pool is up for the first time, or was restarted. `cold`: whether it has just started.
    pub(super) fn pool_up(&mut self, now: Duration, cold: bool) {
        log_status(self.slow_start.pool_up(now, cold));
    }

    pub(super) fn run_completed(&mut self, class: usize, run_time: Duration) {
        let target = self.latency_targets.get(class).filter(|target| !target.is_zero());
        if let Some(target) = target {
            self.slow_start.run_completed(run_time.div_duration_f64(*target));
        }
    }

    /// The upstream dependency rejected a call, could not be reached or did not reply in time.
    pub(super) fn call_rejected(&mut self) {
        self.slow_start.call_rejected();
    }

    pub(super) fn evaluate(&mut self, now: Duration) {
        if let Some(status) = self.slow_start.evaluate(now) {
            log_status(status);
        }
    }
}

fn log_status(status: SlowStartStatus) {
    tracing::info!(
        phase = status.phase.name(),
        share = status.share,
        reason = status.reason.text(),
        "slow start status changed"
    );
}
