//! What goes wrong, as the timeline says: begun and ended.

use super::*;
use crate::config_store_stub::StoredVersion;

impl TestCluster<'_> {
    pub(super) fn tell_to_leave(&mut self, now: Duration, number: ServerNo) {
        let server = &mut self.servers[number.0 as usize];
        let Some(process) = server.process.as_ref().filter(|_| !server.leaving) else { return };
        process.leave();
        server.leaving = true;
        let late = self.scenario.sabotage == Some(InjectedViolation::LateStart) && !self.broken_on_purpose;
        // Broken on purpose: as if it had been told long ago.
        let told = if late { now.saturating_sub(self.scenario.fleet.grace * 4) } else { now };
        self.testbed.checker.shutdown_requested(told, number, server.incarnation);
        self.testbed.record.note(now, None, Some(number), || "told to leave".to_string());
    }

    pub(super) fn undo_stop(&mut self, now: Duration, number: ServerNo) {
        let server = &mut self.servers[number.0 as usize];
        if std::mem::take(&mut server.stopped) {
            if let Some(process) = &server.process {
                process.go_on();
            }
            self.testbed.record.note(now, None, Some(number), || "continued".to_string());
        }
    }

    pub(super) fn kill(&mut self, number: ServerNo) {
        let server = &mut self.servers[number.0 as usize];
        if let Some(process) = &mut server.process {
            server.killed = true;
            process.kill();
        }
    }

    pub(super) fn begin(&mut self, now: Duration, step: usize, number: ServerNo) -> io::Result<()> {
        let plan = &self.scenario.timeline[step];
        let begun = self.testbed.record.begun.unwrap_or_default();
        let until = plan.lasts.map_or(begun + self.scenario.span, |lasts| now + lasts);
        let since = |at: Duration| at.saturating_sub(begun).as_secs_f64();
        let who = if plan.fault_is_shared() { String::new() } else { format!(" {number}") };
        self.faults.push((since(now), since(until), format!("{}{who}", plan.word)));
        self.testbed.record.note(now, None, Some(number), || format!("begins: {}", plan.word));
        if plan.lasts.is_some() {
            self.testbed.set_timer(until, Timer::EndStep(step, number));
        }
        // What becomes of txns on a server that is killed or stopped, or cut off from edge nodes, is the rig's doing.
        let whole = Duration::from_secs(86_400 * 30);
        let until = if plan.lasts.is_some() { until } else { now + whole };
        match &plan.fault {
            Fault::Kill | Fault::BadStart => {
                // An edge node may say something to it yet that nobody will hear.
                self.testbed.checker.add_fault_span(number, now, until);
                self.kill(number);
                self.just_killed.push((number, now));
                if plan.fault == Fault::BadStart {
                    self.start(number, true, true)?;
                    self.servers[number.0 as usize].killed = true;
                }
            }
            Fault::Leave => {
                self.servers[number.0 as usize].again = true;
                self.tell_to_leave(now, number);
            }
            Fault::Stop => {
                self.testbed.checker.add_fault_span(number, now, until);
                let server = &mut self.servers[number.0 as usize];
                if let Some(process) = &server.process {
                    process.stop();
                    server.stopped = true;
                }
            }
            Fault::BadConfig => {
                std::fs::write(self.play.dir.join(format!("{number}.json")), "{ not a configuration")?;
                if let Some(process) = &self.servers[number.0 as usize].process {
                    process.read_again();
                }
            }
            Fault::Slow(to) => {
                let to = *to;
                self.with_pool(now, number, |pool, host| {
                    pool.advance(now, host);
                    pool.speed = to;
                });
            }
            Fault::Err(share) => self.servers[number.0 as usize].errs = *share,
            Fault::PoolGone => self.pool_gone(now, number),
            Fault::PoolLate(by) => {
                let (late, cores) = (*by, self.cores());
                let cold = self.scenario.fleet.cold;
                self.servers[number.0 as usize].pool = WorkerPoolStub::new(cores, now, cold, late);
                self.with_pool(now, number, |pool, host| pool.advance(now, host));
            }
            Fault::PoolResets(_) => self.pool_reset(now, step, number),
            Fault::Pair(far, to, from) => {
                if *far == RemoteEndpoint::EdgeNodes {
                    self.testbed.checker.add_fault_span(number, now, until);
                }
                self.testbed.set_corruption(
                    now,
                    LinkId { server: number, remote: *far },
                    to.clone(),
                    from.clone(),
                );
            }
            Fault::Refuse(far) => self.refuse(now, number, *far, true)?,
            _ => self.begin_shared(now, step)?,
        }
        Ok(())
    }

    pub(super) fn begin_shared(&mut self, now: Duration, step: usize) -> io::Result<()> {
        match &self.scenario.timeline[step].fault {
            Fault::Index(state) => {
                self.index.state = *state;
                if *state == IndexState::Dead {
                    for conn in self.index.drop_open_calls(now) {
                        self.cut_off(now, conn);
                    }
                    self.refuse_all(now, RemoteEndpoint::Index, true)?;
                }
            }
            Fault::IndexCold => self.index.empty_caches(),
            Fault::MembershipStub(state) => {
                self.testbed.membership.set_state(now, *state);
                if *state == MembershipState::Down {
                    self.refuse_all(now, RemoteEndpoint::MembershipService, true)?;
                }
            }
            Fault::ListForgets => self.testbed.membership.forget_entries(),
            Fault::ListCapacity(to) => self.testbed.membership.set_capacity(*to),
            Fault::ListWrong => self.testbed.wrong_membership = true,
            Fault::ListOld(by) => self.testbed.extra_membership_lag = *by,
            Fault::EdgesRestart(share) => {
                let all: Vec<u16> = (0..self.scenario.callers.edges as u16).collect();
                let many = (all.len() as f64 * share).round() as usize;
                for n in RandomStream::of(self.scenario.seed, &format!("edges {step}")).sample(&all, many) {
                    self.edges.restart(now, EdgeNo(n), &mut self.testbed);
                }
            }
            Fault::Rate(times) => self.rate = self.scenario.callers.rate * times,
            Fault::Publish(_) => self.publish_again(now, step),
            Fault::Withdraw => self.put(now, Vec::new()),
            Fault::RulesBroken(how) => self.spoilt_book(now, *how),
            Fault::RulesOld => {
                let text = std::fs::read_to_string(self.play.dir.join("rules.kdl"))?;
                self.put(now, vec![StoredVersion { tag: "old".to_string(), text }]);
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn end(&mut self, now: Duration, step: usize, number: ServerNo) -> io::Result<()> {
        let plan = &self.scenario.timeline[step];
        self.testbed.record.note(now, None, Some(number), || format!("ends: {}", plan.word));
        match &plan.fault {
            Fault::Kill | Fault::BadStart => self.start(number, true, false)?,
            Fault::Stop => {
                self.testbed.checker.add_fault_span(number, now, now);
                self.undo_stop(now, number);
            }
            Fault::Slow(_) => self.with_pool(now, number, |pool, host| {
                pool.advance(now, host);
                pool.speed = 1.0;
            }),
            Fault::Err(_) => self.servers[number.0 as usize].errs = 0.0,
            Fault::PoolGone => {
                let port = self.servers[number.0 as usize].ports[&RemoteEndpoint::WorkerPool];
                self.servers[number.0 as usize].pool =
                    WorkerPoolStub::new(self.cores(), now, true, Duration::ZERO);
                self.servers[number.0 as usize].crowd = 0.0;
                self.testbed.net.admit(port)?;
            }
            Fault::Pair(far, to, from) => {
                // What a half-dead connection has lost does not come back: it ends with the fault.
                let lossy = |s: &Corruption| s.silent_after_bytes.is_some() || s.bit_flip_probability > 0.0;
                let loses = to.iter().chain(from).any(lossy);
                if *far == RemoteEndpoint::EdgeNodes {
                    self.testbed.checker.add_fault_span(number, now, now);
                }
                let none = |s: &Option<Corruption>| s.as_ref().map(|_| Corruption::default());
                self.testbed.set_corruption(
                    now,
                    LinkId { server: number, remote: *far },
                    none(to),
                    none(from),
                );
                if loses {
                    for conn in self.testbed.connections_of(LinkId { server: number, remote: *far }) {
                        self.cut_off(now, conn);
                    }
                }
            }
            Fault::Refuse(far) => self.refuse(now, number, *far, false)?,
            Fault::Index(_) => {
                let dead = self.index.state == IndexState::Dead;
                self.index.state = IndexState::Healthy;
                if dead {
                    self.index.empty_caches();
                    self.refuse_all(now, RemoteEndpoint::Index, false)?;
                }
                // What it hung on is answered by nobody: those connections end.
                for conn in self.index.drop_open_calls(now) {
                    self.cut_off(now, conn);
                }
            }
            Fault::MembershipStub(_) => {
                self.testbed.membership.set_state(now, MembershipState::Up);
                self.refuse_all(now, RemoteEndpoint::MembershipService, false)?;
            }
            Fault::ListCapacity(_) => self.testbed.membership.set_capacity(self.scenario.list_capacity),
            Fault::ListWrong => self.testbed.wrong_membership = false,
            Fault::ListOld(_) => self.testbed.extra_membership_lag = Duration::ZERO,
            Fault::Rate(_) => self.rate = self.scenario.callers.rate,
            _ => {}
        }
        Ok(())
    }

    /// The pool's process is gone, with all that it ran.
    pub(super) fn pool_gone(&mut self, now: Duration, number: ServerNo) {
        let server = &mut self.servers[number.0 as usize];
        self.testbed.net.refuse(server.ports[&RemoteEndpoint::WorkerPool]);
        if let Some(link) = server.link {
            self.cut_off(now, link);
        }
        let cores = self.cores();
        let server = &mut self.servers[number.0 as usize];
        server.replies.clear();
        server.pool = WorkerPoolStub::new(cores, now, true, Duration::ZERO);
        server.crowd = 0.0;
    }

    pub(super) fn pool_reset(&mut self, now: Duration, step: usize, number: ServerNo) {
        let plan = &self.scenario.timeline[step];
        let Fault::PoolResets(every) = plan.fault else { return };
        let begun = self.testbed.record.begun.unwrap_or_default();
        let until = plan.lasts.map_or(begun + self.scenario.span, |l| begun + plan.at + l);
        if now >= until {
            return;
        }
        if let Some(link) = self.servers[number.0 as usize].link {
            self.cut_off(now, link);
        }
        self.testbed.set_timer(now + every, Timer::ResetPoolLink(step, number));
    }

    pub(super) fn refuse(
        &mut self,
        _now: Duration,
        number: ServerNo,
        far: RemoteEndpoint,
        refused: bool,
    ) -> io::Result<()> {
        let Some(&port) = self.servers[number.0 as usize].ports.get(&far) else {
            self.testbed.unreachable.retain(|s| *s != number);
            if refused {
                self.testbed.unreachable.insert(number);
            }
            return Ok(());
        };
        if refused {
            self.testbed.net.refuse(port);
            Ok(())
        } else {
            self.testbed.net.admit(port)
        }
    }

    pub(super) fn refuse_all(&mut self, now: Duration, far: RemoteEndpoint, refused: bool) -> io::Result<()> {
        for n in 0..self.servers.len() {
            self.refuse(now, ServerNo(n as u16), far, refused)?;
        }
        Ok(())
    }
}
