//! Compares the messages of all protocols, as they are encoded and decoded, with the golden files in
//! `tests/golden/protocol`.

// Support code is private to this test binary, so it needs no documentation; functions with many cases may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

#[path = "../../../../tests/golden/compare.rs"]
mod compare;
mod edge_answers;
mod edge_calls;
mod edge_forms;
mod http;
mod index;
mod membership;
mod text;
mod worker_commands;
mod worker_pool;

/// Compares the cases that `write` adds with a golden file in the folder `protocol`.
fn compare_protocol(name: &str, write: fn(&mut text::Cases)) {
    let mut cases = text::Cases::default();
    write(&mut cases);
    compare::check(&format!("protocol/{name}"), &cases.0);
}

#[test]
fn edge_node_messages_match_the_golden_file() {
    compare_protocol("edge-msgpack.txt", edge_calls::write);
}

#[test]
fn edge_node_messages_in_other_encodings_match_the_golden_file() {
    compare_protocol("edge-msgpack-widths.txt", edge_forms::write_widths);
}

#[test]
fn request_field_values_match_the_golden_file() {
    compare_protocol("edge-msgpack-fields.txt", edge_forms::write_fields);
}

#[test]
fn invalid_edge_node_messages_match_the_golden_file() {
    compare_protocol("edge-msgpack-refused.txt", edge_forms::write_invalid);
}

#[test]
fn messages_to_edge_nodes_match_the_golden_file() {
    compare_protocol("edge-msgpack-answers.txt", edge_answers::write);
}

#[test]
fn messages_to_edge_nodes_in_other_encodings_match_the_golden_file() {
    compare_protocol("edge-msgpack-answer-forms.txt", edge_answers::write_other_encodings);
}

#[test]
fn worker_pool_commands_match_the_golden_file() {
    compare_protocol("worker-pool-commands.txt", worker_commands::write);
}

#[test]
fn worker_pool_events_match_the_golden_file() {
    compare_protocol("worker-pool.txt", worker_pool::write);
}

#[test]
fn http_responses_match_the_golden_file() {
    compare_protocol("http.txt", http::write_responses);
}

#[test]
fn http_requests_match_the_golden_file() {
    compare_protocol("http-requests.txt", http::write_requests);
}

#[test]
fn dependency_calls_match_the_golden_file() {
    compare_protocol("index.txt", index::write);
}

#[test]
fn membership_service_requests_match_the_golden_file() {
    compare_protocol("membership.txt", membership::write);
}
