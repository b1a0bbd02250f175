//! The parts of a scenario other than its timeline and bounds.

use super::bounds::Bounds;
use super::timeline::{Step, Target};
use crate::edge_nodes::CallerPolicy;
use crate::ids::ServerNo;
use crate::index_stub::IndexSettings;
use crate::invariant_checker::Effect;
use crate::random::RandomStream;
use aldercrank_service_config::StartConfig;
use std::time::Duration;

/// The servers of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The number of servers.
    pub servers: usize,
    /// The number of zones. Servers are assigned to zones round-robin.
    pub zones: usize,
    /// The number of cores of each worker pool.
    pub cores: f64,
    /// The memory that admission control of one server may reserve.
    pub admission_memory_kb: f64,
    /// Whether worker pools are cold at the start of the run.
    pub starts_cold: bool,
    /// The speed of a cold pool at its start, as a share of full speed.
    pub cold_speed: f64,
    /// The warm-up time of a cold pool that servers are configured with.
    pub warm_up: Duration,
    /// The actual warm-up time, as a multiple of the configured one.
    pub warm_up_factor: f64,
    /// How long after the request to shut down the process must have exited.
    pub stop_timeout: Duration,
    /// How long after the request to shut down a server may still accept requests.
    pub drain_grace: Duration,
    /// How long after its deadline a response may still arrive without being late.
    pub answer_slack: Duration,
    /// The memory limit of a server process.
    pub process_memory_mb: f64,
    /// The descriptor limit of a server process.
    pub max_sockets: usize,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name on the wire.
    pub name: String,
    /// The effect of running a request again.
    pub effect: Effect,
    /// The weight of the class in the mix of requests, relative to the other classes.
    pub share: f64,
    /// The priority weight: the value of a request that is completed within the latency target.
    pub value: f64,
    /// The share of the value that a request keeps if it is completed after the latency target.
    pub late_share: f64,
    /// The mean core time of a run at full speed.
    pub work: Duration,
    /// The probability that a run makes a call to the index.
    pub call_probability: f64,
    /// The share of the value that a request keeps if its run continued without the call.
    pub degraded_share: f64,
    /// The latency target, measured from the arrival of a request.
    pub latency_target: Duration,
    /// The deadline, measured from the arrival of a request.
    pub deadline: Duration,
    /// How long after an attempt further ones with its idempotency key must not run.
    pub dedup_window: Duration,
    /// The memory that a request declares that it needs.
    pub memory_kb: f64,
    /// The length of a request body in bytes.
    pub body_length: usize,
}

/// The settings of the versioned configuration on which the servers agree.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedConfigSettings {
    /// The number of committee members, which are the first servers.
    pub committee: usize,
    /// How long after a decision by one version another server may make a contradicting one by an older version.
    pub decision_bound: Duration,
    /// How long a server uses its version without contact to the committee.
    pub alone_for: Duration,
    /// Whether servers have a directory for durable state.
    pub has_disks: bool,
    /// Items of the first version in addition to the effects and deduplication windows of the classes:
    /// `CLASS.ITEM=VALUE` and `shares.ZONE=N`, separated by spaces.
    pub initial_items: String,
}

/// The callers and the edge nodes that send their requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Callers {
    /// Requests per second of all callers.
    pub rate: f64,
    /// The number of edge nodes.
    pub edges: usize,
    /// How callers and edge nodes behave.
    pub policy: CallerPolicy,
    /// The age of the membership that edge nodes read.
    pub membership_lag: Duration,
    /// How often edge nodes read the membership.
    pub membership_refresh: Duration,
}

/// A violation that the test cluster injects to verify that the checker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedViolation {
    /// A response is dropped.
    LoseAnswer,
    /// A run is reported twice.
    DoubleRun,
    /// Requests to shut down are reported with a time long before the actual one.
    LateStart,
    /// The attempt id in a result is replaced by another.
    SwapResult,
    /// The limit of the index is reported as zero.
    Overrun,
    /// A response is sent twice.
    DoubleAnswer,
    /// A response on a connection that the server closes is dropped.
    LoseLastAnswer,
    /// A server counts as asked to shut down but is not sent SIGTERM.
    IgnoreTerm,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The name in reports.
    pub name: String,
    /// The seed of all random number streams.
    pub seed: u64,
    /// How long callers send requests.
    pub span: Duration,
    /// The servers.
    pub fleet: Fleet,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// Callers and edge nodes.
    pub callers: Callers,
    /// The index.
    pub index: IndexSettings,
    /// Load reports per second that the membership service can process.
    pub membership_capacity: f64,
    /// The versioned configuration, if servers use one.
    pub versioned_config: Option<VersionedConfigSettings>,
    /// The start section of the servers' service file.
    pub start: StartConfig,
    /// Whether callers and timeline begin when the first server is started, instead of once all servers are listed.
    pub from_start: bool,
    /// The steps that inject faults.
    pub timeline: Vec<Step>,
    /// Bounds on the outcome.
    pub bounds: Bounds,
    /// The injected violation, if any.
    pub injected_violation: Option<InjectedViolation>,
}

impl Scenario {
    /// The servers that a step of the timeline affects, in the order in which it begins at them.
    pub fn reached(&self, step_index: usize) -> Vec<ServerNo> {
        let all: Vec<ServerNo> = (0..self.fleet.servers).map(|n| ServerNo(n as u16)).collect();
        match &self.timeline[step_index].target {
            Target::All => all,
            Target::Server(server) => vec![*server],
            Target::Share(share) => {
                let count = (all.len() as f64 * share).round() as usize;
                RandomStream::of(self.seed, &format!("step {step_index}")).sample(&all, count.max(1))
            }
            Target::Zone(zone) => {
                all.into_iter().filter(|server| server.0 as usize % self.fleet.zones == *zone).collect()
            }
        }
    }

    /// The same scenario without faults, for comparison. It has no bounds, since they apply to the run with faults.
    pub fn calm(&self) -> Scenario {
        let name = format!("{}, without faults", self.name);
        Scenario {
            name,
            timeline: Vec::new(),
            bounds: Bounds::default(),
            injected_violation: None,
            ..self.clone()
        }
    }
}

/// The name of a zone by its index: `a` for 0, `b` for 1, and so on.
pub fn zone_name(zone: usize) -> String {
    char::from(b'a' + (zone % 26) as u8).to_string()
}
