//! Golden files of the platform's JSON file: for each variation, the decoded fields and settings, or the error.

use crate::compare;
use aldercrank::Value;
use aldercrank_server::config::Config;
use serde_json::{json, Value as Json};
use std::fmt::{Debug, Write};

pub const EXAMPLE: &str = include_str!("../../../../examples/config.json");

pub fn or_none<T: Debug>(value: Option<T>) -> String {
    value.map_or("none".to_string(), |value| format!("{value:?}"))
}

/// Formats a setting with its type.
pub fn setting(value: &Value) -> String {
    match value {
        Value::Number(n) => format!("number {n:?}"),
        Value::Text(text) => format!("text {text:?}"),
        Value::Flag(flag) => format!("flag {flag}"),
    }
}

/// Formats the fields other than the settings, by their names in the file.
fn fields(config: &Config) -> String {
    let mut lines = format!("  name {:?}\n  listen {}\n", config.name, config.listen);
    writeln!(lines, "  pool {}\n  members {}", config.pool_address, config.membership_address).unwrap();
    writeln!(lines, "  index {}", or_none(config.dependency_address)).unwrap();
    writeln!(lines, "  stop {:?}", config.stop_timeout).unwrap();
    writeln!(lines, "  memory {} bytes, sockets {}", config.memory_bytes, config.max_sockets).unwrap();
    writeln!(lines, "  seed {:?}", config.seed).unwrap();
    lines + &service_fields(config)
}

/// Formats the fields that the service file sets.
pub fn service_fields(config: &Config) -> String {
    let mut lines = format!("  longest result {} bytes\n", config.max_result_bytes);
    writeln!(lines, "  longest between reports {}", or_none(config.max_report_backoff)).unwrap();
    writeln!(lines, "  log in JSON {}", config.json_log).unwrap();
    lines += &versioned_config(config);
    writeln!(lines, "  start: tell-share {}", config.start.report_share).unwrap();
    lines
}

fn versioned_config(config: &Config) -> String {
    let Some(agreement) = &config.agreement else { return "  rules: none\n".to_string() };
    let mut lines = format!(
        "  rules: version {} ({})\n",
        agreement.initial_version.number,
        agreement.initial_version.digest()
    );
    writeln!(
        lines,
        "  rules: dir {}, read-list {}",
        or_none(agreement.state_dir.as_ref()),
        agreement.read_proposals
    )
    .unwrap();
    for (member, address) in &agreement.member_addresses {
        writeln!(lines, "  rules: reach {member:?} at {address}").unwrap();
    }
    lines
}

pub fn decoded(config: &Config) -> String {
    let mut lines = fields(config);
    for (name, value) in &config.settings.0 {
        writeln!(lines, "  settings.{name} = {}", setting(value)).unwrap();
    }
    lines
}

/// Returns the example with each value set at its JSON pointer. Null removes the field or item, and the last part `-`
/// appends to an array.
pub fn changed(changes: &[(&str, Json)]) -> String {
    let mut json: Json = serde_json::from_str(EXAMPLE).unwrap();
    for (pointer, value) in changes {
        let (parent, last) = pointer.rsplit_once('/').unwrap();
        match json.pointer_mut(parent).unwrap() {
            Json::Object(fields) if value.is_null() => drop(fields.remove(last)),
            Json::Object(fields) => drop(fields.insert(last.to_string(), value.clone())),
            Json::Array(items) if last == "-" => items.push(value.clone()),
            Json::Array(items) if value.is_null() => drop(items.remove(last.parse().unwrap())),
            Json::Array(items) => items[last.parse::<usize>().unwrap()] = value.clone(),
            other => panic!("{pointer}: can't set a value in {other}"),
        }
    }
    json.to_string()
}

/// Describes each change by a line such as `/limits/sockets = 31`.
fn described(changes: &[(&str, Json)]) -> String {
    changes.iter().map(|(pointer, value)| format!("{pointer} = {value}\n")).collect()
}

/// The environment variables that are the defaults of missing fields.
fn variables(name: &str) -> Option<String> {
    match name {
        "ROUTER_NAME" => Some("from-variable".to_string()),
        "ROUTER_LISTEN" => Some("127.0.0.9:9009".to_string()),
        _ => None,
    }
}

fn no_variable(_: &str) -> Option<String> {
    None
}

/// Returns the fields of a valid configuration, or the error's text.
fn outcome(text: &str, variable: fn(&str) -> Option<String>) -> String {
    match Config::parse(text, variable) {
        Ok(config) => fields(&config),
        Err(error) => format!("  error: {error}\n"),
    }
}

#[test]
fn the_example_decodes_as_recorded() {
    let config = Config::parse(EXAMPLE, no_variable).unwrap();
    compare::check("config/example.txt", &decoded(&config));
}

#[test]
fn a_small_configuration_decodes_as_recorded() {
    let small = json!({"pool": "1.1.1.1:1", "members": "[::1]:2", "stop_ms": 1.5, "unknown": {"a": 1},
        "limits": {"memory_mb": 1, "sockets": 32.9}, "settings": {"family_info": {"below": "none"},
        "extra": [null, true, "x", 1.25], "profiles": [{"name": "p", "points": 2}]}});
    let built = match Config::parse(&small.to_string(), variables) {
        Ok(config) => decoded(&config),
        Err(error) => error.to_string(),
    };
    compare::check("config/small.txt", &format!("{small}\n--\n{built}"));
}

