//! What differs between two versions, and what of it nobody may be left out of.

use crate::book::{self, Path, Value, VersionedConfig};
use crate::items::{self, Consistency};
use std::collections::BTreeSet;
use std::fmt;

/// One item that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub path: Path,
    pub from: Option<Value>,
    pub to: Option<Value>,
    pub role: Consistency,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let word = |value: &Option<Value>| value.as_ref().map_or("none".to_string(), Value::to_string);
        let role = match self.role {
            Consistency::Free => "free",
            Consistency::Fenced => "fenced",
            Consistency::Fixed => "fixed",
        };
        write!(f, "{role:<6} {}: {} -> {}", self.path, word(&self.from), word(&self.to))
    }
}

/// An item's role; nothing knows another list of them.
pub fn role(path: &Path) -> Consistency {
    let of = |table: &[items::Item]| table.iter().find(|i| i.name == path.name).map(|i| i.role);
    match path.block {
        book::CLASS => of(items::CLASS_SETTINGS),
        book::LIMITS => of(items::LIMITS),
        book::AGREE | book::ALONE_FOR => Some(items::WITHIN),
        book::COMMITTEE => Some(items::COMMITTEE),
        _ => Some(items::LISTS),
    }
    // What no table knows can't have been read.
    .unwrap_or(Consistency::Fixed)
}

/// All that differs, in the order of paths.
pub fn changes(old: &VersionedConfig, new: &VersionedConfig) -> Vec<Change> {
    let paths: BTreeSet<&Path> = old.items.keys().chain(new.items.keys()).collect();
    let change = |path: &Path| {
        let (from, to) = (old.items.get(path).cloned(), new.items.get(path).cloned());
        (from != to).then(|| Change { path: path.clone(), from, to, role: role(path) })
    };
    paths.into_iter().filter_map(change).collect()
}

/// What a server that has lost touch would go on doing against the new version, since it does what may run again:
/// in words. All servers that could must have heard of it before it takes effect.
pub fn restrictions(old: &VersionedConfig, new: &VersionedConfig) -> Vec<String> {
    let mut all = Vec::new();
    for change in changes(old, new) {
        let (path, from, to) = (&change.path, &change.from, &change.to);
        let is = |value: &Option<Value>, word: &str| *value == Some(Value::Word(word.to_string()));
        let tighter = match (path.block, path.name.as_str()) {
            // What is not named is as the platform has it, which may be either.
            (book::CLASS, "effect") => {
                !is(to, "inquiry-like") && !is(from, "referenced") && !is(from, "once-only")
            }
            (book::CLASS, "offered") => *to == Some(Value::Flag(false)),
            (book::AWAY, _) => match (from, to) {
                (Some(Value::Callers(from)), Some(Value::Callers(to))) => !to.is_subset(from),
                (None, Some(Value::Callers(to))) => !to.is_empty(),
                _ => false,
            },
            (book::SERVERS, _) => match (from, to) {
                (Some(Value::Names(from)), Some(Value::Names(to))) => !from.is_subset(to),
                (Some(_), None) => true,
                // Naming servers for the first time turns away all that are not named.
                (None, Some(_)) => old.servers().is_none(),
                _ => false,
            },
            _ => false,
        };
        if tighter {
            all.push(change.to_string());
        }
    }
    all
}
