//! Timers, and the start of a graceful shutdown.

use super::ports::{Ports, TimerId};
use super::request::{Delivery, Request};
use super::state::LinkState;
use super::Core;
use std::time::Duration;

impl<P: Ports> Core<P> {
    /// A timer is due.
    pub fn timer_fired(&mut self, now: Duration, timer: TimerId) {
        let state = self.advance_to(now);
        match timer {
            TimerId::Tick => {
                let load_metrics = std::mem::take(&mut state.load_metrics);
                self.admission.timer_fired(now, &load_metrics);
                self.admission.host.load_metrics = load_metrics;
                if let Some(tracker) = &mut self.slow_start {
                    tracker.evaluate(now);
                }
            }
            // At most one poll is outstanding; while the link is down, the previous metrics are kept.
            TimerId::LoadMetrics if state.link == LinkState::Up && !state.polling => {
                state.poll_load_metrics();
            }
            TimerId::LoadMetrics => {}
            TimerId::DedupExpiry(entry) => match state.entry_removable_at(entry).filter(|at| *at > now) {
                Some(at) => state.ports.set_timer(timer, at - now),
                None => state.dedup.expire(entry).into_iter().for_each(|id| state.release_slot(id)),
            },
            TimerId::ResendStart(id) => {
                // The edge node has read the response by now. If the run never started, it does not start now, and the
                // pool reports that it never started.
                let unknown = |request: &&mut Request| request.delivery == Delivery::Unknown;
                if state.link == LinkState::Up && state.running_request(id).filter(unknown).is_some() {
                    state.send_start(id);
                }
            }
        }
        self.notify_ended();
    }

    /// Starts the graceful shutdown; the process stops at `stop_at`.
    pub fn drain(&mut self, now: Duration, stop_at: Duration) {
        self.advance_to(now);
        self.admission.drain(now, stop_at);
        self.notify_ended();
    }
}
