//! Upstream calls: the call window and quota, and the order, timeouts, retries and skipping of calls.

use crate::model::{offer, settings, settings_with, Scenario, Stage, LONG_WAIT_MS, MS};
use aldercrank::{Outcome, RequestId, Value};
use std::time::Duration;

#[test]
fn a_request_that_waits_for_its_call_frees_room_in_the_window() {
    let mut scenario = Scenario::new(settings(&["retryable"]));
    let ids = offer(&mut scenario, 5);
    assert_eq!(
        (scenario.model.0.borrow().count(Stage::Running), scenario.model.0.borrow().count(Stage::Queued)),
        (4, 1)
    );
    scenario.set_stage(ids[0], Stage::AwaitingCall);
    scenario.admission.call_requested(MS, ids[0]);
    assert_eq!((scenario.stage(ids[0]), scenario.stage(ids[4])), (Stage::Calling, Stage::Running));
}

#[test]
fn calls_beyond_the_call_window_wait_until_another_call_ends() {
    let mut scenario = Scenario::new(settings_with("family_info.calls_out", 3.0));
    let ids = offer(&mut scenario, 4);
    for id in &ids {
        scenario.set_stage(*id, Stage::AwaitingCall);
        scenario.admission.call_requested(MS, *id);
    }
    assert_eq!(scenario.model.0.borrow().count(Stage::Calling), 1);
    scenario.set_stage(ids[0], Stage::Running);
    scenario.admission.call_ended(MS * 30, ids[0], Outcome::Completed, MS * 29);
    assert_eq!(scenario.stage(ids[1]), Stage::Calling);
}

#[test]
fn a_keyed_call_that_may_have_run_is_not_retried() {
    let mut scenario = Scenario::new(settings(&["retryable", "dedup"]));
    for (outcome, open) in [(Outcome::ConnectionLost, false), (Outcome::Rejected, true)] {
        let id = scenario.receive(1, MS * LONG_WAIT_MS, Some(outcome as u8), 0.5);
        scenario.set_stage(id, Stage::AwaitingCall);
        let now = scenario.now();
        scenario.admission.call_requested(now, id);
        scenario.set_stage(id, Stage::AwaitingCall);
        scenario.admission.call_ended(now, id, outcome, MS);
        scenario.advance(MS * 150, 9.0);
        assert_eq!(scenario.model.0.borrow().requests[&id].answers == 0, open, "{outcome:?}");
        scenario.end_run(id, Outcome::Cancelled);
    }
}

/// A request that is late anyway has only the weight of a late answer to lose.
#[test]
fn the_call_of_a_late_request_is_made_after_that_of_one_in_time() {
    let mut scenario = Scenario::new(settings_with("family_info.calls_out", 3.0));
    let old = scenario.receive(0, MS * 20_000, None, 0.99);
    scenario.advance(MS * 900, 9.0);
    let ids = offer(&mut scenario, 2);
    for id in [ids[0], old, ids[1]] {
        scenario.set_stage(id, Stage::AwaitingCall);
        scenario.admission.call_requested(MS * 950, id);
    }
    scenario.set_stage(ids[0], Stage::Running);
    scenario.admission.call_ended(MS * 960, ids[0], Outcome::Completed, MS * 10);
    assert_eq!((scenario.stage(old), scenario.stage(ids[1])), (Stage::AwaitingCall, Stage::Calling));
}

/// The dependency doesn't answer and the quota is small. Counting each call up to its timeout keeps the calls within
/// the quota over the period `calls_over`.
#[test]
fn calls_to_a_hanging_dependency_stay_within_the_quota() {
    let mut scenario = Scenario::new(settings_with("family_info.calls_out", 0.5));
    for _ in 0..40 {
        let id = scenario.receive(0, MS * 9000, None, 0.99);
        scenario.set_stage(id, Stage::AwaitingCall);
        let now = scenario.now();
        scenario.admission.call_requested(now, id);
        scenario.advance(MS * 125, 0.0);
        scenario.set_stage(id, Stage::Running);
        scenario.end_run(id, Outcome::Cancelled);
    }
    let spent: Duration =
        scenario.model.0.borrow().call_timeouts.iter().map(|timeout| (*timeout).min(MS * 325)).sum();
    assert!(spent > MS * 500 && spent < MS * 2900, "{spent:?}");
}

/// If a required call takes too long, another request would only wait for its call and then be late.
#[test]
fn a_request_is_rejected_before_it_runs_if_its_required_call_would_come_too_late() {
    for (took, stage) in [(30, Stage::Running), (300, Stage::Ended)] {
        let mut scenario = Scenario::new(settings_with("family_info.calls_out", 0.5));
        let id = scenario.receive(0, MS * 9000, None, 0.99);
        scenario.set_stage(id, Stage::AwaitingCall);
        scenario.admission.call_requested(MS, id);
        scenario.admission.call_ended(MS * (took + 1), id, Outcome::Completed, MS * took);
        let next = scenario.receive(0, MS * 9000, None, 0.99);
        assert_eq!(scenario.stage(next), stage, "calls of {took} ms");
    }
}

