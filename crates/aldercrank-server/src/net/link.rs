//! One TCP connection in the loop: non-blocking, with what is read and what is still to be written.

use super::Server;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

pub type Loop = LoopHandle<'static, Server>;

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// There may be more.
    More,
    Dry,
    /// The other side has closed, or the connection broke.
    End,
}

const CHUNK: usize = 16 * 1024;

pub struct Link {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    pub input: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    began: bool,
    connecting: bool,
}

impl Link {
    /// Takes a connection into the loop; `on` is called when it can be read or written.
    pub fn new(
        on_loop: &Loop,
        stream: TcpStream,
        on: impl FnMut(Readiness, &mut Server) + 'static,
    ) -> io::Result<Link> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Link::insert(on_loop, stream, false, on)
    }

    /// Begins to connect; the first word that it can be written to says how that went.
    pub fn dial(
        on_loop: &Loop,
        to: SocketAddr,
        on: impl FnMut(Readiness, &mut Server) + 'static,
    ) -> io::Result<Link> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            // EINPROGRESS has no kind of its own in older standard libraries.
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => {}
            Err(e) => return Err(e),
        }
        Link::insert(on_loop, socket.into(), true, on)
    }

    fn insert(
        on_loop: &Loop,
        stream: TcpStream,
        connecting: bool,
        mut on: impl FnMut(Readiness, &mut Server) + 'static,
    ) -> io::Result<Link> {
        let stream = Rc::new(stream);
        // Edge mode: each event is followed until the socket is dry or full, and interest never changes.
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = on_loop
            .insert_source(source, move |ready, _, server| {
                on(ready, server);
                Ok(PostAction::Continue)
            })
            .map_err(|e| e.error)?;
        Ok(Link { stream, token, input: Vec::new(), out: Vec::new(), sent: 0, began: false, connecting })
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
        self.out.len() - self.sent
    }

    /// Whether any byte has been written.
    pub fn began(&self) -> bool {
        self.began
    }

    /// Lets `write` add to what is to be written, and writes what can be.
    pub fn say(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.out);
        self.flush();
    }

    /// An error shows at the next read; nothing is to be done about it here.
    pub fn flush(&mut self) {
        while self.sent < self.out.len() && !self.connecting {
            match (&*self.stream).write(&self.out[self.sent..]) {
                Ok(n) if n > 0 => (self.sent, self.began) = (self.sent + n, true),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => break,
            }
        }
        if self.sent == self.out.len() {
            self.out.clear();
            self.sent = 0;
            // A burst's room is given back.
            if self.out.capacity() > 4 * CHUNK {
                self.out.shrink_to(CHUNK);
            }
        } else if self.sent > CHUNK {
            self.out.drain(..self.sent);
            self.sent = 0;
        }
    }

    /// Reads once, up to a chunk.
    pub fn fill(&mut self) -> Fill {
        let mut chunk = [0; CHUNK];
        loop {
            return match (&*self.stream).read(&mut chunk) {
                Ok(0) => Fill::End,
                Ok(n) => {
                    self.input.extend(&chunk[..n]);
                    Fill::More
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => Fill::Dry,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => Fill::End,
            };
        }
    }

    /// Ends what we say, so that the other side reads all of it before it closes.
    pub fn hush(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub fn close(self, on_loop: &Loop) {
        on_loop.remove(self.token);
    }
}

/// Cuts off the front what was taken, and gives back the room of what is gone.
pub fn keep_rest(mut input: Vec<u8>, taken: usize) -> Vec<u8> {
    if taken >= input.len() {
        return Vec::new();
    }
    input.drain(..taken);
    input
}
