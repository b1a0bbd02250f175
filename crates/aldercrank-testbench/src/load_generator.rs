//! `aldercrank-testbench load`: an open-loop load. Each request is sent when it is due, however slow the responses are,
//! and its response time is measured from its due time.

use crate::edge_client::{Answer, ClientRequest, EdgeConnection, MAX_OPEN_CALLS};
use crate::server_under_test::{program_beside, Build, ServerSetup, ServerUnderTest};
use crate::stub_services::{PoolBehavior, RunBehavior};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// One in this many requests has an idempotency key.
const KEYED_EVERY: u64 = 4;
/// How long to wait for outstanding responses after the last request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The arguments of `load`.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) program: Option<PathBuf>,
    pub(crate) rate: u32,
    pub(crate) seconds: u32,
    pub(crate) connections: usize,
    pub(crate) cores: usize,
    pub(crate) work_ms: u64,
    pub(crate) json: bool,
}

/// The requests in flight and the answers to the others.
#[derive(Default)]
struct ResponseLog {
    /// When each request in flight was due, by connection and message id.
    due: BTreeMap<(usize, u32), Instant>,
    /// Answers in each second: completed, rejected, failed.
    seconds: Vec<[u64; 3]>,
    /// Response times in microseconds, by kind of answer.
    times: BTreeMap<&'static str, Histogram<u64>>,
    /// Responses to requests that were not in flight.
    unexpected: u64,
    lost: u64,
}

/// The name of an answer and its column in `ResponseLog::seconds`.
fn name_and_column(answer: Answer) -> (&'static str, usize) {
    match answer {
        Answer::Completed => ("completed", 0),
        Answer::Rejected => ("rejected", 1),
        Answer::Failed => ("failed", 2),
    }
}

impl ResponseLog {
    fn open_on(&self, connection: usize) -> usize {
        self.due.range((connection, 0)..=(connection, u32::MAX)).count()
    }

    fn record(&mut self, message: (usize, u32), answer: Answer, began: Instant) {
        let Some(due) = self.due.remove(&message) else {
            self.unexpected += 1;
            return;
        };
        let (name, column) = name_and_column(answer);
        let second = began.elapsed().as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, [0; 3]);
        }
        self.seconds[second][column] += 1;
        let times = self.times.entry(name).or_insert_with(|| Histogram::new(3).expect("three digits"));
        // The histogram resizes itself, so no response time is out of its range.
        let _ = times.record(due.elapsed().as_micros() as u64);
    }
}

/// Sends the load and prints a summary of the answers. Returns whether each request was answered exactly once.
pub(crate) fn run(load: &Load) -> io::Result<bool> {
    if load.rate == 0 || load.connections == 0 || load.cores == 0 {
        return Err(io::Error::other("rate, connections and cores must be 1 or more"));
    }
    let program = load.program.clone().unwrap_or_else(program_beside);
    let server = ServerUnderTest::start(&Build::Program(program), &setup(load.cores))?;
    let work = RunBehavior::Work { span: Duration::from_millis(load.work_ms), cores: load.cores };
    server.pool.set_behavior(PoolBehavior { runs: work, calls: true, result: 100 });
    let (log, finished, began) =
        (Arc::new(Mutex::new(ResponseLog::default())), Arc::new(AtomicBool::new(false)), Instant::now());
    let mut connections: Vec<EdgeConnection> = Vec::new();
    let total = u64::from(load.rate) * u64::from(load.seconds);
    eprintln!("sending {} requests per second for {} s to {}", load.rate, load.seconds, server.edge);
    for n in 0..total {
        let due = began + Duration::from_secs_f64(n as f64 / f64::from(load.rate));
        thread::sleep(due.saturating_duration_since(Instant::now()));
        // Like an edge node, skips connections that have reached the limit of open requests.
        let available = (0..connections.len())
            .map(|i| (n as usize + i) % connections.len())
            .find(|connection| lock(&log).open_on(*connection) < MAX_OPEN_CALLS);
        let connection = match available.filter(|_| connections.len() >= load.connections) {
            Some(connection) => connection,
            None => {
                connections.push(connect(&server, connections.len(), &log, &finished, began)?);
                connections.len() - 1
            }
        };
        let token = (n % KEYED_EVERY == 0).then_some(n);
        let class = if token.is_some() { "licence-buy" } else { "map-extract" };
        let (budget, rank) = (Duration::from_secs(3), rank(n, token.is_some()));
        let request = ClientRequest { attempt: n + 1, class, token, budget, body: 100, rank };
        // Recorded before it is sent, as the answer may arrive at once.
        let mut bytes = Vec::new();
        let message_id = connections[connection].append_request(&mut bytes, &request);
        lock(&log).due.insert((connection, message_id), due);
        connections[connection].send(&bytes)?;
    }
    let drain_end = Instant::now() + DRAIN_TIMEOUT;
    while Instant::now() < drain_end && !lock(&log).due.is_empty() {
        thread::sleep(Duration::from_millis(10));
    }
    finished.store(true, Ordering::Relaxed);
    let mut log = lock(&log);
    log.lost = log.due.len() as u64;
    print_results(load, &log, total);
    Ok(log.lost == 0 && log.unexpected == 0)
}

