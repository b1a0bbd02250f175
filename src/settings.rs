//! Settings: a plain map of dotted names to values. No default or tuned value lives here.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Num(f64),
    Text(String),
    Flag(bool),
}

/// What the module reads and has a default for, as numbers, texts and flags; then for each product.
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
const TEXTS: [&str; 3] = ["family_info.halt", "family_info.advert", "family_info.meters.0"];
const FLAGS: [&str; 2] = ["family_info.cold", "limits.retry_after"];
const CLASS_SETTINGS: [&str; 4] = ["give_up", "goal_time", "points", "window"];

/// Lists count in their names: `profiles.0.name`, `profiles.1.name`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    pub fn set(&mut self, name: &str, value: Value) {
        self.0.insert(name.to_string(), value);
    }

    /// The names of settings that the module has to do without.
    pub fn missing(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        names.extend(NUMBERS.iter().filter(|n| self.num(n).is_none()).map(|n| n.to_string()));
        names.extend(TEXTS.iter().filter(|n| self.text(n).is_none()).map(|n| n.to_string()));
        names.extend(FLAGS.iter().filter(|n| self.flag(n).is_none()).map(|n| n.to_string()));
        let classes = (0..).take_while(|i| self.text(&format!("profiles.{i}.name")).is_some()).count();
        for i in 0..classes {
            let of = CLASS_SETTINGS.iter().map(|field| format!("profiles.{i}.{field}"));
            names.extend(of.filter(|name| self.num(name).is_none()));
            let effect = format!("profiles.{i}.effect");
            names.extend(Some(effect).filter(|name| self.text(name).is_none()));
        }
        names
    }

    /// Those that are there and can't be gone by, each with what it has to be.
    pub fn senseless(&self) -> Vec<String> {
        let classes = (0..).take_while(|i| self.text(&format!("profiles.{i}.name")).is_some()).count();
        let of_classes = (0..classes)
            .flat_map(|i| CLASS_SETTINGS.iter().map(move |field| format!("profiles.{i}.{field}")));
        let numbers = NUMBERS.iter().map(|name| name.to_string()).chain(of_classes);
        let effects = (0..classes).map(|i| format!("profiles.{i}.effect"));
        let texts = TEXTS.iter().map(|name| name.to_string()).chain(effects);
        let there = |name: &String| self.0.contains_key(name);
        let numbers = numbers.filter(|name| there(name) && self.num(name).is_none());
        let texts = texts.filter(|name| there(name) && self.text(name).is_none());
        let flags = FLAGS.iter().map(|name| name.to_string());
        let flags = flags.filter(|name| there(name) && self.flag(name).is_none());
        let mut all: Vec<String> = numbers.map(|name| format!("{name} is no number of 0 or more")).collect();
        all.extend(texts.map(|name| format!("{name} is no text")));
        all.extend(flags.map(|name| format!("{name} is neither true nor false")));
        all.extend(self.named_twice());
        all
    }

    /// Products of one name: nobody could tell which of them a request is of.
    fn named_twice(&self) -> Vec<String> {
        let mut first = BTreeMap::new();
        let names = (0..).map_while(|i| self.text(&format!("profiles.{i}.name")).map(|name| (i, name)));
        let twice = names.filter_map(|(i, name): (usize, &str)| {
            let before = *first.entry(name).or_insert(i);
            (before != i).then(|| format!("profiles.{i}.name is that of profiles.{before}: {name}"))
        });
        twice.collect()
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
