//! How long a server waits for the peer of a connection that is to close.

use std::time::Duration;

/// A peer that was asked to close usually has within this time, and so has one that sees the end of the answers.
pub(super) const REACTION_TIMEOUT: Duration = Duration::from_secs(1);

/// The waits for peers, in the order in which a connection closes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CloseTimeouts {
    /// After this time without an open call, no request that could still be in time can be under way on a connection.
    unused_after: Duration,
    /// The limit of each wait, once this server has limited time left.
    longest: Option<Duration>,
}

impl CloseTimeouts {
    /// Sets how peers use connections: they close one that has been idle for `idle_limit`, and give up a request after
    /// `longest_deadline`.
    pub(super) fn set_peer_limits(&mut self, idle_limit: Duration, longest_deadline: Duration) {
        self.unused_after = idle_limit + longest_deadline;
    }

    /// Limits each of the two waits to a third of the time until this server exits.
    pub(super) fn limit(&mut self, until_exit: Duration) {
        self.longest = Some(until_exit / 3);
    }

    /// How long from `now` on a peer that was asked to close has to do so, or to send a request. The connection has had
    /// no open call since `idle_since`.
    pub(super) fn closing(&self, idle_since: Duration, now: Duration) -> Duration {
        self.limited((idle_since + self.unused_after).saturating_sub(now).max(REACTION_TIMEOUT))
    }

    /// How long a peer has to close after the write side was shut down.
    pub(super) fn lingering(&self) -> Duration {
        self.limited(REACTION_TIMEOUT)
    }

    fn limited(&self, timeout: Duration) -> Duration {
        self.longest.map_or(timeout, |longest| longest.min(timeout))
    }
}
