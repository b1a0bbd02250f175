//! One HTTP request and its response on a connection of its own. Used for calls to the upstream dependency and for
//! requests to the membership service.

use super::connection::{Connection, EventLoopHandle, ReadOutcome};
use super::Server;
use crate::http::{HttpError, Response, ResponseReader};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why an exchange ended without a response. Its text is the reason in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection was not established, or ended before the first byte was written.
    #[error("could not connect")]
    NotSent,
    /// The connection was closed before the response was complete.
    #[error("connection closed before a complete response")]
    Closed,
    /// The response is not valid HTTP.
    #[error("{0}")]
    Unreadable(#[from] HttpError),
}

/// An outstanding HTTP request.
pub(super) struct HttpExchange {
    connection: Connection,
    reader: ResponseReader,
}

impl HttpExchange {
    /// Starts a request. `store` stores the exchange and returns its id, or `None` if there is no room for it.
    /// `on_event` is called with that id whenever [`HttpExchange::poll_response`] may make progress.
    pub(super) fn start<Id: Copy + 'static>(
        event_loop: &EventLoopHandle,
        address: SocketAddr,
        request: &[u8],
        on_event: impl Fn(&mut Server, Id) + 'static,
        store: impl FnOnce(HttpExchange) -> Option<Id>,
    ) -> io::Result<Option<Id>> {
        // The callback is registered before the id is known, so it reads the id from a shared cell.
        let id_cell = Rc::new(Cell::new(None));
        let callback_id = id_cell.clone();
        let mut connection = Connection::connect(address)?;
        connection.register_with_loop(event_loop, move |_, server: &mut Server| {
            if let Some(id) = callback_id.get() {
                on_event(server, id);
            }
        })?;
        connection.output.append_framing(|bytes| bytes.extend_from_slice(request));
        let id = store(HttpExchange { connection, reader: ResponseReader::default() });
        id_cell.set(id);
        Ok(id)
    }

    /// Writes and reads as much as the socket allows now. Returns `None` until the response is complete or the exchange
    /// has failed.
    pub(super) fn poll_response(&mut self, buffer: &mut [u8]) -> Option<Result<Response, ExchangeError>> {
        if self.connection.finish_connecting().is_err() {
            return Some(Err(ExchangeError::NotSent));
        }
        self.connection.flush();
        loop {
            match self.connection.read(buffer) {
                ReadOutcome::WouldBlock => return None,
                ReadOutcome::Closed | ReadOutcome::Broken => {
                    let error = match self.connection.has_written() {
                        true => ExchangeError::Closed,
                        false => ExchangeError::NotSent,
                    };
                    return Some(Err(error));
                }
                ReadOutcome::Bytes(length) => self.connection.input.extend_from_slice(&buffer[..length]),
            }
            match self.reader.read(&self.connection.input) {
                Ok(None) => {}
                Ok(Some(response)) => return Some(Ok(response)),
                Err(error) => return Some(Err(error.into())),
            }
        }
    }

    /// Whether the complete request has been handed to the kernel.
    pub(super) fn request_sent(&self) -> bool {
        self.connection.has_written() && self.connection.unsent_bytes() == 0
    }

    /// The body of a response that [`HttpExchange::poll_response`] returned.
    pub(super) fn body(&self, response: &Response) -> &[u8] {
        &self.connection.input[response.body.clone()]
    }

    /// Closes the connection.
    pub(super) fn close(self, event_loop: &EventLoopHandle) {
        self.connection.close(event_loop);
    }
}
