//! Socket events of the test cluster: accepting, delivering bytes, and the ends of connections.

use super::state::TestCluster;
use crate::ids::{ConnNo, RemoteEndpoint};
use crate::invariant_checker::{attempt_id_range, ConnectionEnd, Rule};
use crate::membership_stub::MembershipState;
use crate::scenario::InjectedViolation;
use crate::sockets::{ReadOutcome, SocketEvent};
use crate::testbed::{ConnectionOwner, LinkId, ReleaseAction};
use std::time::Duration;

/// A violation is injected no sooner than this after the callers began.
const INJECTION_DELAY: Duration = Duration::from_millis(1500);

impl TestCluster<'_> {
    pub(super) fn socket_event(&mut self, now: Duration, event: SocketEvent) {
        match event {
            SocketEvent::Accepted(listener, conn) => {
                if let Some(&relay) = self.testbed.relays.get(&listener) {
                    return self.connect_relay(conn, relay);
                }
                let Some(&link) = self.testbed.listener_links.get(&listener) else { return };
                self.accepted(now, link, conn);
            }
            SocketEvent::Connected(conn) => {
                if let Some(ConnectionOwner::Edge(_, _)) = self.testbed.owner(conn) {
                    self.edges.connection_established(conn);
                }
            }
            SocketEvent::Readable(conn) => self.read_all(now, conn),
            SocketEvent::Failed(conn) => self.closed_by_process(now, conn),
        }
    }

    fn read_all(&mut self, now: Duration, conn: ConnNo) {
        loop {
            match self.testbed.sockets.read(conn) {
                ReadOutcome::Bytes(length) => {
                    let bytes = self.testbed.sockets.read_buffer[..length].to_vec();
                    if let Some(bytes) = self.testbed.receive_from_process(now, conn, bytes) {
                        self.deliver(now, conn, &bytes);
                    }
                    if length < self.testbed.sockets.read_buffer.len() {
                        return;
                    }
                }
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed => return self.closed_by_process(now, conn),
            }
        }
    }

    /// Handles a server's connection to one of its stub services.
    fn accepted(&mut self, now: Duration, link: LinkId, conn: ConnNo) {
        let server = link.server;
        if link.remote == RemoteEndpoint::MembershipService {
            self.testbed.membership.connections.push(now);
            if self.testbed.membership.state() == MembershipState::Closing {
                return self.testbed.sockets.close(conn);
            }
        }
        let owner = match link.remote {
            RemoteEndpoint::WorkerPool => ConnectionOwner::WorkerPool(server),
            RemoteEndpoint::Index => ConnectionOwner::Index(server),
            _ => ConnectionOwner::MembershipService(server),
        };
        self.testbed.register(conn, owner);
        self.inputs.insert(conn, Vec::new());
        if link.remote == RemoteEndpoint::WorkerPool {
            let state = &mut self.servers[server.0 as usize];
            if let Some(replaced) = state.link.replace(conn) {
                self.testbed.close_after_queued(replaced);
                self.inputs.remove(&replaced);
            }
            state.pool.unlink();
            self.testbed.record.note(now, None, Some(server), || "linked to its worker pool".to_string());
        }
    }

    /// Handles a connection that the process has closed or that has failed. Bytes that were sent before are delivered
    /// first.
    fn closed_by_process(&mut self, now: Duration, conn: ConnNo) {
        if !self.testbed.defer_close_by_process(conn) {
            self.connection_ended(now, conn, ConnectionEnd::ByServer);
        }
    }

    pub(super) fn connection_ended(&mut self, now: Duration, conn: ConnNo, end: ConnectionEnd) {
        let owner = self.testbed.unregister(conn);
        self.inputs.remove(&conn);
        match owner {
            Some(ConnectionOwner::WorkerPool(server)) => {
                let state = self.server(server);
                if state.link == Some(conn) {
                    state.link = None;
                    state.pool.unlink();
                }
            }
            Some(ConnectionOwner::Index(_)) => self.index.connection_ended(now, conn),
            Some(ConnectionOwner::MembershipService(_)) => {
                if let Some(versions) = &mut self.versions {
                    versions.store.connection_ended(conn);
                }
            }
            Some(ConnectionOwner::Peer(_)) => self.close_relay_partner(conn),
            Some(ConnectionOwner::Edge(_, _)) => {
                self.edges.connection_ended(now, conn, end, &mut self.testbed);
            }
            None => {}
        }
    }

    /// Resets a connection, as an injected fault.
    pub(super) fn reset_connection(&mut self, now: Duration, conn: ConnNo) {
        self.testbed.sockets.reset(conn);
        self.connection_ended(now, conn, ConnectionEnd::Injected);
    }

    /// Whether the scenario injects this violation and has not done so yet.
    pub(super) fn violation_is_pending(&self, kind: InjectedViolation) -> bool {
        self.scenario.injected_violation == Some(kind) && !self.violation_injected
    }

    /// Whether the violation is pending and the callers began at least `INJECTION_DELAY` ago.
    pub(super) fn may_inject(&self, kind: InjectedViolation, now: Duration) -> bool {
        let begun = self.testbed.record.begun;
        self.violation_is_pending(kind) && begun.is_some_and(|begun| now >= begun + INJECTION_DELAY)
    }

    /// Applies the scenario's injected violation, once, to bytes for an edge node. Returns the changed bytes, or `None`
    /// if they stay unchanged.
    fn inject_into_response(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) -> Option<Vec<u8>> {
        let kind = self.scenario.injected_violation.filter(|kind| self.may_inject(*kind, now))?;
        let attempt_id = attempt_id_range(bytes)?;
        let mut changed = bytes.to_vec();
        match kind {
            InjectedViolation::LoseLastAnswer if self.edges.is_closing(conn) => changed.clear(),
            InjectedViolation::LoseAnswer => changed.clear(),
            InjectedViolation::DoubleAnswer => changed.extend_from_slice(bytes),
            InjectedViolation::SwapResult => changed.get_mut(attempt_id)?.fill(b'f'),
            _ => return None,
        }
        self.violation_injected = true;
        Some(changed)
    }

    /// Delivers bytes that have passed their link to the edge node, stub service or other server.
    pub(super) fn deliver(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) {
        let Some(owner) = self.testbed.owner(conn) else { return };
        match owner {
            ConnectionOwner::Edge(_, _) => self.deliver_to_edge(now, conn, bytes),
            ConnectionOwner::Peer(_) => self.relay_bytes(now, conn, bytes),
            _ => self.deliver_to_stub(now, conn, owner, bytes),
        }
    }

    fn deliver_to_edge(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) {
        let changed = self.inject_into_response(now, conn, bytes);
        let bytes = changed.as_deref().unwrap_or(bytes);
        if let Err(invalid) = self.edges.bytes_received(now, conn, bytes, &mut self.testbed) {
            if !self.testbed.is_connection_impaired(conn) {
                let what = invalid.to_string();
                self.testbed.checker.record_violation(now, Rule::Mixed, None, None, what);
            }
            self.reset_connection(now, conn);
        }
    }

    fn deliver_to_stub(&mut self, now: Duration, conn: ConnNo, owner: ConnectionOwner, bytes: &[u8]) {
        let Some(mut input) = self.inputs.remove(&conn) else { return };
        input.extend_from_slice(bytes);
        let handled = match owner {
            ConnectionOwner::WorkerPool(server) => self.pool_bytes_received(now, server, conn, &mut input),
            ConnectionOwner::Index(server) => self.index_bytes_received(now, server, conn, &mut input),
            ConnectionOwner::MembershipService(server) => {
                self.membership_bytes_received(now, server, conn, &mut input)
            }
            ConnectionOwner::Edge(_, _) | ConnectionOwner::Peer(_) => Ok(()),
        };
        if handled.is_ok() {
            self.inputs.insert(conn, input);
        } else {
            self.testbed.sockets.close(conn);
            self.connection_ended(now, conn, ConnectionEnd::Injected);
        }
    }

    /// Releases the queued bytes of a connection that are due.
    pub(super) fn release_queued(&mut self, now: Duration, conn: ConnNo) {
        let mut from_process = Vec::new();
        let action = self.testbed.release_queued(now, conn, &mut from_process);
        if !from_process.is_empty() {
            self.deliver(now, conn, &from_process);
        }
        match action {
            ReleaseAction::Reset => self.reset_connection(now, conn),
            ReleaseAction::HandleClose => self.connection_ended(now, conn, ConnectionEnd::ByServer),
            ReleaseAction::KeepOpen => {}
        }
    }
}
