//! The state of a test cluster during a run.

use crate::config::ServerAddresses;
use crate::config_store_stub::ConfigStoreStub;
use crate::edge_nodes::EdgeNodes;
use crate::ids::{ConnNo, Incarnation, RemoteEndpoint, ServerNo};
use crate::index_stub::IndexStub;
use crate::process::{Process, Program};
use crate::random::RandomStream;
use crate::run_record::MembershipLoad;
use crate::scenario::{Scenario, VersionedConfigSettings};
use crate::sockets::ListenerId;
use crate::testbed::{RelayId, Testbed};
use crate::version_checker::VersionChecker;
use crate::worker_pool_stub::WorkerPoolStub;
use aldercrank_protocol::worker_pool::AttemptId;
use aldercrank_versioned_config::VersionedConfig;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The program under test.
    pub program: Program,
    /// Where configurations, logs and the record are written. It is created, and removed unless `keep` is set.
    pub dir: PathBuf,
    /// Keeps `dir`, and records a trace in it.
    pub keep: bool,
    /// Writes a line of figures to standard error each second.
    pub verbose: bool,
}

/// A run of a scenario.
pub struct TestCluster<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) options: &'a RunOptions,
    pub(super) testbed: Testbed,
    pub(super) edges: EdgeNodes,
    pub(super) servers: Vec<ServerState>,
    pub(super) index: IndexStub,
    /// Bytes received on connections to stub services that are not a complete message yet.
    pub(super) inputs: HashMap<ConnNo, Vec<u8>>,
    pub(super) arrivals: RandomStream,
    /// Requests per second.
    pub(super) arrival_rate: f64,
    /// When the next request is due. Arrivals follow their own schedule, however late an iteration of the event loop
    /// is.
    pub(super) next_arrival: Duration,
    pub(super) started: Instant,
    /// The index's open call seconds at the last sample.
    pub(super) index_call_seconds: f64,
    /// Whether requests arrive.
    pub(super) callers_active: bool,
    /// Whether the run is over, so that no process is started any more.
    pub(super) is_over: bool,
    /// How much longer than `ITERATION_ALLOWANCE` the iterations of the event loop took, summed over the run.
    pub(super) iteration_overrun: Duration,
    pub(super) totals: RunTotals,
    /// The steps of the timeline that have begun: their begin and end in seconds since the callers began, and their
    /// text.
    pub(super) faults: Vec<(f64, f64, String)>,
    /// Whether the scenario's injected violation has happened.
    pub(super) violation_injected: bool,
    /// Servers that were killed in this iteration of the event loop. What is sent to them before the ends of their
    /// connections are read is lost.
    pub(super) killed_this_iteration: Vec<KilledServer>,
    /// The IP address on which the test cluster listens.
    pub(super) listen_ip: String,
    /// The versioned configuration, where the scenario has one.
    pub(super) versions: Option<ConfigVersions>,
}

/// A server that was killed.
pub(super) struct KilledServer {
    pub(super) server: ServerNo,
    pub(super) at: Duration,
}

/// A server of a test cluster.
pub(super) struct ServerState {
    pub(super) addresses: ServerAddresses,
    pub(super) process: Option<Process>,
    pub(super) pool: WorkerPoolStub,
    /// The server's current link to its pool.
    pub(super) link: Option<ConnNo>,
    /// The listeners of the stub services for this server.
    pub(super) listeners: BTreeMap<RemoteEndpoint, ListenerId>,
    pub(super) incarnation: Incarnation,
    /// Whether it was asked to shut down.
    pub(super) draining: bool,
    /// Whether the test cluster killed it.
    pub(super) killed: bool,
    /// Whether it is paused by SIGSTOP.
    pub(super) paused: bool,
    /// Whether it is started again after its exit.
    pub(super) restarts: bool,
    /// The share of its runs that fail.
    pub(super) failing_share: f64,
    /// Call results that were delivered to open runs.
    pub(super) call_results: HashMap<AttemptId, Vec<u8>>,
    /// The pool's run seconds at the last check of limits.
    pub(super) run_seconds: f64,
    /// How long its process has waited for a core so far.
    pub(super) waited: Duration,
}

/// The state of a run with a versioned configuration.
pub(super) struct ConfigVersions {
    pub(super) settings: VersionedConfigSettings,
    /// The newest version that was published.
    pub(super) newest: VersionedConfig,
    /// The highest version number used so far.
    pub(super) last_number: u64,
    pub(super) store: ConfigStoreStub,
    pub(super) checker: VersionChecker,
    /// The other half of each relayed connection.
    pub(super) relay_partners: HashMap<ConnNo, ConnNo>,
    /// The address of each relay, at which a server reaches a committee member.
    pub(super) relay_addresses: HashMap<RelayId, SocketAddr>,
    /// Messages between servers so far.
    pub(super) peer_messages: u64,
    /// How many of its alternatives each step has taken so far, by the index of the step.
    pub(super) alternatives_used: HashMap<usize, usize>,
}

/// Totals and maxima of a run.
#[derive(Default)]
pub(super) struct RunTotals {
    pub(super) peak_memory_kb: u64,
    pub(super) descriptors: usize,
    pub(super) starts: u32,
    /// The time until all servers were listed and linked to their pools for the first time.
    pub(super) start_duration: Duration,
    pub(super) membership_load: MembershipLoad,
    /// The servers that are listed.
    pub(super) listed: BTreeSet<ServerNo>,
    /// CPU time of the test cluster while requests arrived.
    pub(super) cluster_cpu: Duration,
    /// CPU time of the servers' processes while requests arrived.
    pub(super) servers_cpu: Duration,
}

impl TestCluster<'_> {
    /// Time since the start of the run.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn server(&mut self, server: ServerNo) -> &mut ServerState {
        &mut self.servers[server.0 as usize]
    }

    pub(super) fn server_numbers(&self) -> impl Iterator<Item = ServerNo> {
        (0..self.servers.len()).map(|n| ServerNo(n as u16))
    }

    /// When the callers began.
    pub(super) fn callers_began(&self) -> Duration {
        self.testbed.record.begun.unwrap_or_default()
    }
}

/// The path of a new directory for one run, in the system's directory for temporary files. The directory is not
/// created.
pub fn run_dir(label: &str) -> PathBuf {
    static RUNS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let run = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    std::env::temp_dir().join(format!("aldercrank-fleet-{}-{run}-{label}", std::process::id()))
}
