//! Identifiers of the parts of a test cluster, each a newtype.

use aldercrank_protocol::msgpack_rpc::MessageId;
use serde::Serialize;
use std::fmt;

/// A server, by its index in the cluster; its name is `n1` for index 0 and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServerNo(pub u16);

/// An edge node, by its index; its name is `e1` for index 0 and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct EdgeNo(pub u16);

/// A caller's request; all its attempts have the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestNo(pub u32);

/// A request class, by its index in the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ClassNo(pub u8);

/// A process of one server, counted from the server's first start. Nothing that a process holds in memory carries over
/// to the next incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation(pub u32);

/// A connection between the test cluster and a process. Numbers are not reused within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ConnNo(pub u64);

/// Where the response to a request is expected: an edge node's connection, and the message id on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyTo {
    /// The connection.
    pub conn: ConnNo,
    /// The message id of the request.
    pub message_id: MessageId,
}

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
    /// Parses the name of a server; `None` if it is not of the form `n1`.
    pub fn from_name(name: &str) -> Option<ServerNo> {
        let number: u16 = name.strip_prefix('n')?.parse().ok()?;
        number.checked_sub(1).map(ServerNo)
    }
}

/// The kind of remote endpoint on a server's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum RemoteEndpoint {
    /// The server's own worker pool.
    WorkerPool,
    /// The shared index, an upstream dependency.
    Index,
    /// The membership service.
    MembershipService,
    /// The edge nodes, which connect to the server.
    EdgeNodes,
    /// Other servers, for messages about the versioned configuration.
    Peers,
}

impl RemoteEndpoint {
    /// All kinds, in the order in which scenarios list them.
    pub const ALL: [RemoteEndpoint; 5] = [
        RemoteEndpoint::WorkerPool,
        RemoteEndpoint::Index,
        RemoteEndpoint::MembershipService,
        RemoteEndpoint::EdgeNodes,
        RemoteEndpoint::Peers,
    ];

    /// The name of this kind in a scenario's `with=` property.
    pub fn scenario_name(self) -> &'static str {
        match self {
            RemoteEndpoint::WorkerPool => "pool",
            RemoteEndpoint::Index => "index",
            RemoteEndpoint::MembershipService => "list",
            RemoteEndpoint::EdgeNodes => "edges",
            RemoteEndpoint::Peers => "peers",
        }
    }
}
