//! Plays a scenario: starts the processes, stands in for all that they speak to, does to them what the timeline
//! says, and has the checker look on. One thread, one wait, one clock.

mod edge_host;
mod faults;
mod hear;
mod look;
mod start;
mod versions;

use crate::config::{self, Places};
use crate::edge_nodes::{self, EdgeNodes};
use crate::ids::{ClassNo, ConnNo, EdgeNo, Incarnation, RemoteEndpoint, RequestNo, ServerNo};
use crate::index_stub::{EndedCall, IndexAnswer, IndexState, IndexStub};
use crate::invariant_checker::{
    self, CallOutcome, CheckedClass, CheckerSettings, ConnectionEnd, InvariantChecker, ProcessExit, Rule,
    RunStart,
};
use crate::membership_stub::{self, MembershipState, MembershipStub, ReportAnswer};
use crate::process::{self, Process, Program};
use crate::random::{fnv1a_hash, RandomStream};
use crate::relayed_link::Corruption;
use crate::run_record::{ListLoad, Outcome, RunRecord};
use crate::scenario::{Fault, InjectedViolation, Scenario};
use crate::sockets::{Event, Got, PortNo};
use crate::testbed::{ConnectionOwner, LinkId, ReleaseAction, Testbed, Timer};
use crate::worker_pool_stub::{Cores, RunPlan, WorkerPoolHost, WorkerPoolStub};
use aldercrank_protocol::http;
use aldercrank_protocol::worker_pool::{AttemptId, RunEnd};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long a fleet has to come up, however slow its machine is made.
const READY: Duration = Duration::from_secs(60);
/// How often ends of processes are looked for, noise is sampled, and sizes are looked at.
const LOOK: Duration = Duration::from_millis(100);
const SIZES: Duration = Duration::from_secs(1);
/// Between the end of a process that was told to leave and its next start.
const AGAIN: Duration = Duration::from_millis(100);
/// A process that was started at the end has so long to come up before it is told to leave.
const YOUNG: Duration = Duration::from_secs(2);
/// A start, and each change, has so long to settle.
const LATER: Duration = Duration::from_secs(5);
/// After the last caller, what is open may take so much longer than the longest expiry.
const REST: Duration = Duration::from_secs(2);
/// A turn of the rig beyond this counts as noise.
const TURN: Duration = Duration::from_millis(5);
/// The share of its last level at which a fleet counts as started; and the fewest txns a server and second that tell
/// whether one has more than others.
const STEADY: f64 = 0.9;
const FEW: f64 = 20.0;
/// Something is broken on purpose no sooner than this.
const SABOTAGE: Duration = Duration::from_millis(1500);

struct Server {
    places: Places,
    process: Option<Process>,
    pool: WorkerPoolStub,
    link: Option<ConnNo>,
    ports: BTreeMap<RemoteEndpoint, PortNo>,
    incarnation: Incarnation,
    leaving: bool,
    /// Killed by the rig: its end is no news.
    killed: bool,
    stopped: bool,
    again: bool,
    errs: f64,
    replies: HashMap<AttemptId, Vec<u8>>,
    crowd: f64,
    waited: Duration,
}

/// How a run is to be played.
#[derive(Clone, Debug)]
pub struct RunOptions {
    pub program: Program,
    /// Where configurations, logs and the record go; it is made, and removed unless it is to be kept.
    pub dir: PathBuf,
    pub keep: bool,
    /// A line of figures a second on standard error.
    pub verbose: bool,
}

pub struct TestCluster<'a> {
    scenario: &'a Scenario,
    play: &'a RunOptions,
    testbed: Testbed,
    edges: EdgeNodes,
    servers: Vec<Server>,
    index: IndexStub,
    inputs: HashMap<ConnNo, Vec<u8>>,
    arrivals: RandomStream,
    rate: f64,
    /// When the next caller is due: an open loop goes by its own clock, however late a turn is.
    due: Duration,
    zero: Instant,
    clock_held: f64,
    callers: bool,
    /// The run is over: nothing is started any more.
    over: bool,
    turns: Duration,
    outcome: Sizes,
    faults: Vec<(f64, f64, String)>,
    broken_on_purpose: bool,
    /// Killed in this turn: what is said to them until the ends of their connections are read is said in vain.
    just_killed: Vec<(ServerNo, Duration)>,
    ip: String,
    rules: Option<versions::Rules>,
}

#[derive(Default)]
struct Sizes {
    memory: u64,
    descriptors: usize,
    starts: u32,
    start: Duration,
    list: ListLoad,
    listed: BTreeSet<ServerNo>,
    rig_cpu: Duration,
    /// What the servers' processes took on a core while callers came.
    servers_cpu: Duration,
}

