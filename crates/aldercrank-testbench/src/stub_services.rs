//! Stubs of the worker pool, the index and the membership service on loopback. Each runs on threads of its own, which
//! end with the process.

use aldercrank_protocol::http;
use aldercrank_protocol::worker_pool::{self, AttemptId, CommandHandler, NoticeNumber, RunOutcome};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The age that the worker pool states when a server connects: old enough to be warm.
const POOL_AGE: Duration = Duration::from_secs(100);
/// The run time that is reported for runs without work.
const SHORT_RUN: Duration = Duration::from_millis(1);
/// The class whose runs make a call first, if `PoolBehavior::calls` is set.
const CLASS_WITH_CALL: &str = "map-extract";

/// How the worker pool runs requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum RunBehavior {
    /// Each run ends at once.
    #[default]
    Immediate,
    /// Each run ends when `finish_oldest` is called.
    OnDemand,
    /// Each run takes `span` on a core of its own, and longer in proportion if there are more runs than cores when it
    /// starts.
    Work { span: Duration, cores: usize },
}

/// How the worker pool handles requests that are started from now on.
#[derive(Debug, Default)]
pub(crate) struct PoolBehavior {
    pub(crate) runs: RunBehavior,
    /// Whether requests of the class `map-extract` make a call first.
    pub(crate) calls: bool,
    /// Size of each result in bytes.
    pub(crate) result: usize,
}

/// The state of a stub worker pool.
#[derive(Default)]
struct State {
    behavior: PoolBehavior,
    link: Option<TcpStream>,
    last_notice: u64,
    running: VecDeque<AttemptId>,
    /// Start times of runs with `RunBehavior::Work`, whose run times are reported to the server.
    started_at: BTreeMap<AttemptId, Instant>,
}

impl State {
    fn next_notice(&mut self) -> NoticeNumber {
        self.last_notice += 1;
        NoticeNumber(self.last_notice)
    }

    /// Writes the event that a run has ended.
    fn end_run(&mut self, output: &mut Vec<u8>, attempt: AttemptId, end: RunOutcome) {
        let length = if end == RunOutcome::Completed { self.behavior.result } else { 0 };
        let run_time = self.started_at.remove(&attempt).map_or(SHORT_RUN, |at| at.elapsed());
        let notice = self.next_notice();
        worker_pool::write_run_finished(output, notice, attempt, end, run_time, &vec![b'r'; length]);
    }

    fn remove_running(&mut self, attempt: AttemptId) -> bool {
        let position = self.running.iter().position(|running| *running == attempt);
        position.and_then(|position| self.running.remove(position)).is_some()
    }

    fn send(&mut self, bytes: &[u8]) {
        if let Some(link) = self.link.as_mut().filter(|_| !bytes.is_empty()) {
            let _ = link.write_all(bytes);
        }
    }
}

/// A stub worker pool that serves one connection at a time.
#[derive(Clone)]
pub(crate) struct StubWorkerPool {
    state: Arc<Mutex<State>>,
    pub(crate) addr: SocketAddr,
}

impl StubWorkerPool {
    /// Starts a worker pool on a free port of this address.
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

    /// Changes the behavior for requests that are started from now on.
    pub(crate) fn set_behavior(&self, behavior: PoolBehavior) {
        self.state().behavior = behavior;
    }

