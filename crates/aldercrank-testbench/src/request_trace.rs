//! `aldercrank-testbench why`: one request through every process that handled it. What crossed the wire comes from the
//! record of a run, what its servers logged meanwhile from their logs; both are printed in order of time.

use aldercrank_test_cluster::ids::{RequestNo, ServerNo};
use aldercrank_test_cluster::run_record::Line;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;

/// One line of the trace.
struct TraceLine {
    /// Microseconds since the start of the run.
    us: i64,
    process: String,
    /// Whether it is about this very request, not about its server.
    own: bool,
    text: String,
}

/// The number of a request, given as such or by the id of an attempt, which begins with it.
fn number(request: &str) -> io::Result<RequestNo> {
    let number = match request.len() {
        16 => u32::from_str_radix(&request[..8], 16).ok().and_then(|n| n.checked_sub(1)),
        _ => request.parse().ok(),
    };
    number.map(RequestNo).ok_or_else(|| {
        io::Error::other(format!("{request} is neither a request's number nor an attempt's id"))
    })
}

fn read(file: &Path) -> io::Result<String> {
    std::fs::read_to_string(file).map_err(|e| {
        io::Error::other(format!("{}: {e}; a run writes it with `fleet --keep DIR`", file.display()))
    })
}

fn record(dir: &Path) -> io::Result<Vec<Line>> {
    let file = dir.join("trace.jsonl");
    let text = read(&file)?;
    let line = |(n, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| {
            io::Error::other(format!("{}:{}: not a line of a record: {e}", file.display(), n + 1))
        })
    };
    text.lines().enumerate().map(line).collect()
}

/// What the servers logged of the request, or of themselves between its first and last moment.
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
            // The last line may be cut off by the end of the process.
            for line in text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok()) {
                let us = (line["at"].as_f64().unwrap_or_default() * 1e6) as i64 - begun;
                let attempt = line["attempt"].as_str();
                let own = attempt.is_some_and(|attempt| attempt.starts_with(&prefix));
                if own || (attempt.is_none() && us >= span.0 && us <= span.1) {
                    lines.push(TraceLine { us, process: server.clone(), own, text: log_text(&line) });
                }
            }
        }
    }
    Ok(lines)
}

/// A log line as a person reads it.
fn log_text(line: &Value) -> String {
    let known = ["at", "level", "server", "said"];
    let fields = line.as_object().into_iter().flatten().filter(|(name, _)| !known.contains(&name.as_str()));
    let fields: Vec<String> = fields.map(|(name, value)| format!(" {name}={value}")).collect();
    format!("logs: {}{}", line["said"].as_str().unwrap_or_default(), fields.concat())
}

/// Prints the trace of a request. Gives whether it is in the record; fails where the record is missing or malformed.
pub(crate) fn print_trace(dir: &Path, request: &str) -> io::Result<bool> {
    let number = number(request)?;
    let lines = record(dir)?;
    let own = |line: &&Line| line.request == Some(number.0);
    let (Some(first), Some(last)) = (lines.iter().find(own), lines.iter().rfind(own)) else {
        println!("request {} is not in this record", number.0);
        return Ok(false);
    };
    let span = (first.us, last.us);
    let servers: BTreeSet<u16> = lines.iter().filter(own).filter_map(|l| l.server).collect();
    // What happened to the servers that handled it meanwhile explains its outcome.
    let belongs = |l: &&Line| {
        own(l)
            || l.request.is_none()
                && (span.0..=span.1).contains(&l.us)
                && l.server.is_some_and(|s| servers.contains(&s))
    };
    let who = |l: &Line| l.server.map_or("caller".to_string(), |s| ServerNo(s).to_string());
    let trace_line = |l: &Line| TraceLine { us: l.us, process: who(l), own: own(&l), text: l.what.clone() };
    let mut trace: Vec<TraceLine> = lines.iter().filter(belongs).map(trace_line).collect();
    trace.extend(log_lines(dir, number, &servers, span)?);
    trace.sort_by_key(|t| t.us);
    for t in trace {
        let marker = if t.own { ' ' } else { '*' };
        println!("{:>12.6} s {marker} {:<8}{}", t.us as f64 / 1e6, t.process, t.text);
    }
    Ok(true)
}
