//! The simulator's protocol, batches in and replies out, against the golden files in `tests/golden/simulator`.

mod actions;
mod batches;
#[path = "../../../../tests/golden/compare.rs"]
mod compare;
mod malformed;
mod settings;

/// Compares with a file of the folder `simulator`.
fn compare_simulator(name: &str, built: &str) {
    compare::compare(env!("CARGO_MANIFEST_DIR"), &format!("simulator/{name}"), built);
}

#[test]
fn every_action_is_written_as_recorded() {
    compare_simulator("actions.txt", &actions::text());
}

#[test]
fn batches_are_answered_as_recorded() {
    compare_simulator("batches.txt", &batches::text());
}

#[test]
fn ends_are_answered_as_recorded() {
    compare_simulator("ends.txt", &batches::ends_text());
}

#[test]
fn calls_are_answered_as_recorded() {
    for class in ["look", "pay", "send"] {
        compare_simulator(&format!("calls-{class}.txt"), &batches::calls_text(class));
    }
}

#[test]
fn settings_are_taken_as_recorded() {
    compare_simulator("settings.txt", &settings::text());
}

#[test]
fn malformed_batches_are_refused_as_recorded() {
    compare_simulator("malformed.txt", &malformed::text());
}

#[test]
fn the_program_ends_as_recorded() {
    compare_simulator("program.txt", &malformed::program_text());
}
