//! `aldercrank-testbench load`: an open-loop load. A request is sent when it is due, however slow the responses are, and
//! its response time counts from then.

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

/// Of so many requests one is keyed.
const KEYED_EVERY: u64 = 4;
/// How long responses are waited for after the last request.
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

/// The requests in flight and how the others were answered.
#[derive(Default)]
struct ResponseLog {
    due: BTreeMap<(usize, u32), Instant>,
    seconds: Vec<[u64; 3]>,
    times: BTreeMap<&'static str, Histogram<u64>>,
    /// Responses to requests that were not open.
    unexpected: u64,
    lost: u64,
}

fn kind(answer: Answer) -> (&'static str, usize) {
    match answer {
        Answer::Completed => ("completed", 0),
        Answer::Rejected => ("rejected", 1),
        Answer::Failed => ("failed", 2),
    }
}

impl ResponseLog {
    fn open(&self, on: usize) -> usize {
        self.due.range((on, 0)..=(on, u32::MAX)).count()
    }

    fn record(&mut self, message: (usize, u32), answer: Answer, began: Instant) {
        let Some(due) = self.due.remove(&message) else {
            self.unexpected += 1;
            return;
        };
        let (name, place) = kind(answer);
        let second = began.elapsed().as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, [0; 3]);
        }
        self.seconds[second][place] += 1;
        let times = self.times.entry(name).or_insert_with(|| Histogram::new(3).expect("three digits"));
        // It widens as it must, up to times beyond any that could be.
        let _ = times.record(due.elapsed().as_micros() as u64);
    }
}

/// Sends the load and prints how it was answered. Gives whether each request was answered once.
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
    eprintln!("sending {} a second for {} s to {}", load.rate, load.seconds, server.edge);
    for n in 0..total {
        let due = began + Duration::from_secs_f64(n as f64 / f64::from(load.rate));
        thread::sleep(due.saturating_duration_since(Instant::now()));
        // As edge nodes do: a connection with the most open requests that it may have is passed over.
        let on = (0..connections.len())
            .map(|i| (n as usize + i) % connections.len())
            .find(|on| lock(&log).open(*on) < MAX_OPEN_CALLS);
        let on = match on.filter(|_| connections.len() >= load.connections) {
            Some(on) => on,
            None => {
                connections.push(connect(&server, connections.len(), &log, &finished, began)?);
                connections.len() - 1
            }
        };
        let token = (n % KEYED_EVERY == 0).then_some(n);
        let class = if token.is_some() { "licence-buy" } else { "map-extract" };
        let (budget, rank) = (Duration::from_secs(3), rank(n, token.is_some()));
        let request = ClientRequest { attempt: n + 1, class, token, budget, body: 100, rank };
        // Noted before it is sent: the answer may come at once.
        let mut bytes = Vec::new();
        let message_id = connections[on].append_request(&mut bytes, &request);
        lock(&log).due.insert((on, message_id), due);
        connections[on].send(&bytes)?;
    }
    let rest = Instant::now() + DRAIN_TIMEOUT;
    while Instant::now() < rest && !lock(&log).due.is_empty() {
        thread::sleep(Duration::from_millis(10));
    }
    finished.store(true, Ordering::Relaxed);
    let mut log = lock(&log);
    log.lost = log.due.len() as u64;
    print_results(load, &log, total);
    Ok(log.lost == 0 && log.unexpected == 0)
}

/// A server with this many cores, otherwise as in `examples/config.json`.
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
    let place = (n as f64 * 0.618_033_988_75).fract() * 0.999;
    (place + f64::from(u8::from(keyed))) / 2.0
}

/// One more connection, and a thread that records its responses.
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
    println!("{:>10}{:>10}{:>12}{:>12}{:>12}", "answer", "count", "p50 ms", "p99 ms", "most ms");
    for (name, h) in &log.times {
        let ms = |us: u64| us as f64 / 1e3;
        let (p50, p99) = (ms(h.value_at_quantile(0.5)), ms(h.value_at_quantile(0.99)));
        println!("{name:>10}{:>10}{p50:>12.1}{p99:>12.1}{:>12.1}", h.len(), ms(h.max()));
    }
    println!("{total} sent, {} not answered, {} answered twice or not sent", log.lost, log.unexpected);
}
