//! Reads that share the result of another read of their subject, over real connections.

use crate::codecs::{cancellation_message, request_message};
use crate::harness::{attempt, unix_time_ms, EdgeConnection, PoolConnection, Program};
use std::io::Write;
use std::time::Duration;

/// How long results are shared, in microseconds: longer than a test.
const SHARED_FOR_US: u64 = 60_000_000;
const SUBJECT: &str = "track-1";

/// Room for one run, which takes 98 KB, and for some reads that wait.
const MEMORY_OF_ONE_RUN_KB: f64 = 200.0;

/// How long the callers of reads wait from now on.
const TIME_LEFT: Duration = Duration::from_millis(3000);

/// An error response: neither a result nor a rejection.
const FAILED: &[u8] = b"Internal";

fn start() -> Program {
    start_with(SHARED_FOR_US, 9000.0)
}

fn start_with(shared_for_us: u64, memory_kb: f64) -> Program {
    Program::start_with(Some(|_: &str| None), |config| {
        config["settings"]["family_info"]["fresh_for"] = shared_for_us.into();
        config["settings"]["family_info"]["memory_kb"] = memory_kb.into();
    })
}

fn send_read(edge: &mut EdgeConnection, id: u32, attempt: &str, subject: &str) {
    send_read_of_age(edge, id, attempt, subject, Duration::ZERO);
}

/// Sends a read that says it was sent `age` ago. Its caller waits as long from now on as that of any other.
fn send_read_of_age(edge: &mut EdgeConnection, id: u32, attempt: &str, subject: &str, age: Duration) {
    let sent_at = (unix_time_ms() - age.as_millis()).to_string();
    let budget = (TIME_LEFT + age).as_millis().to_string();
    let fields = [
        ("rid", attempt),
        ("t0", &sent_at),
        ("peer", "4"),
        ("budget", &budget),
        ("mem", "24.5"),
        ("prio", "0.9"),
        ("obj", subject),
    ];
    edge.0.write_all(&request_message(id, "map", &fields, b"")).unwrap();
}

/// Expects the start command of this attempt next, and answers that the worker pool does not know it.
fn refuse_next_run(pool: &mut PoolConnection, number: u32) {
    assert_eq!(pool.next_command().0[1], attempt(number));
    pool.send(&format!("unknown spawn {}\r\n", attempt(number)));
}

/// Has two reads of one connection run, so that the result of the second is shared: `first`, of [`SUBJECT`].
fn serve_first_reads(program: &mut Program) -> (PoolConnection, EdgeConnection) {
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    for (number, subject, result) in [(1, "track-0", "zeroth"), (2, SUBJECT, "first")] {
        send_read(&mut edge, number, &attempt(number), subject);
        pool.complete_next_run(number, number, result.as_bytes());
        edge.read_until(&[result.as_bytes()]);
    }
    (pool, edge)
}

/// Clients with ids that the worker pool does not know were served the results of other clients' reads.
#[test]
fn a_read_that_the_worker_pool_does_not_know_is_not_served_the_result_of_another() {
    let mut program = start();
    let (mut pool, mut edge) = serve_first_reads(&mut program);
    // On a connection whose requests the pool knows, its result is shared.
    send_read(&mut edge, 3, &attempt(3), SUBJECT);
    edge.read_until(&[b"first"]);
    // While a result is cached, and again with the id of a request that was answered.
    let mut unknown = program.connect();
    send_read(&mut unknown, 1, &attempt(100), SUBJECT);
    refuse_next_run(&mut pool, 100);
    unknown.read_until(&[FAILED]);
    send_read(&mut unknown, 2, &attempt(1), SUBJECT);
    assert_eq!(pool.next_command().0[1], attempt(1));
    pool.send(&format!("finished 3 {} void 0 0\r\n\r\n", attempt(1)));
    unknown.read_until(&[FAILED]);
    // While the original runs.
    send_read(&mut edge, 4, &attempt(4), "track-2");
    assert_eq!(pool.next_command().0[1], attempt(4));
    send_read(&mut unknown, 3, &attempt(101), "track-2");
    refuse_next_run(&mut pool, 101);
    unknown.read_until(&[FAILED]);
    pool.finish(4, &attempt(4), b"fourth");
    edge.read_until(&[b"fourth"]);
    // A connection that sends an unknown id is no longer taken for one that the pool knows.
    send_read(&mut edge, 5, &attempt(102), "track-3");
    refuse_next_run(&mut pool, 102);
    edge.read_until(&[FAILED]);
    send_read(&mut edge, 6, &attempt(103), SUBJECT);
    refuse_next_run(&mut pool, 103);
    edge.read_until(&[FAILED]);
}

