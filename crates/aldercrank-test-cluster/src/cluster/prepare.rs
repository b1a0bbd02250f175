//! Prepares a run before anything is started: checks descriptor limits, chooses addresses, opens listeners.

use super::state::{RunOptions, RunTotals, ServerState, TestCluster};
use crate::config::ServerAddresses;
use crate::edge_nodes::{self, EdgeNodes};
use crate::ids::{Incarnation, RemoteEndpoint, ServerNo};
use crate::index_stub::IndexStub;
use crate::invariant_checker::{CheckedClass, CheckerSettings, Effect, InvariantChecker};
use crate::membership_stub::MembershipStub;
use crate::random::RandomStream;
use crate::run_record::RunRecord;
use crate::scenario::{Fault, RequestClass, Scenario};
use crate::sockets::OpenListener;
use crate::testbed::{LinkId, Testbed};
use crate::worker_pool_stub::{Cores, WorkerPoolStub};
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Descriptors that the test cluster needs per server: three listeners, the link to its pool, its calls and reports.
const DESCRIPTORS_PER_SERVER: u64 = 3 + 1 + 3;
/// Descriptors for files and the epoll set.
const SPARE_DESCRIPTORS: u64 = 32;

/// The loopback addresses of one run. The test cluster and the servers do not share one, since a port that was found
/// free for a server could then be assigned to a listener of the test cluster before the server is started.
struct RunAddresses {
    cluster: String,
    servers: String,
}

impl RunAddresses {
    /// Two addresses that no other test cluster on this machine uses, as long as their process ids differ modulo
    /// 25,000.
    fn next() -> RunAddresses {
        static RUNS: AtomicU32 = AtomicU32::new(1);
        let run = RUNS.fetch_add(1, Ordering::Relaxed) % 250 + 1;
        // 25,000 process ids fit into each of the two ranges of the loopback network, from 127.20 and from 127.130 on.
        let pid = std::process::id() % 25_000;
        let address = |range_start: u32| format!("127.{}.{}.{run}", range_start + pid / 250, 1 + pid % 250);
        RunAddresses { cluster: address(20), servers: address(130) }
    }
}

/// Binds a free port without listening. A child process that another thread starts at this moment inherits the socket;
/// if it listened, it would keep the server from listening.
fn reserve_port(ip: &str) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    let address: SocketAddr = format!("{ip}:0").parse().map_err(io::Error::other)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn local_address(socket: &Socket) -> io::Result<SocketAddr> {
    socket
        .local_addr()?
        .as_socket()
        .ok_or_else(|| io::Error::other("the reserved socket has no IPv4 address"))
}

/// Fails if this process may not open as many descriptors as the scenario needs.
fn check_descriptor_limit(scenario: &Scenario) -> io::Result<()> {
    let (servers, callers) = (scenario.fleet.servers as u64, &scenario.callers);
    let edge_connections = callers.edges as u64 * (callers.policy.max_connections as u64 + 1);
    let needed = servers * (DESCRIPTORS_PER_SERVER + edge_connections)
        + scenario.index.limit as u64
        + SPARE_DESCRIPTORS;
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    if needed > allowed {
        return Err(io::Error::other(format!(
            "{servers} servers and {} edge nodes may need {needed} file descriptors, but the limit is {allowed}: use \
             fewer servers, edge nodes or connections, or raise the limit (ulimit -n)",
            callers.edges
        )));
    }
    Ok(())
}

/// A class as the invariant checker sees it. If published versions change its effect or deduplication window, it gets
/// the least strict value; the version checker applies the values of the version by which each run was decided.
fn checked_class(scenario: &Scenario, class: &RequestClass) -> CheckedClass {
    let published = scenario.timeline.iter().filter_map(|step| match &step.fault {
        Fault::Publish(publication) => Some(&publication.items),
        _ => None,
    });
    let (mut effect, mut dedup_window) = (class.effect, class.dedup_window);
    for assignment in published.flat_map(|set| set.split(['|', ' '])) {
        let Some((item, value)) = assignment.split_once('=') else { continue };
        if item == format!("{}.effect", class.name) {
            effect = Effect::Idempotent;
        }
        if let Some(ms) = value.parse().ok().filter(|_| item == format!("{}.window-ms", class.name)) {
            dedup_window = dedup_window.min(Duration::from_millis(ms));
        }
    }
    CheckedClass { name: class.name.clone(), effect, dedup_window }
}

fn edge_node_class(class: &RequestClass) -> edge_nodes::RequestClass {
    edge_nodes::RequestClass {
        name: class.name.clone(),
        effect: class.effect,
        value: class.value,
        late_share: class.late_share,
        degraded_share: class.degraded_share,
        latency_target: class.latency_target,
        deadline: class.deadline,
        memory_kb: class.memory_kb,
        body_length: class.body_length,
    }
}

