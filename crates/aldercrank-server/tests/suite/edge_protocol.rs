//! The program on loopback sockets: valid and invalid messages of edge nodes.

use crate::codecs::{cancellation_message, health_check_message, request_message};
use crate::harness::{attempt, Program};
use std::io::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[test]
fn a_protocol_violation_closes_only_its_connection_and_fails_its_open_calls() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let (mut bad, mut crowd, mut good) = (program.connect(), program.connect(), program.connect());
    bad.send_request(1, "map", &attempt(1), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    bad.0.write_all(&[0xc1, 0xc1]).unwrap();
    // The open call fails at once although its run has not ended; the later result is discarded.
    assert!(bad.read_to_end().windows(8).any(|w| w == b"Internal"));
    pool.finish(1, &attempt(1), b"done");
    // One call more than may be open at once: it doesn't run, and the open ones fail.
    (1..=33).for_each(|n| crowd.send_request(n, "map", &attempt(100 + n), None, b""));
    good.send_request(1, "map", &attempt(2), None, b"");
    good.send_request(2, "nothing", &attempt(3), None, b"");
    good.0.write_all(&cancellation_message(77)).unwrap();
    good.read_until(&[&[0x94, 1, 2, 0x92], b"Internal"]);
    let count_responses = crowd.read_to_end().windows(2).filter(|w| *w == [0x94, 1]).count();
    assert_eq!(count_responses, 32);
    good.0.write_all(&health_check_message(9)).unwrap();
    good.read_until(&[&[0x94, 1, 9, 0xc0, 0x92, 0xc3]]);
    // For each invalid input the connection is closed, and no request in it succeeds or reaches the pool.
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string();
    let with = |name: &str, value: &str| {
        let (mut fields, attempt) =
            (vec![("t0", time.as_str()), ("peer", "4"), ("budget", "3000")], attempt(9));
        fields.extend([("rid", attempt.as_str()), ("mem", "24.5"), ("prio", "0.9")]);
        fields.retain(|(n, _)| *n != name);
        fields.push((name, value));
        request_message(1, "map", &fields, b"")
    };
    let twice = [with("x", ""), with("rid", &attempt(8))].concat();
    let mut invalid = vec![b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0x94, 0, 0xff], twice];
    invalid.extend([[0xc6, 0xff, 0xff, 0xff, 0xff].to_vec(), vec![0x93, 2, 0xa1, b'x', 0x90]]);
    for (name, value) in [
        ("rid", "x"),
        ("rid", ""),
        ("t0", "-1"),
        ("t0", "1e400"),
        ("budget", "99999999999999999999999"),
        ("budget", "-5"),
        ("mem", "0"),
        ("mem", "NaN"),
        ("mem", "2000"),
        ("prio", "1"),
        ("prio", "-0.1"),
        ("peer", "me"),
    ] {
        invalid.push(with(name, value));
    }
    for bytes in invalid {
        let mut bad = program.connect();
        bad.0.write_all(&bytes).unwrap();
        let received = bad.read_to_end();
        assert!(!received.windows(3).any(|w| w == [0x94, 1, 0xc0]), "{bytes:?}");
    }
    good.send_request(10, "map", &attempt(10), None, b"");
    loop {
        // Of the invalid input only the first of two calls with the same message id may have run; it was stopped.
        let (command, _) = pool.next_command();
        if command[1] == attempt(10) {
            break;
        }
        assert!(command[0] == "suspend" || command[1] != attempt(8), "{command:?}");
    }
}

