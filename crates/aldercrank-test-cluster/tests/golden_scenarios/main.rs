//! Golden files of scenarios: the decoded form of each file in `scenarios/`, and the errors of malformed documents.

// The modules of this test share support code, which needs neither docs nor privacy; test cases may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod decoded;
mod faults;
mod written;

#[path = "../../../../tests/golden/compare.rs"]
mod compare;

use aldercrank_test_cluster::scenario::Scenario;
use std::path::{Path, PathBuf};

/// The files with this extension in a folder below the repository's root, sorted by name.
fn files(folder: &str, extension: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(folder);
    let entries = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> = entries.filter(|p| p.extension().is_some_and(|e| e == extension)).collect();
    files.sort();
    files
}

fn names(files: &[PathBuf]) -> Vec<&str> {
    files.iter().map(|file| file.file_stem().unwrap().to_str().unwrap()).collect()
}

/// Compares each scenario in a folder with its golden file, and checks that each golden file has a scenario.
fn check_each(folder: &str) {
    let scenarios = files(folder, "kdl");
    for (file, name) in scenarios.iter().zip(names(&scenarios)) {
        let scenario = Scenario::load(file).unwrap_or_else(|errors| panic!("{errors}"));
        compare::check(&format!("{folder}/{name}.txt"), &decoded::text(&scenario));
    }
    let recorded = files(&format!("tests/golden/{folder}"), "txt");
    assert_eq!(names(&scenarios), names(&recorded), "each scenario has a golden file and vice versa");
}

#[test]
fn each_scenario_decodes_as_recorded() {
    check_each("scenarios");
}

#[test]
fn each_scenario_found_by_the_fault_search_decodes_as_recorded() {
    check_each("scenarios/found");
}

#[test]
fn an_empty_scenario_decodes_to_the_recorded_defaults() {
    compare::check("scenarios/forms/empty.txt", &decoded::text(&Scenario::parse("").unwrap()));
}

#[test]
fn every_node_and_property_decodes_as_recorded() {
    let text = include_str!("every_word.kdl");
    compare::check("scenarios/forms/every-word.txt", &decoded::text(&Scenario::parse(text).unwrap()));
}

#[test]
fn a_scenario_without_its_faults_decodes_as_recorded() {
    let text = include_str!("every_word.kdl");
    let calm = Scenario::parse(text).unwrap().calm();
    compare::check("scenarios/forms/without-faults.txt", &decoded::text(&calm));
}
