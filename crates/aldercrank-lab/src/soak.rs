//! `aldercrank-lab check soak`: ten million txns of ever new tokens through the core and the module in virtual time.
//! What they hold must be as much after each tenth as after the first.

use crate::HEAP;
use aldercrank::{Arrival, Outcome, Settings, TxnId};
use aldercrank_server::core::{Ask, CallNo, ConnId, Core, Ports, Reminder, ReplyTo};
use aldercrank_server::deadlines::Deadlines;
use aldercrank_server::dedup::DedupKey;
use aldercrank_server::payload::Payload;
use aldercrank_server::pool::{Notice, Rid};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const TXNS: u64 = 10_000_000;
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
    reminders: Deadlines<Reminder>,
    runs: VecDeque<(Duration, Rid)>,
    polls: VecDeque<u64>,
    settled: u64,
    others: u64,
}

#[derive(Clone, Default)]
struct Hands(Rc<RefCell<World>>);

impl Ports for Hands {
    fn settle(&mut self, _: ReplyTo, _: Payload) {
        self.0.borrow_mut().settled += 1;
    }
    fn decline(&mut self, _: ReplyTo, _: Option<Duration>, _: bool) {
        self.0.borrow_mut().others += 1;
    }
    fn void(&mut self, _: ReplyTo) {
        self.0.borrow_mut().others += 1;
    }
    fn spawn(&mut self, rid: Rid, _: &str, _: &Rc<[u8]>) {
        let mut w = self.0.borrow_mut();
        let ends = w.now + RUN;
        w.runs.push_back((ends, rid));
    }
    fn suspend(&mut self, _: Rid) {}
    fn supply(&mut self, _: Rid, _: &[u8]) {}
    fn pass(&mut self, _: Rid, _: Notice) {}
    fn poll(&mut self, tag: u64) {
        self.0.borrow_mut().polls.push_back(tag);
    }
    fn call(&mut self, _: TxnId, _: Rid, _: &[u8], _: Duration) {}
    fn hang_up(&mut self, _: TxnId) {}
    fn health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Duration) {}
    fn advertise(&mut self, _: f64) {}
    fn remind(&mut self, what: Reminder, after: Duration) {
        let mut w = self.0.borrow_mut();
        let at = w.now + after;
        w.reminders.set(what, at);
    }
}

fn settings() -> Settings {
    let product = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "goal_time": 1_000_000, "give_up": 3_000_000, "points": 1.0,
            "window": 6_000_000})
    };
    aldercrank_json::settings(&serde_json::json!({
        "family_info": {"cores": 8, "memory_kb": 500_000.0, "run_factor": 4.0, "advert": "share_of", "halt": "abort",
            "calls_out": 4.0, "key_kb": 1.0, "class_calls": [false, false], "meters": ["cpu_busy", "runnable"]},
        "rules": {"answer_slack": 60_000, "fall_multiple": 5.0, "stop_sending_within": 1_000_000},
        "limits": {"retry_after": true, "max_retry_after": 1_000_000},
        "profiles": [product("map-extract", "retryable"), product("licence-buy", "dedup")]}))
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
        let Some((_, rid)) = ended else { break };
        core.run_ended(
            now,
            rid,
            Outcome::Completed,
            RUN,
            Payload::Passing(b"what the run made, thirty-two b."),
        );
    }
}

/// Reads one; gives how many answers are owed no more, since their callers have gone.
fn read(core: &mut Core<Hands>, now: Duration, n: u64) -> u64 {
    let rid = Rid::new(&format!("{n:016x}")).expect("sixteen hex digits");
    let seat =
        ReplyTo { conn: ConnId((n / ON_A_CONNECTION) as u32), call: CallNo((n % ON_A_CONNECTION) as u32) };
    let product = if n.is_multiple_of(3) { "map-extract" } else { "licence-buy" };
    let token = format!("{n:032x}");
    let mark = (product == "licence-buy").then(|| DedupKey::token(product, &token, b"a body"));
    let arrival = Arrival {
        product,
        expiry: Some(now + Duration::from_secs(3)),
        memory_kb: 10.0,
        rank: 0.9,
        ..Arrival::default()
    };
    core.txn_read(now, seat, Ask { rid, dedup_key: mark, arrival, unread: GAP, body: b"a body" });
    let owed = core.owed();
    // One in a hundred has a caller that goes; a connection goes with all that is open on it.
    if n.is_multiple_of(100) {
        core.caller_gone(now, seat);
    }
    if n % ON_A_CONNECTION == ON_A_CONNECTION - 1 {
        core.conn_lost(now, seat.conn);
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
        for n in 0..TXNS / 10 {
            now += GAP;
            pass(&mut core, &world, now);
            gone += read(&mut core, now, (tenth - 1) * (TXNS / 10) + n + 1);
        }
        let bytes = held().saturating_sub(before);
        let (slots, marks) = core.in_tables();
        println!(
            "{:>10} txns: {bytes} bytes held, {slots} slots, {marks} marks, {} in hand",
            tenth * (TXNS / 10),
            core.in_hand()
        );
        if tenth == 1 {
            first = bytes;
        }
        most = most.max(bytes);
    }
    let (settled, others) = (world.0.borrow().settled, world.0.borrow().others);
    let flat = most as f64 <= first as f64 * MORE;
    // Each whose caller stayed has had one answer, but for those that are still owed theirs.
    let all = settled + others + gone + core.owed() as u64 == TXNS;
    println!(
        "check soak: {most} bytes at most, {first} after the first tenth; {settled} settled, {others} not, \
         {gone} callers gone, {} still owed",
        core.owed()
    );
    Ok(flat && all && others < TXNS / 100)
}
