//! Chooses the server and the connection for an attempt.

use super::host::EdgeHost;
use super::policy::{ConnectionUsage, ServerChoice};
use super::state::{Connection, ConnectionUse, EdgeNode, EdgeNodes};
use crate::ids::{ConnNo, EdgeNo, RequestNo, ServerNo};
use std::time::Duration;

/// The maximum number of open calls on one connection.
const MAX_OPEN_CALLS: usize = 32;
/// How long a server is avoided after a failed connection.
pub(super) const AVOID_AFTER_FAILURE: Duration = Duration::from_millis(500);

impl EdgeNodes {
    /// Whether a new request may be sent to a server.
    fn accepts_requests(&self, edge: &EdgeNode, server: ServerNo, now: Duration) -> bool {
        let Some(known) = edge.known.get(&server) else { return true };
        let avoidance_over = now >= known.avoided_until;
        let ignores_advice = !self.policy.follows_advice && known.failed_at.is_none();
        !known.unhealthy && (avoidance_over || ignores_advice)
    }

    /// The listed servers and, if the policy uses connections to unlisted servers, those with a connection.
    fn reachable_servers(&self, edge: &EdgeNode) -> Vec<ServerNo> {
        let mut servers = edge.listed.clone();
        if self.policy.connection_usage != ConnectionUsage::WhileListed {
            let connected = edge.known.iter().filter(|(_, known)| !known.connections.is_empty());
            let unlisted =
                connected.map(|(server, _)| *server).filter(|server| !edge.listed.contains(server));
            servers.extend(unlisted);
        }
        servers
    }

    /// The servers to choose from: those that accept requests and that the request was not sent to yet, or all that
    /// accept requests if it was sent to each of them.
    fn candidates(&self, now: Duration, number: RequestNo) -> Vec<ServerNo> {
        let request = &self.requests[number.0 as usize];
        let edge = &self.edges[request.edge.0 as usize];
        let accepting = |server: &ServerNo| self.accepts_requests(edge, *server, now);
        let reachable = self.reachable_servers(edge);
        let untried: Vec<ServerNo> = reachable
            .iter()
            .copied()
            .filter(accepting)
            .filter(|server| !request.tried.contains(server))
            .collect();
        if untried.is_empty() {
            reachable.into_iter().filter(accepting).collect()
        } else {
            untried
        }
    }

    /// The server for the next attempt of a request; `None` if no server accepts requests.
    pub(super) fn choose_server(&mut self, now: Duration, number: RequestNo) -> Option<ServerNo> {
        let request = &self.requests[number.0 as usize];
        if request.pinned.is_some() {
            return request.pinned;
        }
        let edge_no = request.edge;
        let candidates = self.candidates(now, number);
        if candidates.is_empty() {
            return None;
        }
        let chosen = self.choose_among(edge_no, &candidates);
        let edge = self.edge(edge_no);
        edge.round_robin_turn = edge.round_robin_turn.wrapping_add(1);
        edge.sticky_server = Some(chosen);
        Some(self.follow_load_hint(edge_no, chosen, &candidates))
    }

    fn choose_among(&mut self, edge_no: EdgeNo, candidates: &[ServerNo]) -> ServerNo {
        let edge = &self.edges[edge_no.0 as usize];
        let open_calls = |server: ServerNo| edge.known.get(&server).map_or(0, |known| known.open_calls);
        let turn = edge.round_robin_turn;
        match self.policy.server_choice {
            ServerChoice::RoundRobin => candidates[turn % candidates.len()],
            ServerChoice::LeastOpenCalls => {
                let order = (0..candidates.len()).map(|i| candidates[(i + turn) % candidates.len()]);
                order.min_by_key(|server| open_calls(*server)).unwrap_or(candidates[0])
            }
            ServerChoice::TwoChoices => {
                let first = candidates[self.random.below(candidates.len())];
                let second = candidates[self.random.below(candidates.len())];
                if open_calls(first) <= open_calls(second) {
                    first
                } else {
                    second
                }
            }
            ServerChoice::Sticky => {
                let sticky = edge.sticky_server.filter(|server| candidates.contains(server));
                sticky.unwrap_or_else(|| candidates[self.random.below(candidates.len())])
            }
        }
    }

    /// Moves to a random candidate with the probability that the chosen server's load hint asks for.
    fn follow_load_hint(&mut self, edge_no: EdgeNo, chosen: ServerNo, candidates: &[ServerNo]) -> ServerNo {
        let known = self.edges[edge_no.0 as usize].known.get(&chosen);
        let hint = known.and_then(|known| known.stay_probability);
        match hint.filter(|_| self.policy.follows_advice) {
            Some(stay) if self.random.unit() >= stay => candidates[self.random.below(candidates.len())],
            _ => chosen,
        }
    }

    /// A connection to a server with capacity for one more call. Unless one is idle, a new connection is made if the
    /// policy allows it. `None` if all connections are full and no other can be made.
    pub(super) fn connection_with_capacity(
        &mut self,
        now: Duration,
        edge_no: EdgeNo,
        server: ServerNo,
        host: &mut impl EdgeHost,
    ) -> Option<ConnNo> {
        let (connections, usage) = (&self.connections, self.policy.connection_usage);
        let known = self.edges[edge_no.0 as usize].known.entry(server).or_default();
        let has_capacity = |conn: &&ConnNo| {
            connections.get(conn).is_some_and(|connection| {
                connection.open_calls.len() < MAX_OPEN_CALLS && connection.takes_calls(now, usage)
            })
        };
        let open_calls = |conn: &ConnNo| connections[conn].open_calls.len();
        let usable =
            known.connections.iter().filter(has_capacity).min_by_key(|conn| open_calls(conn)).copied();
        let is_idle = usable.is_some_and(|conn| open_calls(&conn) == 0);
        if is_idle || (usable.is_some() && known.connections.len() >= self.policy.max_connections) {
            return usable;
        }
        if known.connections.len() >= self.policy.max_connections.max(1) {
            return None;
        }
        let Some(conn) = host.connect(edge_no, server) else {
            (known.avoided_until, known.failed_at) = (now + AVOID_AFTER_FAILURE, Some(now));
            return usable;
        };
        known.connections.push(conn);
        self.connections.insert(conn, Connection::new(edge_no, server, ConnectionUse::Requests, now));
        Some(conn)
    }
}
