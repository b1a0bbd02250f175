//! The program on loopback sockets: runs, results and dependency calls over the link to the worker pool.

use crate::harness::{attempt, ok, PoolConnection, Program, TIMEOUT};
use std::io::Write;
use std::time::Duration;

#[test]
fn a_lost_link_is_bound_again_from_the_last_notice_and_repeated_notices_are_ignored() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    (1..=3).for_each(|n| edge.send_request(n, "buy", &attempt(n), Some(&attempt(n)), b"b"));
    (1..=3).for_each(|n| assert_eq!(pool.next_command().0[1], attempt(n)));
    pool.finish(1, &attempt(1), b"one");
    edge.read_until(&[b"one"]);
    drop(pool);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("1", "99000");
    pool.finish(1, &attempt(2), b"old");
    pool.finish(2, &attempt(9), b"for nobody");
    pool.send("gibberish\r\nunknown spawn 77\r\n");
    // The last notice has a visible effect, so all of them have been read when the link is lost.
    pool.finish(3, &attempt(2), b"two");
    let received = edge.read_until(&[b"two"]);
    assert!(!received.windows(3).any(|w| w == b"old"));
    // A pool that started after the link was lost has none of the earlier runs, so their requests fail.
    drop(pool);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("3", "0.5");
    edge.read_until(&[&[0x94, 1, 3, 0x92], b"Internal"]);
    edge.send_request(4, "buy", &attempt(4), Some("t"), b"b");
    assert_eq!(pool.next_command().0[1], attempt(4));
    pool.finish(1, &attempt(4), b"four");
    edge.read_until(&[b"four"]);
}

#[test]
fn a_failed_dependency_call_of_a_request_that_runs_once_is_not_repeated_and_fails_the_request() {
    // The dependency answers the first call and closes the connection during the second.
    let mut program = Program::start(|call| if call.ends_with("good") { ok("fine") } else { None });
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    for (n, body) in [(1, "good"), (2, "evil")] {
        edge.send_request(n, "buy", &attempt(n), Some(&attempt(n)), b"");
        assert_eq!(pool.next_command().0[0], "spawn");
        pool.send(&format!("blocked {n} {} 4\r\n{body}\r\n", attempt(n)));
        assert!(program.calls.recv_timeout(TIMEOUT).unwrap().ends_with(body));
        if n == 1 {
            assert_eq!(pool.next_command().1, b"fine");
        }
    }
    edge.read_until(&[&[0x94, 1, 2, 0x92], b"Internal"]);
    assert!(program.calls.recv_timeout(Duration::from_millis(300)).is_err(), "called twice");
}

#[test]
fn an_idempotency_key_with_another_body_is_a_new_request() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let (mut good, mut bad) = (program.connect(), program.connect());
    // The forged request arrives first. The genuine one runs nevertheless, and its repetition gets the cached result.
    bad.send_request(1, "buy", &attempt(1), Some("t"), b"false");
    assert_eq!(pool.next_command().0[1], attempt(1));
    good.send_request(1, "buy", &attempt(2), Some("t"), b"true");
    assert_eq!(pool.next_command().0[1], attempt(2));
    pool.send(&format!("unknown spawn {}\r\n", attempt(1)));
    bad.read_until(&[&[0x94, 1, 1, 0x92], b"Internal"]);
    pool.finish(1, &attempt(2), b"made");
    good.read_until(&[b"made"]);
    bad.send_request(2, "buy", &attempt(3), Some("t"), b"false");
    assert_eq!(pool.next_command().0[1], attempt(3));
    good.send_request(2, "buy", &attempt(4), Some("t"), b"true");
    good.read_until(&[&[0x94, 1, 2, 0xc0], b"made"]);
}

#[test]
fn a_large_result_in_pieces_and_the_message_after_it_are_delivered_completely() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(1), None, b"a");
    edge.send_request(2, "map", &attempt(2), None, b"b");
    pool.next_command();
    pool.next_command();
    let large: Vec<u8> = (0..250_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    let mut message = format!("finished 1 {} ok 20.5 {}\r\n", attempt(1), large.len()).into_bytes();
    message.extend(&large);
    message.extend(format!("\r\nfinished 2 {} ok 20.5 5\r\nsmall\r\n", attempt(2)).bytes());
    // The parts end within the first line, the result, its end and the second line.
    let mut from = 0;
    for to in [9, 40, 100_000, message.len() - 66, message.len() - 30, message.len()] {
        pool.reader.get_mut().write_all(&message[from..to]).unwrap();
        std::thread::sleep(Duration::from_millis(15));
        from = to;
    }
    // The socket buffers are full by now.
    std::thread::sleep(Duration::from_millis(50));
    let size = (large.len() as u32).to_be_bytes();
    let all = edge.read_until(&[
        &[0x94, 1, 1, 0xc0, 0x92, 0xc6],
        &size,
        &large,
        &[0x94, 1, 2, 0xc0, 0x92],
        b"small",
    ]);
    assert_eq!(all.windows(3).filter(|w| *w == [0x94, 1, 1]).count(), 1);
    // A result over the limit completes no request.
    edge.send_request(3, "map", &attempt(3), None, b"c");
    pool.next_command();
    pool.send(&format!("finished 3 {} ok 20.5 300000\r\n", attempt(3)));
    edge.send_request(4, "map", &attempt(4), None, b"d");
    pool.next_command();
    pool.finish(4, &attempt(4), b"after");
    let all = edge.read_until(&[&[0x94, 1, 4, 0xc0, 0x92], b"after"]);
    assert!(!all.windows(4).any(|w| *w == [0x94, 1, 3, 0xc0]));
}
