//! The rig's sockets: many listeners and streams in one epoll set, on one thread. It carries bytes and decides
//! nothing; whose a stream is, and what is done to it, the rig knows.

use crate::ids::ConnNo;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;
use slab::Slab;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

const EVENTS: usize = 1024;
const CHUNK: usize = 64 * 1024;
const LISTENERS: u64 = 1 << 63;

/// A listener of the rig's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PortNo(pub u32);

struct Port {
    listener: Option<TcpListener>,
    addr: SocketAddr,
}

struct Stream {
    stream: TcpStream,
    number: ConnNo,
    out: Vec<u8>,
    sent: usize,
    connecting: bool,
    /// What the set waits for.
    flags: EventFlags,
    paused: bool,
    dirty: bool,
}

/// What has come up.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    Accepted(PortNo, ConnNo),
    Stood(ConnNo),
    /// There is something to read: `read` takes it.
    Readable(ConnNo),
    /// It never stood, or it broke.
    Broke(ConnNo),
}

/// What a read gave.
#[derive(Debug, PartialEq, Eq)]
pub enum Got {
    Bytes,
    Dry,
    End,
}

pub struct Net {
    set: OwnedFd,
    ports: Vec<Port>,
    streams: Slab<Stream>,
    by_number: HashMap<ConnNo, usize>,
    next: u64,
    dirty: Vec<ConnNo>,
    events: Vec<epoll::Event>,
    /// There were no descriptors left for a connection that came.
    pub full: bool,
    pub chunk: Vec<u8>,
}

