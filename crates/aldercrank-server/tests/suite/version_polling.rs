//! Polling of the membership service for proposed configuration versions.

use crate::harness::{listen, report_accepted, serve_http, PoolConnection, Program, TIMEOUT};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Within this time a poll that is due at once is received. Far below the interval between polls.
const AT_ONCE: Duration = Duration::from_secs(2);

/// The next request that reads the version, skipping reports. `None` if there is none within this time.
fn next_poll(requests: &Receiver<String>, within: Duration) -> Option<String> {
    let until = Instant::now() + within;
    loop {
        let left = until.checked_duration_since(Instant::now())?;
        let request = requests.recv_timeout(left).ok()?;
        if request.starts_with("GET /rules ") {
            return Some(request);
        }
    }
}

/// Guards against versions that are read late or never because polls continue at the previous address for a while.
#[test]
fn a_reload_that_moves_the_membership_service_moves_the_polls_at_once() {
    let directory = std::env::temp_dir().join(format!("aldercrank-version-polling-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let (version_file, service_file) = (directory.join("rules.kdl"), directory.join("service.kdl"));
    let version =
        "rules 1 {\n agree-within-ms 500\n committee { n1 \"127.0.0.1:1\"; }\n servers { a \"n1\" }\n}\n";
    std::fs::write(&version_file, version).unwrap();
    std::fs::write(&service_file, format!("rules {{\n book {version_file:?}\n read-list #true\n}}\n"))
        .unwrap();
    let program = Program::start_with_service(&service_file, |_| None);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("0", "3.5");
    assert!(next_poll(&program.reports, TIMEOUT).is_some());
    let (members, members_address) = listen(&program.edge.ip().to_string());
    let (sender, requests) = channel();
    serve_http(members, sender, report_accepted);
    program.reload(&[("members", members_address)]);
    let poll = next_poll(&requests, AT_ONCE).expect("no poll at the new address");
    assert!(
        !poll.contains("If-None-Match"),
        "a poll at the new address must not name a version that was read at the previous one: {poll}"
    );
    std::fs::remove_dir_all(directory).unwrap();
}
