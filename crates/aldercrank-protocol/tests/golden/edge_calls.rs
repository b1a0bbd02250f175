//! Messages from edge nodes: the bytes that the codec writes, and what a server reads in them.

use crate::text::{escaped, hex, Cases};
use aldercrank_protocol::msgpack_rpc::{
    self, InvalidRequest, MessageId, RequestFields, RequestHandler, UnexpectedMessage,
};

/// Records the calls of the codec, one line each.
#[derive(Default)]
struct RequestRecorder(Vec<String>);

impl RequestHandler for RequestRecorder {
    fn request(&mut self, call: MessageId, method: &str, fields: &RequestFields, body: &[u8]) {
        let RequestFields {
            attempt,
            sent_at_ms,
            caller_id,
            budget_ms,
            memory_kb,
            rank,
            idempotency_key,
            subject,
        } = fields;
        self.0.push(format!("call {} method {method:?} body {:?}", call.0, escaped(body)));
        self.0.push(format!(
            "fields rid={attempt:?} t0={sent_at_ms:?} peer={caller_id:?} budget={budget_ms:?}"
        ));
        self.0.push(format!(
            "fields mem={memory_kb:?} prio={rank:?} token={idempotency_key:?} obj={subject:?}"
        ));
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
    fn unexpected_message(&mut self, reason: UnexpectedMessage) {
        self.0.push(format!("passed over: {reason}"));
    }
}

/// Reads consecutive messages until the input ends or is incomplete or invalid, as a server's connection does.
fn read_all(bytes: &[u8]) -> Vec<String> {
    let (mut recorder, mut consumed) = (RequestRecorder::default(), 0);
    loop {
        match msgpack_rpc::read_request(&bytes[consumed..], &mut recorder) {
            Ok(Some(length)) => {
                consumed += length;
                recorder.0.push(format!("{length} bytes taken"));
            }
            Ok(None) if consumed == bytes.len() => return recorder.0,
            Ok(None) => {
                recorder.0.push(format!("not whole: {} bytes left", bytes.len() - consumed));
                return recorder.0;
            }
            Err(error) => {
                recorder.0.push(format!("error: {}", error));
                return recorder.0;
            }
        }
    }
}

/// The length of the shortest prefix that the codec does not take for an incomplete message.
fn decisive_length(bytes: &[u8]) -> Option<usize> {
    let is_incomplete = |length: &usize| {
        msgpack_rpc::read_request(&bytes[..*length], &mut RequestRecorder::default()) == Ok(None)
    };
    (0..=bytes.len()).find(|length| !is_incomplete(length))
}

/// Records one message: the bytes, what is read in them, and the length of the shortest prefix that suffices for a
/// result.
pub fn record_message(cases: &mut Cases, title: &str, bytes: &[u8]) {
    let mut meaning = read_all(bytes);
    match decisive_length(bytes) {
        Some(length) => meaning.push(format!("decided with {length} of {} bytes", bytes.len())),
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

fn request(message_id: u32, method: &str, fields: &RequestFields, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_request(&mut bytes, MessageId(message_id), method, fields, body);
    bytes
}

fn health_check(message_id: u32) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_health_check(&mut bytes, MessageId(message_id));
    bytes
}

fn cancellation(message_id: u32) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_cancel(&mut bytes, MessageId(message_id));
    bytes
}

/// Each of the eight fields by itself, with its name on the wire.
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
    record_message(cases, "a call with all fields", &request(1, "look", &all_fields(), b"body\x00\xff"));
    record_message(cases, "a call without fields", &request(0, "look", &RequestFields::default(), b""));
    for (name, fields) in single_fields() {
        record_message(cases, &format!("a call with {name} alone"), &request(2, "a", &fields, b"."));
    }
    for message_id in [127, 128, 255, 256, 65_535, 65_536, u32::MAX] {
        let bytes = request(message_id, "look", &RequestFields::default(), b"");
        record_message(cases, &format!("a call with number {message_id}"), &bytes);
    }
    for length in [31, 32, 255, 256] {
        let method = "m".repeat(length);
        let bytes = request(3, &method, &RequestFields::default(), b"");
        record_message(cases, &format!("a method of {length} letters"), &bytes);
    }
    for length in [255, 256, 2048, 2049] {
        let bytes = request(4, "look", &RequestFields::default(), &vec![b'b'; length]);
        record_message(cases, &format!("a body of {length} bytes"), &bytes);
    }
    let consensus_request =
        request(5, msgpack_rpc::CONSENSUS_METHOD, &RequestFields::default(), b"rules text");
    record_message(cases, "a call about rules", &consensus_request);
    record_message(cases, "a health check", &health_check(6));
    record_message(cases, "a health check with the highest number", &health_check(u32::MAX));
    record_message(cases, "an interrupt", &cancellation(7));
    record_message(cases, "an interrupt of the highest number", &cancellation(u32::MAX));
    let mut notification = Vec::new();
    msgpack_rpc::write_consensus_notification(&mut notification, b"rules text");
    record_message(cases, "a notification about rules", &notification);
    let several = [request(8, "look", &all_fields(), b"b"), health_check(9), cancellation(8)].concat();
    record_message(cases, "three messages in one buffer", &several);
    record_message(cases, "three messages, the last cut short", &several[..several.len() - 1]);
}
