//! A worker pool: runs what it is told to, each run for the work of its class, with one call halfway where its class
//! makes one.

use crate::{sleep_ms, Record};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the pool does for a class.
#[derive(Clone, Copy)]
pub struct Work {
    pub ms: u64,
    pub calls: bool,
}

/// What the pool knows of a request that was sent to its server.
#[derive(Clone)]
pub struct Known {
    pub class: String,
    pub body: Vec<u8>,
    /// It was answered or given up.
    pub over: bool,
}

#[derive(Default)]
pub struct Requests(pub Mutex<HashMap<String, Known>>);

struct Run {
    class: String,
    started: Instant,
    /// When the present part of its work is done; none while it waits for its call.
    due: Option<Instant>,
    call_done: bool,
}

/// A run that has ended, as the record and the cases see it.
#[derive(Clone)]
pub struct EndedRun {
    pub id: String,
    pub completed: bool,
}

pub struct Pool {
    pub address: SocketAddr,
    pub ended: Arc<Mutex<Vec<EndedRun>>>,
}

impl Pool {
    pub fn start(
        name: &str,
        record: Arc<Record>,
        requests: Arc<Requests>,
        work: HashMap<String, Work>,
    ) -> std::io::Result<Pool> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let ended = Arc::new(Mutex::new(Vec::new()));
        let shared = ended.clone();
        let name = name.to_string();
        std::thread::spawn(move || {
            let mut state = State {
                name,
                record,
                requests,
                work,
                ended: shared,
                started: Instant::now(),
                runs: HashMap::new(),
                notices: 0,
                kept: VecDeque::new(),
                link: None,
                bound: false,
                input: Vec::new(),
                output: Vec::new(),
            };
            loop {
                state.turn(&listener);
                sleep_ms(1);
            }
        });
        Ok(Pool { address, ended })
    }
}

