//! The search for the fewest steps that still do harm.

use aldercrank_test_cluster::fault_search::remove_needless_steps;

#[test]
fn only_the_steps_that_are_needed_remain_and_one_at_least() {
    let steps = || ["a", "b", "c", "d"].map(str::to_string).to_vec();
    let has = |steps: &[String], wanted: &str| steps.iter().any(|step| step == wanted);
    let needed = remove_needless_steps(steps(), |fewer| Ok(has(fewer, "b") && has(fewer, "d"))).unwrap();
    assert_eq!(needed, ["b", "d"]);
    assert_eq!(remove_needless_steps(steps(), |_| Ok(true)).unwrap().len(), 1);
    assert_eq!(remove_needless_steps(steps(), |_| Ok(false)).unwrap(), steps());
}
