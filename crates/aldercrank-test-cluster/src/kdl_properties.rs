//! The values of one KDL node, `node "text" name=value`, read with bounds; all that is wrong is a fault at its
//! place, and what is not asked for is not known.

use aldercrank_service_config::{kind, Reader};
use kdl::{KdlNode, KdlValue};

pub struct NodeProperties<'a, 'r, 't> {
    reader: &'r mut Reader<'t>,
    node: &'a KdlNode,
    asked: Vec<&'static str>,
    words: usize,
}

impl<'a, 'r, 't> NodeProperties<'a, 'r, 't> {
    pub fn of(reader: &'r mut Reader<'t>, node: &'a KdlNode) -> NodeProperties<'a, 'r, 't> {
        NodeProperties { reader, node, asked: Vec::new(), words: 0 }
    }

    fn at(&self) -> usize {
        self.node.name().span().offset()
    }

    /// Something about the node as a whole is wrong.
    pub fn fault(&mut self, what: impl Into<String>) {
        let what = format!("{}: {}", self.node.name().value(), what.into());
        self.reader.fault(self.at(), what);
    }

    fn named(&mut self, name: &'static str) -> Option<(&'a KdlValue, usize)> {
        self.asked.push(name);
        let entry = self.node.entries().iter().find(|e| e.name().is_some_and(|n| n.value() == name))?;
        Some((entry.value(), entry.span().offset()))
    }

    /// The next value without a name.
    fn positional(&mut self) -> Option<(&'a KdlValue, usize)> {
        let entry = self.node.entries().iter().filter(|e| e.name().is_none()).nth(self.words)?;
        self.words += 1;
        Some((entry.value(), entry.span().offset()))
    }

    fn real(&mut self, name: &str, value: &KdlValue, at: usize, least: f64, most: f64) -> Option<f64> {
        let number = match value {
            KdlValue::Integer(n) => Some(*n as f64),
            KdlValue::Float(n) => Some(*n),
            _ => None,
        };
        let fits = number.filter(|n| (least..=most).contains(n));
        if fits.is_none() {
            let found = kind(value);
            self.reader.fault(at, format!("{name} takes a number from {least} to {most}, found {found}"));
        }
        fits
    }

    pub fn number(&mut self, name: &'static str, least: f64, most: f64) -> Option<f64> {
        let (value, at) = self.named(name)?;
        self.real(name, value, at, least, most)
    }

    /// A number without a name, which has to be there.
    pub fn first_number(&mut self, what: &str, least: f64, most: f64) -> Option<f64> {
        let Some((value, at)) = self.positional() else {
            self.fault(format!("needs {what}"));
            return None;
        };
        self.real(what, value, at, least, most)
    }

    fn string(&mut self, name: &str, value: &KdlValue, at: usize) -> Option<String> {
        if let KdlValue::String(text) = value {
            return Some(text.clone());
        }
        let found = kind(value);
        self.reader.fault(at, format!("{name} takes a text, found {found}"));
        None
    }

    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let (value, at) = self.named(name)?;
        self.string(name, value, at)
    }

    /// A text without a name, which has to be there.
    pub fn first_text(&mut self, what: &str) -> Option<String> {
        let Some((value, at)) = self.positional() else {
            self.fault(format!("needs {what}"));
            return None;
        };
        self.string(what, value, at)
    }

    /// One of these words; gives its place.
    pub fn word(&mut self, name: &'static str, known: &[&str]) -> Option<usize> {
        let (value, at) = self.named(name)?;
        let text = self.string(name, value, at)?;
        self.place(&text, at, known)
    }

    /// One of these words without a name, which has to be there.
    pub fn first_word(&mut self, what: &str, known: &[&str]) -> Option<usize> {
        let Some((value, at)) = self.positional() else {
            self.fault(format!("needs {what}: {}", known.join(", ")));
            return None;
        };
        let text = self.string(what, value, at)?;
        self.place(&text, at, known)
    }

    fn place(&mut self, text: &str, at: usize, known: &[&str]) -> Option<usize> {
        let place = known.iter().position(|k| *k == text);
        if place.is_none() {
            self.reader.unknown(at, text, known);
        }
        place
    }

    pub fn flag(&mut self, name: &'static str) -> Option<bool> {
        let (value, at) = self.named(name)?;
        if let KdlValue::Bool(flag) = value {
            return Some(*flag);
        }
        let found = kind(value);
        self.reader.fault(at, format!("{name} takes #true or #false, found {found}"));
        None
    }

    /// All that was there to be read has been: what else stands here is a fault.
    pub fn done(self) {
        let mut words = 0;
        for entry in self.node.entries() {
            let at = entry.span().offset();
            match entry.name() {
                Some(name) if !self.asked.contains(&name.value()) => {
                    self.reader.unknown(at, name.value(), &self.asked);
                }
                Some(_) => {}
                None => {
                    words += 1;
                    if words > self.words {
                        let what =
                            format!("{} takes {} without a name", self.node.name().value(), self.words);
                        self.reader.fault(at, what);
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
