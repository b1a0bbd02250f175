//! The concurrency window, the queue, rejections, the load hint and the idle timeout.

use crate::model::{offer, settings, settings_with, Rejection, Scenario, Stage, LONG_WAIT_MS, MS};
use aldercrank::{Outcome, RequestId, Value};

fn running(scenario: &Scenario) -> usize {
    scenario.model.0.borrow().count(Stage::Running)
}

fn run_once(scenario: &mut Scenario, millis: u32) {
    let id = scenario.receive(0, MS * 20_000, None, 0.99);
    scenario.advance(MS * millis, 9.0);
    scenario.end_run(id, Outcome::Completed);
}

#[test]
fn the_window_grows_on_demand_only_and_not_past_its_limit() {
    for (demand, most) in [(false, 4), (true, 8)] {
        let mut scenario = Scenario::new(settings_with("window.per_core", 2.0));
        for _ in 0..60 {
            let ids = offer(&mut scenario, if demand { 8 } else { 2 });
            scenario.advance(MS * 100, 9.0);
            ids.into_iter().for_each(|id| scenario.end_run(id, Outcome::Completed));
        }
        offer(&mut scenario, 12);
        assert_eq!(running(&scenario), most, "demand {demand}");
    }
}

#[test]
fn idle_cores_grow_the_window_at_each_tick_while_requests_are_queued_except_after_a_cold_start() {
    for (cold, most) in [(false, 8), (true, 4)] {
        let mut settings = settings_with("window.per_core", 2.0);
        settings.set("family_info.cold", Value::Flag(cold));
        settings.set("rules.cold_from", Value::Number(0.6));
        let mut scenario = Scenario::new(settings);
        offer(&mut scenario, 9);
        scenario.advance(MS * 40, 3.0);
        assert_eq!(running(&scenario), most, "cold {cold}");
    }
}

#[test]
fn a_p99_over_the_target_or_a_very_slow_run_cuts_the_window() {
    for (millis, left) in [(1200, 5), (3300, 5), (900, 8)] {
        let mut scenario = Scenario::new(settings_with("window.per_core", 2.0));
        offer(&mut scenario, 9);
        scenario.advance(MS * 40, 3.0);
        let first = scenario.model.0.borrow().requests.keys().next().copied().unwrap();
        scenario.advance(MS * 20, 9.0);
        let now = scenario.now();
        scenario.set_stage(first, Stage::Ended);
        scenario.model.0.borrow_mut().requests.get_mut(&first).unwrap().answers = 1;
        scenario.admission.run_ended(now, first, Outcome::Completed, MS * millis);
        if millis < 3000 {
            scenario.advance(MS * 600, 9.0);
        }
        let ids: Vec<RequestId> = scenario.model.0.borrow().requests.keys().copied().collect();
        ids.into_iter().for_each(|id| scenario.end_run(id, Outcome::Cancelled));
        offer(&mut scenario, 9);
        assert_eq!(running(&scenario), left, "run of {millis} ms");
    }
}

#[test]
fn a_repeat_replaces_a_queued_original_and_joins_a_started_one() {
    let mut scenario = Scenario::new(settings(&["retryable", "dedup"]));
    let started = scenario.receive(1, MS * LONG_WAIT_MS, Some(1), 0.5);
    let joined = scenario.receive(1, MS * LONG_WAIT_MS, Some(1), 0.5);
    offer(&mut scenario, 3);
    let queued = scenario.receive(1, MS * LONG_WAIT_MS, Some(2), 0.5);
    let repeat = scenario.receive(1, MS * LONG_WAIT_MS, Some(2), 0.5);
    let stages = [started, joined, queued, repeat].map(|id| scenario.stage(id));
    assert_eq!(stages, [Stage::Running, Stage::Joined, Stage::Ended, Stage::Queued]);
}

#[test]
fn a_request_that_cannot_be_in_time_is_rejected_at_once_with_retry_after() {
    let mut scenario = Scenario::new(settings(&["retryable"]));
    offer(&mut scenario, 40);
    let model = scenario.model.0.borrow();
    assert!(
        model.rejected.len() > 10 && model.rejected.iter().any(|rejection| rejection.retry_after.is_some())
    );
    assert!(model.count(Stage::Queued) > 0);
}

/// Otherwise a single stall would cause all requests to be rejected permanently.
#[test]
fn run_times_measured_in_a_stall_decay() {
    let mut scenario = Scenario::new(settings(&["retryable"]));
    for _ in 0..60 {
        run_once(&mut scenario, 1500);
    }
    scenario.advance(MS * 6000, 0.0);
    let id = scenario.receive(0, MS * LONG_WAIT_MS, None, 0.99);
    assert_eq!(scenario.stage(id), Stage::Running);
}

