//! The interface between the edge nodes and the test cluster: what they need from it, and what they report to it.

use super::request::{Request, RequestEnd};
use crate::ids::{ConnNo, EdgeNo, Incarnation, ReplyTo, RequestNo, ServerNo};
use crate::invariant_checker::{Answer, Attempt, ConnectionEnd};
use std::time::Duration;

/// A timer of the edge nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EdgeTimer {
    /// The request's deadline.
    Deadline(RequestNo),
    /// The request's attempt of this number times out.
    AttemptTimeout(RequestNo, u32),
    /// The caller cancels the request.
    Cancel(RequestNo),
    /// The next attempt of the request is made.
    Retry(RequestNo),
    /// The unsent second piece of a message is written on a connection.
    SendUnsent(ConnNo),
    /// A connection that the server closes is no longer used, and closed once all calls on it are answered.
    CloseIfDrained(ConnNo),
    /// Checks whether the server still owes the response that is expected here.
    CheckOverdue(ReplyTo),
    /// The edge node reads the membership.
    RefreshMembership(EdgeNo),
    /// The edge node sends health checks.
    SendHealthChecks(EdgeNo),
    /// The health check with this message id times out.
    HealthCheckTimeout(EdgeNo, ServerNo, u32),
}

/// The environment of the edge nodes.
pub trait EdgeHost {
    /// Begins to connect to a server; `None` if it can't be reached.
    fn connect(&mut self, edge: EdgeNo, server: ServerNo) -> Option<ConnNo>;
    /// Sends bytes to a server.
    fn send(&mut self, conn: ConnNo, bytes: &[u8]);
    /// Closes a connection.
    fn close(&mut self, conn: ConnNo);
    /// Calls [`super::EdgeNodes::on_timer`] at `at`.
    fn set_edge_timer(&mut self, at: Duration, timer: EdgeTimer);
    /// The Unix time at `at`, in milliseconds.
    fn unix_ms(&self, at: Duration) -> u64;
    /// The current incarnation of a server.
    fn incarnation(&self, server: ServerNo) -> Incarnation;
    /// The servers that an edge node sees in the membership.
    fn membership_view(&mut self, edge: EdgeNo, now: Duration) -> Vec<ServerNo>;
    /// An attempt was sent.
    fn attempt_sent(&mut self, attempt: Attempt);
    /// A response was received. `config_version` is the configuration version that it names.
    fn answer_received(
        &mut self,
        now: Duration,
        server: ServerNo,
        reply_to: ReplyTo,
        answer: Answer,
        config_version: Option<u64>,
    );
    /// An attempt was canceled.
    fn attempt_canceled(&mut self, reply_to: ReplyTo);
    /// The connection of an open attempt has ended.
    fn connection_lost(&mut self, now: Duration, reply_to: ReplyTo, end: ConnectionEnd);
    /// Checks an attempt that is still open after its deadline. Returns whether the server no longer owes the response.
    fn check_overdue(&mut self, now: Duration, reply_to: ReplyTo) -> bool;
    /// A request has ended for its caller.
    fn request_ended(&mut self, now: Duration, number: RequestNo, request: &Request, end: RequestEnd);
}
