//! Handling of requests from their receipt to their response.

use super::scenario::{settings, Scenario, MS};
use super::world::{FakePorts, RequestRecord};
use aldercrank::{IncomingRequest, Outcome, RequestId, Value};
use aldercrank_server::core::{ConnId, Core, MessageId, ReceivedRequest, ReplyTo, TimerId};
use aldercrank_server::payload::Payload;
use aldercrank_server::worker_pool::{AttemptId, NoticeNumber};
use std::time::Duration;

#[test]
fn a_request_is_answered_with_its_result_and_a_repeat_joins_it() {
    let mut scenario = Scenario::new();
    let (first, second) =
        (scenario.receive(Some(1), MS * 2000, MS), scenario.receive(Some(2), MS * 2000, MS));
    scenario.exchange();
    let repeat = scenario.receive(Some(1), MS * 2000, MS);
    let attempt = scenario.attempt(first);
    scenario.world_mut().end_run(attempt, Outcome::Completed);
    scenario.exchange();
    assert_eq!([first, second, repeat].map(|reply_to| scenario.responses(reply_to)), [1, 0, 1]);
    // Much later it is answered with the cached result; after the window it runs again.
    scenario.advance(MS * 5000);
    let late = scenario.receive(Some(1), MS * 2000, MS * 20);
    assert_eq!((scenario.responses(late), scenario.starts_of(1)), (1, 1));
    scenario.advance(MS * 2000);
    scenario.receive(Some(1), MS * 2000, MS);
    scenario.exchange();
    assert_eq!(scenario.starts_of(1), 2);
}

/// A repeat that was sent within the window may be read long after it, when a partition has delayed it.
#[test]
fn a_keyed_repeat_that_was_delayed_beyond_its_window_neither_runs_nor_is_rejected() {
    let (window, deadline) = (MS * 1000, MS * 9000);
    let mut settings = settings();
    settings.set("profiles.1.give_up", Value::Number(deadline.as_micros() as f64));
    settings.set("profiles.0.window", Value::Number(window.as_micros() as f64));
    // Up to its caller's deadline, and then after it; delayed on the way, or unread in this server.
    for age in [500, 1500, 5700, 8900, 9000, 9500, 20_000].map(|age| MS * age) {
        for max_unread_time in [MS * 2, age] {
            let mut scenario = Scenario::with_window(&settings, window);
            let first = scenario.receive(Some(1), deadline, MS);
            scenario.exchange();
            let attempt = scenario.attempt(first);
            scenario.world_mut().end_run(attempt, Outcome::Completed);
            scenario.exchange();
            scenario.advance(age + window / 2);
            let time_left = deadline.saturating_sub(age);
            // If others with the same age are read before it, it does not look late, and would be admitted.
            (2..5).for_each(|token| {
                scenario.receive_delayed(Some(token), time_left, age, max_unread_time);
            });
            let repeat = scenario.receive_delayed(Some(1), time_left, age, max_unread_time);
            scenario.exchange();
            scenario.advance(MS * 100);
            assert_eq!((scenario.responses(repeat), scenario.starts_of(1)), (1, 1), "{age:?}");
            assert_eq!(scenario.world().violations, Vec::<String>::new(), "{age:?} {max_unread_time:?}");
        }
    }
}

#[test]
fn an_invalid_request_fails_and_nothing_runs() {
    let mut scenario = Scenario::new();
    let valid = scenario.receive(Some(3), MS * 2000, MS);
    scenario.exchange();
    let attempt = scenario.attempt(valid);
    for (call, class, attempt, dedup_key) in [
        (900, "p9", AttemptId::new("00000000000000ff").unwrap(), None),
        (901, "p1", AttemptId::new("00000000000000fe").unwrap(), None),
        (902, "p0", attempt, None),
    ] {
        let reply_to = ReplyTo { conn: ConnId(9), call: MessageId(call) };
        let record = scenario.world().requests[&valid].clone();
        let invalid = RequestRecord {
            attempt: AttemptId::new(&format!("{call:016}")).unwrap(),
            responses: 0,
            ..record
        };
        scenario.world_mut().requests.insert(reply_to, invalid);
        let arrival = IncomingRequest { class, deadline: Some(MS * 2000), ..IncomingRequest::default() };
        scenario.core.request_received(
            scenario.now(),
            reply_to,
            ReceivedRequest { attempt, dedup_key, arrival, max_unread_time: Duration::MAX, body: &[] },
        );
        scenario.exchange();
        assert_eq!((scenario.responses(reply_to), scenario.world().runs.len()), (1, 1), "{class}");
    }
    // A run that the pool does not know has ended, and its slot is free.
    let unknown = scenario.receive(None, MS * 2000, MS);
    let attempt = scenario.attempt(unknown);
    scenario.core.run_unknown(scenario.now(), attempt);
    assert_eq!((scenario.responses(unknown), scenario.core.requests_in_flight()), (1, 1));
    // Notices with unknown ids change nothing.
    let unknown_attempt = AttemptId::new("ffffffffffffffff").unwrap();
    scenario.core.run_ended(
        scenario.now(),
        unknown_attempt,
        Outcome::Completed,
        MS,
        Payload::Transient(b"x"),
    );
    scenario.core.call_needed(scenario.now(), unknown_attempt, NoticeNumber(99), b"x");
    scenario.core.call_ended(scenario.now(), RequestId(4_000_000_000), Outcome::Completed, b"x");
    assert_eq!((scenario.responses(valid), scenario.core.responses_owed()), (0, 1));
}

