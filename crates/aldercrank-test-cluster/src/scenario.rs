//! A scenario: the cluster, its request classes and callers, the faults of its timeline, and the bounds that must hold.
//! It is read from a KDL document, in full or not at all; a document may include another and state what differs.

mod bounds;
mod defaults;
mod error;
mod model;
mod read;
mod read_step;
mod timeline;
mod validate;

pub use bounds::Bounds;
pub use error::{Contradiction, ScenarioError, ScenarioErrors};
pub use model::{
    zone_name, Callers, Fleet, InjectedViolation, RequestClass, Scenario, VersionedConfigSettings,
};
pub use timeline::{ConfigCorruption, Fault, ProcessSignal, Publication, SignalSeries, Step, Target};
