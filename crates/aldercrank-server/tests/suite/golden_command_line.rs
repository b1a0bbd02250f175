//! Golden files of the program's command line: output and exit codes of `version`, `check-config` and failed starts of
//! `serve`, and the flags and subcommands that are accepted. Help texts are not recorded here.

use crate::compare;
use crate::golden_config::changed;
use serde_json::json;
use std::fmt::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A flag that no subcommand has. As the last argument, it is named in the error only if all before it were accepted.
const UNKNOWN_FLAG: &str = "--no-such-flag";

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    command.args(arguments);
    for variable in ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN"] {
        command.env_remove(variable);
    }
    command
}

/// A directory with configurations and service files, removed on drop.
struct ConfigDir(PathBuf);

impl ConfigDir {
    fn new() -> ConfigDir {
        let dir = std::env::temp_dir().join(format!("golden-command-line-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let nameless = changed(&[("/name", json!(null)), ("/listen", json!(null))]);
        let files = [
            ("good.json", changed(&[])),
            ("bad.json", changed(&[("/limits/sockets", json!(31))])),
            ("nameless.json", nameless),
            ("no-json.json", "{".to_string()),
            ("good.kdl", "log { json #true }\n".to_string()),
            ("bad.kdl", "lgo { json #true }\nresults { longest-kb 0 }\n".to_string()),
        ];
        files.iter().for_each(|(name, text)| std::fs::write(dir.join(name), text).unwrap());
        ConfigDir(dir)
    }

    /// Runs the program in this directory and returns the command, its exit code and its output.
    fn run(&self, variables: &[(&str, &str)], arguments: &[&str]) -> String {
        let mut command = program(arguments);
        let output = command.current_dir(&self.0).envs(variables.iter().copied()).output().unwrap();
        let set: String = variables.iter().map(|(name, value)| format!("{name}={value} ")).collect();
        format!("== {set}{}\n{}\n", arguments.join(" "), transcript(&output))
    }
}

impl Drop for ConfigDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Exit code and output, with the program's version number replaced.
fn transcript(output: &Output) -> String {
    let mut lines = format!("  exit {:?}\n", output.status.code());
    for (name, bytes) in [("stdout", &output.stdout), ("stderr", &output.stderr)] {
        let text = String::from_utf8(bytes.clone()).unwrap().replace(env!("CARGO_PKG_VERSION"), "VERSION");
        text.split_inclusive('\n').for_each(|line| writeln!(lines, "  {name}: {line:?}").unwrap());
    }
    lines
}

#[test]
fn version_check_config_and_serve_output_matches_golden_file() {
    let dir = ConfigDir::new();
    let none: [(&str, &str); 0] = [];
    let both = [("ROUTER_NAME", "n7"), ("ROUTER_LISTEN", "127.0.0.1:7007")];
    let mut transcripts = String::new();
    transcripts += &dir.run(&none, &["version"]);
    transcripts += &dir.run(&none, &["check-config", "good.json"]);
    transcripts += &dir.run(&none, &["check-config", "bad.json"]);
    transcripts += &dir.run(&none, &["check-config", "no-json.json"]);
    transcripts += &dir.run(&none, &["check-config", "absent.json"]);
    transcripts += &dir.run(&none, &["check-config", "nameless.json"]);
    transcripts += &dir.run(&both, &["check-config", "nameless.json"]);
    transcripts += &dir.run(&both, &["check-config", "good.json"]);
    transcripts += &dir.run(&none, &["check-config"]);
    transcripts += &dir.run(&[("ROUTER_CONFIG", "")], &["check-config"]);
    transcripts += &dir.run(&[("ROUTER_CONFIG", "good.json")], &["check-config"]);
    transcripts += &dir.run(&[("ROUTER_CONFIG", "absent.json")], &["check-config", "good.json"]);
    transcripts += &dir.run(&none, &["check-config", "--service", "good.kdl", "good.json"]);
    transcripts += &dir.run(&none, &["check-config", "--service", "bad.kdl", "good.json"]);
    transcripts += &dir.run(&none, &["check-config", "--service", "absent.kdl", "good.json"]);
    transcripts += &dir.run(&none, &["check-config", "--service", "bad.kdl", "bad.json"]);
    transcripts += &dir.run(&none, &["serve", "--verbose", "--json-log", "--log-txns", "bad.json"]);
    transcripts += &dir.run(&none, &["serve", "-v", "--service", "bad.kdl", "good.json"]);
    compare::check("command-line/program.txt", &transcripts);
}

/// Command lines with each flag and subcommand; a flag that takes a value has one.
const ACCEPTED: [&str; 22] = [
    "serve",
    "serve --verbose",
    "serve -v",
    "serve --json-log",
    "serve --log-txns",
    "serve --service FILE",
    "serve --verbose --json-log --log-txns --service FILE CONFIG",
    "check-config",
    "check-config --service FILE",
    "check-config CONFIG",
    "version",
    "rules check FILE",
    "rules check --config CONFIG FILE",
    "rules show FILE",
    "rules show --at 127.0.0.1:1",
    "rules diff OLD NEW",
    "rules diff --json OLD NEW",
    "rules propose --to 127.0.0.1:1 FILE",
    "rules propose --to 127.0.0.1:1 --at 127.0.0.1:1 FILE",
    "rules withdraw --to 127.0.0.1:1",
    "rules status --at 127.0.0.1:1 --at 127.0.0.1:2",
    "rules status --json --at 127.0.0.1:1",
];

fn arguments(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

#[test]
fn recorded_flags_and_subcommands_are_accepted() {
    for line in ACCEPTED {
        let rejected = program(&arguments(line)).arg(UNKNOWN_FLAG).output().unwrap();
        let stderr = String::from_utf8_lossy(&rejected.stderr).into_owned();
        assert_eq!(rejected.status.code(), Some(1), "{line}: {stderr}");
        assert!(stderr.contains(UNKNOWN_FLAG), "{line}: not accepted: {stderr}");
        let help = program(&arguments(line)).arg("--help").output().unwrap();
        assert_eq!(help.status.code(), Some(0), "{line} --help");
    }
    assert_eq!(program(&["--help"]).output().unwrap().status.code(), Some(0));
    let list: String = ACCEPTED.iter().map(|line| format!("{line}\n")).collect();
    compare::check("command-line/program-accepts.txt", &list);
}

/// Guards the check above: with a misspelt word before [`UNKNOWN_FLAG`], the error does not name that flag.
#[test]
fn unknown_flags_and_subcommands_are_rejected() {
    for line in ["serve --verbos", "serve --log", "check-config --json-log", "versions", "rules chek FILE"] {
        let rejected = program(&arguments(line)).arg(UNKNOWN_FLAG).output().unwrap();
        let stderr = String::from_utf8_lossy(&rejected.stderr).into_owned();
        assert_eq!(rejected.status.code(), Some(1), "{line}: {stderr}");
        assert!(!stderr.contains(UNKNOWN_FLAG), "{line}: {stderr}");
    }
}
