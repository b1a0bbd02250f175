//! What the sockets themselves take from the platform's settings.

use super::MAX_SLEEP;
use aldercrank::Settings;
use std::rc::Rc;
use std::time::Duration;

/// How long connections are read in a row, as a share of the slack that answers have.
const READ_SLICE_SHARE: f64 = 0.1;

/// Deadline of a request class.
struct ClassDeadline {
    class: Rc<str>,
    deadline: Duration,
}

/// Settings of the sockets.
pub(super) struct SocketSettings {
    /// How long connections are read before timers are served.
    pub(super) read_slice: Duration,
    /// Whether the report to the membership service depends on health.
    pub(super) reports_health: bool,
    /// The longest deadline of any request class.
    pub(super) longest_deadline: Duration,
    /// The deadlines of the request classes, where requests don't state their own; else empty.
    class_deadlines: Vec<ClassDeadline>,
}

impl SocketSettings {
    /// Reads them from the platform's settings.
    pub(super) fn new(settings: &Settings) -> SocketSettings {
        let answer_slack = settings.span("rules.answer_slack").unwrap_or(MAX_SLEEP);
        let classes = aldercrank::parameters::request_classes(settings);
        let longest_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or(MAX_SLEEP);
        let requests_state_none = settings.flag("family_info.passes_deadline") == Some(false);
        let class_deadlines = classes
            .into_iter()
            .filter(|_| requests_state_none)
            .map(|class| ClassDeadline { class: class.name, deadline: class.deadline });
        SocketSettings {
            read_slice: answer_slack.mul_f64(READ_SLICE_SHARE),
            reports_health: settings.flag("family_info.readiness") != Some(false),
            longest_deadline,
            class_deadlines: class_deadlines.collect(),
        }
    }

    /// The time that the caller of a request without a stated budget waits: the deadline of its class. `None` where
    /// requests have to state theirs.
    pub(super) fn default_budget(&self, class: &str) -> Option<Duration> {
        let known = self.class_deadlines.iter().find(|known| *known.class == *class);
        // The core rejects unknown classes, whatever their deadline.
        let fallback = (!self.class_deadlines.is_empty()).then_some(self.longest_deadline);
        known.map(|known| known.deadline).or(fallback)
    }
}
