//! Closes connections from edge nodes: after a protocol violation, to make room for others, and after the peer was
//! asked to close.
//!
//! Each close takes the same steps: the answers that are owed are written, the write side is shut down, and input is
//! read and discarded until the peer has closed or a timeout expires. A request that is read once the write side is
//! shut down could not be answered, so it is discarded.

use super::edge_requests::{DirectAnswer, ProtocolViolation};
use super::idle_list::ConnectionUse;
use super::Server;
use crate::core::{ConnId, ReplyTo};
use std::time::Duration;

/// How many idle connections are read in search of one that can be closed for a new connection.
const MAX_IDLE_CHECKS: usize = 8;

/// What a read of an idle connection has found; decides whether the connection can be closed.
enum ReadBeforeClose {
    /// The connection is gone, or lingers already.
    Gone,
    /// A request was received.
    Request,
    /// A part of a message was received, or more input than fits into one read.
    PartialMessage,
    /// No input is left.
    Empty,
}

impl Server {
    /// Reads a connection to find out whether it can be closed.
    fn read_before_close(&mut self, conn: ConnId) -> ReadBeforeClose {
        self.read_edge(conn);
        match self.net().edge.get(conn) {
            Some(edge) if edge.is_lingering() => ReadBeforeClose::Gone,
            Some(edge) if !edge.open_calls.is_empty() => ReadBeforeClose::Request,
            Some(edge) if edge.read_queued || !edge.connection.input.is_empty() => {
                ReadBeforeClose::PartialMessage
            }
            Some(_) => ReadBeforeClose::Empty,
            None => ReadBeforeClose::Gone,
        }
    }

    /// Makes room for a connection that waits to be accepted, so that idle connections don't block new ones. Returns
    /// false if the limit is reached and no connection can be dropped.
    pub(super) fn make_room(&mut self) -> bool {
        if self.net().edge.is_crowded() {
            self.close_idle_for_new();
        }
        while self.net().edge.is_full() {
            let Some(conn) = self.net().edge.longest_lingering() else { return false };
            self.drop_edge(conn);
        }
        true
    }

    /// Closes an idle connection for a new one. One with a partial message is closed only if none of the others that were
    /// read can be.
    fn close_idle_for_new(&mut self) {
        let mut with_partial_message = None;
        for _ in 0..MAX_IDLE_CHECKS {
            let now = self.now();
            let Some(conn) = self.net().edge.next_to_make_room(now) else { break };
            match self.read_before_close(conn) {
                ReadBeforeClose::Gone => return,
                ReadBeforeClose::Request => {}
                ReadBeforeClose::PartialMessage => {
                    with_partial_message.get_or_insert(conn);
                    // It is receiving a message, so it moves to the end of its list.
                    self.net().mark_idle(conn);
                }
                ReadBeforeClose::Empty => {
                    self.log_closed_for_new(conn, now);
                    return self.linger_edge(conn);
                }
            }
        }
        if let Some(conn) = with_partial_message {
            self.linger_edge(conn);
        }
    }

    fn log_closed_for_new(&self, conn: ConnId, now: Duration) {
        let mut net = self.net();
        let Some(edge) = net.edge.get(conn) else { return };
        let idle_ms = now.saturating_sub(edge.idle_since).as_millis() as u64;
        let asked_to_close = edge.is_closing();
        match edge.usage {
            ConnectionUse::Silent => {
                tracing::debug!(connection = conn.0, idle_ms, "closing a silent connection for a new one");
            }
            ConnectionUse::WithoutRequest => {
                tracing::debug!(
                    connection = conn.0,
                    idle_ms,
                    "closing a connection without requests for a new one"
                );
            }
            ConnectionUse::Rejected | ConnectionUse::Served => tracing::warn!(
                connection = conn.0,
                idle_ms,
                asked_to_close,
                served = edge.usage == ConnectionUse::Served,
                "closing an idle connection for a new one; a request may be under way on it"
            ),
        }
    }

    /// Handles a protocol violation: the message doesn't run, all open calls of the connection fail at once, and the
    /// connection closes. Input after the message is ignored.
    pub(super) fn protocol_violated(&mut self, conn: ConnId, violation: ProtocolViolation) {
        tracing::warn!(
            connection = conn.0,
            reason = %violation,
            "edge node violated the protocol; failing the open calls of the connection and closing it"
        );
        let open_calls = self.net().edge.get(conn).map(|edge| edge.open_calls.clone()).unwrap_or_default();
        open_calls
            .into_iter()
            .for_each(|call| self.answer_directly(ReplyTo { conn, call }, DirectAnswer::Failed));
        self.linger_edge(conn);
    }

    /// The peer of a closing or lingering connection has not closed it in time.
    pub(super) fn close_timed_out(&mut self, conn: ConnId) {
        let (is_lingering, no_open_calls) = match self.net().edge.get(conn) {
            Some(edge) => (edge.is_lingering(), edge.open_calls.is_empty()),
            None => return,
        };
        if is_lingering {
            return self.linger_timed_out(conn);
        }
        if !no_open_calls {
            return;
        }
        match self.read_before_close(conn) {
            ReadBeforeClose::Gone | ReadBeforeClose::Request => {}
            // Either the message is completed, or the message timeout closes the connection.
            ReadBeforeClose::PartialMessage => self.net().mark_idle(conn),
            ReadBeforeClose::Empty => self.linger_edge(conn),
        }
    }

    fn linger_timed_out(&mut self, conn: ConnId) {
        let (now, stall_timeout) = (self.now(), self.socket_settings.longest_deadline);
        let is_over = {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.linger_timed_out(conn, now, stall_timeout, &mut net.timers)
        };
        if is_over {
            self.drop_edge(conn);
        }
    }

    /// Closes a connection whose calls are all answered. Output that is left is still written.
    fn linger_edge(&mut self, conn: ConnId) {
        let now = self.now();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.linger(conn, now, &mut net.timers);
        }
        self.connection_lost(now, conn);
    }

    /// Handles a peer's close of its write side, after which its callers are gone. Unsent answers are still written,
    /// since the peer may read slowly, unless the connection turns out to be reset.
    pub(super) fn edge_closed_by_peer(&mut self, conn: ConnId) {
        let has_unsent_answers = match self.net().edge.get(conn) {
            Some(edge) => {
                edge.flush();
                edge.open_calls.is_empty() && edge.connection.unsent_bytes() > 0
            }
            None => return,
        };
        if has_unsent_answers {
            self.linger_edge(conn);
        } else {
            self.drop_edge(conn);
        }
    }

    /// Removes a connection that was lost, or that is to be closed without lingering.
    pub(super) fn drop_edge(&mut self, conn: ConnId) {
        let now = self.now();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.remove(conn, &net.event_loop, &mut net.timers);
        }
        self.connection_lost(now, conn);
    }

    /// Notifies the core that no caller waits on a connection any more.
    fn connection_lost(&mut self, now: Duration, conn: ConnId) {
        if let Some(core) = &mut self.core {
            core.connection_lost(now, conn);
        }
    }
}
