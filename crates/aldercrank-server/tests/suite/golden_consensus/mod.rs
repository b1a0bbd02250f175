//! Golden files of what servers say to one another and store about the rule book, and of the commands on it. The files
//! are written only where `RECORD_GOLDEN_FILES` is set.

mod commands;
mod framing;
mod memory;
mod status;

use std::path::PathBuf;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../tests/golden").join(name)
}

fn recording() -> bool {
    std::env::var_os("RECORD_GOLDEN_FILES").is_some()
}

/// Compares a text with the golden file of this name; a failure names the first line that differs.
fn compare(name: &str, actual: &str) {
    let path = golden(name);
    if recording() {
        std::fs::write(&path, actual).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{name}: {error}"));
    let (mut expected_lines, mut actual_lines) = (expected.split('\n'), actual.split('\n'));
    for number in 1.. {
        match (expected_lines.next(), actual_lines.next()) {
            (None, None) => return,
            (expected, actual) => {
                assert_eq!(actual, expected, "{name}, line {number}: the left is actual, the right golden")
            }
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
