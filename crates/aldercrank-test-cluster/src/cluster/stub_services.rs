//! Handles and answers what servers send to the worker pool, the index and the membership service.

use super::pool_host::{index_call_body, index_result};
use super::state::TestCluster;
use crate::ids::{ConnNo, RemoteEndpoint, RequestNo, ServerNo};
use crate::index_stub::IndexAnswer;
use crate::invariant_checker::{ConnectionEnd, Rule};
use crate::membership_stub::{ReportAnswer, RETRY_AFTER};
use crate::testbed::{LinkId, Timer};
use aldercrank_protocol::{http, membership, worker_pool::AttemptId};
use std::time::Duration;

/// The bytes are not a valid message of the protocol, or came on a link that was replaced; the connection must be
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid bytes, or bytes on a replaced link, at a stub service")]
pub(super) struct CloseConnection;

/// A complete HTTP request.
pub(super) struct HttpRequest {
    pub(super) head: http::Request,
    pub(super) body: Vec<u8>,
}

/// Takes the first HTTP request from `input`; `None` if it is incomplete.
fn take_http_request(input: &mut Vec<u8>) -> Result<Option<HttpRequest>, CloseConnection> {
    let Some(head) = http::read_request(input).map_err(|_| CloseConnection)? else { return Ok(None) };
    let body = input[head.body.clone()].to_vec();
    input.drain(..head.length);
    Ok(Some(HttpRequest { head, body }))
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

impl TestCluster<'_> {
    pub(super) fn pool_bytes_received(
        &mut self,
        now: Duration,
        server: ServerNo,
        conn: ConnNo,
        input: &mut Vec<u8>,
    ) -> Result<(), CloseConnection> {
        if self.server(server).link != Some(conn) {
            return Err(CloseConnection);
        }
        self.with_pool(now, server, |pool, host| {
            let mut taken = 0;
            loop {
                match pool.receive(now, &input[taken..], host) {
                    Ok(Some(length)) => taken += length,
                    Ok(None) => break,
                    Err(why) => {
                        host.testbed.record_invalid_pool_command(now, server, &why);
                        return Err(CloseConnection);
                    }
                }
            }
            input.drain(..taken);
            Ok(())
        })
    }

    pub(super) fn index_bytes_received(
        &mut self,
        now: Duration,
        server: ServerNo,
        conn: ConnNo,
        input: &mut Vec<u8>,
    ) -> Result<(), CloseConnection> {
        let Some(HttpRequest { head, body }) = take_http_request(input)? else { return Ok(()) };
        let parent = head.parent_id.unwrap_or_default();
        let request = self.request_of(&parent);
        self.testbed.record.note(now, request, Some(server), || format!("called the index for {parent}"));
        let link = LinkId { server, remote: RemoteEndpoint::Index };
        if body != index_call_body(&parent) && !self.testbed.is_link_impaired(link) {
            let what = "the server sent the index a call with a body that differs from the one its run gave";
            let attempt = AttemptId::new(&parent);
            self.testbed.checker.record_violation(now, Rule::Mixed, attempt, Some(server), what);
        }
        self.testbed.record.second(now).calls += 1;
        self.testbed.index_call_parents.insert(conn, parent);
        if let Some(answer) = self.index.call_received(now, conn) {
            self.answer_index_call(now, conn, answer);
        }
        self.set_index_timer();
        Ok(())
    }

    fn request_of(&self, attempt: &str) -> Option<RequestNo> {
        let attempt = self.testbed.checker.attempt(AttemptId::new(attempt)?)?;
        Some(attempt.request)
    }

    pub(super) fn set_index_timer(&mut self) {
        if let Some(at) = self.index.next_end() {
            self.testbed.set_timer(at, Timer::Index);
        }
    }

    pub(super) fn answer_index_call(&mut self, now: Duration, conn: ConnNo, answer: IndexAnswer) {
        let parent = self.testbed.index_call_parents.remove(&conn).unwrap_or_default();
        let mut bytes = Vec::new();
        match answer {
            IndexAnswer::Rejected => http::write_response(&mut bytes, 503, true, None, b""),
            IndexAnswer::Found | IndexAnswer::Truncated => {
                http::write_response(&mut bytes, 200, false, None, &index_result(&parent));
            }
        }
        if answer == IndexAnswer::Truncated {
            bytes.truncate(bytes.len() / 2);
            self.testbed.send_to_process(now, conn, &bytes);
            self.testbed.close_after_queued(conn);
            return self.connection_ended(now, conn, ConnectionEnd::Injected);
        }
        self.testbed.send_to_process(now, conn, &bytes);
    }

    pub(super) fn membership_bytes_received(
        &mut self,
        now: Duration,
        server: ServerNo,
        conn: ConnNo,
        input: &mut Vec<u8>,
    ) -> Result<(), CloseConnection> {
        let Some(request) = take_http_request(input)? else { return Ok(()) };
        if request.head.path == membership::VERSIONS_PATH {
            self.config_store_request(now, conn, &request);
        } else {
            self.load_report_received(now, server, conn, &request);
        }
        Ok(())
    }

    fn load_report_received(&mut self, now: Duration, server: ServerNo, conn: ConnNo, request: &HttpRequest) {
        let name = request.head.path.rsplit('/').next().and_then(ServerNo::from_name);
        let is_up = contains(&request.body, b"\"UP\"");
        let offers_part = contains(&request.body, b"\"share\":0");
        let link = LinkId { server, remote: RemoteEndpoint::MembershipService };
        if name != Some(server) && !self.testbed.is_link_impaired(link) {
            let what = "the server sent a load report under the name of another server";
            self.testbed.checker.record_violation(now, Rule::Mixed, None, Some(server), what);
        }
        let answer = self.testbed.membership.report_received(now, conn, server, is_up);
        let second = self.testbed.record.second(now);
        second.reports += 1;
        second.parts += u64::from(offers_part);
        second.rejected_reports += u64::from(answer == ReportAnswer::Rejected);
        match answer {
            ReportAnswer::AcceptedAt(at) => self.testbed.set_timer(at, Timer::MembershipService),
            ReportAnswer::Rejected => {
                let mut bytes = Vec::new();
                http::write_response(&mut bytes, 503, false, Some(RETRY_AFTER), b"");
                self.testbed.send_to_process(now, conn, &bytes);
            }
            ReportAnswer::None => {}
        }
    }
}
