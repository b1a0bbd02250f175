//! The data of a scenario, apart from its timeline and bounds.

use super::bounds::Bounds;
use super::timeline::{Step, Target};
use crate::edge_nodes::CallerPolicy;
use crate::ids::ServerNo;
use crate::index_stub::IndexSettings;
use crate::invariant_checker::Effect;
use crate::random::RandomStream;
use aldercrank_service_config::Start;
use std::time::Duration;

/// The servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// How many there are.
    pub servers: usize,
    /// Zones, to which the servers belong in turn.
    pub zones: usize,
    /// Cores of each worker pool.
    pub cores: f64,
    /// The memory that admission may reserve on a server.
    pub admission_memory_kb: f64,
    /// Worker pools are cold at the start of the run.
    pub starts_cold: bool,
    /// The share of full speed at which a cold pool starts.
    pub cold_speed: f64,
    /// How long a cold pool is said to take to warm up.
    pub warm_up: Duration,
    /// How many times as long it takes in fact.
    pub warm_up_factor: f64,
    /// From the request to shut down until the process must have exited.
    pub stop_timeout: Duration,
    /// How long after the request to shut down a server may still take requests.
    pub drain_grace: Duration,
    /// How long after its deadline a request may be answered.
    pub answer_slack: Duration,
    /// The process's memory limit.
    pub process_memory_mb: f64,
    /// The process's descriptor limit.
    pub max_sockets: usize,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name on the wire.
    pub name: String,
    /// What a further run does.
    pub effect: Effect,
    /// Its share of all requests, relative to the other classes.
    pub share: f64,
    /// The priority weight: what a request that is completed in time is worth.
    pub value: f64,
    /// The share of the value that remains after the latency target.
    pub late_share: f64,
    /// The mean work of a run.
    pub work: Duration,
    /// The probability that a run makes a call to the index.
    pub call_probability: f64,
    /// The share of the value of a result that was made without its call.
    pub degraded_share: f64,
    /// From the arrival of a request.
    pub latency_target: Duration,
    /// From the arrival of a request.
    pub deadline: Duration,
    /// How long further attempts with an idempotency key must not run again.
    pub dedup_window: Duration,
    /// The memory that a request declares.
    pub memory_kb: f64,
    /// The length of a body in bytes.
    pub body_length: usize,
}

/// The versioned configuration on which the servers agree.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedConfigSettings {
    /// The first so many servers are the committee.
    pub committee: usize,
    /// How far apart contradicting decisions may be.
    pub decision_bound: Duration,
    /// How long a server acts by its version without contact to the committee.
    pub alone_for: Duration,
    /// Whether servers have a directory for their durable state.
    pub has_disks: bool,
    /// Items of the first version beside the classes' effects and windows: `CLASS.ITEM=VALUE`, `shares.ZONE=N`,
    /// separated by spaces.
    pub initial_items: String,
}

/// Callers and edge nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Callers {
    /// Requests a second, in all.
    pub rate: f64,
    /// Edge nodes.
    pub edges: usize,
    /// How they behave.
    pub policy: CallerPolicy,
    /// How late edge nodes see the membership.
    pub membership_lag: Duration,
    /// How often edge nodes read the membership.
    pub membership_refresh: Duration,
}

/// A violation that the test cluster injects, to show that the checker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedViolation {
    /// A response is dropped.
    LoseAnswer,
    /// A run is reported twice.
    DoubleRun,
    /// Requests to shut down are reported as if they had come long before.
    LateStart,
    /// The maker of a result is changed.
    SwapResult,
    /// The limit of the index is reported as zero.
    Overrun,
    /// A response is sent twice.
    DoubleAnswer,
    /// A response on a connection that the server closes is dropped.
    LoseLastAnswer,
    /// A server is not sent SIGTERM, and counts as asked to shut down.
    IgnoreTerm,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// How long requests arrive.
    pub span: Duration,
    /// The servers.
    pub fleet: Fleet,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// Callers and edge nodes.
    pub callers: Callers,
    /// The index.
    pub index: IndexSettings,
    /// Load reports that the membership service can take in a second.
    pub membership_capacity: f64,
    /// The versioned configuration, if the servers have one.
    pub versioned_config: Option<VersionedConfigSettings>,
    /// How servers start, by their service file.
    pub start: Start,
    /// Callers and timeline begin with the first start, not once all servers are listed.
    pub from_start: bool,
    /// The faults.
    pub timeline: Vec<Step>,
    /// What must hold.
    pub bounds: Bounds,
    /// The injected violation, if any.
    pub injected_violation: Option<InjectedViolation>,
}

impl Scenario {
    /// The servers that the step of this index affects, in the order in which it does.
    pub fn reached(&self, number: usize) -> Vec<ServerNo> {
        let all: Vec<ServerNo> = (0..self.fleet.servers).map(|n| ServerNo(n as u16)).collect();
        match &self.timeline[number].target {
            Target::All => all,
            Target::Server(server) => vec![*server],
            Target::Share(share) => {
                let count = (all.len() as f64 * share).round() as usize;
                RandomStream::of(self.seed, &format!("step {number}")).sample(&all, count.max(1))
            }
            Target::Zone(zone) => {
                all.into_iter().filter(|server| server.0 as usize % self.fleet.zones == *zone).collect()
            }
        }
    }

    /// The same scenario without faults, and so without bounds.
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

/// The name of the zone of this index: `a` for 0 and so on.
pub fn zone_name(zone: usize) -> String {
    char::from(b'a' + (zone % 26) as u8).to_string()
}
