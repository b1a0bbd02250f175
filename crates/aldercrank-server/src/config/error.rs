//! Errors in loading a configuration. Their messages are shown to operators.

use super::platform_file::MAX_NUMBER;
use aldercrank_service_config::Fault;
use std::{fmt, io};
use thiserror::Error;

/// All faults of a KDL file. Displayed one per line, each with the file name, line and column.
#[derive(Debug, Error)]
pub struct FileFaults {
    /// The file's name.
    pub path: String,
    /// The faults, in the order of the file.
    pub faults: Vec<Fault>,
}

impl fmt::Display for FileFaults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{}:{fault}", self.path)?;
        }
        Ok(())
    }
}

/// Why no configuration could be loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names the platform's file.
    #[error("no configuration file: ROUTER_CONFIG is not set and no file was given as an argument")]
    NoFile,
    /// A file could not be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file's name.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The platform's file is invalid.
    #[error("{path}: {source}")]
    Platform {
        /// The file's name.
        path: String,
        /// The first invalid field.
        source: PlatformConfigError,
    },
    /// The service file or the configuration version that it names is invalid.
    #[error(transparent)]
    Faults(#[from] FileFaults),
    /// This server can't apply the configuration version.
    #[error("{path}: {reason}")]
    Incompatible {
        /// The version's file.
        path: String,
        /// The first incompatibility.
        reason: String,
    },
}

/// Why the platform's file is invalid.
#[derive(Debug, Error)]
pub enum PlatformConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A field is missing.
    #[error("{field} is missing")]
    Missing {
        /// The field's path.
        field: String,
    },
    /// A field must be a string.
    #[error("{field} is not a string")]
    NotString {
        /// The field's name.
        field: &'static str,
    },
    /// A field must be an IP address with a port.
    #[error("{field} is not an IP address with a port: {text}")]
    NotAddress {
        /// The field's name.
        field: &'static str,
        /// The field's text.
        text: String,
    },
    /// A numeric field is below 1 or above its highest value.
    #[error("{field} is not a number from 1 to {MAX_NUMBER:e}")]
    OutOfRange {
        /// The field's path.
        field: String,
    },
    /// The server's name may contain only ASCII letters, digits and `-_.`.
    #[error("name may contain only ASCII letters, digits, hyphens, underscores and dots: {0}")]
    InvalidName(String),
    /// The admission module's settings are missing.
    #[error("settings are missing")]
    NoSettings,
    /// The admission module's settings must be an object.
    #[error("settings are not an object")]
    SettingsNotObject,
    /// There are no request classes.
    #[error("settings.profiles names no request class")]
    NoClasses,
    /// Some of the admission module's settings are invalid; each with the reason.
    #[error("settings.{}", .0.join(", settings."))]
    InvalidSettings(Vec<String>),
    /// The limit on sockets is too low to serve.
    #[error("limits.sockets is less than {min}")]
    TooFewSockets {
        /// The lowest allowed limit.
        min: usize,
    },
}
