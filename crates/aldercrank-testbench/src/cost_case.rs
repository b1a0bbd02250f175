//! The measured cases: the kind of request, how many are open at once, and the state that the server keeps meanwhile.

/// A kind of request, by its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Completed,
    /// Completed after a call to the index.
    WithCall,
    Rejected,
    /// Completed, with an idempotency key.
    Keyed,
    /// A duplicate, answered with the cached response of the first attempt.
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
    /// Number of requests that are sent in one write and open at once.
    pub(crate) concurrent: usize,
    /// Bytes of each request's body.
    pub(crate) body: usize,
    /// Bytes of each request's result.
    pub(crate) result: usize,
    /// Number of requests that stay queued throughout.
    pub(crate) queued: usize,
    pub(crate) idle_connections: usize,
    /// Number of deduplication entries that the server keeps throughout.
    pub(crate) dedup_entries: usize,
    /// Number of requests in one round.
    pub(crate) requests: usize,
}

/// Requests in one round of a growth case.
pub(crate) const GROWTH_REQUESTS: usize = 500;

impl CostCase {
    /// A case of small requests, one at a time, with no other load on the server.
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

/// The cases of the budget. Their counts do not depend on the machine.
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

/// The cases that show how the cost grows with the requests in flight, connections or deduplication entries.
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
