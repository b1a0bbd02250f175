//! Tests of all codecs with input that is split at any position, truncated, corrupted or random.

use aldercrank::Outcome;
use aldercrank_server::core::MessageId;
use aldercrank_server::worker_pool::{self, AttemptId, EventHandler, NoticeNumber};
use aldercrank_server::{http, index, membership, msgpack_rpc};
use quickcheck::{Gen, QuickCheck};
use rmp::encode::{write_array_len, write_bin, write_map_len, write_sint, write_str, write_uint};
use std::time::Duration;

const ATTEMPT_ID: &str = "9b1f03aa5c7e2d41";

/// Records the calls of a codec, one line each.
#[derive(Default)]
struct Recorder(Vec<String>);

impl msgpack_rpc::RequestHandler for Recorder {
    fn request(&mut self, call: MessageId, method: &str, fields: &msgpack_rpc::RequestFields, body: &[u8]) {
        self.0.push(format!("request {} {method} {fields:?} {body:?}", call.0));
    }
    fn health_check(&mut self, call: MessageId) {
        self.0.push(format!("health check {}", call.0));
    }
    fn cancel(&mut self, call: MessageId) {
        self.0.push(format!("cancel {}", call.0));
    }
    fn invalid_request(&mut self, call: MessageId, _reason: msgpack_rpc::InvalidRequest) {
        self.0.push(format!("invalid request {}", call.0));
    }
    fn unexpected_message(&mut self, _reason: msgpack_rpc::UnexpectedMessage) {
        self.0.push("unknown notification".to_string());
    }
}

impl EventHandler for Recorder {
    fn bound(&mut self, cold: bool, age: Duration) {
        self.0.push(format!("bound {cold} {age:?}"));
    }
    fn run_finished(
        &mut self,
        notice: NoticeNumber,
        attempt: AttemptId,
        outcome: Outcome,
        run_time: Duration,
        result: &[u8],
    ) {
        self.0.push(format!("finished {} {attempt} {outcome:?} {run_time:?} {result:?}", notice.0));
    }
    fn run_blocked(&mut self, notice: NoticeNumber, attempt: AttemptId, body: &[u8]) {
        self.0.push(format!("blocked {} {attempt} {body:?}", notice.0));
    }
    fn other_notice(&mut self, notice: NoticeNumber) {
        self.0.push(format!("chatter {}", notice.0));
    }
    fn metrics_reported(&mut self, tag: u64, load_metrics: &[f64]) {
        self.0.push(format!("polled {tag} {load_metrics:?}"));
    }
    fn unknown_attempt(&mut self, command: &str, id: &str) {
        self.0.push(format!("unknown {command} {id}"));
    }
    fn malformed_line(&mut self, _line: &str) {
        self.0.push("malformed line".to_string());
    }
}

pub fn request_message(id: u32, method: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write_array_len(&mut out, 4).unwrap();
    write_uint(&mut out, 0).unwrap();
    write_uint(&mut out, u64::from(id)).unwrap();
    write_str(&mut out, method).unwrap();
    write_array_len(&mut out, 2).unwrap();
    write_map_len(&mut out, fields.len() as u32).unwrap();
    for (name, value) in fields {
        write_str(&mut out, name).unwrap();
        write_str(&mut out, value).unwrap();
    }
    write_bin(&mut out, body).unwrap();
    out
}

pub fn cancellation_message(id: u32) -> Vec<u8> {
    let mut out = vec![0x93, 2];
    write_str(&mut out, "interrupt").unwrap();
    out.push(0x91);
    write_uint(&mut out, u64::from(id)).unwrap();
    out
}

pub fn health_check_message(id: u32) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    write_uint(&mut out, u64::from(id)).unwrap();
    write_str(&mut out, "check").unwrap();
    out.extend([0x91, 0x80]);
    out
}

