//! Leases, and the quota of upstream calls.

use super::scenario::{settings, Scenario, MS};
use super::world::{Notice, RunState};
use aldercrank::Outcome;
use aldercrank_server::core::ReplyTo;
use std::time::Duration;

/// How far a request has come.
#[derive(Debug, PartialEq)]
struct Progress {
    responses: u32,
    ran: bool,
}

const WAITING: Progress = Progress { responses: 0, ran: false };
const RUNNING: Progress = Progress { responses: 0, ran: true };
const REJECTED: Progress = Progress { responses: 1, ran: false };

fn progress(scenario: &Scenario, reply_to: ReplyTo) -> Progress {
    let ran = scenario.world().runs.contains_key(&scenario.attempt(reply_to));
    Progress { responses: scenario.responses(reply_to), ran }
}

#[test]
fn an_expired_lease_applies_to_the_first_event_after_a_pause() {
    let mut scenario = Scenario::new();
    let now = scenario.now();
    scenario.core.renew_lease(now, now + MS * 1000, now + MS * 2500);
    let all: Vec<ReplyTo> = (0..9).map(|n| scenario.receive(Some(n), MS * 2900, Duration::ZERO)).collect();
    scenario.exchange();
    let queued: Vec<ReplyTo> =
        all.into_iter().filter(|reply_to| progress(&scenario, *reply_to) == WAITING).collect();
    assert!(queued.len() > 2, "more requests than cores");
    // The process is paused: no timer fires. Then a run ends, which would start a queued request.
    scenario.world_mut().now += MS * 1500;
    let (now, attempt) = (scenario.now(), scenario.world().runs.keys().next().copied().unwrap());
    scenario.world_mut().end_run(attempt, Outcome::Completed);
    scenario.exchange();
    assert!(
        queued.iter().all(|reply_to| progress(&scenario, *reply_to) == REJECTED),
        "rejected at once without running"
    );
    let (keyed, idempotent) = (
        scenario.receive(Some(77), MS * 900, Duration::ZERO),
        scenario.receive(None, MS * 900, Duration::ZERO),
    );
    scenario.exchange();
    assert_eq!((progress(&scenario, keyed), progress(&scenario, idempotent)), (REJECTED, RUNNING));
    // Without any lease it admits nothing; with a new one, everything.
    scenario.world_mut().now += MS * 1200;
    let idempotent = scenario.receive(None, MS * 900, Duration::ZERO);
    assert_eq!(progress(&scenario, idempotent), REJECTED);
    let later = scenario.now();
    scenario.core.renew_lease(later, later + MS * 1000, later + MS * 2500);
    let keyed = scenario.receive(Some(78), MS * 900, Duration::ZERO);
    scenario.exchange();
    assert_eq!(progress(&scenario, keyed).responses, 0);
    assert!(now < later && scenario.world().violations.is_empty(), "{:?}", scenario.world().violations);
}

#[test]
fn with_an_upstream_quota_of_zero_no_call_is_made_and_the_run_continues_without_it() {
    let mut scenario = Scenario::new();
    let now = scenario.now();
    scenario.core.apply_version(now, &settings(), 3, Some(0.0));
    let idempotent = scenario.receive(None, MS * 2500, Duration::ZERO);
    scenario.exchange();
    let attempt = scenario.attempt(idempotent);
    {
        let mut world = scenario.world_mut();
        let n = world.notices.len() as u64 + 1;
        world.runs.insert(attempt, RunState::AwaitingCall(n));
        world.notices.push(Notice::Blocked(attempt, b"ask".to_vec()));
    }
    for _ in 0..20 {
        scenario.exchange();
        scenario.advance(MS * 30);
    }
    assert!(scenario.world().calls.is_empty(), "no call is made");
    assert_eq!(scenario.world().runs[&attempt], RunState::Running, "the run continues without its call");
    scenario.core.apply_version(scenario.now(), &settings(), 4, Some(2.0));
    assert!(scenario.world().violations.is_empty());
}
