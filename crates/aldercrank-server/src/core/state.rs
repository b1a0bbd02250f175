//! The state that the core keeps in addition to the admission module's, and the operations on it that several events
//! share.

use super::confirmed_connections::ConfirmedConnections;
use super::lease::Lease;
use super::ports::{Ports, ReplyTo, TimerId};
use super::recent_attempts::RecentAttempts;
use super::request::{CallResult, Delivery, Request, Stage};
use crate::dedup::{DedupKey, DedupTable, EntryId};
use crate::slots::{Slot, Slots};
use crate::worker_pool::AttemptId;
use aldercrank::range_summary_map::RangeSummaryMap;
use aldercrank::{parameters, DeterministicMap, Effect, Outcome, RequestId, Settings};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// How many ticks after a request's response its start command is resent if its delivery is unknown. The worker pool
/// then reports what became of the run, which frees the request's slot.
pub(super) const RESEND_AFTER_TICKS: u32 = 30;

/// The link to the worker pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkState {
    Down,
    /// The worker pool replays the notices that were missed, until it responds to the poll with this tag.
    Replaying(u64),
    Up,
}

/// The name and the effect of a request class.
pub(super) struct ClassInfo {
    pub(super) name: Rc<str>,
    pub(super) effect: Effect,
}

/// A request that ended during an event. The admission module is notified at the end of the event, since it must not be
/// called back while it is at work.
pub(super) struct EndedRequest {
    pub(super) id: RequestId,
    pub(super) outcome: Outcome,
}

/// The requests in flight, the deduplication table and the ports.
pub(super) struct CoreState<P: Ports> {
    pub(super) ports: P,
    /// The time of the latest event.
    pub(super) now: Duration,
    pub(super) classes: Vec<ClassInfo>,
    /// The longest deduplication window of any class so far.
    pub(super) longest_window: Duration,
    /// The longest deadline that any class has had so far.
    pub(super) longest_deadline: Duration,
    /// The admission module's timer interval.
    pub(super) tick: Duration,
    pub(super) requests: Slots<Request>,
    /// The requests that are queued, joined or running.
    pub(super) in_flight: DeterministicMap<AttemptId, RequestId>,
    pub(super) replies_owed: RangeSummaryMap<ReplyTo, RequestId>,
    pub(super) dedup: DedupTable,
    pub(super) confirmed_connections: ConfirmedConnections,
    /// Of unsafe requests.
    pub(super) recent_attempts: RecentAttempts,
    pub(super) link: LinkState,
    /// The tag of the latest poll for load metrics.
    pub(super) poll_tag: u64,
    /// Whether a poll is outstanding.
    pub(super) polling: bool,
    /// The tag of the latest poll that was answered.
    pub(super) answered_poll_tag: u64,
    pub(super) load_metrics: Vec<f64>,
    /// The configuration version in force, if there is one.
    pub(super) version: Option<u64>,
    pub(super) lease: Lease,
    /// This server's quota of upstream calls, if the configuration version gives one.
    pub(super) upstream_quota: Option<f64>,
    /// Calls that were not permitted (`may_call`); the admission module is notified at the end of the event.
    pub(super) suppressed_calls: VecDeque<RequestId>,
    /// Requests that ended during the current event.
    pub(super) ended: VecDeque<EndedRequest>,
}

/// A request's attempt id for the log; empty if the request is gone.
pub(super) struct AttemptLabel(Option<AttemptId>);

impl fmt::Display for AttemptLabel {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.map_or(Ok(()), |attempt| write!(f, "{attempt}"))
    }
}

pub(super) fn slot(id: RequestId) -> Slot {
    Slot(id.0)
}

