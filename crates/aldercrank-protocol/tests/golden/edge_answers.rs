//! Messages from servers to edge nodes: the bytes that the codec writes, and what it reads in them, in other encodings
//! of the same messages, and in invalid ones.

use crate::text::{escaped, filler, hex, Cases};
use aldercrank_protocol::msgpack_rpc::{self, MessageId, ReceivedFields, ResponseFields, ResponseHandler};
use std::time::Duration;

/// The limit on the length of a message with which the cases are read.
const MAX_RESPONSE_BYTES: usize = 4096;

/// Records the calls of the codec, one line each.
#[derive(Default)]
struct ResponseRecorder(Vec<String>);

fn describe_fields(fields: ReceivedFields) -> String {
    let ReceivedFields { load_hint, retry_after, is_final, version } = fields;
    format!("hint={load_hint:?} backoff={retry_after:?} final={is_final} rules={version:?}")
}

impl ResponseHandler for ResponseRecorder {
    fn completed(&mut self, call: MessageId, result: &[u8], fields: ReceivedFields) {
        self.0.push(format!("result of {}: {:?} {}", call.0, escaped(result), describe_fields(fields)));
    }
    fn rejected(&mut self, call: MessageId, fields: ReceivedFields) {
        self.0.push(format!("error of {}: Overloaded {}", call.0, describe_fields(fields)));
    }
    fn failed(&mut self, call: MessageId, error: &str, fields: ReceivedFields) {
        self.0.push(format!("error of {}: other {error:?} {}", call.0, describe_fields(fields)));
    }
    fn health_reported(&mut self, call: MessageId, healthy: bool, fields: ReceivedFields) {
        self.0.push(format!("health check {}: {healthy} {}", call.0, describe_fields(fields)));
    }
    fn closing(&mut self) {
        self.0.push("closing".to_string());
    }
    fn consensus_notification(&mut self, body: &[u8]) {
        self.0.push(format!("notification about rules: {:?}", escaped(body)));
    }
}

