//! Runs the program as a process on loopback addresses, with stubs of the services that it uses.

use crate::codecs::request_message;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum time that a test waits for anything.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Listens on a free port of this IP address.
pub fn listen(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Returns an address on which no socket listens or has listened. A child process that another test starts inherits
/// open sockets for a moment, so a closed listener could still accept a connection or keep the program from listening.
pub fn unused_address(ip: &str) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&format!("{ip}:0").parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// Listens on an address that was unreachable before. Retries, since a child process of another test may have a socket
/// open on it for a moment longer.
pub fn listen_again(addr: SocketAddr) -> TcpListener {
    let until = Instant::now() + TIMEOUT;
    loop {
        match TcpListener::bind(addr) {
            Ok(listener) => return listener,
            Err(e) => assert!(Instant::now() < until, "{e}"),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the next connection to this listener, or none if there is none within `timeout`.
pub fn accept_within(listener: &TcpListener, timeout: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let until = Instant::now() + timeout;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(timeout)).unwrap();
                return Some(stream);
            }
            Err(_) if Instant::now() >= until => return None,
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
}

/// The worker pool's end of a link, operated by the test.
pub struct PoolConnection {
    pub reader: BufReader<TcpStream>,
}

impl PoolConnection {
    pub fn accept(listener: &TcpListener) -> PoolConnection {
        let stream = accept_within(listener, TIMEOUT).expect("the program never connected to its pool");
        PoolConnection { reader: BufReader::new(stream) }
    }

    /// Writes to the program.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Returns the next command with its payload. Panics if the link is closed.
    pub fn next_command(&mut self) -> (Vec<String>, Vec<u8>) {
        self.command().expect("the link has closed")
    }

    /// Returns the words of the next line, or none once the link is closed.
    fn read_line(&mut self) -> Option<Vec<String>> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).unwrap_or(0);
        (read > 0).then(|| line.split_whitespace().map(str::to_string).collect())
    }

    fn answer_poll(&mut self, tag: &str) {
        self.send(&format!("polled {tag} 0.1 1 0.2 3\r\n"));
    }

    /// Reads the payload that follows the command, if it has one.
    fn read_payload(&mut self, words: &[String]) -> Vec<u8> {
        if words[0] != "spawn" && words[0] != "supply" {
            return Vec::new();
        }
        let mut bytes = vec![0; words.last().unwrap().parse::<usize>().unwrap() + 2];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes.truncate(bytes.len() - 2);
        bytes
    }

    /// Completes every run with the same result until the link is closed.
    pub fn serve(mut self, result: &[u8]) {
        let mut notice = 0;
        while let Some((words, _)) = self.command() {
            if words[0] == "spawn" {
                notice += 1;
                self.finish(notice, &words[1], result);
            }
        }
    }

    /// Returns the next command with its payload, or none once the link is closed. Answers polls, and skips them.
    pub fn command(&mut self) -> Option<(Vec<String>, Vec<u8>)> {
        let until = Instant::now() + TIMEOUT;
        loop {
            let words = self.read_line()?;
            assert!(Instant::now() < until, "no command other than polls");
            if words[0] != "poll" {
                let bytes = self.read_payload(&words);
                return Some((words, bytes));
            }
            self.answer_poll(&words[1]);
        }
    }

    /// Expects the link to be bound from the notice `last`, and reports a warm pool of this age in seconds.
    pub fn bind(&mut self, last: &str, age: &str) {
        assert_eq!(self.next_command().0, ["bind", last]);
        self.send(&format!("bound warm {age}\r\n"));
    }

    /// Expects the start command of this attempt next, and completes its run.
    pub fn complete_next_run(&mut self, notice: u32, number: u32, result: &[u8]) {
        assert_eq!(self.next_command().0[1], attempt(number));
        self.finish(notice, &attempt(number), result);
    }

    /// Completes a run with the notice of this number.
    pub fn finish(&mut self, notice: u32, attempt: &str, result: &[u8]) {
        self.send(&format!("finished {notice} {attempt} ok 20.5 {}\r\n", result.len()));
        self.reader.get_mut().write_all(result).unwrap();
        self.send("\r\n");
    }
}

/// Serves HTTP: forwards each request to `requests` and responds with what `answer` returns, or closes the connection
/// if that is none.
pub fn serve_http(
    listener: TcpListener,
    requests: Sender<String>,
    answer: impl Fn(&str) -> Option<String> + Send + 'static + Clone,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, requests, answer) = (stream.unwrap(), requests.clone(), answer.clone());
            std::thread::spawn(move || {
                let mut buf = Vec::new();
                loop {
                    let mut chunk = [0; 4096];
                    let n = stream.read(&mut chunk).unwrap_or(0);
                    if n == 0 {
                        return;
                    }
                    buf.extend(&chunk[..n]);
                    let text = String::from_utf8_lossy(&buf).to_string();
                    let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
                    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap();
                    if body.len() < length.parse().unwrap() {
                        continue;
                    }
                    let _ = requests.send(text.clone());
                    buf.clear();
                    match answer(&text) {
                        Some(reply) => stream.write_all(reply.as_bytes()).unwrap(),
                        None => return,
                    }
                }
            });
        }
    });
}

