//! The queue of requests that have been read and not started, in the order of their due times.
//!
//! Summaries of ranges answer what the queue costs and which request cannot be in time without a pass over all entries.

use crate::range_summary_map::{NodeView, RangeSummaryMap, Summary};
use crate::types::RequestId;
use std::time::Duration;

/// A position in the queue. Ordered by due time, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// When the answer is due, since the start of the server.
    pub due_at: Duration,
    /// The request.
    pub request_id: RequestId,
}

/// A position that a search has found.
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

/// Of a range: count and earliest due time by class, and the request of the lowest priority.
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
            let of = |child: Option<&Self>| {
                child.and_then(|child| child.classes.get(class)).copied().unwrap_or(EMPTY_CLASS)
            };
            let (left, right) = (of(left), of(right));
            *summary = ClassSummary {
                count: left.count + right.count,
                earliest_due: left.earliest_due.min(right.earliest_due),
            };
        }
        self.lowest = None;
        // In the order of the queue, so that the first of equal priorities stays.
        self.lower_to(left.and_then(|child| child.lowest));
        self.add(key, value);
        self.lower_to(right.and_then(|child| child.lowest));
    }

    fn add(&mut self, key: &QueuePosition, value: &QueuedRequest) {
        if self.classes.len() <= value.class {
            self.classes.resize(value.class + 1, EMPTY_CLASS);
        }
        let class = &mut self.classes[value.class];
        class.count += 1;
        class.earliest_due = class.earliest_due.min(key.due_at);
        self.lower_to(Some(LowestPriority { priority: value.priority, position: *key }));
    }
}

impl RangeSummary {
    /// Takes the other for the lowest where its priority is lower, or equal with an earlier position.
    fn lower_to(&mut self, other: Option<LowestPriority>) {
        let Some(other) = other else { return };
        let is_lower = |lowest: LowestPriority| {
            other.priority.total_cmp(&lowest.priority).then(other.position.cmp(&lowest.position)).is_lt()
        };
        if self.lowest.is_none_or(is_lower) {
            self.lowest = Some(other);
        }
    }

    /// Seconds that all requests of the range take.
    fn run_seconds(&self, run_seconds: &impl Fn(usize) -> f64) -> f64 {
        self.classes
            .iter()
            .enumerate()
            .map(|(class, summary)| f64::from(summary.count) * run_seconds(class))
            .sum()
    }
}

type Node<'a> = NodeView<'a, QueuePosition, QueuedRequest, RangeSummary>;

/// Requests that have been read and not started.
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

    /// Seconds that the runs of all queued requests take, by the seconds of a run of each class.
    pub fn total_run_seconds(&self, run_seconds: impl Fn(usize) -> f64) -> f64 {
        self.requests.root().map_or(0.0, |node| node.summary().run_seconds(&run_seconds))
    }

    /// The request of the lowest priority up to and including this position; the first of equal ones.
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

    /// The first request behind `after` for which `is_late` holds. `is_late` is given the seconds that the requests
    /// ahead take, the due time and the class. Where it holds it must also hold for more seconds ahead and for an
    /// earlier due time: the search passes over ranges on that condition.
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
    /// Seconds that the requests passed over so far take.
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
        if self.passes_over(node) {
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

    /// Passes over a subtree where even the earliest request of each class is in time behind all others of it.
    fn passes_over(&mut self, node: Node) -> bool {
        let seconds_after = self.seconds_ahead + node.summary().run_seconds(&self.run_seconds);
        let mut classes = node.summary().classes.iter().enumerate().filter(|(_, class)| class.count > 0);
        if classes.any(|(class, summary)| (self.is_late)(seconds_after, summary.earliest_due, class)) {
            return false;
        }
        self.seconds_ahead = seconds_after;
        true
    }
}
