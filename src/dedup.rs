//! What admission control tracks about deduplication entries: when each of them ends, and which repeat has replaced
//! which queued request. The responses themselves are stored by the host.

use crate::types::{Effect, RequestClass, RequestId, RequestMap};
use std::time::Duration;

struct DedupEntry {
    ends_at: Duration,
    /// Its window has not ended, so it counts towards memory use.
    active: bool,
    class: usize,
    /// The repeat that replaced its request in the queue.
    replaced_by: Option<RequestId>,
}

/// A deduplication entry whose end has been moved to a later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ExtendedEntry {
    pub(crate) request_id: RequestId,
    pub(crate) ends_at: Duration,
}

/// All deduplication entries, keyed by the request that they were created for.
#[derive(Default)]
pub(crate) struct DedupEntries {
    entries: RequestMap<DedupEntry>,
    active_count: usize,
}

impl DedupEntries {
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Follows the chain of replacements from this request to the latest repeat; the request itself if it has not been
    /// replaced.
    pub(crate) fn latest_replacement(&self, id: RequestId) -> RequestId {
        let mut latest = id;
        while let Some(replacement) = self.entries.get(&latest).and_then(|entry| entry.replaced_by) {
            latest = replacement;
        }
        latest
    }

    pub(crate) fn is_active(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.active)
    }

    /// Number of entries that count towards memory use.
    pub(crate) fn active_count(&self) -> usize {
        self.active_count
    }

    pub(crate) fn insert(&mut self, id: RequestId, class: usize, ends_at: Duration) {
        self.active_count += 1;
        self.entries.insert(id, DedupEntry { ends_at, active: true, class, replaced_by: None });
    }

    /// Extends the active entries of those keyed classes whose window is longer in `new` than in `old`. Returns the
    /// extended entries, ordered by id.
    pub(crate) fn extend_windows(
        &mut self,
        old: &[RequestClass],
        new: &[RequestClass],
    ) -> Vec<ExtendedEntry> {
        let growth = |(old, new): (&RequestClass, &RequestClass)| match old.effect {
            Effect::Keyed => new.dedup_window.saturating_sub(old.dedup_window),
            Effect::Idempotent | Effect::Unsafe => Duration::ZERO,
        };
        let growth: Vec<Duration> = old.iter().zip(new).map(growth).collect();
        let mut extended = Vec::new();
        for (id, entry) in self.entries.iter_mut().filter(|(_, e)| e.active && !growth[e.class].is_zero()) {
            entry.ends_at += growth[entry.class];
            extended.push(ExtendedEntry { request_id: *id, ends_at: entry.ends_at });
        }
        extended.sort_unstable();
        extended
    }

    /// Records that a repeat has replaced this request in the queue. Further repeats may refer to the replaced request
    /// until `ends_at`.
    pub(crate) fn insert_replaced(
        &mut self,
        id: RequestId,
        class: usize,
        replaced_by: RequestId,
        ends_at: Duration,
    ) {
        let replaced_by = Some(replaced_by);
        self.entries.insert(id, DedupEntry { ends_at, active: false, class, replaced_by });
    }

    /// Removes the entry of this request. Returns when it would have ended, if there was one.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Duration> {
        let entry = self.entries.remove(&id)?;
        self.active_count -= usize::from(entry.active);
        Some(entry.ends_at)
    }

    /// Handles the timer of an entry. An active entry becomes inactive and is kept for another `inactive_span`, which
    /// depends on its class, because a repeat may be read long after it arrived; its new end is returned. An inactive
    /// entry is removed. A timer that fires before the end of the entry, which may have been extended, has no effect.
    pub(crate) fn expire(
        &mut self,
        id: RequestId,
        now: Duration,
        inactive_span: impl FnOnce(usize) -> Duration,
    ) -> Option<Duration> {
        let entry = self.entries.get_mut(&id).filter(|entry| entry.ends_at <= now)?;
        if !std::mem::take(&mut entry.active) {
            self.entries.remove(&id);
            return None;
        }
        entry.ends_at = now + inactive_span(entry.class);
        self.active_count -= 1;
        Some(entry.ends_at)
    }
}
