//! Fake ports, and the model of the core's environment that they act on.

use aldercrank::{Outcome, RequestId};
use aldercrank_server::core::{Ports, ReplyTo, TimerId};
use aldercrank_server::deadlines::Deadlines;
use aldercrank_server::payload::Payload;
use aldercrank_server::worker_pool::{AttemptId, NoticeNumber};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The deduplication window of class `p1`.
pub const WINDOW: Duration = Duration::from_millis(6000);

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    StartRun(AttemptId, String, Vec<u8>),
    StopRun(AttemptId),
    DeliverCallResult(AttemptId, Vec<u8>),
    SkipCall(AttemptId, u64),
    RequestMetrics(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunState {
    Running,
    AwaitingCall(u64),
    Ended,
}

#[derive(Clone, Debug)]
pub enum Notice {
    Ended(AttemptId, Outcome, Vec<u8>),
    Blocked(AttemptId, Vec<u8>),
}

#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub attempt: AttemptId,
    pub token: Option<u8>,
    pub arrived: Duration,
    pub deadline: Duration,
    pub body: Vec<u8>,
    pub responses: u32,
    pub caller_gone: bool,
}

/// A plain model of the worker pool, the edge nodes and the upstream dependency. Records violations of the invariants.
#[derive(Default)]
pub struct World {
    pub now: Duration,
    pub timers: Deadlines<TimerId>,
    pub requests: BTreeMap<ReplyTo, RequestRecord>,
    pub runs: BTreeMap<AttemptId, RunState>,
    pub run_starts: Vec<(u8, Duration)>,
    /// Commands that were sent but not yet received by the pool.
    pub commands: VecDeque<Command>,
    pub link_up: bool,
    pub notices: Vec<Notice>,
    /// The number of notices that the core has received.
    pub notices_received: usize,
    /// Poll responses that the core has not received: how many notices precede each, and its tag.
    pub unread_polls: VecDeque<(usize, u64)>,
    pub calls: BTreeMap<RequestId, AttemptId>,
    pub violations: Vec<String>,
    pub load_hint: Option<f64>,
    pub healthy: bool,
    /// The deduplication window of class `p1`.
    pub window: Duration,
}

impl World {
    /// Whether a request was answered or its caller has gone.
    pub fn is_over(&self, attempt: AttemptId) -> bool {
        self.requests
            .values()
            .any(|record| record.attempt == attempt && (record.responses > 0 || record.caller_gone))
    }

    pub fn end_run(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.runs.insert(attempt, RunState::Ended);
        let result = if outcome == Outcome::Completed { result(attempt) } else { Vec::new() };
        self.notices.push(Notice::Ended(attempt, outcome, result));
    }

    pub fn deliver(&mut self, command: Command) {
        match command {
            Command::StartRun(attempt, class, body) => {
                let record =
                    self.requests.values().find(|record| record.attempt == attempt).cloned().unwrap();
                if record.body != body || (record.token.is_some() != (class == "p1")) {
                    self.violations.push(format!("{attempt} reached the pool with another body or class"));
                }
                match self.runs.get(&attempt) {
                    None | Some(RunState::Ended) if self.is_over(attempt) => {
                        self.notices.push(Notice::Ended(attempt, Outcome::NeverStarted, vec![]))
                    }
                    Some(RunState::Ended) if record.token.is_some() => {
                        self.violations.push(format!("{attempt} ran twice"))
                    }
                    None | Some(RunState::Ended) => self.begin_run(attempt, &record),
                    Some(_) => {}
                }
            }
            Command::StopRun(attempt) if self.runs.get(&attempt) == Some(&RunState::Running) => {
                self.end_run(attempt, Outcome::Cancelled)
            }
            Command::DeliverCallResult(attempt, reply) => {
                if let Some(RunState::AwaitingCall(n)) = self.runs.get(&attempt).copied() {
                    if reply != n.to_string().into_bytes() {
                        self.violations.push(format!("{attempt} received the reply to another call"));
                    }
                    self.runs.insert(attempt, RunState::Running);
                }
            }
            Command::SkipCall(attempt, notice) => {
                if self.runs.get(&attempt) == Some(&RunState::AwaitingCall(notice)) {
                    self.runs.insert(attempt, RunState::Running);
                }
            }
            Command::RequestMetrics(tag) => self.unread_polls.push_back((self.notices.len(), tag)),
            Command::StopRun(_) => {}
        }
    }

