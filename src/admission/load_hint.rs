//! The load hint that is sent to callers with every answer.

use super::constants::{COLD_HINT, HINT_LATENCY_SHARE};
use super::Admission;
use crate::host::Host;
use crate::parameters::LoadHintForm;
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Computes the load hint in the form given by the settings, and passes it to the host if it has changed.
    pub(super) fn update_load_hint(&mut self, now: Duration) {
        let Some(form) = self.parameters.load_hint_form else { return };
        let value = match form {
            LoadHintForm::Threshold => self.threshold.min(1.0) / self.classes.len().max(1) as f64,
            LoadHintForm::ShareOfLoad if !self.healthy => 0.0,
            LoadHintForm::ShareOfLoad => {
                (COLD_HINT + (1.0 - COLD_HINT) * self.warm_up_progress(now))
                    * (1.0 - self.threshold.min(1.0) / 2.0)
            }
            LoadHintForm::Window => self.caller_window(now),
        };
        // Rounded so that small changes are not sent: to multiples of 0.05 below 10, and to integers from 10 on.
        let value = if value < 10.0 { (value * 20.0).round() / 20.0 } else { value.round() };
        if std::mem::replace(&mut self.last_load_hint, value) != value {
            self.host.set_load_hint(value);
        }
    }

    /// Number of requests that one caller may have in flight at this server. It is the same for all callers, and larger
    /// the more the recent requests are concentrated on a few of them.
    fn caller_window(&self, now: Duration) -> f64 {
        let caller_share = self.recent_callers.same_caller_share().max(1.0 / self.parameters.caller_count);
        let seconds_in_server =
            |class: usize| (self.run_seconds_now(now, class) + self.unread_seconds).max(1e-3);
        self.window
            * HINT_LATENCY_SHARE
            * self.mean_over_arrivals(|class| {
                self.classes[class].latency_target.as_secs_f64() / seconds_in_server(class)
            })
            * caller_share
    }
}
