//! What a server may do under its lease.

use std::time::Duration;

/// What a server may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PermissionLevel {
    /// Nothing: it has never known the committed version, or its lease ended too long ago.
    Denied,
    /// Idempotent requests alone: it has no lease, or has restarted with a version from disk.
    IdempotentOnly,
    /// Everything that its version allows.
    Full,
}

/// Until when a server may act, on the clock of its follower. `Duration::MAX` is without end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermissionBounds {
    /// End of [`PermissionLevel::Full`]: of the lease.
    pub full_until: Duration,
    /// End of [`PermissionLevel::IdempotentOnly`].
    pub idempotent_until: Duration,
}
