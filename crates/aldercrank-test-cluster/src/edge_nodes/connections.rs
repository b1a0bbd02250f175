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

/// A call counts as never read if it was sent after the server announced the close of the connection, or at most this
/// long before, so that the two crossed.
const CLOSE_CROSSING_WINDOW: Duration = Duration::from_millis(50);
/// A health check that is not answered within this time has failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Each refresh of the membership comes early at random, by up to this share of its interval.
const REFRESH_JITTER: f64 = 0.1;

impl EdgeNodes {
    /// Marks a connection as established.
    pub fn connection_established(&mut self, conn: ConnNo) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.established = true;
        }
    }

    /// Handles a server's announcement that it closes a connection. Depending on the policy, the connection takes no
    /// further call and is closed after its last one.
    pub(super) fn close_announced(&mut self, now: Duration, conn: ConnNo, host: &mut impl EdgeHost) {
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

    /// Handles the end of a connection that the other side has closed, or that was reset, for example because its bytes
    /// were not a valid response. Its open calls are lost, and their requests retried where that is allowed.
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
            let crossed_close = connection
                .closing_since
                .is_some_and(|closing| call.sent_at + CLOSE_CROSSING_WINDOW >= closing);
            let is_partly_written = call.sent_at > now;
            let was_read = connection.established && !crossed_close && !is_partly_written;
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

    /// Opens `count` connections from each edge node to a server, on which nothing is sent.
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

    /// Restarts an edge node: its connections end, and the requests that wait for a response on them are canceled.
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

    /// Reads the membership. If the policy follows it, closes connections that are idle or whose server is not listed.
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

    /// Sends a health check to each listed server that has answered the previous one, on a connection that carries only
    /// health checks.
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
