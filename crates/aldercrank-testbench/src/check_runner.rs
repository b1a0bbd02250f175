//! Plays the scenarios of a check side by side and prints whether each came out as it has to.

use crate::figures;
use crate::scenario_bounds::missed_bounds;
use crate::scenario_command;
use crate::selection::Selection;
use aldercrank_test_cluster::invariant_checker::Rule;
use aldercrank_test_cluster::process::Program;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{InjectedViolation, Scenario};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Violations of the rules that are printed for one run.
pub(crate) const PRINTED_VIOLATIONS: usize = 5;

/// One run of a check, and what it must come to.
pub(crate) enum CheckTask {
    /// No rule is broken and all bounds hold.
    Scenario(Scenario),
    /// The invariant checker names this rule, and no other, for the injected violation.
    Violation(InjectedViolation, Rule, Scenario),
    /// The program has the fault of this name injected, and the invariant checker names what comes of it.
    FaultyProgram(&'static str, Scenario, Program),
}

impl CheckTask {
    /// The name by which a command line selects it.
    fn name(&self) -> String {
        match self {
            CheckTask::Scenario(scenario) => scenario.name.clone(),
            CheckTask::Violation(kind, _, _) => format!("{kind:?}"),
            CheckTask::FaultyProgram(fault, _, _) => fault.to_string(),
        }
    }

    fn play(&self, program: &Program) -> io::Result<Verdict> {
        match self {
            CheckTask::Scenario(scenario) => play_scenario(scenario, program),
            CheckTask::Violation(kind, rule, scenario) => play_violation(*kind, *rule, scenario, program),
            CheckTask::FaultyProgram(fault, scenario, program) => {
                play_faulty_program(fault, scenario, program)
            }
        }
    }
}

/// What one run came to.
struct Verdict {
    /// Its figures, and below them what was wrong.
    text: String,
    /// Whether it came out as it had to.
    passed: bool,
}

/// Loads one of the repository's scenarios. Fails where the file is missing or malformed.
pub(crate) fn repository_scenario(name: &str) -> io::Result<Scenario> {
    scenario_command::load(&Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/{name}.kdl")))
}

fn play_scenario(scenario: &Scenario, program: &Program) -> io::Result<Verdict> {
    let (outcome, calm) = play_beside_calm(scenario, program)?;
    let missed = missed_bounds(scenario, &outcome, calm.as_ref());
    let mut text = if scenario.from_start {
        figures::of_cold_start(&outcome)
    } else if scenario.versioned_config.is_some() {
        figures::of_versions(&outcome, calm.as_ref())
    } else {
        figures::of_cluster(&outcome, calm.as_ref())
    };
    for violation in outcome.violations.iter().take(PRINTED_VIOLATIONS) {
        text += &format!("\n    BROKEN {}", figures::of_violation(violation));
    }
    for bound in &missed {
        text += &format!("\n    MISSED {bound}");
    }
    Ok(Verdict { text, passed: outcome.counts.violations == 0 && missed.is_empty() })
}

/// Plays a scenario and, where a bound asks for it, the same seed without faults at the same time, so that both meet
/// the same machine.
fn play_beside_calm(scenario: &Scenario, program: &Program) -> io::Result<(Outcome, Option<Outcome>)> {
    let (outcome, calm) = std::thread::scope(|scope| {
        let calm = scope.spawn(|| scenario_command::play_without_faults(scenario, program, false));
        let outcome = scenario_command::play(scenario, program, false);
        let calm = calm.join().unwrap_or_else(|_| Err(io::Error::other("the run without faults panicked")));
        (outcome, calm)
    });
    Ok((outcome?, calm?))
}

fn play_violation(
    kind: InjectedViolation,
    rule: Rule,
    scenario: &Scenario,
    program: &Program,
) -> io::Result<Verdict> {
    let outcome = scenario_command::play(scenario, program, false)?;
    let named = outcome.violations.iter().filter(|violation| violation.rule == rule).count();
    let others = outcome.violations.len() - named;
    let text =
        format!("injected violation {kind:?}: {rule:?} named {named} times, other rules {others} times");
    Ok(Verdict { text, passed: named > 0 && others == 0 })
}

fn play_faulty_program(fault: &str, scenario: &Scenario, program: &Program) -> io::Result<Verdict> {
    let outcome = scenario_command::play(scenario, program, false)?;
    let named = outcome.violations.iter().filter(|violation| violation.rule == Rule::Fence).count();
    let apart_ms = outcome.version_figures.as_ref().map_or(0.0, |figures| figures.farthest_ms);
    let text = format!(
        "{} by a build with the injected fault {fault}: Fence named {named} times, conflicting versions used \
         {apart_ms:.0} ms apart",
        scenario.name
    );
    Ok(Verdict { text, passed: named > 0 })
}

/// Plays the selected tasks, `side_by_side` at once, and prints a line for each and a last one with the total. Gives
/// whether all passed; fails where a selected name is unknown or a run could not be played.
pub(crate) fn run_checks(
    name: &str,
    selection: &Selection,
    mut tasks: Vec<CheckTask>,
    program: &Program,
    side_by_side: usize,
) -> io::Result<bool> {
    selection.check(&tasks.iter().map(CheckTask::name).collect::<Vec<_>>())?;
    tasks.retain(|task| selection.includes(&task.name()));
    let (next, verdicts) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..side_by_side {
            scope.spawn(|| {
                while let Some(task) = tasks.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let verdict = task.play(program);
                    print_verdict(&verdict);
                    verdicts.lock().unwrap_or_else(PoisonError::into_inner).push(verdict);
                }
            });
        }
    });
    let verdicts = verdicts.into_inner().unwrap_or_else(PoisonError::into_inner);
    let verdicts: Vec<Verdict> = verdicts.into_iter().collect::<io::Result<_>>()?;
    let passed = verdicts.iter().filter(|verdict| verdict.passed).count();
    println!("check {name}: {passed} of {} as they had to be", tasks.len());
    Ok(passed == tasks.len())
}

fn print_verdict(verdict: &io::Result<Verdict>) {
    match verdict {
        Ok(Verdict { text, passed: true }) => println!("ok     {text}"),
        Ok(Verdict { text, passed: false }) => println!("FAILED {text}"),
        Err(error) => println!("FAILED it could not be played: {error}"),
    }
}
