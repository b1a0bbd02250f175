//! A connection from an edge node, and the states through which it passes.
//!
//! A connection passes through three states, in this order: open, closing (the peer was asked to send no new requests)
//! and lingering (no more requests are accepted; answers are written, the write side is shut down, and input is read
//! and discarded until the peer closes or a timeout expires). Closing a socket that has unread input would reset the
//! connection, which discards answers that the kernel has not delivered yet.
//!
//! The request to close and its consequence, the end of the peer's input, may be delayed by the network for seconds, and
//! so may a request that the peer sent before. Silence is therefore no sign that nothing is under way: a closing
//! connection stays in that state until the peer closes it, or until no request that could still be in time can be
//! under way, unless its place is needed.

use super::connection::Connection;
use super::idle_list::{ConnectionUse, IdleLink};
use crate::core::MessageId;
use std::time::Duration;

/// How long a connection may go without its first complete message after it was made, or after that message's first
/// byte. Edge nodes connect when they have something to send, and messages are small.
pub(super) const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// State of a connection, see the documentation of this module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Requests are accepted.
    Open,
    /// The peer was asked, at this time, to send no new requests.
    Closing { asked_at: Duration },
    /// No request is accepted; the connection closes once all output is written and the peer has closed.
    Lingering,
}

/// A connection from an edge node.
pub(super) struct EdgeConnection {
    pub(super) connection: Connection,
    /// Open calls, few enough for a linear search.
    pub(super) open_calls: Vec<MessageId>,
    /// The configuration versions by which open calls were decided; empty without a versioned configuration.
    pub(super) decided_by: Vec<(MessageId, u64)>,
    pub(super) state: ConnectionState,
    /// It is in the queue of connections to be read.
    pub(super) read_queued: bool,
    /// The peer has closed its write side; the connection is read until a read reports that.
    pub(super) peer_closed: bool,
    /// It has input that was not read because too much output was unsent.
    pub(super) read_skipped: bool,
    /// It is in the queue of connections to be flushed, since output was added in this turn.
    pub(super) flush_queued: bool,
    /// Its neighbours in the list of idle connections, while no call is open.
    pub(super) idle_link: Option<IdleLink>,
    /// When its last call was answered, or it was made.
    pub(super) idle_since: Duration,
    pub(super) usage: ConnectionUse,
    /// By when a complete message has to be received, if one is expected.
    pub(super) message_due: Option<Duration>,
    /// When it was last known to have no unread input.
    pub(super) input_empty_at: Duration,
    /// Bytes that had been written when progress was last checked.
    pub(super) checked_written_bytes: u64,
    /// The write side is shut down, which happens once all output is written.
    pub(super) write_shut_down: bool,
    /// While lingering: all output is written, and the final wait for the peer to close has started.
    pub(super) final_wait_started: bool,
}

impl EdgeConnection {
    /// A connection that was accepted now, and whose input has been read up to `input_empty_at`.
    pub(super) fn new(connection: Connection, now: Duration, input_empty_at: Duration) -> EdgeConnection {
        EdgeConnection {
            connection,
            open_calls: Vec::new(),
            decided_by: Vec::new(),
            state: ConnectionState::Open,
            read_queued: false,
            peer_closed: false,
            read_skipped: false,
            flush_queued: false,
            idle_link: None,
            idle_since: now,
            usage: ConnectionUse::Silent,
            message_due: Some(now + FIRST_MESSAGE_TIMEOUT),
            input_empty_at,
            checked_written_bytes: 0,
            write_shut_down: false,
            final_wait_started: false,
        }
    }

    /// Whether a complete message has ever been received.
    pub(super) fn has_sent_message(&self) -> bool {
        self.usage != ConnectionUse::Silent
    }

    /// Whether the connection is lingering and accepts no more requests.
    pub(super) fn is_lingering(&self) -> bool {
        self.state == ConnectionState::Lingering
    }

    /// Writes as much as the socket accepts. Once a lingering connection has written its last byte, its write side is
    /// shut down.
    pub(super) fn flush(&mut self) {
        self.connection.flush();
        if self.is_lingering() && !self.write_shut_down && self.connection.unsent_bytes() == 0 {
            self.connection.shut_down_writing();
            self.write_shut_down = true;
        }
    }

    /// Whether the peer was asked to close, and this server has not begun to close.
    pub(super) fn is_closing(&self) -> bool {
        matches!(self.state, ConnectionState::Closing { .. })
    }

    /// Whether anything has been written since the last check. If so, its idle time starts anew.
    pub(super) fn made_progress(&mut self, now: Duration) -> bool {
        let written = self.connection.written_bytes();
        let progressed = std::mem::replace(&mut self.checked_written_bytes, written) != written;
        if progressed {
            self.idle_since = now;
        }
        progressed
    }
}
