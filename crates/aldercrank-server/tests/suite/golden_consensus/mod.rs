//! Golden tests of the versioned configuration: consensus messages between servers, the state file, the status document
//! and the `rules` commands. The golden files are written only if `RECORD_GOLDEN_FILES` is set.

mod commands;
mod framing;
mod memory;
mod status;

use crate::compare;
use std::path::PathBuf;

/// The path of a golden file.
fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../tests/golden").join(name)
}

fn recording() -> bool {
    std::env::var_os("RECORD_GOLDEN_FILES").is_some()
}

/// Compares a text with the golden file of this name; a failure names the first line that differs.
fn compare(name: &str, actual: &str) {
    compare::check(name, actual);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
