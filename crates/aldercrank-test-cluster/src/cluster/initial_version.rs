//! Creates the versions of a run's versioned configuration: the initial one, and changes of it.

use crate::ids::ServerNo;
use crate::invariant_checker::Effect;
use crate::scenario::{zone_name, Scenario, VersionedConfigSettings};
use aldercrank_versioned_config::ItemPath;
use aldercrank_versioned_config::{Value, VersionNumber, VersionedConfig};
use std::io;
use std::net::SocketAddr;

/// Why assignments do not give a version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AssignmentError {
    /// Not of the form `ITEM=VALUE`.
    #[error("{0} is not of the form ITEM=VALUE")]
    MalformedAssignment(String),
    /// The item is not of the form `CLASS.ITEM`, `shares.ZONE` or `limits.ITEM`.
    #[error("{0} is not of the form PRODUCT.ITEM, shares.ZONE or limits.ITEM")]
    MalformedItem(String),
    /// The version with these items is invalid.
    #[error("{0}")]
    Invalid(String),
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "inquiry-like",
        Effect::Keyed => "referenced",
        Effect::Unsafe => "once-only",
    }
}

/// The version that the cluster starts with. `addresses` are the listen addresses of the servers.
pub(super) fn initial_version(
    scenario: &Scenario,
    settings: &VersionedConfigSettings,
    addresses: &[SocketAddr],
) -> io::Result<VersionedConfig> {
    let mut text = "rules 1 {\n".to_string();
    let (within, alone) = (settings.decision_bound.as_millis(), settings.alone_for.as_millis());
    text += &format!("agree-within-ms {within}\nalone-for-ms {alone}\n");
    text += "committee {\n";
    for (n, address) in addresses.iter().take(settings.committee).enumerate() {
        text += &format!("{} \"{address}\"\n", ServerNo(n as u16));
    }
    text += "}\n";
    for class in &scenario.classes {
        let (effect, window) = (effect_name(class.effect), class.dedup_window.as_millis());
        text += &format!(
            "product {:?} {{ effect \"{effect}\"; window-ms {window}; offered #true }}\n",
            class.name
        );
    }
    text += "servers {\n";
    for zone in 0..scenario.fleet.zones {
        let in_zone = (0..scenario.fleet.servers).filter(|n| n % scenario.fleet.zones == zone);
        let names: Vec<String> = in_zone.map(|n| format!("\"{}\"", ServerNo(n as u16))).collect();
        text += &format!("{} {}\n", zone_name(zone), names.join(" "));
    }
    text += "}\n}\n";
    let config = VersionedConfig::parse(&text).map_err(|faults| io::Error::other(format!("{faults:?}")))?;
    let first = with_items(&config, 1, &settings.initial_items);
    first.map_err(|why| io::Error::other(format!("rules set=: {why}")))
}

/// A version of this number that differs from `config` in the given items, `CLASS.ITEM=VALUE` separated by spaces.
pub(super) fn with_items(
    config: &VersionedConfig,
    number: u64,
    assignments: &str,
) -> Result<VersionedConfig, AssignmentError> {
    let mut items = Vec::new();
    for assignment in assignments.split_whitespace() {
        let (item, value) = assignment
            .split_once('=')
            .ok_or_else(|| AssignmentError::MalformedAssignment(assignment.to_string()))?;
        let (section, name) =
            item.split_once('.').ok_or_else(|| AssignmentError::MalformedItem(item.to_string()))?;
        let path = match section {
            "shares" => ItemPath::new("shares", "", name),
            "limits" => ItemPath::new("limits", "", name),
            class => ItemPath::new("product", class, name),
        };
        let value = match value.parse::<f64>() {
            Ok(n) => Value::Number(n),
            Err(_) if value == "yes" || value == "no" => Value::Flag(value == "yes"),
            Err(_) => Value::Text(value.to_string()),
        };
        items.push((path, Some(value)));
    }
    let next = config.with_changes(VersionNumber(number), items);
    VersionedConfig::parse(&next.text()).map_err(|faults| AssignmentError::Invalid(faults[0].to_string()))
}
