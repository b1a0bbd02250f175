//! Differences between two versions, and which of them every server must know before they take effect.

use crate::items::{self, Consistency, Item};
use crate::path::{self, ItemPath};
use crate::value::Value;
use crate::versioned_config::VersionedConfig;
use std::collections::BTreeSet;
use std::fmt;

/// An item that differs between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The item's path.
    pub path: ItemPath,
    /// The value in the old version; `None` where the old version has no such item.
    pub from: Option<Value>,
    /// The value in the new version; `None` where the new version removes the item.
    pub to: Option<Value>,
    /// Whether servers may use the two values at the same time.
    pub consistency: Consistency,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let text = |value: &Option<Value>| value.as_ref().map_or("none".to_string(), Value::to_string);
        let consistency = match self.consistency {
            Consistency::Free => "free",
            Consistency::Fenced => "fenced",
            Consistency::Fixed => "fixed",
        };
        write!(f, "{consistency:<6} {}: {} -> {}", self.path, text(&self.from), text(&self.to))
    }
}

/// The declared consistency of an item.
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
    // The parser rejects undeclared items, so this default is not reached for a parsed version.
    .unwrap_or(Consistency::Fixed)
}

/// All differences between two versions, ordered by path.
pub fn changes(old: &VersionedConfig, new: &VersionedConfig) -> Vec<Change> {
    let paths: BTreeSet<&ItemPath> = old.items.keys().chain(new.items.keys()).collect();
    let change = |path: &ItemPath| {
        let (from, to) = (old.items.get(path).cloned(), new.items.get(path).cloned());
        (from != to).then(|| Change { path: path.clone(), from, to, consistency: consistency(path) })
    };
    paths.into_iter().filter_map(change).collect()
}

/// The changes that a server without a lease could violate, as text for operators. Such a server keeps handling
/// idempotent requests by the old version, so every server that could do this must know the new version before it takes
/// effect.
pub fn restrictions(old: &VersionedConfig, new: &VersionedConfig) -> Vec<String> {
    let changes = changes(old, new).into_iter();
    changes.filter(|change| is_restriction(change, old)).map(|change| change.to_string()).collect()
}

/// Whether a server that still uses `old` could handle a request in a way that the new version does not allow.
fn is_restriction(change: &Change, old: &VersionedConfig) -> bool {
    let (from, to) = (&change.from, &change.to);
    let is = |value: &Option<Value>, word: &str| *value == Some(Value::Text(word.to_string()));
    match (change.path.block, change.path.name.as_str()) {
        // Without a value in the version the platform's setting applies, which may be any effect.
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
            // The first list of servers takes every server that is not listed out of service.
            (None, Some(_)) => old.servers().is_none(),
            _ => false,
        },
        _ => false,
    }
}
