//! Tests of the real backend; none needs the bench.
mod codecs;
mod core;
mod sockets;
mod tables;
