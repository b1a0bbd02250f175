//! The adapter through the text of the protocol, malformed input included.

// Support code is shared by the modules of this test alone; a scenario may be long.
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

fn send(adapter: &mut SimulatorAdapter, ts: u64, items: Value) -> Vec<Value> {
    let line = json!({"ts": ts, "groups": [{"i": 3, "items": items}]}).to_string();
    let reply: Value = serde_json::from_str(&adapter.batch(&line).unwrap()).unwrap();
    let groups = reply["groups"].as_array().unwrap().iter();
    let actions = groups.flat_map(|g| g["actions"].as_array().unwrap().clone());
    actions.filter(|a| a["t"] != "WriteLog").collect()
}

#[test]
fn a_request_is_started_and_one_past_its_deadline_rejected_wherever_the_clock_starts() {
    let mut adapter = SimulatorAdapter::default();
    let base = 8_000_000_000_000u64;
    let up = send(&mut adapter, base, json!([power_on()]));
    assert!(up.iter().any(|a| a["t"] == "Remind"));
    let read = |id: u64, end: u64| {
        json!({"t": "NewRequest", "request_id": id, "cls": "look", "drop_dead": end, "footprint": 9.0,
            "precedence": 0.5, "unheard": 1})
    };
    let actions =
        send(&mut adapter, base + 5, json!([read(4294967295, base + 2_000_000), read(2, base + 1)]));
    assert_eq!(actions[0], json!({"t": "Process", "request_id": 4294967295u64}));
    assert_eq!((&actions[1]["t"], &actions[1]["request_id"]), (&json!("SayNo"), &json!(2)));
}

#[test]
fn unknown_events_and_requests_are_ignored() {
    let mut adapter = SimulatorAdapter::default();
    assert!(send(&mut adapter, 1, json!([{"t": "Alarm", "tag": "x", "pressure": []}])).is_empty());
    send(&mut adapter, 1, json!([power_on()]));
    let odd = json!([{"t": "Sunrise"}, {"t": "WoundUp", "request_id": 77, "result": "completed", "duration": 1},
        {"t": "ClientGone", "request_id": 99}, {"t": "CallEnded", "request_id": -1}]);
    assert!(send(&mut adapter, 2, odd).is_empty());
    send(&mut adapter, 3, json!([{"t": "Kill"}]));
    assert!(send(&mut adapter, 4, json!([{"t": "Alarm", "tag": "tick", "pressure": [0.1, 1]}])).is_empty());
    assert_eq!(adapter.batch(r#"{"ts":5,"groups":[]}"#).unwrap(), r#"{"groups":[]}"#);
}

fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_aldercrank-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_program_ends_cleanly_with_its_input_and_names_the_byte_of_a_malformed_line() {
    let good = "{\"ts\":5,\"groups\":[]}\n";
    assert_eq!(run(good), (true, "{\"groups\":[]}\n".into(), String::new()));
    for (malformed, expected) in
        [("{\"ts\":5,!", "byte 8"), ("{\"groups\":[]}", "ts"), ("{\"ts\":1,\"groups\":[{\"i\":1}]}", "items")]
    {
        let (succeeded, out, err) = run(&format!("{good}{malformed}\n"));
        assert!(!succeeded && out == "{\"groups\":[]}\n", "{malformed}");
        assert!(err.contains(expected) && err.lines().count() == 1, "{malformed}: {err}");
        assert!(err.starts_with("aldercrank-drill: "), "{err}");
    }
}
