//! What is drawn in a run, from its seed by a named portable generator (PCG XSL RR 128/64): the same seed gives
//! the same arrivals, work and timeline on every machine. Each purpose has a stream of its own, so that one more
//! draw for one of them moves nothing of the others.

use rand::seq::SliceRandom;
use rand::{Rng, RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

pub struct RandomStream(Pcg64);

/// FNV-1a: the same bytes give the same number everywhere. A purpose's name draws by it, and the checker knows a
/// body again.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

impl RandomStream {
    pub fn of(seed: u64, purpose: &str) -> RandomStream {
        RandomStream(Pcg64::seed_from_u64(seed ^ digest(purpose.as_bytes())))
    }

    /// From 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// From 0 up to this many; 0 of none.
    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 {
            0
        } else {
            self.0.random_range(0..n)
        }
    }

    pub fn word(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// The gap to the next of what comes by itself, in means.
    pub fn gap(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// So many of these, in no order.
    pub fn some<T: Clone>(&mut self, of: &[T], many: usize) -> Vec<T> {
        let mut all = of.to_vec();
        all.shuffle(&mut self.0);
        all.truncate(many);
        all
    }
}
