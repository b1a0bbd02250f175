//! Cold starts of several servers at once, with faults.

use crate::common::play_unbroken;
use serde_json::Value;

const START: &str = "from-start\nseconds 7\nfleet servers=10 zones=2 cores=2 cold=#true\n\
    callers rate=60 edges=4 connections=1 checks-ms=0\nlist capacity=15 lag-ms=300\n";

/// Plays a cold start with these steps and asserts that no rule is broken. Returns the outcome.
fn play_start(name: &str, steps: &str) -> Value {
    play_unbroken(name, &format!("{START}{steps}"))
}

fn number(outcome: &Value, name: &str) -> f64 {
    outcome[name].as_f64().unwrap_or_else(|| panic!("{name}: {}", outcome[name]))
}

fn all_listed_s(outcome: &Value) -> f64 {
    outcome["list"]["all_listed_s"].as_f64().unwrap_or(f64::MAX)
}

#[test]
fn a_single_server_starts_without_spreading_its_first_report() {
    let outcome = play_start("one", "fleet servers=1 zones=1\ncallers rate=10\nlist lag-ms=0 learn-ms=50\n");
    assert!(all_listed_s(&outcome) < 0.5, "{}", all_listed_s(&outcome));
    assert!(number(&outcome, "value") > 0.9, "{}", outcome["value"]);
}

#[test]
fn an_index_that_rejects_all_calls_at_first_breaks_no_rule() {
    let outcome = play_start("shedding", "at 0 \"index\" state=\"shedding\" for=2.5\n");
    assert!(number(&outcome, "steady_s") <= 4.0, "{}", outcome["steady_s"]);
    assert_eq!(outcome["index_collapses"], 0);
}

#[test]
fn a_cold_start_with_only_unsafe_requests_proceeds_and_runs_each_once() {
    let steps =
        "product \"map-extract\" share=0\nproduct \"licence-buy\" effect=\"once-only\" share=1 calls=0.5\n\
        at 0 \"index-cold\"\n";
    let outcome = play_start("once-only", steps);
    assert!(number(&outcome, "value") > 0.7, "{}", outcome["value"]);
}

#[test]
fn servers_reconnect_to_worker_pools_that_restart_during_a_start() {
    let steps = "at 0 \"pool-late\" share=0.5 by=0.8\nat 1.2 \"pool-gone\" share=0.5 for=0.4\n\
        at 2.2 \"pool-gone\" share=0.5 for=0.4\n";
    let outcome = play_start("pools", steps);
    assert!(all_listed_s(&outcome) < 3.0 && number(&outcome, "value") > 0.6, "{outcome}");
}

#[test]
fn a_server_drained_in_each_state_of_a_start_ends_cleanly_and_starts_again() {
    // Drains servers before their pool is up (n1), right after their start (n2), about when they are listed (n3) and
    // while they serve (n4). n2 is drained again after it has restarted.
    let steps = "at 0 \"pool-late\" server=\"n1\" by=3\nat 0.3 \"leave\" server=\"n1\"\n\
        at 0.02 \"leave\" server=\"n2\"\nat 0.5 \"leave\" server=\"n3\"\nat 1.5 \"leave\" server=\"n4\"\n\
        at 3.5 \"leave\" server=\"n2\"\n";
    let outcome = play_start("leaving", steps);
    assert!(outcome["starts"].as_u64() >= Some(14), "{}", outcome["starts"]);
}

#[test]
fn a_membership_service_that_never_responds_keeps_no_server_from_serving() {
    let outcome = play_start("silent", "at 0 \"list\" state=\"silent\" for=2.5\n");
    let reports = outcome["list"]["connections"].as_f64().unwrap();
    // Ten servers in seven seconds, each with one outstanding report at a time and a backoff while there is no
    // response.
    assert!(reports < 110.0 && all_listed_s(&outcome) < 5.5, "{reports} {}", all_listed_s(&outcome));
}

