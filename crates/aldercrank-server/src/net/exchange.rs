//! One question in HTTP on a connection of its own, and its one answer: a call to the index, a report.

use super::link::{Got, Link, Loop};
use super::Server;
use crate::http::{Response, ResponseReader};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// How it ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection never stood, or ended before the first byte could be written.
    NeverAsked,
    Closed,
    Unreadable(&'static str),
}

pub struct Exchange {
    link: Link,
    reader: ResponseReader,
}

impl Exchange {
    /// Asks. `keep` gives it its number, which `on` is called with when there is something to hear.
    pub fn begin<Id: Copy + 'static>(
        on_loop: &Loop,
        to: SocketAddr,
        question: Vec<u8>,
        on: impl Fn(&mut Server, Id) + 'static,
        keep: impl FnOnce(Exchange) -> Option<Id>,
    ) -> io::Result<Option<Id>> {
        // The loop must know whom to call before there is a number.
        let cell = Rc::new(Cell::new(None));
        let number = cell.clone();
        let mut link = Link::dial(to)?;
        link.on_loop(on_loop, move |_, server: &mut Server| {
            if let Some(id) = number.get() {
                on(server, id);
            }
        })?;
        link.out.words(|words| words.extend_from_slice(&question));
        let id = keep(Exchange { link, reader: ResponseReader::default() });
        cell.set(id);
        Ok(id)
    }

    /// Reads what has come: nothing while neither the answer is whole nor the connection at its end.
    pub fn hear(&mut self, chunk: &mut [u8]) -> Option<Result<Response, Failure>> {
        if self.link.connected().is_err() {
            return Some(Err(Failure::NeverAsked));
        }
        self.link.flush();
        loop {
            match self.link.read(chunk) {
                Got::Dry => return None,
                Got::End | Got::ProtocolError if !self.link.began() => return Some(Err(Failure::NeverAsked)),
                Got::End | Got::ProtocolError => return Some(Err(Failure::Closed)),
                Got::Bytes(n) => self.link.input.extend_from_slice(&chunk[..n]),
            }
            match self.reader.read(&self.link.input) {
                Ok(None) => {}
                Ok(Some(reply)) => return Some(Ok(reply)),
                Err(why) => return Some(Err(Failure::Unreadable(why))),
            }
        }
    }

    /// Whether the whole question has been handed to the machine.
    pub fn asked(&self) -> bool {
        self.link.began() && self.link.waiting() == 0
    }

    pub fn body(&self, reply: &Response) -> &[u8] {
        &self.link.input[reply.body.clone()]
    }

    pub fn close(self, on_loop: &Loop) {
        self.link.close(on_loop);
    }
}