struct State {
    name: String,
    record: Arc<Record>,
    requests: Arc<Requests>,
    work: HashMap<String, Work>,
    ended: Arc<Mutex<Vec<EndedRun>>>,
    started: Instant,
    runs: HashMap<String, Run>,
    notices: u64,
    kept: VecDeque<(u64, Vec<u8>)>,
    link: Option<TcpStream>,
    bound: bool,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl State {
    fn turn(&mut self, listener: &TcpListener) {
        if let Ok((stream, _)) = listener.accept() {
            let _ = (stream.set_nonblocking(true), stream.set_nodelay(true));
            (self.link, self.bound) = (Some(stream), false);
            self.input.clear();
            self.output.clear();
        }
        self.read();
        while self.command() {}
        self.advance();
        self.write();
    }

    fn read(&mut self) {
        let mut bytes = [0; 65536];
        while let Some(link) = &mut self.link {
            match link.read(&mut bytes) {
                Ok(length) if length > 0 => self.input.extend_from_slice(&bytes[..length]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                _ => (self.link, self.bound) = (None, false),
            }
        }
    }

    fn write(&mut self) {
        while let Some(link) = self.link.as_mut().filter(|_| !self.output.is_empty()) {
            match link.write(&self.output) {
                Ok(length) => drop(self.output.drain(..length)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => (self.link, self.bound) = (None, false),
            }
        }
    }

    /// Carries out the first command of the input. Returns false if it is incomplete.
    fn command(&mut self) -> bool {
        let Some(end) = self.input.windows(2).position(|two| two == b"\r\n") else { return false };
        let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let length = match words[0] {
            "spawn" | "supply" => words.last().and_then(|word| word.parse::<usize>().ok()),
            _ => None,
        };
        let total = end + 2 + length.map_or(0, |length| length + 2);
        if self.input.len() < total {
            return false;
        }
        let body = length.map_or(Vec::new(), |length| self.input[end + 2..end + 2 + length].to_vec());
        self.input.drain(..total);
        match words[..] {
            ["bind", last] => {
                let last: u64 = last.parse().unwrap_or(0);
                let age = self.started.elapsed().as_millis();
                self.output.extend(format!("bound warm {age}\r\n").as_bytes());
                self.kept.iter().filter(|(n, _)| *n > last).for_each(|(_, bytes)| self.output.extend(bytes));
                self.bound = true;
            }
            ["spawn", id, class, _] => self.spawn(id, class, &body),
            ["supply", id, _] => self.resume(id),
            ["pass", id, _] => self.resume(id),
            ["suspend", id] => {
                if self.runs.remove(id).is_some() {
                    self.end(id, "halted", Duration::ZERO, b"");
                }
            }
            ["poll", tag] => {
                let runs = self.runs.values().filter(|run| run.due.is_some()).count();
                self.output
                    .extend(format!("polled {tag} {:.2} {runs} 0.1 4\r\n", runs as f64 / 6.0).as_bytes());
            }
            _ => (self.link, self.bound) = (None, false),
        }
        true
    }

    fn spawn(&mut self, id: &str, class: &str, body: &[u8]) {
        let known = self.requests.0.lock().ok().and_then(|requests| requests.get(id).cloned());
        let Some(known) = known.filter(|known| known.class == class && known.body == body) else {
            self.record.line(&format!("{}: unknown request {id}", self.name));
            return self.output.extend(format!("unknown spawn {id}\r\n").as_bytes());
        };
        if self.runs.contains_key(id) {
            return;
        }
        if known.over {
            return self.end(id, "void", Duration::ZERO, b"");
        }
        self.record.line(&format!("{}: run {id} of {class} starts", self.name));
        let work = self.work.get(class).copied().unwrap_or(Work { ms: 100, calls: false });
        let first = if work.calls { work.ms / 2 } else { work.ms };
        let due = Some(Instant::now() + Duration::from_millis(first));
        let run = Run { class: class.to_string(), started: Instant::now(), due, call_done: !work.calls };
        self.runs.insert(id.to_string(), run);
    }

    fn resume(&mut self, id: &str) {
        let Some(run) = self.runs.get_mut(id).filter(|run| run.due.is_none()) else { return };
        let ms = self.work.get(&run.class).map_or(50, |work| work.ms / 2);
        (run.due, run.call_done) = (Some(Instant::now() + Duration::from_millis(ms)), true);
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let is_over = |id: &str| {
            let requests = self.requests.0.lock().ok();
            requests.is_some_and(|requests| requests.get(id).is_some_and(|known| known.over))
        };
        let due = |run: &Run| run.due.is_some_and(|due| due <= now);
        let done: Vec<String> =
            self.runs.iter().filter(|(_, run)| due(run)).map(|(id, _)| id.clone()).collect();
        let waiting = self.runs.iter().filter(|(id, run)| run.due.is_none() && is_over(id));
        let halted: Vec<String> = waiting.map(|(id, _)| id.clone()).collect();
        for id in halted {
            self.runs.remove(&id);
            self.end(&id, "halted", Duration::ZERO, b"");
        }
        for id in done {
            let Some(run) = self.runs.get_mut(&id) else { continue };
            if run.call_done {
                let took = run.started.elapsed();
                self.runs.remove(&id);
                self.end(&id, "ok", took, format!("result of run {id}").as_bytes());
            } else {
                run.due = None;
                self.notices += 1;
                let body = format!("call of {id}");
                let notice =
                    format!("blocked {} {id} {}\r\n{body}\r\n", self.notices, body.len()).into_bytes();
                self.notify(notice);
            }
        }
    }

    fn end(&mut self, id: &str, how: &str, took: Duration, result: &[u8]) {
        self.record.line(&format!("{}: run {id} ends: {how}", self.name));
        if let Ok(mut ended) = self.ended.lock() {
            ended.push(EndedRun { id: id.to_string(), completed: how == "ok" });
        }
        self.notices += 1;
        let ms = took.as_millis();
        let mut notice =
            format!("finished {} {id} {how} {ms} {}\r\n", self.notices, result.len()).into_bytes();
        notice.extend(result);
        notice.extend(b"\r\n");
        self.notify(notice);
    }

    fn notify(&mut self, notice: Vec<u8>) {
        if self.bound {
            self.output.extend(&notice);
        }
        self.kept.push_back((self.notices, notice));
        if self.kept.len() > 4000 {
            self.kept.pop_front();
        }
    }
}
