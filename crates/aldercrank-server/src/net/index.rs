//! Calls to the index, each on a connection of its own. On one used before, a reset could mean that the index
//! had forgotten it, so that the call never ran, or that it ran; on a fresh one there is no such doubt, and no
//! noise behind an earlier reply.

use super::exchange::{Exchange, Failure};
use super::{Due, Net, Server};
use crate::index;
use crate::slots::{Slot, Slots};
use crate::worker_pool::AttemptId;
use aldercrank::{Outcome, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallConn(Slot);

struct Conn {
    exchange: Exchange,
    request: RequestId,
}

#[derive(Default)]
pub struct Calls {
    conns: Slots<Conn>,
    /// The connection of each call; none where it could not be made.
    open: BTreeMap<RequestId, Option<CallConn>>,
    most: usize,
}

impl Calls {
    pub fn at_most(most: usize) -> Calls {
        Calls { most, ..Calls::default() }
    }
}

impl Net {
    pub fn call(&mut self, request: RequestId, attempt: AttemptId, body: &[u8], timeout: Duration) {
        let now = self.clock.now();
        let host = self.index_addr.map(|addr| addr.to_string()).unwrap_or_default();
        let conn = self.new_call(request, index::write_call(&host, attempt, timeout, body));
        self.calls.open.insert(request, conn);
        // Without a connection it never ran; that is said at once, but not before the module has returned.
        let at = if conn.is_some() { now + timeout } else { now };
        self.deadlines.set(Due::Call(request), at);
    }

    fn new_call(&mut self, request: RequestId, bytes: Vec<u8>) -> Option<CallConn> {
        if self.calls.conns.len() >= self.calls.most {
            tracing::warn!("no room for another call");
            return None;
        }
        let to = self.index_addr?;
        let conns = &mut self.calls.conns;
        let keep = |exchange| conns.insert(Conn { exchange, request }).map(CallConn);
        let begun = Exchange::begin(&self.on_loop, to, bytes, Server::call_ready, keep);
        begun.inspect_err(|e| tracing::warn!(why = %e, "the index can't be reached")).ok()?
    }

    /// Ends a call by closing its connection, whether it is over or given up.
    pub fn hang_up(&mut self, request: RequestId) {
        self.deadlines.clear(Due::Call(request));
        let conn = self.calls.open.remove(&request).flatten();
        if let Some(c) = conn.and_then(|conn| self.calls.conns.remove(conn.0)) {
            c.exchange.close(&self.on_loop);
        }
    }

    /// Hears on a connection to the index: once the call is over, whose it was, how it went, and the body.
    fn call_heard(&mut self, conn: CallConn, chunk: &mut [u8]) -> Option<(RequestId, Outcome, Vec<u8>)> {
        let c = self.calls.conns.get_mut(conn.0)?;
        let (how, body) = match c.exchange.hear(chunk)? {
            Ok(reply) => {
                let how = index::call_outcome(&reply);
                if how == Outcome::Failed {
                    tracing::info!(status = reply.status, "the index answered");
                }
                (how, c.exchange.body(&reply).to_vec())
            }
            Err(Failure::NeverAsked) => (Outcome::Unreachable, Vec::new()),
            Err(Failure::Closed) => {
                tracing::info!("the index broke a call off");
                (Outcome::ConnectionLost, Vec::new())
            }
            // It came from where the call ran: nothing is proved.
            Err(Failure::Unreadable(why)) => {
                tracing::warn!(why, "the index answered what can't be read");
                (Outcome::ConnectionLost, Vec::new())
            }
        };
        let request = c.request;
        self.hang_up(request);
        Some((request, how, body))
    }
}

impl Server {
    fn call_ready(&mut self, conn: CallConn) {
        let mut chunk = self.chunk();
        let heard = self.net().call_heard(conn, &mut chunk);
        self.chunk = chunk;
        let now = self.now();
        if let (Some(core), Some((request, how, reply))) = (&mut self.core, heard) {
            core.call_ended(now, request, how, &reply);
        }
    }

    /// The call's time is over, or it could not be made at all.
    pub fn call_due(&mut self, request: RequestId) {
        let (now, made) = {
            let mut net = self.net();
            let made = net.calls.open.get(&request).copied().flatten().is_some();
            net.hang_up(request);
            (net.clock.now(), made)
        };
        if made {
            tracing::info!("the index did not answer a call in its time");
        }
        let how = if made { Outcome::TimedOut } else { Outcome::Unreachable };
        if let Some(core) = &mut self.core {
            core.call_ended(now, request, how, &[]);
        }
    }
}
