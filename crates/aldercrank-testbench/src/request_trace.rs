//! One txn through every process that handled it: what crossed the wire, from the rig's record, and what its servers
//! logged of it and of themselves meanwhile, in order of time.

use aldercrank_test_cluster::ids::{RequestNo, ServerNo};
use aldercrank_test_cluster::run_record::Line;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;

/// A line of the story: when, who, whether it is about this very txn, what.
struct Told {
    us: i64,
    who: String,
    own: bool,
    what: String,
}

/// A try's id begins with its txn's number; a short word is the number itself.
fn number(request: &str) -> io::Result<RequestNo> {
    let number = match request.len() {
        16 => u32::from_str_radix(&request[..8], 16).ok().and_then(|n| n.checked_sub(1)),
        _ => request.parse().ok(),
    };
    number
        .map(RequestNo)
        .ok_or_else(|| io::Error::other(format!("{request} is no txn's number and no try's id")))
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
        serde_json::from_str(line)
            .map_err(|e| io::Error::other(format!("{}:{}: no line of a record: {e}", file.display(), n + 1)))
    };
    text.lines().enumerate().map(line).collect()
}

/// What the servers' own logs tell of the txn, or of themselves between its first and last moment.
fn logs(dir: &Path, request: RequestNo, servers: &BTreeSet<u16>, span: (i64, i64)) -> io::Result<Vec<Told>> {
    let begun: i64 = read(&dir.join("begun"))?.trim().parse().map_err(io::Error::other)?;
    let mark = format!("{:08x}", request.0 + 1);
    let mut told = Vec::new();
    for server in servers.iter().map(|n| ServerNo(*n).to_string()) {
        let lives = (1..).map(|life| dir.join(format!("{server}.{life}.log")));
        for text in lives.map_while(|file| std::fs::read_to_string(file).ok()) {
            // A line that was cut off by the process's end is no line.
            for line in text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok()) {
                let us = (line["at"].as_f64().unwrap_or_default() * 1e6) as i64 - begun;
                let attempt = line["attempt"].as_str();
                let own = attempt.is_some_and(|attempt| attempt.starts_with(&mark));
                if own || (attempt.is_none() && us >= span.0 && us <= span.1) {
                    told.push(Told { us, who: server.clone(), own, what: words(&line) });
                }
            }
        }
    }
    Ok(told)
}

/// A log line as a person reads it.
fn words(line: &Value) -> String {
    let known = ["at", "level", "server", "said"];
    let fields = line.as_object().into_iter().flatten().filter(|(name, _)| !known.contains(&name.as_str()));
    let fields: Vec<String> = fields.map(|(name, value)| format!(" {name}={value}")).collect();
    format!("logs: {}{}", line["said"].as_str().unwrap_or_default(), fields.concat())
}

/// Prints the story; whether the txn stands in the record.
pub fn why(dir: &Path, request: &str) -> io::Result<bool> {
    let number = number(request)?;
    let lines = record(dir)?;
    let own = |line: &&Line| line.request == Some(number.0);
    let (Some(first), Some(last)) = (lines.iter().find(own), lines.iter().rfind(own)) else {
        println!("txn {} does not stand in this record", number.0);
        return Ok(false);
    };
    let span = (first.us, last.us);
    let servers: BTreeSet<u16> = lines.iter().filter(own).filter_map(|l| l.server).collect();
    // What befell the servers that handled it, meanwhile, belongs to its story.
    let belongs = |l: &&Line| {
        own(l)
            || l.request.is_none()
                && (span.0..=span.1).contains(&l.us)
                && l.server.is_some_and(|s| servers.contains(&s))
    };
    let who = |l: &Line| l.server.map_or("caller".to_string(), |s| ServerNo(s).to_string());
    let told = |l: &Line| Told { us: l.us, who: who(l), own: own(&l), what: l.what.clone() };
    let mut story: Vec<Told> = lines.iter().filter(belongs).map(told).collect();
    story.extend(logs(dir, number, &servers, span)?);
    story.sort_by_key(|t| t.us);
    for t in story {
        let mark = if t.own { ' ' } else { '*' };
        println!("{:>12.6} s {mark} {:<8}{}", t.us as f64 / 1e6, t.who, t.what);
    }
    Ok(true)
}
