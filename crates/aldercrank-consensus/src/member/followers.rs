//! The registry of followers: which servers renew at this member, and what they reported.

use crate::messages::{Evaluation, ServerName, VersionId};
use crate::timing::Timing;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most followers in the registry.
const MAX_FOLLOWERS: usize = 4096;
/// A follower is in contact until this many renewal intervals after its last renewal.
const CONTACT_RENEWAL_INTERVALS: f64 = 1.6;

/// A follower's last renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Renewal {
    pub(super) received_at: Duration,
    /// It was granted a lease here. A follower that was not has gone on to another member.
    pub(super) lease_granted: bool,
    /// The number decided last, as the follower knows it.
    pub(super) last_decided: u64,
    pub(super) evaluation: Option<Evaluation>,
}

impl Renewal {
    /// The follower's evaluation of this version.
    pub(super) fn evaluation_of(&self, version_id: &VersionId) -> Option<&Result<(), String>> {
        let evaluation = self.evaluation.as_ref().filter(|known| known.version_id == *version_id)?;
        Some(&evaluation.result)
    }
}

/// A follower's state for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerStatus {
    /// The follower.
    pub name: ServerName,
    /// The number decided last, as the follower knows it.
    pub last: u64,
    /// Time since its last renewal.
    pub since_last_seen: Duration,
    /// What is left of its lease at most.
    pub lease_left: Duration,
    /// Its evaluation of a proposed version.
    pub evaluation: Option<Evaluation>,
}

/// Followers by name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FollowerRegistry {
    /// When this incarnation started: earlier renewals are unknown.
    started_at: Duration,
    followers: BTreeMap<ServerName, Renewal>,
}

impl FollowerRegistry {
    pub(super) fn new(now: Duration) -> FollowerRegistry {
        FollowerRegistry { started_at: now, followers: BTreeMap::new() }
    }

    pub(super) fn get(&self, name: &ServerName) -> Option<&Renewal> {
        self.followers.get(name)
    }

    /// Whether the registry has the follower, or capacity for it.
    pub(super) fn has_capacity_for(&self, name: &ServerName) -> bool {
        self.followers.contains_key(name) || self.followers.len() < MAX_FOLLOWERS
    }

    pub(super) fn record(&mut self, name: ServerName, renewal: Renewal) {
        self.followers.insert(name, renewal);
    }

    /// Followers with a lease from this member that renew regularly.
    pub(super) fn in_contact(
        &self,
        now: Duration,
        timing: &Timing,
    ) -> impl Iterator<Item = (&ServerName, &Renewal)> {
        let span = timing.renewal_interval().mul_f64(CONTACT_RENEWAL_INTERVALS);
        self.followers
            .iter()
            .filter(move |(_, renewal)| renewal.lease_granted && renewal.received_at + span > now)
    }

    /// Whether the server may still use its version, as far as this member knows.
    pub(super) fn possibly_active(&self, name: &ServerName, now: Duration, timing: &Timing) -> bool {
        let last_seen = self.get(name).map_or(self.started_at, |renewal| renewal.received_at);
        last_seen + timing.activity_timeout() > now
    }

    /// Removes followers that have stopped using their version.
    pub(super) fn remove_inactive(&mut self, now: Duration, timing: &Timing) {
        let timeout = timing.activity_timeout();
        self.followers.retain(|_, renewal| renewal.received_at + timeout > now);
    }

    /// The followers in the order of their names.
    pub(super) fn states(&self, now: Duration, timing: &Timing) -> Vec<FollowerStatus> {
        let lease = timing.lease_duration();
        let state = |(name, renewal): (&ServerName, &Renewal)| FollowerStatus {
            name: name.clone(),
            last: renewal.last_decided,
            since_last_seen: now.saturating_sub(renewal.received_at),
            lease_left: (renewal.received_at + lease).saturating_sub(now),
            evaluation: renewal.evaluation.clone(),
        };
        self.followers.iter().map(state).collect()
    }
}
