//! Stand-ins for all that a server of this project is connected to, and the cases of the review that use them.
//!
//! Usage: stand-in CASE OUT RUN_COMMAND, with TROUBLE=0 in the environment to leave the disruption out.
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod case_duplicate;
mod case_out_of_service;
mod case_resting;
mod edge;
mod fleet;
mod msgpack;
mod platform;
mod pool;
mod texas;

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case that takes longer is ended.
const LONGEST: Duration = Duration::from_secs(115);

/// Writes `record.txt`: one line for each thing that was sent, answered or run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.3} {text}");
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A small deterministic generator (xorshift), so that two runs offer the same requests.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, out, run_command] = &arguments[..] else {
        eprintln!("usage: stand-in CASE OUT RUN_COMMAND");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(file) = File::create(out) else {
        eprintln!("could not write the record");
        std::process::exit(2);
    };
    let record = std::sync::Arc::new(Record { started: Instant::now(), file: Mutex::new(file) });
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        watched.line("verdict: the case could not run: it took too long");
        fleet::kill_all();
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "duplicate" => case_duplicate::run(record.clone(), run_command, trouble),
        "out-of-service" => case_out_of_service::run(record.clone(), run_command, trouble),
        "resting" => case_resting::run(record.clone(), run_command, trouble),
        _ => Err(format!("no such case: {case}")),
    };
    let code = match verdict {
        Ok(None) => {
            record.line("verdict: the rule held");
            0
        }
        Ok(Some(reason)) => {
            record.line(&format!("verdict: the rule was broken: {reason}"));
            println!("broken: {reason}");
            1
        }
        Err(reason) => {
            record.line(&format!("verdict: the case could not run: {reason}"));
            println!("could not run: {reason}");
            2
        }
    };
    std::process::exit(code);
}
