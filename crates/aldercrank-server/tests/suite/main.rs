//! Tests of the real backend; none needs the bench.
mod codecs;
mod core;
mod crossings;
mod golden_consensus;
mod harness;
mod sockets;
mod tables;
