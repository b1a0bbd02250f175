//! Read confirmation (read index): confirms that the committed state is still the newest.
//!
//! A state is confirmed as of the time at which a check was sent, once a majority has responded that it knows the same
//! state and has accepted nothing that follows it. A later decision needs a majority too. The two majorities share a
//! member, which can only have accepted that decision after its response to the check.

use super::quorum::Quorum;
use crate::messages::ServerName;
use std::collections::BTreeSet;
use std::time::Duration;

/// The current check, and the members that have confirmed the state in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CheckRound {
    sent_at: Duration,
    confirmed_by: BTreeSet<ServerName>,
}

/// The checks of a member and their result.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReadConfirmation {
    check_due: Duration,
    check: Option<CheckRound>,
    /// When the last check that a majority has confirmed was sent.
    confirmed_at: Option<Duration>,
}

impl ReadConfirmation {
    pub(super) fn new(now: Duration) -> ReadConfirmation {
        ReadConfirmation { check_due: now, check: None, confirmed_at: None }
    }

    pub(super) fn check_due(&self) -> Duration {
        self.check_due
    }

    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Begins a check that is sent now. The next one is due after `interval`.
    pub(super) fn begin_check(&mut self, now: Duration, interval: Duration) {
        self.check_due = now + interval;
        self.check = Some(CheckRound { sent_at: now, confirmed_by: BTreeSet::new() });
    }

    /// Discards the check and the confirmation, after a change of the committed state.
    pub(super) fn reset(&mut self) {
        (self.check, self.confirmed_at) = (None, None);
    }

    /// Records that a member has confirmed the state in the current check. Returns whether a majority has.
    pub(super) fn record(&mut self, from: &ServerName, quorum: Quorum) -> bool {
        let Some(check) = &mut self.check else { return false };
        check.confirmed_by.insert(from.clone());
        let confirmed = quorum.reached_by(check.confirmed_by.len());
        if confirmed {
            self.confirmed_at = Some(check.sent_at);
        }
        confirmed
    }
}
