//! The testbed as the host of the edge nodes: sockets, timers, the membership, the checkers and the record.

use crate::edge_nodes::{EdgeHost, EdgeTimer, Request, RequestEnd};
use crate::ids::{ConnNo, EdgeNo, Incarnation, ReplyTo, RequestNo, ServerNo};
use crate::invariant_checker::{Answer, Attempt, ConnectionEnd};
use crate::testbed::{ConnectionOwner, Testbed, Timer};
use crate::version_checker::VersionedDecision;
use std::time::Duration;

impl EdgeHost for Testbed {
    fn connect(&mut self, edge: EdgeNo, server: ServerNo) -> Option<ConnNo> {
        if self.unreachable.contains(&server) {
            return None;
        }
        // A wrong membership names a server that never existed.
        let conn = self.sockets.connect(*self.server_addresses.get(server.0 as usize)?).ok()?;
        self.register(conn, ConnectionOwner::Edge(edge, server));
        Some(conn)
    }

    fn send(&mut self, conn: ConnNo, bytes: &[u8]) {
        let now = self.now;
        self.send_to_process(now, conn, bytes);
    }

    fn close(&mut self, conn: ConnNo) {
        self.close_after_queued(conn);
        self.unregister(conn);
    }

    fn set_edge_timer(&mut self, at: Duration, timer: EdgeTimer) {
        self.set_timer(at, Timer::Edge(timer));
    }

    fn unix_ms(&self, at: Duration) -> u64 {
        (self.started_unix + at).as_millis() as u64
    }

    fn incarnation(&self, server: ServerNo) -> Incarnation {
        self.incarnations[server.0 as usize]
    }

    fn membership_view(&mut self, _edge: EdgeNo, now: Duration) -> Vec<ServerNo> {
        // The view is never older than the one at the start of the callers, since the servers were not listed before.
        let oldest = self.record.begun.unwrap_or(now).saturating_sub(self.membership_lag);
        let lag = self.membership_lag + self.extra_membership_lag;
        let mut view = self.membership.listed_servers(now.saturating_sub(lag).max(oldest));
        if self.wrong_membership {
            let unknown = ServerNo(self.server_addresses.len() as u16);
            view = view.iter().flat_map(|server| [*server, *server]).chain([unknown]).collect();
        }
        view
    }

    fn attempt_sent(&mut self, attempt: Attempt) {
        let now = attempt.sent_at;
        self.record.second(now).attempts += 1;
        self.record.note(now, Some(attempt.request), Some(attempt.server), || {
            format!("{} sent attempt {}", attempt.edge, attempt.attempt)
        });
        self.checker.attempt_sent(attempt);
    }

    fn answer_received(
        &mut self,
        now: Duration,
        server: ServerNo,
        reply_to: ReplyTo,
        answer: Answer,
        config_version: Option<u64>,
    ) {
        if self.record.trace.is_some() {
            let request = self.checker.attempt_at(reply_to).map(|attempt| attempt.request);
            let kind = match answer {
                Answer::Completed(_) => "completed",
                Answer::Rejected => "rejected",
                Answer::Failed => "failed",
            };
            self.record.note(now, request, Some(server), || format!("answered: {kind}"));
        }
        if let Some((version, attempt)) = config_version.zip(self.checker.attempt_at(reply_to)) {
            self.decisions.push(VersionedDecision {
                server,
                incarnation: attempt.incarnation,
                class: attempt.class,
                version,
                sent_at: attempt.sent_at,
                answered_at: now,
                ran: self.checker.has_run(reply_to),
                idempotency_key: attempt.idempotency_key,
            });
        }
        self.checker.answer_received(now, server, reply_to, answer);
        self.finish_attempt(reply_to);
    }

    fn attempt_canceled(&mut self, reply_to: ReplyTo) {
        self.checker.attempt_canceled(reply_to);
        self.finish_attempt(reply_to);
    }

    fn connection_lost(&mut self, now: Duration, reply_to: ReplyTo, end: ConnectionEnd) {
        self.checker.connection_lost(now, reply_to, end);
        self.finish_attempt(reply_to);
    }

    fn check_overdue(&mut self, now: Duration, reply_to: ReplyTo) -> bool {
        self.checker.check_overdue(now, reply_to)
    }

    fn request_ended(&mut self, now: Duration, number: RequestNo, request: &Request, end: RequestEnd) {
        self.record.request_ended(now, request, end);
        self.record.note(now, Some(number), None, || format!("ended for its caller: {end:?}"));
    }
}
