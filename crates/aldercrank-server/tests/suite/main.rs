//! Tests of the real backend; none needs the bench.
mod codecs;
mod core;
mod crossings;
mod golden_command_line;
mod golden_config;
mod golden_consensus;
mod golden_reload;
mod harness;
mod sockets;
mod tables;

#[path = "../../../../tests/golden/compare.rs"]
mod compare;
