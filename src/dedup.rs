//! The table of marked txns: until when each is known, which are live, and which repeat took whose place in the
//! queue. No decision lives here.

use crate::types::{Effect, RequestClass, RequestId, RequestMap};
use std::time::Duration;

struct DedupEntry {
    until: Duration,
    live: bool,
    class: usize,
    /// The repeat that took its place in the queue.
    heir: Option<RequestId>,
}

#[derive(Default)]
pub struct DedupEntries {
    all: RequestMap<DedupEntry>,
    live: usize,
}

impl DedupEntries {
    pub fn knows(&self, id: RequestId) -> bool {
        self.all.contains_key(&id)
    }

    /// The last of those that took one another's place, beginning with this one.
    pub fn last_heir(&self, id: RequestId) -> RequestId {
        let mut last = id;
        while let Some(heir) = self.all.get(&last).and_then(|m| m.heir) {
            last = heir;
        }
        last
    }

    pub fn is_live(&self, id: RequestId) -> bool {
        self.all.get(&id).is_some_and(|m| m.live)
    }

    /// Those that count for the memory.
    pub fn live(&self) -> usize {
        self.live
    }

    pub fn keep(&mut self, id: RequestId, class: usize, until: Duration) {
        self.live += 1;
        self.all.insert(id, DedupEntry { until, live: true, class, heir: None });
    }

    /// Products have come to be others. Where a window has grown, gives the live entries that last longer now, in the
    /// order of their ids, with their ends.
    pub fn extend(&mut self, old: &[RequestClass], new: &[RequestClass]) -> Vec<(RequestId, Duration)> {
        let grown = |(old, new): (&RequestClass, &RequestClass)| match old.effect {
            Effect::Keyed => new.window.saturating_sub(old.window),
            _ => Duration::ZERO,
        };
        let by: Vec<Duration> = old.iter().zip(new).map(grown).collect();
        let mut longer = Vec::new();
        for (id, mark) in self.all.iter_mut().filter(|(_, m)| m.live && !by[m.class].is_zero()) {
            mark.until += by[mark.class];
            longer.push((*id, mark.until));
        }
        longer.sort_unstable();
        longer
    }

    /// This one's place in the queue is another's now; others may still name it until then.
    pub fn replaced(&mut self, id: RequestId, class: usize, heir: RequestId, until: Duration) {
        self.all.insert(id, DedupEntry { until, live: false, class, heir: Some(heir) });
    }

    /// Whether there was one.
    pub fn forget(&mut self, id: RequestId) -> bool {
        let mark = self.all.remove(&id);
        self.live -= usize::from(mark.as_ref().is_some_and(|m| m.live));
        mark.is_some()
    }

    /// A time of this one has come. One that was live is known for so much longer, since a repeat may be read long
    /// after it came, and is to be looked at again then; one that was not is gone.
    pub fn lapse(&mut self, id: RequestId, now: Duration, known: Duration) -> Option<Duration> {
        let mark = self.all.get_mut(&id).filter(|m| m.until <= now)?;
        if !std::mem::take(&mut mark.live) {
            self.all.remove(&id);
            return None;
        }
        mark.until = now + known;
        self.live -= 1;
        Some(mark.until)
    }
}
