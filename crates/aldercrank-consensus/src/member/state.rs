//! The state of a committee member, its initialization, and its accessors.

use super::acceptor::{Acceptor, AcceptorState};
use super::confirmation::ReadConfirmation;
use super::environment::MemberEnvironment;
use super::followers::{FollowerRegistry, FollowerStatus};
use super::proposals::Proposals;
use super::proposer::Proposer;
use super::quorum::Quorum;
use super::recovery::Recovery;
use super::requests::OutstandingRequests;
use super::verdict::PeerTallies;
use crate::messages::{CommittedState, ConfigVersion, ProposalTally, ServerName, VersionId, VersionSummary};
use crate::timing::Timing;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies one incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberIdentity {
    /// The member.
    pub name: ServerName,
    /// A number that no other incarnation of the member has.
    pub incarnation: u64,
}

/// A decided number whose version was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The number.
    pub number: u64,
    /// Why it was refused, as text for operators.
    pub reason: String,
}

/// State machine of a committee member. `committed` changes only in `commit`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommitteeMember {
    pub(super) name: ServerName,
    pub(super) timing: Timing,
    pub(super) committed: CommittedState,
    /// Since when this member has known the committed version as committed.
    pub(super) committed_since: Duration,
    pub(super) version: ConfigVersion,
    pub(super) summary: VersionSummary,
    pub(super) recovery: Recovery,
    pub(super) acceptor: Acceptor,
    pub(super) proposer: Proposer,
    pub(super) confirmation: ReadConfirmation,
    pub(super) requests: OutstandingRequests,
    pub(super) proposals: Proposals,
    pub(super) peer_tallies: PeerTallies,
    pub(super) followers: FollowerRegistry,
    pub(super) refusals: Vec<Refusal>,
    pub(super) conflicting_members: BTreeMap<ServerName, VersionId>,
}

impl CommitteeMember {
    /// Begins an incarnation. `version` is the fleet's first version, or the one that made this server a member.
    /// `acceptor_state` is the state stored by an earlier incarnation; without it the member has to recover first.
    /// Returns `None` if the text of the committed version can't be parsed.
    pub fn new(
        now: Duration,
        identity: MemberIdentity,
        version: ConfigVersion,
        acceptor_state: Option<AcceptorState>,
        timing: Timing,
        environment: &mut impl MemberEnvironment,
    ) -> Option<CommitteeMember> {
        let MemberIdentity { name, incarnation } = identity;
        let (recovery, committed, version) = match &acceptor_state {
            Some(state) => {
                let version =
                    ConfigVersion { version_id: state.committed.version_id, text: state.text.clone() };
                (Recovery::Active, state.committed, version)
            }
            None => {
                let committed = CommittedState {
                    last_decided: version.version_id.number,
                    version_id: version.version_id,
                };
                (Recovery::begin(now + timing.recovery_quarantine()), committed, version)
            }
        };
        let summary = environment.summarize(&version.version_id, &version.text, None)?;
        let mut member = CommitteeMember {
            proposer: Proposer::new(name.clone(), incarnation, timing.phase_timeout()),
            name,
            timing,
            committed,
            committed_since: now,
            version,
            summary,
            recovery,
            acceptor: Acceptor::default(),
            confirmation: ReadConfirmation::new(now),
            requests: OutstandingRequests::new(),
            proposals: Proposals::default(),
            peer_tallies: PeerTallies::default(),
            followers: FollowerRegistry::new(now),
            refusals: Vec::new(),
            conflicting_members: BTreeMap::new(),
        };
        if let Some(acceptor_state) = acceptor_state {
            member.restore(now, acceptor_state, environment);
        }
        Some(member)
    }

    /// Restores the stored acceptor state. The accepted decision has to be in place before its text is proposed again:
    /// that begins a check, which must not miss a decision that may have been chosen.
    fn restore(&mut self, now: Duration, state: AcceptorState, environment: &mut impl MemberEnvironment) {
        let AcceptorState { accepted, accepted_text, promised, .. } = state;
        let accepted_id = accepted.as_ref().map(|accepted| accepted.decision.version_id);
        self.acceptor = Acceptor::new(now, promised, accepted);
        if let Some((version_id, text)) = accepted_id.zip(accepted_text) {
            // If the text is rejected, it can still be fetched from another member.
            let _ = self.version_proposed(now, ConfigVersion { version_id, text }, environment);
        }
    }

    /// The committed state, as this member knows it.
    pub fn committed(&self) -> CommittedState {
        self.committed
    }

    /// The committed version, as this member knows it.
    pub fn version(&self) -> &ConfigVersion {
        &self.version
    }

    /// The committee that decides on the next version, in the order of names.
    pub fn committee(&self) -> &[ServerName] {
        &self.summary.committee
    }

    /// Whether the member has its complete acceptor state.
    pub fn is_active(&self) -> bool {
        self.recovery.is_active()
    }

    /// Whether the member can grant leases on its committed state now.
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.confirmation_age(now).is_some()
    }

    /// The proposed version to be decided next.
    pub fn proposed(&self) -> Option<&ConfigVersion> {
        self.proposals.first().map(|proposal| &proposal.version)
    }

    /// What the decision on the proposed version waits for, as text for operators.
    pub fn blocked_by(&self, now: Duration) -> Option<String> {
        let version_id = self.proposals.first_id()?;
        let own = self.tally(now);
        let tallies = || {
            let all = std::iter::once(&own).chain(self.peer_tallies.all());
            all.filter(|tally| tally.proposed == Some(version_id))
        };
        if let Some(objection) = tallies().find_map(|tally| tally.objection.clone()) {
            return Some(objection);
        }
        let ready = tallies().fold(0, |sum, tally| sum + tally.ready_followers);
        let followers = tallies().fold(0, |sum, tally| sum + tally.followers);
        let recovering = if self.is_active() { "" } else { "; this member remembers nothing yet" };
        Some(format!("{ready} of {followers} hold {}{recovering}", version_id.number))
    }

    /// Members that report another version under the number decided last.
    pub fn conflicting_members(&self) -> &BTreeMap<ServerName, VersionId> {
        &self.conflicting_members
    }

    /// The most recent refusals, oldest first.
    pub fn refusals(&self) -> &[Refusal] {
        &self.refusals
    }

    /// The followers that renew at this member, in the order of their names.
    pub fn follower_statuses(&self, now: Duration) -> Vec<FollowerStatus> {
        self.followers.statuses(now, &self.timing)
    }

    pub(super) fn is_on_committee(&self) -> bool {
        self.summary.committee.contains(&self.name)
    }

    pub(super) fn may_vote(&self) -> bool {
        self.is_active() && self.is_on_committee()
    }

    pub(super) fn other_members(&self) -> Vec<ServerName> {
        self.summary.committee.iter().filter(|name| **name != self.name).cloned().collect()
    }

    pub(super) fn quorum(&self) -> Quorum {
        Quorum { committee_size: self.summary.committee.len() }
    }

    pub(super) fn rank(&self) -> u32 {
        self.summary.committee.iter().position(|name| *name == self.name).unwrap_or(0) as u32
    }

    pub(super) fn tally(&self, now: Duration) -> ProposalTally {
        self.proposals.tally(now, &self.followers, self.summary.servers.as_deref(), &self.timing)
    }

    /// Time since the committed state was confirmed; `None` if no lease can be granted on it.
    pub(super) fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        let confirmed_at = self.confirmation.confirmed_at().filter(|_| self.may_vote())?;
        let age = now.saturating_sub(confirmed_at);
        (age < self.timing.lease_duration()).then_some(age)
    }
}
