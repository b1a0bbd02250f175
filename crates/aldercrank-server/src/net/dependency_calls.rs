//! Calls to the upstream dependency (the index), each on a connection of its own.
//!
//! On a reused connection, a reset could mean either that the dependency had dropped the idle connection and the call
//! never ran, or that the call ran. On a new connection this is not in doubt, and nothing is left over from an earlier
//! response.

use super::http_exchange::{ExchangeError, HttpExchange};
use super::{Net, Server, TimerEvent};
use crate::index;
use crate::slots::{Slot, Slots};
use crate::worker_pool::AttemptId;
use aldercrank::{Outcome, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Id of a call's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallConnectionId(Slot);

struct CallConnection {
    exchange: HttpExchange,
    request_id: RequestId,
}

/// How a call ended.
struct CallResult {
    request_id: RequestId,
    outcome: Outcome,
    body: Vec<u8>,
}

/// Outstanding calls.
#[derive(Default)]
pub(super) struct DependencyCalls {
    connections: Slots<CallConnection>,
    /// The connection of each call; `None` if the call could not be made.
    outstanding: BTreeMap<RequestId, Option<CallConnectionId>>,
    max_connections: usize,
}

impl DependencyCalls {
    /// Allows this many connections, and so concurrent calls.
    pub(super) fn with_limit(max_connections: usize) -> DependencyCalls {
        DependencyCalls { max_connections, ..DependencyCalls::default() }
    }
}

impl Net {
    /// Starts a call for a request.
    pub(super) fn start_call(
        &mut self,
        request_id: RequestId,
        attempt: AttemptId,
        body: &[u8],
        timeout: Duration,
    ) {
        let now = self.clock.now();
        let host = self.dependency_address.map(|address| address.to_string()).unwrap_or_default();
        let connection = self.open_call(request_id, &index::write_call(&host, attempt, timeout, body));
        self.calls.outstanding.insert(request_id, connection);
        // Without a connection the call never ran. The core learns of that from a timer that is due at once, since it
        // is the core that is calling now.
        let due = if connection.is_some() { now + timeout } else { now };
        self.timers.set(TimerEvent::CallTimeout(request_id), due);
    }

    fn open_call(&mut self, request_id: RequestId, message: &[u8]) -> Option<CallConnectionId> {
        if self.calls.connections.len() >= self.calls.max_connections {
            tracing::warn!("limit of concurrent dependency calls reached; call not made");
            return None;
        }
        let address = self.dependency_address?;
        let connections = &mut self.calls.connections;
        let store =
            |exchange| connections.insert(CallConnection { exchange, request_id }).map(CallConnectionId);
        let started = HttpExchange::start(&self.event_loop, address, message, Server::call_event, store);
        started
            .inspect_err(
                |e| tracing::warn!(reason = %e, "could not connect to the dependency; call not made"),
            )
            .ok()?
    }

    /// Ends a call by closing its connection, whether the call is over or was cancelled.
    pub(super) fn close_call(&mut self, request_id: RequestId) {
        self.timers.remove(TimerEvent::CallTimeout(request_id));
        let id = self.calls.outstanding.remove(&request_id).flatten();
        if let Some(connection) = id.and_then(|id| self.calls.connections.remove(id.0)) {
            connection.exchange.close(&self.event_loop);
        }
    }

    /// Reads from a call's connection. Returns the result once the call is over.
    fn poll_call(&mut self, id: CallConnectionId, buffer: &mut [u8]) -> Option<CallResult> {
        let connection = self.calls.connections.get_mut(id.0)?;
        let (outcome, body) = match connection.exchange.poll_response(buffer)? {
            Ok(response) => {
                let outcome = index::call_outcome(&response);
                if outcome == Outcome::Failed {
                    tracing::info!(status = response.status, "dependency call failed with an HTTP status");
                }
                (outcome, connection.exchange.body(&response).to_vec())
            }
            Err(ExchangeError::NotSent) => (Outcome::Unreachable, Vec::new()),
            Err(ExchangeError::Closed) => {
                tracing::info!("dependency closed the connection during a call; the call may have run");
                (Outcome::ConnectionLost, Vec::new())
            }
            // An unreadable response doesn't tell whether the call ran.
            Err(ExchangeError::Unreadable(error)) => {
                tracing::warn!(reason = %error, "dependency sent an unreadable response; the call may have run");
                (Outcome::ConnectionLost, Vec::new())
            }
        };
        let request_id = connection.request_id;
        self.close_call(request_id);
        Some(CallResult { request_id, outcome, body })
    }
}

impl Server {
    fn call_event(&mut self, id: CallConnectionId) {
        let mut buffer = self.take_read_buffer();
        let result = self.net().poll_call(id, &mut buffer);
        self.read_buffer = buffer;
        let now = self.now();
        if let (Some(core), Some(result)) = (&mut self.core, result) {
            core.call_ended(now, result.request_id, result.outcome, &result.body);
        }
    }

    /// A call has timed out, or could not be made at all.
    pub(super) fn call_timed_out(&mut self, request_id: RequestId) {
        let (now, was_made) = {
            let mut net = self.net();
            let was_made = net.calls.outstanding.get(&request_id).copied().flatten().is_some();
            net.close_call(request_id);
            (net.clock.now(), was_made)
        };
        if was_made {
            tracing::info!("dependency call timed out; the call may have run");
        }
        let outcome = if was_made { Outcome::TimedOut } else { Outcome::Unreachable };
        if let Some(core) = &mut self.core {
            core.call_ended(now, request_id, outcome, &[]);
        }
    }
}
