//! All tests of the module; `common` is their one file of helpers.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod common;
mod golden;
mod held;
mod mechanism;
mod reset;
mod rules;
