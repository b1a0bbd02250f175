//! The real backend round aldercrank's module: sockets, clock and signals. The module decides everything.

pub mod clock;
pub mod config;
pub mod core;
pub mod deadlines;
pub mod dedup;
pub mod logger;
pub mod net;
pub mod operate;
pub mod payload;
pub mod phase;
pub mod slots;

pub use aldercrank_wire::{http, index, members, msgpack, pool};
