//! What the queue cannot do in time: whose place goes, and what is rejected or failed at once.

use super::*;

impl<H: Host> Admission<H> {
    pub(super) fn too_late(&self, arrived: Duration) -> bool {
        self.leaving.is_some_and(|(told, _)| arrived > told + self.terms.grace)
    }

    /// The one place where a txn's stage changes.
    pub(super) fn put(&mut self, id: RequestId, stage: Stage) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.totals.leave(request.class, request.stage, request.kb);
        self.totals.enter(request.class, stage, request.kb);
        request.stage = stage;
        match stage {
            Stage::AtCall => self.at_call.insert(id, ()),
            _ => self.at_call.remove(&id),
        };
    }

    /// Time since the first try, where it shows: most tries wait a usual part of the product's whole time, or
    /// what their caller waited before; one that waits another has what is left of the whole.
    pub(super) fn age(&mut self, read: &IncomingRequest, arrived: Duration, p: &RequestClass) -> Duration {
        let span =
            |end: Duration| end.saturating_sub(arrived).div_duration_f64(p.deadline.max(self.terms.tick));
        let left = read.deadline.map_or(1.0, span).min(1.0);
        let (near, known) = self.recent_callers.came(read.caller, (left * WAITS) as usize);
        let usual = near >= USUAL || known;
        let age = if usual { Duration::ZERO } else { p.deadline.mul_f64(1.0 - left) };
        // One that is late already counts as new where it still earns as much as the cheapest in time.
        let cheapest = self.classes.iter().map(|p| p.value).fold(f64::MAX, f64::min);
        if age > p.latency_target && p.value * p.late >= cheapest {
            Duration::ZERO
        } else {
            age
        }
    }

    /// What the level is compared with: below 1 for products that are shed first, above for the others, by
    /// the user's place within the product, so that a level cuts the same users everywhere.
    pub(super) fn worth(&mut self, now: Duration, class: usize, read: &IncomingRequest) -> f64 {
        let place = (read.rank.clamp(0.0, 1.0) * self.classes.len() as f64).fract();
        let gain = self.classes[class].value * self.usual(|i| self.pace[i]) / self.pace[class].max(1e-9);
        let worth = place + f64::from(u32::from(gain >= self.usual(|i| self.classes[i].value)));
        let Some(tenant) = read.tenant else { return worth };
        // What a tenant sends beyond its share is worth little: this server's part of its quota is a bucket.
        let named = self.terms.tenants.iter().position(|(name, _)| name == tenant);
        let Some((i, rate)) = named.map(|i| (i, self.terms.tenants[i].1)) else { return worth };
        if !self.quotas.take(i, rate, now) {
            return worth * self.terms.over_share;
        }
        worth
    }

    pub(super) fn wait(&self, now: Duration) -> f64 {
        self.queue.cost(|i| self.run_time(now, i)) / self.window
    }

    /// The mean of a figure over the products, by their share of what is read.
    pub(super) fn usual(&self, figure: impl Fn(usize) -> f64) -> f64 {
        let sum: f64 = self.seen.iter().enumerate().map(|(i, s)| s * figure(i)).sum();
        sum / self.seen.iter().sum::<f64>().max(1e-9)
    }

    pub(super) fn weigh(&mut self, now: Duration) {
        let slack =
            self.usual(|i| (self.classes[i].latency_target.as_secs_f64() - self.run_time(now, i)).max(0.0));
        let filled = (self.wait(now) + self.unread) / slack.max(1e-3);
        self.level = ((filled - LEVEL_FROM) / (LEVEL_TO - LEVEL_FROM)).clamp(0.0, 2.0);
    }

    /// Turns away at once what cannot be in time any more. Where the queue as a whole cannot be, the least
    /// worth among those ahead goes, until the rest can.
    pub(super) fn prune(&mut self, now: Duration) {
        let (sure, speed) = (1.0 + SURER * self.level.min(1.0), self.speed(now));
        let mut after = None;
        loop {
            let run = |i: usize| self.pace[i] / speed;
            let slack = |due: Duration, i: usize| due.saturating_sub(now).as_secs_f64() - run(i) * sure;
            // None ahead take less than no time, so one without slack is found too.
            let bad = |ahead: f64, due: Duration, i: usize| ahead / self.window > slack(due, i);
            let Some((place, class)) = self.queue.find(after, run, bad) else { return };
            let alone = slack(place.0, class) < 0.0;
            let least = if alone { None } else { self.queue.least_to(place) };
            after = Some(place);
            self.turn_away(now, least.unwrap_or(place).1);
        }
    }

    /// Gives up on a txn that has not run, and says when to come back.
    pub(super) fn turn_away(&mut self, now: Duration, id: RequestId) {
        let past = self.requests.get(&id).is_some_and(|t| t.due <= now);
        self.drop_unrun(id);
        let (most, held, level) = (self.terms.retry_after, self.wait(now), self.level);
        let away = self.leaving.is_some() || (!self.healthy && self.warmth(now) >= 1.0);
        let retry_after = if away { most } else { most.min(Duration::from_secs_f64(held)) };
        self.log(now, "level", || format!("declines at level {level:.2}: the queue takes {held:.2} s"));
        // A warm server that turns away most of what it reads is not alone: one more try would be in vain.
        self.turned += PACE_GAIN;
        let last = self.turned > TURNED_MOST && self.leaving.is_none() && self.warmth(now) >= 1.0;
        self.host.reject(id, Some(retry_after).filter(|b| !b.is_zero()), last || past);
    }

    /// Not for this server to run, at least not now; says nothing of its load.
    pub(super) fn bar(&mut self, id: RequestId, last: bool) {
        self.drop_unrun(id);
        self.host.reject(id, Some(self.terms.retry_after).filter(|b| !b.is_zero()), last);
    }

    /// The error that promises nothing, for what has run or repeats what has run.
    pub(super) fn fail(&mut self, id: RequestId) {
        self.host.fail(id);
        self.unwanted(id);
    }

    /// Nobody waits any more: a run is stopped where that is allowed and it may be done again.
    pub(super) fn unwanted(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.stage, Stage::Queued | Stage::Joined) {
            return self.drop_unrun(id);
        }
        request.answered = true;
        self.at_call.remove(&id);
        if self.terms.halt && request.stage == Stage::Running && request.effect == Effect::Idempotent {
            self.host.stop_run(id);
        }
    }

    /// Takes a txn that has not run out of the queue, and out of the table.
    pub(super) fn drop_unrun(&mut self, id: RequestId) {
        if let Some(request) = self.remove(id) {
            self.queue.remove((request.due, id));
            if self.dedup.forget(id) {
                self.host.forget(id);
            }
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.totals.leave(request.class, request.stage, request.kb);
        self.at_call.remove(&id);
        self.dues.remove(&(request.deadline.saturating_sub(self.terms.tick), Due::Expiry, id));
        Some(request)
    }

    /// Enters a txn in the table for its window, counted from its arrival.
    pub(super) fn keep(&mut self, now: Duration, id: RequestId, arrived: Duration, p: &RequestClass) {
        let window = if p.effect == Effect::Keyed { p.window } else { self.terms.fresh };
        let span = (arrived + window + self.terms.tick * 2).saturating_sub(now);
        if p.effect != Effect::Unsafe && !window.is_zero() && !span.is_zero() {
            self.host.remember(id, span);
            self.dedup.keep(id, self.requests[&id].class, now + span);
            self.dues.insert((now + span, Due::Key, id), ());
        }
    }
}
