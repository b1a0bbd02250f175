//! Comparison of measured counts with the cost budget.

use aldercrank_testbench::cost_budget::{excesses, parse, Budget, Counts, BOUNDS};

fn budget(n: f64) -> Budget {
    let cases = ["completed", "completed, 32 open", "rejected", "rejected, 32 open"];
    let counts = Counts::from([("system calls".to_string(), n), ("allocations".to_string(), n)]);
    cases.iter().map(|case| (case.to_string(), counts.clone())).collect()
}

#[test]
fn costs_over_budget_are_named_with_both_counts() {
    assert!(excesses(&budget(1.0), &budget(1.0)).is_empty());
    assert!(excesses(&budget(1.0), &budget(0.5)).is_empty());
    let mut costlier = budget(0.5);
    costlier.insert("rejected".into(), Counts::from([("system calls".to_string(), 1.5)]));
    assert_eq!(
        excesses(&budget(0.5), &costlier),
        ["rejected: system calls 1.5 per request, 0.5 in the budget"]
    );
}

#[test]
fn fixed_bounds_hold_for_any_budget() {
    let above_bounds = excesses(&budget(9.0), &budget(9.0));
    assert_eq!(above_bounds.len(), BOUNDS.len());
    let mut incomplete = budget(0.5);
    incomplete.remove("completed");
    assert_eq!(excesses(&budget(0.5), &incomplete).len(), 3);
}

#[test]
fn a_malformed_budget_is_an_error_that_names_the_fault() {
    assert!(parse("[]").is_err_and(|error| error.to_string() == "not an object that maps cases to counts"));
    assert!(parse("{\"a\": {\"b\": \"c\"}}").is_err_and(|error| error.to_string() == "a: b is not a number"));
    assert_eq!(parse("{\"a\": {\"b\": 2}}").unwrap()["a"]["b"], 2.0);
}
