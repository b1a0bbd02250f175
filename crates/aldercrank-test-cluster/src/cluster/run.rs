//! The phases of a run, and its event loop.

use super::start::{PoolStart, StartConfig};
use super::state::{KilledServer, RunOptions, TestCluster};
use crate::ids::{ClassNo, EdgeNo};
use crate::index_stub::EndedCall;
use crate::invariant_checker::Rule;
use crate::process;
use crate::run_record::Outcome;
use crate::scenario::Scenario;
use crate::testbed::{FinishedAttempt, Timer};
use aldercrank_protocol::http;
use std::io;
use std::time::Duration;

/// How often exited processes are reaped and scheduling delay is sampled.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// How often limits are checked.
pub(super) const LIMITS_INTERVAL: Duration = Duration::from_secs(1);
/// How long a process that was started at the end of the run may take to link to its pool before it is asked to shut
/// down.
const LATE_START_ALLOWANCE: Duration = Duration::from_secs(2);
/// The load on the membership service is also counted separately from this time after the callers began.
const STABILIZATION_TIME: Duration = Duration::from_secs(5);
/// How much longer than the longest deadline the run waits for open requests after the last arrival.
const FINAL_ALLOWANCE: Duration = Duration::from_secs(2);
/// How long after the scenario's stop timeout processes that have not exited are killed.
const KILL_ALLOWANCE: Duration = Duration::from_secs(3);
/// The time by which an iteration of the event loop exceeds this counts as scheduling delay of the test cluster.
const ITERATION_ALLOWANCE: Duration = Duration::from_millis(5);

impl<'a> TestCluster<'a> {
    /// Runs a scenario. No process is left running, whatever the result.
    ///
    /// # Errors
    /// If files or sockets fail, this process has too few descriptors, or the servers do not start.
    pub fn run_scenario(scenario: &'a Scenario, options: &'a RunOptions) -> io::Result<Outcome> {
        std::fs::create_dir_all(&options.dir)?;
        let outcome = TestCluster::prepare(scenario, options).and_then(|mut cluster| {
            cluster.start_all()?;
            if scenario.from_start {
                cluster.start_sampling();
            } else {
                cluster.await_start()?;
            }
            cluster.run()?;
            cluster.shut_down()?;
            cluster.finish()
        });
        if !options.keep {
            let _ = std::fs::remove_dir_all(&options.dir);
        }
        outcome
    }

    pub(super) fn start_sampling(&mut self) {
        let now = self.now();
        self.testbed.set_timer(now + SAMPLE_INTERVAL, Timer::SampleProcesses);
        self.testbed.set_timer(now + LIMITS_INTERVAL, Timer::CheckLimits);
    }

    /// Runs the callers and the timeline until the scenario's span is over and all requests have ended.
    fn run(&mut self) -> io::Result<()> {
        let cluster_cpu = process::own_cpu_time().ran;
        let servers_cpu = self.servers_cpu_time();
        // Edge nodes see the membership with this lag. Waiting for it lets them begin with the servers that are listed
        // now.
        let lag =
            if self.scenario.from_start { Duration::ZERO } else { self.scenario.callers.membership_lag };
        self.run_until(self.now() + lag, |_| true)?;
        let began = self.now();
        self.begin_timeline(began);
        let end = began + self.scenario.span;
        self.run_until(end, |_| true)?;
        self.callers_active = false;
        self.totals.servers_cpu = self.servers_cpu_time().saturating_sub(servers_cpu);
        self.record_membership_load(began, end);
        let longest = self.scenario.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        self.run_until(end + longest + FINAL_ALLOWANCE, |cluster| {
            cluster.edges.open_requests() > 0 || cluster.testbed.checker.open_attempts() > 0
        })?;
        self.totals.cluster_cpu = process::own_cpu_time().ran.saturating_sub(cluster_cpu);
        Ok(())
    }

    /// Starts the callers, and sets the timers of the timeline's steps.
    fn begin_timeline(&mut self, now: Duration) {
        self.testbed.record.begun = Some(now);
        self.edges.start(now, &mut self.testbed);
        for (index, step) in self.scenario.timeline.iter().enumerate() {
            for (place, server) in self.scenario.reached(index).into_iter().enumerate() {
                if step.fault.is_shared() && place > 0 {
                    break;
                }
                let at = now + step.at + step.each * place as u32;
                self.testbed.set_timer(at, Timer::BeginStep(index, server));
            }
        }
        (self.callers_active, self.next_arrival) = (true, now);
        self.testbed.set_timer(now, Timer::NextArrival);
    }

    fn record_membership_load(&mut self, began: Duration, end: Duration) {
        let membership = &self.testbed.membership;
        let all = membership.connection_peaks(Duration::ZERO, end);
        let later = membership.connection_peaks(began + STABILIZATION_TIME, end);
        let load = &mut self.totals.membership_load;
        load.connections = membership.connections.len() as u64;
        load.rejected = membership.reports.iter().filter(|report| !report.accepted).count() as u64;
        load.parts = self.testbed.record.seconds.iter().map(|second| second.parts).sum();
        (load.most_tenth, load.most_second) = (all.per_tenth, all.per_second);
        (load.later_tenth, load.later_second) = (later.per_tenth, later.per_second);
    }

    /// CPU time of the servers' processes so far.
    fn servers_cpu_time(&self) -> Duration {
        let processes = self.servers.iter().filter_map(|server| server.process.as_ref());
        processes.map(|process| process::cpu_time(process.pid()).ran).sum()
    }

