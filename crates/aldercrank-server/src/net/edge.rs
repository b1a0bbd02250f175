//! What edge nodes say: calls in, each read and handed to the core.

use super::conns::{Conn, WHOLE};
use super::link::{keep_rest, Got, Link};
use super::wait::{Ready, Whose};
use super::{Due, Server};
use crate::clock::Clock;
use crate::core::{ConnId, MessageId, ReceivedRequest, ReplyTo};
use crate::dedup::DedupKey;
use crate::msgpack_rpc::{self, Edge, RequestFields};
use crate::payload::count;
use crate::worker_pool::{AttemptId, MAX_PAYLOAD_BYTES};
use aldercrank::{CallerId, IncomingRequest};
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
/// What the system may hold for it besides; more where results may be longer than usual, of that a part. Less
/// than two segments would wait for an acknowledgement each.
const SENDING: usize = 32 * 1024;
const SENDING_PART: usize = 4;

/// A field of a request that is missing or out of the protocol's range, by its name there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BadField {
    Missing(&'static str),
    OutOfRange(&'static str),
}

/// What no edge node says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Misuse {
    Message(&'static str),
    Field(BadField),
}

impl std::fmt::Display for Misuse {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Misuse::Message(why) => f.write_str(why),
            Misuse::Field(BadField::Missing(name)) => {
                write!(f, "a call without {name}, or with one that can't be read")
            }
            Misuse::Field(BadField::OutOfRange(name)) => write!(f, "a call with {name} out of range"),
        }
    }
}

/// What an edge node says, on one connection, at one moment.
struct Hear<'a> {
    server: &'a mut Server,
    conn: ConnId,
    /// It has said what no edge node says.
    misused: Option<Misuse>,
}

impl Hear<'_> {
    /// A request with its times on this server's clock.
    fn request<'b>(
        &mut self,
        now: Duration,
        method: &'b str,
        fields: &RequestFields<'b>,
        body: &'b [u8],
    ) -> Result<ReceivedRequest<'b>, BadField> {
        let unix = Clock::unix();
        let t0 = Duration::from_millis(fields.t0.ok_or(BadField::Missing("t0"))?);
        let told = fields.budget.map(Duration::from_millis);
        let budget =
            told.or_else(|| self.server.terms.deadline(method)).ok_or(BadField::Missing("budget"))?;
        // Nothing below zero, should our clock have been set back.
        let unread_for = unix.saturating_sub(t0);
        // And not longer than told.
        let until = t0.checked_add(budget).ok_or(BadField::OutOfRange("budget"))?;
        let left = until.saturating_sub(unix).min(budget);
        // Its word on that is believed as far as our own reading allows: what came before the connection was last
        // found dry has been read then.
        let dry = self.server.net().edge.get(self.conn).map_or(now, |c| c.dry);
        let unread = now.saturating_sub(dry);
        let dedup_key = match (fields.token, fields.obj) {
            (Some(token), _) => Some(DedupKey::token(method, token, body)),
            (None, Some(obj)) => Some(DedupKey::subject(method, obj)),
            (None, None) => None,
        };
        let memory_kb = fields.mem.ok_or(BadField::Missing("mem"))?;
        if memory_kb <= 0.0 || memory_kb >= MEM {
            return Err(BadField::OutOfRange("mem"));
        }
        let rank = fields.prio.ok_or(BadField::Missing("prio"))?;
        if rank >= 1.0 {
            return Err(BadField::OutOfRange("prio"));
        }
        let attempt = fields.attempt.ok_or(BadField::Missing("rid"))?;
        let arrival = IncomingRequest {
            class: method,
            subject: fields.obj,
            deadline: Some(now.checked_add(left).ok_or(BadField::OutOfRange("budget"))?),
            memory_kb,
            rank,
            caller: CallerId(fields.peer.ok_or(BadField::Missing("peer"))?),
            unread_for,
            ..IncomingRequest::default()
        };
        let attempt = AttemptId::new(attempt).ok_or(BadField::OutOfRange("rid"))?;
        Ok(ReceivedRequest { attempt, dedup_key, arrival, unread, body })
    }
}

