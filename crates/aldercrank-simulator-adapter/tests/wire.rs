//! Tests of the adapter and its program through the text of the protocol, including malformed input.

// Support code is private to this test binary, so it needs no documentation; functions with many cases may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_simulator_adapter::SimulatorAdapter;
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Stdio};

fn power_on() -> Value {
    let profiles = json!([{"name": "look", "effect": "retryable", "goal_time": 1000000, "give_up": 3000000,
        "points": 1.0, "late_worth": 0.0, "window": 5000000}]);
    let info = json!({"cores": 2, "memory_kb": 9000.0, "run_factor": 4.0, "advert": "none", "halt": "none",
        "meters": ["cpu_busy", "runnable"], "never_heard_of": [1, {"x": null}]});
    let rules = json!({"answer_slack": 60000, "fall_multiple": 5.0, "stop_sending_within": 1000000});
    json!({"t": "PowerOn", "salt": 5, "env": {"family_info": info, "rules": rules, "profiles": profiles}})
}

/// Sends a batch of events for one instance. Returns its actions, without log lines.
fn send(adapter: &mut SimulatorAdapter, clock_micros: u64, items: Value) -> Vec<Value> {
    let line = json!({"ts": clock_micros, "groups": [{"i": 3, "items": items}]}).to_string();
    let reply: Value = serde_json::from_str(&adapter.handle_batch(&line).unwrap()).unwrap();
    let groups = reply["groups"].as_array().unwrap().iter();
    let actions = groups.flat_map(|group| group["actions"].as_array().unwrap().clone());
    actions.filter(|action| action["t"] != "WriteLog").collect()
}

#[test]
fn a_request_is_started_and_an_expired_one_rejected_when_the_clock_does_not_start_at_0() {
    let mut adapter = SimulatorAdapter::default();
    let start = 8_000_000_000_000u64;
    let start_actions = send(&mut adapter, start, json!([power_on()]));
    assert!(start_actions.iter().any(|action| action["t"] == "Remind"));
    let request = |id: u64, deadline: u64| {
        json!({"t": "NewRequest", "request_id": id, "cls": "look", "drop_dead": deadline, "footprint": 9.0,
            "precedence": 0.5, "unheard": 1})
    };
    let actions =
        send(&mut adapter, start + 5, json!([request(4294967295, start + 2_000_000), request(2, start + 1)]));
    assert_eq!(actions[0], json!({"t": "Process", "request_id": 4294967295u64}));
    assert_eq!((&actions[1]["t"], &actions[1]["request_id"]), (&json!("SayNo"), &json!(2)));
}

#[test]
fn unknown_events_and_requests_are_ignored() {
    let mut adapter = SimulatorAdapter::default();
    assert!(send(&mut adapter, 1, json!([{"t": "Alarm", "tag": "x", "pressure": []}])).is_empty());
    send(&mut adapter, 1, json!([power_on()]));
    let ignored = json!([{"t": "Sunrise"}, {"t": "WoundUp", "request_id": 77, "result": "completed", "duration": 1},
        {"t": "ClientGone", "request_id": 99}, {"t": "CallEnded", "request_id": -1}]);
    assert!(send(&mut adapter, 2, ignored).is_empty());
    send(&mut adapter, 3, json!([{"t": "Kill"}]));
    assert!(send(&mut adapter, 4, json!([{"t": "Alarm", "tag": "tick", "pressure": [0.1, 1]}])).is_empty());
    assert_eq!(adapter.handle_batch(r#"{"ts":5,"groups":[]}"#).unwrap(), r#"{"groups":[]}"#);
}

/// Runs the program on this input. Returns whether it succeeded, its standard output, and its standard error.
fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_aldercrank-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_program_succeeds_at_the_end_of_input_and_fails_with_one_error_line_on_a_malformed_batch() {
    let good = "{\"ts\":5,\"groups\":[]}\n";
    assert_eq!(run(good), (true, "{\"groups\":[]}\n".into(), String::new()));
    for (malformed, expected) in [
        ("{\"ts\":5,!", "byte 8"),
        ("{\"groups\":[]}", "`ts`"),
        ("{\"ts\":1,\"groups\":[{\"i\":1}]}", "`items`"),
    ] {
        let (succeeded, out, err) = run(&format!("{good}{malformed}\n"));
        assert!(!succeeded && out == "{\"groups\":[]}\n", "{malformed}");
        assert!(err.contains(expected) && err.lines().count() == 1, "{malformed}: {err}");
        assert!(err.starts_with("aldercrank-drill: "), "{err}");
    }
}
