//! Graceful shutdown, from SIGTERM to the exit.
//!
//! The core drains at once. After the platform's grace period the server stops listening and asks all peers to close.
//! Shortly before the process would be killed it exits, even if answers or connections are left.

use super::{Server, TimerEvent, ACCEPT_RETRY_INTERVAL};
use std::time::Duration;

/// The share of the stop timeout, at its end, in which connections close.
const CLOSING_SHARE: f64 = 0.1;
/// The share of the grace period over which servers that are stopped together spread their reports.
const REPORT_SPREAD_SHARE: f64 = 0.3;

impl Server {
    /// Starts the graceful shutdown. Has no effect once it has started.
    pub(super) fn shutdown_requested(&mut self) {
        let now = self.now();
        let closing_time = self.stop_timeout.mul_f64(CLOSING_SHARE);
        let drained_by = now + self.stop_timeout - closing_time;
        let grace_period = self.config.settings.duration("rules.stop_sending_within").unwrap_or_default();
        if !self.phase.start_draining() {
            return;
        }
        // Hundreds of servers may be stopped together, and their reports must not arrive in one burst. Peers are asked
        // to close no later than at the end of the grace period.
        let spread = grace_period.min(self.stop_timeout).mul_f64(REPORT_SPREAD_SHARE);
        let lead_time = match self.core {
            Some(_) => self.schedule_shutdown_report(spread),
            None => Duration::ZERO,
        };
        let stop_listening_at = (now + grace_period).saturating_sub(lead_time).min(drained_by);
        self.net().timers.set(TimerEvent::StopListening, stop_listening_at);
        let exit_at = drained_by + closing_time / 2;
        self.net().timers.set(TimerEvent::Exit, exit_at);
        self.net().edge.close_timeouts.limit(exit_at.saturating_sub(stop_listening_at));
        if let Some(core) = &mut self.core {
            core.drain(now, drained_by);
        } else {
            self.stop_listening(now);
        }
    }

    /// Stops listening and asks all peers to close. New requests would not run, and a refused connection makes that
    /// unambiguous. Closing the listener resets the connections in the accept queue and loses the requests written on
    /// them, so it is closed only once the queue is empty.
    pub(super) fn stop_listening(&mut self, now: Duration) {
        if let Some(listener) = self.listener.take() {
            let queue_is_empty = self.accept(&listener);
            match self.listener_token.take_if(|_| queue_is_empty) {
                Some(token) => self.net().event_loop.remove(token),
                None => {
                    self.listener = Some(listener);
                    self.net().timers.set(TimerEvent::StopListening, now + ACCEPT_RETRY_INTERVAL);
                }
            }
        }
        let mut net = self.net();
        let net = &mut *net;
        net.edge.ask_all_to_close(now, &mut net.timers);
    }

    /// Whether the server is draining and has nothing left to do: no connections, no answers owed, no report pending.
    pub(super) fn is_drained(&self) -> bool {
        let owes_answers = self.core.as_ref().is_some_and(|core| core.responses_owed() > 0);
        let owes_report = self.net().reports.shutdown_report_pending();
        let is_closed = self.listener.is_none() && self.net().edge.is_empty();
        self.phase.is_draining() && is_closed && !owes_answers && !owes_report
    }
}
