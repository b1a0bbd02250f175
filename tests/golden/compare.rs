//! Compares a text that a test has built with the golden file that was recorded for it. Tests of several packages
//! include this file by its path.

use std::path::{Path, PathBuf};

/// Where a golden file lies, by its name below `tests/golden`.
fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/golden").join(name)
}

/// What differs first between two texts, by its line; nothing where they are the same.
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

/// Fails where the text is not that of the golden file, and names the first line that differs. Writes the file first
/// where `RECORD_GOLDEN_FILES` is set.
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
fn a_difference_is_named_by_its_first_line() {
    let expected = "line 2\n  recorded: b\n  now:      x".to_string();
    assert_eq!(first_difference("a\nb\nc\n", "a\nx\ny\n"), Some(expected));
    let longer = "line 2\n  recorded: \n  now:      b".to_string();
    assert_eq!(first_difference("a\n", "a\nb\n"), Some(longer));
    assert_eq!(first_difference("a\nb\n", "a\nb\n"), None);
}
