//! A worker pool as a stand-in, without sockets: cores shared evenly among the runs on them, cold at first,
//! slow, late or dead when told so; its notices are numbered, kept, and said again on a new link.

use aldercrank_protocol::worker_pool::{self, AttemptId, CommandHandler, NoticeNumber, RunEnd};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Notices kept for a new link.
const KEPT: usize = 4000;
/// Nothing runs slower than this share of its speed: a run has to end.
const LEAST: f64 = 0.01;

/// What one run is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunPlan {
    /// Time on a warm core of its own.
    pub work: Duration,
    /// Halfway it waits for a call.
    pub calls: bool,
    /// It ends at once, with an error.
    pub errs: bool,
}

/// Who tells a pool what its runs are, and sees what becomes of them.
pub trait PoolHost {
    /// What this run is; nothing where no such txn came to this server with this body.
    fn spawned(&mut self, attempt: AttemptId, class: &str, body: &[u8]) -> Option<RunPlan>;
    /// What the run's call is to carry.
    fn call_body(&mut self, attempt: AttemptId) -> Vec<u8>;
    fn supplied(&mut self, attempt: AttemptId, reply: &[u8]);
    /// The run is over; for one that went well, gives its result.
    fn ended(&mut self, attempt: AttemptId, end: RunEnd) -> Vec<u8>;
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    OnCore,
    /// At a call that this notice asked for.
    Waiting(NoticeNumber),
}

struct Run {
    job: RunPlan,
    began: Duration,
    /// Seconds of work left until it ends, or comes to its call.
    left: f64,
    called: bool,
    /// Its txn is over: it ends where it would next wait for a call.
    over: bool,
    stage: Stage,
}

/// How quick the cores are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cores {
    pub count: f64,
    /// The share of its speed that a cold one starts with, and how long it takes to warm up.
    pub cold_from: f64,
    pub warm_after: Duration,
}

pub struct Pool {
    cores: Cores,
    began: Duration,
    cold: bool,
    /// Not up before this; until then a link is taken and nothing is said on it.
    up_at: Duration,
    /// The share of its speed that a fault leaves it.
    pub speed: f64,
    runs: BTreeMap<AttemptId, Run>,
    at: Duration,
    notices: u64,
    kept: VecDeque<(NoticeNumber, Vec<u8>)>,
    /// Bound on the link that stands, and what a link that came too early said.
    linked: bool,
    early: Option<NoticeNumber>,
    /// What is to be said on the link.
    pub out: Vec<u8>,
    /// Seconds that cores were busy, and the sum of runs on the cores over time.
    pub busy: f64,
    pub crowd: f64,
}

impl Pool {
    pub fn new(cores: Cores, now: Duration, cold: bool, late: Duration) -> Pool {
        Pool {
            cores,
            began: now + late,
            cold,
            up_at: now + late,
            speed: 1.0,
            runs: BTreeMap::new(),
            at: now,
            notices: 0,
            kept: VecDeque::new(),
            linked: false,
            early: None,
            out: Vec::new(),
            busy: 0.0,
            crowd: 0.0,
        }
    }

    pub fn up(&self, now: Duration) -> bool {
        now >= self.up_at
    }

    pub fn on_cores(&self) -> usize {
        self.runs.values().filter(|r| r.stage == Stage::OnCore).count()
    }

