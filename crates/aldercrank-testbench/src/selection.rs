//! Selects the scenarios of a check: all of them, all but some, or only one.

use std::io;

/// The scenarios that a command line selects, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Selection {
    /// Scenarios to skip.
    pub(crate) except: Vec<String>,
    /// The only scenario to play, if given.
    pub(crate) only: Option<String>,
}

impl Selection {
    /// Whether the scenario with this name is selected.
    pub(crate) fn includes(&self, name: &str) -> bool {
        let selected = self.only.as_deref().is_none_or(|only| only == name);
        selected && !self.except.iter().any(|skipped| skipped == name)
    }

    /// Fails if anything is selected, for a check without scenarios.
    pub(crate) fn check_is_empty(&self) -> io::Result<()> {
        if self.except.is_empty() && self.only.is_none() {
            return Ok(());
        }
        Err(io::Error::other("this check has no scenarios: --except and --only do not apply"))
    }

    /// Fails if a selected name is not among `names`.
    pub(crate) fn check(&self, names: &[String]) -> io::Result<()> {
        let unknown = self.except.iter().chain(&self.only).find(|name| !names.contains(name));
        match unknown {
            Some(name) => Err(io::Error::other(format!("the check has no scenario named {name}"))),
            None => Ok(()),
        }
    }
}
