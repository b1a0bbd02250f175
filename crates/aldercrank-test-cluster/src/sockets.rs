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

/// The most events that one wait returns.
const MAX_EVENTS: usize = 1024;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Set in the event data of listeners; that of streams is their index.
const LISTENER_FLAG: u64 = 1 << 63;
/// A cluster that starts at once connects at once.
const LISTEN_BACKLOG: i32 = 1024;

/// A listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PortNo(pub u32);

/// A listener that was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenListener {
    /// Its number.
    pub port: PortNo,
    /// Where it listens.
    pub address: SocketAddr,
}

struct Port {
    /// `None` while connections are refused.
    listener: Option<TcpListener>,
    address: SocketAddr,
}

struct Stream {
    stream: TcpStream,
    conn: ConnNo,
    output: Vec<u8>,
    /// How much of `output` is written.
    written: usize,
    connecting: bool,
    /// What the epoll set waits for.
    flags: EventFlags,
    /// It is not read.
    paused: bool,
    /// It is to be flushed at the end of the turn.
    needs_flush: bool,
}

/// A socket event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEvent {
    /// A connection was accepted.
    Accepted(PortNo, ConnNo),
    /// A connection was established.
    Connected(ConnNo),
    /// There are bytes to read, or the other side has closed.
    Readable(ConnNo),
    /// It could not be established, or has failed.
    Failed(ConnNo),
}

/// The result of a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes are in the read buffer.
    Bytes(usize),
    /// Nothing for now.
    WouldBlock,
    /// The connection has ended.
    Closed,
}

/// All listeners and streams of a test cluster.
pub struct SocketSet {
    epoll: OwnedFd,
    ports: Vec<Port>,
    streams: Slab<Stream>,
    stream_indices: HashMap<ConnNo, usize>,
    connections_made: u64,
    to_flush: Vec<ConnNo>,
    epoll_events: Vec<epoll::Event>,
    /// There was no descriptor for a connection that was to be accepted.
    pub out_of_descriptors: bool,
    /// The bytes of the last read.
    pub read_buffer: Vec<u8>,
}

impl SocketSet {
    /// An empty set.
    ///
    /// # Errors
    /// If the kernel can't create it.
    pub fn new() -> io::Result<SocketSet> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(SocketSet {
            epoll,
            ports: Vec::new(),
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
        let port = PortNo(self.ports.len() as u32);
        self.ports.push(Port { listener: None, address });
        self.open(port, listener)?;
        Ok(OpenListener { port, address })
    }

    fn open(&mut self, port: PortNo, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        rustix::net::listen(&listener, LISTEN_BACKLOG)?;
        epoll::add(
            &self.epoll,
            &listener,
            EventData::new_u64(LISTENER_FLAG | u64::from(port.0)),
            EventFlags::IN,
        )?;
        self.ports[port.0 as usize].listener = Some(listener);
        Ok(())
    }

    /// Closes a listener, so that connections to it are refused.
    pub fn close_listener(&mut self, port: PortNo) {
        self.ports[port.0 as usize].listener = None;
    }

    /// Opens a closed listener again, at the same address.
    ///
    /// # Errors
    /// If the address can't be bound any more.
    pub fn reopen_listener(&mut self, port: PortNo) -> io::Result<()> {
        if self.ports[port.0 as usize].listener.is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.ports[port.0 as usize].address)?;
        self.open(port, listener)
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

    /// Begins a connection; `SocketEvent::Connected` or `Failed` follows.
    ///
    /// # Errors
    /// If it fails at once.
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

    /// Queues bytes, which are written at the end of the turn.
    pub fn send(&mut self, conn: ConnNo, bytes: &[u8]) {
        let Some(stream) = self.stream(conn) else { return };
        stream.output.extend_from_slice(bytes);
        if !std::mem::replace(&mut stream.needs_flush, true) {
            self.to_flush.push(conn);
        }
    }

    /// Writes what is queued as far as possible without waiting, and closes the connection.
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

    /// Removes a connection from the epoll set: the other side has closed it, and that is handled later.
    pub fn stop_polling(&mut self, conn: ConnNo) {
        if let Some(&index) = self.stream_indices.get(&conn) {
            let _ = epoll::delete(&self.epoll, &self.streams[index].stream);
        }
    }

    /// Sets whether a connection is left unread.
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
                // A failure shows at the next read.
                Err(_) => break,
            }
        }
        if stream.written == stream.output.len() {
            stream.written = 0;
            stream.output.clear();
        }
        self.update_interest(conn);
    }

    /// Writes what is queued, as far as possible without waiting.
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
    /// If the kernel can't wait.
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
                self.accept(PortNo(data as u32), into);
            } else if let Some(conn) = self.streams.get(data as usize).map(|stream| stream.conn) {
                self.stream_ready(conn, event.flags, into);
            }
        }
        self.epoll_events = events;
        Ok(())
    }

    fn accept(&mut self, port: PortNo, into: &mut Vec<SocketEvent>) {
        loop {
            let Some(listener) = &self.ports[port.0 as usize].listener else { return };
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
                into.push(SocketEvent::Accepted(port, conn));
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
