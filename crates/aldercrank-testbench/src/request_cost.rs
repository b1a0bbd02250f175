//! The cost of one request of each kind to the server: system calls by name, allocations, copies and CPU time. Each
//! figure is the minimum of several rounds, so that it does not include periodic work (a report, a tick).

use crate::cost_case::{CostCase, RequestKind};
use crate::edge_client::{Answer, ClientRequest, EdgeConnection, MAX_OPEN_CALLS};
use crate::server_under_test::{Build, Counts, ServerSetup, ServerUnderTest};
use crate::stub_services::{PoolBehavior, RunBehavior};
use crate::syscall_trace::{Calls, Tracer};
use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

/// How long callers wait: far longer than a round. Requests are sent with all of it left, as the server takes an
/// attempt with less for a retry.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1200);
/// How long the testbench waits for the stub services to reach a state.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// The cost of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCost {
    /// Number of system calls by name.
    pub(crate) calls: BTreeMap<&'static str, f64>,
    /// `None` if the program does not count its allocations.
    pub(crate) heap: Option<HeapUse>,
    pub(crate) cpu_time: Duration,
    /// The server's peak resident memory, in KB.
    pub(crate) peak_kb: u64,
}

/// Allocations, bytes allocated and bytes copied per request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeapUse {
    pub(crate) allocations: f64,
    pub(crate) bytes: f64,
    pub(crate) copied: f64,
}

impl RequestCost {
    pub(crate) fn system_calls(&self) -> f64 {
        self.calls.values().sum()
    }
}

/// A server prepared for a case: with the connections, queued requests and deduplication entries that stay throughout.
struct Measurement {
    server: ServerUnderTest,
    case: CostCase,
    connections: Vec<EdgeConnection>,
    /// The connection of each queued request, by attempt id.
    queued: BTreeMap<String, usize>,
    next_attempt: u64,
}

fn setup(case: &CostCase) -> ServerSetup {
    // The tick is half the slack, so 20 s, which is far longer than a round.
    ServerSetup {
        cores: if case.queued > 0 { 4.0 } else { 4096.0 },
        memory_kb: 1e9,
        slack: Duration::from_secs(40),
        timeout: CALLER_TIMEOUT,
        index_pause: Duration::ZERO,
        result_kb: (case.result > 256 * 1024).then_some(4096),
    }
}

fn unexpected(what: &str) -> io::Error {
    io::Error::other(format!("unexpected behavior of the server: {what}"))
}

fn wait_until(what: &str, mut until: impl FnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + STATE_TIMEOUT;
    while !until() {
        if Instant::now() > end {
            return Err(unexpected(what));
        }
        std::thread::sleep(Duration::from_micros(20));
    }
    Ok(())
}

impl Measurement {
    fn begin(build: &Build, case: &CostCase) -> io::Result<Measurement> {
        let server = ServerUnderTest::start(build, &setup(case))?;
        let count = 1 + case.idle_connections + (case.queued + 4).div_ceil(MAX_OPEN_CALLS);
        let mut connections = Vec::with_capacity(count);
        for n in 0..count {
            let mut edge = EdgeConnection::connect(server.edge)?;
            // The server closes connections that never send a complete message.
            let budget = Duration::from_secs(1);
            edge.send_requests(&[ClientRequest {
                attempt: u64::MAX - n as u64,
                class: "map-extract",
                token: None,
                budget,
                body: 0,
                rank: 0.5,
            }])?;
            edge.read_answer()?;
            connections.push(edge);
        }
        let mut measurement =
            Measurement { server, case: case.clone(), connections, queued: BTreeMap::new(), next_attempt: 1 };
        measurement.set_pool_behavior(RunBehavior::Immediate, 0);
        // Lets the server learn how long runs take and grow its buffers before anything is measured.
        measurement.send_batches(
            RequestKind::Completed,
            256,
            if case.queued > 0 { 1 } else { MAX_OPEN_CALLS },
        )?;
        measurement.send_batches(RequestKind::Keyed, case.dedup_entries, 32)?;
        let on_demand =
            matches!(case.kind, RequestKind::Cancelled | RequestKind::ConnectionClosed) || case.queued > 0;
        measurement.set_pool_behavior(
            if on_demand { RunBehavior::OnDemand } else { RunBehavior::Immediate },
            case.result,
        );
        measurement.fill_queue()?;
        Ok(measurement)
    }

    fn set_pool_behavior(&self, runs: RunBehavior, result: usize) {
        self.server.pool.set_behavior(PoolBehavior {
            runs,
            calls: self.case.kind == RequestKind::WithCall,
            result,
        });
    }

