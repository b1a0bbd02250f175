//! Slow start: the share of its load that a server offers while its worker pool warms up.
//!
//! The share follows the runs and not the clock alone, since a pool or a dependency with cold caches can take longer to
//! warm up than the settings state. It grows by a step where the runs since the last evaluation had headroom below
//! their latency targets, and is cut where one had none or the dependency rejected a call.
//!
//! ```text
//! Linking --pool is cold--> SlowStart --first runs--> Offering --share reaches 1--> Full
//!    \-----pool is warm------------------------------------------------------------->/
//! ```

use std::time::Duration;

/// Added to the share at an evaluation with headroom.
const SHARE_STEP: f64 = 0.1;
/// Factor of the share at a cut.
const SHARE_CUT_FACTOR: f64 = 0.7;
/// Runs up to this many latency targets have headroom.
const HEADROOM_RATIO: f64 = 0.8;
/// Slow start ends after this many times the promised warm-up time whatever the runs show: a class that is slow by its
/// nature must not limit the server for ever.
const MAX_WARM_UP_RATIO: f64 = 4.0;

/// How far the start of a server has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No worker pool yet.
    Linking,
    /// A cold worker pool, and no run since.
    SlowStart,
    /// A share of the load that follows the runs.
    Offering,
    /// The whole load.
    Full,
}

impl Phase {
    /// The name in logs and in the status.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Linking => "linking",
            Phase::SlowStart => "warming",
            Phase::Offering => "offering",
            Phase::Full => "full",
        }
    }
}

/// Why the share is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartReason {
    /// There is no worker pool yet.
    NoPool,
    /// No run has ended since the pool came up.
    NothingCompleted,
    /// Runs had headroom below their latency targets.
    Headroom,
    /// A run had no headroom, or missed its latency target.
    Slow,
    /// The dependency has rejected a call, or not answered it.
    Refused,
    /// The pool was warm from the start.
    Warm,
    /// The longest time for a slow start has passed.
    LongEnough,
}

impl SlowStartReason {
    /// The text in logs and in the status.
    pub fn name(self) -> &'static str {
        match self {
            SlowStartReason::NoPool => "no worker pool yet",
            SlowStartReason::NothingCompleted => "nothing settled since",
            SlowStartReason::Headroom => "what came back had headroom",
            SlowStartReason::Slow => "what came back had none",
            SlowStartReason::Refused => "the index turned calls away",
            SlowStartReason::Warm => "the pool was warm",
            SlowStartReason::LongEnough => "it has waited long enough",
        }
    }
}

/// Parameters of a slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// The least speed of a cold pool, as a share of a warm one's; the share starts there.
    pub min_share: f64,
    /// Time after which the settings state that the pool is warm.
    pub warm_after: Duration,
    /// Time between two evaluations.
    pub evaluation_interval: Duration,
}

/// Phase and share, with the reason for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    /// How far the start has come.
    pub phase: Phase,
    /// Share of the load to offer, from 0 to 1.
    pub share: f64,
    /// Why the share is what it is.
    pub reason: SlowStartReason,
}

/// The slow start of one server.
#[derive(Clone, Debug)]
pub struct SlowStart {
    config: SlowStartConfig,
    status: SlowStartStatus,
    pool_up_at: Duration,
    evaluated_at: Duration,
    /// The slowest run since the last evaluation, in latency targets.
    slowest_run: Option<f64>,
    /// The dependency has rejected a call since the last evaluation.
    call_rejected: bool,
}

impl SlowStart {
    /// Starts without a worker pool.
    pub fn new(config: SlowStartConfig) -> SlowStart {
        let min_share = config.min_share.clamp(SHARE_STEP / 2.0, 1.0);
        SlowStart {
            config: SlowStartConfig { min_share, ..config },
            status: SlowStartStatus { phase: Phase::Linking, share: 0.0, reason: SlowStartReason::NoPool },
            pool_up_at: Duration::ZERO,
            evaluated_at: Duration::ZERO,
            slowest_run: None,
            call_rejected: false,
        }
    }

    /// The present phase and share.
    pub fn status(&self) -> SlowStartStatus {
        self.status
    }

    /// The worker pool has come up, the first one or a new one. A new pool begins a new slow start.
    pub fn pool_up(&mut self, now: Duration, cold: bool) -> SlowStartStatus {
        (self.pool_up_at, self.evaluated_at) = (now, now);
        (self.slowest_run, self.call_rejected) = (None, false);
        if cold {
            self.set_status(Phase::SlowStart, self.config.min_share, SlowStartReason::NothingCompleted);
        } else {
            self.set_status(Phase::Full, 1.0, SlowStartReason::Warm);
        }
        self.status
    }

    /// A run has ended. `latency_ratio`: its time in latency targets, upstream calls included.
    pub fn run_completed(&mut self, latency_ratio: f64) {
        self.slowest_run = Some(self.slowest_run.map_or(latency_ratio, |slowest| slowest.max(latency_ratio)));
    }

    /// The dependency has rejected a call, or not answered it.
    pub fn call_rejected(&mut self) {
        self.call_rejected = true;
    }

    /// Evaluates the runs where an evaluation is due. Returns the status if it has changed.
    pub fn evaluate(&mut self, now: Duration) -> Option<SlowStartStatus> {
        let is_limited = matches!(self.status.phase, Phase::SlowStart | Phase::Offering);
        if !is_limited || now < self.evaluated_at + self.config.evaluation_interval {
            return None;
        }
        self.evaluated_at = now;
        let before = self.status;
        self.reevaluate(now);
        Some(self.status).filter(|status| *status != before)
    }

    fn reevaluate(&mut self, now: Duration) {
        let (slowest_run, call_rejected) = (self.slowest_run.take(), std::mem::take(&mut self.call_rejected));
        let cut = (self.status.share * SHARE_CUT_FACTOR).max(self.config.min_share);
        let grown = (self.status.share + SHARE_STEP).min(1.0);
        if now >= self.pool_up_at + self.config.warm_after.mul_f64(MAX_WARM_UP_RATIO) {
            self.set_status(Phase::Full, 1.0, SlowStartReason::LongEnough);
        } else if call_rejected {
            self.set_status(self.status.phase, cut, SlowStartReason::Refused);
        } else if let Some(slowest) = slowest_run {
            if slowest > 1.0 {
                self.set_status(Phase::Offering, cut, SlowStartReason::Slow);
            } else if slowest > HEADROOM_RATIO {
                self.set_status(Phase::Offering, self.status.share, SlowStartReason::Slow);
            } else if grown >= 1.0 {
                self.set_status(Phase::Full, 1.0, SlowStartReason::Headroom);
            } else {
                self.set_status(Phase::Offering, grown, SlowStartReason::Headroom);
            }
        }
    }

    fn set_status(&mut self, phase: Phase, share: f64, reason: SlowStartReason) {
        self.status = SlowStartStatus { phase, share, reason };
    }
}
