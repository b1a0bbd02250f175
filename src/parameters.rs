//! The parameters of admission control, read from the settings once, with the defaults of docs/design.md.

use crate::settings::Settings;
use crate::types::{Effect, RequestClass};
use std::collections::BTreeSet;
use std::time::Duration;

/// What the load hint expresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadHintForm {
    /// The admission threshold, from 0 to 1.
    Threshold,
    /// The share of its usual load that this server takes, from 0 to 1.
    ShareOfLoad,
    /// Requests that a caller may have in flight with this server.
    Window,
}

/// This server's part of the quota of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQuota {
    /// The tenant's name.
    pub name: String,
    /// Requests a second.
    pub rate: f64,
}

/// The parameters of admission control.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// Cores of this server.
    pub cores: f64,
    /// Interval of the timer, and the time that an answer takes to be sent.
    pub tick: Duration,
    /// Memory for requests and deduplication entries, in KB.
    pub memory_kb: f64,
    /// Memory of a started request, as a multiple of what it took before.
    pub run_memory_factor: f64,
    /// Memory of a deduplication entry, in KB.
    pub dedup_entry_kb: f64,
    /// Upstream calls that this server may have outstanding on average.
    pub call_quota: f64,
    /// The period over which that average is taken.
    pub call_quota_period: Duration,
    /// How long a call that this server has abandoned may still occupy the dependency.
    pub abandoned_call_time: Duration,
    /// How long idempotent requests are remembered; zero for not at all.
    pub idempotent_window: Duration,
    /// How long callers keep idle connections.
    pub idle_timeout: Option<Duration>,
    /// Number of callers that send to this server.
    pub caller_count: f64,
    /// Whether runs can be stopped.
    pub can_stop_runs: bool,
    /// What the load hint expresses; none is sent without it.
    pub load_hint_form: Option<LoadHintForm>,
    /// Index of the number of runnable tasks among the load metrics.
    pub runnable_metric: Option<usize>,
    /// Started requests at which a warm server collapses, as a multiple of the cores.
    pub collapse_multiple: f64,
    /// Speed just after a cold start, as a share of the warm speed.
    pub cold_speed: f64,
    /// Time after a cold start until the server is warm; none after a warm start.
    pub warm_after: Option<Duration>,
    /// After the notice to drain, callers stop sending within this time.
    pub senders_stop_within: Duration,
    /// Limit of the concurrency window a core, once warm.
    pub window_per_core: Option<f64>,
    /// The same just after a cold start.
    pub cold_window_per_core: Option<f64>,
    /// The longest `Retry-After`; zero if callers do not heed it.
    pub max_retry_after: Duration,
    /// Tenants with a quota.
    pub tenants: Vec<TenantQuota>,
    /// Factor of the priority of requests beyond their tenant's quota.
    pub over_quota_factor: f64,
    /// Callers whose requests are all rejected.
    pub rejected_callers: BTreeSet<u64>,
}

impl Parameters {
    /// Reads the parameters. Where a setting is missing or invalid its default holds.
    pub fn from_settings(settings: &Settings) -> Parameters {
        let info = |name: &str| settings.number(&format!("family_info.{name}"));
        let answer_slack = settings.span("rules.answer_slack").unwrap_or(Duration::from_millis(20));
        let cold = settings.flag("family_info.cold") == Some(true);
        let heeds_retry_after = settings.flag("limits.retry_after") == Some(true);
        let metrics = (0..).map_while(|i| settings.text(&format!("family_info.meters.{i}")));
        let rejected_callers = (0..).map_while(|i| settings.number(&format!("rules.turned_away.{i}")));
        Parameters {
            cores: info("cores").unwrap_or(1.0).max(1.0),
            tick: (answer_slack / 2)
                .max(settings.span("tick").unwrap_or_default())
                .max(Duration::from_millis(5)),
            memory_kb: info("memory_kb").unwrap_or(f64::MAX),
            run_memory_factor: info("run_factor").unwrap_or(8.0).max(1.0),
            dedup_entry_kb: info("key_kb").unwrap_or(0.0),
            call_quota: info("calls_out").filter(|quota| *quota > 0.0).unwrap_or(f64::MAX),
            call_quota_period: settings.span("family_info.calls_over").unwrap_or(Duration::from_secs(5)),
            abandoned_call_time: settings.span("family_info.linger").unwrap_or_default(),
            idempotent_window: settings.span("family_info.fresh_for").unwrap_or_default(),
            idle_timeout: settings.span("family_info.idle"),
            caller_count: info("upstreams").unwrap_or(1.0).max(1.0),
            can_stop_runs: settings.text("family_info.halt").unwrap_or("none") != "none",
            load_hint_form: load_hint_form(settings),
            runnable_metric: metrics.into_iter().position(|name| name == "runnable"),
            collapse_multiple: settings.number("rules.fall_multiple").unwrap_or(2.0).max(1.0),
            cold_speed: settings.number("rules.cold_from").unwrap_or(0.0).clamp(0.05, 1.0),
            warm_after: settings.span("rules.warm_after").filter(|after| cold && !after.is_zero()),
            senders_stop_within: settings.span("rules.stop_sending_within").unwrap_or_default(),
            window_per_core: settings.number("window.per_core"),
            cold_window_per_core: settings.number("window.cold_per_core"),
            max_retry_after: settings
                .span("limits.max_retry_after")
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

fn request_class(settings: &Settings, index: usize, name: &str, in_service: bool) -> RequestClass {
    let key = |field: &str| format!("profiles.{index}.{field}");
    let deadline = settings.span(&key("give_up")).unwrap_or(Duration::from_secs(5));
    RequestClass {
        name: name.into(),
        effect: Effect::named(settings.text(&key("effect")).unwrap_or_default()),
        latency_target: settings
            .span(&key("goal_time"))
            .filter(|target| !target.is_zero())
            .unwrap_or(deadline / 2),
        deadline,
        priority_weight: settings.number(&key("points")).unwrap_or(1.0),
        late_share: settings.number(&key("late_worth")).unwrap_or(0.0),
        window: settings.span(&key("window")).unwrap_or(deadline * 4),
        share_without_call: settings.number(&format!("family_info.worth_without.{index}")).unwrap_or(0.0),
        makes_calls: settings.flag(&format!("family_info.class_calls.{index}")) != Some(false),
        offered: settings.flag(&key("offered")) != Some(false) && in_service,
    }
}
