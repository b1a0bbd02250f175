//! Slow start: the share of its load that a server offers while its worker pool warms up.
//!
//! The share follows the latency of runs and not the clock alone, since a pool or an upstream dependency with cold
//! caches can take longer to warm up than the settings state. It grows by a step if all runs since the last evaluation
//! had headroom below their latency targets, and is cut if a run missed its target or the dependency rejected a call.
//!
//! ```text
//! NoPool --pool is cold--> Cold --first runs--> RampUp --share reaches 1--> Full
//!    \----pool is warm----------------------------------------------------->/
//! ```
//!
//! A new pool starts over from any phase, and slow start ends after a time limit in any case.

use std::time::Duration;

/// Added to the share by an evaluation that finds headroom.
const SHARE_STEP: f64 = 0.1;
/// A cut multiplies the share by this.
const SHARE_CUT_FACTOR: f64 = 0.7;
/// Runs that take up to this many times their latency target have headroom.
const HEADROOM_RATIO: f64 = 0.8;
/// Slow start ends after this many times the configured warm-up time, whatever the latency of runs: a request class
/// that is always slow must not limit the server for ever.
const MAX_WARM_UP_RATIO: f64 = 4.0;

/// The phase of a slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// There is no worker pool yet.
    NoPool,
    /// The worker pool is cold, and the share does not follow any run yet.
    Cold,
    /// The server offers a share of the load that follows the latency of runs.
    RampUp,
    /// The server offers the full load.
    Full,
}

impl Phase {
    /// The name of the phase in logs and in the status.
    pub fn name(self) -> &'static str {
        match self {
            Phase::NoPool => "linking",
            Phase::Cold => "warming",
            Phase::RampUp => "offering",
            Phase::Full => "full",
        }
    }
}

/// The reason for the current share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartReason {
    /// There is no worker pool yet.
    NoPool,
    /// No run has ended since the pool came up.
    NoRunYet,
    /// All runs had headroom below their latency targets.
    Headroom,
    /// A run had no headroom, or missed its latency target.
    NoHeadroom,
    /// The upstream dependency rejected a call, or did not reply to it.
    CallRejected,
    /// The pool was warm when it came up.
    WarmPool,
    /// The time limit of the slow start has passed.
    TimeLimit,
}

impl SlowStartReason {
    /// The text of the reason in logs and in the status.
    pub fn text(self) -> &'static str {
        match self {
            SlowStartReason::NoPool => "no worker pool yet",
            SlowStartReason::NoRunYet => "nothing settled since",
            SlowStartReason::Headroom => "what came back had headroom",
            SlowStartReason::NoHeadroom => "what came back had none",
            SlowStartReason::CallRejected => "the index turned calls away",
            SlowStartReason::WarmPool => "the pool was warm",
            SlowStartReason::TimeLimit => "it has waited long enough",
        }
    }
}

/// Configuration of a slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// The lowest speed of a cold pool as a share of a warm pool's speed. The share of load starts here, and cuts do
    /// not go below it.
    pub min_share: f64,
    /// Time after which a pool is warm according to the settings.
    pub warm_after: Duration,
    /// Minimum time between two evaluations.
    pub evaluation_interval: Duration,
}

/// The phase and the share, with the reason for the share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    /// The phase of the slow start.
    pub phase: Phase,
    /// Share of the load to offer, from 0 to 1.
    pub share: f64,
    /// The reason for the share.
    pub reason: SlowStartReason,
}

/// The slow start of one server.
#[derive(Clone, Debug)]
pub struct SlowStart {
    config: SlowStartConfig,
    status: SlowStartStatus,
    pool_up_at: Duration,
    evaluated_at: Duration,
    /// Time of the slowest run since the last evaluation, as a multiple of its latency target.
    slowest_run: Option<f64>,
    /// Whether the upstream dependency has rejected a call, or not replied to one, since the last evaluation.
    call_rejected: bool,
}

impl SlowStart {
    /// Creates a slow start without a worker pool.
    pub fn new(config: SlowStartConfig) -> SlowStart {
        let min_share = config.min_share.clamp(SHARE_STEP / 2.0, 1.0);
        SlowStart {
            config: SlowStartConfig { min_share, ..config },
            status: SlowStartStatus { phase: Phase::NoPool, share: 0.0, reason: SlowStartReason::NoPool },
            pool_up_at: Duration::ZERO,
            evaluated_at: Duration::ZERO,
            slowest_run: None,
            call_rejected: false,
        }
    }

    /// The current phase and share.
    pub fn status(&self) -> SlowStartStatus {
        self.status
    }

    /// Records that the first worker pool or a new one has come up. A new pool starts over, at the full share if it is
    /// warm.
    pub fn pool_up(&mut self, now: Duration, cold: bool) -> SlowStartStatus {
        (self.pool_up_at, self.evaluated_at) = (now, now);
        (self.slowest_run, self.call_rejected) = (None, false);
        if cold {
            self.set_status(Phase::Cold, self.config.min_share, SlowStartReason::NoRunYet);
        } else {
            self.set_status(Phase::Full, 1.0, SlowStartReason::WarmPool);
        }
        self.status
    }

    /// Records that a run has ended. `latency_ratio` is its time, upstream calls included, as a multiple of its latency
    /// target.
    pub fn run_completed(&mut self, latency_ratio: f64) {
        self.slowest_run = Some(self.slowest_run.map_or(latency_ratio, |slowest| slowest.max(latency_ratio)));
    }

    /// Records that the upstream dependency has rejected a call, or not replied to it.
    pub fn call_rejected(&mut self) {
        self.call_rejected = true;
    }

    /// Evaluates the runs since the last evaluation if the evaluation interval has passed. Returns the status if it has
    /// changed.
    pub fn evaluate(&mut self, now: Duration) -> Option<SlowStartStatus> {
        let is_ramping = matches!(self.status.phase, Phase::Cold | Phase::RampUp);
        if !is_ramping || now < self.evaluated_at + self.config.evaluation_interval {
            return None;
        }
        self.evaluated_at = now;
        let before = self.status;
        self.update_status(now);
        Some(self.status).filter(|status| *status != before)
    }

    /// Derives the status from the runs and calls since the last evaluation, and forgets them.
    fn update_status(&mut self, now: Duration) {
        let (slowest_run, call_rejected) = (self.slowest_run.take(), std::mem::take(&mut self.call_rejected));
        let cut = (self.status.share * SHARE_CUT_FACTOR).max(self.config.min_share);
        let grown = (self.status.share + SHARE_STEP).min(1.0);
        if now >= self.pool_up_at + self.config.warm_after.mul_f64(MAX_WARM_UP_RATIO) {
            self.set_status(Phase::Full, 1.0, SlowStartReason::TimeLimit);
        } else if call_rejected {
            self.set_status(self.status.phase, cut, SlowStartReason::CallRejected);
        } else if let Some(slowest) = slowest_run {
            if slowest > 1.0 {
                self.set_status(Phase::RampUp, cut, SlowStartReason::NoHeadroom);
            } else if slowest > HEADROOM_RATIO {
                self.set_status(Phase::RampUp, self.status.share, SlowStartReason::NoHeadroom);
            } else if grown >= 1.0 {
                self.set_status(Phase::Full, 1.0, SlowStartReason::Headroom);
            } else {
                self.set_status(Phase::RampUp, grown, SlowStartReason::Headroom);
            }
        }
    }

    fn set_status(&mut self, phase: Phase, share: f64, reason: SlowStartReason) {
        self.status = SlowStartStatus { phase, share, reason };
    }
}
