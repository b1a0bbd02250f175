//! Events from edge nodes: a request is received, its caller has gone, its connection is lost.

use super::log::log_request;
use super::ports::{ConnId, Ports, ReceivedRequest, ReplyTo};
use super::request::Request;
use super::state::CoreState;
use super::{Core, MessageId};
use crate::dedup::DedupKey;
use crate::worker_pool::AttemptId;
use aldercrank::{Effect, IncomingRequest, RequestId};
use std::ops::Bound;
use std::time::Duration;

/// How long ago a request was sent.
struct RequestAge {
    /// By its caller's account, up to the longest deadline: the caller of an older request has given up, or its clock is
    /// wrong.
    reported: Duration,
    /// The part of that which it can have waited unread in this server, by this server's own clock.
    unread: Duration,
}

impl RequestAge {
    fn new(received: &ReceivedRequest, longest_deadline: Duration) -> RequestAge {
        let reported = received.arrival.unread_time.min(longest_deadline);
        RequestAge { reported, unread: reported.min(received.max_unread_time) }
    }

    /// The age by which repeats are recognised. The windows of keyed requests count from when they were sent; a result
    /// is shared with reads as long as it is fresh, whatever their callers report.
    fn for_dedup(&self, key: &DedupKey) -> Duration {
        match key {
            DedupKey::Token(_) => self.reported,
            DedupKey::Subject(_) => self.unread,
        }
    }
}

impl<P: Ports> CoreState<P> {
    /// Returns the index of the request's class. Logs the reason and returns none if the request can't be run.
    fn class_of(&self, received: &ReceivedRequest) -> Option<usize> {
        let class = self.classes.iter().position(|class| *class.name == *received.arrival.class);
        let Some(class) = class.filter(|_| !self.in_flight.contains_key(&received.attempt)) else {
            tracing::warn!(
                attempt = %received.attempt,
                class = received.arrival.class,
                "request failed: its attempt id is already in flight, or its class is unknown"
            );
            return None;
        };
        // A request that must run at most once can be recognised as a repeat only by its idempotency key.
        if self.classes[class].effect == Effect::Keyed && received.dedup_key.is_none() {
            tracing::warn!(
                attempt = %received.attempt,
                class = received.arrival.class,
                "request failed: it has no idempotency key, which its class requires"
            );
            return None;
        }
        // Whether an earlier attempt ran can't be told: its deduplication entry may have been removed.
        let age = received.arrival.unread_time;
        if self.classes[class].effect == Effect::Keyed && age >= self.longest_deadline {
            tracing::warn!(
                attempt = %received.attempt,
                class = received.arrival.class,
                "request failed: it was sent longer ago than any caller waits"
            );
            return None;
        }
        Some(class)
    }

    /// Whether an unsafe attempt with this id has run.
    fn has_run(&mut self, attempt: AttemptId, effect: Effect) -> bool {
        effect == Effect::Unsafe && self.recent_attempts.contains(self.now, attempt)
    }

    /// Answers a request for which there is no id. The original of a repeat may have run, so a repeat is not rejected.
    fn answer_without_id(&mut self, reply_to: ReplyTo, is_repeat: bool) {
        if is_repeat {
            tracing::error!("repeat failed: all request ids are in use");
            return self.ports.fail(reply_to);
        }
        tracing::error!("request rejected: all request ids are in use");
        self.ports.reject(reply_to, None, false);
    }
}

impl<P: Ports> Core<P> {
    /// A complete request was received. It fails at once if it can't be run.
    pub fn request_received(&mut self, now: Duration, reply_to: ReplyTo, received: ReceivedRequest) {
        let state = self.advance_to(now);
        let Some(class) = state.class_of(&received) else { return state.ports.fail(reply_to) };
        let effect = state.classes[class].effect;
        let age = RequestAge::new(&received, state.longest_deadline);
        let may_share = |key: &DedupKey| state.confirmed_connections.may_share(reply_to.conn, key);
        let dedup_key = received.dedup_key.filter(may_share);
        if dedup_key.is_some_and(|key| !state.dedup.has_room_for(&key)) {
            tracing::error!("request rejected: the deduplication table is full");
            return state.ports.reject(reply_to, None, false);
        }
        let repeats = dedup_key.and_then(|key| {
            let arrived_at = now.saturating_sub(age.for_dedup(&key));
            state.dedup.find_original(&key, arrived_at, now)
        });
        if state.has_run(received.attempt, effect) {
            tracing::warn!(attempt = %received.attempt, "request failed: its attempt id has run");
            return state.ports.fail(reply_to);
        }
        let request =
            Request { dedup_key, repeats, ..Request::queued(&received, reply_to, class, effect, now) };
        let Some(id) = state.requests.insert(request).map(|slot| RequestId(slot.0)) else {
            return state.answer_without_id(reply_to, repeats.is_some());
        };
        log_request!(
            received.attempt,
            class = received.arrival.class,
            repeats = repeats.is_some(),
            "request received"
        );
        state.in_flight.insert(received.attempt, id);
        if let Some(version) = state.version.filter(|_| state.lease.permits(effect)) {
            state.ports.decided_by_version(reply_to, version);
        }
        state.replies_owed.insert(reply_to, id);
        let incoming = IncomingRequest { repeats, unread_time: age.unread, ..received.arrival };
        self.admission.request_received(now, id, &incoming);
        self.notify_ended();
    }

    /// A caller has gone; its request needs no response any more.
    pub fn caller_gone(&mut self, now: Duration, reply_to: ReplyTo) {
        let state = self.advance_to(now);
        let Some(id) = state.replies_owed.remove(&reply_to) else { return };
        let Some(request) = state.request(id) else { return };
        request.reply_to = None;
        log_request!(request.attempt, "caller has gone; no response will be sent");
        self.admission.caller_gone(now, id);
        self.admission.host.abandon(id);
        self.notify_ended();
    }

    /// A connection was lost, and with it all callers on it.
    pub fn connection_lost(&mut self, now: Duration, conn: ConnId) {
        self.admission.host.confirmed_connections.revoke(conn);
        let first = ReplyTo { conn, call: MessageId(0) };
        while let Some((reply_to, _)) = self.admission.host.replies_owed.next(Bound::Included(&first)) {
            if reply_to.conn != conn {
                break;
            }
            self.caller_gone(now, reply_to);
        }
    }
}
