//! Events of the link to the worker pool. They track which commands the pool had received when the link was lost, and
//! which are sent again once it is restored.

use super::ports::{Ports, TimerId};
use super::request::{CallResult, Delivery, Request};
use super::state::{slot, CoreState, EndedRequest, LinkState, RESEND_AFTER_TICKS};
use super::Core;
use crate::worker_pool::AttemptId;
use aldercrank::{Effect, Outcome, RequestId};
use std::time::Duration;

impl<P: Ports> CoreState<P> {
    /// Records that no byte of this attempt's start command was written before the link was lost.
    fn mark_start_unsent(&mut self, attempt: AttemptId) {
        let Some(id) = self.in_flight.get(&attempt).copied() else { return };
        let Some(request) = self.request(id) else { return };
        if request.is_running() && matches!(request.delivery, Delivery::ConfirmedBy(_)) {
            request.delivery = Delivery::Unsent;
        }
        // The start of a request without a caller is not sent again.
        if request.reply_to.is_none() {
            self.cancel_unsent_start(id);
        }
    }

    /// Records that a command may or may not have been received, if no poll has confirmed it. A command to skip a call
    /// is sent again.
    fn mark_unconfirmed_unknown(&mut self, id: RequestId) {
        let answered_poll_tag = self.answered_poll_tag;
        let unconfirmed =
            |r: &&mut Request| matches!(r.delivery, Delivery::ConfirmedBy(tag) if tag > answered_poll_tag);
        let Some(request) = self.request(id).filter(unconfirmed) else { return };
        request.delivery = Delivery::Unknown;
        if std::mem::take(&mut request.skip_sent_last) {
            request.delivery = Delivery::Confirmed;
            request.undelivered_result = Some(CallResult::Skipped);
        }
    }

    /// Sends the commands that were not sent, and resends those that may be sent twice. Called once all missed notices
    /// have been received.
    ///
    /// The start command of a request that must not run twice is not resent while its delivery is unknown: the run
    /// could have ended a moment ago.
    pub(super) fn resend_commands(&mut self) {
        for id in self.in_flight_by_attempt() {
            let tick = self.tick;
            let Some(request) = self.requests.get_mut(slot(id)).filter(|request| request.is_running()) else {
                continue;
            };
            let repeatable = request.effect == Effect::Idempotent && request.blocked_call.is_none();
            let undelivered_result = request.undelivered_result.take();
            let has_no_caller = request.reply_to.is_none();
            match request.delivery {
                Delivery::Unsent => self.send_start(id),
                Delivery::Unknown if repeatable => self.send_start(id),
                Delivery::Unknown if has_no_caller => {
                    self.ports.set_timer(TimerId::ResendStart(id), tick * RESEND_AFTER_TICKS);
                }
                Delivery::Unknown => {
                    tracing::warn!(
                        attempt = %request.attempt,
                        "start command may not have reached the pool; not resent, since the request must not run twice"
                    );
                }
                Delivery::Confirmed | Delivery::ConfirmedBy(_) => {}
            }
            if let Some(result) = undelivered_result {
                self.send_call_result(id, result);
            }
        }
    }
}

impl<P: Ports> Core<P> {
    /// The link to the worker pool is lost. `unwritten` has the attempts of whose start commands no byte was written.
    pub fn pool_lost(&mut self, now: Duration, unwritten: impl IntoIterator<Item = AttemptId>) {
        let state = self.advance_to(now);
        for attempt in unwritten {
            state.mark_start_unsent(attempt);
        }
        (state.link, state.polling) = (LinkState::Down, false);
        for id in state.in_flight_by_attempt() {
            state.mark_unconfirmed_unknown(id);
        }
        self.notify_ended();
    }

    /// The worker pool was restarted, so all its runs are gone. `cold`: whether it has just started.
    pub fn pool_restarted(&mut self, now: Duration, cold: bool) {
        let state = self.advance_to(now);
        for id in state.in_flight_by_attempt() {
            let started = |request: &&mut Request| request.delivery != Delivery::Unsent;
            if state.running_request(id).filter(started).is_some() {
                if let Some(reply_to) = state.take_reply_to(id) {
                    state.ports.fail(reply_to);
                }
                state.ports.cancel_call(id);
                state.ended.push_back(EndedRequest { id, outcome: Outcome::Cancelled });
            }
        }
        if let Some(tracker) = &mut self.slow_start {
            tracker.pool_up(now, cold);
        }
        self.notify_ended();
    }

    /// The link to the worker pool is up. The pool sends the notices that were missed, then the response to the poll
    /// sent here.
    pub fn pool_bound(&mut self, now: Duration) {
        let state = self.advance_to(now);
        state.poll_load_metrics();
        state.link = LinkState::Replaying(state.poll_tag);
    }
}
