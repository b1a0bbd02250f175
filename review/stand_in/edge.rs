//! A connection of an edge node to a server.

use crate::msgpack::{self, Value};
use crate::pool::{Known, Requests};
use crate::Record;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Served,
    Refused,
    Failed,
    /// The connection ended without an answer.
    Closed,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub how: How,
    pub backoff: Duration,
    pub at: Instant,
}

/// A request as an edge node sends it.
pub struct Sent<'a> {
    pub id: String,
    pub class: &'a str,
    pub t0: u64,
    /// Absent at sites that don't pass deadlines on.
    pub budget_ms: Option<u64>,
    pub token: Option<String>,
    pub subject: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Shared {
    open: HashMap<u32, String>,
    answers: Vec<Answer>,
    healthy: Option<bool>,
    checks_open: u32,
    closing: bool,
    closed: bool,
}

pub struct EdgeConnection {
    stream: TcpStream,
    next: u32,
    label: String,
    peer: u32,
    record: Arc<Record>,
    requests: Arc<Requests>,
    shared: Arc<Mutex<Shared>>,
}

impl EdgeConnection {
    pub fn open(
        address: SocketAddr,
        label: &str,
        peer: u32,
        record: Arc<Record>,
        requests: Arc<Requests>,
    ) -> std::io::Result<EdgeConnection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let connection = EdgeConnection {
            stream: stream.try_clone()?,
            next: 1,
            label: label.to_string(),
            peer,
            record: record.clone(),
            requests: requests.clone(),
            shared: shared.clone(),
        };
        let label = label.to_string();
        std::thread::spawn(move || read_answers(stream, &label, &record, &requests, &shared));
        Ok(connection)
    }

    fn write(&mut self, message: &Value) -> bool {
        let mut bytes = Vec::new();
        msgpack::write(&mut bytes, message);
        self.stream.write_all(&bytes).is_ok()
    }

    /// Whether a request may be sent on it.
    pub fn is_usable(&self) -> bool {
        self.shared.lock().is_ok_and(|shared| !shared.closing && !shared.closed && shared.open.len() < 32)
    }

    pub fn send(&mut self, sent: &Sent) -> bool {
        let number = self.next;
        self.next += 1;
        if let Ok(mut requests) = self.requests.0.lock() {
            let known = Known { class: sent.class.to_string(), body: sent.body.clone(), over: false };
            requests.insert(sent.id.clone(), known);
        }
        if let Ok(mut shared) = self.shared.lock() {
            shared.open.insert(number, sent.id.clone());
        }
        let text = |text: &str| Value::Str(text.to_string());
        let mut fields = vec![
            (text("rid"), text(&sent.id)),
            (text("t0"), text(&sent.t0.to_string())),
            (text("peer"), text(&self.peer.to_string())),
            (text("mem"), text("24.5")),
            (text("prio"), text("0.6250")),
        ];
        let budget = sent.budget_ms.map(|ms| ms.to_string());
        let optional = [("budget", &budget), ("token", &sent.token), ("obj", &sent.subject)];
        for (name, value) in optional {
            if let Some(value) = value {
                fields.push((text(name), text(value)));
            }
        }
        let parameters = Value::Array(vec![Value::Map(fields), Value::Bin(sent.body.clone())]);
        let call = [Value::Int(0), Value::Int(i64::from(number)), text(sent.class), parameters];
        let subject = sent.subject.as_deref().unwrap_or("-");
        self.record.line(&format!("{}: sends {} of {}, obj {subject}", self.label, sent.id, sent.class));
        self.write(&Value::Array(call.to_vec()))
    }

    /// Stops waiting for a request.
    pub fn interrupt(&mut self, id: &str) {
        let number = self.shared.lock().ok().and_then(|mut shared| {
            let number = shared.open.iter().find(|(_, open)| *open == id).map(|(number, _)| *number)?;
            shared.open.remove(&number);
            Some(number)
        });
        let Some(number) = number else { return };
        set_over(&self.requests, id);
        self.record.line(&format!("{}: gives up {id}", self.label));
        let name = Value::Str("interrupt".to_string());
        let call = Value::Array(vec![Value::Int(i64::from(number))]);
        self.write(&Value::Array(vec![Value::Int(2), name, call]));
    }

    /// Sends a health check, unless one is still unanswered.
    pub fn check(&mut self) {
        let is_open = self.shared.lock().is_ok_and(|mut shared| {
            let is_open = shared.checks_open > 0;
            shared.checks_open = 1;
            is_open
        });
        if !is_open {
            let number = self.next;
            self.next += 1;
            let name = Value::Str("check".to_string());
            let call = [
                Value::Int(0),
                Value::Int(i64::from(number)),
                name,
                Value::Array(vec![Value::Map(Vec::new())]),
            ];
            self.write(&Value::Array(call.to_vec()));
        }
    }

    /// The answer to the last health check.
    pub fn healthy(&self) -> Option<bool> {
        self.shared.lock().ok().and_then(|shared| shared.healthy)
    }

    pub fn take_answers(&self) -> Vec<Answer> {
        self.shared.lock().map_or(Vec::new(), |mut shared| std::mem::take(&mut shared.answers))
    }
}

