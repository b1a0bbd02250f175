//! Errors of the protocol.

use thiserror::Error;

/// Why a text is not taken as a proposed version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// Its number is not above the number decided last.
    #[error("{number} has been decided on; the last decision was {last}, the next is higher")]
    AlreadyDecided {
        /// The proposed number.
        number: u64,
        /// The number decided last.
        last: u64,
    },
    /// A decision on this higher number has been accepted, and may have been chosen.
    #[error("{number} is being decided on")]
    DecisionInProgress {
        /// The accepted number.
        number: u64,
    },
    /// The text does not match its version id or can't be parsed.
    #[error("its text is not what its digest says, or can't be read")]
    UnreadableText,
}
