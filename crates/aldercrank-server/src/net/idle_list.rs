//! Doubly linked lists of idle connections, in the order in which they became idle. Each connection in the table holds
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

/// What a connection has been used for so far. Ordered by how likely it is that requests come on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionUse {
    /// It has never sent a complete message.
    Silent,
    /// It has sent messages, but at most health checks and requests that failed.
    WithoutRequest,
    /// A request of it was rejected, and none was answered with a result.
    Rejected,
    /// A request of it was answered with a result.
    Served,
}

/// The idle connections with the same use.
#[derive(Debug, Default)]
pub(super) struct IdleListPair {
    /// Those whose peers were not asked to close.
    pub(super) open: IdleList,
    /// Those whose peers were asked to close.
    pub(super) closing: IdleList,
}

/// The lists of idle connections.
#[derive(Debug, Default)]
pub(super) struct IdleLists {
    pub(super) silent: IdleListPair,
    pub(super) without_request: IdleListPair,
    pub(super) rejected: IdleListPair,
    pub(super) served: IdleListPair,
}

impl IdleLists {
    /// The list of the connections with this use whose peers were, or were not, asked to close.
    pub(super) fn list(&mut self, usage: ConnectionUse, is_closing: bool) -> &mut IdleList {
        let pair = match usage {
            ConnectionUse::Silent => &mut self.silent,
            ConnectionUse::WithoutRequest => &mut self.without_request,
            ConnectionUse::Rejected => &mut self.rejected,
            ConnectionUse::Served => &mut self.served,
        };
        if is_closing {
            &mut pair.closing
        } else {
            &mut pair.open
        }
    }
}
