//! The stand-ins, lanes, checker and scenarios without sockets; the pool beside a slow plain model.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_protocol::msgpack_rpc::MessageId;
use aldercrank_protocol::worker_pool::{AttemptId, RunEnd};
use aldercrank_test_cluster::ids::{ClassNo, ConnNo, EdgeNo, Incarnation, ReplyTo, RequestNo, ServerNo};
use aldercrank_test_cluster::index_stub::{IndexAnswer, IndexSettings, IndexState, IndexStub};
use aldercrank_test_cluster::invariant_checker::{
    run_result, Answer, Attempt, CallOutcome, CheckedClass, CheckerSettings, ConnectionEnd, Effect,
    InvariantChecker, ProcessExit, Rule, RunStart,
};
use aldercrank_test_cluster::membership_stub::{MembershipState, MembershipStub, ReportAnswer};
use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::relayed_link::{Corruption, RelayedLink};
use aldercrank_test_cluster::scenario::Scenario;
use aldercrank_test_cluster::worker_pool_stub::{Cores, RunPlan, WorkerPoolHost, WorkerPoolStub};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn attempt(n: u32) -> AttemptId {
    AttemptId::new(&format!("{n:016x}")).unwrap()
}

fn through(lane: &mut RelayedLink, now: Duration, corruption: &Corruption) -> Vec<u8> {
    let mut out = Vec::new();
    let _ = lane.release(now, corruption, &mut out);
    out
}

#[test]
fn what_is_late_keeps_its_order_and_loses_nothing() {
    let (mut lane, mut draw) = (RelayedLink::default(), RandomStream::of(1, "test"));
    let corruption = Corruption { delay: ms(20), jitter: 3.0, ..Corruption::default() };
    let said: Vec<Vec<u8>> = (0..100u8).map(|n| vec![n; 3]).collect();
    let mut heard = Vec::new();
    for (n, bytes) in said.iter().enumerate() {
        let now = ms(n as u64);
        lane.push(now, bytes.clone(), &corruption, &mut draw);
        heard.extend(through(&mut lane, now, &corruption));
        assert!(n >= 20 || heard.is_empty(), "nothing comes before its delay");
    }
    heard.extend(through(&mut lane, ms(1000), &corruption));
    assert_eq!(heard, said.concat());
}

#[test]
fn a_dead_way_holds_and_a_silent_one_forgets() {
    let (mut lane, mut draw) = (RelayedLink::default(), RandomStream::of(1, "test"));
    let dead = Corruption { blocked: true, ..Corruption::default() };
    lane.push(ms(0), b"held".to_vec(), &dead, &mut draw);
    assert_eq!(through(&mut lane, ms(900), &dead), b"");
    assert_eq!(through(&mut lane, ms(901), &Corruption::default()), b"held");
    let silent = Corruption { silent_after_bytes: Some(3), ..Corruption::default() };
    lane.push(ms(902), b"abcdef".to_vec(), &silent, &mut draw);
    assert_eq!(through(&mut lane, ms(902), &silent), b"abc");
    lane.push(ms(903), b"more".to_vec(), &Corruption::default(), &mut draw);
    assert_eq!(
        through(&mut lane, ms(999), &Corruption::default()),
        b"",
        "half of a message, then nothing for good"
    );
}

#[test]
fn a_reset_comes_at_its_byte_and_a_trickle_at_its_rate() {
    let (mut lane, mut draw) = (RelayedLink::default(), RandomStream::of(1, "test"));
    let reset = Corruption { reset_after_bytes: Some(2), ..Corruption::default() };
    lane.push(ms(0), b"abcdef".to_vec(), &reset, &mut draw);
    let mut out = Vec::new();
    assert!(lane.release(ms(0), &reset, &mut out).is_err());
    assert_eq!(out, b"ab");
    let (mut lane, slow) =
        (RelayedLink::default(), Corruption { bytes_per_second: Some(100), ..Corruption::default() });
    lane.push(ms(0), vec![7; 100], &slow, &mut draw);
    let half = through(&mut lane, ms(500), &slow).len();
    assert!((45..=60).contains(&half), "{half} of 100 bytes in half a second");
    assert_eq!(through(&mut lane, ms(1000), &slow).len(), 100 - half);
}

