//! Which scenarios of a check are played: all of them, all but some, or one alone.

use std::io;

/// The scenarios that a command line selects, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Selection {
    /// These are left out.
    pub(crate) except: Vec<String>,
    /// This one alone is played.
    pub(crate) only: Option<String>,
}

impl Selection {
    /// Whether the scenario of this name is to be played.
    pub(crate) fn includes(&self, name: &str) -> bool {
        let selected = self.only.as_deref().is_none_or(|only| only == name);
        selected && !self.except.iter().any(|left_out| left_out == name)
    }

    /// An error where a check without scenarios is asked for some of them.
    pub(crate) fn check_is_empty(&self) -> io::Result<()> {
        if self.except.is_empty() && self.only.is_none() {
            return Ok(());
        }
        Err(io::Error::other("this check has no scenarios to select"))
    }

    /// An error where a selected name is none of these.
    pub(crate) fn check(&self, names: &[String]) -> io::Result<()> {
        let unknown = self.except.iter().chain(&self.only).find(|name| !names.contains(name));
        match unknown {
            Some(name) => Err(io::Error::other(format!("the check has no scenario named {name}"))),
            None => Ok(()),
        }
    }
}
