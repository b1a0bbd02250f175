//! `aldercrank-testbench check soak`: passes ten million requests, each with a new idempotency key where it has one,
//! through the core and the admission module in virtual time. Their memory must not grow after the first tenth of the
//! requests.

use crate::HEAP;
use aldercrank::{IncomingRequest, Outcome, RequestId, Settings};
use aldercrank_server::core::{
    ConnId, Core, MessageId, Ports, ReceivedRequest, ReplyTo, TableSizes, TimerId,
};
use aldercrank_server::deadlines::Deadlines;
use aldercrank_server::dedup::DedupKey;
use aldercrank_server::payload::Payload;
use aldercrank_server::worker_pool::{AttemptId, NoticeNumber};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const REQUESTS: u64 = 10_000_000;
/// Virtual time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);
/// Virtual run time of each request.
const RUN_TIME: Duration = Duration::from_millis(2);
/// Requests on each connection before it is closed.
const REQUESTS_PER_CONNECTION: u64 = 1000;
/// Upper bound on the memory after each tenth, relative to the memory after the first.
const MAX_GROWTH: f64 = 1.05;
/// Size of the cache for responses, in bytes.
const CACHE_BYTES: usize = 1 << 20;

/// The state behind `RecordingPorts`: virtual time, timers, runs and the number of responses.
#[derive(Default)]
struct VirtualServer {
    now: Duration,
    timers: Deadlines<TimerId>,
    runs: VecDeque<(Duration, AttemptId)>,
    polls: VecDeque<u64>,
    completed: u64,
    /// Rejected or failed.
    others: u64,
}

/// Ports of the core that record its output in a `VirtualServer`.
#[derive(Clone, Default)]
struct RecordingPorts(Rc<RefCell<VirtualServer>>);

impl Ports for RecordingPorts {
    fn complete(&mut self, _: ReplyTo, _: Payload) {
        self.0.borrow_mut().completed += 1;
    }
    fn reject(&mut self, _: ReplyTo, _: Option<Duration>, _: bool) {
        self.0.borrow_mut().others += 1;
    }
    fn fail(&mut self, _: ReplyTo) {
        self.0.borrow_mut().others += 1;
    }
    fn start_run(&mut self, attempt: AttemptId, _: &str, _: &Rc<[u8]>) {
        let mut server = self.0.borrow_mut();
        let ends = server.now + RUN_TIME;
        server.runs.push_back((ends, attempt));
    }
    fn stop_run(&mut self, _: AttemptId) {}
    fn deliver_call_result(&mut self, _: AttemptId, _: &[u8]) {}
    fn skip_call(&mut self, _: AttemptId, _: NoticeNumber) {}
    fn request_metrics(&mut self, tag: u64) {
        self.0.borrow_mut().polls.push_back(tag);
    }
    fn start_call(&mut self, _: RequestId, _: AttemptId, _: &[u8], _: Duration) {}
    fn cancel_call(&mut self, _: RequestId) {}
    fn set_health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Duration) {}
    fn set_load_hint(&mut self, _: f64) {}
    fn set_timer(&mut self, what: TimerId, after: Duration) {
        let mut server = self.0.borrow_mut();
        let at = server.now + after;
        server.timers.set(what, at);
    }
    fn cancel_timer(&mut self, what: TimerId) {
        self.0.borrow_mut().timers.remove(what);
    }
}

fn settings() -> Settings {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "goal_time": 1_000_000, "give_up": 3_000_000, "points": 1.0,
            "window": 6_000_000})
    };
    aldercrank_json_settings::settings(&serde_json::json!({
        "family_info": {"cores": 8, "memory_kb": 500_000.0, "run_factor": 4.0, "advert": "share_of", "halt": "abort",
            "calls_out": 4.0, "key_kb": 1.0, "class_calls": [false, false], "meters": ["cpu_busy", "runnable"]},
        "rules": {"answer_slack": 60_000, "fall_multiple": 5.0, "stop_sending_within": 1_000_000},
        "limits": {"retry_after": true, "max_retry_after": 1_000_000},
        "profiles": [class("map-extract", "retryable"), class("licence-buy", "dedup")]}))
}

/// Bytes currently allocated on the heap.
fn heap_bytes() -> usize {
    let heap = HEAP.stats();
    heap.bytes_allocated.saturating_sub(heap.bytes_deallocated)
}

