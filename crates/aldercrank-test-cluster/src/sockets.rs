//! The sockets of the test cluster: listeners and streams in one epoll set, on one thread. This module moves bytes; the
//! testbed knows what each connection is for.

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

/// The maximum number of events that one wait returns.
const MAX_EVENTS: usize = 1024;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Set in the event data of listeners; the event data of a stream is its slab index.
const LISTENER_FLAG: u64 = 1 << 63;
/// Large, since the servers of a cluster start at the same time and all connect then.
const LISTEN_BACKLOG: i32 = 1024;

/// Identifies a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub u32);

/// A newly opened listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenListener {
    /// Its identifier.
    pub id: ListenerId,
    /// Where it listens.
    pub address: SocketAddr,
}

struct Listener {
    /// `None` while connections are refused.
    socket: Option<TcpListener>,
    address: SocketAddr,
}

struct Stream {
    stream: TcpStream,
    conn: ConnNo,
    output: Vec<u8>,
    /// How many bytes of `output` have been written.
    written: usize,
    connecting: bool,
    /// The events that the epoll set waits for.
    flags: EventFlags,
    /// Reading is paused.
    paused: bool,
    /// It is in `to_flush`.
    needs_flush: bool,
}

/// A socket event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEvent {
    /// A connection was accepted.
    Accepted(ListenerId, ConnNo),
    /// A connection was established.
    Connected(ConnNo),
    /// There are bytes to read, or the other side has closed the connection.
    Readable(ConnNo),
    /// A connection could not be established, or has failed.
    Failed(ConnNo),
}

/// The result of a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes are in the read buffer.
    Bytes(usize),
    /// There is nothing to read for now.
    WouldBlock,
    /// The connection has ended.
    Closed,
}

/// All listeners and streams of a test cluster.
pub struct SocketSet {
    epoll: OwnedFd,
    listeners: Vec<Listener>,
    streams: Slab<Stream>,
    stream_indices: HashMap<ConnNo, usize>,
    connections_made: u64,
    to_flush: Vec<ConnNo>,
    epoll_events: Vec<epoll::Event>,
    /// A connection could not be accepted because this process has no file descriptor left.
    pub out_of_descriptors: bool,
    /// The bytes of the last read.
    pub read_buffer: Vec<u8>,
}

impl SocketSet {
    /// An empty set.
    ///
    /// # Errors
    /// If the epoll instance can't be created.
    pub fn new() -> io::Result<SocketSet> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(SocketSet {
            epoll,
            listeners: Vec::new(),
            streams: Slab::new(),
            stream_indices: HashMap::new(),
            connections_made: 0,
            to_flush: Vec::new(),
            epoll_events: Vec::new(),
            out_of_descriptors: false,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Listens on a free port of an address.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn listen(&mut self, ip: &str) -> io::Result<OpenListener> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let id = ListenerId(self.listeners.len() as u32);
        self.listeners.push(Listener { socket: None, address });
        self.open(id, listener)?;
        Ok(OpenListener { id, address })
    }

    fn open(&mut self, id: ListenerId, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        rustix::net::listen(&listener, LISTEN_BACKLOG)?;
        epoll::add(
            &self.epoll,
            &listener,
            EventData::new_u64(LISTENER_FLAG | u64::from(id.0)),
            EventFlags::IN,
        )?;
        self.listeners[id.0 as usize].socket = Some(listener);
        Ok(())
    }

    /// Closes a listener, so that connections to it are refused.
    pub fn close_listener(&mut self, id: ListenerId) {
        self.listeners[id.0 as usize].socket = None;
    }

    /// Opens a closed listener again, at the same address.
    ///
    /// # Errors
    /// If the address can't be bound any more.
    pub fn reopen_listener(&mut self, id: ListenerId) -> io::Result<()> {
        if self.listeners[id.0 as usize].socket.is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.listeners[id.0 as usize].address)?;
        self.open(id, listener)
    }

    fn add_stream(&mut self, stream: TcpStream, connecting: bool) -> io::Result<ConnNo> {
        stream.set_nodelay(true)?;
        self.connections_made += 1;
        let conn = ConnNo(self.connections_made);
        let flags = if connecting { EventFlags::OUT } else { EventFlags::IN };
        let index = self.streams.vacant_key();
        epoll::add(&self.epoll, &stream, EventData::new_u64(index as u64), flags)?;
        self.streams.insert(Stream {
            stream,
            conn,
            output: Vec::new(),
            written: 0,
            connecting,
            flags,
            paused: false,
            needs_flush: false,
        });
        self.stream_indices.insert(conn, index);
        Ok(conn)
    }

