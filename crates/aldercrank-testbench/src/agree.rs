//! `aldercrank-lab check agree`: servers that go by a rule book, with faults between them; and a build without the
//! fence, which the checker must name.

use crate::fleet;
use crate::live::{self, named, Task};
use crate::selection::Selection;
use aldercrank_consensus::InjectedFault;
use aldercrank_test_cluster::invariant_checker::Rule;
use aldercrank_test_cluster::process::Program;
use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{Scenario, Step};
use std::io;
use std::path::PathBuf;

/// Longest first, so that the last to begin are short.
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
/// Runs at once: with the calm ones beside them, and few busy ones among them.
const SIDE_BY_SIDE: usize = 7;

pub fn figures(o: &Outcome, calm: Option<&Outcome>) -> String {
    let of_calm = calm.map_or(String::new(), |c| format!(" of calm {:.3}", o.value / c.value.max(1e-9)));
    let a = o.agree.clone().unwrap_or_default();
    let each = a.words as f64 / o.servers as f64 / o.span_s;
    format!(
        "{}: {} servers, value {:.3}{of_calm}, lost {}, twice {}, rules broken {}, {} acts by {} of {} versions, \
         contradicting acts at most {:.0} ms apart, in force after {:.0} and {:.0} ms (p99, free and fenced), \
         {each:.1} words a server and second, {} reads of the list service, index at most {}",
        o.scenario,
        o.servers,
        o.value,
        o.broken.iter().filter(|b| matches!(b.rule, Rule::Lost | Rule::Late)).count(),
        o.broken.iter().filter(|b| b.rule == Rule::Twice).count(),
        o.counts.broken,
        a.acts,
        a.acted_on,
        a.published + 1,
        a.farthest_ms,
        a.free_p99_ms,
        a.fenced_p99_ms,
        a.reads,
        o.index_most
    )
}

/// Ten minutes of faults, drawn from the seed: what a fleet of this size meets, one thing every three seconds or so.
fn drawn(mut scenario: Scenario) -> io::Result<Scenario> {
    let mut draw = RandomStream::of(scenario.seed, "drawn faults");
    let mut at = 8.0;
    let mut text = String::new();
    while at < scenario.span.as_secs_f64() - 12.0 {
        let span = 0.5 + 4.0 * draw.unit();
        let server = draw.below(scenario.fleet.servers) + 1;
        let line = match draw.below(9) {
            0 => format!("at {at:.1} \"kill\" server=\"n{server}\" for={span:.1}"),
            1 => format!("at {at:.1} \"stop\" server=\"n{server}\" for={span:.1}"),
            2 => format!("at {at:.1} \"stop\" share=0.1 for={span:.1}"),
            3 => format!("at {at:.1} \"cut\" share=0.2 with=\"peers\" for={span:.1}"),
            4 => format!(
                "at {at:.1} \"cut\" server=\"n{}\" with=\"peers\" way=\"to\" for={span:.1}",
                draw.below(5) + 1
            ),
            5 => format!("at {at:.1} \"kill\" server=\"n{}\" for={span:.1}", draw.below(5) + 1),
            6 => format!("at {at:.1} \"delay\" with=\"peers\" ms=60 jitter=2 for={span:.1}"),
            7 => format!("at {at:.1} \"list\" state=\"down\" for={span:.1}"),
            _ => format!("at {at:.1} \"leave\" share=0.05 each=0.3"),
        };
        text += &line;
        text.push('\n');
        at += 1.0 + 4.0 * draw.unit();
    }
    let fleet = format!("fleet servers={} zones={}\n", scenario.fleet.servers, scenario.fleet.zones);
    let span = format!("seconds {}\n", scenario.span.as_secs_f64());
    let faults: Vec<Step> =
        Scenario::parse(&format!("{fleet}{span}{text}")).map_err(io::Error::other)?.timeline;
    scenario.timeline.extend(faults);
    Ok(scenario)
}

/// The laboratory's own program, as a server that goes wrong in this way.
fn broken(program: &Program, injected_fault: &str) -> io::Result<Program> {
    let first = vec!["broken".to_string(), injected_fault.to_string()];
    Ok(Program { path: std::env::current_exe()?, first, ..program.clone() })
}

/// A mistake by the word for it.
pub fn injected_fault(word: &str) -> Option<InjectedFault> {
    match word {
        "no-fence" => Some(InjectedFault::NoFence),
        _ => None,
    }
}

pub fn check(selection: &Selection, long: bool, program: Option<PathBuf>) -> io::Result<bool> {
    let program = fleet::program(program)?;
    if long {
        let mut tasks = vec![Task::Scenario(drawn(named("agree-long")?)?)];
        for name in ["agree-each-second", "agree-calm"] {
            let mut scenario = named(name)?;
            if name == "agree-each-second" {
                scenario.span = std::time::Duration::from_secs(63);
                scenario.timeline[0].lasts = Some(std::time::Duration::from_secs(60));
            }
            tasks.push(Task::Scenario(scenario));
        }
        return live::judge("agree", selection, tasks, &program, 1);
    }
    let mut tasks: Vec<Task> =
        SHORT.iter().map(|name| named(name).map(Task::Scenario)).collect::<io::Result<_>>()?;
    for task in &mut tasks {
        if let Task::Scenario(scenario) = task {
            // Milliseconds are held in the long form, played alone; side by side they are figures.
            (scenario.bounds.free_p99_ms, scenario.bounds.fenced_p99_ms) = (None, None);
        }
    }
    let injected_fault = "no-fence";
    tasks.push(Task::Wrong(injected_fault, named("agree-cut")?, broken(&program, injected_fault)?));
    live::judge("agree", selection, tasks, &program, SIDE_BY_SIDE)
}

/// What a build that goes wrong on purpose comes to: the checker must name it.
pub fn goes_wrong(
    injected_fault: &str,
    scenario: &Scenario,
    program: &Program,
) -> io::Result<(String, bool)> {
    let outcome = fleet::play(scenario, program, false)?;
    let named = outcome.broken.iter().filter(|b| b.rule == Rule::Fence).count();
    let apart = outcome.agree.as_ref().map_or(0.0, |a| a.farthest_ms);
    let line = format!(
        "{} by a build with {injected_fault}: Fence named {named} times, contradicting acts {apart:.0} ms apart",
        scenario.name
    );
    Ok((line, named > 0))
}
