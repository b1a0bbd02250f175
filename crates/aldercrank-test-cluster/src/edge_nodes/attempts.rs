//! Requests and their attempts: arrival, sending, retry, cancellation and end.

use super::host::{EdgeHost, EdgeTimer};
use super::request::{request_body, Request, RequestEnd};
use super::state::{ConnectionUse, EdgeNodes, OpenCall, OVERDUE_CHECK_DELAY};
use crate::ids::{ClassNo, ConnNo, EdgeNo, ReplyTo, RequestNo, ServerNo};
use crate::invariant_checker::{Attempt, Effect};
use crate::random::fnv1a_hash;
use aldercrank_protocol::msgpack_rpc::{self, RequestFields};
use aldercrank_protocol::worker_pool::AttemptId;
use std::time::Duration;

/// How long a retry waits if the request has an idempotency key, or if no server or connection was available for it.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The share of messages that are written in two pieces, if the policy has a delay between these.
const SPLIT_WRITE_PROBABILITY: f64 = 0.5;
/// Retries that are allowed regardless of the retry budget.
const MIN_RETRIES: f64 = 10.0;

/// Whether a failed attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptRun {
    DidNotRun,
    MayHaveRun,
}

/// A call that was removed from its connection.
pub(super) struct ClosedCall {
    pub(super) request: RequestNo,
    pub(super) server: ServerNo,
    pub(super) edge: EdgeNo,
}

impl EdgeNodes {
    /// Handles the arrival of a request at an edge node.
    pub fn request_arrived(
        &mut self,
        now: Duration,
        edge: EdgeNo,
        class_no: ClassNo,
        priority: f64,
        host: &mut impl EdgeHost,
    ) {
        let number = self.add_request(now, edge, class_no, priority, host);
        self.start_attempt(now, number, host);
    }

    /// Handles the arrival of a request whose first attempt is sent on this connection. Does nothing if the connection
    /// has ended.
    pub fn request_on_connection(
        &mut self,
        now: Duration,
        conn: ConnNo,
        class_no: ClassNo,
        priority: f64,
        host: &mut impl EdgeHost,
    ) {
        let Some(edge) = self.connections.get(&conn).map(|connection| connection.edge) else { return };
        let number = self.add_request(now, edge, class_no, priority, host);
        self.send_attempt(now, number, conn, host);
    }

    /// The connections on which requests are sent to a server.
    pub fn connections_in_use(&self, now: Duration, server: ServerNo) -> Vec<ConnNo> {
        let usage = self.policy.connection_usage;
        let in_use = self.connections.iter().filter(|(_, connection)| {
            connection.server == server
                && connection.used_for == ConnectionUse::Requests
                && connection.established
                && connection.takes_calls(now, usage)
        });
        in_use.map(|(conn, _)| *conn).collect()
    }

    fn add_request(
        &mut self,
        now: Duration,
        edge: EdgeNo,
        class_no: ClassNo,
        priority: f64,
        host: &mut impl EdgeHost,
    ) -> RequestNo {
        let class = &self.classes[class_no.0 as usize];
        let number = RequestNo(self.requests.len() as u32);
        let request = Request {
            edge,
            class: class_no,
            idempotency_key: (class.effect == Effect::Keyed).then_some(u64::from(number.0) + 1),
            priority,
            arrived_at: now,
            in_time_until: now + class.latency_target,
            deadline: now + class.deadline,
            attempts: 0,
            reply_to: None,
            last_sent_at: now,
            pinned: None,
            tried: Vec::new(),
            end_without_retry: RequestEnd::Expired,
            end: None,
            degraded: false,
        };
        host.set_edge_timer(request.deadline, EdgeTimer::Deadline(number));
        if self.random.chance(self.policy.cancel_probability) {
            let at = now + class.deadline.mul_f64(self.random.unit());
            host.set_edge_timer(at, EdgeTimer::Cancel(number));
        }
        self.requests.push(request);
        self.edge(edge).first_attempts += 1.0;
        number
    }

    pub(super) fn finish(
        &mut self,
        now: Duration,
        number: RequestNo,
        end: RequestEnd,
        host: &mut impl EdgeHost,
    ) {
        let request = self.request(number);
        if request.end.is_none() {
            request.end = Some(end);
            host.request_ended(now, number, request, end);
        }
    }

