//! Calls to the upstream dependency: the bytes that the codec writes, what is read in them, and the outcome of a call
//! for each response.

use crate::http::{read_response, record_request};
use crate::text::{escaped, filler, Cases};
use crate::worker_commands::attempt_id;
use aldercrank::Outcome;
use aldercrank_protocol::{http, index};
use std::time::Duration;

/// The name of an outcome in the simulator's protocol.
fn outcome_name(outcome: Outcome) -> &'static str {
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
    let id = || attempt_id("0123456789abcdef");
    let timeouts_us = [0, 1, 999, 1_000, 1_999, 80_000, 3_600_000_000];
    for timeout_us in timeouts_us {
        let bytes = index::write_call("index:80", id(), Duration::from_micros(timeout_us), b"key");
        record_request(cases, &format!("a call given up after {timeout_us} us"), &bytes);
    }
    let second = Duration::from_secs(1);
    record_request(cases, "a call without a body", &index::write_call("[::1]:8080", id(), second, b""));
    record_request(
        cases,
        "a call with line ends in its body",
        &index::write_call("h", id(), second, b"a\r\n\r\n\x00\xff"),
    );
    record_request(cases, "a call with 2048 bytes", &index::write_call("h", id(), second, &filler(2048)));
}

fn write_responses(cases: &mut Cases) {
    for status in [200, 201, 204, 302, 400, 404, 409, 429, 500, 502, 503, 504] {
        for shed in [false, true] {
            let mut bytes = Vec::new();
            http::write_response(&mut bytes, status, shed, None, b"");
            let response = read_response(&bytes).expect("a valid response").expect("a complete response");
            let outcome = outcome_name(index::call_outcome(&response));
            cases.case(&format!("{status}, shed {shed}"), &escaped(&bytes), &[format!("outcome {outcome}")]);
        }
    }
}

pub fn write(cases: &mut Cases) {
    cases.section("server to index");
    write_calls(cases);
    cases.section("index to server");
    write_responses(cases);
}
