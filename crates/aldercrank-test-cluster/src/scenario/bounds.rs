//! The bounds of a scenario.

use std::time::Duration;

/// What must hold of a run's outcome; a bound that is `None` is not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// The least value, as a share of all that was sought.
    pub value: Option<f64>,
    /// The least value, as a share of that of the same seed without faults.
    pub of_calm: Option<f64>,
    /// The same, of idempotent classes alone.
    pub idempotent_of_calm: Option<f64>,
    /// The most runs of requests on a further server or incarnation.
    pub across: Option<u64>,
    /// The most connections to the membership service in any second, as a share of its capacity in a second.
    pub membership_per_second: Option<f64>,
    /// The same, in any tenth of a second.
    pub membership_per_tenth: Option<f64>,
    /// The most load reports that the membership service rejects.
    pub membership_rejected: Option<u64>,
    /// By when all servers are listed, since the first start.
    pub listed_by: Option<Duration>,
    /// The least configuration versions that some server acted by.
    pub acted: Option<u64>,
    /// The most that versions with free items alone take to reach servers, at the 99th percentile.
    pub free_p99_ms: Option<f64>,
    /// The same of the other versions.
    pub fenced_p99_ms: Option<f64>,
    /// The least share of idempotent attempts that cut-off servers complete, of that without faults.
    pub cut_off_idempotent_of_calm: Option<f64>,
    /// The most open calls at the index at any moment.
    pub index_most: Option<u64>,
    /// The most collapses of the index.
    pub collapses: Option<u64>,
    /// How long the value may take to be steady, as a multiple of the least that is possible.
    pub steady: Option<f64>,
    /// The most that one server completes in a second, as a multiple of the mean.
    pub crowded: Option<f64>,
    /// The most times that a server leaves the membership while it runs.
    pub flaps: Option<u64>,
}
