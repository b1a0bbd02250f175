//! Errors of batches and of the program around them.

use std::io;
use thiserror::Error;

/// A part of a batch without which it cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MissingPart {
    /// The time of the batch.
    #[error("a clock under ts")]
    Clock,
    /// The events by instance.
    #[error("a list under groups")]
    Groups,
    /// The number of the instance, or its events.
    #[error("i and items in a group")]
    GroupFields,
}

/// Why a line is not a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// It is not a JSON document.
    #[error("not a batch: {source} (byte {byte})")]
    Json {
        /// What the JSON parser found.
        source: serde_json::Error,
        /// Byte of the line, counted from 0.
        byte: usize,
    },
    /// A part is missing or has another type.
    #[error("not a batch: {part} is missing (byte {byte})")]
    Missing {
        /// The part.
        part: MissingPart,
        /// Length of the line in bytes.
        byte: usize,
    },
}

/// Why the program ends before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// A line is not UTF-8.
    #[error("not a batch: not UTF-8 (byte {byte})")]
    NotUtf8 {
        /// The first byte of the line that is not UTF-8, counted from 0.
        byte: usize,
    },
    /// A line is not a batch.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// Standard output cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
}