/// A server's pool asks its host: what the run is, what its call carries, what its result is.
struct Host<'a> {
    testbed: &'a mut Testbed,
    scenario: &'a Scenario,
    server: ServerNo,
    incarnation: Incarnation,
    errs: f64,
    replies: &'a mut HashMap<AttemptId, Vec<u8>>,
    now: Duration,
    double: bool,
}

impl Host<'_> {
    /// A txn's work, whether its run makes a call, and where it stands among those that err: the same for all
    /// its tries.
    fn job(&self, request: RequestNo, class: ClassNo) -> (Duration, bool, f64) {
        let plan = &self.scenario.classes[class.0 as usize];
        let mut draw = RandomStream::of(self.scenario.seed, &format!("work {}", request.0));
        (plan.work.mul_f64(0.5 + draw.unit()), draw.chance(plan.calls), draw.unit())
    }
}

impl WorkerPoolHost for Host<'_> {
    fn plan_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]) -> Option<RunPlan> {
        let (now, server) = (self.now, self.server);
        let body = fnv1a_hash(body);
        let checker = &mut self.testbed.checker;
        let run = RunStart { server, incarnation: self.incarnation, attempt, class, body_hash: body };
        let known = checker.run_started(now, run);
        let request = checker.attempt(attempt).map(|t| (t.request, t.class, t.idempotency_key));
        self.testbed.record.note(now, request.map(|t| t.0), Some(server), || {
            format!("told to run {attempt}, known: {known}")
        });
        let (request, number, token) = request.filter(|_| known)?;
        if token.is_some() && std::mem::take(&mut self.double) {
            self.testbed.checker.run_started(now, run);
        }
        let (work, calls, err) = self.job(request, number);
        Some(RunPlan { work, makes_call: calls, fails: err < self.errs })
    }

    fn call_body(&mut self, attempt: AttemptId) -> Vec<u8> {
        format!("for {attempt}").into_bytes()
    }

    fn call_result_delivered(&mut self, attempt: AttemptId, reply: &[u8]) {
        if reply != found(&attempt.to_string()) {
            let what = "a run was given the reply to another call, or one changed";
            self.testbed.checker.record_violation(
                self.now,
                Rule::Mixed,
                Some(attempt),
                Some(self.server),
                what,
            );
        }
        self.replies.insert(attempt, reply.to_vec());
    }

    fn run_ended(&mut self, attempt: AttemptId, end: RunEnd) -> Vec<u8> {
        let reply = self.replies.remove(&attempt);
        self.testbed.checker.run_ended(attempt, end);
        let request = self.testbed.checker.attempt(attempt).map(|t| (t.request, t.class));
        self.testbed.record.note(self.now, request.map(|t| t.0), Some(self.server), || {
            format!("the run of {attempt} ended: {end:?}")
        });
        let left_out = reply.is_none() && request.is_some_and(|(request, class)| self.job(request, class).1);
        let call = match &reply {
            Some(reply) => CallOutcome::Answered(reply),
            None if left_out => CallOutcome::Skipped,
            None => CallOutcome::NotNeeded,
        };
        match end {
            RunEnd::Ok => invariant_checker::run_result(attempt, call),
            _ => Vec::new(),
        }
    }
}

/// A place where nobody listens, nor has: a child that another thread starts holds what is open here for a moment,
/// and a listener in it would keep the server from listening.
fn free(ip: &str) -> io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    let at: std::net::SocketAddr = format!("{ip}:0").parse().map_err(io::Error::other)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

fn place(of: &socket2::Socket) -> io::Result<std::net::SocketAddr> {
    of.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address of IPv4"))
}

/// Whether this process may open what the scenario needs, before anything is started.
fn enough_descriptors(scenario: &Scenario) -> io::Result<()> {
    let (servers, callers) = (scenario.fleet.servers as u64, &scenario.callers);
    // Of a server: three listeners, its link, its calls and reports; and what edge nodes may have open to it.
    let edges = callers.edges as u64 * (callers.policy.max_connections as u64 + 1);
    let needed = servers * (3 + 1 + 3 + edges) + scenario.index.limit as u64 + 32;
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    if needed > allowed {
        return Err(io::Error::other(format!(
            "{servers} servers and {} edge nodes may need {needed} descriptors, and {allowed} are allowed: fewer of \
             either, fewer connections, or a higher limit (ulimit -n)",
            callers.edges
        )));
    }
    Ok(())
}

/// What the index answers: for each txn another.
fn found(attempt: &str) -> Vec<u8> {
    format!("found for {attempt}").into_bytes()
}

