//! `aldercrank-lab check soak`: ten million txns of ever new tokens through the core and the module in virtual time.
//! What they hold must be as much after each tenth as after the first.

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
/// From one txn to the next, and how long each runs.
const GAP: Duration = Duration::from_millis(1);
const RUN: Duration = Duration::from_millis(2);
/// Connections come and go: so many txns on each.
const ON_A_CONNECTION: u64 = 1000;
/// What may be held more than after the first tenth.
const MORE: f64 = 1.05;
/// Kept results may take so much.
const ROOM: usize = 1 << 20;

#[derive(Default)]
struct World {
    now: Duration,
    reminders: Deadlines<TimerId>,
    runs: VecDeque<(Duration, AttemptId)>,
    polls: VecDeque<u64>,
    completed: u64,
    others: u64,
}

#[derive(Clone, Default)]
struct Hands(Rc<RefCell<World>>);

impl Ports for Hands {
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
        let mut w = self.0.borrow_mut();
        let ends = w.now + RUN;
        w.runs.push_back((ends, attempt));
    }
    fn stop_run(&mut self, _: AttemptId) {}
    fn deliver_call_result(&mut self, _: AttemptId, _: &[u8]) {}
    fn skip_call(&mut self, _: AttemptId, _: NoticeNumber) {}
    fn request_metrics(&mut self, tag: u64) {
        self.0.borrow_mut().polls.push_back(tag);
    }
    fn start_call(&mut self, _: RequestId, _: AttemptId, _: &[u8], _: Duration) {}
    fn cancel_call(&mut self, _: RequestId) {}
    fn health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Duration) {}
    fn advertise(&mut self, _: f64) {}
    fn set_timer(&mut self, what: TimerId, after: Duration) {
        let mut w = self.0.borrow_mut();
        let at = w.now + after;
        w.reminders.set(what, at);
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

/// What is held on the heap now, in bytes.
fn held() -> usize {
    let heap = HEAP.stats();
    heap.bytes_allocated.saturating_sub(heap.bytes_deallocated)
}

/// What is due, and ends of runs, up to the world's time.
fn pass(core: &mut Core<Hands>, world: &Hands, now: Duration) {
    world.0.borrow_mut().now = now;
    loop {
        let due = world.0.borrow_mut().reminders.due(now);
        let Some(reminder) = due else { break };
        core.reminded(now, reminder);
    }
    loop {
        let tag = world.0.borrow_mut().polls.pop_front();
        let Some(tag) = tag else { break };
        core.polled(now, tag, &[0.5, 2.0]);
    }
    loop {
        let ended = world.0.borrow_mut().runs.pop_front_if(|(ends, _)| *ends <= now);
        let Some((_, attempt)) = ended else { break };
        core.run_ended(
            now,
            attempt,
            Outcome::Completed,
            RUN,
            Payload::Passing(b"what the run made, thirty-two b."),
        );
    }
}

/// Reads one; gives how many answers are owed no more, since their callers have gone.
fn read(core: &mut Core<Hands>, now: Duration, n: u64) -> u64 {
    let attempt = AttemptId::new(&format!("{n:016x}")).expect("sixteen hex digits");
    let reply_to =
        ReplyTo { conn: ConnId((n / ON_A_CONNECTION) as u32), call: MessageId((n % ON_A_CONNECTION) as u32) };
    let class = if n.is_multiple_of(3) { "map-extract" } else { "licence-buy" };
    let token = format!("{n:032x}");
    let mark = (class == "licence-buy").then(|| DedupKey::token(class, &token, b"a body"));
    let arrival = IncomingRequest {
        class,
        deadline: Some(now + Duration::from_secs(3)),
        memory_kb: 10.0,
        rank: 0.9,
        ..IncomingRequest::default()
    };
    core.request_received(
        now,
        reply_to,
        ReceivedRequest { attempt, dedup_key: mark, arrival, unread: GAP, body: b"a body" },
    );
    let owed = core.owed();
    // One in a hundred has a caller that goes; a connection goes with all that is open on it.
    if n.is_multiple_of(100) {
        core.caller_gone(now, reply_to);
    }
    if n % ON_A_CONNECTION == ON_A_CONNECTION - 1 {
        core.conn_lost(now, reply_to.conn);
    }
    (owed - core.owed()) as u64
}

pub fn check() -> std::io::Result<bool> {
    let world = Hands::default();
    let before = held();
    let mut core = Core::start(settings(), Duration::ZERO, ROOM, world.clone());
    core.pool_bound(Duration::ZERO);
    let (mut now, mut first, mut most, mut gone) = (Duration::ZERO, 0, 0, 0);
    for tenth in 1..=10 {
        for n in 0..REQUESTS / 10 {
            now += GAP;
            pass(&mut core, &world, now);
            gone += read(&mut core, now, (tenth - 1) * (REQUESTS / 10) + n + 1);
        }
        let bytes = held().saturating_sub(before);
        let TableSizes { requests: slots, dedup_entries } = core.in_tables();
        println!(
            "{:>10} txns: {bytes} bytes held, {slots} slots, {dedup_entries} marks, {} in hand",
            tenth * (REQUESTS / 10),
            core.in_hand()
        );
        if tenth == 1 {
            first = bytes;
        }
        most = most.max(bytes);
    }
    let (completed, others) = (world.0.borrow().completed, world.0.borrow().others);
    let flat = most as f64 <= first as f64 * MORE;
    // Each whose caller stayed has had one answer, but for those that are still owed theirs.
    let all = completed + others + gone + core.owed() as u64 == REQUESTS;
    println!(
        "check soak: {most} bytes at most, {first} after the first tenth; {completed} settled, {others} not, \
         {gone} callers gone, {} still owed",
        core.owed()
    );
    Ok(flat && all && others < REQUESTS / 100)
}
