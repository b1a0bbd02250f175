//! Requests, responses, timers and proposals that reach a committee member.

use super::environment::MemberEnvironment;
use super::followers::Renewal;
use super::proposals::Proposal;
use super::recovery::PeerReport;
use super::requests::Purpose;
use super::state::CommitteeMember;
use crate::error::ProposalError;
use crate::messages::{ConfigVersion, CorrelationId, PeerRequest, PeerResponse, ServerName, VersionId};
use std::sync::Arc;
use std::time::Duration;

impl CommitteeMember {
    /// Handles a request from a follower or another member.
    pub fn handle_request(
        &mut self,
        now: Duration,
        request: PeerRequest,
        environment: &mut impl MemberEnvironment,
    ) -> PeerResponse {
        match request {
            PeerRequest::Renew { from, last_decided, evaluation } => {
                let lease_granted = self.is_confirmed(now);
                let renewal = Renewal { received_at: now, lease_granted, last_decided, evaluation };
                self.handle_renewal(now, from, renewal, environment)
            }
            PeerRequest::Fetch { version_id } => self.text_of(&version_id),
            PeerRequest::Check { from, committed, tally } => {
                self.peer_state_received(now, &from, committed, tally, environment);
                PeerResponse::Checked {
                    committed: self.committed,
                    active: self.may_vote(),
                    accepted: self.acceptor.accepted().cloned(),
                    tally: self.tally(now),
                }
            }
            PeerRequest::Prepare { after, ballot } => self.handle_prepare(after, ballot, environment),
            PeerRequest::Accept { after, ballot, decision } => {
                self.handle_accept(now, after, ballot, decision, environment)
            }
            PeerRequest::Learn { after, decision } => {
                if after == self.committed.last_decided {
                    self.learn(now, decision, environment);
                }
                PeerResponse::Acknowledged
            }
            // The server responds to status requests itself.
            PeerRequest::Status => PeerResponse::Unavailable,
        }
    }

    /// Handles a response. It is ignored if its request is no longer outstanding.
    pub fn handle_response(
        &mut self,
        now: Duration,
        correlation_id: CorrelationId,
        response: PeerResponse,
        environment: &mut impl MemberEnvironment,
    ) {
        let Some(request) = self.requests.remove(correlation_id) else { return };
        let (from, current_round) = (request.to, self.proposer.ballot().round);
        match (request.purpose, response) {
            (Purpose::Check, PeerResponse::Checked { committed, active, accepted, tally }) => {
                let nothing_newer = active && accepted.is_none();
                self.state_checked(now, &from, committed, nothing_newer, environment);
                let report = PeerReport { active, last_decided: committed.last_decided, accepted };
                self.recovery.record_report(now, &from, report);
                self.peer_state_received(now, &from, committed, tally, environment);
            }
            (Purpose::Prepare { round }, response @ PeerResponse::Promised { .. })
                if round == current_round =>
            {
                self.promise_received(now, &from, response, environment);
            }
            (Purpose::Accept { round }, response @ PeerResponse::Accepted) if round == current_round => {
                self.acceptance_received(now, &from, &response, environment);
            }
            (Purpose::Prepare { .. } | Purpose::Accept { .. }, PeerResponse::BallotSuperseded { ballot }) => {
                self.proposer.observe_ballot(&ballot);
            }
            (
                Purpose::Prepare { .. } | Purpose::Accept { .. },
                PeerResponse::DifferentState { committed },
            ) if committed.last_decided > self.committed.last_decided => {
                self.fetch(now, &from, committed.version_id, Purpose::FetchCommitted(committed), environment);
            }
            (Purpose::Accept { .. }, PeerResponse::TextMissing { .. }) => self.check(now, environment),
            (Purpose::FetchCommitted(committed), PeerResponse::Text { version_id, text }) => {
                self.committed_text_received(now, committed, version_id, &text, environment);
            }
            (Purpose::FetchProposed, PeerResponse::Text { version_id, text }) => {
                let version = ConfigVersion { version_id, text: Arc::from(text) };
                // The error is ignored: the version may have been decided meanwhile.
                let _ = self.version_proposed(now, version, environment);
            }
            _ => {}
        }
    }

