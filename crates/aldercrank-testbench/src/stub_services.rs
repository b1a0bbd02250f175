//! Stand-ins for what the server speaks to besides edge nodes: worker pool, index, membership service. All on
//! loopback, each on a thread of its own that ends with the process.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How the pool runs what it is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Runs {
    /// Each run ends as soon as it is told.
    #[default]
    AtOnce,
    /// Runs wait until `finish`.
    OnCue,
    /// Each takes this long on a core of its own, longer when the cores are shared among more.
    Work { span: Duration, cores: usize },
}

#[derive(Debug, Default)]
pub struct Plan {
    pub runs: Runs,
    /// Whether map-extracts make a call first.
    pub calls: bool,
    /// Bytes of each result.
    pub result: usize,
}

#[derive(Default)]
struct State {
    plan: Plan,
    link: Option<TcpStream>,
    notice: u64,
    running: VecDeque<String>,
    /// When those that work were told, since the server learns from how long they took.
    told: BTreeMap<String, Instant>,
}

impl State {
    fn end(&mut self, into: &mut Vec<u8>, attempt: &str, how: &str) {
        let length = if how == "ok" { self.plan.result } else { 0 };
        self.notice += 1;
        let took = self.told.remove(attempt).map_or(1.0, |at| at.elapsed().as_secs_f64() * 1e3);
        into.extend(format!("finished {} {attempt} {how} {took:.3} {length}\r\n", self.notice).bytes());
        into.resize(into.len() + length, b'r');
        into.extend(b"\r\n");
    }

    fn say(&mut self, bytes: &[u8]) {
        if let Some(link) = self.link.as_mut().filter(|_| !bytes.is_empty()) {
            let _ = link.write_all(bytes);
        }
    }
}

#[derive(Clone)]
pub struct Pool {
    state: Arc<Mutex<State>>,
    pub addr: SocketAddr,
}

impl Pool {
    pub fn start(ip: &str) -> io::Result<Pool> {
        let listener = TcpListener::bind((ip, 0))?;
        let pool = Pool { state: Arc::default(), addr: listener.local_addr()? };
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

    pub fn plan(&self, plan: Plan) {
        self.state().plan = plan;
    }

    /// Whether the server has bound itself.
    pub fn linked(&self) -> bool {
        self.state().link.is_some()
    }

    pub fn running(&self) -> usize {
        self.state().running.len()
    }

    /// Ends the oldest run; gives its txn's id.
    pub fn finish(&self) -> Option<String> {
        let mut state = self.state();
        let mut bytes = Vec::new();
        let attempt = state.running.pop_front()?;
        state.end(&mut bytes, &attempt, "ok");
        state.say(&bytes);
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
            // All that has come is followed before anything is said: answers go out together.
            let (mut said, mut taken) = (Vec::new(), 0);
            while let Some(length) = self.command(&input[taken..], &mut said) {
                taken += length;
            }
            input.drain(..taken);
            self.state().say(&said);
        }
    }

    /// Follows one command off the front; gives its length, or nothing while it is not whole.
    fn command(&self, buf: &[u8], said: &mut Vec<u8>) -> Option<usize> {
        let end = buf.windows(2).position(|two| two == b"\r\n")?;
        let line = String::from_utf8_lossy(&buf[..end]).to_string();
        let words: Vec<&str> = line.split_whitespace().collect();
        let word = |i: usize| words.get(i).copied().unwrap_or_default();
        let carries = matches!(word(0), "spawn" | "supply");
        let length = words.last().filter(|_| carries).and_then(|w| w.parse::<usize>().ok());
        let whole = end + 2 + length.map_or(0, |n| n + 2);
        if buf.len() < whole {
            return None;
        }
        let mut state = self.state();
        match word(0) {
            "bind" => said.extend(b"bound warm 100000\r\n"),
            "poll" => {
                let n = state.running.len();
                said.extend(format!("polled {} 0.5 {n}\r\n", word(1)).bytes());
            }
            "spawn" => {
                if matches!(state.plan.runs, Runs::Work { .. }) {
                    state.told.insert(word(1).to_string(), Instant::now());
                }
                if state.plan.calls && word(2) == "map-extract" {
                    state.notice += 1;
                    said.extend(format!("blocked {} {} 4\r\nask!\r\n", state.notice, word(1)).bytes());
                } else {
                    self.run(&mut state, word(1), said);
                }
            }
            "supply" | "pass" => self.run(&mut state, word(1), said),
            "suspend" => {
                let at = state.running.iter().position(|attempt| attempt == word(1));
                if at.and_then(|at| state.running.remove(at)).is_some() {
                    state.end(said, word(1), "halted");
                }
            }
            _ => {}
        }
        Some(whole)
    }

    fn run(&self, state: &mut State, attempt: &str, said: &mut Vec<u8>) {
        match state.plan.runs {
            Runs::AtOnce => state.end(said, attempt, "ok"),
            Runs::OnCue => state.running.push_back(attempt.to_string()),
            Runs::Work { span, cores } => {
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
                        state.say(&bytes);
                    }
                });
            }
        }
    }
}

/// Answers each HTTP request with this, after a pause.
pub fn http(ip: &str, pause: Duration, answer: &'static str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_all(stream, pause, answer));
        }
    });
    Ok(addr)
}

fn answer_all(mut stream: TcpStream, pause: Duration, answer: &str) -> io::Result<()> {
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
        stream.write_all(answer.as_bytes())?;
    }
}

pub const FOUND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfound";
pub const LISTED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
