//! Carries out what the admission module decides, on the requests in hand, the dedup table and the ports.

use super::{
    slot, tell, CoreState, Delivery, Link, Ports, ReplyTo, Request, Stage, TimerId, AFTER_ANSWER,
    LOAD_METRICS_BEFORE,
};
use crate::logger::REQUEST_LOG_TARGET;
use crate::worker_pool::AttemptId;
use aldercrank::{Host, Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;

/// A txn's id, or nothing where it has gone.
pub(super) struct Logged(Option<AttemptId>);

impl std::fmt::Display for Logged {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.0.map_or(Ok(()), |attempt| write!(f, "{attempt}"))
    }
}

impl<P: Ports> CoreState<P> {
    pub(super) fn request(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(slot(id))
    }

    /// As the edge names it; for the log alone.
    pub(super) fn attempt(&self, id: RequestId) -> Logged {
        Logged(self.requests.get(slot(id)).map(|t| t.attempt))
    }

    pub(super) fn reply_to(&mut self, id: RequestId) -> Option<ReplyTo> {
        let reply_to = self.request(id)?.reply_to.take()?;
        self.replies_owed.remove(&reply_to);
        Some(reply_to)
    }

    /// Nothing runs for it, nor will.
    pub(super) fn over(&mut self, id: RequestId) {
        let Some(request) = self.request(id) else { return };
        request.stage = Stage::Over;
        request.body = None;
        request.blocked = None;
        let (attempt, waiters) = (request.attempt, std::mem::take(&mut request.waiters));
        // Those that wait for one that was dropped get nothing.
        self.ended.extend(waiters.into_iter().map(|w| (w, Outcome::Failed)));
        if self.attempts.get(&attempt) == Some(&id) {
            self.attempts.remove(&attempt);
        }
        self.release(id);
    }

    /// In the order of their ids, since it shows in what is said to the pool.
    pub(super) fn in_hand(&self) -> Vec<RequestId> {
        let mut all: Vec<(AttemptId, RequestId)> =
            self.attempts.iter().map(|(attempt, id)| (*attempt, *id)).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, id)| id).collect()
    }

    /// Frees the slot, unless a key names it still.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(slot(id)).filter(|t| t.stage == Stage::Over) else { return };
        let named = request.dedup_key.as_ref().is_some_and(|key| self.dedup.names(key, id));
        if !named {
            self.requests.remove(slot(id));
        }
    }

    pub(super) fn poll(&mut self) {
        (self.tag, self.polling) = (self.tag + 1, true);
        self.ports.request_metrics(self.tag);
    }

    pub(super) fn say_spawn(&mut self, id: RequestId) {
        let (link, tag) = (self.link, self.tag);
        let Some(request) = self.requests.get_mut(slot(id)) else { return };
        request.delivery = Delivery::Unsent;
        if let (Link::Up, Some(body)) = (link, &request.body) {
            request.delivery = Delivery::ConfirmedBy(tag + 1);
            self.ports.start_run(request.attempt, &self.classes[request.class].0, body);
        }
    }

    /// Tells a run that waits how its call went, now or once the link is back.
    pub(super) fn say_reply(&mut self, id: RequestId, reply: Option<Rc<[u8]>>) {
        let (link, tag) = (self.link, self.tag);
        let Some(request) = self.requests.get_mut(slot(id)) else { return };
        if link != Link::Up {
            request.unsaid = Some(reply);
            return;
        }
        match (&reply, &request.blocked) {
            (Some(bytes), _) => self.ports.deliver_call_result(request.attempt, bytes),
            (None, Some((notice, _))) => self.ports.skip_call(request.attempt, *notice),
            (None, None) => {}
        }
        (request.delivery, request.passed) = (Delivery::ConfirmedBy(tag + 1), reply.is_none());
    }

    /// Nobody waits for it any more. What does not run is over, and so is a run that the pool never heard of.
    pub(super) fn unwanted(&mut self, id: RequestId) {
        let after = self.tick * AFTER_ANSWER;
        match self.request(id).map(|t| (t.stage, t.delivery)) {
            Some((Stage::Running, Delivery::Unsent)) => self.unsay(id),
            Some((Stage::Running, Delivery::Unknown)) => {
                self.ports.set_timer(TimerId::CachedOutcome(id), after)
            }
            Some((Stage::Running, _)) | None => {}
            Some(_) => self.over(id),
        }
    }

    /// A run that was never said ends here and now.
    pub(super) fn unsay(&mut self, id: RequestId) {
        if self.request(id).is_some_and(|t| t.stage == Stage::Running && t.delivery == Delivery::Unsent) {
            self.ended.push_back((id, Outcome::NeverStarted));
        }
    }
}

