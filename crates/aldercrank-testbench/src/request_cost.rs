//! What one txn of each kind costs the server: system calls by name, heap, copies, time on a core. Each figure
//! is the least of several rounds, so that what comes by the clock (a report, a tick) is not in it.

use crate::edge_client::{Answer, ClientRequest, EdgeConnection, MAX_OPEN_CALLS};
use crate::server_under_test::{Build, Counts, Server, Setup};
use crate::stub_services::{Plan, Runs};
use crate::syscall_trace::{Calls, Tracer};
use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

/// How long callers wait: far beyond a round, and all of it, or a try would be taken for a later one.
const WHOLE_TIME: Duration = Duration::from_secs(1200);
/// How long the testbench waits for a state of the stub services.
const LONG: Duration = Duration::from_secs(20);

/// The kinds of txn, by what becomes of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Completed,
    WithCall,
    Rejected,
    Buy,
    /// A repeat, answered from the first one's result.
    Joined,
    Interrupted,
    /// Its connection closes while it runs.
    Dropped,
}

/// One line of the table.
#[derive(Clone, Debug)]
pub struct Case {
    pub name: String,
    pub kind: Kind,
    /// Asked in one write, and open at once.
    pub open: usize,
    pub body: usize,
    pub result: usize,
    /// Held throughout, idle connections beside, and marks remembered.
    pub held: usize,
    pub idle: usize,
    pub dedup_entries: usize,
    pub requests: usize,
}

impl Case {
    pub fn new(name: &str, kind: Kind) -> Case {
        let name = name.to_string();
        Case {
            name,
            kind,
            open: 1,
            body: 100,
            result: 100,
            held: 0,
            idle: 0,
            dedup_entries: 0,
            requests: 192,
        }
    }
}

/// The cases whose counts do not depend on the machine: those of the budget.
pub fn ordinary() -> Vec<Case> {
    let named = |name: &str, kind| Case::new(name, kind);
    vec![
        named("settled", Kind::Completed),
        Case { open: 32, ..named("settled, 32 open", Kind::Completed) },
        named("with a call", Kind::WithCall),
        named("declined", Kind::Rejected),
        Case { open: 32, ..named("declined, 32 open", Kind::Rejected) },
        named("licence-buy", Kind::Buy),
        named("repeat joined", Kind::Joined),
        named("interrupted", Kind::Interrupted),
        named("dropped midway", Kind::Dropped),
        Case { body: 0, result: 0, ..named("settled, empty", Kind::Completed) },
        Case { body: 2048, result: 2048, ..named("settled, 2 KiB", Kind::Completed) },
        Case { result: 1 << 20, requests: 16, ..named("settled, 1 MiB result", Kind::Completed) },
        Case { idle: 1000, ..named("settled, 1,000 idle connections", Kind::Completed) },
    ]
}

/// The cases that show what a txn costs as something grows.
pub fn growth() -> Vec<Case> {
    let grown =
        |n: usize, what: &str| Case { requests: 500, ..Case::new(&format!("{n} {what}"), Kind::Completed) };
    let held = [10, 100, 1_000, 5_000, 10_000].map(|held| Case { held, ..grown(held, "in hand") });
    let idle = [10, 100, 1_000, 5_000].map(|idle| Case { idle, ..grown(idle, "connections") });
    let dedup_entries = [10, 1_000, 10_000, 50_000]
        .map(|dedup_entries| Case { dedup_entries, ..grown(dedup_entries, "marks") });
    held.into_iter().chain(idle).chain(dedup_entries).collect()
}

/// What one txn cost.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    pub calls: BTreeMap<&'static str, f64>,
    /// Where the program counts them.
    pub heap: Option<Heap>,
    pub cpu: Duration,
    /// The server's most resident memory, in KB.
    pub peak_kb: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Heap {
    pub allocations: f64,
    pub bytes: f64,
    pub copied: f64,
}

impl Cost {
    pub fn system_calls(&self) -> f64 {
        self.calls.values().sum()
    }
}

/// A server with everything that a case needs beside the txns that are measured.
struct Measurement {
    server: Server,
    case: Case,
    edges: Vec<EdgeConnection>,
    /// Which connection each of the held came on, by its id.
    held: BTreeMap<String, usize>,
    next: u64,
}

fn setup(case: &Case) -> Setup {
    // The tick is half the slack: far beyond a round.
    Setup {
        cores: if case.held > 0 { 4.0 } else { 4096.0 },
        memory_kb: 1e9,
        slack: Duration::from_secs(40),
        timeout: WHOLE_TIME,
        index_pause: Duration::ZERO,
        result_kb: (case.result > 256 * 1024).then_some(4096),
    }
}

