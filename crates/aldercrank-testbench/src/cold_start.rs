//! Clusters whose servers all start at once: the command `coldstart` and the check of the same name.

use crate::check_runner::{repository_scenario, run_checks, CheckTask};
use crate::figures;
use crate::scenario_command;
use crate::selection::Selection;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{Bounds, Fault, Scenario};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Scenarios played at once; each uses well under one core.
const SIDE_BY_SIDE: usize = 4;
/// Scenarios of `check coldstart`.
const SCENARIOS: [&str; 8] = [
    "cold-start-late",
    "cold-start-stop",
    "cold-start-dead",
    "cold-start-half",
    "cold-start-index",
    "cold-start-forgets",
    "cold-start-slow",
    "cold-start",
];

/// The arguments of `coldstart`.
#[derive(Clone, Debug)]
pub(crate) struct ColdStart {
    pub(crate) servers: usize,
    pub(crate) membership_capacity: f64,
    pub(crate) index_slots: f64,
    pub(crate) rate: f64,
    pub(crate) seed: u64,
    pub(crate) program: Option<PathBuf>,
    pub(crate) against: Option<PathBuf>,
    pub(crate) report: Option<PathBuf>,
    pub(crate) json: bool,
}

/// Starts all servers of a cluster at once with a cold index and prints the results, beside those of an earlier build
/// if one is given. Returns whether no rule was broken.
pub(crate) fn run(start: &ColdStart) -> io::Result<bool> {
    let mut scenario = repository_scenario("cold-start-index")?;
    scenario.name = format!("{} servers start at once", start.servers);
    scenario.bounds = Bounds::default();
    (scenario.fleet.servers, scenario.seed) = (start.servers, start.seed);
    (scenario.membership_capacity, scenario.callers.rate) = (start.membership_capacity, start.rate);
    (scenario.index.slots, scenario.index.limit) = (start.index_slots, start.index_slots * 1.5);
    let play = |program: Option<PathBuf>| -> io::Result<Outcome> {
        scenario_command::play(&scenario, &scenario_command::program(program)?, false)
    };
    let now = play(start.program.clone())?;
    let before = start.against.clone().map(|old| play(Some(old))).transpose()?;
    if let Some(file) = &start.report {
        let page = aldercrank_test_cluster::report::html(&now, before.as_ref()).map_err(io::Error::other)?;
        std::fs::write(file, page)?;
        eprintln!("written: {}", file.display());
    }
    if start.json {
        println!("{}", serde_json::json!({"now": now, "before": before}));
    } else {
        print_comparison(&now, before.as_ref());
    }
    Ok(now.counts.violations == 0)
}

fn print_comparison(now: &Outcome, before: Option<&Outcome>) {
    let row = |what: &str, of: &dyn Fn(&Outcome) -> String| {
        let before = before.map_or(String::new(), |b| format!("{:>12}", of(b)));
        println!("{what:<52}{:>12}{before}", of(now));
    };
    let or_never = |s: Option<f64>| s.map_or("never".to_string(), |s| format!("{s:.1}"));
    println!("{:<52}{:>12}{}", now.scenario, "", if before.is_some() { "      before" } else { "" });
    row("membership service, connections", &|o| o.membership.connections.to_string());
    row("  maximum in a second", &|o| o.membership.most_second.to_string());
    row("  maximum in a tenth of a second", &|o| o.membership.most_tenth.to_string());
    row("  reports rejected", &|o| o.membership.rejected.to_string());
    row("all servers listed after, s", &|o| or_never(o.membership.all_listed_s));
    row("registrations of running servers that lapsed", &|o| o.membership.flaps.to_string());
    row("index, maximum of outstanding calls", &|o| o.index_most.to_string());
    row("  slowest second, relative to a call alone", &|o| format!("{:.1}", o.index_slowest));
    row("  collapses", &|o| o.index_collapses.to_string());
    row("value obtained, share of the value sought", &|o| format!("{:.3}", o.value));
    row("  at its steady level after, s", &|o| or_never(o.steady_s));
    row("  earliest possible, s", &|o| format!("{:.1}", o.least_steady_s));
    row("busiest server, completed relative to the mean", &|o| format!("{:.2}", o.crowded));
    row("rules broken", &|o| o.counts.violations.to_string());
}

/// Plays the check, in its short or long form, and prints the figures of an earlier build first if one is given.
/// Returns whether all passed.
pub(crate) fn check(
    selection: &Selection,
    long: bool,
    program: Option<PathBuf>,
    against: Option<PathBuf>,
) -> io::Result<bool> {
    let mut scenarios: Vec<Scenario> =
        SCENARIOS.iter().map(|name| repository_scenario(name)).collect::<io::Result<_>>()?;
    if long {
        // How evenly the first load is shared depends on a machine that keeps up with it, so this scenario is
        // played alone, in the long form only.
        scenarios.push(repository_scenario("cold-start-even")?);
        scenarios.iter_mut().for_each(scale_to_300_servers);
    }
    if let Some(old) = against {
        let old = scenario_command::program(Some(old))?;
        for scenario in &scenarios {
            println!("before {}", figures::of_cold_start(&scenario_command::play(scenario, &old, false)?));
        }
    }
    let tasks: Vec<CheckTask> = scenarios.into_iter().map(CheckTask::Scenario).collect();
    run_checks(
        "coldstart",
        selection,
        tasks,
        &scenario_command::program(program)?,
        if long { 1 } else { SIDE_BY_SIDE },
    )
}

/// Scales a scenario to three hundred servers, and the capacity of the services that they share in proportion.
fn scale_to_300_servers(scenario: &mut Scenario) {
    const SERVERS: usize = 300;
    const MAX_RATE: f64 = 2000.0;
    let times = SERVERS as f64 / scenario.fleet.servers as f64;
    scenario.name = scenario.name.replace("forty", "three hundred");
    scenario.fleet.servers = SERVERS;
    scenario.membership_capacity *= times;
    let rate = (scenario.callers.rate * times).min(MAX_RATE);
    let rate_factor = rate / scenario.callers.rate;
    (scenario.callers.rate, scenario.span) = (rate, scenario.span.mul_f64(1.5));
    (scenario.index.slots, scenario.index.limit) =
        (scenario.index.slots * times, scenario.index.limit * times);
    // Signals to hundreds of processes in one step would delay the test cluster itself, so they are spread out.
    for step in scenario.timeline.iter_mut().filter(|s| matches!(s.fault, Fault::Kill | Fault::Shutdown)) {
        step.each = step.each.max(Duration::from_millis(4));
    }
    // The index takes a number of calls to warm up, and calls arrive faster by this factor.
    scenario.index.calls_to_warm = (f64::from(scenario.index.calls_to_warm) * rate_factor) as u32;
    scenario.bounds.index_most = scenario.bounds.index_most.map(|most| (most as f64 * times) as u64);
    scenario.bounds.membership_rejected =
        scenario.bounds.membership_rejected.map(|most| (most as f64 * times) as u64);
}
