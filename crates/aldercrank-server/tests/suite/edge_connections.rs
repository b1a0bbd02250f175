//! The program on loopback sockets: idle, silent and slow connections from edge nodes, and callers that disconnect.

use crate::codecs::health_check_message;
use crate::harness::{attempt, EdgeConnection, PoolConnection, Program};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

#[test]
fn silent_connections_and_partial_messages_time_out_and_make_room_at_the_limit() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let (mut partial, mut busy) = (program.connect(), program.connect());
    partial.0.write_all(&[0x94, 0, 1]).unwrap();
    busy.send_request(1, "map", &attempt(1), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    // More connections than the limit: silent ones are closed to make room, a busy one is not.
    let mut silent: Vec<EdgeConnection> = (0..100).map(|_| program.connect()).collect();
    let mut good = program.connect();
    good.0.write_all(&health_check_message(1)).unwrap();
    good.0.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    good.read_until(&[&[0x94, 1, 1, 0xc0, 0x92, 0xc3]]);
    pool.finish(1, &attempt(1), b"done");
    busy.read_until(&[b"done"]);
    // All are closed well before a caller would time out.
    let started_at = Instant::now();
    partial.read_to_end();
    silent.iter_mut().for_each(|edge| drop(edge.read_to_end()));
    assert!(started_at.elapsed() < Duration::from_millis(2500));
}

#[test]
fn idle_connections_are_asked_to_close_and_busy_ones_are_not() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let (mut idle, mut busy) = (program.connect(), program.connect());
    idle.0.write_all(&health_check_message(1)).unwrap();
    busy.send_request(1, "map", &attempt(1), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    // Health checks prevent the idle timeout of their connection.
    let mut checks = program.connect();
    for n in 1..=7 {
        checks.0.write_all(&health_check_message(n)).unwrap();
        assert!(!checks.read_until(&[&[0xc0, 0x92, 0xc3]]).windows(7).any(|w| w == b"closing"));
        std::thread::sleep(Duration::from_millis(100));
    }
    // Only connections that have sent a message are notified before they are closed, as this one has.
    let mut received = idle.read_until(&[b"closing"]);
    pool.finish(1, &attempt(1), b"late");
    busy.read_until(&[b"late", b"closing"]);
    received.extend(idle.read_to_end());
    assert!(received.ends_with(&[&[0x93, 2, 0xa7], b"closing".as_slice(), &[0x90]].concat()));
}

#[test]
fn a_peer_that_does_not_read_delays_no_other_peer_and_gets_all_answers_later() {
    let mut program = Program::start(|_| None);
    let pool = program.wait_until_serving();
    std::thread::spawn(move || pool.serve(&[7; 4096]));
    let (mut stuck, mut good) = (program.connect(), program.connect());
    let mut writer = EdgeConnection(stuck.0.try_clone().unwrap());
    // As many calls as may be open at once.
    let calls = 32;
    let writing = std::thread::spawn(move || {
        (1..=calls).for_each(|n| writer.send_request(n, "map", &attempt(n), None, b""))
    });
    for n in 1..=20 {
        good.send_request(n, "map", &attempt(1000 + n), None, b"");
        good.read_until(&[&[0x94, 1, n as u8]]);
    }
    let mut received = Vec::new();
    let count_responses = |bytes: &[u8]| bytes.windows(2).filter(|w| *w == [0x94, 1]).count();
    while count_responses(&received) < calls as usize {
        let mut chunk = [0; 65536];
        let n = stuck.0.read(&mut chunk).unwrap();
        assert!(n > 0, "closed after {} answers", count_responses(&received));
        received.extend(&chunk[..n]);
    }
    writing.join().unwrap();
}

