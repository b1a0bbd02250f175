//! The list of tests that are known to fail: CI passes over exactly these, and over no more than three.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Stands in for cargo: `red` fails, `green` passes, and there is no other test.
const CARGO: &str = "#!/bin/sh\necho \"cargo $*\" >>calls\ncase \"$*\" in\n\
    *--skip*) exit 0 ;;\n\
    *--exact\\ red) echo 'test red ... FAILED'; exit 101 ;;\n\
    *--exact\\ green) echo 'test green ... ok'; exit 0 ;;\n\
    *) exit 0 ;;\nesac\n";

struct Checkout(PathBuf);

impl Checkout {
    /// A checkout with the script, a stand-in for cargo, and this list.
    fn with(name: &str, list: Option<&str>) -> Checkout {
        let dir = std::env::temp_dir().join(format!("aldercrank-known-red-{name}-{}", std::process::id()));
        std::fs::create_dir_all(dir.join(".ci")).unwrap();
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
        std::fs::copy(script, dir.join(".ci/known-red")).unwrap();
        std::fs::write(dir.join("cargo"), CARGO).unwrap();
        std::fs::set_permissions(dir.join("cargo"), std::fs::Permissions::from_mode(0o755)).unwrap();
        if let Some(list) = list {
            std::fs::write(dir.join("KNOWN-RED.txt"), list).unwrap();
        }
        Checkout(dir)
    }

    fn run(&self) -> Output {
        let path = format!("{}:{}", self.0.display(), std::env::var("PATH").unwrap());
        Command::new("bash").arg(self.0.join(".ci/known-red")).env("PATH", path).output().unwrap()
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

#[test]
fn without_a_list_all_tests_are_run() {
    let checkout = Checkout::with("none", None);
    assert!(checkout.run().status.success());
    assert!(!checkout.calls().contains("--skip"));
}

#[test]
fn a_listed_test_that_fails_is_printed_and_it_alone_is_passed_over() {
    let checkout = Checkout::with("red", Some("red, a cause, issue 1\n"));
    let output = checkout.run();
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("known red: red, a cause, issue 1"));
    assert!(checkout.calls().contains("-- --exact --skip red\n"));
}

#[test]
fn a_list_that_is_not_true_or_too_long_fails() {
    let line = |name: &str| format!("{name}, a cause, issue 1\n");
    let cases = [
        ("green", line("green"), "passes now"),
        ("absent", line("nothing"), "there is no test"),
        ("many", line("red").repeat(4), "3 at most"),
        ("short", "red\n".to_string(), "test, cause, issue"),
    ];
    for (name, list, says) in cases {
        let output = Checkout::with(name, Some(&list)).run();
        assert!(!output.status.success(), "{name}");
        assert!(String::from_utf8_lossy(&output.stdout).contains(says), "{name}: {output:?}");
    }
}
