//! Calls to the index, each on a connection of its own. On one used before, a reset could mean that the index
//! had forgotten it, so that the call never ran, or that it ran; on a fresh one there is no such doubt, and no
//! noise behind an earlier reply.

use super::link::{Fill, Link};
use super::{Due, Net, Server};
use crate::pool::Rid;
use crate::slots::{Slot, Slots};
use crate::{http, index};
use aldercrank::{Outcome, TxnId};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallConn(Slot);

struct Conn {
    link: Link,
    reader: http::Reader,
    txn: TxnId,
}

/// What a read on a connection to the index has brought.
enum Heard {
    More,
    Dry,
    Ended(Outcome, Vec<u8>),
}

#[derive(Default)]
pub struct Calls {
    conns: Slots<Conn>,
    /// The connection of each call; none where it could not be made.
    open: BTreeMap<TxnId, Option<CallConn>>,
    most: usize,
}

impl Calls {
    pub fn at_most(most: usize) -> Calls {
        Calls { most, ..Calls::default() }
    }
}

impl Net {
    pub fn call(&mut self, txn: TxnId, rid: Rid, body: &[u8], give_up: Duration) {
        let now = self.clock.now();
        let host = self.index_addr.map(|addr| addr.to_string()).unwrap_or_default();
        let conn = self.new_call(txn, &index::request(&host, rid, give_up, body));
        self.calls.open.insert(txn, conn);
        // Without a connection it never ran; that is said at once, but not before the module has returned.
        let at = if conn.is_some() { now + give_up } else { now };
        self.deadlines.set(Due::Call(txn), at);
    }

    fn new_call(&mut self, txn: TxnId, request: &[u8]) -> Option<CallConn> {
        if self.calls.conns.len() >= self.calls.most {
            log::warn!("no room for another call");
            return None;
        }
        let to = self.index_addr?;
        let cell = Rc::new(Cell::new(None));
        let number = cell.clone();
        let link = Link::dial(&self.on_loop, to, move |_, server: &mut Server| {
            if let Some(conn) = number.get() {
                server.call_ready(conn);
            }
        });
        let mut link = link.inspect_err(|e| log::warn!("the index can't be reached: {e}")).ok()?;
        link.say(|out| out.extend(request));
        let conn = CallConn(self.calls.conns.insert(Conn { link, reader: http::Reader::default(), txn })?);
        cell.set(Some(conn));
        Some(conn)
    }

    /// Ends a call by closing its connection, whether it is over or given up.
    pub fn hang_up(&mut self, txn: TxnId) {
        self.deadlines.clear(Due::Call(txn));
        let conn = self.calls.open.remove(&txn).flatten();
        if let Some(c) = conn.and_then(|conn| self.calls.conns.remove(conn.0)) {
            c.link.close(&self.on_loop);
        }
    }

    /// Reads once on a connection to the index.
    fn call_heard(&mut self, conn: CallConn) -> Heard {
        let Some(c) = self.calls.conns.get_mut(conn.0) else { return Heard::Dry };
        if c.link.connected().is_err() {
            // It never stood, so nothing was asked on it.
            return Heard::Ended(Outcome::Unreachable, Vec::new());
        }
        c.link.flush();
        match c.link.fill() {
            Fill::Dry => return Heard::Dry,
            // Nor was anything where it ended before the first byte could be written.
            Fill::End if !c.link.began() => return Heard::Ended(Outcome::Unreachable, Vec::new()),
            Fill::End => {
                log::info!("the index broke a call off");
                return Heard::Ended(Outcome::Severed, Vec::new());
            }
            Fill::More => {}
        }
        match c.reader.read(&c.link.input) {
            Ok(None) => Heard::More,
            Ok(Some(reply)) => {
                let how = index::outcome(&reply);
                if how == Outcome::Errored {
                    log::info!("the index answered {}", reply.status);
                }
                Heard::Ended(how, c.link.input[reply.body].to_vec())
            }
            // It came from where the call ran: nothing is proved.
            Err(why) => {
                log::warn!("the index answered with {why}");
                Heard::Ended(Outcome::Severed, Vec::new())
            }
        }
    }
}

impl Server {
    fn call_ready(&mut self, conn: CallConn) {
        loop {
            let heard = self.net().call_heard(conn);
            let (how, reply) = match heard {
                Heard::More => continue,
                Heard::Dry => return,
                Heard::Ended(how, reply) => (how, reply),
            };
            let (now, txn) = {
                let mut net = self.net();
                let Some(txn) = net.calls.conns.get_mut(conn.0).map(|c| c.txn) else { return };
                net.hang_up(txn);
                (net.clock.now(), txn)
            };
            if let Some(core) = &mut self.core {
                core.call_ended(now, txn, how, &reply);
            }
            return;
        }
    }

    /// The call's time is over, or it could not be made at all.
    pub fn call_due(&mut self, txn: TxnId) {
        let (now, made) = {
            let mut net = self.net();
            let made = net.calls.open.get(&txn).copied().flatten().is_some();
            net.hang_up(txn);
            (net.clock.now(), made)
        };
        if made {
            log::info!("the index did not answer a call in its time");
        }
        let how = if made { Outcome::Overdue } else { Outcome::Unreachable };
        if let Some(core) = &mut self.core {
            core.call_ended(now, txn, how, &[]);
        }
    }
}