/// Two loopback addresses that no other rig of this machine uses: where the rig listens, and where servers do. On
/// one alone, a port that was found free for a server could be given to the rig before the server comes.
fn addresses() -> (String, String) {
    static RUNS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let run = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 250 + 1;
    // Twenty-five thousand ids on each half of what loopback has, from 127.20 and from 127.130 on.
    let pid = std::process::id() % 25_000;
    let at = |half: u32| format!("127.{}.{}.{run}", half + pid / 250, 1 + pid % 250);
    (at(20), at(130))
}

impl<'a> TestCluster<'a> {
    /// Plays it whole. Nothing is left running, whatever comes of it.
    pub fn play(scenario: &'a Scenario, play: &'a RunOptions) -> io::Result<Outcome> {
        std::fs::create_dir_all(&play.dir)?;
        let outcome = TestCluster::prepare(scenario, play).and_then(|mut cluster| {
            cluster.start_all()?;
            if scenario.from_start {
                cluster.begin_looking();
            } else {
                cluster.come_up()?;
            }
            cluster.run()?;
            cluster.leave()?;
            cluster.finish()
        });
        if !play.keep {
            let _ = std::fs::remove_dir_all(&play.dir);
        }
        outcome
    }

    fn now(&self) -> Duration {
        self.zero.elapsed()
    }

    fn begin_looking(&mut self) {
        let now = self.now();
        self.testbed.set_timer(now + LOOK, Timer::SampleProcesses);
        self.testbed.set_timer(now + SIZES, Timer::CheckLimits);
    }

    /// The callers come, and the timeline goes on, until the scenario's span is over.
    fn run(&mut self) -> io::Result<()> {
        let own = process::on_core("/proc/thread-self/schedstat").0;
        let theirs = self.servers_on_core();
        // Edge nodes see the list late; they begin with those that stand in it.
        let lag = if self.scenario.from_start { Duration::ZERO } else { self.scenario.callers.lag };
        let began = self.now() + lag;
        while self.now() < began {
            self.turn()?;
        }
        let now = self.now();
        self.testbed.record.begun = Some(now);
        self.edges.start(now, &mut self.testbed);
        for step in 0..self.scenario.timeline.len() {
            let plan = &self.scenario.timeline[step];
            for (place, server) in self.scenario.reached(step).into_iter().enumerate() {
                if plan.fault_is_shared() && place > 0 {
                    break;
                }
                let at = now + plan.at + plan.each * place as u32;
                self.testbed.set_timer(at, Timer::BeginStep(step, server));
            }
        }
        (self.callers, self.due) = (true, now);
        self.testbed.set_timer(now, Timer::NextArrival);
        let end = now + self.scenario.span;
        while self.now() < end {
            self.turn()?;
        }
        self.callers = false;
        self.outcome.servers_cpu = self.servers_on_core().saturating_sub(theirs);
        let list = &self.testbed.membership;
        let (first, later) =
            (list.connection_peaks(Duration::ZERO, end), list.connection_peaks(now + LATER, end));
        self.outcome.list.connections = list.connections.len() as u64;
        self.outcome.list.refused = list.reports.iter().filter(|report| !report.accepted).count() as u64;
        self.outcome.list.parts = self.testbed.record.seconds.iter().map(|s| s.parts).sum();
        (self.outcome.list.most_tenth, self.outcome.list.most_second) = (first.per_tenth, first.per_second);
        (self.outcome.list.later_tenth, self.outcome.list.later_second) = (later.per_tenth, later.per_second);
        let longest = self.scenario.classes.iter().map(|p| p.deadline).max().unwrap_or_default();
        let rest = end + longest + REST;
        while self.now() < rest
            && (self.edges.open_requests() > 0 || self.testbed.checker.open_attempts() > 0)
        {
            self.turn()?;
        }
        self.outcome.rig_cpu = process::on_core("/proc/thread-self/schedstat").0.saturating_sub(own);
        Ok(())
    }

    /// What the servers' processes have taken on a core so far.
    fn servers_on_core(&self) -> Duration {
        let processes = self.servers.iter().filter_map(|s| s.process.as_ref());
        processes.map(|p| process::waited(p.pid()).0).sum()
    }

