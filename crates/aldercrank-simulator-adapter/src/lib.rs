//! The simulator's protocol: batches of events as input, batches of actions as output, one JSON document per line.
//!
//! [`SimulatorAdapter`] holds the simulated instances of one process. It decodes each event into a call of
//! [`aldercrank::Admission`], and encodes the actions that result. It makes no decisions of its own.

mod actions;
mod adapter;
mod error;
mod events;

pub use actions::ActionBuffer;
pub use adapter::SimulatorAdapter;
pub use error::{AdapterError, BatchError, InvalidPart};