    fn next_request(&mut self, kind: RequestKind) -> ClientRequest {
        self.next_attempt += 1;
        let token = match kind {
            RequestKind::Keyed => Some(self.next_attempt),
            RequestKind::Duplicate => Some(0),
            _ => None,
        };
        let class = if token.is_some() { "licence-buy" } else { "map-extract" };
        let budget = if kind == RequestKind::Rejected { Duration::from_secs(1) } else { CALLER_TIMEOUT };
        ClientRequest { attempt: self.next_attempt, class, token, budget, body: self.case.body, rank: 0.5 }
    }

    /// Fills the queue. Four more requests are sent than stay queued: the concurrency window is as wide as the four
    /// cores.
    fn fill_queue(&mut self) -> io::Result<()> {
        let total = if self.case.queued > 0 { self.case.queued + 4 } else { 0 };
        for i in 0..total {
            let (request, on) = (self.next_request(RequestKind::Completed), 1 + i / MAX_OPEN_CALLS);
            self.queued.insert(request.id(), on);
            self.connections[on].send_requests(&[request])?;
        }
        let pool = &self.server.pool;
        wait_until("the concurrency window was not filled in time", || pool.running() >= 4.min(total))?;
        // Once a request sent later is answered, the server has read all the others.
        self.send_batches(RequestKind::Rejected, usize::from(total > 0), 1)
    }

    /// Sends `count` requests, `concurrent` in each write, and reads their answers.
    fn send_batches(&mut self, kind: RequestKind, count: usize, concurrent: usize) -> io::Result<()> {
        let mut left = count;
        while left > 0 {
            let n = left.min(concurrent);
            let requests: Vec<ClientRequest> = (0..n).map(|_| self.next_request(kind)).collect();
            self.connections[0].send_requests(&requests)?;
            for _ in 0..n {
                let answer = self.connections[0].read_answer()?.map(|(_, answer)| answer);
                let expected = match answer {
                    Some(Answer::Completed) => kind != RequestKind::Rejected,
                    Some(Answer::Rejected) => kind == RequestKind::Rejected,
                    _ => false,
                };
                if !expected {
                    return Err(unexpected(&format!("{kind:?} was answered with {answer:?}")));
                }
            }
            left -= n;
        }
        Ok(())
    }

    /// Sends the requests of one measured round.
    fn round(&mut self) -> io::Result<()> {
        let (kind, requests, concurrent) = (self.case.kind, self.case.requests, self.case.concurrent);
        match kind {
            RequestKind::Cancelled => (0..requests).try_for_each(|_| self.send_and_cancel()),
            RequestKind::ConnectionClosed => (0..requests).try_for_each(|_| self.send_and_close()),
            _ if self.case.queued > 0 => (0..requests).try_for_each(|_| self.advance_queue()),
            _ => self.send_batches(kind, requests, concurrent),
        }
    }

    fn wait_for_running(&self, n: usize) -> io::Result<()> {
        wait_until("a run did not start or end in time", || self.server.pool.running() == n)
    }

    fn send_and_cancel(&mut self) -> io::Result<()> {
        let request = self.next_request(RequestKind::Completed);
        self.connections[0].send_requests(&[request])?;
        self.wait_for_running(1)?;
        self.connections[0].cancel_last()?;
        match self.connections[0].read_answer()? {
            Some((_, Answer::Failed)) => self.wait_for_running(0),
            other => Err(unexpected(&format!("a cancellation was answered with {other:?}"))),
        }
    }

    fn send_and_close(&mut self) -> io::Result<()> {
        let (request, mut edge) =
            (self.next_request(RequestKind::Completed), EdgeConnection::connect(self.server.edge)?);
        edge.send_requests(&[request])?;
        self.wait_for_running(1)?;
        drop(edge);
        self.wait_for_running(0)
    }

    /// Ends the oldest run, so that the next queued request starts, and queues one more request.
    fn advance_queue(&mut self) -> io::Result<()> {
        let ended = self.server.pool.finish_oldest().and_then(|attempt| self.queued.remove(&attempt));
        let on = ended.ok_or_else(|| unexpected("none of the queued requests was running"))?;
        match self.connections[on].read_answer()? {
            Some((_, Answer::Completed)) => {}
            other => return Err(unexpected(&format!("a queued request was answered with {other:?}"))),
        }
        let request = self.next_request(RequestKind::Completed);
        self.queued.insert(request.id(), on);
        self.connections[on].send_requests(&[request])?;
        self.wait_for_running(4)
    }

    /// CPU time per request of one round.
    fn cpu_time(&mut self) -> io::Result<Duration> {
        let before = self.server.cpu_time()?;
        self.round()?;
        Ok((self.server.cpu_time()? - before) / self.case.requests as u32)
    }
}

