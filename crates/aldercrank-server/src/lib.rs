//! The real backend round aldercrank's module: sockets, clock and signals. The module decides everything.

pub mod clock;
pub mod config;
pub mod core;
pub mod deadlines;
pub mod http;
pub mod index;
pub mod keys;
pub mod logger;
pub mod members;
pub mod msgpack;
pub mod net;
pub mod payload;
pub mod phase;
pub mod pool;
pub mod slots;
