//! The verdict of the cost budget on measured counts.

use aldercrank_testbench::cost_budget::{over, read, Budget, Counts, BOUNDS};

fn budget(n: f64) -> Budget {
    let cases = ["completed", "completed, 32 open", "rejected", "rejected, 32 open"];
    let counts = Counts::from([("system calls".to_string(), n), ("allocations".to_string(), n)]);
    cases.iter().map(|case| (case.to_string(), counts.clone())).collect()
}

#[test]
fn costs_over_budget_are_named_with_both_counts() {
    assert!(over(&budget(1.0), &budget(1.0)).is_empty());
    assert!(over(&budget(1.0), &budget(0.5)).is_empty());
    let mut dearer = budget(0.5);
    dearer.insert("rejected".into(), Counts::from([("system calls".to_string(), 1.5)]));
    assert_eq!(over(&budget(0.5), &dearer), ["rejected: system calls 1.5 a request, 0.5 before"]);
}

#[test]
fn fixed_bounds_hold_for_any_budget() {
    let high = over(&budget(9.0), &budget(9.0));
    assert_eq!(high.len(), BOUNDS.len());
    let mut fewer = budget(0.5);
    fewer.remove("completed");
    assert_eq!(over(&budget(0.5), &fewer).len(), 3);
}

#[test]
fn a_malformed_budget_is_an_error_that_names_the_fault() {
    assert!(read("[]").is_err_and(|error| error.to_string() == "not a map of cases"));
    assert!(read("{\"a\": {\"b\": \"c\"}}").is_err_and(|error| error.to_string() == "a: b is no number"));
    assert_eq!(read("{\"a\": {\"b\": 2}}").unwrap()["a"]["b"], 2.0);
}
