//! A stub worker pool. Its runs share its cores evenly (processor sharing); the cores can start cold and warm up, and
//! injected faults slow the pool down or delay its start. Its notices are numbered, and a new link is sent those that
//! it has missed. It performs no I/O and reads no clock.

use aldercrank_protocol::worker_pool::{
    self, AttemptId, CommandError, CommandHandler, NoticeNumber, RunOutcome,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The maximum number of notices that are kept to be sent on a new link.
const MAX_KEPT_NOTICES: usize = 4000;
/// No run progresses slower than this share of full speed, so that each run ends.
const MIN_RATE: f64 = 0.01;
/// A run with at most this many seconds of work left is done. It absorbs rounding errors.
const WORK_EPSILON_SECONDS: f64 = 1e-7;

/// The plan of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunPlan {
    /// The time that it takes on a warm core of its own.
    pub work: Duration,
    /// Whether it waits for a call to an upstream dependency halfway through its work.
    pub makes_call: bool,
    /// Whether it ends at once, with an error.
    pub fails: bool,
}

/// Plans the runs of a pool and observes them.
pub trait WorkerPoolHost {
    /// The plan of a run that is being started; `None` if no such attempt was sent to this server.
    fn plan_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]) -> Option<RunPlan>;
    /// The body of the run's call.
    fn call_body(&mut self, attempt: AttemptId) -> Vec<u8>;
    /// The result of the run's call was delivered.
    fn call_result_delivered(&mut self, attempt: AttemptId, reply: &[u8]);
    /// The run has ended. Returns its result, which is empty for a run that did not complete.
    fn run_ended(&mut self, attempt: AttemptId, end: RunOutcome) -> Vec<u8>;
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    OnCore,
    /// Waits for the result of the call that this notice requested.
    WaitingForCall(NoticeNumber),
}

struct Run {
    plan: RunPlan,
    started: Duration,
    /// Seconds of work left until it ends, or reaches its call.
    work_left: f64,
    /// Its call is over, or it makes none because it fails.
    call_done: bool,
    /// Its request is over: it is cancelled when it reaches its call.
    request_over: bool,
    stage: Stage,
}

/// The cores of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cores {
    /// How many there are.
    pub count: f64,
    /// The share of full speed at which a cold core starts.
    pub cold_speed: f64,
    /// How long a cold core takes to reach full speed.
    pub warm_up: Duration,
}

/// A worker pool.
pub struct WorkerPoolStub {
    cores: Cores,
    started: Duration,
    cold: bool,
    /// Until this time links are accepted, but not answered.
    up_at: Duration,
    /// The share of full speed that an injected fault leaves; 1 without a fault.
    pub speed: f64,
    runs: BTreeMap<AttemptId, Run>,
    /// The time to which the runs have been advanced.
    advanced_to: Duration,
    notices: u64,
    kept_notices: VecDeque<(NoticeNumber, Vec<u8>)>,
    /// The current link is bound.
    linked: bool,
    /// The last notice seen by a link that asked to be bound before the pool was up, and is answered then.
    early_bind: Option<NoticeNumber>,
    /// Bytes to send on the link.
    pub output: Vec<u8>,
    /// The number of runs on the cores, integrated over time in seconds.
    pub run_seconds: f64,
}

impl WorkerPoolStub {
    /// A pool that is started at `now` and up after `start_delay`.
    pub fn new(cores: Cores, now: Duration, cold: bool, start_delay: Duration) -> WorkerPoolStub {
        WorkerPoolStub {
            cores,
            started: now + start_delay,
            cold,
            up_at: now + start_delay,
            speed: 1.0,
            runs: BTreeMap::new(),
            advanced_to: now,
            notices: 0,
            kept_notices: VecDeque::new(),
            linked: false,
            early_bind: None,
            output: Vec::new(),
            run_seconds: 0.0,
        }
    }

    fn is_up(&self, now: Duration) -> bool {
        now >= self.up_at
    }

    fn runs_on_cores(&self) -> usize {
        self.runs.values().filter(|run| run.stage == Stage::OnCore).count()
    }

