//! `aldercrank-testbench check agree`: servers that agree on versions of their configuration, with faults between them,
//! and a build that acts without a lease, which the invariant checker must report.

use crate::check_runner::{repository_scenario, run_checks, CheckTask};
use crate::scenario_command;
use crate::selection::Selection;
use aldercrank_consensus::InjectedFault;
use aldercrank_test_cluster::process::Program;
use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::scenario::{Scenario, Step};
use std::io;
use std::path::PathBuf;

/// Scenarios of the short form, longest first, so that those started last are short.
const SHORT: [&str; 11] = [
    "agree-each-second",
    "agree-list-dead",
    "agree-members",
    "agree-cut",
    "agree-shares",
    "agree-calm",
    "agree-stop",
    "agree-gone",
    "agree-effect",
    "agree-odd",
    "agree-flap",
];
/// Scenarios played at once, besides the runs without faults that some of them need. Few of them keep the machine busy.
const SIDE_BY_SIDE: usize = 7;

/// Adds random faults to a scenario of ten minutes, about one every three seconds, drawn from its seed.
fn with_random_faults(mut scenario: Scenario) -> io::Result<Scenario> {
    let mut random = RandomStream::of(scenario.seed, "drawn faults");
    let mut at = 8.0;
    let mut text = String::new();
    while at < scenario.span.as_secs_f64() - 12.0 {
        let span = 0.5 + 4.0 * random.unit();
        let server = random.below(scenario.fleet.servers) + 1;
        let line = match random.below(9) {
            0 => format!("at {at:.1} \"kill\" server=\"n{server}\" for={span:.1}"),
            1 => format!("at {at:.1} \"stop\" server=\"n{server}\" for={span:.1}"),
            2 => format!("at {at:.1} \"stop\" share=0.1 for={span:.1}"),
            3 => format!("at {at:.1} \"cut\" share=0.2 with=\"peers\" for={span:.1}"),
            4 => format!(
                "at {at:.1} \"cut\" server=\"n{}\" with=\"peers\" way=\"to\" for={span:.1}",
                random.below(5) + 1
            ),
            5 => format!("at {at:.1} \"kill\" server=\"n{}\" for={span:.1}", random.below(5) + 1),
            6 => format!("at {at:.1} \"delay\" with=\"peers\" ms=60 jitter=2 for={span:.1}"),
            7 => format!("at {at:.1} \"list\" state=\"down\" for={span:.1}"),
            _ => format!("at {at:.1} \"leave\" share=0.05 each=0.3"),
        };
        text += &line;
        text.push('\n');
        at += 1.0 + 4.0 * random.unit();
    }
    let fleet = format!("fleet servers={} zones={}\n", scenario.fleet.servers, scenario.fleet.zones);
    let span = format!("seconds {}\n", scenario.span.as_secs_f64());
    let faults: Vec<Step> =
        Scenario::parse(&format!("{fleet}{span}{text}")).map_err(io::Error::other)?.timeline;
    scenario.timeline.extend(faults);
    Ok(scenario)
}

/// This testbench as the server program, with this fault injected.
fn faulty_program(program: &Program, injected_fault: &str) -> io::Result<Program> {
    let first = vec!["broken".to_string(), injected_fault.to_string()];
    Ok(Program { path: std::env::current_exe()?, leading_args: first, ..program.clone() })
}

/// The injected fault with this name on the command line.
pub(crate) fn injected_fault(name: &str) -> Option<InjectedFault> {
    match name {
        "no-fence" => Some(InjectedFault::NoLeaseCheck),
        _ => None,
    }
}

/// Plays the check, in its short or long form. Returns whether all passed.
pub(crate) fn check(selection: &Selection, long: bool, program: Option<PathBuf>) -> io::Result<bool> {
    let program = scenario_command::program(program)?;
    if long {
        let mut tasks = vec![CheckTask::Scenario(with_random_faults(repository_scenario("agree-long")?)?)];
        for name in ["agree-each-second", "agree-calm"] {
            let mut scenario = repository_scenario(name)?;
            if name == "agree-each-second" {
                scenario.span = std::time::Duration::from_secs(63);
                scenario.timeline[0].lasts = Some(std::time::Duration::from_secs(60));
            }
            tasks.push(CheckTask::Scenario(scenario));
        }
        return run_checks("agree", selection, tasks, &program, 1);
    }
    let mut tasks: Vec<CheckTask> = SHORT
        .iter()
        .map(|name| repository_scenario(name).map(CheckTask::Scenario))
        .collect::<io::Result<_>>()?;
    for task in &mut tasks {
        if let CheckTask::Scenario(scenario) = task {
            // Scenarios played in parallel slow each other down, so the bounds on milliseconds are checked in the long
            // form only, which plays one at a time.
            (scenario.bounds.free_p99_ms, scenario.bounds.fenced_p99_ms) = (None, None);
        }
    }
    let injected_fault = "no-fence";
    tasks.push(CheckTask::FaultyProgram(
        injected_fault,
        repository_scenario("agree-cut")?,
        faulty_program(&program, injected_fault)?,
    ));
    run_checks("agree", selection, tasks, &program, SIDE_BY_SIDE)
}
