//! Reads the arguments and properties of a KDL node, `node "argument" name=value`, and checks their types and ranges.
//! Invalid values are reported as errors at their position, and so are arguments and properties that were never read.

use aldercrank_service_config::{describe_value, Reader};
use kdl::{KdlNode, KdlValue};

/// Reads the arguments and properties of one node.
pub struct NodeProperties<'a, 'r, 't> {
    reader: &'r mut Reader<'t>,
    node: &'a KdlNode,
    /// The names of the properties that were read or looked for.
    known_names: Vec<&'static str>,
    /// The number of arguments that were read.
    arguments_read: usize,
}

impl<'a, 'r, 't> NodeProperties<'a, 'r, 't> {
    /// Creates a reader of this node.
    pub fn new(reader: &'r mut Reader<'t>, node: &'a KdlNode) -> NodeProperties<'a, 'r, 't> {
        NodeProperties { reader, node, known_names: Vec::new(), arguments_read: 0 }
    }

    fn offset(&self) -> usize {
        self.node.name().span().offset()
    }

    /// Reports an error at the position of the node's name.
    pub fn report_error(&mut self, message: impl Into<String>) {
        let message = format!("{}: {}", self.node.name().value(), message.into());
        self.reader.record_fault(self.offset(), message);
    }

    /// The value of a property and its offset in the text.
    fn property(&mut self, name: &'static str) -> Option<(&'a KdlValue, usize)> {
        self.known_names.push(name);
        let entry = self.node.entries().iter().find(|e| e.name().is_some_and(|n| n.value() == name))?;
        Some((entry.value(), entry.span().offset()))
    }

    /// The value of the next argument and its offset in the text.
    fn next_argument(&mut self) -> Option<(&'a KdlValue, usize)> {
        let entry = self.node.entries().iter().filter(|e| e.name().is_none()).nth(self.arguments_read)?;
        self.arguments_read += 1;
        Some((entry.value(), entry.span().offset()))
    }

    fn number_in_range(
        &mut self,
        name: &str,
        value: &KdlValue,
        offset: usize,
        least: f64,
        most: f64,
    ) -> Option<f64> {
        let number = match value {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::Float(n) => Some(*n),
            _ => None,
        };
        let in_range = number.filter(|n| (least..=most).contains(n));
        if in_range.is_none() {
            let found = describe_value(value);
            self.reader
                .record_fault(offset, format!("{name} takes a number from {least} to {most}, found {found}"));
        }
        in_range
    }

    /// A property that is a number from `least` to `most`; `None` if it is absent or invalid.
    pub fn number(&mut self, name: &'static str, least: f64, most: f64) -> Option<f64> {
        let (value, offset) = self.property(name)?;
        self.number_in_range(name, value, offset, least, most)
    }

    /// The next argument, a number from `least` to `most`. Reports an error if it is absent. `what` describes it in
    /// errors.
    pub fn number_argument(&mut self, what: &str, least: f64, most: f64) -> Option<f64> {
        let Some((value, offset)) = self.next_argument() else {
            self.report_error(format!("missing argument: {what}"));
            return None;
        };
        self.number_in_range(what, value, offset, least, most)
    }

    fn expect_string(&mut self, name: &str, value: &KdlValue, offset: usize) -> Option<String> {
        if let KdlValue::String(text) = value {
            return Some(text.clone());
        }
        let found = describe_value(value);
        self.reader.record_fault(offset, format!("{name} takes a string, found {found}"));
        None
    }

    /// A property that is a string; `None` if it is absent or invalid.
    pub fn string(&mut self, name: &'static str) -> Option<String> {
        let (value, offset) = self.property(name)?;
        self.expect_string(name, value, offset)
    }

    /// The next argument, a string. Reports an error if it is absent. `what` describes it in errors.
    pub fn string_argument(&mut self, what: &str) -> Option<String> {
        let Some((value, offset)) = self.next_argument() else {
            self.report_error(format!("missing argument: {what}"));
            return None;
        };
        self.expect_string(what, value, offset)
    }

    /// The index in `known` of a property that is a keyword; `None` if it is absent or invalid.
    pub fn keyword(&mut self, name: &'static str, known: &[&str]) -> Option<usize> {
        let (value, offset) = self.property(name)?;
        let text = self.expect_string(name, value, offset)?;
        self.keyword_index(&text, offset, known)
    }

    /// The index in `known` of the next argument, a keyword. Reports an error if it is absent. `what` describes it in
    /// errors.
    pub fn keyword_argument(&mut self, what: &str, known: &[&str]) -> Option<usize> {
        let Some((value, offset)) = self.next_argument() else {
            self.report_error(format!("missing argument: {what}, one of {}", known.join(", ")));
            return None;
        };
        let text = self.expect_string(what, value, offset)?;
        self.keyword_index(&text, offset, known)
    }

    fn keyword_index(&mut self, text: &str, offset: usize, known: &[&str]) -> Option<usize> {
        let index = known.iter().position(|k| *k == text);
        if index.is_none() {
            self.reader.record_unknown_name(offset, text, known);
        }
        index
    }

    /// A property that is `#true` or `#false`; `None` if it is absent or invalid.
    pub fn flag(&mut self, name: &'static str) -> Option<bool> {
        let (value, offset) = self.property(name)?;
        if let KdlValue::Bool(flag) = value {
            return Some(*flag);
        }
        let found = describe_value(value);
        self.reader.record_fault(offset, format!("{name} takes #true or #false, found {found}"));
        None
    }

    /// Reports an error for each argument and property that was not read, and for child nodes.
    pub fn reject_unread(self) {
        let mut arguments = 0;
        for entry in self.node.entries() {
            let offset = entry.span().offset();
            match entry.name() {
                Some(name) if !self.known_names.contains(&name.value()) => {
                    self.reader.record_unknown_name(offset, name.value(), &self.known_names);
                }
                Some(_) => {}
                None => {
                    arguments += 1;
                    if arguments > self.arguments_read {
                        let message = format!(
                            "{}: too many arguments, it takes {}",
                            self.node.name().value(),
                            self.arguments_read
                        );
                        self.reader.record_fault(offset, message);
                    }
                }
            }
        }
        if let Some(children) = self.node.children() {
            let message = format!("{} takes no child nodes", self.node.name().value());
            self.reader.record_fault(children.span().offset(), message);
        }
    }
}
