//! The link to the worker pool: held open, bound anew after each loss.

use super::link::{keep_rest, Got, Link};
use super::wait::{Ready, Whose};
use super::{Due, Server};
use crate::clock::Clock;
use crate::core::Core;
use crate::payload::{count, Payload, LARGE};
use crate::worker_pool::{self, AttemptId, EventHandler, NoticeNumber};
use aldercrank::{Outcome, Value};
use aldercrank_pacing::{RetryPacer, Terms};
use bytes::Bytes;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Tries to link: about a quarter of this after the first that comes to nothing, then less often, up to half of it. The
/// pool is a process on the same machine, so nobody else is spared by waiting for longer.
const DIAL: Duration = Duration::from_millis(200);
const LONGEST: f64 = 0.5;
const TURNS: usize = 16;
/// How long connecting may take. A machine that drops the first packet would answer the next one a second later, and
/// the system itself tries for two minutes.
const CONNECT: Duration = Duration::from_secs(1);
/// A worker pool that came up later than the one before by more than this is another.
const ANOTHER: Duration = Duration::from_millis(500);

pub struct PoolLink {
    link: Option<Link>,
    /// Counts the links.
    number: u32,
    reader: worker_pool::EventReader,
    /// The other side has ended the link: it is read until that shows.
    ended: bool,
    /// The longest result; how long a large message that has come in part will be.
    most: usize,
    wants: Option<usize>,
    /// Spawns that have been said, by where each begins in all that goes out, until they have begun to.
    unsaid: VecDeque<(u64, AttemptId)>,
    /// The last notice that was taken.
    last: NoticeNumber,
    bound: bool,
    /// The link to the old place, until the new one is bound: what was said on it can still be read there.
    parting: Option<Link>,
    /// When a bound link was lost.
    lost: Option<Duration>,
    /// When `bind` was said on this link: the age that `bound` tells was read later.
    bind_said: Duration,
    /// When the worker pool came up, at the latest: the clock counts from the first one's start.
    started: Duration,
    pace: RetryPacer,
}

impl PoolLink {
    /// `seed` and `name` draw the moments at which it is tried again.
    pub fn at_most(most: usize, seed: &str, name: &str) -> PoolLink {
        let longest = DIAL.mul_f64(LONGEST);
        let terms = Terms { interval: DIAL, lapse: DIAL, longest, servers: Some(1.0) };
        PoolLink {
            link: None,
            number: 0,
            reader: worker_pool::EventReader::at_most(most),
            ended: false,
            most,
            wants: None,
            unsaid: VecDeque::new(),
            last: NoticeNumber(0),
            bound: false,
            parting: None,
            lost: None,
            bind_said: Duration::ZERO,
            started: Duration::ZERO,
            pace: RetryPacer::new(terms, seed, name, Clock::unix()),
        }
    }

    /// What is said while there is no link is lost; the core knows what it must say again. It is written at
    /// the end of the turn.
    pub fn say(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(link) = self.link.as_mut().filter(|_| self.bound) {
            link.out.words(write);
        }
    }

    pub fn spawn(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>) {
        let Some(link) = self.link.as_mut().filter(|_| self.bound) else { return };
        self.unsaid.push_back((link.out.end(), attempt));
        link.out.words(|words| worker_pool::write_start_run(words, attempt, class, body.len()));
        link.out.body(body);
        link.out.words(worker_pool::write_payload_end);
    }

    pub fn flush(&mut self) {
        let Some(link) = self.link.as_mut() else { return };
        link.flush();
        let written = link.out.written();
        while self.unsaid.front().is_some_and(|(from, _)| *from < written) {
            self.unsaid.pop_front();
        }
    }
}

/// What the pool says, on the link at one moment; with the buffer, where that can be kept.
struct Hear<'a> {
    server: &'a mut Server,
    whole: Option<&'a Bytes>,
}

impl Hear<'_> {
    /// Whether a notice is new: replayed ones are taken once.
    fn fresh(&mut self, notice: NoticeNumber) -> bool {
        let mut net = self.server.net();
        let fresh = notice > net.pool.last;
        net.pool.last = net.pool.last.max(notice);
        fresh
    }
}

