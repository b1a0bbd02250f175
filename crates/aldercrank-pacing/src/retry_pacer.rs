//! The times of attempts at one periodic request to a shared service, such as a load report.
//!
//! The pacer waits for the first attempt, is steady while attempts succeed, and backs off while they do not. Transitions
//! take place in [`RetryPacer::succeeded`], [`RetryPacer::rejected`] and [`RetryPacer::failed`] only.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

// Ratios to the interval, where nothing else is said.

/// Jitter of a steady interval, each way: enough for servers in step to drift apart.
const STEADY_JITTER: f64 = 0.05;
/// The interval after the first success, or the first after failures, lies between this and one more: the phase of each
/// server is chosen anew.
const FIRST_STEADY_INTERVAL: f64 = 0.7;
/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: f64 = 0.25;
/// Doublings after which the backoff no longer grows, so that the power stays finite.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// A backoff lies between this share of its length and the whole.
const MIN_BACKOFF_SHARE: f64 = 0.7;
/// The first attempt is spread by this much for each other server, by one interval at most.
const FIRST_ATTEMPT_SPREAD: f64 = 0.02;
/// Number of servers that is assumed where it is not known.
const ASSUMED_SERVERS: f64 = 30.0;
/// Factor of the steady interval at each rejection, so that an overloaded service receives fewer attempts.
const REJECTION_STRETCH: f64 = 3.0;
/// What each success takes off a stretched interval: little, since a full return would overload the service again.
const STRETCH_RECOVERY: f64 = 0.005;
/// Longest steady interval as a share of the lapse: it leaves time for one lost attempt and the next.
const MAX_STRETCH_OF_LAPSE: f64 = 0.8;
/// The longest `Retry-After` that is heeded: beyond it the server looks for itself.
const MAX_RETRY_AFTER: f64 = 60.0;
/// Attempts after a `Retry-After` are spread over this many times its length, as many servers were given the same.
const RETRY_AFTER_SPREAD: f64 = 2.0;

/// Parameters of a pacer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPacerConfig {
    /// Time between two attempts while all succeed.
    pub interval: Duration,
    /// The service forgets a successful attempt after this time, so the next must succeed sooner.
    pub entry_lifetime: Duration,
    /// Longest backoff. Where the service forgets, it has to be well below the lapse; elsewhere, four intervals keep the
    /// load on a failed service below a third of the steady load.
    pub max_backoff: Duration,
    /// Number of servers that send the same request, where it is known.
    pub server_count: Option<f64>,
}

/// State of a pacer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacerState {
    /// The first attempt has not ended yet.
    Waiting,
    /// The last attempt succeeded.
    Steady,
    /// This many attempts in a row did not succeed.
    BackingOff(u32),
}

/// Gives the times of attempts at one periodic request.
#[derive(Clone, Debug)]
pub struct RetryPacer {
    config: RetryPacerConfig,
    random: Pcg64Mcg,
    state: PacerState,
    /// The steady interval: the one of the parameters, or a longer one after rejections.
    steady_interval: Duration,
}

/// The FNV-1a hash of a text, the same on every machine.
pub fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

impl RetryPacer {
    /// Seeds the random numbers: `name` sets a server apart from others with the same `seed`, as those of one image
    /// have it; `moment` sets its starts apart from one another.
    pub fn new(config: RetryPacerConfig, seed: &str, name: &str, moment: Duration) -> RetryPacer {
        let seed = digest(seed) ^ digest(name).rotate_left(21) ^ (moment.as_nanos() as u64).rotate_left(42);
        RetryPacer {
            config,
            random: Pcg64Mcg::seed_from_u64(seed),
            state: PacerState::Waiting,
            steady_interval: config.interval,
        }
    }

    /// The present state.
    pub fn state(&self) -> PacerState {
        self.state
    }

    /// A random number from 0 up to 1.
    fn unit(&mut self) -> f64 {
        self.random.random()
    }

    /// A random time within a span, for actions that all servers of a fleet are asked to take at once.
    pub fn random_time_within(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.unit())
    }

    /// The time of the first attempt. A server that is alone does not wait.
    pub fn first_attempt(&mut self, now: Duration) -> Duration {
        let others = (self.config.server_count.unwrap_or(ASSUMED_SERVERS) - 1.0).max(0.0);
        let spread = self.config.interval.mul_f64((others * FIRST_ATTEMPT_SPREAD).min(1.0));
        now + spread.mul_f64(self.unit())
    }

    /// An attempt that began at `begun` has succeeded. Returns the time of the next, counted from the begin of this one.
    pub fn succeeded(&mut self, now: Duration, begun: Duration) -> Duration {
        let recovery = self.config.interval.mul_f64(STRETCH_RECOVERY);
        self.steady_interval = self.steady_interval.saturating_sub(recovery).max(self.config.interval);
        let before = std::mem::replace(&mut self.state, PacerState::Steady);
        // Servers that return together would otherwise stay in step.
        let factor = match before {
            PacerState::Steady => 1.0 + STEADY_JITTER * (2.0 * self.unit() - 1.0),
            PacerState::Waiting | PacerState::BackingOff(_) => FIRST_STEADY_INTERVAL + self.unit(),
        };
        (begun + self.steady_interval.mul_f64(factor).min(self.longest_steady_interval())).max(now)
    }

    /// The service has rejected the attempt, with a `Retry-After` or without. Returns the time of the next.
    pub fn rejected(&mut self, now: Duration, retry_after: Option<Duration>) -> Duration {
        self.steady_interval =
            self.steady_interval.mul_f64(REJECTION_STRETCH).min(self.longest_steady_interval());
        let after_backoff = self.failed(now);
        let after_retry_after = retry_after.filter(|span| !span.is_zero()).map(|span| {
            let span = span.min(self.config.interval.mul_f64(MAX_RETRY_AFTER));
            now + span + span.mul_f64(RETRY_AFTER_SPREAD * self.unit())
        });
        after_backoff.max(after_retry_after.unwrap_or(after_backoff))
    }

    /// The attempt has failed: no connection, no complete answer, or none in time. Returns the time of the next.
    pub fn failed(&mut self, now: Duration) -> Duration {
        let failures = match self.state {
            PacerState::BackingOff(failures) => failures.saturating_add(1),
            PacerState::Waiting | PacerState::Steady => 1,
        };
        self.state = PacerState::BackingOff(failures);
        let growth = INITIAL_BACKOFF * 2f64.powi(failures.min(MAX_BACKOFF_DOUBLINGS) as i32 - 1);
        let backoff = self.config.interval.mul_f64(growth).min(self.config.max_backoff);
        now + backoff.mul_f64(MIN_BACKOFF_SHARE + (1.0 - MIN_BACKOFF_SHARE) * self.unit())
    }

    fn longest_steady_interval(&self) -> Duration {
        self.config.entry_lifetime.mul_f64(MAX_STRETCH_OF_LAPSE).max(self.config.interval)
    }
}