fn set_over(requests: &Requests, id: &str) {
    if let Ok(mut requests) = requests.0.lock() {
        if let Some(known) = requests.get_mut(id) {
            known.over = true;
        }
    }
}

fn read_answers(
    mut stream: TcpStream,
    label: &str,
    record: &Record,
    requests: &Requests,
    shared: &Mutex<Shared>,
) {
    let (mut input, mut bytes) = (Vec::new(), [0; 65536]);
    loop {
        match stream.read(&mut bytes) {
            Ok(length) if length > 0 => input.extend_from_slice(&bytes[..length]),
            _ => break,
        }
        while let Some((message, length)) = msgpack::read(&input) {
            input.drain(..length);
            if let Value::Array(items) = &message {
                message_received(items, label, record, requests, shared);
            }
        }
    }
    if let Ok(mut shared) = shared.lock() {
        shared.closed = true;
        let lost: Vec<String> = shared.open.drain().map(|(_, id)| id).collect();
        for id in lost {
            set_over(requests, &id);
            record.line(&format!("{label}: the connection ended without an answer to {id}"));
            let closed = Answer { id, how: How::Closed, backoff: Duration::ZERO, at: Instant::now() };
            shared.answers.push(closed);
        }
    }
}

fn message_received(
    items: &[Value],
    label: &str,
    record: &Record,
    requests: &Requests,
    shared: &Mutex<Shared>,
) {
    let Ok(mut shared) = shared.lock() else { return };
    match items {
        [Value::Int(2), Value::Str(name), _] if name == "closing" => shared.closing = true,
        [Value::Int(1), Value::Int(number), error, result] => {
            let Some(id) = shared.open.remove(&(*number as u32)) else {
                if let Value::Array(result) = result {
                    if let Some(Value::Bool(healthy)) = result.first() {
                        (shared.healthy, shared.checks_open) = (Some(*healthy), 0);
                        record.line(&format!("{label}: health check answered {healthy}"));
                    }
                }
                return;
            };
            let (how, fields, body) = match (error, result) {
                (Value::Nil, Value::Array(result)) => match &result[..] {
                    [Value::Bin(body), fields] => (How::Served, Some(fields), body.clone()),
                    _ => (How::Failed, None, Vec::new()),
                },
                (Value::Array(error), _) => match &error[..] {
                    [Value::Str(name), fields] if name == "Overloaded" => {
                        (How::Refused, Some(fields), Vec::new())
                    }
                    _ => (How::Failed, None, Vec::new()),
                },
                _ => (How::Failed, None, Vec::new()),
            };
            set_over(requests, &id);
            let backoff = fields.and_then(|fields| fields.field("backoff")).and_then(|ms| ms.parse().ok());
            let backoff = Duration::from_millis(backoff.unwrap_or(0));
            let text = String::from_utf8_lossy(&body).into_owned();
            record
                .line(&format!("{label}: answer to {id}: {how:?} {text} backoff {} ms", backoff.as_millis()));
            shared.answers.push(Answer { id, how, backoff, at: Instant::now() });
        }
        _ => {}
    }
}