/// Asserts that the input is read the same as a whole, split in two at any position, and byte by byte. Returns what was
/// read.
fn read_with_all_splits(bytes: &[u8], mut read: impl FnMut(&[&[u8]]) -> Vec<String>) -> Vec<String> {
    let whole = read(&[bytes]);
    for at in 0..bytes.len() {
        assert_eq!(read(&[&bytes[..at], &bytes[at..]]), whole, "split at {at}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(read(&single), whole, "byte by byte");
    whole
}

fn read_requests(parts: &[&[u8]]) -> Vec<String> {
    let (mut recorded, mut buf) = (Recorder::default(), Vec::new());
    for part in parts {
        buf.extend(*part);
        loop {
            match msgpack_rpc::read_request(&buf, &mut recorded) {
                Ok(Some(n)) => drop(buf.drain(..n)),
                Ok(None) => break,
                Err(error) => {
                    recorded.0.push(error.to_string());
                    return recorded.0;
                }
            }
        }
    }
    recorded.0
}

fn read_events(parts: &[&[u8]]) -> Vec<String> {
    let (mut recorded, mut buf, mut reader) =
        (Recorder::default(), Vec::new(), worker_pool::EventReader::default());
    for part in parts {
        buf.extend(*part);
        while let Some(n) = reader.read(&buf, &mut recorded) {
            buf.drain(..n);
        }
    }
    recorded.0
}

#[test]
fn messages_of_edge_nodes_are_read_however_they_are_split() {
    let fields =
        [("rid", ATTEMPT_ID), ("t0", "1764576000123"), ("mem", "24.5"), ("prio", "-1"), ("new", "x")];
    let mut bytes = request_message(7, "checkout", &fields, &[0, 13, 10, 255]);
    bytes.extend(cancellation_message(7));
    bytes.extend(health_check_message(9));
    bytes.extend(request_message(10, "checkout", &[], &[0; 3000]));
    bytes.extend([0x93, 2, 0xa3, b'o', b'd', b'd', 0x90]);
    // A request whose fields are an array, not a map: it has an id, so it is reported as an invalid request.
    bytes.extend([0x94, 0, 11, 0xa1, b'p', 0x92, 0x90, 0xc0]);
    let recorded = read_with_all_splits(&bytes, read_requests);
    assert!(recorded[0].starts_with("request 7 checkout") && recorded[0].ends_with("[0, 13, 10, 255]"));
    assert!(recorded[0].contains("sent_at_ms: Some(1764576000123)") && recorded[0].contains("rank: None"));
    let rest =
        ["cancel 7", "health check 9", "invalid request 10", "unknown notification", "invalid request 11"];
    assert_eq!(recorded[1..], rest);
}

#[test]
fn invalid_messages_are_errors_and_oversized_ones_before_they_are_complete() {
    assert_eq!(read_requests(&[&[0xc1]]), ["invalid MessagePack: reserved byte 0xc1"]);
    assert_eq!(read_requests(&[&[0x2a]]), ["message is not an array"]);
    assert_eq!(
        read_requests(&[&[0x94, 7, 1, 0xa0, 0xc0]]),
        ["unknown message type, or wrong number of elements"]
    );
    assert_eq!(read_requests(&[&[0x94, 0, 0xa0, 0xa0, 0xc0]]), ["request without a valid message id"]);
    // A binary value of 2^32 - 1 bytes and an array of 2^32 - 1 values: the reader does not wait for their content.
    assert_eq!(read_requests(&[&[0x92, 0xc6, 255, 255, 255, 255]]), ["message exceeds the length limit"]);
    assert_eq!(
        read_requests(&[&[[0xdd, 255, 255, 255, 255].as_slice(), &[0xc0; 20_000]].concat()]),
        ["message exceeds the length limit"]
    );
    let mut negative = vec![0x94, 0];
    write_sint(&mut negative, -4).unwrap();
    negative.extend([0xa0, 0xc0]);
    assert_eq!(read_requests(&[&negative]), ["request without a valid message id"]);
}

#[test]
fn responses_carry_the_result_unchanged_and_the_given_fields() {
    let (mut plain, mut full) = (Vec::new(), Vec::new());
    msgpack_rpc::write_result_start(&mut plain, MessageId(7), 3);
    plain.extend([1, 2, 255]);
    msgpack_rpc::write_result_end(&mut plain, msgpack_rpc::ResponseFields::default());
    assert_eq!(plain, [0x94, 1, 7, 0xc0, 0x92, 0xc4, 3, 1, 2, 255, 0x80]);
    let fields = msgpack_rpc::ResponseFields { load_hint: Some("0.85"), version: None };
    msgpack_rpc::write_rejected(&mut full, MessageId(300), fields, Some(Duration::from_micros(1200)), true);
    let mut expected = vec![0x94, 1, 0xcd, 1, 44, 0x92, 0xaa];
    expected.extend(b"Overloaded\x83\xa4hint\xa40.85\xa7backoff\xa12\xa5final\xa11\xc0");
    assert_eq!(full, expected);
}

#[test]
fn events_of_the_worker_pool_are_read_however_they_are_split() {
    // Ages and run times may have a fraction.
    let mut bytes = b"bound cold 12.5\r\n".to_vec();
    bytes.extend(
        format!("finished 1 {ATTEMPT_ID} ok 62.067 4\r\n\r\n\r\n\r\nblocked 2 {ATTEMPT_ID} 0\r\n\r\n")
            .bytes(),
    );
    bytes.extend(
        format!("finished 3 {ATTEMPT_ID} void 0 0\r\n\r\nfinished 4 {ATTEMPT_ID} halted 1 0\r\n\r\n").bytes(),
    );
    bytes.extend(b"polled 5 0.62 3 x 120\r\nunknown supply 77\r\nchatter 6 finished 1 2\r\n");
    bytes.extend(format!("finished 7 {ATTEMPT_ID} odd 1 0\r\n\r\n").bytes());
    let recorded = read_with_all_splits(&bytes, read_events);
    let expected = [
        "bound true 12.5ms".to_string(),
        format!("finished 1 {ATTEMPT_ID} Completed 62.067ms [13, 10, 13, 10]"),
        format!("blocked 2 {ATTEMPT_ID} []"),
        format!("finished 3 {ATTEMPT_ID} NeverStarted 0ns []"),
        format!("finished 4 {ATTEMPT_ID} Cancelled 1ms []"),
        "polled 5 [0.62, 3.0, 0.0, 120.0]".to_string(),
        "unknown supply 77".to_string(),
        "chatter 6".to_string(),
        format!("finished 7 {ATTEMPT_ID} Failed 1ms []"),
    ];
    assert_eq!(recorded, expected);
}

#[test]
fn a_malformed_line_of_the_worker_pool_affects_no_other_line() {
    let bad = format!(
        "\r\nhello\r\nfinished x {ATTEMPT_ID} ok 1 0\r\n\r\nfinished 1 abc ok 1 0\r\n\r\nbound cold soon\r\n"
    );
    let long = [vec![b'x'; 50_000], b"\r\nchatter 9 on\r\n".to_vec()].concat();
    let recorded = read_events(&[bad.as_bytes(), &long]);
    assert_eq!(recorded.last().unwrap(), "chatter 9");
    assert!(recorded[..recorded.len() - 1].iter().all(|line| line == "malformed line"), "{recorded:?}");
    let parts: Vec<&[u8]> = long.chunks(999).collect();
    assert_eq!(read_events(&parts), ["malformed line", "chatter 9"]);
    // A stated payload length over the limit: only this line is malformed, and the next one is read.
    assert_eq!(
        read_events(&[format!("blocked 3 {ATTEMPT_ID} 99999999\r\nchatter 4 x\r\n").as_bytes()])
            .last()
            .unwrap(),
        "chatter 4"
    );
}

/// Reads a response that arrives in these parts. Returns it with its body once it is complete.
fn read_http_response(parts: &[&[u8]]) -> Result<Option<(http::Response, Vec<u8>)>, http::HttpError> {
    let (mut reader, mut buf) = (http::ResponseReader::default(), Vec::new());
    for part in parts {
        buf.extend(*part);
        if let Some(response) = reader.read(&buf)? {
            let body = buf[response.body.clone()].to_vec();
            return Ok(Some((response, body)));
        }
    }
    Ok(None)
}

#[test]
fn http_responses_are_read_when_complete_and_their_status_determines_the_outcome() {
    let read_outcome =
        |text: &str| read_http_response(&[text.as_bytes()]).ok().flatten().map(|r| index::call_outcome(&r.0));
    let empty =
        |status: &str, fields: &str| format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: 0\r\n\r\n");
    for (status, fields, outcome) in [
        ("200", "", Outcome::Completed),
        ("503", "X-Shed: 1\r\n", Outcome::Rejected),
        ("409", "x-shed: 1\r\n", Outcome::Rejected),
        // Without `X-Shed: 1` the call may have run.
        ("503", "", Outcome::Failed),
        ("409", "", Outcome::Failed),
        ("500", "X-Shed: 1\r\n", Outcome::Failed),
        ("504", "", Outcome::TimedOut),
        ("418", "", Outcome::Failed),
        ("201", "", Outcome::Failed),
    ] {
        assert_eq!(read_outcome(&empty(status, fields)), Some(outcome), "{status} {fields}");
    }
    // Interim responses before the response are skipped, and bytes after it (a second copy, or garbage) are ignored.
    let good = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\na\r\n\0b";
    let before = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(20);
    let whole = [before.as_slice(), good].concat();
    for at in 0..whole.len() {
        assert_eq!(read_http_response(&[&whole[..at]]), Ok(None), "cut at {at}");
    }
    let single: Vec<&[u8]> = whole.chunks(1).collect();
    for parts in [&[whole.as_slice(), good] as &[&[u8]], &[&whole, b"\xff\0"], &single] {
        assert_eq!(read_http_response(parts).unwrap().unwrap().1, b"a\r\n\0b");
    }
    for bad in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
        "SMTP ready\r\n\r\n",
    ] {
        assert!(read_http_response(&[bad.as_bytes()]).is_err(), "{bad}");
    }
    // An endless head, and an endless series of interim responses.
    assert!(read_http_response(&[&[b"HTTP/1.1 200 OK\r\nX: ".as_slice(), &[b'x'; 20_000]].concat()]).is_err());
    assert!(read_http_response(&[&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(100_000)]).is_err());
    let no_content = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    assert_eq!(read_http_response(&[no_content.as_bytes()]).unwrap().map(|r| r.0.status), Some(204));
}

#[test]
fn messages_to_dependency_membership_service_and_pool_carry_the_body_unchanged() {
    let attempt = AttemptId::new(ATTEMPT_ID).unwrap();
    let call = index::write_call("h", attempt, Duration::from_micros(250_900), b"\r\n\r\n");
    let text = String::from_utf8(call).unwrap();
    assert!(text.starts_with("POST /lookup HTTP/1.1\r\n") && text.ends_with("\r\n\r\n\r\n\r\n"));
    assert!(text.contains(&format!("X-Parent-Id: {ATTEMPT_ID}\r\nX-Budget-Ms: 250\r\nContent-Length: 4\r\n")));
    let report = String::from_utf8(membership::write_report("h", "n3", false, None, None)).unwrap();
    assert!(
        report.starts_with("PUT /members/n3 HTTP/1.1\r\n") && report.ends_with("\r\n\r\n{\"phase\":\"OUT\"}")
    );
    assert!(report.contains("Content-Length: 15\r\n"));
    let mut output = Vec::new();
    worker_pool::write_start_run(&mut output, attempt, "p", 3);
    output.extend(b"\0\r\n");
    worker_pool::write_payload_end(&mut output);
    worker_pool::write_skip_call(&mut output, attempt, NoticeNumber(8));
    assert_eq!(output, format!("spawn {ATTEMPT_ID} p 3\r\n\0\r\n\r\npass {ATTEMPT_ID} 8\r\n").into_bytes());
    assert!(AttemptId::new("9b1f03aa5c7e2d4g").is_none() && AttemptId::new("9b").is_none());
}

#[test]
fn no_input_makes_a_codec_panic_or_stall() {
    fn codecs_terminate(bytes: Vec<u8>, position: usize) -> bool {
        // Random bytes, and valid messages with one byte changed.
        let mut corrupted = request_message(3, "p", &[("rid", ATTEMPT_ID), ("t0", "12")], &bytes);
        let index = position % corrupted.len();
        corrupted[index] ^= bytes.first().copied().unwrap_or(1);
        let mut text = format!("finished 1 {ATTEMPT_ID} ok 1 3\r\nabc\r\nblocked 2 {ATTEMPT_ID} 1\r\nx\r\n")
            .into_bytes();
        let index = position % text.len();
        text[index] ^= bytes.first().copied().unwrap_or(1);
        read_requests(&[&bytes]).len() <= bytes.len() + 1
            && read_requests(&[&corrupted]).len() <= corrupted.len()
            && read_events(&[&bytes, &text]).len() <= bytes.len() + text.len()
            && read_http_response(&[&bytes]).is_err()
                | read_http_response(&bytes.chunks(7).collect::<Vec<_>>()).is_ok()
    }
    let mut tests = QuickCheck::new().tests(3000).rng(Gen::from_size_and_seed(120, 20261201));
    tests.quickcheck(codecs_terminate as fn(Vec<u8>, usize) -> bool);
}
