//! One line of figures for each kind of run, as the checks print them.

use aldercrank_test_cluster::invariant_checker::{Rule, Violation};
use aldercrank_test_cluster::run_record::Outcome;

/// The value of a run as a share of that of the run without faults, where there is one.
fn of_calm(outcome: &Outcome, calm: Option<&Outcome>) -> String {
    calm.map_or(String::new(), |calm| format!(" of calm {:.3}", outcome.value / calm.value.max(1e-9)))
}

fn lost(outcome: &Outcome) -> usize {
    outcome.violations.iter().filter(|b| matches!(b.rule, Rule::Lost | Rule::Late)).count()
}

fn twice(outcome: &Outcome) -> usize {
    outcome.violations.iter().filter(|b| b.rule == Rule::Twice).count()
}

/// A run with faults between servers and what they depend on.
pub(crate) fn of_cluster(o: &Outcome, calm: Option<&Outcome>) -> String {
    let of_calm = of_calm(o, calm);
    format!(
        "{}: {} servers, value {:.3}{of_calm}, {} attempts, {} runs, lost {}, twice {}, across incarnations {}, rules broken {}, \
         test cluster {:.2} cores, {} MB, start {:.1} s",
        o.scenario,
        o.servers,
        o.value,
        o.counts.attempts,
        o.counts.runs,
        lost(o),
        twice(o),
        o.counts.across,
        o.counts.violations,
        o.cluster_cpu_s / o.span_s,
        o.cluster_memory_kb / 1000,
        o.start_s
    )
}

/// A start of a whole fleet.
pub(crate) fn of_cold_start(o: &Outcome) -> String {
    let listed = o.membership.all_listed_s.map_or("never".to_string(), |at| format!("after {at:.1} s"));
    format!(
        "{}: {} connections at the membership service, at most {} in a second and {} in a tenth ({} and {} from 5 s on), \
         {} reports rejected, all listed {listed}, {} lapses, value {:.3}, steady after {} s ({:.1} at least), index at \
         most {} and {:.1} times one alone, most on one server {:.2}, rules broken {}",
        o.scenario,
        o.membership.connections,
        o.membership.most_second,
        o.membership.most_tenth,
        o.membership.later_second,
        o.membership.later_tenth,
        o.membership.rejected,
        o.membership.flaps,
        o.value,
        o.steady_s.map_or("-".to_string(), |s| format!("{s:.0}")),
        o.least_steady_s,
        o.index_most,
        o.index_slowest,
        o.crowded,
        o.counts.violations
    )
}

/// A run in which servers go by a versioned configuration.
pub(crate) fn of_versions(o: &Outcome, calm: Option<&Outcome>) -> String {
    let of_calm = of_calm(o, calm);
    let a = o.version_figures.clone().unwrap_or_default();
    let each = a.peer_messages as f64 / o.servers as f64 / o.span_s;
    format!(
        "{}: {} servers, value {:.3}{of_calm}, lost {}, twice {}, rules broken {}, {} acts by {} of {} versions, \
         contradicting acts at most {:.0} ms apart, in force after {:.0} and {:.0} ms (p99, free and fenced), \
         {each:.1} messages a server and second, {} reads of the membership service, index at most {}",
        o.scenario,
        o.servers,
        o.value,
        lost(o),
        twice(o),
        o.counts.violations,
        a.decisions,
        a.acted_on,
        a.published + 1,
        a.farthest_ms,
        a.free_p99_ms,
        a.fenced_p99_ms,
        a.reads,
        o.index_most
    )
}

/// A violation of a rule: when, on which attempt and server, and what was seen.
pub(crate) fn of_violation(violation: &Violation) -> String {
    let attempt = violation.attempt.as_deref().unwrap_or_default();
    let server = violation.server.as_deref().unwrap_or_default();
    format!("{:?} at {:.3} s {attempt} {server}: {}", violation.rule, violation.at, violation.what)
}
