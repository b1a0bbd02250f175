//! The lease under which a server may admit requests.

use aldercrank::{Effect, Permission};
use std::time::Duration;

/// Until when requests may be admitted. Without a versioned configuration, the lease never expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lease {
    /// Everything is permitted before this time.
    full_until: Duration,
    /// Idempotent requests are permitted before this time.
    idempotent_until: Duration,
    /// The permission that the admission module was last given.
    applied: Permission,
}

impl Default for Lease {
    fn default() -> Self {
        Lease { full_until: Duration::MAX, idempotent_until: Duration::MAX, applied: Permission::Everything }
    }
}

impl Lease {
    /// Replaces both end times. The lease on idempotent requests ends no earlier than the full one.
    pub(super) fn renew(&mut self, full_until: Duration, idempotent_until: Duration) {
        (self.full_until, self.idempotent_until) = (full_until, idempotent_until.max(full_until));
    }

    fn permission_at(&self, now: Duration) -> Permission {
        if now < self.full_until {
            Permission::Everything
        } else if now < self.idempotent_until {
            Permission::Idempotent
        } else {
            Permission::Nothing
        }
    }

    /// Returns when the applied permission ends.
    pub(super) fn next_change(&self) -> Duration {
        match self.applied {
            Permission::Everything => self.full_until,
            Permission::Idempotent => self.idempotent_until,
            Permission::Nothing => Duration::MAX,
        }
    }

    /// Returns the permission at this time if it differs from the applied one, and records it as applied.
    pub(super) fn take_change(&mut self, now: Duration) -> Option<Permission> {
        let permission = self.permission_at(now);
        (std::mem::replace(&mut self.applied, permission) != permission).then_some(permission)
    }

    pub(super) fn permits(&self, effect: Effect) -> bool {
        self.applied.permits(effect)
    }

    pub(super) fn is_full(&self) -> bool {
        self.applied == Permission::Everything
    }
}
