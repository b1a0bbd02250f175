//! `aldercrank-lab fleet`: plays a scenario on real processes, shows what it came to, and follows one txn through it.

use crate::server::beside;
use aldercrank_test_cluster::cluster::{run_dir, RunOptions, TestCluster};
use aldercrank_test_cluster::fault_search::{self, Game, SearchStart};
use aldercrank_test_cluster::ids::ServerNo;
use aldercrank_test_cluster::process::Program;
use aldercrank_test_cluster::report;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{Bounds, Scenario};
use std::io;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug)]
pub struct Fleet {
    pub program: Option<PathBuf>,
    pub seed: Option<u64>,
    pub calm: bool,
    pub json: bool,
    pub quiet: bool,
    pub report: Option<PathBuf>,
    pub keep: Option<PathBuf>,
    pub file: PathBuf,
}

/// The program under test, and this one, which holds it.
pub fn program(named: Option<PathBuf>) -> io::Result<Program> {
    let path = named.unwrap_or_else(beside);
    if !path.is_file() {
        let why =
            format!("{}: no such program; build it (cargo build --release) or name one", path.display());
        return Err(io::Error::other(why));
    }
    Ok(Program::new(path.canonicalize()?, std::env::current_exe()?))
}

pub fn load(file: &Path) -> io::Result<Scenario> {
    Scenario::load(file).map_err(|wrong| io::Error::other(format!("not a scenario:\n{wrong}")))
}

/// Plays one scenario in a directory of its own.
pub fn play(scenario: &Scenario, program: &Program, verbose: bool) -> io::Result<Outcome> {
    let dir = run_dir("run");
    TestCluster::play(scenario, &RunOptions { program: program.clone(), dir, keep: false, verbose })
}

/// The same seed without faults, where it is asked for or a bound is a share of it.
pub fn beside_it(scenario: &Scenario, program: &Program, asked: bool) -> io::Result<Option<Outcome>> {
    let bounds = &scenario.bounds;
    let relative = bounds.of_calm.or(bounds.inquiry_of_calm).or(bounds.cut_inquiry_of_calm).is_some();
    (asked || relative).then(|| play(&scenario.calm(), program, false)).transpose()
}

/// Which bounds do not hold, in words.
pub fn missed(scenario: &Scenario, outcome: &Outcome, calm: Option<&Outcome>) -> Vec<String> {
    let (bounds, capacity) = (&scenario.bounds, scenario.list_capacity);
    let mut missed = Vec::new();
    let mut least = |what: &str, found: f64, least: Option<f64>| {
        if let Some(least) = least.filter(|least| found < *least) {
            missed.push(format!("{what} {found:.3}, {least:.3} wanted"));
        }
    };
    least("value", outcome.value, bounds.value);
    if let Some(calm) = calm {
        least("value of calm", outcome.value / calm.value.max(1e-9), bounds.of_calm);
        let inquiry = outcome.inquiry / calm.inquiry.max(1e-9);
        least("inquiry-like value of calm", inquiry, bounds.inquiry_of_calm);
    }
    missed.extend(missed_of_list(bounds, outcome, capacity));
    missed.extend(missed_of_rules(scenario, outcome, calm));
    missed.extend(missed_of_start(bounds, outcome));
    if let Some(most) = bounds.across.filter(|most| outcome.counts.across > *most) {
        missed.push(format!("{} runs of one txn in several lives, {most} at most", outcome.counts.across));
    }
    missed
}

/// The share of inquiry-like tries that these servers settled.
fn completed_at(outcome: &Outcome, servers: &[ServerNo]) -> f64 {
    let of = |s: &ServerNo| outcome.by_server.get(s.0 as usize).copied().unwrap_or_default();
    let (tries, completed) = servers.iter().map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    completed as f64 / tries.max(1) as f64
}

/// What a start's bounds come to.
fn missed_of_start(bounds: &Bounds, outcome: &Outcome) -> Vec<String> {
    let mut missed = Vec::new();
    if let Some(most) = bounds.collapses.filter(|most| u64::from(outcome.index_collapses) > *most) {
        missed.push(format!("the index collapsed {} times, {most} at most", outcome.index_collapses));
    }
    if let Some(most) = bounds.flaps.filter(|most| outcome.list.flaps > *most) {
        missed.push(format!("servers lapsed {} times while they ran, {most} at most", outcome.list.flaps));
    }
    if let Some(most) = bounds.crowded.filter(|most| outcome.crowded > *most) {
        missed.push(format!(
            "one server settled {:.2} times the mean in a second, {most} at most",
            outcome.crowded
        ));
    }
    if let Some(times) = bounds.steady {
        // Seconds are what values are told in.
        let most = (times * outcome.least_steady_s).ceil();
        if outcome.steady_s.is_none_or(|at| at > most) {
            missed.push(format!("steady after {:?} s, {most} at most", outcome.steady_s));
        }
    }
    missed
}

