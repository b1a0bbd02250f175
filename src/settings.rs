//! Settings: a plain map of dotted names to values. No default or tuned value lives here.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Num(f64),
    Text(String),
    Flag(bool),
}

/// Lists count in their names: `profiles.0.name`, `profiles.1.name`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    pub fn set(&mut self, name: &str, value: Value) {
        self.0.insert(name.to_string(), value);
    }

    /// A number that is finite and not negative.
    pub fn num(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Num(n)) if n.is_finite() && *n >= 0.0 => Some(*n),
            _ => None,
        }
    }

    /// A span, written in microseconds; capped where a clock would overflow.
    pub fn span(&self, name: &str) -> Option<Duration> {
        self.num(name).map(|us| Duration::from_micros(us.min(1e15) as u64))
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(Value::Text(t)) => Some(t),
            _ => None,
        }
    }

    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.0.get(name) {
            Some(Value::Flag(b)) => Some(*b),
            _ => None,
        }
    }
}
