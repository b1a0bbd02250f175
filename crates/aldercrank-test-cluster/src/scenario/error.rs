//! Errors in scenario documents.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// A contradiction between parts of a scenario, each of which is valid by itself.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Contradiction {
    /// The shares of all request classes are 0.
    #[error("no product has a share above 0, so no requests would be sent")]
    NoRequests,
    /// The deadline of this class comes before its latency target.
    #[error("{class}: expiry-ms is less than sla-ms")]
    DeadlineBeforeTarget {
        /// The name of the class.
        class: String,
    },
    /// A step begins at or after the end of the run.
    #[error("{fault} at {at} s: the run ends after {span} s")]
    StepAfterEnd {
        /// The fault's name in the document.
        fault: String,
        /// The start of the step, in seconds since the callers started.
        at: f64,
        /// The duration of the run in seconds.
        span: f64,
    },
    /// A fault that needs the versioned configuration, in a scenario without one.
    #[error("{fault}: the scenario has no versioned configuration; add a node such as `rules committee=3`")]
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
    /// The edge nodes may open more connections than a server accepts.
    #[error(
        "{edges} edge nodes with {connections_each} connections each, and one for health checks, make {connections} \
         connections to a server that takes {capacity} (0.7 of sockets={sockets}): lower edges= or connections=, or \
         raise sockets="
    )]
    TooManyConnections {
        /// The number of edge nodes.
        edges: usize,
        /// Connections of one edge node to one server, without those for health checks.
        connections_each: usize,
        /// Connections of all edge nodes to one server, including those for health checks.
        connections: usize,
        /// The number of these connections that a server accepts.
        capacity: usize,
        /// The descriptor limit of a server process.
        sockets: usize,
    },
}

/// An error in a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A file could not be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// An error at a position in a document.
    #[error("{file}{message}")]
    Document {
        /// The path of the file and a colon; empty if the document does not come from a file.
        file: String,
        /// `line:column: ` and the error.
        message: String,
    },
    /// Parts of the scenario contradict each other.
    #[error("{file}{contradiction}")]
    Contradictory {
        /// The path of the file, a colon and a space; empty if the document does not come from a file.
        file: String,
        /// The contradiction.
        contradiction: Contradiction,
    },
}

/// All errors in a scenario, displayed one per line.
#[derive(Debug)]
pub struct ScenarioErrors(pub Vec<ScenarioError>);

impl fmt::Display for ScenarioErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ScenarioErrors {}
