//! The protocols of a server, without sockets: MessagePack-RPC with edge nodes and between servers, the worker pool's
//! lines, and HTTP with the upstream dependency and the membership service.
//!
//! Each codec is incremental and bounded, and serves both ends of its protocol. The protocols' own field names and
//! commands stand here alone, as string literals.

pub mod http;
pub mod index;
pub mod membership;
pub mod msgpack_rpc;
pub mod worker_pool;
