//! The other side of the edge protocol: an edge node's connection, as the testbench plays it.

use rmp::encode;
use rmpv::Value;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Calls that may be open on a connection.
pub const MAX_OPEN_CALLS: usize = 32;
/// How long an answer is waited for.
const LONG: Duration = Duration::from_secs(20);

/// A txn to be asked for.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub attempt: u64,
    pub class: &'static str,
    pub token: Option<u64>,
    /// How long its caller waits.
    pub budget: Duration,
    pub body: usize,
    /// Its user's place by value, from 0 up to 1.
    pub rank: f64,
}

impl ClientRequest {
    /// As it is written on the wire.
    pub fn id(&self) -> String {
        format!("{:016x}", self.attempt)
    }
}

/// How it was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    Completed(usize),
    Rejected,
    Failed,
}

pub struct EdgeConnection {
    stream: TcpStream,
    input: Vec<u8>,
    next: u32,
}

fn text(into: &mut Vec<u8>, text: &str) {
    let _ = encode::write_str(into, text);
}

impl EdgeConnection {
    pub fn connect(to: SocketAddr) -> io::Result<EdgeConnection> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LONG))?;
        Ok(EdgeConnection { stream, input: Vec::new(), next: 0 })
    }

    /// A second handle, to read answers with while this one asks.
    pub fn reader(&self) -> io::Result<EdgeConnection> {
        Ok(EdgeConnection { stream: self.stream.try_clone()?, input: Vec::new(), next: 0 })
    }

    pub fn patience(&self, span: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(span))
    }

    /// Adds one call to `into`; gives its number on this connection.
    pub fn call(&mut self, into: &mut Vec<u8>, ask: &ClientRequest) -> u32 {
        self.next += 1;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut fields = vec![
            ("rid", ask.id()),
            ("t0", unix.as_millis().to_string()),
            ("peer", "1".to_string()),
            ("budget", ask.budget.as_millis().to_string()),
            ("mem", "20".to_string()),
            ("prio", format!("{:.4}", ask.rank)),
        ];
        fields.extend(ask.token.map(|token| ("token", format!("{token:032x}"))));
        let _ = encode::write_array_len(into, 4);
        let _ = encode::write_uint(into, 0);
        let _ = encode::write_uint(into, u64::from(self.next));
        text(into, ask.class);
        let _ = encode::write_array_len(into, 2);
        let _ = encode::write_map_len(into, fields.len() as u32);
        for (name, value) in &fields {
            text(into, name);
            text(into, value);
        }
        let _ = encode::write_bin(into, &vec![b'b'; ask.body]);
        self.next
    }

    /// Asks for these in one write.
    pub fn ask(&mut self, asks: &[ClientRequest]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for ask in asks {
            self.call(&mut bytes, ask);
        }
        self.send(&bytes)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Takes back the last call.
    pub fn interrupt_last(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        let _ = encode::write_array_len(&mut bytes, 3);
        let _ = encode::write_uint(&mut bytes, 2);
        text(&mut bytes, "interrupt");
        let _ = encode::write_array_len(&mut bytes, 1);
        let _ = encode::write_uint(&mut bytes, u64::from(self.next));
        self.stream.write_all(&bytes)
    }

    /// The next answer, with its call's number; nothing when none has come in the time that is waited.
    pub fn answer(&mut self) -> io::Result<Option<(u32, Answer)>> {
        let mut chunk = [0; 64 * 1024];
        loop {
            let mut rest = &self.input[..];
            if let Ok(message) = rmpv::decode::read_value(&mut rest) {
                let taken = self.input.len() - rest.len();
                self.input.drain(..taken);
                match read(&message) {
                    Some(answer) => return Ok(Some(answer)),
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

/// An answer's call and kind; nothing for a notification.
fn read(message: &Value) -> Option<(u32, Answer)> {
    let parts = message.as_array()?;
    let [kind, call, error, result] = &parts[..] else { return None };
    if kind.as_u64() != Some(1) {
        return None;
    }
    let named = error.as_array().and_then(|e| e.first()).and_then(Value::as_str);
    let answer = match named {
        Some("Overloaded") => Answer::Rejected,
        Some(_) => Answer::Failed,
        None => match result.as_array().and_then(|r| r.first()) {
            Some(Value::Binary(bytes)) => Answer::Completed(bytes.len()),
            _ => Answer::Failed,
        },
    };
    Some((call.as_u64()? as u32, answer))
}
