//! Shrinking a timeline to the steps that are needed for its effect.

use aldercrank_test_cluster::fault_search::remove_needless_steps;

#[test]
fn only_needed_steps_remain_and_at_least_one() {
    let steps = || ["a", "b", "c", "d"].map(str::to_string).to_vec();
    let contains = |steps: &[String], wanted: &str| steps.iter().any(|step| step == wanted);
    let needed =
        remove_needless_steps(steps(), |fewer| Ok(contains(fewer, "b") && contains(fewer, "d"))).unwrap();
    assert_eq!(needed, ["b", "d"]);
    assert_eq!(remove_needless_steps(steps(), |_| Ok(true)).unwrap().len(), 1);
    assert_eq!(remove_needless_steps(steps(), |_| Ok(false)).unwrap(), steps());
}
