//! `aldercrank-lab check live`: scenarios with several processes of the program and faults between them, and runs
//! broken on purpose that the checker must name. Played side by side; a noisy machine changes figures, not verdicts.

use crate::agree;
use crate::fleet::{self, missed};
use crate::selection::Selection;
use aldercrank_test_cluster::invariant_checker::Rule;
use aldercrank_test_cluster::process::Program;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{Fault, InjectedViolation, Scenario};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Played in the short form, each against the same seed without faults where it has such a bound.
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
/// What `check coldstart` plays.
const COLD: [&str; 8] = [
    "cold-start-late",
    "cold-start-stop",
    "cold-start-dead",
    "cold-start-half",
    "cold-start-index",
    "cold-start-forgets",
    "cold-start-slow",
    "cold-start",
];
const LONG: [&str; 2] = ["long-100", "long-300"];
/// Runs at once: each keeps well under a core busy.
const SIDE_BY_SIDE: usize = 4;

/// Broken on purpose, and the rule that has to be named for it.
const BROKEN: [(InjectedViolation, Rule); 6] = [
    (InjectedViolation::LoseAnswer, Rule::Lost),
    (InjectedViolation::DoubleAnswer, Rule::Twice),
    (InjectedViolation::DoubleRun, Rule::Twice),
    (InjectedViolation::LateStart, Rule::Drain),
    (InjectedViolation::SwapResult, Rule::Mixed),
    (InjectedViolation::Overrun, Rule::Fall),
];

