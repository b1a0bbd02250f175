//! The laboratory's tests: each starts several processes of the program.

mod common;
mod fleet;
mod known_red;
mod rules;
mod start;
