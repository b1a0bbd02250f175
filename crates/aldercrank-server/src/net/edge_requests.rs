//! Reads connections from edge nodes and hands each request to the core.

use super::connection::{discard_consumed, Connection, ReadOutcome};
use super::edge_connection::{EdgeConnection, FIRST_MESSAGE_TIMEOUT};
use super::poller::{StreamEvent, StreamOwner};
use super::{Server, TimerEvent};
use crate::clock::Clock;
use crate::core::{ConnId, MessageId, ReceivedRequest, ReplyTo};
use crate::dedup::DedupKey;
use crate::msgpack_rpc::{
    self, InvalidRequest, ProtocolError, RequestFields, RequestHandler, UnexpectedMessage,
};
use crate::payload::count_copied;
use crate::worker_pool::{AttemptId, MAX_PAYLOAD_BYTES};
use aldercrank::{CallerId, IncomingRequest};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// The most calls that may be open on a connection.
const MAX_OPEN_CALLS: usize = 32;
/// The memory that a request states as its need has to be below this, in KB.
const MEMORY_LIMIT_KB: f64 = 2000.0;
/// A connection with more unsent output than this, in bytes, is not read until its peer has read some of it. Together
/// with the answers to the calls that are open by then, this is little compared with the memory limit.
const MAX_UNSENT_BYTES: usize = 16 * 1024;
/// How often the message timeout of a connection is checked again while it is not read.
const SKIPPED_READ_RECHECK: Duration = Duration::from_secs(1);
/// Size of a connection's kernel send buffer, in bytes. With room for less than two segments, each one would wait for
/// an acknowledgement.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// If results may exceed the usual limit, the send buffer holds one in this many bytes of the excess.
const SEND_BUFFER_DIVISOR: usize = 4;

/// How an edge node violated the protocol. Its text is the reason in the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ProtocolViolation {
    /// A message can't be decoded.
    #[error("{0}")]
    Unreadable(#[from] ProtocolError),
    /// A request is malformed.
    #[error("{0}")]
    InvalidRequest(#[from] InvalidRequest),
    /// A message is neither a request nor a known notification.
    #[error("{0}")]
    UnexpectedMessage(#[from] UnexpectedMessage),
    /// A request was received on a connection that has been removed.
    #[error("connection has been removed")]
    NoConnection,
    /// More calls are open than are allowed.
    #[error("more than {MAX_OPEN_CALLS} calls open at once")]
    TooManyOpenCalls,
    /// A call with the same message id is open.
    #[error("message id of a call that is still open was used again")]
    DuplicateMessageId,
    /// No complete message was received in time.
    #[error("no complete message in time")]
    MessageTimeout,
    /// A required field, given by its name in the protocol, is missing or can't be decoded.
    #[error("request field {0} is missing or can't be decoded")]
    MissingField(&'static str),
    /// A field, given by its name in the protocol, is outside the range that the protocol allows.
    #[error("request field {0} is out of range")]
    FieldOutOfRange(&'static str),
}

/// How a call that is not handed to the core is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DirectAnswer {
    /// The call did not run; the caller may retry it.
    Rejected,
    /// The call failed.
    Failed,
}

/// Handles the messages of one connection during one read.
struct EdgeMessageHandler<'a> {
    server: &'a mut Server,
    conn: ConnId,
    /// The violation, once the peer has violated the protocol.
    violation: Option<ProtocolViolation>,
}

impl EdgeMessageHandler<'_> {
    /// Converts and checks a request's fields. Times are converted to this server's clock.
    fn received_request<'b>(
        &mut self,
        now: Duration,
        method: &'b str,
        fields: &RequestFields<'b>,
        body: &'b [u8],
    ) -> Result<ReceivedRequest<'b>, ProtocolViolation> {
        use ProtocolViolation::{FieldOutOfRange, MissingField};
        let unix_now = Clock::unix_time();
        let sent_at = Duration::from_millis(fields.sent_at_ms.ok_or(MissingField("t0"))?);
        let stated_budget = fields.budget_ms.map(Duration::from_millis);
        let budget = stated_budget
            .or_else(|| self.server.socket_settings.default_budget(method))
            .ok_or(MissingField("budget"))?;
        // Neither is negative if this server's clock was set back, and what remains is not more than the budget.
        let unread_time = unix_now.saturating_sub(sent_at);
        let unix_deadline = sent_at.checked_add(budget).ok_or(FieldOutOfRange("budget"))?;
        let remaining = unix_deadline.saturating_sub(unix_now).min(budget);
        // The time that the request has waited unread by its own account is trusted only as far as this server's reads
        // allow: input that had arrived when the connection was last known to be empty has been read by then.
        let input_empty_at = self.server.net().edge.get(self.conn).map_or(now, |edge| edge.input_empty_at);
        let unread = now.saturating_sub(input_empty_at);
        let dedup_key = match (fields.idempotency_key, fields.subject) {
            (Some(token), _) => Some(DedupKey::token(method, token, body)),
            (None, Some(subject)) => Some(DedupKey::subject(method, subject)),
            (None, None) => None,
        };
        let memory_kb = fields.memory_kb.ok_or(MissingField("mem"))?;
        if memory_kb <= 0.0 || memory_kb >= MEMORY_LIMIT_KB {
            return Err(FieldOutOfRange("mem"));
        }
        let rank = fields.rank.ok_or(MissingField("prio"))?;
        if rank >= 1.0 {
            return Err(FieldOutOfRange("prio"));
        }
        let attempt = fields.attempt.ok_or(MissingField("rid"))?;
        let arrival = IncomingRequest {
            class: method,
            subject: fields.subject,
            deadline: Some(now.checked_add(remaining).ok_or(FieldOutOfRange("budget"))?),
            memory_kb,
            rank,
            caller: CallerId(fields.caller_id.ok_or(MissingField("peer"))?),
            unread_time,
            ..IncomingRequest::default()
        };
        let attempt = AttemptId::new(attempt).ok_or(FieldOutOfRange("rid"))?;
        Ok(ReceivedRequest { attempt, dedup_key, arrival, max_unread_time: unread, body })
    }
}

