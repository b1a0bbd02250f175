//! The client side of the edge protocol: a connection from an edge node.

use aldercrank_protocol::msgpack_rpc::{self, MessageId, ReceivedFields, RequestFields, ResponseHandler};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The edge protocol's limit on open requests per connection.
pub(crate) const MAX_OPEN_CALLS: usize = 32;
/// How long `read_answer` waits for a response by default.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The memory need that each request states.
const REQUEST_MEMORY_KB: f64 = 20.0;

/// A request to send to the server.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) attempt: u64,
    pub(crate) class: &'static str,
    pub(crate) token: Option<u64>,
    /// How long the caller waits for the answer.
    pub(crate) budget: Duration,
    /// Size of the body in bytes.
    pub(crate) body: usize,
    /// Priority rank, from 0 to 1.
    pub(crate) rank: f64,
}

impl ClientRequest {
    /// The attempt id as it is written on the wire.
    pub(crate) fn id(&self) -> String {
        format!("{:016x}", self.attempt)
    }
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Answer {
    Completed,
    Rejected,
    Failed,
}

/// Answers that were read from the connection and not yet returned by `read_answer`.
#[derive(Default)]
struct Received(VecDeque<(u32, Answer)>);

impl ResponseHandler for Received {
    fn completed(&mut self, call: MessageId, _result: &[u8], _fields: ReceivedFields) {
        self.0.push_back((call.0, Answer::Completed));
    }
    fn rejected(&mut self, call: MessageId, _fields: ReceivedFields) {
        self.0.push_back((call.0, Answer::Rejected));
    }
    fn failed(&mut self, call: MessageId, _error: &str, _fields: ReceivedFields) {
        self.0.push_back((call.0, Answer::Failed));
    }
    fn health_reported(&mut self, _call: MessageId, _healthy: bool, _fields: ReceivedFields) {}
    fn closing(&mut self) {}
}

/// One connection from an edge node to the server.
pub(crate) struct EdgeConnection {
    stream: TcpStream,
    input: Vec<u8>,
    received: Received,
    last_message: u32,
}

impl EdgeConnection {
    pub(crate) fn connect(to: SocketAddr) -> io::Result<EdgeConnection> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(EdgeConnection::on(stream))
    }

    fn on(stream: TcpStream) -> EdgeConnection {
        EdgeConnection { stream, input: Vec::new(), received: Received::default(), last_message: 0 }
    }

    /// A second handle on this connection, to read responses from while this one sends.
    pub(crate) fn reader(&self) -> io::Result<EdgeConnection> {
        self.stream.try_clone().map(EdgeConnection::on)
    }

    /// Sets how long `read_answer` waits for a response.
    pub(crate) fn set_read_timeout(&self, span: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(span))
    }

    /// Encodes one request into `output`; returns its message id.
    pub(crate) fn append_request(&mut self, output: &mut Vec<u8>, request: &ClientRequest) -> u32 {
        self.last_message += 1;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (id, token) = (request.id(), request.token.map(|token| format!("{token:032x}")));
        let fields = RequestFields {
            attempt: Some(&id),
            sent_at_ms: Some(unix_time.as_millis() as u64),
            caller_id: Some(1),
            budget_ms: Some(request.budget.as_millis() as u64),
            memory_kb: Some(REQUEST_MEMORY_KB),
            rank: Some(request.rank),
            idempotency_key: token.as_deref(),
            subject: None,
        };
        let body = vec![b'b'; request.body];
        msgpack_rpc::write_request(output, MessageId(self.last_message), request.class, &fields, &body);
        self.last_message
    }

    /// Sends all requests in one write.
    pub(crate) fn send_requests(&mut self, requests: &[ClientRequest]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for request in requests {
            self.append_request(&mut bytes, request);
        }
        self.send(&bytes)
    }

    /// Sends encoded requests.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Cancels the last request that was sent.
    pub(crate) fn cancel_last(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        msgpack_rpc::write_cancel(&mut bytes, MessageId(self.last_message));
        self.stream.write_all(&bytes)
    }

    /// The next answer with its message id, or `None` if none arrives within the read timeout.
    pub(crate) fn read_answer(&mut self) -> io::Result<Option<(u32, Answer)>> {
        let mut chunk = [0; 64 * 1024];
        loop {
            self.decode()?;
            if let Some(answer) = self.received.0.pop_front() {
                return Ok(Some(answer));
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    return Err(io::Error::new(ErrorKind::UnexpectedEof, "the server closed the connection"))
                }
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    /// Decodes all complete messages in `input`.
    fn decode(&mut self) -> io::Result<()> {
        let mut consumed = 0;
        loop {
            let rest = &self.input[consumed..];
            let read = msgpack_rpc::read_response(rest, MAX_RESPONSE_BYTES, &mut self.received);
            match read.map_err(io::Error::other)? {
                Some(length) => consumed += length,
                None => break,
            }
        }
        self.input.drain(..consumed);
        Ok(())
    }
}
