//! Reads the nodes of a KDL document and collects all faults with their positions.

use crate::fault::{Fault, FaultKind};
use kdl::{KdlDocument, KdlNode, KdlValue};

/// The lowest similarity, from 0 to 1, at which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// Reads one KDL document. Its methods return what can be read, and record a fault for what can't.
pub struct Reader<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

/// A value and its byte offset in the text.
struct LocatedValue<'a> {
    value: &'a KdlValue,
    offset: usize,
}

fn name_of(node: &KdlNode) -> String {
    node.name().value().to_string()
}

impl<'a> Reader<'a> {
    /// Creates a reader of `text`.
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, faults: Vec::new() }
    }

    /// Returns the recorded faults in the order of the text, without duplicates.
    pub fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort();
        self.faults.dedup();
        self.faults
    }

    /// Records a fault at a byte offset of the text.
    pub fn record_fault(&mut self, offset: usize, what: impl Into<FaultKind>) {
        let bytes = self.text.as_bytes();
        let before = String::from_utf8_lossy(&bytes[..offset.min(bytes.len())]);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.faults.push(Fault { line, column, kind: what.into() });
    }

    /// Parses the text. If it is not valid KDL, records a fault for each diagnostic of the parser and returns `None`.
    pub fn parse_document(&mut self) -> Option<KdlDocument> {
        let error = match KdlDocument::parse_v2(self.text) {
            Ok(document) => return Some(document),
            Err(error) => error,
        };
        let invalid = || "invalid KDL".to_string();
        for diagnostic in &error.diagnostics {
            let message = diagnostic.message.clone().or(diagnostic.label.clone()).unwrap_or_else(invalid);
            let help = diagnostic.help.as_ref().map(ToString::to_string);
            self.record_fault(diagnostic.span.offset(), FaultKind::InvalidKdl { message, help });
        }
        if self.faults.is_empty() {
            self.record_fault(0, FaultKind::InvalidKdl { message: invalid(), help: None });
        }
        None
    }

    /// Calls `each` with the first node of each known name, and records a fault for each repeated or unknown one.
    pub fn nodes(&mut self, of: &KdlDocument, known: &[&str], mut each: impl FnMut(&mut Self, &KdlNode)) {
        let mut seen: Vec<&str> = Vec::new();
        for node in of.nodes() {
            let name = node.name().value();
            let offset = node.name().span().offset();
            if !known.contains(&name) {
                self.record_unknown_name(offset, name, known);
            } else if seen.contains(&name) {
                self.record_fault(offset, FaultKind::Duplicate { name: name.to_string() });
            } else {
                seen.push(name);
                each(self, node);
            }
        }
    }

    /// Records a fault for an unknown name. It suggests the most similar known name, or lists all if none is similar.
    pub fn record_unknown_name(&mut self, offset: usize, name: &str, known: &[&str]) {
        let similarities = known.iter().map(|k| (strsim::normalized_damerau_levenshtein(name, k), k));
        let nearest = similarities
            .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let fault = FaultKind::UnknownName {
            name: name.to_string(),
            suggestion: nearest.map(|(_, suggestion)| suggestion.to_string()),
            known: known.iter().map(ToString::to_string).collect(),
        };
        self.record_fault(offset, fault);
    }

    /// Records a fault for each value of the node.
    pub fn reject_values(&mut self, node: &KdlNode) {
        for entry in node.entries() {
            self.record_fault(entry.span().offset(), FaultKind::UnexpectedValue { name: name_of(node) });
        }
    }

    /// Returns the node's block, or records a fault if it has none.
    pub fn children<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlDocument> {
        let children = node.children();
        if children.is_none() {
            self.record_fault(node.name().span().offset(), FaultKind::MissingBlock { name: name_of(node) });
        }
        children
    }

    /// Returns the node's value, or records a fault if there isn't exactly one or if it is a property. A block is a
    /// fault as well.
    fn single_value<'n>(&mut self, node: &'n KdlNode, expected: &str) -> Option<LocatedValue<'n>> {
        let expected = expected.to_string();
        if let Some(children) = node.children() {
            let fault = FaultKind::UnexpectedBlock { expected: expected.clone() };
            self.record_fault(children.span().offset(), fault);
        }
        let [entry] = node.entries() else {
            let span = node.entries().get(1).map_or(node.name().span(), |second| second.span());
            self.record_fault(
                span.offset(),
                FaultKind::WrongValueCount { expected, found: node.entries().len() },
            );
            return None;
        };
        let offset = entry.span().offset();
        if let Some(name) = entry.name() {
            self.record_fault(
                offset,
                FaultKind::UnexpectedProperty { expected, name: name.value().to_string() },
            );
            return None;
        }
        Some(LocatedValue { value: entry.value(), offset })
    }

    /// Returns the node's value as `convert` returns it, or records a fault if that is `None`.
    fn converted<T>(
        &mut self,
        node: &KdlNode,
        expected: String,
        convert: impl FnOnce(&KdlValue) -> Option<T>,
    ) -> Option<T> {
        let LocatedValue { value, offset } = self.single_value(node, &expected)?;
        let converted = convert(value);
        if converted.is_none() {
            self.record_fault(offset, FaultKind::WrongValue { expected, found: describe_value(value) });
        }
        converted
    }

    /// Returns the node's value, which must be a whole number from `min` to `max`.
    pub fn integer(&mut self, node: &KdlNode, min: i128, max: i128) -> Option<i128> {
        let expected = format!("{} takes one whole number from {min} to {max}", node.name().value());
        self.converted(node, expected, |value| value.as_integer().filter(|n| (min..=max).contains(n)))
    }

    /// Returns the node's value, which must be `#true` or `#false`.
    pub fn boolean(&mut self, node: &KdlNode) -> Option<bool> {
        let expected = format!("{} takes #true or #false", node.name().value());
        self.converted(node, expected, KdlValue::as_bool)
    }

    /// Returns the node's value, which must be a string. `what` describes the expected value in a fault.
    pub fn string(&mut self, node: &KdlNode, what: &str) -> Option<String> {
        let expected = format!("{} takes {what}", node.name().value());
        self.converted(node, expected, |value| value.as_string().map(str::to_string))
    }
}

/// Describes a value in the text of a fault.
pub fn describe_value(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => format!("the text \"{}\"", text.chars().take(40).collect::<String>()),
        KdlValue::Integer(n) => n.to_string(),
        KdlValue::Float(n) => n.to_string(),
        KdlValue::Bool(b) => format!("#{b}"),
        KdlValue::Null => "#null".to_string(),
    }
}
