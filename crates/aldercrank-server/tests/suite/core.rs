//! The core between fakes: the four rules on generated inputs beside a plain model, and single cases.

use aldercrank::{CallerId, IncomingRequest, Outcome, RequestId, Settings, Value};
use aldercrank_server::core::{
    ConnId, Core, MessageId, Ports, ReceivedRequest, ReplyTo, TableSizes, TimerId,
};
use aldercrank_server::deadlines::Deadlines;
use aldercrank_server::dedup::DedupKey;
use aldercrank_server::payload::Payload;
use aldercrank_server::worker_pool::{AttemptId, NoticeNumber as Number};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const WINDOW: Duration = Duration::from_millis(6000);

#[derive(Clone, Debug, PartialEq)]
enum Said {
    Spawn(AttemptId, String, Vec<u8>),
    Suspend(AttemptId),
    Supply(AttemptId, Vec<u8>),
    Pass(AttemptId, u64),
    Poll(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Run {
    Going,
    AtCall(u64),
    Done,
}

#[derive(Clone, Debug)]
enum NoticeNumber {
    Ended(AttemptId, Outcome, Vec<u8>),
    Blocked(AttemptId, Vec<u8>),
}

#[derive(Clone, Debug)]
struct Seen {
    attempt: AttemptId,
    token: Option<u8>,
    arrived: Duration,
    deadline: Duration,
    body: Vec<u8>,
    answers: u32,
    gone: bool,
}

/// The worker pool, the edge and the index, as plainly as they can be told.
#[derive(Default)]
struct World {
    now: Duration,
    reminders: Deadlines<TimerId>,
    seen: BTreeMap<ReplyTo, Seen>,
    runs: BTreeMap<AttemptId, Run>,
    began: Vec<(u8, Duration)>,
    /// Said but not read by the pool; and heard by us up to this notice.
    flight: VecDeque<Said>,
    up: bool,
    notices: Vec<NoticeNumber>,
    heard: usize,
    polled: VecDeque<(usize, u64)>,
    calls: BTreeMap<RequestId, AttemptId>,
    broken: Vec<String>,
    advertised: Option<f64>,
    good: bool,
}

impl World {
    fn over(&self, attempt: AttemptId) -> bool {
        self.seen.values().any(|s| s.attempt == attempt && (s.answers > 0 || s.gone))
    }

    fn end(&mut self, attempt: AttemptId, how: Outcome) {
        self.runs.insert(attempt, Run::Done);
        let result = if how == Outcome::Completed { result(attempt) } else { Vec::new() };
        self.notices.push(NoticeNumber::Ended(attempt, how, result));
    }

    fn deliver(&mut self, said: Said) {
        match said {
            Said::Spawn(attempt, class, body) => {
                let seen = self.seen.values().find(|s| s.attempt == attempt).cloned().unwrap();
                if seen.body != body || (seen.token.is_some() != (class == "p1")) {
                    self.broken.push(format!("{attempt} came changed"));
                }
                match self.runs.get(&attempt) {
                    None | Some(Run::Done) if self.over(attempt) => {
                        self.notices.push(NoticeNumber::Ended(attempt, Outcome::NeverStarted, vec![]))
                    }
                    Some(Run::Done) if seen.token.is_some() => {
                        self.broken.push(format!("{attempt} ran twice"))
                    }
                    None | Some(Run::Done) => self.begin(attempt, &seen),
                    Some(_) => {}
                }
            }
            Said::Suspend(attempt) if self.runs.get(&attempt) == Some(&Run::Going) => {
                self.end(attempt, Outcome::Cancelled)
            }
            Said::Supply(attempt, reply) => {
                if let Some(Run::AtCall(n)) = self.runs.get(&attempt).copied() {
                    if reply != n.to_string().into_bytes() {
                        self.broken.push(format!("{attempt} had the reply to another call"));
                    }
                    self.runs.insert(attempt, Run::Going);
                }
            }
            Said::Pass(attempt, notice) => {
                if self.runs.get(&attempt) == Some(&Run::AtCall(notice)) {
                    self.runs.insert(attempt, Run::Going);
                }
            }
            Said::Poll(tag) => self.polled.push_back((self.notices.len(), tag)),
            Said::Suspend(_) => {}
        }
    }

    fn begin(&mut self, attempt: AttemptId, seen: &Seen) {
        if let Some(token) = seen.token {
            if self.began.iter().any(|(t, at)| *t == token && seen.arrived.saturating_sub(*at) <= WINDOW) {
                self.broken.push(format!("token {token} ran twice"));
            }
            self.began.push((token, seen.arrived));
        }
        self.runs.insert(attempt, Run::Going);
    }

    fn answer(&mut self, reply_to: ReplyTo, rejected: bool) {
        let Some(seen) = self.seen.get_mut(&reply_to) else { return };
        seen.answers += 1;
        let (twice, attempt) = (seen.answers > 1, seen.attempt);
        if twice {
            self.broken.push(format!("{attempt} answered twice"));
        }
        if rejected && self.runs.contains_key(&attempt) {
            self.broken.push(format!("{attempt} declined once run"));
        }
    }
}

fn result(attempt: AttemptId) -> Vec<u8> {
    format!("made for {attempt}").into_bytes()
}

#[derive(Clone, Default)]
struct Fake(Rc<RefCell<World>>);

impl Fake {
    fn say(&self, said: Said) {
        let mut w = self.0.borrow_mut();
        if w.up {
            w.flight.push_back(said);
        }
    }
}

impl Ports for Fake {
    fn complete(&mut self, reply_to: ReplyTo, bytes: Payload) {
        let bytes = bytes.bytes();
        let mut w = self.0.borrow_mut();
        w.answer(reply_to, false);
        let seen = w.seen[&reply_to].clone();
        let made = |s: &Seen| {
            result(s.attempt) == bytes
                && (s.attempt == seen.attempt || s.token == seen.token && s.token.is_some())
        };
        if !w.seen.values().any(made) {
            w.broken.push(format!("{} has a result that no run made for it", seen.attempt));
        }
    }
    fn reject(&mut self, reply_to: ReplyTo, _: Option<Duration>, _: bool) {
        self.0.borrow_mut().answer(reply_to, true);
    }
    fn fail(&mut self, reply_to: ReplyTo) {
        self.0.borrow_mut().answer(reply_to, false);
    }
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>) {
        self.say(Said::Spawn(attempt, class.to_string(), body.to_vec()));
    }
    fn stop_run(&mut self, attempt: AttemptId) {
        self.say(Said::Suspend(attempt));
    }
    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]) {
        self.say(Said::Supply(attempt, reply.to_vec()));
    }
    fn skip_call(&mut self, attempt: AttemptId, notice: Number) {
        self.say(Said::Pass(attempt, notice.0));
    }
    fn request_metrics(&mut self, tag: u64) {
        self.say(Said::Poll(tag));
    }
    fn start_call(&mut self, request: RequestId, attempt: AttemptId, _: &[u8], _: Duration) {
        self.0.borrow_mut().calls.insert(request, attempt);
    }
    fn cancel_call(&mut self, request: RequestId) {
        self.0.borrow_mut().calls.remove(&request);
    }
    fn health(&mut self, good: bool) {
        self.0.borrow_mut().good = good;
    }
    fn close_idle(&mut self, _: Duration) {}
    fn advertise(&mut self, value: f64) {
        self.0.borrow_mut().advertised = Some(value);
    }
    fn set_timer(&mut self, what: TimerId, after: Duration) {
        let mut w = self.0.borrow_mut();
        let at = w.now + after;
        w.reminders.set(what, at);
    }
}

