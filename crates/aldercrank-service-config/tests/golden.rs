//! Golden files of service files: each KDL text, followed by its parsed values or by its faults with line and column.

// Items are visible to the modules of this test only, and a test may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_service_config::{parse, ServiceConfig, VersionedConfigOptions};
use std::fmt::Write;

#[path = "../../../tests/golden/compare.rs"]
mod compare;

/// Valid files, each with its title.
const VALID: [(&str, &str); 12] = [
    ("an empty file", ""),
    ("a comment alone", "// nothing\n"),
    ("results alone", "results {\n    longest-kb 65536\n}\n"),
    ("reports alone", "reports {\n    longest-ms 250\n}\n"),
    ("log alone", "log {\n    json #true\n}\n"),
    ("start alone", "start {\n    tell-share #true\n}\n"),
    ("rules alone, with a book only", "rules {\n    book \"rules.kdl\"\n}\n"),
    (
        "rules, all fields on one line",
        "rules { book r.kdl; dir d; read-list #true; reach { n1 \"[::1]:7\"; }; }\n",
    ),
    (
        "reach names two members, one twice",
        "rules {\n book x\n reach { b \"1.2.3.4:5\"; a \"1.1.1.1:1\"; b \"9.9.9.9:9\" }\n}",
    ),
    ("all blocks empty but rules", "results { }\nreports { }\nlog { }\nstart { }\n"),
    ("flags that are off", "log { json #false }\nstart { tell-share #false }\n"),
    ("a block struck out, a number in hexadecimal", "/- log { json #true }\nresults { longest-kb 0x10 }\n"),
];

/// Invalid files, each with its title.
const INVALID: [(&str, &str); 21] = [
    ("a block that is not known, near to one", "resluts {\n}\n"),
    ("a block that is not known, near to none", "zzzzzz 1\n"),
    ("a block twice", "log { json #true }\nlog { json #false }\n"),
    ("a block with a value", "results 3 {\n    longest-kb 4\n}\n"),
    ("a block without braces", "results\nreports\nlog\nrules\nstart\n"),
    (
        "fields that are not known",
        "results { a 1 }\nreports { b 1 }\nlog { jsno 1 }\nrules { book x; dri y }\nstart { c 1 }\n",
    ),
    ("a field twice", "results {\n    longest-kb 4\n    longest-kb 5\n}\n"),
    ("longest-kb under its bound", "results { longest-kb 0 }\n"),
    ("longest-kb over its bound", "results { longest-kb 65537 }\n"),
    ("longest-kb no whole number", "results { longest-kb 1.5 }\n"),
    ("longest-kb null", "results { longest-kb #null }\n"),
    ("longest-ms out of bounds and a text", "reports {\n longest-ms 249\n}\nlog { json \"yes\" }\n"),
    ("longest-ms over its bound", "reports { longest-ms 60001 }\n"),
    (
        "a field with two values, without one, with a named one",
        "results { longest-kb 1 2 }\nreports { longest-ms }\nlog { json on=#true }\n",
    ),
    ("a field with a block", "log {\n    json #true { a; }\n}\n"),
    ("tell-share no flag", "start {\n tell-share 1\n}\n"),
    ("rules without a book", "rules {\n    dir \"d\"\n}\n"),
    (
        "rules with wrong kinds",
        "rules {\n book 1\n dir #true\n read-list \"x\"\n reach 3 { n1 \"here\"; n2 5 }\n}\n",
    ),
    ("columns count characters", "/* \u{e9}\u{4e16} */ resluts { }\n"),
    ("no KDL: a brace is not closed", "results {\n  longest-kb 4\n"),
    ("no KDL: a text is not closed", "rules {\n  book \"x\n}\n"),
];

fn or_none<T: std::fmt::Debug>(value: Option<T>) -> String {
    value.map_or("none".to_string(), |value| format!("{value:?}"))
}

fn versioned_config(rules: &VersionedConfigOptions) -> String {
    let mut lines =
        format!("  rules: book {:?}, dir {}, ", rules.version_file, or_none(rules.state_dir.as_ref()));
    writeln!(lines, "read-list {}", rules.read_proposals).unwrap();
    for (member, address) in &rules.member_addresses {
        writeln!(lines, "  rules: reach {member:?} at {address}").unwrap();
    }
    lines
}

/// The parsed values under their names in the file.
fn settings(service: &ServiceConfig) -> String {
    let mut lines = format!("  results: longest-kb {}\n", or_none(service.results.max_kb));
    writeln!(
        lines,
        "  reports: longest-ms {}",
        or_none(service.reports.max_backoff.map(|backoff| backoff.as_millis()))
    )
    .unwrap();
    writeln!(lines, "  log: json {}", service.log.json).unwrap();
    lines += &service.versioned_config.as_ref().map_or("  rules: none\n".to_string(), versioned_config);
    writeln!(lines, "  start: tell-share {}", service.start.report_share).unwrap();
    lines
}

fn parsed(text: &str) -> String {
    match parse(text) {
        Ok(service) => settings(&service),
        Err(faults) => faults.iter().map(|fault| format!("  fault {fault}\n")).collect(),
    }
}

fn golden_entry(title: &str, text: &str) -> String {
    format!("== {title}\n{}\n--\n{}\n", text.trim_end(), parsed(text))
}

#[test]
fn example_file_matches_golden_file() {
    let example = include_str!("../../../deploy/service.kdl");
    compare::check("service-file/example.txt", &parsed(example));
}

#[test]
fn valid_files_match_golden_file() {
    let built: String = VALID.iter().map(|(title, text)| golden_entry(title, text)).collect();
    compare::check("service-file/good.txt", &built);
}

#[test]
fn faults_and_their_positions_match_golden_file() {
    let built: String = INVALID.iter().map(|(title, text)| golden_entry(title, text)).collect();
    compare::check("service-file/faults.txt", &built);
}
