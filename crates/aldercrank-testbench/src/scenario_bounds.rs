//! Compares the outcome of a scenario with the bounds that the scenario states.

use aldercrank_test_cluster::ids::ServerNo;
use aldercrank_test_cluster::run_record::Outcome;
use aldercrank_test_cluster::scenario::{Bounds, Scenario};

/// One line for each bound of a scenario that does not hold. `calm` is the outcome of the same seed without faults;
/// bounds relative to it are checked only if it is given.
pub(crate) fn missed_bounds(scenario: &Scenario, outcome: &Outcome, calm: Option<&Outcome>) -> Vec<String> {
    let (bounds, capacity) = (&scenario.bounds, scenario.membership_capacity);
    let mut missed = Vec::new();
    let mut least = |what: &str, found: f64, least: Option<f64>| {
        if let Some(least) = least.filter(|least| found < *least) {
            missed.push(format!("{what} is {found:.3}, at least {least:.3} required"));
        }
    };
    least("value", outcome.value, bounds.value);
    if let Some(calm) = calm {
        least(
            "value relative to the run without faults",
            outcome.value / calm.value.max(1e-9),
            bounds.of_calm,
        );
        let idempotent = outcome.idempotent_value / calm.idempotent_value.max(1e-9);
        least("idempotent value relative to the run without faults", idempotent, bounds.idempotent_of_calm);
    }
    missed.extend(missed_by_membership_load(bounds, outcome, capacity));
    missed.extend(missed_by_versions(scenario, outcome, calm));
    missed.extend(missed_by_cold_start(bounds, outcome));
    if let Some(most) = bounds.across.filter(|most| outcome.counts.across > *most) {
        missed.push(format!(
            "{} runs of keyed requests repeated on another server or incarnation, at most {most} allowed",
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

/// When something happened, for a message.
fn after_or_never(seconds: Option<f64>) -> String {
    seconds.map_or("never".to_string(), |seconds| format!("after {seconds} s"))
}

/// Bounds on a cold start that do not hold.
fn missed_by_cold_start(bounds: &Bounds, outcome: &Outcome) -> Vec<String> {
    let mut missed = Vec::new();
    if let Some(most) = bounds.collapses.filter(|most| u64::from(outcome.index_collapses) > *most) {
        missed.push(format!("the index collapsed {} times, at most {most} allowed", outcome.index_collapses));
    }
    if let Some(most) = bounds.flaps.filter(|most| outcome.membership.flaps > *most) {
        missed.push(format!(
            "registrations of running servers lapsed {} times, at most {most} allowed",
            outcome.membership.flaps
        ));
    }
    if let Some(most) = bounds.crowded.filter(|most| outcome.crowded > *most) {
        missed.push(format!(
            "one server completed {:.2} times the mean in a second, at most {most} allowed",
            outcome.crowded
        ));
    }
    if let Some(times) = bounds.steady {
        // The value is recorded once per second, so the bound is rounded up.
        let most = (times * outcome.least_steady_s).ceil();
        if outcome.steady_s.is_none_or(|at| at > most) {
            missed.push(format!("steady {}, at most {most} s allowed", after_or_never(outcome.steady_s)));
        }
    }
    missed
}

/// Bounds on versions of the configuration that do not hold.
fn missed_by_versions(scenario: &Scenario, outcome: &Outcome, calm: Option<&Outcome>) -> Vec<String> {
    let (bounds, mut missed) = (&scenario.bounds, Vec::new());
    if let Some(most) = bounds.index_most.filter(|most| outcome.index_most as u64 > *most) {
        missed.push(format!("{} outstanding calls at the index, at most {most} allowed", outcome.index_most));
    }
    let Some(versions) = &outcome.version_figures else { return missed };
    if let Some(least) = bounds.acted.filter(|least| (versions.acted_on as u64) < *least) {
        missed.push(format!("{} versions were acted on, at least {least} required", versions.acted_on));
    }
    for (what, found, most) in [
        ("free", versions.free_p99_ms, bounds.free_p99_ms),
        ("fenced", versions.fenced_p99_ms, bounds.fenced_p99_ms),
    ] {
        if let Some(most) = most.filter(|most| found > *most) {
            missed.push(format!(
                "versions of {what} items took {found:.0} ms to be in use (p99), at most {most:.0} allowed"
            ));
        }
    }
    if let Some((least, calm)) = bounds.cut_off_idempotent_of_calm.zip(calm) {
        let is_partition = |n: &usize| scenario.timeline[*n].word == "cut";
        let servers: Vec<ServerNo> =
            (0..scenario.timeline.len()).filter(is_partition).flat_map(|n| scenario.reached(n)).collect();
        let found = completed_share(outcome, &servers) / completed_share(calm, &servers).max(1e-9);
        if found < least {
            missed.push(format!(
                "idempotent work of partitioned servers is {found:.3} of that without faults, \
                 at least {least} required"
            ));
        }
    }
    missed
}

/// Bounds on the load of the membership service that do not hold.
fn missed_by_membership_load(bounds: &Bounds, outcome: &Outcome, capacity: f64) -> Vec<String> {
    let (membership, mut missed) = (&outcome.membership, Vec::new());
    let mut most = |what: &str, found: usize, share: Option<f64>| {
        if let Some(most) = share.map(|share| share * capacity).filter(|most| found as f64 > *most) {
            missed.push(format!(
                "{found} connections at the membership service in {what}, at most {most:.0} allowed"
            ));
        }
    };
    most("one second", membership.most_second, bounds.membership_per_second);
    most("a tenth of a second", membership.most_tenth, bounds.membership_per_tenth);
    if let Some(most) = bounds.membership_rejected.filter(|most| membership.rejected > *most) {
        missed.push(format!("{} reports rejected, at most {most} allowed", membership.rejected));
    }
    if let Some(by) = bounds.listed_by.map(|by| by.as_secs_f64()) {
        if membership.all_listed_s.is_none_or(|at| at > by) {
            missed.push(format!(
                "all servers listed {}, at most {by} s allowed",
                after_or_never(membership.all_listed_s)
            ));
        }
    }
    missed
}
