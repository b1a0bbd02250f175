//! The epoll instance that the server waits on.
//!
//! The streams that carry requests are registered here, edge-triggered, with a tag that identifies their owner. The
//! calloop event loop serves everything that is rare and is one more descriptor in this set. Waiting in calloop itself
//! would set a timer and renew two interests each time: five system calls where one suffices (docs/cost.md).

use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// The most events that one wait returns.
const MAX_EVENTS: usize = 256;
/// The longest single wait, in milliseconds.
const MAX_WAIT_MS: u128 = 60_000;

/// Which part of the server a stream belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamOwner {
    /// The calloop event loop.
    EventLoop,
    /// The link to the worker pool with this number.
    WorkerPool(u32),
    /// The connection from an edge node with this id.
    Edge(u32),
}

impl StreamOwner {
    fn tag(self) -> u64 {
        match self {
            StreamOwner::EventLoop => 0,
            StreamOwner::WorkerPool(link) => 1 << 32 | u64::from(link),
            StreamOwner::Edge(conn) => 2 << 32 | u64::from(conn),
        }
    }

    fn from_tag(tag: u64) -> StreamOwner {
        match tag >> 32 {
            0 => StreamOwner::EventLoop,
            1 => StreamOwner::WorkerPool(tag as u32),
            _ => StreamOwner::Edge(tag as u32),
        }
    }
}

/// What became possible on a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamEvent {
    pub(super) owner: StreamOwner,
    pub(super) readable: bool,
    pub(super) writable: bool,
    /// The peer has closed its write side, or the connection failed; input that was received before can still be read.
    pub(super) ended: bool,
    /// Both directions are closed, or the connection failed. Only this reveals a reset that follows the peer's close: a
    /// read would report the close again.
    pub(super) broken: bool,
}

impl From<&epoll::Event> for StreamEvent {
    fn from(event: &epoll::Event) -> StreamEvent {
        let (flags, data) = (event.flags, event.data);
        let ended = flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
        StreamEvent {
            owner: StreamOwner::from_tag(data.u64()),
            readable: ended || flags.contains(EventFlags::IN),
            writable: ended || flags.contains(EventFlags::OUT),
            ended,
            broken: flags.intersects(EventFlags::HUP | EventFlags::ERR),
        }
    }
}

/// An epoll instance.
pub(super) struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// Creates an instance that watches the calloop event loop.
    pub(super) fn new(event_loop: impl AsFd) -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let data = EventData::new_u64(StreamOwner::EventLoop.tag());
        epoll::add(&epoll, event_loop, data, EventFlags::IN)?;
        Ok(Poller { epoll })
    }

    /// Watches a stream, edge-triggered, until it is closed.
    pub(super) fn add(&self, stream: impl AsFd, owner: StreamOwner) -> io::Result<()> {
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        Ok(epoll::add(&self.epoll, stream, EventData::new_u64(owner.tag()), flags)?)
    }

    /// Waits for events for at most `timeout`, rounded up to whole milliseconds, which every kernel supports.
    pub(super) fn wait(&self, events: &mut Vec<epoll::Event>, timeout: Duration) -> io::Result<()> {
        let ms = timeout.as_micros().div_ceil(1000).min(MAX_WAIT_MS) as i64;
        let timeout = Timespec { tv_sec: ms / 1000, tv_nsec: ms % 1000 * 1_000_000 };
        events.clear();
        events.reserve(MAX_EVENTS);
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }
}
