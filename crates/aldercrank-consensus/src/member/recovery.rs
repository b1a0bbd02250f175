//! Recovery of a member that has restarted without its acceptor state.
//!
//! It neither votes nor grants leases until every round and lease in which an earlier incarnation took part is over
//! (the quarantine), and until it has reports from a majority of active members, or from all other members.

use super::quorum::Quorum;
use crate::messages::{AcceptedDecision, CommittedState, ServerName};
use std::collections::BTreeMap;
use std::time::Duration;

/// What another member reported about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerReport {
    /// Whether it has its complete acceptor state and is on the committee.
    pub(super) active: bool,
    /// The number decided last that it knows of.
    pub(super) last_decided: u64,
    pub(super) accepted: Option<AcceptedDecision>,
}

/// Whether a member has its complete acceptor state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Recovery {
    Recovering { quarantine_until: Duration, reports: BTreeMap<ServerName, PeerReport> },
    Active,
}

impl Recovery {
    /// The state of a member that starts without acceptor state.
    pub(super) fn begin(quarantine_until: Duration) -> Recovery {
        Recovery::Recovering { quarantine_until, reports: BTreeMap::new() }
    }

    pub(super) fn is_active(&self) -> bool {
        *self == Recovery::Active
    }

    /// Records a report. Reports during the quarantine are ignored: they may miss what a round still in progress
    /// decides.
    pub(super) fn record_report(&mut self, now: Duration, from: &ServerName, report: PeerReport) {
        if let Recovery::Recovering { quarantine_until, reports } = self {
            if now >= *quarantine_until {
                reports.insert(from.clone(), report);
            }
        }
    }

    /// Becomes active if the quarantine is over, the reports suffice, and none of them knows of a later decision.
    /// Returns `None` if it does not; otherwise the decision that the others have accepted with the highest ballot, if
    /// there is one.
    pub(super) fn try_finish(
        &mut self,
        now: Duration,
        committed: &CommittedState,
        other_members: &[ServerName],
        quorum: Quorum,
    ) -> Option<Option<AcceptedDecision>> {
        let Recovery::Recovering { quarantine_until, reports } = self else { return None };
        let active = reports.values().filter(|report| report.active).count();
        let complete =
            quorum.reached_by(active) || other_members.iter().all(|name| reports.contains_key(name));
        let up_to_date = reports.values().all(|report| report.last_decided <= committed.last_decided);
        if now < *quarantine_until || !complete || !up_to_date {
            return None;
        }
        let accepted = reports
            .values()
            .filter(|report| report.last_decided == committed.last_decided)
            .filter_map(|report| report.accepted.clone())
            .max_by(|a, b| a.ballot.cmp(&b.ballot));
        *self = Recovery::Active;
        Some(accepted)
    }
}
