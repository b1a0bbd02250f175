//! What edge nodes say: calls in, each read and handed to the core.

use super::conns::{Conn, State};
use super::link::{keep_rest, Fill, Link};
use super::{Due, Server};
use crate::clock::Clock;
use crate::core::{Ask, CallNo, ConnId, Seat};
use crate::keys::Mark;
use crate::msgpack::{self, Edge, Fields};
use crate::pool::Rid;
use aldercrank::{Arrival, CallerId};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Calls that may be open on a connection.
const OPEN: usize = 32;
/// Less than this is booked for a txn, in KB.
const MEM: f64 = 2000.0;
/// A connection with more than this unsent is not read until its reader has caught up; with the answers to
/// what is open by then it still stays small beside the memory.
const UNSENT: usize = 16 * 1024;
/// How often a connection that is not read is looked at.
const STUCK: Duration = Duration::from_secs(1);
/// Connections that are looked at to make room for another.
const LOOKS: usize = 8;
/// What the system may hold for it besides.
const SENDING: usize = 32 * 1024;

/// What an edge node says, on one connection, at one moment.
struct Hear<'a> {
    server: &'a mut Server,
    conn: ConnId,
    /// It has said what no edge node says.
    misused: Option<&'static str>,
}

impl Edge for Hear<'_> {
    fn asked(&mut self, call: CallNo, method: &str, fields: &Fields, body: &[u8]) {
        if let Err(why) = self.server.open_call(self.conn, call) {
            self.misused = Some(why);
            return;
        }
        let seat = Seat { conn: self.conn, call };
        let unix = Clock::unix();
        let ask = (|| {
            let (t0, budget) = (Duration::from_millis(fields.t0?), Duration::from_millis(fields.budget?));
            let now = self.server.now();
            // Nothing below zero, should our clock have been set back.
            let lay = unix.saturating_sub(t0);
            // And not longer than told.
            let left = t0.checked_add(budget)?.saturating_sub(unix).min(budget);
            // Its word on that is believed as far as our own reading allows: what came before the connection
            // was last found dry has been read then.
            let unread = now.saturating_sub(self.server.net().edge.get(self.conn)?.dry);
            let mark = match (fields.token, fields.obj) {
                (Some(token), _) => Some(Mark::token(method, token, body)),
                (None, Some(obj)) => Some(Mark::subject(method, obj)),
                (None, None) => None,
            };
            let arrival = Arrival {
                product: method,
                subject: fields.obj,
                expiry: Some(now.checked_add(left)?),
                memory_kb: fields.mem.filter(|kb| *kb > 0.0 && *kb < MEM)?,
                rank: fields.prio.filter(|rank| *rank < 1.0)?,
                caller: CallerId(fields.peer?),
                lay,
                ..Arrival::default()
            };
            Some((now, Ask { rid: Rid::new(fields.rid?)?, mark, arrival, unread, body }))
        })();
        match ask {
            Some((now, ask)) => self.server.asked(now, seat, ask),
            None => self.misused = Some("a call with fields that are missing or make no sense"),
        }
    }

    fn checked(&mut self, call: CallNo) {
        let (good, mut net) = (self.server.fit(), self.server.net());
        let hint = net.edge.hint;
        if let Some(conn) = net.edge.get(self.conn) {
            conn.link.say(|out| msgpack::check(out, call, good, hint));
            net.rest(self.conn);
        }
    }

    fn interrupted(&mut self, call: CallNo) {
        // Nothing is owed, but one answer does no harm, and nobody is left without a word.
        let seat = Seat { conn: self.conn, call };
        if self.server.net().edge.get(self.conn).is_some_and(|c| c.calls.contains(&call)) {
            self.server.refuse(seat, false);
            self.server.caller_gone(seat);
        }
    }

    fn senseless(&mut self, call: CallNo, why: &'static str) {
        // Open, so that it gets its error with all the others.
        let _ = self.server.open_call(self.conn, call);
        self.misused = Some(why);
    }

    fn ignored(&mut self, why: &'static str) {
        self.misused = Some(why);
    }
}

