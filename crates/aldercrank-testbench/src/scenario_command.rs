//! `aldercrank-testbench fleet` and `hunt`: play a scenario on a cluster of server processes and print its results;
//! search for scenarios that break a rule.

use crate::command_line::SearchArguments;
use crate::scenario_bounds::missed_bounds;
use crate::server_under_test::program_beside;
use aldercrank_test_cluster::cluster::{run_dir, RunOptions, TestCluster};
use aldercrank_test_cluster::fault_search::{self, SearchStart, SearchTarget};
use aldercrank_test_cluster::process::Program;
use aldercrank_test_cluster::report;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::Scenario;
use std::io;
use std::path::{Path, PathBuf};

/// The arguments of `fleet`.
#[derive(Clone, Debug)]
pub(crate) struct ScenarioRun {
    pub(crate) program: Option<PathBuf>,
    pub(crate) seed: Option<u64>,
    pub(crate) calm: bool,
    pub(crate) json: bool,
    pub(crate) quiet: bool,
    pub(crate) report: Option<PathBuf>,
    pub(crate) keep: Option<PathBuf>,
    pub(crate) file: PathBuf,
}

/// The program under test, by default `aldercrank` in the directory of this program. Fails if there is no such file.
pub(crate) fn program(named: Option<PathBuf>) -> io::Result<Program> {
    let path = named.unwrap_or_else(program_beside);
    if !path.is_file() {
        let why = format!(
            "{}: no such program; build it (cargo build --release) or pass --program FILE",
            path.display()
        );
        return Err(io::Error::other(why));
    }
    Ok(Program::new(path.canonicalize()?, std::env::current_exe()?))
}

/// Reads a scenario file. Fails with all errors in it.
pub(crate) fn load(file: &Path) -> io::Result<Scenario> {
    Scenario::load(file).map_err(|errors| io::Error::other(format!("invalid scenario:\n{errors}")))
}

/// Plays one scenario in a directory of its own.
pub(crate) fn play(scenario: &Scenario, program: &Program, verbose: bool) -> io::Result<Outcome> {
    let dir = run_dir("run");
    TestCluster::run_scenario(scenario, &RunOptions { program: program.clone(), dir, keep: false, verbose })
}

/// Plays the same seed without faults if `requested` or if a bound is relative to it.
pub(crate) fn play_without_faults(
    scenario: &Scenario,
    program: &Program,
    requested: bool,
) -> io::Result<Option<Outcome>> {
    let bounds = &scenario.bounds;
    let relative =
        bounds.of_calm.or(bounds.idempotent_of_calm).or(bounds.cut_off_idempotent_of_calm).is_some();
    (requested || relative).then(|| play(&scenario.calm(), program, false)).transpose()
}

/// Plays a scenario and prints its results. Returns whether all rules and bounds hold.
pub(crate) fn run(options: &ScenarioRun) -> io::Result<bool> {
    let mut scenario = load(&options.file)?;
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    let program = program(options.program.clone())?;
    let (dir, keep) = match &options.keep {
        Some(dir) => (dir.clone(), true),
        None => (run_dir("run"), false),
    };
    let outcome = TestCluster::run_scenario(
        &scenario,
        &RunOptions { program: program.clone(), dir, keep, verbose: !options.quiet },
    )?;
    let calm = play_without_faults(&scenario, &program, options.calm)?;
    if let Some(file) = &options.report {
        std::fs::write(file, report::html(&outcome, calm.as_ref()).map_err(io::Error::other)?)?;
        eprintln!("written: {}", file.display());
    }
    let missed = missed_bounds(&scenario, &outcome, calm.as_ref());
    if options.json {
        let all = serde_json::json!({"outcome": outcome, "calm": calm, "missed": missed});
        println!("{all}");
    } else {
        print_table(&outcome, calm.as_ref(), &missed);
    }
    Ok(outcome.violations.is_empty() && missed.is_empty())
}

