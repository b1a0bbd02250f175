//! A run goes on and ends, and the call that it waits for.

use super::*;

impl<P: Ports> Core<P> {
    pub fn run_ended(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        how: Outcome,
        took: Duration,
        result: Payload,
    ) {
        let state = self.at(now);
        let Some(id) = state.attempts.get(&attempt).copied() else {
            return tracing::debug!(%attempt, "the pool ended what is not in hand");
        };
        if state.request(id).is_none_or(|t| t.stage != Stage::Running) {
            return tracing::warn!(%attempt, "the pool ended what was not started");
        }
        tell!(attempt, how = ?how, "its run ended");
        let completed = Some(result).filter(|_| how == Outcome::Completed);
        if let Some(reply_to) = state.reply_to(id) {
            match completed {
                Some(bytes) => state.ports.complete(reply_to, bytes),
                None => state.ports.fail(reply_to),
            }
        }
        let Some(request) = state.request(id) else { return };
        let (class, dedup_key, waiters) =
            (request.class, request.dedup_key, std::mem::take(&mut request.waiters));
        if request.called.take().is_some() {
            state.ports.cancel_call(id);
        }
        if let Some(dedup_key) = dedup_key {
            match how.never_ran() {
                true => state.dedup.never_ran(&dedup_key, id),
                false => state.dedup.ended(&dedup_key, id, completed),
            }
        }
        state.over(id);
        if how == Outcome::Completed {
            self.came_back(class, took);
        }
        self.admission.run_ended(now, id, how, took);
        waiters.into_iter().for_each(|w| self.end_join(w, completed));
        self.follow();
    }

    /// The pool does not know what it was told to run, so it never will.
    pub fn run_unknown(&mut self, now: Duration, attempt: AttemptId) {
        self.run_ended(now, attempt, Outcome::NeverStarted, Duration::ZERO, Payload::Passing(&[]));
    }

    pub fn call_needed(&mut self, now: Duration, attempt: AttemptId, notice: NoticeNumber, body: &[u8]) {
        let state = self.at(now);
        let Some(id) = state.attempts.get(&attempt).copied() else {
            return tracing::debug!(%attempt, "the pool has at a call what is not in hand");
        };
        let Some(request) = state.request(id).filter(|t| t.stage == Stage::Running) else { return };
        request.blocked = Some((notice, body.into()));
        (request.delivery, request.unsaid, request.passed) = (Delivery::Confirmed, None, false);
        self.admission.call_requested(now, id);
        self.follow();
    }

    /// The gauges have come, and with them the proof that all said before the poll was heard.
    pub fn polled(&mut self, now: Duration, tag: u64, load_metrics: &[f64]) {
        let state = self.at(now);
        state.load_metrics.clear();
        state.load_metrics.extend_from_slice(load_metrics);
        (state.polling, state.answered) = (false, tag);
        if state.link == Link::Replaying(tag) {
            state.link = Link::Up;
            self.link_settled();
        }
        self.follow();
    }

    pub fn call_ended(&mut self, now: Duration, id: RequestId, how: Outcome, reply: &[u8]) {
        let state = self.at(now);
        let Some(request) = state.request(id).filter(|t| t.stage == Stage::Running) else { return };
        let Some(called) = request.called.take() else { return };
        let owed = request.reply_to.is_some();
        tell!(request.attempt, how = ?how, "its call ended");
        if how == Outcome::Completed && owed {
            state.say_reply(id, Some(reply.into()));
        }
        if matches!(how, Outcome::Rejected | Outcome::Unreachable | Outcome::TimedOut) {
            self.turned_away_below();
        }
        self.admission.call_ended(now, id, how, now.saturating_sub(called));
        self.follow();
    }
}
