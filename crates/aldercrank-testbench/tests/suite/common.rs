//! What the testbench's tests share: the program, a directory of each test's own, a cluster that is played.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

pub const LAB: &str = env!("CARGO_BIN_EXE_aldercrank-testbench");

/// The program, which this workspace's build has put beside the testbench's.
pub fn program() -> PathBuf {
    let beside = Path::new(LAB).with_file_name("aldercrank");
    if !beside.is_file() {
        // A test of this package alone does not build it.
        let built = Command::new(env!("CARGO")).args(["build", "-p", "aldercrank-server"]).status().unwrap();
        assert!(built.success());
    }
    beside
}

/// A directory of this test's own.
pub fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("aldercrank-fleet-test-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

pub fn command(name: &str, text: &str, program: &Path, args: &[&str]) -> Command {
    let file = dir(name).join("scenario.kdl");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(LAB);
    command.arg("fleet").arg(&file).arg("--quiet").arg("--program").arg(program).args(args);
    command
}

pub fn fleet(name: &str, text: &str, args: &[&str]) -> Output {
    let output = command(name, text, &program(), args).output().unwrap();
    let _ = std::fs::remove_dir_all(dir(name));
    output
}

/// Plays it to its end; no rule may be broken. Gives its outcome.
pub fn unbroken(name: &str, text: &str) -> Value {
    let output = fleet(name, text, &["--json"]);
    let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
    let all: Value = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output_text}"));
    let outcome = all["outcome"].clone();
    assert_eq!(outcome["counts"]["broken"], 0, "{}", outcome["broken"]);
    outcome
}
