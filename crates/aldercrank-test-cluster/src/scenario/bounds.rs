//! Bounds on the outcome of a run.

use std::time::Duration;

/// Bounds on the outcome of a run. A bound that is `None` is not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// The least value obtained, as a share of the value of all requests.
    pub value: Option<f64>,
    /// The least value obtained, as a share of that in a run of the same seed without faults.
    pub of_calm: Option<f64>,
    /// Like `of_calm`, over the idempotent classes only.
    pub idempotent_of_calm: Option<f64>,
    /// The most runs of keyed requests that had already run on another server or incarnation.
    pub across: Option<u64>,
    /// The most connections to the membership service in any second, as a share of its capacity per second.
    pub membership_per_second: Option<f64>,
    /// Like `membership_per_second`, in any tenth of a second.
    pub membership_per_tenth: Option<f64>,
    /// The most load reports that the membership service rejects.
    pub membership_rejected: Option<u64>,
    /// The latest time at which all servers are listed, since the first was started.
    pub listed_by: Option<Duration>,
    /// The least number of configuration versions by which some server made a decision.
    pub acted: Option<u64>,
    /// The most time, at the 99th percentile, until a server uses a version that changes free items only.
    pub free_p99_ms: Option<f64>,
    /// Like `free_p99_ms`, of the other versions.
    pub fenced_p99_ms: Option<f64>,
    /// The least share of idempotent attempts that partitioned servers complete, as a share of that without faults.
    pub cut_off_idempotent_of_calm: Option<f64>,
    /// The most outstanding calls at the index at any time.
    pub index_most: Option<u64>,
    /// How often the index may collapse.
    pub collapses: Option<u64>,
    /// The most time until the value is steady, as a multiple of the least possible time.
    pub steady: Option<f64>,
    /// The most attempts that one server completes in a second, as a multiple of the mean over the servers.
    pub crowded: Option<f64>,
    /// How often servers may leave the membership while they run and were not asked to shut down.
    pub flaps: Option<u64>,
}
