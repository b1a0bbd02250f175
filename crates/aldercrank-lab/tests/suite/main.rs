//! The laboratory's tests: each starts several processes of the program.

mod common;
mod fleet;
mod golden_command_line;
mod golden_written_config;
mod known_red;
mod rules;
mod start;

#[path = "../../../../tests/golden/compare.rs"]
mod compare;
