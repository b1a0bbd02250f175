//! Paths of items, and the names of blocks in the text of a version.

use std::fmt;

/// Settings of a request class.
pub(crate) const CLASS: &str = "product";
/// Settings of a server.
pub(crate) const LIMITS: &str = "limits";
/// Servers in service, by zone.
pub(crate) const SERVERS: &str = "servers";
/// Quotas of calls to the upstream dependency, by zone.
pub(crate) const QUOTAS: &str = "shares";
/// Callers whose requests are rejected.
pub(crate) const REJECTED_CALLERS: &str = "turned-away";
/// Members of the committee, with their addresses.
pub(crate) const COMMITTEE: &str = "committee";
/// The agreement bound, in milliseconds.
pub(crate) const AGREEMENT_BOUND: &str = "agree-within-ms";
/// The isolation limit, in milliseconds.
pub(crate) const ISOLATION_LIMIT: &str = "alone-for-ms";
/// The item among the quotas that limits their sum.
pub(crate) const QUOTA_LIMIT: &str = "limit";

/// Identifies an item. Displays as its parts with dots between them, empty ones left out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemPath {
    /// Name of its block.
    pub block: &'static str,
    /// What the block is about: the name of a request class, or empty.
    pub of: String,
    /// Name in the block; empty for an item outside any block.
    pub name: String,
}

impl ItemPath {
    /// The path with these parts.
    pub fn new(block: &'static str, of: &str, name: &str) -> ItemPath {
        ItemPath { block, of: of.to_string(), name: name.to_string() }
    }
}

impl fmt::Display for ItemPath {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let parts = [self.block, &self.of, &self.name];
        let parts: Vec<&str> = parts.into_iter().filter(|part| !part.is_empty()).collect();
        f.write_str(&parts.join("."))
    }
}