impl Net {
    pub fn new() -> io::Result<Net> {
        let set = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Net {
            set,
            ports: Vec::new(),
            streams: Slab::new(),
            by_number: HashMap::new(),
            next: 0,
            dirty: Vec::new(),
            events: Vec::new(),
            full: false,
            chunk: vec![0; CHUNK],
        })
    }

    /// Listens on a free port of this address.
    pub fn listen(&mut self, ip: &str) -> io::Result<(PortNo, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let port = PortNo(self.ports.len() as u32);
        self.ports.push(Port { listener: None, addr });
        self.open(port, listener)?;
        Ok((port, addr))
    }

    fn open(&mut self, port: PortNo, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        // A fleet that starts at once connects at once.
        rustix::net::listen(&listener, 1024)?;
        epoll::add(&self.set, &listener, EventData::new_u64(LISTENERS | u64::from(port.0)), EventFlags::IN)?;
        self.ports[port.0 as usize].listener = Some(listener);
        Ok(())
    }

    /// Connections to it are refused from now on.
    pub fn refuse(&mut self, port: PortNo) {
        self.ports[port.0 as usize].listener = None;
    }

    /// They are taken again, at the same place.
    pub fn admit(&mut self, port: PortNo) -> io::Result<()> {
        if self.ports[port.0 as usize].listener.is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.ports[port.0 as usize].addr)?;
        self.open(port, listener)
    }

    fn keep(&mut self, stream: TcpStream, connecting: bool) -> io::Result<ConnNo> {
        stream.set_nodelay(true)?;
        self.next += 1;
        let number = ConnNo(self.next);
        let flags = if connecting { EventFlags::OUT } else { EventFlags::IN };
        let at = self.streams.vacant_key();
        epoll::add(&self.set, &stream, EventData::new_u64(at as u64), flags)?;
        self.streams.insert(Stream {
            stream,
            number,
            out: Vec::new(),
            sent: 0,
            connecting,
            flags,
            paused: false,
            dirty: false,
        });
        self.by_number.insert(number, at);
        Ok(number)
    }

    /// Begins a connection.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<ConnNo> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(e) => return Err(e),
        }
        self.keep(socket.into(), true)
    }

    fn at(&mut self, conn: ConnNo) -> Option<&mut Stream> {
        let at = *self.by_number.get(&conn)?;
        self.streams.get_mut(at)
    }

    /// What is said goes out at the end of the turn.
    pub fn send(&mut self, conn: ConnNo, bytes: &[u8]) {
        let Some(stream) = self.at(conn) else { return };
        stream.out.extend_from_slice(bytes);
        if !std::mem::replace(&mut stream.dirty, true) {
            self.dirty.push(conn);
        }
    }

    /// What is unsent is tried once more, and the connection ends.
    pub fn close(&mut self, conn: ConnNo) {
        self.flush_one(conn);
        self.drop_stream(conn);
    }

    /// Ends it by a reset.
    pub fn reset(&mut self, conn: ConnNo) {
        if let Some(stream) = self.at(conn) {
            let _ = SockRef::from(&stream.stream).set_linger(Some(Duration::ZERO));
        }
        self.drop_stream(conn);
    }

    fn drop_stream(&mut self, conn: ConnNo) {
        if let Some(at) = self.by_number.remove(&conn) {
            let stream = self.streams.remove(at);
            let _ = epoll::delete(&self.set, &stream.stream);
        }
    }

    /// Nothing more of it is waited for: its other side has ended, and that is not to be heard yet.
    pub fn deaf(&mut self, conn: ConnNo) {
        if let Some(&at) = self.by_number.get(&conn) {
            let _ = epoll::delete(&self.set, &self.streams[at].stream);
        }
    }

    /// Leaves what is said on it unread, or reads it again.
    pub fn pause(&mut self, conn: ConnNo, paused: bool) {
        if let Some(stream) = self.at(conn) {
            stream.paused = paused;
            self.interest(conn);
        }
    }

    fn interest(&mut self, conn: ConnNo) {
        let Some(&at) = self.by_number.get(&conn) else { return };
        let Some(stream) = self.streams.get_mut(at) else { return };
        let mut flags = EventFlags::empty();
        if stream.connecting || stream.sent < stream.out.len() {
            flags |= EventFlags::OUT;
        }
        if !stream.connecting && !stream.paused {
            flags |= EventFlags::IN;
        }
        if flags != stream.flags {
            stream.flags = flags;
            let _ = epoll::modify(&self.set, &stream.stream, EventData::new_u64(at as u64), flags);
        }
    }

    fn flush_one(&mut self, conn: ConnNo) {
        let Some(stream) = self.at(conn) else { return };
        stream.dirty = false;
        while !stream.connecting && stream.sent < stream.out.len() {
            match stream.stream.write(&stream.out[stream.sent..]) {
                Ok(n) => stream.sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // A break shows at the next read.
                Err(_) => break,
            }
        }
        if stream.sent == stream.out.len() {
            (stream.sent, _) = (0, stream.out.clear());
        }
        self.interest(conn);
    }

    pub fn flush(&mut self) {
        for conn in std::mem::take(&mut self.dirty) {
            self.flush_one(conn);
        }
    }

    /// Reads what is there into `chunk`; gives how many bytes.
    pub fn read(&mut self, conn: ConnNo) -> (Got, usize) {
        let Some(&at) = self.by_number.get(&conn) else { return (Got::Dry, 0) };
        let Some(stream) = self.streams.get_mut(at) else { return (Got::Dry, 0) };
        match stream.stream.read(&mut self.chunk) {
            Ok(0) => (Got::End, 0),
            Ok(n) => (Got::Bytes, n),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => (Got::Dry, 0),
            Err(_) => (Got::End, 0),
        }
    }

    /// Waits for as long as this at most, and says what has come up.
    pub fn wait(&mut self, most: Duration, into: &mut Vec<Event>) -> io::Result<()> {
        self.flush();
        let timeout = Timespec { tv_sec: most.as_secs() as i64, tv_nsec: i64::from(most.subsec_nanos()) };
        let mut events = std::mem::take(&mut self.events);
        events.clear();
        events.reserve(EVENTS);
        match epoll::wait(&self.set, rustix::buffer::spare_capacity(&mut events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        for event in &events {
            let word = event.data.u64();
            if word & LISTENERS != 0 {
                self.accept(PortNo(word as u32), into);
            } else if let Some(number) = self.streams.get(word as usize).map(|s| s.number) {
                self.ready(number, event.flags, into);
            }
        }
        self.events = events;
        Ok(())
    }

    fn accept(&mut self, port: PortNo, into: &mut Vec<Event>) {
        loop {
            let Some(listener) = &self.ports[port.0 as usize].listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.raw_os_error() == Some(rustix::io::Errno::MFILE.raw_os_error()) => {
                    // Left alone, it would be told of again and again; it is looked at anew with the next event.
                    self.full = true;
                    return;
                }
                Err(_) => return,
            };
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            if let Ok(conn) = self.keep(stream, false) {
                into.push(Event::Accepted(port, conn));
            }
        }
    }

    fn ready(&mut self, conn: ConnNo, flags: EventFlags, into: &mut Vec<Event>) {
        let Some(stream) = self.at(conn) else { return };
        if stream.connecting {
            let error = stream.stream.take_error();
            let stood = matches!(error, Ok(None)) && stream.stream.peer_addr().is_ok();
            if !stood {
                return into.push(Event::Broke(conn));
            }
            stream.connecting = false;
            into.push(Event::Stood(conn));
            return self.flush_one(conn);
        }
        if flags.contains(EventFlags::OUT) {
            self.flush_one(conn);
        }
        let Some(stream) = self.at(conn) else { return };
        let over = flags.intersects(EventFlags::HUP | EventFlags::ERR);
        match (flags.contains(EventFlags::IN), over) {
            (true, _) if !stream.paused => into.push(Event::Readable(conn)),
            (_, true) => into.push(Event::Broke(conn)),
            _ => {}
        }
    }
}
