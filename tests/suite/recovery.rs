//! Recovery without traffic: whatever a server has been through, once nobody sends anything and its worker pool is idle,
//! it becomes healthy and admits requests again within a stated time.

use crate::generated_inputs::{any_settings, step, Step};
use crate::model::{offer, settings, Scenario, Stage, MS};
use aldercrank::{Outcome, Permission, RequestId, Value};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::time::Duration;

/// The latency target and the deadline of the classes in these tests.
const LATENCY_TARGET: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(3);

/// How long a healthy server goes by the requests that it has read.
const SAMPLE_SPAN: Duration = Duration::from_secs(4);
/// The share of the latency target that requests may wait to be read while none of them is rejected for it.
const HARMLESS_SHARE: f64 = 0.1;

/// How long it takes at most until the time that requests wait to be read has decayed to this share of the latency
/// target: it is at most the longest deadline, and decays by a fifth each half of the shortest latency target.
fn decay_time(target_share: f64) -> Duration {
    let multiple = DEADLINE.div_duration_f64(LATENCY_TARGET) / target_share;
    let evaluations = (multiple.ln() / 1.25f64.ln()).ceil();
    // One evaluation more, since the last late request may have been read just after one.
    LATENCY_TARGET.mul_f64(0.5 * (evaluations + 1.0)) + MS * 100
}

/// Within this time a server that reads nothing is healthy.
fn time_to_health() -> Duration {
    decay_time(1.0)
}

fn is_healthy(scenario: &Scenario) -> bool {
    scenario.model.0.borrow().healthy
}

/// Reads a burst of requests that have waited for nearly their whole deadline.
fn read_late_burst(scenario: &mut Scenario) {
    scenario.unread_time = DEADLINE - MS * 100;
    offer(scenario, 60);
    scenario.unread_time = Duration::ZERO;
    scenario.advance(MS * 100, 0.0);
}

/// A server that had read a burst of late requests reported for good that it was out of service, so nobody sent it the
/// requests that alone would have shown otherwise.
#[test]
fn an_unhealthy_server_to_which_nobody_sends_becomes_healthy_again() {
    let mut scenario = Scenario::new(settings(&["retryable"]));
    read_late_burst(&mut scenario);
    assert!(!is_healthy(&scenario));
    scenario.advance(time_to_health(), 0.0);
    assert!(is_healthy(&scenario));
    scenario.advance(SAMPLE_SPAN + decay_time(HARMLESS_SHARE), 0.0);
    let id = offer(&mut scenario, 1)[0];
    assert_eq!(scenario.stage(id), Stage::Running);
}

#[test]
fn a_server_that_still_reads_late_stays_unhealthy() {
    let mut scenario = Scenario::new(settings(&["retryable"]));
    read_late_burst(&mut scenario);
    for _ in 0..50 {
        scenario.unread_time = DEADLINE - MS * 100;
        offer(&mut scenario, 1);
        scenario.advance(MS * 400, 0.0);
        assert!(!is_healthy(&scenario));
    }
}

#[test]
fn a_few_late_requests_among_others_leave_a_server_healthy() {
    let mut scenario = Scenario::new(settings(&["retryable"]));
    for n in 0..300 {
        scenario.unread_time = if n % 10 == 0 { DEADLINE - MS * 100 } else { MS };
        offer(&mut scenario, 1);
        scenario.advance(MS * 20, 0.0);
        assert!(is_healthy(&scenario));
    }
}

/// How long calls take that make the tests' dependency look slow, and when it is fast.
const SLOW_CALL: Duration = Duration::from_millis(600);
const FAST_CALL: Duration = Duration::from_millis(10);
/// Within this time without a call the smoothed call time has decayed from that of a slow call to that of a fast one.
const TIME_TO_CALL: Duration = Duration::from_secs(4 + 10);

/// Has a request of class 0 need its upstream call. Returns whether the call was made.
fn request_call(scenario: &mut Scenario) -> bool {
    let id = scenario.receive(0, DEADLINE * 3, None, 0.99);
    if scenario.stage(id) != Stage::Running {
        return false;
    }
    scenario.set_stage(id, Stage::AwaitingCall);
    scenario.admission.call_requested(scenario.now(), id);
    let is_made = scenario.stage(id) == Stage::Calling;
    if !is_made {
        scenario.end_run(id, Outcome::Completed);
    }
    is_made
}

