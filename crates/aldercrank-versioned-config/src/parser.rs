//! Parses the text of a version: either the whole text is valid, or all its faults are reported.

use crate::items::{self, Item, ValueKind};
use crate::parse_fault::ParseFault;
use crate::path::{self, ItemPath};
use crate::value::Value;
use crate::version::VersionNumber;
use crate::versioned_config::VersionedConfig;
use aldercrank_service_config::{describe_value, Fault, Reader};
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum length of the text: servers send a version to one another in a single message.
const MAX_TEXT_BYTES: usize = 12 * 1024;
/// The highest version or caller number. JSON readers that store numbers as 64-bit floats keep every integer up to it
/// exact.
pub(crate) const MAX_NUMBER: i128 = 1 << 53;
const MAX_COMMITTEE_MEMBERS: usize = 9;
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// The characters that [`is_valid_name`] accepts, for faults.
pub(crate) const NAME_CHARACTERS: &str = "ASCII letters, digits, '-', '_' or '.'";
/// Allowed values of the agreement bound.
const AGREEMENT_BOUND_MILLISECONDS: RangeInclusive<i128> = 500..=60_000;
/// Allowed values of the isolation limit.
const ISOLATION_LIMIT_MILLISECONDS: RangeInclusive<i128> = 1000..=86_400_000;
const MAX_QUOTA: f64 = 1e9;
/// Names of all blocks, and of the items outside any block.
const BLOCKS: [&str; 8] = [
    path::AGREEMENT_BOUND,
    path::ISOLATION_LIMIT,
    path::COMMITTEE,
    path::CLASS,
    path::LIMITS,
    path::SERVERS,
    path::QUOTAS,
    path::REJECTED_CALLERS,
];

impl VersionedConfig {
    /// Parses the text of a version.
    ///
    /// # Errors
    /// All faults, in the order of the text, each with its line and column.
    pub fn parse(text: &str) -> Result<VersionedConfig, Vec<Fault>> {
        let mut reader = Reader::new(text);
        if text.len() > MAX_TEXT_BYTES {
            let fault = ParseFault::TooLong { bytes: text.len(), limit: MAX_TEXT_BYTES };
            reader.record_fault(0, fault.to_string());
            return Err(reader.into_faults());
        }
        let mut parser = Parser { reader: &mut reader, items: BTreeMap::new(), offsets: BTreeMap::new() };
        let number = parser.document();
        let items = parser.items;
        let faults = reader.into_faults();
        match number {
            Some(number) if faults.is_empty() => Ok(VersionedConfig { number, items }),
            _ if faults.is_empty() => {
                Err(vec![Fault { line: 1, column: 1, kind: ParseFault::NoVersion.to_string().into() }])
            }
            _ => Err(faults),
        }
    }
}

struct Parser<'r, 't> {
    reader: &'r mut Reader<'t>,
    items: BTreeMap<ItemPath, Value>,
    /// Byte offset of each item, for faults that concern several items.
    offsets: BTreeMap<ItemPath, usize>,
}

fn offset_of(node: &KdlNode) -> usize {
    node.name().span().offset()
}

/// Whether a name has an allowed length and only characters that settings and reports allow.
fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

impl Parser<'_, '_> {
    fn report(&mut self, offset: usize, fault: &ParseFault) {
        self.reader.record_fault(offset, fault.to_string());
    }

    fn document(&mut self) -> Option<VersionNumber> {
        let document = self.reader.parse_document()?;
        self.reader.nodes(&document, &["rules"], |_, _| {});
        let Some(node) = document.nodes().iter().find(|node| node.name().value() == "rules") else {
            self.report(0, &ParseFault::RulesMissing);
            return None;
        };
        let number = self.version_number(node);
        if let Some(children) = self.reader.children(node) {
            let children = children.clone();
            self.blocks(&children, offset_of(node));
        }
        number
    }

    fn version_number(&mut self, node: &KdlNode) -> Option<VersionNumber> {
        match node.entries() {
            [entry] if entry.name().is_none() => match entry.value() {
                KdlValue::Integer(number) if (1..=MAX_NUMBER).contains(number) => {
                    return Some(VersionNumber(*number as u64));
                }
                other => {
                    let found = describe_value(other);
                    self.report(entry.span().offset(), &ParseFault::InvalidVersionNumber { found });
                }
            },
            _ => self.report(offset_of(node), &ParseFault::VersionNumberExpected),
        }
        None
    }

