//! Decides, inside each server of a fleet, what it takes, runs and turns away.
//!
//! `Admission` is the decision module: one instance a server, one method for each thing that can happen.
//! It acts through the `Host` it is handed at start and knows nothing but what it is told.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

pub mod admission;
mod dedup;
pub mod host;
pub mod outstanding_calls;
pub mod parameters;
pub mod queue;
mod quotas;
mod recent_callers;
mod recent_runs;
mod request;
pub mod settings;
mod totals;
pub mod tree;
pub mod types;

pub use admission::Admission;
pub use host::Host;
pub use settings::{Settings, Value};
pub use types::{
    CallerId, DeterministicMap, Effect, IncomingRequest, Outcome, Permission, RequestClass, RequestId,
    RequestMap,
};
