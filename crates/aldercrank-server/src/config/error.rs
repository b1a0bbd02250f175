//! Errors of reading a configuration. Their texts are shown to operators.

use aldercrank_service_config::Fault;
use std::{fmt, io};
use thiserror::Error;

/// All faults of a KDL file; displayed one a line, each with the file's name, its line and its column.
#[derive(Debug, Error)]
pub struct FileFaults {
    /// The file's name.
    pub path: String,
    /// In the order of the file.
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
    #[error("ROUTER_CONFIG is not set and no file was named")]
    NoFile,
    /// A file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file's name.
        path: String,
        /// The system's error.
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
    /// The configuration version can't be applied on this server.
    #[error("{path}: {reason}")]
    Incompatible {
        /// The file of the version.
        path: String,
        /// The first incompatibility.
        reason: String,
    },
}

/// Which field of the platform's file is invalid.
#[derive(Debug, Error)]
pub enum PlatformConfigError {
    /// The text is no JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A field is missing.
    #[error("{field} is missing")]
    Missing {
        /// The field's path.
        field: String,
    },
    /// A field must be a text.
    #[error("{field} is no text")]
    NotText {
        /// The field's name.
        field: &'static str,
    },
    /// A field must be an IP address with a port.
    #[error("{field} is no address with a port: {text}")]
    NotAddress {
        /// The field's name.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// A field must be a number from 1 to 1e9.
    #[error("{field} is no number of 1 or more")]
    NotPositive {
        /// The field's path.
        field: String,
    },
    /// The server's name may have letters, digits and `-_.` alone.
    #[error("name is no plain word: {0}")]
    InvalidName(String),
    /// The admission module's settings are missing.
    #[error("settings are missing")]
    NoSettings,
    /// The admission module's settings must be an object.
    #[error("settings are no object")]
    SettingsNotObject,
    /// There is no request class.
    #[error("settings.profiles names no product")]
    NoClasses,
    /// Settings that can't be used, each with the reason.
    #[error("settings.{}", .0.join(", settings."))]
    InvalidSettings(Vec<String>),
    /// There are too few sockets to serve.
    #[error("limits.sockets is under {least}")]
    TooFewSockets {
        /// The least number.
        least: usize,
    },
}
