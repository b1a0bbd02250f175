//! The simulator's protocol: batches of events in, batches of actions out, one JSON document a line.
//!
//! [`SimulatorAdapter`] holds the simulated instances of one process. It decodes each event into a call of
//! [`aldercrank::Admission`] and encodes the actions that follow. It makes no decisions.

mod actions;
mod adapter;
mod error;
mod events;

pub use actions::ActionBuffer;
pub use adapter::SimulatorAdapter;
pub use error::{AdapterError, BatchError, MissingPart};
