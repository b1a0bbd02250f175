//! Tests of the real backend; none needs the bench.
mod codecs;
mod core;
mod crossings;
mod harness;
mod sockets;
mod tables;