#[test]
fn a_cancelled_request_gets_one_answer_and_an_invalid_one_gets_an_error() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(1), None, b"");
    edge.send_request(2, "buy", &attempt(2), Some("t"), b"");
    assert_eq!(
        [pool.next_command().0[1].clone(), pool.next_command().0[1].clone()],
        [attempt(1), attempt(2)]
    );
    (1..=2).for_each(|n| edge.0.write_all(&cancellation_message(n)).unwrap());
    // The run of an idempotent request is stopped. The run of a request that may run only once continues, and a
    // repeated request gets its result.
    assert_eq!(pool.next_command().0, ["suspend".to_string(), attempt(1)]);
    pool.send(&format!("finished 1 {} halted 9 0\r\n\r\n", attempt(1)));
    edge.send_request(3, "buy", &attempt(3), Some("t"), b"");
    pool.finish(2, &attempt(2), b"two");
    // A cancellation that is sent at the same time as the answer changes nothing, nor does one for an unknown call.
    edge.0.write_all(&cancellation_message(3)).unwrap();
    edge.0.write_all(&cancellation_message(99)).unwrap();
    edge.0
        .write_all(&request_message(4, "map", &[("rid", &attempt(4)), ("t0", "soon"), ("budget", "9")], b""))
        .unwrap();
    let received = edge.read_to_end();
    let answered = |n: u8| received.windows(3).filter(|w| *w == [0x94, 1, n]).count();
    assert_eq!((answered(1), answered(2), answered(3), answered(4)), (1, 1, 1, 1));
}

#[test]
fn cancelling_all_open_calls_in_one_segment_stops_every_run_with_one_answer_each() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    for n in 1..=32 {
        edge.send_request(n, "map", &attempt(n), None, b"x");
    }
    (1..=20).for_each(|_| assert_eq!(pool.next_command().0[0], "spawn"));
    let all: Vec<u8> = (1..=32).flat_map(cancellation_message).collect();
    edge.0.write_all(&all).unwrap();
    let mut stopped = std::collections::BTreeSet::new();
    while stopped.len() < 20 {
        let (command, _) = pool.next_command();
        if command[0] == "suspend" {
            assert!(stopped.insert(command[1].clone()), "{command:?} twice");
            pool.send(&format!("finished {} {} halted 1 0\r\n\r\n", stopped.len(), command[1]));
        }
    }
    // Calls may be opened again, and the message ids may be used again.
    edge.send_request(1, "map", &attempt(100), None, b"x");
    let command = loop {
        let (command, _) = pool.next_command();
        if command[1] == attempt(100) {
            break command;
        }
    };
    assert_eq!(command[0], "spawn");
    pool.finish(100, &attempt(100), b"done");
    let all = edge.read_until(&[b"done"]);
    assert_eq!(all.windows(8).filter(|w| *w == b"Internal").count(), 32);
}

#[test]
fn a_body_at_the_limit_runs_and_one_over_the_limit_closes_the_connection() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    let body: Vec<u8> = (0..2048u32).map(|i| (i % 251) as u8).collect();
    edge.send_request(1, "map", &attempt(1), None, &body);
    assert_eq!(pool.next_command().1, body);
    pool.finish(1, &attempt(1), &body);
    edge.read_until(&[&body]);
    edge.send_request(2, "map", &attempt(2), None, &vec![1; 2049]);
    let all = edge.read_to_end();
    assert!(all.windows(8).any(|w| w == b"Internal"));
}

/// On some platforms requests don't state how long their callers wait.
#[test]
fn a_request_without_a_budget_has_the_deadline_of_its_class_where_the_settings_allow_it() {
    let start = |passes: bool| {
        Program::start_with(Some(|_: &str| None), move |config| {
            config["settings"]["family_info"]["passes_deadline"] = passes.into();
            config["settings"]["profiles"][0]["goal_time"] = 300_000.into();
            config["settings"]["profiles"][0]["give_up"] = 700_000.into();
        })
    };
    let message = || {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string();
        let fields =
            [("rid", "00000000000000a1"), ("t0", &time), ("peer", "4"), ("mem", "24.5"), ("prio", "0.9")];
        request_message(1, "map", &fields, b"")
    };
    let mut program = start(false);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.0.write_all(&message()).unwrap();
    assert_eq!(pool.next_command().0[1], "00000000000000a1");
    // The run doesn't end, but the caller gets an answer by the deadline.
    edge.0.set_read_timeout(Some(Duration::from_millis(1200))).unwrap();
    edge.read_until(&[&[0x94, 1, 1, 0x92], b"Internal"]);
    // If requests have to state a budget, one without it violates the protocol.
    let program = start(true);
    let mut edge = program.connect();
    edge.0.write_all(&message()).unwrap();
    assert!(edge.read_to_end().windows(8).any(|w| w == b"Internal"));
}