/// A cold server never asks for that, since other servers may be warm.
#[test]
fn a_warm_server_that_rejects_most_requests_asks_for_no_further_attempts() {
    for cold in [false, true] {
        let mut settings = settings(&["retryable"]);
        settings.set("family_info.cold", Value::Flag(cold));
        let mut scenario = Scenario::new(settings);
        for _ in 0..40 {
            scenario.advance(MS * 25, 9.0);
            scenario.unread_time = MS * 990;
            scenario.receive(0, MS * LONG_WAIT_MS, None, 0.5);
        }
        let last = scenario.model.0.borrow().rejected.last().map(|rejection| rejection.last);
        assert_eq!(last, Some(!cold));
    }
}

/// A single caller that sends nearly all requests must not be limited to an even share. A server that reads slowly must
/// be sent fewer requests.
#[test]
fn the_load_hint_depends_on_how_many_callers_send_and_falls_with_unread_time() {
    let load_hint = |senders: u64, unread_time: u32| {
        let mut settings = settings_with("family_info.upstreams", 6.0);
        settings.set("family_info.advert", Value::Text("window".into()));
        let mut scenario = Scenario::new(settings);
        for n in 0..60 {
            (scenario.caller, scenario.unread_time) = (n % senders, MS * unread_time);
            run_once(&mut scenario, 100);
        }
        let load_hint = *scenario.model.0.borrow().load_hints.last().unwrap();
        load_hint
    };
    assert!(load_hint(1, 0) > 4.0 * load_hint(6, 0) && load_hint(1, 900) < load_hint(1, 0) / 2.0);
}

/// With many callers, each of which seldom returns, idle connections are closed soon, unless a reconnect storm occupies
/// the cores.
#[test]
fn idle_connections_close_soon_but_not_in_a_reconnect_storm() {
    let idle_timeout = |callers: f64, runnable: f64| {
        let mut settings = settings_with("family_info.upstreams", callers);
        settings.set("family_info.idle", Value::Number(30e6));
        let mut scenario = Scenario::new(settings);
        offer(&mut scenario, 3);
        scenario.advance(MS * 9000, runnable);
        let idle_timeout = scenario.model.0.borrow().idle_timeout;
        idle_timeout
    };
    assert_eq!((idle_timeout(2.0, 3.0), idle_timeout(5000.0, 12.0)), (MS * 30_000, MS * 30_000));
    assert!(idle_timeout(5000.0, 3.0) < MS * 2000);
}

/// The remaining wait of a later attempt reveals its age. Past its latency target it can't be answered in time by any
/// server.
#[test]
fn an_attempt_past_its_latency_target_is_rejected_as_the_last_one() {
    let mut scenario = Scenario::new(settings(&["retryable"]));
    for n in 0..30 {
        scenario.caller = n;
        let id = scenario.receive(0, MS * 2000, None, 0.99);
        scenario.end_run(id, Outcome::Completed);
    }
    let old = scenario.receive(0, MS * 1000, None, 0.99);
    assert_eq!(scenario.model.0.borrow().rejected, [Rejection { id: old, retry_after: None, last: true }]);
}

/// Reads of one popular subject, and repeats of a keyed request, were taken in to wait for the one run whatever memory
/// was left. The model checks the memory at each of them.
#[test]
fn repeats_wait_for_a_run_only_while_there_is_memory_for_them() {
    for (class, effect) in [(0, "retryable"), (1, "dedup")] {
        let mut settings = settings(&["retryable", "dedup"]);
        settings.set("family_info.fresh_for", Value::Number(1e6));
        let mut scenario = Scenario::new(settings);
        // Each takes a hundredth of the memory.
        scenario.memory_kb = 100.0;
        let original = scenario.receive(class, MS * LONG_WAIT_MS, Some(1), 0.99);
        let repeats: Vec<RequestId> =
            (0..200).map(|_| scenario.receive(class, MS * LONG_WAIT_MS, Some(1), 0.99)).collect();
        assert!(!scenario.has_violations(), "{effect}");
        let waiting = repeats.iter().filter(|id| scenario.stage(**id) == Stage::Joined).count();
        assert!((60..90).contains(&waiting), "{effect}: {waiting} wait");
        // The others were answered at once: reads are rejected, repeats of what runs fail.
        let answers: u32 = repeats.iter().map(|id| scenario.model.0.borrow().requests[id].answers).sum();
        let rejected = scenario.model.0.borrow().rejected.len();
        let others = repeats.len() - waiting;
        assert_eq!((answers as usize, rejected), (others, if class == 0 { others } else { 0 }), "{effect}");
        // A smaller request beside them can still run.
        scenario.memory_kb = 50.0;
        let other = scenario.receive(0, MS * LONG_WAIT_MS, None, 0.99);
        assert_eq!(scenario.stage(other), Stage::Running, "{effect}");
        scenario.end_run(original, Outcome::Completed);
        assert_eq!(scenario.model.0.borrow().count(Stage::Joined), 0, "{effect}");
    }
}
