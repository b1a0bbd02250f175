//! `aldercrank-testbench soak`: short scenarios, each drawn from a seed, in which servers receive series of signals and
//! are killed exactly at their stop timeout, while callers go on using their open connections.

use crate::check_runner::{run_checks, CheckTask, PRINTED_VIOLATIONS};
use crate::figures;
use crate::scenario_bounds::missed_bounds;
use crate::scenario_command;
use crate::selection::Selection;
use aldercrank_test_cluster::cluster::{run_dir, RunOptions, TestCluster};
use aldercrank_test_cluster::fault_search::remove_needless_steps;
use aldercrank_test_cluster::invariant_checker::Rule;
use aldercrank_test_cluster::process::Program;
use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{InjectedViolation, Scenario};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Servers in each scenario. If there is a versioned configuration, all three are committee members.
const SERVERS: usize = 3;
/// Seconds from the callers' first requests to the first series of signals.
const FIRST_SERIES_S: f64 = 1.5;
/// Seconds from one series of signals to the next.
const SERIES_INTERVAL_S: f64 = 3.4;
/// Number of series of signals in one scenario.
const SERIES: usize = 3;
/// The series to draw from. Each contains SIGTERM.
const SIGNALS: [&str; 12] = [
    "term",
    "hup term",
    "term hup",
    "term term",
    "hup hup-invalid hup term",
    "hup-invalid term hup",
    "hup hup hup term term",
    "term hup-invalid hup",
    "stop term cont",
    "stop hup term cont",
    "term stop cont",
    "hup term pool-restart",
];
/// The gaps between the signals of a series to draw from, in milliseconds.
const GAPS_MS: [f64; 5] = [0.0, 0.3, 1.0, 20.0, 200.0];
/// The most idle connections that one edge node opens. With the connections in use, all edge nodes together stay within
/// half of the server's descriptor limit, as the protocol demands.
const MAX_IDLE_CONNECTIONS: usize = 79;
/// Seeds of `check shutdown`.
const CHECK_SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
/// Scenarios of `check shutdown` played at once.
const CHECK_SIDE_BY_SIDE: usize = 4;

/// The arguments of `soak`.
#[derive(Clone, Debug)]
pub(crate) struct Soak {
    pub(crate) program: Option<PathBuf>,
    pub(crate) seed: u64,
    pub(crate) runs: u64,
    pub(crate) side_by_side: usize,
}

/// A scenario as its base and its steps, so that a failing one can be reduced by leaving out steps.
struct DrawnScenario {
    base: String,
    steps: Vec<String>,
}

impl DrawnScenario {
    /// Draws the scenario of a seed. A seed always gives the same scenario.
    fn of(seed: u64) -> DrawnScenario {
        let mut random = RandomStream::of(seed, "shutdown soak");
        let usage = ["until-closing", "until-end"][random.below(2)];
        let has_versions = random.chance(0.35);
        let pieces =
            if random.chance(0.3) { format!(" pieces-ms={}", 1 + random.below(30)) } else { String::new() };
        let rate = 60 + random.below(160);
        let mut base = format!(
            "name \"soak {seed}\"\nseed {seed}\nseconds 12\n\
             fleet servers={SERVERS} zones=1 cores=4 stop-ms=2000 grace-ms=600 sockets=512\n\
             product \"map-extract\" share=0.5 work-ms=15\n\
             product \"licence-buy\" share=0.3 work-ms=25\n\
             product \"licence-void\" effect=\"once-only\" share=0.2 work-ms=20\n\
             callers rate={rate} edges=3 choose=\"round-robin\" heeds=#false checks-ms=0 connections=3 use=\"{usage}\"{pieces}\n\
             list capacity=800 lag-ms=300\n"
        );
        let mut steps = Vec::new();
        let servers: [usize; SERIES] = std::array::from_fn(|_| random.below(SERVERS));
        for (number, server) in servers.into_iter().enumerate() {
            steps.extend(series_steps(&mut random, number, server, has_versions));
        }
        if has_versions {
            base += "rules committee=3 within-ms=1000 disks=#true\n";
            // Each version stays published for longer than a decision takes, and may be published at any time during a
            // shutdown.
            for (number, server) in servers.into_iter().enumerate() {
                steps.extend(publication_steps(&mut random, number, server));
            }
            base += &format!("bounds acted={}\n", SERIES + 1);
        }
        DrawnScenario { base, steps }
    }

