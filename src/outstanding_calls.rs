//! The calls of late: when each was made, and until when it may stay below. Keeps the sums that are asked for
//! at every event. No decision lives here.

use crate::tree::Tree;
use crate::types::{RequestId, RequestMap};
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Call {
    request: RequestId,
    made: Duration,
    until: Duration,
    /// Nothing of it counts any more.
    gone: bool,
}

#[derive(Debug, Default)]
pub struct Calls {
    /// In the order in which they were made; the first has the number `first`.
    all: VecDeque<Call>,
    first: u64,
    latest: RequestMap<u64>,
    /// By their end, those that have not come to it.
    open: Tree<(Duration, u64)>,
    /// Those that count, and the time that they take in all.
    count: usize,
    sum: Duration,
}

impl Calls {
    pub fn made(&mut self, request: RequestId, now: Duration, until: Duration) {
        let number = self.first + self.all.len() as u64;
        self.all.push_back(Call { request, made: now, until, gone: false });
        self.latest.insert(request, number);
        self.open.insert((until, number), ());
        (self.count, self.sum) = (self.count + 1, self.sum + until.saturating_sub(now));
    }

    /// The last one of this txn, if it has not come to its end, ends at `until`.
    pub fn ends(&mut self, request: RequestId, now: Duration, until: Duration) {
        let Some(&number) = self.latest.get(&request) else { return };
        let Some(call) = self.all.get_mut((number - self.first) as usize) else { return };
        if call.until >= now && !call.gone {
            self.open.remove(&(call.until, number));
            self.sum = (self.sum + until).saturating_sub(call.until);
            call.until = until;
            self.open.insert((until, number), ());
        }
    }

    /// What the calls took since this moment, each counted from then on at the earliest. Older ones go.
    pub fn taken(&mut self, since: Duration) -> Duration {
        let mut before = Duration::ZERO;
        // Only those that were made before can have gone, or count in part: as many as were out at once.
        for call in self.all.iter_mut().take_while(|c| c.made < since).filter(|c| !c.gone) {
            if call.until <= since {
                call.gone = true;
                self.count -= 1;
                self.sum = self.sum.saturating_sub(call.until.saturating_sub(call.made));
            } else {
                before += since - call.made;
            }
        }
        while let Some(call) = self.all.front().filter(|c| c.gone) {
            if self.latest.get(&call.request) == Some(&self.first) {
                self.latest.remove(&call.request);
            }
            self.all.pop_front();
            self.first += 1;
        }
        self.sum.saturating_sub(before)
    }

    /// How many may still be below.
    pub fn out(&mut self, now: Duration) -> usize {
        while let Some((end, _)) = self.open.first().filter(|(end, _)| end.0 <= now) {
            self.open.remove(&end);
        }
        self.open.len()
    }

    /// Whether none counts.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// When the last one was made.
    pub fn last(&self) -> Option<Duration> {
        self.all.back().filter(|_| self.count > 0).map(|c| c.made)
    }
}