fn new_testbed(
    scenario: &Scenario,
    classes: Vec<edge_nodes::RequestClass>,
    records_trace: bool,
) -> io::Result<Testbed> {
    let settings = CheckerSettings {
        classes: scenario.classes.iter().map(|class| checked_class(scenario, class)).collect(),
        slack: scenario.fleet.answer_slack,
        drain_grace: scenario.fleet.drain_grace,
        stop_timeout: scenario.fleet.stop_timeout,
    };
    Testbed::new(
        InvariantChecker::new(settings),
        RunRecord::new(classes, records_trace),
        MembershipStub::new(scenario.membership_capacity),
        scenario.callers.membership_lag,
        scenario.fleet.servers,
        RandomStream::of(scenario.seed, "links"),
    )
}

impl<'a> TestCluster<'a> {
    /// A test cluster whose listeners are open and whose servers are not started.
    pub(super) fn prepare(scenario: &'a Scenario, options: &'a RunOptions) -> io::Result<TestCluster<'a>> {
        check_descriptor_limit(scenario)?;
        let addresses = RunAddresses::next();
        let classes: Vec<edge_nodes::RequestClass> = scenario.classes.iter().map(edge_node_class).collect();
        let testbed = new_testbed(scenario, classes.clone(), options.keep)?;
        let callers = &scenario.callers;
        let edges = EdgeNodes::new(
            callers.policy.clone(),
            classes,
            callers.edges,
            callers.membership_refresh,
            scenario.seed,
        );
        let mut cluster = TestCluster {
            scenario,
            options,
            testbed,
            edges,
            servers: Vec::new(),
            index: IndexStub::new(scenario.index),
            inputs: HashMap::new(),
            arrivals: RandomStream::of(scenario.seed, "arrivals"),
            arrival_rate: scenario.callers.rate,
            next_arrival: Duration::ZERO,
            started: Instant::now(),
            index_call_seconds: 0.0,
            callers_active: false,
            is_over: false,
            iteration_overrun: Duration::ZERO,
            totals: RunTotals::default(),
            faults: Vec::new(),
            violation_injected: false,
            killed_this_iteration: Vec::new(),
            listen_ip: addresses.cluster,
            versions: None,
        };
        // All ports stay reserved until each server has one, so that no two are the same.
        let reserved: Vec<Socket> = (0..scenario.fleet.servers)
            .map(|_| reserve_port(&addresses.servers))
            .collect::<io::Result<_>>()?;
        for (n, socket) in reserved.iter().enumerate() {
            let server = cluster.new_server(ServerNo(n as u16), local_address(socket)?)?;
            cluster.servers.push(server);
        }
        cluster.prepare_versions()?;
        Ok(cluster)
    }

    fn listen_for(&mut self, server: ServerNo, remote: RemoteEndpoint) -> io::Result<OpenListener> {
        let listener = self.testbed.sockets.listen(&self.listen_ip)?;
        self.testbed.listener_links.insert(listener.id, LinkId { server, remote });
        Ok(listener)
    }

    /// Opens the listeners of the stub services for a server that will listen on `listen`.
    fn new_server(&mut self, number: ServerNo, listen: SocketAddr) -> io::Result<ServerState> {
        let pool = self.listen_for(number, RemoteEndpoint::WorkerPool)?;
        let index = self.listen_for(number, RemoteEndpoint::Index)?;
        let membership = self.listen_for(number, RemoteEndpoint::MembershipService)?;
        self.testbed.server_addresses.push(listen);
        Ok(ServerState {
            addresses: ServerAddresses {
                listen,
                pool: pool.address,
                index: index.address,
                membership: membership.address,
            },
            process: None,
            pool: self.new_pool(Duration::ZERO, self.scenario.fleet.starts_cold, Duration::ZERO),
            link: None,
            listeners: BTreeMap::from([
                (RemoteEndpoint::WorkerPool, pool.id),
                (RemoteEndpoint::Index, index.id),
                (RemoteEndpoint::MembershipService, membership.id),
            ]),
            incarnation: Incarnation(0),
            draining: false,
            killed: false,
            paused: false,
            restarts: false,
            failing_share: 0.0,
            call_results: HashMap::new(),
            run_seconds: 0.0,
            waited: Duration::ZERO,
        })
    }

    /// A worker pool with the cores that the scenario gives each server.
    pub(super) fn new_pool(&self, now: Duration, cold: bool, start_delay: Duration) -> WorkerPoolStub {
        let fleet = &self.scenario.fleet;
        let warm_up = fleet.warm_up.mul_f64(fleet.warm_up_factor);
        let cores = Cores { count: fleet.cores, cold_speed: fleet.cold_speed, warm_up };
        WorkerPoolStub::new(cores, now, cold, start_delay)
    }
}
