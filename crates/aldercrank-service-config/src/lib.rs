//! The service file: the program's own settings, apart from the platform's, as a KDL document. It is read whole
//! or not at all, and all that is wrong with it is said at once, by line and column. What is not in the file is
//! off. No I/O.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

mod reader;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kdl::{KdlDocument, KdlNode};
pub use reader::{kind, Fault, Reader};

/// What the file says. Each part is off, or as it always was, where it is not named.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub results: Results,
    pub reports: Reports,
    pub log: Log,
    pub rules: Option<Rules>,
    pub start: Start,
}

/// How a server starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Start {
    /// How far a start has come is followed by what comes back, logged, and said in reports.
    pub tell_share: bool,
}

/// The rule book on which servers agree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// The file of the version that the fleet starts from.
    pub book: String,
    /// Where a server keeps what it must not forget over a restart.
    pub dir: Option<String>,
    /// Whether versions to come are read off the list service.
    pub read_list: bool,
    /// Where members of the committee are reached from here, if not where the book says.
    pub reach: BTreeMap<String, SocketAddr>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// A JSON document a line, in place of text.
    pub json: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// The longest between reports that come to nothing, in ms; nothing is well under an entry's lapse.
    pub longest_ms: Option<u32>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// The longest result that a run may have, in KB; nothing is the server's own bound.
    pub longest_kb: Option<u32>,
}

/// A result is held in memory at least once, so it is bounded by what one connection may take of it.
const LONGEST_KB: i128 = 64 * 1024;
/// From the least that spares anybody to a minute, after which nobody would know where a server is.
const LEAST_MS: i128 = 250;
const LONGEST_MS: i128 = 60_000;

/// Reads the file's text.
pub fn parse(text: &str) -> Result<Service, Vec<Fault>> {
    let mut reader = Reader::new(text);
    let mut service = Service::default();
    let Some(document) = reader.document() else { return Err(reader.faults()) };
    reader.nodes(&document, &["results", "reports", "log", "rules", "start"], |reader, node| {
        reader.no_values(node);
        let Some(children) = reader.children(node) else { return };
        match node.name().value() {
            "reports" => reader.nodes(children, &["longest-ms"], |reader, node| {
                let longest = reader.whole(node, LEAST_MS, LONGEST_MS);
                service.reports.longest_ms = longest.and_then(|ms| u32::try_from(ms).ok());
            }),
            "rules" => service.rules = rules(reader, node, children),
            "start" => service.start = start(reader, children),
            "log" => reader.nodes(children, &["json"], |reader, node| {
                service.log.json = reader.flag(node).unwrap_or_default();
            }),
            _ => reader.nodes(children, &["longest-kb"], |reader, node| {
                let longest = reader.whole(node, 1, LONGEST_KB);
                service.results.longest_kb = longest.and_then(|kb| u32::try_from(kb).ok());
            }),
        }
    });
    let faults = reader.faults();
    if faults.is_empty() {
        Ok(service)
    } else {
        Err(faults)
    }
}

fn start(reader: &mut Reader, children: &KdlDocument) -> Start {
    let mut start = Start::default();
    reader.nodes(children, &["tell-share"], |reader, child| {
        start.tell_share = reader.flag(child).unwrap_or_default();
    });
    start
}

fn rules(reader: &mut Reader, node: &KdlNode, children: &KdlDocument) -> Option<Rules> {
    let mut rules = Rules::default();
    reader.nodes(children, &["book", "dir", "read-list", "reach"], |reader, child| {
        match child.name().value() {
            "book" => rules.book = reader.text(child, "the name of a file").unwrap_or_default(),
            "dir" => rules.dir = reader.text(child, "the name of a directory"),
            "read-list" => rules.read_list = reader.flag(child).unwrap_or_default(),
            _ => {
                reader.no_values(child);
                for member in reader.children(child).into_iter().flat_map(KdlDocument::nodes) {
                    let Some(place) = reader.text(member, "an address with a port") else { continue };
                    match place.parse() {
                        Ok(at) => drop(rules.reach.insert(member.name().value().to_string(), at)),
                        Err(_) => {
                            let at = member.name().span().offset();
                            reader.fault(at, format!("{place:?} is no address with a port"));
                        }
                    }
                }
            }
        }
    });
    if rules.book.is_empty() {
        let what = "rules needs book \"FILE\", the version that the fleet starts from";
        reader.fault(node.name().span().offset(), what.to_string());
    }
    Some(rules)
}