    /// Called when a request will get no response.
    pub fn request_lost(&mut self, correlation_id: CorrelationId) {
        self.requests.remove(correlation_id);
    }

    /// When [`CommitteeMember::timer_fired`] is to be called next.
    pub fn next_timeout(&self) -> Duration {
        let check_due = self.confirmation.check_due();
        self.proposer.phase_deadline().map_or(check_due, |deadline| deadline.min(check_due))
    }

    /// Ends a round that has timed out, and begins a check with the periodic work if one is due. May be called early.
    pub fn timer_fired(&mut self, now: Duration, environment: &mut impl MemberEnvironment) {
        self.proposer.expire_round(now);
        if now >= self.confirmation.check_due() {
            self.recover(now);
            self.check(now, environment);
            self.repropose_overdue(now, environment);
            self.review_proposal(now, environment);
            self.followers.remove_inactive(now, &self.timing);
        }
    }

    /// Handles a proposed version, which was read at the membership service, submitted by an operator, or sent by
    /// another member. A version that is already known or committed is no error. One that arrives while a lower number
    /// is being decided is decided after it.
    ///
    /// # Errors
    /// The reason why the version is not taken as a proposal.
    pub fn version_proposed(
        &mut self,
        now: Duration,
        version: ConfigVersion,
        environment: &mut impl MemberEnvironment,
    ) -> Result<(), ProposalError> {
        let version_id = version.version_id;
        let (number, last) = (version_id.number, self.committed.last_decided);
        if version_id == self.committed.version_id || self.proposals.find(&version_id).is_some() {
            return Ok(());
        }
        if number <= last {
            return Err(ProposalError::AlreadyDecided { number, last });
        }
        let accepted_number = self.acceptor.accepted_number();
        if let Some(number) = accepted_number.filter(|accepted| number < *accepted) {
            return Err(ProposalError::DecisionInProgress { number });
        }
        let summary = environment
            .summarize(&version_id, &version.text, Some(&self.version))
            .ok_or(ProposalError::UnreadableText)?;
        self.proposals.insert(Proposal { version, summary, received_at: now }, accepted_number);
        let is_decided_next = self.proposals.first_id().is_some_and(|first| first.number == number);
        if is_decided_next && self.proposals.find(&version_id).is_some() {
            environment.notify_followers(Some(version_id));
            // The other members fetch it, so that their followers evaluate it at the same time.
            self.check(now, environment);
            self.review_proposal(now, environment);
        }
        Ok(())
    }

    /// Called when the publisher has withdrawn the proposal of this number. It is refused or, if it was only kept for
    /// later, dropped, unless it may have been chosen already.
    pub fn proposal_withdrawn(
        &mut self,
        now: Duration,
        number: u64,
        environment: &mut impl MemberEnvironment,
    ) {
        if self.proposals.withdraw(number, self.acceptor.accepted_number()) {
            self.review_proposal(now, environment);
        }
    }

    fn handle_renewal(
        &mut self,
        now: Duration,
        from: ServerName,
        renewal: Renewal,
        environment: &mut impl MemberEnvironment,
    ) -> PeerResponse {
        if self.followers.has_capacity_for(&from) {
            self.followers.record(from, renewal);
            self.review_proposal(now, environment);
        }
        PeerResponse::Lease {
            committed: self.committed,
            age: self.confirmation_age(now),
            committed_for: now.saturating_sub(self.committed_since),
            proposed: self.proposals.first_id(),
        }
    }

    fn text_of(&self, version_id: &VersionId) -> PeerResponse {
        let proposed = self.proposals.find(version_id).map(|proposal| &proposal.version);
        match Some(&self.version).filter(|version| version.version_id == *version_id).or(proposed) {
            Some(version) => PeerResponse::Text { version_id: *version_id, text: version.text.to_string() },
            None => PeerResponse::TextUnknown,
        }
    }
}
