//! The ids of attempts whose runs have ended, so that none runs again under the same id.
//!
//! An attempt id is new with each attempt, so only a faulty client repeats one. While the attempt is in flight, its id is
//! found there; afterwards it is found here for a time. The first attempt's result is not kept: another client may have
//! asked for it. Only unsafe requests need this: an idempotent one may run again, and a keyed one is recognised by its
//! key.

use crate::worker_pool::AttemptId;
use aldercrank::DeterministicMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of ids; beyond it the oldest are forgotten.
const MAX_ATTEMPTS: usize = 60_000;

struct RecentAttempt {
    attempt: AttemptId,
    forget_at: Duration,
}

/// Attempt ids by the end of their runs. Only what the worker pool ran is added, so others can't displace it.
#[derive(Default)]
pub(super) struct RecentAttempts {
    attempts: DeterministicMap<AttemptId, ()>,
    /// The same ids, oldest first.
    by_age: VecDeque<RecentAttempt>,
}

impl RecentAttempts {
    /// Adds an attempt whose run has ended, and which is remembered until `forget_at`.
    pub(super) fn insert(&mut self, now: Duration, attempt: AttemptId, forget_at: Duration) {
        self.remove_expired(now);
        if self.by_age.len() >= MAX_ATTEMPTS {
            self.remove_oldest();
        }
        if self.attempts.insert(attempt, ()).is_none() {
            self.by_age.push_back(RecentAttempt { attempt, forget_at });
        }
    }

    /// Whether an attempt with this id is remembered.
    pub(super) fn contains(&mut self, now: Duration, attempt: AttemptId) -> bool {
        self.remove_expired(now);
        self.attempts.contains_key(&attempt)
    }

    /// Returns the number of remembered ids.
    pub(super) fn len(&self) -> usize {
        self.by_age.len()
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.by_age.front().is_some_and(|oldest| oldest.forget_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.attempts.remove(&oldest.attempt);
        }
    }
}
