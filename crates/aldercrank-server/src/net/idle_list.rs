//! A doubly linked list through the table of connections, in the order in which they became idle.
//!
//! Connections join at the end, so adding and removing cost the same however many there are.

use crate::core::ConnId;

/// The neighbours of a connection in its list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IdleLink {
    pub(super) previous: Option<ConnId>,
    pub(super) next: Option<ConnId>,
}

/// The ends of a list.
#[derive(Debug, Default)]
pub(super) struct IdleList {
    pub(super) first: Option<ConnId>,
    pub(super) last: Option<ConnId>,
}
