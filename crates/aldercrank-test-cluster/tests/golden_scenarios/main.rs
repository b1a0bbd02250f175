//! Golden files of scenarios: for each file in `scenarios/` what it decodes to, and the faults of malformed ones.

// Support code is shared by the modules of this test alone; a scenario may be long.
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

/// The files in a folder below the repository's root that have this ending, in the order of their names.
fn files(folder: &str, ending: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(folder);
    let entries = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> = entries.filter(|p| p.extension().is_some_and(|e| e == ending)).collect();
    files.sort();
    files
}

fn names(files: &[PathBuf]) -> Vec<&str> {
    files.iter().map(|file| file.file_stem().unwrap().to_str().unwrap()).collect()
}

/// Each scenario in a folder has its golden file, and each golden file its scenario.
fn check_each(folder: &str) {
    let scenarios = files(folder, "kdl");
    for (file, name) in scenarios.iter().zip(names(&scenarios)) {
        let scenario = Scenario::load(file).unwrap_or_else(|errors| panic!("{errors}"));
        compare::check(&format!("{folder}/{name}.txt"), &decoded::text(&scenario));
    }
    let recorded = files(&format!("tests/golden/{folder}"), "txt");
    assert_eq!(names(&scenarios), names(&recorded), "scenarios, and their golden files");
}

#[test]
fn each_scenario_decodes_as_recorded() {
    check_each("scenarios");
}

#[test]
fn each_scenario_that_a_hunt_found_decodes_as_recorded() {
    check_each("scenarios/found");
}

#[test]
fn an_empty_scenario_decodes_to_the_recorded_defaults() {
    compare::check("scenarios/forms/empty.txt", &decoded::text(&Scenario::parse("").unwrap()));
}

#[test]
fn every_word_and_property_decodes_as_recorded() {
    let text = include_str!("every_word.kdl");
    compare::check("scenarios/forms/every-word.txt", &decoded::text(&Scenario::parse(text).unwrap()));
}

#[test]
fn the_same_without_faults_is_as_recorded() {
    let text = include_str!("every_word.kdl");
    let calm = Scenario::parse(text).unwrap().calm();
    compare::check("scenarios/forms/without-faults.txt", &decoded::text(&calm));
}