    fn document(&self) -> String {
        format!("{}{}\n", self.base, self.steps.join("\n"))
    }

    fn scenario(&self) -> io::Result<Scenario> {
        Scenario::parse(&self.document()).map_err(|errors| io::Error::other(errors.to_string()))
    }
}

/// Publishes a version while the server `draining` drains. With a probability of 0.3 another committee member is killed
/// or suspended at the same time.
fn publication_steps(random: &mut RandomStream, number: usize, draining: usize) -> Vec<String> {
    let items = ["licence-buy.points=6", "licence-buy.window-ms=5000", "licence-buy.points=4"];
    let item = items[number % items.len()];
    let at = FIRST_SERIES_S + SERIES_INTERVAL_S * number as f64 + 0.1 + 1.8 * random.unit();
    let mut steps = vec![format!("at {at:.3} \"rules\" set=\"{item}\"")];
    if random.chance(0.3) {
        let fault = ["kill", "stop"][random.below(2)];
        let other = (draining + 1 + random.below(SERVERS - 1)) % SERVERS + 1;
        let at = at + 0.03 * random.unit();
        steps.push(format!("at {at:.3} \"{fault}\" server=\"n{other}\" for=0.3"));
    }
    steps
}

/// One series of signals to one server, in most cases with another fault or a change of load at the same time.
fn series_steps(random: &mut RandomStream, number: usize, server: usize, has_versions: bool) -> Vec<String> {
    let at = FIRST_SERIES_S + SERIES_INTERVAL_S * number as f64 + 0.3 * random.unit();
    let server = server + 1;
    let signals = SIGNALS[random.below(SIGNALS.len())];
    let gap_ms = GAPS_MS[random.below(GAPS_MS.len())];
    let mut steps =
        vec![format!("at {at:.3} \"signals\" server=\"n{server}\" send=\"{signals}\" gap-ms={gap_ms}")];
    let before = (at - 0.2).max(0.0);
    match random.below(6) {
        0 => {
            let count = 30 + random.below(MAX_IDLE_CONNECTIONS - 30);
            steps.push(format!("at {before:.3} \"idle-connections\" server=\"n{server}\" count={count}"));
        }
        1 => {
            let times = 3 + random.below(4);
            steps.push(format!("at {at:.3} \"rate\" times={times} for=0.4"));
        }
        // Versions are read from the membership service, so it stays up if there are any.
        2 if !has_versions => {
            let state = ["silent", "down", "closing"][random.below(3)];
            steps.push(format!("at {before:.3} \"list\" state=\"{state}\" for=2.4"));
        }
        3 => {
            let states = ["state=\"hung\"", "state=\"slow\" by=20", "state=\"dead\"", "state=\"shedding\""];
            let state = states[random.below(states.len())];
            steps.push(format!("at {before:.3} \"index\" {state} for=2.2"));
        }
        _ => {}
    }
    steps
}

/// One line for each violation and missed bound.
fn failures(scenario: &Scenario, outcome: &Outcome) -> Vec<String> {
    let violations = outcome.violations.iter().take(PRINTED_VIOLATIONS).map(figures::of_violation);
    violations.chain(missed_bounds(scenario, outcome, None)).collect()
}

/// The outcome of one seed.
struct RunResult {
    attempts: u64,
    unread: u64,
    passed: bool,
}

