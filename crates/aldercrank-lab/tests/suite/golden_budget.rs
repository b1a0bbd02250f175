//! Golden file of the cost budget's committed form: its cases, and what is counted of each. The numbers are a
//! measurement's and may change.

use crate::compare;
use serde_json::Value as Json;
use std::fmt::Write;

#[test]
fn the_cost_budget_has_the_recorded_keys() {
    let budget: Json = serde_json::from_str(include_str!("../../budget.json")).unwrap();
    let mut built = String::new();
    for (case, counts) in budget.as_object().unwrap() {
        writeln!(built, "{case:?}").unwrap();
        for (counted, number) in counts.as_object().unwrap() {
            assert!(number.as_f64().is_some_and(|n| n >= 0.0), "{case}: {counted}: {number}");
            writeln!(built, "  {counted:?}: a number").unwrap();
        }
    }
    compare::check("config/cost-budget-keys.txt", &built);
}
