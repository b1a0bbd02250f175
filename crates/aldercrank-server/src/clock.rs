//! The system's clocks: the monotonic clock of the server, and Unix time, which edge nodes use.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the worker pool's start.
pub struct Clock {
    started_at: Instant,
    offset: Duration,
}

impl Default for Clock {
    /// A clock that counts from now.
    fn default() -> Self {
        Clock { started_at: Instant::now(), offset: Duration::ZERO }
    }
}

impl Clock {
    /// The time on this clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed() + self.offset
    }

    /// Sets the clock to count from `age` ago.
    pub fn restart(&mut self, age: Duration) {
        *self = Clock { started_at: Instant::now(), offset: age };
    }

    /// The Unix time; zero if the system's clock is set before 1970.
    pub fn unix_time() -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
