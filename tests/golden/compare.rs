//! Compares the text built by a test with a recorded golden file. Tests of several packages include this file by its
//! path.

use std::path::{Path, PathBuf};

/// The path of a golden file, given its name relative to `tests/golden`.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/golden").join(name)
}

/// Describes the first line in which two texts differ, or `None` if they are equal.
fn first_difference(recorded: &str, built: &str) -> Option<String> {
    if recorded == built {
        return None;
    }
    let (mut left, mut right, mut line) = (recorded.split('\n'), built.split('\n'), 0);
    loop {
        line += 1;
        let (expected, found) = (left.next(), right.next());
        if expected != found || expected.is_none() {
            let (expected, found) = (expected.unwrap_or("(end)"), found.unwrap_or("(end)"));
            return Some(format!("line {line}\n  recorded: {expected}\n  now:      {found}"));
        }
    }
}

/// Panics with the first differing line if the text differs from the golden file. If the environment variable
/// `RECORD_GOLDEN_FILES` is set, the text is first written to the golden file.
pub fn check(name: &str, built: &str) {
    let path = golden_path(name);
    if std::env::var_os("RECORD_GOLDEN_FILES").is_some() {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, built).unwrap();
    }
    let recorded = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    if let Some(difference) = first_difference(&recorded, built) {
        panic!("tests/golden/{name} differs first at {difference}");
    }
}

#[test]
fn the_first_differing_line_is_reported() {
    let expected = "line 2\n  recorded: b\n  now:      x".to_string();
    assert_eq!(first_difference("a\nb\nc\n", "a\nx\ny\n"), Some(expected));
    let longer = "line 2\n  recorded: \n  now:      b".to_string();
    assert_eq!(first_difference("a\n", "a\nb\n"), Some(longer));
    assert_eq!(first_difference("a\nb\n", "a\nb\n"), None);
}
