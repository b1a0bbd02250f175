//! What is due by the clock, and the notice to leave.

use super::*;

impl<P: Ports> Core<P> {
    pub fn reminded(&mut self, now: Duration, what: TimerId) {
        let state = self.at(now);
        match what {
            TimerId::Tick => {
                let load_metrics = std::mem::take(&mut state.load_metrics);
                self.admission.timer_fired(now, &load_metrics);
                self.admission.host.load_metrics = load_metrics;
                self.look(now);
            }
            // One poll is out at a time; without a link the gauges are those of before.
            TimerId::LoadMetrics if state.link == Link::Up && !state.polling => state.poll(),
            TimerId::LoadMetrics => {}
            TimerId::Key(key) => {
                let longest = state.longest;
                match state.dedup.ends(key, longest).filter(|end| *end > now) {
                    Some(end) => state.ports.set_timer(what, end - now),
                    None => state.dedup.lapse(key).into_iter().for_each(|id| state.release(id)),
                }
            }
            TimerId::CachedOutcome(id) => {
                // Its answer has been read by now, so a run that never began does not begin: the pool says so.
                let unknown = |t: &&mut Request| t.stage == Stage::Running && t.delivery == Delivery::Unknown;
                if state.link == Link::Up && state.request(id).filter(unknown).is_some() {
                    state.say_spawn(id);
                }
            }
        }
        self.follow();
    }

    /// The notice to leave; the process stops at `stop`.
    pub fn drain(&mut self, now: Duration, stop: Duration) {
        self.at(now);
        self.admission.drain(now, stop);
        self.follow();
    }
}