/// If unanswered calls counted with their full waiting time, a few of them would cause all other calls to be skipped.
#[test]
fn an_unanswered_call_is_retried_and_does_not_make_other_calls_look_slow() {
    let mut settings = settings_with("family_info.worth_without.0", 0.6);
    settings.set("family_info.calls_out", Value::Number(9.0));
    let mut scenario = Scenario::new(settings);
    let request_call = |scenario: &mut Scenario| {
        let id = scenario.receive(0, MS * LONG_WAIT_MS, None, 0.99);
        scenario.set_stage(id, Stage::AwaitingCall);
        let now = scenario.now();
        scenario.admission.call_requested(now, id);
        id
    };
    let end_call = |scenario: &mut Scenario, id, outcome, took| {
        let now = scenario.now();
        scenario
            .set_stage(id, if outcome == Outcome::Completed { Stage::Running } else { Stage::AwaitingCall });
        scenario.admission.call_ended(now, id, outcome, MS * took);
    };
    for _ in 0..40 {
        let id = request_call(&mut scenario);
        scenario.advance(MS * 10, 9.0);
        end_call(&mut scenario, id, Outcome::Completed, 10);
        scenario.advance(MS, 9.0);
        scenario.end_run(id, Outcome::Completed);
    }
    let unanswered = request_call(&mut scenario);
    assert!(scenario.model.0.borrow().call_timeouts.last().unwrap() < &(MS * 400));
    scenario.advance(MS * 250, 9.0);
    end_call(&mut scenario, unanswered, Outcome::TimedOut, 250);
    scenario.advance(MS * 100, 9.0);
    assert_eq!(scenario.stage(unanswered), Stage::Calling);
    end_call(&mut scenario, unanswered, Outcome::TimedOut, 2000);
    assert_eq!(scenario.stage(unanswered), Stage::Running);
    let next = request_call(&mut scenario);
    assert_eq!(scenario.stage(next), Stage::Calling);
}

/// A server of a large fleet: its quota is below one call, and its latency targets are long compared with a call.
fn with_small_quota(quota: f64) -> Scenario {
    let mut settings = settings_with("family_info.calls_out", quota);
    settings.set("profiles.0.goal_time", Value::Number(4e6));
    settings.set("profiles.0.give_up", Value::Number(12e6));
    Scenario::new(settings)
}

/// Receives a request and requests its upstream call.
fn request_call(scenario: &mut Scenario) -> RequestId {
    let id = scenario.receive(0, MS * 9000, None, 0.99);
    scenario.set_stage(id, Stage::AwaitingCall);
    let now = scenario.now();
    scenario.admission.call_requested(now, id);
    id
}

/// Completes the call after `millis`, and then the run.
fn complete_call(scenario: &mut Scenario, id: RequestId, millis: u32) {
    scenario.advance(MS * millis, 4.0);
    scenario.set_stage(id, Stage::Running);
    let now = scenario.now();
    scenario.admission.call_ended(now, id, Outcome::Completed, MS * millis);
    scenario.end_run(id, Outcome::Completed);
}

/// Reserving a full timeout for each call would leave most of the quota unused until call times are known.
#[test]
fn a_quota_below_one_call_is_used_from_the_first_answer_on() {
    let mut scenario = with_small_quota(0.41);
    for n in 0..10 {
        let id = request_call(&mut scenario);
        scenario.advance(MS * 100, 4.0);
        assert_eq!(scenario.stage(id), Stage::Calling, "call {n}");
        complete_call(&mut scenario, id, 11);
        scenario.advance(MS * 100, 4.0);
    }
}

/// The smoothed call time lags behind a dependency that is suddenly overloaded. If only it counted, each server would
/// exceed its share of the time.
#[test]
fn a_long_call_delays_the_next_according_to_its_own_time() {
    let mut scenario = with_small_quota(0.41);
    for _ in 0..30 {
        let id = request_call(&mut scenario);
        scenario.advance(MS * 100, 4.0);
        complete_call(&mut scenario, id, 10);
        scenario.advance(MS * 100, 4.0);
    }
    let long = request_call(&mut scenario);
    complete_call(&mut scenario, long, 200);
    let next = request_call(&mut scenario);
    scenario.advance(MS * 200, 4.0);
    assert_eq!(
        scenario.stage(next),
        Stage::AwaitingCall,
        "after a call of 0.2 s the quota allows no call for at least 0.6 s"
    );
    scenario.advance(MS * 1300, 4.0);
    assert_eq!(scenario.stage(next), Stage::Calling);
}

/// Calls that take four times their best time indicate that the calls of all servers overload the dependency.
#[test]
fn slow_calls_cut_the_call_window_even_if_no_latency_target_is_missed() {
    let mut settings = settings_with("family_info.calls_out", 10.0);
    settings.set("profiles.0.goal_time", Value::Number(4e6));
    settings.set("family_info.cores", Value::Number(20.0));
    let mut scenario = Scenario::new(settings);
    let mut calls_at_once = |millis: u32| {
        let ids: Vec<RequestId> = (0..40).map(|_| request_call(&mut scenario)).collect();
        let at_once = ids.iter().filter(|id| scenario.stage(**id) == Stage::Calling).count();
        for id in ids {
            if scenario.stage(id) == Stage::Calling {
                complete_call(&mut scenario, id, millis);
            } else {
                scenario.end_run(id, Outcome::Cancelled);
            }
        }
        scenario.advance(MS * 2100, 4.0);
        at_once
    };
    let usual = (0..12).map(|_| calls_at_once(10)).last();
    assert_eq!(usual, Some(8), "the call window is four fifths of the quota");
    let overloaded = (0..8).map(|_| calls_at_once(40)).last();
    assert_eq!(overloaded, Some(3), "the call window is about a third of the quota");
}
