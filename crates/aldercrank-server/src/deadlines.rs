//! The one ordered structure that all deadlines hang in.

use aldercrank::tree::Tree;
use aldercrank::DeterministicMap;
use std::hash::Hash;
use std::time::Duration;

/// Each thing has one deadline at most; a new one replaces it.
#[derive(Debug)]
pub struct Deadlines<K> {
    at: DeterministicMap<K, Duration>,
    order: Tree<(Duration, K)>,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines { at: DeterministicMap::default(), order: Tree::default() }
    }
}

impl<K: Copy + Ord + Hash> Deadlines<K> {
    pub fn set(&mut self, what: K, at: Duration) {
        if let Some(before) = self.at.insert(what, at) {
            self.order.remove(&(before, what));
        }
        self.order.insert((at, what), ());
    }

    pub fn clear(&mut self, what: K) {
        if let Some(at) = self.at.remove(&what) {
            self.order.remove(&(at, what));
        }
    }

    /// When this one comes due.
    pub fn get(&self, what: K) -> Option<Duration> {
        self.at.get(&what).copied()
    }

    pub fn next(&self) -> Option<Duration> {
        self.order.first().map(|((at, _), _)| at)
    }

    /// The earliest that has come, taken out.
    pub fn due(&mut self, now: Duration) -> Option<K> {
        let ((_, what), _) = self.order.first().filter(|((at, _), _)| *at <= now)?;
        self.clear(what);
        Some(what)
    }

    /// Moves all to another zero of the clock: what stood at `from` stands at `to`.
    pub fn rebase(&mut self, from: Duration, to: Duration) {
        let all: Vec<(K, Duration)> = self.at.iter().map(|(k, at)| (*k, *at)).collect();
        for (what, at) in all {
            self.set(what, (at + to).saturating_sub(from));
        }
    }
}
