//! The `aldercrank rules` commands, mostly on the golden version files: what the built program prints, and its exit
//! code.

use super::{compare, golden};
use std::fmt::Write;
use std::process::{Command, Stdio};

/// Runs the program in the directory of the golden version files, and appends its output and exit code to `out`.
fn run(out: &mut String, arguments: &[&str]) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    command.args(arguments).current_dir(golden("rule-books")).stdin(Stdio::null()).env_clear();
    let output = command.output().unwrap();
    let text = |bytes: &[u8]| -> String {
        let text = std::str::from_utf8(bytes).unwrap();
        text.split_terminator('\n').fold(String::new(), |all, line| all + "  | " + line + "\n")
    };
    let _ = writeln!(out, "$ {}\nexit code {:?}", arguments.join(" "), output.status.code());
    let _ = write!(out, "standard output\n{}", text(&output.stdout));
    let _ = writeln!(out, "standard error\n{}", text(&output.stderr));
}

fn version_file_names() -> Vec<String> {
    let files = std::fs::read_dir(golden("rule-books")).unwrap();
    let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".kdl")).collect();
    names.sort();
    names
}

#[test]
fn check_and_show_output_is_as_recorded() {
    let mut out = String::new();
    let names = version_file_names();
    assert!(names.len() >= 25);
    for name in &names {
        run(&mut out, &["rules", "check", name]);
        run(&mut out, &["rules", "show", name]);
        if !name.starts_with("bad-") {
            run(&mut out, &["rules", "check", "--config", "platform.json", name]);
        }
    }
    run(&mut out, &["rules", "check", "absent.kdl"]);
    run(&mut out, &["rules", "check", "--config", "absent.json", "plain.kdl"]);
    run(&mut out, &["rules", "check", "--config", "plain.kdl", "plain.kdl"]);
    run(&mut out, &["rules", "show", "absent.kdl"]);
    run(&mut out, &["rules", "show"]);
    run(&mut out, &["rules", "show", "--at", "127.0.0.1:7001", "plain.kdl"]);
    compare("rule-books/check-and-show.txt", &out);
}

#[test]
fn diff_output_is_as_recorded() {
    let mut out = String::new();
    let pairs = [
        ("plain.kdl", "plain-otherwise.kdl"),
        ("plain.kdl", "full.kdl"),
        ("full.kdl", "full-next.kdl"),
        ("full-next.kdl", "full.kdl"),
        ("least.kdl", "plain.kdl"),
        ("plain.kdl", "empty-lists.kdl"),
        ("bad-many.kdl", "plain.kdl"),
        ("plain.kdl", "bad-shares.kdl"),
        ("plain.kdl", "absent.kdl"),
    ];
    for (old, new) in pairs {
        run(&mut out, &["rules", "diff", old, new]);
        run(&mut out, &["rules", "diff", "--json", old, new]);
    }
    compare("rule-books/diff.txt", &out);
}

#[test]
fn help_and_usage_error_output_is_as_recorded() {
    let mut out = String::new();
    run(&mut out, &["rules"]);
    run(&mut out, &["rules", "--help"]);
    for command in ["check", "show", "diff", "propose", "withdraw", "status"] {
        run(&mut out, &["rules", command, "--help"]);
    }
    run(&mut out, &["rules", "check"]);
    run(&mut out, &["rules", "check", "plain.kdl", "full.kdl"]);
    run(&mut out, &["rules", "diff", "plain.kdl"]);
    run(&mut out, &["rules", "diff", "--jsn", "plain.kdl", "full.kdl"]);
    run(&mut out, &["rules", "status"]);
    run(&mut out, &["rules", "status", "--at", "nowhere"]);
    run(&mut out, &["rules", "propose", "plain.kdl"]);
    run(&mut out, &["rules", "propose", "--to", "127.0.0.1:7001", "bad-shares.kdl"]);
    run(&mut out, &["rules", "forget"]);
    compare("rule-books/usage.txt", &out);
}
