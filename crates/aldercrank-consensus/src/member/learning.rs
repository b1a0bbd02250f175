//! A member as learner: confirms its committed state, fetches texts from other members, and commits decisions.

use super::acceptor::Acceptor;
use super::environment::MemberEnvironment;
use super::requests::Purpose;
use super::state::{CommitteeMember, Refusal};
use super::verdict::ProposalReview;
use crate::messages::{
    CommittedState, ConfigVersion, Decision, PeerRequest, ProposalTally, ServerName, Verdict, VersionId,
    VersionSummary,
};
use std::sync::Arc;
use std::time::Duration;

/// Limit on the refusals kept for operators.
const MAX_REFUSALS: usize = 8;

impl CommitteeMember {
    pub(super) fn send(
        &mut self,
        now: Duration,
        to: &ServerName,
        purpose: Purpose,
        request: PeerRequest,
        environment: &mut impl MemberEnvironment,
    ) {
        let correlation_id = self.requests.insert(now, to, purpose);
        environment.send_request(to, correlation_id, request);
    }

    /// Fetches a text from a member, unless the same request to it is outstanding.
    pub(super) fn fetch(
        &mut self,
        now: Duration,
        from: &ServerName,
        version_id: VersionId,
        purpose: Purpose,
        environment: &mut impl MemberEnvironment,
    ) {
        if !self.requests.contains(from, &purpose) {
            self.send(now, from, purpose, PeerRequest::Fetch { version_id }, environment);
        }
    }

    /// Asks all other members whether the committed state is still the newest.
    pub(super) fn check(&mut self, now: Duration, environment: &mut impl MemberEnvironment) {
        // A late response to the previous check must not count towards this one.
        self.requests.remove_stale(now, self.timing.phase_timeout());
        self.confirmation.begin_check(now, self.timing.check_interval());
        let tally = self.tally(now);
        for to in self.other_members() {
            let request = PeerRequest::Check {
                from: self.name.clone(),
                committed: self.committed,
                tally: tally.clone(),
            };
            self.send(now, &to, Purpose::Check, request, environment);
        }
        let (name, committed) = (self.name.clone(), self.committed);
        let nothing_newer = self.is_active() && self.acceptor.accepted().is_none();
        self.state_checked(now, &name, committed, nothing_newer, environment);
    }

    /// Handles a member's response to the current check. Once a majority has confirmed the state, notifies the
    /// followers if they could not be granted a lease before.
    pub(super) fn state_checked(
        &mut self,
        now: Duration,
        from: &ServerName,
        committed: CommittedState,
        nothing_newer: bool,
        environment: &mut impl MemberEnvironment,
    ) {
        if committed != self.committed || !nothing_newer {
            return;
        }
        let (confirmed_before, quorum) = (self.is_confirmed(now), self.quorum());
        if self.confirmation.record(from, quorum) && !confirmed_before && self.is_confirmed(now) {
            environment.notify_followers(None);
        }
    }

    /// Handles the committed state and the tally of another member.
    pub(super) fn peer_state_received(
        &mut self,
        now: Duration,
        from: &ServerName,
        committed: CommittedState,
        tally: ProposalTally,
        environment: &mut impl MemberEnvironment,
    ) {
        if !self.summary.committee.contains(from) {
            return;
        }
        if committed.last_decided > self.committed.last_decided {
            self.fetch(now, from, committed.version_id, Purpose::FetchCommitted(committed), environment);
        }
        if committed.last_decided == self.committed.last_decided
            && committed.version_id != self.committed.version_id
        {
            self.conflicting_members.insert(from.clone(), committed.version_id);
        }
        let is_new = |version_id: &VersionId| {
            version_id.number > self.committed.last_decided && self.proposals.find(version_id).is_none()
        };
        if let Some(version_id) = tally.proposed.filter(is_new) {
            self.fetch(now, from, version_id, Purpose::FetchProposed, environment);
        }
        self.peer_tallies.record(now, from.clone(), tally);
        self.review_proposal(now, environment);
    }

    /// Sends the other members this member's tally once it is complete or has an objection, and begins a round once
    /// there is a verdict.
    pub(super) fn review_proposal(&mut self, now: Duration, environment: &mut impl MemberEnvironment) {
        let Some(version_id) = self.proposals.first_id() else { return };
        let tally = self.tally(now);
        let ready = tally.objection.is_some() || tally.is_complete();
        if ready && self.proposals.mark_announced(version_id) {
            self.check(now, environment);
        }
        if self.proposer.is_idle() && self.may_vote() {
            if let Some(verdict) = self.verdict(now, &tally) {
                self.propose(now, Decision { version_id, verdict }, environment);
            }
        }
    }

    fn verdict(&self, now: Duration, own_tally: &ProposalTally) -> Option<Verdict> {
        let review = ProposalReview {
            proposal: self.proposals.first()?,
            own_tally,
            peer_tallies: &self.peer_tallies,
            own_name: &self.name,
            committee: &self.summary.committee,
            rank: self.rank(),
            servers: self.summary.servers.as_deref(),
            timing: &self.timing,
            now,
        };
        review.verdict()
    }

    /// Applies a chosen decision. Without the text of its version, the member catches up after its next check.
    pub(super) fn learn(
        &mut self,
        now: Duration,
        decision: Decision,
        environment: &mut impl MemberEnvironment,
    ) {
        let committed = decision.after(&self.committed);
        if committed.version_id == self.committed.version_id {
            if let Verdict::Refused(reason) = decision.verdict {
                self.refusals.push(Refusal { number: committed.last_decided, reason });
                let excess = self.refusals.len().saturating_sub(MAX_REFUSALS);
                self.refusals.drain(..excess);
            }
            let (version, summary) = (self.version.clone(), self.summary.clone());
            self.commit(now, committed, version, summary, environment);
        } else if let Some(proposal) = self.proposals.find(&committed.version_id).cloned() {
            self.commit(now, committed, proposal.version, proposal.summary, environment);
        }
    }

    /// Handles the text of a later committed version, fetched from another member.
    pub(super) fn committed_text_received(
        &mut self,
        now: Duration,
        committed: CommittedState,
        version_id: VersionId,
        text: &str,
        environment: &mut impl MemberEnvironment,
    ) {
        let newer =
            committed.last_decided > self.committed.last_decided && version_id == committed.version_id;
        let summary = environment.summarize(&version_id, text, Some(&self.version));
        if let Some(summary) = summary.filter(|_| newer) {
            let version = ConfigVersion { version_id, text: Arc::from(text) };
            self.commit(now, committed, version, summary, environment);
        }
    }

    /// The one place where the committed state changes.
    fn commit(
        &mut self,
        now: Duration,
        committed: CommittedState,
        version: ConfigVersion,
        summary: VersionSummary,
        environment: &mut impl MemberEnvironment,
    ) {
        if committed.version_id != self.committed.version_id {
            self.committed_since = now;
        }
        (self.committed, self.version, self.summary) = (committed, version, summary);
        self.acceptor = Acceptor::default();
        self.proposer.abandon_round();
        self.confirmation.reset();
        let before = &self.version;
        self.proposals.rebase(now, committed.last_decided, |proposed| {
            environment.summarize(&proposed.version_id, &proposed.text, Some(before))
        });
        self.conflicting_members.clear();
        self.peer_tallies.clear();
        self.persist(environment);
        // Followers are notified once a majority has confirmed the state: no lease can be granted on it before.
        self.check(now, environment);
    }
}
