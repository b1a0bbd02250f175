//! An open-loop load: what is due is sent when it is due, however slow the answers are, and each answer's time
//! counts from when its txn was due.

use crate::edge_client::{Answer, ClientRequest, EdgeConnection, MAX_OPEN_CALLS};
use crate::server_under_test::{beside, Build, Server, Setup};
use crate::stub_services::{Plan, Runs};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Every so many first tries one is a licence-buy.
const BUYS: u64 = 4;
/// The longest that answers are waited for after the last was sent.
const REST: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub struct Load {
    pub program: Option<PathBuf>,
    pub rate: u32,
    pub seconds: u32,
    pub connections: usize,
    pub cores: usize,
    pub work: u64,
    pub json: bool,
}

/// What has been answered, with when each was due.
#[derive(Default)]
struct AnswerLog {
    due: BTreeMap<(usize, u32), Instant>,
    seconds: Vec<[u64; 3]>,
    times: BTreeMap<&'static str, Histogram<u64>>,
    /// Answers to calls that were not open.
    strange: u64,
    lost: u64,
}

fn kind(answer: Answer) -> (&'static str, usize) {
    match answer {
        Answer::Completed(_) => ("settled", 0),
        Answer::Rejected => ("declined", 1),
        Answer::Failed => ("voided", 2),
    }
}

impl AnswerLog {
    fn open(&self, on: usize) -> usize {
        self.due.range((on, 0)..=(on, u32::MAX)).count()
    }

    fn answered(&mut self, call: (usize, u32), answer: Answer, began: Instant) {
        let Some(due) = self.due.remove(&call) else {
            self.strange += 1;
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

pub fn run(load: &Load) -> io::Result<bool> {
    if load.rate == 0 || load.connections == 0 || load.cores == 0 {
        return Err(io::Error::other("rate, connections and cores must be 1 or more"));
    }
    let program = load.program.clone().unwrap_or_else(beside);
    let server = Server::start(&Build::Program(program), &setup(load.cores))?;
    let work = Runs::Work { span: Duration::from_millis(load.work), cores: load.cores };
    server.pool.plan(Plan { runs: work, calls: true, result: 100 });
    let (log, over, began) =
        (Arc::new(Mutex::new(AnswerLog::default())), Arc::new(AtomicBool::new(false)), Instant::now());
    let mut edges = Vec::new();
    let total = u64::from(load.rate) * u64::from(load.seconds);
    eprintln!("sending {} a second for {} s to {}", load.rate, load.seconds, server.edge);
    for n in 0..total {
        let due = began + Duration::from_secs_f64(n as f64 / f64::from(load.rate));
        thread::sleep(due.saturating_duration_since(Instant::now()));
        // As edge nodes do: a connection that has all the calls open that it may is left alone.
        let on = (0..edges.len())
            .map(|i| (n as usize + i) % edges.len())
            .find(|on| lock(&log).open(*on) < MAX_OPEN_CALLS);
        let on = match on.filter(|_| edges.len() >= load.connections) {
            Some(on) => on,
            None => {
                edges.push(connect(&server, edges.len(), &log, &over, began)?);
                edges.len() - 1
            }
        };
        let token = (n % BUYS == 0).then_some(n);
        let class = if token.is_some() { "licence-buy" } else { "map-extract" };
        let (budget, rank) = (Duration::from_secs(3), rank(n, token.is_some()));
        let ask = ClientRequest { attempt: n + 1, class, token, budget, body: 100, rank };
        // Noted before it is sent: the answer may come at once.
        let mut bytes = Vec::new();
        let call = edges[on].call(&mut bytes, &ask);
        lock(&log).due.insert((on, call), due);
        edges[on].send(&bytes)?;
    }
    let rest = Instant::now() + REST;
    while Instant::now() < rest && !lock(&log).due.is_empty() {
        thread::sleep(Duration::from_millis(10));
    }
    over.store(true, Ordering::Relaxed);
    let mut log = lock(&log);
    log.lost = log.due.len() as u64;
    print_results(load, &log, total);
    Ok(log.lost == 0 && log.strange == 0)
}

/// A server of so many cores, as `examples/config.json` has it.
fn setup(cores: usize) -> Setup {
    Setup {
        cores: cores as f64,
        memory_kb: 20_000.0 * cores as f64,
        slack: Duration::from_millis(60),
        timeout: Duration::from_secs(3),
        index_pause: Duration::from_millis(20),
        result_kb: None,
    }
}

/// Users spread evenly over each product's band; the buys stand above.
fn rank(n: u64, buy: bool) -> f64 {
    let place = (n as f64 * 0.618_033_988_75).fract() * 0.999;
    (place + f64::from(u8::from(buy))) / 2.0
}

/// One more connection, and a thread that books its answers.
fn connect(
    server: &Server,
    number: usize,
    log: &Arc<Mutex<AnswerLog>>,
    over: &Arc<AtomicBool>,
    began: Instant,
) -> io::Result<EdgeConnection> {
    let edge = EdgeConnection::connect(server.edge)?;
    let mut reader = edge.reader()?;
    reader.patience(Duration::from_millis(100))?;
    let (log, over) = (log.clone(), over.clone());
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            match reader.answer() {
                Ok(Some((call, answer))) => lock(&log).answered((number, call), answer, began),
                Ok(None) => {}
                Err(_) => return,
            }
        }
    });
    Ok(edge)
}

fn lock(log: &Mutex<AnswerLog>) -> std::sync::MutexGuard<'_, AnswerLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

fn print_results(load: &Load, log: &AnswerLog, total: u64) {
    if load.json {
        let times = |h: &Histogram<u64>| {
            serde_json::json!({"count": h.len(), "p50_us": h.value_at_quantile(0.5),
            "p99_us": h.value_at_quantile(0.99), "max_us": h.max()})
        };
        let kinds: BTreeMap<&str, serde_json::Value> =
            log.times.iter().map(|(name, h)| (*name, times(h))).collect();
        let all = serde_json::json!({"sent": total, "answers": kinds, "lost": log.lost, "strange": log.strange,
            "seconds": log.seconds});
        return println!("{all}");
    }
    println!("{:>8}{:>10}{:>10}{:>10}", "second", "settled", "declined", "voided");
    for (second, [completed, rejected, failed]) in log.seconds.iter().enumerate() {
        println!("{second:>8}{completed:>10}{rejected:>10}{failed:>10}");
    }
    println!("{:>10}{:>10}{:>12}{:>12}{:>12}", "answer", "count", "p50 ms", "p99 ms", "most ms");
    for (name, h) in &log.times {
        let ms = |us: u64| us as f64 / 1e3;
        let (p50, p99) = (ms(h.value_at_quantile(0.5)), ms(h.value_at_quantile(0.99)));
        println!("{name:>10}{:>10}{p50:>12.1}{p99:>12.1}{:>12.1}", h.len(), ms(h.max()));
    }
    println!("{total} sent, {} not answered, {} answered twice or unasked", log.lost, log.strange);
}
