//! Admission control for one server of a fleet: decides which requests the server queues, runs and rejects.
//!
//! [`Admission`] is a state machine without I/O and without a clock. The server calls one method per event and passes
//! the time since it started; the state machine carries out its decisions through the [`Host`] that it was given.

pub mod admission;
mod dedup;
pub mod host;
pub mod outstanding_calls;
pub mod parameters;
pub mod queue;
pub mod range_summary_map;
mod recent_callers;
mod recent_runs;
mod request;
mod request_totals;
pub mod settings;
mod tenant_quotas;
pub mod types;

pub use admission::Admission;
pub use host::Host;
pub use settings::{Settings, Value};
pub use types::{
    CallerId, DeterministicMap, Effect, IncomingRequest, Outcome, Permission, RequestClass, RequestId,
    RequestMap,
};
