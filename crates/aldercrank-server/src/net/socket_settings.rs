//! The platform's settings that this module uses itself, apart from the core.

use super::edge_connections::EdgeConnections;
use super::MAX_SLEEP;
use aldercrank::{parameters, Settings};
use std::rc::Rc;
use std::time::Duration;

/// How long connections are read in a row, as a share of the setting `rules.answer_slack`.
const READ_SLICE_SHARE: f64 = 0.1;

/// Deadline of a request class.
struct ClassDeadline {
    class: Rc<str>,
    deadline: Duration,
}

/// Settings that the sockets use.
pub(super) struct SocketSettings {
    /// How long connections are read before timers are served.
    pub(super) read_slice: Duration,
    /// Whether the health reported to the membership service includes the core's.
    pub(super) reports_health: bool,
    /// The longest deadline of any request class.
    pub(super) longest_deadline: Duration,
    /// How long edge nodes keep idle connections open.
    idle_limit: Duration,
    /// The deadlines of the request classes if requests don't state budgets; otherwise empty.
    class_deadlines: Vec<ClassDeadline>,
}

impl SocketSettings {
    /// Extracts them from the platform's settings.
    pub(super) fn new(settings: &Settings) -> SocketSettings {
        let answer_slack = settings.duration("rules.answer_slack").unwrap_or(MAX_SLEEP);
        let classes = parameters::request_classes(settings);
        let longest_deadline = parameters::longest_deadline(&classes).unwrap_or(MAX_SLEEP);
        let uses_class_deadlines = settings.flag("family_info.passes_deadline") == Some(false);
        let class_deadlines = classes
            .into_iter()
            .filter(|_| uses_class_deadlines)
            .map(|class| ClassDeadline { class: class.name, deadline: class.deadline });
        SocketSettings {
            read_slice: answer_slack.mul_f64(READ_SLICE_SHARE),
            reports_health: settings.flag("family_info.readiness") != Some(false),
            longest_deadline,
            idle_limit: settings.duration("family_info.idle").unwrap_or_default(),
            class_deadlines: class_deadlines.collect(),
        }
    }

    /// Sets what the connections from edge nodes depend on.
    pub(super) fn apply_to(&self, edge: &mut EdgeConnections) {
        edge.later_message_timeout = self.longest_deadline;
        edge.close_timeouts.set_peer_limits(self.idle_limit, self.longest_deadline);
    }

    /// The budget of a request that states none: the deadline of its class. `None` if requests have to state a budget.
    pub(super) fn default_budget(&self, class: &str) -> Option<Duration> {
        let known = self.class_deadlines.iter().find(|known| *known.class == *class);
        // The core rejects requests of unknown classes, so their budget doesn't matter.
        let fallback = (!self.class_deadlines.is_empty()).then_some(self.longest_deadline);
        known.map(|known| known.deadline).or(fallback)
    }
}
