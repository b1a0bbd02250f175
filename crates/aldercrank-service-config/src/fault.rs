//! Faults of a KDL file, with their positions.

use std::cmp::Ordering;
use std::fmt;
use thiserror::Error;

/// A fault and its position, displayed as `line:column: kind`. Faults are ordered by position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
#[error("{line}:{column}: {kind}")]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong at a position. Kinds that are displayed alike are equal.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// The file is not valid KDL.
    InvalidKdl {
        /// The message of the KDL parser.
        message: String,
        /// The parser's hint on how to fix it.
        help: Option<String>,
    },
    /// The name of a node or value is unknown.
    UnknownName {
        /// The name.
        name: String,
        /// The most similar known name, if one is similar enough.
        suggestion: Option<String>,
        /// All names that are known at this place.
        known: Vec<String>,
    },
    /// A name occurs more than once.
    Duplicate {
        /// The name.
        name: String,
    },
    /// A node that only takes a block has a value.
    UnexpectedValue {
        /// The node's name.
        name: String,
    },
    /// A node that takes a block has none.
    MissingBlock {
        /// The node's name.
        name: String,
    },
    /// A setting that only takes a value has a block.
    UnexpectedBlock {
        /// What was expected.
        expected: String,
    },
    /// A setting does not have exactly one value.
    WrongValueCount {
        /// What was expected.
        expected: String,
        /// The number of values.
        found: usize,
    },
    /// A setting has a KDL property (`name=value`) in place of a plain value.
    UnexpectedProperty {
        /// What was expected.
        expected: String,
        /// The property's name.
        name: String,
    },
    /// A setting has a value of the wrong type, or one that is out of bounds.
    WrongValue {
        /// What was expected.
        expected: String,
        /// The value, described by [`describe_value`](crate::describe_value).
        found: String,
    },
    /// A fault that is found by the code that uses the reader.
    Other(String),
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FaultKind::InvalidKdl { message, help: None } => f.write_str(message),
            FaultKind::InvalidKdl { message, help: Some(help) } => write!(f, "{message} ({help})"),
            FaultKind::UnknownName { name, suggestion: Some(suggestion), .. } => {
                write!(f, "{name} is not known; did you mean {suggestion}?")
            }
            FaultKind::UnknownName { name, suggestion: None, known } => {
                write!(f, "{name} is not known; known here: {}", known.join(", "))
            }
            FaultKind::Duplicate { name } => {
                write!(f, "{name} is repeated; it may occur only once")
            }
            FaultKind::UnexpectedValue { name } => {
                write!(f, "{name} takes a block of settings and no value")
            }
            FaultKind::MissingBlock { name } => write!(f, "{name} needs a block of settings in braces"),
            FaultKind::UnexpectedBlock { expected } => write!(f, "{expected}, and no block"),
            FaultKind::WrongValueCount { expected, found } => write!(f, "{expected}, found {found} values"),
            FaultKind::UnexpectedProperty { expected, name } => {
                write!(f, "{expected}, found a property named {name}")
            }
            FaultKind::WrongValue { expected, found } => write!(f, "{expected}, found {found}"),
            FaultKind::Other(text) => f.write_str(text),
        }
    }
}

impl From<String> for FaultKind {
    fn from(text: String) -> FaultKind {
        FaultKind::Other(text)
    }
}

impl PartialEq for FaultKind {
    fn eq(&self, other: &FaultKind) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for FaultKind {}

impl PartialOrd for FaultKind {
    fn partial_cmp(&self, other: &FaultKind) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for FaultKind {
    /// Orders faults at the same position by the text that is displayed for them.
    fn cmp(&self, other: &FaultKind) -> Ordering {
        self.to_string().cmp(&other.to_string())
    }
}
