//! Compares flattened JSON settings with a golden file, which lists each document and then its names and values.

// Support code is private to this test binary, so it needs no documentation; functions with many cases may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank::Value;
use std::fmt::Write;

#[path = "../../../tests/golden/compare.rs"]
mod compare;

const DOCUMENTS: [(&str, &str); 14] = [
    ("an empty object", "{}"),
    ("nested objects", r#"{"a": {"b": {"c": 1}, "d": "two"}}"#),
    ("a list of numbers and flags", r#"{"list": [true, false, 3, "four"]}"#),
    ("a list of objects", r#"{"profiles": [{"name": "x", "points": 1}, {"name": "y"}]}"#),
    ("a list of lists", r#"{"grid": [[1, 2], [3]]}"#),
    ("null is left out, and a list counts on over it", r#"{"a": null, "b": [null, 1]}"#),
    ("empty lists and objects leave nothing", r#"{"a": [], "b": {}}"#),
    ("numbers", r#"{"a": 0, "b": -1, "c": 1.5, "d": 1e300, "e": 18446744073709551615, "f": -0.0}"#),
    ("texts", r#"{"a": "", "b": "with \"quotes\" and \n", "c": "\u00e9"}"#),
    ("a key with a dot, and the same name nested", r#"{"a.b": 1, "a": {"b": 2}}"#),
    ("the same key twice", r#"{"a": 1, "a": 2}"#),
    ("an empty key", r#"{"": 1, "a": {"": 2}}"#),
    ("a single number", "7"),
    ("a list alone", "[1, [2]]"),
];

/// The type of a value, and the value.
fn describe(value: &Value) -> String {
    match value {
        Value::Number(number) => format!("number {number:?}"),
        Value::Text(text) => format!("text {text:?}"),
        Value::Flag(flag) => format!("flag {flag}"),
    }
}

fn flattened(document: &str) -> String {
    let json = serde_json::from_str(document).unwrap();
    let mut lines = String::new();
    for (name, value) in &aldercrank_json_settings::settings(&json).0 {
        writeln!(lines, "  {name:?} = {}", describe(value)).unwrap();
    }
    lines
}

#[test]
fn flattened_json_settings_match_the_golden_file() {
    let mut text = String::new();
    for (title, document) in DOCUMENTS {
        writeln!(text, "== {title}\n{document}\n{}", flattened(document)).unwrap();
    }
    compare::check("config/flattened-json.txt", &text);
}
