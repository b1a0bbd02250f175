//! The value of an item.

use std::collections::BTreeSet;
use std::fmt;

/// The value of an item. Displays as it is written in the text of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number; time spans are in milliseconds.
    Number(f64),
    /// `#true` or `#false`.
    Flag(bool),
    /// A text, such as an effect or an address.
    Text(String),
    /// Names of servers.
    Names(BTreeSet<String>),
    /// Caller numbers.
    Callers(BTreeSet<u64>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Value::Number(number) => write!(f, "{number}"),
            Value::Flag(flag) => write!(f, "#{flag}"),
            Value::Text(word) => write!(f, "{word:?}"),
            Value::Names(names) => {
                let quoted: Vec<String> = names.iter().map(|name| format!("{name:?}")).collect();
                f.write_str(&quoted.join(" "))
            }
            Value::Callers(callers) => {
                let numbers: Vec<String> = callers.iter().map(u64::to_string).collect();
                f.write_str(&numbers.join(" "))
            }
        }
    }
}
