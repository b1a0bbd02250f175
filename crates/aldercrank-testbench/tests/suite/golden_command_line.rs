//! Golden file of the subcommands and flags that the testbench accepts. Help texts are not recorded.

use crate::common::TESTBENCH;
use crate::compare;
use std::process::Command;

/// A flag that no subcommand knows. It comes last, so an error that names it shows that all before it was accepted, and
/// nothing is started.
const UNKNOWN: &str = "--no-such-flag";

/// Command lines that together contain each subcommand and flag, with a value for each flag that takes one.
const ACCEPTED: [&str; 28] = [
    "load",
    "load --program FILE --rate 5 --seconds 1 --connections 2 --cores 3 --work-ms 4 --json",
    "cost",
    "cost --program FILE --against FILE --rounds 2 --plot FILE --json",
    "instructions",
    "check cost",
    "check --write cost",
    "check --long live",
    "check --program FILE live",
    "check --program FILE --against FILE coldstart",
    "check --long --program FILE agree",
    "check platform",
    "check soak",
    "fleet SCENARIO",
    "fleet --program FILE --seed 5 --calm --json --quiet --report FILE --keep DIR SCENARIO",
    "coldstart",
    "coldstart --servers 5 --list-capacity 60.5 --index-slots 64.5 --rate 400.5 --seed 5",
    "coldstart --program FILE --against FILE --report FILE --json",
    "hunt",
    "hunt --program FILE --seconds 5 --seed 5 --rules --into DIR",
    "soak",
    "soak --program FILE --seed 5 --runs 5 --side-by-side 5",
    "check shutdown",
    "why DIR TXN",
    "counted CONFIG",
    "counted --service FILE CONFIG",
    "broken MISTAKE serve CONFIG",
    "broken --service FILE MISTAKE serve CONFIG",
];

fn run(line: &str, last: &str) -> (Option<i32>, String) {
    let output = Command::new(TESTBENCH).args(line.split_whitespace()).arg(last).output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn the_recorded_flags_and_subcommands_are_accepted() {
    for line in ACCEPTED {
        let (code, output_text) = run(line, UNKNOWN);
        assert_eq!(code, Some(1), "{line}: {output_text}");
        assert!(output_text.contains(UNKNOWN), "{line}: not accepted: {output_text}");
        assert_eq!(run(line, "--help").0, Some(0), "{line} --help");
    }
    let recording: String = ACCEPTED.iter().map(|line| format!("{line}\n")).collect();
    compare::check("command-line/laboratory-accepts.txt", &recording);
}

/// Shows that the method of the test above detects unknown flags and subcommands.
#[test]
fn an_unknown_flag_or_subcommand_is_rejected() {
    for line in
        ["laod", "load --rates 5", "cost --progam FILE", "check --lon live", "fleet --sed 5 S", "coldstarts"]
    {
        let (code, output_text) = run(line, UNKNOWN);
        assert_eq!(code, Some(1), "{line}: {output_text}");
        assert!(!output_text.contains(UNKNOWN), "{line}: {output_text}");
    }
}

#[test]
fn an_unknown_check_is_reported_by_name() {
    let (code, output_text) = run("check", "no-such-check");
    assert_eq!(code, Some(2), "{output_text}");
    assert!(output_text.contains("no-such-check"), "{output_text}");
}

#[test]
fn the_earlier_name_of_the_program_is_still_accepted() {
    let output = Command::new(env!("CARGO_BIN_EXE_aldercrank-lab")).arg("--help").output().unwrap();
    assert_eq!(output.status.code(), Some(0));
}
