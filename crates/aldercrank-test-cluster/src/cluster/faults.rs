//! Begins and ends the steps of the timeline, each of which injects a fault.

use super::start::{PoolStart, StartConfig};
use super::state::{KilledServer, TestCluster};
use crate::ids::{EdgeNo, RemoteEndpoint, ServerNo};
use crate::index_stub::IndexState;
use crate::membership_stub::MembershipState;
use crate::random::RandomStream;
use crate::relayed_link::Impairment;
use crate::scenario::{Fault, InjectedViolation};
use crate::testbed::{LinkId, Timer};
use std::io;
use std::time::Duration;

/// The duration of a fault without an end: longer than any run.
const UNLIMITED_DURATION: Duration = Duration::from_secs(86_400 * 30);

/// Whether connections are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepts {
    Yes,
    No,
}

impl TestCluster<'_> {
    /// Asks a server to shut down.
    pub(super) fn request_shutdown(&mut self, now: Duration, number: ServerNo) {
        let injects = self.violation_is_pending(InjectedViolation::LateStart);
        let ignores = self.violation_is_pending(InjectedViolation::IgnoreTerm) && !self.is_over;
        let server = &mut self.servers[number.0 as usize];
        let Some(process) = server.process.as_ref().filter(|_| !server.draining) else { return };
        if !ignores {
            process.request_shutdown();
        }
        server.draining = true;
        // The injected violation makes it look as if the server had been asked long ago.
        let asked_at = if injects { now.saturating_sub(self.scenario.fleet.drain_grace * 4) } else { now };
        self.testbed.checker.shutdown_requested(asked_at, number, server.incarnation);
        self.testbed.record.note(now, None, Some(number), || "asked to shut down".to_string());
    }

    /// Pauses a server's process. Until `until`, the checker excuses what happens to its requests.
    pub(super) fn pause(&mut self, now: Duration, number: ServerNo, until: Duration) {
        self.testbed.checker.add_fault_span(number, now, until);
        let server = self.server(number);
        if let Some(process) = &server.process {
            process.pause();
            server.paused = true;
        }
    }

    /// Resumes a server if it is paused.
    pub(super) fn resume_paused(&mut self, now: Duration, number: ServerNo) {
        let server = self.server(number);
        if std::mem::take(&mut server.paused) {
            if let Some(process) = &server.process {
                process.resume();
            }
            self.testbed.record.note(now, None, Some(number), || "resumed".to_string());
        }
    }

    pub(super) fn kill(&mut self, number: ServerNo) {
        let server = self.server(number);
        if let Some(process) = &mut server.process {
            server.killed = true;
            process.kill();
        }
    }

    /// Begins a step of the timeline for a server.
    pub(super) fn begin_step(&mut self, now: Duration, index: usize, number: ServerNo) -> io::Result<()> {
        let step = &self.scenario.timeline[index];
        let begun = self.callers_began();
        let until = step.lasts.map_or(begun + self.scenario.span, |lasts| now + lasts);
        let seconds = |at: Duration| at.saturating_sub(begun).as_secs_f64();
        let target = if step.fault.is_shared() { String::new() } else { format!(" {number}") };
        self.faults.push((seconds(now), seconds(until), format!("{}{target}", step.word)));
        self.testbed.record.note(now, None, Some(number), || format!("step begins: {}", step.word));
        if step.lasts.is_some() {
            self.testbed.set_timer(until, Timer::EndStep(index, number));
        }
        if step.fault.is_shared() {
            return self.begin_shared_fault(now, index);
        }
        let until = if step.lasts.is_some() { until } else { now + UNLIMITED_DURATION };
        match &step.fault {
            Fault::Kill | Fault::Shutdown | Fault::Pause | Fault::InvalidConfig | Fault::InvalidStart => {
                self.begin_process_fault(now, &step.fault, number, until)
            }
            Fault::ImpairLink { remote, to_server, from_server } => {
                let link = LinkId { server: number, remote: *remote };
                if *remote == RemoteEndpoint::EdgeNodes {
                    self.testbed.checker.add_fault_span(number, now, until);
                }
                self.testbed.set_impairment(now, link, to_server.clone(), from_server.clone());
                Ok(())
            }
            Fault::RefuseConnections(remote) => self.set_accepts(number, *remote, Accepts::No),
            Fault::Signals(series) => {
                self.begin_signals(now, index, number, series);
                Ok(())
            }
            Fault::IdleConnections(count) => {
                self.edges.open_idle_connections(now, number, *count, &mut self.testbed);
                Ok(())
            }
            Fault::MembershipWrong => self.begin_shared_fault(now, index),
            _ => {
                self.begin_pool_fault(now, index, number);
                Ok(())
            }
        }
    }

    /// Begins a fault of a server's process. If the fault kills or pauses the process, the checker excuses what happens
    /// to its requests until `until`.
    fn begin_process_fault(
        &mut self,
        now: Duration,
        fault: &Fault,
        number: ServerNo,
        until: Duration,
    ) -> io::Result<()> {
        match fault {
            Fault::Kill | Fault::InvalidStart => {
                self.testbed.checker.add_fault_span(number, now, until);
                self.kill(number);
                self.killed_this_iteration.push(KilledServer { server: number, at: now });
                if *fault == Fault::InvalidStart {
                    self.start_server(number, PoolStart::Cold, StartConfig::Invalid)?;
                    self.server(number).killed = true;
                }
            }
            Fault::Shutdown => {
                self.server(number).restarts = true;
                self.request_shutdown(now, number);
            }
            Fault::Pause => self.pause(now, number, until),
            Fault::InvalidConfig => {
                let file = self.options.dir.join(format!("{number}.json"));
                std::fs::write(file, "{ not a configuration")?;
                if let Some(process) = &self.server(number).process {
                    process.reload_config();
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn begin_pool_fault(&mut self, now: Duration, index: usize, number: ServerNo) {
        match self.scenario.timeline[index].fault {
            Fault::SlowPool(speed) => self.set_pool_speed(now, number, speed),
            Fault::FailingRuns(share) => self.server(number).failing_share = share,
            Fault::PoolCrash => self.remove_pool(now, number),
            Fault::PoolDelayed(delay) => {
                let pool = self.new_pool(now, self.scenario.fleet.starts_cold, delay);
                self.server(number).pool = pool;
                self.with_pool(now, number, |pool, host| pool.advance(now, host));
            }
            Fault::PoolLinkResets(_) => self.reset_pool_link(now, index, number),
            _ => {}
        }
    }

    fn set_pool_speed(&mut self, now: Duration, number: ServerNo, speed: f64) {
        self.with_pool(now, number, |pool, host| {
            pool.advance(now, host);
            pool.speed = speed;
        });
    }

    /// Begins a fault of something that all servers share: the index, the membership service, the edge nodes, the
    /// arrivals or the versioned configuration.
    fn begin_shared_fault(&mut self, now: Duration, index: usize) -> io::Result<()> {
        match &self.scenario.timeline[index].fault {
            Fault::Index(state) => {
                self.index.state = *state;
                if *state == IndexState::Dead {
                    self.reset_index_calls(now);
                    self.set_all_accept(RemoteEndpoint::Index, Accepts::No)?;
                }
            }
            Fault::IndexCachesEmptied => self.index.empty_caches(),
            Fault::MembershipService(state) => {
                self.testbed.membership.set_state(now, *state);
                if *state == MembershipState::Down {
                    self.set_all_accept(RemoteEndpoint::MembershipService, Accepts::No)?;
                }
            }
            Fault::MembershipForgets => self.testbed.membership.forget_entries(),
            Fault::MembershipCapacity(capacity) => self.testbed.membership.set_capacity(*capacity),
            Fault::MembershipWrong => self.testbed.wrong_membership = true,
            Fault::MembershipStale(lag) => self.testbed.extra_membership_lag = *lag,
            Fault::EdgeNodesRestart(share) => self.restart_edges(now, index, *share),
            Fault::ArrivalRate(times) => self.arrival_rate = self.scenario.callers.rate * times,
            Fault::Publish(_) => self.publish_next(now, index),
            Fault::Withdraw => self.store_versions(now, Vec::new()),
            Fault::StoreCorruptConfig(corruption) => self.store_corrupted(now, *corruption),
            Fault::StoreInitialVersion => self.store_initial_version(now)?,
            _ => {}
        }
        Ok(())
    }

    fn restart_edges(&mut self, now: Duration, index: usize, share: f64) {
        let all: Vec<u16> = (0..self.scenario.callers.edges as u16).collect();
        let count = (all.len() as f64 * share).round() as usize;
        let mut random = RandomStream::of(self.scenario.seed, &format!("edges {index}"));
        for edge in random.sample(&all, count) {
            self.edges.restart(now, EdgeNo(edge), &mut self.testbed);
        }
    }

    /// Ends a step of the timeline for a server.
    pub(super) fn end_step(&mut self, now: Duration, index: usize, number: ServerNo) -> io::Result<()> {
        let step = &self.scenario.timeline[index];
        self.testbed.record.note(now, None, Some(number), || format!("step ends: {}", step.word));
        match &step.fault {
            Fault::Kill | Fault::InvalidStart => {
                self.start_server(number, PoolStart::Cold, StartConfig::Valid)?;
            }
            Fault::Pause => {
                self.testbed.checker.add_fault_span(number, now, now);
                self.resume_paused(now, number);
            }
            Fault::SlowPool(_) => self.set_pool_speed(now, number, 1.0),
            Fault::FailingRuns(_) => self.server(number).failing_share = 0.0,
            Fault::PoolCrash => self.start_cold_pool(now, number)?,
            Fault::ImpairLink { remote, to_server, from_server } => {
                let link = LinkId { server: number, remote: *remote };
                self.end_impairment(now, link, to_server.as_ref(), from_server.as_ref());
            }
            Fault::RefuseConnections(remote) => self.set_accepts(number, *remote, Accepts::Yes)?,
            _ => self.end_shared_fault(now, &step.fault)?,
        }
        Ok(())
    }

    fn end_shared_fault(&mut self, now: Duration, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::Index(_) => {
                let was_dead = self.index.state == IndexState::Dead;
                self.index.state = IndexState::Healthy;
                if was_dead {
                    self.index.empty_caches();
                    self.set_all_accept(RemoteEndpoint::Index, Accepts::Yes)?;
                }
                // Calls that came while the index hung or was dead would never be answered.
                self.reset_index_calls(now);
            }
            Fault::MembershipService(_) => {
                self.testbed.membership.set_state(now, MembershipState::Up);
                self.set_all_accept(RemoteEndpoint::MembershipService, Accepts::Yes)?;
            }
            Fault::MembershipCapacity(_) => {
                self.testbed.membership.set_capacity(self.scenario.membership_capacity);
            }
            Fault::MembershipWrong => self.testbed.wrong_membership = false,
            Fault::MembershipStale(_) => self.testbed.extra_membership_lag = Duration::ZERO,
            Fault::ArrivalRate(_) => self.arrival_rate = self.scenario.callers.rate,
            _ => {}
        }
        Ok(())
    }

    fn end_impairment(
        &mut self,
        now: Duration,
        link: LinkId,
        to_process: Option<&Impairment>,
        from_process: Option<&Impairment>,
    ) {
        if link.remote == RemoteEndpoint::EdgeNodes {
            self.testbed.checker.add_fault_span(link.server, now, now);
        }
        let none = |impairment: Option<&Impairment>| impairment.map(|_| Impairment::default());
        self.testbed.set_impairment(now, link, none(to_process), none(from_process));
        // Lost and changed bytes are not sent again, so these connections are reset when the fault ends.
        let loses_bytes = |impairment: &Impairment| {
            impairment.silent_after_bytes.is_some() || impairment.bit_flip_probability > 0.0
        };
        if to_process.into_iter().chain(from_process).any(loses_bytes) {
            for conn in self.testbed.connections_of(link) {
                self.reset_connection(now, conn);
            }
        }
    }

    fn reset_index_calls(&mut self, now: Duration) {
        for conn in self.index.drop_open_calls(now) {
            self.reset_connection(now, conn);
        }
    }

    /// Ends a worker pool with all its runs, as a crash of its process does.
    pub(super) fn remove_pool(&mut self, now: Duration, number: ServerNo) {
        let server = &self.servers[number.0 as usize];
        self.testbed.sockets.close_listener(server.listeners[&RemoteEndpoint::WorkerPool]);
        if let Some(link) = server.link {
            self.reset_connection(now, link);
        }
        let pool = self.new_pool(now, true, Duration::ZERO);
        let server = self.server(number);
        server.call_results.clear();
        (server.pool, server.run_seconds) = (pool, 0.0);
    }

    /// Starts a cold worker pool in place of one that has ended.
    pub(super) fn start_cold_pool(&mut self, now: Duration, number: ServerNo) -> io::Result<()> {
        let pool = self.new_pool(now, true, Duration::ZERO);
        let server = self.server(number);
        (server.pool, server.run_seconds) = (pool, 0.0);
        let listener = server.listeners[&RemoteEndpoint::WorkerPool];
        self.testbed.sockets.reopen_listener(listener)
    }

    /// Resets the link to a worker pool, and sets the timer for the next reset.
    pub(super) fn reset_pool_link(&mut self, now: Duration, index: usize, number: ServerNo) {
        let step = &self.scenario.timeline[index];
        let Fault::PoolLinkResets(interval) = step.fault else { return };
        let begun = self.callers_began();
        let until = step.lasts.map_or(begun + self.scenario.span, |lasts| begun + step.at + lasts);
        if now >= until {
            return;
        }
        if let Some(link) = self.server(number).link {
            self.reset_connection(now, link);
        }
        self.testbed.set_timer(now + interval, Timer::ResetPoolLink(index, number));
    }

    /// Sets whether connections from a server to a stub service, or from edge nodes to the server, are accepted.
    fn set_accepts(&mut self, number: ServerNo, remote: RemoteEndpoint, accepts: Accepts) -> io::Result<()> {
        let Some(&listener) = self.server(number).listeners.get(&remote) else {
            match accepts {
                Accepts::Yes => self.testbed.unreachable.remove(&number),
                Accepts::No => self.testbed.unreachable.insert(number),
            };
            return Ok(());
        };
        match accepts {
            Accepts::Yes => self.testbed.sockets.reopen_listener(listener),
            Accepts::No => {
                self.testbed.sockets.close_listener(listener);
                Ok(())
            }
        }
    }

    fn set_all_accept(&mut self, remote: RemoteEndpoint, accepts: Accepts) -> io::Result<()> {
        for number in self.server_numbers() {
            self.set_accepts(number, remote, accepts)?;
        }
        Ok(())
    }
}
