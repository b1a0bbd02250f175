//! The checker: tracks attempts, runs and processes, and records violations.

use super::observation::{
    Answer, Attempt, CheckedClass, CheckerSettings, ConnectionEnd, Effect, IdempotentCounts, ProcessExit,
    RunStart,
};
use super::run_result::made_by;
use super::scheduling_delay::SchedulingDelay;
use super::violation::{Counts, Rule, Violation};
use crate::ids::{ClassNo, Incarnation, ReplyTo, ServerNo};
use aldercrank_protocol::worker_pool::{AttemptId, RunOutcome};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Added to each time limit to allow for transmission on sockets.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);
/// The violation where an attempt ran although its connection closed in a way that says it was not read.
const RAN_THOUGH_UNREAD: &str = "ran although its connection was closed as if it had not been read";
/// The number of violations that are kept. Further ones are only counted.
const MAX_KEPT_VIOLATIONS: usize = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Open,
    Answered,
    /// No response is required: the attempt was canceled or affected by an injected fault.
    Excused,
    /// The server closed the connection before it read the attempt. It must not run, since its caller sends it again.
    Unread,
}

struct TrackedAttempt {
    attempt: Attempt,
    state: AttemptState,
    ran: bool,
}

/// A run of a request with an idempotency key.
struct KeyedRun {
    server: ServerNo,
    incarnation: Incarnation,
    sent_at: Duration,
    attempt: AttemptId,
}

/// A span in which irregularities at a server are caused by an injected fault.
struct FaultSpan {
    from: Duration,
    to: Duration,
}

/// Checks the invariants during a run.
pub struct InvariantChecker {
    settings: CheckerSettings,
    attempts: Vec<TrackedAttempt>,
    by_attempt_id: HashMap<AttemptId, usize>,
    by_reply_to: HashMap<ReplyTo, usize>,
    runs_by_key: HashMap<u64, Vec<KeyedRun>>,
    /// The time at which each incarnation was asked to shut down.
    shutdowns: BTreeMap<(ServerNo, Incarnation), Duration>,
    fault_spans: BTreeMap<ServerNo, Vec<FaultSpan>>,
    /// The time that servers and the test cluster waited for a core.
    pub scheduling_delay: SchedulingDelay,
    /// The first violations, at most `MAX_KEPT_VIOLATIONS`.
    pub violations: Vec<Violation>,
    /// Counts of events on the wire and of violations.
    pub counts: Counts,
    /// Attempts of idempotent requests, by server.
    pub idempotent_by_server: Vec<IdempotentCounts>,
    /// Responses that were late by the last sample of the scheduling delay, with the time of their receipt. They are
    /// checked again after the next sample, since most of the delay may have occurred since the last one.
    suspected_late: Vec<(Duration, Attempt)>,
    /// The number of completed attempts, by second and server.
    pub completed_in: BTreeMap<(u64, ServerNo), u32>,
}

fn rounded_seconds(at: Duration) -> f64 {
    (at.as_secs_f64() * 1e3).round() / 1e3
}

fn exit_text(code: Option<i32>) -> String {
    code.map_or("a signal".to_string(), |code| format!("exit code {code}"))
}

impl InvariantChecker {
    /// Creates a checker for one run.
    pub fn new(settings: CheckerSettings) -> InvariantChecker {
        InvariantChecker {
            settings,
            attempts: Vec::new(),
            by_attempt_id: HashMap::new(),
            by_reply_to: HashMap::new(),
            runs_by_key: HashMap::new(),
            shutdowns: BTreeMap::new(),
            fault_spans: BTreeMap::new(),
            scheduling_delay: SchedulingDelay::default(),
            violations: Vec::new(),
            counts: Counts::default(),
            idempotent_by_server: Vec::new(),
            suspected_late: Vec::new(),
            completed_in: BTreeMap::new(),
        }
    }

