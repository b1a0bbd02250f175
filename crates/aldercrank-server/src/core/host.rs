//! Carries out what the admission module decides, on the requests in hand, the dedup table and the ports.

use super::{
    slot, tell, CoreState, Delivery, Link, Ports, Reminder, ReplyTo, Stage, Txn, AFTER_ANSWER, GAUGES_BEFORE,
};
use crate::logger::OF_TXNS;
use crate::pool::Rid;
use aldercrank::{Host, Outcome, TxnId};
use std::rc::Rc;
use std::time::Duration;

/// A txn's id, or nothing where it has gone.
pub(super) struct Logged(Option<Rid>);

impl std::fmt::Display for Logged {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.0.map_or(Ok(()), |rid| write!(f, "{rid}"))
    }
}

impl<P: Ports> CoreState<P> {
    pub(super) fn txn(&mut self, id: TxnId) -> Option<&mut Txn> {
        self.txns.get_mut(slot(id))
    }

    /// As the edge names it; for the log alone.
    pub(super) fn rid(&self, id: TxnId) -> Logged {
        Logged(self.txns.get(slot(id)).map(|t| t.rid))
    }

    pub(super) fn reply_to(&mut self, id: TxnId) -> Option<ReplyTo> {
        let reply_to = self.txn(id)?.reply_to.take()?;
        self.replies_owed.remove(&reply_to);
        Some(reply_to)
    }

    /// Nothing runs for it, nor will.
    pub(super) fn over(&mut self, id: TxnId) {
        let Some(txn) = self.txn(id) else { return };
        txn.stage = Stage::Over;
        txn.body = None;
        txn.blocked = None;
        let (rid, waiters) = (txn.rid, std::mem::take(&mut txn.waiters));
        // Those that wait for one that was dropped get nothing.
        self.ended.extend(waiters.into_iter().map(|w| (w, Outcome::Errored)));
        if self.rids.get(&rid) == Some(&id) {
            self.rids.remove(&rid);
        }
        self.release(id);
    }

    /// In the order of their ids, since it shows in what is said to the pool.
    pub(super) fn in_hand(&self) -> Vec<TxnId> {
        let mut all: Vec<(Rid, TxnId)> = self.rids.iter().map(|(rid, id)| (*rid, *id)).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, id)| id).collect()
    }

    /// Frees the slot, unless a key names it still.
    pub(super) fn release(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get(slot(id)).filter(|t| t.stage == Stage::Over) else { return };
        let named = txn.dedup_key.as_ref().is_some_and(|key| self.dedup.names(key, id));
        if !named {
            self.txns.remove(slot(id));
        }
    }

    pub(super) fn poll(&mut self) {
        (self.tag, self.polling) = (self.tag + 1, true);
        self.ports.poll(self.tag);
    }

    pub(super) fn say_spawn(&mut self, id: TxnId) {
        let (link, tag) = (self.link, self.tag);
        let Some(txn) = self.txns.get_mut(slot(id)) else { return };
        txn.delivery = Delivery::Unsent;
        if let (Link::Up, Some(body)) = (link, &txn.body) {
            txn.delivery = Delivery::ConfirmedBy(tag + 1);
            self.ports.spawn(txn.rid, &self.products[txn.product].0, body);
        }
    }

    /// Tells a run that waits how its call went, now or once the link is back.
    pub(super) fn say_reply(&mut self, id: TxnId, reply: Option<Rc<[u8]>>) {
        let (link, tag) = (self.link, self.tag);
        let Some(txn) = self.txns.get_mut(slot(id)) else { return };
        if link != Link::Up {
            txn.unsaid = Some(reply);
            return;
        }
        match (&reply, &txn.blocked) {
            (Some(bytes), _) => self.ports.supply(txn.rid, bytes),
            (None, Some((notice, _))) => self.ports.pass(txn.rid, *notice),
            (None, None) => {}
        }
        (txn.delivery, txn.passed) = (Delivery::ConfirmedBy(tag + 1), reply.is_none());
    }

    /// Nobody waits for it any more. What does not run is over, and so is a run that the pool never heard of.
    pub(super) fn unwanted(&mut self, id: TxnId) {
        let after = self.tick * AFTER_ANSWER;
        match self.txn(id).map(|t| (t.stage, t.delivery)) {
            Some((Stage::Running, Delivery::Unsent)) => self.unsay(id),
            Some((Stage::Running, Delivery::Unknown)) => self.ports.remind(Reminder::Fate(id), after),
            Some((Stage::Running, _)) | None => {}
            Some(_) => self.over(id),
        }
    }

    /// A run that was never said ends here and now.
    pub(super) fn unsay(&mut self, id: TxnId) {
        if self.txn(id).is_some_and(|t| t.stage == Stage::Running && t.delivery == Delivery::Unsent) {
            self.ended.push_back((id, Outcome::Superseded));
        }
    }
}