/// The settings of `examples/config.json` with this many cores, and memory in proportion.
fn setup(cores: usize) -> ServerSetup {
    ServerSetup {
        cores: cores as f64,
        memory_kb: 20_000.0 * cores as f64,
        slack: Duration::from_millis(60),
        timeout: Duration::from_secs(3),
        index_pause: Duration::from_millis(20),
        result_kb: None,
    }
}

/// Priority ranks spread evenly over each class's band; keyed requests rank above the others.
fn rank(n: u64, keyed: bool) -> f64 {
    let position = (n as f64 * 0.618_033_988_75).fract() * 0.999;
    (position + f64::from(u8::from(keyed))) / 2.0
}

/// Opens a connection and starts a thread that records its responses.
fn connect(
    server: &ServerUnderTest,
    number: usize,
    log: &Arc<Mutex<ResponseLog>>,
    finished: &Arc<AtomicBool>,
    began: Instant,
) -> io::Result<EdgeConnection> {
    let edge = EdgeConnection::connect(server.edge)?;
    let mut reader = edge.reader()?;
    reader.set_read_timeout(Duration::from_millis(100))?;
    let (log, finished) = (log.clone(), finished.clone());
    thread::spawn(move || {
        while !finished.load(Ordering::Relaxed) {
            match reader.read_answer() {
                Ok(Some((message_id, answer))) => {
                    lock(&log).record((number, message_id), answer, began);
                }
                Ok(None) => {}
                Err(_) => return,
            }
        }
    });
    Ok(edge)
}

fn lock(log: &Mutex<ResponseLog>) -> std::sync::MutexGuard<'_, ResponseLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

fn print_results(load: &Load, log: &ResponseLog, total: u64) {
    if load.json {
        let times = |h: &Histogram<u64>| {
            serde_json::json!({"count": h.len(), "p50_us": h.value_at_quantile(0.5),
            "p99_us": h.value_at_quantile(0.99), "max_us": h.max()})
        };
        let kinds: BTreeMap<&str, serde_json::Value> =
            log.times.iter().map(|(name, h)| (*name, times(h))).collect();
        let all = serde_json::json!({"sent": total, "answers": kinds, "lost": log.lost, "unexpected": log.unexpected,
            "seconds": log.seconds});
        return println!("{all}");
    }
    println!("{:>8}{:>10}{:>10}{:>10}", "second", "completed", "rejected", "failed");
    for (second, [completed, rejected, failed]) in log.seconds.iter().enumerate() {
        println!("{second:>8}{completed:>10}{rejected:>10}{failed:>10}");
    }
    println!("{:>10}{:>10}{:>12}{:>12}{:>12}", "answer", "count", "p50 ms", "p99 ms", "max ms");
    for (name, h) in &log.times {
        let ms = |us: u64| us as f64 / 1e3;
        let (p50, p99) = (ms(h.value_at_quantile(0.5)), ms(h.value_at_quantile(0.99)));
        println!("{name:>10}{:>10}{p50:>12.1}{p99:>12.1}{:>12.1}", h.len(), ms(h.max()));
    }
    println!(
        "{total} requests sent, {} not answered, {} unexpected responses (duplicate or to no request)",
        log.lost, log.unexpected
    );
}
