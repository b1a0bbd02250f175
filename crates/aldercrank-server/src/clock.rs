//! The system's clocks: spans since the worker pool's start, and the Unix time that the edge speaks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Clock {
    zero: Instant,
    ahead: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { zero: Instant::now(), ahead: Duration::ZERO }
    }
}

impl Clock {
    pub fn now(&self) -> Duration {
        self.zero.elapsed() + self.ahead
    }

    /// From here on the clock counts from `age` ago.
    pub fn restart(&mut self, age: Duration) {
        *self = Clock { zero: Instant::now(), ahead: age };
    }

    pub fn unix() -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
