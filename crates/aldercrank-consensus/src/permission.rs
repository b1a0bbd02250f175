//! What a server may do under its lease.

use std::time::Duration;

/// What a server may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PermissionLevel {
    /// Nothing: it knows no committed version that it can apply, or it has been without a lease for too long.
    Denied,
    /// Only idempotent requests: its lease has ended, or it has restarted with a version from disk.
    IdempotentOnly,
    /// Everything that its version allows.
    Full,
}

/// Until when a server has each permission level, on the clock of its follower. `Duration::MAX` means no end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermissionBounds {
    /// End of [`PermissionLevel::Full`], which is the end of the lease.
    pub full_until: Duration,
    /// End of [`PermissionLevel::IdempotentOnly`].
    pub idempotent_until: Duration,
}
