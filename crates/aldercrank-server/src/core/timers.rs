//! Events of the clock: timers that are due, and the start of a graceful shutdown.

use super::ports::{Ports, TimerId};
use super::request::{Delivery, Request};
use super::state::LinkState;
use super::Core;
use std::time::Duration;

impl<P: Ports> Core<P> {
    /// A timer is due.
    pub fn timer_fired(&mut self, now: Duration, what: TimerId) {
        let state = self.advance_to(now);
        match what {
            TimerId::Tick => {
                let load_metrics = std::mem::take(&mut state.load_metrics);
                self.admission.timer_fired(now, &load_metrics);
                self.admission.host.load_metrics = load_metrics;
                if let Some(tracker) = &mut self.slow_start {
                    tracker.evaluate(now);
                }
            }
            // One poll is unanswered at a time; without a link the previous metrics stay.
            TimerId::LoadMetrics if state.link == LinkState::Up && !state.polling => {
                state.poll_load_metrics();
            }
            TimerId::LoadMetrics => {}
            TimerId::DedupExpiry(entry) => {
                let longest_window = state.longest_window;
                match state.dedup.expires_at(entry, longest_window).filter(|end| *end > now) {
                    Some(end) => state.ports.set_timer(what, end - now),
                    None => state.dedup.expire(entry).into_iter().for_each(|id| state.release_slot(id)),
                }
            }
            TimerId::ResendStart(id) => {
                // Its response has been read by now, so a run that never started does not start: the pool reports it.
                let unknown = |request: &&mut Request| request.delivery == Delivery::Unknown;
                if state.link == LinkState::Up && state.running_request(id).filter(unknown).is_some() {
                    state.send_start(id);
                }
            }
        }
        self.notify_ended();
    }

    /// Starts the graceful shutdown; the process stops at `stop`.
    pub fn drain(&mut self, now: Duration, stop: Duration) {
        self.advance_to(now);
        self.admission.drain(now, stop);
        self.notify_ended();
    }
}
