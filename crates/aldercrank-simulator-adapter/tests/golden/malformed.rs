//! Malformed lines: the error for each, and the output and exit code of the program.

use crate::batches::Transcript;
use std::fmt::Write;
use std::io::Write as _;
use std::process::{Command, Stdio};

const LINES: [(&str, &str); 33] = [
    ("nothing", ""),
    ("a space", " "),
    ("a word", "batch"),
    ("a cut object", r#"{"ts":5,"#),
    ("a stray sign", r#"{"ts":5,!"#),
    ("two values", r#"{"ts":5,"groups":[]} {}"#),
    ("a cut text", r#"{"ts":5,"gro"#),
    ("a bad escape", r#"{"ts":5,"\q":1}"#),
    ("a number with a zero in front", r#"{"ts":05,"groups":[]}"#),
    ("a comma too many", r#"{"ts":5,"groups":[],}"#),
    ("single quotes", r#"{'ts':5}"#),
    ("not a number", r#"{"ts":NaN,"groups":[]}"#),
    ("a number too large", r#"{"ts":1e999,"groups":[]}"#),
    ("a line end inside", "{\"ts\":5,\n!}"),
    ("letters of two bytes in front", "{\"\u{fc}\u{fc}\":1,!"),
    ("a list", "[]"),
    ("a number", "5"),
    ("null", "null"),
    ("no clock", r#"{"groups":[]}"#),
    ("a clock that is text", r#"{"ts":"5","groups":[]}"#),
    ("a clock with a fraction", r#"{"ts":5.5,"groups":[]}"#),
    ("a clock below zero", r#"{"ts":-5,"groups":[]}"#),
    ("a clock that is null", r#"{"ts":null,"groups":[]}"#),
    ("the highest clock", r#"{"ts":18446744073709551615,"groups":[]}"#),
    ("a clock over the highest", r#"{"ts":18446744073709551616,"groups":[]}"#),
    ("no groups", r#"{"ts":5}"#),
    ("groups that are no list", r#"{"ts":5,"groups":{}}"#),
    ("a group that is no object", r#"{"ts":5,"groups":[5]}"#),
    ("a group without i", r#"{"ts":5,"groups":[{"items":[]}]}"#),
    ("a group with i below zero", r#"{"ts":5,"groups":[{"i":-1,"items":[]}]}"#),
    ("a group without items", r#"{"ts":5,"groups":[{"i":1}]}"#),
    ("items that are no list", r#"{"ts":5,"groups":[{"i":1,"items":{}}]}"#),
    ("a good group and a bad one", r#"{"ts":5,"groups":[{"i":1,"items":[{"t":"PowerOn"}]},{"i":2}]}"#),
];

pub fn text() -> String {
    let mut transcript = Transcript::default();
    transcript.section("lines that are no batch");
    LINES.iter().for_each(|(title, line)| transcript.line(title, line));
    let deep = "[".repeat(200);
    transcript.line("lists in lists", &deep);
    transcript.line(
        "the instance that was started before the bad group",
        r#"{"ts":9,"groups":[{"i":1,"items":[{"t":"Alarm"}]}]}"#,
    );
    transcript.text
}

/// Runs the program on this input. Returns its exit code, its standard output, and its standard error without the name
/// of the program.
fn run(input: &[u8]) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_aldercrank-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the program");
    child.stdin.take().expect("standard input is piped").write_all(input).expect("cannot write the input");
    let out = child.wait_with_output().expect("cannot read the output");
    let errors = String::from_utf8(out.stderr).expect("output in UTF-8");
    let errors = errors.split_once(": ").map_or(errors.clone(), |(_, rest)| rest.to_string());
    (out.status.code(), String::from_utf8(out.stdout).expect("output in UTF-8"), errors)
}

pub fn program_text() -> String {
    let valid = "{\"ts\":5,\"groups\":[]}\n";
    let inputs: [(&str, Vec<u8>); 8] = [
        ("no input", Vec::new()),
        ("one batch", valid.into()),
        ("two batches, the last without a line end", valid.repeat(2).trim_end().into()),
        ("a carriage return before the line end", b"{\"ts\":5,\"groups\":[]}\r\n".to_vec()),
        ("a batch and an empty line", format!("{valid}\n").into()),
        ("a batch and a stray sign", format!("{valid}{{\"ts\":5,!\n{valid}").into()),
        ("a batch and one without a clock", format!("{valid}{{\"groups\":[]}}\n").into()),
        ("a batch and bytes that are not UTF-8", [valid.as_bytes(), b"{\"ts\":\xff}\n"].concat()),
    ];
    let mut text = String::new();
    for (title, input) in inputs {
        let (code, out, errors) = run(&input);
        let _ = writeln!(text, "# {title}\ninput: {}\nexit: {code:?}", input.escape_ascii());
        let _ = writeln!(text, "output: {out:?}\nerrors, after the program's name: {errors:?}\n");
    }
    text
}
