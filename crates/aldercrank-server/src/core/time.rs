//! What is due by the clock, and the notice to leave.

use super::*;

impl<P: Ports> Core<P> {
    pub fn reminded(&mut self, now: Duration, what: Reminder) {
        let state = self.at(now);
        match what {
            Reminder::Tick => {
                let gauges = std::mem::take(&mut state.gauges);
                self.admission.woken(now, &gauges);
                self.admission.host.gauges = gauges;
                self.look(now);
            }
            // One poll is out at a time; without a link the gauges are those of before.
            Reminder::Gauges if state.link == Link::Up && !state.polling => state.poll(),
            Reminder::Gauges => {}
            Reminder::Key(key) => {
                let longest = state.longest;
                match state.dedup.ends(key, longest).filter(|end| *end > now) {
                    Some(end) => state.ports.remind(what, end - now),
                    None => state.dedup.lapse(key).into_iter().for_each(|id| state.release(id)),
                }
            }
            Reminder::Fate(id) => {
                // Its answer has been read by now, so a run that never began does not begin: the pool says so.
                let unknown = |t: &&mut Txn| t.stage == Stage::Running && t.delivery == Delivery::Unknown;
                if state.link == Link::Up && state.txn(id).filter(unknown).is_some() {
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
