//! Proposed versions that have not been decided, and this member's tally of its followers' evaluations.
//!
//! The lowest number is decided first. A higher one that arrives meanwhile is kept for later, since its publisher does
//! not send it again.

use super::followers::FollowerRegistry;
use crate::messages::{ConfigVersion, ProposalTally, ServerName, VersionId, VersionSummary};
use crate::timing::Timing;
use std::time::Duration;

/// Limit on the proposals of one number. Two are enough to refuse the number.
const MAX_PROPOSALS_PER_NUMBER: usize = 2;

/// A proposed version with its text.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposal {
    pub(super) version: ConfigVersion,
    pub(super) summary: VersionSummary,
    pub(super) received_at: Duration,
}

/// Proposals in the order of their version ids: those of the number to decide next, then those kept for later.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Proposals {
    proposals: Vec<Proposal>,
    /// Number whose proposal the publisher has withdrawn.
    withdrawn: Option<u64>,
    /// Proposal whose complete tally, or objection, was sent to the other members.
    announced: Option<VersionId>,
}

impl Proposals {
    /// The proposal to decide on next.
    pub(super) fn first(&self) -> Option<&Proposal> {
        self.proposals.first()
    }

    pub(super) fn first_id(&self) -> Option<VersionId> {
        self.first().map(|proposal| proposal.version.version_id)
    }

    pub(super) fn find(&self, version_id: &VersionId) -> Option<&Proposal> {
        self.proposals.iter().find(|proposal| proposal.version.version_id == *version_id)
    }

    /// Adds a proposal, unless its number already has `MAX_PROPOSALS_PER_NUMBER`. Of the numbers after the lowest,
    /// keeps only the highest and the one on which this member has accepted a decision.
    pub(super) fn insert(&mut self, proposal: Proposal, accepted_number: Option<u64>) {
        let number = proposal.version.version_id.number;
        if self.of_number(number).count() >= MAX_PROPOSALS_PER_NUMBER {
            return;
        }
        self.proposals.push(proposal);
        self.proposals.sort_by_key(|proposal| proposal.version.version_id);
        let numbers = self.proposals.iter().map(|proposal| proposal.version.version_id.number);
        let kept = [numbers.clone().min(), numbers.max(), accepted_number];
        self.proposals.retain(|proposal| kept.contains(&Some(proposal.version.version_id.number)));
    }

    fn of_number(&self, number: u64) -> impl Iterator<Item = &Proposal> {
        self.proposals.iter().filter(move |proposal| proposal.version.version_id.number == number)
    }

    /// Marks this number as withdrawn if it is the one to decide next. Removes a proposal kept for later, unless this
    /// member has accepted a decision on it. Returns whether the number was marked.
    pub(super) fn withdraw(&mut self, number: u64, accepted_number: Option<u64>) -> bool {
        let is_decided_next = self.first_id().is_some_and(|version_id| version_id.number == number);
        if is_decided_next {
            self.withdrawn = Some(number);
        } else if accepted_number != Some(number) {
            self.proposals.retain(|proposal| proposal.version.version_id.number != number);
        }
        is_decided_next
    }

    /// Marks the proposal's tally as sent to the other members. Returns whether it was not marked before.
    pub(super) fn mark_announced(&mut self, version_id: VersionId) -> bool {
        self.announced.replace(version_id) != Some(version_id)
    }

    /// Called after a decision: removes the proposals up to its number, and summarizes the others against the
    /// committed version. The time for their evaluation starts anew.
    pub(super) fn rebase(
        &mut self,
        now: Duration,
        last_decided: u64,
        mut summarize: impl FnMut(&ConfigVersion) -> Option<VersionSummary>,
    ) {
        self.proposals.retain(|proposal| proposal.version.version_id.number > last_decided);
        for proposal in &mut self.proposals {
            proposal.received_at = now;
            if let Some(summary) = summarize(&proposal.version) {
                proposal.summary = summary;
            }
        }
        self.withdrawn = self.withdrawn.filter(|number| *number > last_decided);
        self.announced = None;
    }

    /// The tally of the proposal to decide on next. `servers` are those that the committed version names.
    pub(super) fn tally(
        &self,
        now: Duration,
        followers: &FollowerRegistry,
        servers: Option<&[ServerName]>,
        timing: &Timing,
    ) -> ProposalTally {
        let Some(version_id) = self.first_id() else { return ProposalTally::default() };
        let mut tally = ProposalTally { proposed: Some(version_id), ..ProposalTally::default() };
        for (name, renewal) in followers.in_contact(now, timing) {
            tally.followers += 1;
            match renewal.evaluation_of(&version_id) {
                Some(Ok(())) => tally.ready_followers += 1,
                Some(Err(reason)) => tally.set_objection(&format!("{name} refuses it: {reason}")),
                None => {}
            }
        }
        let other_content = self.of_number(version_id.number).nth(1);
        if let Some(other) = other_content {
            let (first, second) = (version_id, other.version.version_id);
            tally.set_objection(&format!("one number with two contents, {first} and {second}"));
        } else if self.withdrawn == Some(version_id.number) {
            tally.set_objection("withdrawn");
        }
        for (index, name) in servers.unwrap_or_default().iter().enumerate() {
            let renewal = followers.get(name);
            if renewal.and_then(|renewal| renewal.evaluation_of(&version_id)) == Some(&Ok(())) {
                tally.ready_servers.insert(index);
            }
            if followers.possibly_active(name, now, timing) {
                tally.possibly_active_servers.insert(index);
            }
        }
        tally
    }
}