    /// All are told to leave; what does not end in its time is a broken rule, and is ended.
    fn leave(&mut self) -> io::Result<()> {
        self.over = true;
        // One that has just been started does not know yet what a notice to leave is.
        let young = self.now() + YOUNG;
        while self.now() < young && self.servers.iter().any(|s| s.process.is_some() && s.link.is_none()) {
            self.turn()?;
        }
        let now = self.now();
        for n in 0..self.servers.len() {
            let number = ServerNo(n as u16);
            self.undo_stop(now, number);
            self.servers[n].again = false;
            self.tell_to_leave(now, number);
        }
        let end = now + self.scenario.fleet.stop + Duration::from_secs(3);
        while self.now() < end && self.servers.iter().any(|s| s.process.is_some()) {
            self.turn()?;
        }
        let now = self.now();
        for n in 0..self.servers.len() {
            if let Some(mut process) = self.servers[n].process.take() {
                process.kill();
                let what = "it did not end when it was told to";
                self.testbed.checker.record_violation(now, Rule::Drain, None, Some(ServerNo(n as u16)), what);
            }
        }
        Ok(())
    }

    fn finish(&mut self) -> io::Result<Outcome> {
        let now = self.now();
        self.check_versions();
        self.testbed.checker.finish(now);
        if self.play.keep {
            self.write_record()?;
        }
        let agree = self.rules.as_mut().map(|rules| {
            for violation in std::mem::take(&mut rules.version_checker.violations) {
                let server = Some(violation.server);
                self.testbed.checker.record_violation(
                    violation.at,
                    Rule::Fence,
                    None,
                    server,
                    violation.what,
                );
            }
            let mut figures = rules.version_checker.finish();
            (figures.words, figures.reads) = (rules.words, rules.config_store.reads);
            figures.read_bytes = rules.config_store.read_bytes;
            figures
        });
        let book = &self.testbed.record;
        let (rig_memory_kb, _) = process::size(std::process::id());
        let waited = process::on_core("/proc/thread-self/schedstat").1;
        Ok(Outcome {
            scenario: self.scenario.name.clone(),
            seed: self.scenario.seed,
            servers: self.servers.len(),
            span_s: self.scenario.span.as_secs_f64(),
            value: book.value(),
            inquiry: book.inquiry(),
            classes: book.by_class(),
            ends: book.ends.clone(),
            poorer: book.poorer,
            p50_ms: book.quantile(0.5),
            p99_ms: book.quantile(0.99),
            counts: self.testbed.checker.counts,
            broken: self.testbed.checker.violations.clone(),
            list: self.outcome.list,
            index_most: self.index.most_open_calls,
            memory_kb: self.outcome.memory,
            descriptors: self.outcome.descriptors,
            starts: self.outcome.starts,
            start_s: self.outcome.start.as_secs_f64(),
            rig_cpu_s: self.outcome.rig_cpu.as_secs_f64(),
            rig_memory_kb,
            rig_waited_s: waited.as_secs_f64(),
            seconds: book.seconds.clone(),
            faults: self.faults.clone(),
            index_collapses: self.index.overload().collapses,
            index_slowest: self.index.overload().worst_slowdown,
            steady_s: book.steady(STEADY),
            least_steady_s: self.least_steady(),
            crowded: self.crowded(),
            agree,
            by_server: self
                .testbed
                .checker
                .idempotent_by_server
                .iter()
                .map(|counts| (counts.attempts, counts.completed))
                .collect(),
            servers_cpu_s: self.outcome.servers_cpu.as_secs_f64(),
        })
    }

    /// The soonest that all could be listed and seen by edge nodes, and the index warm.
    fn least_steady(&self) -> f64 {
        let (s, index) = (self.scenario, &self.scenario.index);
        let listed = s.fleet.servers as f64 / s.list_capacity + s.callers.lag.as_secs_f64();
        let each = index.call_duration.as_secs_f64() * (1.0 + index.cold_slowdown) / 2.0;
        let by_calls = f64::from(index.warming) * each / index.slots;
        // It warms no sooner than calls come.
        let calls: f64 = s.classes.iter().map(|p| p.share * p.calls).sum::<f64>() * s.callers.rate;
        let warm = by_calls.max(f64::from(index.warming) / calls.max(1e-6));
        listed.max(if s.timeline.iter().any(|t| t.fault == Fault::IndexCold) { warm } else { 0.0 })
    }

    /// The most that one server settled in a second, in times the mean of those that settled any; seconds with few
    /// for each say nothing.
    fn crowded(&self) -> f64 {
        let mut seconds: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
        for ((second, _), many) in &self.testbed.checker.completed_in {
            seconds.entry(*second).or_default().push(*many);
        }
        let of = |all: &Vec<u32>| {
            let mean = f64::from(all.iter().sum::<u32>()) / all.len() as f64;
            let most = f64::from(all.iter().copied().max().unwrap_or_default());
            (mean >= FEW).then_some(most / mean)
        };
        seconds.values().filter_map(of).fold(0.0, f64::max)
    }

