//! The network between zones, the membership service and the shared index.

use crate::{sleep_ms, Record};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A link that can be cut. While it is cut, bytes wait, as they do in the buffers of two hosts between which no packet
/// gets through; nothing is lost and nothing is reset.
#[derive(Default)]
pub struct Link {
    cut: AtomicBool,
}

impl Link {
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

/// How long bytes take from one zone to another, in milliseconds.
const CROSSING_MS: u64 = 2;

/// Relays connections to `target` over `link`. Returns the address to connect to.
pub fn relay(target: SocketAddr, link: Arc<Link>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let link = link.clone();
            std::thread::spawn(move || {
                // A connection that is begun while the link is cut is made once it is whole again, unless the client
                // has given it up by then.
                let mut waited = false;
                while link.is_cut() {
                    waited = true;
                    sleep_ms(2);
                }
                if waited && has_closed(&client) {
                    return;
                }
                let Ok(server) = TcpStream::connect(target) else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else {
                    return;
                };
                let other = link.clone();
                std::thread::spawn(move || pump(from_client, to_server, &other));
                pump(server, client, &link);
            });
        }
    });
    Ok(address)
}

fn has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    // The client may have written before it closed.
    let mut bytes = [0; 65536];
    let closed = match stream.peek(&mut bytes) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link) {
    let mut bytes = [0; 16384];
    loop {
        let read = from.read(&mut bytes);
        while link.is_cut() {
            sleep_ms(2);
        }
        sleep_ms(CROSSING_MS);
        match read {
            Ok(length) if length > 0 => {
                if to.write_all(&bytes[..length]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Ok(_) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Reads one HTTP request: its first line, headers and body.
fn read_http(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut bytes = [0; 8192];
    loop {
        if let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = head
                .lines()
                .find_map(|line| {
                    line.to_ascii_lowercase().strip_prefix("content-length:").map(str::to_string)
                })
                .and_then(|text| text.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut bytes) {
            Ok(length) if length > 0 => input.extend_from_slice(&bytes[..length]),
            _ => return None,
        }
    }
}

#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    up: bool,
}

/// The membership service. An entry lapses 3 s after the last report.
pub struct Members {
    reports: Mutex<HashMap<String, Vec<Change>>>,
}

/// How long after its last report an entry lapses.
const LAPSE: Duration = Duration::from_secs(3);

impl Members {
    pub fn start(record: Arc<Record>) -> std::io::Result<(Arc<Members>, SocketAddr)> {
        let members = Arc::new(Members { reports: Mutex::new(HashMap::new()) });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = members.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (members, record) = (shared.clone(), record.clone());
                std::thread::spawn(move || {
                    let mut input = Vec::new();
                    while let Some((head, body)) = read_http(&mut stream, &mut input) {
                        let first = head.lines().next().unwrap_or_default().to_string();
                        let path = first.split(' ').nth(1).unwrap_or_default();
                        let name = path.trim_start_matches("/members/").to_string();
                        let up = String::from_utf8_lossy(&body).contains("\"UP\"");
                        let phase = if up { "UP" } else { "OUT" };
                        record.line(&format!("members: report of {name}: {phase}"));
                        if let Ok(mut reports) = members.reports.lock() {
                            reports.entry(name).or_default().push(Change { at: Instant::now(), up });
                        }
                        let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                    }
                });
            }
        });
        Ok((members, address))
    }

    /// Whether the list had this server as taking work at that time.
    pub fn listed(&self, name: &str, at: Instant) -> bool {
        let Ok(reports) = self.reports.lock() else { return false };
        let Some(changes) = reports.get(name) else { return false };
        let last = changes.iter().rev().find(|change| change.at <= at);
        last.is_some_and(|change| change.up && at < change.at + LAPSE)
    }
}

/// The index: answers each call after a fixed time.
pub fn start_index(record: Arc<Record>, took_ms: u64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut input = Vec::new();
                while let Some((head, body)) = read_http(&mut stream, &mut input) {
                    let parent =
                        head.lines().find_map(|line| line.strip_prefix("X-Parent-Id: ")).unwrap_or("?");
                    record.line(&format!("index: call for {parent}, {} bytes", body.len()));
                    sleep_ms(took_ms);
                    let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all(reply.as_bytes());
                    let _ = stream.write_all(&body);
                }
            });
        }
    });
    Ok(address)
}
