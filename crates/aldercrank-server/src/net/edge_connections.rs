//! The table of connections from edge nodes: which are idle, by when each has to send a complete message, and how each
//! closes.
//!
//! The number of connections is limited. Near the limit, connections without open calls are closed to make room for new
//! ones.

use super::close_timeouts::CloseTimeouts;
use super::connection::{Connection, EventLoopHandle};
use super::edge_connection::{ConnectionState, EdgeConnection, FIRST_MESSAGE_TIMEOUT};
use super::idle_list::{ConnectionUse, IdleLink, IdleListPair, IdleLists};
use super::TimerEvent;
use crate::core::{ConnId, MessageId, ReplyTo};
use crate::deadlines::Deadlines;
use crate::msgpack_rpc::{self, ResponseFields};
use crate::payload::OutputBuffer;
use crate::slots::{Slot, Slots};
use std::collections::VecDeque;
use std::time::Duration;

/// For this long a new connection doesn't count as idle, since a peer that connects usually sends something soon.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// One in this many connections is reserved for lingering ones. When the others are in use, the longest idle one is
/// closed in order; lingering ones are dropped before their timeout only at the limit itself.
const LINGERING_RESERVE_DIVISOR: usize = 16;

/// A connection without open calls. Ordered by when the connections became idle.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleConnection {
    since: Duration,
    conn: ConnId,
}

/// All connections from edge nodes.
#[derive(Default)]
pub(super) struct EdgeConnections {
    connections: Slots<EdgeConnection>,
    /// Connections without an open call.
    idle: IdleLists,
    max_connections: usize,
    /// Lingering connections, in the order in which they began to linger.
    lingering: VecDeque<ConnId>,
    idle_timeout: Option<Duration>,
    /// How long a connection that has sent a complete message may go without the rest of another one after its first
    /// byte. The network may delay that, and its caller waits for the longest deadline at most.
    pub(super) later_message_timeout: Duration,
    /// How long peers have to close.
    pub(super) close_timeouts: CloseTimeouts,
    /// The advertised load hint as it is written.
    load_hint: Option<String>,
    /// Connections to which output was added in this turn.
    flush_queue: Vec<ConnId>,
}

impl EdgeConnections {
    /// Allows this many connections at once.
    pub(super) fn with_limit(max_connections: usize) -> EdgeConnections {
        EdgeConnections { max_connections, ..EdgeConnections::default() }
    }

    /// Adds a connection. `register` is called with its id; on an error the connection is removed again. Returns
    /// `None` when no id is free.
    pub(super) fn insert<E>(
        &mut self,
        connection: EdgeConnection,
        register: impl FnOnce(&Connection, ConnId) -> Result<(), E>,
    ) -> Result<Option<ConnId>, E> {
        let Some(slot) = self.connections.insert(connection) else { return Ok(None) };
        let inserted = self.connections.get(slot);
        let registered = inserted.map_or(Ok(()), |edge| register(&edge.connection, ConnId(slot.0)));
        if registered.is_err() {
            self.connections.remove(slot);
        }
        registered.map(|()| Some(ConnId(slot.0)))
    }

    /// Sets the load hint that accompanies answers from now on.
    pub(super) fn set_hint(&mut self, value: f64) {
        self.load_hint = Some(value.to_string());
    }

    /// Called after a read; `received_message` tells whether a complete message was received. Restarts or clears the
    /// message timeout accordingly.
    pub(super) fn input_handled(
        &mut self,
        conn: ConnId,
        now: Duration,
        received_message: bool,
        timers: &mut Deadlines<TimerEvent>,
    ) {
        let Some(edge) = self.get(conn) else { return };
        if received_message && !edge.has_sent_message() {
            // The connection moves to another idle list, and its idle time starts anew.
            let was_idle = self.leave_idle_list(conn);
            let Some(edge) = self.get(conn) else { return };
            (edge.usage, edge.idle_since) = (ConnectionUse::WithoutRequest, now);
            if was_idle {
                self.join_idle_list(conn);
            }
        }
        let later_message_timeout = self.later_message_timeout.max(FIRST_MESSAGE_TIMEOUT);
        let Some(edge) = self.get(conn) else { return };
        let timeout = if edge.has_sent_message() { later_message_timeout } else { FIRST_MESSAGE_TIMEOUT };
        let message_due = match edge.connection.input.is_empty() {
            true if edge.has_sent_message() => None,
            false if received_message || edge.message_due.is_none() => Some(now + timeout),
            _ => edge.message_due,
        };
        if std::mem::replace(&mut edge.message_due, message_due) == message_due {
            return;
        }
        match message_due {
            Some(due) => timers.set(TimerEvent::MessageTimeout(conn), due),
            None => timers.remove(TimerEvent::MessageTimeout(conn)),
        }
    }

