//! Compares a configuration that was reloaded while serving with the one in force.

use super::Config;
use aldercrank::{Settings, Value};
use std::fmt;

/// The setting that the admission module is built with; it can't change while serving.
const CORES: &str = "family_info.cores";

/// Why a configuration belongs to another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForeignConfig {
    /// It has another server's name.
    Name {
        /// The name in the configuration.
        offered: String,
        /// This server's name.
        own: String,
    },
    /// It has none of this server's request classes.
    Classes {
        /// The classes in the configuration.
        offered: Vec<String>,
        /// This server's classes.
        own: Vec<String>,
    },
}

impl fmt::Display for ForeignConfig {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ForeignConfig::Name { offered, own } => {
                write!(f, "it names the server {offered}, but this server is {own}")
            }
            ForeignConfig::Classes { offered, own } => {
                write!(
                    f,
                    "it names the request classes {}, but this server's are {}",
                    offered.join(", "),
                    own.join(", ")
                )
            }
        }
    }
}

impl Config {
    /// Returns the fields that differ in a new configuration but can't change while serving.
    pub fn restart_only_changes(&self, new: &Config) -> Vec<&'static str> {
        let fields = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("limits.memory_mb", self.memory_bytes == new.memory_bytes),
            ("limits.sockets", self.max_sockets == new.max_sockets),
            ("results in the service file", self.max_result_bytes == new.max_result_bytes),
            ("reports in the service file", self.max_report_backoff == new.max_report_backoff),
            ("rules in the service file", self.agreement == new.agreement),
            ("start in the service file", self.start == new.start),
            ("cores of the settings", self.cores() == new.cores()),
            ("request classes of the settings", self.request_classes() == new.request_classes()),
        ];
        fields.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }

    /// Returns why a new configuration belongs to another server, if it does. Its addresses would be another
    /// customer's, so no part of it may be applied.
    pub fn foreign_reason(&self, new: &Config) -> Option<ForeignConfig> {
        if self.name != new.name {
            return Some(ForeignConfig::Name { offered: new.name.clone(), own: self.name.clone() });
        }
        let (own, offered) = (self.request_classes(), new.request_classes());
        if offered.iter().any(|name| own.contains(name)) {
            return None;
        }
        let owned = |names: Vec<&str>| names.into_iter().map(str::to_string).collect();
        Some(ForeignConfig::Classes { offered: owned(offered), own: owned(own) })
    }

    fn cores(&self) -> Option<f64> {
        self.settings.number(CORES)
    }

    /// Returns the names of the request classes, in the order of the settings.
    fn request_classes(&self) -> Vec<&str> {
        (0..).map_while(|i| self.settings.text(&format!("profiles.{i}.name"))).collect()
    }

    /// Returns the settings of a new configuration as far as they can be applied while serving. Returns none if no
    /// setting differs, or if the request classes do.
    pub fn reloadable_settings(&self, new: &Config) -> Option<Settings> {
        let mut settings = new.settings.clone();
        match self.cores() {
            Some(cores) => settings.set(CORES, Value::Number(cores)),
            None => drop(settings.0.remove(CORES)),
        }
        (self.request_classes() == new.request_classes() && settings.0 != self.settings.0).then_some(settings)
    }
}
