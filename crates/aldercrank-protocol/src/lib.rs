//! Codecs for the protocols of a server, without I/O: MessagePack-RPC with edge nodes and between servers, the worker
//! pool's line protocol, and HTTP with the upstream dependency and the membership service.
//!
//! Each codec is incremental, limits the size of messages, and covers both ends of its protocol. The field names and
//! commands of the protocols appear in this crate only, as string literals.

pub mod http;
pub mod index;
pub mod membership;
pub mod msgpack_rpc;
pub mod worker_pool;
