//! `aldercrank-testbench check cost`: the budget of what a request of each kind may cost, by counts that do not depend on how fast the machine is, and
//! the verdict on what was measured.

use crate::cost_case::{self, CostCase};
use crate::request_cost::{self, RequestCost};
use crate::server_under_test::Build;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Calls of periodic work that may fall into even the best round.
const PERIODIC_SLACK: f64 = 0.06;
/// Tolerance as a share of the budget; more where the count depends on how the bytes come in pieces.
const TOLERANCE: f64 = 0.02;
const PIECEWISE_TOLERANCE: [(&str, f64); 2] = [("with a call", 0.15), ("completed, 1 MiB result", 0.5)];

/// The counts of one case, by what is counted.
pub type Counts = BTreeMap<String, f64>;
/// The counts of each case, by its name.
pub type Budget = BTreeMap<String, Counts>;

/// Bounds that hold whatever the budget says: cases, what is counted, the most.
pub const BOUNDS: [(&str, &str, f64); 6] = [
    ("completed", "system calls", 6.0),
    ("completed, 32 open", "system calls", 2.0),
    ("rejected", "system calls", 3.0),
    ("rejected, 32 open", "system calls", 1.0),
    ("completed", "allocations", 4.0),
    ("completed, 32 open", "allocations", 4.0),
];

/// The counts of a measured case, rounded as the budget has them.
pub(crate) fn counts(cost: &RequestCost) -> Counts {
    let round = |n: f64| (n * 100.0).round() / 100.0;
    let mut counts = Counts::from([("system calls".to_string(), round(cost.system_calls()))]);
    if let Some(heap) = cost.heap {
        counts.insert("allocations".to_string(), round(heap.allocations));
        counts.insert("bytes allocated".to_string(), heap.bytes.round());
        counts.insert("bytes copied".to_string(), heap.copied.round());
    }
    counts
}

/// What costs more than its budget or a fixed bound allows, one line each; empty where all is within.
pub fn over(budget: &Budget, measured: &Budget) -> Vec<String> {
    let mut lines = Vec::new();
    for (case, counts) in measured {
        let Some(allowed) = budget.get(case) else {
            lines.push(format!("{case}: not in the budget; write it with check cost --write"));
            continue;
        };
        for (what, n) in counts {
            let most = allowed.get(what).copied().unwrap_or(0.0);
            let pieces = PIECEWISE_TOLERANCE.iter().find(|(name, _)| name == case).map(|(_, share)| *share);
            let share = pieces.filter(|_| what == "system calls").unwrap_or(TOLERANCE);
            let smaller = if what.starts_with("bytes") { 16.0 } else { PERIODIC_SLACK };
            let room = (most * share).max(smaller);
            if *n > most + room {
                lines.push(format!("{case}: {what} {n} a request, {most} before"));
            }
        }
    }
    for case in budget.keys().filter(|case| !measured.contains_key(*case)) {
        lines.push(format!("{case}: in the budget, but not measured"));
    }
    for (case, what, most) in BOUNDS {
        let n = measured.get(case).and_then(|counts| counts.get(what)).copied();
        if n.is_none_or(|n| n > most + PERIODIC_SLACK) {
            lines.push(format!("{case}: {what} {n:?} a request, at most {most} allowed"));
        }
    }
    lines
}

fn budget_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("budget.json")
}

/// What is malformed in the text of a budget.
#[derive(Debug, thiserror::Error)]
pub enum BudgetError {
    /// The text is no JSON document.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// The document is not a map of cases.
    #[error("not a map of cases")]
    NotCases,
    /// A case has something else than a map of counts.
    #[error("{case} is no map of counts")]
    NotCounts {
        /// The name of the case.
        case: String,
    },
    /// A count is not a number.
    #[error("{case}: {what} is no number")]
    NotNumber {
        /// The name of the case.
        case: String,
        /// What is counted.
        what: String,
    },
}

/// Reads a budget.
///
/// # Errors
///
/// The first thing that is malformed.
pub fn read(text: &str) -> Result<Budget, BudgetError> {
    let json: Value = serde_json::from_str(text)?;
    let cases = json.as_object().ok_or(BudgetError::NotCases)?;
    cases.iter().map(|(case, counts)| Ok((case.clone(), read_counts(case, counts)?))).collect()
}

fn read_counts(case: &str, counts: &Value) -> Result<Counts, BudgetError> {
    let counts = counts.as_object().ok_or_else(|| BudgetError::NotCounts { case: case.to_string() })?;
    let number = |(what, count): (&String, &Value)| match count.as_f64() {
        Some(count) => Ok((what.clone(), count)),
        None => Err(BudgetError::NotNumber { case: case.to_string(), what: what.clone() }),
    };
    counts.iter().map(number).collect()
}

/// Measures the ordinary cases and holds them against the budget. Gives whether all are within.
pub(crate) fn check(write: bool) -> io::Result<bool> {
    let mut measured = Budget::new();
    for case in cost_case::budget_cases() {
        let counts = counts(&request_cost::measure(&Build::Counted, &case, 3)?);
        println!("{:<34} {}", case.name, serde_json::to_string(&counts).unwrap_or_default());
        measured.insert(case.name, counts);
    }
    let path = budget_file();
    if write {
        std::fs::write(&path, serde_json::to_string_pretty(&measured).map_err(io::Error::other)? + "\n")?;
        println!("written: {}", path.display());
    }
    let text =
        std::fs::read_to_string(&path).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
    let budget = read(&text).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
    let over = over(&budget, &measured);
    over.iter().for_each(|line| println!("OVER  {line}"));
    let completed = measured.get("completed").cloned().unwrap_or_default();
    println!(
        "check cost: {} of {} kinds within budget; completed: {} system calls, {} allocations a request",
        measured.len()
            - measured.keys().filter(|c| over.iter().any(|l| l.starts_with(&format!("{c}:")))).count(),
        measured.len(),
        completed.get("system calls").copied().unwrap_or_default(),
        completed.get("allocations").copied().unwrap_or_default(),
    );
    Ok(over.is_empty())
}

/// The measured rows as JSON.
pub(crate) fn json(rows: &[(CostCase, RequestCost)]) -> Value {
    let row = |(case, cost): &(CostCase, RequestCost)| {
        json!({"case": case.name, "open": case.concurrent, "body": case.body, "result": case.result,
            "in_flight": case.queued, "connections": case.idle_connections, "dedup_entries": case.dedup_entries, "counts": counts(cost),
            "system_calls": cost.calls, "cpu_us": cost.cpu_time.as_nanos() as f64 / 1e3, "peak_kb": cost.peak_kb})
    };
    rows.iter().map(row).collect()
}

/// Prints the measured rows as a table.
pub(crate) fn print_table(rows: &[(CostCase, RequestCost)]) {
    println!(
        "{:<34}{:>8}{:>8}{:>10}{:>10}{:>9}{:>9}  system calls by name",
        "a request", "calls", "allocs", "bytes", "copied", "cpu us", "peak MB"
    );
    for (case, cost) in rows {
        let heap = |of: fn(&request_cost::HeapUse) -> f64| {
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
            cost.cpu_time.as_nanos() as f64 / 1e3,
            cost.peak_kb as f64 / 1024.0,
            names.join(", ")
        );
    }
}
