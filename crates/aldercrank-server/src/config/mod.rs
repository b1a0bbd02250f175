//! The configuration of a server. It is loaded from the platform's JSON file, with two environment variables as
//! defaults for missing fields, and from the program's own service file.

mod error;
mod platform_file;
mod reload;

pub use error::{ConfigError, FileFaults, PlatformConfigError};
pub use reload::ForeignConfig;

use aldercrank::Settings;
use aldercrank_service_config::{ServiceConfig, VersionedConfigOptions};
use aldercrank_versioned_config::VersionedConfig;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How a server takes part in the versioned configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreementConfig {
    /// The configuration version that the fleet starts with.
    pub initial_version: VersionedConfig,
    /// The directory for the server's durable state.
    pub state_dir: Option<PathBuf>,
    /// Whether proposed versions are read from the membership service.
    pub read_proposals: bool,
    /// Addresses of committee members that replace those in the version.
    pub member_addresses: BTreeMap<String, SocketAddr>,
    /// A fault that a test injects to show that it is detected. No file can set it.
    pub injected_fault: Option<aldercrank_consensus::InjectedFault>,
}

/// The configuration of a server.
#[derive(Clone)]
pub struct Config {
    /// The server's name.
    pub name: String,
    /// The address that edge nodes connect to.
    pub listen: SocketAddr,
    /// The worker pool's address.
    pub pool_address: SocketAddr,
    /// The membership service's address.
    pub membership_address: SocketAddr,
    /// The upstream dependency's address. Required if any request class makes calls.
    pub dependency_address: Option<SocketAddr>,
    /// The maximum duration of a graceful shutdown, after which the process is killed.
    pub stop_timeout: Duration,
    /// The server's memory limit in bytes.
    pub memory_bytes: usize,
    /// The maximum number of sockets that the server may have open.
    pub max_sockets: usize,
    /// The maximum size of a result in bytes.
    pub max_result_bytes: usize,
    /// The platform's random seed for this start.
    pub seed: String,
    /// The maximum backoff between failed load reports, if the service file sets it.
    pub max_report_backoff: Option<Duration>,
    /// Whether the service file asks for JSON log lines.
    pub json_log: bool,
    /// The versioned configuration, if the service file names one.
    pub agreement: Option<AgreementConfig>,
    /// The start-up options from the service file.
    pub start: aldercrank_service_config::StartConfig,
    /// The settings of the admission module.
    pub settings: Settings,
}

fn read_file(path: &str) -> Result<String, ConfigError> {
    let read = std::fs::read_to_string(path);
    read.map_err(|source| ConfigError::Unreadable { path: path.to_string(), source })
}

impl Config {
    /// Loads the platform's file, which is `path` or the one that `ROUTER_CONFIG` names, and the service file, if one
    /// is given.
    ///
    /// # Errors
    ///
    /// Names the first invalid field of the platform's file, or all faults of the service file.
    pub fn load(path: Option<&str>, service: Option<&str>) -> Result<Config, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = path.map(str::to_string).or_else(|| variable("ROUTER_CONFIG"));
        let path = path.ok_or(ConfigError::NoFile)?;
        let text = read_file(&path)?;
        let mut config = Config::parse(&text, variable)
            .map_err(|source| ConfigError::Platform { path: path.clone(), source })?;
        if let Some(path) = service {
            let service = aldercrank_service_config::parse(&read_file(path)?)
                .map_err(|faults| FileFaults { path: path.to_string(), faults })?;
            config.apply(&service)?;
        }
        Ok(config)
    }

    fn apply(&mut self, service: &ServiceConfig) -> Result<(), ConfigError> {
        if let Some(kb) = service.results.max_kb {
            self.max_result_bytes = kb as usize * 1024;
        }
        self.json_log = service.log.json;
        self.start = service.start.clone();
        self.max_report_backoff = service.reports.max_backoff;
        if let Some(options) = &service.versioned_config {
            self.agreement = Some(self.initial_version(options)?);
        }
        Ok(())
    }

    fn initial_version(&self, options: &VersionedConfigOptions) -> Result<AgreementConfig, ConfigError> {
        let version = VersionedConfig::parse(&read_file(&options.version_file)?)
            .map_err(|faults| FileFaults { path: options.version_file.clone(), faults })?;
        if let Some(reason) = version.incompatibilities(&self.settings, &self.name).first() {
            return Err(ConfigError::Incompatible {
                path: options.version_file.clone(),
                reason: reason.to_string(),
            });
        }
        Ok(AgreementConfig {
            initial_version: version,
            state_dir: options.state_dir.as_ref().map(PathBuf::from),
            read_proposals: options.read_proposals,
            member_addresses: options.member_addresses.clone(),
            injected_fault: None,
        })
    }
}