    /// Records a violation, also one that another part of the test cluster detected.
    pub fn record_violation(
        &mut self,
        now: Duration,
        rule: Rule,
        attempt: Option<AttemptId>,
        server: Option<ServerNo>,
        what: impl Into<String>,
    ) {
        self.counts.violations += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            let attempt = attempt.map(|attempt| attempt.to_string());
            let server = server.map(|server| server.to_string());
            self.violations.push(Violation {
                rule,
                at: rounded_seconds(now),
                attempt,
                server,
                what: what.into(),
            });
        }
    }

    fn record_attempt_violation(
        &mut self,
        now: Duration,
        rule: Rule,
        attempt: &Attempt,
        what: impl Into<String>,
    ) {
        self.record_violation(now, rule, Some(attempt.attempt), Some(attempt.server), what);
    }

    /// The attempt with this id.
    pub fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.by_attempt_id.get(&attempt).map(|index| &self.attempts[*index].attempt)
    }

    /// The attempt whose response is expected at this place.
    pub fn attempt_at(&self, reply_to: ReplyTo) -> Option<&Attempt> {
        self.by_reply_to.get(&reply_to).map(|index| &self.attempts[*index].attempt)
    }

    /// Whether the attempt whose response is expected at this place was run.
    pub fn has_run(&self, reply_to: ReplyTo) -> bool {
        self.by_reply_to.get(&reply_to).is_some_and(|index| self.attempts[*index].ran)
    }

    fn class(&self, class: ClassNo) -> &CheckedClass {
        &self.settings.classes[class.0 as usize]
    }

    /// An attempt was written in full to a connection that is established or being established.
    pub fn attempt_sent(&mut self, attempt: Attempt) {
        self.counts.attempts += 1;
        if self.class(attempt.class).effect == Effect::Idempotent {
            let server = attempt.server.0 as usize;
            if self.idempotent_by_server.len() <= server {
                self.idempotent_by_server.resize(server + 1, IdempotentCounts::default());
            }
            self.idempotent_by_server[server].attempts += 1;
        }
        let index = self.attempts.len();
        self.by_attempt_id.insert(attempt.attempt, index);
        self.by_reply_to.insert(attempt.reply_to, index);
        self.attempts.push(TrackedAttempt { attempt, state: AttemptState::Open, ran: false });
    }

    /// Excuses irregularities at a server from `from` to `to`, since an injected fault causes them.
    pub fn add_fault_span(&mut self, server: ServerNo, from: Duration, to: Duration) {
        self.fault_spans.entry(server).or_default().push(FaultSpan { from, to });
    }

    fn had_fault(&self, server: ServerNo, from: Duration, to: Duration) -> bool {
        let spans = self.fault_spans.get(&server);
        spans.is_some_and(|spans| spans.iter().any(|span| span.from <= to && span.to >= from))
    }

    fn had_fault_since_sent(&self, attempt: &Attempt, now: Duration) -> bool {
        self.had_fault(attempt.server, attempt.sent_at, now)
    }

    /// A response was received on a connection to `server`.
    pub fn answer_received(&mut self, now: Duration, server: ServerNo, reply_to: ReplyTo, answer: Answer) {
        let Some(&index) = self.by_reply_to.get(&reply_to) else {
            if !self.had_fault(server, now, now) {
                let what = "a response that belongs to no attempt";
                self.record_violation(now, Rule::Twice, None, Some(server), what);
            }
            return;
        };
        let TrackedAttempt { attempt, state, ran } = &self.attempts[index];
        let (attempt, state, ran) = (attempt.clone(), *state, *ran);
        if state == AttemptState::Answered {
            if !self.had_fault_since_sent(&attempt, now) {
                self.record_attempt_violation(now, Rule::Twice, &attempt, "a second response to one attempt");
            }
            return;
        }
        self.count_answer(answer);
        self.attempts[index].state = AttemptState::Answered;
        if state == AttemptState::Excused {
            return;
        }
        if now > self.latest_answer(&attempt, now) && !self.had_fault_since_sent(&attempt, now) {
            self.suspected_late.push((now, attempt.clone()));
        }
        let effect = self.class(attempt.class).effect;
        if answer == Answer::Rejected && ran && effect != Effect::Idempotent {
            self.record_attempt_violation(now, Rule::Twice, &attempt, "rejected though it ran");
        }
        if let Answer::Completed(result) = answer {
            *self.completed_in.entry((now.as_secs(), attempt.server)).or_default() += 1;
            if let Some(counts) = self.idempotent_by_server.get_mut(attempt.server.0 as usize) {
                counts.completed += u64::from(effect == Effect::Idempotent);
            }
            self.check_result_origin(now, &attempt, result);
        }
    }

    fn count_answer(&mut self, answer: Answer) {
        self.counts.answered += 1;
        match answer {
            Answer::Completed(_) => self.counts.completed += 1,
            Answer::Rejected => self.counts.rejected += 1,
            Answer::Failed => self.counts.failed += 1,
        }
    }

    /// Adds a sample of the cumulative scheduling delays of the test cluster and of each server.
    pub fn scheduling_delay_sampled(&mut self, now: Duration, cluster: Duration, servers: Vec<Duration>) {
        self.scheduling_delay.sample(now, cluster, servers);
        self.check_suspected_late();
    }

    fn check_suspected_late(&mut self) {
        for (answered_at, attempt) in std::mem::take(&mut self.suspected_late) {
            if answered_at > self.latest_answer(&attempt, answered_at) {
                let late = (answered_at - attempt.deadline).as_secs_f64();
                let what = format!("answered {late:.3} s after its deadline");
                self.record_attempt_violation(answered_at, Rule::Late, &attempt, what);
            }
        }
    }

    /// The latest time at which a response is not late: the deadline, extended by the slack, the allowance for sockets
    /// and the scheduling delay until `now`.
    fn latest_answer(&self, attempt: &Attempt, now: Duration) -> Duration {
        let waited = self.scheduling_delay.between(attempt.server, attempt.sent_at, now);
        attempt.deadline + self.settings.slack + SOCKET_ALLOWANCE + waited
    }

    /// Checks that a result was made by a run of the same request on the same server.
    fn check_result_origin(&mut self, now: Duration, attempt: &Attempt, result: &[u8]) {
        let maker = made_by(result).and_then(|attempt| self.by_attempt_id.get(&attempt).copied());
        let is_own_result = maker.is_some_and(|index| {
            let maker = &self.attempts[index];
            let same_request = maker.attempt.attempt == attempt.attempt
                || (attempt.idempotency_key.is_some()
                    && maker.attempt.idempotency_key == attempt.idempotency_key);
            same_request && maker.ran && maker.attempt.server == attempt.server
        });
        if !is_own_result && !self.had_fault_since_sent(attempt, now) {
            self.record_attempt_violation(
                now,
                Rule::Mixed,
                attempt,
                "completed with a result that no run of the request made on this server",
            );
        }
    }

    /// The caller canceled the attempt, so that no response to it is required.
    pub fn attempt_canceled(&mut self, reply_to: ReplyTo) {
        if let Some(&index) = self.by_reply_to.get(&reply_to) {
            if self.attempts[index].state == AttemptState::Open {
                self.attempts[index].state = AttemptState::Excused;
                self.counts.excused += 1;
            }
        }
    }

    /// The connection of an attempt was closed.
    pub fn connection_lost(&mut self, now: Duration, reply_to: ReplyTo, end: ConnectionEnd) {
        let Some(&index) = self.by_reply_to.get(&reply_to) else { return };
        if self.attempts[index].state != AttemptState::Open {
            return;
        }
        let (attempt, ran) = (self.attempts[index].attempt.clone(), self.attempts[index].ran);
        self.attempts[index].state = AttemptState::Excused;
        self.counts.excused += 1;
        if self.had_fault_since_sent(&attempt, now) {
            return;
        }
        match end {
            ConnectionEnd::Injected => {}
            ConnectionEnd::ByServer => {
                let what = "the server closed its connection without a response";
                self.record_attempt_violation(now, Rule::Lost, &attempt, what);
            }
            ConnectionEnd::BeforeRead => {
                self.counts.unread += 1;
                self.attempts[index].state = AttemptState::Unread;
                if ran {
                    self.record_attempt_violation(now, Rule::Lost, &attempt, RAN_THOUGH_UNREAD);
                }
            }
        }
    }

    /// Checks whether a response is overdue. Returns whether none is awaited any more.
    pub fn check_overdue(&mut self, now: Duration, reply_to: ReplyTo) -> bool {
        let Some(&index) = self.by_reply_to.get(&reply_to) else { return true };
        if self.attempts[index].state != AttemptState::Open {
            return true;
        }
        let attempt = self.attempts[index].attempt.clone();
        if now <= self.latest_answer(&attempt, now) {
            return false;
        }
        self.attempts[index].state = AttemptState::Excused;
        if self.had_fault_since_sent(&attempt, now) {
            self.counts.excused += 1;
        } else {
            let what = "no response within the slack after its deadline";
            self.record_attempt_violation(now, Rule::Lost, &attempt, what);
        }
        true
    }

    /// A server started a run in its worker pool. Returns whether the attempt was sent to this incarnation.
    pub fn run_started(&mut self, now: Duration, run: RunStart) -> bool {
        let Some(&index) = self.by_attempt_id.get(&run.attempt) else { return false };
        let attempt = self.attempts[index].attempt.clone();
        if (attempt.server, attempt.incarnation) != (run.server, run.incarnation) {
            return false;
        }
        let class = self.class(attempt.class);
        let differs = class.name != run.class || attempt.body_hash != run.body_hash;
        if differs && !self.had_fault_since_sent(&attempt, now) {
            let what = "ran with a class or body that differs from the one sent";
            self.record_attempt_violation(now, Rule::Mixed, &attempt, what);
        }
        self.counts.runs += 1;
        self.attempts[index].ran = true;
        if self.attempts[index].state == AttemptState::Unread {
            self.record_attempt_violation(now, Rule::Lost, &attempt, RAN_THOUGH_UNREAD);
        }
        if let Some(&shutdown) = self.shutdowns.get(&(run.server, run.incarnation)) {
            if attempt.sent_at > shutdown + self.settings.drain_grace + SOCKET_ALLOWANCE {
                let what = "ran though it was sent after the server's drain grace period";
                self.record_attempt_violation(now, Rule::Drain, &attempt, what);
            }
        }
        self.check_runs_once(now, &attempt);
        true
    }

    /// Checks that a request with an idempotency key runs once on an incarnation within its deduplication window.
    fn check_runs_once(&mut self, now: Duration, attempt: &Attempt) {
        let class = self.class(attempt.class);
        let (effect, window) = (class.effect, class.dedup_window);
        let Some(key) = attempt.idempotency_key.filter(|_| effect == Effect::Keyed) else { return };
        let runs = self.runs_by_key.entry(key).or_default();
        let first = runs.iter().find(|run| {
            (run.server, run.incarnation) == (attempt.server, attempt.incarnation)
                && attempt.sent_at <= run.sent_at + window
        });
        let first = first.map(|run| run.attempt);
        let ran_elsewhere = first.is_none() && !runs.is_empty();
        runs.push(KeyedRun {
            server: attempt.server,
            incarnation: attempt.incarnation,
            sent_at: attempt.sent_at,
            attempt: attempt.attempt,
        });
        self.counts.across += u64::from(ran_elsewhere);
        if let Some(first) = first {
            let what = format!(
                "ran again within the deduplication window of {first}, an attempt of the same request"
            );
            self.record_attempt_violation(now, Rule::Twice, attempt, what);
        }
    }

    /// A run has ended. With [`RunOutcome::NeverStarted`], the attempt counts as not run.
    pub fn run_ended(&mut self, attempt: AttemptId, end: RunOutcome) {
        let Some(&index) = self.by_attempt_id.get(&attempt).filter(|_| end == RunOutcome::NeverStarted)
        else {
            return;
        };
        self.attempts[index].ran = false;
        if let Some(key) = self.attempts[index].attempt.idempotency_key {
            self.runs_by_key.entry(key).or_default().retain(|run| run.attempt != attempt);
        }
    }

    /// A server was asked to shut down.
    pub fn shutdown_requested(&mut self, now: Duration, server: ServerNo, incarnation: Incarnation) {
        self.shutdowns.insert((server, incarnation), now);
    }

    /// A server's process has exited.
    pub fn process_exited(&mut self, now: Duration, exit: ProcessExit) {
        let ProcessExit { server, incarnation, code, killed } = exit;
        let shutdown = self.shutdowns.get(&(server, incarnation)).copied();
        let waited = self.scheduling_delay.between(server, shutdown.unwrap_or(now), now);
        match shutdown {
            Some(shutdown) if !killed => {
                if code != Some(0) {
                    let what = format!("ended with {} after a request to shut down", exit_text(code));
                    self.record_violation(now, Rule::Fall, None, Some(server), what);
                }
                if now > shutdown + self.settings.stop_timeout + SOCKET_ALLOWANCE + waited {
                    let what = "exited after its stop timeout";
                    self.record_violation(now, Rule::Drain, None, Some(server), what);
                }
            }
            None if !killed => {
                let what = format!("ended with {} without a request to shut down", exit_text(code));
                self.record_violation(now, Rule::Fall, None, Some(server), what);
            }
            _ => {}
        }
        // Attempts that are open on this server are checked when their connections close, which its exit causes.
        if !self.shutdowns.keys().any(|(shut_down, _)| *shut_down == server) {
            self.add_fault_span(server, now, now);
        }
    }

    fn open_tracked(&self) -> impl Iterator<Item = &TrackedAttempt> {
        self.attempts.iter().filter(|tracked| tracked.state == AttemptState::Open)
    }

    /// The number of attempts that await a response.
    pub fn open_attempts(&self) -> usize {
        self.open_tracked().count()
    }

    /// Checks, at the end of a run, the attempts that are still open.
    pub fn finish(&mut self, now: Duration) {
        self.check_suspected_late();
        let open: Vec<Attempt> = self.open_tracked().map(|tracked| tracked.attempt.clone()).collect();
        for attempt in open {
            if !self.had_fault_since_sent(&attempt, now) {
                let what = "no response by the end of the run";
                self.record_attempt_violation(now, Rule::Lost, &attempt, what);
            }
        }
    }
}
