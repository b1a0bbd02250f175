//! Requests whose callers have gone leave no entries in the tables.

use super::scenario::{settings, MS};
use aldercrank::{IncomingRequest, Outcome, RequestId};
use aldercrank_server::core::{
    ConnId, Core, MessageId, Ports, ReceivedRequest, ReplyTo, TableSizes, TimerId,
};
use aldercrank_server::payload::Payload;
use aldercrank_server::worker_pool::{AttemptId, NoticeNumber};
use std::rc::Rc;
use std::time::Duration;

/// Ports whose actions have no effect.
struct NoPorts;

impl Ports for NoPorts {
    fn complete(&mut self, _: ReplyTo, _: Payload) {}
    fn reject(&mut self, _: ReplyTo, _: Option<Duration>, _: bool) {}
    fn fail(&mut self, _: ReplyTo) {}
    fn start_run(&mut self, _: AttemptId, _: &str, _: &Rc<[u8]>) {}
    fn stop_run(&mut self, _: AttemptId) {}
    fn deliver_call_result(&mut self, _: AttemptId, _: &[u8]) {}
    fn skip_call(&mut self, _: AttemptId, _: NoticeNumber) {}
    fn request_metrics(&mut self, _: u64) {}
    fn start_call(&mut self, _: RequestId, _: AttemptId, _: &[u8], _: Duration) {}
    fn cancel_call(&mut self, _: RequestId) {}
    fn set_health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Duration) {}
    fn set_load_hint(&mut self, _: f64) {}
    fn set_timer(&mut self, _: TimerId, _: Duration) {}
    fn cancel_timer(&mut self, _: TimerId) {}
}

fn receive(core: &mut Core<NoPorts>, now: Duration, attempt: AttemptId, reply_to: ReplyTo) {
    let arrival = IncomingRequest {
        class: "p0",
        deadline: Some(now + MS * 2500),
        memory_kb: 10.0,
        rank: 0.9,
        ..IncomingRequest::default()
    };
    let received = ReceivedRequest { attempt, dedup_key: None, arrival, max_unread_time: MS, body: b"x" };
    core.request_received(now, reply_to, received);
}

#[test]
fn a_hundred_thousand_requests_abandoned_at_every_stage_leave_the_tables_empty() {
    let mut core = Core::new(&settings(), Duration::ZERO, 4000, NoPorts);
    core.pool_bound(Duration::ZERO);
    core.metrics_received(Duration::ZERO, 1, &[0.5, 0.0]);
    let mut now = Duration::ZERO;
    for n in 1..=100_000u32 {
        now += MS;
        let attempt = AttemptId::new(&format!("{n:016x}")).unwrap();
        let reply_to = ReplyTo { conn: ConnId(n), call: MessageId(1) };
        receive(&mut core, now, attempt, reply_to);
        // The caller goes during the run; the connection is lost during an upstream call, or during the run without
        // one; or the run ends first.
        match n % 4 {
            0 => core.caller_gone(now, reply_to),
            1 => {
                core.call_needed(now, attempt, NoticeNumber(u64::from(n)), b"ask");
                core.connection_lost(now, reply_to.conn);
            }
            2 => core.connection_lost(now, reply_to.conn),
            _ => {}
        }
        core.run_ended(now, attempt, Outcome::Completed, MS, Payload::Transient(b"r"));
        core.caller_gone(now, reply_to);
        assert_eq!(
            (core.requests_in_flight(), core.responses_owed(), core.table_sizes()),
            (0, 0, TableSizes::default()),
            "after {n}"
        );
    }
    // The same while requests are queued: more than may run at once, all on one connection.
    for n in 0..500u32 {
        let attempt = AttemptId::new(&format!("{:016x}", 200_000 + n)).unwrap();
        let reply_to = ReplyTo { conn: ConnId(7), call: MessageId(n) };
        receive(&mut core, now, attempt, reply_to);
    }
    assert!(core.requests_in_flight() > 8);
    core.connection_lost(now, ConnId(7));
    // The pool ends the runs; no request is queued, and no response is owed.
    for n in 0..500u32 {
        let attempt = AttemptId::new(&format!("{:016x}", 200_000 + n)).unwrap();
        core.run_ended(now, attempt, Outcome::Cancelled, MS, Payload::Transient(b""));
    }
    assert_eq!(
        (core.requests_in_flight(), core.responses_owed(), core.table_sizes()),
        (0, 0, TableSizes::default())
    );
}