/// Changes of the example that give a valid configuration.
fn valid_changes() -> Vec<Vec<(&'static str, Json)>> {
    vec![
        vec![("/seed", json!(null))],
        vec![("/seed", json!(7))],
        vec![("/stop_ms", json!(1))],
        vec![("/stop_ms", json!(1e9))],
        vec![("/limits/memory_mb", json!(1.5))],
        vec![("/limits/sockets", json!(32))],
        vec![("/limits/cores", json!("not read"))],
        vec![("/index", json!(null)), ("/settings/family_info/below", json!("none"))],
        vec![("/settings/family_info/below", json!("none"))],
        vec![("/name", json!("A-b_c.9"))],
        vec![("/listen", json!("[::1]:7001"))],
        vec![("/more", json!({"not": "known"}))],
    ]
}

/// Changes of the example that give an invalid configuration.
fn invalid_changes() -> Vec<Vec<(&'static str, Json)>> {
    let mut all: Vec<Vec<(&str, Json)>> = Vec::new();
    for field in ["/name", "/listen", "/pool", "/members", "/index", "/stop_ms", "/limits", "/settings"] {
        all.push(vec![(field, json!(null))]);
        all.push(vec![(field, json!(true))]);
        all.push(vec![(field, json!(""))]);
        all.push(vec![(field, json!("two words"))]);
    }
    for field in ["/limits/memory_mb", "/limits/sockets", "/stop_ms"] {
        let values = [json!(null), json!("192"), json!(0), json!(0.99), json!(-1), json!(1.1e9)];
        all.extend(values.map(|value| vec![(field, value)]));
    }
    all.push(vec![("/limits/sockets", json!(31))]);
    all.push(vec![("/pool", json!("127.0.0.1"))]);
    all.push(vec![("/pool", json!("localhost:9300"))]);
    all.push(vec![("/index", json!("here")), ("/settings/family_info/below", json!("none"))]);
    all.push(vec![("/settings", json!([]))]);
    all.push(vec![("/settings", json!({}))]);
    all.extend(invalid_settings());
    all
}

fn invalid_settings() -> Vec<Vec<(&'static str, Json)>> {
    let class = json!({"name": "map-extract", "effect": "retryable"});
    vec![
        vec![("/settings/profiles", json!([]))],
        vec![("/settings/profiles/0/name", json!(1))],
        vec![("/settings/profiles/1/name", json!("map-extract"))],
        vec![("/settings/profiles/-", class.clone())],
        vec![("/settings/profiles/-", class.clone()), ("/settings/profiles/-", class)],
        vec![("/settings/profiles/0/points", json!("one"))],
        vec![("/settings/profiles/1/effect", json!(3))],
        vec![("/settings/profiles/0/window", json!(-5)), ("/settings/profiles/1/give_up", json!(true))],
        vec![("/settings/family_info/cores", json!(-1))],
        vec![("/settings/family_info/cold", json!("no"))],
        vec![("/settings/family_info/halt", json!(1)), ("/settings/family_info/advert", json!(false))],
        vec![("/settings/family_info/meters", json!([1]))],
        vec![("/settings/limits/retry_after", json!(1)), ("/settings/rules/cold_from", json!("x"))],
    ]
}

fn sections(all: &[Vec<(&str, Json)>], variable: fn(&str) -> Option<String>) -> String {
    let one = |changes: &Vec<(&str, Json)>| {
        format!("== {}--\n{}\n", described(changes), outcome(&changed(changes), variable))
    };
    all.iter().map(one).collect()
}

#[test]
fn valid_changes_of_the_example_decode_as_recorded() {
    compare::check("config/allowed-forms.txt", &sections(&valid_changes(), no_variable));
}

#[test]
fn errors_of_invalid_changes_are_as_recorded() {
    compare::check("config/errors.txt", &sections(&invalid_changes(), no_variable));
}

#[test]
fn environment_variables_replace_missing_fields_as_recorded() {
    let fields = ["/name", "/listen", "/pool", "/members", "/index"];
    let mut all: Vec<Vec<(&str, Json)>> = fields.iter().map(|field| vec![(*field, json!(null))]).collect();
    all.extend(["/name", "/listen"].map(|field| vec![(field, json!(""))]));
    all.extend(["/name", "/listen"].map(|field| vec![(field, json!(5))]));
    compare::check("config/variables.txt", &sections(&all, variables));
}

#[test]
fn errors_of_invalid_json_are_as_recorded() {
    let texts =
        ["", "{", "[]", "7", "{\"name\": }", "{\"name\": \"a\",}", "not json", "{} {}", "{\"name\": NaN}"];
    let one = |text: &&str| format!("== {text}\n--\n{}\n", outcome(text, no_variable));
    compare::check("config/no-json.txt", &texts.iter().map(one).collect::<String>());
}
