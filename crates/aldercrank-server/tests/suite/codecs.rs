//! Every codec on bytes split anywhere, cut short, and generated at random.

use aldercrank::Outcome;
use aldercrank_server::core::MessageId;
use aldercrank_server::worker_pool::{self, AttemptId, EventHandler, NoticeNumber};
use aldercrank_server::{http, index, membership, msgpack_rpc};
use quickcheck::{Gen, QuickCheck};
use rmp::encode::{write_array_len, write_bin, write_map_len, write_sint, write_str, write_uint};
use std::time::Duration;

const RID: &str = "9b1f03aa5c7e2d41";

/// Writes down what a codec says.
#[derive(Default)]
struct Heard(Vec<String>);

impl msgpack_rpc::Edge for Heard {
    fn request(&mut self, call: MessageId, method: &str, fields: &msgpack_rpc::RequestFields, body: &[u8]) {
        self.0.push(format!("asked {} {method} {fields:?} {body:?}", call.0));
    }
    fn health_check(&mut self, call: MessageId) {
        self.0.push(format!("checked {}", call.0));
    }
    fn cancel(&mut self, call: MessageId) {
        self.0.push(format!("interrupted {}", call.0));
    }
    fn invalid_request(&mut self, call: MessageId, _reason: msgpack_rpc::InvalidRequest) {
        self.0.push(format!("senseless {}", call.0));
    }
    fn unknown_notification(&mut self, _reason: msgpack_rpc::UnknownNotification) {
        self.0.push("ignored".to_string());
    }
}

impl EventHandler for Heard {
    fn bound(&mut self, cold: bool, age: Duration) {
        self.0.push(format!("bound {cold} {age:?}"));
    }
    fn run_finished(
        &mut self,
        n: NoticeNumber,
        attempt: AttemptId,
        how: Outcome,
        took: Duration,
        result: &[u8],
    ) {
        self.0.push(format!("finished {} {attempt} {how:?} {took:?} {result:?}", n.0));
    }
    fn run_blocked(&mut self, n: NoticeNumber, attempt: AttemptId, body: &[u8]) {
        self.0.push(format!("blocked {} {attempt} {body:?}", n.0));
    }
    fn other_notice(&mut self, n: NoticeNumber) {
        self.0.push(format!("chatter {}", n.0));
    }
    fn metrics_reported(&mut self, tag: u64, load_metrics: &[f64]) {
        self.0.push(format!("polled {tag} {load_metrics:?}"));
    }
    fn unknown_attempt(&mut self, command: &str, id: &str) {
        self.0.push(format!("unknown {command} {id}"));
    }
    fn malformed_line(&mut self, _line: &str) {
        self.0.push("nonsense".to_string());
    }
}

pub fn call(id: u32, method: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
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

pub fn interrupt(id: u32) -> Vec<u8> {
    let mut out = vec![0x93, 2];
    write_str(&mut out, "interrupt").unwrap();
    out.push(0x91);
    write_uint(&mut out, u64::from(id)).unwrap();
    out
}

pub fn check(id: u32) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    write_uint(&mut out, u64::from(id)).unwrap();
    write_str(&mut out, "check").unwrap();
    out.extend([0x91, 0x80]);
    out
}

