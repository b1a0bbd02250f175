//! Calls to the index: one on a connection at a time, idle connections used again before they lapse.

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

/// The index closes what is idle for 10 s; what is idle for half of that is not used again.
const IDLE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallConn(Slot);

struct Conn {
    link: Link,
    busy: Option<TxnId>,
}

/// What a read on a connection to the index has brought.
enum Heard {
    More,
    Dry,
    Ended(Outcome),
    /// How the call went, the body, and whether the connection may be used again.
    Reply(Outcome, Vec<u8>, bool),
}

#[derive(Default)]
pub struct Calls {
    conns: Slots<Conn>,
    idle: Vec<CallConn>,
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
        let conn = self.idle_conn().or_else(|| self.new_conn());
        let host = self.index_addr.map(|addr| addr.to_string()).unwrap_or_default();
        let request = index::request(&host, rid, give_up, body);
        if let Some(c) = conn.and_then(|conn| self.calls.conns.get_mut(conn.0)) {
            c.busy = Some(txn);
            c.link.input.clear();
            c.link.say(|out| out.extend(request));
        }
        self.calls.open.insert(txn, conn);
        // Without a connection it never ran; that is said at once, but not before the module has returned.
        let at = if conn.is_some() { now + give_up } else { now };
        self.deadlines.set(Due::Call(txn), at);
    }

    /// One that lives: nothing has come on it, not even its end.
    fn idle_conn(&mut self) -> Option<CallConn> {
        while let Some(conn) = self.calls.idle.pop() {
            self.deadlines.clear(Due::CallIdle(conn));
            match self.calls.conns.get_mut(conn.0).map(|c| c.link.fill()) {
                Some(Fill::Dry) => return Some(conn),
                Some(_) => self.drop_conn(conn),
                None => {}
            }
        }
        None
    }

    fn new_conn(&mut self) -> Option<CallConn> {
        if self.calls.conns.len() >= self.calls.most {
            log::warn!("no room for another call");
            return None;
        }
        let to = self.index_addr?;
        let cell = Rc::new(Cell::new(None));
        let number: Rc<Cell<Option<CallConn>>> = cell.clone();
        let link = Link::dial(&self.on_loop, to, move |_, server: &mut Server| {
            if let Some(conn) = number.get() {
                server.call_ready(conn);
            }
        });
        let link = link.inspect_err(|e| log::warn!("the index can't be reached: {e}")).ok()?;
        let conn = CallConn(self.calls.conns.insert(Conn { link, busy: None })?);
        cell.set(Some(conn));
        Some(conn)
    }

    pub fn drop_conn(&mut self, conn: CallConn) {
        self.deadlines.clear(Due::CallIdle(conn));
        self.calls.idle.retain(|c| *c != conn);
        if let Some(c) = self.calls.conns.remove(conn.0) {
            c.link.close(&self.on_loop);
        }
    }

    /// Gives a call up by closing its connection.
    pub fn hang_up(&mut self, txn: TxnId) {
        self.deadlines.clear(Due::Call(txn));
        if let Some(Some(conn)) = self.calls.open.remove(&txn) {
            self.drop_conn(conn);
        }
    }

    /// Ends a call; its connection stays for the next one where it can.
    fn call_over(&mut self, conn: CallConn, keep: bool) -> Option<TxnId> {
        let txn = self.calls.conns.get_mut(conn.0).and_then(|c| c.busy.take());
        if let Some(txn) = txn {
            self.calls.open.remove(&txn);
            self.deadlines.clear(Due::Call(txn));
        }
        if keep {
            self.calls.idle.push(conn);
            let at = self.clock.now() + IDLE;
            self.deadlines.set(Due::CallIdle(conn), at);
        } else {
            self.drop_conn(conn);
        }
        txn
    }

    /// Reads once on a connection to the index.
    fn call_heard(&mut self, conn: CallConn) -> Heard {
        let Some(c) = self.calls.conns.get_mut(conn.0) else { return Heard::Dry };
        if c.link.connected().is_err() {
            // It never stood, so nothing was asked on it.
            return Heard::Ended(Outcome::Unreachable);
        }
        c.link.flush();
        match c.link.fill() {
            Fill::Dry => return Heard::Dry,
            Fill::End => return Heard::Ended(Outcome::Severed),
            // What comes unasked has no meaning; the connection can't be trusted.
            Fill::More if c.busy.is_none() => return Heard::Ended(Outcome::Severed),
            Fill::More => {}
        }
        match http::reply(&c.link.input) {
            Ok(None) => Heard::More,
            Ok(Some(reply)) => {
                let how = index::outcome(&reply);
                if how == Outcome::Errored {
                    log::info!("the index answered {}", reply.status);
                }
                let input = std::mem::take(&mut c.link.input);
                Heard::Reply(how, input[reply.body].to_vec(), reply.keep)
            }
            Err(why) => {
                log::warn!("the index answered with {why}");
                Heard::Ended(Outcome::Severed)
            }
        }
    }
}

impl Server {
    fn call_ready(&mut self, conn: CallConn) {
        loop {
            let heard = self.net().call_heard(conn);
            let (how, reply, keep) = match heard {
                Heard::More => continue,
                Heard::Dry => return,
                Heard::Ended(how) => (how, Vec::new(), false),
                Heard::Reply(how, body, keep) => (how, body, keep),
            };
            let (now, txn) = {
                let mut net = self.net();
                (net.clock.now(), net.call_over(conn, keep))
            };
            if let (Some(core), Some(txn)) = (&mut self.core, txn) {
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
        let how = if made { Outcome::Overdue } else { Outcome::Unreachable };
        if let Some(core) = &mut self.core {
            core.call_ended(now, txn, how, &[]);
        }
    }
}
