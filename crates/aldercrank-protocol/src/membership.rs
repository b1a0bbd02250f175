//! HTTP requests to the membership service: health reports, and the proposed version of the versioned configuration.

use std::time::Duration;

/// How long the membership service keeps a server's entry after its last report. Three reports are sent in that time.
pub const ENTRY_TTL: Duration = Duration::from_secs(3);
/// The interval between a server's reports.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The path at which the proposed version is read, replaced and deleted.
pub const VERSIONS_PATH: &str = "/rules";

fn put(host: &str, path: &str, content_type: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "PUT {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: {content_type}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// The value of `phase` in a report.
pub fn phase_name(healthy: bool) -> &'static str {
    if healthy {
        "UP"
    } else {
        "OUT"
    }
}

/// Encodes a server's health report. `version` is the number of the configuration version in force, if any. `share` is
/// the fraction of its capacity, from 0 to 1, that the server offers during slow start, if it reports one.
pub fn write_report(
    host: &str,
    name: &str,
    healthy: bool,
    version: Option<u64>,
    share: Option<f64>,
) -> Vec<u8> {
    let phase = phase_name(healthy);
    let version = version.map_or(String::new(), |number| format!(",\"rules\":{number}"));
    let share = share.map_or(String::new(), |share| format!(",\"share\":{share:.2}"));
    let body = format!("{{\"phase\":\"{phase}\"{version}{share}}}");
    put(host, &format!("/members/{name}"), "application/json", &body)
}

/// Encodes a read of the proposed version, on condition that its entity tag is not `known`. While it is, the service
/// may hold back its response for up to `wait`, which is rounded down to whole seconds.
pub fn write_version_read(host: &str, known: Option<&str>, wait: Duration) -> Vec<u8> {
    let condition = known.map_or(String::new(), |tag| format!("If-None-Match: \"{tag}\"\r\n"));
    let wait = wait.as_secs();
    format!(
        "GET {VERSIONS_PATH} HTTP/1.1\r\nHost: {host}\r\n{condition}Prefer: wait={wait}\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Encodes the proposal of a version, which replaces the one proposed before.
pub fn write_version_proposal(host: &str, text: &str) -> Vec<u8> {
    put(host, VERSIONS_PATH, "text/plain", text)
}

/// Encodes the withdrawal of the proposed version.
pub fn write_version_withdrawal(host: &str) -> Vec<u8> {
    format!("DELETE {VERSIONS_PATH} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}