#[test]
fn callers_that_disconnect_during_an_answer_leak_neither_memory_nor_descriptors() {
    let mut program = Program::start(|_| None);
    let pool = program.wait_until_serving();
    std::thread::spawn(move || pool.serve(&[7; 200_000]));
    let usage = || {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
        [descriptors as u64, program.resident_kb()]
    };
    let read_answer_in_part = |n: u32| {
        let mut edge = program.connect();
        edge.send_request(1, "map", &attempt(n), None, b"x");
        // The start of the answer has arrived; the rest does not fit into the socket buffers.
        edge.read_until(&[&[0x94, 1, 1, 0xc0, 0x92, 0xc6]]);
    };
    (1..=20).for_each(read_answer_in_part);
    let before = usage();
    (21..=220).for_each(read_answer_in_part);
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(1000), None, b"x");
    edge.read_until(&[&[7; 200_000]]);
    drop(edge);
    std::thread::sleep(Duration::from_millis(100));
    let after = usage();
    assert!(after[0] <= before[0] + 2, "{before:?} {after:?}");
    // Answers of 40 MB in all were written in part; growth by a tenth of that would be a leak.
    assert!(after[1] <= before[1] + 4_000, "{before:?} {after:?}");
}

/// The harness's limit of 64 descriptors leaves places for 30 connections.
const MORE_THAN_THE_CONNECTION_LIMIT: usize = 40;

/// Connects and has one request served.
fn connect_and_be_served(program: &Program, pool: &mut PoolConnection, number: u32) -> EdgeConnection {
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(number), None, b"");
    pool.complete_next_run(number, number, b"first");
    edge.read_until(&[b"first"]);
    edge
}

/// Sends a second request on a connection that was served one, and expects its result.
fn expect_served_again(edge: &mut EdgeConnection, pool: &mut PoolConnection, number: u32) {
    edge.send_request(2, "map", &attempt(number), None, b"");
    pool.complete_next_run(number, number, b"second");
    edge.read_until(&[b"second"]);
}

/// Requests of a zone that was cut off were lost when silent clients connected in a burst: none of these had been
/// connected for long enough to be closed, so used connections were closed for them.
#[test]
fn a_burst_of_silent_connections_closes_none_that_was_served() {
    // At once, and once the peers were asked to close and have not reacted for longer than they usually take.
    for silence in [Duration::ZERO, Duration::from_millis(1700)] {
        let mut program = Program::start(|_| None);
        let mut pool = program.wait_until_serving();
        let mut served: Vec<EdgeConnection> =
            (1..=8).map(|n| connect_and_be_served(&program, &mut pool, n)).collect();
        std::thread::sleep(silence);
        program.pause();
        let silent: Vec<EdgeConnection> =
            (0..MORE_THAN_THE_CONNECTION_LIMIT).map(|_| program.connect()).collect();
        program.resume();
        // The last of them is closed after all the others have been accepted.
        silent.into_iter().for_each(|mut edge| drop(edge.read_to_end()));
        for (edge, number) in served.iter_mut().zip(9..) {
            expect_served_again(edge, &mut pool, number);
        }
    }
}

/// Connections that were served, or of which requests were rejected, were closed for clients that had sent a health
/// check and kept their connections.
#[test]
fn connections_without_requests_make_room_before_others() {
    let mut program = Program::start_with(Some(|_: &str| None), |config| {
        let classes = config["settings"]["profiles"].as_array_mut().unwrap();
        let mut rejected = classes[0].clone();
        (rejected["name"], rejected["offered"]) = ("closed".into(), false.into());
        classes.push(rejected);
    });
    let mut pool = program.wait_until_serving();
    let mut rejected = program.connect();
    rejected.send_request(1, "closed", &attempt(100), None, b"");
    rejected.read_until(&[b"Overloaded"]);
    let mut served: Vec<EdgeConnection> =
        (1..=8).map(|n| connect_and_be_served(&program, &mut pool, n)).collect();
    let without_request: Vec<EdgeConnection> = (0..MORE_THAN_THE_CONNECTION_LIMIT)
        .map(|_| {
            let mut edge = program.connect();
            edge.0.write_all(&health_check_message(1)).unwrap();
            edge.read_until(&[&[0x94, 1, 1]]);
            edge
        })
        .collect();
    for (edge, number) in served.iter_mut().zip(9..) {
        expect_served_again(edge, &mut pool, number);
    }
    expect_served_again(&mut rejected, &mut pool, 17);
    drop(without_request);
}
