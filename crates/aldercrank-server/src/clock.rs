//! The server's monotonic clock, and Unix time, which edge nodes use.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. It counts from its creation, and once the worker pool is known, from the pool's start.
pub struct Clock {
    started_at: Instant,
    offset: Duration,
}

impl Default for Clock {
    /// Creates a clock that counts from now.
    fn default() -> Self {
        Clock { started_at: Instant::now(), offset: Duration::ZERO }
    }
}

impl Clock {
    /// Returns the time on this clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed() + self.offset
    }

    /// Sets the clock to count from `age` ago.
    pub fn set_elapsed(&mut self, age: Duration) {
        *self = Clock { started_at: Instant::now(), offset: age };
    }

    /// Returns the Unix time, or zero if the system clock is set before 1970.
    pub fn unix_time() -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
