//! What edge nodes say: calls in, each read and handed to the core.

use super::conns::{Conn, State};
use super::link::{keep_rest, Fill, Link};
use super::Server;
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
/// A connection with more than this unsent is not read until its reader has caught up; with the answers to
/// what is open by then it still stays small beside the memory.
const UNSENT: usize = 16 * 1024;
/// What the system may hold for it besides.
const SENDING: usize = 32 * 1024;

/// What an edge node says, on one connection, at one moment.
struct Hear<'a> {
    server: &'a mut Server,
    conn: ConnId,
}

impl Edge for Hear<'_> {
    fn asked(&mut self, call: CallNo, method: &str, fields: &Fields, body: &[u8]) {
        if !self.server.open_call(self.conn, call) {
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
            let mark = match (fields.token, fields.obj) {
                (Some(token), _) => Some(Mark::token(method, token, body)),
                (None, Some(obj)) => Some(Mark::subject(method, obj)),
                (None, None) => None,
            };
            let arrival = Arrival {
                product: method.to_string(),
                subject: fields.obj.map(str::to_string),
                expiry: Some(now.checked_add(left)?),
                memory_kb: fields.mem?,
                rank: fields.prio?,
                caller: CallerId(fields.peer?),
                lay,
                ..Arrival::default()
            };
            Some((now, Ask { rid: Rid::new(fields.rid?)?, mark, arrival, body }))
        })();
        match ask {
            Some((now, ask)) => self.server.asked(now, seat, ask),
            None => {
                log::warn!("a call of {method:?} with fields that are missing or make no sense");
                self.server.refuse(seat, false);
            }
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
        let seat = Seat { conn: self.conn, call };
        let open = self.server.net().edge.get(self.conn).is_some_and(|c| c.calls.remove(&call));
        if open {
            self.server.caller_gone(seat);
        }
    }

    fn senseless(&mut self, call: CallNo, why: &'static str) {
        log::warn!("{why}");
        if self.server.open_call(self.conn, call) {
            self.server.refuse(Seat { conn: self.conn, call }, false);
        }
    }

    fn ignored(&mut self, why: &'static str) {
        log::warn!("{why}");
    }
}

impl Server {
    /// Takes the connections that wait. False when there is no room for more: the rest stays where it is.
    pub fn accept(&mut self, listener: &TcpListener) -> bool {
        loop {
            if self.net().edge.full() {
                log::warn!("no room for another connection");
                return false;
            }
            match listener.accept() {
                Ok((stream, _)) => self.take(stream),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log::error!("cannot accept: {e}");
                    return false;
                }
            }
        }
    }

    fn take(&mut self, stream: TcpStream) {
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
            Ok(link) => Conn::new(link, now),
            Err(e) => return log::error!("cannot take a connection: {e}"),
        };
        if let Some(conn) = net.edge.insert(conn) {
            cell.set(conn);
            net.rest(conn);
        }
    }

    fn edge_writable(&mut self, conn: ConnId) {
        let mut net = self.net();
        if let Some(c) = net.edge.get(conn) {
            c.link.flush();
            if c.state == State::Doomed {
                net.rest(conn);
            }
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
            Fill::Dry => {}
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
        let broken = loop {
            let state = self.net().edge.get(conn).map(|c| c.state);
            if !matches!(state, Some(State::Open | State::Closing)) {
                // What comes after the break is not read.
                taken = input.len();
                break None;
            }
            match msgpack::read(&input[taken..], &mut Hear { server: self, conn }) {
                Ok(Some(n)) => taken += n,
                Ok(None) => break None,
                Err(broken) => break Some(broken.0),
            }
        };
        let mut net = self.net();
        let Some(c) = net.edge.get(conn) else { return };
        c.link.input = keep_rest(input, taken);
        if let Some(why) = broken {
            c.doom(why);
            net.rest(conn);
        }
    }

    /// Notes a call as open. One that has an id which is open already gets an error, and is not run.
    fn open_call(&mut self, conn: ConnId, call: CallNo) -> bool {
        let mut net = self.net();
        let hint = net.edge.hint;
        let Some(c) = net.edge.get(conn) else { return false };
        if c.calls.len() >= OPEN {
            c.doom("too many calls open");
            net.rest(conn);
            return false;
        }
        let fresh = c.calls.insert(call);
        if !fresh {
            log::warn!("call {call:?} is open already");
            c.link.say(|out| msgpack::voided(out, call, hint));
        }
        fresh
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
                Some((State::Closing | State::Parting, true)) => true,
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
