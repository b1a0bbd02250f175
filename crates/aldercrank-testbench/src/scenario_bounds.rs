//! The bounds that a scenario states, held against what a run came to.

use aldercrank_test_cluster::ids::ServerNo;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{Bounds, Scenario};

/// The bounds of a scenario that do not hold, one line each; empty where all do. `calm` is the same seed without faults,
/// which some bounds are a share of.
pub(crate) fn missed_bounds(scenario: &Scenario, outcome: &Outcome, calm: Option<&Outcome>) -> Vec<String> {
    let (bounds, capacity) = (&scenario.bounds, scenario.membership_capacity);
    let mut missed = Vec::new();
    let mut least = |what: &str, found: f64, least: Option<f64>| {
        if let Some(least) = least.filter(|least| found < *least) {
            missed.push(format!("{what} {found:.3}, {least:.3} wanted"));
        }
    };
    least("value", outcome.value, bounds.value);
    if let Some(calm) = calm {
        least("value of calm", outcome.value / calm.value.max(1e-9), bounds.of_calm);
        let idempotent = outcome.idempotent_value / calm.idempotent_value.max(1e-9);
        least("idempotent value of calm", idempotent, bounds.idempotent_of_calm);
    }
    missed.extend(missed_by_membership_load(bounds, outcome, capacity));
    missed.extend(missed_by_versions(scenario, outcome, calm));
    missed.extend(missed_by_cold_start(bounds, outcome));
    if let Some(most) = bounds.across.filter(|most| outcome.counts.across > *most) {
        missed.push(format!(
            "{} runs of one request in several incarnations, {most} at most",
            outcome.counts.across
        ));
    }
    missed
}

/// The share of idempotent attempts that these servers completed.
fn completed_share(outcome: &Outcome, servers: &[ServerNo]) -> f64 {
    let of = |s: &ServerNo| outcome.by_server.get(s.0 as usize).copied().unwrap_or_default();
    let (attempts, completed) =
        servers.iter().map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    completed as f64 / attempts.max(1) as f64
}

/// Bounds on a cold start that do not hold.
fn missed_by_cold_start(bounds: &Bounds, outcome: &Outcome) -> Vec<String> {
    let mut missed = Vec::new();
    if let Some(most) = bounds.collapses.filter(|most| u64::from(outcome.index_collapses) > *most) {
        missed.push(format!("the index collapsed {} times, {most} at most", outcome.index_collapses));
    }
    if let Some(most) = bounds.flaps.filter(|most| outcome.membership.flaps > *most) {
        missed.push(format!(
            "servers lapsed {} times while they ran, {most} at most",
            outcome.membership.flaps
        ));
    }
    if let Some(most) = bounds.crowded.filter(|most| outcome.crowded > *most) {
        missed.push(format!(
            "one server completed {:.2} times the mean in a second, {most} at most",
            outcome.crowded
        ));
    }
    if let Some(times) = bounds.steady {
        // Values are recorded by the second.
        let most = (times * outcome.least_steady_s).ceil();
        if outcome.steady_s.is_none_or(|at| at > most) {
            missed.push(format!("steady after {:?} s, {most} at most", outcome.steady_s));
        }
    }
    missed
}

/// Bounds on versions of the configuration that do not hold.
fn missed_by_versions(scenario: &Scenario, outcome: &Outcome, calm: Option<&Outcome>) -> Vec<String> {
    let (bounds, mut missed) = (&scenario.bounds, Vec::new());
    if let Some(most) = bounds.index_most.filter(|most| outcome.index_most as u64 > *most) {
        missed.push(format!("{} outstanding calls at the index, {most} at most", outcome.index_most));
    }
    let Some(agree) = &outcome.version_figures else { return missed };
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
    if let Some((least, calm)) = bounds.cut_off_idempotent_of_calm.zip(calm) {
        let cut = |n: &usize| scenario.timeline[*n].word == "cut";
        let servers: Vec<ServerNo> =
            (0..scenario.timeline.len()).filter(cut).flat_map(|n| scenario.reached(n)).collect();
        let found = completed_share(outcome, &servers) / completed_share(calm, &servers).max(1e-9);
        if found < least {
            missed.push(format!("idempotent work of partitioned servers {found:.3} of calm, {least} wanted"));
        }
    }
    missed
}

/// Bounds on the load of the membership service that do not hold.
fn missed_by_membership_load(bounds: &Bounds, outcome: &Outcome, capacity: f64) -> Vec<String> {
    let (list, mut missed) = (&outcome.membership, Vec::new());
    let mut most = |what: &str, found: usize, share: Option<f64>| {
        if let Some(most) = share.map(|share| share * capacity).filter(|most| found as f64 > *most) {
            missed
                .push(format!("{found} connections at the membership service in {what}, {most:.0} at most"));
        }
    };
    most("one second", list.most_second, bounds.membership_per_second);
    most("a tenth of a second", list.most_tenth, bounds.membership_per_tenth);
    if let Some(most) = bounds.membership_rejected.filter(|most| list.rejected > *most) {
        missed.push(format!("{} reports refused, {most} at most", list.rejected));
    }
    if let Some(by) = bounds.listed_by.map(|by| by.as_secs_f64()) {
        if list.all_listed_s.is_none_or(|at| at > by) {
            missed.push(format!("all listed after {:?} s, {by} wanted", list.all_listed_s));
        }
    }
    missed
}
