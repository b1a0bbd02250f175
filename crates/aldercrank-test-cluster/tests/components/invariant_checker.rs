//! The violations that the invariant checker reports, and what it excuses.

use crate::{attempt, ms};
use aldercrank_protocol::msgpack_rpc::MessageId;
use aldercrank_test_cluster::ids::{ClassNo, ConnNo, EdgeNo, Incarnation, ReplyTo, RequestNo, ServerNo};
use aldercrank_test_cluster::invariant_checker::{
    run_result, Answer, Attempt, CallOutcome, CheckedClass, CheckerSettings, ConnectionEnd, Effect,
    InvariantChecker, ProcessExit, Rule, RunStart,
};

fn reply_to(n: u32) -> ReplyTo {
    ReplyTo { conn: ConnNo(1), message_id: MessageId(n) }
}

fn checked_class(name: &str, effect: Effect) -> CheckedClass {
    CheckedClass { name: name.to_string(), effect, dedup_window: ms(1000) }
}

fn checker() -> InvariantChecker {
    InvariantChecker::new(CheckerSettings {
        classes: vec![
            checked_class("map-extract", Effect::Idempotent),
            checked_class("licence-buy", Effect::Keyed),
        ],
        slack: ms(50),
        drain_grace: ms(500),
        stop_timeout: ms(2000),
    })
}

fn attempt_at(n: u32, at: u64, idempotency_key: Option<u64>) -> Attempt {
    Attempt {
        request: RequestNo(n),
        attempt: attempt(n),
        edge: EdgeNo(0),
        server: ServerNo(0),
        incarnation: Incarnation(1),
        reply_to: reply_to(n),
        class: ClassNo(u8::from(idempotency_key.is_some())),
        idempotency_key,
        body_hash: 5,
        sent_at: ms(at),
        deadline: ms(at + 1000),
    }
}

fn start_run(checker: &mut InvariantChecker, n: u32, at: u64, class: &str) -> bool {
    let run = RunStart {
        server: ServerNo(0),
        incarnation: Incarnation(1),
        attempt: attempt(n),
        class,
        body_hash: 5,
    };
    checker.run_started(ms(at), run)
}

fn violated_rules(checker: &InvariantChecker) -> Vec<Rule> {
    checker.violations.iter().map(|violation| violation.rule).collect()
}

#[test]
fn each_violation_is_reported_under_its_rule() {
    let n1 = ServerNo(0);
    let answer = |checker: &mut InvariantChecker, n: u32, at: u64, run_of: u32| {
        let result = run_result(attempt(run_of), CallOutcome::NotNeeded);
        checker.answer_received(ms(at), n1, reply_to(n), Answer::Completed(&result));
    };
    let mut valid = checker();
    valid.attempt_sent(attempt_at(1, 0, None));
    assert!(start_run(&mut valid, 1, 5, "map-extract"));
    answer(&mut valid, 1, 900, 1);
    valid.finish(ms(5000));
    assert_eq!(violated_rules(&valid), []);

    let mut lost = checker();
    lost.attempt_sent(attempt_at(1, 0, None));
    assert!(!lost.check_overdue(ms(1000), reply_to(1)), "the slack has not elapsed");
    assert!(lost.check_overdue(ms(1200), reply_to(1)));
    assert_eq!(violated_rules(&lost), [Rule::Lost]);

    let mut late = checker();
    late.attempt_sent(attempt_at(1, 0, None));
    start_run(&mut late, 1, 5, "map-extract");
    answer(&mut late, 1, 1150, 1);
    late.scheduling_delay_sampled(ms(1200), ms(0), vec![ms(0)]);
    assert_eq!(violated_rules(&late), [Rule::Late], "reported once the scheduling delay is sampled");
    let mut late_unsampled = checker();
    late_unsampled.attempt_sent(attempt_at(1, 0, None));
    start_run(&mut late_unsampled, 1, 5, "map-extract");
    answer(&mut late_unsampled, 1, 1150, 1);
    late_unsampled.finish(ms(5000));
    assert_eq!(
        violated_rules(&late_unsampled),
        [Rule::Late],
        "reported at the end of the run if there is no further sample"
    );

    let mut twice = checker();
    twice.attempt_sent(attempt_at(1, 0, Some(9)));
    twice.attempt_sent(attempt_at(2, 900, Some(9)));
    twice.attempt_sent(attempt_at(3, 2500, Some(9)));
    start_run(&mut twice, 1, 5, "licence-buy");
    start_run(&mut twice, 2, 905, "licence-buy");
    assert_eq!(violated_rules(&twice), [Rule::Twice]);
    start_run(&mut twice, 3, 2505, "licence-buy");
    assert_eq!(twice.violations.len(), 1, "the third attempt was sent after the deduplication window");

    let mut mixed = checker();
    mixed.attempt_sent(attempt_at(1, 0, None));
    mixed.attempt_sent(attempt_at(2, 0, None));
    start_run(&mut mixed, 1, 5, "map-extract");
    start_run(&mut mixed, 2, 5, "licence-buy");
    answer(&mut mixed, 1, 100, 2);
    assert_eq!(
        violated_rules(&mixed),
        [Rule::Mixed, Rule::Mixed],
        "ran with another class; completed with the result of another request"
    );

    let mut drain = checker();
    drain.shutdown_requested(ms(100), n1, Incarnation(1));
    drain.attempt_sent(attempt_at(1, 500, None));
    drain.attempt_sent(attempt_at(2, 700, None));
    start_run(&mut drain, 1, 710, "map-extract");
    start_run(&mut drain, 2, 710, "map-extract");
    assert_eq!(violated_rules(&drain), [Rule::Drain], "only the second was sent after the grace period");

    let mut exited = checker();
    exited.process_exited(
        ms(10),
        ProcessExit { server: n1, incarnation: Incarnation(1), code: Some(101), killed: false },
    );
    assert_eq!(violated_rules(&exited), [Rule::Fall]);
}

