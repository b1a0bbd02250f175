//! What is wrong with a KDL file, and where.

use std::cmp::Ordering;
use std::fmt;
use thiserror::Error;

/// A fault at its position; displayed as `line:column: what`. Faults are ordered by position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
#[error("{line}:{column}: {what}")]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub what: FaultKind,
}

/// What is wrong at a position. Kinds with the same text are equal.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// The text is no KDL.
    InvalidKdl {
        /// The parser's message.
        message: String,
        /// The parser's advice.
        help: Option<String>,
    },
    /// A name is not known.
    UnknownName {
        /// The name.
        name: String,
        /// The known name that was probably meant.
        meant: Option<String>,
        /// All known names.
        known: Vec<String>,
    },
    /// A name occurs a second time.
    Duplicate {
        /// The name.
        name: String,
    },
    /// A block of settings has a value before it.
    UnexpectedValue {
        /// The block's name.
        name: String,
    },
    /// The block of settings is missing.
    MissingBlock {
        /// The block's name.
        name: String,
    },
    /// A setting with a value has a block too.
    UnexpectedBlock {
        /// What was expected.
        expected: String,
    },
    /// A setting has another number of values than one.
    WrongCount {
        /// What was expected.
        expected: String,
        /// How many values there are.
        found: usize,
    },
    /// A setting's value has a name.
    NamedValue {
        /// What was expected.
        expected: String,
        /// The name.
        name: String,
    },
    /// A setting has a value of another type, or out of its bounds.
    WrongValue {
        /// What was expected.
        expected: String,
        /// The value as `kind` displays it.
        found: String,
    },
    /// A fault that the user of the reader found, as a text.
    Other(String),
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FaultKind::InvalidKdl { message, help: None } => f.write_str(message),
            FaultKind::InvalidKdl { message, help: Some(help) } => write!(f, "{message} ({help})"),
            FaultKind::UnknownName { name, meant: Some(meant), .. } => {
                write!(f, "{name} is not known; did you mean {meant}?")
            }
            FaultKind::UnknownName { name, meant: None, known } => {
                write!(f, "{name} is not known; known here: {}", known.join(", "))
            }
            FaultKind::Duplicate { name } => {
                write!(f, "{name} stands here a second time; it may stand once")
            }
            FaultKind::UnexpectedValue { name } => {
                write!(f, "{name} takes no value, but a block of settings")
            }
            FaultKind::MissingBlock { name } => write!(f, "{name} needs a block of settings in braces"),
            FaultKind::UnexpectedBlock { expected } => write!(f, "{expected}, and no block"),
            FaultKind::WrongCount { expected, found } => write!(f, "{expected}, found {found}"),
            FaultKind::NamedValue { expected, name } => write!(f, "{expected}, found one named {name}"),
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
    /// Faults at one position are reported in the order of their texts.
    fn cmp(&self, other: &FaultKind) -> Ordering {
        self.to_string().cmp(&other.to_string())
    }
}