impl Server {
    /// Takes the connections that wait. False when there is no room for more: the rest stays where it is.
    pub fn accept(&mut self, listener: &TcpListener) -> bool {
        let (began, dry) = (self.now(), self.none_waited);
        loop {
            if self.net().edge.full() && !self.make_room() {
                log::warn!("no room for another connection");
                return false;
            }
            match listener.accept() {
                Ok((stream, _)) => self.take(stream, dry),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    self.none_waited = began;
                    return true;
                }
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log::error!("cannot accept: {e}");
                    return false;
                }
            }
        }
    }

    /// Hundreds that say nothing, or have said all, must not keep the others out: the idlest one makes room,
    /// after a last look at what may have come. A call that crosses the close is sent once more.
    fn make_room(&mut self) -> bool {
        for _ in 0..LOOKS {
            let Some(conn) = self.net().edge.idlest() else { return false };
            self.edge_readable(conn);
            let idle = self.net().edge.get(conn).is_none_or(|c| c.calls.is_empty());
            if idle {
                self.edge_lost(conn);
                return true;
            }
        }
        false
    }

    fn take(&mut self, stream: TcpStream, dry: Duration) {
        let now = self.now();
        let mut net = self.net();
        // The number comes first, since the loop must know whom to call.
        let on_loop = net.on_loop.clone();
        let cell = std::rc::Rc::new(std::cell::Cell::new(ConnId(0)));
        let number = cell.clone();
        if let Err(e) = socket2::SockRef::from(&stream).set_send_buffer_size(SENDING) {
            log::debug!("a connection keeps its buffer: {e}");
        }
        let link = Link::new(&on_loop, stream, move |ready, server: &mut Server| {
            if ready.writable {
                server.edge_writable(number.get());
            }
            server.edge_ready(number.get());
        });
        let conn = match link {
            Ok(link) => Conn::new(link, now, dry),
            Err(e) => return log::error!("cannot take a connection: {e}"),
        };
        if let Some(conn) = net.edge.insert(conn) {
            cell.set(conn);
            net.rest(conn);
            let net = &mut *net;
            net.edge.heard(conn, now, false, &mut net.deadlines);
        }
    }

    fn edge_writable(&mut self, conn: ConnId) {
        let mut net = self.net();
        if let Some(c) = net.edge.get(conn) {
            c.link.flush();
        }
    }

    /// Something has come: it is read at once, but after a long round of reading waits for its turn.
    fn edge_ready(&mut self, conn: ConnId) {
        let now = self.now();
        let began = *self.round.get_or_insert(now);
        if now < began + self.slice {
            self.edge_readable(conn);
        } else {
            self.edge_turn(conn);
        }
    }

    /// Reads a connection once; one that may have more waits for its next turn.
    pub fn edge_readable(&mut self, conn: ConnId) {
        let fill = match self.net().edge.get(conn) {
            Some(c) if c.link.waiting() > UNSENT => return,
            Some(c) => c.link.fill(),
            None => return,
        };
        match fill {
            Fill::More => {
                self.edge_heard(conn);
                self.edge_turn(conn);
            }
            Fill::Dry => {
                let now = self.now();
                if let Some(c) = self.net().edge.get(conn) {
                    c.dry = now;
                }
            }
            Fill::End => self.edge_lost(conn),
        }
    }

    /// Puts a connection last in the row of those to be read.
    fn edge_turn(&mut self, conn: ConnId) {
        let mut net = self.net();
        let Some(c) = net.edge.get(conn) else { return };
        if !std::mem::replace(&mut c.queued, true) {
            net.again.push_back(conn);
        }
    }

    /// Reads connections by turns, for a slice at most.
    pub fn edge_turns(&mut self) {
        let until = self.now() + self.slice;
        while self.now() < until {
            let mut net = self.net();
            let Some(conn) = net.again.pop_front() else { return };
            if let Some(c) = net.edge.get(conn) {
                c.queued = false;
            }
            drop(net);
            self.edge_readable(conn);
        }
    }

    fn edge_heard(&mut self, conn: ConnId) {
        let input = match self.net().edge.get(conn) {
            Some(c) => std::mem::take(&mut c.link.input),
            None => return,
        };
        let mut taken = 0;
        loop {
            let mut hear = Hear { server: self, conn, misused: None };
            match msgpack::read(&input[taken..], &mut hear) {
                Ok(Some(n)) => taken += n,
                Ok(None) => break,
                Err(broken) => hear.misused = Some(broken.0),
            }
            if let Some(why) = hear.misused {
                return self.edge_misused(conn, why);
            }
        }
        let now = self.now();
        let mut net = self.net();
        let net = &mut *net;
        let Some(c) = net.edge.get(conn) else { return };
        c.link.input = keep_rest(input, taken);
        net.edge.heard(conn, now, taken > 0, &mut net.deadlines);
    }

    /// The one rule for what no edge node says, of whatever kind: nothing of it is run, what is open on the
    /// connection gets an error at once, and it closes. Nothing behind it is read.
    fn edge_misused(&mut self, conn: ConnId, why: &str) {
        log::warn!("a connection closes: {why}");
        let open = self.net().edge.get(conn).map(|c| c.calls.clone()).unwrap_or_default();
        open.into_iter().for_each(|call| self.refuse(Seat { conn, call }, false));
        self.edge_lost(conn);
    }

    /// A connection has owed a whole message for too long.
    pub fn edge_mute(&mut self, conn: ConnId) {
        // Not without a last look; and not while it is we who do not read.
        self.edge_readable(conn);
        let now = self.now();
        let (mute, stuck) = match self.net().edge.get(conn) {
            Some(c) => (c.owes.is_some_and(|until| until <= now), c.link.waiting() > UNSENT),
            None => return,
        };
        if stuck {
            let mut net = self.net();
            net.deadlines.set(Due::Whole(conn), now + STUCK);
        } else if mute {
            self.edge_misused(conn, "no whole message in its time");
        }
    }

    /// Notes a call as open.
    fn open_call(&mut self, conn: ConnId, call: CallNo) -> Result<(), &'static str> {
        let mut net = self.net();
        let c = net.edge.get(conn).ok_or("no connection")?;
        if c.calls.len() >= OPEN {
            return Err("too many calls open");
        }
        if !c.calls.insert(call) {
            return Err("a call's id is open already");
        }
        Ok(())
    }

    /// Answers without the module: for what makes no sense, or came when nothing can run.
    fn refuse(&mut self, seat: Seat, never_ran: bool) {
        self.net().answer(seat, |out, hint| match never_ran {
            true => msgpack::declined(out, seat.call, hint, None, false),
            false => msgpack::voided(out, seat.call, hint),
        });
    }

    fn asked(&mut self, now: Duration, seat: Seat, ask: Ask) {
        match &mut self.core {
            Some(core) => core.txn_read(now, seat, ask),
            None => self.refuse(seat, true),
        }
    }

    fn caller_gone(&mut self, seat: Seat) {
        let now = self.now();
        if let Some(core) = &mut self.core {
            core.caller_gone(now, seat);
        }
        self.net().rest(seat.conn);
    }

    fn edge_lost(&mut self, conn: ConnId) {
        let now = self.now();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.edge.drop(conn, &net.on_loop, &mut net.deadlines);
        }
        if let Some(core) = &mut self.core {
            core.conn_lost(now, conn);
        }
    }

    /// A connection has been idle for its time, or was told to close and has not been closed.
    pub fn edge_idle(&mut self, conn: ConnId) {
        let now = self.now();
        let gone = {
            let mut net = self.net();
            let net = &mut *net;
            match net.edge.get(conn).map(|c| (c.state, c.calls.is_empty())) {
                Some((State::Open, true)) => {
                    net.edge.part(conn, now, &mut net.deadlines);
                    false
                }
                Some((State::Closing, true)) => true,
                _ => false,
            }
        };
        if gone {
            // Not without a last look at what may have come.
            self.edge_readable(conn);
            let idle = self.net().edge.get(conn).is_some_and(|c| c.calls.is_empty());
            if idle {
                self.edge_lost(conn);
            }
        }
    }
}
