//! Computes the times of attempts at a periodic request to a shared service, such as a load report.
//!
//! A pacer waits for the outcome of the first attempt, is steady while attempts succeed, and backs off while they do
//! not. Its state changes in [`RetryPacer::succeeded`], [`RetryPacer::rejected`] and [`RetryPacer::failed`] only.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

// Constants without a stated unit are ratios to the configured interval.

/// Jitter of a steady interval in either direction, as a ratio to that interval: enough for synchronized servers to
/// drift apart.
const STEADY_JITTER: f64 = 0.05;
/// The interval after the first success, or after the first success that follows failures, is at least this and less
/// than one longer, as a ratio to the steady interval. This gives each server a new random phase.
const MIN_FIRST_STEADY_INTERVAL: f64 = 0.7;
/// Backoff after the first failure. It doubles with each further failure in a row.
const INITIAL_BACKOFF: f64 = 0.25;
/// Failures in a row after which the backoff no longer doubles, so that its exponent stays bounded.
const MAX_COUNTED_FAILURES: u32 = 16;
/// Jitter shortens a backoff to no less than this share of its length.
const MIN_BACKOFF_SHARE: f64 = 0.7;
/// First attempts are spread over this much time for each other server, up to one interval in all.
const FIRST_ATTEMPT_SPREAD: f64 = 0.02;
/// Number of servers that is assumed if the configuration has none.
const DEFAULT_SERVER_COUNT: f64 = 30.0;
/// Each rejection multiplies the steady interval by this, so that an overloaded service receives fewer attempts.
const REJECTION_STRETCH: f64 = 3.0;
/// Each success shortens a stretched interval by this. The step is small, since returning to the configured interval at
/// once would overload the service again.
const STRETCH_RECOVERY: f64 = 0.005;
/// Longest steady interval as a share of the entry lifetime, which leaves time for one lost attempt and the next one.
const MAX_LIFETIME_SHARE: f64 = 0.8;
/// Longest `Retry-After` that is respected. A longer one counts as this, so that the server finds out for itself
/// whether the service has recovered.
const MAX_RETRY_AFTER: f64 = 60.0;
/// Attempts after a `Retry-After` are spread over this many times its length, since many servers may have received the
/// same one.
const RETRY_AFTER_SPREAD: f64 = 2.0;

/// Configuration of a pacer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPacerConfig {
    /// Time between the starts of two attempts while all succeed.
    pub interval: Duration,
    /// Time after which the service drops the entry of a successful attempt; the next attempt must succeed within it.
    pub entry_lifetime: Duration,
    /// Longest backoff. If the service drops entries, this must be well below the entry lifetime; otherwise, four
    /// intervals keep the load on a failed service below a third of the steady load.
    pub max_backoff: Duration,
    /// Number of servers that send the same request, if known.
    pub server_count: Option<f64>,
}

/// State of a pacer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacerState {
    /// The first attempt has not ended yet.
    Waiting,
    /// The last attempt succeeded.
    Steady,
    /// This many attempts in a row failed or were rejected.
    BackingOff(u32),
}

/// Computes the times of attempts at one periodic request.
#[derive(Clone, Debug)]
pub struct RetryPacer {
    config: RetryPacerConfig,
    random: Pcg64Mcg,
    state: PacerState,
    /// The configured interval, or a longer one after rejections.
    steady_interval: Duration,
}

/// The 64-bit FNV-1a hash of a text, which is the same on every machine.
pub fn fnv1a_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

impl RetryPacer {
    /// Creates a pacer whose random numbers depend on three values: servers of one image have the same `seed`, so
    /// `name` tells them apart, and `started_at` tells the starts of one server apart.
    pub fn new(config: RetryPacerConfig, seed: &str, name: &str, started_at: Duration) -> RetryPacer {
        let seed = fnv1a_hash(seed)
            ^ fnv1a_hash(name).rotate_left(21)
            ^ (started_at.as_nanos() as u64).rotate_left(42);
        RetryPacer {
            config,
            random: Pcg64Mcg::seed_from_u64(seed),
            state: PacerState::Waiting,
            steady_interval: config.interval,
        }
    }

    /// The current state.
    pub fn state(&self) -> PacerState {
        self.state
    }

    /// A random number from 0 (inclusive) to 1 (exclusive).
    fn random_fraction(&mut self) -> f64 {
        self.random.random()
    }

    /// A random time within a span, to spread actions that all servers of a fleet are asked to take at the same time.
    pub fn random_time_within(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random_fraction())
    }

    /// Returns the time of the first attempt. A server that is the only one does not wait.
    pub fn first_attempt(&mut self, now: Duration) -> Duration {
        let others = (self.config.server_count.unwrap_or(DEFAULT_SERVER_COUNT) - 1.0).max(0.0);
        let spread = self.config.interval.mul_f64((others * FIRST_ATTEMPT_SPREAD).min(1.0));
        now + spread.mul_f64(self.random_fraction())
    }

    /// Records that an attempt started at `started_at` has succeeded. Returns the time of the next attempt: an interval
    /// after that start, but not before `now`.
    pub fn succeeded(&mut self, now: Duration, started_at: Duration) -> Duration {
        let recovery = self.config.interval.mul_f64(STRETCH_RECOVERY);
        self.steady_interval = self.steady_interval.saturating_sub(recovery).max(self.config.interval);
        let before = std::mem::replace(&mut self.state, PacerState::Steady);
        // Without a new phase, servers that recover at the same time would stay synchronized.
        let factor = match before {
            PacerState::Steady => 1.0 + STEADY_JITTER * (2.0 * self.random_fraction() - 1.0),
            PacerState::Waiting | PacerState::BackingOff(_) => {
                MIN_FIRST_STEADY_INTERVAL + self.random_fraction()
            }
        };
        (started_at + self.steady_interval.mul_f64(factor).min(self.longest_steady_interval())).max(now)
    }

    /// Records that the service has rejected the attempt, with or without a `Retry-After`. Returns the time of the next
    /// attempt.
    pub fn rejected(&mut self, now: Duration, retry_after: Option<Duration>) -> Duration {
        self.steady_interval =
            self.steady_interval.mul_f64(REJECTION_STRETCH).min(self.longest_steady_interval());
        let after_backoff = self.failed(now);
        let after_retry_after = retry_after.filter(|span| !span.is_zero()).map(|span| {
            let span = span.min(self.config.interval.mul_f64(MAX_RETRY_AFTER));
            now + span + span.mul_f64(RETRY_AFTER_SPREAD * self.random_fraction())
        });
        after_backoff.max(after_retry_after.unwrap_or(after_backoff))
    }

    /// Records that the attempt has failed: no connection, an incomplete response, or none in time. Returns the time of
    /// the next attempt.
    pub fn failed(&mut self, now: Duration) -> Duration {
        let failures = match self.state {
            PacerState::BackingOff(failures) => failures.saturating_add(1),
            PacerState::Waiting | PacerState::Steady => 1,
        };
        self.state = PacerState::BackingOff(failures);
        let growth = INITIAL_BACKOFF * 2f64.powi(failures.min(MAX_COUNTED_FAILURES) as i32 - 1);
        let backoff = self.config.interval.mul_f64(growth).min(self.config.max_backoff);
        now + backoff.mul_f64(MIN_BACKOFF_SHARE + (1.0 - MIN_BACKOFF_SHARE) * self.random_fraction())
    }

    fn longest_steady_interval(&self) -> Duration {
        self.config.entry_lifetime.mul_f64(MAX_LIFETIME_SHARE).max(self.config.interval)
    }
}
