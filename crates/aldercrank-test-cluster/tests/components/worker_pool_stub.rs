//! The stub worker pool, compared with a slow reference model.

use crate::{attempt, ms};
use aldercrank_protocol::worker_pool::{AttemptId, RunOutcome};
use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::worker_pool_stub::{Cores, RunPlan, WorkerPoolHost, WorkerPoolStub};
use std::time::Duration;

#[derive(Default)]
struct EndRecorder(Vec<(AttemptId, RunOutcome)>);

impl WorkerPoolHost for EndRecorder {
    fn plan_run(&mut self, _attempt: AttemptId, class: &str, _body: &[u8]) -> Option<RunPlan> {
        let work = ms(class.parse().ok()?);
        Some(RunPlan { work, makes_call: false, fails: false })
    }
    fn call_body(&mut self, _attempt: AttemptId) -> Vec<u8> {
        Vec::new()
    }
    fn call_result_delivered(&mut self, _attempt: AttemptId, _reply: &[u8]) {}
    fn run_ended(&mut self, attempt: AttemptId, end: RunOutcome) -> Vec<u8> {
        self.0.push((attempt, end));
        Vec::new()
    }
}

/// The reference model: when jobs of these starts and work, in milliseconds, end on evenly shared cores. Simulated in
/// steps of a tenth of a millisecond.
fn reference_ends(cores: f64, jobs: &[(u64, u64)]) -> Vec<f64> {
    let mut left: Vec<f64> = jobs.iter().map(|(_, work)| *work as f64).collect();
    let mut ends = vec![0.0; jobs.len()];
    let mut at = 0.0;
    while left.iter().any(|l| *l > 0.0) {
        let on: Vec<usize> = (0..jobs.len()).filter(|i| jobs[*i].0 as f64 <= at && left[*i] > 0.0).collect();
        for i in &on {
            left[*i] -= 0.1 * (cores / on.len() as f64).min(1.0);
            if left[*i] <= 1e-9 {
                (left[*i], ends[*i]) = (0.0, at + 0.1);
            }
        }
        at += 0.1;
    }
    ends
}

#[test]
fn runs_share_the_cores_like_the_reference_model() {
    for seed in 0..20 {
        let mut random = RandomStream::of(seed, "jobs");
        let jobs: Vec<(u64, u64)> =
            (0..12).map(|n| (n * random.below(30) as u64, 5 + random.below(100) as u64)).collect();
        let cores = Cores { count: 3.0, cold_speed: 1.0, warm_up: ms(1) };
        let (mut pool, mut ends) = (WorkerPoolStub::new(cores, ms(0), false, ms(0)), EndRecorder::default());
        let mut order: Vec<usize> = (0..jobs.len()).collect();
        order.sort_by_key(|i| jobs[*i].0);
        let mut end_times = vec![0.0; jobs.len()];
        let mut now = ms(0);
        let mut record_ends = |ends: &mut EndRecorder, now: Duration| {
            for (attempt, _) in ends.0.drain(..) {
                let n = (0..jobs.len()).find(|i| self::attempt(*i as u32) == attempt).unwrap();
                end_times[n] = now.as_secs_f64() * 1e3;
            }
        };
        for i in order {
            while let Some(next) = pool.next_event(now).filter(|next| *next <= ms(jobs[i].0)) {
                now = next;
                pool.advance(now, &mut ends);
                record_ends(&mut ends, now);
            }
            now = ms(jobs[i].0);
            let line = format!("spawn {} {} 0\r\n\r\n", attempt(i as u32), jobs[i].1);
            pool.receive(now, line.as_bytes(), &mut ends).unwrap();
            record_ends(&mut ends, now);
        }
        while let Some(next) = pool.next_event(now) {
            now = next;
            pool.advance(now, &mut ends);
            record_ends(&mut ends, now);
        }
        for (n, (found, expected)) in end_times.iter().zip(reference_ends(3.0, &jobs)).enumerate() {
            assert!(
                (found - expected).abs() < 2.0,
                "seed {seed} run {n} ended at {found} ms, expected {expected}"
            );
        }
    }
}

#[test]
fn a_new_link_gets_the_notices_that_the_old_one_missed() {
    let cores = Cores { count: 1.0, cold_speed: 1.0, warm_up: ms(1) };
    let (mut pool, mut ends) = (WorkerPoolStub::new(cores, ms(0), false, ms(0)), EndRecorder::default());
    pool.receive(ms(0), b"bind 0\r\n", &mut ends).unwrap();
    for n in 0..2 {
        let line = format!("spawn {} 10 0\r\n\r\n", attempt(n));
        pool.receive(ms(0), line.as_bytes(), &mut ends).unwrap();
    }
    pool.unlink();
    pool.advance(ms(100), &mut ends);
    assert!(pool.output.is_empty());
    pool.receive(ms(100), b"bind 1\r\n", &mut ends).unwrap();
    let sent = String::from_utf8(pool.output.clone()).unwrap();
    assert!(sent.starts_with("bound warm 100.000\r\n"), "{sent}");
    assert!(!sent.contains("finished 1 ") && sent.contains("finished 2 "), "{sent}");
    assert!(
        pool.receive(ms(100), b"dance\r\n", &mut ends).is_err(),
        "an unknown command is an error, which ends the link"
    );
}

/// Guards against runs that never end: if a run waited for the call of a request that is over, it would wait forever
/// and take its share of a core.
#[test]
fn a_run_of_an_ended_request_is_stopped_at_its_call() {
    struct CallingHost(Vec<(AttemptId, RunOutcome)>);
    impl WorkerPoolHost for CallingHost {
        fn plan_run(&mut self, _attempt: AttemptId, _class: &str, _body: &[u8]) -> Option<RunPlan> {
            Some(RunPlan { work: ms(20), makes_call: true, fails: false })
        }
        fn call_body(&mut self, _attempt: AttemptId) -> Vec<u8> {
            b"ask".to_vec()
        }
        fn call_result_delivered(&mut self, _attempt: AttemptId, _reply: &[u8]) {}
        fn run_ended(&mut self, attempt: AttemptId, end: RunOutcome) -> Vec<u8> {
            self.0.push((attempt, end));
            Vec::new()
        }
    }
    let cores = Cores { count: 2.0, cold_speed: 1.0, warm_up: ms(1) };
    let (mut pool, mut host) = (WorkerPoolStub::new(cores, ms(0), false, ms(0)), CallingHost(Vec::new()));
    for n in 1..3 {
        let line = format!("spawn {} p 0\r\n\r\n", attempt(n));
        pool.receive(ms(0), line.as_bytes(), &mut host).unwrap();
    }
    pool.request_over(ms(5), attempt(1), &mut host);
    assert_eq!(host.0, [], "the run continues until it reaches its call");
    pool.advance(ms(15), &mut host);
    assert_eq!(host.0, [(attempt(1), RunOutcome::Cancelled)]);
    pool.request_over(ms(20), attempt(2), &mut host);
    assert_eq!(host.0.len(), 2, "a run that already waits for its call ends at once");
}
