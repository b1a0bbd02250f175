//! Every byte on the wire, and what each end reads in it, against the golden files in `tests/golden/protocol`.

// Support code is shared by the modules of this test alone; a scenario may be long.
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

/// Compares what this writes with a file of the folder `protocol`.
fn compare_protocol(name: &str, write: fn(&mut text::Cases)) {
    let mut cases = text::Cases::default();
    write(&mut cases);
    compare::check(&format!("protocol/{name}"), &cases.0);
}

#[test]
fn what_edge_nodes_send_is_as_recorded() {
    compare_protocol("edge-msgpack.txt", edge_calls::write);
}

#[test]
fn other_widths_of_what_edge_nodes_send_are_read_as_recorded() {
    compare_protocol("edge-msgpack-widths.txt", edge_forms::write_widths);
}

#[test]
fn fields_that_edge_nodes_send_are_read_as_recorded() {
    compare_protocol("edge-msgpack-fields.txt", edge_forms::write_fields);
}

#[test]
fn what_edge_nodes_may_not_send_is_refused_as_recorded() {
    compare_protocol("edge-msgpack-refused.txt", edge_forms::write_refused);
}

#[test]
fn answers_to_edge_nodes_are_as_recorded() {
    compare_protocol("edge-msgpack-answers.txt", edge_answers::write);
}

#[test]
fn other_forms_of_answers_to_edge_nodes_are_read_as_recorded() {
    compare_protocol("edge-msgpack-answer-forms.txt", edge_answers::write_forms);
}

#[test]
fn commands_to_the_worker_pool_are_as_recorded() {
    compare_protocol("worker-pool-commands.txt", worker_commands::write);
}

#[test]
fn worker_pool_events_are_read_as_recorded() {
    compare_protocol("worker-pool.txt", worker_pool::write);
}

#[test]
fn answers_in_http_are_as_recorded() {
    compare_protocol("http.txt", http::write_answers);
}

#[test]
fn requests_in_http_are_read_as_recorded() {
    compare_protocol("http-requests.txt", http::write_requests);
}

#[test]
fn calls_to_the_index_are_as_recorded() {
    compare_protocol("index.txt", index::write);
}

#[test]
fn reports_to_the_membership_service_are_as_recorded() {
    compare_protocol("membership.txt", membership::write);
}
