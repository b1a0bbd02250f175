//! Consensus messages in MessagePack-RPC frames: the bytes that one server writes, and how the other decodes them.

use super::{compare, hex};
use aldercrank_consensus::{CommittedState, PeerRequest, PeerResponse, ServerName, VersionId};
use aldercrank_server::msgpack_rpc::{
    self, InvalidRequest, MessageId, ReceivedFields, RequestFields, RequestHandler, ResponseFields,
    ResponseHandler, UnexpectedMessage, CONSENSUS_METHOD,
};
use serde::Serialize;
use std::fmt::Write;
use std::time::Duration;

/// The longest response that a server reads from another, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Records what either end decodes, one line per message.
#[derive(Default)]
struct MessageRecorder(Vec<String>);

impl RequestHandler for MessageRecorder {
    fn request(&mut self, call: MessageId, method: &str, fields: &RequestFields, body: &[u8]) {
        assert_eq!(*fields, RequestFields::default());
        self.0.push(format!("call {} of {method:?}, no fields, body {}", call.0, hex(body)));
    }
    fn health_check(&mut self, call: MessageId) {
        self.0.push(format!("call {} of \"check\"", call.0));
    }
    fn cancel(&mut self, call: MessageId) {
        self.0.push(format!("call {} interrupted", call.0));
    }
    fn invalid_request(&mut self, call: MessageId, reason: InvalidRequest) {
        self.0.push(format!("call {} makes no sense: {reason}", call.0));
    }
    fn unexpected_message(&mut self, reason: UnexpectedMessage) {
        self.0.push(format!("ignored: {reason}"));
    }
}

/// The fields that accompany a response.
fn described_fields(fields: ReceivedFields) -> String {
    format!(
        "hint {:?}, backoff {:?}, final {}, rules {:?}",
        fields.load_hint, fields.retry_after, fields.is_final, fields.version
    )
}

impl ResponseHandler for MessageRecorder {
    fn completed(&mut self, call: MessageId, result: &[u8], fields: ReceivedFields) {
        self.0.push(format!("call {} settled with {}; {}", call.0, hex(result), described_fields(fields)));
    }
    fn rejected(&mut self, call: MessageId, fields: ReceivedFields) {
        self.0.push(format!("call {} Overloaded; {}", call.0, described_fields(fields)));
    }
    fn failed(&mut self, call: MessageId, reason: &str, fields: ReceivedFields) {
        self.0.push(format!("call {} {reason:?}; {}", call.0, described_fields(fields)));
    }
    fn health_reported(&mut self, call: MessageId, healthy: bool, fields: ReceivedFields) {
        self.0.push(format!("call {} checked {healthy}; {}", call.0, described_fields(fields)));
    }
    fn closing(&mut self) {
        self.0.push("closing".to_string());
    }
    fn consensus_notification(&mut self, body: &[u8]) {
        self.0.push(format!("news with body {}", hex(body)));
    }
}

fn read_as_server(bytes: &[u8]) -> String {
    let mut recorder = MessageRecorder::default();
    match msgpack_rpc::read_request(bytes, &mut recorder) {
        Ok(length) => format!("{length:?} bytes: {}", recorder.0.join("; then ")),
        Err(error) => format!("broken: {error}"),
    }
}

fn read_as_caller(bytes: &[u8]) -> String {
    let mut recorder = MessageRecorder::default();
    match msgpack_rpc::read_response(bytes, MAX_RESPONSE_BYTES, &mut recorder) {
        Ok(length) => format!("{length:?} bytes: {}", recorder.0.join("; then ")),
        Err(error) => format!("broken: {error}"),
    }
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap()
}

fn version(number: u64) -> VersionId {
    VersionId { number, digest: std::array::from_fn(|index| (number as u8).wrapping_add(index as u8)) }
}

fn request(call: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_request(
        &mut bytes,
        MessageId(call),
        CONSENSUS_METHOD,
        &RequestFields::default(),
        body,
    );
    bytes
}

fn response(call: u32, body: &[u8], fields: ResponseFields) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_result_start(&mut bytes, MessageId(call), body.len());
    bytes.extend_from_slice(body);
    msgpack_rpc::write_result_end(&mut bytes, fields);
    bytes
}

fn notification(proposal: Option<VersionId>) -> Vec<u8> {
    let mut bytes = Vec::new();
    msgpack_rpc::write_consensus_notification(&mut bytes, &encoded(&proposal));
    bytes
}

/// Replaces the middle of a long text by its length.
fn abbreviated(text: String) -> String {
    match text.len() {
        0..=600 => text,
        length => format!("{} ... {} characters ... {}", &text[..200], length, &text[length - 40..]),
    }
}

/// Adds the bytes of a message, and how they are decoded.
fn block(out: &mut String, title: &str, bytes: &[u8], read: fn(&[u8]) -> String) {
    let shown = abbreviated(hex(bytes));
    let _ = writeln!(out, "{title}\n  bytes {shown}\n  read  {}\n", abbreviated(read(bytes)));
}

