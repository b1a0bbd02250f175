//! Compares the replies to batches of the simulator's protocol with the golden files in `tests/golden/simulator`.

// Support code is private to this test binary, so it needs no documentation; functions with many cases may be long.
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

/// Precedes the text of a log line in a reply.
const LOG_TEXT_PREFIX: &str = r#""t":"WriteLog","words":""#;

/// Removes the texts of log lines, except of those that name a setting. The golden files fix the position of a log line
/// among the actions, but not its wording.
fn without_log_texts(replies: &str) -> String {
    let mut parts = replies.split(LOG_TEXT_PREFIX);
    let mut masked = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let text_end = part.find('"').expect("a closing quote");
        let names_a_setting = part.starts_with("setting ");
        masked += LOG_TEXT_PREFIX;
        masked += if names_a_setting { part } else { &part[text_end..] };
    }
    masked
}

/// Compares with a golden file in the folder `simulator`.
fn compare_simulator(name: &str, text: &str) {
    compare::check(&format!("simulator/{name}"), text);
}

#[test]
fn encoded_actions_match_the_golden_file() {
    compare_simulator("actions.txt", &actions::text());
}

#[test]
fn replies_to_batches_match_the_golden_file() {
    compare_simulator("batches.txt", &without_log_texts(&batches::text()));
}

#[test]
fn replies_to_ends_of_runs_and_calls_match_the_golden_file() {
    compare_simulator("ends.txt", &without_log_texts(&batches::ends_text()));
}

#[test]
fn replies_to_dependency_calls_match_the_golden_files() {
    for class in ["look", "pay", "send"] {
        compare_simulator(&format!("calls-{class}.txt"), &without_log_texts(&batches::calls_text(class)));
    }
}

#[test]
fn replies_under_other_settings_match_the_golden_file() {
    compare_simulator("settings.txt", &without_log_texts(&settings::text()));
}

#[test]
fn errors_of_malformed_batches_match_the_golden_file() {
    compare_simulator("malformed.txt", &malformed::text());
}

#[test]
fn output_and_exit_code_of_the_program_match_the_golden_file() {
    compare_simulator("program.txt", &malformed::program_text());
}
