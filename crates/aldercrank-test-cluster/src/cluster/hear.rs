//! What processes say, heard by their stand-ins.

use super::*;

impl TestCluster<'_> {
    pub(super) fn event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Accepted(port, conn) => {
                if let Some(&(asker, member)) = self.testbed.relays.get(&port) {
                    return self.relayed(conn, asker, member);
                }
                let Some(&link) = self.testbed.ports.get(&port) else { return };
                self.accepted(now, link.server, link.remote, conn);
            }
            Event::Stood(conn) => {
                if let Some(ConnectionOwner::Edge(_, _)) = self.testbed.owner(conn) {
                    self.edges.connection_established(conn);
                }
            }
            Event::Readable(conn) => loop {
                let (got, n) = self.testbed.net.read(conn);
                match got {
                    Got::Bytes => {
                        let bytes = self.testbed.net.chunk[..n].to_vec();
                        if let Some(bytes) = self.testbed.receive_from_process(now, conn, bytes) {
                            self.deliver(now, conn, &bytes);
                        }
                        if n < self.testbed.net.chunk.len() {
                            return;
                        }
                    }
                    Got::Dry => return,
                    Got::End => return self.ended(now, conn),
                }
            },
            Event::Broke(conn) => self.ended(now, conn),
        }
    }

    pub(super) fn accepted(&mut self, now: Duration, server: ServerNo, far: RemoteEndpoint, conn: ConnNo) {
        let state = self.testbed.membership.state();
        if far == RemoteEndpoint::MembershipService {
            self.testbed.membership.connections.push(now);
            if state == MembershipState::Closing {
                return self.testbed.net.close(conn);
            }
        }
        let whose = match far {
            RemoteEndpoint::WorkerPool => ConnectionOwner::WorkerPool(server),
            RemoteEndpoint::Index => ConnectionOwner::Index(server),
            _ => ConnectionOwner::MembershipService(server),
        };
        self.testbed.register(conn, whose);
        self.inputs.insert(conn, Vec::new());
        if far == RemoteEndpoint::WorkerPool {
            let s = &mut self.servers[server.0 as usize];
            if let Some(old) = s.link.replace(conn) {
                self.testbed.close_after_queued(old);
                self.inputs.remove(&old);
            }
            s.pool.unlink();
            self.testbed.record.note(now, None, Some(server), || "a link to its pool".to_string());
        }
    }

    /// The far side has ended it, or it broke. What it had said before comes first.
    pub(super) fn ended(&mut self, now: Duration, conn: ConnNo) {
        if self.testbed.defer_close_by_process(conn) {
            return;
        }
        self.over(now, conn, false);
    }

    pub(super) fn over(&mut self, now: Duration, conn: ConnNo, ours: bool) {
        let whose = self.testbed.unregister(conn);
        self.inputs.remove(&conn);
        match whose {
            Some(ConnectionOwner::WorkerPool(server)) => {
                let s = &mut self.servers[server.0 as usize];
                if s.link == Some(conn) {
                    s.link = None;
                    s.pool.unlink();
                }
            }
            Some(ConnectionOwner::Index(_)) => self.index.connection_ended(now, conn),
            Some(ConnectionOwner::MembershipService(_)) => {
                if let Some(rules) = &mut self.rules {
                    rules.config_store.connection_ended(conn);
                }
            }
            Some(ConnectionOwner::Peer(_)) => self.part(conn),
            None => {}
            Some(ConnectionOwner::Edge(_, _)) => {
                let end = if ours { ConnectionEnd::Injected } else { ConnectionEnd::ByServer };
                self.edges.connection_ended(now, conn, end, &mut self.testbed);
            }
        }
    }

    /// The rig itself ends a connection, by a reset.
    pub(super) fn cut_off(&mut self, now: Duration, conn: ConnNo) {
        self.testbed.net.reset(conn);
        self.over(now, conn, true);
    }

    /// Something is broken on purpose, once, on its way to an edge node.
    pub(super) fn sabotaged(&mut self, now: Duration, bytes: &[u8]) -> Option<Vec<u8>> {
        let kind = self.scenario.sabotage.filter(|_| !self.broken_on_purpose)?;
        let id = invariant_checker::attempt_id_range(bytes)?;
        if self.testbed.record.begun.is_none_or(|begun| now < begun + SABOTAGE) {
            return None;
        }
        let mut changed = bytes.to_vec();
        match kind {
            InjectedViolation::LoseAnswer => changed.clear(),
            InjectedViolation::DoubleAnswer => changed.extend_from_slice(bytes),
            InjectedViolation::SwapResult => changed.get_mut(id)?.fill(b'f'),
            _ => return None,
        }
        self.broken_on_purpose = true;
        Some(changed)
    }

    /// Bytes have come through to their stand-in.
    pub(super) fn deliver(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) {
        let Some(whose) = self.testbed.owner(conn) else { return };
        if let ConnectionOwner::Edge(_, _) = whose {
            let changed = self.sabotaged(now, bytes);
            let bytes = changed.as_deref().unwrap_or(bytes);
            if let Err(invalid) = self.edges.bytes_received(now, conn, bytes, &mut self.testbed) {
                if !self.testbed.is_connection_corrupted(conn) {
                    self.testbed.checker.record_violation(now, Rule::Mixed, None, None, invalid.to_string());
                }
                self.cut_off(now, conn);
            }
            return;
        }
        if let ConnectionOwner::Peer(_) = whose {
            return self.pass_on(now, conn, bytes);
        }
        let Some(mut input) = self.inputs.remove(&conn) else { return };
        input.extend_from_slice(bytes);
        let whole = match whose {
            ConnectionOwner::WorkerPool(server) => self.pool_hears(now, server, conn, &mut input),
            ConnectionOwner::Index(server) => self.index_hears(now, server, conn, &mut input),
            ConnectionOwner::MembershipService(server) => self.list_hears(now, server, conn, &mut input),
            ConnectionOwner::Edge(_, _) | ConnectionOwner::Peer(_) => true,
        };
        if whole {
            self.inputs.insert(conn, input);
        } else {
            self.testbed.net.close(conn);
            self.over(now, conn, true);
        }
    }

    /// With a server's pool and its host; afterwards what the pool has to say is said.
    pub(super) fn with_pool<T>(
        &mut self,
        now: Duration,
        number: ServerNo,
        act: impl FnOnce(&mut WorkerPoolStub, &mut Host) -> T,
    ) -> T {
        let server = &mut self.servers[number.0 as usize];
        let sabotage =
            self.scenario.sabotage == Some(InjectedViolation::DoubleRun) && !self.broken_on_purpose;
        let due = self.testbed.record.begun.is_some_and(|begun| now >= begun + SABOTAGE);
        let mut host = Host {
            testbed: &mut self.testbed,
            scenario: self.scenario,
            server: number,
            incarnation: server.incarnation,
            errs: server.errs,
            replies: &mut server.replies,
            now,
            double: sabotage && due,
        };
        let got = act(&mut server.pool, &mut host);
        self.broken_on_purpose |= sabotage && due && !host.double;
        let out = std::mem::take(&mut server.pool.output);
        if let Some(link) = server.link {
            self.testbed.send_to_process(now, link, &out);
        }
        if let Some(at) = server.pool.next_event(now) {
            self.testbed.set_timer(at, Timer::WorkerPool(number));
        }
        got
    }

    pub(super) fn pool_hears(
        &mut self,
        now: Duration,
        server: ServerNo,
        conn: ConnNo,
        input: &mut Vec<u8>,
    ) -> bool {
        if self.servers[server.0 as usize].link != Some(conn) {
            return false;
        }
        let whole = self.with_pool(now, server, |pool, host| {
            let mut taken = 0;
            loop {
                match pool.receive(now, &input[taken..], host) {
                    Ok(Some(n)) => taken += n,
                    Ok(None) => break,
                    Err(why) => {
                        host.testbed.record_invalid_pool_command(now, server, &why);
                        return false;
                    }
                }
            }
            input.drain(..taken);
            true
        });
        whole
    }

    pub(super) fn index_hears(
        &mut self,
        now: Duration,
        server: ServerNo,
        conn: ConnNo,
        input: &mut Vec<u8>,
    ) -> bool {
        let question = match http::read_request(input) {
            Ok(Some(question)) => question,
            Ok(None) => return true,
            Err(_) => return false,
        };
        let parent = question.parent.clone().unwrap_or_default();
        let request = AttemptId::new(&parent)
            .and_then(|attempt| self.testbed.checker.attempt(attempt))
            .map(|t| t.request);
        self.testbed.record.note(now, request, Some(server), || format!("calls the index for {parent}"));
        let body = &input[question.body.clone()];
        if body != format!("for {parent}").as_bytes()
            && !self.testbed.is_link_corrupted(LinkId { server: server, remote: RemoteEndpoint::Index })
        {
            let what = "a call with a body that its run did not give";
            self.testbed.checker.record_violation(
                now,
                Rule::Mixed,
                AttemptId::new(&parent),
                Some(server),
                what,
            );
        }
        input.drain(..question.length);
        self.testbed.record.second(now).calls += 1;
        self.testbed.index_call_parents.insert(conn, parent);
        if let Some(word) = self.index.call_received(now, conn) {
            self.index_says(now, conn, word);
        }
        self.index_wake();
        true
    }

    pub(super) fn index_wake(&mut self) {
        if let Some(at) = self.index.next_end() {
            self.testbed.set_timer(at, Timer::Index);
        }
    }

    pub(super) fn index_says(&mut self, now: Duration, conn: ConnNo, word: IndexAnswer) {
        let parent = self.testbed.index_call_parents.remove(&conn).unwrap_or_default();
        let mut bytes = Vec::new();
        match word {
            IndexAnswer::Rejected => http::write_response(&mut bytes, 503, true, None, b""),
            _ => http::write_response(&mut bytes, 200, false, None, &found(&parent)),
        }
        if word == IndexAnswer::Truncated {
            bytes.truncate(bytes.len() / 2);
            self.testbed.send_to_process(now, conn, &bytes);
            self.testbed.close_after_queued(conn);
            return self.over(now, conn, true);
        }
        self.testbed.send_to_process(now, conn, &bytes);
    }

    pub(super) fn list_hears(
        &mut self,
        now: Duration,
        server: ServerNo,
        conn: ConnNo,
        input: &mut Vec<u8>,
    ) -> bool {
        let question = match http::read_request(input) {
            Ok(Some(question)) => question,
            Ok(None) => return true,
            Err(_) => return false,
        };
        if question.path == aldercrank_protocol::membership::VERSIONS_PATH {
            let body = input[question.body.clone()].to_vec();
            input.drain(..question.length);
            self.shelf_hears(now, conn, &question, &body);
            return true;
        }
        let name = question.path.rsplit('/').next().and_then(ServerNo::from_name);
        let said = &input[question.body.clone()];
        let up = said.windows(4).any(|w| w == b"\"UP\"");
        let parts = said.windows(9).any(|w| w == b"\"share\":0");
        input.drain(..question.length);
        if name != Some(server)
            && !self
                .testbed
                .is_link_corrupted(LinkId { server: server, remote: RemoteEndpoint::MembershipService })
        {
            self.testbed.checker.record_violation(
                now,
                Rule::Mixed,
                None,
                Some(server),
                "a report under another's name",
            );
        }
        let word = self.testbed.membership.report_received(now, conn, server, up);
        let second = self.testbed.record.second(now);
        second.reports += 1;
        second.parts += u64::from(parts);
        second.refused_reports += u64::from(word == ReportAnswer::Rejected);
        match word {
            ReportAnswer::AcceptedAt(at) => self.testbed.set_timer(at, Timer::MembershipService),
            ReportAnswer::Rejected => {
                let mut bytes = Vec::new();
                http::write_response(&mut bytes, 503, false, Some(membership_stub::RETRY_AFTER), b"");
                self.testbed.send_to_process(now, conn, &bytes);
            }
            ReportAnswer::None => {}
        }
        true
    }

    pub(super) fn release_queued(&mut self, now: Duration, conn: ConnNo) {
        let mut from_process = Vec::new();
        let action = self.testbed.release_queued(now, conn, &mut from_process);
        if !from_process.is_empty() {
            self.deliver(now, conn, &from_process);
        }
        match action {
            ReleaseAction::Reset => self.cut_off(now, conn),
            ReleaseAction::HandleClose => self.over(now, conn, false),
            ReleaseAction::KeepOpen => {}
        }
    }
}