    fn blocks(&mut self, document: &KdlDocument, rules_offset: usize) {
        let mut seen: BTreeSet<(String, String)> = BTreeSet::new();
        for node in document.nodes() {
            let name = node.name().value();
            if !BLOCKS.contains(&name) {
                self.reader.record_unknown_name(offset_of(node), name, &BLOCKS);
                continue;
            }
            let class = if name == path::CLASS { self.class_name(node) } else { Some(String::new()) };
            let Some(class) = class else { continue };
            if !seen.insert((name.to_string(), class.clone())) {
                let block = if class.is_empty() { name.to_string() } else { format!("{name} {class}") };
                self.report(offset_of(node), &ParseFault::RepeatedBlock { block });
                continue;
            }
            match name {
                path::AGREEMENT_BOUND => {
                    self.time_span(node, path::AGREEMENT_BOUND, &AGREEMENT_BOUND_MILLISECONDS);
                }
                path::ISOLATION_LIMIT => {
                    self.time_span(node, path::ISOLATION_LIMIT, &ISOLATION_LIMIT_MILLISECONDS);
                }
                path::REJECTED_CALLERS => self.rejected_callers(node),
                path::CLASS => self.table(node, path::CLASS, &class, items::CLASS_SETTINGS),
                path::LIMITS => self.table(node, path::LIMITS, "", items::LIMITS),
                path::COMMITTEE => self.committee(node),
                path::SERVERS => self.servers(node),
                _ => self.quotas(node),
            }
        }
        self.check_relations(rules_offset);
    }

    fn insert(&mut self, offset: usize, path: ItemPath, value: Value) {
        if self.items.insert(path.clone(), value).is_some() {
            self.report(offset, &ParseFault::RepeatedItem { path: path.clone() });
        }
        self.offsets.insert(path, offset);
    }

    fn time_span(&mut self, node: &KdlNode, block: &'static str, limits: &RangeInclusive<i128>) {
        if let Some(milliseconds) = self.reader.integer(node, *limits.start(), *limits.end()) {
            self.insert(offset_of(node), ItemPath::new(block, "", ""), Value::Number(milliseconds as f64));
        }
    }

    fn class_name(&mut self, node: &KdlNode) -> Option<String> {
        match node.entries() {
            [entry] if entry.name().is_none() => match entry.value() {
                KdlValue::String(name) if is_valid_name(name) => return Some(name.clone()),
                other => {
                    let found = describe_value(other);
                    self.report(entry.span().offset(), &ParseFault::InvalidClassName { found });
                }
            },
            _ => self.report(offset_of(node), &ParseFault::ClassNameExpected),
        }
        None
    }

    /// Parses a block whose items are declared in a table.
    fn table(&mut self, node: &KdlNode, block: &'static str, class: &str, table: &[Item]) {
        if class.is_empty() {
            self.reader.reject_values(node);
        }
        let Some(children) = self.reader.children(node) else { return };
        let names: Vec<&str> = table.iter().map(|item| item.name).collect();
        for child in children.nodes() {
            let name = child.name().value();
            let Some(item) = table.iter().find(|item| item.name == name) else {
                self.reader.record_unknown_name(offset_of(child), name, &names);
                continue;
            };
            if let Some(value) = self.value(child, item.kind) {
                self.insert(offset_of(child), ItemPath::new(block, class, name), value);
            }
        }
    }

    fn value(&mut self, node: &KdlNode, kind: ValueKind) -> Option<Value> {
        match kind {
            ValueKind::Flag => self.reader.boolean(node).map(Value::Flag),
            ValueKind::Number { min, max } | ValueKind::TimeSpan { min, max } => {
                self.number_in_range(node, min, max).map(Value::Number)
            }
            ValueKind::OneOf(choices) => {
                let names: Vec<&str> = choices.iter().map(|choice| choice.name).collect();
                let text = self.reader.string(node, &format!("one of {}", names.join(", ")))?;
                if !names.contains(&text.as_str()) {
                    self.reader.record_unknown_name(offset_of(node), &text, &names);
                    return None;
                }
                Some(Value::Text(text))
            }
        }
    }

    fn number_in_range(&mut self, node: &KdlNode, min: f64, max: f64) -> Option<f64> {
        let item = node.name().value().to_string();
        let Some(entry) = single_entry(node) else {
            self.report(offset_of(node), &ParseFault::NumberInRangeExpected { item, min, max });
            return None;
        };
        let number = match entry.value() {
            KdlValue::Integer(number) => Some(*number as f64),
            KdlValue::Float(number) => Some(*number),
            _ => None,
        };
        let in_range = number.filter(|number| (min..=max).contains(number));
        if in_range.is_none() {
            let found = describe_value(entry.value());
            self.report(entry.span().offset(), &ParseFault::NumberOutOfRange { item, min, max, found });
        }
        in_range
    }

    fn committee(&mut self, node: &KdlNode) {
        self.reader.reject_values(node);
        let Some(children) = self.reader.children(node) else { return };
        for child in children.nodes() {
            let name = child.name().value();
            let Some(address) = self.reader.string(child, "an IP address with a port") else { continue };
            if !is_valid_name(name) {
                self.report(offset_of(child), &ParseFault::InvalidMemberName { name: name.to_string() });
            } else if address.parse::<SocketAddr>().is_err() {
                self.report(offset_of(child), &ParseFault::InvalidAddress { address });
            } else {
                self.insert(offset_of(child), ItemPath::new(path::COMMITTEE, "", name), Value::Text(address));
            }
        }
        let members = self.items.keys().filter(|path| path.block == path::COMMITTEE).count();
        if members > MAX_COMMITTEE_MEMBERS {
            let fault = ParseFault::CommitteeTooLarge { members, limit: MAX_COMMITTEE_MEMBERS };
            self.report(offset_of(node), &fault);
        }
    }

