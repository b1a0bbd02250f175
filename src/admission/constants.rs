//! Constants of the admission decisions. Durations are relative to the latency targets of the settings, and limits are
//! relative to the limits of the settings, so that one set of constants serves every deployment.

use std::time::Duration;

// The concurrency window: additive increase, multiplicative decrease.

/// Number of requests by which the window grows at an evaluation with headroom.
pub(super) const WINDOW_INCREMENT: f64 = 1.0;
/// The window is multiplied by this factor when it is cut.
pub(super) const WINDOW_CUT_FACTOR: f64 = 0.7;
/// The window grows only while the p99 is below this multiple of the latency target. Less than 1, so that growth stops
/// before targets are missed.
pub(super) const GROWTH_MAX_P99: f64 = 0.8;
/// A single run longer than this many latency targets cuts the window immediately, without waiting for the p99.
pub(super) const BREAKER_RUN_RATIO: f64 = 3.0;
/// Interval between evaluations, as a multiple of the shortest latency target.
pub(super) const EVALUATION_INTERVAL: f64 = 0.5;
/// The p99 covers the runs of this time span, as a multiple of the longest latency target.
pub(super) const P99_SPAN: f64 = 4.0;
/// Limit of the window on a warm server in requests per core, if the settings give none. Above 1, since runs sometimes
/// wait.
pub(super) const WARM_WINDOW_PER_CORE: f64 = 1.3;
/// The same limit immediately after a cold start, when runs wait for nothing but cores.
pub(super) const COLD_WINDOW_PER_CORE: f64 = 1.0;
/// Lower bound of the share of runs assumed to be on a core, so that the limit of the window stays bounded.
pub(super) const MIN_ON_CORE_SHARE: f64 = 0.4;

// The admission threshold. It follows the load: the time that requests wait, unread and queued, divided by their slack.

/// Load up to which the threshold is 0.
pub(super) const THRESHOLD_START_LOAD: f64 = 0.15;
/// Load at which the threshold reaches 1.
pub(super) const THRESHOLD_FULL_LOAD: f64 = 0.6;
/// Upper bound of the threshold. All priorities are below 2, so at 2 nothing is admitted.
pub(super) const MAX_THRESHOLD: f64 = 2.0;
/// Number of additional run times, at a threshold of 1, for which a request must have time left before it is due: under
/// load a run that would be just in time on average is often late.
pub(super) const EXTRA_RUN_TIMES: f64 = 2.0;
/// Weight of a new sample in exponentially smoothed values.
pub(super) const SMOOTHING: f64 = 0.1;
/// Share by which a value that requests and runs determine approaches its initial value at an evaluation without any.
pub(super) const DECAY_WITHOUT_SAMPLES: f64 = 0.2;
/// The arrival counts of all classes are multiplied by this factor at each arrival.
pub(super) const ARRIVAL_DECAY: f64 = 0.995;
/// Once more than this share of the read requests is rejected, callers are asked not to try other servers.
pub(super) const LAST_ATTEMPT_REJECTED_SHARE: f64 = 0.5;
/// Assumed run time of a class before any run has been measured, as a share of its latency target.
pub(super) const INITIAL_RUN_TIME: f64 = 0.25;

// Hard limits.

/// Share of the available memory that may be used.
pub(super) const MAX_MEMORY_SHARE: f64 = 0.9;
/// Limit of the number of started requests, as a share of the number at which the server collapses.
pub(super) const MAX_STARTED_SHARE: f64 = 0.8;

// Upstream calls. The bounds of the call window are shares of this server's call quota.

/// Upper bound of the call window.
pub(super) const MAX_CALL_WINDOW_SHARE: f64 = 0.8;
/// Lower bound of the call window: some calls must be made to notice that the dependency has become fast again.
pub(super) const MIN_CALL_WINDOW_SHARE: f64 = 0.35;
/// Growth of the call window at an evaluation without slow or rejected calls.
pub(super) const CALL_WINDOW_STEP_SHARE: f64 = 0.1;
/// The call window is multiplied by this factor when the dependency has rejected a call.
pub(super) const REJECTED_CALL_FACTOR: f64 = 0.5;
/// Calls count as slow above this multiple of their best time.
pub(super) const SLOW_CALL_RATIO: f64 = 2.5;
/// Slow calls are skipped only if they take more than this share of the shortest latency target; shorter ones hardly
/// affect it.
pub(super) const SLOW_CALL_LATENCY_SHARE: f64 = 0.15;
/// A call is abandoned after this multiple of the usual time, since it is unlikely to be answered.
pub(super) const ABANDONED_CALL_RATIO: f64 = 25.0;
/// Nearly all calls are answered within this multiple of the usual time. Shorter timeouts are avoided, since a timeout
/// leaves it unknown whether the call took effect.
pub(super) const SUFFICIENT_TIMEOUT_RATIO: f64 = 8.0;
/// An unanswered call enters the smoothed call time with at most this multiple of the usual time, so that a few of them
/// don't make all calls look slow.
pub(super) const UNANSWERED_CALL_RATIO: f64 = 4.0;
/// Number of calls before the best call time is determined.
pub(super) const MIN_CALLS_FOR_BEST: f64 = 20.0;
/// The best call time is multiplied by this factor at each call, so that it adapts to a dependency that has become
/// permanently slower.
pub(super) const BEST_CALL_DRIFT: f64 = 1.001;
/// Maximum number of upstream calls made for one request, retries included.
pub(super) const MAX_CALL_ATTEMPTS: u32 = 5;
/// Share of the run time that remains after the upstream call.
pub(super) const RUN_SHARE_AFTER_CALL: f64 = 0.5;
/// An optional call is skipped if waiting for it would take more than this share of the time left.
pub(super) const MAX_CALL_WAIT_SHARE: f64 = 0.5;
/// Upper bound of call quotas and of call times in seconds, so that `Duration` arithmetic can't overflow.
pub(super) const CALL_BOUND: f64 = 1e6;

// Callers and connections.

/// A load hint in the form of a window is the number of requests completed within this share of a latency target.
pub(super) const HINT_LATENCY_SHARE: f64 = 0.45;
/// The load hint in the form of a share, immediately after a cold start.
pub(super) const COLD_HINT: f64 = 0.3;
/// In a reconnect storm, reading requests and accepting connections exceed this share of the demand for cores.
pub(super) const STORM_READ_SHARE: f64 = 0.33;
/// Lower bound of the idle timeout, as a share of the time for which callers keep idle connections.
pub(super) const MIN_IDLE_SHARE: f64 = 0.03;
/// Initial idle timeout of connections.
pub(super) const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of buckets into which the deadline of a class is divided to compare remaining waits.
pub(super) const WAIT_BUCKETS: f64 = 50.0;
/// A remaining wait shared by at least this share of the recent requests is taken for that of a first attempt.
pub(super) const USUAL_WAIT_SHARE: f64 = 0.15;

/// Minimum interval between two log lines on the same topic.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(5);
