//! All tests of the module; `common` is their one file of helpers.

mod common;
mod golden;
mod held;
mod mechanism;
mod reset;
mod rules;