impl Edge for Hear<'_> {
    fn request(&mut self, call: MessageId, method: &str, fields: &RequestFields, body: &[u8]) {
        if let Err(why) = self.server.open_call(self.conn, call) {
            self.misused = Some(Misuse::Message(why));
            return;
        }
        let reply_to = ReplyTo { conn: self.conn, call };
        let now = self.server.now();
        match self.request(now, method, fields, body) {
            Ok(ask) => self.server.asked(now, reply_to, ask),
            Err(_) if method == msgpack_rpc::CONSENSUS_METHOD && self.server.rules_asked(reply_to, body) => {}
            Err(why) => self.misused = Some(Misuse::Field(why)),
        }
    }

    fn health_check(&mut self, call: MessageId) {
        let (good, mut net) = (self.server.fit(), self.server.net());
        net.edge.say(self.conn, |out, beside| {
            out.words(|words| msgpack_rpc::write_health(words, call, good, beside))
        });
        net.rest(self.conn);
    }

    fn cancel(&mut self, call: MessageId) {
        // Nothing is owed, but one answer does no harm, and nobody is left without a word.
        let reply_to = ReplyTo { conn: self.conn, call };
        if self.server.net().edge.get(self.conn).is_some_and(|c| c.calls.contains(&call)) {
            self.server.refuse(reply_to, false);
            self.server.caller_gone(reply_to);
        }
    }

    fn invalid_request(&mut self, call: MessageId, why: &'static str) {
        // Open, so that it gets its error with all the others.
        let _ = self.server.open_call(self.conn, call);
        self.misused = Some(Misuse::Message(why));
    }

    fn unknown_notification(&mut self, why: &'static str) {
        self.misused = Some(Misuse::Message(why));
    }
}