    /// Chooses a server and sends the request to it, or tries again after a delay if none is available.
    pub(super) fn start_attempt(&mut self, now: Duration, number: RequestNo, host: &mut impl EdgeHost) {
        let request = self.request(number);
        if request.end.is_some() || now >= request.deadline {
            return;
        }
        let edge = request.edge;
        let Some(server) = self.choose_server(now, number) else {
            return host.set_edge_timer(now + RETRY_DELAY, EdgeTimer::Retry(number));
        };
        let Some(conn) = self.connection_with_capacity(now, edge, server, host) else {
            self.request(number).tried.push(server);
            return host.set_edge_timer(now + RETRY_DELAY, EdgeTimer::Retry(number));
        };
        self.send_attempt(now, number, conn, host);
    }

    fn send_attempt(&mut self, now: Duration, number: RequestNo, conn: ConnNo, host: &mut impl EdgeHost) {
        let request = &mut self.requests[number.0 as usize];
        let class = &self.classes[request.class.0 as usize];
        let connection = self.connections.get_mut(&conn).expect("the chosen connection is in the table");
        let server = connection.server;
        let delay = self.policy.split_write_delay.filter(|_| self.random.chance(SPLIT_WRITE_PROBABILITY));
        let written_at = connection.plan_write(now, delay);
        let reply_to = ReplyTo { conn, message_id: connection.next_message_id() };
        request.attempts += 1;
        (request.reply_to, request.last_sent_at) = (Some(reply_to), now);
        request.tried.push(server);
        let time_left = request.deadline - now;
        let timeout = self.policy.attempt_timeout.filter(|_| class.effect == Effect::Idempotent);
        let budget = timeout.map_or(time_left, |timeout| timeout.min(time_left));
        // The wire carries whole milliseconds: the budget is rounded down, but not below 1.
        let budget_ms = (budget.as_millis() as u64).max(1);
        let id = format!("{:08x}{:08x}", number.0 + 1, request.attempts);
        let attempt = AttemptId::new(&id).expect("sixteen hex digits are a valid attempt id");
        let body = request_body(self.seed, number, class.body_length);
        let token = request.idempotency_key.map(|key| format!("{key:032x}"));
        let fields = RequestFields {
            attempt: Some(&id),
            sent_at_ms: Some(host.unix_ms(now)),
            caller_id: Some(u64::from(request.edge.0) + 1),
            budget_ms: Some(budget_ms),
            memory_kb: Some(class.memory_kb),
            rank: Some(request.priority),
            idempotency_key: token.as_deref(),
            subject: None,
        };
        let mut bytes = Vec::with_capacity(256 + body.len());
        msgpack_rpc::write_request(&mut bytes, reply_to.message_id, &class.name, &fields, &body);
        connection.open_calls.insert(reply_to.message_id, OpenCall { request: number, sent_at: written_at });
        let deadline = now + Duration::from_millis(budget_ms);
        let sent = Attempt {
            request: number,
            attempt,
            edge: request.edge,
            server,
            incarnation: host.incarnation(server),
            reply_to,
            class: request.class,
            idempotency_key: request.idempotency_key,
            body_hash: fnv1a_hash(&body),
            sent_at: written_at,
            deadline,
        };
        if budget < time_left {
            host.set_edge_timer(deadline, EdgeTimer::AttemptTimeout(number, request.attempts));
        }
        self.register_attempt(sent, host);
        self.write(now, conn, &bytes, host);
    }

    fn register_attempt(&mut self, sent: Attempt, host: &mut impl EdgeHost) {
        let check_at = sent.deadline + OVERDUE_CHECK_DELAY;
        host.set_edge_timer(check_at, EdgeTimer::CheckOverdue(sent.reply_to));
        self.known_server(sent.edge, sent.server).open_calls += 1;
        host.attempt_sent(sent);
    }

