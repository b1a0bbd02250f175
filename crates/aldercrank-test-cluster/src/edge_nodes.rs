//! Stub edge nodes and their callers. They learn of servers from a view of the membership that may be outdated, choose
//! among them by a configurable policy, and retry requests where a further run does no harm. They perform no I/O and
//! read no clock.

mod attempts;
mod choose_server;
mod connections;
mod host;
mod policy;
mod request;
mod responses;
mod state;

pub use host::{EdgeHost, EdgeTimer};
pub use policy::{CallerPolicy, ConnectionUsage, RequestClass, ServerChoice};
pub use request::{request_body, Request, RequestEnd};
pub use state::EdgeNodes;
