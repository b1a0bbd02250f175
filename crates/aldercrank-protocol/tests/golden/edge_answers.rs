//! What servers send to edge nodes: the bytes that we write, and what an edge node reads, in other forms as well.

use crate::text::{escaped, filler, hex, Cases};
use aldercrank_protocol::msgpack_rpc::{self, MessageId, ReceivedFields, ResponseFields, ResponseHandler};
use std::time::Duration;

/// The longest answer that the reading edge node takes.
const MOST: usize = 4096;

/// The lines of what an edge node reads.
#[derive(Default)]
struct EdgeReads(Vec<String>);

fn beside(with: ReceivedFields) -> String {
    let ReceivedFields { load_hint: hint, retry_after, is_final: last, version: rules } = with;
    format!("hint={hint:?} backoff={retry_after:?} final={last} rules={rules:?}")
}

impl ResponseHandler for EdgeReads {
    fn completed(&mut self, call: MessageId, result: &[u8], with: ReceivedFields) {
        self.0.push(format!("result of {}: {:?} {}", call.0, escaped(result), beside(with)));
    }
    fn rejected(&mut self, call: MessageId, with: ReceivedFields) {
        self.0.push(format!("error of {}: Overloaded {}", call.0, beside(with)));
    }
    fn failed(&mut self, call: MessageId, why: &str, with: ReceivedFields) {
        self.0.push(format!("error of {}: other {why:?} {}", call.0, beside(with)));
    }
    fn health_reported(&mut self, call: MessageId, good: bool, with: ReceivedFields) {
        self.0.push(format!("health check {}: {good} {}", call.0, beside(with)));
    }
    fn closing(&mut self) {
        self.0.push("closing".to_string());
    }
    fn notified(&mut self, body: &[u8]) {
        self.0.push(format!("notification about rules: {:?}", escaped(body)));
    }
}

fn read_all(bytes: &[u8]) -> Vec<String> {
    let (mut reads, mut at) = (EdgeReads::default(), 0);
    loop {
        match msgpack_rpc::read_response(&bytes[at..], MOST, &mut reads) {
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

/// One case of what a server sends.
fn sent_by_server(cases: &mut Cases, title: &str, bytes: &[u8]) {
    let nothing =
        |n: &usize| msgpack_rpc::read_response(&bytes[..*n], MOST, &mut EdgeReads::default()) == Ok(None);
    let decided = (0..=bytes.len()).find(|n| !nothing(n));
    let mut meaning = read_all(bytes);
    match decided {
        Some(n) => meaning.push(format!("decided with {n} of {} bytes", bytes.len())),
        None => meaning.push("never decided".to_string()),
    }
    cases.case(title, &hex(bytes), &meaning);
}

fn written(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

fn result(call: u32, result: &[u8], beside: ResponseFields) -> Vec<u8> {
    written(|into| {
        msgpack_rpc::write_completed(into, MessageId(call), result.len());
        into.extend(result);
        msgpack_rpc::write_completed_end(into, beside);
    })
}

const NOTHING: ResponseFields = ResponseFields { load_hint: None, version: None };
const BOTH: ResponseFields = ResponseFields { load_hint: Some("0.35"), version: Some(u64::MAX) };

fn write_results(cases: &mut Cases) {
    sent_by_server(cases, "an empty result", &result(0, b"", NOTHING));
    sent_by_server(cases, "a result with all that may go along", &result(1, b"done\x00\xff", BOTH));
    let hint = ResponseFields { load_hint: Some("12"), version: None };
    sent_by_server(cases, "a result with a hint", &result(2, b"d", hint));
    let rules = ResponseFields { load_hint: None, version: Some(0) };
    sent_by_server(cases, "a result with a version of the rules", &result(3, b"d", rules));
    for number in [127, 128, 255, 256, 65_535, 65_536, u32::MAX] {
        sent_by_server(cases, &format!("a result of call {number}"), &result(number, b"d", NOTHING));
    }
    for length in [255, 256, 4000, 5000, 70_000] {
        let bytes = result(4, &filler(length), NOTHING);
        sent_by_server(cases, &format!("a result of {length} bytes"), &bytes);
    }
}

fn write_errors(cases: &mut Cases) {
    let micros = Duration::from_micros;
    let spans = [None, Some(0), Some(1), Some(1_000), Some(1_001), Some(250_000), Some(3_600_000_000)];
    for span in spans {
        let bytes =
            written(|b| msgpack_rpc::write_rejected(b, MessageId(5), NOTHING, span.map(micros), false));
        sent_by_server(cases, &format!("a rejection with backoff {span:?} us"), &bytes);
    }
    let bytes = written(|b| msgpack_rpc::write_rejected(b, MessageId(6), NOTHING, None, true));
    sent_by_server(cases, "a rejection that is final", &bytes);
    let bytes = written(|b| msgpack_rpc::write_rejected(b, MessageId(7), BOTH, Some(micros(1_500)), true));
    sent_by_server(cases, "a rejection with all that may go along", &bytes);
    let bytes = written(|b| msgpack_rpc::write_failed(b, MessageId(8), NOTHING));
    sent_by_server(cases, "a failure", &bytes);
    let bytes = written(|b| msgpack_rpc::write_failed(b, MessageId(9), BOTH));
    sent_by_server(cases, "a failure with all that may go along", &bytes);
}

fn write_others(cases: &mut Cases) {
    for good in [true, false] {
        let bytes = written(|b| msgpack_rpc::write_health(b, MessageId(10), good, NOTHING));
        sent_by_server(cases, &format!("a health check answered with {good}"), &bytes);
        let bytes = written(|b| msgpack_rpc::write_health(b, MessageId(11), good, BOTH));
        sent_by_server(
            cases,
            &format!("a health check answered with {good}, and all that may go along"),
            &bytes,
        );
    }
    let closing = written(msgpack_rpc::write_closing);
    sent_by_server(cases, "closing", &closing);
    sent_by_server(
        cases,
        "a notification about rules",
        &written(|b| msgpack_rpc::write_notification(b, b"a body")),
    );
    sent_by_server(
        cases,
        "a notification about rules, empty",
        &written(|b| msgpack_rpc::write_notification(b, b"")),
    );
    sent_by_server(
        cases,
        "a notification about rules, 300 bytes",
        &written(|b| msgpack_rpc::write_notification(b, &filler(300))),
    );
    let several = [result(12, b"d", BOTH), closing, result(13, b"e", NOTHING)].concat();
    sent_by_server(cases, "three messages in one buffer", &several);
    sent_by_server(cases, "three messages, the last cut short", &several[..several.len() - 1]);
}

type Form = (&'static str, &'static [u8]);

const OTHER_FORMS: [Form; 22] = [
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

const BROKEN: [Form; 21] = [
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
    write_others(cases);
}

pub fn write_forms(cases: &mut Cases) {
    cases.section("server to edge, in other forms");
    for (title, bytes) in OTHER_FORMS {
        sent_by_server(cases, title, bytes);
    }
    cases.section("server to edge, malformed or too long");
    for (title, bytes) in BROKEN {
        sent_by_server(cases, title, bytes);
    }
}
