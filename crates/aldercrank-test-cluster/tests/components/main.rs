//! Tests of the parts of a test cluster that perform no network I/O: relayed links, stub services, the invariant
//! checker, scenarios.

// Support code is private to this test binary, and tests that walk through a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod fault_search;
mod invariant_checker;
mod process;
mod relayed_link;
mod scenarios;
mod stub_services;
mod worker_pool_stub;

use aldercrank_protocol::worker_pool::AttemptId;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn attempt(n: u32) -> AttemptId {
    AttemptId::new(&format!("{n:016x}")).unwrap()
}
