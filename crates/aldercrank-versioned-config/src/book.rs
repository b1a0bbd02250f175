//! A version of the book: what stands in it, by the path of each item, and its text in one form alone.

use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest text, in bytes: a version goes from server to server in one message.
pub const LONGEST: usize = 12 * 1024;
/// The bound where the book names none.
pub const WITHIN: Duration = Duration::from_secs(2);
pub const LEAST_WITHIN: Duration = Duration::from_millis(500);
/// How long a server that hears of nobody goes on with what may run again.
pub const ALONE: Duration = Duration::from_secs(60);

/// Versions are counted by whoever writes them; a later one has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// SHA-256 of a book's text in its one form: two books with one digest say the same.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    /// As many digits as people compare.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..6].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Flag(bool),
    Word(String),
    Names(BTreeSet<String>),
    Callers(BTreeSet<u64>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let quoted = |word: &String| format!("{word:?}");
        match self {
            Value::Number(n) => write!(f, "{n}"),
            Value::Flag(flag) => write!(f, "#{flag}"),
            Value::Word(word) => write!(f, "{word:?}"),
            Value::Names(names) => f.write_str(&names.iter().map(quoted).collect::<Vec<_>>().join(" ")),
            Value::Callers(all) => f.write_str(&all.iter().map(u64::to_string).collect::<Vec<_>>().join(" ")),
        }
    }
}

/// Where an item stands: its block, what the block is about, its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path {
    pub block: &'static str,
    pub of: String,
    pub name: String,
}

impl Path {
    pub fn new(block: &'static str, of: &str, name: &str) -> Path {
        Path { block, of: of.to_string(), name: name.to_string() }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let parts = [self.block, &self.of, &self.name];
        let parts: Vec<&str> = parts.into_iter().filter(|p| !p.is_empty()).collect();
        f.write_str(&parts.join("."))
    }
}

/// The blocks, as paths name them.
pub const CLASS: &str = "product";
pub const LIMITS: &str = "limits";
pub const SERVERS: &str = "servers";
pub const SHARES: &str = "shares";
pub const AWAY: &str = "turned-away";
pub const COMMITTEE: &str = "committee";
pub const AGREE: &str = "agree-within-ms";
pub const ALONE_FOR: &str = "alone-for-ms";
/// The item among the shares that their sum may not go over.
pub const LIMIT: &str = "limit";

#[derive(Clone, Debug, PartialEq)]
pub struct VersionedConfig {
    pub number: Number,
    pub(crate) items: BTreeMap<Path, Value>,
}

impl VersionedConfig {
    pub fn items(&self) -> impl Iterator<Item = (&Path, &Value)> {
        self.items.iter()
    }

    pub fn get(&self, block: &'static str, of: &str, name: &str) -> Option<&Value> {
        self.items.get(&Path::new(block, of, name))
    }

    fn span(&self, block: &'static str) -> Option<Duration> {
        match self.get(block, "", "") {
            Some(Value::Number(ms)) => Some(Duration::from_secs_f64(ms / 1e3)),
            _ => None,
        }
    }

    /// For no longer than this are two values of a fenced item acted on.
    pub fn within(&self) -> Duration {
        self.span(AGREE).unwrap_or(WITHIN)
    }

    /// For so long a server that has lost touch goes on with what may run again.
    pub fn alone(&self) -> Duration {
        self.span(ALONE_FOR).unwrap_or(ALONE)
    }

    /// Who agrees on the next version, in the order of their names, and where they are reached.
    pub fn committee(&self) -> Vec<(String, SocketAddr)> {
        let members = self.items.iter().filter(|(path, _)| path.block == COMMITTEE);
        let place = |(path, value): (&Path, &Value)| match value {
            Value::Word(at) => at.parse().ok().map(|at| (path.name.clone(), at)),
            _ => None,
        };
        members.filter_map(place).collect()
    }

    /// Servers in service, by name, with their zones; nothing where the book does not name them.
    pub fn servers(&self) -> Option<BTreeMap<&str, &str>> {
        let zones = self.items.iter().filter(|(path, _)| path.block == SERVERS);
        let mut all = BTreeMap::new();
        for (path, value) in zones {
            if let Value::Names(names) = value {
                all.extend(names.iter().map(|name| (name.as_str(), path.name.as_str())));
            }
        }
        (!all.is_empty()).then_some(all)
    }

    /// Whether this server is in service.
    pub fn serves(&self, server: &str) -> bool {
        self.servers().is_none_or(|all| all.contains_key(server))
    }

    /// Calls in hand at the index that this server may have, where the book gives shares.
    pub fn share(&self, server: &str) -> Option<f64> {
        self.items.keys().find(|path| path.block == SHARES)?;
        let servers = self.servers().unwrap_or_default();
        let Some(zone) = servers.get(server) else { return Some(0.0) };
        let of_zone = servers.values().filter(|z| *z == zone).count();
        match self.get(SHARES, "", zone) {
            Some(Value::Number(n)) => Some(n / of_zone.max(1) as f64),
            _ => Some(0.0),
        }
    }

    /// The book in its one form: what was written differently reads the same.
    pub fn text(&self) -> String {
        let mut text = format!("rules {} {{\n", self.number);
        let mut open: Option<(&str, &str)> = None;
        for (path, value) in &self.items {
            let block = (path.block, path.of.as_str());
            if open.is_some_and(|open| open != block) {
                text.push_str("    }\n");
                open = None;
            }
            // What is an item by itself, in no block.
            if path.name.is_empty() {
                let _ = writeln!(text, "    {} {value}", path.block);
                continue;
            }
            if open.is_none() {
                let of = if path.of.is_empty() { String::new() } else { format!(" {:?}", path.of) };
                let _ = writeln!(text, "    {}{of} {{", path.block);
                open = Some(block);
            }
            let _ = writeln!(text, "        {} {value}", path.name);
        }
        if open.is_some() {
            text.push_str("    }\n");
        }
        text.push_str("}\n");
        text
    }

    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.text().as_bytes()).into())
    }

    /// The same under another number, with some items set anew: for those who write versions.
    pub fn next(
        &self,
        number: Number,
        set: impl IntoIterator<Item = (Path, Option<Value>)>,
    ) -> VersionedConfig {
        let mut items = self.items.clone();
        for (path, value) in set {
            match value {
                Some(value) => items.insert(path, value),
                None => items.remove(&path),
            };
        }
        VersionedConfig { number, items }
    }
}