fn settings() -> Settings {
    let json = serde_json::json!({
        "family_info": {"cores": 3, "memory_kb": 9000.0, "run_factor": 4.0, "advert": "share_of", "halt": "abort",
            "calls_out": 4.0, "worth_without": [0.6, 0.0], "key_kb": 10.0, "meters": ["cpu_busy", "runnable"]},
        "rules": {"answer_slack": 60000, "fall_multiple": 5.0, "stop_sending_within": 1000000},
        "limits": {"retry_after": true, "max_retry_after": 1000000},
        "profiles": [
            {"name": "p0", "effect": "retryable", "goal_time": 1000000, "give_up": 3000000, "points": 1.0},
            {"name": "p1", "effect": "dedup", "goal_time": 1000000, "give_up": 3000000, "points": 3.0,
                "window": WINDOW.as_micros() as u64}]});
    aldercrank_json_settings::settings(&json)
}

struct Play {
    core: Core<Fake>,
    world: Fake,
    next: u32,
}

impl Play {
    fn new() -> Play {
        let world = Fake::default();
        let core = Core::start(settings(), Duration::ZERO, 4000, world.clone());
        let mut play = Play { core, world, next: 0 };
        play.bind();
        play.flow();
        play
    }

    fn now(&self) -> Duration {
        self.world.0.borrow().now
    }