    /// Whether a server is connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.state().link.is_some()
    }

    /// Number of runs in progress.
    pub(crate) fn running(&self) -> usize {
        self.state().running.len()
    }

    /// Ends the oldest run and returns its attempt id, or `None` if there is no run.
    pub(crate) fn finish_oldest(&self) -> Option<String> {
        let mut state = self.state();
        let mut bytes = Vec::new();
        let attempt = state.running.pop_front()?;
        state.end_run(&mut bytes, attempt, RunOutcome::Completed);
        state.send(&bytes);
        Some(attempt.to_string())
    }

    fn serve(&self, mut link: TcpStream) -> io::Result<()> {
        link.set_nodelay(true)?;
        self.state().link = Some(link.try_clone()?);
        let (mut input, mut chunk) = (Vec::new(), vec![0; 256 * 1024]);
        loop {
            let n = link.read(&mut chunk)?;
            if n == 0 {
                return Ok(());
            }
            input.extend_from_slice(&chunk[..n]);
            // Carries out all commands received before writing, so that their events go out in one write.
            let (mut output, mut consumed) = (Vec::new(), 0);
            loop {
                let mut receiver = CommandReceiver { pool: self, output: &mut output };
                let read = worker_pool::read_command(&input[consumed..], &mut receiver);
                match read.map_err(io::Error::other)? {
                    Some(length) => consumed += length,
                    None => break,
                }
            }
            input.drain(..consumed);
            self.state().send(&output);
        }
    }

    /// Starts the work of a run, after its call if it made one.
    fn run(&self, output: &mut Vec<u8>, attempt: AttemptId) {
        let mut state = self.state();
        match state.behavior.runs {
            RunBehavior::Immediate => state.end_run(output, attempt, RunOutcome::Completed),
            RunBehavior::OnDemand => state.running.push_back(attempt),
            RunBehavior::Work { span, cores } => {
                state.running.push_back(attempt);
                let slowdown = (state.running.len() as f64 / cores as f64).max(1.0);
                let pool = self.clone();
                thread::spawn(move || pool.end_after(span.mul_f64(slowdown), attempt));
            }
        }
    }

    fn end_after(&self, span: Duration, attempt: AttemptId) {
        thread::sleep(span);
        let mut state = self.state();
        if state.remove_running(attempt) {
            let mut bytes = Vec::new();
            state.end_run(&mut bytes, attempt, RunOutcome::Completed);
            state.send(&bytes);
        }
    }
}

/// Carries out commands and collects the resulting events.
struct CommandReceiver<'a> {
    pool: &'a StubWorkerPool,
    output: &'a mut Vec<u8>,
}

impl CommandHandler for CommandReceiver<'_> {
    fn bind(&mut self, _last: NoticeNumber) {
        worker_pool::write_bound(self.output, false, POOL_AGE);
    }
    fn start_run(&mut self, attempt: AttemptId, class: &str, _body: &[u8]) {
        let mut state = self.pool.state();
        if matches!(state.behavior.runs, RunBehavior::Work { .. }) {
            state.started_at.insert(attempt, Instant::now());
        }
        if state.behavior.calls && class == CLASS_WITH_CALL {
            let notice = state.next_notice();
            return worker_pool::write_run_blocked(self.output, notice, attempt, b"ask!");
        }
        drop(state);
        self.pool.run(self.output, attempt);
    }
    fn stop_run(&mut self, attempt: AttemptId) {
        let mut state = self.pool.state();
        if state.remove_running(attempt) {
            state.end_run(self.output, attempt, RunOutcome::Cancelled);
        }
    }
    fn deliver_call_result(&mut self, attempt: AttemptId, _reply: &[u8]) {
        self.pool.run(self.output, attempt);
    }
    fn skip_call(&mut self, attempt: AttemptId, _notice: NoticeNumber) {
        self.pool.run(self.output, attempt);
    }
    fn report_metrics(&mut self, tag: &str) {
        let running = self.pool.running() as f64;
        worker_pool::write_metrics(self.output, tag, &[0.5, running]);
    }
}

/// Starts an HTTP server that answers each request with this response after a pause.
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
        while let Some(request) = http::read_request(&input).map_err(io::Error::other)? {
            input.drain(..request.length);
            thread::sleep(pause);
            stream.write_all(response.as_bytes())?;
        }
    }
}

/// The index's response to every call.
pub(crate) const INDEX_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfound";
/// The membership service's response to every report.
pub(crate) const MEMBERSHIP_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";