#[derive(Default)]
struct Ends(Vec<(AttemptId, RunEnd)>);

impl WorkerPoolHost for Ends {
    fn plan_run(&mut self, _rid: AttemptId, class: &str, _body: &[u8]) -> Option<RunPlan> {
        let work = ms(class.parse().ok()?);
        Some(RunPlan { work, makes_call: false, fails: false })
    }
    fn call_body(&mut self, _rid: AttemptId) -> Vec<u8> {
        Vec::new()
    }
    fn call_result_delivered(&mut self, _rid: AttemptId, _reply: &[u8]) {}
    fn run_ended(&mut self, attempt: AttemptId, end: RunEnd) -> Vec<u8> {
        self.0.push((attempt, end));
        Vec::new()
    }
}

/// Cores shared evenly, a tenth of a millisecond at a time.
fn plainly(cores: f64, jobs: &[(u64, u64)]) -> Vec<f64> {
    let mut left: Vec<f64> = jobs.iter().map(|(_, work)| *work as f64).collect();
    let mut ends = vec![0.0; jobs.len()];
    let mut at = 0.0;
    while left.iter().any(|l| *l > 0.0) {
        let on: Vec<usize> = (0..jobs.len()).filter(|i| jobs[*i].0 as f64 <= at && left[*i] > 0.0).collect();
        for i in &on {
            left[*i] -= 0.1 * (cores / on.len() as f64).min(1.0);
            if left[*i] <= 1e-9 {
                (left[*i], ends[*i]) = (0.0, at + 0.1);
            }
        }
        at += 0.1;
    }
    ends
}

#[test]
fn cores_are_shared_as_the_plain_model_shares_them() {
    for seed in 0..20 {
        let mut draw = RandomStream::of(seed, "jobs");
        let jobs: Vec<(u64, u64)> =
            (0..12).map(|n| (n * draw.below(30) as u64, 5 + draw.below(100) as u64)).collect();
        let cores = Cores { count: 3.0, cold_speed: 1.0, warm_up: ms(1) };
        let (mut pool, mut ends) = (WorkerPoolStub::new(cores, ms(0), false, ms(0)), Ends::default());
        let mut order: Vec<usize> = (0..jobs.len()).collect();
        order.sort_by_key(|i| jobs[*i].0);
        let mut at = vec![0.0; jobs.len()];
        let mut now = ms(0);
        let mut note = |ends: &mut Ends, now: Duration| {
            for (attempt, _) in ends.0.drain(..) {
                let n = (0..jobs.len()).find(|i| self::attempt(*i as u32) == attempt).unwrap();
                at[n] = now.as_secs_f64() * 1e3;
            }
        };
        for i in order {
            while let Some(next) = pool.next_event(now).filter(|next| *next <= ms(jobs[i].0)) {
                now = next;
                pool.advance(now, &mut ends);
                note(&mut ends, now);
            }
            now = ms(jobs[i].0);
            let line = format!("spawn {} {} 0\r\n\r\n", attempt(i as u32), jobs[i].1);
            pool.receive(now, line.as_bytes(), &mut ends).unwrap();
            note(&mut ends, now);
        }
        while let Some(next) = pool.next_event(now) {
            now = next;
            pool.advance(now, &mut ends);
            note(&mut ends, now);
        }
        for (n, (found, plain)) in at.iter().zip(plainly(3.0, &jobs)).enumerate() {
            assert!((found - plain).abs() < 2.0, "seed {seed} run {n}: {found} against {plain}");
        }
    }
}

#[test]
fn a_new_link_to_the_pool_hears_what_the_old_one_missed() {
    let cores = Cores { count: 1.0, cold_speed: 1.0, warm_up: ms(1) };
    let (mut pool, mut ends) = (WorkerPoolStub::new(cores, ms(0), false, ms(0)), Ends::default());
    pool.receive(ms(0), b"bind 0\r\n", &mut ends).unwrap();
    for n in 0..2 {
        let line = format!("spawn {} 10 0\r\n\r\n", attempt(n));
        pool.receive(ms(0), line.as_bytes(), &mut ends).unwrap();
    }
    pool.unlink();
    pool.advance(ms(100), &mut ends);
    assert!(pool.output.is_empty());
    pool.receive(ms(100), b"bind 1\r\n", &mut ends).unwrap();
    let said = String::from_utf8(pool.output.clone()).unwrap();
    assert!(said.starts_with("bound warm 100.000\r\n"), "{said}");
    assert!(!said.contains("finished 1 ") && said.contains("finished 2 "), "{said}");
    assert!(pool.receive(ms(100), b"dance\r\n", &mut ends).is_err(), "what is no command ends the link");
}