    fn read(&mut self, token: Option<u8>, left: Duration, unread_for: Duration) -> ReplyTo {
        self.next += 1;
        let (now, call) = (self.now(), self.next);
        let (arrived, deadline) = (now.saturating_sub(unread_for), now + left);
        let attempt = AttemptId::new(&format!("{call:016x}")).unwrap();
        let reply_to = ReplyTo { conn: ConnId(call % 3), call: MessageId(call) };
        let body = vec![call as u8; 3];
        let seen = Seen { attempt, token, arrived, deadline, body: body.clone(), answers: 0, gone: false };
        self.world.0.borrow_mut().seen.insert(reply_to, seen);
        let class = if token.is_some() { "p1" } else { "p0" };
        let arrival = IncomingRequest {
            class,
            deadline: Some(deadline),
            memory_kb: 10.0,
            rank: 0.9,
            unread_for: now - arrived,
            caller: CallerId(1),
            ..IncomingRequest::default()
        };
        let mark = token.map(|t| DedupKey::token("p1", &t.to_string(), b""));
        self.core.request_received(
            now,
            reply_to,
            ReceivedRequest { attempt, dedup_key: mark, arrival, unread: unread_for, body: &body },
        );
        reply_to
    }

    /// The pool reads what was said, and we read its notices.
    fn flow(&mut self) {
        for _ in 0..4 {
            while self.world.0.borrow().up {
                let said = self.world.0.borrow_mut().flight.pop_front();
                let Some(said) = said else { break };
                self.world.0.borrow_mut().deliver(said);
            }
            self.hear(usize::MAX);
        }
    }

    fn hear(&mut self, most: usize) {
        let now = self.now();
        for _ in 0..most.min(10_000) {
            let next = {
                let mut w = self.world.0.borrow_mut();
                if !w.up {
                    return;
                }
                if let Some((_, tag)) = w.polled.front().copied().filter(|(after, _)| *after <= w.heard) {
                    w.polled.pop_front();
                    Err(tag)
                } else if w.heard < w.notices.len() {
                    w.heard += 1;
                    Ok((w.heard as u64, w.notices[w.heard - 1].clone()))
                } else {
                    return;
                }
            };
            match next {
                Err(tag) => self.core.polled(now, tag, &[0.5, 1.0]),
                Ok((_, NoticeNumber::Ended(attempt, how, bytes))) => {
                    self.core.run_ended(now, attempt, how, MS * 100, Payload::Passing(&bytes))
                }
                Ok((n, NoticeNumber::Blocked(attempt, body))) => {
                    self.core.call_needed(now, attempt, Number(n), &body)
                }
            }
        }
    }

    /// The link breaks: of what was said, the pool has read the first `read`; what it answered last is lost.
    fn lose(&mut self, read: usize) {
        self.lose_unwritten(read, usize::MAX);
    }

    /// The same, and all but the first `written` of the rest had not begun to be written.
    fn lose_unwritten(&mut self, read: usize, written: usize) {
        for _ in 0..read {
            let said = self.world.0.borrow_mut().flight.pop_front();
            let Some(said) = said else { break };
            self.world.0.borrow_mut().deliver(said);
        }
        let unwritten: Vec<AttemptId> = {
            let mut w = self.world.0.borrow_mut();
            w.up = false;
            w.polled.clear();
            let rest = w.flight.drain(..).skip(written);
            rest.filter_map(|said| if let Said::Spawn(attempt, ..) = said { Some(attempt) } else { None })
                .collect()
        };
        self.core.pool_lost(self.now(), unwritten);
    }