impl RequestHandler for EdgeMessageHandler<'_> {
    fn request(&mut self, call: MessageId, method: &str, fields: &RequestFields, body: &[u8]) {
        if let Err(violation) = self.server.open_call(self.conn, call) {
            self.violation = Some(violation);
            return;
        }
        let reply_to = ReplyTo { conn: self.conn, call };
        let now = self.server.now();
        match self.received_request(now, method, fields, body) {
            Ok(request) => self.server.request_received(now, reply_to, request),
            // Consensus requests between servers have a body and no fields.
            Err(_)
                if method == msgpack_rpc::CONSENSUS_METHOD
                    && self.server.consensus_request(reply_to, body) => {}
            Err(violation) => self.violation = Some(violation),
        }
    }

    fn health_check(&mut self, call: MessageId) {
        let (healthy, mut net) = (self.server.is_healthy(), self.server.net());
        net.edge.send(self.conn, |output, fields| {
            output.append_framing(|bytes| msgpack_rpc::write_health(bytes, call, healthy, fields));
        });
        net.mark_idle(self.conn);
    }

    fn cancel(&mut self, call: MessageId) {
        // No answer is required, but one does no harm, and the caller need not wait for its timeout.
        let reply_to = ReplyTo { conn: self.conn, call };
        if self.server.net().edge.get(self.conn).is_some_and(|edge| edge.open_calls.contains(&call)) {
            self.server.answer_directly(reply_to, DirectAnswer::Failed);
            self.server.caller_gone(reply_to);
        }
    }

    fn invalid_request(&mut self, call: MessageId, reason: InvalidRequest) {
        // The call is counted as open so that it fails together with all others.
        let _ = self.server.open_call(self.conn, call);
        self.violation = Some(reason.into());
    }

    fn unexpected_message(&mut self, reason: UnexpectedMessage) {
        self.violation = Some(reason.into());
    }
}

