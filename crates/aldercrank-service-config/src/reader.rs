//! Reads KDL nodes and gathers what is wrong with them, each fault at its place.

use kdl::{KdlDocument, KdlNode, KdlValue};
use std::fmt;

/// Names further from what is known than this share of their length are not guessed at.
const NEAR: f64 = 0.6;

/// What is wrong, and where: lines and columns count from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

pub struct Reader<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, faults: Vec::new() }
    }

    /// In the order of the text.
    pub fn faults(mut self) -> Vec<Fault> {
        self.faults.sort();
        self.faults.dedup();
        self.faults
    }

    /// Something is wrong at this offset of the text.
    pub fn fault(&mut self, offset: usize, what: String) {
        let bytes = self.text.as_bytes();
        let before = String::from_utf8_lossy(&bytes[..offset.min(bytes.len())]);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.faults.push(Fault { line, column, what });
    }

    /// Nothing where the text is no KDL: all places where it is not are faults.
    pub fn document(&mut self) -> Option<KdlDocument> {
        match KdlDocument::parse_v2(self.text) {
            Ok(document) => Some(document),
            Err(error) => {
                for found in &error.diagnostics {
                    let what = found.message.clone().or(found.label.clone());
                    let what = what.unwrap_or_else(|| "not KDL".to_string());
                    let help = found.help.as_ref().map(|help| format!(" ({help})")).unwrap_or_default();
                    self.fault(found.span.offset(), format!("{what}{help}"));
                }
                if self.faults.is_empty() {
                    self.fault(0, "not KDL".to_string());
                }
                None
            }
        }
    }

    /// Hands over each node that is known, once; the others are faults.
    pub fn nodes(&mut self, of: &KdlDocument, known: &[&str], mut each: impl FnMut(&mut Self, &KdlNode)) {
        let mut seen: Vec<&str> = Vec::new();
        for node in of.nodes() {
            let name = node.name().value();
            let at = node.name().span().offset();
            if !known.contains(&name) {
                self.unknown(at, name, known);
            } else if seen.contains(&name) {
                self.fault(at, format!("{name} stands here a second time; it may stand once"));
            } else {
                seen.push(name);
                each(self, node);
            }
        }
    }

    /// A name that stands here and is not known, with the one that was meant where that can be guessed.
    pub fn unknown(&mut self, offset: usize, name: &str, known: &[&str]) {
        let near = known.iter().map(|k| (strsim::normalized_damerau_levenshtein(name, k), k));
        let nearest = near.filter(|(near, _)| *near >= NEAR).max_by(|a, b| a.0.total_cmp(&b.0));
        let hint = match nearest {
            Some((_, nearest)) => format!("did you mean {nearest}?"),
            None => format!("known here: {}", known.join(", ")),
        };
        self.fault(offset, format!("{name} is not known; {hint}"));
    }

    pub fn no_values(&mut self, node: &KdlNode) {
        for entry in node.entries() {
            let what = format!("{} takes no value, but a block of settings", node.name().value());
            self.fault(entry.span().offset(), what);
        }
    }

    pub fn children<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlDocument> {
        let children = node.children();
        if children.is_none() {
            let what = format!("{} needs a block of settings in braces", node.name().value());
            self.fault(node.name().span().offset(), what);
        }
        children
    }

    /// The one value of a node, without a name and without a block; where it is not so, `expected` is said.
    fn one<'n>(&mut self, node: &'n KdlNode, expected: &str) -> Option<(&'n KdlValue, usize)> {
        if let Some(children) = node.children() {
            self.fault(children.span().offset(), format!("{expected}, and no block"));
        }
        let [entry] = node.entries() else {
            let at = node.entries().get(1).map_or(node.name().span(), |second| second.span());
            self.fault(at.offset(), format!("{expected}, found {}", node.entries().len()));
            return None;
        };
        let at = entry.span().offset();
        if let Some(named) = entry.name() {
            self.fault(at, format!("{expected}, found one named {}", named.value()));
            return None;
        }
        Some((entry.value(), at))
    }

    /// The one value of a node: a whole number from `least` to `most`.
    pub fn whole(&mut self, node: &KdlNode, least: i128, most: i128) -> Option<i128> {
        let expected = format!("{} takes one whole number from {least} to {most}", node.name().value());
        match self.one(node, &expected)? {
            (KdlValue::Integer(n), _) if (least..=most).contains(n) => Some(*n),
            (other, at) => {
                self.fault(at, format!("{expected}, found {}", kind(other)));
                None
            }
        }
    }

    /// The one value of a node: `#true` or `#false`.
    pub fn flag(&mut self, node: &KdlNode) -> Option<bool> {
        let expected = format!("{} takes #true or #false", node.name().value());
        match self.one(node, &expected)? {
            (KdlValue::Bool(flag), _) => Some(*flag),
            (other, at) => {
                self.fault(at, format!("{expected}, found {}", kind(other)));
                None
            }
        }
    }

    /// The one value of a node: a text.
    pub fn text(&mut self, node: &KdlNode, what: &str) -> Option<String> {
        let expected = format!("{} takes {what}", node.name().value());
        match self.one(node, &expected)? {
            (KdlValue::String(text), _) => Some(text.clone()),
            (other, at) => {
                self.fault(at, format!("{expected}, found {}", kind(other)));
                None
            }
        }
    }
}

/// A value as a fault names it.
pub fn kind(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => format!("the text \"{}\"", text.chars().take(40).collect::<String>()),
        KdlValue::Integer(n) => n.to_string(),
        KdlValue::Float(n) => n.to_string(),
        KdlValue::Bool(b) => format!("#{b}"),
        KdlValue::Null => "#null".to_string(),
    }
}
