//! Helpers shared by the testbench's tests: the server program, a directory for each test, playing a scenario.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

pub const TESTBENCH: &str = env!("CARGO_BIN_EXE_aldercrank-testbench");

/// The server program, which the workspace build puts into the same directory as the testbench.
pub fn program() -> PathBuf {
    let beside = Path::new(TESTBENCH).with_file_name("aldercrank");
    if !beside.is_file() {
        // Not built if only this package is tested.
        let built = Command::new(env!("CARGO")).args(["build", "-p", "aldercrank-server"]).status().unwrap();
        assert!(built.success());
    }
    beside
}

/// Creates a directory for the test that uses this name.
pub fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("aldercrank-fleet-test-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// The command that plays the scenario `text`.
pub fn command(name: &str, text: &str, program: &Path, args: &[&str]) -> Command {
    let file = dir(name).join("scenario.kdl");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(TESTBENCH);
    command.arg("fleet").arg(&file).arg("--quiet").arg("--program").arg(program).args(args);
    command
}

/// Plays the scenario `text` and removes the test's directory.
pub fn fleet(name: &str, text: &str, args: &[&str]) -> Output {
    let output = command(name, text, &program(), args).output().unwrap();
    let _ = std::fs::remove_dir_all(dir(name));
    output
}

/// Plays the scenario `text` to its end and asserts that no rule is broken. Returns its outcome.
pub fn play_unbroken(name: &str, text: &str) -> Value {
    let output = fleet(name, text, &["--json"]);
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    let all: Value = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output_text}"));
    let outcome = all["outcome"].clone();
    assert_eq!(outcome["counts"]["broken"], 0, "{}", outcome["broken"]);
    outcome
}
