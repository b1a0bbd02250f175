//! Why a document is no scenario.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// What contradicts itself in a scenario as a whole.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Contradiction {
    /// No class has a share of the requests.
    #[error("the shares of all products come to nothing: nobody would ask for anything")]
    NoRequests,
    /// The deadline of this class comes before its latency target.
    #[error("{class}: its expiry comes before its SLA time")]
    DeadlineBeforeTarget {
        /// The class.
        class: String,
    },
    /// A step begins after the end of the run.
    #[error("{fault} at {at} s: the run is over after {span} s")]
    StepAfterEnd {
        /// The fault's name in the document.
        fault: String,
        /// When it begins, in seconds.
        at: f64,
        /// The span of the run in seconds.
        span: f64,
    },
    /// A fault of the versioned configuration in a scenario without one.
    #[error("{fault}: there is no rule book; say `rules committee=3` first")]
    NoVersionedConfig {
        /// The fault's name in the document.
        fault: String,
    },
    /// There are fewer servers than committee members.
    #[error("the committee has more members than there are servers")]
    CommitteeTooLarge,
    /// There are fewer servers than zones.
    #[error("there are more zones than servers")]
    TooManyZones,
    /// The edge nodes may make more connections than a server takes.
    #[error(
        "{edges} edge nodes with {connections_each} connections each, and one for checks, come to {connections} on a \
         server that takes {capacity} (0.7 of sockets={sockets}): fewer, or more sockets"
    )]
    TooManyConnections {
        /// Edge nodes.
        edges: usize,
        /// Connections of each to one server.
        connections_each: usize,
        /// Connections to one server in all, with those for health checks.
        connections: usize,
        /// How many of these a server takes.
        capacity: usize,
        /// The descriptor limit of a server.
        sockets: usize,
    },
}

/// One thing that is wrong with a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A fault at a place in a document.
    #[error("{place}{fault}")]
    Document {
        /// The file and a colon; empty for a document that is no file.
        place: String,
        /// Line, column, what is wrong, and advice.
        fault: String,
    },
    /// The scenario contradicts itself.
    #[error("{place}{contradiction}")]
    Contradictory {
        /// The file, a colon and a space; empty for a document that is no file.
        place: String,
        /// The contradiction.
        contradiction: Contradiction,
    },
}

/// All that is wrong with a scenario. Displayed one to a line.
#[derive(Debug)]
pub struct ScenarioErrors(pub Vec<ScenarioError>);

impl fmt::Display for ScenarioErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, error) in self.0.iter().enumerate() {
            let separator = if n == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ScenarioErrors {}
