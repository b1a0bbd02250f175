//! The state of all edge nodes, and the timers that drive it.

use super::host::{EdgeHost, EdgeTimer};
use super::policy::{CallerPolicy, ConnectionUsage, RequestClass};
use super::request::{Request, RequestEnd};
use crate::ids::{ConnNo, EdgeNo, ReplyTo, RequestNo, ServerNo};
use crate::random::RandomStream;
use aldercrank_protocol::msgpack_rpc::MessageId;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a call stays open after its deadline before the checker is asked whether a response is still owed, and the
/// time between two such checks.
pub(super) const OVERDUE_CHECK_DELAY: Duration = Duration::from_millis(200);

/// How long a connection is used after the server announced its close, with [`ConnectionUsage::UntilClosing`]: a little
/// less than the protocol allows.
pub(super) const USE_AFTER_CLOSING: Duration = Duration::from_millis(40);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    Requests,
    HealthChecks,
    /// Nothing is sent on it.
    Idle,
}

/// An open call on a connection.
pub(super) struct OpenCall {
    pub(super) request: RequestNo,
    pub(super) sent_at: Duration,
}

/// An edge node's connection to a server.
pub(super) struct Connection {
    pub(super) edge: EdgeNo,
    pub(super) server: ServerNo,
    pub(super) established: bool,
    pub(super) used_for: ConnectionUse,
    pub(super) last_message_id: u32,
    pub(super) open_calls: BTreeMap<MessageId, OpenCall>,
    /// When the server announced that it closes the connection, if it did.
    pub(super) closing_since: Option<Duration>,
    pub(super) idle_since: Duration,
    /// Received bytes that are not a complete message yet.
    pub(super) input: Vec<u8>,
    /// The second piece of a message whose first piece is written, and the messages queued behind it.
    pub(super) unsent: Vec<u8>,
    /// When `unsent` is written.
    pub(super) unsent_due: Duration,
}

impl Connection {
    pub(super) fn new(edge: EdgeNo, server: ServerNo, used_for: ConnectionUse, now: Duration) -> Connection {
        Connection {
            edge,
            server,
            established: false,
            used_for,
            last_message_id: 0,
            open_calls: BTreeMap::new(),
            closing_since: None,
            idle_since: now,
            input: Vec::new(),
            unsent: Vec::new(),
            unsent_due: now,
        }
    }

    /// Whether a call may be sent on it.
    pub(super) fn takes_calls(&self, now: Duration, usage: ConnectionUsage) -> bool {
        match (self.closing_since, usage) {
            (None, _) | (Some(_), ConnectionUsage::UntilEnd) => true,
            (Some(_), ConnectionUsage::WhileListed) => false,
            (Some(closing), ConnectionUsage::UntilClosing) => now < closing + USE_AFTER_CLOSING,
        }
    }

    /// Plans the write of a message at `now`: at once, behind an unsent piece, or in two pieces with `split_delay`
    /// between them. Returns when it will be written in full.
    pub(super) fn plan_write(&mut self, now: Duration, split_delay: Option<Duration>) -> Duration {
        if let (true, Some(delay)) = (self.unsent.is_empty(), split_delay) {
            self.unsent_due = now + delay;
        }
        self.unsent_due.max(now)
    }

    pub(super) fn next_message_id(&mut self) -> MessageId {
        self.last_message_id += 1;
        MessageId(self.last_message_id)
    }
}

/// The health checks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HealthCheck {
    pub(super) conn: ConnNo,
    /// The message id of the check that is not answered yet.
    pub(super) waiting_for: Option<u32>,
}

/// What an edge node knows of a server.
#[derive(Default)]
pub(super) struct KnownServer {
    pub(super) connections: Vec<ConnNo>,
    pub(super) open_calls: usize,
    /// No request is sent to it before this time, because it failed or asked for it by a retry-after.
    pub(super) avoided_until: Duration,
    /// When it last failed; cleared by its next response.
    pub(super) failed_at: Option<Duration>,
    pub(super) unhealthy: bool,
    /// The server's load hint: the probability with which a caller stays with it.
    pub(super) stay_probability: Option<f64>,
    pub(super) health_check: Option<HealthCheck>,
}