    fn bind(&mut self) {
        if !std::mem::replace(&mut self.world.0.borrow_mut().up, true) {
            self.core.pool_bound(self.now());
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end {
            let next = self.world.0.borrow().reminders.next().unwrap_or(end).max(self.now() + MS).min(end);
            self.world.0.borrow_mut().now = next;
            loop {
                let what = self.world.0.borrow_mut().reminders.due(next);
                let Some(what) = what else { break };
                self.core.reminded(next, what);
            }
            let mut w = self.world.0.borrow_mut();
            let late = |s: &&Seen| s.answers == 0 && !s.gone && next > s.deadline + MS * 110;
            if let Some(attempt) = w.seen.values().find(late).map(|s| s.attempt) {
                w.broken.push(format!("{attempt} lost"));
            }
        }
    }

    fn running(&self, which: u8, at: impl Fn(&Run) -> bool) -> Option<AttemptId> {
        let w = self.world.0.borrow();
        let all: Vec<AttemptId> = w.runs.iter().filter(|(_, r)| at(r)).map(|(attempt, _)| *attempt).collect();
        all.get(usize::from(which) % all.len().max(1)).copied()
    }

    fn block(&mut self, attempt: AttemptId) {
        let mut w = self.world.0.borrow_mut();
        let n = w.notices.len() as u64 + 1;
        w.runs.insert(attempt, Run::AtCall(n));
        w.notices.push(NoticeNumber::Blocked(attempt, n.to_string().into_bytes()));
    }

    fn reply(&mut self, which: u8, how: Outcome) {
        let call = {
            let mut w = self.world.0.borrow_mut();
            let Some(request) = w.calls.keys().nth(usize::from(which) % w.calls.len().max(1)).copied() else {
                return;
            };
            let attempt = w.calls.remove(&request).unwrap();
            let Some(Run::AtCall(n)) = w.runs.get(&attempt).copied() else { return };
            (request, n.to_string().into_bytes())
        };
        self.core.call_ended(self.now(), call.0, how, &call.1);
    }

    fn gone(&mut self, reply_to: ReplyTo) {
        let open =
            self.world.0.borrow_mut().seen.get_mut(&reply_to).map(|s| std::mem::replace(&mut s.gone, true));
        if open == Some(false) {
            self.core.caller_gone(self.now(), reply_to);
        }
    }

    fn answers(&self, reply_to: ReplyTo) -> u32 {
        self.world.0.borrow().seen[&reply_to].answers
    }

    fn began(&self, token: u8) -> usize {
        self.world.0.borrow().began.iter().filter(|(t, _)| *t == token).count()
    }
}

type Step = (u8, u8, u16);

fn step(play: &mut Play, (what, which, much): Step) {
    use Outcome::*;
    match what % 18 {
        0..=4 => {
            let token = (which % 2 == 0).then_some(which / 2 % 6);
            play.read(token, MS * u32::from(much % 3500), MS * u32::from(much % 5) * 30);
        }
        5 | 6 => play.flow(),
        7 => play.hear(usize::from(which % 3)),
        8 | 9 => {
            if let Some(attempt) = play.running(which, |r| *r == Run::Going) {
                let how = if much % 7 == 0 { Failed } else { Completed };
                play.world.0.borrow_mut().end(attempt, how);
            }
        }
        10 => {
            if let Some(attempt) = play.running(which, |r| *r == Run::Going) {
                play.block(attempt);
            }
        }
        11 => {
            // The pool ends what waits at a call for nobody.
            if let Some(attempt) = play.running(which, |r| matches!(r, Run::AtCall(_))) {
                if play.world.0.borrow().over(attempt) {
                    play.world.0.borrow_mut().end(attempt, Cancelled);
                }
            }
        }
        12 => {
            play.reply(which, [Completed, Completed, Failed, Rejected, ConnectionLost][usize::from(much) % 5])
        }
        16 if which < 100 => {
            let now = play.now();
            let full = now + MS * u32::from(much % 700);
            play.core.leased(now, full, full + MS * u32::from(which) * 20);
        }
        16 if which < 160 => {
            // The window grows and shrinks; a mark keeps the longer one, which the plain model goes by.
            let mut settings = settings();
            let window = WINDOW.as_micros() as f64 * (1.0 + f64::from(much % 3));
            settings.set("profiles.1.window", aldercrank::Value::Num(window));
            let share = [None, Some(0.0), Some(3.0)][usize::from(which % 3)];
            play.core.in_force(play.now(), &settings, u64::from(much), share);
        }
        13 => play.lose_unwritten(usize::from(which % 4), usize::from(which / 4 % 5)),
        14 => play.bind(),
        15 => {
            let reply_to = play.world.0.borrow().seen.keys().nth(usize::from(which)).copied();
            reply_to.into_iter().for_each(|reply_to| play.gone(reply_to));
        }
        _ => play.pass(MS * u32::from(much % 500 + 1)),
    }
}

fn keeps_the_rules(steps: Vec<Step>) -> TestResult {
    let mut play = Play::new();
    for s in steps {
        step(&mut play, s);
    }
    play.bind();
    for _ in 0..60 {
        play.flow();
        while let Some(attempt) = play.running(0, |r| *r != Run::Done) {
            play.world.0.borrow_mut().end(attempt, Outcome::Completed);
        }
        play.pass(MS * 500);
    }
    let (owed, kept) = (play.core.owed(), play.core.in_hand());
    let mut w = play.world.0.borrow_mut();
    if owed + kept > 0 {
        w.broken.push(format!("{owed} owed and {kept} still in hand when all is over"));
    }
    w.broken.first().map_or(TestResult::passed(), TestResult::error)
}

#[test]
fn the_four_rules_hold_on_generated_inputs_with_links_lost() {
    let mut tests = QuickCheck::new().tests(1200).rng(Gen::from_size_and_seed(200, 20261201));
    tests.quickcheck(keeps_the_rules as fn(Vec<Step>) -> TestResult);
}

#[test]
fn a_txn_is_run_and_answered_with_its_result_and_a_repeat_joins_it() {
    let mut play = Play::new();
    let (first, second) = (play.read(Some(1), MS * 2000, MS), play.read(Some(2), MS * 2000, MS));
    play.flow();
    let repeat = play.read(Some(1), MS * 2000, MS);
    let attempt = play.world.0.borrow().seen[&first].attempt;
    play.world.0.borrow_mut().end(attempt, Outcome::Completed);
    play.flow();
    assert_eq!([first, second, repeat].map(|s| play.answers(s)), [1, 0, 1]);
    // Long after, from the result that was kept; past the window it runs anew.
    play.pass(MS * 5000);
    let late = play.read(Some(1), MS * 2000, MS * 20);
    assert_eq!((play.answers(late), play.began(1)), (1, 1));
    play.pass(MS * 2000);
    play.read(Some(1), MS * 2000, MS);
    play.flow();
    assert_eq!(play.began(1), 2);
}

#[test]
fn a_spawn_that_may_not_have_been_heard_runs_once_and_frees_its_place_after_its_answer() {
    for heard in [0, 9] {
        let mut play = Play::new();
        let (keyed, read) = (play.read(Some(1), MS * 1000, MS), play.read(None, MS * 1000, MS));
        play.lose(heard);
        play.bind();
        play.flow();
        // The read may be said again; the other is left alone until it has been voided.
        assert_eq!(play.world.0.borrow().runs.len(), if heard > 0 { 2 } else { 1 });
        play.pass(MS * 1200);
        assert_eq!((play.answers(keyed), play.answers(read)), (1, 1));
        play.pass(MS * 2000);
        play.flow();
        assert_eq!((play.began(1), play.core.in_hand()), (usize::from(heard > 0), usize::from(heard > 0)));
        assert!(play.world.0.borrow().broken.is_empty());
    }
}

#[test]
fn of_a_batch_cut_off_midway_what_had_not_begun_to_be_written_is_said_again() {
    let mut play = Play::new();
    let replies_owed = [1, 2, 3].map(|token| play.read(Some(token), MS * 1500, MS));
    // The first was read, the second lost on the way, the third never written.
    play.lose_unwritten(1, 1);
    play.bind();
    play.flow();
    assert_eq!([1, 2, 3].map(|token| play.began(token)), [1, 0, 1]);
    play.pass(MS * 2000);
    play.flow();
    assert_eq!(replies_owed.map(|reply_to| play.answers(reply_to)), [1, 1, 1]);
    assert!(play.world.0.borrow().broken.is_empty());

    // One whose caller has gone by then is not said at all.
    let before = play.core.in_hand();
    let gone = play.read(Some(4), MS * 1500, MS);
    play.core.caller_gone(play.now(), gone);
    play.world.0.borrow_mut().seen.get_mut(&gone).unwrap().gone = true;
    play.lose_unwritten(0, 0);
    play.bind();
    play.flow();
    assert_eq!((play.began(4), play.core.in_hand()), (0, before));
}

#[test]
fn what_was_never_said_is_said_once_the_link_is_back_unless_it_is_over() {
    let mut play = Play::new();
    play.lose(0);
    let (long, short) = (play.read(Some(1), MS * 3000, MS), play.read(Some(2), MS * 300, MS));
    play.pass(MS * 500);
    assert_eq!((play.answers(long), play.answers(short)), (0, 1));
    play.bind();
    play.flow();
    assert_eq!((play.began(1), play.began(2), play.core.in_hand()), (1, 0, 1));
}

#[test]
fn a_reply_waits_for_the_link_and_a_call_left_out_is_said_again() {
    for how in [Outcome::Completed, Outcome::TimedOut] {
        let mut play = Play::new();
        let read = play.read(None, MS * 2500, MS);
        play.flow();
        let attempt = play.world.0.borrow().seen[&read].attempt;
        play.block(attempt);
        play.flow();
        if how == Outcome::Completed {
            play.lose(0);
            play.reply(0, how);
        } else {
            // Left out when no time is left, but the link broke before the pool had read it.
            play.pass(MS * 600);
            play.reply(0, how);
            play.lose(0);
        }
        play.bind();
        play.flow();
        assert_eq!(play.running(0, |r| *r == Run::Going), Some(attempt), "{how:?}");
    }
}

#[test]
fn what_makes_no_sense_is_voided_and_nothing_is_run() {
    let mut play = Play::new();
    let good = play.read(Some(3), MS * 2000, MS);
    play.flow();
    let attempt = play.world.0.borrow().seen[&good].attempt;
    for (call, class, attempt, mark) in [
        (900, "p9", AttemptId::new("00000000000000ff").unwrap(), None),
        (901, "p1", AttemptId::new("00000000000000fe").unwrap(), None),
        (902, "p0", attempt, None),
    ] {
        let reply_to = ReplyTo { conn: ConnId(9), call: MessageId(call) };
        let seen = play.world.0.borrow().seen[&good].clone();
        let odd = Seen { attempt: AttemptId::new(&format!("{call:016}")).unwrap(), answers: 0, ..seen };
        play.world.0.borrow_mut().seen.insert(reply_to, odd);
        let arrival = IncomingRequest { class, deadline: Some(MS * 2000), ..IncomingRequest::default() };
        play.core.request_received(
            play.now(),
            reply_to,
            ReceivedRequest { attempt, dedup_key: mark, arrival, unread: Duration::MAX, body: &[] },
        );
        play.flow();
        assert_eq!((play.answers(reply_to), play.world.0.borrow().runs.len()), (1, 1), "{class}");
    }
    // A run that the pool does not know is over, and its place is free.
    let unknown = play.read(None, MS * 2000, MS);
    let attempt = play.world.0.borrow().seen[&unknown].attempt;
    play.core.run_unknown(play.now(), attempt);
    assert_eq!((play.answers(unknown), play.core.in_hand()), (1, 1));
    // Notices for ids that were never heard of change nothing.
    let stranger = AttemptId::new("ffffffffffffffff").unwrap();
    play.core.run_ended(play.now(), stranger, Outcome::Completed, MS, Payload::Passing(b"x"));
    play.core.call_needed(play.now(), stranger, Number(99), b"x");
    play.core.call_ended(play.now(), RequestId(4_000_000_000), Outcome::Completed, b"x");
    assert_eq!((play.answers(good), play.core.owed()), (0, 1));
}

#[test]
fn a_connection_that_is_lost_takes_its_callers_with_it_and_a_drain_leaves_nothing_owed() {
    let mut play = Play::new();
    let replies_owed: Vec<ReplyTo> = (0..9).map(|_| play.read(None, MS * 3000, MS)).collect();
    let now = play.now();
    play.world
        .0
        .borrow_mut()
        .seen
        .iter_mut()
        .filter(|(s, _)| s.conn == ConnId(1))
        .for_each(|(_, s)| s.gone = true);
    play.core.conn_lost(now, ConnId(1));
    let open = replies_owed.iter().filter(|s| s.conn != ConnId(1) && play.answers(**s) == 0).count();
    assert_eq!(play.core.owed(), open);
    play.core.drain(now, now + MS * 1500);
    play.pass(MS * 1100);
    let late = play.read(None, MS * 3000, MS);
    assert_eq!(play.answers(late), 1, "came after the grace");
    play.pass(MS * 400);
    assert_eq!((play.core.owed(), play.world.0.borrow().broken.len()), (0, 0));
    let mut cfg = settings();
    cfg.set("family_info.cold", Value::Flag(true));
    let cold = Fake::default();
    Core::start(cfg, Duration::ZERO, 0, cold.clone()).reminded(MS * 30, TimerId::Tick);
    assert!(cold.0.borrow().advertised.is_some());
}

#[test]
fn gauges_are_asked_for_before_each_tick_one_poll_at_a_time() {
    let mut play = Play::new();
    let polls =
        |play: &Play| play.world.0.borrow().flight.iter().filter(|s| matches!(s, Said::Poll(_))).count();
    play.pass(MS * 20);
    assert_eq!(polls(&play), 0);
    play.pass(MS * 8);
    assert_eq!(polls(&play), 1, "before the tick at 30 ms");
    play.pass(MS * 200);
    assert_eq!(polls(&play), 1, "none is asked for while one is out");
    play.flow();
    play.pass(MS * 30);
    assert_eq!(polls(&play), 1);
}

#[test]
fn a_pool_that_is_another_one_has_all_runs_voided_and_their_places_are_free() {
    let mut play = Play::new();
    let replies_owed = [play.read(Some(1), MS * 2000, MS), play.read(None, MS * 2000, MS)];
    play.flow();
    play.lose(0);
    let unsaid = play.read(None, MS * 2000, MS);
    play.core.pool_restarted(play.now(), false);
    assert_eq!((replies_owed.map(|s| play.answers(s)), play.core.in_hand()), ([1, 1], 1));
    play.bind();
    play.flow();
    assert_eq!(play.world.0.borrow().runs.len(), 3);
    // What ran once does not run again: a repeat is voided.
    let repeat = play.read(Some(1), MS * 2000, MS);
    play.flow();
    assert_eq!((play.answers(repeat), play.began(1), play.answers(unsaid)), (1, 1, 0));
}

#[test]
fn a_clock_that_is_far_off_does_not_make_a_healthy_server_unfit() {
    let mut play = Play::new();
    play.pass(MS * 500);
    // One that came in 1970, by its word: gone long ago, declined, and no proof of slow reading.
    let reply_to = ReplyTo { conn: ConnId(8), call: MessageId(1) };
    let attempt = AttemptId::new("00000000000000aa").unwrap();
    let (arrived, deadline) = (Duration::ZERO, play.now());
    let seen = Seen { attempt, token: None, arrived, deadline, body: vec![], answers: 0, gone: false };
    play.world.0.borrow_mut().seen.insert(reply_to, seen);
    let unread_for = Duration::from_secs(1_700_000_000);
    let arrival =
        IncomingRequest { class: "p0", deadline: Some(play.now()), unread_for, ..IncomingRequest::default() };
    play.core.request_received(
        play.now(),
        reply_to,
        ReceivedRequest { attempt, dedup_key: None, arrival, unread: Duration::MAX, body: &[] },
    );
    assert_eq!(play.answers(reply_to), 1);
    for _ in 0..10 {
        play.pass(MS * 50);
        play.flow();
    }
    assert!(play.world.0.borrow().good);
}

#[test]
fn txns_with_a_made_up_time_do_not_make_a_server_that_reads_at_once_unfit() {
    // Said again and again with the time of the first: by its word it lay for two seconds.
    for (unread, good) in [(MS, true), (MS * 2000, false)] {
        let mut play = Play::new();
        play.pass(MS * 2500);
        for call in 0..60 {
            let attempt = AttemptId::new(&format!("{:016x}", 7000 + call)).unwrap();
            let (reply_to, now) = (ReplyTo { conn: ConnId(7), call: MessageId(call) }, play.now());
            let (unread_for, deadline) = (MS * 2000, now + MS * 200);
            let seen = Seen {
                attempt,
                token: None,
                arrived: now - unread_for,
                deadline,
                body: vec![],
                answers: 0,
                gone: false,
            };
            play.world.0.borrow_mut().seen.insert(reply_to, seen);
            let arrival = IncomingRequest {
                class: "p0",
                deadline: Some(deadline),
                unread_for,
                ..IncomingRequest::default()
            };
            play.core.request_received(
                now,
                reply_to,
                ReceivedRequest { attempt, dedup_key: None, arrival, unread, body: &[] },
            );
            play.flow();
        }
        play.pass(MS * 100);
        assert_eq!(play.world.0.borrow().good, good);
    }
}

/// How a call was answered: not yet, declined without a run, or otherwise.
fn answers(play: &Play, reply_to: ReplyTo) -> (u32, bool) {
    let w = play.world.0.borrow();
    (w.seen[&reply_to].answers, w.runs.contains_key(&w.seen[&reply_to].attempt))
}

#[test]
fn after_a_stop_the_first_thing_that_happens_finds_the_lease_over() {
    let mut play = Play::new();
    let now = play.now();
    play.core.leased(now, now + MS * 1000, now + MS * 2500);
    let all: Vec<ReplyTo> = (0..9).map(|n| play.read(Some(n), MS * 2900, Duration::ZERO)).collect();
    play.flow();
    let held: Vec<ReplyTo> =
        all.into_iter().filter(|reply_to| answers(&play, *reply_to) == (0, false)).collect();
    assert!(held.len() > 2, "cores are few");
    // It stands stopped: nothing reminds it of anything. Then a run ends, which would start a held one.
    play.world.0.borrow_mut().now += MS * 1500;
    let (now, attempt) = (play.now(), play.world.0.borrow().runs.keys().next().copied().unwrap());
    play.world.0.borrow_mut().end(attempt, Outcome::Completed);
    play.flow();
    assert!(
        held.iter().all(|reply_to| answers(&play, *reply_to) == (1, false)),
        "given up at once, and not run"
    );
    let (buy, inquiry) =
        (play.read(Some(77), MS * 900, Duration::ZERO), play.read(None, MS * 900, Duration::ZERO));
    play.flow();
    assert_eq!((answers(&play, buy), answers(&play, inquiry)), ((1, false), (0, true)));
    // Out of touch for too long it takes nothing; with a lease again, all.
    play.world.0.borrow_mut().now += MS * 1200;
    let inquiry = play.read(None, MS * 900, Duration::ZERO);
    assert_eq!(answers(&play, inquiry), (1, false));
    let now_ = play.now();
    play.core.leased(now_, now_ + MS * 1000, now_ + MS * 2500);
    let buy = play.read(Some(78), MS * 900, Duration::ZERO);
    play.flow();
    assert_eq!(answers(&play, buy).0, 0);
    assert!(now < now_ && play.world.0.borrow().broken.is_empty(), "{:?}", play.world.0.borrow().broken);
}

#[test]
fn without_a_share_of_the_index_no_call_is_made_and_what_can_goes_on_without() {
    let mut play = Play::new();
    let now = play.now();
    play.core.in_force(now, &settings(), 3, Some(0.0));
    let inquiry = play.read(None, MS * 2500, Duration::ZERO);
    play.flow();
    let attempt = play.world.0.borrow().seen[&inquiry].attempt;
    {
        let mut w = play.world.0.borrow_mut();
        let n = w.notices.len() as u64 + 1;
        w.runs.insert(attempt, Run::AtCall(n));
        w.notices.push(NoticeNumber::Blocked(attempt, b"ask".to_vec()));
    }
    for _ in 0..20 {
        play.flow();
        play.pass(MS * 30);
    }
    assert!(play.world.0.borrow().calls.is_empty(), "none is made");
    assert_eq!(play.world.0.borrow().runs[&attempt], Run::Going, "it was told to go on without");
    play.core.in_force(play.now(), &settings(), 4, Some(2.0));
    assert!(play.world.0.borrow().broken.is_empty());
}

/// Takes what is said and forgets it, but for the calls, whose txns are needed.
#[derive(Default)]
struct Deaf {
    calls: Vec<RequestId>,
}

impl Ports for Deaf {
    fn complete(&mut self, _: ReplyTo, _: Payload) {}
    fn reject(&mut self, _: ReplyTo, _: Option<Duration>, _: bool) {}
    fn fail(&mut self, _: ReplyTo) {}
    fn start_run(&mut self, _: AttemptId, _: &str, _: &Rc<[u8]>) {}
    fn stop_run(&mut self, _: AttemptId) {}
    fn deliver_call_result(&mut self, _: AttemptId, _: &[u8]) {}
    fn skip_call(&mut self, _: AttemptId, _: Number) {}
    fn request_metrics(&mut self, _: u64) {}
    fn start_call(&mut self, request: RequestId, _: AttemptId, _: &[u8], _: Duration) {
        self.calls.push(request);
    }
    fn cancel_call(&mut self, _: RequestId) {}
    fn health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Duration) {}
    fn advertise(&mut self, _: f64) {}
    fn set_timer(&mut self, _: TimerId, _: Duration) {}
}

