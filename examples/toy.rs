//! Everything that the server speaks to, as a toy on loopback: worker pool, index, membership service, and an
//! edge node that sends calls and counts the answers. Standard library only; see the README.
//!
//!     cargo run --release --example toy -- 40

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a run takes on a core, and the cores that runs share.
const WORK: Duration = Duration::from_millis(100);
const CORES: usize = 4;

fn main() {
    let rate: u32 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(40);
    let seconds = 10;
    spawn(|| pool(TcpListener::bind("127.0.0.1:9300").expect("port 9300")));
    spawn(|| http("index", TcpListener::bind("127.0.0.1:8900").expect("port 8900")));
    spawn(|| http("members", TcpListener::bind("127.0.0.1:8761").expect("port 8761")));
    println!("start the server now: target/release/aldercrank serve examples/config.json");
    let edge = loop {
        match TcpStream::connect("127.0.0.1:7001") {
            Ok(edge) => break edge,
            Err(_) => sleep(Duration::from_millis(200)),
        }
    };
    sleep(Duration::from_millis(500));
    println!("sending {rate} calls a second for {seconds} s");
    let mut writer = edge.try_clone().expect("a second handle");
    spawn(move || {
        for n in 1..=rate * seconds {
            if writer.write_all(&call(n)).is_err() {
                return;
            }
            sleep(Duration::from_secs(1) / rate);
        }
    });
    count(edge, Duration::from_secs(u64::from(seconds) + 3));
}

/// Reads answers and says each second how they came out.
fn count(mut edge: TcpStream, span: Duration) {
    let (start, mut said, mut buf) = (Instant::now(), 0, Vec::new());
    let mut counts = BTreeMap::from([("settled", 0), ("declined", 0), ("voided", 0)]);
    edge.set_read_timeout(Some(Duration::from_millis(100))).expect("a time-out");
    while start.elapsed() < span {
        let mut chunk = [0; 4096];
        match edge.read(&mut chunk) {
            Ok(0) => return println!("the server has closed the connection"),
            Ok(n) => buf.extend(&chunk[..n]),
            Err(_) => {}
        }
        // Enough for a toy: each kind of answer shows by a word that is in it.
        for (kind, word) in [("settled", "made for"), ("declined", "Overloaded"), ("voided", "Internal")] {
            while let Some(at) = buf.windows(word.len()).position(|w| w == word.as_bytes()) {
                buf[at] = 0;
                *counts.get_mut(kind).expect("listed above") += 1;
            }
        }
        if start.elapsed().as_secs() > said {
            said = start.elapsed().as_secs();
            println!("after {said} s: {counts:?}");
        }
    }
}

/// A call in MessagePack: `[0, id, method, [fields, body]]`.
fn call(n: u32) -> Vec<u8> {
    let text = |s: &str| [&[0xd9, s.len() as u8], s.as_bytes()].concat();
    let t0 = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis().to_string();
    let (rid, token) = (format!("{n:016x}"), format!("{n:032x}"));
    let mut fields = vec![
        ("rid", rid.as_str()),
        ("t0", &t0),
        ("peer", "1"),
        ("budget", "3000"),
        ("mem", "20"),
        ("prio", "0.5"),
    ];
    let keyed = n & 3 == 0;
    let product = if keyed { "licence-buy" } else { "map-extract" };
    if keyed {
        fields.push(("token", &token));
    }
    let mut out = vec![0x94, 0, 0xce];
    out.extend(n.to_be_bytes());
    out.extend(text(product));
    out.extend([0x92, 0x80 | fields.len() as u8]);
    fields.iter().for_each(|(name, value)| out.extend([text(name), text(value)].concat()));
    out.extend([0xc4, 5]);
    out.extend(b"hello");
    out
}

/// Runs what it is told on `CORES` cores that all runs share; each map has one call to make.
fn pool(listener: TcpListener) {
    for link in listener.incoming().flatten() {
        let (mut reader, writer) =
            (BufReader::new(link.try_clone().expect("a handle")), Arc::new(Mutex::new(link)));
        let (running, notices) = (Arc::new(Mutex::new(0usize)), Arc::new(Mutex::new(0u64)));
        let say = move |text: String| {
            let _ = writer.lock().expect("not poisoned").write_all(text.as_bytes());
        };
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            let words: Vec<String> = line.split_whitespace().map(str::to_string).collect();
            line.clear();
            let word = |i: usize| words.get(i).cloned().unwrap_or_default();
            match word(0).as_str() {
                "bind" => say("bound warm 0\r\n".to_string()),
                "poll" => {
                    let n = *running.lock().expect("not poisoned");
                    say(format!("polled {} {} {n} 0.1 1\r\n", word(1), (n as f64 / CORES as f64).min(1.0)));
                }
                "spawn" | "supply" => {
                    let length: usize = words.last().and_then(|w| w.parse().ok()).unwrap_or_default();
                    let mut bytes = vec![0; length + 2];
                    if reader.read_exact(&mut bytes).is_err() {
                        break;
                    }
                    let calls = word(0) == "spawn" && word(2) == "map-extract";
                    let (say, running, notices, id) =
                        (say.clone(), running.clone(), notices.clone(), word(1));
                    *running.lock().expect("not poisoned") += 1;
                    spawn(move || {
                        let crowd = *running.lock().expect("not poisoned");
                        sleep(WORK.mul_f64((crowd as f64 / CORES as f64).max(1.0) / 2.0));
                        *running.lock().expect("not poisoned") -= 1;
                        let mut notice = notices.lock().expect("not poisoned");
                        *notice += 1;
                        if calls {
                            return say(format!("blocked {notice} {id} 4\r\nask!\r\n"));
                        }
                        let result = format!("made for {id}");
                        say(format!("finished {notice} {id} ok 100 {}\r\n{result}\r\n", result.len()));
                    });
                }
                _ => {}
            }
        }
    }
}

/// Answers each request: the index with a body after a moment, the membership service with 204.
fn http(name: &'static str, listener: TcpListener) {
    for mut stream in listener.incoming().flatten() {
        spawn(move || {
            let (mut buf, mut chunk, mut last) = (Vec::new(), [0; 4096], String::new());
            while let Ok(n) = stream.read(&mut chunk) {
                buf.extend(&chunk[..n]);
                let text = String::from_utf8_lossy(&buf).to_string();
                let Some((head, body)) = text.split_once("\r\n\r\n").filter(|_| n > 0) else { return };
                let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok());
                if body.len() < length.unwrap_or(0) {
                    continue;
                }
                let answer = if name == "members" {
                    if body != last {
                        println!("members hear {body}");
                        last = body.to_string();
                    }
                    "HTTP/1.1 204 No Content\r\n\r\n"
                } else {
                    sleep(Duration::from_millis(20));
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfound"
                };
                buf.clear();
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}
