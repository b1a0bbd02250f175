//! The link to the worker pool: held open, bound anew after each loss.

use super::link::{keep_rest, Fill, Link};
use super::{Due, Server};
use crate::core::Core;
use crate::pool::{self, Notice, Pool, Rid};
use aldercrank::{Outcome, Value};
use std::time::Duration;

/// Between tries to link.
const RETRY: Duration = Duration::from_millis(50);
const TURNS: usize = 16;

#[derive(Default)]
pub struct PoolLink {
    link: Option<Link>,
    reader: pool::Reader,
    /// The last notice that was taken.
    last: Notice,
    bound: bool,
    /// The link to the old place, until the new one is bound: what was said on it can still be read there.
    parting: Option<Link>,
    /// When a bound link was lost.
    lost: Option<Duration>,
}

impl PoolLink {
    /// What is said while there is no link is lost; the core knows what it must say again.
    pub fn say(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(link) = self.link.as_mut().filter(|_| self.bound) {
            link.say(write);
        }
    }
}

struct Hear<'a>(&'a mut Server);

impl Hear<'_> {
    /// Whether a notice is new: replayed ones are taken once.
    fn fresh(&mut self, notice: Notice) -> bool {
        let mut net = self.0.net();
        let fresh = notice > net.pool.last;
        net.pool.last = net.pool.last.max(notice);
        fresh
    }
}

impl Pool for Hear<'_> {
    fn bound(&mut self, cold: bool, age: Duration) {
        {
            let mut net = self.0.net();
            let net = &mut *net;
            net.pool.bound = true;
            if let Some(old) = net.pool.parting.take() {
                old.close(&net.on_loop);
            }
        }
        self.0.bound(cold, age);
    }

    fn finished(&mut self, notice: Notice, rid: Rid, how: Outcome, took: Duration, result: &[u8]) {
        if self.fresh(notice) {
            let now = self.0.now();
            if let Some(core) = &mut self.0.core {
                core.run_ended(now, rid, how, took, result);
            }
        }
    }

    fn blocked(&mut self, notice: Notice, rid: Rid, body: &[u8]) {
        if self.fresh(notice) {
            let now = self.0.now();
            if let Some(core) = &mut self.0.core {
                core.call_needed(now, rid, notice, body);
            }
        }
    }

    fn chatter(&mut self, notice: Notice) {
        self.fresh(notice);
    }

    fn polled(&mut self, tag: u64, gauges: &[f64]) {
        let now = self.0.now();
        if let Some(core) = &mut self.0.core {
            core.polled(now, tag, gauges);
        }
    }

    fn unknown(&mut self, command: &str, id: &str) {
        log::info!("the pool knows no {id:?} to {command:?}");
        let now = self.0.now();
        if let (Some(core), "spawn", Some(rid)) = (&mut self.0.core, command, Rid::new(id)) {
            core.run_unknown(now, rid);
        }
    }

    fn nonsense(&mut self, line: &str) {
        log::warn!("the pool said {line:?}");
    }
}

impl Server {
    pub fn pool_dial(&mut self) {
        let mut net = self.net();
        if net.pool.link.is_some() || self.phase.stopped() {
            return;
        }
        let to = net.pool_addr;
        let link = Link::dial(&net.on_loop, to, |ready, server: &mut Server| {
            if ready.writable {
                server.pool_writable();
            }
            server.pool_readable();
        });
        match link {
            Ok(link) => net.pool.link = Some(link),
            Err(e) => {
                log::warn!("no link to the pool: {e}");
                let at = net.clock.now() + RETRY;
                net.deadlines.set(Due::PoolDial, at);
            }
        }
    }

    fn pool_writable(&mut self) {
        let mut net = self.net();
        let last = net.pool.last;
        let Some(link) = &mut net.pool.link else { return };
        if !link.connecting() {
            return link.flush();
        }
        match link.connected() {
            Ok(()) => {
                link.say(|out| pool::bind(out, last));
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
        for _ in 0..TURNS {
            let fill = match &mut self.net().pool.link {
                Some(link) if !link.connecting() => link.fill(),
                _ => return,
            };
            match fill {
                Fill::More => self.pool_heard(),
                Fill::Dry => return,
                Fill::End => return self.pool_lost("it has closed"),
            }
        }
        self.net().pool_again = true;
    }

    fn pool_heard(&mut self) {
        let (input, mut reader) = {
            let mut net = self.net();
            let Some(link) = &mut net.pool.link else { return };
            (std::mem::take(&mut link.input), std::mem::take(&mut net.pool.reader))
        };
        let mut taken = 0;
        while let Some(n) = reader.read(&input[taken..], &mut Hear(self)) {
            taken += n;
        }
        let mut net = self.net();
        net.pool.reader = reader;
        if let Some(link) = &mut net.pool.link {
            link.input = keep_rest(input, taken);
        }
    }

    /// The pool is to be reached elsewhere. What it has said here is heard first; the rest follows on the new
    /// link, by number. What was said here and not proved heard is as after a lost link.
    pub fn pool_moved(&mut self) {
        self.pool_readable();
        {
            let mut net = self.net();
            let net = &mut *net;
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
        log::warn!("the link to the pool is lost: {why}");
        {
            let mut net = self.net();
            let net = &mut *net;
            if let Some(link) = net.pool.link.take() {
                link.close(&net.on_loop);
            }
            let now = net.clock.now();
            net.pool.reader = pool::Reader::default();
            if std::mem::take(&mut net.pool.bound) {
                net.pool.lost = Some(now);
            }
            let at = now + RETRY;
            net.deadlines.set(Due::PoolDial, at);
        }
        if let Some(core) = &mut self.core {
            core.pool_lost();
        }
    }

    /// The worker pool is up: the first time, the module starts, on a clock that counts from the pool's start.
    fn bound(&mut self, cold: bool, age: Duration) {
        log::info!("the pool is bound, {}", if cold { "cold" } else { "warm" });
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
            self.core = Some(core);
            self.report_soon();
        }
        let now = self.now();
        // One that came up after the link was lost is another.
        let lost = self.net().pool.lost.take();
        let other = lost.is_some_and(|at| at + age < now);
        if other {
            log::warn!("the pool is another one");
            self.net().pool.last = Notice(0);
        }
        if let Some(core) = &mut self.core {
            if other {
                core.pool_restarted(now);
            }
            core.pool_bound(now);
        }
    }
}
