//! The program as a process on loopback, between small stand-ins for the parties that it speaks to: how tests start
//! it, speak to it and stop it.

use crate::codecs::call;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const LONG: Duration = Duration::from_secs(10);

pub fn listen(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// A place where nobody listens, nor has: a child that another test starts holds what is open here for a moment,
/// and would take a connection, or keep the program from listening.
pub fn free(ip: &str) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&format!("{ip}:0").parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// Where a party was away; another test's child may hold the place for a moment yet.
pub fn back(addr: SocketAddr) -> TcpListener {
    let until = Instant::now() + LONG;
    loop {
        match TcpListener::bind(addr) {
            Ok(listener) => return listener,
            Err(e) => assert!(Instant::now() < until, "{e}"),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The next that comes to this place, or nothing after so long: a test must not wait for ever.
pub fn within(listener: &TcpListener, span: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let until = Instant::now() + span;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(span)).unwrap();
                return Some(stream);
            }
            Err(_) if Instant::now() >= until => return None,
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
}

/// One link of the program to the worker pool, as the test plays it.
pub struct PoolEnd {
    pub reader: BufReader<TcpStream>,
}

impl PoolEnd {
    pub fn accept(listener: &TcpListener) -> PoolEnd {
        let stream = within(listener, LONG).expect("the program never dialled its pool");
        PoolEnd { reader: BufReader::new(stream) }
    }

    pub fn say(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn next(&mut self) -> (Vec<String>, Vec<u8>) {
        self.command().expect("the link has closed")
    }

    fn word(&mut self) -> Option<Vec<String>> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).unwrap_or(0);
        (read > 0).then(|| line.split_whitespace().map(str::to_string).collect())
    }

    fn load_metrics(&mut self, tag: &str) {
        self.say(&format!("polled {tag} 0.1 1 0.2 3\r\n"));
    }

    fn bytes_of(&mut self, words: &[String]) -> Vec<u8> {
        if words[0] != "spawn" && words[0] != "supply" {
            return Vec::new();
        }
        let mut bytes = vec![0; words.last().unwrap().parse::<usize>().unwrap() + 2];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes.truncate(bytes.len() - 2);
        bytes
    }

    /// Runs all that comes, with the same result.
    pub fn serve(mut self, result: &[u8]) {
        let mut notice = 0;
        while let Some((words, _)) = self.command() {
            if words[0] == "spawn" {
                notice += 1;
                self.finish(notice, &words[1], result);
            }
        }
    }

    /// The next command but polls, which are answered on the way; with the bytes that it carries.
    pub fn command(&mut self) -> Option<(Vec<String>, Vec<u8>)> {
        let until = Instant::now() + LONG;
        loop {
            let words = self.word()?;
            assert!(Instant::now() < until, "nothing but polls");
            if words[0] != "poll" {
                let bytes = self.bytes_of(&words);
                return Some((words, bytes));
            }
            self.load_metrics(&words[1]);
        }
    }

    pub fn bound(&mut self, last: &str, age: &str) {
        assert_eq!(self.next().0, ["bind", last]);
        self.say(&format!("bound warm {age}\r\n"));
    }

    /// The next command has to be the word to run this one, which ends well.
    pub fn runs(&mut self, notice: u32, number: u32, result: &[u8]) {
        assert_eq!(self.next().0[1], attempt(number));
        self.finish(notice, &attempt(number), result);
    }

    pub fn finish(&mut self, notice: u32, attempt: &str, result: &[u8]) {
        self.say(&format!("finished {notice} {attempt} ok 20.5 {}\r\n", result.len()));
        self.reader.get_mut().write_all(result).unwrap();
        self.say("\r\n");
    }
}

/// Takes HTTP requests, one after another on each connection, and answers as it is told.
pub fn http(
    listener: TcpListener,
    said: Sender<String>,
    answer: impl Fn(&str) -> Option<String> + Send + 'static + Clone,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, said, answer) = (stream.unwrap(), said.clone(), answer.clone());
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
                    let _ = said.send(text.clone());
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

/// Starts the program as the platform does, by a line for the shell that ends in `exec`.
fn launch(script: &str, config: &std::path::Path) -> Child {
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", script, env!("CARGO_BIN_EXE_aldercrank")]);
    shell.env("ROUTER_CONFIG", config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    shell.spawn().unwrap()
}

pub struct Program {
    pub told: serde_json::Value,
    script: String,
    pub child: Child,
    pub edge: SocketAddr,
    pub pool: TcpListener,
    pub calls: Receiver<String>,
    pub reports: Receiver<String>,
    pub config: std::path::PathBuf,
    /// Parties that are away: where they would be.
    pub away: Vec<(SocketAddr, Sender<String>)>,
}

impl Program {
    pub fn start(answer: impl Fn(&str) -> Option<String> + Send + 'static + Clone) -> Program {
        Program::begin(Some(answer))
    }

    /// Without an answer index and membership service are away.
    pub fn begin(answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>) -> Program {
        Program::told(answer, |_| ())
    }

    /// The same, told something else in its configuration.
    pub fn told(
        answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>,
        change: impl Fn(&mut serde_json::Value),
    ) -> Program {
        Program::by("exec \"$0\" serve", answer, change)
    }

    /// The same, with the system's own limit on descriptors set to what the configuration tells.
    pub fn limited(
        answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>,
        change: impl Fn(&mut serde_json::Value),
        sockets: usize,
    ) -> Program {
        let script = format!("ulimit -n {sockets} && exec \"$0\" serve");
        Program::by(&script, answer, |config| {
            change(config);
            config["limits"]["sockets"] = sockets.into();
        })
    }

    fn by(
        script: &str,
        answer: Option<impl Fn(&str) -> Option<String> + Send + 'static + Clone>,
        change: impl Fn(&mut serde_json::Value),
    ) -> Program {
        // Each on a loopback address of its own, so that no port that is free for a moment is another's.
        static PROGRAMS: AtomicU32 = AtomicU32::new(1);
        let (pid, number) = (std::process::id() % 60_000, PROGRAMS.fetch_add(1, Ordering::Relaxed));
        let ip = format!("127.{}.{}.{number}", 16 + pid / 250, 1 + pid % 250);
        let (edge, (pool, pool_addr), (index, index_addr), (members, members_addr)) =
            (free(&ip), listen(&ip), listen(&ip), listen(&ip));
        let ((say_call, calls), (say_report, reports)) = (channel(), channel());
        let mut away = Vec::new();
        match answer {
            Some(answer) => {
                http(index, say_call, answer);
                http(members, say_report, listed);
            }
            None => away = vec![(index_addr, say_call), (members_addr, say_report)],
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
        let path =
            std::env::temp_dir().join(format!("aldercrank-{}-{}.json", std::process::id(), edge.port()));
        std::fs::write(&path, config.to_string()).unwrap();
        let child = launch(script, &path);
        Program {
            told: config,
            script: script.to_string(),
            child,
            edge,
            pool,
            calls,
            reports,
            config: path,
            away,
        }
    }

    /// Killed outright and started again, under the same name and at the same places.
    pub fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = launch(&self.script, &self.config);
    }

    /// Stands still from here on: what comes meanwhile is there at once when it goes on.
    pub fn pause(&self) {
        self.signal("-STOP");
        let status = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + LONG;
        while !std::fs::read_to_string(&status).unwrap().contains(") T ") {
            assert!(Instant::now() < until, "does not stand still");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// How often it has gone to sleep so far.
    pub fn sleeps(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("voluntary_ctxt_switches:")).unwrap();
        line.trim().parse().unwrap()
    }

    /// Serving, with its link to the pool.
    pub fn serving(&mut self) -> PoolEnd {
        let mut pool = PoolEnd::accept(&self.pool);
        pool.bound("0", "3.5");
        assert!(self.reports.recv_timeout(LONG).unwrap().ends_with("{\"phase\":\"UP\"}"));
        pool
    }

    pub fn connect(&self) -> Edge {
        let until = Instant::now() + LONG;
        loop {
            match TcpStream::connect(self.edge) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(LONG)).unwrap();
                    return Edge(stream);
                }
                Err(e) => assert!(Instant::now() < until, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// A connection whose reader takes little at a time: what is not read stays with the server.
    pub fn connect_slow(&self) -> Edge {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(1024).unwrap();
        socket.connect(&self.edge.into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(LONG)).unwrap();
        Edge(stream)
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    pub fn term(&mut self) {
        self.signal("-TERM");
    }

    /// The file as it was told, with these addresses in it, and the word that it is new.
    pub fn reload(&self, addrs: &[(&str, SocketAddr)]) {
        let mut told = self.told.clone();
        addrs.iter().for_each(|(field, addr)| told[*field] = serde_json::json!(addr));
        std::fs::write(&self.config, told.to_string()).unwrap();
        self.signal("-HUP");
    }

    pub fn ended(&mut self) -> ExitStatus {
        let until = Instant::now() + LONG;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < until, "still up");
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

/// A request that came to the machine now, as an edge node writes it.
pub fn request(id: u32, class: &str, attempt: &str, token: Option<&str>, body: &[u8]) -> Vec<u8> {
    let t0 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string();
    let mut fields = vec![("rid", attempt), ("t0", &t0), ("peer", "4"), ("budget", "3000"), ("mem", "24.5")];
    fields.push(("prio", "0.9"));
    fields.extend(token.map(|t| ("token", t)));
    call(id, class, &fields, body)
}

pub struct Edge(pub TcpStream);

impl Edge {
    pub fn ask(&mut self, id: u32, class: &str, attempt: &str, token: Option<&str>, body: &[u8]) {
        self.0.write_all(&request(id, class, attempt, token, body)).unwrap();
    }

    /// Reads until all these parts have come, one after the other; gives what came.
    pub fn hears(&mut self, parts: &[&[u8]]) -> Vec<u8> {
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

    pub fn closes(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        self.0.read_to_end(&mut all).unwrap();
        all
    }
}

/// How many answers to calls these bytes hold.
pub fn answers(bytes: &[u8]) -> usize {
    bytes.windows(2).filter(|w| *w == [0x94, 1]).count()
}

pub fn attempt(n: u32) -> String {
    format!("{n:016x}")
}

pub fn listed(_: &str) -> Option<String> {
    Some("HTTP/1.1 204 No Content\r\n\r\n".to_string())
}

pub fn ok(body: &str) -> Option<String> {
    Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}
