//! The input of the invariant checker: the limits of the scenario, and the events observed on the wire.

use crate::ids::{ClassNo, EdgeNo, Incarnation, ReplyTo, RequestNo, ServerNo};
use aldercrank_protocol::worker_pool::AttemptId;
use std::time::Duration;

/// The effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as that of one run.
    Idempotent,
    /// The same as that of one run, because the server deduplicates by the request's idempotency key.
    Keyed,
    /// Harmful: the request must run at most once.
    Unsafe,
}

/// The properties of a request class that the checker needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedClass {
    /// The name on the wire.
    pub name: String,
    /// The effect of running a request again.
    pub effect: Effect,
    /// How long after an attempt further ones with its idempotency key must not run.
    pub dedup_window: Duration,
}

/// The time limits and classes of a scenario.
#[derive(Clone, Debug)]
pub struct CheckerSettings {
    /// The classes, by class number.
    pub classes: Vec<CheckedClass>,
    /// How long after its deadline a response may still arrive without being late.
    pub slack: Duration,
    /// How long after the request to shut down a server may still accept requests.
    pub drain_grace: Duration,
    /// How long after the request to shut down the process must have exited.
    pub stop_timeout: Duration,
}

/// An attempt, as an edge node sent it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number of the request.
    pub request: RequestNo,
    /// The attempt's id on the wire.
    pub attempt: AttemptId,
    /// The edge node that sent it.
    pub edge: EdgeNo,
    /// The server that it was sent to.
    pub server: ServerNo,
    /// The server's incarnation when it was sent.
    pub incarnation: Incarnation,
    /// The connection and message id of the expected response.
    pub reply_to: ReplyTo,
    /// The class of the request.
    pub class: ClassNo,
    /// The idempotency key of the request, if any.
    pub idempotency_key: Option<u64>,
    /// The hash of the request body.
    pub body_hash: u64,
    /// When it was sent.
    pub sent_at: Duration,
    /// The time by which its response is due.
    pub deadline: Duration,
}

/// The response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// Completed, with this result.
    Completed(&'a [u8]),
    /// Rejected; the attempt must not have run.
    Rejected,
    /// Failed with an error.
    Failed,
}

/// The start of a run in a worker pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStart<'a> {
    /// The server that the worker pool belongs to.
    pub server: ServerNo,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The attempt that is run.
    pub attempt: AttemptId,
    /// The class that the server sent to the pool.
    pub class: &'a str,
    /// The hash of the body that the server sent to the pool.
    pub body_hash: u64,
}

/// The exit of a server process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// The server.
    pub server: ServerNo,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The exit code; `None` if a signal ended it.
    pub code: Option<i32>,
    /// Whether the test cluster killed the process.
    pub killed: bool,
}

/// How the connection of an attempt was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// By the test cluster, or by a fault that it injected.
    Injected,
    /// By the server.
    ByServer,
    /// By the server, after it announced the closing. The attempt crossed or followed the announcement: it was not read
    /// and does not run.
    BeforeRead,
}

/// Counts of the attempts of idempotent requests at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdempotentCounts {
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts completed.
    pub completed: u64,
}
