//! All deadlines of a server in one ordered structure. Times are spans on the server's clock.

use aldercrank::range_summary_map::RangeSummaryMap;
use aldercrank::DeterministicMap;
use std::hash::Hash;
use std::time::Duration;

/// Deadlines by key. Each key has one deadline at most; a new one replaces it.
#[derive(Debug)]
pub struct Deadlines<K> {
    by_key: DeterministicMap<K, Duration>,
    in_order: RangeSummaryMap<(Duration, K)>,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines { by_key: DeterministicMap::default(), in_order: RangeSummaryMap::default() }
    }
}

impl<K: Copy + Ord + Hash> Deadlines<K> {
    /// Sets the deadline of a key.
    pub fn set(&mut self, key: K, at: Duration) {
        if let Some(before) = self.by_key.insert(key, at) {
            self.in_order.remove(&(before, key));
        }
        self.in_order.insert((at, key), ());
    }

    /// Removes the deadline of a key, if it has one.
    pub fn clear(&mut self, key: K) {
        if let Some(at) = self.by_key.remove(&key) {
            self.in_order.remove(&(at, key));
        }
    }

    /// The deadline of a key.
    pub fn get(&self, key: K) -> Option<Duration> {
        self.by_key.get(&key).copied()
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Duration> {
        self.in_order.first().map(|((at, _), _)| at)
    }

    /// Removes the earliest deadline that has passed, and gives its key.
    pub fn due(&mut self, now: Duration) -> Option<K> {
        let ((_, key), _) = self.in_order.first().filter(|((at, _), _)| *at <= now)?;
        self.clear(key);
        Some(key)
    }

    /// Moves all deadlines when the clock is set: the time that was `from` is `to` from now on.
    pub fn rebase(&mut self, from: Duration, to: Duration) {
        let all: Vec<(K, Duration)> = self.by_key.iter().map(|(key, at)| (*key, *at)).collect();
        for (key, at) in all {
            self.set(key, (at + to).saturating_sub(from));
        }
    }
}