#[test]
fn a_malformed_configuration_during_a_start_changes_nothing() {
    let outcome = play_start("sighup", "at 0.3 \"bad-config\" share=0.5\nat 0.6 \"bad-config\"\n");
    assert!(all_listed_s(&outcome) < 2.5 && number(&outcome, "value") > 0.7, "{outcome}");
}

/// Worker pools that take five times as long to warm up as the settings state, under a load that a warm cluster handles
/// easily.
const LATE_WARM: &str = "fleet cores=2 warm-ms=1500 warms-times=5\ncallers rate=220\nat 0 \"index-cold\"\n";

#[test]
fn a_server_with_a_late_warming_pool_reports_its_progress() {
    let steps = format!("{LATE_WARM}start tell-share=#true\n");
    let outcome = play_start("late-warm", &steps);
    let parts = outcome["list"]["parts"].as_u64().unwrap();
    assert!(parts > 10, "reports that offer a part of the capacity: {parts}");
    // In the end all servers are warm and no report offers only a part of the capacity any more.
    let seconds = outcome["seconds"].as_array().unwrap();
    let last = &seconds[seconds.len().saturating_sub(2)];
    assert_eq!(last["parts"], 0, "{last}");
    assert!(number(&outcome, "value") > 0.6, "{}", outcome["value"]);
}

#[test]
fn the_first_of_ten_servers_stays_within_its_limits_while_it_is_alone() {
    let steps = "callers rate=150\nat 0 \"pool-late\" by=3\nat 0 \"pool-late\" server=\"n1\" by=0.05\n";
    let outcome = play_start("alone", steps);
    assert!(all_listed_s(&outcome) < 5.5, "{}", all_listed_s(&outcome));
}

#[test]
fn a_membership_service_slower_than_the_report_interval_lists_each_server_once() {
    let outcome =
        play_start("late-answers", "at 0 \"delay\" with=\"list\" way=\"to\" ms=1400 jitter=0.1 for=6\n");
    assert!(all_listed_s(&outcome) < 3.0, "{}", all_listed_s(&outcome));
    assert_eq!(outcome["list"]["flaps"], 0);
}

#[test]
fn servers_paused_in_backoff_resume_at_spread_times() {
    let steps = "at 0 \"list\" state=\"closing\" for=3\nat 1 \"stop\" share=0.5 for=1.5\n";
    let outcome = play_start("stopped", steps);
    assert!(all_listed_s(&outcome) < 5.5, "{}", all_listed_s(&outcome));
    // If all ten servers retried when they resumed, they would connect in the same moment: no more than about half of
    // them may connect in a tenth of a second.
    let most = outcome["list"]["later_tenth"].as_u64().unwrap();
    assert!(most <= 6, "{most} in a tenth of a second");
}

/// Guards against servers that each use the limit of a single server: thirty servers that share the index must each
/// keep to their share of its capacity, and exceed it together by no more than chance explains.
#[test]
fn thirty_cold_servers_stay_within_the_capacity_of_the_index_and_their_cores() {
    let budget = 24.0_f64;
    let steps = format!(
        "seconds 9\nfleet servers=30 zones=3\ncallers rate=900 edges=6\nlist capacity=45\n\
         index slots=16 limit={budget} take-ms=15 cold=6 warming=500\nat 0 \"index-cold\"\n\
         at 4 \"kill\" share=0.5 for=0.5\n"
    );
    // Playing the scenario also checks that overloaded cold cores break no rule.
    let outcome = play_start("thirty", &steps);
    let most = number(&outcome, "index_most");
    let chance = 2.0 * budget.sqrt() + 2.0;
    assert!(most <= budget + chance, "{most} outstanding calls at the index, which has a budget of {budget}");
    assert_eq!(outcome["index_collapses"], 0);
    assert!(number(&outcome, "value") > 0.3, "{}", outcome["value"]);
}
