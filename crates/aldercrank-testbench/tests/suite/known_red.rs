//! Tests of `.ci/known-red`: CI skips exactly the tests and scenarios listed in KNOWN-RED.txt, three at most.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A stub for cargo: `red` fails, `green` passes, and there is no other test.
const CARGO: &str = "#!/bin/sh\necho \"cargo $*\" >>calls\ncase \"$*\" in\n\
    *--skip*) exit 0 ;;\n\
    *--exact\\ red) echo 'test red ... FAILED'; exit 101 ;;\n\
    *--exact\\ green) echo 'test green ... ok'; exit 0 ;;\n\
    *) exit 0 ;;\nesac\n";

/// A stub for the testbench: the scenario `red` fails, `lost` cannot be played, all others pass.
const TESTBENCH: &str = "#!/bin/sh\necho \"testbench $*\" >>calls\ncase \"$*\" in\n\
    *--only\\ red) exit 1 ;;\n\
    *--only\\ lost) exit 2 ;;\n\
    *) exit 0 ;;\nesac\n";

/// A directory with the script and the stubs, removed at the end of the test.
struct Checkout(PathBuf);

impl Checkout {
    /// Creates a checkout with this text as its KNOWN-RED.txt, if any.
    fn with(name: &str, list: Option<&str>) -> Checkout {
        let dir = std::env::temp_dir().join(format!("aldercrank-known-red-{name}-{}", std::process::id()));
        std::fs::create_dir_all(dir.join(".ci")).unwrap();
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
        std::fs::copy(script, dir.join(".ci/known-red")).unwrap();
        for (program, text) in [("cargo", CARGO), ("testbench", TESTBENCH)] {
            std::fs::write(dir.join(program), text).unwrap();
            std::fs::set_permissions(dir.join(program), std::fs::Permissions::from_mode(0o755)).unwrap();
        }
        if let Some(list) = list {
            std::fs::write(dir.join("KNOWN-RED.txt"), list).unwrap();
        }
        Checkout(dir)
    }

    fn script(&self, arguments: &[&str]) -> Output {
        let path = format!("{}:{}", self.0.display(), std::env::var("PATH").unwrap());
        let script = self.0.join(".ci/known-red");
        Command::new("bash").arg(script).args(arguments).env("PATH", path).output().unwrap()
    }

    fn run_tests(&self) -> Output {
        self.script(&[])
    }

    fn run_check(&self) -> Output {
        self.script(&["check", "agree", "testbench"])
    }

    fn calls(&self) -> String {
        std::fs::read_to_string(self.0.join("calls")).unwrap_or_default()
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// An entry of the list for this test or scenario.
fn entry(what_fails: &str) -> String {
    format!("{what_fails} | a command, seed 1 | what was seen | 1\n")
}

#[test]
fn without_a_list_all_tests_are_run() {
    let checkout = Checkout::with("none", None);
    assert!(checkout.run_tests().status.success());
    assert!(!checkout.calls().contains("--skip"));
}

#[test]
fn a_listed_test_that_fails_is_printed_and_it_alone_is_passed_over() {
    let checkout = Checkout::with("red", Some(&entry("test red")));
    let output = checkout.run_tests();
    assert!(output.status.success(), "{output:?}");
    assert!(printed(&output).contains("known red: test red | a command, seed 1 | what was seen | 1"));
    assert!(checkout.calls().contains("-- --exact --skip red\n"));
}

#[test]
fn an_outdated_malformed_or_too_long_list_fails() {
    let cases = [
        ("green", entry("test green"), "passes now"),
        ("absent", entry("test nothing"), "there is no test"),
        ("many", entry("test red").repeat(4), "3 at most"),
        ("short", "test red\n".to_string(), "what fails | command and seed | what was seen | issue"),
    ];
    for (name, list, expected) in cases {
        let output = Checkout::with(name, Some(&list)).run_tests();
        assert!(!output.status.success(), "{name}");
        assert!(printed(&output).contains(expected), "{name}: {output:?}");
    }
}

#[test]
fn a_check_without_listed_scenarios_is_run_whole() {
    let checkout = Checkout::with("check-whole", Some(&entry("check live red")));
    assert!(checkout.run_check().status.success());
    assert_eq!(checkout.calls(), "testbench check agree\n");
}

#[test]
fn a_listed_scenario_that_fails_is_printed_and_it_alone_is_passed_over() {
    let checkout = Checkout::with("check-red", Some(&entry("check agree red")));
    let output = checkout.run_check();
    assert!(output.status.success(), "{output:?}");
    assert!(printed(&output).contains("known red: check agree red failed, as listed"));
    assert_eq!(checkout.calls(), "testbench check agree --except red\ntestbench check agree --only red\n");
}

#[test]
fn an_intermittently_failing_scenario_may_pass_while_the_test_for_its_fault_is_listed() {
    let list = entry("test red") + &entry("check agree green with red");
    let output = Checkout::with("check-at-times", Some(&list)).run_check();
    assert!(output.status.success(), "{output:?}");
    assert!(printed(&output).contains("known red: check agree green passed this time"));
}

#[test]
fn a_listed_scenario_that_passes_or_cannot_be_played_or_depends_on_an_unlisted_test_fails() {
    let cases = [
        ("check-green", entry("check agree green"), "passes now"),
        ("check-lost", entry("check agree lost"), "could not be run: exit code 2"),
        ("check-alone", entry("check agree green with red"), "depends on the test red, which is not listed"),
    ];
    for (name, list, expected) in cases {
        let output = Checkout::with(name, Some(&list)).run_check();
        assert!(!output.status.success(), "{name}");
        assert!(printed(&output).contains(expected), "{name}: {output:?}");
    }
}
