//! The queue of requests that have been read but not started, ordered by due time.
//!
//! Range summaries give the total run time of the queue and find requests that can't be answered in time, without a
//! scan of all entries.

use crate::range_summary_map::{NodeView, RangeSummaryMap, Summary};
use crate::types::RequestId;
use std::time::Duration;

/// A position in the queue. Ordered by due time, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// When the answer is due, as time since the server started.
    pub due_at: Duration,
    /// The request.
    pub request_id: RequestId,
}

/// A request found by [`Queue::find_late`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundRequest {
    /// Its position.
    pub position: QueuePosition,
    /// Index of its request class.
    pub class: usize,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    class: usize,
    priority: f64,
}

#[derive(Clone, Copy, Debug)]
struct ClassSummary {
    count: u32,
    earliest_due: Duration,
}

const EMPTY_CLASS: ClassSummary = ClassSummary { count: 0, earliest_due: Duration::MAX };

#[derive(Clone, Copy, Debug)]
struct LowestPriority {
    priority: f64,
    position: QueuePosition,
}

/// Summary of a range of the queue: count and earliest due time per class, and the request with the lowest priority.
#[derive(Debug, Default)]
struct RangeSummary {
    classes: Vec<ClassSummary>,
    lowest: Option<LowestPriority>,
}

impl Summary<QueuePosition, QueuedRequest> for RangeSummary {
    fn recompute(
        &mut self,
        key: &QueuePosition,
        value: &QueuedRequest,
        left: Option<&Self>,
        right: Option<&Self>,
    ) {
        let children = [left, right];
        let class_count =
            children.iter().flatten().map(|child| child.classes.len()).fold(value.class + 1, usize::max);
        self.classes.resize(class_count, EMPTY_CLASS);
        for (class, summary) in self.classes.iter_mut().enumerate() {
            let class_of = |child: Option<&Self>| {
                child.and_then(|child| child.classes.get(class)).copied().unwrap_or(EMPTY_CLASS)
            };
            let (left, right) = (class_of(left), class_of(right));
            *summary = ClassSummary {
                count: left.count + right.count,
                earliest_due: left.earliest_due.min(right.earliest_due),
            };
        }
        self.lowest = None;
        // Visited in queue order, so that among equal priorities the first request is kept.
        self.update_lowest(left.and_then(|child| child.lowest));
        self.add(key, value);
        self.update_lowest(right.and_then(|child| child.lowest));
    }

    fn add(&mut self, key: &QueuePosition, value: &QueuedRequest) {
        if self.classes.len() <= value.class {
            self.classes.resize(value.class + 1, EMPTY_CLASS);
        }
        let class = &mut self.classes[value.class];
        class.count += 1;
        class.earliest_due = class.earliest_due.min(key.due_at);
        self.update_lowest(Some(LowestPriority { priority: value.priority, position: *key }));
    }
}

impl RangeSummary {
    /// Replaces the lowest-priority request if `other` has a lower priority, or the same one and an earlier position.
    fn update_lowest(&mut self, other: Option<LowestPriority>) {
        let Some(other) = other else { return };
        let is_lower = |lowest: LowestPriority| {
            other.priority.total_cmp(&lowest.priority).then(other.position.cmp(&lowest.position)).is_lt()
        };
        if self.lowest.is_none_or(is_lower) {
            self.lowest = Some(other);
        }
    }

    /// Total run time of all requests of the range, in seconds.
    fn run_seconds(&self, run_seconds: &impl Fn(usize) -> f64) -> f64 {
        self.classes
            .iter()
            .enumerate()
            .map(|(class, summary)| f64::from(summary.count) * run_seconds(class))
            .sum()
    }
}

type Node<'a> = NodeView<'a, QueuePosition, QueuedRequest, RangeSummary>;

/// Requests that have been read but not started, ordered by due time and then by id.
#[derive(Debug, Default)]
pub struct Queue {
    requests: RangeSummaryMap<QueuePosition, QueuedRequest, RangeSummary>,
}