    /// The connection that goes first when a new one needs its place.
    ///
    /// A request may be under way on any connection that has sent messages, and may be held up by the network, so
    /// neither an idle connection nor one that has not reacted to being asked to close is known to be unused. Therefore a
    /// connection that has never sent a message goes first. While the only ones of that kind are new, nothing is
    /// returned: the connection that needs a place waits until they have had the time to send something.
    /// Next are connections without requests, then those of which requests were rejected, and last those that were
    /// served; of each the one that has been idle for longest.
    pub(super) fn next_to_make_room(&self, now: Duration) -> Option<ConnId> {
        if let Some(silent) = self.longest_idle(&self.idle.silent) {
            return Some(silent.conn).filter(|_| now >= silent.since + NEW_CONNECTION_GRACE);
        }
        let used = [&self.idle.without_request, &self.idle.rejected, &self.idle.served];
        used.into_iter().find_map(|lists| self.longest_idle(lists)).map(|idle| idle.conn)
    }

    fn longest_idle(&self, lists: &IdleListPair) -> Option<IdleConnection> {
        self.first_idle([lists.open.first, lists.closing.first])
    }

    /// The connection that has been idle for longest among those whose peers were not asked to close.
    fn first_to_time_out(&self) -> Option<IdleConnection> {
        let idle = &self.idle;
        self.first_idle([
            idle.silent.open.first,
            idle.without_request.open.first,
            idle.rejected.open.first,
            idle.served.open.first,
        ])
    }

    /// Returns the one that has been idle for longest.
    fn first_idle<const N: usize>(&self, candidates: [Option<ConnId>; N]) -> Option<IdleConnection> {
        let idle = candidates.into_iter().flatten().filter_map(|conn| {
            let edge = self.connections.get(Slot(conn.0))?;
            Some(IdleConnection { since: edge.idle_since, conn })
        });
        idle.min()
    }

    fn join_idle_list(&mut self, conn: ConnId) {
        let Some(edge) = self.connections.get_mut(Slot(conn.0)) else { return };
        let list = self.idle.list(edge.usage, edge.is_closing());
        let previous = list.last.replace(conn);
        edge.idle_link = Some(IdleLink { previous, next: None });
        match previous {
            Some(previous) => self.change_idle_link(previous, |link| link.next = Some(conn)),
            None => list.first = Some(conn),
        }
    }

    /// Removes a connection from its idle list. Returns whether it was in one.
    fn leave_idle_list(&mut self, conn: ConnId) -> bool {
        let Some(edge) = self.connections.get_mut(Slot(conn.0)) else { return false };
        let Some(IdleLink { previous, next }) = edge.idle_link.take() else { return false };
        let list = self.idle.list(edge.usage, edge.is_closing());
        if previous.is_none() {
            list.first = next;
        }
        if next.is_none() {
            list.last = previous;
        }
        previous.into_iter().for_each(|other| self.change_idle_link(other, |link| link.next = next));
        next.into_iter().for_each(|other| self.change_idle_link(other, |link| link.previous = previous));
        true
    }

    fn change_idle_link(&mut self, conn: ConnId, change: impl FnOnce(&mut IdleLink)) {
        if let Some(link) = self.get(conn).and_then(|edge| edge.idle_link.as_mut()) {
            change(link);
        }
    }

    /// Whether there are no connections.
    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether the connection limit is reached.
    pub(super) fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Whether only the reserve for lingering connections is left, so that the longest idle one should start to close.
    pub(super) fn is_crowded(&self) -> bool {
        let reserve = self.max_connections / LINGERING_RESERVE_DIVISOR;
        self.connections.len() - self.lingering.len() >= self.max_connections - reserve
    }

    /// The connection that has lingered for longest among those with all output written.
    pub(super) fn longest_lingering(&self) -> Option<ConnId> {
        let is_written =
            |conn: &&ConnId| self.connections.get(Slot(conn.0)).is_some_and(|edge| edge.write_shut_down);
        self.lingering.iter().find(is_written).copied()
    }

    /// The connection with this id.
    pub(super) fn get(&mut self, conn: ConnId) -> Option<&mut EdgeConnection> {
        self.connections.get_mut(Slot(conn.0))
    }

    /// Adds an open call. Returns false if an open call has the same message id, or the connection is gone.
    pub(super) fn open_call(&mut self, conn: ConnId, call: MessageId) -> bool {
        let Some(edge) = self.get(conn) else { return false };
        if edge.open_calls.contains(&call) {
            return false;
        }
        edge.open_calls.push(call);
        self.leave_idle_list(conn);
        true
    }

