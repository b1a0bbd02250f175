//! Calls to the shared dependency: their own window, time-outs, retries, and when one is left out.

use super::*;

impl<H: Host> Admission<H> {
    /// A call is over, here at least: one given up, whatever for, lingers below.
    pub(super) fn call_over(&mut self, now: Duration, id: RequestId, gone: bool) {
        let linger = if gone { Duration::ZERO } else { self.terms.linger };
        self.calls.ends(id, now, now + linger);
    }

    /// The longest that one more call may take: the calls of the last `calls_over`, each counted up to its
    /// time-out, stay within this server's share, however slow what lies below becomes.
    pub(super) fn call_room(&mut self, now: Duration) -> Duration {
        let over = self.terms.calls_over;
        let taken = self.calls.taken(now.saturating_sub(over));
        let most = (self.terms.calls_share * CALLS_SHARE).min(1e6);
        over.mul_f64(most).saturating_sub(taken)
    }

    /// So many times what a call takes; without end while none has been answered.
    pub(super) fn usual_calls(&self, times: f64) -> Duration {
        let base = if self.call_base < f64::MAX { self.call_base } else { 0.0 };
        let usual = self.call_pace.max(base);
        Duration::from_secs_f64(if usual > 0.0 { (usual * times).min(1e6) } else { 1e6 })
    }

    /// Whether calls take much longer than at best, and long enough to matter for the SLA times.
    pub(super) fn calls_slow(&self) -> bool {
        self.call_pace > (CALLS_SLOW * self.call_base).max(CALLS_HURT * self.shortest())
    }

    pub(super) fn shortest(&self) -> f64 {
        self.classes.iter().map(|p| p.latency_target.as_secs_f64()).fold(f64::MAX, f64::min)
    }

    /// What leaving out a call loses, in millionths.
    pub(super) fn stake(&self, class: usize) -> i64 {
        (self.classes[class].value * (1.0 - self.classes[class].without) * 1e6) as i64
    }

    /// Makes the calls that wait, those first that lose most without, while the calls' window has room. Goes
    /// on without, where that earns a part, once the wait would take half of the time left. Then fills cores.
    pub(super) fn go_on(&mut self, now: Duration) {
        if self.at_call.is_empty() {
            return self.fill(now);
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        for (id, _) in self.at_call.iter() {
            let t = &self.requests[&id];
            // One that can't be in time any more has only its late value at stake.
            let usual = self.run_time(now, t.class) * 0.5 + self.call_pace;
            let in_time = t.due.saturating_sub(now).as_secs_f64() >= usual;
            let share = if in_time { 1.0 } else { self.classes[t.class].late };
            waiting.push(((-self.stake(t.class) as f64 * share) as i64, t.due, id));
        }
        waiting.sort_unstable();
        let mut longest = self.call_room(now);
        let (mut ahead, mut out) = (0.0, self.calls.out(now) as f64);
        let dearest = (0..self.classes.len()).filter(|i| self.classes[*i].calls).map(|i| self.stake(i)).max();
        for (stake, _, id) in waiting.drain(..) {
            let request = &self.requests[&id];
            let p = &self.classes[request.class];
            let rest = Duration::from_secs_f64(self.run_time(now, request.class) * 0.5);
            let to_due = request.due.saturating_sub(now + rest);
            let to_expiry = request.deadline.saturating_sub(now + rest + self.terms.tick);
            let gap = self.call_pace / self.calls_window;
            let last = self.calls.last().map_or(f64::MAX, |made| now.saturating_sub(made).as_secs_f64());
            // Its own share of the time, also while the pace lags behind what calls have come to take.
            let paced = out == 0.0 && last >= gap.max(self.call_last / self.calls_window);
            let left = if p.without > 0.0 && to_due > self.terms.tick { to_due } else { to_expiry };
            // One that takes many times the usual will not be answered; it must not keep others out.
            let left = left.min(self.usual_calls(CALLS_GONE));
            // A time-out that is short for want of room would leave the call's effect unknown.
            let sure = left.min(p.latency_target / 2).min(self.usual_calls(CALLS_SURE));
            let fits = longest >= sure || self.calls.is_empty();
            let room = fits && (out + 1.0 <= self.calls_window || paced) && now >= request.redial;
            let wait = if room { self.call_pace } else { (ahead + 1.0) * gap + self.call_pace };
            let futile = wait > to_due.as_secs_f64() * 0.5 && (!to_due.is_zero() || p.late <= 0.0 || !room);
            if p.without > 0.0 && (futile || (-stake < dearest.unwrap_or(0) && self.calls_slow())) {
                self.resume(now, id);
                self.host.skip_call(id);
            } else if room {
                let timeout = left.max(self.terms.tick).min(longest);
                out += 1.0;
                self.calls.made(id, now, now + timeout);
                longest = longest.saturating_sub(timeout);
                self.put(id, Stage::Calling);
                self.requests.entry(id).and_modify(|t| t.calls += 1);
                self.host.start_call(id, timeout);
            } else {
                ahead += 1.0;
            }
        }
        self.waiting = waiting;
        self.fill(now);
    }

    pub(super) fn resume(&mut self, now: Duration, id: RequestId) {
        self.put(id, Stage::Running);
        self.requests.entry(id).and_modify(|t| t.call_wait += now.saturating_sub(t.call_since));
    }
}