#[test]
fn the_index_slows_with_its_crowd_and_turns_away_beyond_it() {
    let terms =
        IndexSettings { slots: 4.0, limit: 8.0, call_duration: ms(10), cold_slowdown: 1.0, warming: 1 };
    let mut index = IndexStub::new(terms);
    for n in 0..16 {
        assert_eq!(index.call_received(ms(0), ConnNo(n)), None);
    }
    assert_eq!(index.call_received(ms(0), ConnNo(16)), Some(IndexAnswer::Rejected));
    assert_eq!(index.take_ended_calls(ms(10)).len(), 4, "those within the slots take what they take alone");
    assert_eq!(index.take_ended_calls(ms(79)).len() + index.take_ended_calls(ms(81)).len(), 12);
    index.state = IndexState::Hung;
    index.call_received(ms(100), ConnNo(20));
    assert_eq!(index.next_end(), None);
    assert_eq!(index.drop_open_calls(ms(200)), [ConnNo(20)]);
    assert!((index.open_call_seconds(ms(200)) - 1.09).abs() < 0.02, "{}", index.open_call_seconds(ms(200)));
}

#[test]
fn a_list_entry_lapses_but_not_while_the_service_is_down() {
    let (mut list, n1) = (MembershipStub::new(10.0), ServerNo(0));
    assert_eq!(list.report_received(ms(0), ConnNo(1), n1, true), ReportAnswer::AcceptedAt(ms(100)));
    assert!(list.is_listed(n1, ms(2999)) && !list.is_listed(n1, ms(3001)));
    list.set_state(ms(1000), MembershipState::Down);
    assert_eq!(list.report_received(ms(1500), ConnNo(2), n1, true), ReportAnswer::None);
    list.set_state(ms(5000), MembershipState::Up);
    assert!(list.is_listed(n1, ms(6999)) && !list.is_listed(n1, ms(7001)));
    assert_eq!(list.listed_servers(ms(1)), [n1], "edge nodes see what stood there a while ago");
    let refused = (0..20)
        .filter(|n| list.report_received(ms(8000), ConnNo(10 + n), n1, true) == ReportAnswer::Rejected);
    assert_eq!(refused.count(), 14, "half a second of queue at ten a second, and the one that begins");
    list.forget_entries();
    assert!(!list.is_listed(n1, ms(8000)));
}

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
    checker.violations.iter().map(|b| b.rule).collect()
}

