//! The tallies of the other members, and the verdict on a proposed version, which is derived from all tallies.

use super::proposals::Proposal;
use crate::messages::{abbreviated_list, ProposalTally, ServerName, Verdict};
use crate::timing::Timing;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a peer's tally remains valid, in check intervals.
const TALLY_VALIDITY_CHECK_INTERVALS: u32 = 3;

/// The last tally of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PeerTally {
    received_at: Duration,
    tally: ProposalTally,
}

/// The last tally of each other member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PeerTallies {
    tallies: BTreeMap<ServerName, PeerTally>,
}

impl PeerTallies {
    pub(super) fn record(&mut self, now: Duration, from: ServerName, tally: ProposalTally) {
        self.tallies.insert(from, PeerTally { received_at: now, tally });
    }

    pub(super) fn clear(&mut self) {
        self.tallies.clear();
    }

    /// All tallies, whatever their age.
    pub(super) fn all(&self) -> impl Iterator<Item = &ProposalTally> {
        self.tallies.values().map(|peer| &peer.tally)
    }
}

/// What the verdict on a proposal depends on.
pub(super) struct ProposalReview<'a> {
    pub(super) proposal: &'a Proposal,
    pub(super) own_tally: &'a ProposalTally,
    pub(super) peer_tallies: &'a PeerTallies,
    pub(super) own_name: &'a ServerName,
    pub(super) committee: &'a [ServerName],
    /// Position of this member on the committee. Later members wait longer, so that usually only one proposes.
    pub(super) rank: u32,
    /// Servers that the committed version names.
    pub(super) servers: Option<&'a [ServerName]>,
    pub(super) timing: &'a Timing,
    pub(super) now: Duration,
}

impl ProposalReview<'_> {
    /// The verdict to propose; `None` as long as there is none.
    pub(super) fn verdict(&self) -> Option<Verdict> {
        if let Some(reason) = self.tallies().find_map(|tally| tally.objection.clone()) {
            return Some(Verdict::Refused(reason));
        }
        let waited = self.now.saturating_sub(self.proposal.received_at);
        let rank_delay = self.timing.rank_delay() * self.rank;
        let evaluation_ended = waited >= self.timing.evaluation_timeout() + rank_delay;
        let own_turn = self.rank == 0 || waited >= rank_delay;
        if !(evaluation_ended || (own_turn && self.own_tally.is_complete() && self.peers_complete())) {
            return None;
        }
        match self.restriction_at_risk() {
            Some(reason) => evaluation_ended.then_some(Verdict::Refused(reason)),
            None => Some(Verdict::Committed),
        }
    }

    /// Recent tallies of this proposal, this member's first.
    fn tallies(&self) -> impl Iterator<Item = &ProposalTally> {
        let peers = self.peer_tallies.tallies.values().filter(|peer| self.is_recent(peer));
        let all = std::iter::once(self.own_tally).chain(peers.map(|peer| &peer.tally));
        all.filter(|tally| self.concerns_proposal(tally))
    }

    fn is_recent(&self, peer: &PeerTally) -> bool {
        peer.received_at + self.timing.check_interval() * TALLY_VALIDITY_CHECK_INTERVALS > self.now
    }

    fn concerns_proposal(&self, tally: &ProposalTally) -> bool {
        tally.proposed == Some(self.proposal.version.version_id)
    }

    /// Whether every other member has sent a recent, complete tally of the proposal.
    fn peers_complete(&self) -> bool {
        let mut others = self.committee.iter().filter(|name| *name != self.own_name);
        others.all(|name| {
            self.peer_tallies.tallies.get(name).is_some_and(|peer| {
                self.is_recent(peer) && self.concerns_proposal(&peer.tally) && peer.tally.is_complete()
            })
        })
    }

    /// Why the proposal can't be committed although nobody objects: a server that may be active is not known to be
    /// ready for it, and could violate one of its restrictions.
    fn restriction_at_risk(&self) -> Option<String> {
        let restriction = self.proposal.summary.restrictions.first()?;
        let Some(servers) = self.servers else {
            return Some(format!(
                "a server that is out of touch may go on against it ({restriction}), and the version in force names \
                 no servers: name them first"
            ));
        };
        let ready = |index: usize| self.tallies().any(|tally| tally.ready_servers.contains(index));
        let possibly_active =
            |index: usize| self.tallies().any(|tally| tally.possibly_active_servers.contains(index));
        let missing: BTreeSet<&ServerName> = servers
            .iter()
            .enumerate()
            .filter(|(index, _)| !ready(*index) && possibly_active(*index))
            .map(|(_, name)| name)
            .collect();
        (!missing.is_empty()).then(|| {
            format!(
                "{} may go on against it ({restriction}) and have not said that they hold it",
                abbreviated_list(&missing)
            )
        })
    }
}
