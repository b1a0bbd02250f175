//! A core with fake ports, driven event by event.

use super::world::{Command, FakePorts, Notice, RequestRecord, RunState, World, WINDOW};
use aldercrank::{CallerId, IncomingRequest, Outcome, Settings, Value};
use aldercrank_server::core::{ConnId, Core, MessageId, ReceivedRequest, ReplyTo};
use aldercrank_server::dedup::DedupKey;
use aldercrank_server::payload::Payload;
use aldercrank_server::worker_pool::{AttemptId, NoticeNumber};
use std::cell::{Ref, RefMut};
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);

pub fn settings() -> Settings {
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

pub struct Scenario {
    pub core: Core<FakePorts>,
    ports: FakePorts,
    requests_made: u32,
}

impl Scenario {
    pub fn new() -> Scenario {
        Scenario::with_window(&settings(), WINDOW)
    }

    /// A scenario with these settings, in which class `p1` has this deduplication window.
    pub fn with_window(settings: &Settings, window: Duration) -> Scenario {
        let mut settings = settings.clone();
        settings.set("profiles.1.window", Value::Number(window.as_micros() as f64));
        let ports = FakePorts::default();
        ports.0.borrow_mut().window = window;
        let core = Core::new(&settings, Duration::ZERO, 4000, ports.clone());
        let mut scenario = Scenario { core, ports, requests_made: 0 };
        scenario.restore_link();
        scenario.exchange();
        scenario
    }

    pub fn world(&self) -> Ref<'_, World> {
        self.ports.0.borrow()
    }

    pub fn world_mut(&self) -> RefMut<'_, World> {
        self.ports.0.borrow_mut()
    }

    pub fn now(&self) -> Duration {
        self.world().now
    }

    /// Returns the attempt id of a request.
    pub fn attempt(&self, reply_to: ReplyTo) -> AttemptId {
        self.world().requests[&reply_to].attempt
    }

    /// Has the core receive a request with `time_left` until its deadline.
    pub fn receive(&mut self, token: Option<u8>, time_left: Duration, unread_time: Duration) -> ReplyTo {
        self.receive_delayed(token, time_left, unread_time, unread_time)
    }

    /// Has the core receive a request that was sent `age` ago, and of that time has waited unread in this server for at
    /// most `max_unread_time`.
    pub fn receive_delayed(
        &mut self,
        token: Option<u8>,
        time_left: Duration,
        age: Duration,
        max_unread_time: Duration,
    ) -> ReplyTo {
        self.requests_made += 1;
        let (now, call) = (self.now(), self.requests_made);
        let (arrived, deadline) = (now.saturating_sub(age), now + time_left);
        let attempt = AttemptId::new(&format!("{call:016x}")).unwrap();
        let reply_to = ReplyTo { conn: ConnId(call % 3), call: MessageId(call) };
        let body = vec![call as u8; 3];
        let record = RequestRecord {
            attempt,
            token,
            arrived,
            deadline,
            body: body.clone(),
            responses: 0,
            caller_gone: false,
        };
        self.world_mut().requests.insert(reply_to, record);
        let class = if token.is_some() { "p1" } else { "p0" };
        let arrival = IncomingRequest {
            class,
            deadline: Some(deadline),
            memory_kb: 10.0,
            rank: 0.9,
            unread_time: now - arrived,
            caller: CallerId(1),
            ..IncomingRequest::default()
        };
        let dedup_key = token.map(|t| DedupKey::token("p1", &t.to_string(), b""));
        self.core.request_received(
            now,
            reply_to,
            ReceivedRequest { attempt, dedup_key, arrival, max_unread_time, body: &body },
        );
        reply_to
    }

    /// Delivers all commands to the pool, and all notices and poll responses to the core.
    pub fn exchange(&mut self) {
        for _ in 0..4 {
            while self.world().link_up {
                let command = self.world_mut().commands.pop_front();
                let Some(command) = command else { break };
                self.world_mut().deliver(command);
            }
            self.receive_notices(usize::MAX);
        }
    }

    /// Delivers at most this many notices and poll responses to the core.
    pub fn receive_notices(&mut self, max: usize) {
        let now = self.now();
        for _ in 0..max.min(10_000) {
            let next = {
                let mut world = self.world_mut();
                if !world.link_up {
                    return;
                }
                if let Some((_, tag)) =
                    world.unread_polls.front().copied().filter(|(after, _)| *after <= world.notices_received)
                {
                    world.unread_polls.pop_front();
                    Err(tag)
                } else if world.notices_received < world.notices.len() {
                    world.notices_received += 1;
                    Ok((world.notices_received as u64, world.notices[world.notices_received - 1].clone()))
                } else {
                    return;
                }
            };
            match next {
                Err(tag) => self.core.metrics_received(now, tag, &[0.5, 1.0]),
                Ok((_, Notice::Ended(attempt, outcome, bytes))) => {
                    self.core.run_ended(now, attempt, outcome, MS * 100, Payload::Transient(&bytes))
                }
                Ok((n, Notice::Blocked(attempt, body))) => {
                    self.core.call_needed(now, attempt, NoticeNumber(n), &body)
                }
            }
        }
    }

    /// Loses the link after the pool has received this many commands. Poll responses that the core has not received
    /// are lost.
    pub fn lose_link(&mut self, received: usize) {
        self.lose_link_with_unwritten(received, usize::MAX);
    }

    /// Loses the link as `lose_link` does. Of the commands that the pool has not received, the first `written` were
    /// written, and no byte of the others.
    pub fn lose_link_with_unwritten(&mut self, received: usize, written: usize) {
        for _ in 0..received {
            let command = self.world_mut().commands.pop_front();
            let Some(command) = command else { break };
            self.world_mut().deliver(command);
        }
        let unwritten: Vec<AttemptId> = {
            let mut world = self.world_mut();
            world.link_up = false;
            world.unread_polls.clear();
            let rest = world.commands.drain(..).skip(written);
            rest.filter_map(
                |command| if let Command::StartRun(attempt, ..) = command { Some(attempt) } else { None },
            )
            .collect()
        };
        self.core.pool_lost(self.now(), unwritten);
    }

    /// Restores the link if it was lost.
    pub fn restore_link(&mut self) {
        if !std::mem::replace(&mut self.world_mut().link_up, true) {
            self.core.pool_bound(self.now());
        }
    }

    /// Advances the time and fires timers. A request without a response 110 ms after its deadline is a violation.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end {
            let next = self.world().timers.next().unwrap_or(end).max(self.now() + MS).min(end);
            self.world_mut().now = next;
            loop {
                let timer = self.world_mut().timers.pop_due(next);
                let Some(timer) = timer else { break };
                self.core.timer_fired(next, timer);
            }
            let mut world = self.world_mut();
            let is_late = |record: &&RequestRecord| {
                record.responses == 0 && !record.caller_gone && next > record.deadline + MS * 110
            };
            if let Some(attempt) = world.requests.values().find(is_late).map(|record| record.attempt) {
                world.violations.push(format!("{attempt} got no response"));
            }
        }
    }

    /// Returns a candidate among the runs, chosen by `selector`.
    pub fn nth_run(&self, selector: u8, is_candidate: impl Fn(&RunState) -> bool) -> Option<AttemptId> {
        let world = self.world();
        let all: Vec<AttemptId> =
            world.runs.iter().filter(|(_, run)| is_candidate(run)).map(|(attempt, _)| *attempt).collect();
        all.get(usize::from(selector) % all.len().max(1)).copied()
    }

    /// Makes a run wait for a call whose body is the number of its notice.
    pub fn await_call(&mut self, attempt: AttemptId) {
        let mut world = self.world_mut();
        let n = world.notices.len() as u64 + 1;
        world.runs.insert(attempt, RunState::AwaitingCall(n));
        world.notices.push(Notice::Blocked(attempt, n.to_string().into_bytes()));
    }

    /// Ends an outstanding call, chosen by `selector`. Its reply is the number of its notice.
    pub fn end_call(&mut self, selector: u8, outcome: Outcome) {
        let (request, reply) = {
            let mut world = self.world_mut();
            let Some(request) =
                world.calls.keys().nth(usize::from(selector) % world.calls.len().max(1)).copied()
            else {
                return;
            };
            let attempt = world.calls.remove(&request).unwrap();
            let Some(RunState::AwaitingCall(n)) = world.runs.get(&attempt).copied() else { return };
            (request, n.to_string().into_bytes())
        };
        self.core.call_ended(self.now(), request, outcome, &reply);
    }

    /// Cancels a request by its caller.
    pub fn cancel(&mut self, reply_to: ReplyTo) {
        let was_gone = self
            .world_mut()
            .requests
            .get_mut(&reply_to)
            .map(|record| std::mem::replace(&mut record.caller_gone, true));
        if was_gone == Some(false) {
            self.core.caller_gone(self.now(), reply_to);
        }
    }

    /// Returns the number of responses that a request has had.
    pub fn responses(&self, reply_to: ReplyTo) -> u32 {
        self.world().requests[&reply_to].responses
    }

    /// Returns how often a request with this token started to run.
    pub fn starts_of(&self, token: u8) -> usize {
        self.world().run_starts.iter().filter(|(t, _)| *t == token).count()
    }
}