fn print_table(o: &Outcome, calm: Option<&Outcome>, missed: &[String]) {
    println!("{}: {} servers, {} s, seed {}", o.scenario, o.servers, o.span_s, o.seed);
    let without_faults =
        |f: &dyn Fn(&Outcome) -> f64| calm.map_or(String::new(), |c| format!("{:>14.3}", f(c)));
    println!("{:<34}{:>10}{}", "", "", if calm.is_some() { "without faults" } else { "" });
    println!("{:<34}{:>10.3}{}", "value obtained of value sought", o.value, without_faults(&|o| o.value));
    for (n, (name, share)) in o.classes.iter().enumerate() {
        println!("{:<34}{share:>10.3}{}", format!("  {name}"), without_faults(&|o| o.classes[n].1));
    }
    for (end, count) in &o.ends {
        let other = calm.map_or(String::new(), |c| format!("{:>14}", c.ends.get(end).copied().unwrap_or(0)));
        println!("{:<34}{count:>10}{other}", format!("  {end:?}"));
    }
    println!("{:<34}{:>10}", "completed without the index call", o.degraded);
    println!("{:<34}{:>10.1}{}", "completed, median ms", o.p50_ms, without_faults(&|o| o.p50_ms));
    println!("{:<34}{:>10.1}{}", "completed, 99th percentile ms", o.p99_ms, without_faults(&|o| o.p99_ms));
    println!("{:<34}{:>10}", "attempts", o.counts.attempts);
    println!("{:<34}{:>10}", "runs", o.counts.runs);
    println!("{:<34}{:>10}", "runs repeated on another incarnation", o.counts.across);
    println!("{:<34}{:>10}", "connections at the membership service", o.membership.connections);
    println!("{:<34}{:>10}", "  maximum in a second", o.membership.most_second);
    println!("{:<34}{:>10}", "  maximum in a tenth of a second", o.membership.most_tenth);
    println!("{:<34}{:>10}", "  reports rejected", o.membership.rejected);
    println!("{:<34}{:>10}", "lapsed while running", o.membership.flaps);
    println!("{:<34}{:>10}", "maximum of outstanding index calls", o.index_most);
    println!("{:<34}{:>10}", "maximum memory of a server, KB", o.memory_kb);
    println!("{:<34}{:>10}", "maximum descriptors of a server", o.descriptors);
    println!("{:<34}{:>10.2}", "CPU time of the servers, s", o.servers_cpu_s);
    if let Some(a) = &o.version_figures {
        println!("{:<34}{:>10}", "versions published", a.published);
        println!("{:<34}{:>10}", "  acted on, including the first", a.acted_on);
        println!("{:<34}{:>10.0}", "conflicting versions, max apart ms", a.farthest_ms);
        println!("{:<34}{:>10.0}", "free version in use, p99 ms", a.free_p99_ms);
        println!("{:<34}{:>10.0}", "fenced version in use, p99 ms", a.fenced_p99_ms);
        println!("{:<34}{:>10}", "messages between servers", a.peer_messages);
        println!("{:<34}{:>10}", "reads of the membership service", a.reads);
    }
    println!("{:<34}{:>10.2}", "CPU time of the test cluster, s", o.cluster_cpu_s);
    println!("{:<34}{:>10.2}", "start until all are listed, s", o.start_s);
    for broken in &o.violations {
        let (attempt, server) =
            (broken.attempt.clone().unwrap_or_default(), broken.server.clone().unwrap_or_default());
        println!("BROKEN {:?} at {:.3} s {server} {attempt}: {}", broken.rule, broken.at, broken.what);
    }
    missed.iter().for_each(|m| println!("MISSED {m}"));
    println!("rules broken: {}, bounds missed: {}", o.counts.violations, missed.len());
}

/// Searches that run in parallel.
const PARALLEL_SEARCHES: u64 = 4;

/// Searches for timelines of faults that break a rule or cost the most value, and writes the smallest ones found.
/// Returns whether no rule was broken.
pub(crate) fn search(arguments: &SearchArguments) -> io::Result<bool> {
    let program = &program(arguments.program.clone())?;
    let target = if arguments.rules { SearchTarget::Versions } else { SearchTarget::Servers };
    let search_from = |n: u64| {
        fault_search::hunt(
            arguments.seconds,
            SearchStart { seed: arguments.seed * PARALLEL_SEARCHES + n, target },
            &mut |scenario| play(scenario, program, false),
            &|line| eprintln!("{line}"),
        )
    };
    let mut finds = Vec::new();
    std::thread::scope(|scope| {
        let searches: Vec<_> = (0..PARALLEL_SEARCHES).map(|n| scope.spawn(move || search_from(n))).collect();
        for search in searches {
            finds.extend(search.join().map_err(|_| io::Error::other("a search panicked"))??);
        }
        io::Result::Ok(())
    })?;
    fault_search::rank(&mut finds);
    std::fs::create_dir_all(&arguments.into)?;
    for (n, find) in finds.iter().enumerate() {
        let file = arguments.into.join(format!("found-{}-{}.kdl", arguments.seed, n + 1));
        std::fs::write(&file, &find.text)?;
        println!(
            "{}: {:.3} of the value without faults, {} rules broken",
            file.display(),
            find.of_calm,
            find.violations
        );
    }
    Ok(finds.iter().all(|find| find.violations == 0))
}
