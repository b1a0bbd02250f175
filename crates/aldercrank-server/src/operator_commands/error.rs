//! Errors of the operator commands, with their exit codes. Operators see their texts.

use super::client::MAX_RESPONSE_BYTES;
use crate::config::ConfigError;
use aldercrank_protocol::http::HttpError;
use aldercrank_protocol::msgpack_rpc::ProtocolError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why there is no valid response to a request.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// Connecting or sending the request failed.
    #[error(transparent)]
    Connection(io::Error),
    /// Reading the response failed or timed out.
    #[error("no response: {0}")]
    NoResponse(io::Error),
    /// The connection was closed before the response was complete.
    #[error("connection closed before the response was complete; does the server's service file have a rules block?")]
    Closed,
    /// The response is longer than any valid one.
    #[error("response too long: {} MiB or more", MAX_RESPONSE_BYTES >> 20)]
    TooLong,
    /// The response is not a valid MessagePack-RPC message.
    #[error("invalid MessagePack-RPC response: {0}")]
    InvalidMessage(ProtocolError),
    /// The response is not valid HTTP.
    #[error("invalid HTTP response: {0}")]
    InvalidHttp(HttpError),
    /// The server's status is not valid JSON.
    #[error("status is not valid JSON: {0}")]
    InvalidStatus(serde_json::Error),
    /// The server sent no status, as one does that takes no part in the versioned configuration.
    #[error("no status received; is the versioned configuration enabled on this server?")]
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
        /// The address that the request was sent to.
        at: SocketAddr,
        /// Why there is no valid response.
        error: ResponseError,
    },
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A version or a configuration can't be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// One of the versions that `diff` compares can't be read.
    #[error(transparent)]
    DiffInput(ConfigError),
    /// The version can't be applied on the server.
    #[error("{server} can't apply this version:\n{}", .incompatibilities.join("\n"))]
    Incompatible {
        /// The server's name.
        server: String,
        /// All incompatibilities.
        incompatibilities: Vec<String>,
    },
    /// The server has no version in force.
    #[error("{at} has no version in force yet")]
    NoVersion {
        /// The server.
        at: SocketAddr,
    },
    /// This program can't parse the server's version.
    #[error("this program can't parse the version in force on {at}")]
    UnreadableVersion {
        /// The server.
        at: SocketAddr,
    },
    /// `show` needs either a file or a server.
    #[error("name either a FILE or a server with --at ADDR")]
    InvalidSource,
    /// The membership service refused the request.
    #[error("the membership service refused the request with HTTP status {status}: {reason}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The response's body.
        reason: String,
    },
    /// The server that was polled for the decision is not on the committee.
    #[error("{at} is not on the committee; name a member with --at")]
    NotOnCommittee {
        /// The server.
        at: SocketAddr,
    },
    /// The committee refused the version, or decided on another one.
    #[error("version {version} is not in force: {reason}")]
    NotInForce {
        /// The proposed version.
        version: String,
        /// Why it is not in force.
        reason: String,
    },
    /// The committee did not decide in time.
    #[error("version {version} was not decided on within {waited:?}: {reason}")]
    Undecided {
        /// The proposed version.
        version: String,
        /// How long the command waited for the decision.
        waited: Duration,
        /// What delays the decision.
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
    /// The program's exit code: 1 if the command has a negative result, 2 if it has no result.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Config(_)
            | CommandError::Incompatible { .. }
            | CommandError::NoVersion { .. }
            | CommandError::UnreadableVersion { .. }
            | CommandError::Refused { .. }
            | CommandError::NotInForce { .. }
            | CommandError::Undecided { .. } => 1,
            CommandError::DiffInput(_)
            | CommandError::InvalidSource
            | CommandError::NotOnCommittee { .. }
            | CommandError::NoResponses(_)
            | CommandError::Request(_) => 2,
        }
    }
}