fn wrong(what: &str) -> io::Error {
    io::Error::other(format!("the stub services saw what they should not: {what}"))
}

fn wait(what: &str, mut until: impl FnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + LONG;
    while !until() {
        if Instant::now() > end {
            return Err(wrong(what));
        }
        std::thread::sleep(Duration::from_micros(20));
    }
    Ok(())
}

impl Measurement {
    fn begin(build: &Build, case: &Case) -> io::Result<Measurement> {
        let server = Server::start(build, &setup(case))?;
        let connections = 1 + case.idle + (case.held + 4).div_ceil(MAX_OPEN_CALLS);
        let mut edges = Vec::with_capacity(connections);
        for n in 0..connections {
            let mut edge = EdgeConnection::connect(server.edge)?;
            // One that never says anything whole would be closed.
            let budget = Duration::from_secs(1);
            edge.ask(&[ClientRequest {
                attempt: u64::MAX - n as u64,
                class: "map-extract",
                token: None,
                budget,
                body: 0,
                rank: 0.5,
            }])?;
            edge.answer()?;
            edges.push(edge);
        }
        let mut measurement =
            Measurement { server, case: case.clone(), edges, held: BTreeMap::new(), next: 1 };
        measurement.plan(Runs::AtOnce, 0);
        // What has been learnt of how long runs take, and buffers that have been as full before.
        measurement.batches(Kind::Completed, 256, if case.held > 0 { 1 } else { MAX_OPEN_CALLS })?;
        measurement.batches(Kind::Buy, case.dedup_entries, 32)?;
        let cue = matches!(case.kind, Kind::Interrupted | Kind::Dropped) || case.held > 0;
        measurement.plan(if cue { Runs::OnCue } else { Runs::AtOnce }, case.result);
        measurement.fill()?;
        Ok(measurement)
    }

    fn plan(&self, runs: Runs, result: usize) {
        self.server.pool.plan(Plan { runs, calls: self.case.kind == Kind::WithCall, result });
    }

    fn one(&mut self, kind: Kind) -> ClientRequest {
        self.next += 1;
        let token = match kind {
            Kind::Buy => Some(self.next),
            Kind::Joined => Some(0),
            _ => None,
        };
        let class = if token.is_some() { "licence-buy" } else { "map-extract" };
        let budget = if kind == Kind::Rejected { Duration::from_secs(1) } else { WHOLE_TIME };
        ClientRequest { attempt: self.next, class, token, budget, body: self.case.body, rank: 0.5 }
    }

    /// Fills the hold: the window is as wide as the cores.
    fn fill(&mut self) -> io::Result<()> {
        let all = if self.case.held > 0 { self.case.held + 4 } else { 0 };
        for i in 0..all {
            let (ask, on) = (self.one(Kind::Completed), 1 + i / MAX_OPEN_CALLS);
            self.held.insert(ask.id(), on);
            self.edges[on].ask(&[ask])?;
        }
        let pool = &self.server.pool;
        wait("the window is not full", || pool.running() >= 4.min(all))?;
        // All are read once a later one is answered.
        self.batches(Kind::Rejected, usize::from(all > 0), 1)
    }

    /// Asks for so many, `open` in one write each, and reads their answers.
    fn batches(&mut self, kind: Kind, requests: usize, open: usize) -> io::Result<()> {
        let mut left = requests;
        while left > 0 {
            let n = left.min(open);
            let asks: Vec<ClientRequest> = (0..n).map(|_| self.one(kind)).collect();
            self.edges[0].ask(&asks)?;
            for _ in 0..n {
                let answer = self.edges[0].answer()?.map(|(_, answer)| answer);
                let good = match answer {
                    Some(Answer::Completed(_)) => kind != Kind::Rejected,
                    Some(Answer::Rejected) => kind == Kind::Rejected,
                    _ => false,
                };
                if !good {
                    return Err(wrong(&format!("{kind:?} was answered with {answer:?}")));
                }
            }
            left -= n;
        }
        Ok(())
    }

    /// One round of the txns that are measured.
    fn round(&mut self) -> io::Result<()> {
        let (kind, requests, open) = (self.case.kind, self.case.requests, self.case.open);
        match kind {
            Kind::Interrupted => (0..requests).try_for_each(|_| self.interrupted()),
            Kind::Dropped => (0..requests).try_for_each(|_| self.dropped()),
            _ if self.case.held > 0 => (0..requests).try_for_each(|_| self.through_the_hold()),
            _ => self.batches(kind, requests, open),
        }
    }

    fn running(&self, n: usize) -> io::Result<()> {
        wait("a run did not begin or end", || self.server.pool.running() == n)
    }

