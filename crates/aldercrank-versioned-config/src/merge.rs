//! A book beside what the platform's JSON says: whether a server can go by it, and the settings that come of it.

use crate::book::{self, Value, VersionedConfig};
use crate::items::{self, Item, Kind};
use aldercrank::{Settings, Value as Setting};
use std::collections::BTreeSet;

/// Of the platform's own shares, or of what the book gives; the module reads it.
const SHARE: &str = "family_info.calls_out";

/// The places of products, by name.
fn place(settings: &Settings, class: &str) -> Option<usize> {
    let named = (0..).map_while(|i| settings.text(&format!("profiles.{i}.name")).map(|name| (i, name)));
    named.into_iter().find(|(_, name)| *name == class).map(|(i, _)| i)
}

/// An item's value as settings have it.
fn setting(item: &Item, value: &Value) -> Option<Setting> {
    Some(match (item.kind, value) {
        (Kind::Number(..), Value::Number(n)) => Setting::Num(*n),
        (Kind::Span(..), Value::Number(ms)) => Setting::Num(ms * 1e3),
        (Kind::Flag, Value::Flag(flag)) => Setting::Flag(*flag),
        (Kind::Word(words), Value::Word(word)) => {
            Setting::Text(words.iter().find(|(name, _)| name == word)?.1.to_string())
        }
        _ => return None,
    })
}

impl VersionedConfig {
    /// Why a server can't go by this book: an empty list where it can.
    pub fn incompatibilities(&self, platform: &Settings, server: &str) -> Vec<String> {
        let mut why = Vec::new();
        let classes: BTreeSet<&str> =
            self.items.keys().filter(|p| p.block == book::CLASS).map(|p| p.of.as_str()).collect();
        for name in classes {
            let Some(i) = place(platform, name) else {
                why.push(format!("product.{name}: this server has no such product"));
                continue;
            };
            let merged = self.settings(platform, server);
            let span = |field: &str| merged.span(&format!("profiles.{i}.{field}"));
            let (latency_target, timeout) = (span("goal_time"), span("give_up"));
            if latency_target.zip(timeout).is_some_and(|(latency_target, timeout)| timeout < latency_target) {
                why.push(format!("product.{name}: given up before its SLA time"));
            }
            // A mark must outlive the last try of what it marks.
            let marked = merged.text(&format!("profiles.{i}.effect")) == Some("dedup");
            if marked && span("window").zip(timeout).is_some_and(|(window, timeout)| window < timeout) {
                why.push(format!("product.{name}.window-ms: shorter than its callers go on trying"));
            }
        }
        why
    }

    /// The platform's settings with this book's in their place; and what the lists say of this server.
    pub fn settings(&self, platform: &Settings, server: &str) -> Settings {
        let mut merged = platform.clone();
        for (path, value) in &self.items {
            let table = match path.block {
                book::CLASS => items::CLASS_SETTINGS,
                book::LIMITS => items::LIMITS,
                _ => continue,
            };
            let Some(item) = table.iter().find(|item| item.name == path.name) else { continue };
            let at = match path.block {
                book::CLASS => place(platform, &path.of).map(|i| item.setting.replace("{}", &i.to_string())),
                _ => Some(item.setting.to_string()),
            };
            if let Some((at, value)) = at.zip(setting(item, value)) {
                merged.set(&at, value);
            }
        }
        if let Some(share) = self.share(server) {
            merged.set(SHARE, Setting::Num(share));
        }
        if !self.serves(server) {
            merged.set("rules.in_service", Setting::Flag(false));
        }
        if let Some(Value::Callers(callers)) = self.get(book::AWAY, "", "") {
            for (n, caller) in callers.iter().enumerate() {
                merged.set(&format!("rules.turned_away.{n}"), Setting::Num(*caller as f64));
            }
        }
        merged
    }
}
