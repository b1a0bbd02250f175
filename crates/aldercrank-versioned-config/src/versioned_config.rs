//! One version of the configuration: access to its items, its canonical text and its digest.

use crate::path::{self, ItemPath};
use crate::value::Value;
use crate::version::{Digest, VersionNumber};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Agreement bound of a version that does not set one.
const DEFAULT_AGREEMENT_BOUND: Duration = Duration::from_secs(2);
/// Isolation limit of a version that does not set one.
const DEFAULT_ISOLATION_LIMIT: Duration = Duration::from_secs(60);

/// A committee member and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The member's name.
    pub name: String,
    /// The address at which other servers reach the member.
    pub address: SocketAddr,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedConfig {
    /// The version number.
    pub number: VersionNumber,
    pub(crate) items: BTreeMap<ItemPath, Value>,
}

impl VersionedConfig {
    /// All items, ordered by path.
    pub fn items(&self) -> impl Iterator<Item = (&ItemPath, &Value)> {
        self.items.iter()
    }

    /// The value of the item with this path.
    pub fn get(&self, block: &'static str, class: &str, name: &str) -> Option<&Value> {
        self.items.get(&ItemPath::new(block, class, name))
    }

    /// The value of a time span outside any block.
    fn time_span(&self, block: &'static str) -> Option<Duration> {
        match self.get(block, "", "") {
            Some(Value::Number(milliseconds)) => Some(Duration::from_secs_f64(milliseconds / 1e3)),
            _ => None,
        }
    }

    /// The agreement bound: the longest time for which servers may use different values of a fenced item.
    pub fn agreement_bound(&self) -> Duration {
        self.time_span(path::AGREEMENT_BOUND).unwrap_or(DEFAULT_AGREEMENT_BOUND)
    }

    /// The isolation limit: how long a server without a lease keeps handling idempotent requests.
    pub fn isolation_limit(&self) -> Duration {
        self.time_span(path::ISOLATION_LIMIT).unwrap_or(DEFAULT_ISOLATION_LIMIT)
    }

    /// The committee that decides on the next version, ordered by name.
    pub fn committee(&self) -> Vec<MemberAddress> {
        let members = self.items.iter().filter(|(path, _)| path.block == path::COMMITTEE);
        let with_address = |(path, value): (&ItemPath, &Value)| match value {
            Value::Text(address) => {
                address.parse().ok().map(|address| MemberAddress { name: path.name.clone(), address })
            }
            _ => None,
        };
        members.filter_map(with_address).collect()
    }

    /// The zone of each server in service, by server name; `None` if the version does not list the servers.
    pub fn servers(&self) -> Option<BTreeMap<&str, &str>> {
        let zones = self.items.iter().filter(|(path, _)| path.block == path::SERVERS);
        let mut servers = BTreeMap::new();
        for (path, value) in zones {
            if let Value::Names(names) = value {
                servers.extend(names.iter().map(|name| (name.as_str(), path.name.as_str())));
            }
        }
        (!servers.is_empty()).then_some(servers)
    }

    /// Whether this server is in service. Every server is, if the version does not list the servers.
    pub fn is_in_service(&self, server: &str) -> bool {
        self.servers().is_none_or(|servers| servers.contains_key(server))
    }

    /// This server's quota of outstanding calls to the upstream dependency: an equal part of its zone's quota, and 0
    /// for a server without a zone or in a zone without a quota. `None` if the version has no quotas.
    pub fn quota(&self, server: &str) -> Option<f64> {
        self.items.keys().find(|path| path.block == path::QUOTAS)?;
        let servers = self.servers().unwrap_or_default();
        let Some(zone) = servers.get(server) else { return Some(0.0) };
        let servers_in_zone = servers.values().filter(|other| *other == zone).count();
        match self.get(path::QUOTAS, "", zone) {
            Some(Value::Number(quota)) => Some(quota / servers_in_zone.max(1) as f64),
            _ => Some(0.0),
        }
    }

    /// The canonical text. Texts that differ only in order, spacing or notation have the same canonical text.
    pub fn text(&self) -> String {
        let mut text = format!("rules {} {{\n", self.number);
        let mut open_block: Option<(&str, &str)> = None;
        for (path, value) in &self.items {
            let block = (path.block, path.class.as_str());
            if open_block.is_some_and(|open| open != block) {
                text.push_str("    }\n");
                open_block = None;
            }
            // This item is outside any block.
            if path.name.is_empty() {
                let _ = writeln!(text, "    {} {value}", path.block);
                continue;
            }
            if open_block.is_none() {
                let class = if path.class.is_empty() { String::new() } else { format!(" {:?}", path.class) };
                let _ = writeln!(text, "    {}{class} {{", path.block);
                open_block = Some(block);
            }
            let _ = writeln!(text, "        {} {value}", path.name);
        }
        if open_block.is_some() {
            text.push_str("    }\n");
        }
        text.push_str("}\n");
        text
    }

    /// The digest of the canonical text.
    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.text().as_bytes()).into())
    }

    /// A copy with this number and with these items set, or removed where the value is `None`. Publishers use it to
    /// create the next version; the result is not validated before its text is parsed.
    pub fn with_changes(
        &self,
        number: VersionNumber,
        changes: impl IntoIterator<Item = (ItemPath, Option<Value>)>,
    ) -> VersionedConfig {
        let mut items = self.items.clone();
        for (path, value) in changes {
            match value {
                Some(value) => items.insert(path, value),
                None => items.remove(&path),
            };
        }
        VersionedConfig { number, items }
    }
}
