//! Attempt ids that come again after their clients have left, over real connections.

use crate::harness::{attempt, Program};
use std::time::Duration;

/// An error response: neither a result nor a rejection.
const FAILED: &[u8] = b"Internal";
const LONGEST_DEADLINE: Duration = Duration::from_millis(800);

/// Starts a program with a class `pay` whose requests must not run twice and have no idempotency key.
fn start() -> Program {
    Program::start_with(Some(|_: &str| None), |config| {
        let classes = config["settings"]["profiles"].as_array_mut().unwrap();
        let mut pay = classes[0].clone();
        (pay["name"], pay["effect"]) = ("pay".into(), "fragile".into());
        classes.push(pay);
        for class in classes {
            class["give_up"] = (LONGEST_DEADLINE.as_micros() as u64).into();
        }
    })
}

/// An attempt whose client had left ran a second time when its id came again.
#[test]
fn an_attempt_id_that_has_run_does_not_run_again() {
    let mut program = start();
    let mut pool = program.wait_until_serving();
    // Its client leaves during the run.
    let mut first = program.connect();
    first.send_request(1, "pay", &attempt(1), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    drop(first);
    let mut second = program.connect();
    second.send_request(1, "pay", &attempt(1), None, b"");
    second.read_until(&[FAILED]);
    pool.finish(1, &attempt(1), b"first");
    second.send_request(2, "pay", &attempt(1), None, b"");
    second.read_until(&[FAILED]);
    // Its client leaves once it was answered.
    let mut third = program.connect();
    third.send_request(1, "pay", &attempt(2), None, b"");
    pool.complete_next_run(2, 2, b"second");
    third.read_until(&[b"second"]);
    drop(third);
    second.send_request(3, "pay", &attempt(2), None, b"");
    second.read_until(&[FAILED]);
    // A keyed attempt is a repeat.
    second.send_request(4, "buy", &attempt(3), Some("key"), b"");
    pool.complete_next_run(3, 3, b"third");
    second.read_until(&[b"third"]);
    second.send_request(6, "buy", &attempt(3), Some("key"), b"");
    second.read_until(&[b"third"]);
    // Other ids run, reads run again, and an id is forgotten once nobody can wait for it any more.
    second.send_request(7, "map", &attempt(4), None, b"");
    pool.complete_next_run(4, 4, b"fourth");
    second.send_request(8, "map", &attempt(4), None, b"");
    pool.complete_next_run(5, 4, b"fourth");
    std::thread::sleep(LONGEST_DEADLINE);
    second.send_request(9, "pay", &attempt(1), None, b"");
    pool.complete_next_run(6, 1, b"again");
    second.read_until(&[b"fourth", b"fourth", b"again"]);
}

/// Attempts of which the pool says that they never ran may be sent again.
#[test]
fn an_attempt_id_that_never_ran_may_run() {
    let mut program = start();
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.send_request(1, "pay", &attempt(1), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    pool.send(&format!("finished 1 {} void 0 0\r\n\r\n", attempt(1)));
    edge.read_until(&[FAILED]);
    edge.send_request(2, "pay", &attempt(1), None, b"");
    pool.complete_next_run(2, 1, b"first");
    edge.read_until(&[b"first"]);
}
