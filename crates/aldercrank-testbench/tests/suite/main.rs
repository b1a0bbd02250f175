//! The testbench's tests. Most of them start several server processes.

// Support code is public only to the modules of this test, and tests with scenarios may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod cluster;
mod cold_start;
mod common;
mod cost_budget;
mod golden_command_line;
mod golden_written_config;
mod known_red;
mod versions;

#[path = "../../../../tests/golden/compare.rs"]
mod compare;