    /// Writes a message as [`Connection::plan_write`] has planned: at once, in two pieces, or behind an unsent piece.
    fn write(&mut self, now: Duration, conn: ConnNo, bytes: &[u8], host: &mut impl EdgeHost) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if !connection.unsent.is_empty() {
            return connection.unsent.extend_from_slice(bytes);
        }
        if connection.unsent_due <= now {
            return host.send(conn, bytes);
        }
        let (first, rest) = bytes.split_at(bytes.len() / 2);
        connection.unsent = rest.to_vec();
        host.set_edge_timer(connection.unsent_due, EdgeTimer::SendUnsent(conn));
        host.send(conn, first);
    }

    /// Writes the unsent second piece, and the messages queued behind it.
    pub(super) fn send_unsent(&mut self, conn: ConnNo, host: &mut impl EdgeHost) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            let rest = std::mem::take(&mut connection.unsent);
            host.send(conn, &rest);
        }
    }

    /// Retries a request whose attempt was rejected, failed or timed out, or ends it if policy, retry budget or the
    /// danger of a further run forbids a retry.
    pub(super) fn retry(
        &mut self,
        now: Duration,
        number: RequestNo,
        server: ServerNo,
        run: AttemptRun,
        host: &mut impl EdgeHost,
    ) {
        let request = &mut self.requests[number.0 as usize];
        if request.end.is_some() {
            return;
        }
        request.reply_to = None;
        let effect = self.classes[request.class.0 as usize].effect;
        let edge = &mut self.edges[request.edge.0 as usize];
        let may_have_run = run == AttemptRun::MayHaveRun;
        let failed_at = edge.known.get(&server).and_then(|known| known.failed_at);
        let failed_since_sent = failed_at.is_some_and(|at| at >= request.last_sent_at);
        let is_safe = match effect {
            Effect::Idempotent => true,
            Effect::Keyed => !may_have_run || !failed_since_sent || self.policy.retries_keyed_after_failure,
            Effect::Unsafe => !may_have_run,
        };
        let allowed_retries = (edge.first_attempts * self.policy.retry_budget).max(MIN_RETRIES);
        let in_budget = edge.retries + 1.0 <= allowed_retries;
        if !is_safe || !in_budget || request.attempts >= self.policy.max_attempts {
            let end = request.end_without_retry;
            return self.finish(now, number, end, host);
        }
        edge.retries += 1.0;
        if may_have_run && effect == Effect::Keyed {
            request.pinned = Some(server);
            return host.set_edge_timer(now + RETRY_DELAY, EdgeTimer::Retry(number));
        }
        self.start_attempt(now, number, host);
    }

    pub(super) fn attempt_timed_out(
        &mut self,
        now: Duration,
        number: RequestNo,
        attempt: u32,
        host: &mut impl EdgeHost,
    ) {
        let request = self.request(number);
        let is_current = request.attempts == attempt && request.end.is_none();
        let Some(reply_to) = request.reply_to.filter(|_| is_current) else { return };
        request.end_without_retry = RequestEnd::Expired;
        let server = self.connections.get(&reply_to.conn).map(|connection| connection.server);
        if let Some(server) = server {
            self.retry(now, number, server, AttemptRun::MayHaveRun, host);
        }
    }

    pub(super) fn cancel_request(&mut self, now: Duration, number: RequestNo, host: &mut impl EdgeHost) {
        let request = self.request(number);
        if let Some(reply_to) = request.reply_to.filter(|_| request.end.is_none()) {
            self.cancel_attempt(now, reply_to, host);
        }
        self.finish(now, number, RequestEnd::Canceled, host);
    }

    pub(super) fn cancel_attempt(&mut self, now: Duration, reply_to: ReplyTo, host: &mut impl EdgeHost) {
        if self.close_call(now, reply_to).is_some() {
            let mut bytes = Vec::new();
            msgpack_rpc::write_cancel(&mut bytes, reply_to.message_id);
            host.attempt_canceled(reply_to);
            self.write(now, reply_to.conn, &bytes, host);
        }
    }

    /// Removes an open call from its connection; `None` if it is not open.
    pub(super) fn close_call(&mut self, now: Duration, reply_to: ReplyTo) -> Option<ClosedCall> {
        let connection = self.connections.get_mut(&reply_to.conn)?;
        let call = connection.open_calls.remove(&reply_to.message_id)?;
        connection.idle_since = now;
        let (server, edge) = (connection.server, connection.edge);
        let known = self.known_server(edge, server);
        known.open_calls = known.open_calls.saturating_sub(1);
        Some(ClosedCall { request: call.request, server, edge })
    }

    /// Whether the request's current attempt expects its response at `reply_to`.
    pub(super) fn is_current(&self, number: RequestNo, reply_to: ReplyTo) -> bool {
        self.requests[number.0 as usize].reply_to == Some(reply_to)
    }
}
