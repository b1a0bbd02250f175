//! The table of connections from edge nodes: which are idle, which owe a whole message, and how each ends.
//! It owns their number: at the bound, room is made among those that have nothing open.
//!
//! A connection goes through three states, in this order: open, closing (the other side was told that nothing new
//! is to come) and lingering (no request is taken any more; what was answered is written, the write side is shut,
//! and what still comes is read and dropped until the other side has closed or its time is over). A close over
//! unread bytes would reset the connection and take with it answers that the system had not delivered yet.

use super::link::{Link, Loop};
use super::Due;
use crate::core::{ConnId, MessageId, ReplyTo};
use crate::deadlines::Deadlines;
use crate::msgpack_rpc::{self, ResponseFields};
use crate::payload::OutputBuffer;
use crate::slots::{Slot, Slots};
use std::collections::VecDeque;
use std::time::Duration;

/// How long the other side has to close what was told to close, and again once the write side is shut.
const PARTING: Duration = Duration::from_secs(1);
/// Whoever opens a connection says something on it soon: until then it is not taken for idle.
const JUST_COME: Duration = Duration::from_millis(100);
/// Of the bound on connections, the part that is kept for those that linger: from there on the idlest are ended in
/// order, and only at the bound itself are those that linger dropped before their time.
const LINGER_SHARE: usize = 16;
/// How long a connection may go without a whole message, after its start or after a message's first byte. An
/// edge node opens one when it has something to say, and messages are small.
pub(super) const WHOLE: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Open,
    /// Told that nothing new is to come on it.
    Closing,
    /// No request is taken from it any more; it closes once all is written and the other side has closed.
    Lingering,
}

pub struct Conn {
    pub(super) link: Link,
    /// Open calls, few enough to look through.
    pub(super) calls: Vec<MessageId>,
    /// The versions of the rule book that open calls are judged by; empty where there is no book.
    judged: Vec<(MessageId, u64)>,
    pub(super) state: State,
    /// It waits for its turn to be read.
    pub(super) queued: bool,
    /// The other side has ended: it is read until that shows.
    pub(super) ended: bool,
    /// It was not read when it had something, since its reader lagged.
    pub(super) unread: bool,
    /// Something has been said that is not written yet.
    dirty: bool,
    /// Its neighbours in the row of idle ones, while nothing is open on it.
    idle: Option<Neighbours>,
    /// When its last call was answered.
    quiet: Duration,
    /// Whether it has ever said a whole message; and until when it owes one.
    spoken: bool,
    pub(super) owes: Option<Duration>,
    /// When it was last known that nothing of it lay unread.
    pub(super) dry: Duration,
    /// How much had been written when its progress was last looked at.
    written: u64,
    /// The write side is shut: all that was said has been written before.
    shut: bool,
    /// While it lingers: the last wait for the other side has begun.
    last_wait: bool,
}

impl Conn {
    pub(super) fn new(link: Link, now: Duration, dry: Duration) -> Conn {
        let (calls, judged, state, owes) = (Vec::new(), Vec::new(), State::Open, Some(now + WHOLE));
        let (queued, ended, unread, dirty, idle) = (false, false, false, false, None);
        Conn {
            link,
            calls,
            judged,
            state,
            queued,
            ended,
            unread,
            dirty,
            idle,
            quiet: now,
            spoken: false,
            owes,
            dry,
            written: 0,
            shut: false,
            last_wait: false,
        }
    }

    pub(super) fn lingering(&self) -> bool {
        self.state == State::Lingering
    }

    /// Writes what can be; after the last byte of one that lingers its write side is shut, once.
    pub(super) fn flush(&mut self) {
        self.link.flush();
        if self.lingering() && !self.shut && self.link.waiting() == 0 {
            self.link.hush();
            self.shut = true;
        }
    }

