//! The names of things in a fleet, each a type of its own.

use serde::Serialize;
use std::fmt;

/// A server, by its place in the fleet; its name is `n1` and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServerNo(pub u16);

/// An edge node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct EdgeNo(pub u16);

/// A caller's txn, whatever the number of its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestNo(pub u32);

/// A product, by its place in the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ClassNo(pub u8);

/// Counts the starts of one server: what one life knows, the next does not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation(pub u32);

/// A connection between the rig and a process, never given out twice in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ConnNo(pub u64);

impl fmt::Display for ServerNo {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "n{}", self.0 + 1)
    }
}

impl fmt::Display for EdgeNo {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "e{}", self.0 + 1)
    }
}

impl ServerNo {
    /// By the name that a server reports itself under.
    pub fn named(name: &str) -> Option<ServerNo> {
        let number: u16 = name.strip_prefix('n')?.parse().ok()?;
        number.checked_sub(1).map(ServerNo)
    }
}

/// What a server speaks with, at the far end of a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum RemoteEndpoint {
    Pool,
    Index,
    MembershipStub,
    EdgeNodes,
    /// Other servers, which it asks and is asked by about the rule book.
    Peers,
}

impl RemoteEndpoint {
    pub const ALL: [RemoteEndpoint; 5] = [
        RemoteEndpoint::Pool,
        RemoteEndpoint::Index,
        RemoteEndpoint::MembershipStub,
        RemoteEndpoint::EdgeNodes,
        RemoteEndpoint::Peers,
    ];

    pub fn word(self) -> &'static str {
        match self {
            RemoteEndpoint::Pool => "pool",
            RemoteEndpoint::Index => "index",
            RemoteEndpoint::MembershipStub => "list",
            RemoteEndpoint::EdgeNodes => "edges",
            RemoteEndpoint::Peers => "peers",
        }
    }
}
