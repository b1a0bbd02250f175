//! A scenario: the cluster, its request classes and callers, the timeline of injected faults, and the bounds on the
//! outcome. It is read from a KDL document; a document with any error yields no scenario. A document may include
//! another and override parts of it.

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
