//! How far a start has come: by what comes back, and not by the clock alone. The settings promise how fast a cold worker
//! pool gets warm; one that takes longer, or an index with cold caches below it, is seen here.
//!
//! `linking` without a worker pool, `warming` until something has been settled, `offering` a share, `full`. The share
//! grows by a step where what was settled since the last look had headroom under its SLA time, and is cut where some of
//! it had none or the dependency turned calls away: the design's own law. All transitions stand in `to`.

use std::time::Duration;

/// Added to the share at a look with headroom.
const STEP: f64 = 0.1;
/// What the share is cut to, of itself.
const CUT: f64 = 0.7;
/// Up to this many SLA times a run has headroom.
const HEADROOM: f64 = 0.8;
/// So many times the span that the settings promise, a server counts as whole whatever comes back: a product that is
/// slow by its nature must not make it a part for ever.
const PATIENCE: f64 = 4.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Linking,
    SlowStart,
    Offering,
    Full,
}

impl Phase {
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
    NoPool,
    NothingSettled,
    Headroom,
    /// Something took longer than its SLA time allows for.
    Slow,
    /// What lies below has turned a call away, or not answered it.
    Refused,
    Warm,
    /// It has waited for as long as it may.
    LongEnough,
}

impl SlowStartReason {
    pub fn name(self) -> &'static str {
        match self {
            SlowStartReason::NoPool => "no worker pool yet",
            SlowStartReason::NothingSettled => "nothing settled since",
            SlowStartReason::Headroom => "what came back had headroom",
            SlowStartReason::Slow => "what came back had none",
            SlowStartReason::Refused => "the index turned calls away",
            SlowStartReason::Warm => "the pool was warm",
            SlowStartReason::LongEnough => "it has waited long enough",
        }
    }
}

/// What warming goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// The least speed that a cold pool is promised to have, as a share of a warm one's.
    pub least: f64,
    /// After this the settings promise a warm one.
    pub promised: Duration,
    /// Between two looks.
    pub look: Duration,
}

/// What a look came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    pub phase: Phase,
    pub share: f64,
    pub why: SlowStartReason,
}

#[derive(Clone, Debug)]
pub struct SlowStart {
    terms: SlowStartConfig,
    phase: Phase,
    share: f64,
    why: SlowStartReason,
    since: Duration,
    looked: Duration,
    /// Since the last look: the slowest that was settled, in SLA times, and whether calls were turned away.
    slowest: Option<f64>,
    refused: bool,
}

impl SlowStart {
    pub fn linking(terms: SlowStartConfig) -> SlowStart {
        let least = terms.least.clamp(STEP / 2.0, 1.0);
        SlowStart {
            terms: SlowStartConfig { least, ..terms },
            phase: Phase::Linking,
            share: 0.0,
            why: SlowStartReason::NoPool,
            since: Duration::ZERO,
            looked: Duration::ZERO,
            slowest: None,
            refused: false,
        }
    }

    pub fn now(&self) -> SlowStartStatus {
        SlowStartStatus { phase: self.phase, share: self.share, why: self.why }
    }

    fn to(&mut self, phase: Phase, share: f64, why: SlowStartReason) {
        (self.phase, self.share, self.why) = (phase, share, why);
    }

    /// The worker pool is up: the first one, or another than before.
    pub fn bound(&mut self, now: Duration, cold: bool) -> SlowStartStatus {
        (self.since, self.looked) = (now, now);
        (self.slowest, self.refused) = (None, false);
        match cold {
            true => self.to(Phase::SlowStart, self.terms.least, SlowStartReason::NothingSettled),
            false => self.to(Phase::Full, 1.0, SlowStartReason::Warm),
        }
        self.now()
    }

    /// A run has come back so many SLA times after it was started, its calls counted in.
    pub fn completed(&mut self, sla_times: f64) {
        self.slowest = Some(self.slowest.map_or(sla_times, |slowest| slowest.max(sla_times)));
    }

    /// What lies below has turned a call away, or has not answered it.
    pub fn rejected(&mut self) {
        self.refused = true;
    }

    /// Time has passed. Something, where a look was due and brought a change.
    pub fn at(&mut self, now: Duration) -> Option<SlowStartStatus> {
        let growing = matches!(self.phase, Phase::SlowStart | Phase::Offering);
        if !growing || now < self.looked + self.terms.look {
            return None;
        }
        self.looked = now;
        let before = self.now();
        let (slowest, refused) = (self.slowest.take(), std::mem::take(&mut self.refused));
        let cut = (self.share * CUT).max(self.terms.least);
        let grown = (self.share + STEP).min(1.0);
        match slowest {
            _ if now >= self.since + self.terms.promised.mul_f64(PATIENCE) => {
                self.to(Phase::Full, 1.0, SlowStartReason::LongEnough)
            }
            _ if refused => self.to(self.phase, cut, SlowStartReason::Refused),
            Some(slowest) if slowest > 1.0 => self.to(Phase::Offering, cut, SlowStartReason::Slow),
            Some(slowest) if slowest > HEADROOM => {
                self.to(Phase::Offering, self.share, SlowStartReason::Slow)
            }
            Some(_) if grown >= 1.0 => self.to(Phase::Full, 1.0, SlowStartReason::Headroom),
            Some(_) => self.to(Phase::Offering, grown, SlowStartReason::Headroom),
            None => {}
        }
        Some(self.now()).filter(|now| *now != before)
    }
}
