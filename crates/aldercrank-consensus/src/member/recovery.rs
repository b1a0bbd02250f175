//! Recovery of a member that has restarted without its acceptor state.
//!
//! It stays silent until every round and lease in which an earlier incarnation took part is over, and until it has
//! reports from a majority of active members, or from all others.

use super::quorum::Quorum;
use crate::messages::{AcceptedDecision, CommittedState, ServerName};
use std::collections::BTreeMap;
use std::time::Duration;

/// What another member reported of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerReport {
    /// It has its whole acceptor state.
    pub(super) active: bool,
    /// The number decided last, as it knows it.
    pub(super) last_decided: u64,
    pub(super) accepted: Option<AcceptedDecision>,
}

/// Whether a member has its whole acceptor state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Recovery {
    Recovering { quarantine_until: Duration, reports: BTreeMap<ServerName, PeerReport> },
    Active,
}

impl Recovery {
    /// A member that begins without acceptor state.
    pub(super) fn begin(quarantine_until: Duration) -> Recovery {
        Recovery::Recovering { quarantine_until, reports: BTreeMap::new() }
    }

    pub(super) fn is_active(&self) -> bool {
        *self == Recovery::Active
    }

    /// Records a report. One from the quarantine is ignored: it may be of a round that is not over.
    pub(super) fn record_report(&mut self, now: Duration, from: &ServerName, report: PeerReport) {
        if let Recovery::Recovering { quarantine_until, reports } = self {
            if now >= *quarantine_until {
                reports.insert(from.clone(), report);
            }
        }
    }

    /// Becomes active if the reports suffice and nobody knows of a later decision. Returns whether it did, with the
    /// decision that the others have accepted with the highest ballot.
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
        let up_to_date = reports.values().all(|report| report.last_decided <= committed.last);
        if now < *quarantine_until || !complete || !up_to_date {
            return None;
        }
        let accepted = reports
            .values()
            .filter(|report| report.last_decided == committed.last)
            .filter_map(|report| report.accepted.clone())
            .max_by(|a, b| a.ballot.cmp(&b.ballot));
        *self = Recovery::Active;
        Some(accepted)
    }
}
