//! The acceptor of one Paxos instance: its promise, what it has accepted, and the state that it stores durably.

use crate::messages::{AcceptedDecision, Ballot, CommittedState, Decision};
use std::sync::Arc;
use std::time::Duration;

/// What a member must not lose in a restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct AcceptorState {
    /// The committed state.
    #[serde(rename = "standing")]
    pub committed: CommittedState,
    /// Text of the committed version.
    pub text: Arc<str>,
    /// The highest ballot promised for the next decision.
    pub promised: Ballot,
    /// The decision accepted last for the next number.
    pub accepted: Option<AcceptedDecision>,
    /// Text of the accepted decision's version.
    pub accepted_text: Option<Arc<str>>,
}

/// Acceptor for the decision that follows the committed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Acceptor {
    promised: Ballot,
    accepted: Option<AcceptedDecision>,
    /// Since when a decision has been accepted without being known to be chosen.
    undecided_since: Option<Duration>,
}

impl Acceptor {
    /// An acceptor with this state.
    pub(super) fn new(now: Duration, promised: Ballot, accepted: Option<AcceptedDecision>) -> Acceptor {
        let undecided_since = accepted.as_ref().map(|_| now);
        Acceptor { promised, accepted, undecided_since }
    }

    pub(super) fn promised(&self) -> &Ballot {
        &self.promised
    }

    pub(super) fn accepted(&self) -> Option<&AcceptedDecision> {
        self.accepted.as_ref()
    }

    /// Number of the accepted decision.
    pub(super) fn accepted_number(&self) -> Option<u64> {
        self.accepted.as_ref().map(|accepted| accepted.decision.version_id.number)
    }

    /// Promises to accept nothing below this ballot. It must not be below the promised one.
    pub(super) fn promise(&mut self, ballot: Ballot) {
        self.promised = ballot;
    }

    /// Accepts a decision under this ballot. It must not be below the promised one.
    pub(super) fn accept(&mut self, now: Duration, ballot: Ballot, decision: Decision) {
        self.promised = ballot.clone();
        self.accepted = Some(AcceptedDecision { ballot, decision });
        self.undecided_since.get_or_insert(now);
    }

    /// Takes over what the other members have accepted, after a restart without acceptor state.
    pub(super) fn recover(&mut self, now: Duration, accepted: Option<AcceptedDecision>) {
        self.undecided_since = accepted.as_ref().map(|_| now);
        self.accepted = accepted;
    }

    /// Returns the accepted decision if it has been undecided for at least `wait`, and restarts the wait.
    pub(super) fn take_overdue(&mut self, now: Duration, wait: Duration) -> Option<Decision> {
        let accepted = self.accepted.as_ref()?;
        self.undecided_since.filter(|since| now >= *since + wait)?;
        self.undecided_since = Some(now);
        Some(accepted.decision.clone())
    }
}
