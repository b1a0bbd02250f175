//! The link to the worker pool is lost and comes back: what was heard, what was not, and what is said again.

use super::*;

impl<P: Ports> Core<P> {
    /// The link to the worker pool is lost. What it was told last may not have been heard; of the `unsaid`
    /// spawns not even the first byte went out.
    pub fn pool_lost(&mut self, now: Duration, unsaid: impl IntoIterator<Item = AttemptId>) {
        let state = self.at(now);
        for attempt in unsaid {
            let id = state.attempts.get(&attempt).copied();
            let said = |t: &&mut Request| {
                t.stage == Stage::Running && matches!(t.delivery, Delivery::ConfirmedBy(_))
            };
            id.and_then(|id| state.request(id))
                .filter(said)
                .into_iter()
                .for_each(|t| t.delivery = Delivery::Unsent);
            // Where nobody waits for it any more, it never will be said.
            let id = id.filter(|id| state.request(*id).is_some_and(|t| t.reply_to.is_none()));
            id.into_iter().for_each(|id| state.unsay(id));
        }
        (state.link, state.polling) = (Link::Down, false);
        let answered = state.answered;
        for id in state.in_hand() {
            if let Some(request) =
                state.request(id).filter(|t| matches!(t.delivery, Delivery::ConfirmedBy(by) if by > answered))
            {
                request.delivery = Delivery::Unknown;
                if std::mem::take(&mut request.passed) {
                    (request.delivery, request.unsaid) = (Delivery::Confirmed, Some(None));
                }
            }
        }
        self.follow();
    }

    /// The pool is another one than before: nothing runs any more.
    pub fn pool_restarted(&mut self, now: Duration, cold: bool) {
        let state = self.at(now);
        for id in state.in_hand() {
            let ran = |t: &&mut Request| t.stage == Stage::Running && t.delivery != Delivery::Unsent;
            if state.request(id).filter(ran).is_some() {
                if let Some(reply_to) = state.reply_to(id) {
                    state.ports.fail(reply_to);
                }
                state.ports.cancel_call(id);
                state.ended.push_back((id, Outcome::Cancelled));
            }
        }
        self.pool_up(now, cold);
        self.follow();
    }

    /// The link is back: notices that were missed follow, then the answer to this poll.
    pub fn pool_bound(&mut self, now: Duration) {
        let state = self.at(now);
        state.poll();
        state.link = Link::Replaying(state.tag);
    }

    /// All missed notices are in. Says what was not said, and again what may be said twice. What must not
    /// run twice is never spawned again while its fate is unknown: it could have ended a moment ago.
    pub(super) fn link_settled(&mut self) {
        let state = &mut self.admission.host;
        for id in state.in_hand() {
            let tick = state.tick;
            let Some(request) = state.requests.get_mut(slot(id)).filter(|t| t.stage == Stage::Running) else {
                continue;
            };
            let again = request.effect == Effect::Idempotent && request.blocked.is_none();
            let (delivery, unsaid, answered) =
                (request.delivery, request.unsaid.take(), request.reply_to.is_none());
            match delivery {
                Delivery::Unsent => state.say_spawn(id),
                Delivery::Unknown if again => state.say_spawn(id),
                Delivery::Unknown if answered => {
                    state.ports.set_timer(TimerId::CachedOutcome(id), tick * AFTER_ANSWER)
                }
                Delivery::Unknown => {
                    tracing::warn!(attempt = %request.attempt, "a spawn may not have been delivery: left as it is")
                }
                _ => {}
            }
            if let Some(reply) = unsaid {
                state.say_reply(id, reply);
            }
        }
    }
}
