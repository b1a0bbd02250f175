//! Settings as a flat map from dotted names to values.

use std::collections::BTreeMap;
use std::time::Duration;

/// The value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// A boolean.
    Flag(bool),
}

/// Numeric settings that admission control reads and has defaults for.
const NUMBERS: [&str; 15] = [
    "family_info.cores",
    "family_info.memory_kb",
    "family_info.run_factor",
    "family_info.key_kb",
    "family_info.calls_out",
    "family_info.calls_over",
    "family_info.linger",
    "family_info.idle",
    "family_info.upstreams",
    "rules.fall_multiple",
    "rules.answer_slack",
    "rules.cold_from",
    "rules.warm_after",
    "rules.stop_sending_within",
    "limits.max_retry_after",
];
/// String settings with defaults.
const TEXTS: [&str; 3] = ["family_info.halt", "family_info.advert", "family_info.meters.0"];
/// Boolean settings with defaults.
const FLAGS: [&str; 2] = ["family_info.cold", "limits.retry_after"];
/// Numeric settings of each request class, with defaults.
const CLASS_NUMBERS: [&str; 4] = ["give_up", "goal_time", "points", "window"];

/// Settings by dotted name. List items have their index in the name: `profiles.0.name`, `profiles.1.name`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    /// Sets a value, replacing any earlier one of the same name.
    pub fn set(&mut self, name: &str, value: Value) {
        self.0.insert(name.to_string(), value);
    }

    /// The names of settings that are missing or invalid, for which a default is used.
    pub fn missing(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        names.extend(NUMBERS.iter().filter(|name| self.number(name).is_none()).map(ToString::to_string));
        names.extend(TEXTS.iter().filter(|name| self.text(name).is_none()).map(ToString::to_string));
        names.extend(FLAGS.iter().filter(|name| self.flag(name).is_none()).map(ToString::to_string));
        for i in 0..self.class_count() {
            names.extend(class_numbers(i).filter(|name| self.number(name).is_none()));
            names.extend(Some(class_effect(i)).filter(|name| self.text(name).is_none()));
        }
        names
    }

    /// One message for each setting that is present but invalid, stating the requirement that it violates.
    pub fn invalid(&self) -> Vec<String> {
        let classes = 0..self.class_count();
        let numbers = NUMBERS.iter().map(ToString::to_string).chain(classes.clone().flat_map(class_numbers));
        let texts = TEXTS.iter().map(ToString::to_string).chain(classes.map(class_effect));
        let flags = FLAGS.iter().map(ToString::to_string);
        let present = |name: &String| self.0.contains_key(name);
        let numbers = numbers.filter(|name| present(name) && self.number(name).is_none());
        let texts = texts.filter(|name| present(name) && self.text(name).is_none());
        let flags = flags.filter(|name| present(name) && self.flag(name).is_none());
        let mut invalid: Vec<String> =
            numbers.map(|name| format!("{name} must be a non-negative number")).collect();
        invalid.extend(texts.map(|name| format!("{name} must be a string")));
        invalid.extend(flags.map(|name| format!("{name} must be true or false")));
        invalid.extend(self.duplicate_class_names());
        invalid
    }

    fn class_count(&self) -> usize {
        (0..).take_while(|i| self.text(&format!("profiles.{i}.name")).is_some()).count()
    }

    /// Requests name their class, so class names must be unique.
    fn duplicate_class_names(&self) -> Vec<String> {
        let mut first_index = BTreeMap::new();
        let names = (0..).map_while(|i| self.text(&format!("profiles.{i}.name")).map(|name| (i, name)));
        let duplicates = names.filter_map(|(i, name): (usize, &str)| {
            let first = *first_index.entry(name).or_insert(i);
            (first != i).then(|| format!("profiles.{i}.name is already the name of profiles.{first}: {name}"))
        });
        duplicates.collect()
    }

    /// The numeric setting of this name, if it is finite and not negative.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) if number.is_finite() && *number >= 0.0 => Some(*number),
            _ => None,
        }
    }

    /// The duration setting of this name, stored in microseconds. Capped at 10^15 µs so that adding it to a time can't
    /// overflow.
    pub fn duration(&self, name: &str) -> Option<Duration> {
        self.number(name).map(|micros| Duration::from_micros(micros.min(1e15) as u64))
    }

    /// The string setting of this name.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// The boolean setting of this name.
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.0.get(name) {
            Some(Value::Flag(flag)) => Some(*flag),
            _ => None,
        }
    }
}

fn class_numbers(class: usize) -> impl Iterator<Item = String> {
    CLASS_NUMBERS.iter().map(move |field| format!("profiles.{class}.{field}"))
}

fn class_effect(class: usize) -> String {
    format!("profiles.{class}.effect")
}
