//! A map of deadlines that is ordered by time. Times are durations on the server's clock.

use aldercrank::range_summary_map::RangeSummaryMap;
use aldercrank::DeterministicMap;
use std::hash::Hash;
use std::time::Duration;

/// Deadlines by key. A key has at most one deadline; setting it again replaces it.
#[derive(Debug)]
pub struct Deadlines<K> {
    by_key: DeterministicMap<K, Duration>,
    by_time: RangeSummaryMap<(Duration, K)>,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines { by_key: DeterministicMap::default(), by_time: RangeSummaryMap::default() }
    }
}

impl<K: Copy + Ord + Hash> Deadlines<K> {
    /// Sets the deadline of a key.
    pub fn set(&mut self, key: K, at: Duration) {
        if let Some(previous) = self.by_key.insert(key, at) {
            self.by_time.remove(&(previous, key));
        }
        self.by_time.insert((at, key), ());
    }

    /// Removes the deadline of a key, if it has one.
    pub fn remove(&mut self, key: K) {
        if let Some(at) = self.by_key.remove(&key) {
            self.by_time.remove(&(at, key));
        }
    }

    /// Returns the deadline of a key, if it has one.
    pub fn get(&self, key: K) -> Option<Duration> {
        self.by_key.get(&key).copied()
    }

    /// Returns the earliest deadline.
    pub fn next(&self) -> Option<Duration> {
        self.by_time.first().map(|((at, _), _)| at)
    }

    /// Returns the number of keys with a deadline.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no key has a deadline.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Removes the earliest deadline if it has been reached, and returns its key.
    pub fn pop_due(&mut self, now: Duration) -> Option<K> {
        let ((_, key), _) = self.by_time.first().filter(|((at, _), _)| *at <= now)?;
        self.remove(key);
        Some(key)
    }

    /// Shifts all deadlines with the clock, which has been set from `from` to `to`. One that would be negative becomes
    /// zero.
    pub fn rebase(&mut self, from: Duration, to: Duration) {
        let all: Vec<(K, Duration)> = self.by_key.iter().map(|(key, at)| (*key, *at)).collect();
        for (key, at) in all {
            self.set(key, (at + to).saturating_sub(from));
        }
    }
}
