//! The client side of the edge protocol: a connection from an edge node.

use rmp::encode;
use rmpv::Value;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Requests that may be open on a connection, as the edge protocol limits them.
pub(crate) const MAX_OPEN_CALLS: usize = 32;
/// How long a response is waited for.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A request to be sent.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) attempt: u64,
    pub(crate) class: &'static str,
    pub(crate) token: Option<u64>,
    /// How long its caller waits.
    pub(crate) budget: Duration,
    pub(crate) body: usize,
    /// Priority rank, from 0 up to 1.
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
    Completed(usize),
    Rejected,
    Failed,
}

/// One connection from an edge node to the server.
pub(crate) struct EdgeConnection {
    stream: TcpStream,
    input: Vec<u8>,
    next: u32,
}

fn text(into: &mut Vec<u8>, text: &str) {
    let _ = encode::write_str(into, text);
}

impl EdgeConnection {
    pub(crate) fn connect(to: SocketAddr) -> io::Result<EdgeConnection> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(EdgeConnection { stream, input: Vec::new(), next: 0 })
    }

    /// A second handle, which reads responses while this one sends.
    pub(crate) fn reader(&self) -> io::Result<EdgeConnection> {
        Ok(EdgeConnection { stream: self.stream.try_clone()?, input: Vec::new(), next: 0 })
    }

    pub(crate) fn set_read_timeout(&self, span: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(span))
    }

    /// Encodes one request into `into`; gives its message id.
    pub(crate) fn append_request(&mut self, into: &mut Vec<u8>, request: &ClientRequest) -> u32 {
        self.next += 1;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut fields = vec![
            ("rid", request.id()),
            ("t0", unix.as_millis().to_string()),
            ("peer", "1".to_string()),
            ("budget", request.budget.as_millis().to_string()),
            ("mem", "20".to_string()),
            ("prio", format!("{:.4}", request.rank)),
        ];
        fields.extend(request.token.map(|token| ("token", format!("{token:032x}"))));
        let _ = encode::write_array_len(into, 4);
        let _ = encode::write_uint(into, 0);
        let _ = encode::write_uint(into, u64::from(self.next));
        text(into, request.class);
        let _ = encode::write_array_len(into, 2);
        let _ = encode::write_map_len(into, fields.len() as u32);
        for (name, value) in &fields {
            text(into, name);
            text(into, value);
        }
        let _ = encode::write_bin(into, &vec![b'b'; request.body]);
        self.next
    }

    /// Sends these in one write.
    pub(crate) fn send_requests(&mut self, requests: &[ClientRequest]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for request in requests {
            self.append_request(&mut bytes, request);
        }
        self.send(&bytes)
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Cancels the last request.
    pub(crate) fn cancel_last(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        let _ = encode::write_array_len(&mut bytes, 3);
        let _ = encode::write_uint(&mut bytes, 2);
        text(&mut bytes, "interrupt");
        let _ = encode::write_array_len(&mut bytes, 1);
        let _ = encode::write_uint(&mut bytes, u64::from(self.next));
        self.stream.write_all(&bytes)
    }

    /// The next response with its message id; nothing where none has come within the read timeout.
    pub(crate) fn read_answer(&mut self) -> io::Result<Option<(u32, Answer)>> {
        let mut chunk = [0; 64 * 1024];
        loop {
            let mut rest = &self.input[..];
            if let Ok(message) = rmpv::decode::read_value(&mut rest) {
                let taken = self.input.len() - rest.len();
                self.input.drain(..taken);
                match parse_response(&message) {
                    Some(read_answer) => return Ok(Some(read_answer)),
                    None => continue,
                }
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::Error::new(ErrorKind::UnexpectedEof, "the server has closed")),
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }
}

/// A response's message id and kind; nothing for a notification.
fn parse_response(message: &Value) -> Option<(u32, Answer)> {
    let parts = message.as_array()?;
    let [kind, append_request, error, result] = &parts[..] else { return None };
    if kind.as_u64() != Some(1) {
        return None;
    }
    let named = error.as_array().and_then(|e| e.first()).and_then(Value::as_str);
    let read_answer = match named {
        Some("Overloaded") => Answer::Rejected,
        Some(_) => Answer::Failed,
        None => match result.as_array().and_then(|r| r.first()) {
            Some(Value::Binary(bytes)) => Answer::Completed(bytes.len()),
            _ => Answer::Failed,
        },
    };
    Some((append_request.as_u64()? as u32, read_answer))
}
