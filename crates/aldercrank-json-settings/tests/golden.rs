//! Golden file of JSON settings turned into dotted names: the document, then each name with its value.

// Support code is shared by the modules of this test alone; a scenario may be long.
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

/// A value with its kind, as JSON writes it.
fn written(value: &Value) -> String {
    match value {
        Value::Number(n) => format!("number {n:?}"),
        Value::Text(text) => format!("text {text:?}"),
        Value::Flag(flag) => format!("flag {flag}"),
    }
}

fn decoded(document: &str) -> String {
    let json = serde_json::from_str(document).unwrap();
    let mut lines = String::new();
    for (name, value) in &aldercrank_json_settings::settings(&json).0 {
        writeln!(lines, "  {name:?} = {}", written(value)).unwrap();
    }
    lines
}

#[test]
fn json_settings_become_the_recorded_names_and_values() {
    let mut built = String::new();
    for (title, document) in DOCUMENTS {
        writeln!(built, "== {title}\n{document}\n{}", decoded(document)).unwrap();
    }
    compare::check("config/flattened-json.txt", &built);
}
