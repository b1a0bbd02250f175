//! Closes connections from edge nodes: for broken protocol, for want of room, and after the peer was asked to close.
//!
//! Each close takes the same steps: what is owed is answered and written, the write side is shut down, and input is
//! read and discarded until the peer has closed or the time for that is over. A request that is read once the write
//! side is shut down could not be answered, so it is never handed on.

use super::edge_requests::{DirectAnswer, ProtocolViolation};
use super::Server;
use crate::core::{ConnId, ReplyTo};
use std::time::Duration;

/// Idle connections that are read to find one that can make way for a new connection.
const MAX_IDLE_CHECKS: usize = 8;

/// What the read of a connection without open calls, before it is closed, has found.
enum FinalRead {
    /// It has closed, or is closing already.
    Gone,
    /// A request was received.
    Busy,
    /// A part of a message was received, or more than one read takes.
    PartialMessage,
    /// Nothing was received.
    Nothing,
}

impl Server {
    /// Reads what has been received on a connection before it is decided whether it closes.
    fn final_read(&mut self, conn: ConnId) -> FinalRead {
        self.read_edge(conn);
        match self.net().edge.get(conn) {
            Some(edge) if edge.is_lingering() => FinalRead::Gone,
            Some(edge) if !edge.open_calls.is_empty() => FinalRead::Busy,
            Some(edge) if edge.read_queued || !edge.connection.input.is_empty() => FinalRead::PartialMessage,
            Some(_) => FinalRead::Nothing,
            None => FinalRead::Gone,
        }
    }

    /// Makes room for a connection that waits to be accepted, so that idle connections don't keep others out. Returns
    /// false if none can be closed.
    pub(super) fn make_room(&mut self) -> bool {
        if self.net().edge.is_crowded() {
            self.close_longest_idle();
        }
        while self.net().edge.is_full() {
            let Some(conn) = self.net().edge.longest_lingering() else { return false };
            self.drop_edge(conn);
        }
        true
    }

    /// Closes the connection that has been idle for longest. One that has begun a message closes only if none of the
    /// others that were read can.
    fn close_longest_idle(&mut self) {
        let mut with_partial_message = None;
        for _ in 0..MAX_IDLE_CHECKS {
            let now = self.now();
            let Some(conn) = self.net().edge.longest_idle(now) else { break };
            match self.final_read(conn) {
                FinalRead::Gone => return,
                FinalRead::Busy => {}
                FinalRead::PartialMessage => {
                    with_partial_message.get_or_insert(conn);
                    // It is not idle: it moves to the end of its list.
                    self.net().mark_idle(conn);
                }
                FinalRead::Nothing => return self.linger_edge(conn),
            }
        }
        if let Some(conn) = with_partial_message {
            self.linger_edge(conn);
        }
    }

    /// Handles input that breaks the protocol in any way: nothing of it runs, all open calls of the connection fail at
    /// once, and the connection closes. Input behind it is ignored.
    pub(super) fn protocol_violated(&mut self, conn: ConnId, violation: ProtocolViolation) {
        tracing::warn!(
            connection = conn.0,
            reason = %violation,
            "edge node broke the protocol; failing its open calls and closing the connection"
        );
        let open_calls = self.net().edge.get(conn).map(|edge| edge.open_calls.clone()).unwrap_or_default();
        open_calls
            .into_iter()
            .for_each(|call| self.answer_directly(ReplyTo { conn, call }, DirectAnswer::Failed));
        self.linger_edge(conn);
    }

    /// The wait for a peer that was asked to close, or whose connection lingers, is over.
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
        match self.final_read(conn) {
            FinalRead::Gone | FinalRead::Busy => {}
            // Either its message is completed, or the message timeout closes the connection.
            FinalRead::PartialMessage => self.net().mark_idle(conn),
            FinalRead::Nothing => self.linger_edge(conn),
        }
    }

    fn linger_timed_out(&mut self, conn: ConnId) {
        let (now, patience) = (self.now(), self.socket_settings.longest_deadline);
        let is_over = {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.linger_wait_over(conn, now, patience, &mut net.timers)
        };
        if is_over {
            self.drop_edge(conn);
        }
    }

    /// Closes a connection on which nothing is owed but output that is still to be written.
    fn linger_edge(&mut self, conn: ConnId) {
        let now = self.now();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.linger(conn, now, &mut net.timers);
        }
        self.connection_lost(now, conn);
    }

    /// The peer has closed its write side, so its callers are gone. Answers are still written to a peer that reads
    /// slowly, unless the connection turns out to be reset.
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

    /// Removes a connection that was lost, or that has to close at once.
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
