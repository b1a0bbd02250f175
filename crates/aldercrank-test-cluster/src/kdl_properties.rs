//! Reads the values of one KDL node, `node "text" name=value`, with bounds. What is wrong becomes a fault at its place;
//! what the caller has not asked for is unknown.

use aldercrank_service_config::{kind, Reader};
use kdl::{KdlNode, KdlValue};

/// The values of a node that is being read.
pub struct NodeProperties<'a, 'r, 't> {
    reader: &'r mut Reader<'t>,
    node: &'a KdlNode,
    /// The names that the caller has asked for.
    known_names: Vec<&'static str>,
    /// How many values without a name the caller has read.
    positional_read: usize,
}

impl<'a, 'r, 't> NodeProperties<'a, 'r, 't> {
    /// Begins to read a node.
    pub fn new(reader: &'r mut Reader<'t>, node: &'a KdlNode) -> NodeProperties<'a, 'r, 't> {
        NodeProperties { reader, node, known_names: Vec::new(), positional_read: 0 }
    }

    fn offset(&self) -> usize {
        self.node.name().span().offset()
    }

    /// Reports a fault of the node as a whole.
    pub fn fault(&mut self, what: impl Into<String>) {
        let what = format!("{}: {}", self.node.name().value(), what.into());
        self.reader.fault(self.offset(), what);
    }

    fn named(&mut self, name: &'static str) -> Option<(&'a KdlValue, usize)> {
        self.known_names.push(name);
        let entry = self.node.entries().iter().find(|e| e.name().is_some_and(|n| n.value() == name))?;
        Some((entry.value(), entry.span().offset()))
    }

    /// The next value without a name.
    fn positional(&mut self) -> Option<(&'a KdlValue, usize)> {
        let entry = self.node.entries().iter().filter(|e| e.name().is_none()).nth(self.positional_read)?;
        self.positional_read += 1;
        Some((entry.value(), entry.span().offset()))
    }

    fn number_of(
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
        let fits = number.filter(|n| (least..=most).contains(n));
        if fits.is_none() {
            let found = kind(value);
            self.reader.fault(offset, format!("{name} takes a number from {least} to {most}, found {found}"));
        }
        fits
    }

    /// A number from `least` to `most`; `None` if it is absent or wrong.
    pub fn number(&mut self, name: &'static str, least: f64, most: f64) -> Option<f64> {
        let (value, offset) = self.named(name)?;
        self.number_of(name, value, offset, least, most)
    }

    /// The next value without a name, a number from `least` to `most`. It is a fault if it is absent.
    pub fn first_number(&mut self, what: &str, least: f64, most: f64) -> Option<f64> {
        let Some((value, offset)) = self.positional() else {
            self.fault(format!("needs {what}"));
            return None;
        };
        self.number_of(what, value, offset, least, most)
    }

    fn text_of(&mut self, name: &str, value: &KdlValue, offset: usize) -> Option<String> {
        if let KdlValue::String(text) = value {
            return Some(text.clone());
        }
        let found = kind(value);
        self.reader.fault(offset, format!("{name} takes a text, found {found}"));
        None
    }

    /// A text; `None` if it is absent or wrong.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let (value, offset) = self.named(name)?;
        self.text_of(name, value, offset)
    }

    /// The next value without a name, a text. It is a fault if it is absent.
    pub fn first_text(&mut self, what: &str) -> Option<String> {
        let Some((value, offset)) = self.positional() else {
            self.fault(format!("needs {what}"));
            return None;
        };
        self.text_of(what, value, offset)
    }

    /// One of the `known` words, by its index; `None` if it is absent or wrong.
    pub fn word(&mut self, name: &'static str, known: &[&str]) -> Option<usize> {
        let (value, offset) = self.named(name)?;
        let text = self.text_of(name, value, offset)?;
        self.index_of(&text, offset, known)
    }

    /// The next value without a name, one of the `known` words, by its index. It is a fault if it is absent.
    pub fn first_word(&mut self, what: &str, known: &[&str]) -> Option<usize> {
        let Some((value, offset)) = self.positional() else {
            self.fault(format!("needs {what}: {}", known.join(", ")));
            return None;
        };
        let text = self.text_of(what, value, offset)?;
        self.index_of(&text, offset, known)
    }

    fn index_of(&mut self, text: &str, offset: usize, known: &[&str]) -> Option<usize> {
        let index = known.iter().position(|k| *k == text);
        if index.is_none() {
            self.reader.unknown(offset, text, known);
        }
        index
    }

    /// `#true` or `#false`; `None` if it is absent or wrong.
    pub fn flag(&mut self, name: &'static str) -> Option<bool> {
        let (value, offset) = self.named(name)?;
        if let KdlValue::Bool(flag) = value {
            return Some(*flag);
        }
        let found = kind(value);
        self.reader.fault(offset, format!("{name} takes #true or #false, found {found}"));
        None
    }

    /// Reports the values that were not read as unknown.
    pub fn finish(self) {
        let mut positional = 0;
        for entry in self.node.entries() {
            let offset = entry.span().offset();
            match entry.name() {
                Some(name) if !self.known_names.contains(&name.value()) => {
                    self.reader.unknown(offset, name.value(), &self.known_names);
                }
                Some(_) => {}
                None => {
                    positional += 1;
                    if positional > self.positional_read {
                        let what = format!(
                            "{} takes {} without a name",
                            self.node.name().value(),
                            self.positional_read
                        );
                        self.reader.fault(offset, what);
                    }
                }
            }
        }
        if let Some(children) = self.node.children() {
            let what = format!("{} takes no block", self.node.name().value());
            self.reader.fault(children.span().offset(), what);
        }
    }
}