/// Starts the program as the platform does, by a shell script that ends in `exec`.
fn spawn_program(script: &str, config: &std::path::Path) -> Child {
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", script, env!("CARGO_BIN_EXE_aldercrank")]);
    shell.env("ROUTER_CONFIG", config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    shell.spawn().unwrap()
}

/// A running program with its stubs. Killed on drop.
pub struct Program {
    /// The configuration that it was started with.
    pub configuration: serde_json::Value,
    script: String,
    pub child: Child,
    pub edge: SocketAddr,
    pub pool: TcpListener,
    /// The requests that the upstream dependency received.
    pub calls: Receiver<String>,
    /// The requests that the membership service received.
    pub reports: Receiver<String>,
    pub config: std::path::PathBuf,
    /// The stubs that were not started, upstream dependency first, then membership service: the address of each, and
    /// where to send the requests that it receives.
    pub unstarted_stubs: Vec<(SocketAddr, Sender<String>)>,
}

impl Program {
    /// Starts the program; the upstream dependency responds with `answer`.
    pub fn start(answer: impl Fn(&str) -> Option<String> + Send + 'static + Clone) -> Program {
        Program::start_with_stubs(Some(answer))
    }

    /// Starts the program. Without `answer`, the upstream dependency and the membership service are unreachable.
    pub fn start_with_stubs(
        answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>,
    ) -> Program {
        Program::start_with(answer, |_| ())
    }

    /// Starts the program as `start_with_stubs` does, with a changed configuration.
    pub fn start_with(
        answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>,
        change: impl Fn(&mut serde_json::Value),
    ) -> Program {
        Program::launch("exec \"$0\" serve", answer, change)
    }

    /// Starts the program as `start_with` does, with `sockets` as the system's limit on descriptors and the configured
    /// limit on sockets.
    pub fn start_with_descriptor_limit(
        answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>,
        change: impl Fn(&mut serde_json::Value),
        sockets: usize,
    ) -> Program {
        let script = format!("ulimit -n {sockets} && exec \"$0\" serve");
        Program::launch(&script, answer, |config| {
            change(config);
            config["limits"]["sockets"] = sockets.into();
        })
    }

    /// Starts the program as `start` does, with this service file.
    pub fn start_with_service(
        service: &std::path::Path,
        answer: impl Fn(&str) -> Option<String> + Send + 'static + Clone,
    ) -> Program {
        let script = format!("exec \"$0\" serve --service '{}'", service.display());
        Program::launch(&script, Some(answer), |_| ())
    }

    fn launch(
        script: &str,
        answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>,
        change: impl Fn(&mut serde_json::Value),
    ) -> Program {
        // Each program has its own loopback address, so that tests can't take one another's ports.
        static PROGRAMS: AtomicU32 = AtomicU32::new(1);
        let (pid, number) = (std::process::id() % 60_000, PROGRAMS.fetch_add(1, Ordering::Relaxed));
        let ip = format!("127.{}.{}.{number}", 16 + pid / 250, 1 + pid % 250);
        let ((pool, pool_addr), (index, index_addr), (members, members_addr)) =
            (listen(&ip), listen(&ip), listen(&ip));
        // Chosen last: a listener could otherwise get the same port.
        let edge = unused_address(&ip);
        let ((call_sender, calls), (report_sender, reports)) = (channel(), channel());
        let mut unstarted_stubs = Vec::new();
        match answer {
            Some(answer) => {
                serve_http(index, call_sender, answer);
                serve_http(members, report_sender, report_accepted);
            }
            None => unstarted_stubs = vec![(index_addr, call_sender), (members_addr, report_sender)],
        }
        let class = |name: &str, effect: &str| {
            serde_json::json!({"name": name, "effect": effect, "goal_time": 2000000, "give_up": 5000000,
                "points": 1.0, "window": 9000000})
        };
        let mut config = serde_json::json!({
            "name": "n1", "listen": edge, "pool": pool_addr, "members": members_addr, "index": index_addr,
            "seed": "1", "stop_ms": 1500, "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
            "settings": {
                "family_info": {"cores": 20, "memory_kb": 9000.0, "run_factor": 4.0, "advert": "share_of",
                    "idle": 400000, "halt": "abort", "calls_out": 4.0, "meters": ["cpu_busy", "runnable"]},
                "rules": {"answer_slack": 60000, "fall_multiple": 5.0, "stop_sending_within": 300000},
                "profiles": [class("map", "retryable"), class("buy", "dedup")]}});
        change(&mut config);
        // The file is named by the program's number, since programs on different addresses may have the same port.
        let file = format!("aldercrank-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, config.to_string()).unwrap();
        let child = spawn_program(script, &path);
        Program {
            configuration: config,
            script: script.to_string(),
            child,
            edge,
            pool,
            calls,
            reports,
            config: path,
            unstarted_stubs,
        }
    }

    /// Kills the program and starts it again with the same name and addresses.
    pub fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn_program(&self.script, &self.config);
    }

    /// Suspends the process until `resume`. What arrives meanwhile stays in its sockets' buffers.
    pub fn pause(&self) {
        self.signal("-STOP");
        let status = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + TIMEOUT;
        while !std::fs::read_to_string(&status).unwrap().contains(") T ") {
            assert!(Instant::now() < until, "the process was not suspended");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns how often the process has blocked so far: its voluntary context switches.
    pub fn voluntary_context_switches(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("voluntary_ctxt_switches:")).unwrap();
        line.trim().parse().unwrap()
    }

    /// Returns the process's resident memory in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Binds the program's link to the pool, waits until it reports that it serves, and returns the link.
    pub fn wait_until_serving(&mut self) -> PoolConnection {
        let mut pool = PoolConnection::accept(&self.pool);
        pool.bind("0", "3.5");
        assert!(self.reports.recv_timeout(TIMEOUT).unwrap().ends_with("{\"phase\":\"UP\"}"));
        pool
    }

    /// Connects as an edge node, once the program listens.
    pub fn connect(&self) -> EdgeConnection {
        let until = Instant::now() + TIMEOUT;
        loop {
            match TcpStream::connect(self.edge) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                    return EdgeConnection(stream);
                }
                Err(e) => assert!(Instant::now() < until, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Connects with a small receive buffer, so that responses that are not read stay with the server.
    pub fn connect_slow(&self) -> EdgeConnection {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(1024).unwrap();
        socket.connect(&self.edge.into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        EdgeConnection(stream)
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    pub fn send_sigterm(&mut self) {
        self.signal("-TERM");
    }

    /// Writes the configuration with these addresses changed, and has the program reload it.
    pub fn reload(&self, addrs: &[(&str, SocketAddr)]) {
        let mut config = self.configuration.clone();
        addrs.iter().for_each(|(field, addr)| config[*field] = serde_json::json!(addr));
        std::fs::write(&self.config, config.to_string()).unwrap();
        self.signal("-HUP");
    }

    /// Waits until the program has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < until, "the program is still running");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Returns the Unix time in milliseconds, as fields of requests have it.
pub fn unix_time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Encodes a request that arrives now, as an edge node does.
pub fn request(id: u32, class: &str, attempt: &str, token: Option<&str>, body: &[u8]) -> Vec<u8> {
    let t0 = unix_time_ms().to_string();
    let mut fields = vec![("rid", attempt), ("t0", &t0), ("peer", "4"), ("budget", "3000"), ("mem", "24.5")];
    fields.push(("prio", "0.9"));
    fields.extend(token.map(|t| ("token", t)));
    request_message(id, class, &fields, body)
}

/// A connection of an edge node.
pub struct EdgeConnection(pub TcpStream);

impl EdgeConnection {
    /// Sends a request.
    pub fn send_request(&mut self, id: u32, class: &str, attempt: &str, token: Option<&str>, body: &[u8]) {
        self.0.write_all(&request(id, class, attempt, token, body)).unwrap();
    }

    /// Reads until all these parts have arrived one after the other. Returns all bytes read.
    pub fn read_until(&mut self, parts: &[&[u8]]) -> Vec<u8> {
        let mut all = Vec::new();
        loop {
            let mut at = 0;
            let found = parts.iter().all(|part| {
                let here = all[at..].windows(part.len()).position(|w: &[u8]| w == *part);
                at += here.map_or(0, |h| h + part.len());
                here.is_some()
            });
            if found {
                return all;
            }
            let mut chunk = [0; 4096];
            let n = self.0.read(&mut chunk).unwrap();
            assert!(n > 0, "closed after {all:?}");
            all.extend(&chunk[..n]);
        }
    }

    /// Reads until the server closes the connection. Returns all bytes read.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        self.0.read_to_end(&mut all).unwrap();
        all
    }
}

/// Counts the responses to requests in these bytes.
pub fn count_responses(bytes: &[u8]) -> usize {
    bytes.windows(2).filter(|w| *w == [0x94, 1]).count()
}

/// Returns the attempt id with this number.
pub fn attempt(n: u32) -> String {
    format!("{n:016x}")
}

/// Returns the membership service's response to a report.
pub fn report_accepted(_: &str) -> Option<String> {
    Some("HTTP/1.1 204 No Content\r\n\r\n".to_string())
}

/// Returns a successful HTTP response with this body.
pub fn ok(body: &str) -> Option<String> {
    Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}
