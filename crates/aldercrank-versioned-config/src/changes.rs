//! Differences between two versions, and those that every server must know of before they take effect.

use crate::items::{self, Consistency, Item};
use crate::path::{self, ItemPath};
use crate::value::Value;
use crate::versioned_config::VersionedConfig;
use std::collections::BTreeSet;
use std::fmt;

/// An item that differs between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The item.
    pub path: ItemPath,
    /// Its value in the old version.
    pub from: Option<Value>,
    /// Its value in the new version.
    pub to: Option<Value>,
    /// Whether the two values may be in use at once.
    pub role: Consistency,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let text = |value: &Option<Value>| value.as_ref().map_or("none".to_string(), Value::to_string);
        let consistency = match self.role {
            Consistency::Free => "free",
            Consistency::Fenced => "fenced",
            Consistency::Fixed => "fixed",
        };
        write!(f, "{consistency:<6} {}: {} -> {}", self.path, text(&self.from), text(&self.to))
    }
}

/// An item's consistency, as its declaration has it.
fn consistency(path: &ItemPath) -> Consistency {
    let declared =
        |table: &[Item]| table.iter().find(|item| item.name == path.name).map(|item| item.consistency);
    match path.block {
        path::CLASS => declared(items::CLASS_SETTINGS),
        path::LIMITS => declared(items::LIMITS),
        path::AGREEMENT_BOUND | path::ISOLATION_LIMIT => Some(items::TIMING_CONSISTENCY),
        path::COMMITTEE => Some(items::COMMITTEE_CONSISTENCY),
        _ => Some(items::LIST_CONSISTENCY),
    }
    // The parser takes no item that is not declared.
    .unwrap_or(Consistency::Fixed)
}

/// All differences, in the order of paths.
pub fn changes(old: &VersionedConfig, new: &VersionedConfig) -> Vec<Change> {
    let paths: BTreeSet<&ItemPath> = old.items.keys().chain(new.items.keys()).collect();
    let change = |path: &ItemPath| {
        let (from, to) = (old.items.get(path).cloned(), new.items.get(path).cloned());
        (from != to).then(|| Change { path: path.clone(), from, to, role: consistency(path) })
    };
    paths.into_iter().filter_map(change).collect()
}

/// Changes that a server without a lease would violate, since it goes on with idempotent requests: as text for
/// operators. Every server that could must know the new version before it takes effect.
pub fn restrictions(old: &VersionedConfig, new: &VersionedConfig) -> Vec<String> {
    let changes = changes(old, new).into_iter();
    changes.filter(|change| is_restriction(change, old)).map(|change| change.to_string()).collect()
}

fn is_restriction(change: &Change, old: &VersionedConfig) -> bool {
    let (from, to) = (&change.from, &change.to);
    let is = |value: &Option<Value>, word: &str| *value == Some(Value::Word(word.to_string()));
    match (change.path.block, change.path.name.as_str()) {
        // Without a value the platform's applies, which may be any of them.
        (path::CLASS, "effect") => {
            !is(to, "inquiry-like") && !is(from, "referenced") && !is(from, "once-only")
        }
        (path::CLASS, "offered") => *to == Some(Value::Flag(false)),
        (path::REJECTED_CALLERS, _) => match (from, to) {
            (Some(Value::Callers(from)), Some(Value::Callers(to))) => !to.is_subset(from),
            (None, Some(Value::Callers(to))) => !to.is_empty(),
            _ => false,
        },
        (path::SERVERS, _) => match (from, to) {
            (Some(Value::Names(from)), Some(Value::Names(to))) => !from.is_subset(to),
            (Some(_), None) => true,
            // The first list of servers takes all others out of service.
            (None, Some(_)) => old.servers().is_none(),
            _ => false,
        },
        _ => false,
    }
}
