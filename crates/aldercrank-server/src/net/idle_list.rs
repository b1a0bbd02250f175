//! A doubly linked list of idle connections, in the order in which they became idle. Each connection in the table holds
//! its own link.
//!
//! Connections are appended at the end, so adding and removing take constant time.

use crate::core::ConnId;

/// The neighbours of a connection in its list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IdleLink {
    pub(super) previous: Option<ConnId>,
    pub(super) next: Option<ConnId>,
}

/// The first and the last connection of a list.
#[derive(Debug, Default)]
pub(super) struct IdleList {
    pub(super) first: Option<ConnId>,
    pub(super) last: Option<ConnId>,
}
