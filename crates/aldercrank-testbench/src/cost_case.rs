//! The cases that are measured: what kind of request, how many at once, and what the server holds beside them.

/// A kind of request, by what becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Completed,
    /// Completed after a call to the index.
    WithCall,
    Rejected,
    /// Completed, with an idempotency key.
    Keyed,
    /// A duplicate, answered from the cached response of the first.
    Duplicate,
    /// Cancelled by its caller while it runs.
    Cancelled,
    /// Its connection closes while it runs.
    ConnectionClosed,
}

/// One line of the cost table.
#[derive(Clone, Debug)]
pub(crate) struct CostCase {
    pub(crate) name: String,
    pub(crate) kind: RequestKind,
    /// Requests that are sent in one write and are open at once.
    pub(crate) concurrent: usize,
    /// Bytes of each request's body and result.
    pub(crate) body: usize,
    pub(crate) result: usize,
    /// Requests that stay queued throughout.
    pub(crate) queued: usize,
    pub(crate) idle_connections: usize,
    /// Deduplication entries that the server keeps throughout.
    pub(crate) dedup_entries: usize,
    /// Requests of one round.
    pub(crate) requests: usize,
}

/// Requests of one round of a case that shows growth.
pub(crate) const GROWTH_REQUESTS: usize = 500;

impl CostCase {
    /// A case of small requests, one at a time, with nothing beside them.
    pub(crate) fn new(name: &str, kind: RequestKind) -> CostCase {
        CostCase {
            name: name.to_string(),
            kind,
            concurrent: 1,
            body: 100,
            result: 100,
            queued: 0,
            idle_connections: 0,
            dedup_entries: 0,
            requests: 192,
        }
    }

    fn completed(name: &str) -> CostCase {
        CostCase::new(name, RequestKind::Completed)
    }
}

/// The cases whose counts do not depend on the machine: those of the budget.
pub(crate) fn budget_cases() -> Vec<CostCase> {
    let completed = CostCase::completed;
    vec![
        completed("completed"),
        CostCase { concurrent: 32, ..completed("completed, 32 open") },
        CostCase::new("with a call", RequestKind::WithCall),
        CostCase::new("rejected", RequestKind::Rejected),
        CostCase { concurrent: 32, ..CostCase::new("rejected, 32 open", RequestKind::Rejected) },
        CostCase::new("keyed", RequestKind::Keyed),
        CostCase::new("duplicate joined", RequestKind::Duplicate),
        CostCase::new("cancelled", RequestKind::Cancelled),
        CostCase::new("connection closed midway", RequestKind::ConnectionClosed),
        CostCase { body: 0, result: 0, ..completed("completed, empty") },
        CostCase { body: 2048, result: 2048, ..completed("completed, 2 KiB") },
        CostCase { result: 1 << 20, requests: 16, ..completed("completed, 1 MiB result") },
        CostCase { idle_connections: 1000, ..completed("completed, 1,000 idle connections") },
    ]
}

/// The cases that show what a request costs as something grows.
pub(crate) fn growth_cases() -> Vec<CostCase> {
    let grown = |size: usize, what: &str| CostCase {
        requests: GROWTH_REQUESTS,
        ..CostCase::completed(&format!("{size} {what}"))
    };
    let queued = [10, 100, 1_000, 5_000, 10_000].map(|n| CostCase { queued: n, ..grown(n, "in flight") });
    let idle = [10, 100, 1_000, 5_000].map(|n| CostCase { idle_connections: n, ..grown(n, "connections") });
    let entries =
        [10, 1_000, 10_000, 50_000].map(|n| CostCase { dedup_entries: n, ..grown(n, "dedup entries") });
    queued.into_iter().chain(idle).chain(entries).collect()
}