/// Plays one seed. If it fails, its directory is kept and its timeline is reduced.
fn play_seed(seed: u64, program: &Program) -> io::Result<RunResult> {
    let drawn = DrawnScenario::of(seed);
    let scenario = drawn.scenario()?;
    let dir = run_dir(&format!("soak-{seed}"));
    let options = RunOptions { program: program.clone(), dir: dir.clone(), keep: true, verbose: false };
    let played = TestCluster::run_scenario(&scenario, &options);
    if played.is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let outcome = played?;
    let failures = failures(&scenario, &outcome);
    let counts = outcome.counts;
    println!(
        "seed {seed}: {} attempts, {} runs, {} unread, {} starts, at most {} KB and {} descriptors per server{}",
        counts.attempts,
        counts.runs,
        counts.unread,
        outcome.starts,
        outcome.memory_kb,
        outcome.descriptors,
        failures.iter().map(|failure| format!("\n    FAILED {failure}")).collect::<String>()
    );
    if failures.is_empty() {
        std::fs::remove_dir_all(&dir)?;
    } else {
        println!("    to repeat: aldercrank-testbench soak --seed {seed} --runs 1");
        println!("    kept in {}; trace a request with: aldercrank-testbench why DIR REQUEST", dir.display());
        let shortest = shortest_failing(drawn, program)?;
        println!("    shortest timeline that still fails:\n{}", shortest.document());
    }
    Ok(RunResult { attempts: counts.attempts, unread: counts.unread, passed: failures.is_empty() })
}

/// Leaves out the steps that are not needed for a violation of a rule.
fn shortest_failing(drawn: DrawnScenario, program: &Program) -> io::Result<DrawnScenario> {
    let DrawnScenario { base, steps } = drawn;
    let steps = remove_needless_steps(steps, |fewer| {
        let shorter = DrawnScenario { base: base.clone(), steps: fewer.to_vec() };
        let outcome = scenario_command::play(&shorter.scenario()?, program, false)?;
        Ok(outcome.counts.violations > 0)
    })?;
    Ok(DrawnScenario { base, steps })
}

/// Plays the seeds and prints a line for each and the totals at the end. Returns whether all passed.
pub(crate) fn run(soak: &Soak) -> io::Result<bool> {
    if soak.runs == 0 || soak.side_by_side == 0 {
        return Err(io::Error::other("--runs and --side-by-side must be 1 or more"));
    }
    let program = &scenario_command::program(soak.program.clone())?;
    let (next, results) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..soak.side_by_side {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= soak.runs {
                    break;
                }
                let result = play_seed(soak.seed + number, program);
                results.lock().unwrap_or_else(PoisonError::into_inner).push(result);
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    let results: Vec<RunResult> = results.into_iter().collect::<io::Result<_>>()?;
    let attempts: u64 = results.iter().map(|result| result.attempts).sum();
    let unread: u64 = results.iter().map(|result| result.unread).sum();
    let passed = results.iter().filter(|result| result.passed).count();
    println!("soak: {passed} of {} seeds passed, {attempts} attempts, {unread} unread", results.len());
    Ok(passed == results.len())
}

/// Injected violations, and the rule that the invariant checker must report for each.
const VIOLATIONS: [(InjectedViolation, Rule); 2] =
    [(InjectedViolation::LoseLastAnswer, Rule::Lost), (InjectedViolation::IgnoreTerm, Rule::Drain)];

/// Plays `check shutdown`: some seeds, and scenarios with an injected violation that the invariant checker must report.
/// Returns whether all passed.
pub(crate) fn check(selection: &Selection, program: Option<PathBuf>) -> io::Result<bool> {
    let drawn = CHECK_SEEDS.map(|seed| DrawnScenario::of(seed).scenario().map(CheckTask::Scenario));
    let mut tasks: Vec<CheckTask> = drawn.collect::<io::Result<_>>()?;
    for (kind, rule) in VIOLATIONS {
        let mut scenario = violation_scenario()?;
        scenario.injected_violation = Some(kind);
        tasks.push(CheckTask::Violation(kind, rule, scenario));
    }
    run_checks("shutdown", selection, tasks, &scenario_command::program(program)?, CHECK_SIDE_BY_SIDE)
}

/// One server is asked to shut down while callers use their connections until the server closes them.
fn violation_scenario() -> io::Result<Scenario> {
    let steps = vec!["at 2 \"signals\" server=\"n1\" send=\"term\"".to_string()];
    let base = "seconds 6\nfleet servers=2 zones=1 stop-ms=2000 grace-ms=600\n\
        callers rate=100 edges=3 choose=\"round-robin\" heeds=#false checks-ms=0 use=\"until-end\"\n";
    DrawnScenario { base: base.to_string(), steps }.scenario()
}