impl Server {
    /// Accepts the connections in the accept queue. Returns false if it stops early, because there is no room for more
    /// or accepting fails; the others stay in the queue.
    pub(super) fn accept(&mut self, listener: &TcpListener) -> bool {
        let (started_at, input_empty_at) = (self.now(), self.accept_queue_empty_at);
        loop {
            if !self.make_room() {
                tracing::warn!("connection limit reached; new connections wait in the accept queue");
                return false;
            }
            match listener.accept() {
                Ok((stream, _)) => self.add_edge_connection(stream, input_empty_at),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.accept_queue_empty_at = started_at;
                    return true;
                }
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    tracing::error!(reason = %e, "could not accept a connection; accepting again shortly");
                    return false;
                }
            }
        }
    }

    fn add_edge_connection(&mut self, stream: TcpStream, input_empty_at: Duration) {
        let now = self.now();
        let excess = self.config.max_result_bytes.saturating_sub(MAX_PAYLOAD_BYTES);
        let send_buffer = SEND_BUFFER_BYTES.max(excess / SEND_BUFFER_DIVISOR);
        if let Err(e) = socket2::SockRef::from(&stream).set_send_buffer_size(send_buffer) {
            tracing::debug!(reason = %e, "could not set the send buffer size; keeping the default");
        }
        let edge = match Connection::accepted(stream) {
            Ok(connection) => EdgeConnection::new(connection, now, input_empty_at),
            Err(e) => {
                return tracing::error!(reason = %e, "could not set up an accepted connection; closing it")
            }
        };
        let mut net = self.net();
        let net = &mut *net;
        let poller = &net.poller;
        let inserted = net.edge.insert(edge, |connection, conn| {
            connection.register_with_poller(poller, StreamOwner::Edge(conn.0))
        });
        match inserted {
            Ok(Some(conn)) => {
                net.mark_idle(conn);
                net.timers.set(TimerEvent::MessageTimeout(conn), now + FIRST_MESSAGE_TIMEOUT);
            }
            Ok(None) => {}
            Err(e) => {
                tracing::error!(reason = %e, "could not register an accepted connection with epoll; closing it");
            }
        }
    }

    /// Handles an event of a connection: writes unsent output and reads input at once. If this turn's time slice for
    /// reads is used up, the connection is queued to be read later.
    pub(super) fn edge_event(&mut self, conn: ConnId, event: StreamEvent) {
        let now = self.now();
        let read_skipped = {
            let mut net = self.net();
            let Some(edge) = net.edge.get(conn) else { return };
            edge.peer_closed |= event.ended;
            if event.broken {
                edge.connection.mark_broken();
            }
            if event.writable {
                edge.flush();
            }
            edge.read_skipped
        };
        // There is no further event for input that was skipped.
        if !event.readable && !read_skipped {
            return;
        }
        let round_start = *self.read_round_start.get_or_insert(now);
        if now < round_start + self.socket_settings.read_slice {
            self.read_edge(conn);
        } else {
            self.queue_edge_read(conn);
        }
    }

    /// Reads a connection once, and queues it again if it may have more input.
    pub(super) fn read_edge(&mut self, conn: ConnId) {
        let mut buffer = self.take_read_buffer();
        let (mut is_lingering, mut peer_closed) = (false, false);
        let outcome = match self.net().edge.get(conn) {
            Some(edge) => {
                // Output that was added in this turn is written first, since it may fit into the socket.
                if edge.connection.unsent_bytes() > MAX_UNSENT_BYTES {
                    edge.flush();
                }
                (is_lingering, peer_closed) = (edge.is_lingering(), edge.peer_closed);
                // A peer that has closed may never read its answers; the connection is read until the close is
                // reported.
                let is_backlogged = edge.connection.unsent_bytes() > MAX_UNSENT_BYTES;
                edge.read_skipped = is_backlogged && !peer_closed && !is_lingering;
                (!edge.read_skipped).then(|| edge.connection.read(&mut buffer))
            }
            None => None,
        };
        let now = self.now();
        match outcome {
            Some(ReadOutcome::Bytes(length)) => {
                // A read that doesn't fill the buffer has emptied the socket. Once the peer has closed, a further read
                // is needed to report the close.
                let may_have_more = length == buffer.len() || peer_closed;
                // Requests on a lingering connection could not be answered, and nobody waits for those of a peer that
                // has closed, so their input is discarded.
                if !is_lingering && !peer_closed {
                    self.handle_edge_input(conn, &buffer[..length]);
                }
                if may_have_more {
                    self.queue_edge_read(conn);
                } else {
                    self.mark_input_empty(conn, now);
                }
            }
            Some(ReadOutcome::WouldBlock) => self.mark_input_empty(conn, now),
            Some(ReadOutcome::Closed) => self.edge_closed_by_peer(conn),
            Some(ReadOutcome::Broken) => self.drop_edge(conn),
            None => {}
        }
        self.read_buffer = buffer;
    }

    fn mark_input_empty(&mut self, conn: ConnId, now: Duration) {
        if let Some(edge) = self.net().edge.get(conn) {
            edge.input_empty_at = now;
        }
    }

    /// Adds a connection to the queue of those to be read, unless it is in it.
    fn queue_edge_read(&mut self, conn: ConnId) {
        let mut net = self.net();
        let Some(edge) = net.edge.get(conn) else { return };
        if !std::mem::replace(&mut edge.read_queued, true) {
            net.read_queue.push_back(conn);
        }
    }

    /// Reads queued connections in turn, for one time slice at most.
    pub(super) fn run_queued_reads(&mut self) {
        let until = self.now() + self.socket_settings.read_slice;
        while self.now() < until {
            let mut net = self.net();
            let Some(conn) = net.read_queue.pop_front() else { return };
            if let Some(edge) = net.edge.get(conn) {
                edge.read_queued = false;
            }
            drop(net);
            self.read_edge(conn);
        }
    }

    fn handle_edge_input(&mut self, conn: ConnId, bytes: &[u8]) {
        let mut input = match self.net().edge.get(conn) {
            Some(edge) => std::mem::take(&mut edge.connection.input),
            None => return,
        };
        // Most messages arrive complete and are decoded in the read buffer, without a copy.
        let has_earlier_input = !input.is_empty();
        if has_earlier_input {
            count_copied(bytes.len());
            input.extend_from_slice(bytes);
        }
        let received = if has_earlier_input { &input } else { bytes };
        let mut consumed = 0;
        loop {
            let mut handler = EdgeMessageHandler { server: self, conn, violation: None };
            match msgpack_rpc::read_request(&received[consumed..], &mut handler) {
                Ok(Some(length)) => consumed += length,
                Ok(None) => break,
                Err(error) => handler.violation = Some(error.into()),
            }
            if let Some(violation) = handler.violation {
                return self.protocol_violated(conn, violation);
            }
        }
        let now = self.now();
        let mut net = self.net();
        let net = &mut *net;
        let Some(edge) = net.edge.get(conn) else { return };
        edge.connection.input = if has_earlier_input {
            discard_consumed(input, consumed)
        } else {
            count_copied(bytes.len() - consumed);
            input.extend_from_slice(&bytes[consumed..]);
            input
        };
        net.edge.input_handled(conn, now, consumed > 0, &mut net.timers);
    }

    /// No complete message was received on a connection in time.
    pub(super) fn message_timed_out(&mut self, conn: ConnId) {
        // Input that has arrived meanwhile is read before the connection is closed. While this server doesn't read the
        // connection because its output is backlogged, it stays open.
        self.read_edge(conn);
        let now = self.now();
        let (is_overdue, is_backlogged) = match self.net().edge.get(conn) {
            Some(edge) => (
                edge.message_due.is_some_and(|due| due <= now),
                edge.connection.unsent_bytes() > MAX_UNSENT_BYTES,
            ),
            None => return,
        };
        if is_backlogged {
            self.net().timers.set(TimerEvent::MessageTimeout(conn), now + SKIPPED_READ_RECHECK);
        } else if is_overdue {
            self.protocol_violated(conn, ProtocolViolation::MessageTimeout);
        }
    }

    /// Adds an open call, unless that violates the protocol.
    fn open_call(&mut self, conn: ConnId, call: MessageId) -> Result<(), ProtocolViolation> {
        let mut net = self.net();
        let edge = net.edge.get(conn).ok_or(ProtocolViolation::NoConnection)?;
        if edge.open_calls.len() >= MAX_OPEN_CALLS {
            return Err(ProtocolViolation::TooManyOpenCalls);
        }
        match net.edge.open_call(conn, call) {
            true => Ok(()),
            false => Err(ProtocolViolation::DuplicateMessageId),
        }
    }

    /// Answers a call without the core: one that is invalid or cancelled, or that was received before the core exists.
    pub(super) fn answer_directly(&mut self, reply_to: ReplyTo, answer: DirectAnswer) {
        self.net().answer(reply_to, |output, fields| {
            output.append_framing(|bytes| match answer {
                DirectAnswer::Rejected => {
                    msgpack_rpc::write_rejected(bytes, reply_to.call, fields, None, false);
                }
                DirectAnswer::Failed => msgpack_rpc::write_failed(bytes, reply_to.call, fields),
            });
        });
    }

    fn request_received(&mut self, now: Duration, reply_to: ReplyTo, request: ReceivedRequest) {
        match &mut self.core {
            Some(core) => core.request_received(now, reply_to, request),
            None => self.answer_directly(reply_to, DirectAnswer::Rejected),
        }
    }

    fn caller_gone(&mut self, reply_to: ReplyTo) {
        let now = self.now();
        if let Some(core) = &mut self.core {
            core.caller_gone(now, reply_to);
        }
        self.net().mark_idle(reply_to.conn);
    }
}
