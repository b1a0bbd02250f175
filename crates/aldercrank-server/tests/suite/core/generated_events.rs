//! Invariants on generated events: no request is left without a response or answered twice, a keyed request runs at
//! most once in its window, and no request is rejected after it ran.

use super::scenario::{settings, Scenario, MS};
use super::world::{RunState, WINDOW};
use aldercrank::Outcome;
use quickcheck::{Gen, QuickCheck, TestResult};
use std::time::Duration;

/// A generated event: the action, the selector of the request or run concerned, and an amount such as a duration.
type Step = (u8, u8, u16);

fn apply_step(scenario: &mut Scenario, (action, selector, amount): Step) {
    use Outcome::{Cancelled, Completed, ConnectionLost, Failed, Rejected};
    match action % 18 {
        0..=4 => {
            let token = (selector % 2 == 0).then_some(selector / 2 % 6);
            let unread_time = MS * u32::from(amount % 5) * 30;
            // A quarter of the requests are delayed on their way, by up to the longest deadline.
            let delay = if selector < 64 { MS * u32::from(amount % 3000) } else { Duration::ZERO };
            let time_left = MS * u32::from(amount % 3500);
            scenario.receive_delayed(token, time_left, unread_time + delay, unread_time);
        }
        5 | 6 => scenario.exchange(),
        7 => scenario.receive_notices(usize::from(selector % 3)),
        8 | 9 => {
            if let Some(attempt) = scenario.nth_run(selector, |r| *r == RunState::Running) {
                let outcome = if amount % 7 == 0 { Failed } else { Completed };
                scenario.world_mut().end_run(attempt, outcome);
            }
        }
        10 => {
            if let Some(attempt) = scenario.nth_run(selector, |r| *r == RunState::Running) {
                scenario.await_call(attempt);
            }
        }
        11 => {
            // The pool ends a run that waits for a call and has no caller.
            if let Some(attempt) = scenario.nth_run(selector, |r| matches!(r, RunState::AwaitingCall(_))) {
                if scenario.world().is_over(attempt) {
                    scenario.world_mut().end_run(attempt, Cancelled);
                }
            }
        }
        12 => scenario.end_call(
            selector,
            [Completed, Completed, Failed, Rejected, ConnectionLost][usize::from(amount) % 5],
        ),
        16 if selector < 100 => {
            let now = scenario.now();
            let full = now + MS * u32::from(amount % 700);
            scenario.core.renew_lease(now, full, full + MS * u32::from(selector) * 20);
        }
        16 if selector < 160 => {
            // The window grows and shrinks; an entry keeps the longest one, which the model checks.
            let mut settings = settings();
            let window = WINDOW.as_micros() as f64 * (1.0 + f64::from(amount % 3));
            settings.set("profiles.1.window", aldercrank::Value::Number(window));
            let upstream_quota = [None, Some(0.0), Some(3.0)][usize::from(selector % 3)];
            scenario.core.apply_version(scenario.now(), &settings, u64::from(amount), upstream_quota);
        }
        13 => scenario.lose_link_with_unwritten(usize::from(selector % 4), usize::from(selector / 4 % 5)),
        14 => scenario.restore_link(),
        15 => {
            let reply_to = scenario.world().requests.keys().nth(usize::from(selector)).copied();
            reply_to.into_iter().for_each(|reply_to| scenario.cancel(reply_to));
        }
        _ => scenario.advance(MS * u32::from(amount % 500 + 1)),
    }
}

fn invariants_hold(steps: Vec<Step>) -> TestResult {
    let mut scenario = Scenario::new();
    for step in steps {
        apply_step(&mut scenario, step);
    }
    scenario.restore_link();
    for _ in 0..60 {
        scenario.exchange();
        while let Some(attempt) = scenario.nth_run(0, |r| *r != RunState::Ended) {
            scenario.world_mut().end_run(attempt, Outcome::Completed);
        }
        scenario.advance(MS * 500);
    }
    let (owed, in_flight) = (scenario.core.responses_owed(), scenario.core.requests_in_flight());
    let mut world = scenario.world_mut();
    if owed + in_flight > 0 {
        world.violations.push(format!(
            "{owed} responses owed and {in_flight} requests in flight after all runs have ended"
        ));
    }
    world.violations.first().map_or(TestResult::passed(), TestResult::error)
}

#[test]
fn invariants_hold_on_generated_events_with_lost_links() {
    let mut tests = QuickCheck::new().tests(1200).rng(Gen::from_size_and_seed(200, 20261201));
    tests.quickcheck(invariants_hold as fn(Vec<Step>) -> TestResult);
}
