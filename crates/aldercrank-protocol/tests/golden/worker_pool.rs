//! Events of the worker pool: the bytes that the codec writes, and what a server reads in them and in other input.

use crate::text::{escaped, filler, Cases};
use crate::worker_commands::attempt_id;
use aldercrank::Outcome;
use aldercrank_protocol::worker_pool::{
    self, AttemptId, EventHandler, EventReader, NoticeNumber, RunOutcome,
};
use std::time::Duration;

/// Records the calls of the codec, one line each.
#[derive(Default)]
struct EventRecorder(Vec<String>);

/// The name of a run's outcome in the protocol.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "ok",
        Outcome::Failed => "failed",
        Outcome::Cancelled => "halted",
        Outcome::NeverStarted => "void",
        _ => "none that the protocol has",
    }
}

impl EventHandler for EventRecorder {
    fn bound(&mut self, cold: bool, age: Duration) {
        self.0.push(format!("bound cold={cold} age={age:?}"));
    }
    fn run_finished(
        &mut self,
        notice: NoticeNumber,
        attempt: AttemptId,
        outcome: Outcome,
        run_time: Duration,
        result: &[u8],
    ) {
        let (end, result) = (outcome_name(outcome), escaped(result));
        self.0.push(format!(
            "finished notice={} rid={attempt} end={end} took={run_time:?} result={result:?}",
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

/// Records one input with what is read in it, and checks that the same is read byte by byte. Payloads are limited to
/// `max_payload_bytes`.
fn record_input_with_limit(cases: &mut Cases, title: &str, bytes: &[u8], max_payload_bytes: usize) {
    let (mut recorder, mut reader, mut consumed) =
        (EventRecorder::default(), EventReader::with_limit(max_payload_bytes), 0);
    loop {
        let announced = reader.message_length(&bytes[consumed..]);
        match reader.read(&bytes[consumed..], &mut recorder) {
            Some(length) => {
                consumed += length;
                recorder.0.push(format!("{length} bytes taken, {announced:?} announced"));
            }
            None => {
                recorder.0.push(format!("{} bytes left, {announced:?} announced", bytes.len() - consumed));
                break;
            }
        }
    }
    cases.case(title, &escaped(bytes), &recorder.0);
    // Long inputs are left out: a line over the limit is discarded in other steps when it arrives byte by byte.
    if bytes.len() < 1_000 {
        assert_eq!(read_byte_by_byte(bytes, max_payload_bytes), handler_calls(&recorder.0), "{title}");
    }
}

/// The recorded lines without those that state lengths.
fn handler_calls(lines: &[String]) -> Vec<String> {
    lines.iter().filter(|line| !line.ends_with("announced")).cloned().collect()
}

fn read_byte_by_byte(bytes: &[u8], max_payload_bytes: usize) -> Vec<String> {
    let (mut recorder, mut reader, mut buffer) =
        (EventRecorder::default(), EventReader::with_limit(max_payload_bytes), Vec::new());
    for byte in bytes {
        buffer.push(*byte);
        while let Some(length) = reader.read(&buffer, &mut recorder) {
            buffer.drain(..length);
        }
    }
    recorder.0
}

fn record_input(cases: &mut Cases, title: &str, bytes: &[u8]) {
    record_input_with_limit(cases, title, bytes, worker_pool::MAX_PAYLOAD_BYTES);
}

fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

fn run_finished(end: RunOutcome, run_time: Duration, result: &[u8]) -> Vec<u8> {
    encoded(|b| {
        worker_pool::write_run_finished(
            b,
            NoticeNumber(7),
            attempt_id("0123456789abcdef"),
            end,
            run_time,
            result,
        )
    })
}

fn write_encoded_events(cases: &mut Cases) {
    let micros = Duration::from_micros;
    let id = || attempt_id("0123456789abcdef");
    record_input(cases, "bound, cold", &encoded(|b| worker_pool::write_bound(b, true, Duration::ZERO)));
    record_input(cases, "bound, warm", &encoded(|b| worker_pool::write_bound(b, false, micros(12_345_678))));
    record_input(
        cases,
        "finished ok",
        &run_finished(RunOutcome::Completed, micros(18_500), b"r\r\n\x00\xff"),
    );
    record_input(cases, "finished failed", &run_finished(RunOutcome::Failed, micros(1), b""));
    record_input(
        cases,
        "finished halted",
        &run_finished(RunOutcome::Cancelled, Duration::from_nanos(1_499), b""),
    );
    record_input(cases, "finished void", &run_finished(RunOutcome::NeverStarted, Duration::ZERO, b""));
    record_input(
        cases,
        "finished after an hour",
        &run_finished(RunOutcome::Completed, Duration::from_secs(3600), b"r"),
    );
    let longest = run_finished(RunOutcome::Completed, micros(9), &filler(worker_pool::MAX_PAYLOAD_BYTES));
    record_input(cases, "finished with the longest result", &longest);
    record_input(cases, "finished, cut short", &longest[..longest.len() - 1]);
    let short = run_finished(RunOutcome::Completed, micros(9), b"12345678");
    record_input_with_limit(cases, "a result as long as is taken", &short, 8);
    record_input_with_limit(cases, "a result longer than is taken", &short, 7);
    record_input(
        cases,
        "blocked",
        &encoded(|b| worker_pool::write_run_blocked(b, NoticeNumber(8), id(), b"call\r\n")),
    );
    record_input(
        cases,
        "blocked without a body",
        &encoded(|b| worker_pool::write_run_blocked(b, NoticeNumber(u64::MAX), id(), b"")),
    );
    let load_metrics = [0.62, 3.0, 0.00004, 1e6, -1.0];
    record_input(cases, "polled", &encoded(|b| worker_pool::write_metrics(b, "5", &load_metrics)));
    record_input(cases, "polled without gauges", &encoded(|b| worker_pool::write_metrics(b, "6", &[])));
    record_input(
        cases,
        "polled with fourteen gauges",
        &encoded(|b| worker_pool::write_metrics(b, "7", &[0.5; 14])),
    );
    record_input(
        cases,
        "polled with fifteen gauges",
        &encoded(|b| worker_pool::write_metrics(b, "7", &[0.5; 15])),
    );
    record_input(
        cases,
        "polled with a word for a tag",
        &encoded(|b| worker_pool::write_metrics(b, "sweep", &[0.5])),
    );
    record_input(cases, "unknown", &encoded(|b| worker_pool::write_unknown_attempt(b, "suspend", id())));
    let several = [
        short,
        encoded(|b| worker_pool::write_metrics(b, "8", &[1.0])),
        run_finished(RunOutcome::NeverStarted, micros(2), b"z"),
    ];
    record_input(cases, "three messages in one buffer", &several.concat());
}

const OTHER_INPUT: [(&str, &[u8]); 42] = [
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
    write_encoded_events(cases);
    cases.section("worker pool to server, in other forms and malformed");
    for (title, bytes) in OTHER_INPUT {
        record_input(cases, title, bytes);
    }
    let long = [&filler(100)[..], b" 1\r\n"].concat();
    record_input(cases, "nonsense longer than is shown", &long);
    let line = |length: usize| [&b"chatter 1 "[..], &filler(length - 10), b"\r\npolled 1\r\n"].concat();
    record_input(cases, "a line of 16384 letters", &line(16_384));
    record_input(cases, "a line of 16385 letters that has come whole", &line(16_385));
    record_input(cases, "16385 letters without an end", &line(16_385)[..16_385]);
    write_split_long_line(cases, &line(40_000));
    write_attempt_ids(cases);
}

/// A line over the length limit that arrives in several pieces.
fn write_split_long_line(cases: &mut Cases, bytes: &[u8]) {
    let (mut recorder, mut reader, mut buffer) =
        (EventRecorder::default(), EventReader::default(), Vec::new());
    for piece in bytes.chunks(20_001) {
        buffer.extend(piece);
        while let Some(length) = reader.read(&buffer, &mut recorder) {
            recorder.0.push(format!("{length} bytes taken"));
            buffer.drain(..length);
        }
    }
    cases.case("a line of 40000 letters in pieces of 20001", &escaped(bytes), &recorder.0);
}

/// Which texts are valid attempt ids, and how these are written.
fn write_attempt_ids(cases: &mut Cases) {
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
