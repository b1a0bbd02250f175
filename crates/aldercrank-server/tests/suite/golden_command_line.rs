//! Golden file of the program's command line: output and exit codes of `check-config` and `version`, and which flags
//! and subcommands are accepted. Help texts are not recorded.

use crate::compare;
use crate::golden_config::changed;
use serde_json::json;
use std::fmt::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A flag that no subcommand knows; it is the last word, so an error that names it means all before it was accepted.
const UNKNOWN: &str = "--no-such-flag";

fn program(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    command.args(words);
    for variable in ["ROUTER_CONFIG", "ROUTER_NAME", "ROUTER_LISTEN"] {
        command.env_remove(variable);
    }
    command
}

/// A directory with configurations and service files, which is removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let folder = std::env::temp_dir().join(format!("golden-command-line-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let nameless = changed(&[("/name", json!(null)), ("/listen", json!(null))]);
        let files = [
            ("good.json", changed(&[])),
            ("bad.json", changed(&[("/limits/sockets", json!(31))])),
            ("nameless.json", nameless),
            ("no-json.json", "{".to_string()),
            ("good.kdl", "log { json #true }\n".to_string()),
            ("bad.kdl", "lgo { json #true }\nresults { longest-kb 0 }\n".to_string()),
        ];
        files.iter().for_each(|(name, text)| std::fs::write(folder.join(name), text).unwrap());
        Folder(folder)
    }

    /// Runs the program beside these files, and writes down all that came of it.
    fn run(&self, variables: &[(&str, &str)], words: &[&str]) -> String {
        let mut command = program(words);
        let output = command.current_dir(&self.0).envs(variables.iter().copied()).output().unwrap();
        let set: String = variables.iter().map(|(name, value)| format!("{name}={value} ")).collect();
        format!("== {set}{}\n{}\n", words.join(" "), written(&output))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Exit code and output, with the version's number left out.
fn written(output: &Output) -> String {
    let mut lines = format!("  exit {:?}\n", output.status.code());
    for (name, bytes) in [("stdout", &output.stdout), ("stderr", &output.stderr)] {
        let text = String::from_utf8(bytes.clone()).unwrap().replace(env!("CARGO_PKG_VERSION"), "VERSION");
        text.split_inclusive('\n').for_each(|line| writeln!(lines, "  {name}: {line:?}").unwrap());
    }
    lines
}

#[test]
fn check_config_and_version_output_is_as_recorded() {
    let folder = Folder::new();
    let none: [(&str, &str); 0] = [];
    let both = [("ROUTER_NAME", "n7"), ("ROUTER_LISTEN", "127.0.0.1:7007")];
    let mut built = String::new();
    built += &folder.run(&none, &["version"]);
    built += &folder.run(&none, &["check-config", "good.json"]);
    built += &folder.run(&none, &["check-config", "bad.json"]);
    built += &folder.run(&none, &["check-config", "no-json.json"]);
    built += &folder.run(&none, &["check-config", "absent.json"]);
    built += &folder.run(&none, &["check-config", "nameless.json"]);
    built += &folder.run(&both, &["check-config", "nameless.json"]);
    built += &folder.run(&both, &["check-config", "good.json"]);
    built += &folder.run(&none, &["check-config"]);
    built += &folder.run(&[("ROUTER_CONFIG", "")], &["check-config"]);
    built += &folder.run(&[("ROUTER_CONFIG", "good.json")], &["check-config"]);
    built += &folder.run(&[("ROUTER_CONFIG", "absent.json")], &["check-config", "good.json"]);
    built += &folder.run(&none, &["check-config", "--service", "good.kdl", "good.json"]);
    built += &folder.run(&none, &["check-config", "--service", "bad.kdl", "good.json"]);
    built += &folder.run(&none, &["check-config", "--service", "absent.kdl", "good.json"]);
    built += &folder.run(&none, &["check-config", "--service", "bad.kdl", "bad.json"]);
    built += &folder.run(&none, &["serve", "--verbose", "--json-log", "--log-txns", "bad.json"]);
    built += &folder.run(&none, &["serve", "-v", "--service", "bad.kdl", "good.json"]);
    compare::check("command-line/program.txt", &built);
}

/// Each flag with a value, where it takes one.
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

fn words(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

#[test]
fn the_recorded_flags_and_subcommands_are_accepted() {
    for line in ACCEPTED {
        let refused = program(&words(line)).arg(UNKNOWN).output().unwrap();
        let stderr = String::from_utf8_lossy(&refused.stderr).into_owned();
        assert_eq!(refused.status.code(), Some(1), "{line}: {stderr}");
        assert!(stderr.contains(UNKNOWN), "{line}: not accepted: {stderr}");
        let help = program(&words(line)).arg("--help").output().unwrap();
        assert_eq!(help.status.code(), Some(0), "{line} --help");
    }
    assert_eq!(program(&["--help"]).output().unwrap().status.code(), Some(0));
    let list: String = ACCEPTED.iter().map(|line| format!("{line}\n")).collect();
    compare::check("command-line/program-accepts.txt", &list);
}

/// The way of asking above tells a flag that is not known from one that is.
#[test]
fn a_flag_or_subcommand_that_is_not_known_is_not_accepted() {
    for line in ["serve --verbos", "serve --log", "check-config --json-log", "versions", "rules chek FILE"] {
        let refused = program(&words(line)).arg(UNKNOWN).output().unwrap();
        let stderr = String::from_utf8_lossy(&refused.stderr).into_owned();
        assert_eq!(refused.status.code(), Some(1), "{line}: {stderr}");
        assert!(!stderr.contains(UNKNOWN), "{line}: {stderr}");
    }
}
