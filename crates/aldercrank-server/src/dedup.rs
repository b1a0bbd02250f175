//! Marks of txns (tokens, and subjects of reads) that the module keeps, and the results of those that ran.

use crate::payload::Payload;
use crate::slots::{Slot, Slots};
use aldercrank::tree::Tree;
use aldercrank::{DeterministicMap, RequestId};
use bytes::Bytes;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The most entries, some of them past their end.
const ENTRIES: usize = 60_000;

/// What links a txn with its repeats, in as many bytes whatever was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DedupKey {
    Token([u64; 2]),
    Subject([u64; 2]),
}

impl DedupKey {
    /// All tries of one txn carry one product and one body. A token that comes with others is no repeat: it is
    /// neither answered from the first, nor does it stand in the way of the true one where it comes first.
    pub fn token(class: &str, token: &str, body: &[u8]) -> DedupKey {
        DedupKey::Token(digest(&(class, token, body)))
    }

    pub fn subject(class: &str, subject: &str) -> DedupKey {
        DedupKey::Subject(digest(&(class, subject)))
    }
}

fn digest(what: &impl Hash) -> [u64; 2] {
    [0u8, 1].map(|part| {
        let mut hasher = DefaultHasher::new();
        (part, what).hash(&mut hasher);
        hasher.finish()
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(u32);

/// What a kept txn's run has come to.
#[derive(Clone, Debug, PartialEq)]
pub enum CachedOutcome {
    Open,
    Completed(Bytes),
    /// It ended otherwise, or its result had to make room.
    Lost,
}

struct Entry {
    mark: DedupKey,
    holder: RequestId,
    /// The try that ran, and what it came to.
    ran: Option<RequestId>,
    fate: CachedOutcome,
    /// The place of its result among the kept ones.
    kept: u64,
    until: Duration,
}

pub struct DedupTable {
    entries: Slots<Entry>,
    dedup_entries: DeterministicMap<DedupKey, EntryId>,
    /// Those with a result, in the order in which the results came, and what they take.
    results: Tree<u64, EntryId>,
    results_ever: u64,
    bytes: usize,
    room: usize,
}

impl DedupTable {
    pub fn new(room: usize) -> DedupTable {
        let (entries, dedup_entries, results) =
            (Slots::default(), DeterministicMap::default(), Tree::default());
        DedupTable { entries, dedup_entries, results, results_ever: 0, bytes: 0, room }
    }

    fn entry(&mut self, mark: &DedupKey) -> Option<&mut Entry> {
        let key = self.dedup_entries.get(mark)?;
        self.entries.get_mut(Slot(key.0))
    }

    /// The txn that one with this mark repeats: the one that holds the entry, or, where it has run out since
    /// the repeat came to the machine, the one that ran.
    pub fn repeated(&mut self, mark: &DedupKey, arrived: Duration, now: Duration) -> Option<RequestId> {
        let entry = self.entry(mark).filter(|e| arrived <= e.until)?;
        // A read may run again; one that came to nothing is no source for others.
        if matches!(mark, DedupKey::Subject(..)) && entry.fate == CachedOutcome::Lost {
            return None;
        }
        Some(if now <= entry.until { entry.holder } else { entry.ran.unwrap_or(entry.holder) })
    }

    /// Enters a txn or renews its entry; a repeat takes the entry over. Gives the entry, and the txn that it
    /// named before. Nothing when the table is full.
    pub fn keep(
        &mut self,
        mark: &DedupKey,
        request: RequestId,
        until: Duration,
    ) -> Option<(EntryId, Option<RequestId>)> {
        if let Some(entry) = self.entry(mark) {
            let before = std::mem::replace(&mut entry.holder, request);
            entry.until = entry.until.max(until);
            let named = entry.ran == Some(before) || before == request;
            return Some((self.dedup_entries[mark], Some(before).filter(|_| !named)));
        }
        let entry =
            Entry { mark: *mark, holder: request, ran: None, fate: CachedOutcome::Open, kept: 0, until };
        let key = EntryId(self.entries.insert(entry)?.0);
        self.dedup_entries.insert(*mark, key);
        Some((key, None))
    }

    /// A mark read now could not be entered.
    pub fn full(&self) -> bool {
        self.entries.len() >= ENTRIES
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn names(&mut self, mark: &DedupKey, request: RequestId) -> bool {
        self.entry(mark).is_some_and(|e| e.holder == request || e.ran == Some(request))
    }

    /// Drops the entry of a txn that has not run. One whose try has run stays, whoever holds it.
    pub fn forget(&mut self, mark: &DedupKey, request: RequestId) {
        let Some(entry) = self.entry(mark).filter(|e| e.holder == request) else { return };
        match entry.ran {
            Some(ran) => entry.holder = ran,
            None => self.drop_entry(self.dedup_entries[mark]),
        }
    }

    /// It runs. Gives the txn that ran before, whose window is over and whose result goes.
    pub fn started(&mut self, mark: &DedupKey, request: RequestId) -> Option<RequestId> {
        let key = *self.dedup_entries.get(mark)?;
        self.drop_result(key);
        let entry = self.entry(mark).filter(|e| e.holder == request)?;
        entry.fate = CachedOutcome::Open;
        entry.ran.replace(request).filter(|before| *before != request)
    }

    /// The run never began: there is nothing to repeat, and the next try is not kept from running.
    pub fn never_ran(&mut self, mark: &DedupKey, request: RequestId) {
        let Some(entry) = self.entry(mark).filter(|e| e.ran == Some(request)) else { return };
        entry.ran = None;
        if entry.holder == request {
            self.drop_entry(self.dedup_entries[mark]);
        }
    }

    /// The run has ended, with a result where it went well.
    pub fn ended(&mut self, mark: &DedupKey, request: RequestId, result: Option<Payload>) {
        let number = self.results_ever;
        let Some(entry) = self.entry(mark).filter(|e| e.ran == Some(request)) else { return };
        entry.fate = result.map_or(CachedOutcome::Lost, |result| CachedOutcome::Completed(result.keep()));
        entry.kept = number;
        if let Some(result) = result {
            self.bytes += result.bytes().len();
            self.results_ever += 1;
            self.results.insert(number, self.dedup_entries[mark]);
        }
        // Only results make room. The entries stay, so that nothing runs again for want of memory.
        while self.bytes > self.room {
            let Some((_, oldest)) = self.results.first() else { break };
            self.drop_result(oldest);
        }
    }

    pub fn fate(&mut self, mark: &DedupKey) -> CachedOutcome {
        self.entry(mark).map_or(CachedOutcome::Lost, |e| e.fate.clone())
    }

    fn drop_result(&mut self, key: EntryId) {
        if let Some(entry) = self.entries.get_mut(Slot(key.0)) {
            if let CachedOutcome::Completed(bytes) = std::mem::replace(&mut entry.fate, CachedOutcome::Lost) {
                self.bytes -= bytes.len();
                self.results.remove(&entry.kept);
            }
        }
    }

    fn drop_entry(&mut self, key: EntryId) {
        self.drop_result(key);
        if let Some(entry) = self.entries.remove(Slot(key.0)) {
            self.dedup_entries.remove(&entry.mark);
        }
    }

    /// When the entry may go: late repeats are linked for `after` beyond its end.
    pub fn ends(&self, key: EntryId, after: Duration) -> Option<Duration> {
        self.entries.get(Slot(key.0)).map(|e| e.until + after)
    }

    /// Drops an entry; gives the txns that it named.
    pub fn lapse(&mut self, key: EntryId) -> Vec<RequestId> {
        let entry = self.entries.get(Slot(key.0));
        let named = entry.map(|e| e.ran.into_iter().chain([e.holder]).collect()).unwrap_or_default();
        self.drop_entry(key);
        named
    }
}
