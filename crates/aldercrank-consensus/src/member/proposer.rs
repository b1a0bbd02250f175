//! The proposer: rounds of the Paxos instance that decides on the version after the committed state.

use super::quorum::Quorum;
use crate::messages::{AcceptedDecision, Ballot, Decision, ServerName};
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Round {
    Idle,
    /// Phase 1.
    Preparing {
        started_at: Duration,
        own_decision: Decision,
        /// The accepted decision with the highest ballot among the promises.
        highest_accepted: Option<AcceptedDecision>,
        promised_by: BTreeSet<ServerName>,
    },
    /// Phase 2.
    Accepting {
        started_at: Duration,
        decision: Decision,
        accepted_by: BTreeSet<ServerName>,
    },
}

/// A member's proposer. It has at most one round in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposer {
    round: Round,
    /// Ballot of the current round, or of the last one if there is none.
    ballot: Ballot,
    phase_timeout: Duration,
}

impl Proposer {
    pub(super) fn new(name: ServerName, incarnation: u64, phase_timeout: Duration) -> Proposer {
        let ballot = Ballot { round: 0, proposer: Some(name), incarnation };
        Proposer { round: Round::Idle, ballot, phase_timeout }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.round == Round::Idle
    }

    pub(super) fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Begins a round with a ballot above every ballot known here, and returns the ballot. `own_decision` is proposed
    /// unless a promise reports a decision that may have been chosen.
    pub(super) fn begin_round(&mut self, now: Duration, own_decision: Decision, promised: &Ballot) -> Ballot {
        self.ballot.round = self.ballot.round.max(promised.round) + 1;
        self.round = Round::Preparing {
            started_at: now,
            own_decision,
            highest_accepted: None,
            promised_by: BTreeSet::new(),
        };
        self.ballot.clone()
    }

    /// Notes the ballot of another proposer, so that the next round here gets a ballot above it.
    pub(super) fn observe_ballot(&mut self, ballot: &Ballot) {
        self.ballot.round = self.ballot.round.max(ballot.round);
    }

    pub(super) fn abandon_round(&mut self) {
        self.round = Round::Idle;
    }

    /// When the current phase of the round times out, which ends the round.
    pub(super) fn phase_deadline(&self) -> Option<Duration> {
        match &self.round {
            Round::Idle => None,
            Round::Preparing { started_at, .. } | Round::Accepting { started_at, .. } => {
                Some(*started_at + self.phase_timeout)
            }
        }
    }

    /// Ends the round if its current phase has timed out.
    pub(super) fn expire_round(&mut self, now: Duration) {
        if self.phase_deadline().is_some_and(|deadline| now >= deadline) {
            self.round = Round::Idle;
        }
    }

    /// Records a promise. Once a majority has promised, begins phase 2 and returns the decision to propose in it.
    pub(super) fn record_promise(
        &mut self,
        now: Duration,
        from: &ServerName,
        accepted: Option<AcceptedDecision>,
        quorum: Quorum,
    ) -> Option<Decision> {
        let Round::Preparing { highest_accepted, promised_by, own_decision, started_at } = &mut self.round
        else {
            return None;
        };
        if now >= *started_at + self.phase_timeout {
            return None;
        }
        promised_by.insert(from.clone());
        // A decision that may have been chosen already must be proposed again.
        if accepted.as_ref().map(|a| &a.ballot) > highest_accepted.as_ref().map(|a| &a.ballot) {
            *highest_accepted = accepted;
        }
        if !quorum.reached_by(promised_by.len()) {
            return None;
        }
        let decision =
            highest_accepted.as_ref().map_or(&*own_decision, |accepted| &accepted.decision).clone();
        self.round =
            Round::Accepting { started_at: now, decision: decision.clone(), accepted_by: BTreeSet::new() };
        Some(decision)
    }

    /// Records an acceptance. Returns the decision once a majority has accepted it, that is, once it is chosen.
    pub(super) fn record_acceptance(
        &mut self,
        now: Duration,
        from: &ServerName,
        quorum: Quorum,
    ) -> Option<Decision> {
        let Round::Accepting { decision, accepted_by, started_at } = &mut self.round else { return None };
        // A member that has lost its acceptor state does not vote until any round that it took part in is over. A
        // response that arrives after the deadline may have been sent before the loss.
        if now >= *started_at + self.phase_timeout {
            return None;
        }
        accepted_by.insert(from.clone());
        quorum.reached_by(accepted_by.len()).then(|| decision.clone())
    }
}
