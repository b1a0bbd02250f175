//! The link to the worker pool is lost and comes back: what was heard, what was not, and what is said again.

use super::*;

impl<P: Ports> Core<P> {
    /// The link to the worker pool is lost. What it was told last may not have been heard; of the `unsaid`
    /// spawns not even the first byte went out.
    pub fn pool_lost(&mut self, now: Duration, unsaid: impl IntoIterator<Item = Rid>) {
        let state = self.at(now);
        for rid in unsaid {
            let id = state.rids.get(&rid).copied();
            let said =
                |t: &&mut Txn| t.stage == Stage::Running && matches!(t.delivery, Delivery::ConfirmedBy(_));
            id.and_then(|id| state.txn(id))
                .filter(said)
                .into_iter()
                .for_each(|t| t.delivery = Delivery::Unsent);
            // Where nobody waits for it any more, it never will be said.
            let id = id.filter(|id| state.txn(*id).is_some_and(|t| t.reply_to.is_none()));
            id.into_iter().for_each(|id| state.unsay(id));
        }
        (state.link, state.polling) = (Link::Down, false);
        let answered = state.answered;
        for id in state.in_hand() {
            if let Some(txn) =
                state.txn(id).filter(|t| matches!(t.delivery, Delivery::ConfirmedBy(by) if by > answered))
            {
                txn.delivery = Delivery::Unknown;
                if std::mem::take(&mut txn.passed) {
                    (txn.delivery, txn.unsaid) = (Delivery::Confirmed, Some(None));
                }
            }
        }
        self.follow();
    }

    /// The pool is another one than before: nothing runs any more.
    pub fn pool_restarted(&mut self, now: Duration, cold: bool) {
        let state = self.at(now);
        for id in state.in_hand() {
            let ran = |t: &&mut Txn| t.stage == Stage::Running && t.delivery != Delivery::Unsent;
            if state.txn(id).filter(ran).is_some() {
                if let Some(reply_to) = state.reply_to(id) {
                    state.ports.void(reply_to);
                }
                state.ports.hang_up(id);
                state.ended.push_back((id, Outcome::Recalled));
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
            let Some(txn) = state.txns.get_mut(slot(id)).filter(|t| t.stage == Stage::Running) else {
                continue;
            };
            let again = txn.effect == Effect::Idempotent && txn.blocked.is_none();
            let (delivery, unsaid, answered) = (txn.delivery, txn.unsaid.take(), txn.reply_to.is_none());
            match delivery {
                Delivery::Unsent => state.say_spawn(id),
                Delivery::Unknown if again => state.say_spawn(id),
                Delivery::Unknown if answered => state.ports.remind(Reminder::Fate(id), tick * AFTER_ANSWER),
                Delivery::Unknown => {
                    tracing::warn!(rid = %txn.rid, "a spawn may not have been delivery: left as it is")
                }
                _ => {}
            }
            if let Some(reply) = unsaid {
                state.say_reply(id, reply);
            }
        }
    }
}
