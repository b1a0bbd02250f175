//! Proposed versions that are not decided, and this member's tally of its followers' evaluations.

use super::followers::FollowerRegistry;
use crate::messages::{ConfigVersion, ProposalTally, ServerName, VersionId, VersionSummary};
use crate::timing::Timing;
use std::time::Duration;

/// Most proposals of one number. Two contents for one number are refused anyway.
const MAX_PROPOSALS: usize = 2;

/// A proposed version with its text.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposal {
    pub(super) version: ConfigVersion,
    pub(super) summary: VersionSummary,
    pub(super) received_at: Duration,
}

/// Proposals of one number, in the order of their version ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Proposals {
    proposals: Vec<Proposal>,
    /// Number that its publisher has withdrawn.
    withdrawn: Option<u64>,
    /// Proposal whose complete tally was sent to the other members.
    announced: Option<VersionId>,
}

impl Proposals {
    /// The proposal to decide on.
    pub(super) fn first(&self) -> Option<&Proposal> {
        self.proposals.first()
    }

    pub(super) fn first_id(&self) -> Option<VersionId> {
        self.first().map(|proposal| proposal.version.version_id)
    }

    pub(super) fn find(&self, version_id: &VersionId) -> Option<&Proposal> {
        self.proposals.iter().find(|proposal| proposal.version.version_id == *version_id)
    }

    /// Adds a proposal, in place of those with a higher number. Returns whether there was capacity for it.
    pub(super) fn insert(&mut self, proposal: Proposal) -> bool {
        let number = proposal.version.version_id.number;
        self.proposals.retain(|other| other.version.version_id.number == number);
        if self.proposals.len() >= MAX_PROPOSALS {
            return false;
        }
        self.proposals.push(proposal);
        self.proposals.sort_by_key(|proposal| proposal.version.version_id);
        true
    }

    /// Marks the proposal of this number as withdrawn. Returns whether there is one.
    pub(super) fn withdraw(&mut self, number: u64) -> bool {
        let proposed = self.first_id().is_some_and(|version_id| version_id.number == number);
        if proposed {
            self.withdrawn = Some(number);
        }
        proposed
    }

    /// Returns whether the proposal's complete tally has yet to be sent, and notes that it is now.
    pub(super) fn announce_once(&mut self, version_id: VersionId) -> bool {
        self.announced.replace(version_id) != Some(version_id)
    }

    /// Another number was decided: removes what is decided, and summarizes the rest against the new version.
    pub(super) fn rebase(
        &mut self,
        last_decided: u64,
        mut summarize: impl FnMut(&ConfigVersion) -> Option<VersionSummary>,
    ) {
        self.proposals.retain(|proposal| proposal.version.version_id.number > last_decided);
        for proposal in &mut self.proposals {
            if let Some(summary) = summarize(&proposal.version) {
                proposal.summary = summary;
            }
        }
        (self.withdrawn, self.announced) = (None, None);
    }

    /// What this member knows of the first proposal. `servers` are those that the committed version names.
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
                Some(Err(reason)) => tally.object(&format!("{name} refuses it: {reason}")),
                None => {}
            }
        }
        if let [first, second, ..] = &self.proposals[..] {
            let (first, second) = (first.version.version_id, second.version.version_id);
            tally.object(&format!("one number with two contents, {first} and {second}"));
        } else if self.withdrawn == Some(version_id.number) {
            tally.object("withdrawn");
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