/// One edge node.
#[derive(Default)]
pub(super) struct EdgeNode {
    pub(super) known: BTreeMap<ServerNo, KnownServer>,
    pub(super) listed: Vec<ServerNo>,
    pub(super) round_robin_turn: usize,
    pub(super) sticky_server: Option<ServerNo>,
    /// First attempts so far, for the retry budget.
    pub(super) first_attempts: f64,
    /// Retries so far.
    pub(super) retries: f64,
}

/// All edge nodes of a run.
pub struct EdgeNodes {
    pub(super) policy: CallerPolicy,
    pub(super) classes: Vec<RequestClass>,
    pub(super) refresh_interval: Duration,
    pub(super) edges: Vec<EdgeNode>,
    pub(super) connections: BTreeMap<ConnNo, Connection>,
    pub(super) requests: Vec<Request>,
    pub(super) random: RandomStream,
    pub(super) seed: u64,
}

impl EdgeNodes {
    /// `edges` edge nodes, which read the membership once per `refresh_interval`.
    pub fn new(
        policy: CallerPolicy,
        classes: Vec<RequestClass>,
        edges: usize,
        refresh_interval: Duration,
        seed: u64,
    ) -> EdgeNodes {
        EdgeNodes {
            policy,
            classes,
            refresh_interval,
            edges: (0..edges).map(|_| EdgeNode::default()).collect(),
            connections: BTreeMap::new(),
            requests: Vec::new(),
            random: RandomStream::of(seed, "edge nodes"),
            seed,
        }
    }

    /// Starts all edge nodes: each reads the membership, and sets the timers for its next refresh and its health
    /// checks.
    pub fn start(&mut self, now: Duration, host: &mut impl EdgeHost) {
        for n in 0..self.edges.len() {
            let edge = EdgeNo(n as u16);
            self.refresh_membership(now, edge, host);
            if let Some(interval) = self.policy.health_check_interval {
                let first = now + interval.mul_f64(self.random.unit());
                host.set_edge_timer(first, EdgeTimer::SendHealthChecks(edge));
            }
        }
    }

    /// Handles a timer that is due.
    pub fn on_timer(&mut self, now: Duration, timer: EdgeTimer, host: &mut impl EdgeHost) {
        match timer {
            EdgeTimer::Deadline(request) => self.finish(now, request, RequestEnd::Expired, host),
            EdgeTimer::AttemptTimeout(request, attempt) => {
                self.attempt_timed_out(now, request, attempt, host);
            }
            EdgeTimer::Cancel(request) => self.cancel_request(now, request, host),
            EdgeTimer::Retry(request) => self.start_attempt(now, request, host),
            EdgeTimer::SendUnsent(conn) => self.send_unsent(conn, host),
            EdgeTimer::CloseIfDrained(conn) => self.close_if_drained(now, conn, host),
            EdgeTimer::CheckOverdue(reply_to) => self.check_overdue(now, reply_to, host),
            EdgeTimer::RefreshMembership(edge) => self.refresh_membership(now, edge, host),
            EdgeTimer::SendHealthChecks(edge) => self.send_health_checks(now, edge, host),
            EdgeTimer::HealthCheckTimeout(edge, server, number) => {
                let known = self.known_server(edge, server);
                if known.health_check.is_some_and(|check| check.waiting_for == Some(number)) {
                    known.unhealthy = true;
                }
            }
        }
    }

    fn check_overdue(&mut self, now: Duration, reply_to: ReplyTo, host: &mut impl EdgeHost) {
        let connection = self.connections.get(&reply_to.conn);
        if !connection.is_some_and(|connection| connection.open_calls.contains_key(&reply_to.message_id)) {
            return;
        }
        if host.check_overdue(now, reply_to) {
            self.cancel_attempt(now, reply_to, host);
        } else {
            host.set_edge_timer(now + OVERDUE_CHECK_DELAY, EdgeTimer::CheckOverdue(reply_to));
        }
    }

    /// How many requests have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.iter().filter(|request| request.end.is_none()).count()
    }

    pub(super) fn edge(&mut self, edge: EdgeNo) -> &mut EdgeNode {
        &mut self.edges[edge.0 as usize]
    }

    pub(super) fn known_server(&mut self, edge: EdgeNo, server: ServerNo) -> &mut KnownServer {
        self.edge(edge).known.entry(server).or_default()
    }

    pub(super) fn request(&mut self, number: RequestNo) -> &mut Request {
        &mut self.requests[number.0 as usize]
    }
}
