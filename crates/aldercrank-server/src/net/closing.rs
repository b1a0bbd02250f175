//! How connections from edge nodes end by this server's doing: for misuse, for want of room, and after they were
//! told to close. Each ends in the same order: what is owed is answered and written, the write side is shut, and
//! what still comes is read and dropped until the other side has closed or its time is over. A request that is read
//! once the write side is shut could not be answered, so it is never passed on.

use super::edge::Misuse;
use super::Server;
use crate::core::{ConnId, ReplyTo};
use std::time::Duration;

/// Connections that are looked at to make room for another.
const LOOKS: usize = 8;

/// What a last look at a connection with nothing open has found.
enum LastLook {
    /// It has gone, or ends already.
    Gone,
    /// A request has come.
    Busy,
    /// A part of a message has come, or more than was read at once.
    Speaking,
    /// Nothing has come.
    Silent,
}

impl Server {
    /// Reads what has come on a connection before it is decided whether it ends.
    fn last_look(&mut self, conn: ConnId) -> LastLook {
        self.edge_readable(conn);
        match self.net().edge.get(conn) {
            Some(c) if c.lingering() => LastLook::Gone,
            Some(c) if !c.calls.is_empty() => LastLook::Busy,
            Some(c) if c.queued || !c.link.input.is_empty() => LastLook::Speaking,
            Some(_) => LastLook::Silent,
            None => LastLook::Gone,
        }
    }

    /// Makes room for a connection that waits: hundreds that say nothing, or have said all, must not keep the
    /// others out. False where nothing can go.
    pub(super) fn make_room(&mut self) -> bool {
        if self.net().edge.crowded() {
            self.end_idlest();
        }
        while self.net().edge.full() {
            let Some(conn) = self.net().edge.lingering_longest() else { return false };
            self.edge_lost(conn);
        }
        true
    }

    /// Ends the connection that has been idle for longest. One that has begun a message goes only where no other
    /// of those looked at can.
    fn end_idlest(&mut self) {
        let mut speaking = None;
        for _ in 0..LOOKS {
            let now = self.now();
            let Some(conn) = self.net().edge.idlest(now) else { break };
            match self.last_look(conn) {
                LastLook::Gone => return,
                LastLook::Busy => {}
                LastLook::Speaking => {
                    speaking.get_or_insert(conn);
                    // It is not idle: it goes to the end of its row.
                    self.net().rest(conn);
                }
                LastLook::Silent => return self.edge_end(conn),
            }
        }
        if let Some(conn) = speaking {
            self.edge_end(conn);
        }
    }

    /// The one rule for what no edge node says, of whatever kind: nothing of it is run, what is open on the
    /// connection gets an error at once, and it ends. Nothing behind it is taken.
    pub(super) fn edge_misused(&mut self, conn: ConnId, why: Misuse) {
        tracing::warn!(conn = conn.0, %why, "a connection closes");
        let open = self.net().edge.get(conn).map(|c| c.calls.clone()).unwrap_or_default();
        open.into_iter().for_each(|call| self.refuse(ReplyTo { conn, call }, false));
        self.edge_end(conn);
    }

    /// A wait for the other side is over: it was told to close, or its connection lingers, and it has not closed.
    pub(super) fn edge_parted(&mut self, conn: ConnId) {
        let (lingering, idle) = match self.net().edge.get(conn) {
            Some(c) => (c.lingering(), c.calls.is_empty()),
            None => return,
        };
        if lingering {
            return self.edge_lingered(conn);
        }
        if !idle {
            return;
        }
        match self.last_look(conn) {
            LastLook::Gone | LastLook::Busy => {}
            // Its message comes whole, or its time for that is over: either sees to it.
            LastLook::Speaking => self.net().rest(conn),
            LastLook::Silent => self.edge_end(conn),
        }
    }

    fn edge_lingered(&mut self, conn: ConnId) {
        let (now, patience) = (self.now(), self.terms.patience);
        let over = {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.lingered(conn, now, patience, &mut net.deadlines)
        };
        if over {
            self.edge_lost(conn);
        }
    }

    /// Ends a connection on which nothing is owed any more but what is still to be written.
    fn edge_end(&mut self, conn: ConnId) {
        let now = self.now();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.linger(conn, now, &mut net.deadlines);
        }
        self.callers_gone(now, conn);
    }

    /// The other side says no more: whoever waited on it has gone. What has been answered is written all the same, to
    /// a slow reader, unless the connection turns out to be reset.
    pub(super) fn edge_ended(&mut self, conn: ConnId) {
        let answered = match self.net().edge.get(conn) {
            Some(c) => {
                c.flush();
                c.calls.is_empty() && c.link.waiting() > 0
            }
            None => return,
        };
        match answered {
            true => self.edge_end(conn),
            false => self.edge_lost(conn),
        }
    }

    /// A connection has gone, or has to go at once.
    pub(super) fn edge_lost(&mut self, conn: ConnId) {
        let now = self.now();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.drop(conn, &net.on_loop, &mut net.deadlines);
        }
        self.callers_gone(now, conn);
    }

    /// Nobody waits on a connection any more.
    fn callers_gone(&mut self, now: Duration, conn: ConnId) {
        if let Some(core) = &mut self.core {
            core.conn_lost(now, conn);
        }
    }
}
