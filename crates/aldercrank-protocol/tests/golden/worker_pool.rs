//! What the worker pool tells its server: the lines that we write for it, and what a server reads.

use crate::text::{escaped, filler, Cases};
use crate::worker_commands::request_id;
use aldercrank::Outcome;
use aldercrank_protocol::worker_pool::{self, AttemptId, EventHandler, EventReader, NoticeNumber, RunEnd};
use std::time::Duration;

/// The lines of what a server reads.
#[derive(Default)]
struct ServerReads(Vec<String>);

/// A run's end in the words of the protocol.
fn end_word(how: Outcome) -> &'static str {
    match how {
        Outcome::Completed => "ok",
        Outcome::Failed => "failed",
        Outcome::Cancelled => "halted",
        Outcome::NeverStarted => "void",
        _ => "none that the protocol has",
    }
}

impl EventHandler for ServerReads {
    fn bound(&mut self, cold: bool, age: Duration) {
        self.0.push(format!("bound cold={cold} age={age:?}"));
    }
    fn run_finished(
        &mut self,
        notice: NoticeNumber,
        attempt: AttemptId,
        how: Outcome,
        took: Duration,
        result: &[u8],
    ) {
        let (end, result) = (end_word(how), escaped(result));
        self.0.push(format!(
            "finished notice={} rid={attempt} end={end} took={took:?} result={result:?}",
            notice.0
        ));
    }
    fn run_blocked(&mut self, notice: NoticeNumber, attempt: AttemptId, body: &[u8]) {
        self.0.push(format!("blocked notice={} rid={attempt} body={:?}", notice.0, escaped(body)));
    }
    fn other_notice(&mut self, notice: NoticeNumber) {
        self.0.push(format!("chatter notice={}", notice.0));
    }
    fn metrics_reported(&mut self, tag: u64, load_metrics: &[f64]) {
        self.0.push(format!("polled tag={tag} gauges={load_metrics:?}"));
    }
    fn unknown_attempt(&mut self, command: &str, id: &str) {
        self.0.push(format!("unknown command={command:?} id={id:?}"));
    }
    fn malformed_line(&mut self, line: &str) {
        self.0.push(format!("nonsense: {line:?}"));
    }
}

fn sent_by_pool_at_most(cases: &mut Cases, title: &str, bytes: &[u8], most: usize) {
    let (mut reads, mut reader, mut at) = (ServerReads::default(), EventReader::with_limit(most), 0);
    loop {
        let wants = reader.awaited_length(&bytes[at..]);
        match reader.read(&bytes[at..], &mut reads) {
            Some(length) => {
                at += length;
                reads.0.push(format!("{length} bytes taken, {wants:?} announced"));
            }
            None => break reads.0.push(format!("{} bytes left, {wants:?} announced", bytes.len() - at)),
        }
    }
    cases.case(title, &escaped(bytes), &reads.0);
    // Byte by byte the same messages come; a line over the limit is passed over in other steps.
    if bytes.len() < 1_000 {
        assert_eq!(one_byte_at_a_time(bytes, most), handler_calls(&reads.0), "{title}");
    }
}

fn handler_calls(lines: &[String]) -> Vec<String> {
    lines.iter().filter(|l| !l.ends_with("announced")).cloned().collect()
}

fn one_byte_at_a_time(bytes: &[u8], most: usize) -> Vec<String> {
    let (mut reads, mut reader, mut buffer) =
        (ServerReads::default(), EventReader::with_limit(most), Vec::new());
    for byte in bytes {
        buffer.push(*byte);
        while let Some(length) = reader.read(&buffer, &mut reads) {
            buffer.drain(..length);
        }
    }
    reads.0
}

fn sent_by_pool(cases: &mut Cases, title: &str, bytes: &[u8]) {
    sent_by_pool_at_most(cases, title, bytes, worker_pool::MAX_PAYLOAD_BYTES);
}