    fn write_record(&self) -> io::Result<()> {
        use std::io::Write;
        let begun = self.testbed.started_unix + self.testbed.record.begun.unwrap_or_default();
        std::fs::write(self.play.dir.join("begun"), begun.as_micros().to_string())?;
        let mut file = io::BufWriter::new(std::fs::File::create(self.play.dir.join("trace.jsonl"))?);
        for line in self.testbed.record.trace.iter().flatten() {
            serde_json::to_writer(&mut file, line)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }

    /// One turn: waits for what comes next, and carries it through.
    fn turn(&mut self) -> io::Result<()> {
        let now = self.now();
        let most = self.testbed.next_timer().map_or(LOOK, |at| at.saturating_sub(now)).min(LOOK);
        let mut events = std::mem::take(&mut self.testbed.events);
        events.clear();
        self.testbed.net.wait(most, &mut events)?;
        if self.testbed.net.full {
            // Nothing that is seen from here on would be the program's doing.
            return Err(io::Error::other(
                "the rig itself is out of descriptors: raise its limit (ulimit -n)",
            ));
        }
        let began = self.now();
        for (server, at) in std::mem::take(&mut self.just_killed) {
            self.testbed.checker.add_fault_span(server, at, began);
        }
        for event in events.drain(..) {
            let now = self.now();
            self.event(now, event);
        }
        self.testbed.events = events;
        while let Some(timer) = self.testbed.pop_due_timer(began) {
            self.timer(began, timer)?;
        }
        for (server, attempt) in std::mem::take(&mut self.testbed.finished_attempts) {
            self.with_pool(began, server, |pool, host| pool.request_over(began, attempt, host));
        }
        self.check_versions();
        self.testbed.net.flush();
        self.turns += self.now().saturating_sub(began).saturating_sub(TURN);
        Ok(())
    }

    fn timer(&mut self, now: Duration, timer: Timer) -> io::Result<()> {
        match timer {
            Timer::WorkerPool(server) => self.with_pool(now, server, |pool, host| pool.advance(now, host)),
            Timer::Index => {
                for EndedCall { conn, answer } in self.index.take_ended_calls(now) {
                    self.index_says(now, conn, answer);
                }
                self.index_wake();
            }
            Timer::MembershipService => {
                for conn in self.testbed.membership.take_due_answers(now) {
                    let mut bytes = Vec::new();
                    http::write_response(&mut bytes, 204, false, None, b"");
                    self.testbed.send_to_process(now, conn, &bytes);
                }
            }
            Timer::Edge(timer) => self.edges.on_timer(now, timer, &mut self.testbed),
            Timer::RelayedLink(conn) => self.release_queued(now, conn),
            Timer::NextArrival => self.arrive(now),
            Timer::BeginStep(step, server) => self.begin(now, step, server)?,
            Timer::EndStep(step, server) => self.end(now, step, server)?,
            Timer::SampleProcesses => {
                self.look(now)?;
                self.testbed.set_timer(now + LOOK, Timer::SampleProcesses);
            }
            Timer::CheckLimits => {
                self.sizes(now);
                self.testbed.set_timer(now + SIZES, Timer::CheckLimits);
            }
            Timer::StartServer(server) => self.start(server, true, false)?,
            Timer::ResetPoolLink(step, server) => self.pool_reset(now, step, server),
            Timer::ConfigReadTimeout => self.shelf_due(now),
            Timer::PublishVersion(step) => self.publish_again(now, step),
        }
        Ok(())
    }

    fn arrive(&mut self, now: Duration) {
        if !self.callers {
            return;
        }
        let edge = EdgeNo(self.arrivals.below(self.scenario.callers.edges) as u16);
        let sum: f64 = self.scenario.classes.iter().map(|p| p.share).sum();
        let mut at = self.arrivals.unit() * sum;
        let place = self.scenario.classes.iter().position(|p| {
            at -= p.share;
            at < 0.0
        });
        let class = place.unwrap_or(0);
        let rank = (self.arrivals.unit() * 0.999 + class as f64) / self.scenario.classes.len() as f64;
        let gap = self.arrivals.exponential() / self.rate.max(1e-6);
        self.testbed.record.came(now, class);
        self.edges.request_arrived(now, edge, ClassNo(class as u8), rank, &mut self.testbed);
        self.due += Duration::from_secs_f64(gap);
        self.testbed.set_timer(self.due, Timer::NextArrival);
    }
}

/// A directory of its own for one run.
pub fn run_dir(word: &str) -> PathBuf {
    static RUNS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let run = RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    std::env::temp_dir().join(format!("aldercrank-fleet-{}-{run}-{word}", std::process::id()))
}