    /// The share of full speed that warming up allows at `now`.
    pub fn warmth(&self, now: Duration) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = now.saturating_sub(self.started).as_secs_f64();
        let progress = (age / self.cores.warm_up.as_secs_f64().max(1e-9)).min(1.0);
        self.cores.cold_speed + (1.0 - self.cores.cold_speed) * progress
    }

    /// Seconds of work that each run on the cores gets done in one second.
    fn rate(&self, now: Duration) -> f64 {
        let runs = self.runs_on_cores().max(1) as f64;
        ((self.cores.count / runs).min(1.0) * self.speed * self.warmth(now)).max(MIN_RATE)
    }

    fn least_work_left(&self) -> Option<f64> {
        let on_core = self.runs.values().filter(|run| run.stage == Stage::OnCore);
        on_core.map(|run| run.work_left).min_by(f64::total_cmp)
    }

    /// Handles the close or the replacement of the link. Runs continue.
    pub fn unlink(&mut self) {
        (self.linked, self.early_bind) = (false, None);
        self.output.clear();
    }

    /// Executes the first command in `buf`. Returns its length, or `None` if it is incomplete.
    ///
    /// # Errors
    /// If the bytes are not a valid command.
    pub fn receive(
        &mut self,
        now: Duration,
        buf: &[u8],
        host: &mut impl WorkerPoolHost,
    ) -> Result<Option<usize>, CommandError> {
        self.advance(now, host);
        worker_pool::read_command(buf, &mut CommandReceiver { pool: self, now, host })
    }

    /// When the next run ends or reaches its call, or the pool is up and answers a link that waits to be bound.
    pub fn next_event(&self, now: Duration) -> Option<Duration> {
        let least = self.least_work_left();
        let end = least.map(|left| now + Duration::from_secs_f64(left.max(0.0) / self.rate(now)));
        let up = (self.early_bind.is_some() && !self.is_up(now)).then_some(self.up_at);
        end.into_iter().chain(up).min()
    }

    /// Advances all runs to `now`.
    pub fn advance(&mut self, now: Duration, host: &mut impl WorkerPoolHost) {
        if let Some(last_seen) = self.early_bind.filter(|_| self.is_up(now)) {
            self.early_bind = None;
            self.answer_bind(now, last_seen);
        }
        while self.advanced_to < now {
            let rate = self.rate(self.advanced_to);
            let on_cores = self.runs_on_cores();
            let left = (now - self.advanced_to).as_secs_f64();
            let step = self.least_work_left().map_or(left, |least| left.min((least / rate).max(0.0)));
            for run in self.runs.values_mut().filter(|run| run.stage == Stage::OnCore) {
                run.work_left -= step * rate;
            }
            self.run_seconds += step * on_cores as f64;
            let step_end = self.advanced_to + Duration::from_secs_f64(step);
            self.advanced_to = if step >= left { now } else { step_end };
            self.finish_stages(host);
        }
    }

    /// Lets runs that have no work left begin their call, or ends them.
    fn finish_stages(&mut self, host: &mut impl WorkerPoolHost) {
        let done: Vec<AttemptId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.stage == Stage::OnCore && run.work_left <= WORK_EPSILON_SECONDS)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in done {
            let Some(run) = self.runs.get_mut(&attempt) else { continue };
            let reaches_call = run.plan.makes_call && !run.call_done;
            if reaches_call && run.request_over {
                self.end_run(attempt, RunOutcome::Cancelled, host);
            } else if reaches_call {
                self.notices += 1;
                let number = NoticeNumber(self.notices);
                run.stage = Stage::WaitingForCall(number);
                let body = host.call_body(attempt);
                self.notify(number, |into| worker_pool::write_run_blocked(into, number, attempt, &body));
            } else {
                let end = if run.plan.fails { RunOutcome::Failed } else { RunOutcome::Completed };
                self.end_run(attempt, end, host);
            }
        }
    }

    /// Handles the end of a request that was answered or whose caller has gone: cancels its run if that waits for its
    /// call, or else as soon as it reaches its call.
    pub fn request_over(&mut self, now: Duration, attempt: AttemptId, host: &mut impl WorkerPoolHost) {
        self.advance(now, host);
        let Some(run) = self.runs.get_mut(&attempt) else { return };
        run.request_over = true;
        if matches!(run.stage, Stage::WaitingForCall(_)) {
            self.end_run(attempt, RunOutcome::Cancelled, host);
        }
    }

    fn end_run(&mut self, attempt: AttemptId, end: RunOutcome, host: &mut impl WorkerPoolHost) {
        let Some(run) = self.runs.remove(&attempt) else { return };
        self.notices += 1;
        let number = NoticeNumber(self.notices);
        let took = self.advanced_to.saturating_sub(run.started);
        let result = host.run_ended(attempt, end);
        self.notify(number, |into| {
            worker_pool::write_run_finished(into, number, attempt, end, took, &result);
        });
    }

    fn notify(&mut self, number: NoticeNumber, write: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = Vec::new();
        write(&mut bytes);
        if self.linked {
            self.output.extend_from_slice(&bytes);
        }
        self.kept_notices.push_back((number, bytes));
        if self.kept_notices.len() > MAX_KEPT_NOTICES {
            self.kept_notices.pop_front();
        }
    }

    fn answer_bind(&mut self, now: Duration, last_seen: NoticeNumber) {
        worker_pool::write_bound(&mut self.output, self.cold, now.saturating_sub(self.started));
        self.linked = true;
        for (_, bytes) in self.kept_notices.iter().filter(|(number, _)| *number > last_seen) {
            self.output.extend_from_slice(bytes);
        }
    }
}