#[test]
fn a_lost_connection_cancels_its_requests_and_a_drain_leaves_no_response_owed() {
    let mut scenario = Scenario::new();
    let replies_owed: Vec<ReplyTo> = (0..9).map(|_| scenario.receive(None, MS * 3000, MS)).collect();
    let now = scenario.now();
    scenario
        .world_mut()
        .requests
        .iter_mut()
        .filter(|(reply_to, _)| reply_to.conn == ConnId(1))
        .for_each(|(_, record)| record.caller_gone = true);
    scenario.core.connection_lost(now, ConnId(1));
    let open = replies_owed.iter().filter(|to| to.conn != ConnId(1) && scenario.responses(**to) == 0).count();
    assert_eq!(scenario.core.responses_owed(), open);
    scenario.core.drain(now, now + MS * 1500);
    scenario.advance(MS * 1100);
    let late = scenario.receive(None, MS * 3000, MS);
    assert_eq!(scenario.responses(late), 1, "arrived too late in the shutdown");
    scenario.advance(MS * 400);
    assert_eq!((scenario.core.responses_owed(), scenario.world().violations.len()), (0, 0));
    // With a cold worker pool the load hint is set at the first tick.
    let mut cold_settings = settings();
    cold_settings.set("family_info.cold", Value::Flag(true));
    let ports = FakePorts::default();
    Core::new(&cold_settings, Duration::ZERO, 0, ports.clone()).timer_fired(MS * 30, TimerId::Tick);
    assert!(ports.0.borrow().load_hint.is_some());
}

#[test]
fn a_caller_with_a_wrong_clock_does_not_make_a_server_unhealthy() {
    let mut scenario = Scenario::new();
    scenario.advance(MS * 500);
    // By its caller's clock it was sent in 1970. It is rejected as expired, and is no evidence of slow reading.
    let reply_to = ReplyTo { conn: ConnId(8), call: MessageId(1) };
    let attempt = AttemptId::new("00000000000000aa").unwrap();
    let (arrived, deadline) = (Duration::ZERO, scenario.now());
    let record = RequestRecord {
        attempt,
        token: None,
        arrived,
        deadline,
        body: vec![],
        responses: 0,
        caller_gone: false,
    };
    scenario.world_mut().requests.insert(reply_to, record);
    let unread_time = Duration::from_secs(1_700_000_000);
    let arrival = IncomingRequest {
        class: "p0",
        deadline: Some(scenario.now()),
        unread_time,
        ..IncomingRequest::default()
    };
    scenario.core.request_received(
        scenario.now(),
        reply_to,
        ReceivedRequest { attempt, dedup_key: None, arrival, max_unread_time: Duration::MAX, body: &[] },
    );
    assert_eq!(scenario.responses(reply_to), 1);
    for _ in 0..10 {
        scenario.advance(MS * 50);
        scenario.exchange();
    }
    assert!(scenario.world().healthy);
}

#[test]
fn requests_with_a_wrong_age_do_not_make_a_server_that_reads_promptly_unhealthy() {
    // Each carries the time of its first attempt, so it seems to have waited unread for two seconds. Only where the
    // server itself may have left it unread that long is the server unhealthy.
    for (unread, healthy) in [(MS, true), (MS * 2000, false)] {
        let mut scenario = Scenario::new();
        scenario.advance(MS * 2500);
        for call in 0..60 {
            let attempt = AttemptId::new(&format!("{:016x}", 7000 + call)).unwrap();
            let (reply_to, now) = (ReplyTo { conn: ConnId(7), call: MessageId(call) }, scenario.now());
            let (unread_time, deadline) = (MS * 2000, now + MS * 200);
            let record = RequestRecord {
                attempt,
                token: None,
                arrived: now - unread_time,
                deadline,
                body: vec![],
                responses: 0,
                caller_gone: false,
            };
            scenario.world_mut().requests.insert(reply_to, record);
            let arrival = IncomingRequest {
                class: "p0",
                deadline: Some(deadline),
                unread_time,
                ..IncomingRequest::default()
            };
            scenario.core.request_received(
                now,
                reply_to,
                ReceivedRequest { attempt, dedup_key: None, arrival, max_unread_time: unread, body: &[] },
            );
            scenario.exchange();
        }
        scenario.advance(MS * 100);
        assert_eq!(scenario.world().healthy, healthy);
    }
}
