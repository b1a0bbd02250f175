//! Reads a book's text: whole or not at all, all that is wrong said at once.

use crate::book::{self, Number, Path, Value, VersionedConfig, LEAST_WITHIN, LIMIT, LONGEST};
use crate::items::{self, Item, Kind};
use aldercrank_service_config::{kind, Fault, Reader};
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The highest number of a version that every reader of numbers holds exactly.
const HIGHEST: i128 = 1 << 53;
const MOST_COMMITTEE: usize = 9;
const LONGEST_NAME: usize = 64;
const BLOCKS: [&str; 8] = [
    book::AGREE,
    book::ALONE_FOR,
    book::COMMITTEE,
    book::CLASS,
    book::LIMITS,
    book::SERVERS,
    book::SHARES,
    book::AWAY,
];

impl VersionedConfig {
    /// Reads the text. Faults come in its order, each with line and column.
    pub fn parse(text: &str) -> Result<VersionedConfig, Vec<Fault>> {
        let mut reader = Reader::new(text);
        if text.len() > LONGEST {
            let what = format!("{} bytes; a version has {LONGEST} at most", text.len());
            reader.fault(0, what);
            return Err(reader.faults());
        }
        let mut read = Read { reader: &mut reader, items: BTreeMap::new(), places: BTreeMap::new() };
        let number = read.document();
        let items = read.items;
        let faults = reader.faults();
        match number {
            Some(number) if faults.is_empty() => Ok(VersionedConfig { number, items }),
            _ if faults.is_empty() => {
                Err(vec![Fault { line: 1, column: 1, what: "no book".to_string().into() }])
            }
            _ => Err(faults),
        }
    }
}

struct Read<'r, 't> {
    reader: &'r mut Reader<'t>,
    items: BTreeMap<Path, Value>,
    /// Where each item stands, for faults that take two of them to see.
    places: BTreeMap<Path, usize>,
}

fn at(node: &KdlNode) -> usize {
    node.name().span().offset()
}

/// A name as settings and reports have it.
fn plain(name: &str) -> bool {
    let good = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(good)
}

impl Read<'_, '_> {
    fn document(&mut self) -> Option<Number> {
        let document = self.reader.document()?;
        let mut number = None;
        self.reader.nodes(&document, &["rules"], |_, _| {});
        let Some(node) = document.nodes().iter().find(|n| n.name().value() == "rules") else {
            self.reader.fault(0, "rules NUMBER { ... } is missing".to_string());
            return None;
        };
        match node.entries() {
            [entry] if entry.name().is_none() => match entry.value() {
                KdlValue::Integer(n) if (1..=HIGHEST).contains(n) => number = Some(Number(*n as u64)),
                other => {
                    let what = format!("rules takes the version's number, 1 or more, found {}", kind(other));
                    self.reader.fault(entry.span().offset(), what);
                }
            },
            _ => self.reader.fault(at(node), "rules takes the version's number alone".to_string()),
        }
        if let Some(children) = self.reader.children(node) {
            let children = children.clone();
            self.blocks(&children, at(node));
        }
        number
    }

    fn blocks(&mut self, document: &KdlDocument, place: usize) {
        let mut seen: BTreeSet<(String, String)> = BTreeSet::new();
        for node in document.nodes() {
            let name = node.name().value();
            if !BLOCKS.contains(&name) {
                self.reader.unknown(at(node), name, &BLOCKS);
                continue;
            }
            let of = if name == book::CLASS { self.class_name(node) } else { Some(String::new()) };
            let Some(of) = of else { continue };
            if !seen.insert((name.to_string(), of.clone())) {
                let what = format!("{name} {of} stands here a second time; it may stand once");
                self.reader.fault(at(node), what);
                continue;
            }
            match name {
                book::AGREE => self.span(node, book::AGREE, LEAST_WITHIN.as_millis() as i128, 60_000),
                book::ALONE_FOR => self.span(node, book::ALONE_FOR, 1000, 86_400_000),
                book::AWAY => self.away(node),
                book::CLASS => self.table(node, book::CLASS, &of, items::CLASS_SETTINGS),
                book::LIMITS => self.table(node, book::LIMITS, "", items::LIMITS),
                book::COMMITTEE => self.committee(node),
                book::SERVERS => self.servers(node),
                _ => self.shares(node),
            }
        }
        self.whole(place);
    }

