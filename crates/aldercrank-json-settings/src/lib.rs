//! Settings written as JSON, turned into the plain map that the module reads. Decides nothing.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

use aldercrank::{Settings, Value};
use serde_json::Value as Json;

/// Nested settings become dotted names; list items count from 0; what is null is left out.
pub fn settings(json: &Json) -> Settings {
    let mut settings = Settings::default();
    flatten("", json, &mut settings);
    settings
}

fn flatten(path: &str, value: &Json, into: &mut Settings) {
    let join = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Json::Object(fields) => fields.iter().for_each(|(k, v)| flatten(&join(k), v, into)),
        Json::Array(items) => {
            items.iter().enumerate().for_each(|(k, v)| flatten(&join(&k.to_string()), v, into))
        }
        Json::String(s) => into.set(path, Value::Text(s.clone())),
        Json::Bool(b) => into.set(path, Value::Flag(*b)),
        Json::Number(n) => into.set(path, Value::Num(n.as_f64().unwrap_or(f64::NAN))),
        Json::Null => {}
    }
}
