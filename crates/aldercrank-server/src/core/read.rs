//! A txn is read, and its caller goes.

use super::*;

impl<P: Ports> Core<P> {
    /// Takes a whole txn. Nothing is run for one that makes no sense: it is told so at once.
    pub fn request_received(&mut self, now: Duration, reply_to: ReplyTo, ask: ReceivedRequest) {
        let state = self.at(now);
        let class = state.classes.iter().position(|(name, _)| **name == *ask.arrival.class);
        let Some(class) = class.filter(|_| !state.attempts.contains_key(&ask.attempt)) else {
            tracing::warn!(attempt = %ask.attempt, class = ask.arrival.class, "a txn not taken: its id is in hand, or its product is not known");
            return state.ports.fail(reply_to);
        };
        // What runs once must be known again.
        let effect = state.classes[class].1;
        let marked = effect != Effect::Keyed || ask.dedup_key.is_some();
        if !marked {
            tracing::warn!(attempt = %ask.attempt, class = ask.arrival.class, "a txn without the token that its product needs");
            return state.ports.fail(reply_to);
        }
        // One that lay longer than anybody waits is gone, or tells of a clock, and not of our reading. A word
        // of less is believed for the windows; that txns lie unread is for our own reading to say.
        let told = ask.arrival.unread_for.min(state.patience);
        let (arrived, unread_for) = (now.saturating_sub(told), told.min(ask.unread));
        if ask.dedup_key.is_some() && state.dedup.full() {
            tracing::error!("no room left for keys");
            return state.ports.reject(reply_to, None, false);
        }
        let repeats = ask.dedup_key.as_ref().and_then(|key| state.dedup.repeated(key, arrived, now));
        let request = Request {
            attempt: ask.attempt,
            reply_to: Some(reply_to),
            dedup_key: ask.dedup_key,
            class,
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
        let Some(id) = state.requests.insert(request).map(|slot| RequestId(slot.0)) else {
            tracing::error!("no number left for a txn");
            return state.ports.reject(reply_to, None, false);
        };
        tell!(ask.attempt, class = ask.arrival.class, repeats = repeats.is_some(), "read");
        state.attempts.insert(ask.attempt, id);
        if let Some(version) = state.version.filter(|_| state.lease.covers(effect)) {
            state.ports.decided_by_version(reply_to, version);
        }
        state.replies_owed.insert(reply_to, id);
        self.admission.request_received(now, id, &IncomingRequest { repeats, unread_for, ..ask.arrival });
        self.follow();
    }

    pub fn caller_gone(&mut self, now: Duration, reply_to: ReplyTo) {
        let state = self.at(now);
        let Some(id) = state.replies_owed.remove(&reply_to) else { return };
        let Some(request) = state.request(id) else { return };
        request.reply_to = None;
        tell!(request.attempt, "its caller has gone");
        self.admission.caller_gone(now, id);
        self.admission.host.unwanted(id);
        self.follow();
    }

    /// A connection has gone: nobody waits on it any more.
    pub fn conn_lost(&mut self, now: Duration, conn: ConnId) {
        let first = ReplyTo { conn, call: MessageId(0) };
        let next = |state: &CoreState<P>| state.replies_owed.next(Bound::Included(&first));
        while let Some((reply_to, _)) =
            next(&self.admission.host).filter(|(reply_to, _)| reply_to.conn == conn)
        {
            self.caller_gone(now, reply_to);
        }
    }
}