fn written(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

fn finished(end: RunEnd, took: Duration, result: &[u8]) -> Vec<u8> {
    written(|b| {
        worker_pool::write_run_finished(b, NoticeNumber(7), request_id("0123456789abcdef"), end, took, result)
    })
}

fn write_ours(cases: &mut Cases) {
    let micros = Duration::from_micros;
    let id = || request_id("0123456789abcdef");
    sent_by_pool(cases, "bound, cold", &written(|b| worker_pool::write_bound(b, true, Duration::ZERO)));
    sent_by_pool(cases, "bound, warm", &written(|b| worker_pool::write_bound(b, false, micros(12_345_678))));
    sent_by_pool(cases, "finished ok", &finished(RunEnd::Completed, micros(18_500), b"r\r\n\x00\xff"));
    sent_by_pool(cases, "finished failed", &finished(RunEnd::Failed, micros(1), b""));
    sent_by_pool(cases, "finished halted", &finished(RunEnd::Cancelled, Duration::from_nanos(1_499), b""));
    sent_by_pool(cases, "finished void", &finished(RunEnd::NeverStarted, Duration::ZERO, b""));
    sent_by_pool(
        cases,
        "finished after an hour",
        &finished(RunEnd::Completed, Duration::from_secs(3600), b"r"),
    );
    let longest = finished(RunEnd::Completed, micros(9), &filler(worker_pool::MAX_PAYLOAD_BYTES));
    sent_by_pool(cases, "finished with the longest result", &longest);
    sent_by_pool(cases, "finished, cut short", &longest[..longest.len() - 1]);
    let short = finished(RunEnd::Completed, micros(9), b"12345678");
    sent_by_pool_at_most(cases, "a result as long as is taken", &short, 8);
    sent_by_pool_at_most(cases, "a result longer than is taken", &short, 7);
    sent_by_pool(
        cases,
        "blocked",
        &written(|b| worker_pool::write_run_blocked(b, NoticeNumber(8), id(), b"call\r\n")),
    );
    sent_by_pool(
        cases,
        "blocked without a body",
        &written(|b| worker_pool::write_run_blocked(b, NoticeNumber(u64::MAX), id(), b"")),
    );
    let load_metrics = [0.62, 3.0, 0.00004, 1e6, -1.0];
    sent_by_pool(cases, "polled", &written(|b| worker_pool::write_metrics(b, "5", &load_metrics)));
    sent_by_pool(cases, "polled without gauges", &written(|b| worker_pool::write_metrics(b, "6", &[])));
    sent_by_pool(
        cases,
        "polled with fourteen gauges",
        &written(|b| worker_pool::write_metrics(b, "7", &[0.5; 14])),
    );
    sent_by_pool(
        cases,
        "polled with fifteen gauges",
        &written(|b| worker_pool::write_metrics(b, "7", &[0.5; 15])),
    );
    sent_by_pool(
        cases,
        "polled with a word for a tag",
        &written(|b| worker_pool::write_metrics(b, "sweep", &[0.5])),
    );
    sent_by_pool(cases, "unknown", &written(|b| worker_pool::write_unknown_attempt(b, "suspend", id())));
    let several = [
        short,
        written(|b| worker_pool::write_metrics(b, "8", &[1.0])),
        finished(RunEnd::NeverStarted, micros(2), b"z"),
    ];
    sent_by_pool(cases, "three messages in one buffer", &several.concat());
}

const FORMS: [(&str, &[u8]); 42] = [
    ("chatter", b"chatter 9\r\n"),
    ("chatter with words", b"chatter 9 any words here\r\n"),
    ("chatter without a number", b"chatter x\r\n"),
    ("chatter alone", b"chatter\r\n"),
    ("several spaces", b"  bound   warm  5  \r\n"),
    ("bound with another state", b"bound lukewarm 5\r\n"),
    ("bound with more words", b"bound cold 5.25 more words\r\n"),
    ("bound without an age", b"bound cold\r\n"),
    ("bound with an age below zero", b"bound cold -1\r\n"),
    ("bound with an age that is no number", b"bound cold x\r\n"),
    ("bound with an age that is infinite", b"bound cold inf\r\n"),
    ("bound with an age in another form", b"bound cold 1e3\r\n"),
    ("unknown without an id", b"unknown hello\r\n"),
    ("unknown with more words", b"unknown spawn x y z\r\n"),
    ("unknown alone", b"unknown\r\n"),
    ("polled alone", b"polled\r\n"),
    ("polled with a gauge that is no number", b"polled 1 x 0.5\r\n"),
    ("polled with gauges in other forms", b"polled 1 1e2 .5 -0 7\r\n"),
    ("polled with a tag below zero", b"polled -1 0.5\r\n"),
    ("finished with another end", b"finished 1 0123456789abcdef crashed 2 1\r\nr\r\n"),
    ("finished with an id in capitals", b"finished 1 0123456789ABCDEF ok 2 1\r\nr\r\n"),
    ("finished with a span that is whole", b"finished 1 0123456789abcdef ok 2 0\r\n\r\n"),
    ("finished with a bad number", b"finished x 0123456789abcdef ok 2 1\r\nr\r\npolled 1\r\n"),
    ("finished with a bad id", b"finished 1 0123 ok 2 1\r\nr\r\npolled 1\r\n"),
    ("finished with a bad span", b"finished 1 0123456789abcdef ok x 1\r\nr\r\npolled 1\r\n"),
    ("finished with a span below zero", b"finished 1 0123456789abcdef ok -2 1\r\nr\r\npolled 1\r\n"),
    ("finished without a length", b"finished 1 0123456789abcdef ok 2 x\r\npolled 1\r\n"),
    ("finished with a length over the limit", b"finished 1 0123456789abcdef ok 2 262145\r\npolled 1\r\n"),
    ("finished with a length below zero", b"finished 1 0123456789abcdef ok 2 -1\r\npolled 1\r\n"),
    ("finished with a word too few", b"finished 1 0123456789abcdef ok 1\r\nr\r\npolled 1\r\n"),
    ("finished with a word too many", b"finished 1 0123456789abcdef ok 2 z 1\r\nr\r\npolled 1\r\n"),
    ("finished alone", b"finished\r\npolled 1\r\n"),
    ("finished with other bytes behind", b"finished 1 0123456789abcdef ok 2 1\r\nrXXpolled 1\r\n"),
    ("blocked with a bad id", b"blocked 1 x 1\r\nr\r\npolled 1\r\n"),
    ("blocked without a length", b"blocked 1 0123456789abcdef\r\npolled 1\r\n"),
    ("an unknown word", b"hello there\r\n"),
    ("a word in capitals", b"BOUND cold 5\r\n"),
    ("an empty line", b"\r\n"),
    ("a line that is not UTF-8", b"bound \xff 5\r\nhello \xff\r\n"),
    ("a line without its end", b"polled 1"),
    ("a line with half of its end", b"polled 1\r"),
    ("no bytes", b""),
];

pub fn write(cases: &mut Cases) {
    cases.section("worker pool to server, as we write it");
    write_ours(cases);
    cases.section("worker pool to server, in other forms and malformed");
    for (title, bytes) in FORMS {
        sent_by_pool(cases, title, bytes);
    }
    let long = [&filler(100)[..], b" 1\r\n"].concat();
    sent_by_pool(cases, "nonsense longer than is shown", &long);
    let line = |length: usize| [&b"chatter 1 "[..], &filler(length - 10), b"\r\npolled 1\r\n"].concat();
    sent_by_pool(cases, "a line of 16384 letters", &line(16_384));
    sent_by_pool(cases, "a line of 16385 letters that has come whole", &line(16_385));
    sent_by_pool(cases, "16385 letters without an end", &line(16_385)[..16_385]);
    write_cut_line(cases, &line(40_000));
    write_ids(cases);
}

/// A line over the limit that comes in pieces.
fn write_cut_line(cases: &mut Cases, bytes: &[u8]) {
    let (mut reads, mut reader, mut buffer) = (ServerReads::default(), EventReader::default(), Vec::new());
    for piece in bytes.chunks(20_001) {
        buffer.extend(piece);
        while let Some(length) = reader.read(&buffer, &mut reads) {
            reads.0.push(format!("{length} bytes taken"));
            buffer.drain(..length);
        }
    }
    cases.case("a line of 40000 letters in pieces of 20001", &escaped(bytes), &reads.0);
}

/// Which texts are ids of requests, and how they are written again.
fn write_ids(cases: &mut Cases) {
    cases.section("ids of requests");
    let texts = [
        "0123456789abcdef",
        "ABCDEF0123456789",
        "0123456789abcde",
        "0123456789abcdef0",
        "0123456789abcdeg",
        "",
    ];
    for text in texts {
        let id = AttemptId::new(text).map(|id| id.to_string());
        cases.case(&format!("id {text:?}"), text, &[format!("{id:?}")]);
    }
}
