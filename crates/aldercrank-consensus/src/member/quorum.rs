//! Majorities of a committee.

/// Number of members of a committee, of which more than half is a quorum.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quorum {
    pub(super) committee_size: usize,
}

impl Quorum {
    /// Whether this many members are a majority.
    pub(super) fn reached_by(self, members: usize) -> bool {
        members * 2 > self.committee_size
    }
}
