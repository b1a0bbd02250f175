//! Where the loop waits. The streams that carry txns hang in a set of their own, edge-triggered, under a word
//! that tells whose they are; calloop, with all that is rare, is one more of what is waited for. Its own waiting
//! sets a timer and asks for two interests anew each time, five system calls where one will do (docs/cost.md).

use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// Events taken at once.
const EVENTS: usize = 256;

/// Whose a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whose {
    Calloop,
    /// By its number among the links there have been.
    Pool(u32),
    /// By its number in the table of connections.
    Edge(u32),
}

impl Whose {
    fn word(self) -> u64 {
        match self {
            Whose::Calloop => 0,
            Whose::Pool(link) => 1 << 32 | u64::from(link),
            Whose::Edge(conn) => 2 << 32 | u64::from(conn),
        }
    }

    fn of(word: u64) -> Whose {
        match word >> 32 {
            0 => Whose::Calloop,
            1 => Whose::Pool(word as u32),
            _ => Whose::Edge(word as u32),
        }
    }
}

/// What has come up for a stream.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    pub whose: Whose,
    pub readable: bool,
    pub writable: bool,
    /// The other side has ended, or it broke: all that is left is to be read.
    pub ended: bool,
    /// It is over in both directions. After an end of the other side a reset shows here alone: a read tells of the end
    /// again.
    pub broken: bool,
}

pub struct Waiter {
    set: OwnedFd,
}

impl Waiter {
    pub fn new(calloop: impl AsFd) -> io::Result<Waiter> {
        let set = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&set, calloop, EventData::new_u64(Whose::Calloop.word()), EventFlags::IN)?;
        Ok(Waiter { set })
    }

    /// Takes a stream in for good: it leaves the set when it is closed.
    pub fn add(&self, stream: impl AsFd, whose: Whose) -> io::Result<()> {
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        Ok(epoll::add(&self.set, stream, EventData::new_u64(whose.word()), flags)?)
    }

    /// Waits for as long as this at most, rounded up to whole milliseconds, which every kernel knows.
    pub fn wait(&self, into: &mut Vec<epoll::Event>, most: Duration) -> io::Result<()> {
        let ms = most.as_micros().div_ceil(1000).min(60_000) as i64;
        let timeout = Timespec { tv_sec: ms / 1000, tv_nsec: ms % 1000 * 1_000_000 };
        into.clear();
        into.reserve(EVENTS);
        match epoll::wait(&self.set, rustix::buffer::spare_capacity(into), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }
}

pub fn ready(event: &epoll::Event) -> Ready {
    let (flags, word) = (event.flags, event.data);
    let ended = flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
    Ready {
        whose: Whose::of(word.u64()),
        readable: ended || flags.contains(EventFlags::IN),
        writable: ended || flags.contains(EventFlags::OUT),
        ended,
        broken: flags.intersects(EventFlags::HUP | EventFlags::ERR),
    }
}