/// A read that waited for one that the worker pool does not know failed with it, and a result that was cached until then
/// was dropped.
#[test]
fn a_read_that_the_worker_pool_does_not_know_takes_nothing_from_others() {
    let mut program = start();
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    send_read(&mut edge, 1, &attempt(1), "track-2");
    pool.complete_next_run(1, 1, b"first");
    edge.read_until(&[b"first"]);
    let mut unknown = program.connect();
    send_read(&mut unknown, 1, &attempt(100), SUBJECT);
    assert_eq!(pool.next_command().0[1], attempt(100));
    send_read(&mut edge, 2, &attempt(2), SUBJECT);
    assert_eq!(pool.next_command().0[1], attempt(2), "the second read runs by itself");
    pool.send(&format!("unknown spawn {}\r\n", attempt(100)));
    unknown.read_until(&[FAILED]);
    pool.finish(2, &attempt(2), b"second");
    edge.read_until(&[b"second"]);
    send_read(&mut unknown, 2, &attempt(101), SUBJECT);
    refuse_next_run(&mut pool, 101);
    unknown.read_until(&[FAILED]);
    send_read(&mut edge, 3, &attempt(3), SUBJECT);
    edge.read_until(&[b"second"]);
}

/// A later read that was queued and then given up made an earlier result be shared until the later read's time.
#[test]
fn a_read_that_is_given_up_in_the_queue_does_not_extend_how_long_an_earlier_result_is_shared() {
    let shared_for = Duration::from_millis(300);
    let mut program = start_with(shared_for.as_micros() as u64, MEMORY_OF_ONE_RUN_KB);
    let (mut pool, mut edge) = serve_first_reads(&mut program);
    std::thread::sleep(shared_for + Duration::from_millis(50));
    // A second run has no room, so the next read of the subject is queued until its caller gives it up.
    send_read(&mut edge, 3, &attempt(3), "track-2");
    assert_eq!(pool.next_command().0[1], attempt(3));
    send_read(&mut edge, 4, &attempt(4), SUBJECT);
    edge.0.write_all(&cancellation_message(4)).unwrap();
    edge.read_until(&[FAILED]);
    send_read(&mut edge, 5, &attempt(5), SUBJECT);
    pool.finish(3, &attempt(3), b"other");
    pool.complete_next_run(4, 5, b"second");
    let answers = edge.read_until(&[b"second"]);
    assert!(!answers.windows(5).any(|bytes| bytes == b"first"), "an old result was shared");
}

/// A read that reported an age was served what had been fresh at that time.
#[test]
fn a_read_that_reports_an_age_is_not_served_what_was_fresh_then() {
    let shared_for = Duration::from_millis(300);
    let mut program = start_with(shared_for.as_micros() as u64, 9000.0);
    let (mut pool, mut edge) = serve_first_reads(&mut program);
    std::thread::sleep(shared_for * 2);
    // The server reads this connection at once, so nothing has waited unread.
    send_read(&mut edge, 3, &attempt(3), "track-2");
    pool.complete_next_run(3, 3, b"other");
    edge.read_until(&[b"other"]);
    send_read_of_age(&mut edge, 4, &attempt(4), SUBJECT, shared_for * 2);
    pool.complete_next_run(4, 4, b"second");
    edge.read_until(&[b"second"]);
}
