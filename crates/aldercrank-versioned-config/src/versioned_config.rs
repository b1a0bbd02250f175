//! One version of the configuration: its items by path, and its canonical text.

use crate::path::{self, ItemPath};
use crate::value::Value;
use crate::version::{Digest, VersionNumber};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The agreement bound where a version has none.
const DEFAULT_AGREEMENT_BOUND: Duration = Duration::from_secs(2);
/// The isolation limit where a version has none.
const DEFAULT_ISOLATION_LIMIT: Duration = Duration::from_secs(60);

/// A committee member and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The member's name.
    pub name: String,
    /// Where other servers reach it.
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
    /// All items, in the order of their paths.
    pub fn items(&self) -> impl Iterator<Item = (&ItemPath, &Value)> {
        self.items.iter()
    }

    /// The item with this path.
    pub fn get(&self, block: &'static str, of: &str, name: &str) -> Option<&Value> {
        self.items.get(&ItemPath::new(block, of, name))
    }

    fn time_span(&self, block: &'static str) -> Option<Duration> {
        match self.get(block, "", "") {
            Some(Value::Number(milliseconds)) => Some(Duration::from_secs_f64(milliseconds / 1e3)),
            _ => None,
        }
    }

    /// The agreement bound: longest time for which two values of a fenced item may be in use at once.
    pub fn agreement_bound(&self) -> Duration {
        self.time_span(path::AGREEMENT_BOUND).unwrap_or(DEFAULT_AGREEMENT_BOUND)
    }

    /// The isolation limit: how long a server without a lease goes on with idempotent requests.
    pub fn isolation_limit(&self) -> Duration {
        self.time_span(path::ISOLATION_LIMIT).unwrap_or(DEFAULT_ISOLATION_LIMIT)
    }

    /// The committee that decides on the next version, in the order of names.
    pub fn committee(&self) -> Vec<MemberAddress> {
        let members = self.items.iter().filter(|(path, _)| path.block == path::COMMITTEE);
        let with_address = |(path, value): (&ItemPath, &Value)| match value {
            Value::Word(address) => {
                address.parse().ok().map(|address| MemberAddress { name: path.name.clone(), address })
            }
            _ => None,
        };
        members.filter_map(with_address).collect()
    }

    /// The zone of each server in service, by its name; `None` where the version does not name the servers.
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

    /// Whether this server is in service.
    pub fn is_in_service(&self, server: &str) -> bool {
        self.servers().is_none_or(|servers| servers.contains_key(server))
    }

    /// Quota of outstanding calls to the upstream dependency for this server, in equal parts of its zone's; `None`
    /// where the version has no quotas.
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

    /// The canonical text: the same for every text with this content.
    pub fn text(&self) -> String {
        let mut text = format!("rules {} {{\n", self.number);
        let mut open_block: Option<(&str, &str)> = None;
        for (path, value) in &self.items {
            let block = (path.block, path.of.as_str());
            if open_block.is_some_and(|open| open != block) {
                text.push_str("    }\n");
                open_block = None;
            }
            // An item outside any block.
            if path.name.is_empty() {
                let _ = writeln!(text, "    {} {value}", path.block);
                continue;
            }
            if open_block.is_none() {
                let of = if path.of.is_empty() { String::new() } else { format!(" {:?}", path.of) };
                let _ = writeln!(text, "    {}{of} {{", path.block);
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

    /// Digest of the canonical text.
    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.text().as_bytes()).into())
    }

    /// A version with this number and some items changed, or removed where the value is `None`. For publishers; the
    /// result is checked only when its text is parsed.
    pub fn next(
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