    /// Asks all servers to shut down; one that does not exit in time violates an invariant, and is killed.
    fn shut_down(&mut self) -> io::Result<()> {
        self.is_over = true;
        // A process that was just started does not handle SIGTERM yet.
        self.run_until(self.now() + LATE_START_ALLOWANCE, |cluster| {
            cluster.servers.iter().any(|server| server.process.is_some() && server.link.is_none())
        })?;
        let now = self.now();
        for number in self.server_numbers() {
            self.resume_paused(now, number);
            self.server(number).restarts = false;
            self.request_shutdown(now, number);
        }
        self.run_until(now + self.scenario.fleet.stop_timeout + KILL_ALLOWANCE, |cluster| {
            cluster.servers.iter().any(|server| server.process.is_some())
        })?;
        let now = self.now();
        for number in self.server_numbers() {
            if let Some(mut process) = self.server(number).process.take() {
                process.kill();
                let what = "the server did not exit in time after it was asked to shut down";
                self.testbed.checker.record_violation(now, Rule::Drain, None, Some(number), what);
            }
        }
        Ok(())
    }

    /// Runs the event loop until `end`, or until `keeps_running` returns false.
    fn run_until(&mut self, end: Duration, keeps_running: impl Fn(&Self) -> bool) -> io::Result<()> {
        while self.now() < end && keeps_running(self) {
            self.run_iteration()?;
        }
        Ok(())
    }

    /// One iteration of the event loop: waits for the next events and timers, and handles them.
    pub(super) fn run_iteration(&mut self) -> io::Result<()> {
        let now = self.now();
        let next_timer = self.testbed.next_timer();
        let wait = next_timer.map_or(SAMPLE_INTERVAL, |at| at.saturating_sub(now)).min(SAMPLE_INTERVAL);
        let mut events = std::mem::take(&mut self.testbed.events);
        events.clear();
        self.testbed.sockets.wait(wait, &mut events)?;
        if self.testbed.sockets.out_of_descriptors {
            // What is observed from here on would not be caused by the program under test.
            return Err(io::Error::other(
                "the test cluster itself is out of descriptors: raise its limit (ulimit -n)",
            ));
        }
        let began = self.now();
        for KilledServer { server, at } in std::mem::take(&mut self.killed_this_iteration) {
            self.testbed.checker.add_fault_span(server, at, began);
        }
        for event in events.drain(..) {
            let now = self.now();
            self.socket_event(now, event);
        }
        self.testbed.events = events;
        while let Some(timer) = self.testbed.pop_due_timer(began) {
            self.on_timer(began, timer)?;
        }
        for FinishedAttempt { server, attempt } in std::mem::take(&mut self.testbed.finished_attempts) {
            self.with_pool(began, server, |pool, host| pool.request_over(began, attempt, host));
        }
        self.check_decisions();
        self.testbed.sockets.flush();
        self.iteration_overrun += self.now().saturating_sub(began).saturating_sub(ITERATION_ALLOWANCE);
        Ok(())
    }

    fn on_timer(&mut self, now: Duration, timer: Timer) -> io::Result<()> {
        match timer {
            Timer::WorkerPool(server) => self.with_pool(now, server, |pool, host| pool.advance(now, host)),
            Timer::Index => {
                for EndedCall { conn, answer } in self.index.take_ended_calls(now) {
                    self.answer_index_call(now, conn, answer);
                }
                self.set_index_timer();
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
            Timer::NextArrival => self.request_arrives(now),
            Timer::BeginStep(step, server) => self.begin_step(now, step, server)?,
            Timer::EndStep(step, server) => self.end_step(now, step, server)?,
            Timer::SampleProcesses => {
                self.sample_processes(now);
                self.testbed.set_timer(now + SAMPLE_INTERVAL, Timer::SampleProcesses);
            }
            Timer::CheckLimits => {
                self.check_limits(now);
                self.testbed.set_timer(now + LIMITS_INTERVAL, Timer::CheckLimits);
            }
            Timer::StartServer(server) => self.start_server(server, PoolStart::Cold, StartConfig::Valid)?,
            Timer::SendSignal(step, server, incarnation, index) => {
                self.send_signal(now, step, server, incarnation, index)?;
            }
            Timer::RequestBurst(server, incarnation) => self.request_burst(now, server, incarnation),
            Timer::KillAtStopTimeout(server, incarnation) => {
                self.kill_at_stop_timeout(now, server, incarnation)?;
            }
            Timer::ResetPoolLink(step, server) => self.reset_pool_link(now, step, server),
            Timer::ConfigReadTimeout => self.answer_timed_out_config_reads(now),
            Timer::PublishVersion(step) => self.publish_next(now, step),
        }
        Ok(())
    }

    /// Makes a request arrive at a random edge node, and sets the timer for the next arrival.
    fn request_arrives(&mut self, now: Duration) {
        if !self.callers_active {
            return;
        }
        let classes = &self.scenario.classes;
        let edge = EdgeNo(self.arrivals.below(self.scenario.callers.edges) as u16);
        let all_shares: f64 = classes.iter().map(|class| class.share).sum();
        let mut position = self.arrivals.unit() * all_shares;
        let class = classes.iter().position(|class| {
            position -= class.share;
            position < 0.0
        });
        let class = class.unwrap_or(0);
        let priority = (self.arrivals.unit() * 0.999 + class as f64) / classes.len() as f64;
        let gap_seconds = self.arrivals.exponential() / self.arrival_rate.max(1e-6);
        self.testbed.record.request_arrived(now, class);
        self.edges.request_arrived(now, edge, ClassNo(class as u8), priority, &mut self.testbed);
        self.next_arrival += Duration::from_secs_f64(gap_seconds);
        self.testbed.set_timer(self.next_arrival, Timer::NextArrival);
    }
}