    fn set(&mut self, at: usize, block: &'static str, of: &str, name: &str, value: Value) {
        let path = Path::new(block, of, name);
        if self.items.insert(path.clone(), value).is_some() {
            self.reader.fault(at, format!("{path} stands here a second time; it may stand once"));
        }
        self.places.insert(path, at);
    }

    fn span(&mut self, node: &KdlNode, block: &'static str, least: i128, most: i128) {
        if let Some(ms) = self.reader.whole(node, least, most) {
            self.set(at(node), block, "", "", Value::Number(ms as f64));
        }
    }

    fn class_name(&mut self, node: &KdlNode) -> Option<String> {
        match node.entries() {
            [entry] if entry.name().is_none() => match entry.value() {
                KdlValue::String(name) if plain(name) => return Some(name.clone()),
                other => {
                    let what = format!("product takes a product's name, found {}", kind(other));
                    self.reader.fault(entry.span().offset(), what);
                }
            },
            _ => self.reader.fault(at(node), "product takes one name, product \"NAME\" { ... }".to_string()),
        }
        None
    }

    /// A block whose items stand in a table.
    fn table(&mut self, node: &KdlNode, block: &'static str, of: &str, known: &[Item]) {
        if of.is_empty() {
            self.reader.no_values(node);
        }
        let Some(children) = self.reader.children(node) else { return };
        let names: Vec<&str> = known.iter().map(|item| item.name).collect();
        for child in children.nodes() {
            let name = child.name().value();
            let Some(item) = known.iter().find(|item| item.name == name) else {
                self.reader.unknown(at(child), name, &names);
                continue;
            };
            if let Some(value) = self.value(child, item.kind) {
                self.set(at(child), block, of, name, value);
            }
        }
    }

    fn value(&mut self, node: &KdlNode, wanted: Kind) -> Option<Value> {
        match wanted {
            Kind::Flag => self.reader.flag(node).map(Value::Flag),
            Kind::Number(least, most) | Kind::Span(least, most) => {
                let expected = format!("{} takes one number from {least} to {most}", node.name().value());
                let entry = self.one(node, &expected)?;
                let number = match entry.value() {
                    KdlValue::Integer(n) => Some(*n as f64),
                    KdlValue::Float(n) => Some(*n),
                    _ => None,
                };
                let fits = number.filter(|n| (least..=most).contains(n));
                if fits.is_none() {
                    let what = format!("{expected}, found {}", kind(entry.value()));
                    self.reader.fault(entry.span().offset(), what);
                }
                fits.map(Value::Number)
            }
            Kind::Word(words) => {
                let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
                let text = self.reader.text(node, "a word")?;
                if !names.contains(&text.as_str()) {
                    self.reader.unknown(at(node), &text, &names);
                    return None;
                }
                Some(Value::Word(text))
            }
        }
    }