impl Server {
    /// Takes the connections that wait. False when there is no room for more: the rest stays where it is.
    pub fn accept(&mut self, listener: &TcpListener) -> bool {
        let (began, dry) = (self.now(), self.none_waited);
        loop {
            if !self.make_room() {
                tracing::warn!("no room for another connection");
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
                    tracing::error!(why = %e, "cannot accept");
                    return false;
                }
            }
        }
    }

    fn take(&mut self, stream: TcpStream, dry: Duration) {
        let now = self.now();
        let longer = self.config.result.saturating_sub(MAX_PAYLOAD_BYTES);
        let sending = SENDING.max(longer / SENDING_PART);
        if let Err(e) = socket2::SockRef::from(&stream).set_send_buffer_size(sending) {
            tracing::debug!(why = %e, "a connection keeps its buffer");
        }
        let conn = match Link::accepted(stream) {
            Ok(link) => Conn::new(link, now, dry),
            Err(e) => return tracing::error!(why = %e, "cannot take a connection"),
        };
        let mut net = self.net();
        let net = &mut *net;
        let waiter = &net.waiter;
        match net.edge.insert(conn, |link, conn| link.wait_in(waiter, Whose::Edge(conn.0))) {
            Ok(Some(conn)) => {
                net.rest(conn);
                net.deadlines.set(Due::Whole(conn), now + WHOLE);
            }
            Ok(None) => {}
            Err(e) => tracing::error!(why = %e, "cannot wait for a connection"),
        }
    }

    /// Something has come up: what waits is written, and what has come is read at once, but after a long round
    /// of reading waits for its turn.
    pub fn edge_ready(&mut self, conn: ConnId, ready: Ready) {
        let now = self.now();
        let unread = {
            let mut net = self.net();
            let Some(c) = net.edge.get(conn) else { return };
            c.ended |= ready.ended;
            if ready.broken {
                c.link.broke();
            }
            if ready.writable {
                c.flush();
            }
            c.unread
        };
        // What was not read while its reader lagged has had its event.
        if !ready.readable && !unread {
            return;
        }
        let began = *self.round.get_or_insert(now);
        if now < began + self.terms.slice {
            self.edge_readable(conn);
        } else {
            self.edge_turn(conn);
        }
    }

    /// Reads a connection once; one that may have more waits for its next turn.
    pub fn edge_readable(&mut self, conn: ConnId) {
        let mut chunk = self.chunk();
        let (mut lingering, mut ended) = (false, false);
        let got = match self.net().edge.get(conn) {
            Some(c) => {
                // What was said this turn may not even have been tried.
                if c.link.waiting() > UNSENT {
                    c.flush();
                }
                (lingering, ended) = (c.lingering(), c.ended);
                // Nor will a side that has gone ever catch up: its end is what is left to be read.
                c.unread = c.link.waiting() > UNSENT && !ended && !lingering;
                match c.unread {
                    true => None,
                    false => Some(c.link.read(&mut chunk)),
                }
            }
            None => None,
        };
        let now = self.now();
        match got {
            Some(Got::Bytes(n)) => {
                let more = n == chunk.len() || ended;
                // What comes on one that lingers could not be answered.
                if !lingering {
                    self.edge_heard(conn, &chunk[..n]);
                }
                // Less than was asked for is all there is, unless it was the end.
                if more {
                    self.edge_turn(conn);
                } else if let Some(c) = self.net().edge.get(conn) {
                    c.dry = now;
                }
            }
            Some(Got::Dry) => {
                if let Some(c) = self.net().edge.get(conn) {
                    c.dry = now;
                }
            }
            Some(Got::End) => self.edge_ended(conn),
            Some(Got::ProtocolError) => self.edge_lost(conn),
            None => {}
        }
        self.chunk = chunk;
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
        let until = self.now() + self.terms.slice;
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

    fn edge_heard(&mut self, conn: ConnId, bytes: &[u8]) {
        let mut input = match self.net().edge.get(conn) {
            Some(c) => std::mem::take(&mut c.link.input),
            None => return,
        };
        // Most messages come whole, and are read where they are.
        let pieces = !input.is_empty();
        if pieces {
            count(bytes.len());
            input.extend_from_slice(bytes);
        }
        let heard = if pieces { &input } else { bytes };
        let mut taken = 0;
        loop {
            let mut hear = Hear { server: self, conn, misused: None };
            match msgpack_rpc::read_request(&heard[taken..], &mut hear) {
                Ok(Some(n)) => taken += n,
                Ok(None) => break,
                Err(broken) => hear.misused = Some(Misuse::Message(broken.0)),
            }
            if let Some(why) = hear.misused {
                return self.edge_misused(conn, why);
            }
        }
        let now = self.now();
        let mut net = self.net();
        let net = &mut *net;
        let Some(c) = net.edge.get(conn) else { return };
        c.link.input = if pieces {
            keep_rest(input, taken)
        } else {
            count(bytes.len() - taken);
            input.extend_from_slice(&bytes[taken..]);
            input
        };
        net.edge.heard(conn, now, taken > 0, &mut net.deadlines);
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
            self.edge_misused(conn, Misuse::Message("no whole message in its time"));
        }
    }

    /// Notes a call as open.
    fn open_call(&mut self, conn: ConnId, call: MessageId) -> Result<(), &'static str> {
        let mut net = self.net();
        let c = net.edge.get(conn).ok_or("no connection")?;
        if c.calls.len() >= OPEN {
            return Err("too many calls open");
        }
        net.edge.open(conn, call).then_some(()).ok_or("a call's id is open already")
    }

    /// Answers without the module: for what makes no sense, or came when nothing can run.
    pub(super) fn refuse(&mut self, reply_to: ReplyTo, never_ran: bool) {
        self.net().answer(reply_to, |out, beside| {
            out.words(|words| match never_ran {
                true => msgpack_rpc::write_rejected(words, reply_to.call, beside, None, false),
                false => msgpack_rpc::write_failed(words, reply_to.call, beside),
            });
        });
    }

    fn asked(&mut self, now: Duration, reply_to: ReplyTo, ask: ReceivedRequest) {
        match &mut self.core {
            Some(core) => core.request_received(now, reply_to, ask),
            None => self.refuse(reply_to, true),
        }
    }

    fn caller_gone(&mut self, reply_to: ReplyTo) {
        let now = self.now();
        if let Some(core) = &mut self.core {
            core.caller_gone(now, reply_to);
        }
        self.net().rest(reply_to.conn);
    }
}
