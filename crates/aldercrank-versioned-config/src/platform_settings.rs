//! Merges a version with the platform's settings and finds the reasons why a server can't apply it.

use crate::incompatibility::Incompatibility;
use crate::items::{self, Item, ValueKind};
use crate::path;
use crate::value::Value;
use crate::versioned_config::VersionedConfig;
use aldercrank::{Settings, Value as Setting};
use std::collections::BTreeSet;

/// Setting with the quota of outstanding calls to the upstream dependency.
const QUOTA_SETTING: &str = "family_info.calls_out";
/// Setting that is false on a server that is out of service.
const IN_SERVICE_SETTING: &str = "rules.in_service";
/// Prefix of the settings with the rejected callers; an index follows.
const REJECTED_CALLERS_SETTING: &str = "rules.turned_away";

/// Index of a request class in the settings.
fn class_index(settings: &Settings, class: &str) -> Option<usize> {
    let mut names = (0..).map_while(|index| settings.text(&format!("profiles.{index}.name")));
    names.position(|name| name == class)
}

/// Converts an item's value to the unit and type of its setting; `None` if the value has another type than declared.
fn setting_value(item: &Item, value: &Value) -> Option<Setting> {
    Some(match (item.kind, value) {
        (ValueKind::Number { .. }, Value::Number(number)) => Setting::Number(*number),
        (ValueKind::TimeSpan { .. }, Value::Number(milliseconds)) => Setting::Number(milliseconds * 1e3),
        (ValueKind::Flag, Value::Flag(flag)) => Setting::Flag(*flag),
        (ValueKind::OneOf(choices), Value::Text(word)) => {
            let choice = choices.iter().find(|choice| choice.name == word)?;
            Setting::Text(choice.setting.to_string())
        }
        _ => return None,
    })
}

impl VersionedConfig {
    /// The reasons why a server with these platform settings can't apply this version; empty if it can.
    pub fn incompatibilities(&self, platform: &Settings, server: &str) -> Vec<Incompatibility> {
        let classes = self.items.keys().filter(|path| path.block == path::CLASS);
        let classes: BTreeSet<&str> = classes.map(|path| path.class.as_str()).collect();
        let mut incompatibilities = Vec::new();
        for class in classes {
            let class_name = || class.to_string();
            let Some(index) = class_index(platform, class) else {
                incompatibilities.push(Incompatibility::UnknownClass { class: class_name() });
                continue;
            };
            let merged = self.merged_settings(platform, server);
            let span = |field: &str| merged.duration(&format!("profiles.{index}.{field}"));
            let (latency_target, timeout) = (span("goal_time"), span("give_up"));
            if latency_target.zip(timeout).is_some_and(|(latency_target, timeout)| timeout < latency_target) {
                let class = class_name();
                incompatibilities.push(Incompatibility::TimeoutBeforeLatencyTarget { class });
            }
            // Callers retry until their timeout, so a deduplication entry must not expire before it.
            let deduplicated = merged.text(&format!("profiles.{index}.effect")) == Some("dedup");
            let window = span("window").filter(|_| deduplicated);
            if window.zip(timeout).is_some_and(|(window, timeout)| window < timeout) {
                let class = class_name();
                incompatibilities.push(Incompatibility::DeduplicationWindowTooShort { class });
            }
        }
        incompatibilities
    }

    /// The platform's settings, overridden by this version's items and by what its lists determine for this server: its
    /// quota, whether it is in service, and the rejected callers.
    pub fn merged_settings(&self, platform: &Settings, server: &str) -> Settings {
        let mut merged = platform.clone();
        for (path, value) in &self.items {
            let table = match path.block {
                path::CLASS => items::CLASS_SETTINGS,
                path::LIMITS => items::LIMITS,
                _ => continue,
            };
            let Some(item) = table.iter().find(|item| item.name == path.name) else { continue };
            let setting = match path.block {
                path::CLASS => class_index(platform, &path.class)
                    .map(|index| item.setting.replace("{}", &index.to_string())),
                _ => Some(item.setting.to_string()),
            };
            if let Some((setting, value)) = setting.zip(setting_value(item, value)) {
                merged.set(&setting, value);
            }
        }
        if let Some(quota) = self.quota(server) {
            merged.set(QUOTA_SETTING, Setting::Number(quota));
        }
        if !self.is_in_service(server) {
            merged.set(IN_SERVICE_SETTING, Setting::Flag(false));
        }
        if let Some(Value::Callers(callers)) = self.get(path::REJECTED_CALLERS, "", "") {
            for (index, caller) in callers.iter().enumerate() {
                let setting = format!("{REJECTED_CALLERS_SETTING}.{index}");
                merged.set(&setting, Setting::Number(*caller as f64));
            }
        }
        merged
    }
}