#[test]
fn a_hundred_thousand_abandoned_at_every_stage_leave_every_table_as_it_was() {
    let mut core = Core::start(settings(), Duration::ZERO, 4000, Deaf::default());
    core.pool_bound(Duration::ZERO);
    core.polled(Duration::ZERO, 1, &[0.5, 0.0]);
    let mut now = Duration::ZERO;
    for n in 1..=100_000u32 {
        now += MS;
        let attempt = AttemptId::new(&format!("{n:016x}")).unwrap();
        let reply_to = ReplyTo { conn: ConnId(n), call: MessageId(1) };
        let deadline = Some(now + MS * 2500);
        let arrival = IncomingRequest {
            class: "p0",
            deadline,
            memory_kb: 10.0,
            rank: 0.9,
            ..IncomingRequest::default()
        };
        core.request_received(
            now,
            reply_to,
            ReceivedRequest { attempt, dedup_key: None, arrival, unread: MS, body: b"x" },
        );
        // Gone while it runs, while its call is out, as it ends, or by its connection.
        match n % 4 {
            0 => core.caller_gone(now, reply_to),
            1 => {
                core.call_needed(now, attempt, Number(u64::from(n)), b"ask");
                core.conn_lost(now, reply_to.conn);
            }
            2 => core.conn_lost(now, reply_to.conn),
            _ => {}
        }
        core.run_ended(now, attempt, Outcome::Completed, MS, Payload::Passing(b"r"));
        core.caller_gone(now, reply_to);
        assert_eq!(
            (core.in_hand(), core.owed(), core.in_tables()),
            (0, 0, TableSizes::default()),
            "after {n}"
        );
    }
    // And while they are held: more than may run at once, all of one connection.
    for n in 0..500u32 {
        let attempt = AttemptId::new(&format!("{:016x}", 200_000 + n)).unwrap();
        let reply_to = ReplyTo { conn: ConnId(7), call: MessageId(n) };
        let deadline = Some(now + MS * 2500);
        let arrival = IncomingRequest {
            class: "p0",
            deadline,
            memory_kb: 10.0,
            rank: 0.9,
            ..IncomingRequest::default()
        };
        core.request_received(
            now,
            reply_to,
            ReceivedRequest { attempt, dedup_key: None, arrival, unread: MS, body: b"x" },
        );
    }
    assert!(core.in_hand() > 8);
    core.conn_lost(now, ConnId(7));
    // What runs is the pool's to end; nothing is held, and nothing is owed.
    for n in 0..500u32 {
        let attempt = AttemptId::new(&format!("{:016x}", 200_000 + n)).unwrap();
        core.run_ended(now, attempt, Outcome::Cancelled, MS, Payload::Passing(b""));
    }
    assert_eq!((core.in_hand(), core.owed(), core.in_tables()), (0, 0, TableSizes::default()));
}
