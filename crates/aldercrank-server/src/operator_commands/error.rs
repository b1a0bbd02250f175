//! Errors of the operators' commands, with their exit codes. Their texts are shown to operators.

use crate::config::ConfigError;
use aldercrank_protocol::http::HttpError;
use aldercrank_protocol::msgpack_rpc::ProtocolError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// What is wrong with a response.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The connection failed.
    #[error(transparent)]
    Connection(io::Error),
    /// No response was received, or none in time.
    #[error("no answer: {0}")]
    NoResponse(io::Error),
    /// The connection was closed before the response was complete.
    #[error("it closed without an answer; is there a rule book in its service file?")]
    Closed,
    /// The response is longer than any valid one.
    #[error("an answer without end")]
    TooLong,
    /// The response is no valid message.
    #[error("it said what is no answer: {0}")]
    InvalidMessage(ProtocolError),
    /// The response is no valid HTTP.
    #[error("it said what is no answer: {0}")]
    InvalidHttp(HttpError),
    /// The server's status is no JSON.
    #[error(transparent)]
    InvalidStatus(serde_json::Error),
    /// The server takes no part in the versioned configuration.
    #[error("it has no rule book")]
    NoVersionedConfig,
}

/// Why a request to a server or to the membership service failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The request could not be encoded.
    #[error(transparent)]
    Encoding(#[from] rmp_serde::encode::Error),
    /// There was no valid response.
    #[error("{at}: {error}")]
    Response {
        /// Who was asked.
        at: SocketAddr,
        /// What is wrong.
        error: ResponseError,
    },
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A version or a configuration can't be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// One of the versions to be compared can't be read.
    #[error(transparent)]
    Compared(ConfigError),
    /// The version can't be applied on the server.
    #[error("{server} can't go by it:\n{}", .incompatibilities.join("\n"))]
    Incompatible {
        /// The server's name.
        server: String,
        /// All incompatibilities.
        incompatibilities: Vec<String>,
    },
    /// The server has no version in force.
    #[error("{at} goes by no version yet")]
    NoVersion {
        /// The server.
        at: SocketAddr,
    },
    /// The server's version can't be read by this program.
    #[error("{at} has a text that can't be read here")]
    UnreadableVersion {
        /// The server.
        at: SocketAddr,
    },
    /// Neither a file nor a server is named, or both.
    #[error("name a FILE, or a server with --at ADDR")]
    NothingNamed,
    /// The membership service refused the request.
    #[error("the list service refuses it ({status}): {reason}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The response's body.
        reason: String,
    },
    /// The server that was asked for the decision is not a member of the committee.
    #[error("{at} is not on the committee; ask a member")]
    NotOnCommittee {
        /// The server.
        at: SocketAddr,
    },
    /// The committee decided otherwise.
    #[error("version {version} is not in force: {reason}")]
    NotInForce {
        /// The proposed version.
        version: String,
        /// Why.
        reason: String,
    },
    /// The committee has not decided in time.
    #[error("version {version} is not decided on after {waited:?}: {reason}")]
    Undecided {
        /// The proposed version.
        version: String,
        /// How long the decision was waited for.
        waited: Duration,
        /// What holds it up.
        reason: String,
    },
    /// No server responded.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    NoResponses(Vec<RequestError>),
    /// A request failed.
    #[error(transparent)]
    Request(#[from] RequestError),
}

impl CommandError {
    /// The program's exit code: 1 if the answer is no, 2 if there is no answer.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Config(_)
            | CommandError::Incompatible { .. }
            | CommandError::NoVersion { .. }
            | CommandError::UnreadableVersion { .. }
            | CommandError::Refused { .. }
            | CommandError::NotInForce { .. }
            | CommandError::Undecided { .. } => 1,
            CommandError::Compared(_)
            | CommandError::NothingNamed
            | CommandError::NotOnCommittee { .. }
            | CommandError::NoResponses(_)
            | CommandError::Request(_) => 2,
        }
    }
}
