//! The server under test: its configuration, its process, and what can be read of it from outside.

use crate::edge_client::EdgeConnection;
use crate::stub_services::{self, StubWorkerPool};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long a server has to come up, and to end, however slow its machine is made.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// What is measured.
#[derive(Clone, Debug)]
pub(crate) enum Build {
    /// This repository's server in a process of the testbench's, with its heap and copies counted.
    Counted,
    /// A program that serves a configuration, such as an earlier build.
    Program(PathBuf),
    /// As `Counted`, under valgrind's callgrind, which counts instructions into a file.
    Instructions(PathBuf),
}

/// What the server is configured with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSetup {
    pub(crate) cores: f64,
    pub(crate) memory_kb: f64,
    /// Slack of response times; half of it is the module's tick.
    pub(crate) slack: Duration,
    pub(crate) timeout: Duration,
    pub(crate) index_pause: Duration,
    /// The longest result, where it is not the server's own bound.
    pub(crate) result_kb: Option<usize>,
}

/// Where the server listens and what it connects to.
struct Addresses {
    listen: SocketAddr,
    pool: SocketAddr,
    members: SocketAddr,
    index: SocketAddr,
}

impl ServerSetup {
    /// The configuration file's JSON, under the operators' names.
    fn configuration(&self, at: &Addresses) -> serde_json::Value {
        let us = |span: Duration| span.as_micros() as u64;
        let class = |name: &str, effect: &str| {
            serde_json::json!({"name": name, "effect": effect, "goal_time": us(self.timeout / 2),
                "give_up": us(self.timeout), "points": 1.0, "late_worth": 0.2,
                "window": us(self.timeout * 2)})
        };
        serde_json::json!({
            "name": "lab", "listen": at.listen, "pool": at.pool, "members": at.members, "index": at.index,
            "seed": "1", "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 8192},
            "settings": {
                "family_info": {"cores": self.cores, "memory_kb": self.memory_kb, "run_factor": 2.0,
                    "key_kb": 0.1, "cold": false, "advert": "share_of", "halt": "abort", "calls_out": 500.0,
                    "calls_over": 5_000_000, "linger": 0, "fresh_for": 0, "idle": 600_000_000, "upstreams": 1,
                    "class_calls": [true, false], "worth_without": [0.0, 0.0],
                    "meters": ["cpu_busy", "runnable"]},
                "limits": {"retry_after": true, "max_retry_after": 1_000_000},
                "rules": {"answer_slack": us(self.slack), "cold_from": 0.25, "warm_after": 1_000_000,
                    "fall_multiple": 5.0, "stop_sending_within": 1_000_000},
                "profiles": [class("map-extract", "retryable"), class("licence-buy", "dedup")]}})
    }
}

impl Build {
    /// The program and the command by which it serves; the configuration follows.
    fn command(&self) -> io::Result<Command> {
        let own = std::env::current_exe()?;
        let mut command = match self {
            Build::Counted => Command::new(own),
            Build::Program(program) => Command::new(program),
            Build::Instructions(into) => {
                let mut command = Command::new("valgrind");
                let into = format!("--callgrind-out-file={}", into.display());
                command.args(["--tool=callgrind", &into]).arg(own);
                command
            }
        };
        command.arg(if matches!(self, Build::Program(_)) { "serve" } else { "counted" });
        Ok(command)
    }
}

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) allocations: u64,
    pub(crate) bytes: u64,
    pub(crate) copied: u64,
}

/// A server process with its stub services; it is killed when this is dropped.
pub(crate) struct ServerUnderTest {
    child: Child,
    counts: Option<BufReader<ChildStdout>>,
    pub(crate) pool: StubWorkerPool,
    pub(crate) edge: SocketAddr,
    config: PathBuf,
}

