//! Graceful shutdown, from SIGTERM to the exit.
//!
//! The core drains at once. After the platform's grace period the server stops listening and asks all peers to close;
//! just before the time at which the process would be killed it exits, whatever is left.

use super::{Server, TimerEvent, LISTEN_RETRY_INTERVAL};
use std::time::Duration;

/// The last part of the time until the stop, in which connections close.
const CLOSING_SHARE: f64 = 0.1;
/// The part of the grace period over which the reports of servers that are stopped together are spread.
const REPORT_SPREAD_SHARE: f64 = 0.3;

impl Server {
    /// The process was asked to stop. Asking again changes nothing.
    pub(super) fn shutdown_requested(&mut self) {
        let now = self.now();
        let closing_span = self.time_to_stop.mul_f64(CLOSING_SHARE);
        let drained_by = now + self.time_to_stop - closing_span;
        let grace_period = self.config.settings.span("rules.stop_sending_within").unwrap_or_default();
        if !self.phase.start_draining() {
            return;
        }
        // Hundreds of servers may be stopped together, and their reports must not come in one burst. No connection
        // closes later than at the end of the grace period.
        let spread = grace_period.min(self.time_to_stop).mul_f64(REPORT_SPREAD_SHARE);
        let earlier = match self.core {
            Some(_) => self.schedule_shutdown_report(spread),
            None => Duration::ZERO,
        };
        let stop_listening_at = (now + grace_period).saturating_sub(earlier).min(drained_by);
        self.net().timers.set(TimerEvent::StopListening, stop_listening_at);
        let exit_at = drained_by + closing_span / 2;
        self.net().timers.set(TimerEvent::Exit, exit_at);
        self.net().edge.limit_close_timeout(exit_at.saturating_sub(stop_listening_at));
        if let Some(core) = &mut self.core {
            core.drain(now, drained_by);
        } else {
            self.stop_listening(now);
        }
    }

    /// Stops listening and asks all peers to close. Nothing that comes from here on would run, which a refused
    /// connection says best. Connections in the accept queue would be reset together with the requests written on them,
    /// so the listener closes only once none is left.
    pub(super) fn stop_listening(&mut self, now: Duration) {
        if let Some(listener) = self.listener.take() {
            let queue_is_empty = self.accept(&listener);
            match self.listener_token.take_if(|_| queue_is_empty) {
                Some(token) => self.net().event_loop.remove(token),
                None => {
                    self.listener = Some(listener);
                    self.net().timers.set(TimerEvent::StopListening, now + LISTEN_RETRY_INTERVAL);
                }
            }
        }
        let mut net = self.net();
        let net = &mut *net;
        net.edge.ask_all_to_close(now, &mut net.timers);
    }

    /// Whether a draining server has nothing left to do.
    pub(super) fn is_drained(&self) -> bool {
        let owes_answers = self.core.as_ref().is_some_and(|core| core.responses_owed() > 0);
        let owes_report = self.net().reports.shutdown_report_pending();
        let is_closed = self.listener.is_none() && self.net().edge.is_empty();
        self.phase.is_draining() && is_closed && !owes_answers && !owes_report
    }
}
