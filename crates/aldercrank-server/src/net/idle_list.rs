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

/// Which list an idle connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleKind {
    /// It has never sent a complete message.
    WithoutMessage,
    /// It has sent a complete message.
    WithMessage,
    /// Its peer was asked to close.
    Closing,
}

/// The lists of idle connections.
#[derive(Debug, Default)]
pub(super) struct IdleLists {
    pub(super) without_message: IdleList,
    pub(super) with_message: IdleList,
    pub(super) closing: IdleList,
}

impl IdleLists {
    /// The list of this kind.
    pub(super) fn list(&mut self, kind: IdleKind) -> &mut IdleList {
        match kind {
            IdleKind::WithoutMessage => &mut self.without_message,
            IdleKind::WithMessage => &mut self.with_message,
            IdleKind::Closing => &mut self.closing,
        }
    }
}