    pub fn begin_run(&mut self, attempt: AttemptId, record: &RequestRecord) {
        if let Some(token) = record.token {
            if self.has_run(token, record.arrived) {
                self.violations.push(format!("token {token} ran twice"));
            }
            self.run_starts.push((token, record.arrived));
        }
        self.runs.insert(attempt, RunState::Running);
    }

    /// Whether a run with this token has started that has a request sent at this time in its window.
    fn has_run(&self, token: u8, sent_at: Duration) -> bool {
        let in_window = |run_sent_at: Duration| sent_at.saturating_sub(run_sent_at) <= self.window;
        self.run_starts.iter().any(|(other, run_sent_at)| *other == token && in_window(*run_sent_at))
    }

    pub fn answer(&mut self, reply_to: ReplyTo, rejected: bool) {
        let Some(record) = self.requests.get_mut(&reply_to) else { return };
        record.responses += 1;
        let record = record.clone();
        let attempt = record.attempt;
        if record.responses > 1 {
            self.violations.push(format!("{attempt} answered twice"));
        }
        if rejected && self.runs.contains_key(&attempt) {
            self.violations.push(format!("{attempt} rejected after it ran"));
        }
        let repeats_a_run = record.token.is_some_and(|token| self.has_run(token, record.arrived));
        if rejected && repeats_a_run {
            self.violations.push(format!("{attempt} rejected although another attempt of its request ran"));
        }
    }
}

pub fn result(attempt: AttemptId) -> Vec<u8> {
    format!("made for {attempt}").into_bytes()
}

#[derive(Clone, Default)]
pub struct FakePorts(pub Rc<RefCell<World>>);

impl FakePorts {
    pub fn send(&self, command: Command) {
        let mut world = self.0.borrow_mut();
        if world.link_up {
            world.commands.push_back(command);
        }
    }
}

impl Ports for FakePorts {
    fn complete(&mut self, reply_to: ReplyTo, bytes: Payload) {
        let bytes = bytes.bytes();
        let mut world = self.0.borrow_mut();
        world.answer(reply_to, false);
        let record = world.requests[&reply_to].clone();
        let is_source = |source: &RequestRecord| {
            result(source.attempt) == bytes
                && (source.attempt == record.attempt
                    || source.token == record.token && source.token.is_some())
        };
        if !world.requests.values().any(is_source) {
            world
                .violations
                .push(format!("{} was answered with the result of another request", record.attempt));
        }
    }
    fn reject(&mut self, reply_to: ReplyTo, _: Option<Duration>, _: bool) {
        self.0.borrow_mut().answer(reply_to, true);
    }
    fn fail(&mut self, reply_to: ReplyTo) {
        self.0.borrow_mut().answer(reply_to, false);
    }
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>) {
        self.send(Command::StartRun(attempt, class.to_string(), body.to_vec()));
    }
    fn stop_run(&mut self, attempt: AttemptId) {
        self.send(Command::StopRun(attempt));
    }
    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]) {
        self.send(Command::DeliverCallResult(attempt, reply.to_vec()));
    }
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber) {
        self.send(Command::SkipCall(attempt, notice.0));
    }
    fn request_metrics(&mut self, tag: u64) {
        self.send(Command::RequestMetrics(tag));
    }
    fn start_call(&mut self, request: RequestId, attempt: AttemptId, _: &[u8], _: Duration) {
        self.0.borrow_mut().calls.insert(request, attempt);
    }
    fn cancel_call(&mut self, request: RequestId) {
        self.0.borrow_mut().calls.remove(&request);
    }
    fn set_health(&mut self, healthy: bool) {
        self.0.borrow_mut().healthy = healthy;
    }
    fn close_idle(&mut self, _: Duration) {}
    fn set_load_hint(&mut self, value: f64) {
        self.0.borrow_mut().load_hint = Some(value);
    }
    fn set_timer(&mut self, timer: TimerId, after: Duration) {
        let mut world = self.0.borrow_mut();
        let at = world.now + after;
        world.timers.set(timer, at);
    }
    fn cancel_timer(&mut self, timer: TimerId) {
        self.0.borrow_mut().timers.remove(timer);
    }
}