impl<P: Ports> Host for CoreState<P> {
    fn start(&mut self, id: TxnId) {
        let Some(txn) = self.txn(id).filter(|t| t.stage == Stage::Queued) else { return };
        txn.stage = Stage::Running;
        tell!(txn.rid, "started");
        if let Some(dedup_key) = txn.dedup_key {
            let before = self.dedup.started(&dedup_key, id);
            before.into_iter().for_each(|b| self.release(b));
        }
        self.say_spawn(id);
    }

    fn stop(&mut self, id: TxnId) {
        let link = self.link;
        let Some(txn) = self.txn(id).filter(|t| t.stage == Stage::Running) else { return };
        tell!(txn.rid, "its run is stopped");
        if txn.delivery != Delivery::Unsent && link == Link::Up {
            let rid = txn.rid;
            self.ports.suspend(rid);
        }
        self.unsay(id);
    }

    fn decline(&mut self, id: TxnId, back_in: Option<Duration>, last: bool) {
        tell!(self.rid(id), back_in_ms = back_in.unwrap_or_default().as_millis() as u64, last, "declined");
        if let Some(reply_to) = self.reply_to(id) {
            self.ports.decline(reply_to, back_in, last);
        }
        self.over(id);
    }

    fn void(&mut self, id: TxnId) {
        tell!(self.rid(id), "voided");
        if let Some(reply_to) = self.reply_to(id) {
            self.ports.void(reply_to);
        }
        self.unwanted(id);
    }

    fn keep(&mut self, id: TxnId, span: Duration) {
        let (until, longest) = (self.now + span, self.longest);
        let Some(dedup_key) = self.txn(id).and_then(|t| t.dedup_key) else { return };
        if let Some((key, before)) = self.dedup.keep(&dedup_key, id, until) {
            let after = self.dedup.ends(key, longest).map_or(span, |end| end.saturating_sub(self.now));
            self.ports.remind(Reminder::Key(key), after);
            before.into_iter().for_each(|b| self.release(b));
        }
    }

    fn forget(&mut self, id: TxnId) {
        if let Some(dedup_key) = self.txn(id).and_then(|t| t.dedup_key) {
            self.dedup.forget(&dedup_key, id);
            self.release(id);
        }
    }

    fn join(&mut self, id: TxnId) {
        let now = self.now;
        let Some(txn) = self.txn(id).filter(|t| t.stage == Stage::Queued) else { return };
        (txn.stage, txn.joined) = (Stage::Joined, now);
        tell!(txn.rid, "waits for what it repeats");
        let mut first = txn.repeats;
        while let Some(next) = first.and_then(|f| self.txn(f)).filter(|f| f.stage == Stage::Joined) {
            first = next.repeats;
        }
        match first.and_then(|f| self.txn(f)).filter(|f| f.stage != Stage::Over) {
            Some(first) => first.waiters.push(id),
            // From what it left; the end says what that is.
            None => self.ended.push_back((id, Outcome::Completed)),
        }
    }

    fn call(&mut self, id: TxnId, give_up: Duration) {
        let now = self.now;
        let Some(txn) = self.txn(id) else { return };
        let Some((_, body)) = txn.blocked.clone() else { return };
        txn.called = Some(now);
        let rid = txn.rid;
        if !self.may_call() {
            return self.unmade.push_back(id);
        }
        tell!(rid, give_up_ms = give_up.as_millis() as u64, "calls the index");
        self.ports.call(id, rid, &body, give_up);
    }

    fn skip_call(&mut self, id: TxnId) {
        tell!(self.rid(id), "goes on without its call");
        self.say_reply(id, None);
    }

    fn health(&mut self, good: bool, _stored: bool) {
        self.ports.health(good);
    }

    fn close_idle(&mut self, span: Duration) {
        self.ports.close_idle(span);
    }

    fn advertise(&mut self, value: f64) {
        self.ports.advertise(value);
    }

    fn wake(&mut self, after: Duration) {
        self.tick = after;
        self.ports.remind(Reminder::Tick, after);
        self.ports.remind(Reminder::Gauges, after.mul_f64(1.0 - GAUGES_BEFORE));
    }

    fn log(&mut self, line: &str) {
        tracing::info!("module: {line}");
    }
}
