//! Paths of items, and the names that blocks and items have in the text of a version.

use std::fmt;

/// Block with the settings of a request class.
pub(crate) const CLASS: &str = "product";
/// Block with limits that apply to each server.
pub(crate) const LIMITS: &str = "limits";
/// Block with the servers in service, by zone.
pub(crate) const SERVERS: &str = "servers";
/// Block with the quotas of outstanding calls to the upstream dependency, by zone.
pub(crate) const QUOTAS: &str = "shares";
/// Item with the callers whose requests are rejected.
pub(crate) const REJECTED_CALLERS: &str = "turned-away";
/// Block with the committee members and their addresses.
pub(crate) const COMMITTEE: &str = "committee";
/// Item with the agreement bound, in milliseconds.
pub(crate) const AGREEMENT_BOUND: &str = "agree-within-ms";
/// Item with the isolation limit, in milliseconds.
pub(crate) const ISOLATION_LIMIT: &str = "alone-for-ms";
/// Item in the block of quotas that limits their sum.
pub(crate) const QUOTA_LIMIT: &str = "limit";

/// Identifies an item. Displays as its non-empty parts, joined by dots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemPath {
    /// Name of the block, or of the item itself where the item is outside any block.
    pub block: &'static str,
    /// Name of the request class whose block this is; empty for all other blocks.
    pub class: String,
    /// Name of the item in its block; empty for an item outside any block.
    pub name: String,
}

impl ItemPath {
    /// Creates a path from its parts.
    pub fn new(block: &'static str, class: &str, name: &str) -> ItemPath {
        ItemPath { block, class: class.to_string(), name: name.to_string() }
    }
}

impl fmt::Display for ItemPath {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let parts = [self.block, &self.class, &self.name];
        let parts: Vec<&str> = parts.into_iter().filter(|part| !part.is_empty()).collect();
        f.write_str(&parts.join("."))
    }
}