    fn one<'n>(&mut self, node: &'n KdlNode, expected: &str) -> Option<&'n KdlEntry> {
        match node.entries() {
            [entry] if entry.name().is_none() && node.children().is_none() => Some(entry),
            _ => {
                self.reader.fault(at(node), expected.to_string());
                None
            }
        }
    }

    fn committee(&mut self, node: &KdlNode) {
        self.reader.no_values(node);
        let Some(children) = self.reader.children(node) else { return };
        for child in children.nodes() {
            let name = child.name().value();
            let Some(place) = self.reader.text(child, "an address with a port") else { continue };
            if !plain(name) {
                self.reader.fault(at(child), format!("{name:?} is no plain name of a server"));
            } else if place.parse::<SocketAddr>().is_err() {
                self.reader.fault(at(child), format!("{place:?} is no address with a port"));
            } else {
                self.set(at(child), book::COMMITTEE, "", name, Value::Word(place));
            }
        }
        let members = self.items.keys().filter(|path| path.block == book::COMMITTEE).count();
        if members > MOST_COMMITTEE {
            let what = format!("{members} members; {MOST_COMMITTEE} at most, 3 or 5 do");
            self.reader.fault(at(node), what);
        }
    }

    /// The names in a list, each once in all zones.
    fn servers(&mut self, node: &KdlNode) {
        self.reader.no_values(node);
        let Some(children) = self.reader.children(node) else { return };
        let mut all = BTreeSet::new();
        for child in children.nodes() {
            let mut names = BTreeSet::new();
            for entry in child.entries() {
                let place = entry.span().offset();
                match entry.value() {
                    KdlValue::String(name) if plain(name) && entry.name().is_none() => {
                        if !all.insert(name.clone()) {
                            let what = format!("{name} stands in the list twice; a server is in one zone");
                            self.reader.fault(place, what);
                        }
                        names.insert(name.clone());
                    }
                    other => {
                        self.reader.fault(place, format!("a server's name, found {}", kind(other)));
                    }
                }
            }
            if !plain(child.name().value()) || names.is_empty() {
                let what = "a zone's name, and the names of its servers behind it";
                self.reader.fault(at(child), what.to_string());
            }
            self.set(at(child), book::SERVERS, "", child.name().value(), Value::Names(names));
        }
    }

    fn shares(&mut self, node: &KdlNode) {
        self.reader.no_values(node);
        let Some(children) = self.reader.children(node) else { return };
        for child in children.nodes() {
            if let Some(value) = self.value(child, Kind::Number(0.0, 1e9)) {
                self.set(at(child), book::SHARES, "", child.name().value(), value);
            }
        }
    }

    fn away(&mut self, node: &KdlNode) {
        let mut callers = BTreeSet::new();
        for entry in node.entries() {
            match entry.value() {
                KdlValue::Integer(n) if (0..=HIGHEST).contains(n) && entry.name().is_none() => {
                    callers.insert(*n as u64);
                }
                other => {
                    let what = format!("turned-away takes callers' numbers, found {}", kind(other));
                    self.reader.fault(entry.span().offset(), what);
                }
            }
        }
        self.set(at(node), book::AWAY, "", "", Value::Callers(callers));
    }

    /// What takes more than one item to see.
    fn whole(&mut self, place: usize) {
        if !self.items.keys().any(|path| path.block == book::COMMITTEE) {
            let what =
                "committee { NAME \"ADDRESS:PORT\" ... } is missing: who is to agree on the next version";
            self.reader.fault(place, what.to_string());
        }
        self.spans_of_classes();
        self.sum_of_shares();
    }

    fn number(&self, path: &Path) -> Option<f64> {
        match self.items.get(path) {
            Some(Value::Number(n)) => Some(*n),
            _ => None,
        }
    }

    fn spans_of_classes(&mut self) {
        let classes: BTreeSet<String> =
            self.items.keys().filter(|p| p.block == book::CLASS).map(|p| p.of.clone()).collect();
        for of in classes {
            let path = |name: &str| Path::new(book::CLASS, &of, name);
            let (latency_target, timeout) = (self.number(&path("sla-ms")), self.number(&path("give-up-ms")));
            if let Some((latency_target, timeout)) =
                latency_target.zip(timeout).filter(|(latency_target, timeout)| timeout < latency_target)
            {
                let what =
                    format!("{of}: given up after {timeout} ms, before its SLA time of {latency_target} ms");
                self.reader.fault(self.places[&path("give-up-ms")], what);
            }
        }
    }

    fn sum_of_shares(&mut self) {
        let shares: Vec<(Path, f64)> = self
            .items
            .iter()
            .filter(|(path, _)| path.block == book::SHARES && path.name != LIMIT)
            .filter_map(|(path, _)| Some((path.clone(), self.number(path)?)))
            .collect();
        let limit = self.number(&Path::new(book::SHARES, "", LIMIT));
        let Some(first) = shares.first().map(|(path, _)| self.places[path]) else { return };
        let sum: f64 = shares.iter().map(|(_, n)| n).sum();
        match limit {
            Some(limit) if sum > limit => {
                self.reader.fault(first, format!("the shares come to {sum}, over their limit of {limit}"));
            }
            Some(_) => {}
            None => self.reader.fault(first, "shares need a limit that their sum stays within".to_string()),
        }
        for (path, _) in shares {
            let zone = Path::new(book::SERVERS, "", &path.name);
            if !self.items.contains_key(&zone) {
                let what = format!("{} is no zone of `servers`, which shares go by", path.name);
                self.reader.fault(self.places[&path], what);
            }
        }
    }
}
