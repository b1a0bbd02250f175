//! The budget: what a txn of each kind may cost, by counts that do not depend on how fast the machine is, and
//! the verdict on what was measured.

use crate::request_cost::{self, Case, Cost};
use crate::server_under_test::Build;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// What may come by the clock in even the best round: a report, a tick.
const SLACK: f64 = 0.06;
/// Room as a share of the budget; more where the count hangs on how the pieces come.
const ROOM: f64 = 0.02;
const IN_PIECES: [(&str, f64); 2] = [("with a call", 0.15), ("settled, 1 MiB result", 0.5)];

/// What one kind may cost: the counts by name.
pub type Counts = BTreeMap<String, f64>;
pub type Budget = BTreeMap<String, Counts>;

/// Bounds that hold whatever the budget says: cases, what is counted, the most.
const BOUNDS: [(&str, &str, f64); 6] = [
    ("settled", "system calls", 6.0),
    ("settled, 32 open", "system calls", 2.0),
    ("declined", "system calls", 3.0),
    ("declined, 32 open", "system calls", 1.0),
    ("settled", "allocations", 4.0),
    ("settled, 32 open", "allocations", 4.0),
];

pub fn counts(cost: &Cost) -> Counts {
    let round = |n: f64| (n * 100.0).round() / 100.0;
    let mut counts = Counts::from([("system calls".to_string(), round(cost.system_calls()))]);
    if let Some(heap) = cost.heap {
        counts.insert("allocations".to_string(), round(heap.allocations));
        counts.insert("bytes allocated".to_string(), heap.bytes.round());
        counts.insert("bytes copied".to_string(), heap.copied.round());
    }
    counts
}

/// What is dearer than it may be, one line each.
pub fn over(budget: &Budget, measured: &Budget) -> Vec<String> {
    let mut lines = Vec::new();
    for (case, counts) in measured {
        let Some(allowed) = budget.get(case) else {
            lines.push(format!("{case}: not in the budget; write it with check cost --write"));
            continue;
        };
        for (what, n) in counts {
            let most = allowed.get(what).copied().unwrap_or(0.0);
            let pieces = IN_PIECES.iter().find(|(name, _)| name == case).map(|(_, share)| *share);
            let share = pieces.filter(|_| what == "system calls").unwrap_or(ROOM);
            let least = if what.starts_with("bytes") { 16.0 } else { SLACK };
            let room = (most * share).max(least);
            if *n > most + room {
                lines.push(format!("{case}: {what} {n} a txn, {most} before"));
            }
        }
    }
    for case in budget.keys().filter(|case| !measured.contains_key(*case)) {
        lines.push(format!("{case}: in the budget, but not measured"));
    }
    for (case, what, most) in BOUNDS {
        let n = measured.get(case).and_then(|counts| counts.get(what)).copied();
        if n.is_none_or(|n| n > most + SLACK) {
            lines.push(format!("{case}: {what} {n:?} a txn, at most {most} allowed"));
        }
    }
    lines
}

fn file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("budget.json")
}

fn read(text: &str) -> Result<Budget, String> {
    let json: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let cases = json.as_object().ok_or("not a map of cases")?;
    let counts = |(case, counts): (&String, &Value)| {
        let counts = counts.as_object().ok_or(format!("{case} is no map of counts"))?;
        let each = counts.iter().map(|(what, n)| {
            let n = n.as_f64().ok_or(format!("{case}: {what} is no number"))?;
            Ok((what.clone(), n))
        });
        Ok((case.clone(), each.collect::<Result<Counts, String>>()?))
    };
    cases.iter().map(counts).collect()
}

