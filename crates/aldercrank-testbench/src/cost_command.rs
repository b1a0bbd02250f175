//! The commands `cost` and `instructions`: measure the cost of a request, print it, plot it and compare it with that of
//! an earlier build.

use crate::command_line::CostArguments;
use crate::cost_budget;
use crate::cost_case::{self, CostCase, RequestKind};
use crate::cost_plot;
use crate::request_cost::{self, RequestCost};
use crate::server_under_test::{program_beside, Build};
use std::io;
use std::path::Path;

/// Requests in a round of a comparison of two builds.
const COMPARED_REQUESTS: usize = 320;
/// Requests in a round when instructions are counted.
const COUNTED_REQUESTS: usize = 1024;
/// Rounds of each build in a comparison of two builds.
const COMPARED_ROUNDS: usize = 5;

/// The results, and the cases without one.
#[derive(Default)]
struct Measured {
    rows: Vec<(CostCase, RequestCost)>,
    /// One message for each case that could not be measured.
    missing: Vec<String>,
}

/// Measures the cases. An earlier build may not support all of them, so a case that fails does not end the measurement.
fn measure(build: &Build, cases: Vec<CostCase>, rounds: usize) -> Measured {
    let mut measured = Measured::default();
    for case in cases {
        eprintln!("measuring {} ...", case.name);
        match request_cost::measure(build, &case, rounds) {
            Ok(cost) => measured.rows.push((case, cost)),
            Err(error) => measured.missing.push(format!("{}: not measured: {error}", case.name)),
        }
    }
    measured
}

/// Runs `cost`. Returns whether all cases were measured.
pub(crate) fn run(arguments: &CostArguments) -> io::Result<bool> {
    let build = arguments.program.clone().map_or(Build::Counted, Build::Program);
    let rounds = arguments.rounds.max(1);
    let cases = cost_case::budget_cases().into_iter().chain(cost_case::growth_cases()).collect();
    let mut measured = measure(&build, cases, rounds);
    if arguments.json {
        println!("{}", cost_budget::json(&measured.rows));
    } else {
        cost_budget::print_table(&measured.rows);
    }
    if let Some(file) = &arguments.plot {
        let earlier = arguments.against.as_ref().map(|old| {
            let build = Build::Program(old.clone());
            measure(&build, cost_case::growth_cases(), rounds)
        });
        let earlier = earlier.unwrap_or_default();
        measured.missing.extend(earlier.missing);
        cost_plot::draw(file, &measured.rows, &earlier.rows)
            .map_err(|error| io::Error::other(error.to_string()))?;
        println!("plot written: {}", file.display());
    }
    for line in &measured.missing {
        eprintln!("{line}");
    }
    if let Some(old) = &arguments.against {
        compare(old)?;
    }
    Ok(measured.missing.is_empty())
}

/// Prints the CPU time per request of this build and an earlier one, measured in alternating rounds.
fn compare(old: &Path) -> io::Result<()> {
    let case = |name: &str, queued, concurrent| CostCase {
        queued,
        concurrent,
        requests: COMPARED_REQUESTS,
        ..CostCase::new(name, RequestKind::Completed)
    };
    let cases = [
        case("completed, 1 open", 0, 1),
        case("completed, 32 open", 0, 32),
        case("completed, 100 in flight", 100, 1),
        case("completed, 5000 in flight", 5000, 1),
    ];
    let (new_build, old_build) = (Build::Program(program_beside()), Build::Program(old.to_path_buf()));
    for case in cases {
        let (new, old, ratio) = request_cost::compare(&new_build, &old_build, &case, COMPARED_ROUNDS)?;
        println!("{}: CPU time per request {new:?}, earlier build {old:?}, ratio {ratio:.3}", case.name);
    }
    Ok(())
}

/// Runs `instructions`: counts the instructions per request under valgrind, for several numbers of queued requests,
/// idle connections and deduplication entries.
pub(crate) fn print_instructions() -> io::Result<bool> {
    let case =
        |name: &str| CostCase { requests: COUNTED_REQUESTS, ..CostCase::new(name, RequestKind::Completed) };
    let cases = [
        case("completed"),
        CostCase { concurrent: 32, ..case("completed, 32 open") },
        CostCase { queued: 10, ..case("10 in flight") },
        CostCase { queued: 10_000, ..case("10,000 in flight") },
        CostCase { idle_connections: 5_000, ..case("5,000 idle connections") },
        CostCase { dedup_entries: 50_000, ..case("50,000 dedup entries") },
    ];
    for case in cases {
        let instructions = request_cost::instructions(&case)?;
        println!("{:<34}{instructions:>10.0} instructions per request", case.name);
    }
    Ok(true)
}