    /// Whether anything has been written since this was last asked; if so, it is quiet from now on.
    fn progressed(&mut self, now: Duration) -> bool {
        let written = self.link.written();
        let progressed = std::mem::replace(&mut self.written, written) != written;
        if progressed {
            self.quiet = now;
        }
        progressed
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Neighbours {
    before: Option<ConnId>,
    after: Option<ConnId>,
}

/// Idle connections in the order in which they fell quiet. Each joins at the end, so this costs the same
/// however many there are.
#[derive(Default)]
struct Row {
    first: Option<ConnId>,
    last: Option<ConnId>,
}

#[derive(Default)]
pub struct Conns {
    conns: Slots<Conn>,
    /// Those with nothing open: that have never said anything whole, and that have.
    rows: [Row; 2],
    most: usize,
    /// Those that linger, in the order in which they began to.
    lingering: VecDeque<ConnId>,
    idle: Option<Duration>,
    /// How long the other side has to close; shorter where this server has less time.
    parting: Duration,
    /// The free value as it is written.
    hint: Option<String>,
    /// Those on which something has been said this turn.
    dirty: Vec<ConnId>,
}

impl Conns {
    pub fn at_most(most: usize) -> Conns {
        Conns { most, parting: PARTING, ..Conns::default() }
    }

    /// This server ends after so long: each of the two waits for the other side takes a third of that at most.
    pub(super) fn ends_in(&mut self, span: Duration) {
        self.parting = self.parting.min(span / 3);
    }

    /// Its number is handed to `link`, which may refuse it.
    pub(super) fn insert<E>(
        &mut self,
        conn: Conn,
        link: impl FnOnce(&Link, ConnId) -> Result<(), E>,
    ) -> Result<Option<ConnId>, E> {
        let Some(slot) = self.conns.insert(conn) else { return Ok(None) };
        let linked = self.conns.get(slot).map_or(Ok(()), |c| link(&c.link, ConnId(slot.0)));
        if linked.is_err() {
            self.conns.remove(slot);
        }
        linked.map(|()| Some(ConnId(slot.0)))
    }

    pub fn set_hint(&mut self, value: f64) {
        self.hint = Some(value.to_string());
    }

    /// After a read: whether whole messages came, and whether a part of one is left.
    pub(super) fn heard(&mut self, conn: ConnId, now: Duration, whole: bool, deadlines: &mut Deadlines<Due>) {
        let Some(c) = self.conns.get_mut(Slot(conn.0)) else { return };
        if whole && !c.spoken {
            // It changes rows, and is quiet from now on, having just spoken.
            let idle = self.leave_row(conn);
            let Some(c) = self.conns.get_mut(Slot(conn.0)) else { return };
            (c.spoken, c.quiet) = (true, now);
            if idle {
                self.join_row(conn);
            }
        }
        let Some(c) = self.conns.get_mut(Slot(conn.0)) else { return };
        let owes = match c.link.input.is_empty() {
            true if c.spoken => None,
            false if whole || c.owes.is_none() => Some(now + WHOLE),
            _ => c.owes,
        };
        if std::mem::replace(&mut c.owes, owes) == owes {
            return;
        }
        match owes {
            Some(until) => deadlines.set(Due::Whole(conn), until),
            None => deadlines.clear(Due::Whole(conn)),
        }
    }

    /// The one that has had nothing open for longest, those first that have never said anything whole, but for those
    /// that have only just come.
    pub(super) fn idlest(&self, now: Duration) -> Option<ConnId> {
        let [silent, spoken] = &self.rows;
        let since = |conn: &ConnId| self.conns.get(Slot(conn.0)).map_or(now, |c| c.quiet);
        silent.first.filter(|conn| now >= since(conn) + JUST_COME).or(spoken.first)
    }

    /// The one of all that has had nothing open for longest, and since when.
    fn quietest(&self) -> Option<(Duration, ConnId)> {
        let firsts = self.rows.iter().filter_map(|row| row.first);
        firsts.filter_map(|conn| self.conns.get(Slot(conn.0)).map(|c| (c.quiet, conn))).min()
    }

    fn join_row(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(Slot(conn.0)) else { return };
        let row = &mut self.rows[usize::from(c.spoken)];
        let before = row.last.replace(conn);
        c.idle = Some(Neighbours { before, after: None });
        match before {
            Some(before) => self.neighbour(before, |n| n.after = Some(conn)),
            None => row.first = Some(conn),
        }
    }

    /// Whether it stood in one.
    fn leave_row(&mut self, conn: ConnId) -> bool {
        let Some(c) = self.conns.get_mut(Slot(conn.0)) else { return false };
        let Some(Neighbours { before, after }) = c.idle.take() else { return false };
        let row = &mut self.rows[usize::from(c.spoken)];
        if before.is_none() {
            row.first = after;
        }
        if after.is_none() {
            row.last = before;
        }
        before.into_iter().for_each(|b| self.neighbour(b, |n| n.after = after));
        after.into_iter().for_each(|a| self.neighbour(a, |n| n.before = before));
        true
    }

    fn neighbour(&mut self, conn: ConnId, change: impl FnOnce(&mut Neighbours)) {
        if let Some(n) = self.conns.get_mut(Slot(conn.0)).and_then(|c| c.idle.as_mut()) {
            change(n);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    pub(super) fn full(&self) -> bool {
        self.conns.len() >= self.most
    }

    /// So many that the idlest should be ended while that can still be done in order.
    pub(super) fn crowded(&self) -> bool {
        self.conns.len() - self.lingering.len() >= self.most - self.most / LINGER_SHARE
    }

    /// Of those that linger, the one that has for longest, all of it written.
    pub(super) fn lingering_longest(&mut self) -> Option<ConnId> {
        let shut = |conn: &&ConnId| self.conns.get(Slot(conn.0)).is_some_and(|c| c.shut);
        self.lingering.iter().find(shut).copied()
    }

    pub(super) fn get(&mut self, conn: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(Slot(conn.0))
    }

    /// Notes a call as open; false where its number is open already.
    pub(super) fn open(&mut self, conn: ConnId, call: MessageId) -> bool {
        let Some(c) = self.conns.get_mut(Slot(conn.0)) else { return false };
        if c.calls.contains(&call) {
            return false;
        }
        c.calls.push(call);
        self.leave_row(conn);
        true
    }

    /// Adds to what is said on a connection; it is written at the end of the turn.
    pub(super) fn say(&mut self, conn: ConnId, write: impl FnOnce(&mut OutputBuffer, ResponseFields)) {
        self.say_judged(conn, None, write);
    }

    fn say_judged(
        &mut self,
        conn: ConnId,
        rules: Option<u64>,
        write: impl FnOnce(&mut OutputBuffer, ResponseFields),
    ) {
        let Some(c) = self.conns.get_mut(Slot(conn.0)) else { return };
        write(&mut c.link.out, ResponseFields { hint: self.hint.as_deref(), rules });
        if !std::mem::replace(&mut c.dirty, true) {
            self.dirty.push(conn);
        }
    }

    /// Writes all that has been said, as far as the sockets take it.
    pub(super) fn flush(&mut self) {
        while let Some(conn) = self.dirty.pop() {
            if let Some(c) = self.get(conn) {
                c.dirty = false;
                c.flush();
            }
        }
    }

    /// Says an answer; a call that is not open any more has nobody to read it.
    pub fn answer(&mut self, reply_to: ReplyTo, write: impl FnOnce(&mut OutputBuffer, ResponseFields)) {
        let Some(c) = self.get(reply_to.conn) else { return };
        if let Some(at) = c.calls.iter().position(|call| *call == reply_to.call) {
            c.calls.remove(at);
            let place = c.judged.iter().position(|(call, _)| *call == reply_to.call);
            let judged = place.map(|at| c.judged.swap_remove(at).1);
            self.say_judged(reply_to.conn, judged, write);
        }
    }

    /// An open call is judged by this version of the rule book.
    pub fn judge(&mut self, reply_to: ReplyTo, version: u64) {
        if let Some(c) = self.get(reply_to.conn).filter(|c| c.calls.contains(&reply_to.call)) {
            c.judged.push((reply_to.call, version));
        }
    }

    /// After an answer: what is idle now closes when its time comes.
    pub fn rest(&mut self, conn: ConnId, now: Duration, deadlines: &mut Deadlines<Due>) {
        let quiet = |c: &&mut Conn| c.calls.is_empty() && !c.lingering();
        let Some(c) = self.conns.get_mut(Slot(conn.0)).filter(quiet) else { return };
        c.quiet = now;
        let state = c.state;
        self.leave_row(conn);
        self.join_row(conn);
        match state {
            State::Open => {
                if let Some(idle) = self.idle.filter(|_| deadlines.get(Due::Idle).is_none()) {
                    deadlines.set(Due::Idle, now + idle);
                }
            }
            State::Closing => deadlines.set(Due::Parted(conn), now + self.parting),
            State::Lingering => {}
        }
    }

    /// How long connections may stay idle from now on. One deadline stands for all: that of the quietest.
    pub fn close_idle(&mut self, span: Duration, deadlines: &mut Deadlines<Due>) {
        if self.idle.replace(span) != Some(span) {
            self.next_idle(deadlines);
        }
    }

    fn next_idle(&self, deadlines: &mut Deadlines<Due>) {
        let next = self.quietest().zip(self.idle);
        if let Some(((quiet, _), idle)) = next {
            deadlines.set(Due::Idle, quiet + idle);
        }
    }

    /// Connections that have been idle for their time are told to close.
    pub(super) fn part_idle(&mut self, now: Duration, deadlines: &mut Deadlines<Due>) {
        let Some(idle) = self.idle else { return };
        while let Some((_, conn)) = self.quietest().filter(|(quiet, _)| *quiet + idle <= now) {
            // One that is told already has a deadline of its own.
            let told = self.get(conn).is_none_or(|c| c.state == State::Closing);
            if told {
                self.leave_row(conn);
            } else {
                self.part(conn, now, deadlines);
            }
        }
        self.next_idle(deadlines);
    }

    /// Tells the other side that nothing new is to come; it closes once all is answered. Unlike a close by
    /// us this can't cross a call.
    pub fn part(&mut self, conn: ConnId, now: Duration, deadlines: &mut Deadlines<Due>) {
        if let Some(c) = self.get(conn).filter(|c| c.state == State::Open) {
            c.state = State::Closing;
            self.say(conn, |out, _| out.words(msgpack_rpc::write_closing));
            self.rest(conn, now, deadlines);
        }
    }

    pub fn part_all(&mut self, now: Duration, deadlines: &mut Deadlines<Due>) {
        let all: Vec<ConnId> = self.conns.iter().map(|(slot, _)| ConnId(slot.0)).collect();
        all.into_iter().for_each(|conn| self.part(conn, now, deadlines));
    }

    /// Ends one on which nothing is open: what was said is written, then the write side is shut, and what still
    /// comes is dropped.
    pub(super) fn linger(&mut self, conn: ConnId, now: Duration, deadlines: &mut Deadlines<Due>) {
        self.leave_row(conn);
        let parting = self.parting;
        let Some(c) = self.get(conn).filter(|c| !c.lingering()) else { return };
        c.state = State::Lingering;
        c.calls.clear();
        c.link.input = Vec::new();
        c.owes = None;
        c.quiet = now;
        c.flush();
        c.written = c.link.written();
        c.last_wait = c.shut;
        self.lingering.push_back(conn);
        deadlines.clear(Due::Whole(conn));
        deadlines.set(Due::Parted(conn), now + parting);
    }

    /// A wait of one that lingers is over: true where it has to go now. One whose reader is slow stays as long as
    /// something of what it is owed goes out, and for `patience` after that.
    pub(super) fn lingered(
        &mut self,
        conn: ConnId,
        now: Duration,
        patience: Duration,
        deadlines: &mut Deadlines<Due>,
    ) -> bool {
        let parting = self.parting;
        let Some(c) = self.get(conn) else { return false };
        c.flush();
        let over = match c.shut {
            true => std::mem::replace(&mut c.last_wait, true),
            false => !c.progressed(now) && now >= c.quiet + patience,
        };
        if !over {
            deadlines.set(Due::Parted(conn), now + parting);
        }
        over
    }

    pub(super) fn drop(&mut self, conn: ConnId, on_loop: &Loop, deadlines: &mut Deadlines<Due>) {
        deadlines.clear(Due::Parted(conn));
        deadlines.clear(Due::Whole(conn));
        self.leave_row(conn);
        self.lingering.retain(|other| *other != conn);
        if let Some(c) = self.conns.remove(Slot(conn.0)) {
            c.link.close(on_loop);
        }
    }
}
