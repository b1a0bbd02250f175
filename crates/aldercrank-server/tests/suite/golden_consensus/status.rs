//! The answer to a status request, from a server alone on its committee and from one that hears no other member: the
//! fields in their order, with their values where those don't depend on time.

use super::compare;
use crate::harness::{http, listen, report_accepted, unused_address, TIMEOUT};
use aldercrank_consensus::{CommittedState, PeerRequest, PeerResponse, VersionId};
use aldercrank_server::msgpack_rpc::{
    self, MessageId, ReceivedFields, RequestFields, ResponseHandler, CONSENSUS_METHOD,
};
use aldercrank_server::net::state_file::StateFile;
use aldercrank_versioned_config::VersionedConfig;
use serde_json::Value as Json;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The program with a rule book that names it as the only member; ended and its files removed at the end.
struct Server {
    child: Child,
    address: SocketAddr,
    directory: PathBuf,
    _pool: std::net::TcpListener,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// With a memory, the server has known the version in an earlier life.
fn start(number: u32, committee: &str, memory: bool) -> Server {
    let pid = std::process::id() % 60_000;
    // Not among the addresses that the harness gives out.
    let ip = format!("127.{}.{}.{}", 16 + pid / 250, 1 + pid % 250, 250 + number);
    let (address, (pool, pool_address), (members, members_address)) =
        (unused_address(&ip), listen(&ip), listen(&ip));
    let directory = std::env::temp_dir().join(format!("aldercrank-golden-status-{pid}-{number}"));
    std::fs::create_dir_all(&directory).unwrap();
    let file = |name: &str, text: String| {
        let path = directory.join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "goal_time": 1000000, "give_up": 3000000,
            "points": 1.0, "window": 9000000})
    };
    let config = serde_json::json!({
        "name": "n1", "listen": address, "pool": pool_address, "members": members_address,
        "index": members_address, "seed": "1", "stop_ms": 1500, "limits": {"memory_mb": 64, "sockets": 64},
        "settings": {
            "family_info": {"cores": 20, "memory_kb": 9000.0, "run_factor": 4.0, "advert": "share_of",
                "idle": 400000, "halt": "abort", "calls_out": 4.0, "meters": ["cpu_busy", "runnable"]},
            "rules": {"answer_slack": 60000, "fall_multiple": 5.0, "stop_sending_within": 300000},
            "profiles": [class("map-extract", "retryable"), class("licence-buy", "dedup")]}});
    let text = format!(
        "rules 8 {{\n    committee {{ {committee} }}\n    product \"licence-buy\" {{ points 5 }}\n    \
         servers {{ a \"n1\" }}\n}}\n"
    );
    let config_version = VersionedConfig::parse(&text).unwrap();
    let mut service = format!("rules {{\n    book {:?}\n", file("rules.kdl", text).to_str().unwrap());
    if memory {
        let version = VersionId { number: 8, digest: config_version.digest().0 };
        let committed_state = CommittedState { last: 9, version_id: version };
        StateFile::open(Some(&directory)).store_version(committed_state, &Arc::from(config_version.text()));
        let _ = writeln!(service, "    dir {:?}", directory.to_str().unwrap());
    }
    let service = file("service.kdl", service + "}\n");
    let config = file("config.json", config.to_string());
    let (described, _) = channel();
    http(members, described, report_accepted);
    let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    command.arg("serve").arg("--service").arg(service).arg(config);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    Server { child: command.spawn().unwrap(), address, directory, _pool: pool }
}

#[derive(Default)]
struct Answer(Option<PeerResponse>);

impl ResponseHandler for Answer {
    fn completed(&mut self, _: MessageId, result: &[u8], _: ReceivedFields) {
        self.0 = rmp_serde::from_slice(result).ok();
    }
    fn rejected(&mut self, _: MessageId, _: ReceivedFields) {}
    fn failed(&mut self, _: MessageId, _: &str, _: ReceivedFields) {}
    fn health_reported(&mut self, _: MessageId, _: bool, _: ReceivedFields) {}
    fn closing(&mut self) {}
}

/// The status as the server writes it; nothing while it does not listen yet.
fn status(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut request = Vec::new();
    let body = rmp_serde::to_vec(&PeerRequest::Status).unwrap();
    msgpack_rpc::write_request(
        &mut request,
        MessageId(1),
        CONSENSUS_METHOD,
        &RequestFields::default(),
        &body,
    );
    stream.write_all(&request).unwrap();
    let (mut since_last_seen, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        since_last_seen.extend_from_slice(&chunk[..count]);
        let mut answer = Answer::default();
        if msgpack_rpc::read_response(&since_last_seen, 1 << 20, &mut answer).unwrap().is_some() {
            return match answer.0 {
                Some(PeerResponse::Status { text }) => Some(text),
                _ => panic!("no status"),
            };
        }
    }
}