#[test]
fn injected_faults_violate_no_rule() {
    let mut checker = checker();
    checker.attempt_sent(attempt_at(1, 0, None));
    checker.attempt_sent(attempt_at(2, 900, None));
    checker.add_fault_span(ServerNo(0), ms(300), ms(600));
    checker.connection_lost(ms(400), reply_to(1), ConnectionEnd::ByServer);
    checker.connection_lost(ms(950), reply_to(2), ConnectionEnd::ByServer);
    assert_eq!(violated_rules(&checker), [Rule::Lost], "the second was sent after the fault had ended");
}

#[test]
fn scheduling_delay_does_not_make_a_response_late() {
    let mut checker = checker();
    checker.scheduling_delay.sample(ms(0), ms(0), vec![ms(0)]);
    checker.scheduling_delay.sample(ms(1000), ms(50), vec![ms(300)]);
    checker.attempt_sent(attempt_at(1, 0, None));
    start_run(&mut checker, 1, 5, "map-extract");
    let result = run_result(attempt(1), CallOutcome::NotNeeded);
    checker.answer_received(ms(1300), ServerNo(0), reply_to(1), Answer::Completed(&result));
    assert_eq!(violated_rules(&checker), []);
    // Most of the scheduling delay may show only in a sample after the response.
    checker.attempt_sent(attempt_at(2, 1000, None));
    start_run(&mut checker, 2, 1005, "map-extract");
    let result = run_result(attempt(2), CallOutcome::NotNeeded);
    checker.answer_received(ms(2400), ServerNo(0), reply_to(2), Answer::Completed(&result));
    checker.scheduling_delay_sampled(ms(2450), ms(100), vec![ms(600)]);
    assert_eq!(violated_rules(&checker), []);
}

/// A caller retries an attempt whose connection was closed before the attempt was read. If that attempt ran as well,
/// the request would take effect twice.
#[test]
fn a_run_of_an_unread_attempt_is_a_violation_before_and_after_its_connection_closes() {
    let mut unread = checker();
    unread.attempt_sent(attempt_at(1, 0, None));
    unread.connection_lost(ms(20), reply_to(1), ConnectionEnd::BeforeRead);
    unread.finish(ms(5000));
    assert_eq!((violated_rules(&unread), unread.counts.unread), (vec![], 1));

    let mut ran_before = checker();
    ran_before.attempt_sent(attempt_at(1, 0, None));
    start_run(&mut ran_before, 1, 5, "map-extract");
    ran_before.connection_lost(ms(20), reply_to(1), ConnectionEnd::BeforeRead);
    assert_eq!(violated_rules(&ran_before), [Rule::Lost]);

    let mut runs_after = checker();
    runs_after.attempt_sent(attempt_at(1, 0, None));
    runs_after.connection_lost(ms(20), reply_to(1), ConnectionEnd::BeforeRead);
    start_run(&mut runs_after, 1, 25, "map-extract");
    assert_eq!(violated_rules(&runs_after), [Rule::Lost]);
}
