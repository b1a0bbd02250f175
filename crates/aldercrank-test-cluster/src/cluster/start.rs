//! Starts the fleet: its places, its processes, and each new life of one.

use super::*;

/// What the one rule of runs knows of a product: where versions change its effect or window, the mildest of them. The
/// checker of the rule book goes by the version of each run.
fn as_judged(scenario: &Scenario, p: &crate::scenario::RequestClass) -> CheckedClass {
    let sets = scenario.timeline.iter().filter_map(|step| match &step.fault {
        Fault::Publish(published) => Some(&published.set),
        _ => None,
    });
    let (mut effect, mut window) = (p.effect, p.window);
    for word in sets.flat_map(|set| set.split(['|', ' '])) {
        let Some((item, value)) = word.split_once('=') else { continue };
        if item == format!("{}.effect", p.name) {
            effect = invariant_checker::Effect::Idempotent;
        }
        if let Some(ms) = value.parse().ok().filter(|_| item == format!("{}.window-ms", p.name)) {
            window = window.min(Duration::from_millis(ms));
        }
    }
    CheckedClass { name: p.name.clone(), effect, dedup_window: window }
}

impl<'a> TestCluster<'a> {
    pub(super) fn prepare(scenario: &'a Scenario, play: &'a RunOptions) -> io::Result<TestCluster<'a>> {
        enough_descriptors(scenario)?;
        let (ip, servers_ip) = addresses();
        let classes: Vec<edge_nodes::RequestClass> = scenario
            .classes
            .iter()
            .map(|p| edge_nodes::RequestClass {
                name: p.name.clone(),
                effect: p.effect,
                value: p.value,
                late_share: p.late,
                degraded_share: p.without,
                latency_target: p.latency_target,
                deadline: p.deadline,
                memory_kb: p.memory_kb,
                body_length: p.body,
            })
            .collect();
        let terms = CheckerSettings {
            classes: scenario.classes.iter().map(|p| as_judged(scenario, p)).collect(),
            slack: scenario.fleet.slack,
            drain_grace: scenario.fleet.grace,
            stop_timeout: scenario.fleet.stop,
        };
        let book = RunRecord::new(classes.clone(), play.keep);
        let list = MembershipStub::new(scenario.list_capacity);
        let draw = RandomStream::of(scenario.seed, "links");
        let testbed = Testbed::new(
            InvariantChecker::new(terms),
            book,
            list,
            scenario.callers.lag,
            scenario.fleet.servers,
            draw,
        )?;
        let callers = &scenario.callers;
        let edges =
            EdgeNodes::new(callers.policy.clone(), classes, callers.edges, callers.learn, scenario.seed);
        let mut cluster = TestCluster {
            scenario,
            play,
            testbed,
            edges,
            servers: Vec::new(),
            index: IndexStub::new(scenario.index),
            inputs: HashMap::new(),
            arrivals: RandomStream::of(scenario.seed, "arrivals"),
            rate: scenario.callers.rate,
            due: Duration::ZERO,
            zero: Instant::now(),
            clock_held: 0.0,
            callers: false,
            over: false,
            turns: Duration::ZERO,
            outcome: Sizes::default(),
            faults: Vec::new(),
            broken_on_purpose: false,
            just_killed: Vec::new(),
            ip,
            rules: None,
        };
        // All are held until all are found, so that no two are the same.
        let held: Vec<socket2::Socket> =
            (0..scenario.fleet.servers).map(|_| free(&servers_ip)).collect::<io::Result<_>>()?;
        for (n, held) in held.iter().enumerate() {
            let server = cluster.server(ServerNo(n as u16), place(held)?)?;
            cluster.servers.push(server);
        }
        cluster.with_rules()?;
        Ok(cluster)
    }

    /// A server's places: what it is to listen on is free at this moment, and the address is ours alone.
    pub(super) fn server(&mut self, number: ServerNo, free: std::net::SocketAddr) -> io::Result<Server> {
        let mut ports = BTreeMap::new();
        let mut listen = |far: RemoteEndpoint, testbed: &mut Testbed| -> io::Result<std::net::SocketAddr> {
            let (port, addr) = testbed.net.listen(&self.ip)?;
            testbed.ports.insert(port, LinkId { server: number, remote: far });
            ports.insert(far, port);
            Ok(addr)
        };
        let (pool, index, list) = (
            listen(RemoteEndpoint::WorkerPool, &mut self.testbed)?,
            listen(RemoteEndpoint::Index, &mut self.testbed)?,
            listen(RemoteEndpoint::MembershipService, &mut self.testbed)?,
        );
        let places = Places { listen: free, pool, index, list };
        self.testbed.server_addresses.push(free);
        Ok(Server {
            places,
            process: None,
            pool: WorkerPoolStub::new(self.cores(), Duration::ZERO, self.scenario.fleet.cold, Duration::ZERO),
            link: None,
            ports,
            incarnation: Incarnation(0),
            leaving: false,
            killed: false,
            stopped: false,
            again: false,
            errs: 0.0,
            replies: HashMap::new(),
            crowd: 0.0,
            waited: Duration::ZERO,
        })
    }

    pub(super) fn cores(&self) -> Cores {
        let fleet = &self.scenario.fleet;
        let warm_up = fleet.warm_after.mul_f64(fleet.warms_times);
        Cores { count: fleet.cores, cold_speed: fleet.cold_from, warm_up }
    }

    pub(super) fn start_all(&mut self) -> io::Result<()> {
        for n in 0..self.servers.len() {
            self.start(ServerNo(n as u16), self.scenario.fleet.cold, false)?;
        }
        Ok(())
    }

    /// Starts a server: a new life, with a pool that knows nothing of the one before.
    pub(super) fn start(&mut self, number: ServerNo, cold: bool, bad: bool) -> io::Result<()> {
        if self.over {
            return Ok(());
        }
        let now = self.now();
        let cores = self.cores();
        let service = self.service_file(number)?.map(|file| file.to_string_lossy().into_owned());
        let server = &mut self.servers[number.0 as usize];
        server.incarnation.0 += 1;
        if let Some(link) = server.link.take() {
            self.testbed.close_after_queued(link);
        }
        server.pool = WorkerPoolStub::new(cores, now, cold, Duration::ZERO);
        (server.leaving, server.killed, server.stopped) = (false, false, false);
        (server.crowd, server.waited) = (0.0, Duration::ZERO);
        server.replies.clear();
        self.testbed.incarnations[number.0 as usize] = server.incarnation;
        let config = self.play.dir.join(format!("{number}.json"));
        let mut text = config::config(self.scenario, number, cold, &server.places);
        if bad {
            text["listen"] = "nowhere".into();
        }
        std::fs::write(&config, text.to_string())?;
        let log = self.play.dir.join(format!("{number}.{}.log", server.incarnation.0));
        let config = config.to_string_lossy();
        let mut args = vec!["serve", &*config];
        if let Some(service) = &service {
            args.extend(["--service", service]);
        }
        if self.play.keep {
            // What `why` reads of the servers' side.
            args.extend(["--json-log", "--log-txns"]);
        }
        server.process = Some(Process::start(&self.play.program, &args, &log)?);
        self.outcome.starts += 1;
        self.testbed.record.note(now, None, Some(number), || "started".to_string());
        Ok(())
    }

    /// Waits until all are listed and bound to their pools.
    pub(super) fn come_up(&mut self) -> io::Result<()> {
        self.begin_looking();
        loop {
            self.turn()?;
            let now = self.now();
            let ready = |n: usize, s: &Server| {
                s.link.is_some() && self.testbed.membership.is_listed(ServerNo(n as u16), now)
            };
            if self.servers.iter().enumerate().all(|(n, s)| ready(n, s)) {
                self.outcome.start = now;
                return Ok(());
            }
            if let Some(broken) = self.testbed.checker.violations.first() {
                let server = broken.server.clone().unwrap_or_default();
                let said = std::fs::read_to_string(self.play.dir.join(format!("{server}.1.log")));
                let last = said.unwrap_or_default().lines().last().unwrap_or_default().to_string();
                return Err(io::Error::other(format!(
                    "{server} did not start: {}; it said: {last}",
                    broken.what
                )));
            }
            if now > READY {
                return Err(io::Error::other(format!("the fleet is not listed whole after {READY:?}")));
            }
        }
    }
}
