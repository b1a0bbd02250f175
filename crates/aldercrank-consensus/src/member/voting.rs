//! A member's part in Paxos rounds, as acceptor and as proposer.

use super::acceptor::AcceptorState;
use super::environment::MemberEnvironment;
use super::requests::Purpose;
use super::state::CommitteeMember;
use crate::messages::{Ballot, Decision, PeerRequest, PeerResponse, ServerName, Verdict};
use std::time::Duration;

impl CommitteeMember {
    /// The response to a ballot that must be rejected; `None` if it can be considered. `after` is the number of the
    /// decision that precedes the one to vote on.
    fn ballot_refusal(&self, after: u64, ballot: &Ballot) -> Option<PeerResponse> {
        if !self.may_vote() {
            Some(PeerResponse::Unavailable)
        } else if after != self.committed.last_decided {
            Some(PeerResponse::DifferentState { committed: self.committed })
        } else if ballot < self.acceptor.promised() {
            Some(PeerResponse::BallotSuperseded { ballot: self.acceptor.promised().clone() })
        } else {
            None
        }
    }

    pub(super) fn handle_prepare(
        &mut self,
        after: u64,
        ballot: Ballot,
        environment: &mut impl MemberEnvironment,
    ) -> PeerResponse {
        if let Some(refusal) = self.ballot_refusal(after, &ballot) {
            return refusal;
        }
        self.acceptor.promise(ballot);
        self.persist(environment);
        PeerResponse::Promised { accepted: self.acceptor.accepted().cloned() }
    }

    pub(super) fn handle_accept(
        &mut self,
        now: Duration,
        after: u64,
        ballot: Ballot,
        decision: Decision,
        environment: &mut impl MemberEnvironment,
    ) -> PeerResponse {
        if let Some(refusal) = self.ballot_refusal(after, &ballot) {
            return refusal;
        }
        // An acceptor must be able to send the text of what it has accepted.
        if decision.verdict == Verdict::Committed && self.proposals.find(&decision.version_id).is_none() {
            return PeerResponse::TextMissing { version_id: decision.version_id };
        }
        self.acceptor.accept(now, ballot, decision);
        self.persist(environment);
        PeerResponse::Accepted
    }

    pub(super) fn persist(&self, environment: &mut impl MemberEnvironment) {
        let accepted = self.acceptor.accepted();
        let proposal = accepted.and_then(|accepted| self.proposals.find(&accepted.decision.version_id));
        environment.persist_acceptor_state(&AcceptorState {
            committed: self.committed,
            text: self.version.text.clone(),
            promised: self.acceptor.promised().clone(),
            accepted: accepted.cloned(),
            accepted_text: proposal.map(|proposal| proposal.version.text.clone()),
        });
    }

    /// Begins a round to propose this decision.
    pub(super) fn propose(
        &mut self,
        now: Duration,
        decision: Decision,
        environment: &mut impl MemberEnvironment,
    ) {
        let ballot = self.proposer.begin_round(now, decision, self.acceptor.promised());
        let (after, round) = (self.committed.last_decided, ballot.round);
        let own_response = self.handle_prepare(after, ballot.clone(), environment);
        for to in self.other_members() {
            let request = PeerRequest::Prepare { after, ballot: ballot.clone() };
            self.send(now, &to, Purpose::Prepare { round }, request, environment);
        }
        let name = self.name.clone();
        self.promise_received(now, &name, own_response, environment);
    }

    /// Counts a promise of the current round, and begins phase 2 once a majority has promised.
    pub(super) fn promise_received(
        &mut self,
        now: Duration,
        from: &ServerName,
        response: PeerResponse,
        environment: &mut impl MemberEnvironment,
    ) {
        let PeerResponse::Promised { accepted } = response else { return };
        let quorum = self.quorum();
        let Some(decision) = self.proposer.record_promise(now, from, accepted, quorum) else { return };
        let (after, ballot) = (self.committed.last_decided, self.proposer.ballot().clone());
        let own_response = self.handle_accept(now, after, ballot.clone(), decision.clone(), environment);
        for to in self.other_members() {
            let request = PeerRequest::Accept { after, ballot: ballot.clone(), decision: decision.clone() };
            self.send(now, &to, Purpose::Accept { round: ballot.round }, request, environment);
        }
        let name = self.name.clone();
        self.acceptance_received(now, &name, &own_response, environment);
    }

    /// Counts an acceptance of the current round. A decision that a majority has accepted is chosen.
    pub(super) fn acceptance_received(
        &mut self,
        now: Duration,
        from: &ServerName,
        response: &PeerResponse,
        environment: &mut impl MemberEnvironment,
    ) {
        if *response != PeerResponse::Accepted {
            return;
        }
        let quorum = self.quorum();
        let Some(decision) = self.proposer.record_acceptance(now, from, quorum) else { return };
        let after = self.committed.last_decided;
        // Sent before the check that follows the commit, so that the others confirm the new state in it.
        for to in self.other_members() {
            let request = PeerRequest::Learn { after, decision: decision.clone() };
            self.send(now, &to, Purpose::Learn, request, environment);
        }
        self.learn(now, decision, environment);
    }

    /// Proposes the accepted decision again if its proposer has not completed it in time.
    pub(super) fn repropose_overdue(&mut self, now: Duration, environment: &mut impl MemberEnvironment) {
        if !self.proposer.is_idle() {
            return;
        }
        let wait = self.timing.phase_timeout() + self.timing.rank_delay() * self.rank();
        if let Some(decision) = self.acceptor.take_overdue(now, wait) {
            self.propose(now, decision, environment);
        }
    }

    /// Becomes active once the reports of the other members can replace the lost acceptor state.
    pub(super) fn recover(&mut self, now: Duration) {
        let (others, quorum) = (self.other_members(), self.quorum());
        if let Some(accepted) = self.recovery.try_finish(now, &self.committed, &others, quorum) {
            self.acceptor.recover(now, accepted);
        }
    }
}
