//! The host of a server's worker pool: plans its runs by the scenario, and reports them to the checker and the record.

use super::state::TestCluster;
use crate::ids::{ClassNo, Incarnation, RequestNo, ServerNo};
use crate::invariant_checker::{run_result, CallOutcome, Rule, RunStart};
use crate::random::{fnv1a_hash, RandomStream};
use crate::scenario::{InjectedViolation, Scenario};
use crate::testbed::{Testbed, Timer};
use crate::worker_pool_stub::{RunPlan, WorkerPoolHost, WorkerPoolStub};
use aldercrank_protocol::worker_pool::{AttemptId, RunOutcome};
use std::collections::HashMap;
use std::time::Duration;

/// The host of one server's worker pool.
pub(super) struct PoolHost<'a> {
    pub(super) testbed: &'a mut Testbed,
    scenario: &'a Scenario,
    server: ServerNo,
    incarnation: Incarnation,
    failing_share: f64,
    call_results: &'a mut HashMap<AttemptId, Vec<u8>>,
    now: Duration,
    /// Whether the next run of a request with an idempotency key is reported twice, as an injected violation.
    report_twice: bool,
}

/// The random properties of a request's runs, the same for all its attempts.
struct RequestWork {
    work: Duration,
    makes_call: bool,
    /// From 0 to 1; the run fails if this is less than the share of failing runs.
    failure_rank: f64,
}

/// The index's result for an attempt.
pub(super) fn index_result(attempt: &str) -> Vec<u8> {
    format!("found for {attempt}").into_bytes()
}

/// The body of an attempt's call to the index.
pub(super) fn index_call_body(attempt: &str) -> Vec<u8> {
    format!("for {attempt}").into_bytes()
}

impl PoolHost<'_> {
    fn request_work(&self, request: RequestNo, class: ClassNo) -> RequestWork {
        let class = &self.scenario.classes[class.0 as usize];
        let mut random = RandomStream::of(self.scenario.seed, &format!("work {}", request.0));
        RequestWork {
            work: class.work.mul_f64(0.5 + random.unit()),
            makes_call: random.chance(class.call_probability),
            failure_rank: random.unit(),
        }
    }
}

impl WorkerPoolHost for PoolHost<'_> {
    fn plan_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]) -> Option<RunPlan> {
        let (now, server) = (self.now, self.server);
        let run =
            RunStart { server, incarnation: self.incarnation, attempt, class, body_hash: fnv1a_hash(body) };
        let known = self.testbed.checker.run_started(now, run);
        let sent = self.testbed.checker.attempt(attempt);
        let sent = sent.map(|sent| (sent.request, sent.class, sent.idempotency_key));
        self.testbed.record.note(now, sent.map(|(request, _, _)| request), Some(server), || {
            format!("started a run of {attempt}, known attempt: {known}")
        });
        let (request, class_no, idempotency_key) = sent.filter(|_| known)?;
        if idempotency_key.is_some() && std::mem::take(&mut self.report_twice) {
            self.testbed.checker.run_started(now, run);
        }
        let RequestWork { work, makes_call, failure_rank } = self.request_work(request, class_no);
        Some(RunPlan { work, makes_call, fails: failure_rank < self.failing_share })
    }

    fn call_body(&mut self, attempt: AttemptId) -> Vec<u8> {
        index_call_body(&attempt.to_string())
    }

    fn call_result_delivered(&mut self, attempt: AttemptId, reply: &[u8]) {
        if reply != index_result(&attempt.to_string()) {
            let what = "a run was given the result of another call, or an altered result";
            let server = Some(self.server);
            self.testbed.checker.record_violation(self.now, Rule::Mixed, Some(attempt), server, what);
        }
        self.call_results.insert(attempt, reply.to_vec());
    }

    fn run_ended(&mut self, attempt: AttemptId, end: RunOutcome) -> Vec<u8> {
        let reply = self.call_results.remove(&attempt);
        self.testbed.checker.run_ended(attempt, end);
        let sent = self.testbed.checker.attempt(attempt).map(|sent| (sent.request, sent.class));
        self.testbed.record.note(self.now, sent.map(|(request, _)| request), Some(self.server), || {
            format!("run of {attempt} ended: {end:?}")
        });
        let needed_call =
            || sent.is_some_and(|(request, class)| self.request_work(request, class).makes_call);
        let call = match &reply {
            Some(reply) => CallOutcome::Answered(reply),
            None if needed_call() => CallOutcome::Skipped,
            None => CallOutcome::NotNeeded,
        };
        match end {
            RunOutcome::Completed => run_result(attempt, call),
            _ => Vec::new(),
        }
    }
}

impl TestCluster<'_> {
    /// Calls `act` with a server's pool and its host; then sends the pool's output and sets its timer.
    pub(super) fn with_pool<T>(
        &mut self,
        now: Duration,
        server_no: ServerNo,
        act: impl FnOnce(&mut WorkerPoolStub, &mut PoolHost) -> T,
    ) -> T {
        let report_twice = self.may_inject(InjectedViolation::DoubleRun, now);
        let server = &mut self.servers[server_no.0 as usize];
        let mut host = PoolHost {
            testbed: &mut self.testbed,
            scenario: self.scenario,
            server: server_no,
            incarnation: server.incarnation,
            failing_share: server.failing_share,
            call_results: &mut server.call_results,
            now,
            report_twice,
        };
        let result = act(&mut server.pool, &mut host);
        self.violation_injected |= report_twice && !host.report_twice;
        let output = std::mem::take(&mut server.pool.output);
        if let Some(link) = server.link {
            self.testbed.send_to_process(now, link, &output);
        }
        if let Some(at) = server.pool.next_event(now) {
            self.testbed.set_timer(at, Timer::WorkerPool(server_no));
        }
        result
    }
}
