//! The admission decisions of one server: which requests it queues, runs and rejects.
//!
//! [`Admission::new`] takes the settings, the time and a [`Host`]. Afterwards the server calls one method per event and
//! passes the time since it started: [`Admission::request_received`], [`Admission::timer_fired`],
//! [`Admission::call_requested`], [`Admission::call_ended`], [`Admission::run_ended`], [`Admission::caller_gone`],
//! [`Admission::drain`], [`Admission::set_permission`] and [`Admission::apply_settings`]. Decisions are carried out
//! through the host immediately. No state outlives the process.
//!
//! Admitted requests wait in a queue ordered by due time and start while the concurrency window has room. The window
//! grows on demand while the p99 of run time divided by latency target has headroom, and is cut when that p99 exceeds 1
//! (additive increase, multiplicative decrease; see docs/design.md).

mod calls;
mod constants;
mod dependency;
mod lifecycle;
mod load_hint;
mod priority;
mod rejection;
mod requests;
mod runs;
mod state;
mod timers;
mod window;

use crate::dedup::DedupEntries;
use crate::host::Host;
use crate::outstanding_calls::OutstandingCalls;
use crate::parameters::{self, Parameters};
use crate::queue::Queue;
use crate::range_summary_map::RangeSummaryMap;
use crate::recent_callers::RecentCallers;
use crate::recent_runs::RecentRuns;
use crate::request::{Request, Timer};
use crate::request_totals::RequestTotals;
use crate::settings::Settings;
use crate::tenant_quotas::TenantQuotas;
use crate::types::{Permission, RequestClass, RequestId, RequestMap};
use constants::{INITIAL_IDLE_TIMEOUT, INITIAL_RUN_TIME, LOG_INTERVAL, MIN_CALL_WINDOW_SHARE};
use state::{CallTimes, Drain, LogTopic, RankedCall};
use std::collections::BTreeMap;
use std::time::Duration;

/// Admission control of one server.
pub struct Admission<H: Host> {
    /// Carries out the decisions.
    pub host: H,
    parameters: Parameters,
    classes: Vec<RequestClass>,
    /// The longest deadline that any class has had so far. Callers give up requests that are older.
    longest_deadline: Duration,
    requests: RequestMap<Request>,
    totals: RequestTotals,
    queue: Queue,
    /// Requests whose upstream call has been requested but not made yet.
    awaiting_call: RangeSummaryMap<RequestId>,
    /// Scratch buffer for ranking the requested calls, kept to avoid an allocation per event.
    ranked_calls: Vec<RankedCall>,
    dedup: DedupEntries,
    timers: RangeSummaryMap<Timer>,
    /// Concurrency window: the number of requests that may run at once.
    window: f64,
    recent_runs: RecentRuns,
    /// Whether a queued request could not be started since the last evaluation.
    window_was_full: bool,
    evaluated_at: Duration,
    /// Smoothed run time of each class on a warm server, in seconds.
    run_seconds: Vec<f64>,
    /// Exponentially decaying number of arrivals of each class.
    arrivals: Vec<f64>,
    recent_callers: RecentCallers,
    /// Smoothed number of runnable tasks other than runs, such as reading requests and accepting connections.
    read_load: f64,
    /// Connections that have been idle for this long are closed.
    idle_timeout: Duration,
    /// Smoothed time that requests wait before they are read, in seconds.
    unread_seconds: f64,
    /// When the last request was read.
    request_read_at: Duration,
    /// Smoothed share of the read requests that are rejected.
    rejected_share: f64,
    /// Smoothed share of running requests that use a core rather than a disk. The limit of the window applies to those.
    on_core_share: f64,
    healthy: bool,
    /// Admission threshold: requests with a lower priority are rejected. From 0 to 2.
    threshold: f64,
    calls: OutstandingCalls,
    /// Number of upstream calls that may be outstanding at once. A window below 1 is the share of the time during which
    /// one call may be outstanding.
    call_window: f64,
    call_times: CallTimes,
    /// Whether the dependency has rejected a call since the last evaluation.
    call_rejected: bool,
    tenant_quotas: TenantQuotas,
    draining: Option<Drain>,
    permission: Permission,
    last_load_hint: f64,
    logged_at: BTreeMap<LogTopic, Duration>,
}

impl<H: Host> Admission<H> {
    /// Creates the state of a healthy server with an empty queue, sets its health at the host and schedules the first
    /// timer. Logs each setting for which a default is used.
    pub fn new(settings: &Settings, now: Duration, mut host: H) -> Self {
        for name in settings.missing() {
            host.log(&format!("setting {name} is missing or makes no sense: a cautious default holds"));
        }
        let (parameters, classes) =
            (Parameters::from_settings(settings), parameters::request_classes(settings));
        host.set_health(true, true);
        host.set_timer(parameters.tick);
        let run_seconds =
            classes.iter().map(|class| class.latency_target.as_secs_f64() * INITIAL_RUN_TIME).collect();
        Admission {
            host,
            longest_deadline: parameters::longest_deadline(&classes).unwrap_or_default(),
            requests: RequestMap::default(),
            totals: RequestTotals::new(classes.len()),
            queue: Queue::default(),
            awaiting_call: RangeSummaryMap::default(),
            ranked_calls: Vec::new(),
            dedup: DedupEntries::default(),
            timers: RangeSummaryMap::default(),
            window: parameters.cores,
            recent_runs: RecentRuns::default(),
            window_was_full: false,
            evaluated_at: now,
            run_seconds,
            arrivals: vec![1.0; classes.len()],
            recent_callers: RecentCallers::default(),
            read_load: 0.0,
            idle_timeout: INITIAL_IDLE_TIMEOUT,
            unread_seconds: 0.0,
            request_read_at: now,
            rejected_share: 0.0,
            on_core_share: 1.0,
            healthy: true,
            threshold: 0.0,
            calls: OutstandingCalls::default(),
            call_window: parameters.call_quota * MIN_CALL_WINDOW_SHARE,
            call_times: CallTimes::default(),
            call_rejected: false,
            tenant_quotas: TenantQuotas::default(),
            draining: None,
            permission: Permission::Everything,
            last_load_hint: -1.0,
            logged_at: BTreeMap::new(),
            parameters,
            classes,
        }
    }

    /// Writes a log line, unless a line on the same topic was written within [`LOG_INTERVAL`].
    fn log(&mut self, now: Duration, topic: LogTopic, line: impl FnOnce() -> String) {
        if self.logged_at.get(&topic).is_none_or(|at| now.saturating_sub(*at) >= LOG_INTERVAL) {
            self.logged_at.insert(topic, now);
            self.host.log(&line());
        }
    }
}
