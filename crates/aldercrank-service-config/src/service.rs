//! The contents of a service file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A server's own settings, with a field for each block of the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// The block `results`.
    pub results: ResultConfig,
    /// The block `reports`.
    pub reports: ReportConfig,
    /// The block `log`.
    pub log: LogConfig,
    /// The block `rules`. Without it, the server takes no part in the versioned configuration.
    pub versioned_config: Option<VersionedConfigOptions>,
    /// The block `start`.
    pub start: StartConfig,
}

/// How a server starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartConfig {
    /// Whether the progress of the slow start is tracked, logged and included in load reports.
    pub report_share: bool,
}

/// How a server takes part in the versioned configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedConfigOptions {
    /// The file of the initial version of the fleet.
    pub version_file: String,
    /// The directory of the server's durable state. Without it, no state survives a restart.
    pub state_dir: Option<String>,
    /// Whether proposed versions are read from the membership service.
    pub read_proposals: bool,
    /// Addresses of committee members, by member name, where they differ from those in the version.
    pub member_addresses: BTreeMap<String, SocketAddr>,
}

/// How a server logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogConfig {
    /// Whether each log record is one line of JSON in place of text.
    pub json: bool,
}

/// How a server reports its load to the membership service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportConfig {
    /// The longest backoff between failed reports. The default is well under the lifetime of an endpoint's entry.
    pub max_backoff: Option<Duration>,
}

/// Limits on the results of runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResultConfig {
    /// The largest result of a run in KB. The default is the server's built-in limit.
    pub max_kb: Option<u32>,
}
