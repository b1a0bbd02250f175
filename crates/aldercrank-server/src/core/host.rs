//! Carries out the admission module's decisions on the requests in flight, the deduplication table and the ports.

use super::log::log_request;
use super::ports::{Ports, TimerId};
use super::request::{CallResult, Delivery, Stage};
use super::state::{CoreState, EndedRequest, LinkState};
use aldercrank::{Host, Outcome, RequestId};
use std::time::Duration;

/// How long before a tick load metrics are requested, as a share of the tick interval.
const LOAD_METRICS_LEAD_SHARE: f64 = 0.15;

impl<P: Ports> Host for CoreState<P> {
    fn start_run(&mut self, id: RequestId) {
        let Some(request) = self.request(id).filter(|request| request.stage == Stage::Queued) else { return };
        request.stage = Stage::Running;
        log_request!(request.attempt, "run started");
        if let Some(dedup_key) = request.dedup_key {
            let replaced = self.dedup.run_started(&dedup_key, id);
            replaced.into_iter().for_each(|replaced| self.release_slot(replaced));
        }
        self.send_start(id);
    }

    fn stop_run(&mut self, id: RequestId) {
        let link = self.link;
        let Some(request) = self.running_request(id) else { return };
        log_request!(request.attempt, "stopping the run");
        if request.delivery != Delivery::Unsent && link == LinkState::Up {
            let attempt = request.attempt;
            self.ports.stop_run(attempt);
        }
        self.cancel_unsent_start(id);
    }

    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>, last: bool) {
        log_request!(
            self.attempt_label(id),
            retry_after_ms = retry_after.unwrap_or_default().as_millis() as u64,
            last,
            "request rejected"
        );
        if let Some(reply_to) = self.take_reply_to(id) {
            self.ports.reject(reply_to, retry_after, last);
        }
        self.finish(id);
    }

    fn fail(&mut self, id: RequestId) {
        log_request!(self.attempt_label(id), "request failed");
        if let Some(reply_to) = self.take_reply_to(id) {
            self.ports.fail(reply_to);
        }
        self.abandon(id);
    }

    fn remember(&mut self, id: RequestId, retention: Duration) {
        let expires_at = self.now + retention;
        let Some(dedup_key) = self.request(id).and_then(|request| request.dedup_key) else { return };
        if let Some(stored) = self.dedup.store(&dedup_key, id, expires_at) {
            let removable_at = self.entry_removable_at(stored.entry);
            let after = removable_at.map_or(retention, |at| at.saturating_sub(self.now));
            self.ports.set_timer(TimerId::DedupExpiry(stored.entry), after);
            stored.replaced.into_iter().for_each(|replaced| self.release_slot(replaced));
        }
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(dedup_key) = self.request(id).and_then(|request| request.dedup_key) {
            let removed = self.dedup.forget(&dedup_key, id);
            self.cancel_entry_timer(removed);
            self.release_slot(id);
        }
    }

    fn join_original(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.request(id).filter(|request| request.stage == Stage::Queued) else { return };
        (request.stage, request.joined_at) = (Stage::Joined, now);
        log_request!(request.attempt, "repeat waits for the original request");
        let mut original = request.repeats;
        while let Some(joined) =
            original.and_then(|id| self.request(id)).filter(|request| request.stage == Stage::Joined)
        {
            original = joined.repeats;
        }
        let unfinished = original.and_then(|id| self.request(id)).filter(|r| r.stage != Stage::Finished);
        match unfinished {
            Some(original) => original.waiters.push(id),
            // Answered from the deduplication entry once the admission module has returned.
            None => self.ended.push_back(EndedRequest { id, outcome: Outcome::Completed }),
        }
    }

    fn start_call(&mut self, id: RequestId, timeout: Duration) {
        let now = self.now;
        let Some(request) = self.request(id) else { return };
        let Some(call) = request.blocked_call.clone() else { return };
        request.call_started_at = Some(now);
        let attempt = request.attempt;
        if !self.may_call() {
            return self.suppressed_calls.push_back(id);
        }
        log_request!(attempt, timeout_ms = timeout.as_millis() as u64, "upstream call started");
        self.ports.start_call(id, attempt, &call.body, timeout);
    }

    fn skip_call(&mut self, id: RequestId) {
        log_request!(self.attempt_label(id), "upstream call skipped; the run continues without it");
        self.send_call_result(id, CallResult::Skipped);
    }

    fn set_health(&mut self, healthy: bool, _stored: bool) {
        self.ports.set_health(healthy);
    }

    fn close_idle(&mut self, timeout: Duration) {
        self.ports.close_idle(timeout);
    }

    fn set_load_hint(&mut self, value: f64) {
        self.ports.set_load_hint(value);
    }

    fn set_timer(&mut self, after: Duration) {
        self.tick = after;
        self.ports.set_timer(TimerId::Tick, after);
        self.ports.set_timer(TimerId::LoadMetrics, after.mul_f64(1.0 - LOAD_METRICS_LEAD_SHARE));
    }

    fn log(&mut self, line: &str) {
        tracing::info!("admission module: {line}");
    }
}