    /// How warm it is, as a share of its speed.
    pub fn warmth(&self, now: Duration) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = now.saturating_sub(self.began).as_secs_f64();
        let share = (age / self.cores.warm_after.as_secs_f64().max(1e-9)).min(1.0);
        self.cores.cold_from + (1.0 - self.cores.cold_from) * share
    }

    /// Seconds of work that each run on the cores gets in one second.
    fn rate(&self, now: Duration) -> f64 {
        let runs = self.on_cores().max(1) as f64;
        ((self.cores.count / runs).min(1.0) * self.speed * self.warmth(now)).max(LEAST)
    }

    /// The link broke, or a new one replaced it. Runs go on.
    pub fn unlinked(&mut self) {
        (self.linked, self.early) = (false, None);
        self.out.clear();
    }

    /// Something of a command came on the link. An error closes it, as bytes that are no command do.
    pub fn hear(
        &mut self,
        now: Duration,
        buf: &[u8],
        host: &mut impl PoolHost,
    ) -> Result<Option<usize>, worker_pool::CommandError> {
        self.advance(now, host);
        worker_pool::read_command(buf, &mut Hearing { pool: self, now, host })
    }

    /// When something will end or come to its call, or a late pool comes up.
    pub fn next(&self, now: Duration) -> Option<Duration> {
        let on_core = self.runs.values().filter(|r| r.stage == Stage::OnCore);
        let least = on_core.map(|r| r.left).min_by(f64::total_cmp);
        let end = least.map(|left| now + Duration::from_secs_f64(left.max(0.0) / self.rate(now)));
        let up = (self.early.is_some() && !self.up(now)).then_some(self.up_at);
        end.into_iter().chain(up).min()
    }

    /// Time has passed: runs get on, and end.
    pub fn advance(&mut self, now: Duration, host: &mut impl PoolHost) {
        if let Some(last) = self.early.filter(|_| self.up(now)) {
            self.early = None;
            self.answer_bind(now, last);
        }
        while self.at < now {
            let rate = self.rate(self.at);
            let on_core = self.on_cores();
            let least = self
                .runs
                .values()
                .filter(|r| r.stage == Stage::OnCore)
                .map(|r| r.left)
                .min_by(f64::total_cmp);
            let left = (now - self.at).as_secs_f64();
            let step = least.map_or(left, |least| left.min((least / rate).max(0.0)));
            for run in self.runs.values_mut().filter(|r| r.stage == Stage::OnCore) {
                run.left -= step * rate;
            }
            self.busy += step * (on_core as f64).min(self.cores.count);
            self.crowd += step * on_core as f64;
            let at = self.at + Duration::from_secs_f64(step);
            self.at = if step >= left { now } else { at };
            self.turn(host);
        }
    }

    /// Those that have nothing left go on to their call, or end.
    fn turn(&mut self, host: &mut impl PoolHost) {
        let done: Vec<AttemptId> = self
            .runs
            .iter()
            .filter(|(_, r)| r.stage == Stage::OnCore && r.left <= 1e-7)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in done {
            let Some(run) = self.runs.get_mut(&attempt) else { continue };
            if run.job.calls && !run.called && run.over {
                self.end(attempt, RunEnd::Halted, host);
            } else if run.job.calls && !run.called {
                self.notices += 1;
                run.stage = Stage::Waiting(NoticeNumber(self.notices));
                let (at, body) = (NoticeNumber(self.notices), host.call_body(attempt));
                self.notify(at, |into| worker_pool::write_run_blocked(into, at, attempt, &body));
            } else {
                let end = if run.job.errs { RunEnd::Failed } else { RunEnd::Ok };
                self.end(attempt, end, host);
            }
        }
    }

    /// A txn has been answered, or its caller is gone: a run that waits for its call has nothing to wait for.
    pub fn request_over(&mut self, now: Duration, attempt: AttemptId, host: &mut impl PoolHost) {
        self.advance(now, host);
        let Some(run) = self.runs.get_mut(&attempt) else { return };
        run.over = true;
        if matches!(run.stage, Stage::Waiting(_)) {
            self.end(attempt, RunEnd::Halted, host);
        }
    }

    fn end(&mut self, attempt: AttemptId, end: RunEnd, host: &mut impl PoolHost) {
        let Some(run) = self.runs.remove(&attempt) else { return };
        self.notices += 1;
        let at = NoticeNumber(self.notices);
        let took = self.at.saturating_sub(run.began);
        let result = host.ended(attempt, end);
        self.notify(at, |into| worker_pool::write_run_finished(into, at, attempt, end, took, &result));
    }

    fn notify(&mut self, at: NoticeNumber, say: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = Vec::new();
        say(&mut bytes);
        if self.linked {
            self.out.extend_from_slice(&bytes);
        }
        self.kept.push_back((at, bytes));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    fn answer_bind(&mut self, now: Duration, last: NoticeNumber) {
        worker_pool::write_bound(&mut self.out, self.cold, now.saturating_sub(self.began));
        self.linked = true;
        for (_, bytes) in self.kept.iter().filter(|(at, _)| *at > last) {
            self.out.extend_from_slice(bytes);
        }
    }
}

/// A pool at the moment of hearing a command.
struct Hearing<'a, H> {
    pool: &'a mut Pool,
    now: Duration,
    host: &'a mut H,
}

impl<H: PoolHost> Hearing<'_, H> {
    /// The call that a run waits for is over: it goes on.
    fn go_on(&mut self, attempt: AttemptId, at: Option<NoticeNumber>) -> bool {
        let waits = |stage: Stage| match (stage, at) {
            (Stage::Waiting(_), None) => true,
            (Stage::Waiting(asked), Some(at)) => asked == at,
            _ => false,
        };
        let Some(run) = self.pool.runs.get_mut(&attempt).filter(|r| waits(r.stage)) else { return false };
        (run.stage, run.called) = (Stage::OnCore, true);
        run.left = run.job.work.as_secs_f64() / 2.0;
        true
    }
}

impl<H: PoolHost> CommandHandler for Hearing<'_, H> {
    fn bind(&mut self, last: NoticeNumber) {
        if self.pool.up(self.now) {
            self.pool.answer_bind(self.now, last);
        } else {
            self.pool.early = Some(last);
        }
    }

    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]) {
        if self.pool.runs.contains_key(&attempt) {
            return;
        }
        let Some(job) = self.host.spawned(attempt, class, body) else {
            return worker_pool::write_unknown_attempt(&mut self.pool.out, "spawn", attempt);
        };
        let share = if job.calls { 0.5 } else { 1.0 };
        let left = if job.errs { 0.0 } else { job.work.as_secs_f64() * share };
        let run = Run { job, began: self.now, left, called: job.errs, over: false, stage: Stage::OnCore };
        self.pool.runs.insert(attempt, run);
        self.pool.turn(self.host);
    }

    fn stop_run(&mut self, attempt: AttemptId) {
        self.pool.end(attempt, RunEnd::Halted, self.host);
    }

    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]) {
        if self.go_on(attempt, None) {
            self.host.supplied(attempt, reply);
        }
    }

    fn skip_call(&mut self, attempt: AttemptId, at: NoticeNumber) {
        self.go_on(attempt, Some(at));
    }

    fn report_metrics(&mut self, tag: &str) {
        let on_cores = self.pool.on_cores() as f64;
        let busy = (on_cores / self.pool.cores.count).min(1.0);
        worker_pool::write_metrics(&mut self.pool.out, tag, &[busy, on_cores]);
    }
}
