//! Commands to the worker pool: the bytes that the codec writes, and what the pool reads in them and in other input.

use crate::text::{escaped, filler, Cases};
use aldercrank_protocol::worker_pool::{self, AttemptId, CommandHandler, NoticeNumber};

/// Records the calls of the codec, one line each.
#[derive(Default)]
struct CommandRecorder(Vec<String>);

impl CommandHandler for CommandRecorder {
    fn bind(&mut self, last: NoticeNumber) {
        self.0.push(format!("bind last={}", last.0));
    }
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]) {
        self.0.push(format!("spawn rid={attempt} class={class:?} body={:?}", escaped(body)));
    }
    fn stop_run(&mut self, attempt: AttemptId) {
        self.0.push(format!("suspend rid={attempt}"));
    }
    fn deliver_call_result(&mut self, attempt: AttemptId, result: &[u8]) {
        self.0.push(format!("supply rid={attempt} reply={:?}", escaped(result)));
    }
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber) {
        self.0.push(format!("pass rid={attempt} notice={}", notice.0));
    }
    fn report_metrics(&mut self, tag: &str) {
        self.0.push(format!("poll tag={tag:?}"));
    }
}

/// Records one input: the bytes, what is read in them, and the length of the shortest prefix that suffices for a
/// result.
fn record_input(cases: &mut Cases, title: &str, bytes: &[u8]) {
    let (mut recorder, mut consumed) = (CommandRecorder::default(), 0);
    loop {
        match worker_pool::read_command(&bytes[consumed..], &mut recorder) {
            Ok(Some(length)) => {
                consumed += length;
                recorder.0.push(format!("{length} bytes taken"));
            }
            Ok(None) => break,
            Err(error) => {
                recorder.0.push(format!("error: {error}"));
                break;
            }
        }
    }
    recorder.0.push(format!("{} bytes left", bytes.len() - consumed));
    let is_incomplete = |length: &usize| {
        worker_pool::read_command(&bytes[..*length], &mut CommandRecorder::default()) == Ok(None)
    };
    let decided = match bytes.len() {
        0..1_000 => (0..=bytes.len()).find(|length| !is_incomplete(length)),
        // Of a long input, only prefixes that lack at most 40 bytes are tried.
        total => (total - 40..=total).find(|length| !is_incomplete(length)),
    };
    recorder.0.push(match decided {
        Some(length) => format!("decided with {length} of {} bytes", bytes.len()),
        None => "never decided".to_string(),
    });
    cases.case(title, &escaped(bytes), &recorder.0);
}

fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

pub fn attempt_id(text: &str) -> AttemptId {
    AttemptId::new(text).expect("16 hexadecimal digits")
}

const OTHER_INPUT: [(&str, &[u8]); 28] = [
    ("several spaces", b"  suspend   0123456789abcdef  \r\n"),
    ("an id in capitals", b"suspend 0123456789ABCDEF\r\n"),
    ("a poll with a word for a tag", b"poll a-tag\r\n"),
    ("line ends inside a body", b"spawn 0123456789abcdef look 4\r\n\r\n\r\n\r\n"),
    ("a body with other bytes behind it", b"spawn 0123456789abcdef look 1\r\nbXX"),
    ("a length with a plus", b"supply 0123456789abcdef +1\r\nb\r\n"),
    ("no bytes", b""),
    ("a line without its end", b"poll 1"),
    ("a line with half of its end", b"poll 1\r"),
    ("a line with the other end alone", b"poll 1\n"),
    ("an empty line", b"\r\n"),
    ("an unknown word", b"hello 1\r\n"),
    ("a word in capitals", b"POLL 1\r\n"),
    ("a poll without a tag", b"poll\r\n"),
    ("a poll with two tags", b"poll 1 2\r\n"),
    ("a bind without a number", b"bind x\r\n"),
    ("a bind below zero", b"bind -1\r\n"),
    ("a pass without a number", b"pass 0123456789abcdef x\r\n"),
    ("a pass of one word", b"pass 0123456789abcdef\r\n"),
    ("an id that is too short", b"suspend 0123456789abcde\r\n"),
    ("an id that is too long", b"suspend 0123456789abcdef0\r\n"),
    ("an id with another letter", b"suspend 0123456789abcdeg\r\n"),
    ("a length that is a word", b"spawn 0123456789abcdef look x\r\n"),
    ("a length below zero", b"supply 0123456789abcdef -1\r\n"),
    ("a length over the limit", b"supply 0123456789abcdef 262145\r\n"),
    ("a spawn of three words", b"spawn 0123456789abcdef 1\r\n"),
    ("a bad id with a good length", b"supply x 1\r\nb\r\n"),
    ("a line that is not UTF-8", b"poll \xff\r\n"),
];

pub fn write(cases: &mut Cases) {
    let id = || attempt_id("0123456789abcdef");
    cases.section("server to worker pool, as we write it");
    for last in [0, 1, u64::MAX] {
        record_input(
            cases,
            &format!("bind {last}"),
            &encoded(|b| worker_pool::write_bind(b, NoticeNumber(last))),
        );
    }
    let spawn = |body: &[u8]| {
        encoded(|b| {
            worker_pool::write_start_run(b, id(), "look", body.len());
            b.extend(body);
            worker_pool::write_payload_end(b);
        })
    };
    record_input(cases, "spawn without a body", &spawn(b""));
    record_input(cases, "spawn with a body", &spawn(b"a\r\n\x00\xff"));
    record_input(cases, "spawn with 2048 bytes", &spawn(&filler(2048)));
    record_input(
        cases,
        "suspend",
        &encoded(|b| worker_pool::write_stop_run(b, attempt_id("FEDCBA9876543210"))),
    );
    record_input(cases, "supply without a reply", &encoded(|b| worker_pool::write_call_result(b, id(), b"")));
    record_input(
        cases,
        "supply with a reply",
        &encoded(|b| worker_pool::write_call_result(b, id(), b"r\r\n")),
    );
    let longest =
        encoded(|b| worker_pool::write_call_result(b, id(), &filler(worker_pool::MAX_PAYLOAD_BYTES)));
    record_input(cases, "supply with the longest reply", &longest);
    let too_long =
        encoded(|b| worker_pool::write_call_result(b, id(), &filler(worker_pool::MAX_PAYLOAD_BYTES + 1)));
    record_input(cases, "supply with one byte more", &too_long);
    record_input(cases, "pass", &encoded(|b| worker_pool::write_skip_call(b, id(), NoticeNumber(42))));
    record_input(cases, "poll", &encoded(|b| worker_pool::write_metrics_request(b, u64::MAX)));
    let several =
        [spawn(b"ab"), encoded(|b| worker_pool::write_metrics_request(b, 1)), spawn(b"cd")].concat();
    record_input(cases, "three commands in one buffer", &several);
    record_input(cases, "three commands, the last cut short", &several[..several.len() - 1]);
    cases.section("server to worker pool, in other forms and malformed");
    for (title, bytes) in OTHER_INPUT {
        record_input(cases, title, bytes);
    }
    let line = |length: usize| [&b"poll "[..], &filler(length - 5), b"\r\n"].concat();
    record_input(cases, "a line of 16384 letters", &line(16_384));
    record_input(cases, "a line of 16385 letters that has come whole", &line(16_385));
    record_input(cases, "16385 letters without an end", &line(16_385)[..16_385]);
}
