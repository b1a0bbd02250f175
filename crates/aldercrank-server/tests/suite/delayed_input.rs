//! Input that the network delays: what a partition of a few seconds holds up arrives afterwards, and is answered as long
//! as its caller waits.

use crate::codecs::health_check_message;
use crate::harness::{attempt, request, Program};
use std::io::Write;
use std::time::{Duration, Instant};

/// How long a partition delays what is sent, in both directions. Within the deadline of all classes.
const DELAY: Duration = Duration::from_millis(2500);

/// The server asked to close a connection during a partition and then closed it, so the request that was under way was
/// lost.
#[test]
fn a_request_on_an_idle_connection_that_was_delayed_for_seconds_is_answered() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.0.write_all(&health_check_message(1)).unwrap();
    edge.read_until(&[b"closing"]);
    std::thread::sleep(DELAY);
    edge.send_request(2, "map", &attempt(2), None, b"");
    pool.complete_next_run(1, 2, b"two");
    edge.read_until(&[b"two"]);
}

/// A partition that began within a message made the server take the peer for one that violates the protocol.
#[test]
fn a_request_with_its_second_half_delayed_for_seconds_is_answered() {
    let mut program = Program::start(|_| None);
    let _pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.0.write_all(&health_check_message(1)).unwrap();
    edge.read_until(&[&[0x94, 1, 1]]);
    let message = request(2, "map", &attempt(2), None, b"");
    let (first, second) = message.split_at(message.len() / 2);
    edge.0.write_all(first).unwrap();
    std::thread::sleep(DELAY);
    edge.0.write_all(second).unwrap();
    // It may be rejected, since it is late by then.
    edge.read_until(&[&[0x94, 1, 2]]);
}

/// The wait for a peer that was asked to close before the shutdown began would last longer than the shutdown.
#[test]
fn a_peer_that_was_asked_to_close_and_is_silent_delays_a_shutdown_no_longer_than_others() {
    let mut program = Program::start_with(Some(|_: &str| None), |config| {
        config["stop_ms"] = 9000.into();
    });
    let _pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.0.write_all(&health_check_message(1)).unwrap();
    edge.read_until(&[b"closing"]);
    program.send_sigterm();
    let notified_at = Instant::now();
    assert!(program.wait_for_exit().success());
    // After the grace period of 0.3 s, a third of the time that is left, and a second for the peer to see the end.
    assert!(notified_at.elapsed() < Duration::from_millis(6000));
}
