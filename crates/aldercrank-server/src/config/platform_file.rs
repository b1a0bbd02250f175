//! Parses the platform's JSON file.

use super::{Config, PlatformConfigError};
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::time::Duration;

const MIN_SOCKETS: usize = 32;
/// The highest value of a numeric field, in the unit of the field.
pub(super) const MAX_NUMBER: f64 = 1e9;

/// The file's fields, and the environment variables that are the defaults of missing ones.
struct PlatformFile<'a, V> {
    json: &'a Json,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> PlatformFile<'_, V> {
    fn text(
        &self,
        field: &'static str,
        variable: Option<&'static str>,
    ) -> Result<String, PlatformConfigError> {
        let given = match self.json.get(field) {
            Some(Json::String(text)) => Some(text.clone()),
            Some(Json::Null) | None => None,
            Some(_) => return Err(PlatformConfigError::NotString { field }),
        };
        let text = given.or_else(|| (self.variable)(variable?)).filter(|text| !text.is_empty());
        text.ok_or_else(|| PlatformConfigError::Missing { field: field.to_string() })
    }

    fn address(
        &self,
        field: &'static str,
        variable: Option<&'static str>,
    ) -> Result<SocketAddr, PlatformConfigError> {
        let text = self.text(field, variable)?;
        text.parse().map_err(|_| PlatformConfigError::NotAddress { field, text })
    }

    fn number(&self, field: &str) -> Result<f64, PlatformConfigError> {
        number_in_range(self.json.get(field), field)
    }

    fn limit(&self, field: &str) -> Result<f64, PlatformConfigError> {
        let limit = self.json.get("limits").and_then(|limits| limits.get(field));
        number_in_range(limit, &format!("limits.{field}"))
    }

    fn name(&self) -> Result<String, PlatformConfigError> {
        let name = self.text("name", Some("ROUTER_NAME"))?;
        if !name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b)) {
            return Err(PlatformConfigError::InvalidName(name));
        }
        Ok(name)
    }

    fn settings(&self) -> Result<aldercrank::Settings, PlatformConfigError> {
        let settings = self.json.get("settings").ok_or(PlatformConfigError::NoSettings)?;
        if !settings.is_object() {
            return Err(PlatformConfigError::SettingsNotObject);
        }
        let settings = aldercrank_json_settings::settings(settings);
        if settings.text("profiles.0.name").is_none() {
            return Err(PlatformConfigError::NoClasses);
        }
        let invalid = settings.invalid();
        if !invalid.is_empty() {
            return Err(PlatformConfigError::InvalidSettings(invalid));
        }
        Ok(settings)
    }

    fn sockets(&self) -> Result<usize, PlatformConfigError> {
        let sockets = self.limit("sockets")? as usize;
        if sockets < MIN_SOCKETS {
            return Err(PlatformConfigError::TooFewSockets { min: MIN_SOCKETS });
        }
        Ok(sockets)
    }
}

fn number_in_range(value: Option<&Json>, field: &str) -> Result<f64, PlatformConfigError> {
    let value = value.ok_or_else(|| PlatformConfigError::Missing { field: field.to_string() })?;
    let number = value.as_f64().filter(|number| (1.0..=MAX_NUMBER).contains(number));
    number.ok_or_else(|| PlatformConfigError::OutOfRange { field: field.to_string() })
}

impl Config {
    /// Parses the text of the platform's file. `variable` returns an environment variable's value.
    ///
    /// # Errors
    ///
    /// Names the first field that is missing or invalid.
    pub fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, PlatformConfigError> {
        let json: Json = serde_json::from_str(text).map_err(PlatformConfigError::NotJson)?;
        let file = PlatformFile { json: &json, variable };
        let name = file.name()?;
        let settings = file.settings()?;
        let makes_calls = settings.text("family_info.below") != Some("none");
        let sockets = file.sockets()?;
        Ok(Config {
            name,
            max_result_bytes: crate::worker_pool::MAX_PAYLOAD_BYTES,
            seed: json.get("seed").and_then(Json::as_str).unwrap_or_default().to_string(),
            max_report_backoff: None,
            json_log: false,
            agreement: None,
            start: aldercrank_service_config::StartConfig::default(),
            listen: file.address("listen", Some("ROUTER_LISTEN"))?,
            pool_address: file.address("pool", None)?,
            membership_address: file.address("members", None)?,
            dependency_address: if makes_calls || json.get("index").is_some() {
                Some(file.address("index", None)?)
            } else {
                None
            },
            stop_timeout: Duration::from_secs_f64(file.number("stop_ms")? / 1e3),
            memory_bytes: (file.limit("memory_mb")? * 1e6) as usize,
            max_sockets: sockets,
            settings,
        })
    }
}
