//! The deduplication table: which requests repeat others, and the cached results of those that ran.
//!
//! Times are durations on the server's clock. Expired entries stay until `expire` is called for them.

use crate::payload::Payload;
use crate::slots::{Slot, Slots};
use aldercrank::range_summary_map::RangeSummaryMap;
use aldercrank::{DeterministicMap, RequestId};
use bytes::Bytes;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The maximum number of entries, expired ones included.
const MAX_ENTRIES: usize = 60_000;

/// Identifies a request and its repeats. It is a digest, so its size does not depend on what the caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DedupKey {
    /// Identifies a request with an idempotency key.
    Token([u64; 2]),
    /// Identifies a read, by the subject that it asks for.
    Subject([u64; 2]),
}

impl DedupKey {
    /// Creates the key of a request with an idempotency key.
    ///
    /// All attempts of one request have the same class and body, so these are part of the key. A request that reuses
    /// the idempotency key with another class or body is not answered with the result of the first one, and does not
    /// keep the genuine request from running.
    pub fn token(class: &str, token: &str, body: &[u8]) -> DedupKey {
        DedupKey::Token(digest(&(class, token, body)))
    }

    /// Creates the key of a read of this subject.
    pub fn subject(class: &str, subject: &str) -> DedupKey {
        DedupKey::Subject(digest(&(class, subject)))
    }
}

fn digest(value: &impl Hash) -> [u64; 2] {
    [0u8, 1].map(|half| {
        let mut hasher = DefaultHasher::new();
        (half, value).hash(&mut hasher);
        hasher.finish()
    })
}

/// Identifies an entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(u32);

/// The outcome of the run that an entry refers to.
#[derive(Clone, Debug, PartialEq)]
pub enum CachedOutcome {
    /// The run has not ended, or has not started yet.
    Pending,
    /// The run completed with this result.
    Completed(Bytes),
    /// The run ended without a result, or its result was evicted.
    Unavailable,
}

/// What [`DedupTable::store`] did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// The key's entry, which is new or was extended.
    pub entry: EntryId,
    /// The request that the entry referred to until now and no longer does.
    pub replaced: Option<RequestId>,
}

/// A request whose run was started.
struct ExecutedRequest {
    id: RequestId,
    /// When its entry expires if there is no later request.
    expires_at: Duration,
}

struct Entry {
    key: DedupKey,
    /// The latest request with this key.
    latest: RequestId,
    /// The request whose run was started last, unless that run proved not to have started.
    executed: Option<ExecutedRequest>,
    /// The outcome of that run.
    outcome: CachedOutcome,
    /// Its result's key in `DedupTable::results`; the lowest number is evicted first.
    result_number: u64,
    expires_at: Duration,
}

impl Entry {
    fn executed_id(&self) -> Option<RequestId> {
        self.executed.as_ref().map(|executed| executed.id)
    }
}

/// Deduplication entries by key, with a bound on the bytes of cached results.
pub struct DedupTable {
    entries: Slots<Entry>,
    ids: DeterministicMap<DedupKey, EntryId>,
    /// Entries with a result, oldest result first.
    results: RangeSummaryMap<u64, EntryId>,
    next_result_number: u64,
    result_bytes: usize,
    result_capacity: usize,
}

impl DedupTable {
    /// Creates a table that caches results of up to `result_capacity` bytes in all.
    pub fn new(result_capacity: usize) -> DedupTable {
        DedupTable {
            entries: Slots::default(),
            ids: DeterministicMap::default(),
            results: RangeSummaryMap::default(),
            next_result_number: 0,
            result_bytes: 0,
            result_capacity,
        }
    }

    fn entry(&mut self, key: &DedupKey) -> Option<&mut Entry> {
        let id = self.ids.get(key)?;
        self.entries.get_mut(Slot(id.0))
    }

    /// Returns the request that a request with this key repeats: the latest one, or, if the entry expired after the
    /// repeat arrived, the one that ran.
    pub fn find_original(
        &mut self,
        key: &DedupKey,
        arrived_at: Duration,
        now: Duration,
    ) -> Option<RequestId> {
        let entry = self.entry(key).filter(|entry| arrived_at <= entry.expires_at)?;
        // A read may run again, so it is not answered from one without a result.
        if matches!(key, DedupKey::Subject(..)) && entry.outcome == CachedOutcome::Unavailable {
            return None;
        }
        let expired = now > entry.expires_at;
        Some(entry.executed_id().filter(|_| expired).unwrap_or(entry.latest))
    }

    /// Adds an entry for a request, or makes it the latest request of the existing entry and extends that entry.
    /// Returns none if the table has no slot left.
    pub fn store(&mut self, key: &DedupKey, request: RequestId, expires_at: Duration) -> Option<StoredEntry> {
        if let Some(entry) = self.entry(key) {
            let previous = std::mem::replace(&mut entry.latest, request);
            entry.expires_at = entry.expires_at.max(expires_at);
            let still_referenced = entry.executed_id() == Some(previous) || previous == request;
            let replaced = Some(previous).filter(|_| !still_referenced);
            return Some(StoredEntry { entry: self.ids[key], replaced });
        }
        let entry = Entry {
            key: *key,
            latest: request,
            executed: None,
            outcome: CachedOutcome::Pending,
            result_number: 0,
            expires_at,
        };
        let id = EntryId(self.entries.insert(entry)?.0);
        self.ids.insert(*key, id);
        Some(StoredEntry { entry: id, replaced: None })
    }

