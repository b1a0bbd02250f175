//! What is said on the wire, apart from sockets: the edge's MessagePack-RPC, the worker pool's lines, HTTP with
//! the index and the membership service. Incremental, bounded, without I/O.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

pub mod http;
pub mod index;
pub mod membership;
pub mod msgpack_rpc;
pub mod worker_pool;