/// What the rule book's bounds come to.
fn missed_of_rules(scenario: &Scenario, outcome: &Outcome, calm: Option<&Outcome>) -> Vec<String> {
    let (bounds, mut missed) = (&scenario.bounds, Vec::new());
    if let Some(most) = bounds.index_most.filter(|most| outcome.index_most as u64 > *most) {
        missed.push(format!("{} calls in hand at the index, {most} at most", outcome.index_most));
    }
    let Some(agree) = &outcome.agree else { return missed };
    if let Some(least) = bounds.acted.filter(|least| (agree.acted_on as u64) < *least) {
        missed.push(format!("{} versions were acted on, {least} wanted", agree.acted_on));
    }
    for (what, found, most) in [
        ("free", agree.free_p99_ms, bounds.free_p99_ms),
        ("fenced", agree.fenced_p99_ms, bounds.fenced_p99_ms),
    ] {
        if let Some(most) = most.filter(|most| found > *most) {
            missed.push(format!("versions of {what} items took {found:.0} ms (p99), {most:.0} at most"));
        }
    }
    if let Some((least, calm)) = bounds.cut_inquiry_of_calm.zip(calm) {
        let cut = |n: &usize| scenario.timeline[*n].word == "cut";
        let servers: Vec<ServerNo> =
            (0..scenario.timeline.len()).filter(cut).flat_map(|n| scenario.reached(n)).collect();
        let found = completed_at(outcome, &servers) / completed_at(calm, &servers).max(1e-9);
        if found < least {
            missed.push(format!("inquiry-like work of those cut off {found:.3} of calm, {least} wanted"));
        }
    }
    missed
}

/// What the list service was asked beyond its bounds.
fn missed_of_list(bounds: &Bounds, outcome: &Outcome, capacity: f64) -> Vec<String> {
    let (list, mut missed) = (&outcome.list, Vec::new());
    let mut most = |what: &str, found: usize, share: Option<f64>| {
        if let Some(most) = share.map(|share| share * capacity).filter(|most| found as f64 > *most) {
            missed.push(format!("{found} connections at the list service in {what}, {most:.0} at most"));
        }
    };
    most("one second", list.most_second, bounds.list_second);
    most("a tenth of a second", list.most_tenth, bounds.list_tenth);
    if let Some(most) = bounds.list_refused.filter(|most| list.refused > *most) {
        missed.push(format!("{} reports refused, {most} at most", list.refused));
    }
    if let Some(by) = bounds.listed_by.map(|by| by.as_secs_f64()) {
        if list.all_listed_s.is_none_or(|at| at > by) {
            missed.push(format!("all listed after {:?} s, {by} wanted", list.all_listed_s));
        }
    }
    missed
}

pub fn run(fleet: &Fleet) -> io::Result<bool> {
    let mut scenario = load(&fleet.file)?;
    scenario.seed = fleet.seed.unwrap_or(scenario.seed);
    let program = program(fleet.program.clone())?;
    let (dir, keep) = match &fleet.keep {
        Some(dir) => (dir.clone(), true),
        None => (run_dir("run"), false),
    };
    let outcome = TestCluster::play(
        &scenario,
        &RunOptions { program: program.clone(), dir, keep, verbose: !fleet.quiet },
    )?;
    let calm = beside_it(&scenario, &program, fleet.calm)?;
    if let Some(file) = &fleet.report {
        std::fs::write(file, report::html(&outcome, calm.as_ref()).map_err(io::Error::other)?)?;
        eprintln!("written: {}", file.display());
    }
    let missed = missed(&scenario, &outcome, calm.as_ref());
    if fleet.json {
        let all = serde_json::json!({"outcome": outcome, "calm": calm, "missed": missed});
        println!("{all}");
    } else {
        table(&outcome, calm.as_ref(), &missed);
    }
    Ok(outcome.broken.is_empty() && missed.is_empty())
}

