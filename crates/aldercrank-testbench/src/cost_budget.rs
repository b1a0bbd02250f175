//! `aldercrank-testbench check cost`: compares the measured cost of a request of each kind with a budget. Only counts
//! that do not depend on the speed of the machine are in the budget.

use crate::cost_case::{self, CostCase};
use crate::request_cost::{self, RequestCost};
use crate::server_under_test::Build;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Tolerance for the system calls and allocations of periodic work, per request: it may fall into even the cheapest
/// round.
const PERIODIC_SLACK: f64 = 0.06;
/// Tolerance as a share of the budget.
const TOLERANCE: f64 = 0.02;
/// Tolerance for the system calls of cases whose number of reads and writes depends on how the bytes are split up.
const PIECEWISE_TOLERANCE: [(&str, f64); 2] = [("with a call", 0.15), ("completed, 1 MiB result", 0.5)];

/// The counts of one case, by what is counted.
pub type Counts = BTreeMap<String, f64>;
/// The counts of each case, by its name.
pub type Budget = BTreeMap<String, Counts>;

/// Fixed upper bounds that apply whatever the budget allows: case, what is counted, maximum.
pub const BOUNDS: [(&str, &str, f64); 6] = [
    ("completed", "system calls", 6.0),
    ("completed, 32 open", "system calls", 2.0),
    ("rejected", "system calls", 3.0),
    ("rejected, 32 open", "system calls", 1.0),
    ("completed", "allocations", 4.0),
    ("completed, 32 open", "allocations", 4.0),
];

/// The counts of a measured case, rounded as in the budget.
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

/// One line for each count above its budget or fixed bound, and for each case that the budget or the measurement lacks.
pub fn excesses(budget: &Budget, measured: &Budget) -> Vec<String> {
    let mut lines = Vec::new();
    for (case, counts) in measured {
        let Some(allowed) = budget.get(case) else {
            lines.push(format!("{case}: not in the budget; add it with check --write cost"));
            continue;
        };
        for (what, n) in counts {
            let budgeted = allowed.get(what).copied().unwrap_or(0.0);
            let piecewise =
                PIECEWISE_TOLERANCE.iter().find(|(name, _)| name == case).map(|(_, share)| *share);
            let share = piecewise.filter(|_| what == "system calls").unwrap_or(TOLERANCE);
            let min_room = if what.starts_with("bytes") { 16.0 } else { PERIODIC_SLACK };
            let room = (budgeted * share).max(min_room);
            if *n > budgeted + room {
                lines.push(format!("{case}: {what} {n} per request, {budgeted} in the budget"));
            }
        }
    }
    for case in budget.keys().filter(|case| !measured.contains_key(*case)) {
        lines.push(format!("{case}: in the budget, but not measured"));
    }
    for (case, what, most) in BOUNDS {
        let n = measured.get(case).and_then(|counts| counts.get(what)).copied();
        if n.is_none_or(|n| n > most + PERIODIC_SLACK) {
            let found = n.map_or("not measured".to_string(), |n| format!("{n} per request"));
            lines.push(format!("{case}: {what} {found}, at most {most} allowed"));
        }
    }
    lines
}

fn budget_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("budget.json")
}

/// Why the text of a budget is malformed.
#[derive(Debug, thiserror::Error)]
pub enum BudgetError {
    /// The text is not a JSON document.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// The document is not an object of cases.
    #[error("not an object that maps cases to counts")]
    NotCases,
    /// The value of a case is not an object of counts.
    #[error("{case} is not an object of counts")]
    NotCounts {
        /// The name of the case.
        case: String,
    },
    /// A count is not a number.
    #[error("{case}: {what} is not a number")]
    NotNumber {
        /// The name of the case.
        case: String,
        /// What is counted.
        what: String,
    },
}

/// Parses a budget from JSON.
///
/// # Errors
///
/// The first malformed value.
pub fn parse(text: &str) -> Result<Budget, BudgetError> {
    let json: Value = serde_json::from_str(text)?;
    let cases = json.as_object().ok_or(BudgetError::NotCases)?;
    cases.iter().map(|(case, counts)| Ok((case.clone(), parse_counts(case, counts)?))).collect()
}

fn parse_counts(case: &str, counts: &Value) -> Result<Counts, BudgetError> {
    let counts = counts.as_object().ok_or_else(|| BudgetError::NotCounts { case: case.to_string() })?;
    let number = |(what, count): (&String, &Value)| match count.as_f64() {
        Some(count) => Ok((what.clone(), count)),
        None => Err(BudgetError::NotNumber { case: case.to_string(), what: what.clone() }),
    };
    counts.iter().map(number).collect()
}

/// Measures the cases of the budget and compares them with it, after writing it anew if `write` is set. Returns whether
/// all counts are within the budget and the fixed bounds.
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
    let budget = parse(&text).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
    let excesses = excesses(&budget, &measured);
    excesses.iter().for_each(|line| println!("OVER  {line}"));
    let completed = measured.get("completed").cloned().unwrap_or_default();
    println!(
        "check cost: {} of {} kinds within budget; completed: {} system calls, {} allocations per request",
        measured.len()
            - measured.keys().filter(|c| excesses.iter().any(|l| l.starts_with(&format!("{c}:")))).count(),
        measured.len(),
        completed.get("system calls").copied().unwrap_or_default(),
        completed.get("allocations").copied().unwrap_or_default(),
    );
    Ok(excesses.is_empty())
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
        "case", "calls", "allocs", "bytes", "copied", "cpu us", "peak MB"
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
