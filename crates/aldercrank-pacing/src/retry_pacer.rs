//! One thing that is asked for again and again, such as a report: when the next try is due.
//!
//! `waiting` for the first try, `steady` while tries are taken, `backing off` while they are not. All transitions
//! stand in `succeeded`, `rejected` and `failed`.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// How far a steady gap may be from the interval, each way: enough that servers that met by chance part again.
const LOOSE: f64 = 0.05;
/// The gap after a try that is taken for the first time, or again: from this many steady ones to one more.
const PHASE: f64 = 0.7;
/// The first gap after a try that came to nothing, as a share of the interval; each further one is twice as long.
const FIRST: f64 = 0.25;
/// Gaps after a failure lie between this share of their length and the whole.
const JITTER: f64 = 0.7;
/// For each other server that is known of, the first try may be so much later, in intervals; one at most.
const EACH: f64 = 0.02;
/// As many are taken to be there where nothing is known.
const UNKNOWN: f64 = 30.0;
/// Being refused stretches the interval by this, up to what the lapse allows; each try that is taken gives so
/// much of it back, in intervals.
const STRETCH: f64 = 3.0;
const BACK: f64 = 0.005;
/// A stretched interval leaves this share of the lapse for a try that is lost and the next.
const OF_LAPSE: f64 = 0.8;
/// The longest that somebody's `Retry-After` is heeded, in intervals: beyond it the server looks for itself.
const HEEDED: f64 = 60.0;
/// All that are told to come back at one moment come within this many such waits after it.
const AFTER: f64 = 2.0;

/// What the pace goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Between two tries while all is well.
    pub interval: Duration,
    /// What was taken is forgotten after this, so a try must be taken sooner.
    pub lapse: Duration,
    /// The longest gap after tries that came to nothing. Where an entry can lapse meanwhile it has to be well under
    /// the lapse; where it can't, four intervals have a dead service asked at under a third of the steady rate.
    pub longest: Duration,
    /// How many servers ask the same, where that is known.
    pub servers: Option<f64>,
}

/// Where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacerState {
    /// For the first try.
    Waiting,
    Steady,
    /// So many tries in a row have come to nothing.
    BackingOff(u32),
}

#[derive(Clone, Debug)]
pub struct RetryPacer {
    terms: Terms,
    draw: Pcg64Mcg,
    state: PacerState,
    /// The steady gap at present: the interval, or longer where the service has refused.
    gap: Duration,
}

/// FNV-1a: the same name gives the same number everywhere.
pub fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl RetryPacer {
    /// `name` sets a server apart from the others even where all start with the same seed, as those of one image
    /// do; `moment` sets its starts apart from one another.
    pub fn new(terms: Terms, seed: &str, name: &str, moment: Duration) -> RetryPacer {
        let mix = digest(seed) ^ digest(name).rotate_left(21) ^ (moment.as_nanos() as u64).rotate_left(42);
        RetryPacer {
            terms,
            draw: Pcg64Mcg::seed_from_u64(mix),
            state: PacerState::Waiting,
            gap: terms.interval,
        }
    }

    pub fn state(&self) -> PacerState {
        self.state
    }

    /// The steady gap at present.
    pub fn gap(&self) -> Duration {
        self.gap
    }

    /// A draw from 0 up to 1.
    fn unit(&mut self) -> f64 {
        self.draw.random()
    }

    /// A moment of this server's own within a span: for what all of a fleet are told to do at once.
    pub fn within(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.unit())
    }

    /// When the first try is due. One server alone waits for nobody.
    pub fn first(&mut self, now: Duration) -> Duration {
        let others = (self.terms.servers.unwrap_or(UNKNOWN) - 1.0).max(0.0);
        let spread = self.terms.interval.mul_f64((others * EACH).min(1.0));
        now + spread.mul_f64(self.unit())
    }

    /// A try was taken: when the next is due, counted from when this one was begun.
    pub fn succeeded(&mut self, now: Duration, begun: Duration) -> Duration {
        let back = self.terms.interval.mul_f64(BACK);
        self.gap = self.gap.saturating_sub(back).max(self.terms.interval);
        let steady = std::mem::replace(&mut self.state, PacerState::Steady) == PacerState::Steady;
        // Those that come back together would stay in step for as long as they live: each draws its phase anew.
        let loose = match steady {
            true => 1.0 + LOOSE * (2.0 * self.unit() - 1.0),
            false => PHASE + self.unit(),
        };
        (begun + self.gap.mul_f64(loose).min(self.stretched())).max(now)
    }

    /// The service is there and turned it away, with when to come back, if it said so.
    pub fn rejected(&mut self, now: Duration, retry_after: Option<Duration>) -> Duration {
        self.gap = self.gap.mul_f64(STRETCH).min(self.stretched());
        let own = self.fail(now);
        let heeded = retry_after.filter(|span| !span.is_zero()).map(|span| {
            let span = span.min(self.terms.interval.mul_f64(HEEDED));
            now + span + span.mul_f64(AFTER * self.unit())
        });
        own.max(heeded.unwrap_or(own))
    }

    /// Nothing came of it: no connection, no whole answer, none in its time.
    pub fn failed(&mut self, now: Duration) -> Duration {
        self.fail(now)
    }

    /// The longest steady gap.
    fn stretched(&self) -> Duration {
        self.terms.lapse.mul_f64(OF_LAPSE).max(self.terms.interval)
    }

    fn fail(&mut self, now: Duration) -> Duration {
        let failed = match self.state {
            PacerState::BackingOff(times) => times.saturating_add(1),
            PacerState::Waiting | PacerState::Steady => 1,
        };
        self.state = PacerState::BackingOff(failed);
        let grown = FIRST * 2f64.powi(failed.min(16) as i32 - 1);
        let span = self.terms.interval.mul_f64(grown).min(self.terms.longest);
        now + span.mul_f64(JITTER + (1.0 - JITTER) * self.unit())
    }
}