#[test]
fn the_checker_names_each_rule() {
    let n1 = ServerNo(0);
    let answer = |checker: &mut InvariantChecker, n: u32, at: u64, by: u32| {
        let result = run_result(attempt(by), CallOutcome::NotNeeded);
        checker.answer_received(ms(at), n1, reply_to(n), Answer::Completed(&result));
    };
    let mut good = checker();
    good.attempt_sent(attempt_at(1, 0, None));
    assert!(start_run(&mut good, 1, 5, "map-extract"));
    answer(&mut good, 1, 900, 1);
    good.finish(ms(5000));
    assert_eq!(violated_rules(&good), []);

    let mut lost = checker();
    lost.attempt_sent(attempt_at(1, 0, None));
    assert!(!lost.check_overdue(ms(1000), reply_to(1)), "there is slack left");
    assert!(lost.check_overdue(ms(1200), reply_to(1)));
    assert_eq!(violated_rules(&lost), [Rule::Lost]);

    let mut late = checker();
    late.attempt_sent(attempt_at(1, 0, None));
    start_run(&mut late, 1, 5, "map-extract");
    answer(&mut late, 1, 1150, 1);
    late.scheduling_delay_sampled(ms(1200), ms(0), vec![ms(0)]);
    assert_eq!(violated_rules(&late), [Rule::Late], "once it is known what was waited for a core");
    let mut last = checker();
    last.attempt_sent(attempt_at(1, 0, None));
    start_run(&mut last, 1, 5, "map-extract");
    answer(&mut last, 1, 1150, 1);
    last.finish(ms(5000));
    assert_eq!(violated_rules(&last), [Rule::Late], "at the latest when the run is over");

    let mut twice = checker();
    twice.attempt_sent(attempt_at(1, 0, Some(9)));
    twice.attempt_sent(attempt_at(2, 900, Some(9)));
    twice.attempt_sent(attempt_at(3, 2500, Some(9)));
    start_run(&mut twice, 1, 5, "licence-buy");
    start_run(&mut twice, 2, 905, "licence-buy");
    assert_eq!(violated_rules(&twice), [Rule::Twice]);
    start_run(&mut twice, 3, 2505, "licence-buy");
    assert_eq!(twice.violations.len(), 1, "its window is over by then");

    let mut mixed = checker();
    mixed.attempt_sent(attempt_at(1, 0, None));
    mixed.attempt_sent(attempt_at(2, 0, None));
    start_run(&mut mixed, 1, 5, "map-extract");
    start_run(&mut mixed, 2, 5, "licence-buy");
    answer(&mut mixed, 1, 100, 2);
    assert_eq!(
        violated_rules(&mixed),
        [Rule::Mixed, Rule::Mixed],
        "run as another product, settled by another's run"
    );

    let mut drain = checker();
    drain.shutdown_requested(ms(100), n1, Incarnation(1));
    drain.attempt_sent(attempt_at(1, 500, None));
    drain.attempt_sent(attempt_at(2, 700, None));
    start_run(&mut drain, 1, 710, "map-extract");
    start_run(&mut drain, 2, 710, "map-extract");
    assert_eq!(violated_rules(&drain), [Rule::Drain], "the first came within the grace");

    let mut fall = checker();
    fall.process_exited(
        ms(10),
        ProcessExit { server: n1, incarnation: Incarnation(1), code: Some(101), killed: false },
    );
    assert_eq!(violated_rules(&fall), [Rule::Fall]);
}

#[test]
fn what_the_rig_did_breaks_no_rule() {
    let mut checker = checker();
    checker.attempt_sent(attempt_at(1, 0, None));
    checker.attempt_sent(attempt_at(2, 900, None));
    checker.add_fault_span(ServerNo(0), ms(300), ms(600));
    checker.connection_lost(ms(400), reply_to(1), ConnectionEnd::ByServer);
    checker.connection_lost(ms(950), reply_to(2), ConnectionEnd::ByServer);
    assert_eq!(violated_rules(&checker), [Rule::Lost], "the second came after the trouble was over");
}

#[test]
fn time_waited_for_a_core_is_no_lateness() {
    let mut checker = checker();
    checker.scheduling_delay.sample(ms(0), ms(0), vec![ms(0)]);
    checker.scheduling_delay.sample(ms(1000), ms(50), vec![ms(300)]);
    checker.attempt_sent(attempt_at(1, 0, None));
    start_run(&mut checker, 1, 5, "map-extract");
    let result = run_result(attempt(1), CallOutcome::NotNeeded);
    checker.answer_received(ms(1300), ServerNo(0), reply_to(1), Answer::Completed(&result));
    assert_eq!(violated_rules(&checker), []);
    // Most of what was waited may only be seen after the answer.
    checker.attempt_sent(attempt_at(2, 1000, None));
    start_run(&mut checker, 2, 1005, "map-extract");
    let result = run_result(attempt(2), CallOutcome::NotNeeded);
    checker.answer_received(ms(2400), ServerNo(0), reply_to(2), Answer::Completed(&result));
    checker.scheduling_delay_sampled(ms(2450), ms(100), vec![ms(600)]);
    assert_eq!(violated_rules(&checker), []);
}