/// Executes commands as they are read.
struct CommandReceiver<'a, H> {
    pool: &'a mut WorkerPoolStub,
    now: Duration,
    host: &'a mut H,
}

impl<H: WorkerPoolHost> CommandReceiver<'_, H> {
    /// Resumes a run that waits for its call; with `call`, only if it waits for the call that this notice requested.
    /// Returns whether the run was resumed.
    fn resume_run(&mut self, attempt: AttemptId, call: Option<NoticeNumber>) -> bool {
        let waits = |stage: Stage| match (stage, call) {
            (Stage::WaitingForCall(_), None) => true,
            (Stage::WaitingForCall(asked), Some(call)) => asked == call,
            _ => false,
        };
        let Some(run) = self.pool.runs.get_mut(&attempt).filter(|run| waits(run.stage)) else { return false };
        (run.stage, run.call_done) = (Stage::OnCore, true);
        run.work_left = run.plan.work.as_secs_f64() / 2.0;
        true
    }
}

impl<H: WorkerPoolHost> CommandHandler for CommandReceiver<'_, H> {
    fn bind(&mut self, last: NoticeNumber) {
        if self.pool.is_up(self.now) {
            self.pool.answer_bind(self.now, last);
        } else {
            self.pool.early_bind = Some(last);
        }
    }

    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]) {
        if self.pool.runs.contains_key(&attempt) {
            return;
        }
        let Some(plan) = self.host.plan_run(attempt, class, body) else {
            return worker_pool::write_unknown_attempt(&mut self.pool.output, "spawn", attempt);
        };
        let share = if plan.makes_call { 0.5 } else { 1.0 };
        let work_left = if plan.fails { 0.0 } else { plan.work.as_secs_f64() * share };
        let run = Run {
            plan,
            started: self.now,
            work_left,
            call_done: plan.fails,
            request_over: false,
            stage: Stage::OnCore,
        };
        self.pool.runs.insert(attempt, run);
        self.pool.finish_stages(self.host);
    }

    fn stop_run(&mut self, attempt: AttemptId) {
        self.pool.end_run(attempt, RunOutcome::Cancelled, self.host);
    }

    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]) {
        if self.resume_run(attempt, None) {
            self.host.call_result_delivered(attempt, reply);
        }
    }

    fn skip_call(&mut self, attempt: AttemptId, at: NoticeNumber) {
        self.resume_run(attempt, Some(at));
    }

    fn report_metrics(&mut self, tag: &str) {
        let on_cores = self.pool.runs_on_cores() as f64;
        let utilization = (on_cores / self.pool.cores.count).min(1.0);
        worker_pool::write_metrics(&mut self.pool.output, tag, &[utilization, on_cores]);
    }
}