impl<P: Ports> Host for CoreState<P> {
    fn start_run(&mut self, id: RequestId) {
        let Some(request) = self.request(id).filter(|t| t.stage == Stage::Queued) else { return };
        request.stage = Stage::Running;
        tell!(request.attempt, "started");
        if let Some(dedup_key) = request.dedup_key {
            let before = self.dedup.started(&dedup_key, id);
            before.into_iter().for_each(|b| self.release(b));
        }
        self.say_spawn(id);
    }

    fn stop_run(&mut self, id: RequestId) {
        let link = self.link;
        let Some(request) = self.request(id).filter(|t| t.stage == Stage::Running) else { return };
        tell!(request.attempt, "its run is stopped");
        if request.delivery != Delivery::Unsent && link == Link::Up {
            let attempt = request.attempt;
            self.ports.stop_run(attempt);
        }
        self.unsay(id);
    }

    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>, last: bool) {
        tell!(
            self.attempt(id),
            back_in_ms = retry_after.unwrap_or_default().as_millis() as u64,
            last,
            "declined"
        );
        if let Some(reply_to) = self.reply_to(id) {
            self.ports.reject(reply_to, retry_after, last);
        }
        self.over(id);
    }

    fn fail(&mut self, id: RequestId) {
        tell!(self.attempt(id), "voided");
        if let Some(reply_to) = self.reply_to(id) {
            self.ports.fail(reply_to);
        }
        self.unwanted(id);
    }

    fn remember(&mut self, id: RequestId, span: Duration) {
        let (until, longest) = (self.now + span, self.longest);
        let Some(dedup_key) = self.request(id).and_then(|t| t.dedup_key) else { return };
        if let Some((key, before)) = self.dedup.keep(&dedup_key, id, until) {
            let after = self.dedup.ends(key, longest).map_or(span, |end| end.saturating_sub(self.now));
            self.ports.set_timer(TimerId::Key(key), after);
            before.into_iter().for_each(|b| self.release(b));
        }
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(dedup_key) = self.request(id).and_then(|t| t.dedup_key) {
            self.dedup.forget(&dedup_key, id);
            self.release(id);
        }
    }

    fn join_original(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.request(id).filter(|t| t.stage == Stage::Queued) else { return };
        (request.stage, request.joined) = (Stage::Joined, now);
        tell!(request.attempt, "waits for what it repeats");
        let mut first = request.repeats;
        while let Some(next) = first.and_then(|f| self.request(f)).filter(|f| f.stage == Stage::Joined) {
            first = next.repeats;
        }
        match first.and_then(|f| self.request(f)).filter(|f| f.stage != Stage::Over) {
            Some(first) => first.waiters.push(id),
            // From what it left; the end says what that is.
            None => self.ended.push_back((id, Outcome::Completed)),
        }
    }

    fn start_call(&mut self, id: RequestId, timeout: Duration) {
        let now = self.now;
        let Some(request) = self.request(id) else { return };
        let Some((_, body)) = request.blocked.clone() else { return };
        request.called = Some(now);
        let attempt = request.attempt;
        if !self.may_call() {
            return self.unmade.push_back(id);
        }
        tell!(attempt, give_up_ms = timeout.as_millis() as u64, "calls the index");
        self.ports.start_call(id, attempt, &body, timeout);
    }

    fn skip_call(&mut self, id: RequestId) {
        tell!(self.attempt(id), "goes on without its call");
        self.say_reply(id, None);
    }

    fn set_health(&mut self, good: bool, _stored: bool) {
        self.ports.health(good);
    }

    fn close_idle(&mut self, span: Duration) {
        self.ports.close_idle(span);
    }

    fn set_load_hint(&mut self, value: f64) {
        self.ports.advertise(value);
    }

    fn set_timer(&mut self, after: Duration) {
        self.tick = after;
        self.ports.set_timer(TimerId::Tick, after);
        self.ports.set_timer(TimerId::LoadMetrics, after.mul_f64(1.0 - LOAD_METRICS_BEFORE));
    }

    fn log(&mut self, line: &str) {
        tracing::info!("module: {line}");
    }
}
