//! Reads and handles what servers send to edge nodes.

use super::attempts::{AttemptRun, ClosedCall};
use super::host::EdgeHost;
use super::request::RequestEnd;
use super::state::{ConnectionUse, EdgeNodes, HealthCheck};
use crate::ids::{ConnNo, EdgeNo, ReplyTo, ServerNo};
use crate::invariant_checker::{is_degraded, Answer};
use aldercrank_protocol::msgpack_rpc::{self, MessageId, ReceivedFields, ResponseHandler};
use std::time::Duration;

/// The maximum length of a response.
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// The bytes on a connection are not a valid response; the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a server sent an invalid response")]
pub struct InvalidResponse;

/// A message from a server, copied so that the connection's input buffer is no longer borrowed.
enum ServerMessage {
    Completed(MessageId, Vec<u8>, ReceivedFields),
    Rejected(MessageId, ReceivedFields),
    Failed(MessageId, ReceivedFields),
    HealthReported(MessageId, bool),
    Closing,
}

#[derive(Default)]
struct MessageCollector(Vec<ServerMessage>);

impl ResponseHandler for MessageCollector {
    fn completed(&mut self, call: MessageId, result: &[u8], with: ReceivedFields) {
        self.0.push(ServerMessage::Completed(call, result.to_vec(), with));
    }
    fn rejected(&mut self, call: MessageId, with: ReceivedFields) {
        self.0.push(ServerMessage::Rejected(call, with));
    }
    fn failed(&mut self, call: MessageId, _why: &str, with: ReceivedFields) {
        self.0.push(ServerMessage::Failed(call, with));
    }
    fn health_reported(&mut self, call: MessageId, good: bool, _with: ReceivedFields) {
        self.0.push(ServerMessage::HealthReported(call, good));
    }
    fn closing(&mut self) {
        self.0.push(ServerMessage::Closing);
    }
}

impl EdgeNodes {
    /// Handles bytes that were received on a connection.
    ///
    /// # Errors
    /// If they contain an invalid response; the messages before it are handled.
    pub fn bytes_received(
        &mut self,
        now: Duration,
        conn: ConnNo,
        bytes: &[u8],
        host: &mut impl EdgeHost,
    ) -> Result<(), InvalidResponse> {
        let Some(connection) = self.connections.get_mut(&conn) else { return Ok(()) };
        connection.input.extend_from_slice(bytes);
        let (mut collector, mut taken) = (MessageCollector::default(), 0);
        let read = loop {
            match msgpack_rpc::read_response(&connection.input[taken..], MAX_RESPONSE_BYTES, &mut collector) {
                Ok(Some(length)) => taken += length,
                Ok(None) => break Ok(()),
                Err(_) => break Err(InvalidResponse),
            }
        };
        connection.input.drain(..taken);
        for message in collector.0 {
            self.message_received(now, conn, message, host);
        }
        read
    }

    fn message_received(
        &mut self,
        now: Duration,
        conn: ConnNo,
        message: ServerMessage,
        host: &mut impl EdgeHost,
    ) {
        if !self.connections.contains_key(&conn) {
            return;
        }
        match message {
            ServerMessage::Completed(message_id, result, fields) => {
                let reply_to = ReplyTo { conn, message_id };
                let answer = Answer::Completed(&result);
                let Some(call) = self.answer_received(now, reply_to, answer, fields, host) else { return };
                let request = self.request(call.request);
                request.degraded |= is_degraded(&result);
                let in_time = now <= request.in_time_until;
                let end = if in_time { RequestEnd::InTime } else { RequestEnd::Late };
                self.finish(now, call.request, end, host);
            }
            ServerMessage::Rejected(message_id, fields) => {
                let reply_to = ReplyTo { conn, message_id };
                let Some(call) = self.answer_received(now, reply_to, Answer::Rejected, fields, host) else {
                    return;
                };
                let is_final = fields.is_final && self.policy.follows_advice;
                if self.is_current(call.request, reply_to) {
                    self.request(call.request).end_without_retry = RequestEnd::Rejected;
                    if is_final {
                        return self.finish(now, call.request, RequestEnd::Rejected, host);
                    }
                    self.retry(now, call.request, call.server, AttemptRun::DidNotRun, host);
                }
            }
            ServerMessage::Failed(message_id, fields) => {
                let reply_to = ReplyTo { conn, message_id };
                let Some(call) = self.answer_received(now, reply_to, Answer::Failed, fields, host) else {
                    return;
                };
                if self.is_current(call.request, reply_to) {
                    self.request(call.request).end_without_retry = RequestEnd::Failed;
                    self.retry(now, call.request, call.server, AttemptRun::MayHaveRun, host);
                }
            }
            ServerMessage::HealthReported(message_id, healthy) => {
                self.health_reported(conn, message_id, healthy);
            }
            ServerMessage::Closing => return self.close_announced(now, conn, host),
        }
        self.close_if_drained(now, conn, host);
    }

    /// Reports a response to the host and removes its call from the connection; `None` if the call is not open.
    fn answer_received(
        &mut self,
        now: Duration,
        reply_to: ReplyTo,
        answer: Answer,
        fields: ReceivedFields,
        host: &mut impl EdgeHost,
    ) -> Option<ClosedCall> {
        let server = self.connections.get(&reply_to.conn)?.server;
        host.answer_received(now, server, reply_to, answer, fields.version);
        let call = self.close_call(now, reply_to)?;
        self.record_advice(now, call.edge, call.server, fields);
        Some(call)
    }

    fn record_advice(&mut self, now: Duration, edge: EdgeNo, server: ServerNo, fields: ReceivedFields) {
        let known = self.known_server(edge, server);
        (known.stay_probability, known.failed_at) = (fields.load_hint.or(known.stay_probability), None);
        if let Some(retry_after) = fields.retry_after {
            known.avoided_until = known.avoided_until.max(now + retry_after);
        }
    }

    fn health_reported(&mut self, conn: ConnNo, message_id: MessageId, healthy: bool) {
        let connection = self.connections.get(&conn);
        let Some(connection) = connection.filter(|c| c.used_for == ConnectionUse::HealthChecks) else {
            return;
        };
        let (edge, server) = (connection.edge, connection.server);
        let known = self.known_server(edge, server);
        if known.health_check == Some(HealthCheck { conn, waiting_for: Some(message_id.0) }) {
            known.unhealthy = !healthy;
            known.health_check = Some(HealthCheck { conn, waiting_for: None });
        }
    }
}
