//! Errors in batches, and errors that end the program.

use std::io;
use thiserror::Error;

/// The part of a batch that is missing or has the wrong type.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidPart {
    /// The simulator's clock.
    #[error("`ts` is missing, or not an unsigned 64-bit integer")]
    Timestamp,
    /// The events, grouped by instance.
    #[error("`groups` is missing, or not an array")]
    Groups,
    /// The number of a group's instance, or its events.
    #[error("a group lacks an unsigned integer `i` or an array `items`")]
    GroupFields,
}

/// Why a line is not a valid batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// It is not a JSON document.
    #[error("invalid batch: {source} (byte {byte})")]
    Json {
        /// The error of the JSON parser.
        source: serde_json::Error,
        /// Position in the line, in bytes, counted from 0.
        byte: usize,
    },
    /// A part is missing or has the wrong type.
    #[error("invalid batch: {part} (byte {byte})")]
    InvalidPart {
        /// The part.
        part: InvalidPart,
        /// Length of the line, in bytes.
        byte: usize,
    },
}

/// Why the program ends before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// A line is not UTF-8.
    #[error("invalid batch: not UTF-8 (byte {byte})")]
    NotUtf8 {
        /// Position of the first byte in the line that is not UTF-8, counted from 0.
        byte: usize,
    },
    /// A line is not a valid batch.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// Standard output cannot be written.
    #[error("cannot write standard output: {0}")]
    Write(#[source] io::Error),
}