fn table(o: &Outcome, calm: Option<&Outcome>, missed: &[String]) {
    println!("{}: {} servers, {} s, seed {}", o.scenario, o.servers, o.span_s, o.seed);
    let beside = |f: &dyn Fn(&Outcome) -> f64| calm.map_or(String::new(), |c| format!("{:>14.3}", f(c)));
    println!("{:<34}{:>10}{}", "", "", if calm.is_some() { "without faults" } else { "" });
    println!("{:<34}{:>10.3}{}", "value got of value sought", o.value, beside(&|o| o.value));
    for (n, (name, share)) in o.classes.iter().enumerate() {
        println!("{:<34}{share:>10.3}{}", format!("  {name}"), beside(&|o| o.classes[n].1));
    }
    for (end, count) in &o.ends {
        let other = calm.map_or(String::new(), |c| format!("{:>14}", c.ends.get(end).copied().unwrap_or(0)));
        println!("{:<34}{count:>10}{other}", format!("  {end:?}"));
    }
    println!("{:<34}{:>10}", "settled without their call", o.poorer);
    println!("{:<34}{:>10.1}{}", "settled, median ms", o.p50_ms, beside(&|o| o.p50_ms));
    println!("{:<34}{:>10.1}{}", "settled, 99th percentile ms", o.p99_ms, beside(&|o| o.p99_ms));
    println!("{:<34}{:>10}", "tries", o.counts.attempts);
    println!("{:<34}{:>10}", "runs", o.counts.runs);
    println!("{:<34}{:>10}", "runs of one txn in several lives", o.counts.across);
    println!("{:<34}{:>10}", "connections at the list service", o.list.connections);
    println!("{:<34}{:>10}", "  most in a second", o.list.most_second);
    println!("{:<34}{:>10}", "  most in a tenth of a second", o.list.most_tenth);
    println!("{:<34}{:>10}", "  reports not taken", o.list.refused);
    println!("{:<34}{:>10}", "times a running server lapsed", o.list.flaps);
    println!("{:<34}{:>10}", "most calls in hand at the index", o.index_most);
    println!("{:<34}{:>10}", "most memory of a server, KB", o.memory_kb);
    println!("{:<34}{:>10}", "most descriptors of a server", o.descriptors);
    println!("{:<34}{:>10.2}", "servers' time on a core, s", o.servers_cpu_s);
    if let Some(a) = &o.agree {
        println!("{:<34}{:>10}", "versions published", a.published);
        println!("{:<34}{:>10}", "  acted on, the first among them", a.acted_on);
        println!("{:<34}{:>10.0}", "contradicting acts, furthest ms", a.farthest_ms);
        println!("{:<34}{:>10.0}", "free version everywhere, p99 ms", a.free_p99_ms);
        println!("{:<34}{:>10.0}", "fenced version everywhere, p99 ms", a.fenced_p99_ms);
        println!("{:<34}{:>10}", "words between servers", a.words);
        println!("{:<34}{:>10}", "reads of the list service", a.reads);
    }
    println!("{:<34}{:>10.2}", "rig's own time on a core, s", o.rig_cpu_s);
    println!("{:<34}{:>10.2}", "start until all listed, s", o.start_s);
    for broken in &o.broken {
        let (attempt, server) =
            (broken.attempt.clone().unwrap_or_default(), broken.server.clone().unwrap_or_default());
        println!("BROKEN {:?} at {:.3} s {server} {attempt}: {}", broken.rule, broken.at, broken.what);
    }
    missed.iter().for_each(|m| println!("MISSED {m}"));
    println!("rules broken: {}, bounds missed: {}", o.counts.broken, missed.len());
}

/// Fleets hunted side by side.
const HUNTERS: u64 = 4;

/// Looks for what breaks a rule or loses the most, and shrinks it.
pub fn hunt(seconds: u64, seed: u64, rules: bool, into: &Path, program: Option<PathBuf>) -> io::Result<bool> {
    let program = self::program(program)?;
    let program = &program;
    let game = if rules { Game::Rules } else { Game::Servers };
    let hunter = |n: u64| {
        fault_search::hunt(
            seconds,
            SearchStart { seed: seed * HUNTERS + n, game },
            &mut |scenario| play(scenario, program, false),
            &|line| eprintln!("{line}"),
        )
    };
    let mut found = Vec::new();
    std::thread::scope(|scope| {
        let hunters: Vec<_> = (0..HUNTERS).map(|n| scope.spawn(move || hunter(n))).collect();
        for hunter in hunters {
            found.extend(hunter.join().map_err(|_| io::Error::other("a hunter panicked"))??);
        }
        io::Result::Ok(())
    })?;
    fault_search::rank(&mut found);
    std::fs::create_dir_all(into)?;
    for (n, find) in found.iter().enumerate() {
        let file = into.join(format!("found-{seed}-{}.kdl", n + 1));
        std::fs::write(&file, &find.text)?;
        println!("{}: value {:.3} of calm, {} rules broken", file.display(), find.of_calm, find.broken);
    }
    Ok(found.iter().all(|f| f.broken == 0))
}
