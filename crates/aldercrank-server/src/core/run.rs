//! A run goes on and ends, and the call that it waits for.

use super::*;

impl<P: Ports> Core<P> {
    pub fn run_ended(&mut self, now: Duration, rid: Rid, how: Outcome, took: Duration, result: Payload) {
        let state = self.at(now);
        let Some(id) = state.rids.get(&rid).copied() else {
            return tracing::debug!(%rid, "the pool ended what is not in hand");
        };
        if state.txn(id).is_none_or(|t| t.stage != Stage::Running) {
            return tracing::warn!(%rid, "the pool ended what was not started");
        }
        tell!(rid, how = ?how, "its run ended");
        let settled = Some(result).filter(|_| how == Outcome::Completed);
        if let Some(reply_to) = state.reply_to(id) {
            match settled {
                Some(bytes) => state.ports.settle(reply_to, bytes),
                None => state.ports.void(reply_to),
            }
        }
        let Some(txn) = state.txn(id) else { return };
        let (product, dedup_key, waiters) = (txn.product, txn.dedup_key, std::mem::take(&mut txn.waiters));
        if txn.called.take().is_some() {
            state.ports.hang_up(id);
        }
        if let Some(dedup_key) = dedup_key {
            match how.never_ran() {
                true => state.dedup.never_ran(&dedup_key, id),
                false => state.dedup.ended(&dedup_key, id, settled),
            }
        }
        state.over(id);
        if how == Outcome::Completed {
            self.came_back(product, took);
        }
        self.admission.run_ended(now, id, how, took);
        waiters.into_iter().for_each(|w| self.end_join(w, settled));
        self.follow();
    }

    /// The pool does not know what it was told to run, so it never will.
    pub fn run_unknown(&mut self, now: Duration, rid: Rid) {
        self.run_ended(now, rid, Outcome::Superseded, Duration::ZERO, Payload::Passing(&[]));
    }

    pub fn call_needed(&mut self, now: Duration, rid: Rid, notice: Notice, body: &[u8]) {
        let state = self.at(now);
        let Some(id) = state.rids.get(&rid).copied() else {
            return tracing::debug!(%rid, "the pool has at a call what is not in hand");
        };
        let Some(txn) = state.txn(id).filter(|t| t.stage == Stage::Running) else { return };
        txn.blocked = Some((notice, body.into()));
        (txn.delivery, txn.unsaid, txn.passed) = (Delivery::Confirmed, None, false);
        self.admission.call_needed(now, id);
        self.follow();
    }

    /// The gauges have come, and with them the proof that all said before the poll was heard.
    pub fn polled(&mut self, now: Duration, tag: u64, gauges: &[f64]) {
        let state = self.at(now);
        state.gauges.clear();
        state.gauges.extend_from_slice(gauges);
        (state.polling, state.answered) = (false, tag);
        if state.link == Link::Replaying(tag) {
            state.link = Link::Up;
            self.link_settled();
        }
        self.follow();
    }

    pub fn call_ended(&mut self, now: Duration, id: TxnId, how: Outcome, reply: &[u8]) {
        let state = self.at(now);
        let Some(txn) = state.txn(id).filter(|t| t.stage == Stage::Running) else { return };
        let Some(called) = txn.called.take() else { return };
        let owed = txn.reply_to.is_some();
        tell!(txn.rid, how = ?how, "its call ended");
        if how == Outcome::Completed && owed {
            state.say_reply(id, Some(reply.into()));
        }
        if matches!(how, Outcome::Saturated | Outcome::Unreachable | Outcome::Overdue) {
            self.turned_away_below();
        }
        self.admission.call_ended(now, id, how, now.saturating_sub(called));
        self.follow();
    }
}
