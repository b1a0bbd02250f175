//! Errors of proposals.

use thiserror::Error;

/// Why a version is not taken as a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// Its number is not above the number decided last.
    #[error("number {number} has already been decided; the next version needs a number above {last}")]
    AlreadyDecided {
        /// The proposed number.
        number: u64,
        /// The number decided last.
        last: u64,
    },
    /// A decision on a higher number has been accepted, and may have been chosen.
    #[error("a decision on the higher number {number} is in progress")]
    DecisionInProgress {
        /// The higher number.
        number: u64,
    },
    /// The text does not match its version id or can't be parsed.
    #[error("its text is not what its digest says, or can't be read")]
    UnreadableText,
}