impl EventHandler for Hear<'_> {
    fn bound(&mut self, cold: bool, age: Duration) {
        {
            let mut net = self.server.net();
            let net = &mut *net;
            net.pool.bound = true;
            let now = net.clock.now();
            net.pool.pace.succeeded(now, now);
            if let Some(old) = net.pool.parting.take() {
                old.close(&net.on_loop);
            }
        }
        self.server.bound(cold, age);
    }

    fn run_finished(
        &mut self,
        notice: NoticeNumber,
        attempt: AttemptId,
        how: Outcome,
        took: Duration,
        result: &[u8],
    ) {
        if self.fresh(notice) {
            let now = self.server.now();
            let shared = self.whole.filter(|_| result.len() >= LARGE).map(|whole| whole.slice_ref(result));
            let result = shared.as_ref().map_or(Payload::Passing(result), Payload::Shared);
            if let Some(core) = &mut self.server.core {
                core.run_ended(now, attempt, how, took, result);
            }
        }
    }

    fn run_blocked(&mut self, notice: NoticeNumber, attempt: AttemptId, body: &[u8]) {
        if self.fresh(notice) {
            let now = self.server.now();
            if let Some(core) = &mut self.server.core {
                core.call_needed(now, attempt, notice, body);
            }
        }
    }

    fn other_notice(&mut self, notice: NoticeNumber) {
        self.fresh(notice);
    }

    fn metrics_reported(&mut self, tag: u64, load_metrics: &[f64]) {
        let now = self.server.now();
        if let Some(core) = &mut self.server.core {
            core.polled(now, tag, load_metrics);
        }
    }

    fn unknown_attempt(&mut self, command: &str, id: &str) {
        tracing::info!(id, command, "the pool knows no such run");
        let now = self.server.now();
        if let (Some(core), "spawn", Some(attempt)) = (&mut self.server.core, command, AttemptId::new(id)) {
            core.run_unknown(now, attempt);
        }
    }

    fn malformed_line(&mut self, line: &str) {
        tracing::warn!(line, "the pool said what is no notice");
    }
}

impl Server {
    pub fn pool_dial(&mut self) {
        if self.phase.stopped() {
            return;
        }
        if self.net().pool.link.as_ref().is_some_and(Link::connecting) {
            return self.pool_lost("no connection in its time");
        }
        let mut net = self.net();
        if net.pool.link.is_some() {
            return;
        }
        net.pool.number = net.pool.number.wrapping_add(1);
        let (to, number) = (net.pool_addr, net.pool.number);
        let link = Link::dial(to).and_then(|link| {
            link.wait_in(&net.waiter, Whose::Pool(number))?;
            Ok(link)
        });
        match link {
            Ok(link) => {
                let until = net.clock.now() + CONNECT;
                net.pool.link = Some(link);
                net.deadlines.set(Due::PoolDial, until);
            }
            Err(e) => {
                tracing::warn!(why = %e, "no link to the pool");
                let now = net.clock.now();
                let at = net.pool.pace.failed(now);
                net.deadlines.set(Due::PoolDial, at);
            }
        }
    }

    /// Something has come up on a link; one that is no more the link has nothing to say.
    pub fn pool_ready(&mut self, number: u32, ready: Ready) {
        if self.net().pool.number != number {
            return;
        }
        self.net().pool.ended |= ready.ended;
        if ready.writable {
            self.pool_writable();
        }
        if ready.readable {
            self.pool_readable();
        }
    }

    fn pool_writable(&mut self) {
        let mut net = self.net();
        let last = net.pool.last;
        let Some(link) = &mut net.pool.link else { return };
        if !link.connecting() {
            return net.pool.flush();
        }
        match link.connected() {
            Ok(()) => {
                link.out.words(|words| worker_pool::write_bind(words, last));
                link.flush();
                net.pool.bind_said = net.clock.now();
                drop(net);
                self.phase.linked();
            }
            Err(e) => {
                drop(net);
                self.pool_lost(&e.to_string());
            }
        }
    }

    pub fn pool_readable(&mut self) {
        let mut chunk = self.chunk();
        let mut turns = 0;
        let lost = loop {
            let (got, room) = {
                let mut net = self.net();
                let wants = net.pool.wants;
                match &mut net.pool.link {
                    // A large message goes where it stays, and not beyond its end.
                    Some(link) if !link.connecting() && wants.is_some() => {
                        let room = link.input.capacity() - link.input.len();
                        (link.read_on(), room)
                    }
                    Some(link) if !link.connecting() => (link.read(&mut chunk), chunk.len()),
                    _ => break false,
                }
            };
            turns += 1;
            match got {
                Got::Bytes(n) => {
                    let direct = self.net().pool.wants.is_some();
                    self.pool_heard(if direct { &[] } else { &chunk[..n] });
                    // Less than was asked for is all there is; an end that comes later has an event of its own.
                    if n < room && !self.net().pool.ended {
                        break false;
                    }
                }
                Got::Dry => break false,
                Got::End | Got::ProtocolError => break true,
            }
            if turns == TURNS {
                self.net().pool_again = true;
                break false;
            }
        };
        self.chunk = chunk;
        if lost {
            self.pool_lost("it has closed");
        }
    }

