//! A server: its core, its sockets, its configuration, its log and the operators' commands. Admission is decided by the
//! package `aldercrank`, which the core drives.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

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
