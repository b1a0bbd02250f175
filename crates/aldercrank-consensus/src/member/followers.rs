//! The registry of followers: the servers that renew their leases at this member, and what they last reported.

use crate::messages::{Evaluation, ServerName, VersionId};
use crate::timing::Timing;
use std::collections::BTreeMap;
use std::time::Duration;

/// Capacity of the registry.
const MAX_FOLLOWERS: usize = 4096;
/// How long a follower counts as in contact after its last renewal, in renewal intervals.
const CONTACT_RENEWAL_INTERVALS: f64 = 1.6;

/// A follower's last renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Renewal {
    pub(super) received_at: Duration,
    /// Whether it was granted a lease here. A follower that was not goes on to another member.
    pub(super) lease_granted: bool,
    /// The number decided last that the follower knows of.
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

/// A follower's status for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerStatus {
    /// The follower.
    pub name: ServerName,
    /// The number decided last that the follower knows of.
    pub last_decided: u64,
    /// Time since its last renewal.
    pub since_last_seen: Duration,
    /// Upper bound on what is left of its lease.
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

    /// Whether the follower is registered already or fits in.
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

    /// Removes followers that have been silent for so long that they have stopped using their version.
    pub(super) fn remove_inactive(&mut self, now: Duration, timing: &Timing) {
        let timeout = timing.activity_timeout();
        self.followers.retain(|_, renewal| renewal.received_at + timeout > now);
    }

    /// The statuses of all followers, in the order of their names.
    pub(super) fn statuses(&self, now: Duration, timing: &Timing) -> Vec<FollowerStatus> {
        let lease = timing.lease_duration();
        let status = |(name, renewal): (&ServerName, &Renewal)| FollowerStatus {
            name: name.clone(),
            last_decided: renewal.last_decided,
            since_last_seen: now.saturating_sub(renewal.received_at),
            lease_left: (renewal.received_at + lease).saturating_sub(now),
            evaluation: renewal.evaluation.clone(),
        };
        self.followers.iter().map(status).collect()
    }
}
