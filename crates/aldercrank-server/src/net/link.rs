//! One TCP connection: non-blocking, with what is read in part and what is still to be written.

use super::wait::{Waiter, Whose};
use super::Server;
use crate::payload::OutputBuffer;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use rustix::io::retry_on_intr;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

pub type Loop = LoopHandle<'static, Server>;

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    Bytes(usize),
    /// Nothing is there.
    Dry,
    /// The other side says no more; it may still read.
    End,
    /// The connection broke.
    ProtocolError,
}

impl Got {
    fn of(read: rustix::io::Result<usize>) -> Got {
        match read {
            Ok(0) => Got::End,
            Ok(n) => Got::Bytes(n),
            Err(rustix::io::Errno::AGAIN) => Got::Dry,
            Err(_) => Got::ProtocolError,
        }
    }
}

/// What is read at once, into a buffer that all connections share.
pub const CHUNK: usize = 64 * 1024;
/// Room that a connection keeps for what it has read in part.
const KEPT: usize = 1024;

pub struct Link {
    stream: Rc<TcpStream>,
    /// Where calloop carries it.
    token: Option<RegistrationToken>,
    /// What has been read and is not whole.
    pub input: Vec<u8>,
    pub out: OutputBuffer,
    connecting: bool,
    /// It was reset. The system tells of that once, so a later read would take it for an end.
    broken: bool,
}

impl Link {
    fn of(stream: TcpStream, connecting: bool) -> Link {
        let (stream, out) = (Rc::new(stream), OutputBuffer::default());
        Link { stream, token: None, input: Vec::new(), out, connecting, broken: false }
    }

    /// Takes a connection that was accepted.
    pub fn accepted(stream: TcpStream) -> io::Result<Link> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Link::of(stream, false))
    }

    /// Begins to connect; the first word that it can be written to says how that went.
    pub fn dial(to: SocketAddr) -> io::Result<Link> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            // EINPROGRESS has no kind of its own in older standard libraries.
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => {}
            Err(e) => return Err(e),
        }
        Ok(Link::of(socket.into(), true))
    }

    /// Hangs it in the set of streams that carry txns.
    pub fn wait_in(&self, waiter: &Waiter, whose: Whose) -> io::Result<()> {
        waiter.add(&*self.stream, whose)
    }

    /// Gives it to calloop; `on` is called when it can be read or written.
    pub fn on_loop(
        &mut self,
        on_loop: &Loop,
        mut on: impl FnMut(Readiness, &mut Server) + 'static,
    ) -> io::Result<()> {
        // Edge mode: each event is followed until the socket is dry or full, and interest never changes.
        let source = Generic::new(self.stream.clone(), Interest::BOTH, Mode::Edge);
        let followed = move |ready: Readiness, _: &mut _, server: &mut Server| {
            on(ready, server);
            Ok(PostAction::Continue)
        };
        self.token = Some(on_loop.insert_source(source, followed).map_err(|e| e.error)?);
        Ok(())
    }

    /// Whether connecting has come to its end, well or not.
    pub fn connected(&mut self) -> io::Result<()> {
        if self.connecting {
            if let Some(e) = self.stream.take_error()? {
                return Err(e);
            }
            self.stream.peer_addr()?;
            self.connecting = false;
        }
        Ok(())
    }

    pub fn connecting(&self) -> bool {
        self.connecting
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.out.waiting()
    }

    /// Bytes that have been written.
    pub fn written(&self) -> u64 {
        self.out.written()
    }

    /// Whether any byte has been written.
    pub fn began(&self) -> bool {
        self.out.written() > 0
    }

    /// Writes what can be. An error shows at the next read.
    pub fn flush(&mut self) {
        while self.out.waiting() > 0 && !self.connecting {
            match self.out.write_to(&*self.stream) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() != ErrorKind::WouldBlock => {
                    self.broke();
                    break;
                }
                _ => break,
            }
        }
    }

    /// It was reset: what can still be read comes before that shows.
    pub fn broke(&mut self) {
        self.broken = true;
    }

    /// Reads once, into the front of `into`.
    pub fn read(&mut self, into: &mut [u8]) -> Got {
        match Got::of(retry_on_intr(|| rustix::io::read(&*self.stream, &mut *into))) {
            Got::End if self.broken => Got::ProtocolError,
            got => got,
        }
    }

    /// Reads once, behind what is left, no further than the room that was made for it.
    pub fn read_on(&mut self) -> Got {
        let input = &mut self.input;
        Got::of(retry_on_intr(|| rustix::io::read(&*self.stream, rustix::buffer::spare_capacity(input))))
    }

    /// Ends what we say, so that the other side reads all of it before it closes.
    pub fn hush(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// What is still unsent goes out if it can.
    pub fn close(mut self, on_loop: &Loop) {
        self.flush();
        if let Some(token) = self.token {
            on_loop.remove(token);
        }
    }
}

/// Cuts off the front what was taken, and gives back the room of what is gone.
pub fn keep_rest(mut input: Vec<u8>, taken: usize) -> Vec<u8> {
    input.drain(..taken.min(input.len()));
    if input.is_empty() {
        input.shrink_to(KEPT);
    }
    input
}
