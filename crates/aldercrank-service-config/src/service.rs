//! The contents of a service file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The program's own settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The block `results`.
    pub results: Results,
    /// The block `reports`.
    pub reports: Reports,
    /// The block `log`.
    pub log: Log,
    /// The block `rules`; without it there is no versioned configuration.
    pub rules: Option<Rules>,
    /// The block `start`.
    pub start: Start,
}

/// How a server starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Start {
    /// Whether the progress of the slow start is followed, logged and added to load reports.
    pub tell_share: bool,
}

/// How a server takes part in the versioned configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// The file of the version that the fleet starts from.
    pub book: String,
    /// The directory of the server's durable state; without it nothing outlasts a restart.
    pub dir: Option<String>,
    /// Whether proposed versions are read from the membership service.
    pub read_list: bool,
    /// Addresses of committee members that differ from those in the version, by member.
    pub reach: BTreeMap<String, SocketAddr>,
}

/// The log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// A JSON document a line, in place of text.
    pub json: bool,
}

/// Load reports to the membership service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// The longest backoff between failed reports in ms. The default is well under the lifetime of an endpoint's entry.
    pub longest_ms: Option<u32>,
}

/// Results of runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// The longest result of a run in KB. The default is the server's own bound.
    pub longest_kb: Option<u32>,
}
