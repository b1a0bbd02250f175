//! Loss and restoration of the link to the worker pool, and restarts of the pool.

use super::scenario::{Scenario, MS};
use super::world::{Command, RunState};
use aldercrank::Outcome;

#[test]
fn a_start_of_unknown_delivery_runs_at_most_once_and_frees_its_slot_after_the_response() {
    for commands_received in [0, 9] {
        let mut scenario = Scenario::new();
        let (keyed, read) = (scenario.receive(Some(1), MS * 1000, MS), scenario.receive(None, MS * 1000, MS));
        scenario.lose_link(commands_received);
        scenario.restore_link();
        scenario.exchange();
        let started = usize::from(commands_received > 0);
        // The start of the read is sent again; that of the keyed request is not until the request has failed.
        assert_eq!(scenario.world().runs.len(), 1 + started);
        scenario.advance(MS * 1200);
        assert_eq!((scenario.responses(keyed), scenario.responses(read)), (1, 1));
        scenario.advance(MS * 2000);
        scenario.exchange();
        assert_eq!((scenario.starts_of(1), scenario.core.requests_in_flight()), (started, started));
        assert!(scenario.world().violations.is_empty());
    }
}

#[test]
fn start_commands_not_written_before_the_link_was_lost_are_sent_again() {
    let mut scenario = Scenario::new();
    let replies_owed = [1, 2, 3].map(|token| scenario.receive(Some(token), MS * 1500, MS));
    // The first start command was received, the second written but lost, the third not written.
    scenario.lose_link_with_unwritten(1, 1);
    scenario.restore_link();
    scenario.exchange();
    assert_eq!([1, 2, 3].map(|token| scenario.starts_of(token)), [1, 0, 1]);
    scenario.advance(MS * 2000);
    scenario.exchange();
    assert_eq!(replies_owed.map(|reply_to| scenario.responses(reply_to)), [1, 1, 1]);
    assert!(scenario.world().violations.is_empty());

    // The start of a request whose caller has gone by then is not sent again.
    let in_flight = scenario.core.requests_in_flight();
    let abandoned = scenario.receive(Some(4), MS * 1500, MS);
    scenario.cancel(abandoned);
    scenario.lose_link_with_unwritten(0, 0);
    scenario.restore_link();
    scenario.exchange();
    assert_eq!((scenario.starts_of(4), scenario.core.requests_in_flight()), (0, in_flight));
}

#[test]
fn unsent_start_commands_are_sent_once_the_link_is_back_unless_the_request_is_over() {
    let mut scenario = Scenario::new();
    scenario.lose_link(0);
    let (long, short) = (scenario.receive(Some(1), MS * 3000, MS), scenario.receive(Some(2), MS * 300, MS));
    scenario.advance(MS * 500);
    assert_eq!((scenario.responses(long), scenario.responses(short)), (0, 1));
    scenario.restore_link();
    scenario.exchange();
    assert_eq!((scenario.starts_of(1), scenario.starts_of(2), scenario.core.requests_in_flight()), (1, 0, 1));
}

#[test]
fn a_call_result_waits_for_the_link_and_a_skipped_call_is_sent_again() {
    for outcome in [Outcome::Completed, Outcome::TimedOut] {
        let mut scenario = Scenario::new();
        let read = scenario.receive(None, MS * 2500, MS);
        scenario.exchange();
        let attempt = scenario.attempt(read);
        scenario.await_call(attempt);
        scenario.exchange();
        if outcome == Outcome::Completed {
            scenario.lose_link(0);
            scenario.end_call(0, outcome);
        } else {
            // The call is skipped when no time is left, but the link is lost before the pool has received the command.
            scenario.advance(MS * 600);
            scenario.end_call(0, outcome);
            scenario.lose_link(0);
        }
        scenario.restore_link();
        scenario.exchange();
        assert_eq!(scenario.nth_run(0, |r| *r == RunState::Running), Some(attempt), "{outcome:?}");
    }
}

#[test]
fn load_metrics_are_requested_before_each_tick_one_poll_at_a_time() {
    let mut scenario = Scenario::new();
    let polls = |scenario: &Scenario| {
        let is_poll = |command: &&Command| matches!(command, Command::RequestMetrics(_));
        scenario.world().commands.iter().filter(is_poll).count()
    };
    scenario.advance(MS * 20);
    assert_eq!(polls(&scenario), 0);
    scenario.advance(MS * 8);
    assert_eq!(polls(&scenario), 1, "before the tick at 30 ms");
    scenario.advance(MS * 200);
    assert_eq!(polls(&scenario), 1, "none while one is outstanding");
    scenario.exchange();
    scenario.advance(MS * 30);
    assert_eq!(polls(&scenario), 1);
}

#[test]
fn a_restarted_pool_fails_all_runs_and_frees_their_slots() {
    let mut scenario = Scenario::new();
    let replies_owed = [scenario.receive(Some(1), MS * 2000, MS), scenario.receive(None, MS * 2000, MS)];
    scenario.exchange();
    scenario.lose_link(0);
    let unsent = scenario.receive(None, MS * 2000, MS);
    scenario.core.pool_restarted(scenario.now(), false);
    assert_eq!(
        (replies_owed.map(|reply_to| scenario.responses(reply_to)), scenario.core.requests_in_flight()),
        ([1, 1], 1)
    );
    scenario.restore_link();
    scenario.exchange();
    assert_eq!(scenario.world().runs.len(), 3);
    // A keyed request does not run again: its repeat fails.
    let repeat = scenario.receive(Some(1), MS * 2000, MS);
    scenario.exchange();
    assert_eq!((scenario.responses(repeat), scenario.starts_of(1), scenario.responses(unsent)), (1, 1, 0));
}
