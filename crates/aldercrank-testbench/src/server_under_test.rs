//! The server under test: its configuration, its process, and measurements of the process from outside.

use crate::edge_client::EdgeConnection;
use crate::stub_services::{self, StubWorkerPool};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long a server may take to start and to exit, even on a slow machine.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The server build that is measured.
#[derive(Clone, Debug)]
pub(crate) enum Build {
    /// This repository's server, run in a testbench process that counts its allocations and copies.
    Counted,
    /// A server program, such as an earlier build.
    Program(PathBuf),
    /// Like `Counted`, under valgrind's callgrind, which writes its instruction counts to this file.
    Instructions(PathBuf),
}

/// Settings of the server that differ between measurements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSetup {
    pub(crate) cores: f64,
    pub(crate) memory_kb: f64,
    /// The slack of response times. Half of it is the tick of the admission module.
    pub(crate) slack: Duration,
    pub(crate) timeout: Duration,
    pub(crate) index_pause: Duration,
    /// The longest result in KB, if it differs from the server's default.
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
    /// The server's configuration file.
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
    /// The program with its subcommand that serves; the caller appends the configuration file.
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

/// Allocations, bytes allocated and bytes copied since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) allocations: u64,
    pub(crate) bytes: u64,
    pub(crate) copied: u64,
}

/// A server process with its stub services. Dropping it kills the process.
pub(crate) struct ServerUnderTest {
    child: Child,
    counts: Option<BufReader<ChildStdout>>,
    pub(crate) pool: StubWorkerPool,
    pub(crate) edge: SocketAddr,
    config: PathBuf,
}

/// A loopback address for one server and its stub services. Each has its own, so that no other server can take a port
/// between its choice and its use.
fn unused_address() -> String {
    static SERVERS: AtomicU32 = AtomicU32::new(1);
    let (pid, server) = (std::process::id() % 60_000, SERVERS.fetch_add(1, Ordering::Relaxed) % 250 + 1);
    format!("127.{}.{}.{server}", 16 + pid / 250, 1 + pid % 250)
}

impl ServerUnderTest {
    /// Starts the server with its stub services and waits until it serves.
    pub(crate) fn start(build: &Build, setup: &ServerSetup) -> io::Result<ServerUnderTest> {
        let ip = unused_address();
        let pool = StubWorkerPool::start(&ip)?;
        let index = stub_services::http(&ip, setup.index_pause, stub_services::INDEX_RESPONSE)?;
        let members = stub_services::http(&ip, Duration::ZERO, stub_services::MEMBERSHIP_RESPONSE)?;
        let edge = TcpListener::bind((&ip[..], 0))?.local_addr()?;
        let config = setup.configuration(&Addresses { listen: edge, pool: pool.addr, members, index });
        let file = format!("aldercrank-testbench-{}-{}.json", std::process::id(), edge.port());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, config.to_string())?;
        let mut command = build.command()?;
        // An earlier build may not support the service file, so it is passed only if the case needs it.
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
        server.wait_until_ready()?;
        Ok(server)
    }

    /// Waits until the server listens and is connected to its worker pool.
    fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                let why = format!(
                    "the server exited with {status}; run `aldercrank check-config` on its configuration"
                );
                return Err(io::Error::other(why));
            }
            // The server rejects all requests until it is connected to its worker pool.
            if EdgeConnection::connect(self.edge).is_ok() && self.pool.is_connected() {
                std::thread::sleep(Duration::from_millis(100));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the server was not ready within 30 s"))
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// CPU time of the main thread, which serves, since its start.
    pub(crate) fn cpu_time(&self) -> io::Result<Duration> {
        let path = format!("/proc/{0}/task/{0}/schedstat", self.pid());
        let text = std::fs::read_to_string(path)?;
        let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
        ns.map(Duration::from_nanos)
            .ok_or_else(|| io::Error::other("no CPU time in /proc/PID/task/PID/schedstat"))
    }

    /// Peak resident memory in KB.
    pub(crate) fn peak_kb(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        kb.ok_or_else(|| io::Error::other("no VmHWM in /proc/PID/status"))
    }

    /// Sends SIGTERM and waits until the process exits.
    pub(crate) fn end(&mut self) -> io::Result<()> {
        let pid = nix::unistd::Pid::from_raw(self.pid() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM)?;
        let until = Instant::now() + READY_TIMEOUT;
        while self.child.try_wait()?.is_none() {
            if Instant::now() > until {
                return Err(io::Error::other("the server did not exit within 30 s of SIGTERM"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// The counts so far; `None` unless the build is `Counted`.
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
            _ => Err(io::Error::other("no counts from the counted server: it has exited")),
        }
    }
}

impl Drop for ServerUnderTest {
    fn drop(&mut self) {
        // Errors are ignored: a tracer may already have waited for the process.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.config.with_extension("kdl"));
    }
}

/// The server program in the directory of this program.
pub(crate) fn program_beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().unwrap_or(Path::new(".")).join("aldercrank")
}