/// Each run has a loopback address of its own, so that a port that is free for a moment is no other's.
fn address() -> String {
    static RUNS: AtomicU32 = AtomicU32::new(1);
    let (pid, run) = (std::process::id() % 60_000, RUNS.fetch_add(1, Ordering::Relaxed) % 250 + 1);
    format!("127.{}.{}.{run}", 16 + pid / 250, 1 + pid % 250)
}

impl ServerUnderTest {
    /// Starts the server with its stub services and waits until it serves.
    pub(crate) fn start(build: &Build, setup: &ServerSetup) -> io::Result<ServerUnderTest> {
        let ip = address();
        let pool = StubWorkerPool::start(&ip)?;
        let index = stub_services::http(&ip, setup.index_pause, stub_services::FOUND)?;
        let members = stub_services::http(&ip, Duration::ZERO, stub_services::LISTED)?;
        let edge = TcpListener::bind((&ip[..], 0))?.local_addr()?;
        let config = setup.configuration(&Addresses { listen: edge, pool: pool.addr, members, index });
        let file = format!("aldercrank-testbench-{}-{}.json", std::process::id(), edge.port());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, config.to_string())?;
        let mut command = build.command()?;
        // An earlier build may not know the service file; it gets one only where the case needs it.
        let service = path.with_extension("kdl");
        if let Some(kb) = setup.result_kb {
            std::fs::write(&service, format!("results {{\n    longest-kb {kb}\n}}\n"))?;
            command.arg("--service").arg(&service);
        }
        command.arg(&path);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()?;
        let stdout = child.stdout.take().map(BufReader::new);
        let counts = stdout.filter(|_| matches!(build, Build::Counted));
        let mut server = ServerUnderTest { child, counts, pool, edge, config: path };
        server.ready()?;
        Ok(server)
    }

    /// Waits until it serves.
    fn ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                let why = format!("the server has ended with {status}: try check-config on its file");
                return Err(io::Error::other(why));
            }
            // Connected to its worker pool it runs requests; before that it rejects all.
            if EdgeConnection::connect(self.edge).is_ok() && self.pool.is_connected() {
                std::thread::sleep(Duration::from_millis(100));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the server does not listen after half a minute"))
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Time on a core so far, of the thread that serves.
    pub(crate) fn cpu_time(&self) -> io::Result<Duration> {
        let path = format!("/proc/{0}/task/{0}/schedstat", self.pid());
        let text = std::fs::read_to_string(path)?;
        let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
        ns.map(Duration::from_nanos).ok_or_else(|| io::Error::other("no time in schedstat"))
    }

    /// The most memory that it has had resident, in KB.
    pub(crate) fn peak_kb(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        kb.ok_or_else(|| io::Error::other("no peak in status"))
    }

    /// Sends SIGTERM and waits for its end.
    pub(crate) fn end(&mut self) -> io::Result<()> {
        let pid = nix::unistd::Pid::from_raw(self.pid() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM)?;
        let until = Instant::now() + READY_TIMEOUT;
        while self.child.try_wait()?.is_none() {
            if Instant::now() > until {
                return Err(io::Error::other("the server does not end after SIGTERM"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Its counts; nothing for a program that does not count.
    pub(crate) fn counts(&mut self) -> io::Result<Option<Counts>> {
        let Some(from) = &mut self.counts else { return Ok(None) };
        if let Some(to) = &mut self.child.stdin {
            to.write_all(b"\n")?;
        }
        let mut line = String::new();
        from.read_line(&mut line)?;
        let n: Vec<u64> = line.split_whitespace().filter_map(|n| n.parse().ok()).collect();
        match n[..] {
            [allocations, bytes, copied] => Ok(Some(Counts { allocations, bytes, copied })),
            _ => Err(io::Error::other("the counted server has ended")),
        }
    }
}

impl Drop for ServerUnderTest {
    fn drop(&mut self) {
        // A tracer may have taken its end already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.config.with_extension("kdl"));
    }
}

/// The program beside this one.
pub(crate) fn program_beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().unwrap_or(Path::new(".")).join("aldercrank")
}