    /// Parses the zones with their servers. A server may be in one zone only.
    fn servers(&mut self, node: &KdlNode) {
        self.reader.reject_values(node);
        let Some(children) = self.reader.children(node) else { return };
        let mut all_names = BTreeSet::new();
        for child in children.nodes() {
            let zone = child.name().value();
            let names = self.server_names(child, &mut all_names);
            if !is_valid_name(zone) || names.is_empty() {
                self.report(offset_of(child), &ParseFault::ZoneExpected);
            }
            self.insert(offset_of(child), ItemPath::new(path::SERVERS, "", zone), Value::Names(names));
        }
    }

    fn server_names(&mut self, zone: &KdlNode, all_names: &mut BTreeSet<String>) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for entry in zone.entries() {
            let offset = entry.span().offset();
            match entry.value() {
                KdlValue::String(name) if is_valid_name(name) && entry.name().is_none() => {
                    if !all_names.insert(name.clone()) {
                        self.report(offset, &ParseFault::RepeatedServer { name: name.clone() });
                    }
                    names.insert(name.clone());
                }
                other => {
                    let found = describe_value(other);
                    self.report(offset, &ParseFault::ServerNameExpected { found });
                }
            }
        }
        names
    }

    fn quotas(&mut self, node: &KdlNode) {
        self.reader.reject_values(node);
        let Some(children) = self.reader.children(node) else { return };
        for child in children.nodes() {
            if let Some(quota) = self.number_in_range(child, 0.0, MAX_QUOTA) {
                let path = ItemPath::new(path::QUOTAS, "", child.name().value());
                self.insert(offset_of(child), path, Value::Number(quota));
            }
        }
    }

    fn rejected_callers(&mut self, node: &KdlNode) {
        let mut callers = BTreeSet::new();
        for entry in node.entries() {
            match entry.value() {
                KdlValue::Integer(number) if (0..=MAX_NUMBER).contains(number) && entry.name().is_none() => {
                    callers.insert(*number as u64);
                }
                other => {
                    let found = describe_value(other);
                    self.report(entry.span().offset(), &ParseFault::CallerNumberExpected { found });
                }
            }
        }
        self.insert(offset_of(node), ItemPath::new(path::REJECTED_CALLERS, "", ""), Value::Callers(callers));
    }

    /// Reports faults that concern several items.
    fn check_relations(&mut self, rules_offset: usize) {
        if !self.items.keys().any(|path| path.block == path::COMMITTEE) {
            self.report(rules_offset, &ParseFault::CommitteeMissing);
        }
        self.check_timeouts();
        self.check_quotas();
    }

    fn number(&self, path: &ItemPath) -> Option<f64> {
        match self.items.get(path) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Reports request classes whose timeout is shorter than their latency target.
    fn check_timeouts(&mut self) {
        let classes = self.items.keys().filter(|path| path.block == path::CLASS);
        let classes: BTreeSet<String> = classes.map(|path| path.class.clone()).collect();
        for class in classes {
            let timeout_path = ItemPath::new(path::CLASS, &class, "give-up-ms");
            let latency_target = self.number(&ItemPath::new(path::CLASS, &class, "sla-ms"));
            let timeout = self.number(&timeout_path);
            if let Some((latency_target, timeout)) =
                latency_target.zip(timeout).filter(|(latency_target, timeout)| timeout < latency_target)
            {
                let offset = self.offsets[&timeout_path];
                let fault = ParseFault::TimeoutBeforeLatencyTarget { class, timeout, latency_target };
                self.report(offset, &fault);
            }
        }
    }

    /// Reports quotas without a limit on their sum, a sum above the limit, and quotas of zones that list no servers.
    fn check_quotas(&mut self) {
        let quotas: Vec<(ItemPath, f64)> = self
            .items
            .iter()
            .filter(|(path, _)| path.block == path::QUOTAS && path.name != path::QUOTA_LIMIT)
            .filter_map(|(path, _)| Some((path.clone(), self.number(path)?)))
            .collect();
        let limit = self.number(&ItemPath::new(path::QUOTAS, "", path::QUOTA_LIMIT));
        let Some(first_offset) = quotas.first().map(|(path, _)| self.offsets[path]) else { return };
        let sum: f64 = quotas.iter().map(|(_, quota)| quota).sum();
        match limit {
            Some(limit) if sum > limit => {
                self.report(first_offset, &ParseFault::QuotasOverLimit { sum, limit });
            }
            Some(_) => {}
            None => self.report(first_offset, &ParseFault::QuotaLimitMissing),
        }
        for (path, _) in quotas {
            let servers = ItemPath::new(path::SERVERS, "", &path.name);
            if !self.items.contains_key(&servers) {
                let offset = self.offsets[&path];
                self.report(offset, &ParseFault::UnknownZone { zone: path.name });
            }
        }
    }
}

/// The only entry of a node; `None` if it has several, a named one or a block.
fn single_entry(node: &KdlNode) -> Option<&KdlEntry> {
    match node.entries() {
        [entry] if entry.name().is_none() && node.children().is_none() => Some(entry),
        _ => None,
    }
}