fn read_all(bytes: &[u8]) -> Vec<String> {
    let (mut recorder, mut consumed) = (ResponseRecorder::default(), 0);
    loop {
        match msgpack_rpc::read_response(&bytes[consumed..], MAX_RESPONSE_BYTES, &mut recorder) {
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

/// Records one message: the bytes, what is read in them, and the length of the shortest prefix that suffices for a
/// result.
fn record_message(cases: &mut Cases, title: &str, bytes: &[u8]) {
    let is_incomplete = |length: &usize| {
        let mut recorder = ResponseRecorder::default();
        msgpack_rpc::read_response(&bytes[..*length], MAX_RESPONSE_BYTES, &mut recorder) == Ok(None)
    };
    let decided = (0..=bytes.len()).find(|length| !is_incomplete(length));
    let mut meaning = read_all(bytes);
    match decided {
        Some(length) => meaning.push(format!("decided with {length} of {} bytes", bytes.len())),
        None => meaning.push("never decided".to_string()),
    }
    cases.case(title, &hex(bytes), &meaning);
}

fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

fn completed_response(call: u32, result: &[u8], fields: ResponseFields) -> Vec<u8> {
    encoded(|output| {
        msgpack_rpc::write_result_start(output, MessageId(call), result.len());
        output.extend(result);
        msgpack_rpc::write_result_end(output, fields);
    })
}

const NO_FIELDS: ResponseFields = ResponseFields { load_hint: None, version: None };
const ALL_FIELDS: ResponseFields = ResponseFields { load_hint: Some("0.35"), version: Some(u64::MAX) };

fn write_results(cases: &mut Cases) {
    record_message(cases, "an empty result", &completed_response(0, b"", NO_FIELDS));
    record_message(
        cases,
        "a result with all that may go along",
        &completed_response(1, b"done\x00\xff", ALL_FIELDS),
    );
    let hint = ResponseFields { load_hint: Some("12"), version: None };
    record_message(cases, "a result with a hint", &completed_response(2, b"d", hint));
    let version = ResponseFields { load_hint: None, version: Some(0) };
    record_message(cases, "a result with a version of the rules", &completed_response(3, b"d", version));
    for message_id in [127, 128, 255, 256, 65_535, 65_536, u32::MAX] {
        record_message(
            cases,
            &format!("a result of call {message_id}"),
            &completed_response(message_id, b"d", NO_FIELDS),
        );
    }
    for length in [255, 256, 4000, 5000, 70_000] {
        let bytes = completed_response(4, &filler(length), NO_FIELDS);
        record_message(cases, &format!("a result of {length} bytes"), &bytes);
    }
}

fn write_errors(cases: &mut Cases) {
    let micros = Duration::from_micros;
    let delays_us = [None, Some(0), Some(1), Some(1_000), Some(1_001), Some(250_000), Some(3_600_000_000)];
    for delay_us in delays_us {
        let bytes =
            encoded(|b| msgpack_rpc::write_rejected(b, MessageId(5), NO_FIELDS, delay_us.map(micros), false));
        record_message(cases, &format!("a rejection with backoff {delay_us:?} us"), &bytes);
    }
    let bytes = encoded(|b| msgpack_rpc::write_rejected(b, MessageId(6), NO_FIELDS, None, true));
    record_message(cases, "a rejection that is final", &bytes);
    let bytes =
        encoded(|b| msgpack_rpc::write_rejected(b, MessageId(7), ALL_FIELDS, Some(micros(1_500)), true));
    record_message(cases, "a rejection with all that may go along", &bytes);
    let bytes = encoded(|b| msgpack_rpc::write_failed(b, MessageId(8), NO_FIELDS));
    record_message(cases, "a failure", &bytes);
    let bytes = encoded(|b| msgpack_rpc::write_failed(b, MessageId(9), ALL_FIELDS));
    record_message(cases, "a failure with all that may go along", &bytes);
}

fn write_other_messages(cases: &mut Cases) {
    for healthy in [true, false] {
        let bytes = encoded(|b| msgpack_rpc::write_health(b, MessageId(10), healthy, NO_FIELDS));
        record_message(cases, &format!("a health check answered with {healthy}"), &bytes);
        let bytes = encoded(|b| msgpack_rpc::write_health(b, MessageId(11), healthy, ALL_FIELDS));
        record_message(
            cases,
            &format!("a health check answered with {healthy}, and all that may go along"),
            &bytes,
        );
    }
    let closing = encoded(msgpack_rpc::write_closing);
    record_message(cases, "closing", &closing);
    record_message(
        cases,
        "a notification about rules",
        &encoded(|b| msgpack_rpc::write_consensus_notification(b, b"a body")),
    );
    record_message(
        cases,
        "a notification about rules, empty",
        &encoded(|b| msgpack_rpc::write_consensus_notification(b, b"")),
    );
    record_message(
        cases,
        "a notification about rules, 300 bytes",
        &encoded(|b| msgpack_rpc::write_consensus_notification(b, &filler(300))),
    );
    let several =
        [completed_response(12, b"d", ALL_FIELDS), closing, completed_response(13, b"e", NO_FIELDS)].concat();
    record_message(cases, "three messages in one buffer", &several);
    record_message(cases, "three messages, the last cut short", &several[..several.len() - 1]);
}

type EncodedMessage = (&'static str, &'static [u8]);

const OTHER_ENCODINGS: [EncodedMessage; 22] = [
    ("result as bin 16", b"\x94\x01\x07\xc0\x92\xc5\x00\x01d\x80"),
    ("result as bin 32", b"\x94\x01\x07\xc0\x92\xc6\x00\x00\x00\x01d\x80"),
    (
        "everything wide",
        b"\xdc\x00\x04\xcc\x01\xcf\x00\x00\x00\x00\x00\x00\x00\x07\xc0\xdc\x00\x02\xc4\x01d\xde\x00\x00",
    ),
    ("fields as map 32", b"\x94\x01\x07\xc0\x92\xc4\x01d\xdf\x00\x00\x00\x01\xd9\x04hint\xda\x00\x011"),
    ("an unknown field", b"\x94\x01\x07\xc0\x92\xc4\x01d\x81\xa5later\xa1x"),
    ("a hint that is no number", b"\x94\x01\x07\xc0\x92\xc4\x01d\x81\xa4hint\xa1x"),
    ("a hint below zero", b"\x94\x01\x07\xc0\x92\xc4\x01d\x81\xa4hint\xa2-1"),
    ("a backoff with a fraction", b"\x94\x01\x07\x92\xaaOverloaded\x81\xa7backoff\xa31.5\xc0"),
    ("a backoff below zero", b"\x94\x01\x07\x92\xaaOverloaded\x81\xa7backoff\xa2-1\xc0"),
    ("final 0", b"\x94\x01\x07\x92\xaaOverloaded\x81\xa5final\xa10\xc0"),
    ("final true", b"\x94\x01\x07\x92\xaaOverloaded\x81\xa5final\xa4true\xc0"),
    ("rules that are no number", b"\x94\x01\x07\x92\xaaOverloaded\x81\xa5rules\xa2v1\xc0"),
    ("a field twice", b"\x94\x01\x07\xc0\x92\xc4\x01d\x82\xa4hint\xa11\xa4hint\xa12"),
    ("an error of another name", b"\x94\x01\x07\x92\xa8NotFound\x80\xc0"),
    ("an error in small letters", b"\x94\x01\x07\x92\xaaoverloaded\x80\xc0"),
    ("an error with a result beside", b"\x94\x01\x07\x92\xaaOverloaded\x80\x92\xc4\x01d\x80"),
    ("an unknown notification", b"\x93\x02\xa5hello\x90"),
    ("closing with parameters", b"\x93\x02\xa7closing\x91\x01"),
    ("closing without a list", b"\x93\x02\xa7closing\xc0"),
    ("a notification about rules without a body", b"\x93\x02\xa5rules\x90"),
    ("a notification about rules with two bodies", b"\x93\x02\xa5rules\x92\xc4\x01a\xc4\x01b"),
    ("a notification about rules as bin 32", b"\x93\x02\xa5rules\x91\xc6\x00\x00\x00\x01a"),
];

const INVALID: [EncodedMessage; 21] = [
    ("no bytes", b""),
    ("an integer", b"\x01"),
    ("the reserved byte", b"\xc1"),
    ("a call, to an edge node", b"\x94\x00\x07\xa5check\x91\x80"),
    ("an answer of three parts", b"\x93\x01\x07\xc0"),
    ("an answer of five parts", b"\x95\x01\x07\xc0\x92\xc4\x01d\x80\xc0"),
    ("a kind that is not known", b"\x94\x03\x07\xc0\x92\xc4\x01d\x80"),
    ("a number that is nil", b"\x94\x01\xc0\xc0\x92\xc4\x01d\x80"),
    ("a number of 2^32", b"\x94\x01\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xc0\x92\xc4\x01d\x80"),
    ("a result that is nil", b"\x94\x01\x07\xc0\xc0"),
    ("a result of one part", b"\x94\x01\x07\xc0\x91\xc4\x01d"),
    ("a result of three parts", b"\x94\x01\x07\xc0\x93\xc4\x01d\x80\x80"),
    ("a result that is text", b"\x94\x01\x07\xc0\x92\xa1d\x80"),
    ("a result with fields that are no map", b"\x94\x01\x07\xc0\x92\xc4\x01d\x90"),
    ("a field that is an integer", b"\x94\x01\x07\xc0\x92\xc4\x01d\x81\xa4hint\x01"),
    ("an error that is text", b"\x94\x01\x07\xaaOverloaded\xc0"),
    ("an error of three parts", b"\x94\x01\x07\x93\xaaOverloaded\x80\x80\xc0"),
    ("an error without fields", b"\x94\x01\x07\x91\xaaOverloaded\xc0"),
    ("a notification without a name", b"\x93\x02\xc0\x90"),
    ("a notification about rules as text", b"\x93\x02\xa5rules\x91\xa1a"),
    ("a claim of 2^32 - 1 bytes", b"\x94\x01\x07\xc0\x92\xc6\xff\xff\xff\xff"),
];

pub fn write(cases: &mut Cases) {
    cases.section("server to edge, as we write it");
    write_results(cases);
    write_errors(cases);
    write_other_messages(cases);
}

pub fn write_other_encodings(cases: &mut Cases) {
    cases.section("server to edge, in other forms");
    for (title, bytes) in OTHER_ENCODINGS {
        record_message(cases, title, bytes);
    }
    cases.section("server to edge, malformed or too long");
    for (title, bytes) in INVALID {
        record_message(cases, title, bytes);
    }
}
