//! The concurrency window: grown and cut by latency, its ceiling, and how many requests it starts.

use super::*;

impl<H: Host> Admission<H> {
    pub(super) fn evaluate(&mut self, now: Duration) {
        let since = std::mem::replace(&mut self.evaluated, now);
        let longest = self.classes.iter().map(|p| p.latency_target).max().unwrap_or(self.terms.tick);
        let p99 = self.recent.p99(now, longest.mul_f64(SLIDING));
        if p99 > 1.0 {
            self.window *= BETA;
            let window = self.window;
            self.log(now, "cut", || format!("p99 at {p99:.2} SLA times, window {window:.1}"));
        } else if p99 < HEADROOM && self.pressure {
            self.window += ALPHA;
        }
        self.window = self.window.min(self.ceiling(now)).max(self.terms.cores);
        self.pressure = false;
        // A product that nothing has been learnt of lately is taken for quicker again, or a stall, once
        // learnt, would have it turned away for ever.
        for i in 0..self.classes.len() {
            let first = self.classes[i].latency_target.as_secs_f64() * PACE_AT_FIRST;
            if !self.recent.any(i, since) && self.pace[i] > first {
                self.pace[i] += 2.0 * PACE_GAIN * (first - self.pace[i]);
            }
        }
        let (share, refused) = (self.terms.calls_share, std::mem::take(&mut self.refused));
        // What is harmless here may be a crowd there: all servers' calls together slow each other.
        if self.call_pace > CALLS_SLOW * self.call_base {
            self.calls_window = (self.calls_window * BETA).max(share * CALLS_LEAST);
            let (pace, at_once) = (self.call_pace, self.calls_window);
            self.log(now, "calls", || format!("calls take {pace:.2} s, {at_once:.2} at once"));
        } else if !refused {
            self.calls_window = (self.calls_window + share * CALLS_STEP).min(share * CALLS_SHARE);
        }
        // Idle connections of callers that seldom return give way to new ones: a full table takes cores and
        // leaves others no room. In a storm of tries it is still the cheapest way to turn callers away.
        if let Some(most) = self.terms.idle {
            let storm = self.reading > STORM * (self.reading + self.terms.cores);
            let least = most.mul_f64((COMPARED as f64 / self.terms.upstreams).powi(2).clamp(IDLE_LEAST, 1.0));
            self.idle = self.idle.mul_f64(if storm { 2.0 } else { BETA }).clamp(least, most.max(least));
            self.host.close_idle(self.idle);
        }
    }

    /// The most that the window may be: the cold figure a core after a cold start, rising to the warm one.
    pub(super) fn ceiling(&self, now: Duration) -> f64 {
        let warm = self.terms.per_core.unwrap_or(WARM_PER_CORE);
        let cold = self.terms.cold_per_core.unwrap_or(COLD_PER_CORE).min(warm);
        (self.terms.cores * (cold + (warm - cold) * self.warmth(now)) / self.on_core.max(0.4))
            .max(self.terms.cores)
    }

    /// How far this server has warmed up at least, 0 to 1.
    pub(super) fn warmth(&self, now: Duration) -> f64 {
        self.terms.warm_after.map_or(1.0, |after| now.div_duration_f64(after).min(1.0))
    }

    /// Starts held txns by due time while the window has room.
    pub(super) fn fill(&mut self, now: Duration) {
        while let Some((_, id)) = self.queue.first() {
            let running = self.totals.running() as f64;
            if running + 1.0 > self.window || !self.start_request(now, id) {
                self.pressure = true;
                return;
            }
        }
    }

    /// The only place where a run begins: all guards of the four rules stand here.
    pub(super) fn start_request(&mut self, now: Duration, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id).filter(|t| t.stage == Stage::Queued) else { return false };
        let unkept = request.effect == Effect::Keyed && !self.dedup.is_live(id);
        if unkept || self.too_late(request.arrived) || now + self.terms.tick >= request.deadline {
            self.turn_away(now, id);
            return true;
        }
        // Calls return to the cores on their own, so they count for the crowd.
        let crowd = self.totals.begun() as f64 + 1.0;
        let memory = self.memory(request.kb);
        let survives = self.terms.cores * (1.0 + (self.terms.fall_multiple - 1.0) * self.speed(now));
        if crowd > (CROWD_SHARE * survives).max(self.terms.cores) || memory > MEMORY_SHARE {
            return false;
        }
        self.queue.remove((request.due, id));
        self.put(id, Stage::Running);
        self.requests.entry(id).and_modify(|t| t.started = now);
        self.host.start_run(id);
        true
    }

    /// The share of its speed that this server has at least.
    pub(super) fn speed(&self, now: Duration) -> f64 {
        let warmth = self.warmth(now);
        let from = if warmth < 1.0 { self.terms.cold_from } else { 1.0 };
        from + (1.0 - from) * warmth
    }

    /// Seconds that a run of this product takes on the cores at present.
    pub(super) fn run_time(&self, now: Duration, class: usize) -> f64 {
        self.pace[class] / self.speed(now)
    }

    /// Memory in use once a held txn of this size is started, as a share of what there is.
    pub(super) fn memory(&self, started: f64) -> f64 {
        let (factor, (waiting, begun)) = (self.terms.run_factor, self.totals.kb());
        let keys = self.dedup.live() as f64 * self.terms.key_kb;
        (waiting + begun * factor + keys + started * (factor - 1.0)) / self.terms.memory_kb
    }
}
