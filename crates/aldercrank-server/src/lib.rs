//! The server: request handling core, network I/O, configuration, logging and operator commands. Admission is decided
//! by the crate `aldercrank`, which the core drives.

pub mod clock;
pub mod config;
pub mod core;
pub mod deadlines;
pub mod dedup;
pub mod logger;
pub mod net;
pub mod operator_commands;
pub mod payload;
pub mod phase;
pub mod slots;

pub use aldercrank_protocol::{http, index, membership, msgpack_rpc, worker_pool};