/// Makes calls that each take this long, as long as the module makes them, at most this many.
fn make_calls(scenario: &mut Scenario, took: Duration, count: usize) {
    for _ in 0..count {
        if !request_call(scenario) {
            return;
        }
        let calling = |request: &crate::model::ModelRequest| request.stage == Stage::Calling;
        let id = scenario.model.0.borrow().requests.iter().find(|(_, r)| calling(r)).map(|(id, _)| *id);
        scenario.advance(took, 0.0);
        let (now, id) = (scenario.now(), id.unwrap());
        scenario.set_stage(id, Stage::Running);
        scenario.admission.call_ended(now, id, Outcome::Completed, took);
        scenario.end_run(id, Outcome::Completed);
        // Under a quota below one call the next has to wait for several times as long as the last one took.
        scenario.advance(took * 5, 0.0);
    }
}

/// After a slow time of the dependency no call was made any more: a class that needs its call was rejected, and one that
/// doesn't went without, so nothing showed that the dependency was fast again.
#[test]
fn calls_are_made_again_after_the_dependency_was_slow() {
    // Whether requests need their call, or lose a part of their weight without it.
    for share_without_call in [0.0, 0.6] {
        let mut settings = settings(&["retryable"]);
        settings.set("family_info.calls_out", Value::Number(0.7));
        settings.set("family_info.worth_without.0", Value::Number(share_without_call));
        let mut scenario = Scenario::new(settings);
        make_calls(&mut scenario, FAST_CALL, 40);
        make_calls(&mut scenario, SLOW_CALL, 40);
        assert!(!request_call(&mut scenario), "{share_without_call}: calls look slow");
        // Requests go on coming.
        let until = scenario.now() + TIME_TO_CALL;
        let mut made = false;
        while !made && scenario.now() < until {
            scenario.advance(MS * 500, 0.0);
            made = request_call(&mut scenario);
        }
        assert!(made, "{share_without_call}: no call within {TIME_TO_CALL:?}");
    }
}

/// Answers all upstream calls and ends all runs.
fn end_all_runs(scenario: &mut Scenario) {
    let open: Vec<RequestId> = scenario.model.0.borrow().requests.keys().copied().collect();
    for id in open {
        scenario.end_run(id, Outcome::Completed);
    }
}

fn recovers(pick: u32, steps: Vec<Step>) -> TestResult {
    let mut scenario = Scenario::new(any_settings(pick));
    // Without a drain, which is for good.
    for next_step in steps.into_iter().filter(|(event, ..)| event % 16 != 13) {
        step(&mut scenario, next_step);
    }
    read_late_burst(&mut scenario);
    end_all_runs(&mut scenario);
    scenario.admission.set_permission(scenario.now(), Permission::Everything);
    let mut settings = scenario.model.0.borrow().settings.clone();
    settings.set("profiles.0.offered", Value::Flag(true));
    scenario.admission.apply_settings(scenario.now(), &settings);
    scenario.advance(time_to_health(), 0.0);
    if !is_healthy(&scenario) {
        return TestResult::error(format!("still unhealthy after {:?} of silence", time_to_health()));
    }
    // Deduplication entries count towards memory until their window is over.
    scenario.advance(MS * 80_000, 0.0);
    scenario.memory_kb = 1.0;
    for class in 0..4 {
        let key = (class == 1).then_some(200);
        let id = scenario.receive(class, MS * 2900, key, 0.99);
        if scenario.stage(id) != Stage::Running {
            return TestResult::error(format!("the first request of class {class} did not start"));
        }
        scenario.end_run(id, Outcome::Completed);
    }
    TestResult::passed()
}

#[test]
fn a_server_in_any_state_recovers_without_traffic() {
    let mut tests = QuickCheck::new().tests(200).rng(Gen::from_size_and_seed(200, 20261204));
    tests.quickcheck(recovers as fn(u32, Vec<Step>) -> TestResult);
}
