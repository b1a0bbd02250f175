//! How callers and edge nodes behave.

use crate::invariant_checker::Effect;
use std::time::Duration;

/// How an edge node chooses among the servers that may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChoice {
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest open calls.
    LeastOpenCalls,
    /// The one with fewer open calls of two chosen at random.
    TwoChoices,
    /// The same server until it rejects an attempt or fails.
    Sticky,
}

/// How long an edge node uses the connections that it has to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUsage {
    /// While the server is listed and has not announced that it closes the connection.
    WhileListed,
    /// Whether the server is listed or not, until nearly as long after the announcement as the protocol allows.
    UntilClosing,
    /// Until the connection ends, whether the server is listed and whatever it announces.
    UntilEnd,
}

/// The behaviour of callers and edge nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerPolicy {
    /// How servers are chosen.
    pub server_choice: ServerChoice,
    /// The maximum number of attempts of one request.
    pub max_attempts: u32,
    /// How long one attempt of an idempotent request may take before another server is tried.
    pub attempt_timeout: Option<Duration>,
    /// Whether the servers' advice is followed: retry-after, final rejections and load hints.
    pub follows_advice: bool,
    /// The maximum number of retries per first attempt, over all requests of an edge node.
    pub retry_budget: f64,
    /// How often each server is sent a health check; never if `None`.
    pub health_check_interval: Option<Duration>,
    /// The maximum number of connections from one edge node to one server.
    pub max_connections: usize,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// The share of callers that cancel at a random time before their deadline.
    pub cancel_probability: f64,
    /// The delay between the two pieces in which half of the messages are written; all are written whole if `None`.
    pub split_write_delay: Option<Duration>,
    /// How long the connections to a server are used.
    pub connection_usage: ConnectionUsage,
    /// Whether a request with an idempotency key is retried, on the same server, after its connection failed.
    pub retries_keyed_after_failure: bool,
}

/// A request class, as callers see it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name on the wire.
    pub name: String,
    /// What a further run does.
    pub effect: Effect,
    /// The priority weight: what a request that is completed in time is worth.
    pub value: f64,
    /// The share of the value that remains after the latency target.
    pub late_share: f64,
    /// The share of the value that remains if the result was made without the call that it needed.
    pub degraded_share: f64,
    /// The time from the arrival of a request within which its completion has the full value.
    pub latency_target: Duration,
    /// The time from the arrival of a request after which its caller gives up.
    pub deadline: Duration,
    /// The memory that a request declares.
    pub memory_kb: f64,
    /// The length of a body in bytes.
    pub body_length: usize,
}
