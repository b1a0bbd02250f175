//! Generates each server's configuration from the scenario: the platform's JSON settings and the service file.

use crate::ids::ServerNo;
use crate::invariant_checker::Effect;
use crate::scenario::{zone_name, RequestClass, Scenario};
use aldercrank_service_config::StartConfig;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// A server fails if the mean number of concurrent runs per core exceeds this.
pub const MAX_RUNS_PER_CORE: f64 = 5.0;
/// The window over which the runs per core are averaged.
const RUNS_PER_CORE_WINDOW: Duration = Duration::from_secs(2);
/// The window over which the outstanding calls to the index are averaged.
pub const INDEX_CALLS_WINDOW: Duration = Duration::from_secs(5);

/// The listen address of a server, and the addresses that it connects to.
#[derive(Clone, Copy, Debug)]
pub struct ServerAddresses {
    /// The server's listen address.
    pub listen: SocketAddr,
    /// Its worker pool.
    pub pool: SocketAddr,
    /// The index.
    pub index: SocketAddr,
    /// The membership service.
    pub membership: SocketAddr,
}

/// The address at which a server reaches a committee member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberAddress {
    /// The member.
    pub member: ServerNo,
    /// The address.
    pub address: SocketAddr,
}

fn microseconds(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "retryable",
        Effect::Keyed => "dedup",
        Effect::Unsafe => "fragile",
    }
}

fn class_settings(class: &RequestClass) -> Value {
    json!({
        "name": class.name, "effect": effect_name(class.effect),
        "goal_time": microseconds(class.latency_target), "give_up": microseconds(class.deadline),
        "points": class.value, "late_worth": class.late_share, "window": microseconds(class.dedup_window)
    })
}

/// The JSON configuration of a server. `cold` tells whether its worker pool starts cold.
pub fn server_config(
    scenario: &Scenario,
    server: ServerNo,
    cold: bool,
    addresses: &ServerAddresses,
) -> Value {
    let fleet = &scenario.fleet;
    let classes: Vec<Value> = scenario.classes.iter().map(class_settings).collect();
    let makes_calls: Vec<bool> = scenario.classes.iter().map(|class| class.call_probability > 0.0).collect();
    let degraded_shares: Vec<f64> = scenario.classes.iter().map(|class| class.degraded_share).collect();
    let zones: Vec<String> = (0..fleet.zones).map(zone_name).collect();
    json!({
        "name": server.to_string(), "listen": addresses.listen, "pool": addresses.pool,
        "members": addresses.membership, "index": addresses.index,
        "seed": format!("{:x}", scenario.seed), "stop_ms": fleet.stop_timeout.as_millis() as u64,
        "limits": {"cores": 1.0, "memory_mb": fleet.process_memory_mb, "sockets": fleet.max_sockets},
        "settings": {
            "azs": zones, "my_zone": zone_name(server.0 as usize % fleet.zones),
            "peers_total": fleet.servers,
            "family_info": {
                "cores": fleet.cores, "memory_kb": fleet.admission_memory_kb, "run_factor": 4.0,
                "key_kb": 0.5, "cold": cold, "advert": "share_of", "halt": "abort", "cancel_seen": true,
                "passes_deadline": true, "readiness": true, "below": "shared",
                "calls_out": scenario.index.limit / fleet.servers as f64,
                "calls_over": microseconds(INDEX_CALLS_WINDOW), "linger": 100_000, "fresh_for": 0,
                "heeded": 1_000_000, "idle": microseconds(scenario.callers.policy.idle_timeout),
                "upstreams": scenario.callers.edges, "class_calls": makes_calls,
                "worth_without": degraded_shares, "meters": ["cpu_busy", "runnable"]},
            "limits": {"retry_after": true, "max_retry_after": 1_000_000},
            "rules": {
                "answer_slack": microseconds(fleet.answer_slack), "cold_from": fleet.cold_speed,
                "warm_after": microseconds(fleet.warm_up), "fall": microseconds(RUNS_PER_CORE_WINDOW),
                "fall_multiple": MAX_RUNS_PER_CORE,
                "stop_sending_within": microseconds(fleet.drain_grace)},
            "profiles": classes}})
}

/// The `start` section of a server's service file.
pub fn start_section(start: &StartConfig) -> String {
    format!("start {{\n    tell-share #{}\n}}\n", start.report_share)
}

/// The `rules` section of a server's service file: the file with the initial version of the versioned configuration,
/// the directory for durable state, and the addresses of the committee members.
pub fn rules_section(initial_version: &Path, dir: Option<&Path>, members: &[MemberAddress]) -> String {
    let dir = dir.map_or(String::new(), |dir| format!("    dir {:?}\n", dir.to_string_lossy()));
    let address_line = |at: &MemberAddress| format!("        {} \"{}\"\n", at.member, at.address);
    let member_addresses: String = members.iter().map(address_line).collect();
    format!(
        "rules {{\n    book {:?}\n{dir}    read-list #true\n    reach {{\n{member_addresses}    }}\n}}\n",
        initial_version.to_string_lossy()
    )
}
