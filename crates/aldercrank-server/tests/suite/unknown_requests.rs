//! A client that sends requests at full speed of which none runs: it takes neither memory nor service from others.

use crate::codecs::cancellation_message;
use crate::harness::{attempt, count_responses, request, EdgeConnection, PoolConnection, Program};
use std::io::{Read, Write};

/// Requests that the client sends before it reads their answers; a connection may have 32 open.
const REQUESTS_PER_ROUND: u32 = 30;
const ROUNDS: u32 = 600;
/// Rounds between two reads of another client.
const ROUNDS_PER_READ: u32 = 20;
/// How much resident memory may grow, in KB, for what is allocated once. The requests' entries would take 4 MB.
const MAX_GROWTH_KB: u64 = 1_500;
/// Attempts with these numbers and above are not run by the pool.
const FIRST_NOT_RUN: u32 = 1_000_000;

/// Why the pool runs none of the client's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NotRun {
    /// It does not know them.
    Unknown,
    /// It knows them, but they are over.
    Over,
    /// Their caller takes them back at once; the pool does not know them.
    Cancelled,
    /// The pool does not know them, and their caller leaves without reading an answer, each round anew.
    CallerGone,
}

/// Completes the runs of other clients until the link is closed.
fn serve(mut pool: PoolConnection, not_run: NotRun) {
    pool.reader.get_ref().set_nodelay(true).unwrap();
    let mut notice = 0;
    while let Some((words, _)) = pool.command() {
        let [command, id] = [&words[0], &words[1]];
        if command != "spawn" {
            continue;
        }
        let number = u32::from_str_radix(id, 16).unwrap();
        if number >= FIRST_NOT_RUN && not_run != NotRun::Over {
            pool.send(&format!("unknown spawn {id}\r\n"));
            continue;
        }
        notice += 1;
        if number >= FIRST_NOT_RUN {
            pool.send(&format!("finished {notice} {id} void 0 0\r\n\r\n"));
        } else {
            pool.finish(notice, id, b"done");
        }
    }
}

/// Sends a round of keyed requests, each with a key of its own, and reads their answers.
fn send_round(edge: &mut EdgeConnection, round: u32, not_run: NotRun) {
    let first = round * REQUESTS_PER_ROUND;
    let mut messages = Vec::new();
    for n in first..first + REQUESTS_PER_ROUND {
        let id = attempt(FIRST_NOT_RUN + n);
        messages.extend(request(n + 1, "buy", &id, Some(&id), b""));
        if not_run == NotRun::Cancelled {
            messages.extend(cancellation_message(n + 1));
        }
    }
    edge.0.write_all(&messages).unwrap();
    if not_run == NotRun::CallerGone {
        return;
    }
    let mut answers = Vec::new();
    while count_responses(&answers) < REQUESTS_PER_ROUND as usize {
        let mut chunk = [0; 4096];
        let length = edge.0.read(&mut chunk).unwrap();
        assert!(length > 0, "the connection was closed");
        answers.extend(&chunk[..length]);
    }
}

/// Each deduplication entry of such a request was kept for its whole window: a client that the worker pool does not know
/// took a server out of service, or its memory, within a second.
#[test]
fn keyed_requests_that_never_run_leave_nothing_behind() {
    for not_run in [NotRun::Unknown, NotRun::Over, NotRun::Cancelled, NotRun::CallerGone] {
        // Where entries cost much, others are rejected; where they cost nothing, the process grows.
        for entry_kb in [20.0, 0.0] {
            let mut program = Program::start_with(Some(|_: &str| None), |config| {
                config["settings"]["family_info"]["key_kb"] = entry_kb.into();
            });
            let pool = program.wait_until_serving();
            std::thread::spawn(move || serve(pool, not_run));
            let (mut flood, mut sound) = (program.connect(), program.connect());
            send_round(&mut flood, 0, not_run);
            let before = program.resident_kb();
            for round in 1..=ROUNDS {
                if not_run == NotRun::CallerGone {
                    flood = program.connect();
                }
                send_round(&mut flood, round, not_run);
                if round % ROUNDS_PER_READ == 0 {
                    sound.send_request(round, "map", &attempt(round), None, b"");
                    sound.read_until(&[b"done"]);
                }
            }
            let growth = program.resident_kb().saturating_sub(before);
            assert!(growth <= MAX_GROWTH_KB, "{not_run:?}: {growth} KB, entries of {entry_kb} KB");
        }
    }
}
