//! Handling of new requests up to their admission or rejection, and of requests whose caller has disconnected.

use super::constants::{ARRIVAL_DECAY, MAX_MEMORY_SHARE, SMOOTHING};
use super::state::{Original, OtherServers};
use super::Admission;
use crate::host::Host;
use crate::queue::QueuePosition;
use crate::request::{Request, Stage, Timer};
use crate::types::{CallerId, Effect, IncomingRequest, RequestClass, RequestId};
use std::time::Duration;

/// A request that has just been read.
struct Arrival {
    id: RequestId,
    class_index: usize,
    class: RequestClass,
    caller: CallerId,
    arrived_at: Duration,
    due_at: Duration,
    deadline: Duration,
    priority: f64,
}

impl<H: Host> Admission<H> {
    /// Handles a request that has been read: it is queued, started, joined to the request that it repeats, or answered
    /// immediately. A request whose id is in use is ignored.
    pub fn request_received(&mut self, now: Duration, id: RequestId, incoming: &IncomingRequest) {
        self.run_due_timers(now);
        if self.requests.contains_key(&id) || self.dedup.contains(id) {
            return;
        }
        self.rejected_share *= 1.0 - SMOOTHING;
        self.request_read_at = now;
        self.unread_seconds += SMOOTHING * (incoming.unread_time.as_secs_f64() - self.unread_seconds);
        let Some(class_index) = self.classes.iter().position(|class| *class.name == *incoming.class) else {
            return self.host.reject(id, None, false);
        };
        let arrival = self.arrival(now, id, class_index, incoming);
        let original = self.find_original(incoming, arrival.class.effect);
        self.insert_request(&arrival, incoming.memory_kb.max(0.0));
        if arrival.deadline <= now + self.parameters.tick {
            // The original of a keyed repeat may have run although its entry has been removed.
            let keyed_repeat = arrival.class.effect == Effect::Keyed && incoming.repeats.is_some();
            return match original.is_some() || keyed_repeat {
                true => self.fail(id),
                false => self.reject(now, id),
            };
        }
        match original {
            Some(Original::Started(original)) => return self.join_or_reject(now, &arrival, original),
            Some(Original::Queued(original)) => self.replace_queued(now, original, &arrival),
            None => self.update_threshold(now),
        }
        let position = QueuePosition { due_at: arrival.due_at, request_id: id };
        self.queue.insert(position, class_index, arrival.priority);
        self.admit_or_reject(now, &arrival, original);
    }

    /// Handles the disconnection of the caller of a request: no answer is needed any more.
    pub fn caller_gone(&mut self, now: Duration, id: RequestId) {
        self.run_due_timers(now);
        self.abandon(id);
        self.start_queued(now);
    }

    /// Determines the due time, deadline and priority of a new request, and counts its arrival.
    fn arrival(
        &mut self,
        now: Duration,
        id: RequestId,
        class_index: usize,
        incoming: &IncomingRequest,
    ) -> Arrival {
        let arrived_at = now.saturating_sub(incoming.unread_time);
        let class = self.classes[class_index].clone();
        let mut deadline = incoming.deadline.unwrap_or(arrived_at + class.deadline);
        deadline = deadline.min(self.draining.map_or(deadline, |drain| drain.stops_at));
        self.arrivals.iter_mut().for_each(|count| *count *= ARRIVAL_DECAY);
        self.arrivals[class_index] += 1.0;
        let age = self.age_at_arrival(incoming, arrived_at, &class);
        let due_at = (arrived_at + class.latency_target.saturating_sub(age)).min(deadline);
        let priority = self.priority(now, class_index, incoming);
        Arrival { id, class_index, class, caller: incoming.caller, arrived_at, due_at, deadline, priority }
    }

    /// The request that this one repeats, or the latest repeat that has replaced that one. `None` if it is unknown: it
    /// may predate this server's tables, or may not have been read yet.
    fn find_original(&self, incoming: &IncomingRequest, effect: Effect) -> Option<Original> {
        let original = self.dedup.latest_replacement(incoming.repeats?);
        let request = self.requests.get(&original);
        if request.is_none() && !self.dedup.contains(original) {
            return None;
        }
        // Only a keyed repeat replaces its queued original, so that the two never run concurrently.
        let replaceable = |request: &Request| request.stage == Stage::Queued && effect == Effect::Keyed;
        Some(if request.is_some_and(replaceable) {
            Original::Queued(original)
        } else {
            Original::Started(original)
        })
    }

    fn insert_request(&mut self, arrival: &Arrival, memory_kb: f64) {
        let request = Request {
            class: arrival.class_index,
            effect: arrival.class.effect,
            arrived_at: arrival.arrived_at,
            due_at: arrival.due_at,
            deadline: arrival.deadline,
            memory_kb,
            ..Request::default()
        };
        self.totals.add(request.class, request.stage, request.memory_kb);
        self.requests.insert(arrival.id, request);
        let timer = Timer::deadline(arrival.id, arrival.deadline, self.parameters.tick);
        self.timers.insert(timer, ());
    }

