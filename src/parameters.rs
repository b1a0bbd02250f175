//! The settings that the module goes by, read once, with the defaults that docs/design.md lists.

use crate::settings::Settings;
use crate::types::{Effect, RequestClass};
use std::collections::BTreeSet;
use std::time::Duration;

/// The form of the free value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advert {
    Threshold,
    ShareOf,
    Window,
}

#[derive(Clone, Debug)]
pub struct Terms {
    pub cores: f64,
    pub tick: Duration,
    pub memory_kb: f64,
    pub run_factor: f64,
    pub key_kb: f64,
    pub calls_share: f64,
    pub calls_over: Duration,
    pub linger: Duration,
    pub fresh: Duration,
    pub idle: Option<Duration>,
    pub upstreams: f64,
    pub halt: bool,
    pub advert: Option<Advert>,
    /// The place of the gauge among those that come.
    pub runnable: Option<usize>,
    pub fall_multiple: f64,
    pub cold_from: f64,
    /// After a cold start.
    pub warm_after: Option<Duration>,
    pub grace: Duration,
    pub per_core: Option<f64>,
    pub cold_per_core: Option<f64>,
    /// The longest that a caller may be told to stay away, where it heeds that at all.
    pub retry_after: Duration,
    /// The tenants' names and shares of this server, and what a txn beyond its share is worth.
    pub tenants: Vec<(String, f64)>,
    pub over_share: f64,
    /// Callers that nothing is run for.
    pub rejected_callers: BTreeSet<u64>,
}

impl Terms {
    pub fn read(cfg: &Settings) -> Terms {
        let info = |name: &str| cfg.num(&format!("family_info.{name}"));
        let slack = cfg.span("rules.answer_slack").unwrap_or(Duration::from_millis(20));
        let cold = cfg.flag("family_info.cold") == Some(true);
        let heard = cfg.flag("limits.retry_after") == Some(true);
        let meters = (0..).map_while(|i| cfg.text(&format!("family_info.meters.{i}")));
        let peers = cfg.num("peers_total").unwrap_or(1.0).max(1.0);
        let quota = |i: usize| cfg.num(&format!("tenants.{i}.quota_per_s")).unwrap_or(f64::MAX) / peers;
        let tenants = (0..).map_while(|i| cfg.text(&format!("tenants.{i}.name")).map(|name| (i, name)));
        let away = (0..).map_while(|i| cfg.num(&format!("rules.turned_away.{i}")));
        Terms {
            cores: info("cores").unwrap_or(1.0).max(1.0),
            tick: (slack / 2).max(cfg.span("tick").unwrap_or_default()).max(Duration::from_millis(5)),
            memory_kb: info("memory_kb").unwrap_or(f64::MAX),
            run_factor: info("run_factor").unwrap_or(8.0).max(1.0),
            key_kb: info("key_kb").unwrap_or(0.0),
            calls_share: info("calls_out").filter(|c| *c > 0.0).unwrap_or(f64::MAX),
            calls_over: cfg.span("family_info.calls_over").unwrap_or(Duration::from_secs(5)),
            linger: cfg.span("family_info.linger").unwrap_or_default(),
            fresh: cfg.span("family_info.fresh_for").unwrap_or_default(),
            idle: cfg.span("family_info.idle"),
            upstreams: info("upstreams").unwrap_or(1.0).max(1.0),
            halt: cfg.text("family_info.halt").unwrap_or("none") != "none",
            advert: match cfg.text("family_info.advert") {
                Some("threshold") => Some(Advert::Threshold),
                Some("share_of") => Some(Advert::ShareOf),
                Some("window") => Some(Advert::Window),
                _ => None,
            },
            runnable: meters.into_iter().position(|name| name == "runnable"),
            fall_multiple: cfg.num("rules.fall_multiple").unwrap_or(2.0).max(1.0),
            cold_from: cfg.num("rules.cold_from").unwrap_or(0.0).clamp(0.05, 1.0),
            warm_after: cfg.span("rules.warm_after").filter(|after| cold && !after.is_zero()),
            grace: cfg.span("rules.stop_sending_within").unwrap_or_default(),
            per_core: cfg.num("window.per_core"),
            cold_per_core: cfg.num("window.cold_per_core"),
            retry_after: cfg.span("limits.max_retry_after").filter(|_| heard).unwrap_or_default(),
            tenants: tenants.map(|(i, name)| (name.to_string(), quota(i))).collect(),
            rejected_callers: away.map(|caller| caller as u64).collect(),
            over_share: cfg.num("over_share_worth").unwrap_or(1.0).min(1.0),
        }
    }
}

/// The products in the order of the settings.
pub fn classes(cfg: &Settings) -> Vec<RequestClass> {
    let key = |i: usize, field: &str| format!("profiles.{i}.{field}");
    let named = (0..).map_while(|i| cfg.text(&key(i, "name")).map(|name| (i, name)));
    let serves = cfg.flag("rules.in_service") != Some(false);
    let class = |(i, name): (usize, &str)| {
        let deadline = cfg.span(&key(i, "give_up")).unwrap_or(Duration::from_secs(5));
        RequestClass {
            name: name.into(),
            effect: Effect::named(cfg.text(&key(i, "effect")).unwrap_or_default()),
            latency_target: cfg.span(&key(i, "goal_time")).filter(|s| !s.is_zero()).unwrap_or(deadline / 2),
            deadline,
            value: cfg.num(&key(i, "points")).unwrap_or(1.0),
            late: cfg.num(&key(i, "late_worth")).unwrap_or(0.0),
            window: cfg.span(&key(i, "window")).unwrap_or(deadline * 4),
            without: cfg.num(&format!("family_info.worth_without.{i}")).unwrap_or(0.0),
            calls: cfg.flag(&format!("family_info.class_calls.{i}")) != Some(false),
            offered: cfg.flag(&key(i, "offered")) != Some(false) && serves,
        }
    };
    named.map(class).collect()
}
