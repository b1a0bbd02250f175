//! The connections of edge nodes: establishing, draining, loss, health checks, and the membership that they follow.

use super::attempts::AttemptRun;
use super::choose_server::AVOID_AFTER_FAILURE;
use super::host::{EdgeHost, EdgeTimer};
use super::policy::ConnectionUsage;
use super::request::RequestEnd;
use super::state::{Connection, ConnectionUse, EdgeNodes, HealthCheck, USE_AFTER_CLOSING};
use crate::ids::{ConnNo, EdgeNo, ReplyTo, ServerNo};
use crate::invariant_checker::ConnectionEnd;
use aldercrank_protocol::msgpack_rpc;
use std::time::Duration;

/// A call that was sent this long before the server announced its close, or later, was never read.
const CLOSE_CROSSING: Duration = Duration::from_millis(50);
/// A health check without an answer for this long has failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// The membership is refreshed earlier than its interval by up to this share, at random.
const REFRESH_JITTER: f64 = 0.1;

impl EdgeNodes {
    /// A connection was established.
    pub fn connection_established(&mut self, conn: ConnNo) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.established = true;
        }
    }

    /// The server announced that it closes a connection: by the caller's policy, it gets no further call and ends with
    /// its last one.
    pub(super) fn server_closes(&mut self, now: Duration, conn: ConnNo, host: &mut impl EdgeHost) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.closing_since = Some(now);
        if self.policy.connection_usage == ConnectionUsage::UntilClosing {
            host.set_edge_timer(now + USE_AFTER_CLOSING, EdgeTimer::CloseIfDrained(conn));
        }
        self.close_if_drained(now, conn, host);
    }

    /// Stops using a connection that the server closes, and closes it once all calls on it are answered.
    pub(super) fn close_if_drained(&mut self, now: Duration, conn: ConnNo, host: &mut impl EdgeHost) {
        let Some(connection) = self.connections.get(&conn) else { return };
        if connection.takes_calls(now, self.policy.connection_usage) {
            return;
        }
        let is_idle = connection.open_calls.is_empty();
        let (edge, server) = (connection.edge, connection.server);
        self.known_server(edge, server).connections.retain(|other| *other != conn);
        if is_idle {
            self.close_connection(conn, host);
        }
    }

    fn close_connection(&mut self, conn: ConnNo, host: &mut impl EdgeHost) {
        host.close(conn);
        self.forget_connection(conn);
    }

    fn forget_connection(&mut self, conn: ConnNo) -> Option<Connection> {
        let connection = self.connections.remove(&conn)?;
        let known = self.known_server(connection.edge, connection.server);
        known.connections.retain(|other| *other != conn);
        known.open_calls = known.open_calls.saturating_sub(connection.open_calls.len());
        if known.health_check.is_some_and(|check| check.conn == conn) {
            known.health_check = None;
        }
        Some(connection)
    }

    /// A connection has ended from the other side, or because its bytes were no response.
    pub fn connection_ended(
        &mut self,
        now: Duration,
        conn: ConnNo,
        end: ConnectionEnd,
        host: &mut impl EdgeHost,
    ) {
        let Some(connection) = self.forget_connection(conn) else { return };
        let known = self.known_server(connection.edge, connection.server);
        match connection.used_for {
            ConnectionUse::Idle => return,
            ConnectionUse::HealthChecks => {
                known.unhealthy = true;
                return;
            }
            ConnectionUse::Requests => {}
        }
        let is_clean = connection.closing_since.is_some()
            || (connection.established && connection.open_calls.is_empty());
        if !is_clean {
            known.failed_at = Some(now);
            known.avoided_until = known.avoided_until.max(now + AVOID_AFTER_FAILURE);
        }
        for (message_id, call) in connection.open_calls {
            let reply_to = ReplyTo { conn, message_id };
            let crossed_close =
                connection.closing_since.is_some_and(|closing| call.sent_at + CLOSE_CROSSING >= closing);
            let is_unfinished = call.sent_at > now;
            let was_read = connection.established && !crossed_close && !is_unfinished;
            let end = match end {
                ConnectionEnd::ByServer if was_read => ConnectionEnd::ByServer,
                ConnectionEnd::ByServer if connection.established => ConnectionEnd::BeforeRead,
                _ if was_read => end,
                _ => ConnectionEnd::Injected,
            };
            host.connection_lost(now, reply_to, end);
            if self.is_current(call.request, reply_to) {
                self.request(call.request).end_without_retry = RequestEnd::Failed;
                let run = if was_read { AttemptRun::MayHaveRun } else { AttemptRun::DidNotRun };
                self.retry(now, call.request, connection.server, run, host);
            }
        }
    }

    /// Whether the server has announced that it closes the connection.
    pub fn is_closing(&self, conn: ConnNo) -> bool {
        self.connections.get(&conn).is_some_and(|connection| connection.closing_since.is_some())
    }

    /// Each edge node opens `count` connections to a server that it does not use.
    pub fn open_idle_connections(
        &mut self,
        now: Duration,
        server: ServerNo,
        count: usize,
        host: &mut impl EdgeHost,
    ) {
        for edge in 0..self.edges.len() {
            let edge = EdgeNo(edge as u16);
            for _ in 0..count {
                let Some(conn) = host.connect(edge, server) else { return };
                self.connections.insert(conn, Connection::new(edge, server, ConnectionUse::Idle, now));
            }
        }
    }

    /// An edge node restarts: its connections end, and its callers are gone.
    pub fn restart(&mut self, now: Duration, edge: EdgeNo, host: &mut impl EdgeHost) {
        let own = self.connections.iter().filter(|(_, connection)| connection.edge == edge);
        let own: Vec<ConnNo> = own.map(|(conn, _)| *conn).collect();
        for conn in own {
            host.close(conn);
            let Some(connection) = self.forget_connection(conn) else { continue };
            for (message_id, call) in connection.open_calls {
                let reply_to = ReplyTo { conn, message_id };
                host.attempt_canceled(reply_to);
                if self.is_current(call.request, reply_to) {
                    self.finish(now, call.request, RequestEnd::Canceled, host);
                }
            }
        }
        self.edge(edge).known.clear();
    }

    /// Reads the membership, and closes idle connections and those to servers that are not listed.
    pub(super) fn refresh_membership(&mut self, now: Duration, edge_no: EdgeNo, host: &mut impl EdgeHost) {
        let view = host.membership_view(edge_no, now);
        let edge = self.edge(edge_no);
        edge.listed = view;
        let conns: Vec<ConnNo> =
            edge.known.values().flat_map(|known| known.connections.iter().copied()).collect();
        for conn in conns {
            let Some(connection) = self.connections.get(&conn) else { continue };
            let is_unlisted = !self.edges[edge_no.0 as usize].listed.contains(&connection.server);
            let is_idle = now.saturating_sub(connection.idle_since) >= self.policy.idle_timeout;
            let is_unused = connection.open_calls.is_empty() && connection.established;
            let follows_membership = self.policy.connection_usage == ConnectionUsage::WhileListed;
            if is_unused && follows_membership && (is_idle || is_unlisted) {
                self.close_connection(conn, host);
            }
        }
        let early = self.random.unit() * REFRESH_JITTER;
        let next = now + self.refresh_interval.mul_f64(1.0 - early);
        host.set_edge_timer(next, EdgeTimer::RefreshMembership(edge_no));
    }

    /// Sends a health check to each listed server that has answered the one before, on a connection of its own.
    pub(super) fn send_health_checks(&mut self, now: Duration, edge: EdgeNo, host: &mut impl EdgeHost) {
        let Some(interval) = self.policy.health_check_interval else { return };
        for server in self.edges[edge.0 as usize].listed.clone() {
            let known = self.edges[edge.0 as usize].known.entry(server).or_default();
            let conn = match known.health_check {
                Some(HealthCheck { conn, waiting_for: None }) => conn,
                Some(_) => continue,
                None => {
                    let Some(conn) = host.connect(edge, server) else {
                        known.unhealthy = true;
                        continue;
                    };
                    let connection = Connection::new(edge, server, ConnectionUse::HealthChecks, now);
                    self.connections.insert(conn, connection);
                    conn
                }
            };
            let connection =
                self.connections.get_mut(&conn).expect("a health check's connection is in the table");
            let message_id = connection.next_message_id();
            known.health_check = Some(HealthCheck { conn, waiting_for: Some(message_id.0) });
            let mut bytes = Vec::new();
            msgpack_rpc::write_health_check(&mut bytes, message_id);
            host.send(conn, &bytes);
            let timeout = EdgeTimer::HealthCheckTimeout(edge, server, message_id.0);
            host.set_edge_timer(now + HEALTH_CHECK_TIMEOUT, timeout);
        }
        host.set_edge_timer(now + interval, EdgeTimer::SendHealthChecks(edge));
    }
}
