//! Stub edge nodes and their callers, without sockets and clock. They learn of servers from a membership view that may
//! be old, choose among them by a configurable policy, and retry requests where a further run does no harm.

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