/// Measures one case. System calls are counted on a second server, as tracing slows a server down.
pub(crate) fn measure(build: &Build, case: &CostCase, rounds: usize) -> io::Result<RequestCost> {
    let mut measurement = Measurement::begin(build, case)?;
    measurement.round()?;
    let (mut cpu_time, mut heap): (Duration, Option<HeapUse>) = (Duration::MAX, None);
    for _ in 0..rounds {
        let before = measurement.server.counts()?;
        cpu_time = cpu_time.min(measurement.cpu_time()?);
        let after = measurement.server.counts()?;
        if let (Some(before), Some(after)) = (before, after) {
            heap = Some(fieldwise_min(heap, per_request(before, after, case.requests)));
        }
    }
    let peak_kb = measurement.server.peak_kb()?;
    drop(measurement);
    Ok(RequestCost { calls: system_calls(build, case, rounds)?, heap, cpu_time, peak_kb })
}

fn per_request(before: Counts, after: Counts, requests: usize) -> HeapUse {
    let of = |before: u64, after: u64| (after - before) as f64 / requests as f64;
    HeapUse {
        allocations: of(before.allocations, after.allocations),
        bytes: of(before.bytes, after.bytes),
        copied: of(before.copied, after.copied),
    }
}

fn fieldwise_min(smallest: Option<HeapUse>, round: HeapUse) -> HeapUse {
    let Some(smallest) = smallest else { return round };
    HeapUse {
        allocations: smallest.allocations.min(round.allocations),
        bytes: smallest.bytes.min(round.bytes),
        copied: smallest.copied.min(round.copied),
    }
}

fn system_calls(build: &Build, case: &CostCase, rounds: usize) -> io::Result<BTreeMap<&'static str, f64>> {
    let mut measurement = Measurement::begin(build, case)?;
    let tracer = Tracer::start(measurement.server.pid())?;
    measurement.round()?;
    let mut best: Option<Calls> = None;
    for _ in 0..rounds {
        let before = tracer.calls();
        measurement.round()?;
        let after = tracer.calls();
        let round: Calls =
            after.iter().map(|(name, n)| (*name, n - before.get(name).unwrap_or(&0))).collect();
        let fewer = |best: &Calls| round.values().sum::<u64>() < best.values().sum::<u64>();
        if best.as_ref().is_none_or(fewer) {
            best = Some(round);
        }
    }
    let requests = case.requests as f64;
    let calls = best.unwrap_or_default().into_iter().map(|(name, n)| (name, n as f64 / requests));
    Ok(calls.filter(|(_, n)| *n >= 0.005).collect())
}

/// Instructions per request, counted by valgrind's callgrind. They are the difference between two measurements, one of
/// them with three times as many requests, so that starting and ending the server is not included.
pub(crate) fn instructions(case: &CostCase) -> io::Result<f64> {
    let (few, many) = (case.requests, case.requests * 3);
    let total = |requests: usize| -> io::Result<f64> {
        let file =
            std::env::temp_dir().join(format!("aldercrank-testbench-{}.callgrind", std::process::id()));
        let case = CostCase { requests, ..case.clone() };
        let mut measurement = Measurement::begin(&Build::Instructions(file.clone()), &case)?;
        measurement.round()?;
        measurement.connections.clear();
        measurement.server.end()?;
        let text = std::fs::read_to_string(&file)?;
        let _ = std::fs::remove_file(&file);
        let line = text.lines().find_map(|line| line.strip_prefix("totals:"));
        line.and_then(|n| n.trim().parse().ok())
            .ok_or_else(|| io::Error::other("no totals in the output of callgrind"))
    };
    Ok((total(many)? - total(few)?) / (many - few) as f64)
}

/// Measures two builds on the same case in alternating rounds. Returns the median CPU time per request of each, and the
/// median of the ratios of their CPU times in each round.
pub(crate) fn compare(
    new: &Build,
    old: &Build,
    case: &CostCase,
    rounds: usize,
) -> io::Result<(Duration, Duration, f64)> {
    let (mut a, mut b) = (Measurement::begin(new, case)?, Measurement::begin(old, case)?);
    a.round()?;
    b.round()?;
    let mut all = Vec::new();
    for _ in 0..rounds {
        all.push((a.cpu_time()?, b.cpu_time()?));
    }
    let median = |mut of: Vec<f64>| -> f64 {
        of.sort_by(f64::total_cmp);
        of[of.len() / 2]
    };
    let ratio = median(all.iter().map(|(a, b)| a.as_secs_f64() / b.as_secs_f64().max(1e-9)).collect());
    let of = |which: fn(&(Duration, Duration)) -> Duration| {
        Duration::from_secs_f64(median(all.iter().map(|pair| which(pair).as_secs_f64()).collect()))
    };
    Ok((of(|pair| pair.0), of(|pair| pair.1), ratio))
}
