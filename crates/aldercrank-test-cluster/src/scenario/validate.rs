//! Checks that the parts of a scenario do not contradict each other.

use super::error::Contradiction;
use super::model::Scenario;
use super::timeline::{Fault, Step};

/// Numerator of the share of a server's descriptors that connections of edge nodes may take.
const CONNECTIONS_NUMERATOR: usize = 7;
/// Denominator of this share.
const CONNECTIONS_DENOMINATOR: usize = 10;

impl Scenario {
    /// Returns the first contradiction as an error.
    pub(super) fn validate(&self) -> Result<(), Contradiction> {
        let all_shares: f64 = self.classes.iter().map(|class| class.share).sum();
        if all_shares <= 0.0 {
            return Err(Contradiction::NoRequests);
        }
        if let Some(class) = self.classes.iter().find(|class| class.deadline < class.latency_target) {
            return Err(Contradiction::DeadlineBeforeTarget { class: class.name.clone() });
        }
        if let Some(step) = self.timeline.iter().find(|step| step.at >= self.span) {
            let (at, span) = (step.at.as_secs_f64(), self.span.as_secs_f64());
            return Err(Contradiction::StepAfterEnd { fault: step.word.clone(), at, span });
        }
        let needs_versions = |step: &&Step| {
            matches!(
                step.fault,
                Fault::Publish(_)
                    | Fault::Withdraw
                    | Fault::StoreCorruptConfig(_)
                    | Fault::StoreInitialVersion
            )
        };
        if let (Some(step), None) = (self.timeline.iter().find(needs_versions), &self.versioned_config) {
            return Err(Contradiction::NoVersionedConfig { fault: step.word.clone() });
        }
        if self.versioned_config.as_ref().is_some_and(|settings| settings.committee > self.fleet.servers) {
            return Err(Contradiction::CommitteeTooLarge);
        }
        if self.fleet.zones > self.fleet.servers {
            return Err(Contradiction::TooManyZones);
        }
        self.validate_connections()
    }

    fn validate_connections(&self) -> Result<(), Contradiction> {
        let connections_each = self.callers.policy.max_connections;
        let connections = self.callers.edges * (connections_each + 1);
        let sockets = self.fleet.max_sockets;
        let capacity = sockets * CONNECTIONS_NUMERATOR / CONNECTIONS_DENOMINATOR;
        if connections > capacity {
            let edges = self.callers.edges;
            return Err(Contradiction::TooManyConnections {
                edges,
                connections_each,
                connections,
                capacity,
                sockets,
            });
        }
        Ok(())
    }
}
