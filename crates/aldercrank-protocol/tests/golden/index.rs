//! Calls to the index: what we write, what the index reads, and what each of its answers proves.

use crate::http::{answer_read, question};
use crate::text::{escaped, filler, Cases};
use crate::worker_commands::request_id;
use aldercrank::Outcome;
use aldercrank_protocol::{http, index};
use std::time::Duration;

/// An outcome in the words of the simulator's protocol.
fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "completed",
        Outcome::Failed => "errored",
        Outcome::Rejected => "saturated",
        Outcome::TimedOut => "overdue",
        Outcome::Unreachable => "refused_conn",
        Outcome::ConnectionLost => "severed",
        Outcome::Cancelled => "recalled",
        Outcome::NeverStarted => "superseded",
    }
}

fn write_calls(cases: &mut Cases) {
    let id = || request_id("0123456789abcdef");
    let spans = [0, 1, 999, 1_000, 1_999, 80_000, 3_600_000_000];
    for span in spans {
        let bytes = index::write_call("index:80", id(), Duration::from_micros(span), b"key");
        question(cases, &format!("a call given up after {span} us"), &bytes);
    }
    let second = Duration::from_secs(1);
    question(cases, "a call without a body", &index::write_call("[::1]:8080", id(), second, b""));
    question(
        cases,
        "a call with line ends in its body",
        &index::write_call("h", id(), second, b"a\r\n\r\n\x00\xff"),
    );
    question(cases, "a call with 2048 bytes", &index::write_call("h", id(), second, &filler(2048)));
}

fn write_answers(cases: &mut Cases) {
    for status in [200, 201, 204, 302, 400, 404, 409, 429, 500, 502, 503, 504] {
        for shed in [false, true] {
            let mut bytes = Vec::new();
            http::write_response(&mut bytes, status, shed, None, b"");
            let read = answer_read(&bytes).expect("an answer").expect("a whole one");
            let outcome = outcome_word(index::call_outcome(&read));
            cases.case(&format!("{status}, shed {shed}"), &escaped(&bytes), &[format!("outcome {outcome}")]);
        }
    }
}

pub fn write(cases: &mut Cases) {
    cases.section("server to index");
    write_calls(cases);
    cases.section("index to server");
    write_answers(cases);
}
