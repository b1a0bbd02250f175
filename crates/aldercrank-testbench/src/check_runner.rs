//! Plays the scenarios of a check in parallel and prints whether each passed.

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

/// Maximum number of rule violations that are printed for one scenario.
pub(crate) const PRINTED_VIOLATIONS: usize = 5;

/// One scenario of a check and the result that it must have.
pub(crate) enum CheckTask {
    /// No rule is broken and all bounds hold.
    Scenario(Scenario),
    /// The invariant checker reports this rule, and no other, for the injected violation.
    Violation(InjectedViolation, Rule, Scenario),
    /// The invariant checker reports a violation of `Rule::Fence` by a program with this fault injected.
    FaultyProgram(&'static str, Scenario, Program),
}

impl CheckTask {
    /// The name that `--except` and `--only` select it by.
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

/// The result of one task.
struct Verdict {
    /// A line of figures, then a line for each violation and missed bound.
    text: String,
    passed: bool,
}

/// Loads one of the repository's scenarios. Fails if the file is missing or malformed.
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

/// Plays a scenario and, if one of its bounds needs it, the same seed without faults. Both are played at the same time,
/// so that they have the same load on the machine.
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
        format!("injected violation {kind:?}: {rule:?} reported {named} times, other rules {others} times");
    Ok(Verdict { text, passed: named > 0 && others == 0 })
}

fn play_faulty_program(fault: &str, scenario: &Scenario, program: &Program) -> io::Result<Verdict> {
    let outcome = scenario_command::play(scenario, program, false)?;
    let named = outcome.violations.iter().filter(|violation| violation.rule == Rule::Fence).count();
    let apart_ms = outcome.version_figures.as_ref().map_or(0.0, |figures| figures.farthest_ms);
    let text = format!(
        "{} by a build with the injected fault {fault}: Fence reported {named} times, conflicting versions in use \
         at most {apart_ms:.0} ms apart",
        scenario.name
    );
    Ok(Verdict { text, passed: named > 0 })
}

/// Plays the selected tasks, `side_by_side` at once, and prints a line for each and a total at the end. Returns whether
/// all passed; fails if a selected name is unknown or a scenario could not be played.
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
    println!("check {name}: {passed} of {} passed", tasks.len());
    Ok(passed == tasks.len())
}

fn print_verdict(verdict: &io::Result<Verdict>) {
    match verdict {
        Ok(Verdict { text, passed: true }) => println!("ok     {text}"),
        Ok(Verdict { text, passed: false }) => println!("FAILED {text}"),
        Err(error) => println!("FAILED scenario could not be played: {error}"),
    }
}