/// Measures the ordinary cases and holds them against the budget. Gives whether all are within.
pub fn check(write: bool) -> io::Result<bool> {
    let mut measured = Budget::new();
    for case in request_cost::ordinary() {
        let counts = counts(&request_cost::measure(&Build::Counted, &case, 3)?);
        println!("{:<34} {}", case.name, serde_json::to_string(&counts).unwrap_or_default());
        measured.insert(case.name, counts);
    }
    let path = file();
    if write {
        std::fs::write(&path, serde_json::to_string_pretty(&measured).map_err(io::Error::other)? + "\n")?;
        println!("written: {}", path.display());
    }
    let text =
        std::fs::read_to_string(&path).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
    let budget = read(&text).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
    let over = over(&budget, &measured);
    over.iter().for_each(|line| println!("DEARER  {line}"));
    let completed = measured.get("settled").cloned().unwrap_or_default();
    println!(
        "check cost: {} of {} kinds within budget; settled: {} system calls, {} allocations a txn",
        measured.len()
            - measured.keys().filter(|c| over.iter().any(|l| l.starts_with(&format!("{c}:")))).count(),
        measured.len(),
        completed.get("system calls").copied().unwrap_or_default(),
        completed.get("allocations").copied().unwrap_or_default(),
    );
    Ok(over.is_empty())
}

pub fn json(rows: &[(Case, Cost)]) -> Value {
    let row = |(case, cost): &(Case, Cost)| {
        json!({"case": case.name, "open": case.open, "body": case.body, "result": case.result,
            "in_hand": case.held, "connections": case.idle, "marks": case.dedup_entries, "counts": counts(cost),
            "system_calls": cost.calls, "cpu_us": cost.cpu.as_nanos() as f64 / 1e3, "peak_kb": cost.peak_kb})
    };
    rows.iter().map(row).collect()
}

pub fn table(rows: &[(Case, Cost)]) {
    println!(
        "{:<34}{:>8}{:>8}{:>10}{:>10}{:>9}{:>9}  system calls by name",
        "a txn", "calls", "allocs", "bytes", "copied", "cpu us", "peak MB"
    );
    for (case, cost) in rows {
        let heap = |of: fn(&request_cost::Heap) -> f64| {
            cost.heap.as_ref().map_or("-".to_string(), |h| format!("{:.1}", of(h)))
        };
        let names: Vec<String> = cost.calls.iter().map(|(name, n)| format!("{name} {n:.2}")).collect();
        println!(
            "{:<34}{:>8.2}{:>8}{:>10}{:>10}{:>9.1}{:>9.1}  {}",
            case.name,
            cost.system_calls(),
            heap(|h| h.allocations),
            heap(|h| h.bytes),
            heap(|h| h.copied),
            cost.cpu.as_nanos() as f64 / 1e3,
            cost.peak_kb as f64 / 1024.0,
            names.join(", ")
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn budget(n: f64) -> Budget {
        let cases = ["settled", "settled, 32 open", "declined", "declined, 32 open"];
        let counts = Counts::from([("system calls".to_string(), n), ("allocations".to_string(), n)]);
        cases.iter().map(|case| (case.to_string(), counts.clone())).collect()
    }

    #[test]
    fn what_is_dearer_is_named_with_both_counts_and_what_is_not_passes() {
        assert!(over(&budget(1.0), &budget(1.0)).is_empty());
        assert!(over(&budget(1.0), &budget(0.5)).is_empty());
        let mut dearer = budget(0.5);
        dearer.insert("declined".into(), Counts::from([("system calls".to_string(), 1.5)]));
        assert_eq!(over(&budget(0.5), &dearer), ["declined: system calls 1.5 a txn, 0.5 before"]);
    }

    #[test]
    fn a_budget_written_too_high_does_not_lift_the_bounds_nor_does_a_case_left_out() {
        let high = over(&budget(9.0), &budget(9.0));
        assert_eq!(high.len(), BOUNDS.len());
        let mut fewer = budget(0.5);
        fewer.remove("settled");
        assert_eq!(over(&budget(0.5), &fewer).len(), 3);
    }

    #[test]
    fn a_budget_that_makes_no_sense_is_named() {
        assert!(read("[]").is_err_and(|why| why.contains("no map") || why.contains("not a map")));
        assert!(read("{\"a\": {\"b\": \"c\"}}").is_err_and(|why| why.contains("a: b is no number")));
        assert_eq!(read("{\"a\": {\"b\": 2}}").unwrap()["a"]["b"], 2.0);
    }
}