    /// Whether a request with this key can be remembered: it has an entry, or the maximum number is not reached.
    pub fn has_room_for(&self, key: &DedupKey) -> bool {
        self.ids.contains_key(key) || self.entries.len() < MAX_ENTRIES
    }

    /// Returns the number of entries, expired ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the key's entry refers to this request.
    pub fn refers_to(&mut self, key: &DedupKey, request: RequestId) -> bool {
        self.entry(key).is_some_and(|entry| entry.latest == request || entry.executed_id() == Some(request))
    }

    /// Removes the entry of a request that has not run. If another request with this key ran, the entry is kept for
    /// that one. That of a read then expires when it would have without the forgotten one, so that no result is shared
    /// for longer; that of a keyed request keeps the later time, since a longer window lets nothing run twice.
    /// Returns the entry if it was removed.
    pub fn forget(&mut self, key: &DedupKey, request: RequestId) -> Option<EntryId> {
        let entry = self.entry(key).filter(|entry| entry.latest == request)?;
        let Some(executed) = &entry.executed else { return Some(self.remove_key(key)) };
        entry.latest = executed.id;
        if matches!(key, DedupKey::Subject(_)) {
            entry.expires_at = executed.expires_at;
        }
        None
    }

    /// Records that a request starts to run, and drops the result of an earlier run. Returns the request that ran
    /// before, if the entry no longer refers to it.
    pub fn run_started(&mut self, key: &DedupKey, request: RequestId) -> Option<RequestId> {
        let id = *self.ids.get(key)?;
        self.drop_result(id);
        let entry = self.entry(key).filter(|entry| entry.latest == request)?;
        entry.outcome = CachedOutcome::Pending;
        let executed = ExecutedRequest { id: request, expires_at: entry.expires_at };
        let previous = entry.executed.replace(executed)?.id;
        Some(previous).filter(|previous| *previous != request)
    }

    /// Records that the run did not start after all, so that the next attempt may run. Returns the entry if it was
    /// removed.
    pub fn run_never_started(&mut self, key: &DedupKey, request: RequestId) -> Option<EntryId> {
        let entry = self.entry(key).filter(|entry| entry.executed_id() == Some(request))?;
        entry.executed = None;
        if entry.latest != request {
            return None;
        }
        Some(self.remove_key(key))
    }

    /// Records that the run ended, with a result if it completed. Evicts the oldest results while the cached results
    /// exceed their capacity.
    pub fn run_ended(&mut self, key: &DedupKey, request: RequestId, result: Option<Payload>) {
        let number = self.next_result_number;
        let Some(entry) = self.entry(key).filter(|entry| entry.executed_id() == Some(request)) else {
            return;
        };
        entry.outcome =
            result.map_or(CachedOutcome::Unavailable, |result| CachedOutcome::Completed(result.keep()));
        entry.result_number = number;
        if let Some(result) = result {
            self.result_bytes += result.bytes().len();
            self.next_result_number += 1;
            self.results.insert(number, self.ids[key]);
        }
        // Only results are evicted, not entries: a request must not run twice because memory is short.
        while self.result_bytes > self.result_capacity {
            let Some((_, oldest)) = self.results.first() else { break };
            self.drop_result(oldest);
        }
    }

    /// Returns the outcome of the request that ran with this key.
    pub fn outcome(&mut self, key: &DedupKey) -> CachedOutcome {
        self.entry(key).map_or(CachedOutcome::Unavailable, |entry| entry.outcome.clone())
    }

    fn drop_result(&mut self, id: EntryId) {
        if let Some(entry) = self.entries.get_mut(Slot(id.0)) {
            let outcome = std::mem::replace(&mut entry.outcome, CachedOutcome::Unavailable);
            if let CachedOutcome::Completed(bytes) = outcome {
                self.result_bytes -= bytes.len();
                self.results.remove(&entry.result_number);
            }
        }
    }

    fn remove_key(&mut self, key: &DedupKey) -> EntryId {
        let id = self.ids[key];
        self.remove(id);
        id
    }

    fn remove(&mut self, id: EntryId) {
        self.drop_result(id);
        if let Some(entry) = self.entries.remove(Slot(id.0)) {
            self.ids.remove(&entry.key);
        }
    }

    /// Returns the key of an entry.
    pub fn key(&self, id: EntryId) -> Option<DedupKey> {
        self.entries.get(Slot(id.0)).map(|entry| entry.key)
    }

    /// Returns when the entry may be removed: `margin` after its expiry, so that late repeats are still recognised.
    pub fn removable_at(&self, id: EntryId, margin: Duration) -> Option<Duration> {
        self.entries.get(Slot(id.0)).map(|entry| entry.expires_at + margin)
    }

    /// Removes an expired entry. Returns the requests that it referred to.
    pub fn expire(&mut self, id: EntryId) -> Vec<RequestId> {
        let entry = self.entries.get(Slot(id.0));
        let requests = entry.map(|entry| entry.executed_id().into_iter().chain([entry.latest]).collect());
        let requests = requests.unwrap_or_default();
        self.remove(id);
        requests
    }
}
