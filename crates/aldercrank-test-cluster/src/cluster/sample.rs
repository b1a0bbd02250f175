//! Periodic observation of processes and stub services from outside: exits, scheduling delay, limits, membership.

use super::run::LIMITS_INTERVAL;
use super::state::TestCluster;
use crate::config;
use crate::ids::ServerNo;
use crate::invariant_checker::{ProcessExit, Rule};
use crate::process::{self, Process};
use crate::scenario::InjectedViolation;
use crate::testbed::Timer;
use std::collections::BTreeSet;
use std::time::Duration;

/// The time from the exit of a process that was asked to shut down until the server is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// The mean number of runs on a server's cores over one interval may exceed the configured limit by this factor.
const CROWDING_ALLOWANCE: f64 = 1.5;

impl TestCluster<'_> {
    /// Samples scheduling delay, reaps exited processes, and records which servers run and which are listed.
    pub(super) fn sample_processes(&mut self, now: Duration) {
        self.sample_scheduling_delay(now);
        for number in self.server_numbers() {
            self.reap_exited(now, number);
        }
        let running = self.servers.iter().filter(|server| server.process.is_some() && !server.paused);
        let running = running.count();
        let listed = self.testbed.membership.listed_servers(now);
        let listed_count = listed.len();
        self.record_listed(now, listed);
        let call_seconds = self.index.open_call_seconds(now);
        let new_call_seconds = call_seconds - std::mem::replace(&mut self.index_call_seconds, call_seconds);
        let second = self.testbed.record.second(now);
        (second.up, second.listed) = (running, listed_count);
        second.outstanding_calls += new_call_seconds;
    }

    fn sample_scheduling_delay(&mut self, now: Duration) {
        for server in &mut self.servers {
            if let Some(process) = &server.process {
                server.waited = process::cpu_time(process.pid()).waited.max(server.waited);
            }
        }
        let servers = self.servers.iter().map(|server| server.waited).collect();
        let cluster = process::own_cpu_time().waited + self.iteration_overrun;
        self.testbed.checker.scheduling_delay_sampled(now, cluster, servers);
    }

    fn reap_exited(&mut self, now: Duration, number: ServerNo) {
        let server = self.server(number);
        let Some(exit) = server.process.as_mut().and_then(Process::exit) else { return };
        server.process = None;
        let (incarnation, killed) = (server.incarnation, server.killed);
        let restarts = std::mem::take(&mut server.restarts);
        let code = exit.code;
        let exit = ProcessExit { server: number, incarnation, code, killed };
        self.testbed.checker.process_exited(now, exit);
        self.testbed.record.note(now, None, Some(number), || format!("process exited, code: {code:?}"));
        if restarts {
            self.testbed.set_timer(now + RESTART_DELAY, Timer::StartServer(number));
        }
    }

    /// Records the servers that are listed, and counts those that left the membership though they run.
    fn record_listed(&mut self, now: Duration, listed: Vec<ServerNo>) {
        if self.is_over {
            return;
        }
        let listed: BTreeSet<ServerNo> = listed.into_iter().collect();
        let load = &mut self.totals.membership_load;
        if load.all_listed_s.is_none() && listed.len() == self.servers.len() {
            load.all_listed_s = Some(now.as_secs_f64());
        }
        let runs = |number: &&ServerNo| {
            let server = &self.servers[number.0 as usize];
            server.process.is_some() && !server.draining && !server.paused
        };
        load.flaps += self.totals.listed.difference(&listed).filter(runs).count() as u64;
        self.totals.listed = listed;
    }

    /// Compares memory, descriptors, runs on the cores and the index's open calls with their limits.
    pub(super) fn check_limits(&mut self, now: Duration) {
        for number in self.server_numbers() {
            self.check_server_limits(now, number);
        }
        self.check_index_limit(now);
        if self.options.verbose {
            self.print_last_second(now);
        }
    }

    fn check_server_limits(&mut self, now: Duration, number: ServerNo) {
        let Some(process) = &self.servers[number.0 as usize].process else { return };
        let pid = process.pid();
        if !process::is_starting(&process::command_line(pid)) {
            self.check_process_size(now, number, pid);
        }
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[number.0 as usize];
        let run_seconds = server.pool.run_seconds;
        let new_run_seconds = run_seconds - std::mem::replace(&mut server.run_seconds, run_seconds);
        let limit = fleet.cores * (1.0 + (config::MAX_RUNS_PER_CORE - 1.0) * server.pool.warmth(now));
        if new_run_seconds > limit * LIMITS_INTERVAL.as_secs_f64() * CROWDING_ALLOWANCE {
            let what = format!(
                "{new_run_seconds:.1} runs on the server's cores on average, the limit is {limit:.1}"
            );
            self.testbed.checker.record_violation(now, Rule::Fall, None, Some(number), what);
        }
    }

    fn check_process_size(&mut self, now: Duration, number: ServerNo, pid: u32) {
        let fleet = &self.scenario.fleet;
        let size = process::size(pid);
        self.totals.peak_memory_kb = self.totals.peak_memory_kb.max(size.peak_memory_kb);
        self.totals.descriptors = self.totals.descriptors.max(size.descriptors);
        let checker = &mut self.testbed.checker;
        if size.peak_memory_kb as f64 > fleet.process_memory_mb * 1000.0 {
            let limit_mb = fleet.process_memory_mb;
            let what =
                format!("the server used {} KB of memory, its limit is {limit_mb} MB", size.peak_memory_kb);
            checker.record_violation(now, Rule::Fall, None, Some(number), what);
        }
        if size.descriptors > fleet.max_sockets {
            let what = format!(
                "the server had {} descriptors open, its limit is {}",
                size.descriptors, fleet.max_sockets
            );
            checker.record_violation(now, Rule::Fall, None, Some(number), what);
        }
    }

    fn check_index_limit(&mut self, now: Duration) {
        let window = config::INDEX_CALLS_WINDOW.as_secs() as usize;
        let seconds = &self.testbed.record.seconds;
        if seconds.len() <= window {
            return;
        }
        let complete = &seconds[seconds.len() - 1 - window..seconds.len() - 1];
        let mean = complete.iter().map(|second| second.outstanding_calls).sum::<f64>() / window as f64;
        let injects = self.violation_is_pending(InjectedViolation::Overrun);
        let limit = if injects { 0.0 } else { self.index.settings().limit };
        if mean > limit {
            self.violation_injected |= injects;
            let what = format!("{mean:.1} outstanding calls at the index on average, the limit is {limit}");
            self.testbed.checker.record_violation(now, Rule::Fall, None, None, what);
        }
    }

    fn print_last_second(&self, now: Duration) {
        let elapsed = self.testbed.record.since(now).as_secs() as usize;
        let last = elapsed.checked_sub(1).and_then(|index| self.testbed.record.seconds.get(index));
        let Some(second) = last else { return };
        let (sought, got): (f64, f64) = (second.sought.iter().sum(), second.got.iter().sum());
        let ends: Vec<String> = second.ends.iter().map(|(end, count)| format!("{end:?} {count}")).collect();
        eprintln!(
            "{elapsed:>4} s  value {:.2}  up {} listed {}  reports {}  index calls {:.1}  violations {}  {}",
            if sought > 0.0 { got / sought } else { 1.0 },
            second.up,
            second.listed,
            second.reports,
            second.outstanding_calls,
            self.testbed.checker.counts.violations,
            ends.join(", ")
        );
    }
}