    fn interrupted(&mut self) -> io::Result<()> {
        let ask = self.one(Kind::Completed);
        self.edges[0].ask(&[ask])?;
        self.running(1)?;
        self.edges[0].interrupt_last()?;
        match self.edges[0].answer()? {
            Some((_, Answer::Failed)) => self.running(0),
            other => Err(wrong(&format!("an interrupt was answered with {other:?}"))),
        }
    }

    fn dropped(&mut self) -> io::Result<()> {
        let (ask, mut edge) = (self.one(Kind::Completed), EdgeConnection::connect(self.server.edge)?);
        edge.ask(&[ask])?;
        self.running(1)?;
        drop(edge);
        self.running(0)
    }

    /// The oldest run ends, the next held begins, and one more is held: all else stays.
    fn through_the_hold(&mut self) -> io::Result<()> {
        let ended = self.server.pool.finish().and_then(|attempt| self.held.remove(&attempt));
        let on = ended.ok_or_else(|| wrong("nothing ran that was held"))?;
        match self.edges[on].answer()? {
            Some((_, Answer::Completed(_))) => {}
            other => return Err(wrong(&format!("a held txn was answered with {other:?}"))),
        }
        let ask = self.one(Kind::Completed);
        self.held.insert(ask.id(), on);
        self.edges[on].ask(&[ask])?;
        self.running(4)
    }

    /// Time on a core for each txn of one round.
    fn cpu(&mut self) -> io::Result<Duration> {
        let before = self.server.cpu()?;
        self.round()?;
        Ok((self.server.cpu()? - before) / self.case.requests as u32)
    }
}

/// Measures one case: its heap and time first, its system calls in a run of their own, which tracing slows.
pub fn measure(build: &Build, case: &Case, rounds: usize) -> io::Result<Cost> {
    let mut measurement = Measurement::begin(build, case)?;
    measurement.round()?;
    let (mut cpu, mut heap): (Duration, Option<Heap>) = (Duration::MAX, None);
    for _ in 0..rounds {
        let before = measurement.server.counts()?;
        cpu = cpu.min(measurement.cpu()?);
        let after = measurement.server.counts()?;
        if let (Some(before), Some(after)) = (before, after) {
            heap = Some(least(heap, each(before, after, case.requests)));
        }
    }
    let peak_kb = measurement.server.peak_kb()?;
    drop(measurement);
    Ok(Cost { calls: system_calls(build, case, rounds)?, heap, cpu, peak_kb })
}

fn each(before: Counts, after: Counts, requests: usize) -> Heap {
    let of = |before: u64, after: u64| (after - before) as f64 / requests as f64;
    Heap {
        allocations: of(before.allocations, after.allocations),
        bytes: of(before.bytes, after.bytes),
        copied: of(before.copied, after.copied),
    }
}

fn least(so_far: Option<Heap>, round: Heap) -> Heap {
    let Some(so_far) = so_far else { return round };
    Heap {
        allocations: so_far.allocations.min(round.allocations),
        bytes: so_far.bytes.min(round.bytes),
        copied: so_far.copied.min(round.copied),
    }
}

fn system_calls(build: &Build, case: &Case, rounds: usize) -> io::Result<BTreeMap<&'static str, f64>> {
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

/// Instructions a txn, by valgrind's callgrind: of a run with three times as many txns less those of one, so that
/// starting and ending are not in it.
pub fn instructions(case: &Case) -> io::Result<f64> {
    let (few, many) = (case.requests, case.requests * 3);
    let total = |requests: usize| -> io::Result<f64> {
        let file =
            std::env::temp_dir().join(format!("aldercrank-testbench-{}.callgrind", std::process::id()));
        let case = Case { requests, ..case.clone() };
        let mut measurement = Measurement::begin(&Build::Instructions(file.clone()), &case)?;
        measurement.round()?;
        measurement.edges.clear();
        measurement.server.end()?;
        let text = std::fs::read_to_string(&file)?;
        let _ = std::fs::remove_file(&file);
        let line = text.lines().find_map(|line| line.strip_prefix("totals:"));
        line.and_then(|n| n.trim().parse().ok()).ok_or_else(|| io::Error::other("callgrind counted nothing"))
    };
    Ok((total(many)? - total(few)?) / (many - few) as f64)
}

/// Two builds in turns on the same case: the median of the ratios of their times on a core, round by round.
pub fn paired(new: &Build, old: &Build, case: &Case, rounds: usize) -> io::Result<(Duration, Duration, f64)> {
    let (mut a, mut b) = (Measurement::begin(new, case)?, Measurement::begin(old, case)?);
    a.round()?;
    b.round()?;
    let mut all = Vec::new();
    for _ in 0..rounds {
        all.push((a.cpu()?, b.cpu()?));
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
