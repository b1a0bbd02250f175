//! The contents of a service file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The program's own settings, a field for each block of the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// The block `results`.
    pub results: ResultConfig,
    /// The block `reports`.
    pub reports: ReportConfig,
    /// The block `log`.
    pub log: LogConfig,
    /// The block `rules`; without it there is no versioned configuration.
    pub versioned_config: Option<VersionedConfigOptions>,
    /// The block `start`.
    pub start: Start,
}

/// How a server starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Start {
    /// Whether the progress of the slow start is followed, logged and added to load reports.
    pub report_share: bool,
}

/// How a server takes part in the versioned configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedConfigOptions {
    /// The file of the version that the fleet starts from.
    pub version_file: String,
    /// The directory of the server's durable state; without it nothing outlasts a restart.
    pub state_dir: Option<String>,
    /// Whether proposed versions are read from the membership service.
    pub read_proposals: bool,
    /// Addresses of committee members that differ from those in the version, by member.
    pub member_addresses: BTreeMap<String, SocketAddr>,
}

/// The log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogConfig {
    /// A JSON document a line, in place of text.
    pub json: bool,
}

/// Load reports to the membership service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportConfig {
    /// The longest backoff between failed reports. The default is well under the lifetime of an endpoint's entry.
    pub max_backoff: Option<Duration>,
}

/// Results of runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResultConfig {
    /// The longest result of a run in KB. The default is the server's own bound.
    pub max_kb: Option<u32>,
}
