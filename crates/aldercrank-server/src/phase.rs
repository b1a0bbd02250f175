//! The phases of the program from start to exit. All transitions are methods of [`Phase`].

/// A phase of the program. Phases follow one another in this order; some may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Listening; no link to the worker pool yet.
    Starting,
    /// Linked; the worker pool has not reported that it is up.
    WaitingForPool,
    /// Admitting requests.
    Serving,
    /// Graceful shutdown: requests in flight are answered, then connections are closed.
    Draining,
    /// The program exits.
    Stopped,
}

impl Phase {
    fn transition_to(&mut self, next: Phase) -> bool {
        let changed = *self != next;
        if changed {
            tracing::info!(phase = next.name(), previous = self.name(), "phase changed");
            *self = next;
        }
        changed
    }

    /// Returns the name that the log and the server's status use.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::WaitingForPool => "waiting for the pool",
            Phase::Serving => "serving",
            Phase::Draining => "draining",
            Phase::Stopped => "stopped",
        }
    }

    /// Records that the link to the worker pool is up. Returns whether the phase changed.
    pub fn pool_linked(&mut self) -> bool {
        *self == Phase::Starting && self.transition_to(Phase::WaitingForPool)
    }

    /// Records that the worker pool is up. Returns true the first time, when the core must be started.
    pub fn pool_up(&mut self) -> bool {
        matches!(self, Phase::Starting | Phase::WaitingForPool) && self.transition_to(Phase::Serving)
    }

    /// Starts the graceful shutdown. Returns false if it was started before.
    pub fn start_draining(&mut self) -> bool {
        let before_shutdown = matches!(self, Phase::Starting | Phase::WaitingForPool | Phase::Serving);
        before_shutdown && self.transition_to(Phase::Draining)
    }

    /// Ends the graceful shutdown: all responses are written and all connections closed, or its time is up. Returns
    /// whether the phase changed.
    pub fn stop(&mut self) -> bool {
        *self == Phase::Draining && self.transition_to(Phase::Stopped)
    }

    /// Whether requests are admitted.
    pub fn is_serving(self) -> bool {
        self == Phase::Serving
    }

    /// Whether the graceful shutdown is under way.
    pub fn is_draining(self) -> bool {
        self == Phase::Draining
    }

    /// Whether the program must exit.
    pub fn is_stopped(self) -> bool {
        self == Phase::Stopped
    }
}