    /// Hears what has come: in `bytes`, or, for a large message, already behind what was there.
    fn pool_heard(&mut self, bytes: &[u8]) {
        let (mut input, mut reader) = {
            let mut net = self.net();
            let net = &mut *net;
            let Some(link) = &mut net.pool.link else { return };
            if net.pool.wants.is_some_and(|wants| link.input.len() < wants) {
                return;
            }
            (std::mem::take(&mut link.input), std::mem::take(&mut net.pool.reader))
        };
        let (mut taken, pieces) = (0, !input.is_empty());
        let whole = self.net().pool.wants.take().map(|_| Bytes::from(std::mem::take(&mut input)));
        if pieces && whole.is_none() {
            count(bytes.len());
            input.extend_from_slice(bytes);
        }
        let heard = match &whole {
            Some(whole) => whole,
            None if pieces => &input[..],
            None => bytes,
        };
        while let Some(n) = reader.read(&heard[taken..], &mut Hear { server: self, whole: whole.as_ref() }) {
            taken += n;
        }
        let rest = &heard[taken..];
        // Room is made for a message whose length is told, within the bound, once it is known to be large.
        let wants = reader.wants(rest).filter(|wants| *wants > rest.len().max(LARGE));
        let mut net = self.net();
        let net = &mut *net;
        (net.pool.reader, net.pool.wants) = (reader, wants);
        let Some(link) = &mut net.pool.link else { return };
        link.input = match wants {
            Some(wants) => {
                let mut large = Vec::with_capacity(wants);
                large.extend_from_slice(rest);
                count(rest.len());
                large
            }
            None if pieces && whole.is_none() => keep_rest(input, taken),
            None => {
                count(rest.len());
                rest.to_vec()
            }
        };
    }

    /// The pool is to be reached elsewhere. What it has said here is heard first; the rest follows on the new
    /// link, by number. What was said here and not proved heard is as after a lost link.
    pub fn pool_moved(&mut self) {
        self.pool_readable();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.pool.flush();
            let link = net.pool.link.take_if(|link| !link.connecting());
            if let Some(link) = &link {
                link.hush();
            }
            if let Some(older) = std::mem::replace(&mut net.pool.parting, link) {
                older.close(&net.on_loop);
            }
        }
        self.pool_lost("it has moved");
        self.pool_dial();
    }

    fn pool_lost(&mut self, why: &str) {
        tracing::warn!(why, "the link to the pool is lost");
        let (now, unsaid);
        {
            let mut net = self.net();
            let net = &mut *net;
            if let Some(link) = net.pool.link.take() {
                link.close(&net.on_loop);
            }
            now = net.clock.now();
            net.pool.reader = worker_pool::EventReader::at_most(net.pool.most);
            (net.pool.wants, net.pool.ended) = (None, false);
            unsaid = std::mem::take(&mut net.pool.unsaid);
            if std::mem::take(&mut net.pool.bound) {
                net.pool.lost = Some(now);
            }
            let at = net.pool.pace.failed(now);
            net.deadlines.set(Due::PoolDial, at);
        }
        if let Some(core) = &mut self.core {
            core.pool_lost(now, unsaid.into_iter().map(|(_, attempt)| attempt));
        }
    }

    /// The worker pool is up: the first time, the module starts, on a clock that counts from the pool's start.
    fn bound(&mut self, cold: bool, age: Duration) {
        tracing::info!(cold, "the pool is bound");
        if self.phase.bound() {
            {
                let mut net = self.net();
                let net = &mut *net;
                let before = net.clock.now();
                net.clock.restart(age);
                net.deadlines.rebase(before, age);
            }
            let mut settings = self.config.settings.clone();
            settings.set("family_info.cold", Value::Flag(cold));
            let core = Core::start(settings, age, self.room, self.ways());
            (self.core, self.cold) = (Some(core), cold);
            if let (true, Some(core)) = (self.config.start.tell_share, &mut self.core) {
                core.warms_up(age, &self.config.settings, cold);
            }
            self.rules_begin();
            self.first_report();
        }
        let now = self.now();
        // One that came up after the link was lost is another. So is one that came up after the one before: a server
        // that stood still learns late that a link was lost.
        let other = {
            let mut net = self.net();
            let pool = &mut net.pool;
            let later = pool.bind_said > pool.started + age + ANOTHER;
            let other = pool.lost.take().is_some_and(|at| at + age < now || later);
            if other {
                tracing::warn!("the pool is another one");
                (pool.last, pool.started) = (NoticeNumber(0), now.saturating_sub(age));
            }
            other
        };
        if let Some(core) = &mut self.core {
            if other {
                core.pool_restarted(now, cold);
            }
            core.pool_bound(now);
        }
    }
}
