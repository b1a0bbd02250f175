//! The simulator's protocol, batches in and replies out, against the golden files in `tests/golden/simulator`.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod actions;
mod batches;
#[path = "../../../../tests/golden/compare.rs"]
mod compare;
mod malformed;
mod settings;

/// What stands before the text of a log line in a reply.
const LOG_TEXT: &str = r#""t":"WriteLog","words":""#;

/// A log line's text may change, its place among the actions may not: all texts but those that name a setting
/// are left out.
fn without_log_texts(replies: &str) -> String {
    let mut parts = replies.split(LOG_TEXT);
    let mut masked = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let text_end = part.find('"').expect("a quoted text ends");
        let names_a_setting = part.starts_with("setting ");
        masked += LOG_TEXT;
        masked += if names_a_setting { part } else { &part[text_end..] };
    }
    masked
}

/// Compares with a file of the folder `simulator`.
fn compare_simulator(name: &str, built: &str) {
    compare::check(&format!("simulator/{name}"), built);
}

#[test]
fn every_action_is_written_as_recorded() {
    compare_simulator("actions.txt", &actions::text());
}

#[test]
fn batches_are_answered_as_recorded() {
    compare_simulator("batches.txt", &without_log_texts(&batches::text()));
}

#[test]
fn ends_are_answered_as_recorded() {
    compare_simulator("ends.txt", &without_log_texts(&batches::ends_text()));
}

#[test]
fn calls_are_answered_as_recorded() {
    for class in ["look", "pay", "send"] {
        compare_simulator(&format!("calls-{class}.txt"), &without_log_texts(&batches::calls_text(class)));
    }
}

#[test]
fn settings_are_taken_as_recorded() {
    compare_simulator("settings.txt", &without_log_texts(&settings::text()));
}

#[test]
fn malformed_batches_are_refused_as_recorded() {
    compare_simulator("malformed.txt", &malformed::text());
}

#[test]
fn the_program_ends_as_recorded() {
    compare_simulator("program.txt", &malformed::program_text());
}
