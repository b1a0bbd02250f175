//! Constants of the decisions. Time spans are ratios to the latency targets that the settings give, limits are shares of
//! those in the settings, so that one set of constants serves every deployment.

use std::time::Duration;

// The concurrency window: additive increase, multiplicative decrease.

/// Added to the window at an evaluation with headroom, in requests.
pub(super) const WINDOW_INCREMENT: f64 = 1.0;
/// Factor of the window at a cut.
pub(super) const WINDOW_CUT_FACTOR: f64 = 0.7;
/// Highest p99 at which the window grows, in latency targets: below 1 so that growth stops before targets are missed.
pub(super) const GROWTH_MAX_P99: f64 = 0.8;
/// A single run of this many latency targets cuts the window at once, without waiting for the p99.
pub(super) const BREAKER_RUN_RATIO: f64 = 3.0;
/// Interval of evaluations, in shortest latency targets.
pub(super) const EVALUATION_INTERVAL: f64 = 0.5;
/// Time span of the runs that the p99 covers, in longest latency targets.
pub(super) const P99_SPAN: f64 = 4.0;
/// Limit of the window, in requests a core, where the settings give none: over 1, since runs wait at times.
pub(super) const WARM_WINDOW_PER_CORE: f64 = 1.3;
/// The same just after a cold start, when runs wait for nothing but the cores.
pub(super) const COLD_WINDOW_PER_CORE: f64 = 1.0;
/// Least share of runs that counts as being on a core, so that the limit of the window stays bounded.
pub(super) const MIN_ON_CORE_SHARE: f64 = 0.4;

// The admission threshold, by the time that the queue takes to drain over the slack of requests.

/// Load at which the threshold leaves 0.
pub(super) const THRESHOLD_START_LOAD: f64 = 0.15;
/// Load at which the threshold reaches 1.
pub(super) const THRESHOLD_FULL_LOAD: f64 = 0.6;
/// Highest threshold: at 2 nothing is admitted.
pub(super) const MAX_THRESHOLD: f64 = 2.0;
/// Usual run times that a request needs before its due time beyond the first, at a threshold of 1: under load a run
/// that is just in time on average is often late.
pub(super) const EXTRA_RUN_TIMES: f64 = 2.0;
/// Weight of a new sample in smoothed figures.
pub(super) const SMOOTHING: f64 = 0.1;
/// Factor of the arrival counts of all classes at each arrival.
pub(super) const ARRIVAL_DECAY: f64 = 0.995;
/// Share of the requests read that may be rejected until callers are asked not to try other servers.
pub(super) const LAST_ATTEMPT_REJECTED_SHARE: f64 = 0.5;
/// Run time of a class until a run has ended, in latency targets.
pub(super) const INITIAL_RUN_TIME: f64 = 0.25;

// Hard limits.

/// Share of the memory that may be used.
pub(super) const MAX_MEMORY_SHARE: f64 = 0.9;
/// Share of the started requests at which the server collapses.
pub(super) const MAX_STARTED_SHARE: f64 = 0.8;

// Upstream calls. Their window is a share of this server's quota.

/// Largest call window.
pub(super) const MAX_CALL_WINDOW_SHARE: f64 = 0.8;
/// Smallest call window: some calls must be made to see that the dependency is fast again.
pub(super) const MIN_CALL_WINDOW_SHARE: f64 = 0.35;
/// Growth of the call window at an evaluation without trouble.
pub(super) const CALL_WINDOW_STEP_SHARE: f64 = 0.1;
/// Factor of the call window when the dependency has rejected a call.
pub(super) const REJECTED_CALL_FACTOR: f64 = 0.5;
/// Calls are slow at this multiple of their best time.
pub(super) const SLOW_CALL_RATIO: f64 = 2.5;
/// Slow calls are skipped only at this share of the shortest latency target or more, where they matter for it.
pub(super) const SLOW_CALL_LATENCY_SHARE: f64 = 0.15;
/// A call is abandoned at this multiple of the usual time: it will not be answered.
pub(super) const ABANDONED_CALL_RATIO: f64 = 25.0;
/// Nearly all calls are answered within this multiple of the usual time; a shorter timeout is avoided, since it leaves
/// the effect of the call unknown.
pub(super) const SUFFICIENT_TIMEOUT_RATIO: f64 = 8.0;
/// A call without an answer counts with at most this multiple of the usual time, so that a few do not make all calls
/// look slow.
pub(super) const UNANSWERED_CALL_RATIO: f64 = 4.0;
/// Calls until their best time is known.
pub(super) const MIN_CALLS_FOR_BEST: f64 = 20.0;
/// Factor of the best call time at each call, so that it follows a dependency that becomes slower for good.
pub(super) const BEST_CALL_DRIFT: f64 = 1.001;
/// Calls that one request makes at most.
pub(super) const MAX_CALL_ATTEMPTS: u32 = 5;
/// Share of the run time that lies after the call.
pub(super) const RUN_SHARE_AFTER_CALL: f64 = 0.5;
/// A call is skipped where its wait would take more than this share of the time left.
pub(super) const MAX_CALL_WAIT_SHARE: f64 = 0.5;
/// Bound of call quotas and call times (in seconds) that keeps `Duration` from overflowing.
pub(super) const CALL_BOUND: f64 = 1e6;

// Callers and connections.

/// Load hint in the form of a window: the requests that are completed in this share of a latency target.
pub(super) const HINT_LATENCY_SHARE: f64 = 0.45;
/// Load hint in the form of a share, just after a cold start.
pub(super) const COLD_HINT: f64 = 0.3;
/// Reading and accepting take this share of what wants a core: callers reconnect in a storm.
pub(super) const STORM_READ_SHARE: f64 = 0.33;
/// Shortest time until idle connections are closed, as a share of the time that callers keep them.
pub(super) const MIN_IDLE_SHARE: f64 = 0.03;
/// Time until idle connections are closed, at first.
pub(super) const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Parts into which the deadline of a class is divided to compare how long callers still wait.
pub(super) const WAIT_BUCKETS: f64 = 50.0;
/// A remaining wait that this share of recent requests has in common is that of a first attempt.
pub(super) const USUAL_WAIT_SHARE: f64 = 0.15;

/// Shortest interval between two log lines on one topic.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(5);
