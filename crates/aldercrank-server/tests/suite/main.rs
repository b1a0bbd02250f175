//! Integration tests of the server. None of them needs the test bench.

// Public items are used only by the modules of this test crate, so they need no docs; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]
mod codecs;
mod config;
mod core;
mod crossings;
mod delayed_input;
mod departed_clients;
mod edge_connections;
mod edge_protocol;
mod golden_command_line;
mod golden_config;
mod golden_consensus;
mod golden_reload;
mod harness;
mod lifecycle;
mod logger;
mod output_buffer;
mod phase;
mod repeated_attempts;
mod shared_reads;
mod slow_clients;
mod state_file;
mod tables;
mod unknown_requests;
mod version_polling;
mod worker_pool_link;

#[path = "../../../../tests/golden/compare.rs"]
mod compare;
