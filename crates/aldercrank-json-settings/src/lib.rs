//! Flattens JSON settings into the map of dotted names that admission control reads.

use aldercrank::{Settings, Value};
use serde_json::Value as Json;

/// Flattens a JSON document into settings. Nested names are joined with dots, and list items are named by their index,
/// from 0. Nulls, empty lists and empty objects are left out. A number that an `f64` cannot represent becomes NaN,
/// which no setting accepts.
pub fn settings(json: &Json) -> Settings {
    let mut settings = Settings::default();
    flatten("", json, &mut settings);
    settings
}

fn flatten(path: &str, value: &Json, settings: &mut Settings) {
    let join = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Json::Object(fields) => {
            fields.iter().for_each(|(name, value)| flatten(&join(name), value, settings));
        }
        Json::Array(items) => {
            items.iter().enumerate().for_each(|(i, value)| flatten(&join(&i.to_string()), value, settings));
        }
        Json::String(text) => settings.set(path, Value::Text(text.clone())),
        Json::Bool(flag) => settings.set(path, Value::Flag(*flag)),
        Json::Number(number) => settings.set(path, Value::Number(number.as_f64().unwrap_or(f64::NAN))),
        Json::Null => {}
    }
}
