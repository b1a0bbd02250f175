//! The parameters of admission control, parsed from the settings once. docs/design.md lists the defaults.

use crate::settings::Settings;
use crate::types::{Effect, RequestClass};
use std::collections::BTreeSet;
use std::time::Duration;

/// What the load hint expresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadHintForm {
    /// The admission threshold, from 0 to 1.
    Threshold,
    /// The share of its usual load that this server accepts, from 0 to 1.
    ShareOfLoad,
    /// The number of requests that one caller may have in flight at this server.
    Window,
}

/// This server's share of a tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQuota {
    /// The tenant's name.
    pub name: String,
    /// Requests per second.
    pub rate: f64,
}

/// The parameters of admission control.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// Number of cores of this server.
    pub cores: f64,
    /// Interval of the periodic timer; also the time allowed for sending an answer.
    pub tick: Duration,
    /// Memory available for requests and deduplication entries, in KB.
    pub memory_kb: f64,
    /// Memory of a started request, as a multiple of its memory before the start.
    pub run_memory_factor: f64,
    /// Memory of a deduplication entry, in KB.
    pub dedup_entry_kb: f64,
    /// Average number of upstream calls that this server may have outstanding.
    pub call_quota: f64,
    /// The period over which `call_quota` is averaged.
    pub call_quota_period: Duration,
    /// How long an abandoned call may still occupy the upstream dependency.
    pub abandoned_call_time: Duration,
    /// How long idempotent requests are remembered; zero if they are not.
    pub idempotent_window: Duration,
    /// How long callers keep idle connections open; `None` if idle connections are not to be closed.
    pub idle_timeout: Option<Duration>,
    /// Number of callers that send to this server.
    pub caller_count: f64,
    /// Whether a run can be stopped once it has started.
    pub can_stop_runs: bool,
    /// What the load hint expresses; `None` if none is sent.
    pub load_hint_form: Option<LoadHintForm>,
    /// Index of the metric "runnable", the number of runnable tasks, among the load metrics.
    pub runnable_metric: Option<usize>,
    /// Number of started requests at which a warm server collapses, as a multiple of the cores.
    pub collapse_multiple: f64,
    /// Speed immediately after a cold start, as a share of the warm speed.
    pub cold_speed: f64,
    /// How long the server takes to warm up after a cold start; `None` after a warm start.
    pub warm_after: Option<Duration>,
    /// Callers stop sending within this time after the server has announced its drain.
    pub senders_stop_within: Duration,
    /// Limit of the concurrency window per core on a warm server.
    pub window_per_core: Option<f64>,
    /// Limit of the concurrency window per core immediately after a cold start.
    pub cold_window_per_core: Option<f64>,
    /// The longest `Retry-After` to send; zero if callers ignore it.
    pub max_retry_after: Duration,
    /// Tenants with a quota.
    pub tenants: Vec<TenantQuota>,
    /// The priority of a request beyond its tenant's quota is multiplied by this factor.
    pub over_quota_factor: f64,
    /// Callers all of whose requests are rejected.
    pub rejected_callers: BTreeSet<u64>,
}

