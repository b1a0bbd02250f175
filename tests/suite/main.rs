//! Tests of admission control. The module `model` holds the code that they share.

// The items of `model` are only used within this test binary, so they need no documentation; test scenarios may be
// long.
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
mod recovery;
mod running_sums;
mod upstream_calls;
mod window_and_queue;