pub enum Task {
    Scenario(Scenario),
    Broken(InjectedViolation, Rule, Scenario),
    /// Played by a program that goes wrong in this way, which has to be named for it.
    Wrong(&'static str, Scenario, Program),
}

impl Task {
    /// The name by which a command line selects it.
    fn name(&self) -> String {
        match self {
            Task::Scenario(scenario) => scenario.name.clone(),
            Task::Broken(kind, _, _) => format!("{kind:?}"),
            Task::Wrong(fault, _, _) => fault.to_string(),
        }
    }
}

/// One of the repository's scenarios.
pub fn named(name: &str) -> io::Result<Scenario> {
    fleet::load(&Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/{name}.kdl")))
}

fn tasks(long: bool) -> io::Result<Vec<Task>> {
    let load = |name: &&str| named(name).map(Task::Scenario);
    if long {
        return LONG.iter().map(load).collect();
    }
    let mut all: Vec<Task> = SHORT.iter().map(load).collect::<io::Result<_>>()?;
    for (kind, rule) in BROKEN {
        let mut scenario = named("calm")?;
        scenario.fleet.servers = 4;
        scenario.callers.rate = 100.0;
        scenario.span = Duration::from_secs(if kind == InjectedViolation::Overrun { 8 } else { 4 });
        if kind == InjectedViolation::LateStart {
            scenario.timeline =
                Scenario::parse("at 2 \"leave\" share=0.5").map_err(io::Error::other)?.timeline;
        }
        scenario.sabotage = Some(kind);
        all.push(Task::Broken(kind, rule, scenario));
    }
    Ok(all)
}

/// One task's figures, and whether it came out as it had to.
fn one(task: &Task, program: &Program) -> io::Result<(String, bool)> {
    match task {
        Task::Scenario(scenario) => {
            // Side by side, so that both meet the same machine.
            let (outcome, calm) = std::thread::scope(|scope| {
                let calm = scope.spawn(|| fleet::beside_it(scenario, program, false));
                let outcome = fleet::play(scenario, program, false);
                let calm =
                    calm.join().unwrap_or_else(|_| Err(io::Error::other("the run beside it panicked")));
                (outcome, calm)
            });
            let (outcome, calm) = (outcome?, calm?);
            let missed = missed(scenario, &outcome, calm.as_ref());
            let mut line = match scenario.from_start {
                true => list_figures(&outcome),
                false if scenario.rules.is_some() => agree::figures(&outcome, calm.as_ref()),
                false => figures(&outcome, calm.as_ref()),
            };
            for broken in outcome.broken.iter().take(5) {
                let who = (
                    broken.attempt.as_deref().unwrap_or_default(),
                    broken.server.as_deref().unwrap_or_default(),
                );
                line += &format!(
                    "\n    BROKEN {:?} at {:.3} s {} {}: {}",
                    broken.rule, broken.at, who.0, who.1, broken.what
                );
            }
            missed.iter().for_each(|m| line += &format!("\n    MISSED {m}"));
            Ok((line, outcome.counts.broken == 0 && missed.is_empty()))
        }
        Task::Wrong(mistake, scenario, program) => agree::goes_wrong(mistake, scenario, program),
        Task::Broken(kind, rule, scenario) => {
            let outcome = fleet::play(scenario, program, false)?;
            let named = outcome.broken.iter().filter(|b| b.rule == *rule).count();
            let others = outcome.broken.iter().filter(|b| b.rule != *rule).count();
            let line = format!(
                "broken on purpose, {kind:?}: {rule:?} named {named} times, other rules {others} times"
            );
            Ok((line, named > 0 && others == 0))
        }
    }
}

fn figures(o: &Outcome, calm: Option<&Outcome>) -> String {
    let of_calm = calm.map_or(String::new(), |c| format!(" of calm {:.3}", o.value / c.value.max(1e-9)));
    format!(
        "{}: {} servers, value {:.3}{of_calm}, {} tries, {} runs, lost {}, twice {}, across lives {}, rules broken {}, \
         rig {:.2} cores, {} MB, start {:.1} s",
        o.scenario,
        o.servers,
        o.value,
        o.counts.attempts,
        o.counts.runs,
        o.broken.iter().filter(|b| matches!(b.rule, Rule::Lost | Rule::Late)).count(),
        o.broken.iter().filter(|b| b.rule == Rule::Twice).count(),
        o.counts.across,
        o.counts.broken,
        o.rig_cpu_s / o.span_s,
        o.rig_memory_kb / 1000,
        o.start_s
    )
}

/// A start of so many, as `aldercrank-lab coldstart` plays it.
#[derive(Clone, Debug)]
pub struct Start {
    pub servers: usize,
    pub list_capacity: f64,
    pub index_slots: f64,
    pub rate: f64,
    pub seed: u64,
    pub program: Option<PathBuf>,
    pub against: Option<PathBuf>,
    pub report: Option<PathBuf>,
    pub json: bool,
}

/// Starts a fleet at once over a cold index, shows what came of it, and the same for an earlier build.
pub fn start(start: &Start) -> io::Result<bool> {
    let mut scenario = named("cold-start-index")?;
    scenario.name = format!("{} servers start at once", start.servers);
    scenario.bounds = Default::default();
    (scenario.fleet.servers, scenario.seed) = (start.servers, start.seed);
    (scenario.list_capacity, scenario.callers.rate) = (start.list_capacity, start.rate);
    (scenario.index.slots, scenario.index.limit) = (start.index_slots, start.index_slots * 1.5);
    let play = |program: Option<PathBuf>| -> io::Result<Outcome> {
        fleet::play(&scenario, &fleet::program(program)?, false)
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
        start_table(&now, before.as_ref());
    }
    Ok(now.counts.broken == 0)
}

fn start_table(now: &Outcome, before: Option<&Outcome>) {
    let row = |what: &str, of: &dyn Fn(&Outcome) -> String| {
        let before = before.map_or(String::new(), |b| format!("{:>12}", of(b)));
        println!("{what:<52}{:>12}{before}", of(now));
    };
    let or_never = |s: Option<f64>| s.map_or("never".to_string(), |s| format!("{s:.1}"));
    println!("{:<52}{:>12}{}", now.scenario, "", if before.is_some() { "      before" } else { "" });
    row("list service, connections", &|o| o.list.connections.to_string());
    row("  most in a second", &|o| o.list.most_second.to_string());
    row("  most in a tenth of a second", &|o| o.list.most_tenth.to_string());
    row("  reports not taken", &|o| o.list.refused.to_string());
    row("all listed after, s", &|o| or_never(o.list.all_listed_s));
    row("lapses of running servers", &|o| o.list.flaps.to_string());
    row("index, most calls in hand", &|o| o.index_most.to_string());
    row("  slowest second, times one alone", &|o| format!("{:.1}", o.index_slowest));
    row("  collapses", &|o| o.index_collapses.to_string());
    row("value", &|o| format!("{:.3}", o.value));
    row("  steady after, s", &|o| or_never(o.steady_s));
    row("  least possible, s", &|o| format!("{:.1}", o.least_steady_s));
    row("most settled by one server, times the mean", &|o| format!("{:.2}", o.crowded));
    row("rules broken", &|o| o.counts.broken.to_string());
}

/// A fleet that starts at once, and what it comes to at the list service; an earlier build beside it for its figures.
pub fn cold(
    selection: &Selection,
    long: bool,
    program: Option<PathBuf>,
    against: Option<PathBuf>,
) -> io::Result<bool> {
    let mut scenarios: Vec<Scenario> = COLD.iter().map(|name| named(name)).collect::<io::Result<_>>()?;
    if long {
        // How evenly a first load is shared hangs on a machine that keeps up with it: no verdict for a busy one.
        scenarios.push(named("cold-start-even")?);
        scenarios.iter_mut().for_each(grown);
    }
    if let Some(old) = against {
        let old = fleet::program(Some(old))?;
        for scenario in &scenarios {
            println!("before {}", list_figures(&fleet::play(scenario, &old, false)?));
        }
    }
    let tasks: Vec<Task> = scenarios.into_iter().map(Task::Scenario).collect();
    judge("coldstart", selection, tasks, &fleet::program(program)?, if long { 1 } else { SIDE_BY_SIDE })
}

/// The same start of three hundred servers: what they share can do as much more.
fn grown(scenario: &mut Scenario) {
    const SERVERS: usize = 300;
    const MOST_RATE: f64 = 2000.0;
    let times = SERVERS as f64 / scenario.fleet.servers as f64;
    scenario.name = scenario.name.replace("forty", "three hundred");
    scenario.fleet.servers = SERVERS;
    scenario.list_capacity *= times;
    let rate = (scenario.callers.rate * times).min(MOST_RATE);
    let calls = rate / scenario.callers.rate;
    (scenario.callers.rate, scenario.span) = (rate, scenario.span.mul_f64(1.5));
    (scenario.index.slots, scenario.index.limit) =
        (scenario.index.slots * times, scenario.index.limit * times);
    // The rig itself takes a moment for each process: hundreds in one turn would be its own pause.
    for step in scenario.timeline.iter_mut().filter(|s| matches!(s.fault, Fault::Kill | Fault::Leave)) {
        step.each = step.each.max(Duration::from_millis(4));
    }
    // It warms by calls, which come so much oftener.
    scenario.index.warming = (f64::from(scenario.index.warming) * calls) as u32;
    scenario.bounds.index_most = scenario.bounds.index_most.map(|most| (most as f64 * times) as u64);
    scenario.bounds.list_refused = scenario.bounds.list_refused.map(|most| (most as f64 * times) as u64);
}

fn list_figures(o: &Outcome) -> String {
    let listed = o.list.all_listed_s.map_or("never".to_string(), |at| format!("after {at:.1} s"));
    format!(
        "{}: {} connections at the list service, at most {} in a second and {} in a tenth ({} and {} from 5 s on), \
         {} reports not taken, all listed {listed}, {} lapses, value {:.3}, steady after {} s ({:.1} at least), index at \
         most {} and {:.1} times one alone, most on one server {:.2}, rules broken {}",
        o.scenario,
        o.list.connections,
        o.list.most_second,
        o.list.most_tenth,
        o.list.later_second,
        o.list.later_tenth,
        o.list.refused,
        o.list.flaps,
        o.value,
        o.steady_s.map_or("-".to_string(), |s| format!("{s:.0}")),
        o.least_steady_s,
        o.index_most,
        o.index_slowest,
        o.crowded,
        o.counts.broken
    )
}

pub fn check(selection: &Selection, long: bool, program: Option<PathBuf>) -> io::Result<bool> {
    let side_by_side = if long { 1 } else { SIDE_BY_SIDE };
    judge("live", selection, tasks(long)?, &fleet::program(program)?, side_by_side)
}

/// Plays all of them, so many at once; says a line for each, and a last one.
pub fn judge(
    name: &str,
    selection: &Selection,
    mut tasks: Vec<Task>,
    program: &Program,
    side_by_side: usize,
) -> io::Result<bool> {
    selection.check(&tasks.iter().map(Task::name).collect::<Vec<_>>())?;
    tasks.retain(|task| selection.includes(&task.name()));
    let (next, lines) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..side_by_side {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let Some(task) = tasks.get(n) else { return };
                let came = one(task, program);
                let line = match &came {
                    Ok((line, good)) => format!("{} {line}", if *good { "ok    " } else { "FAILED" }),
                    Err(e) => format!("FAILED it could not be played: {e}"),
                };
                println!("{line}");
                if let Ok(mut lines) = lines.lock() {
                    lines.push(came);
                }
            });
        }
    });
    let lines = lines.into_inner().unwrap_or_default();
    if let Some(Err(e)) = lines.iter().find(|l| l.is_err()) {
        return Err(io::Error::other(e.to_string()));
    }
    let good = lines.iter().filter(|l| matches!(l, Ok((_, true)))).count();
    println!("check {name}: {good} of {} as they had to be", tasks.len());
    Ok(good == tasks.len())
}
