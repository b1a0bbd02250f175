//! The line of figures that the checks print for each scenario played.

use aldercrank_test_cluster::invariant_checker::{Rule, Violation};
use aldercrank_test_cluster::run_record::Outcome;

/// The value relative to that of the same seed without faults, if it was played.
fn of_calm(outcome: &Outcome, calm: Option<&Outcome>) -> String {
    calm.map_or(String::new(), |calm| {
        format!(" ({:.3} of that without faults)", outcome.value / calm.value.max(1e-9))
    })
}

fn lost_or_late(outcome: &Outcome) -> usize {
    outcome.violations.iter().filter(|b| matches!(b.rule, Rule::Lost | Rule::Late)).count()
}

fn twice(outcome: &Outcome) -> usize {
    outcome.violations.iter().filter(|b| b.rule == Rule::Twice).count()
}

/// The figures of a cluster with faults between the servers and their dependencies.
pub(crate) fn of_cluster(o: &Outcome, calm: Option<&Outcome>) -> String {
    let of_calm = of_calm(o, calm);
    format!(
        "{}: {} servers, value {:.3}{of_calm}, {} attempts, {} runs, lost or late {}, twice {}, \
         runs repeated on another incarnation {}, rules broken {}, \
         test cluster {:.2} cores, {} MB, all listed after {:.1} s",
        o.scenario,
        o.servers,
        o.value,
        o.counts.attempts,
        o.counts.runs,
        lost_or_late(o),
        twice(o),
        o.counts.across,
        o.counts.violations,
        o.cluster_cpu_s / o.span_s,
        o.cluster_memory_kb / 1000,
        o.start_s
    )
}

/// The figures of a start of all servers at once.
pub(crate) fn of_cold_start(o: &Outcome) -> String {
    let listed = o.membership.all_listed_s.map_or("never".to_string(), |at| format!("after {at:.1} s"));
    format!(
        "{}: {} connections at the membership service, at most {} in a second and {} in a tenth of a \
         second ({} and {} from 5 s on), {} reports rejected, all listed {listed}, {} registrations of running servers \
         lapsed, value {:.3}, steady after {} s (earliest possible {:.1} s), index at most {} outstanding calls and \
         {:.1} times the duration of a call alone, busiest server {:.2} times the mean, rules broken {}",
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

/// The figures of a cluster with a versioned configuration.
pub(crate) fn of_versions(o: &Outcome, calm: Option<&Outcome>) -> String {
    let of_calm = of_calm(o, calm);
    let versions = o.version_figures.clone().unwrap_or_default();
    let messages = versions.peer_messages as f64 / o.servers as f64 / o.span_s;
    format!(
        "{}: {} servers, value {:.3}{of_calm}, lost or late {}, twice {}, rules broken {}, \
         {} decisions by {} of {} versions, conflicting versions in use at most {:.0} ms apart, \
         in use after {:.0} and {:.0} ms (p99, free and fenced), {messages:.1} messages per server and second, \
         {} reads of the membership service, index at most {} outstanding calls",
        o.scenario,
        o.servers,
        o.value,
        lost_or_late(o),
        twice(o),
        o.counts.violations,
        versions.decisions,
        versions.acted_on,
        versions.published + 1,
        versions.farthest_ms,
        versions.free_p99_ms,
        versions.fenced_p99_ms,
        versions.reads,
        o.index_most
    )
}

/// A violation as text: the rule, when, by which attempt and server, and what was observed.
pub(crate) fn of_violation(violation: &Violation) -> String {
    let attempt = violation.attempt.as_deref().unwrap_or_default();
    let server = violation.server.as_deref().unwrap_or_default();
    format!("{:?} at {:.3} s {attempt} {server}: {}", violation.rule, violation.at, violation.what)
}