    /// Adds output to a connection; it is written at the end of the turn.
    pub(super) fn send(&mut self, conn: ConnId, write: impl FnOnce(&mut OutputBuffer, ResponseFields)) {
        self.send_with_version(conn, None, write);
    }

    fn send_with_version(
        &mut self,
        conn: ConnId,
        version: Option<u64>,
        write: impl FnOnce(&mut OutputBuffer, ResponseFields),
    ) {
        let Some(edge) = self.connections.get_mut(Slot(conn.0)) else { return };
        let fields = ResponseFields { load_hint: self.load_hint.as_deref(), version };
        write(&mut edge.connection.output, fields);
        if !std::mem::replace(&mut edge.flush_queued, true) {
            self.flush_queue.push(conn);
        }
    }

    /// Writes the output that was added in this turn, as far as the sockets accept it.
    pub(super) fn flush(&mut self) {
        while let Some(conn) = self.flush_queue.pop() {
            if let Some(edge) = self.get(conn) {
                edge.flush_queued = false;
                edge.flush();
            }
        }
    }

    /// Sends the answer to an open call. A call that is no longer open gets none.
    pub(super) fn answer(
        &mut self,
        reply_to: ReplyTo,
        write: impl FnOnce(&mut OutputBuffer, ResponseFields),
    ) {
        let Some(edge) = self.get(reply_to.conn) else { return };
        if let Some(at) = edge.open_calls.iter().position(|call| *call == reply_to.call) {
            edge.open_calls.remove(at);
            let decided = edge.decided_by.iter().position(|(call, _)| *call == reply_to.call);
            let version = decided.map(|at| edge.decided_by.swap_remove(at).1);
            self.send_with_version(reply_to.conn, version, write);
        }
    }

    /// Records what a connection was used for, as an open call is about to be answered.
    pub(super) fn mark_used(&mut self, reply_to: ReplyTo, usage: ConnectionUse) {
        let open = |edge: &&mut EdgeConnection| edge.open_calls.contains(&reply_to.call);
        if let Some(edge) = self.get(reply_to.conn).filter(open) {
            edge.usage = edge.usage.max(usage);
        }
    }

    /// Records the configuration version by which an open call is decided.
    pub(super) fn set_decided_by(&mut self, reply_to: ReplyTo, version: u64) {
        let open = |edge: &&mut EdgeConnection| edge.open_calls.contains(&reply_to.call);
        if let Some(edge) = self.get(reply_to.conn).filter(open) {
            edge.decided_by.push((reply_to.call, version));
        }
    }

    /// Marks a connection as idle from now on if it has no open calls, and starts the timeout after which it closes.
    pub(super) fn mark_idle(&mut self, conn: ConnId, now: Duration, timers: &mut Deadlines<TimerEvent>) {
        let no_open_calls = |edge: &&mut EdgeConnection| edge.open_calls.is_empty() && !edge.is_lingering();
        let Some(edge) = self.get(conn).filter(no_open_calls) else { return };
        edge.idle_since = now;
        let state = edge.state;
        self.leave_idle_list(conn);
        self.join_idle_list(conn);
        match state {
            ConnectionState::Open => {
                let unset = |_: &Duration| timers.get(TimerEvent::IdleTimeout).is_none();
                if let Some(timeout) = self.idle_timeout.filter(unset) {
                    timers.set(TimerEvent::IdleTimeout, now + timeout);
                }
            }
            ConnectionState::Closing { .. } => self.schedule_close(conn, now, timers),
            ConnectionState::Lingering => {}
        }
    }

    /// Sets how long connections may stay idle from now on. One timer serves all connections.
    pub(super) fn set_idle_timeout(&mut self, timeout: Duration, timers: &mut Deadlines<TimerEvent>) {
        if self.idle_timeout.replace(timeout) != Some(timeout) {
            self.schedule_idle_timeout(timers);
        }
    }

    fn schedule_idle_timeout(&self, timers: &mut Deadlines<TimerEvent>) {
        if let Some((idle, timeout)) = self.first_to_time_out().zip(self.idle_timeout) {
            timers.set(TimerEvent::IdleTimeout, idle.since + timeout);
        }
    }

    /// Asks the peers of all connections that have reached the idle timeout to close.
    pub(super) fn ask_idle_to_close(&mut self, now: Duration, timers: &mut Deadlines<TimerEvent>) {
        let Some(timeout) = self.idle_timeout else { return };
        while let Some(IdleConnection { conn, .. }) =
            self.first_to_time_out().filter(|idle| idle.since + timeout <= now)
        {
            self.ask_to_close(conn, now, timers);
        }
        self.schedule_idle_timeout(timers);
    }