/// Advances virtual time to `now`: fires the timers that are due, answers requests for load metrics and ends runs.
fn advance(core: &mut Core<RecordingPorts>, server: &RecordingPorts, now: Duration) {
    server.0.borrow_mut().now = now;
    loop {
        let due = server.0.borrow_mut().timers.pop_due(now);
        let Some(timer) = due else { break };
        core.timer_fired(now, timer);
    }
    loop {
        let tag = server.0.borrow_mut().polls.pop_front();
        let Some(tag) = tag else { break };
        core.metrics_received(now, tag, &[0.5, 2.0]);
    }
    loop {
        let ended = server.0.borrow_mut().runs.pop_front_if(|(ends, _)| *ends <= now);
        let Some((_, attempt)) = ended else { break };
        core.run_ended(
            now,
            attempt,
            Outcome::Completed,
            RUN_TIME,
            Payload::Transient(b"what the run made, thirty-two b."),
        );
    }
}

/// Sends request `n`. Returns the number of responses that are no longer owed because their callers are gone.
fn send(core: &mut Core<RecordingPorts>, now: Duration, n: u64) -> u64 {
    let attempt = AttemptId::new(&format!("{n:016x}")).expect("sixteen hex digits");
    let reply_to = ReplyTo {
        conn: ConnId((n / REQUESTS_PER_CONNECTION) as u32),
        call: MessageId((n % REQUESTS_PER_CONNECTION) as u32),
    };
    let class = if n.is_multiple_of(3) { "map-extract" } else { "licence-buy" };
    let token = format!("{n:032x}");
    let dedup_key = (class == "licence-buy").then(|| DedupKey::token(class, &token, b"a body"));
    let incoming = IncomingRequest {
        class,
        deadline: Some(now + Duration::from_secs(3)),
        memory_kb: 10.0,
        rank: 0.9,
        ..IncomingRequest::default()
    };
    core.request_received(
        now,
        reply_to,
        ReceivedRequest {
            attempt,
            dedup_key,
            arrival: incoming,
            max_unread_time: REQUEST_INTERVAL,
            body: b"a body",
        },
    );
    let owed = core.responses_owed();
    // The caller of one request in a hundred goes away, and a closed connection takes the callers of all its open
    // requests with it.
    if n.is_multiple_of(100) {
        core.caller_gone(now, reply_to);
    }
    if n % REQUESTS_PER_CONNECTION == REQUESTS_PER_CONNECTION - 1 {
        core.connection_lost(now, reply_to.conn);
    }
    (owed - core.responses_owed()) as u64
}

/// Runs the check. Returns whether memory stayed flat, each request was answered once and fewer than one in a hundred
/// were not completed.
pub(crate) fn check() -> std::io::Result<bool> {
    let server = RecordingPorts::default();
    let before = heap_bytes();
    let mut core = Core::new(&settings(), Duration::ZERO, CACHE_BYTES, server.clone());
    core.pool_bound(Duration::ZERO);
    let (mut now, mut first_bytes, mut max_bytes, mut gone) = (Duration::ZERO, 0, 0, 0);
    for tenth in 1..=10 {
        for n in 0..REQUESTS / 10 {
            now += REQUEST_INTERVAL;
            advance(&mut core, &server, now);
            gone += send(&mut core, now, (tenth - 1) * (REQUESTS / 10) + n + 1);
        }
        let bytes = heap_bytes().saturating_sub(before);
        let TableSizes { requests: slots, dedup_entries, recent_attempts } = core.table_sizes();
        println!(
            "{:>10} requests: {bytes} bytes on the heap, {slots} slots, {dedup_entries} dedup entries, \
             {recent_attempts} recent attempts, {} in flight",
            tenth * (REQUESTS / 10),
            core.requests_in_flight()
        );
        if tenth == 1 {
            first_bytes = bytes;
        }
        max_bytes = max_bytes.max(bytes);
    }
    let (completed, others) = (server.0.borrow().completed, server.0.borrow().others);
    let flat = max_bytes as f64 <= first_bytes as f64 * MAX_GROWTH;
    // Each request whose caller stayed was answered once or is still owed its answer.
    let each_answered_once = completed + others + gone + core.responses_owed() as u64 == REQUESTS;
    println!(
        "check soak: at most {max_bytes} bytes on the heap, {first_bytes} after the first tenth; \
         {completed} completed, {others} not, {gone} callers gone, {} still owed",
        core.responses_owed()
    );
    Ok(flat && each_answered_once && others < REQUESTS / 100)
}