/// Feeds bytes in two parts and then one by one: what is heard must be the same.
fn split_anywhere(bytes: &[u8], mut hear: impl FnMut(&[&[u8]]) -> Vec<String>) -> Vec<String> {
    let whole = hear(&[bytes]);
    for at in 0..bytes.len() {
        assert_eq!(hear(&[&bytes[..at], &bytes[at..]]), whole, "split at {at}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(hear(&single), whole, "byte by byte");
    whole
}

fn edge(parts: &[&[u8]]) -> Vec<String> {
    let (mut heard, mut buf) = (Heard::default(), Vec::new());
    for part in parts {
        buf.extend(*part);
        loop {
            match msgpack_rpc::read_request(&buf, &mut heard) {
                Ok(Some(n)) => drop(buf.drain(..n)),
                Ok(None) => break,
                Err(broken) => {
                    heard.0.push(broken.to_string());
                    return heard.0;
                }
            }
        }
    }
    heard.0
}

fn lines(parts: &[&[u8]]) -> Vec<String> {
    let (mut heard, mut buf, mut reader) =
        (Heard::default(), Vec::new(), worker_pool::EventReader::default());
    for part in parts {
        buf.extend(*part);
        while let Some(n) = reader.read(&buf, &mut heard) {
            buf.drain(..n);
        }
    }
    heard.0
}

#[test]
fn the_edges_calls_are_read_however_they_are_cut() {
    let fields = [("rid", RID), ("t0", "1764576000123"), ("mem", "24.5"), ("prio", "-1"), ("new", "x")];
    let mut bytes = call(7, "checkout", &fields, &[0, 13, 10, 255]);
    bytes.extend(interrupt(7));
    bytes.extend(check(9));
    bytes.extend(call(10, "checkout", &[], &[0; 3000]));
    bytes.extend([0x93, 2, 0xa3, b'o', b'd', b'd', 0x90]);
    // A call whose fields are a list has an id to answer to.
    bytes.extend([0x94, 0, 11, 0xa1, b'p', 0x92, 0x90, 0xc0]);
    let heard = split_anywhere(&bytes, edge);
    assert!(heard[0].starts_with("asked 7 checkout") && heard[0].ends_with("[0, 13, 10, 255]"));
    assert!(heard[0].contains("t0: Some(1764576000123)") && heard[0].contains("prio: None"));
    let rest = ["interrupted 7", "checked 9", "senseless 10", "ignored", "senseless 11"];
    assert_eq!(heard[1..], rest);
}

#[test]
fn what_is_no_message_breaks_and_a_long_one_breaks_before_it_is_whole() {
    assert_eq!(edge(&[&[0xc1]]), ["not MessagePack"]);
    assert_eq!(edge(&[&[0x2a]]), ["not a message"]);
    assert_eq!(edge(&[&[0x94, 7, 1, 0xa0, 0xc0]]), ["a message of no kind"]);
    assert_eq!(edge(&[&[0x94, 0, 0xa0, 0xa0, 0xc0]]), ["a call without an id"]);
    // An announced length, or a list of four thousand million, is not waited for.
    assert_eq!(edge(&[&[0x92, 0xc6, 255, 255, 255, 255]]), ["a message over the limit"]);
    assert_eq!(
        edge(&[&[[0xdd, 255, 255, 255, 255].as_slice(), &[0xc0; 20_000]].concat()]),
        ["a message over the limit"]
    );
    let mut negative = vec![0x94, 0];
    write_sint(&mut negative, -4).unwrap();
    negative.extend([0xa0, 0xc0]);
    assert_eq!(edge(&[&negative]), ["a call without an id"]);
}

#[test]
fn answers_carry_the_result_as_it_came_and_the_fields_asked_for() {
    let (mut plain, mut full) = (Vec::new(), Vec::new());
    msgpack_rpc::write_completed(&mut plain, MessageId(7), 3);
    plain.extend([1, 2, 255]);
    msgpack_rpc::write_completed_end(&mut plain, msgpack_rpc::ResponseFields::default());
    assert_eq!(plain, [0x94, 1, 7, 0xc0, 0x92, 0xc4, 3, 1, 2, 255, 0x80]);
    let beside = msgpack_rpc::ResponseFields { hint: Some("0.85"), rules: None };
    msgpack_rpc::write_rejected(&mut full, MessageId(300), beside, Some(Duration::from_micros(1200)), true);
    let mut expected = vec![0x94, 1, 0xcd, 1, 44, 0x92, 0xaa];
    expected.extend(b"Overloaded\x83\xa4hint\xa40.85\xa7backoff\xa12\xa5final\xa11\xc0");
    assert_eq!(full, expected);
}

#[test]
fn the_pools_lines_are_read_however_they_are_cut() {
    // Spans have a fraction: taken for nonsense, no result came through on the first calm day.
    let mut bytes = b"bound cold 12.5\r\n".to_vec();
    bytes.extend(format!("finished 1 {RID} ok 62.067 4\r\n\r\n\r\n\r\nblocked 2 {RID} 0\r\n\r\n").bytes());
    bytes.extend(format!("finished 3 {RID} void 0 0\r\n\r\nfinished 4 {RID} halted 1 0\r\n\r\n").bytes());
    bytes.extend(b"polled 5 0.62 3 x 120\r\nunknown supply 77\r\nchatter 6 finished 1 2\r\n");
    bytes.extend(format!("finished 7 {RID} odd 1 0\r\n\r\n").bytes());
    let heard = split_anywhere(&bytes, lines);
    let expected = [
        "bound true 12.5ms".to_string(),
        format!("finished 1 {RID} Completed 62.067ms [13, 10, 13, 10]"),
        format!("blocked 2 {RID} []"),
        format!("finished 3 {RID} NeverStarted 0ns []"),
        format!("finished 4 {RID} Cancelled 1ms []"),
        "polled 5 [0.62, 3.0, 0.0, 120.0]".to_string(),
        "unknown supply 77".to_string(),
        "chatter 6".to_string(),
        format!("finished 7 {RID} Failed 1ms []"),
    ];
    assert_eq!(heard, expected);
}

#[test]
fn nonsense_from_the_pool_costs_its_line_only() {
    let bad = format!(
        "\r\nhello\r\nfinished x {RID} ok 1 0\r\n\r\nfinished 1 abc ok 1 0\r\n\r\nbound cold soon\r\n"
    );
    let long = [vec![b'x'; 50_000], b"\r\nchatter 9 on\r\n".to_vec()].concat();
    let heard = lines(&[bad.as_bytes(), &long]);
    assert_eq!(heard.last().unwrap(), "chatter 9");
    assert!(heard[..heard.len() - 1].iter().all(|h| h == "nonsense"), "{heard:?}");
    let parts: Vec<&[u8]> = long.chunks(999).collect();
    assert_eq!(lines(&parts), ["nonsense", "chatter 9"]);
    // Longer than any result may be.
    assert_eq!(
        lines(&[format!("blocked 3 {RID} 99999999\r\nchatter 4 x\r\n").as_bytes()]).last().unwrap(),
        "chatter 4"
    );
}

/// What has come so far, in parts, and the reply once it is whole.
fn answer(parts: &[&[u8]]) -> Result<Option<(http::Response, Vec<u8>)>, http::HttpError> {
    let (mut reader, mut buf) = (http::ResponseReader::default(), Vec::new());
    for part in parts {
        buf.extend(*part);
        if let Some(reply) = reader.read(&buf)? {
            let body = buf[reply.body.clone()].to_vec();
            return Ok(Some((reply, body)));
        }
    }
    Ok(None)
}

#[test]
fn http_answers_are_read_when_whole_and_each_proves_what_its_status_says() {
    let outcome = |text: &str| answer(&[text.as_bytes()]).ok().flatten().map(|r| index::call_outcome(&r.0));
    let empty =
        |status: &str, fields: &str| format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: 0\r\n\r\n");
    for (status, fields, how) in [
        ("200", "", Outcome::Completed),
        ("503", "X-Shed: 1\r\n", Outcome::Rejected),
        ("409", "x-shed: 1\r\n", Outcome::Rejected),
        // Without the mark nothing is proved.
        ("503", "", Outcome::Failed),
        ("409", "", Outcome::Failed),
        ("500", "X-Shed: 1\r\n", Outcome::Failed),
        ("504", "", Outcome::TimedOut),
        ("418", "", Outcome::Failed),
        ("201", "", Outcome::Failed),
    ] {
        assert_eq!(outcome(&empty(status, fields)), Some(how), "{status} {fields}");
    }
    // Words in between, however many, and noise or a second copy behind, leave a good reply as it is.
    let good = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\na\r\n\0b";
    let before = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(20);
    let whole = [before.as_slice(), good].concat();
    for at in 0..whole.len() {
        assert_eq!(answer(&[&whole[..at]]), Ok(None), "cut at {at}");
    }
    let single: Vec<&[u8]> = whole.chunks(1).collect();
    for parts in [&[whole.as_slice(), good] as &[&[u8]], &[&whole, b"\xff\0"], &single] {
        assert_eq!(answer(parts).unwrap().unwrap().1, b"a\r\n\0b");
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
        assert!(answer(&[bad.as_bytes()]).is_err(), "{bad}");
    }
    // A head that does not end, and words in between that do not: on the stack they were as many frames.
    assert!(answer(&[&[b"HTTP/1.1 200 OK\r\nX: ".as_slice(), &[b'x'; 20_000]].concat()]).is_err());
    assert!(answer(&[&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(100_000)]).is_err());
    let closed = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    assert_eq!(answer(&[closed.as_bytes()]).unwrap().map(|r| r.0.status), Some(204));
}

#[test]
fn what_is_said_to_index_members_and_pool_has_the_body_as_it_came() {
    let attempt = AttemptId::new(RID).unwrap();
    let call = index::write_call("h", attempt, Duration::from_micros(250_900), b"\r\n\r\n");
    let text = String::from_utf8(call).unwrap();
    assert!(text.starts_with("POST /lookup HTTP/1.1\r\n") && text.ends_with("\r\n\r\n\r\n\r\n"));
    assert!(text.contains(&format!("X-Parent-Id: {RID}\r\nX-Budget-Ms: 250\r\nContent-Length: 4\r\n")));
    let report = String::from_utf8(membership::write_report("h", "n3", false, None, None)).unwrap();
    assert!(
        report.starts_with("PUT /members/n3 HTTP/1.1\r\n") && report.ends_with("\r\n\r\n{\"phase\":\"OUT\"}")
    );
    assert!(report.contains("Content-Length: 15\r\n"));
    let mut said = Vec::new();
    worker_pool::write_start_run(&mut said, attempt, "p", 3);
    said.extend(b"\0\r\n");
    worker_pool::write_payload_end(&mut said);
    worker_pool::write_skip_call(&mut said, attempt, NoticeNumber(8));
    assert_eq!(said, format!("spawn {RID} p 3\r\n\0\r\n\r\npass {RID} 8\r\n").into_bytes());
    assert!(AttemptId::new("9b1f03aa5c7e2d4g").is_none() && AttemptId::new("9b").is_none());
}

#[test]
fn no_bytes_at_all_make_a_codec_panic_or_stall() {
    fn any(bytes: Vec<u8>, at: usize) -> bool {
        // Bytes as they come, and a real message with a wound.
        let mut wounded = call(3, "p", &[("rid", RID), ("t0", "12")], &bytes);
        let spot = at % wounded.len();
        wounded[spot] ^= bytes.first().copied().unwrap_or(1);
        let mut text = format!("finished 1 {RID} ok 1 3\r\nabc\r\nblocked 2 {RID} 1\r\nx\r\n").into_bytes();
        let spot = at % text.len();
        text[spot] ^= bytes.first().copied().unwrap_or(1);
        edge(&[&bytes]).len() <= bytes.len() + 1
            && edge(&[&wounded]).len() <= wounded.len()
            && lines(&[&bytes, &text]).len() <= bytes.len() + text.len()
            && answer(&[&bytes]).is_err() | answer(&bytes.chunks(7).collect::<Vec<_>>()).is_ok()
    }
    let mut tests = QuickCheck::new().tests(3000).rng(Gen::from_size_and_seed(120, 20261201));
    tests.quickcheck(any as fn(Vec<u8>, usize) -> bool);
}
