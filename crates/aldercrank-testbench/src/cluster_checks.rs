//! `aldercrank-testbench check live`: scenarios with several server processes and faults between them, and injected
//! violations that the invariant checker must report. Load on the machine changes the figures, not the verdicts.

use crate::check_runner::{repository_scenario, run_checks, CheckTask};
use crate::scenario_command;
use crate::selection::Selection;
use aldercrank_test_cluster::invariant_checker::Rule;
use aldercrank_test_cluster::scenario::{InjectedViolation, Scenario};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Scenarios of the short form. One with a bound relative to a run without faults is played without them as well.
const SHORT: [&str; 10] = [
    "calm",
    "kill-restart",
    "rolling",
    "list-dead",
    "index-slow-dead",
    "zone-one-way",
    "third-stopped",
    "pool-resets",
    "index-half",
    "bad-pairs",
];
/// Scenarios of the long form: clusters of 100 and 300 servers.
const LONG: [&str; 2] = ["long-100", "long-300"];
/// Scenarios played at once; each uses well under one core.
const SIDE_BY_SIDE: usize = 4;

/// Injected violations, and the rule that the invariant checker must report for each.
const VIOLATIONS: [(InjectedViolation, Rule); 6] = [
    (InjectedViolation::LoseAnswer, Rule::Lost),
    (InjectedViolation::DoubleAnswer, Rule::Twice),
    (InjectedViolation::DoubleRun, Rule::Twice),
    (InjectedViolation::LateStart, Rule::Drain),
    (InjectedViolation::SwapResult, Rule::Mixed),
    (InjectedViolation::Overrun, Rule::Fall),
];

fn check_tasks(long: bool) -> io::Result<Vec<CheckTask>> {
    let load = |name: &&str| repository_scenario(name).map(CheckTask::Scenario);
    if long {
        return LONG.iter().map(load).collect();
    }
    let mut all: Vec<CheckTask> = SHORT.iter().map(load).collect::<io::Result<_>>()?;
    for (kind, rule) in VIOLATIONS {
        let mut scenario = repository_scenario("calm")?;
        scenario.fleet.servers = 4;
        scenario.callers.rate = 100.0;
        scenario.span = Duration::from_secs(if kind == InjectedViolation::Overrun { 8 } else { 4 });
        if kind == InjectedViolation::LateStart {
            scenario.timeline =
                Scenario::parse("at 2 \"leave\" share=0.5").map_err(io::Error::other)?.timeline;
        }
        scenario.injected_violation = Some(kind);
        all.push(CheckTask::Violation(kind, rule, scenario));
    }
    Ok(all)
}

/// Plays the check, in its short or long form. Returns whether all passed.
pub(crate) fn check(selection: &Selection, long: bool, program: Option<PathBuf>) -> io::Result<bool> {
    let side_by_side = if long { 1 } else { SIDE_BY_SIDE };
    run_checks("live", selection, check_tasks(long)?, &scenario_command::program(program)?, side_by_side)
}
