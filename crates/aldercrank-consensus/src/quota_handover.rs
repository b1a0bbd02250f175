//! Handover of quotas between servers while their sum stays within a limit. A decrease takes effect at once. An
//! increase waits until every server that may still use the previous version has decreased its quota or lost its
//! lease, and until the uses begun by then have ended: the agreement bound after the version was committed, plus the
//! longest use of a quota.

use crate::timing::{InjectedFault, Timing};
use std::time::Duration;

/// Limit on the quotas kept. If versions arrive so fast that there would be more, the two oldest are merged into the
/// smaller one.
const MAX_QUOTAS: usize = 8;

/// The quota that one version gives this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct VersionQuota<T> {
    quota: T,
    /// Until when it caps the quota that may be used; `Duration::MAX` for the newest.
    limits_until: Duration,
}

/// The quota that may be used at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AvailableQuota<T> {
    /// The quota.
    pub quota: T,
    /// When it may next increase; `None` if only the newest quota remains.
    pub increases_at: Option<Duration>,
}

/// The quota of this server over successive versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaHandover<T> {
    timing: Timing,
    longest_use: Duration,
    /// Oldest first.
    quotas: Vec<VersionQuota<T>>,
}

impl<T: PartialOrd + Copy + Default> QuotaHandover<T> {
    /// Begins with an empty quota: until the handover time is over, another server may still use this server's part.
    /// `longest_use` is the longest duration of one use of a quota.
    pub fn new(timing: Timing, longest_use: Duration) -> QuotaHandover<T> {
        let empty = VersionQuota { quota: T::default(), limits_until: Duration::ZERO };
        QuotaHandover { timing, longest_use, quotas: vec![empty] }
    }

    /// Adds the quota of a version that was committed at least `committed_for` ago.
    pub fn version_committed(&mut self, now: Duration, quota: T, committed_for: Duration) {
        self.remove_expired(now);
        let wait = if self.timing.injected_fault == Some(InjectedFault::NoHandoverWait) {
            Duration::ZERO
        } else {
            self.timing.agreement_bound + self.longest_use
        };
        let newest = self.quotas.len() - 1;
        self.quotas[newest].limits_until = now + wait.saturating_sub(committed_for);
        self.quotas.push(VersionQuota { quota, limits_until: Duration::MAX });
        if self.quotas.len() > MAX_QUOTAS {
            let (first, second) = (self.quotas[0], self.quotas[1]);
            let smaller = if first.quota < second.quota { first.quota } else { second.quota };
            let limits_until = second.limits_until.max(first.limits_until);
            self.quotas.splice(..2, [VersionQuota { quota: smaller, limits_until }]);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        let newest = self.quotas.len() - 1;
        let expired = self.quotas[..newest].iter().take_while(|quota| quota.limits_until <= now).count();
        self.quotas.drain(..expired);
    }

    /// The quota that may be used now.
    pub fn available(&mut self, now: Duration) -> AvailableQuota<T> {
        self.remove_expired(now);
        let quotas = self.quotas.iter().map(|quota| quota.quota);
        let smallest = quotas.reduce(|least, quota| if quota < least { quota } else { least });
        let next = self.quotas[..self.quotas.len() - 1].first().map(|quota| quota.limits_until);
        AvailableQuota { quota: smallest.unwrap_or_default(), increases_at: next }
    }
}
