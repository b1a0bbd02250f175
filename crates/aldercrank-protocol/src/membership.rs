//! Reports to the membership service, apart from sockets.

use std::time::Duration;

/// An entry lapses this long after its last report; three come in that time.
pub const ENTRY_TTL: Duration = Duration::from_secs(3);
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Where versions of the rule book are read and written.
pub const VERSIONS_PATH: &str = "/rules";

fn put(host: &str, path: &str, kind: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "PUT {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: {kind}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// `rules`: the number of the version that this server goes by, where it goes by one. `share`: how much of itself it
/// offers, from 0 to 1, where that is told.
pub fn write_report(host: &str, name: &str, fit: bool, rules: Option<u64>, share: Option<f64>) -> Vec<u8> {
    let phase = if fit { "UP" } else { "OUT" };
    let rules = rules.map_or(String::new(), |number| format!(",\"rules\":{number}"));
    let share = share.map_or(String::new(), |share| format!(",\"share\":{share:.2}"));
    let body = format!("{{\"phase\":\"{phase}\"{rules}{share}}}");
    put(host, &format!("/members/{name}"), "application/json", &body)
}

/// Asks for the version that is to come, unless it is the one with this tag; the answer may be held back for so long
/// while it is.
pub fn write_version_read(host: &str, have: Option<&str>, wait: Duration) -> Vec<u8> {
    let known = have.map_or(String::new(), |tag| format!("If-None-Match: \"{tag}\"\r\n"));
    let wait = wait.as_secs();
    format!("GET {VERSIONS_PATH} HTTP/1.1\r\nHost: {host}\r\n{known}Prefer: wait={wait}\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

pub fn write_version_proposal(host: &str, text: &str) -> Vec<u8> {
    put(host, VERSIONS_PATH, "text/plain", text)
}

pub fn write_version_withdrawal(host: &str) -> Vec<u8> {
    format!("DELETE {VERSIONS_PATH} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}
