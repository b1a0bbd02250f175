//! One non-blocking TCP connection with its partly read input and its unsent output.

use super::poller::{Poller, StreamOwner};
use super::Server;
use crate::payload::OutputBuffer;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use rustix::io::retry_on_intr;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// Handle of the event loop that serves this server's sockets.
pub(super) type EventLoopHandle = LoopHandle<'static, Server>;

/// Size of the read buffer that all connections share, in bytes.
pub(super) const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Capacity that a connection keeps for partly read input, in bytes.
const KEPT_INPUT_BYTES: usize = 1024;
/// `EINPROGRESS`, which older standard libraries map to no error kind of its own.
const EINPROGRESS: i32 = 115;

/// Outcome of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No data is available now.
    WouldBlock,
    /// The peer has shut down its write side; it may still read.
    Closed,
    /// The connection was reset or failed.
    Broken,
}

impl From<rustix::io::Result<usize>> for ReadOutcome {
    fn from(read: rustix::io::Result<usize>) -> ReadOutcome {
        match read {
            Ok(0) => ReadOutcome::Closed,
            Ok(length) => ReadOutcome::Bytes(length),
            Err(rustix::io::Errno::AGAIN) => ReadOutcome::WouldBlock,
            Err(_) => ReadOutcome::Broken,
        }
    }
}

/// A TCP connection, accepted or outgoing.
pub(super) struct Connection {
    stream: Rc<TcpStream>,
    /// Registration with the event loop, for connections that it serves.
    token: Option<RegistrationToken>,
    /// Bytes that were read and don't form a complete message yet.
    pub(super) input: Vec<u8>,
    /// Bytes to send.
    pub(super) output: OutputBuffer,
    connecting: bool,
    /// The connection was reset. The kernel reports that once; a later read would look like an orderly close.
    broken: bool,
}

impl Connection {
    fn new(stream: TcpStream, connecting: bool) -> Connection {
        Connection {
            stream: Rc::new(stream),
            token: None,
            input: Vec::new(),
            output: OutputBuffer::default(),
            connecting,
            broken: false,
        }
    }

    /// Wraps an accepted stream.
    pub(super) fn accepted(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Connection::new(stream, false))
    }

    /// Starts to connect. The outcome is known at the first event of the socket, see [`Connection::finish_connecting`].
    pub(super) fn connect(address: SocketAddr) -> io::Result<Connection> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Ok(Connection::new(socket.into(), true))
    }

    /// Registers the stream with the poller, which serves the request path.
    pub(super) fn register_with_poller(&self, poller: &Poller, owner: StreamOwner) -> io::Result<()> {
        poller.add(&*self.stream, owner)
    }

    /// Registers the stream with the event loop; `on_event` is called when it can be read or written.
    pub(super) fn register_with_loop(
        &mut self,
        event_loop: &EventLoopHandle,
        mut on_event: impl FnMut(Readiness, &mut Server) + 'static,
    ) -> io::Result<()> {
        // Edge-triggered: each event is handled until the socket would block, so the interest never changes.
        let source = Generic::new(self.stream.clone(), Interest::BOTH, Mode::Edge);
        let callback = move |readiness: Readiness, _: &mut _, server: &mut Server| {
            on_event(readiness, server);
            Ok(PostAction::Continue)
        };
        self.token = Some(event_loop.insert_source(source, callback).map_err(|e| e.error)?);
        Ok(())
    }

    /// Checks whether the connection is established. An error means that connecting failed.
    pub(super) fn finish_connecting(&mut self) -> io::Result<()> {
        if self.connecting {
            if let Some(e) = self.stream.take_error()? {
                return Err(e);
            }
            self.stream.peer_addr()?;
            self.connecting = false;
        }
        Ok(())
    }

    /// Whether the connection is not established yet.
    pub(super) fn is_connecting(&self) -> bool {
        self.connecting
    }

    /// Bytes that have not been written yet.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.output.pending_bytes()
    }

    /// Bytes that have been written since the connection was made.
    pub(super) fn written_bytes(&self) -> u64 {
        self.output.written_bytes()
    }

    /// Whether any byte has been written.
    pub(super) fn has_written(&self) -> bool {
        self.output.written_bytes() > 0
    }

    /// Writes as much as the socket accepts. After an error, reads return what was received and then
    /// [`ReadOutcome::Broken`].
    pub(super) fn flush(&mut self) {
        while self.output.pending_bytes() > 0 && !self.connecting {
            match self.output.write_to(&*self.stream) {
                Ok(written) if written > 0 => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() != ErrorKind::WouldBlock => {
                    self.mark_broken();
                    break;
                }
                _ => break,
            }
        }
    }

    /// Marks the connection as reset. Reads return the data that is left before they return [`ReadOutcome::Broken`].
    pub(super) fn mark_broken(&mut self) {
        self.broken = true;
    }

    /// Reads once into the front of `buffer`.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        match retry_on_intr(|| rustix::io::read(&*self.stream, &mut *buffer)).into() {
            ReadOutcome::Closed if self.broken => ReadOutcome::Broken,
            outcome => outcome,
        }
    }

    /// Reads once and appends to the partly read input, within its spare capacity.
    pub(super) fn read_into_input(&mut self) -> ReadOutcome {
        let input = &mut self.input;
        retry_on_intr(|| rustix::io::read(&*self.stream, rustix::buffer::spare_capacity(input))).into()
    }

    /// Shuts down the write side, so that the peer can read all that was written and then closes.
    pub(super) fn shut_down_writing(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection. Unsent bytes are written first, as far as the socket accepts them.
    pub(super) fn close(mut self, event_loop: &EventLoopHandle) {
        self.flush();
        if let Some(token) = self.token {
            event_loop.remove(token);
        }
    }
}

/// Removes `consumed` bytes from the front of `input`, and releases its capacity once it is empty.
pub(super) fn discard_consumed(mut input: Vec<u8>, consumed: usize) -> Vec<u8> {
    input.drain(..consumed.min(input.len()));
    if input.is_empty() {
        input.shrink_to(KEPT_INPUT_BYTES);
    }
    input
}