impl<P: Ports> CoreState<P> {
    /// `now`: the time since the worker pool came up. `result_capacity`: the number of bytes for cached results.
    pub(super) fn new(now: Duration, result_capacity: usize, ports: P) -> CoreState<P> {
        CoreState {
            ports,
            now,
            classes: Vec::new(),
            longest_window: Duration::ZERO,
            longest_deadline: Duration::ZERO,
            tick: Duration::ZERO,
            requests: Slots::default(),
            in_flight: DeterministicMap::default(),
            replies_owed: RangeSummaryMap::default(),
            dedup: DedupTable::new(result_capacity),
            confirmed_connections: ConfirmedConnections::default(),
            recent_attempts: RecentAttempts::default(),
            link: LinkState::Down,
            poll_tag: 0,
            polling: false,
            answered_poll_tag: 0,
            load_metrics: Vec::new(),
            version: None,
            lease: Lease::default(),
            upstream_quota: None,
            suppressed_calls: VecDeque::new(),
            ended: VecDeque::new(),
        }
    }

    /// Loads what the core itself needs from the settings.
    pub(super) fn load_settings(&mut self, settings: &Settings) {
        let classes = parameters::request_classes(settings);
        let longest = classes.iter().map(|class| class.dedup_window).max().unwrap_or_default();
        // Existing entries may have been added under a longer window, and requests sent under a longer deadline.
        self.longest_window = self.longest_window.max(longest);
        let longest_deadline = parameters::longest_deadline(&classes).unwrap_or_default();
        self.longest_deadline = self.longest_deadline.max(longest_deadline);
        let infos = classes.into_iter().map(|class| ClassInfo { name: class.name, effect: class.effect });
        self.classes = infos.collect();
    }

    /// Returns when an expired entry may be removed. Until then, a repeat may be read that was sent before the expiry:
    /// one of a keyed request until its caller gives up, however short the window is.
    pub(super) fn entry_removable_at(&self, entry: EntryId) -> Option<Duration> {
        let margin = match self.dedup.key(entry)? {
            DedupKey::Token(_) => self.longest_deadline,
            DedupKey::Subject(_) => self.longest_window,
        };
        self.dedup.removable_at(entry, margin)
    }

    /// Cancels the timer of a deduplication entry that was removed before it expired.
    pub(super) fn cancel_entry_timer(&mut self, removed: Option<EntryId>) {
        if let Some(entry) = removed {
            self.ports.cancel_timer(TimerId::DedupExpiry(entry));
        }
    }