/// Asks until the answer is as wanted.
fn completed(address: SocketAddr, wanted: fn(&Json) -> bool) -> String {
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Some(text) = status(address) {
            if wanted(&serde_json::from_str(&text).unwrap()) {
                return text;
            }
        }
        assert!(Instant::now() < until, "it never comes to that: {:?}", status(address));
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Fields whose values depend on when one asks.
const OF_A_MOMENT: [&str; 4] = ["since_ms", "lease_ms", "heard_ms", "share"];

fn fields(out: &mut String, path: &str, value: &Json) {
    match value {
        Json::Object(all) => {
            for (name, value) in all {
                let path = format!("{path}.{name}");
                if OF_A_MOMENT.contains(&name.as_str()) {
                    let _ = writeln!(out, "{path} = a number: {}", value.is_number());
                } else {
                    fields(out, &path, value);
                }
            }
        }
        Json::Array(all) if !all.is_empty() => {
            for (place, value) in all.iter().enumerate() {
                fields(out, &format!("{path}.{place}"), value);
            }
        }
        other => {
            let _ = writeln!(out, "{path} = {other}");
        }
    }
}

/// With `#` for each span in seconds, and for addresses of this run.
fn without_moments(text: &str, address: SocketAddr) -> String {
    let text = text.replace(&address.to_string(), "ADDRESS");
    let words = text.split(' ').map(|word| match word.parse::<f64>() {
        Ok(_) if word.contains('.') => "#",
        _ => word,
    });
    words.collect::<Vec<_>>().join(" ")
}

fn command(out: &mut String, address: SocketAddr, arguments: &[&str]) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    let at = address.to_string();
    let output = command.args(arguments).args(["--at", &at]).stdin(Stdio::null()).output().unwrap();
    let _ = writeln!(out, "\n$ {} --at ADDRESS\nexit code {:?}", arguments.join(" "), output.status.code());
    for (title, bytes) in [("standard output", &output.stdout), ("standard error", &output.stderr)] {
        let text = without_moments(std::str::from_utf8(bytes).unwrap(), address);
        let _ = write!(out, "{title}\n{text}");
    }
}

#[test]
fn a_status_answer_has_the_recorded_fields_and_is_shown_as_recorded() {
    let server = start(0, "n1 \"127.0.0.1:7001\"", false);
    // The member vouches for what stands, and has given its own server a lease.
    let text = completed(server.address, |json| {
        let committee = &json["committee"];
        committee["vouches"] == true && json["level"] == "full" && committee["servers"][0]["last"] == 8
    });
    let json: Json = serde_json::from_str(&text).unwrap();
    assert_eq!(json.to_string(), text, "the fields are in the order of their names");
    let mut out = "the answer's fields\n".to_string();
    fields(&mut out, "", &json);
    command(&mut out, server.address, &["rules", "status"]);
    command(&mut out, server.address, &["rules", "show"]);
    let mut shown = String::new();
    command(&mut shown, server.address, &["rules", "status", "--json"]);
    let line = shown.lines().find(|line| line.starts_with('[')).expect("one JSON document");
    out += "\n$ rules status --json --at ADDRESS\n";
    fields(&mut out, "", &serde_json::from_str(line).unwrap());
    let address = server.address;
    drop(server);
    command(&mut out, address, &["rules", "status"]);
    command(&mut out, address, &["rules", "status", "--json"]);
    command(&mut out, address, &["rules", "show"]);
    compare("consensus/status.txt", &out);
}

#[test]
fn a_server_out_of_touch_answers_as_recorded() {
    let mut out = String::new();
    // Nobody listens at the other members' places.
    let committee = "n1 \"127.0.0.1:7001\"; n2 \"127.0.0.1:1\"; n3 \"127.0.0.1:1\"";
    for (number, title, memory) in [(1, "without a memory", false), (2, "with a memory", true)] {
        let server = start(number, committee, memory);
        // It has asked its own member again, with what it had learned by then.
        let text = completed(server.address, |json| {
            let asked_with = &json["committee"]["servers"][0]["last"];
            !asked_with.is_null() && *asked_with == json["standing"]["last"]
        });
        let _ = writeln!(out, "{title}");
        fields(&mut out, "", &serde_json::from_str(&text).unwrap());
        command(&mut out, server.address, &["rules", "status"]);
        command(&mut out, server.address, &["rules", "show"]);
        out += "\n";
    }
    compare("consensus/status-out-of-touch.txt", &out);
}