/// Adds a block as [`block`] does, and checks that no truncated message is taken for a complete one.
fn complete_block(out: &mut String, title: &str, bytes: &[u8], read: fn(&[u8]) -> String) {
    block(out, title, bytes, read);
    for length in 0..bytes.len() {
        assert_eq!(read(&bytes[..length]), "None bytes: ", "{title} cut to {length} bytes");
    }
}

#[test]
fn consensus_messages_are_framed_as_recorded() {
    let mut out = String::new();
    let renew = PeerRequest::Renew {
        from: ServerName::new("n1"),
        last_decided: 8,
        evaluation: Some((version(9), Ok(())).into()),
    };
    complete_block(&mut out, "request Status", &request(1, &encoded(&PeerRequest::Status)), read_as_server);
    complete_block(&mut out, "request Renew", &request(128, &encoded(&renew)), read_as_server);
    let fetch = request(u32::MAX, &encoded(&PeerRequest::Fetch { version_id: version(9) }));
    complete_block(&mut out, "request Fetch", &fetch, read_as_server);
    let committed_state = CommittedState { last_decided: 9, version_id: version(8) };
    let lease = PeerResponse::Lease {
        committed: committed_state,
        age: Some(Duration::from_millis(1500)),
        committed_for: Duration::from_secs(60),
        proposed: Some(version(10)),
    };
    let plain = ResponseFields::default();
    let full = ResponseFields { load_hint: Some("0.85"), version: Some(8) };
    complete_block(
        &mut out,
        "response Fine",
        &response(1, &encoded(&PeerResponse::Acknowledged), plain),
        read_as_caller,
    );
    complete_block(
        &mut out,
        "response Silent",
        &response(300, &encoded(&PeerResponse::Unavailable), full),
        read_as_caller,
    );
    complete_block(&mut out, "response Lease", &response(70_000, &encoded(&lease), full), read_as_caller);
    let text = PeerResponse::Text { version_id: version(8), text: "rules 8 {\n}\n".repeat(1000) };
    block(&mut out, "response Text, long", &response(2, &encoded(&text), plain), read_as_caller);
    complete_block(&mut out, "notification of no draft", &notification(None), read_as_caller);
    complete_block(&mut out, "notification of a draft", &notification(Some(version(9))), read_as_caller);
    compare("consensus/framing.txt", &out);
}

#[test]
fn unusual_and_invalid_frames_are_read_as_recorded() {
    let mut out = String::new();
    let mut as_caller = |title: &str, bytes: &[u8]| block(&mut out, title, bytes, read_as_caller);
    let mut bytes = Vec::new();
    msgpack_rpc::write_rejected(
        &mut bytes,
        MessageId(3),
        ResponseFields::default(),
        Some(Duration::from_millis(20)),
        true,
    );
    as_caller("response: overloaded", &bytes);
    bytes.clear();
    msgpack_rpc::write_failed(&mut bytes, MessageId(3), ResponseFields::default());
    as_caller("response: internal", &bytes);
    bytes.clear();
    msgpack_rpc::write_health(&mut bytes, MessageId(3), true, ResponseFields::default());
    as_caller("response: health check", &bytes);
    bytes.clear();
    msgpack_rpc::write_closing(&mut bytes);
    as_caller("notification: closing", &bytes);
    let result = |length| response(4, &vec![7; length], ResponseFields::default());
    as_caller("response at the limit", &result(MAX_RESPONSE_BYTES - 9));
    as_caller("response over the limit", &result(MAX_RESPONSE_BYTES - 8));
    as_caller("response with no result", &result(0));
    as_caller("two responses, the first of which is read", &[result(1), result(2)].concat());
    as_caller("a request where a response is due", &request(1, &encoded(&PeerRequest::Status)));
    let notification_with = |tail: &[u8]| [&[0x93, 2, 0xa5][..], b"rules", tail].concat();
    as_caller("notification with two bodies", &notification_with(&[0x92, 0xc4, 1, 0xc0, 0xc4, 1, 0xc0]));
    as_caller("notification without a body", &notification_with(&[0x90]));
    as_caller("notification whose body is nil", &notification_with(&[0x91, 0xc0]));
    as_caller("notification whose parameters are no list", &notification_with(&[0x80]));
    as_caller("notification with an empty body", &notification_with(&[0x91, 0xc4, 0]));
    as_caller("notification of another name", &[&[0x93, 2, 0xa4][..], b"rule", &[0x91, 0xc0]].concat());
    as_caller("notification whose name is no text", &[0x93, 2, 0xc0, 0x91, 0xc0]);
    as_caller("reserved marker", &[0xc1]);
    let mut as_server = |title: &str, bytes: &[u8]| block(&mut out, title, bytes, read_as_server);
    as_server("request with the longest body", &request(5, &[7; 2048]));
    as_server("request over the longest body", &request(5, &[7; 2049]));
    as_server("request with an empty body", &request(5, &[]));
    as_server("notification where a request is due", &notification(None));
    as_server(
        "response where a request is due",
        &response(1, &encoded(&PeerResponse::Acknowledged), ResponseFields::default()),
    );
    compare("consensus/framing-odd.txt", &out);
}
