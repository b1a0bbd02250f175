//! Decides, inside each server of a fleet, what it takes, runs and turns away.
//!
//! `Admission` is the decision module: one instance a server, one method for each thing that can happen.
//! It acts through the `Host` it is handed at start and knows nothing but what it is told.

pub mod admission;
pub mod calls;
mod dedup;
pub mod host;
pub mod queue;
mod quotas;
mod recent;
mod recent_callers;
pub mod settings;
pub mod terms;
mod totals;
pub mod tree;
mod txn;
pub mod types;

pub use admission::Admission;
pub use host::Host;
pub use settings::{Settings, Value};
pub use types::{Arrival, CallerId, Effect, IdMap, Leave, Outcome, Product, SteadyMap, TxnId};
