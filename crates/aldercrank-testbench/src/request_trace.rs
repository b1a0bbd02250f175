//! `aldercrank-testbench why`: the trace of one request through every process that handled it. Merges what crossed the
//! wire, from `trace.jsonl` in the kept directory, with what the servers logged meanwhile, in order of time.

use aldercrank_test_cluster::ids::{RequestNo, ServerNo};
use aldercrank_test_cluster::run_record::Line;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;

/// One line of the trace.
struct TraceLine {
    /// Microseconds since the start of the scenario.
    us: i64,
    process: String,
    /// Whether the line is about this request; otherwise it is about a server that handled it.
    is_own: bool,
    text: String,
}

/// Parses a request number, or takes it from an attempt id, whose first eight hex digits are the request number plus
/// one.
fn parse_request_number(request: &str) -> io::Result<RequestNo> {
    let number = match request.len() {
        16 => u32::from_str_radix(&request[..8], 16).ok().and_then(|n| n.checked_sub(1)),
        _ => request.parse().ok(),
    };
    number
        .map(RequestNo)
        .ok_or_else(|| io::Error::other(format!("{request} is neither a request number nor an attempt id")))
}

fn read(file: &Path) -> io::Result<String> {
    std::fs::read_to_string(file)
        .map_err(|e| io::Error::other(format!("{}: {e}; `fleet --keep DIR` writes it", file.display())))
}

fn read_trace(dir: &Path) -> io::Result<Vec<Line>> {
    let file = dir.join("trace.jsonl");
    let text = read(&file)?;
    let line = |(n, line): (usize, &str)| {
        serde_json::from_str(line)
            .map_err(|e| io::Error::other(format!("{}:{}: malformed trace line: {e}", file.display(), n + 1)))
    };
    text.lines().enumerate().map(line).collect()
}

/// The servers' log lines about the request, and those about no request in the time `span` (in microseconds).
fn log_lines(
    dir: &Path,
    request: RequestNo,
    servers: &BTreeSet<u16>,
    span: (i64, i64),
) -> io::Result<Vec<TraceLine>> {
    let begun: i64 = read(&dir.join("begun"))?.trim().parse().map_err(io::Error::other)?;
    let prefix = format!("{:08x}", request.0 + 1);
    let mut lines = Vec::new();
    for server in servers.iter().map(|n| ServerNo(*n).to_string()) {
        let incarnations = (1..).map(|incarnation| dir.join(format!("{server}.{incarnation}.log")));
        for text in incarnations.map_while(|file| std::fs::read_to_string(file).ok()) {
            // The last line may be truncated if the process was killed.
            for line in text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok()) {
                let us = (line["at"].as_f64().unwrap_or_default() * 1e6) as i64 - begun;
                let attempt = line["attempt"].as_str();
                let is_own = attempt.is_some_and(|attempt| attempt.starts_with(&prefix));
                if is_own || (attempt.is_none() && us >= span.0 && us <= span.1) {
                    lines.push(TraceLine { us, process: server.clone(), is_own, text: log_text(&line) });
                }
            }
        }
    }
    Ok(lines)
}

/// A log line as one line of text: the message, then its other fields as ` name=value`.
fn log_text(line: &Value) -> String {
    let known = ["at", "level", "server", "said"];
    let fields = line.as_object().into_iter().flatten().filter(|(name, _)| !known.contains(&name.as_str()));
    let fields: Vec<String> = fields.map(|(name, value)| format!(" {name}={value}")).collect();
    format!("logs: {}{}", line["said"].as_str().unwrap_or_default(), fields.concat())
}

/// Prints the trace of a request. Returns whether the request is in the trace; fails if the trace is missing or
/// malformed.
pub(crate) fn print_trace(dir: &Path, request: &str) -> io::Result<bool> {
    let number = parse_request_number(request)?;
    let lines = read_trace(dir)?;
    let is_own = |line: &&Line| line.request == Some(number.0);
    let (Some(first), Some(last)) = (lines.iter().find(is_own), lines.iter().rfind(is_own)) else {
        println!("request {} is not in this trace", number.0);
        return Ok(false);
    };
    let span = (first.us, last.us);
    let servers: BTreeSet<u16> = lines.iter().filter(is_own).filter_map(|l| l.server).collect();
    // Also prints events of the servers that handled the request, such as a restart, as they may explain its outcome.
    let belongs = |l: &&Line| {
        is_own(l)
            || l.request.is_none()
                && (span.0..=span.1).contains(&l.us)
                && l.server.is_some_and(|s| servers.contains(&s))
    };
    let process = |l: &Line| l.server.map_or("caller".to_string(), |s| ServerNo(s).to_string());
    let trace_line =
        |l: &Line| TraceLine { us: l.us, process: process(l), is_own: is_own(&l), text: l.what.clone() };
    let mut trace: Vec<TraceLine> = lines.iter().filter(belongs).map(trace_line).collect();
    trace.extend(log_lines(dir, number, &servers, span)?);
    trace.sort_by_key(|t| t.us);
    for t in trace {
        let marker = if t.is_own { ' ' } else { '*' };
        println!("{:>12.6} s {marker} {:<8}{}", t.us as f64 / 1e6, t.process, t.text);
    }
    Ok(true)
}
