//! A txn is read, and its caller goes.

use super::*;

impl<P: Ports> Core<P> {
    /// Takes a whole txn. Nothing is run for one that makes no sense: it is told so at once.
    pub fn txn_read(&mut self, now: Duration, reply_to: ReplyTo, ask: Ask) {
        let state = self.at(now);
        let product = state.products.iter().position(|(name, _)| **name == *ask.arrival.product);
        let Some(product) = product.filter(|_| !state.rids.contains_key(&ask.rid)) else {
            tracing::warn!(rid = %ask.rid, product = ask.arrival.product, "a txn not taken: its id is in hand, or its product is not known");
            return state.ports.void(reply_to);
        };
        // What runs once must be known again.
        let effect = state.products[product].1;
        let marked = effect != Effect::Keyed || ask.dedup_key.is_some();
        if !marked {
            tracing::warn!(rid = %ask.rid, product = ask.arrival.product, "a txn without the token that its product needs");
            return state.ports.void(reply_to);
        }
        // One that lay longer than anybody waits is gone, or tells of a clock, and not of our reading. A word
        // of less is believed for the windows; that txns lie unread is for our own reading to say.
        let told = ask.arrival.lay.min(state.patience);
        let (arrived, lay) = (now.saturating_sub(told), told.min(ask.unread));
        if ask.dedup_key.is_some() && state.dedup.full() {
            tracing::error!("no room left for keys");
            return state.ports.decline(reply_to, None, false);
        }
        let repeats = ask.dedup_key.as_ref().and_then(|key| state.dedup.repeated(key, arrived, now));
        let txn = Txn {
            rid: ask.rid,
            reply_to: Some(reply_to),
            dedup_key: ask.dedup_key,
            product,
            effect,
            body: Some(payload::body(ask.body)),
            repeats,
            stage: Stage::Queued,
            delivery: Delivery::Confirmed,
            blocked: None,
            called: None,
            unsaid: None,
            passed: false,
            joined: now,
            waiters: Vec::new(),
        };
        let Some(id) = state.txns.insert(txn).map(|slot| TxnId(slot.0)) else {
            tracing::error!("no number left for a txn");
            return state.ports.decline(reply_to, None, false);
        };
        tell!(ask.rid, product = ask.arrival.product, repeats = repeats.is_some(), "read");
        state.rids.insert(ask.rid, id);
        if let Some(version) = state.version.filter(|_| state.lease.covers(effect)) {
            state.ports.judged(reply_to, version);
        }
        state.replies_owed.insert(reply_to, id);
        self.admission.txn_read(now, id, &Arrival { repeats, lay, ..ask.arrival });
        self.follow();
    }

    pub fn caller_gone(&mut self, now: Duration, reply_to: ReplyTo) {
        let state = self.at(now);
        let Some(id) = state.replies_owed.remove(&reply_to) else { return };
        let Some(txn) = state.txn(id) else { return };
        txn.reply_to = None;
        tell!(txn.rid, "its caller has gone");
        self.admission.caller_gone(now, id);
        self.admission.host.unwanted(id);
        self.follow();
    }

    /// A connection has gone: nobody waits on it any more.
    pub fn conn_lost(&mut self, now: Duration, conn: ConnId) {
        let first = ReplyTo { conn, call: CallNo(0) };
        let next = |state: &CoreState<P>| state.replies_owed.next(Bound::Included(&first));
        while let Some((reply_to, _)) =
            next(&self.admission.host).filter(|(reply_to, _)| reply_to.conn == conn)
        {
            self.caller_gone(now, reply_to);
        }
    }
}