    /// Joins a repeat to the request that it repeats if there is memory for it. Otherwise a read is rejected; a keyed
    /// repeat fails, since the other request may have run.
    fn join_or_reject(&mut self, now: Duration, arrival: &Arrival, original: RequestId) {
        if self.has_room_to_join(arrival.id, original) {
            self.set_stage(arrival.id, Stage::Joined);
            return self.host.join_original(arrival.id);
        }
        match arrival.class.effect {
            Effect::Keyed => self.fail(arrival.id),
            Effect::Idempotent | Effect::Unsafe => self.reject(now, arrival.id),
        }
    }

    /// Whether the memory, in which the repeat is counted already, allows for it. If the original has not ended, the
    /// repeat waits, and there has to be room to start either of the two; otherwise it is answered soon.
    fn has_room_to_join(&self, repeat: RequestId, original: RequestId) -> bool {
        let memory_kb = |id: RequestId| self.requests.get(&id).map(|request| request.memory_kb);
        match memory_kb(original) {
            Some(kb) => {
                let largest_kb = memory_kb(repeat).map_or(kb, |repeat_kb| repeat_kb.max(kb));
                self.memory_share(largest_kb) <= MAX_MEMORY_SHARE
            }
            None => self.memory_share(0.0) <= 1.0,
        }
    }

    /// Rejects a queued request in favour of its repeat. Repeats that are read later may still refer to the replaced
    /// request, so an entry for it is kept for the length of the deduplication window.
    fn replace_queued(&mut self, now: Duration, original: RequestId, repeat: &Arrival) {
        self.reject(now, original);
        let ends_at = now + repeat.class.dedup_window;
        self.dedup.insert_replaced(original, repeat.class_index, repeat.id, ends_at);
        self.timers.insert(Timer::dedup_entry(original, ends_at), ());
    }

    fn admit_or_reject(&mut self, now: Duration, arrival: &Arrival, original: Option<Original>) {
        let starved = self.is_starved_of_calls(now, arrival);
        let served = arrival.class.offered && !self.parameters.rejected_callers.contains(&arrival.caller.0);
        if !served {
            return self.reject_by_policy(arrival.id, OtherServers::WouldRejectToo);
        }
        if !self.permission.permits(arrival.class.effect) {
            return self.reject_by_policy(arrival.id, OtherServers::MayBeTried);
        }
        // A repeat that replaces a queued request isn't shed, because that request had been admitted.
        let shed = original.is_none() && (arrival.priority < self.threshold || starved);
        if shed
            || self.arrived_after_drain_grace(arrival.arrived_at)
            || self.memory_share(0.0) > MAX_MEMORY_SHARE
        {
            return self.reject(now, arrival.id);
        }
        self.remember(now, arrival);
        self.reject_late(now);
        self.start_queued(now);
    }

    /// Whether the calls required by the requests in flight take so long that one more request with a required call
    /// would be late.
    fn is_starved_of_calls(&self, now: Duration, arrival: &Arrival) -> bool {
        let requires_call = |class: &RequestClass| class.makes_calls && class.share_without_call <= 0.0;
        if !requires_call(&arrival.class) {
            return false;
        }
        let calls_ahead: usize = self
            .classes
            .iter()
            .enumerate()
            .map(|(i, class)| if requires_call(class) { self.totals.count_of_class(i) } else { 0 })
            .sum();
        let slack =
            arrival.class.latency_target.as_secs_f64() - self.run_seconds_now(now, arrival.class_index);
        calls_ahead as f64 * self.call_times.smoothed / self.call_window > slack
    }

    /// Creates the deduplication entry of an admitted request. Its window is counted from the arrival of the request.
    fn remember(&mut self, now: Duration, arrival: &Arrival) {
        let window = match arrival.class.effect {
            Effect::Keyed => arrival.class.dedup_window,
            Effect::Idempotent => self.parameters.idempotent_window,
            Effect::Unsafe => return,
        };
        let span = (arrival.arrived_at + window + self.parameters.tick * 2).saturating_sub(now);
        if !window.is_zero() && !span.is_zero() {
            self.host.remember(arrival.id, span);
            self.dedup.insert(arrival.id, arrival.class_index, now + span);
            self.timers.insert(Timer::dedup_entry(arrival.id, now + span), ());
        }
    }

    /// Changes the stage of a request. All changes of stage go through here, so that the totals stay consistent.
    pub(super) fn set_stage(&mut self, id: RequestId, stage: Stage) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.totals.remove(request.class, request.stage, request.memory_kb);
        self.totals.add(request.class, stage, request.memory_kb);
        request.stage = stage;
        match stage {
            Stage::AwaitingCall => self.awaiting_call.insert(id, ()),
            Stage::Queued | Stage::Joined | Stage::Running | Stage::Calling => self.awaiting_call.remove(&id),
        };
    }

    /// Removes a request from all tables except the queue and the deduplication entries.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.totals.remove(request.class, request.stage, request.memory_kb);
        self.awaiting_call.remove(&id);
        self.timers.remove(&Timer::deadline(id, request.deadline, self.parameters.tick));
        Some(request)
    }
}
