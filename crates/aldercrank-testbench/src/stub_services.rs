//! Stub services on loopback: worker pool, index, membership service. Each runs on a thread of its own that ends with
//! the process.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How the worker pool runs requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum RunBehavior {
    /// Each run ends as soon as it is started.
    #[default]
    Immediate,
    /// Runs wait until `finish_oldest`.
    OnDemand,
    /// Each takes this long on a core of its own, longer when the cores are shared among more.
    Work { span: Duration, cores: usize },
}

/// What the worker pool does from now on.
#[derive(Debug, Default)]
pub(crate) struct PoolBehavior {
    pub(crate) runs: RunBehavior,
    /// Whether requests of the class `map-extract` make a call first.
    pub(crate) calls: bool,
    /// Bytes of each result.
    pub(crate) result: usize,
}

#[derive(Default)]
struct State {
    set_behavior: PoolBehavior,
    link: Option<TcpStream>,
    notice: u64,
    running: VecDeque<String>,
    /// When runs with work were started, since the server learns from how long they took.
    started_at: BTreeMap<String, Instant>,
}

impl State {
    fn end(&mut self, into: &mut Vec<u8>, attempt: &str, how: &str) {
        let length = if how == "ok" { self.set_behavior.result } else { 0 };
        self.notice += 1;
        let took = self.started_at.remove(attempt).map_or(1.0, |at| at.elapsed().as_secs_f64() * 1e3);
        into.extend(format!("finished {} {attempt} {how} {took:.3} {length}\r\n", self.notice).bytes());
        into.resize(into.len() + length, b'r');
        into.extend(b"\r\n");
    }

    fn send(&mut self, bytes: &[u8]) {
        if let Some(link) = self.link.as_mut().filter(|_| !bytes.is_empty()) {
            let _ = link.write_all(bytes);
        }
    }
}

/// A worker pool that serves one link at a time.
#[derive(Clone)]
pub(crate) struct StubWorkerPool {
    state: Arc<Mutex<State>>,
    pub(crate) addr: SocketAddr,
}

impl StubWorkerPool {
    pub(crate) fn start(ip: &str) -> io::Result<StubWorkerPool> {
        let listener = TcpListener::bind((ip, 0))?;
        let pool = StubWorkerPool { state: Arc::default(), addr: listener.local_addr()? };
        let serving = pool.clone();
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                let _ = serving.serve(link);
            }
        });
        Ok(pool)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_behavior(&self, set_behavior: PoolBehavior) {
        self.state().set_behavior = set_behavior;
    }

    /// Whether a server is connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.state().link.is_some()
    }

    pub(crate) fn running(&self) -> usize {
        self.state().running.len()
    }

    /// Ends the oldest run; gives its attempt id.
    pub(crate) fn finish_oldest(&self) -> Option<String> {
        let mut state = self.state();
        let mut bytes = Vec::new();
        let attempt = state.running.pop_front()?;
        state.end(&mut bytes, &attempt, "ok");
        state.send(&bytes);
        Some(attempt)
    }

    fn serve(&self, link: TcpStream) -> io::Result<()> {
        link.set_nodelay(true)?;
        self.state().link = Some(link.try_clone()?);
        let (mut link, mut input, mut chunk) = (link, Vec::new(), vec![0; 256 * 1024]);
        loop {
            let n = link.read(&mut chunk)?;
            if n == 0 {
                return Ok(());
            }
            input.extend_from_slice(&chunk[..n]);
            // All commands that have come are carried out before anything is written: events go out together.
            let (mut output, mut taken) = (Vec::new(), 0);
            while let Some(length) = self.command(&input[taken..], &mut output) {
                taken += length;
            }
            input.drain(..taken);
            self.state().send(&output);
        }
    }

    /// Carries out one command off the front; gives its length, or nothing while it is incomplete.
    fn command(&self, buf: &[u8], output: &mut Vec<u8>) -> Option<usize> {
        let end = buf.windows(2).position(|two| two == b"\r\n")?;
        let line = String::from_utf8_lossy(&buf[..end]).to_string();
        let fields: Vec<&str> = line.split_whitespace().collect();
        let field = |i: usize| fields.get(i).copied().unwrap_or_default();
        let carries = matches!(field(0), "spawn" | "supply");
        let length = fields.last().filter(|_| carries).and_then(|text| text.parse::<usize>().ok());
        let total = end + 2 + length.map_or(0, |n| n + 2);
        if buf.len() < total {
            return None;
        }
        let mut state = self.state();
        match field(0) {
            "bind" => output.extend(b"bound warm 100000\r\n"),
            "poll" => {
                let n = state.running.len();
                output.extend(format!("polled {} 0.5 {n}\r\n", field(1)).bytes());
            }
            "spawn" => {
                if matches!(state.set_behavior.runs, RunBehavior::Work { .. }) {
                    state.started_at.insert(field(1).to_string(), Instant::now());
                }
                if state.set_behavior.calls && field(2) == "map-extract" {
                    state.notice += 1;
                    output.extend(format!("blocked {} {} 4\r\nask!\r\n", state.notice, field(1)).bytes());
                } else {
                    self.run(&mut state, field(1), output);
                }
            }
            "supply" | "pass" => self.run(&mut state, field(1), output),
            "suspend" => {
                let at = state.running.iter().position(|attempt| attempt == field(1));
                if at.and_then(|at| state.running.remove(at)).is_some() {
                    state.end(output, field(1), "halted");
                }
            }
            _ => {}
        }
        Some(total)
    }

    fn run(&self, state: &mut State, attempt: &str, output: &mut Vec<u8>) {
        match state.set_behavior.runs {
            RunBehavior::Immediate => state.end(output, attempt, "ok"),
            RunBehavior::OnDemand => state.running.push_back(attempt.to_string()),
            RunBehavior::Work { span, cores } => {
                state.running.push_back(attempt.to_string());
                let crowd = (state.running.len() as f64 / cores as f64).max(1.0);
                let (pool, attempt) = (self.clone(), attempt.to_string());
                thread::spawn(move || {
                    thread::sleep(span.mul_f64(crowd));
                    let mut state = pool.state();
                    let at = state.running.iter().position(|r| *r == attempt);
                    if at.and_then(|at| state.running.remove(at)).is_some() {
                        let mut bytes = Vec::new();
                        state.end(&mut bytes, &attempt, "ok");
                        state.send(&bytes);
                    }
                });
            }
        }
    }
}

/// Starts an HTTP server that gives each request this response, after a pause.
pub(crate) fn http(ip: &str, pause: Duration, response: &'static str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond_to_all(stream, pause, response));
        }
    });
    Ok(addr)
}

fn respond_to_all(mut stream: TcpStream, pause: Duration, response: &str) -> io::Result<()> {
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        input.extend_from_slice(&chunk[..n]);
        let text = String::from_utf8_lossy(&input).to_string();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
        if body.len() < length.unwrap_or(0) {
            continue;
        }
        input.clear();
        thread::sleep(pause);
        stream.write_all(response.as_bytes())?;
    }
}

/// The response of the index.
pub(crate) const FOUND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfound";
/// The response of the membership service.
pub(crate) const LISTED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
