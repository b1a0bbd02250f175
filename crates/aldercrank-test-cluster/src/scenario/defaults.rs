//! The default scenario, which an empty document yields.

use super::bounds::Bounds;
use super::model::{Callers, Fleet, RequestClass, Scenario};
use crate::edge_nodes::{CallerPolicy, ConnectionUsage, ServerChoice};
use crate::index_stub::IndexSettings;
use crate::invariant_checker::Effect;
use aldercrank_service_config::StartConfig;
use std::time::Duration;

fn default_fleet() -> Fleet {
    Fleet {
        servers: 8,
        zones: 2,
        cores: 4.0,
        admission_memory_kb: 20_000.0,
        starts_cold: false,
        cold_speed: 0.25,
        warm_up: Duration::from_secs(5),
        warm_up_factor: 1.0,
        stop_timeout: Duration::from_millis(3200),
        drain_grace: Duration::from_secs(1),
        answer_slack: Duration::from_millis(60),
        process_memory_mb: 192.0,
        max_sockets: 1024,
    }
}

/// The default settings of a class that the document adds under a new name.
pub(super) fn default_class() -> RequestClass {
    RequestClass {
        name: "map-extract".to_string(),
        effect: Effect::Idempotent,
        share: 0.7,
        value: 1.0,
        late_share: 0.2,
        work: Duration::from_millis(20),
        call_probability: 0.5,
        degraded_share: 0.6,
        latency_target: Duration::from_millis(600),
        deadline: Duration::from_millis(1800),
        dedup_window: Duration::from_secs(5),
        memory_kb: 20.0,
        body_length: 200,
    }
}

fn default_keyed_class() -> RequestClass {
    RequestClass {
        name: "licence-buy".to_string(),
        effect: Effect::Keyed,
        share: 0.3,
        value: 5.0,
        late_share: 0.2,
        work: Duration::from_millis(30),
        call_probability: 1.0,
        degraded_share: 0.0,
        latency_target: Duration::from_millis(800),
        deadline: Duration::from_secs(2),
        dedup_window: Duration::from_secs(6),
        memory_kb: 20.0,
        body_length: 300,
    }
}

fn default_callers() -> Callers {
    Callers {
        rate: 200.0,
        edges: 4,
        policy: CallerPolicy {
            server_choice: ServerChoice::LeastOpenCalls,
            max_attempts: 4,
            attempt_timeout: Some(Duration::from_millis(600)),
            follows_advice: true,
            retry_budget: 0.5,
            health_check_interval: Some(Duration::from_secs(1)),
            max_connections: 2,
            idle_timeout: Duration::from_secs(10),
            cancel_probability: 0.01,
            split_write_delay: None,
            connection_usage: ConnectionUsage::WhileListed,
            retries_keyed_after_failure: false,
        },
        membership_lag: Duration::from_secs(1),
        membership_refresh: Duration::from_millis(500),
    }
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "unnamed".to_string(),
            seed: 1,
            span: Duration::from_secs(6),
            fleet: default_fleet(),
            classes: vec![default_class(), default_keyed_class()],
            callers: default_callers(),
            index: IndexSettings {
                slots: 64.0,
                limit: 128.0,
                call_duration: Duration::from_millis(10),
                cold_slowdown: 4.0,
                calls_to_warm: 400,
            },
            membership_capacity: 400.0,
            versioned_config: None,
            start: StartConfig::default(),
            from_start: false,
            timeline: Vec::new(),
            bounds: Bounds::default(),
            injected_violation: None,
        }
    }
}