impl Queue {
    /// Adds a request of this class and priority.
    pub fn insert(&mut self, position: QueuePosition, class: usize, priority: f64) {
        self.requests.insert(position, QueuedRequest { class, priority });
    }

    /// Removes the request at this position, if there is one.
    pub fn remove(&mut self, position: QueuePosition) {
        self.requests.remove(&position);
    }

    /// The request that is due first.
    pub fn first(&self) -> Option<QueuePosition> {
        self.requests.first().map(|(position, _)| position)
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Total run time of all queued requests in seconds. `run_seconds` gives the run time of one request of a class.
    pub fn total_run_seconds(&self, run_seconds: impl Fn(usize) -> f64) -> f64 {
        self.requests.root().map_or(0.0, |node| node.summary().run_seconds(&run_seconds))
    }

    /// The request with the lowest priority up to and including `position`; among equal priorities the first.
    pub fn lowest_priority_until(&self, position: QueuePosition) -> Option<QueuePosition> {
        let (mut next, mut lowest): (Option<Node>, Option<LowestPriority>) = (self.requests.root(), None);
        while let Some(node) = next {
            if *node.key() > position {
                next = node.left();
                continue;
            }
            let in_left = node.left().and_then(|left| left.summary().lowest);
            let own = Some(LowestPriority { priority: node.value().priority, position: *node.key() });
            lowest =
                [lowest, in_left, own].into_iter().flatten().min_by(|a, b| a.priority.total_cmp(&b.priority));
            next = node.right();
        }
        lowest.map(|lowest| lowest.position)
    }

    /// The first request after `after` for which `is_late` holds. The arguments of `is_late` are the total run time of
    /// the requests ahead in seconds, the due time and the class. It must be monotonic: if it holds, it also holds for
    /// more seconds ahead and for an earlier due time. The search relies on that to skip ranges.
    pub fn find_late(
        &self,
        after: Option<QueuePosition>,
        run_seconds: impl Fn(usize) -> f64,
        is_late: impl Fn(f64, Duration, usize) -> bool,
    ) -> Option<FoundRequest> {
        Search { after, seconds_ahead: 0.0, run_seconds, is_late }.find_in(self.requests.root())
    }
}

/// A search for a late request, in the order of the queue.
struct Search<R, L> {
    after: Option<QueuePosition>,
    /// Total run time of the requests visited or skipped so far.
    seconds_ahead: f64,
    run_seconds: R,
    is_late: L,
}

impl<R: Fn(usize) -> f64, L: Fn(f64, Duration, usize) -> bool> Search<R, L> {
    fn find_in(&mut self, node: Option<Node>) -> Option<FoundRequest> {
        let node = node?;
        let (position, class) = (*node.key(), node.value().class);
        if self.after.is_some_and(|after| position <= after) {
            self.seconds_ahead +=
                node.left().map_or(0.0, |left| left.summary().run_seconds(&self.run_seconds))
                    + (self.run_seconds)(class);
            return self.find_in(node.right());
        }
        if self.try_skip(node) {
            return None;
        }
        if let Some(found) = self.find_in(node.left()) {
            return Some(found);
        }
        if (self.is_late)(self.seconds_ahead, position.due_at, class) {
            return Some(FoundRequest { position, class });
        }
        self.seconds_ahead += (self.run_seconds)(class);
        self.find_in(node.right())
    }

    /// Skips a subtree if, in each class, even the request with the earliest due time would be in time behind all other
    /// requests of the subtree. Returns whether it was skipped.
    fn try_skip(&mut self, node: Node) -> bool {
        let seconds_after = self.seconds_ahead + node.summary().run_seconds(&self.run_seconds);
        let mut classes = node.summary().classes.iter().enumerate().filter(|(_, class)| class.count > 0);
        if classes.any(|(class, summary)| (self.is_late)(seconds_after, summary.earliest_due, class)) {
            return false;
        }
        self.seconds_ahead = seconds_after;
        true
    }
}
