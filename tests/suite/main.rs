//! Tests of admission control; `model` is their one file of support code.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod changes_in_service;
mod generated_inputs;
mod golden;
mod model;
mod running_sums;
mod upstream_calls;
mod window_and_queue;