    /// Asks the peer to send no new requests; the connection closes once all calls are answered. If this server just
    /// closed it, a request could be under way at that moment and be lost.
    fn ask_to_close(&mut self, conn: ConnId, now: Duration, timers: &mut Deadlines<TimerEvent>) {
        if self.get(conn).is_none_or(|edge| edge.state != ConnectionState::Open) {
            return;
        }
        let was_idle = self.leave_idle_list(conn);
        if let Some(edge) = self.get(conn) {
            edge.state = ConnectionState::Closing { asked_at: now };
        }
        self.send(conn, |output, _| output.append_framing(msgpack_rpc::write_closing));
        if was_idle {
            self.join_idle_list(conn);
            self.schedule_close(conn, now, timers);
        }
    }

    /// Sets the time after which a closing connection without open calls is closed by this server.
    fn schedule_close(&mut self, conn: ConnId, now: Duration, timers: &mut Deadlines<TimerEvent>) {
        timers.set(TimerEvent::CloseTimeout(conn), self.close_at(conn, now));
    }

    fn close_at(&mut self, conn: ConnId, now: Duration) -> Duration {
        let idle_since = self.get(conn).map_or(now, |edge| edge.idle_since);
        now + self.close_timeouts.closing(idle_since, now)
    }

    /// Asks the peers of all connections to close, and waits for those that were asked before no longer than for the
    /// others.
    pub(super) fn ask_all_to_close(&mut self, now: Duration, timers: &mut Deadlines<TimerEvent>) {
        let all: Vec<ConnId> = self.connections.iter().map(|(slot, _)| ConnId(slot.0)).collect();
        for conn in all {
            if self.get(conn).is_some_and(|edge| edge.is_closing()) {
                let close_at = self.close_at(conn, now);
                if timers.get(TimerEvent::CloseTimeout(conn)).is_some_and(|present| present > close_at) {
                    timers.set(TimerEvent::CloseTimeout(conn), close_at);
                }
            }
            self.ask_to_close(conn, now, timers);
        }
    }

    /// Makes a connection linger: its output is written, then the write side is shut down, and input is discarded.
    pub(super) fn linger(&mut self, conn: ConnId, now: Duration, timers: &mut Deadlines<TimerEvent>) {
        self.leave_idle_list(conn);
        let linger_timeout = self.close_timeouts.lingering();
        let Some(edge) = self.get(conn).filter(|edge| !edge.is_lingering()) else { return };
        edge.state = ConnectionState::Lingering;
        edge.open_calls.clear();
        edge.connection.input = Vec::new();
        edge.message_due = None;
        edge.idle_since = now;
        edge.flush();
        edge.checked_written_bytes = edge.connection.written_bytes();
        edge.final_wait_started = edge.write_shut_down;
        self.lingering.push_back(conn);
        timers.remove(TimerEvent::MessageTimeout(conn));
        timers.set(TimerEvent::CloseTimeout(conn), now + linger_timeout);
    }

    /// Called when the close timeout of a lingering connection expires. Returns true if the connection has to be
    /// dropped now. One whose peer reads slowly stays as long as some of its output is written, and for `stall_timeout`
    /// after that.
    pub(super) fn linger_timed_out(
        &mut self,
        conn: ConnId,
        now: Duration,
        stall_timeout: Duration,
        timers: &mut Deadlines<TimerEvent>,
    ) -> bool {
        let linger_timeout = self.close_timeouts.lingering();
        let Some(edge) = self.get(conn) else { return false };
        edge.flush();
        let is_over = match edge.write_shut_down {
            true => std::mem::replace(&mut edge.final_wait_started, true),
            false => !edge.made_progress(now) && now >= edge.idle_since + stall_timeout,
        };
        if !is_over {
            timers.set(TimerEvent::CloseTimeout(conn), now + linger_timeout);
        }
        is_over
    }

    /// Closes and removes a connection.
    pub(super) fn remove(
        &mut self,
        conn: ConnId,
        event_loop: &EventLoopHandle,
        timers: &mut Deadlines<TimerEvent>,
    ) {
        timers.remove(TimerEvent::CloseTimeout(conn));
        timers.remove(TimerEvent::MessageTimeout(conn));
        self.leave_idle_list(conn);
        self.lingering.retain(|other| *other != conn);
        if let Some(edge) = self.connections.remove(Slot(conn.0)) {
            edge.connection.close(event_loop);
        }
    }
}
