//! What edge nodes send: the bytes that we write for them, and what a server reads.

use crate::text::{escaped, hex, Cases};
use aldercrank_protocol::msgpack_rpc::{
    self, InvalidRequest, MessageId, RequestFields, RequestHandler, UnknownNotification,
};

/// The lines of what a server reads.
#[derive(Default)]
struct ServerReads(Vec<String>);

impl RequestHandler for ServerReads {
    fn request(&mut self, call: MessageId, method: &str, fields: &RequestFields, body: &[u8]) {
        let RequestFields {
            attempt,
            sent_at_ms: t0,
            caller_id: peer,
            budget_ms: budget,
            memory_kb: mem,
            rank: prio,
            idempotency_key: token,
            subject: obj,
        } = fields;
        self.0.push(format!("call {} method {method:?} body {:?}", call.0, escaped(body)));
        self.0.push(format!("fields rid={attempt:?} t0={t0:?} peer={peer:?} budget={budget:?}"));
        self.0.push(format!("fields mem={mem:?} prio={prio:?} token={token:?} obj={obj:?}"));
    }
    fn health_check(&mut self, call: MessageId) {
        self.0.push(format!("health check {}", call.0));
    }
    fn cancel(&mut self, call: MessageId) {
        self.0.push(format!("interrupt {}", call.0));
    }
    fn invalid_request(&mut self, call: MessageId, reason: InvalidRequest) {
        self.0.push(format!("call {} is refused: {reason}", call.0));
    }
    fn unknown_notification(&mut self, reason: UnknownNotification) {
        self.0.push(format!("passed over: {reason}"));
    }
}

/// Reads messages off the front until none is left, as a server's connection does.
fn read_all(bytes: &[u8]) -> Vec<String> {
    let (mut reads, mut at) = (ServerReads::default(), 0);
    loop {
        match msgpack_rpc::read_request(&bytes[at..], &mut reads) {
            Ok(Some(length)) => {
                at += length;
                reads.0.push(format!("{length} bytes taken"));
            }
            Ok(None) if at == bytes.len() => return reads.0,
            Ok(None) => {
                reads.0.push(format!("not whole: {} bytes left", bytes.len() - at));
                return reads.0;
            }
            Err(error) => {
                reads.0.push(format!("error: {}", error));
                return reads.0;
            }
        }
    }
}

/// The fewest bytes from which the reader says anything but that more are needed.
fn decided_at(bytes: &[u8]) -> Option<usize> {
    let nothing =
        |n: &usize| msgpack_rpc::read_request(&bytes[..*n], &mut ServerReads::default()) == Ok(None);
    (0..=bytes.len()).find(|n| !nothing(n))
}

/// One case of what an edge node sends.
pub fn sent_by_edge(cases: &mut Cases, title: &str, bytes: &[u8]) {
    let mut meaning = read_all(bytes);
    match decided_at(bytes) {
        Some(n) => meaning.push(format!("decided with {n} of {} bytes", bytes.len())),
        None => meaning.push("never decided".to_string()),
    }
    cases.case(title, &hex(bytes), &meaning);
}

fn all_fields() -> RequestFields<'static> {
    RequestFields {
        attempt: Some("0123456789abcdef"),
        sent_at_ms: Some(1_700_000_000_123),
        caller_id: Some(17),
        budget_ms: Some(250),
        memory_kb: Some(24.5),
        rank: Some(0.625),
        idempotency_key: Some("t-1"),
        subject: Some("s-kd6b5"),
    }
}

fn call(number: u32, method: &str, fields: &RequestFields, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_request(&mut bytes, MessageId(number), method, fields, body);
    bytes
}

fn health_check(number: u32) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_health_check(&mut bytes, MessageId(number));
    bytes
}

fn interrupt(number: u32) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_cancel(&mut bytes, MessageId(number));
    bytes
}

/// Each of the eight fields alone.
fn single_fields() -> [(&'static str, RequestFields<'static>); 8] {
    let none = RequestFields::default;
    [
        ("rid", RequestFields { attempt: Some("0123456789abcdef"), ..none() }),
        ("t0", RequestFields { sent_at_ms: Some(u64::MAX), ..none() }),
        ("peer", RequestFields { caller_id: Some(0), ..none() }),
        ("budget", RequestFields { budget_ms: Some(1), ..none() }),
        ("mem", RequestFields { memory_kb: Some(0.1), ..none() }),
        ("prio", RequestFields { rank: Some(0.123_456), ..none() }),
        ("token", RequestFields { idempotency_key: Some(""), ..none() }),
        ("obj", RequestFields { subject: Some("schl\u{fc}ssel"), ..none() }),
    ]
}

pub fn write(cases: &mut Cases) {
    cases.section("edge to server, as we write it");
    sent_by_edge(cases, "a call with all fields", &call(1, "look", &all_fields(), b"body\x00\xff"));
    sent_by_edge(cases, "a call without fields", &call(0, "look", &RequestFields::default(), b""));
    for (name, fields) in single_fields() {
        sent_by_edge(cases, &format!("a call with {name} alone"), &call(2, "a", &fields, b"."));
    }
    for number in [127, 128, 255, 256, 65_535, 65_536, u32::MAX] {
        let bytes = call(number, "look", &RequestFields::default(), b"");
        sent_by_edge(cases, &format!("a call with number {number}"), &bytes);
    }
    for length in [31, 32, 255, 256] {
        let method = "m".repeat(length);
        let bytes = call(3, &method, &RequestFields::default(), b"");
        sent_by_edge(cases, &format!("a method of {length} letters"), &bytes);
    }
    for length in [255, 256, 2048, 2049] {
        let bytes = call(4, "look", &RequestFields::default(), &vec![b'b'; length]);
        sent_by_edge(cases, &format!("a body of {length} bytes"), &bytes);
    }
    let about_rules = call(5, msgpack_rpc::CONSENSUS_METHOD, &RequestFields::default(), b"rules text");
    sent_by_edge(cases, "a call about rules", &about_rules);
    sent_by_edge(cases, "a health check", &health_check(6));
    sent_by_edge(cases, "a health check with the highest number", &health_check(u32::MAX));
    sent_by_edge(cases, "an interrupt", &interrupt(7));
    sent_by_edge(cases, "an interrupt of the highest number", &interrupt(u32::MAX));
    let mut notice = Vec::new();
    msgpack_rpc::write_notification(&mut notice, b"rules text");
    sent_by_edge(cases, "a notification about rules", &notice);
    let several = [call(8, "look", &all_fields(), b"b"), health_check(9), interrupt(8)].concat();
    sent_by_edge(cases, "three messages in one buffer", &several);
    sent_by_edge(cases, "three messages, the last cut short", &several[..several.len() - 1]);
}
