//! The table of connections from edge nodes: which are idle, which owe a whole message, and how each ends.
//! It owns their number: at the bound, room is made among those that have nothing open.

use super::link::{Link, Loop};
use super::Due;
use crate::core::{CallNo, ConnId, Seat};
use crate::deadlines::Deadlines;
use crate::msgpack;
use crate::slots::{Slot, Slots};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long the other side has to close what was told to close.
const PARTING: Duration = Duration::from_secs(1);
/// How long a connection may go without a whole message, after its start or after a message's first byte. An
/// edge node opens one when it has something to say, and messages are small.
const WHOLE: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Open,
    /// Told that nothing new is to come on it.
    Closing,
}

pub struct Conn {
    pub(super) link: Link,
    pub(super) calls: BTreeSet<CallNo>,
    pub(super) state: State,
    /// It waits for its turn to be read.
    pub(super) queued: bool,
    /// When its last call was answered.
    quiet: Duration,
    /// Whether it has ever said a whole message; and until when it owes one.
    spoken: bool,
    pub(super) owes: Option<Duration>,
    /// When it was last known that nothing of it lay unread.
    pub(super) dry: Duration,
}

impl Conn {
    pub(super) fn new(link: Link, now: Duration, dry: Duration) -> Conn {
        let (calls, state, owes) = (BTreeSet::new(), State::Open, Some(now + WHOLE));
        Conn { link, calls, state, queued: false, quiet: now, spoken: false, owes, dry }
    }
}

#[derive(Default)]
pub struct Conns {
    conns: Slots<Conn>,
    most: usize,
    idle: Option<Duration>,
    pub hint: Option<f64>,
}

impl Conns {
    pub fn at_most(most: usize) -> Conns {
        Conns { most, ..Conns::default() }
    }

    pub(super) fn insert(&mut self, conn: Conn) -> Option<ConnId> {
        self.conns.insert(conn).map(|slot| ConnId(slot.0))
    }

    /// After a read: whether whole messages came, and whether a part of one is left.
    pub(super) fn heard(&mut self, conn: ConnId, now: Duration, whole: bool, deadlines: &mut Deadlines<Due>) {
        let Some(c) = self.get(conn) else { return };
        c.spoken |= whole;
        let owes = match c.link.input.is_empty() {
            true if c.spoken => None,
            false if whole || c.owes.is_none() => Some(now + WHOLE),
            _ => c.owes,
        };
        c.owes = owes;
        match owes {
            Some(until) => deadlines.set(Due::Whole(conn), until),
            None => deadlines.clear(Due::Whole(conn)),
        }
    }

    /// The one that has had nothing open for longest, those first that have never said anything whole.
    pub(super) fn idlest(&self) -> Option<ConnId> {
        let idle = self.conns.iter().filter(|(_, c)| c.calls.is_empty());
        idle.min_by_key(|(_, c)| (c.spoken, c.quiet)).map(|(slot, _)| ConnId(slot.0))
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    pub(super) fn full(&self) -> bool {
        self.conns.len() >= self.most
    }

    pub(super) fn get(&mut self, conn: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(Slot(conn.0))
    }

    /// Writes an answer; a call that is not open any more has nobody to read it.
    pub fn answer(&mut self, seat: Seat, write: impl FnOnce(&mut Vec<u8>, Option<f64>)) {
        let hint = self.hint;
        if let Some(conn) = self.get(seat.conn).filter(|c| c.calls.contains(&seat.call)) {
            conn.calls.remove(&seat.call);
            conn.link.say(|out| write(out, hint));
        }
    }

    /// After an answer: what is idle now closes when its time comes.
    pub fn rest(&mut self, conn: ConnId, now: Duration, deadlines: &mut Deadlines<Due>) {
        let idle = self.idle;
        let Some(c) = self.get(conn).filter(|c| c.calls.is_empty()) else { return };
        c.quiet = now;
        match c.state {
            State::Open => {
                if let Some(idle) = idle {
                    deadlines.set(Due::Idle(conn), now + idle);
                }
            }
            State::Closing => deadlines.set(Due::Idle(conn), now + PARTING),
        }
    }

    /// How long connections may stay idle from now on.
    pub fn close_idle(&mut self, span: Duration, deadlines: &mut Deadlines<Due>) {
        if self.idle == Some(span) {
            return;
        }
        self.idle = Some(span);
        let open = self.conns.iter().filter(|(_, c)| c.state == State::Open && c.calls.is_empty());
        open.for_each(|(slot, c)| deadlines.set(Due::Idle(ConnId(slot.0)), c.quiet + span));
    }

    /// Tells the other side that nothing new is to come; it closes once all is answered. Unlike a close by
    /// us this can't cross a call.
    pub fn part(&mut self, conn: ConnId, now: Duration, deadlines: &mut Deadlines<Due>) {
        if let Some(c) = self.get(conn).filter(|c| c.state == State::Open) {
            c.state = State::Closing;
            c.link.say(msgpack::closing);
            self.rest(conn, now, deadlines);
        }
    }

    pub fn part_all(&mut self, now: Duration, deadlines: &mut Deadlines<Due>) {
        let all: Vec<ConnId> = self.conns.iter().map(|(slot, _)| ConnId(slot.0)).collect();
        all.into_iter().for_each(|conn| self.part(conn, now, deadlines));
    }

    pub(super) fn drop(&mut self, conn: ConnId, on_loop: &Loop, deadlines: &mut Deadlines<Due>) {
        deadlines.clear(Due::Idle(conn));
        deadlines.clear(Due::Whole(conn));
        if let Some(c) = self.conns.remove(Slot(conn.0)) {
            c.link.close(on_loop);
        }
    }
}
