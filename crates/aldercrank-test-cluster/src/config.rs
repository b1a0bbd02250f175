//! What each server of a fleet is told: the platform's JSON, from the scenario.

use crate::ids::ServerNo;
use crate::invariant_checker::Effect;
use crate::scenario::{zone_name, Scenario};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// How many more runs than cores a server survives, on the cores.
pub const FALL: f64 = 5.0;
/// Over how long that, and the index's calls, are averaged.
pub const FALL_OVER: Duration = Duration::from_secs(2);
pub const CALLS_OVER: Duration = Duration::from_secs(5);

/// Where a server finds what it speaks to.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    pub listen: SocketAddr,
    pub pool: SocketAddr,
    pub index: SocketAddr,
    pub list: SocketAddr,
}

fn us(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn effect(effect: Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "retryable",
        Effect::Keyed => "dedup",
        Effect::Unsafe => "fragile",
    }
}

pub fn config(s: &Scenario, server: ServerNo, cold: bool, at: &Places) -> Value {
    let fleet = &s.fleet;
    let classes: Vec<Value> = s
        .classes
        .iter()
        .map(|p| {
            json!({"name": p.name, "effect": effect(p.effect), "goal_time": us(p.latency_target), "give_up": us(p.deadline),
                "points": p.value, "late_worth": p.late_share, "window": us(p.dedup_window)})
        })
        .collect();
    let zones: Vec<String> = (0..fleet.zones).map(zone_name).collect();
    json!({
        "name": server.to_string(), "listen": at.listen, "pool": at.pool, "members": at.list, "index": at.index,
        "seed": format!("{:x}", s.seed), "stop_ms": fleet.stop_timeout.as_millis() as u64,
        "limits": {"cores": 1.0, "memory_mb": fleet.process_memory_mb, "sockets": fleet.max_sockets},
        "settings": {
            "azs": zones, "my_zone": zone_name(server.0 as usize % fleet.zones), "peers_total": fleet.servers,
            "family_info": {
                "cores": fleet.cores, "memory_kb": fleet.admission_memory_kb, "run_factor": 4.0, "key_kb": 0.5, "cold": cold,
                "advert": "share_of", "halt": "abort", "cancel_seen": true, "passes_deadline": true,
                "readiness": true, "below": "shared", "calls_out": s.index.limit / fleet.servers as f64,
                "calls_over": us(CALLS_OVER), "linger": 100_000, "fresh_for": 0, "heeded": 1_000_000,
                "idle": us(s.callers.policy.idle_timeout), "upstreams": s.callers.edges,
                "class_calls": s.classes.iter().map(|p| p.call_probability > 0.0).collect::<Vec<bool>>(),
                "worth_without": s.classes.iter().map(|p| p.degraded_share).collect::<Vec<f64>>(),
                "meters": ["cpu_busy", "runnable"]},
            "limits": {"retry_after": true, "max_retry_after": 1_000_000},
            "rules": {"answer_slack": us(fleet.answer_slack), "cold_from": fleet.cold_speed,
                "warm_after": us(fleet.warm_up), "fall": us(FALL_OVER), "fall_multiple": FALL,
                "stop_sending_within": us(fleet.drain_grace)},
            "profiles": classes}})
}

/// A server's own settings as to how it starts.
pub fn start(start: &aldercrank_service_config::Start) -> String {
    format!("start {{\n    tell-share #{}\n}}\n", start.tell_share)
}

/// A server's own settings: the rule book, where its votes are kept, and where it reaches the others.
pub fn service(book: &Path, dir: Option<&Path>, reach: Vec<(ServerNo, SocketAddr)>) -> String {
    let dir = dir.map_or(String::new(), |dir| format!("    dir {:?}\n", dir.to_string_lossy()));
    let reach: String = reach.iter().map(|(server, at)| format!("        {server} \"{at}\"\n")).collect();
    format!(
        "rules {{\n    book {:?}\n{dir}    read-list #true\n    reach {{\n{reach}    }}\n}}\n",
        book.to_string_lossy()
    )
}
