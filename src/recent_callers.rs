//! Whose txns were read of late, and how long their callers would wait. No decision lives here.

use crate::types::CallerId;
use std::collections::VecDeque;

/// Txns whose callers and waits are compared.
pub const COMPARED: usize = 100;

#[derive(Debug, Default)]
pub struct RecentCallers {
    last: VecDeque<(CallerId, usize)>,
    same: f64,
}

impl RecentCallers {
    /// How often two of them came from one caller.
    pub fn same(&self) -> f64 {
        self.same
    }

    /// One of this caller's, with a wait in this part of the whole. Gives the share of those before it that had
    /// about the same wait, and whether its caller had just this one.
    pub fn came(&mut self, caller: CallerId, part: usize) -> (f64, bool) {
        let n = self.last.len() as f64;
        let near = self.last.iter().filter(|h| h.1.abs_diff(part) <= 1).count() as f64;
        let known = self.last.contains(&(caller, part));
        let same = self.last.iter().filter(|h| h.0 == caller).count() as f64;
        self.same += (same / n.max(1.0) - self.same) / (n + 1.0);
        self.last.push_front((caller, part));
        self.last.truncate(COMPARED);
        (if n > 0.0 { near / n } else { 1.0 }, known)
    }
}
