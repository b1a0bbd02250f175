//! The response to a status request, from a server that is the only committee member and from one that reaches no other
//! member: the fields in their order, with their values unless these depend on time.

use super::compare;
use crate::harness::{listen, report_accepted, serve_http, unused_address, TIMEOUT};
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

/// The program with a versioned configuration. When dropped, the process is killed and its files are removed.
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

/// Starts a server. With `has_state_file` it finds the version stored, as by an earlier process.
fn start(number: u32, committee: &str, has_state_file: bool) -> Server {
    let pid = std::process::id() % 60_000;
    // Outside the range of addresses that the harness uses.
    let ip = format!("127.{}.{}.{}", 16 + pid / 250, 1 + pid % 250, 250 + number);
    let ((pool, pool_address), (members, members_address)) = (listen(&ip), listen(&ip));
    // Chosen last: a listener could otherwise get the same port.
    let address = unused_address(&ip);
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
    if has_state_file {
        let version = VersionId { number: 8, digest: config_version.digest().0 };
        let committed_state = CommittedState { last_decided: 9, version_id: version };
        StateFile::open(Some(&directory)).store_version(committed_state, &Arc::from(config_version.text()));
        let _ = writeln!(service, "    dir {:?}", directory.to_str().unwrap());
    }
    let service = file("service.kdl", service + "}\n");
    let config = file("config.json", config.to_string());
    let (report_sender, _) = channel();
    serve_http(members, report_sender, report_accepted);
    let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    command.arg("serve").arg("--service").arg(service).arg(config);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    Server { child: command.spawn().unwrap(), address, directory, _pool: pool }
}

#[derive(Default)]
struct StatusReader(Option<PeerResponse>);

impl ResponseHandler for StatusReader {
    fn completed(&mut self, _: MessageId, result: &[u8], _: ReceivedFields) {
        self.0 = rmp_serde::from_slice(result).ok();
    }
    fn rejected(&mut self, _: MessageId, _: ReceivedFields) {}
    fn failed(&mut self, _: MessageId, _: &str, _: ReceivedFields) {}
    fn health_reported(&mut self, _: MessageId, _: bool, _: ReceivedFields) {}
    fn closing(&mut self) {}
}

/// The status as the server writes it; `None` if the server can't be reached or closes the connection.
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
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        received.extend_from_slice(&chunk[..count]);
        let mut answer = StatusReader::default();
        if msgpack_rpc::read_response(&received, 1 << 20, &mut answer).unwrap().is_some() {
            return match answer.0 {
                Some(PeerResponse::Status { text }) => Some(text),
                _ => panic!("no status"),
            };
        }
    }
}

/// Requests the status until it is as expected.
fn wait_for_status(address: SocketAddr, is_expected: fn(&Json) -> bool) -> String {
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Some(text) = status(address) {
            if is_expected(&serde_json::from_str(&text).unwrap()) {
                return text;
            }
        }
        assert!(Instant::now() < until, "the status was not as expected in time: {:?}", status(address));
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Fields whose values depend on the time of the request.
const TIME_DEPENDENT_FIELDS: [&str; 4] = ["since_ms", "lease_ms", "heard_ms", "share"];

/// Writes all fields below `path`, one line per value.
fn write_fields(out: &mut String, path: &str, value: &Json) {
    match value {
        Json::Object(all) => {
            for (name, value) in all {
                let path = format!("{path}.{name}");
                if TIME_DEPENDENT_FIELDS.contains(&name.as_str()) {
                    let _ = writeln!(out, "{path} = a number: {}", value.is_number());
                } else {
                    write_fields(out, &path, value);
                }
            }
        }
        Json::Array(all) if !all.is_empty() => {
            for (index, value) in all.iter().enumerate() {
                write_fields(out, &format!("{path}.{index}"), value);
            }
        }
        other => {
            let _ = writeln!(out, "{path} = {other}");
        }
    }
}

/// Replaces durations in seconds by `#` and the server's address by `ADDRESS`.
fn without_variable_parts(text: &str, address: SocketAddr) -> String {
    let text = text.replace(&address.to_string(), "ADDRESS");
    let words = text.split(' ').map(|word| match word.parse::<f64>() {
        Ok(_) if word.contains('.') => "#",
        _ => word,
    });
    words.collect::<Vec<_>>().join(" ")
}

/// Runs a command against the server, and appends its output and exit code to `out`.
fn run_command(out: &mut String, address: SocketAddr, arguments: &[&str]) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    let at = address.to_string();
    let output = command.args(arguments).args(["--at", &at]).stdin(Stdio::null()).output().unwrap();
    let _ = writeln!(out, "\n$ {} --at ADDRESS\nexit code {:?}", arguments.join(" "), output.status.code());
    for (title, bytes) in [("standard output", &output.stdout), ("standard error", &output.stderr)] {
        let text = without_variable_parts(std::str::from_utf8(bytes).unwrap(), address);
        let _ = write!(out, "{title}\n{text}");
    }
}

#[test]
fn a_status_answer_has_the_recorded_fields_and_is_shown_as_recorded() {
    let server = start(0, "n1 \"127.0.0.1:7001\"", false);
    // The member confirms the committed version and has granted its own server a lease.
    let text = wait_for_status(server.address, |json| {
        let committee = &json["committee"];
        committee["vouches"] == true && json["level"] == "full" && committee["servers"][0]["last"] == 8
    });
    let json: Json = serde_json::from_str(&text).unwrap();
    assert_eq!(json.to_string(), text, "the fields are in the order of their names");
    let mut out = "the answer's fields\n".to_string();
    write_fields(&mut out, "", &json);
    run_command(&mut out, server.address, &["rules", "status"]);
    run_command(&mut out, server.address, &["rules", "show"]);
    let mut shown = String::new();
    run_command(&mut shown, server.address, &["rules", "status", "--json"]);
    let line = shown.lines().find(|line| line.starts_with('[')).expect("one JSON document");
    out += "\n$ rules status --json --at ADDRESS\n";
    write_fields(&mut out, "", &serde_json::from_str(line).unwrap());
    let address = server.address;
    drop(server);
    run_command(&mut out, address, &["rules", "status"]);
    run_command(&mut out, address, &["rules", "status", "--json"]);
    run_command(&mut out, address, &["rules", "show"]);
    compare("consensus/status.txt", &out);
}

#[test]
fn the_status_of_a_server_that_reaches_no_other_member_is_as_recorded() {
    let mut out = String::new();
    // No server listens at the addresses of the other members.
    let committee = "n1 \"127.0.0.1:7001\"; n2 \"127.0.0.1:1\"; n3 \"127.0.0.1:1\"";
    for (number, title, has_state_file) in [(1, "without a memory", false), (2, "with a memory", true)] {
        let server = start(number, committee, has_state_file);
        // Its follower has sent its own member another request, with the committed state known by then.
        let text = wait_for_status(server.address, |json| {
            let last_known = &json["committee"]["servers"][0]["last"];
            !last_known.is_null() && *last_known == json["standing"]["last"]
        });
        let _ = writeln!(out, "{title}");
        write_fields(&mut out, "", &serde_json::from_str(&text).unwrap());
        run_command(&mut out, server.address, &["rules", "status"]);
        run_command(&mut out, server.address, &["rules", "show"]);
        out += "\n";
    }
    compare("consensus/status-out-of-touch.txt", &out);
}