    /// Begins to connect; `SocketEvent::Connected` or `Failed` follows.
    ///
    /// # Errors
    /// If connecting fails at once.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<ConnNo> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(e) => return Err(e),
        }
        self.add_stream(socket.into(), true)
    }

    fn stream(&mut self, conn: ConnNo) -> Option<&mut Stream> {
        let index = *self.stream_indices.get(&conn)?;
        self.streams.get_mut(index)
    }

    /// Queues bytes, which the next [`SocketSet::flush`] writes.
    pub fn send(&mut self, conn: ConnNo, bytes: &[u8]) {
        let Some(stream) = self.stream(conn) else { return };
        stream.output.extend_from_slice(bytes);
        if !std::mem::replace(&mut stream.needs_flush, true) {
            self.to_flush.push(conn);
        }
    }

    /// Writes the queued bytes as far as possible without waiting, and closes the connection.
    pub fn close(&mut self, conn: ConnNo) {
        self.flush_one(conn);
        self.drop_stream(conn);
    }

    /// Closes a connection by a reset.
    pub fn reset(&mut self, conn: ConnNo) {
        if let Some(stream) = self.stream(conn) {
            let _ = SockRef::from(&stream.stream).set_linger(Some(Duration::ZERO));
        }
        self.drop_stream(conn);
    }

    fn drop_stream(&mut self, conn: ConnNo) {
        if let Some(index) = self.stream_indices.remove(&conn) {
            let stream = self.streams.remove(index);
            let _ = epoll::delete(&self.epoll, &stream.stream);
        }
    }

    /// Removes a connection that the other side has closed from the epoll set, since its close is handled later.
    pub fn stop_polling(&mut self, conn: ConnNo) {
        if let Some(&index) = self.stream_indices.get(&conn) {
            let _ = epoll::delete(&self.epoll, &self.streams[index].stream);
        }
    }

    /// Pauses or resumes reading from a connection.
    pub fn set_paused(&mut self, conn: ConnNo, paused: bool) {
        if let Some(stream) = self.stream(conn) {
            stream.paused = paused;
            self.update_interest(conn);
        }
    }

    fn update_interest(&mut self, conn: ConnNo) {
        let Some(&index) = self.stream_indices.get(&conn) else { return };
        let Some(stream) = self.streams.get_mut(index) else { return };
        let mut flags = EventFlags::empty();
        if stream.connecting || stream.written < stream.output.len() {
            flags |= EventFlags::OUT;
        }
        if !stream.connecting && !stream.paused {
            flags |= EventFlags::IN;
        }
        if flags != stream.flags {
            stream.flags = flags;
            let _ = epoll::modify(&self.epoll, &stream.stream, EventData::new_u64(index as u64), flags);
        }
    }

    fn flush_one(&mut self, conn: ConnNo) {
        let Some(stream) = self.stream(conn) else { return };
        stream.needs_flush = false;
        while !stream.connecting && stream.written < stream.output.len() {
            match stream.stream.write(&stream.output[stream.written..]) {
                Ok(n) => stream.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // The next read reports the failure.
                Err(_) => break,
            }
        }
        if stream.written == stream.output.len() {
            stream.written = 0;
            stream.output.clear();
        }
        self.update_interest(conn);
    }

    /// Writes the queued bytes of all connections, as far as possible without waiting.
    pub fn flush(&mut self) {
        for conn in std::mem::take(&mut self.to_flush) {
            self.flush_one(conn);
        }
    }

    /// Reads into the read buffer.
    pub fn read(&mut self, conn: ConnNo) -> ReadOutcome {
        let Some(&index) = self.stream_indices.get(&conn) else { return ReadOutcome::WouldBlock };
        let Some(stream) = self.streams.get_mut(index) else { return ReadOutcome::WouldBlock };
        match stream.stream.read(&mut self.read_buffer) {
            Ok(0) => ReadOutcome::Closed,
            Ok(length) => ReadOutcome::Bytes(length),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                ReadOutcome::WouldBlock
            }
            Err(_) => ReadOutcome::Closed,
        }
    }

    /// Flushes, waits for events for at most `limit`, and appends them to `into`.
    ///
    /// # Errors
    /// If `epoll_wait` fails.
    pub fn wait(&mut self, limit: Duration, into: &mut Vec<SocketEvent>) -> io::Result<()> {
        self.flush();
        let timeout = Timespec { tv_sec: limit.as_secs() as i64, tv_nsec: i64::from(limit.subsec_nanos()) };
        let mut events = std::mem::take(&mut self.epoll_events);
        events.clear();
        events.reserve(MAX_EVENTS);
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        for event in &events {
            let data = event.data.u64();
            if data & LISTENER_FLAG != 0 {
                self.accept(ListenerId(data as u32), into);
            } else if let Some(conn) = self.streams.get(data as usize).map(|stream| stream.conn) {
                self.stream_ready(conn, event.flags, into);
            }
        }
        self.epoll_events = events;
        Ok(())
    }

    fn accept(&mut self, id: ListenerId, into: &mut Vec<SocketEvent>) {
        loop {
            let Some(listener) = &self.listeners[id.0 as usize].socket else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.raw_os_error() == Some(rustix::io::Errno::MFILE.raw_os_error()) => {
                    self.out_of_descriptors = true;
                    return;
                }
                Err(_) => return,
            };
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            if let Ok(conn) = self.add_stream(stream, false) {
                into.push(SocketEvent::Accepted(id, conn));
            }
        }
    }

    fn stream_ready(&mut self, conn: ConnNo, flags: EventFlags, into: &mut Vec<SocketEvent>) {
        let Some(stream) = self.stream(conn) else { return };
        if stream.connecting {
            let error = stream.stream.take_error();
            let connected = matches!(error, Ok(None)) && stream.stream.peer_addr().is_ok();
            if !connected {
                return into.push(SocketEvent::Failed(conn));
            }
            stream.connecting = false;
            into.push(SocketEvent::Connected(conn));
            return self.flush_one(conn);
        }
        if flags.contains(EventFlags::OUT) {
            self.flush_one(conn);
        }
        let Some(stream) = self.stream(conn) else { return };
        let has_ended = flags.intersects(EventFlags::HUP | EventFlags::ERR);
        match (flags.contains(EventFlags::IN), has_ended) {
            (true, _) if !stream.paused => into.push(SocketEvent::Readable(conn)),
            (_, true) => into.push(SocketEvent::Failed(conn)),
            _ => {}
        }
    }
}