impl Parameters {
    /// Parses the parameters. A setting that is missing or invalid takes its default.
    pub fn from_settings(settings: &Settings) -> Parameters {
        let info = |name: &str| settings.number(&format!("family_info.{name}"));
        let answer_slack = settings.duration("rules.answer_slack").unwrap_or(Duration::from_millis(20));
        let cold = settings.flag("family_info.cold") == Some(true);
        let heeds_retry_after = settings.flag("limits.retry_after") == Some(true);
        let metrics = (0..).map_while(|i| settings.text(&format!("family_info.meters.{i}")));
        let rejected_callers = (0..).map_while(|i| settings.number(&format!("rules.turned_away.{i}")));
        Parameters {
            cores: info("cores").unwrap_or(1.0).max(1.0),
            tick: (answer_slack / 2)
                .max(settings.duration("tick").unwrap_or_default())
                .max(Duration::from_millis(5)),
            memory_kb: info("memory_kb").unwrap_or(f64::MAX),
            run_memory_factor: info("run_factor").unwrap_or(8.0).max(1.0),
            dedup_entry_kb: info("key_kb").unwrap_or(0.0),
            call_quota: info("calls_out").filter(|quota| *quota > 0.0).unwrap_or(f64::MAX),
            call_quota_period: settings.duration("family_info.calls_over").unwrap_or(Duration::from_secs(5)),
            abandoned_call_time: settings.duration("family_info.linger").unwrap_or_default(),
            idempotent_window: settings.duration("family_info.fresh_for").unwrap_or_default(),
            idle_timeout: settings.duration("family_info.idle"),
            caller_count: info("upstreams").unwrap_or(1.0).max(1.0),
            can_stop_runs: settings.text("family_info.halt").unwrap_or("none") != "none",
            load_hint_form: load_hint_form(settings),
            runnable_metric: metrics.into_iter().position(|name| name == "runnable"),
            collapse_multiple: settings.number("rules.fall_multiple").unwrap_or(2.0).max(1.0),
            cold_speed: settings.number("rules.cold_from").unwrap_or(0.0).clamp(0.05, 1.0),
            warm_after: settings.duration("rules.warm_after").filter(|after| cold && !after.is_zero()),
            senders_stop_within: settings.duration("rules.stop_sending_within").unwrap_or_default(),
            window_per_core: settings.number("window.per_core"),
            cold_window_per_core: settings.number("window.cold_per_core"),
            max_retry_after: settings
                .duration("limits.max_retry_after")
                .filter(|_| heeds_retry_after)
                .unwrap_or_default(),
            tenants: tenant_quotas(settings),
            over_quota_factor: settings.number("over_share_worth").unwrap_or(1.0).min(1.0),
            rejected_callers: rejected_callers.map(|caller| caller as u64).collect(),
        }
    }
}

fn load_hint_form(settings: &Settings) -> Option<LoadHintForm> {
    match settings.text("family_info.advert") {
        Some("threshold") => Some(LoadHintForm::Threshold),
        Some("share_of") => Some(LoadHintForm::ShareOfLoad),
        Some("window") => Some(LoadHintForm::Window),
        _ => None,
    }
}

fn tenant_quotas(settings: &Settings) -> Vec<TenantQuota> {
    let servers = settings.number("peers_total").unwrap_or(1.0).max(1.0);
    let rate = |i: usize| settings.number(&format!("tenants.{i}.quota_per_s")).unwrap_or(f64::MAX) / servers;
    (0..)
        .map_while(|i| settings.text(&format!("tenants.{i}.name")).map(|name| (i, name)))
        .map(|(i, name)| TenantQuota { name: name.to_string(), rate: rate(i) })
        .collect()
}

/// The request classes in the order of the settings.
pub fn request_classes(settings: &Settings) -> Vec<RequestClass> {
    let in_service = settings.flag("rules.in_service") != Some(false);
    (0..)
        .map_while(|i| settings.text(&format!("profiles.{i}.name")).map(|name| (i, name)))
        .map(|(i, name)| request_class(settings, i, name, in_service))
        .collect()
}

/// The longest deadline of any of these classes: how long a caller waits at most after it has sent a request. `None`
/// without classes.
pub fn longest_deadline(classes: &[RequestClass]) -> Option<Duration> {
    classes.iter().map(|class| class.deadline).max()
}

fn request_class(settings: &Settings, index: usize, name: &str, in_service: bool) -> RequestClass {
    let key = |field: &str| format!("profiles.{index}.{field}");
    let deadline = settings.duration(&key("give_up")).unwrap_or(Duration::from_secs(5));
    RequestClass {
        name: name.into(),
        effect: Effect::named(settings.text(&key("effect")).unwrap_or_default()),
        latency_target: settings
            .duration(&key("goal_time"))
            .filter(|target| !target.is_zero())
            .unwrap_or(deadline / 2),
        deadline,
        priority_weight: settings.number(&key("points")).unwrap_or(1.0),
        late_share: settings.number(&key("late_worth")).unwrap_or(0.0),
        dedup_window: settings.duration(&key("window")).unwrap_or(deadline * 4),
        share_without_call: settings.number(&format!("family_info.worth_without.{index}")).unwrap_or(0.0),
        makes_calls: settings.flag(&format!("family_info.class_calls.{index}")) != Some(false),
        offered: settings.flag(&key("offered")) != Some(false) && in_service,
    }
}