#[test]
fn all_that_is_wrong_in_a_scenario_is_said_at_its_place() {
    let text = "seconds 5\nfleet servers=4 zonse=2\nat 1 \"kil\" server=\"n1\"\nat 2 \"kill\" server=\"n9\"\n\
                at 2 \"cut\" way=\"sideways\"\nat 2 \"index\" state=\"slow\"\ncallers rate=-1\nflet servers=1\n";
    let wrong: Vec<String> =
        Scenario::parse(text).unwrap_err().0.iter().map(|error| error.to_string()).collect();
    let expect = [
        "2:17: zonse is not known; did you mean zones?",
        "3:6: kil is not known; did you mean kill?",
        "4:1: at: n9 is none of n1 to n4",
        "5:1: at: needs with=, one of pool, index, list, edges",
        "5:12: sideways is not known",
        "6:1: at: slow needs by=, how many times as long a call takes",
        "7:9: rate takes a number from 0.1 to 1000000, found -1",
        "8:1: flet is not known; did you mean fleet?",
    ];
    for line in expect {
        assert!(wrong.iter().any(|w| w.starts_with(line)), "{line} not in\n{}", wrong.join("\n"));
    }
}

#[test]
fn a_scenario_that_cannot_be_met_says_why() {
    let refused = |text: &str| Scenario::parse(text).unwrap_err().to_string();
    assert!(refused("seconds 2\nat 3 \"kill\"").contains("the run is over after 2 s"));
    assert!(refused("fleet servers=2 zones=3").contains("more zones than servers"));
    assert!(refused("callers edges=400 connections=4").contains("fewer, or more sockets"));
    assert!(refused("product \"map-extract\" share=0\nproduct \"licence-buy\" share=0").contains("nobody"));
    assert!(refused("at 1 \"index\" state=\"dead\" zone=\"a\"").contains("takes no server, share or zone"));
}

#[test]
fn the_same_seed_draws_the_same() {
    let drawn = |seed: u64| -> Vec<u64> {
        let mut draw = RandomStream::of(seed, "x");
        (0..4).map(|_| draw.next_u64()).collect()
    };
    assert_eq!(drawn(7), drawn(7));
    assert_ne!(drawn(7), drawn(8));
    // The generator is a named one: these words are the same on every machine.
    assert_eq!(RandomStream::of(1, "anchor").next_u64(), ANCHOR);
    let scenario = Scenario::parse("seed 3\nat 1 \"kill\" share=0.5").unwrap();
    assert_eq!(scenario.reached(0), scenario.reached(0));
    assert_eq!(scenario.reached(0).len(), 4);
}

const ANCHOR: u64 = 13366971278353767537;

/// A run that waits for a call of a txn that is over would stay for ever, and crowd its server.
#[test]
fn a_run_whose_txn_is_over_ends_at_its_call() {
    struct Calls(Vec<(AttemptId, RunEnd)>);
    impl WorkerPoolHost for Calls {
        fn plan_run(&mut self, _rid: AttemptId, _class: &str, _body: &[u8]) -> Option<RunPlan> {
            Some(RunPlan { work: ms(20), makes_call: true, fails: false })
        }
        fn call_body(&mut self, _rid: AttemptId) -> Vec<u8> {
            b"ask".to_vec()
        }
        fn call_result_delivered(&mut self, _rid: AttemptId, _reply: &[u8]) {}
        fn run_ended(&mut self, attempt: AttemptId, end: RunEnd) -> Vec<u8> {
            self.0.push((attempt, end));
            Vec::new()
        }
    }
    let cores = Cores { count: 2.0, cold_speed: 1.0, warm_up: ms(1) };
    let (mut pool, mut host) = (WorkerPoolStub::new(cores, ms(0), false, ms(0)), Calls(Vec::new()));
    for n in 1..3 {
        let line = format!("spawn {} p 0\r\n\r\n", attempt(n));
        pool.receive(ms(0), line.as_bytes(), &mut host).unwrap();
    }
    pool.request_over(ms(5), attempt(1), &mut host);
    assert_eq!(host.0, [], "it runs on until it comes to its call");
    pool.advance(ms(15), &mut host);
    assert_eq!(host.0, [(attempt(1), RunEnd::Halted)]);
    pool.request_over(ms(20), attempt(2), &mut host);
    assert_eq!(host.0.len(), 2, "one that waits ends at once");
}