    /// Records that the run of a request ended, or may have run. An unsafe attempt is remembered by its id for the longest
    /// deadline: a client that repeats it has stopped waiting by then.
    pub(super) fn remember_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(slot(id)) else { return };
        if request.effect == Effect::Unsafe {
            let forget_at = self.now + self.longest_deadline;
            self.recent_attempts.insert(self.now, request.attempt, forget_at);
        }
    }

    /// Records the proof that a run never started: no repeat is answered from it.
    pub(super) fn run_never_started(&mut self, id: RequestId) {
        if let Some(dedup_key) = self.request(id).and_then(|request| request.dedup_key) {
            let removed = self.dedup.run_never_started(&dedup_key, id);
            self.cancel_entry_timer(removed);
        }
    }

    /// Whether upstream calls may be made: under a quota, only while it is positive and the lease is full.
    pub(super) fn may_call(&self) -> bool {
        self.upstream_quota.is_none_or(|quota| quota > 0.0 && self.lease.is_full())
    }

    pub(super) fn request(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(slot(id))
    }

    pub(super) fn running_request(&mut self, id: RequestId) -> Option<&mut Request> {
        self.request(id).filter(|request| request.is_running())
    }

    /// Returns the request's attempt id, for the log.
    pub(super) fn attempt_label(&self, id: RequestId) -> AttemptLabel {
        AttemptLabel(self.requests.get(slot(id)).map(|request| request.attempt))
    }

    /// Takes the destination of the request's response, which is no longer owed from then on.
    pub(super) fn take_reply_to(&mut self, id: RequestId) -> Option<ReplyTo> {
        let reply_to = self.request(id)?.reply_to.take()?;
        self.replies_owed.remove(&reply_to);
        Some(reply_to)
    }

    /// Finishes a request that does not run and will not run again. Requests that wait for it fail.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.request(id) else { return };
        request.stage = Stage::Finished;
        request.body = None;
        request.blocked_call = None;
        let (attempt, waiters) = (request.attempt, std::mem::take(&mut request.waiters));
        let failed = waiters.into_iter().map(|id| EndedRequest { id, outcome: Outcome::Failed });
        self.ended.extend(failed);
        if self.in_flight.get(&attempt) == Some(&id) {
            self.in_flight.remove(&attempt);
        }
        self.release_slot(id);
    }

    /// Returns all requests in flight in the order of their attempt ids, since it determines the order of commands to
    /// the worker pool.
    pub(super) fn in_flight_by_attempt(&self) -> Vec<RequestId> {
        let mut all: Vec<(AttemptId, RequestId)> =
            self.in_flight.iter().map(|(attempt, id)| (*attempt, *id)).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, id)| id).collect()
    }

    /// Frees the slot of a finished request, unless a deduplication entry still refers to it.
    pub(super) fn release_slot(&mut self, id: RequestId) {
        let finished = |request: &&Request| request.stage == Stage::Finished;
        let Some(request) = self.requests.get(slot(id)).filter(finished) else { return };
        let referenced = request.dedup_key.as_ref().is_some_and(|key| self.dedup.refers_to(key, id));
        if !referenced {
            self.requests.remove(slot(id));
        }
    }

    pub(super) fn poll_load_metrics(&mut self) {
        (self.poll_tag, self.polling) = (self.poll_tag + 1, true);
        self.ports.request_metrics(self.poll_tag);
    }

    /// Sends the start command, or records it as unsent while the link is down.
    pub(super) fn send_start(&mut self, id: RequestId) {
        let (link, next_tag) = (self.link, self.poll_tag + 1);
        let Some(request) = self.requests.get_mut(slot(id)) else { return };
        request.delivery = Delivery::Unsent;
        if let (LinkState::Up, Some(body)) = (link, &request.body) {
            request.delivery = Delivery::ConfirmedBy(next_tag);
            self.ports.start_run(request.attempt, &self.classes[request.class].name, body);
        }
    }

    /// Sends a waiting run the result of its call, now or once the link is back.
    pub(super) fn send_call_result(&mut self, id: RequestId, result: CallResult) {
        let (link, next_tag) = (self.link, self.poll_tag + 1);
        let Some(request) = self.requests.get_mut(slot(id)) else { return };
        if link != LinkState::Up {
            request.undelivered_result = Some(result);
            return;
        }
        let skipped = matches!(result, CallResult::Skipped);
        match (&result, &request.blocked_call) {
            (CallResult::Reply(reply), _) => self.ports.deliver_call_result(request.attempt, reply),
            (CallResult::Skipped, Some(call)) => self.ports.skip_call(request.attempt, call.notice),
            (CallResult::Skipped, None) => {}
        }
        (request.delivery, request.skip_sent_last) = (Delivery::ConfirmedBy(next_tag), skipped);
    }

    /// Gives up a request that has no caller left. It is finished unless it runs or may run in the worker pool.
    pub(super) fn abandon(&mut self, id: RequestId) {
        let resend_after = self.tick * RESEND_AFTER_TICKS;
        match self.request(id).map(|request| (request.stage, request.delivery)) {
            Some((Stage::Running, Delivery::Unsent)) => self.cancel_unsent_start(id),
            Some((Stage::Running, Delivery::Unknown)) => {
                self.ports.set_timer(TimerId::ResendStart(id), resend_after);
            }
            Some((Stage::Running, _)) | None => {}
            Some(_) => self.finish(id),
        }
    }

    /// Ends a run whose start command was not sent.
    pub(super) fn cancel_unsent_start(&mut self, id: RequestId) {
        if self.running_request(id).is_some_and(|request| request.delivery == Delivery::Unsent) {
            self.ended.push_back(EndedRequest { id, outcome: Outcome::NeverStarted });
        }
    }
}
