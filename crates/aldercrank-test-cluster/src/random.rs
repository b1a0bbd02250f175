//! Random numbers of a run, derived from its seed by a portable generator (PCG XSL RR 128/64): the same seed gives
//! the same arrivals, work and timeline on every machine. Each purpose has a stream of its own, so that an additional
//! sample for one purpose does not shift the samples of the others.

use rand::seq::SliceRandom;
use rand::{Rng, RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

/// The random numbers of one purpose in one run.
pub struct RandomStream(Pcg64);

/// The 64-bit FNV-1a hash, which is the same on every machine. It separates the streams of a seed by purpose and
/// identifies request bodies.
pub fn fnv1a_hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

impl RandomStream {
    /// The stream of `purpose` for a run's seed.
    pub fn of(seed: u64, purpose: &str) -> RandomStream {
        RandomStream(Pcg64::seed_from_u64(seed ^ fnv1a_hash(purpose.as_bytes())))
    }

    /// Uniform in `0.0..1.0`.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Whether an event of this probability (0 to 1) happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Uniform in `0..n`. For `n == 0` it returns 0 and consumes no random number.
    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 {
            0
        } else {
            self.0.random_range(0..n)
        }
    }

    /// The generator's next 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// An exponentially distributed time with mean 1, such as the gap between two Poisson arrivals.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// `count` distinct elements of `items` in random order; all of them if there are fewer.
    pub fn sample<T: Clone>(&mut self, items: &[T], count: usize) -> Vec<T> {
        let mut all = items.to_vec();
        all.shuffle(&mut self.0);
        all.truncate(count);
        all
    }
}
