//! The input of the invariant checker: the scenario's limits, and what was seen on the wire.

use crate::ids::{ClassNo, EdgeNo, Incarnation, ReplyTo, RequestNo, ServerNo};
use aldercrank_protocol::worker_pool::AttemptId;
use std::time::Duration;

/// What a further run of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as one run.
    Idempotent,
    /// The same as one run, by the request's idempotency key.
    Keyed,
    /// Harm: the request must run at most once.
    Unsafe,
}

/// What the checker knows of a request class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedClass {
    /// The name on the wire.
    pub name: String,
    /// What a further run does.
    pub effect: Effect,
    /// How long after an attempt further ones with its idempotency key must not run again.
    pub dedup_window: Duration,
}

/// The time limits and classes of a scenario.
#[derive(Clone, Debug)]
pub struct CheckerSettings {
    /// By class number.
    pub classes: Vec<CheckedClass>,
    /// How long after its deadline an attempt may be answered.
    pub slack: Duration,
    /// How long after the request to shut down a server may still take requests.
    pub drain_grace: Duration,
    /// From the request to shut down until the process has exited.
    pub stop_timeout: Duration,
}

/// An attempt, as an edge node sent it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestNo,
    /// The attempt's id on the wire.
    pub attempt: AttemptId,
    /// The sender.
    pub edge: EdgeNo,
    /// The server that it was sent to.
    pub server: ServerNo,
    /// The server's incarnation then.
    pub incarnation: Incarnation,
    /// Where its response is expected.
    pub reply_to: ReplyTo,
    /// Its class.
    pub class: ClassNo,
    /// The idempotency key of the request.
    pub idempotency_key: Option<u64>,
    /// The hash of its body.
    pub body_hash: u64,
    /// When it was sent.
    pub sent_at: Duration,
    /// When its response is due.
    pub deadline: Duration,
}

/// The response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// With this result.
    Completed(&'a [u8]),
    /// It was rejected, and did not run.
    Rejected,
    /// With an error.
    Failed,
}

/// A run that was started in a worker pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStart<'a> {
    /// The server whose pool it is.
    pub server: ServerNo,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The attempt that it runs.
    pub attempt: AttemptId,
    /// The class that the server named.
    pub class: &'a str,
    /// The hash of the body that the server sent.
    pub body_hash: u64,
}

/// The exit of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// The server.
    pub server: ServerNo,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The exit code; `None` if a signal ended it.
    pub code: Option<i32>,
    /// The test cluster killed it.
    pub killed: bool,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The test cluster, or a fault that it injected.
    Injected,
    /// The server.
    ByServer,
    /// The server, after an announcement that the attempt crossed or followed: it was not read, and does not run.
    BeforeRead,
}

/// Attempts of idempotent requests at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdempotentCounts {
    /// Sent.
    pub attempts: u64,
    /// Completed.
    pub completed: u64,
}
