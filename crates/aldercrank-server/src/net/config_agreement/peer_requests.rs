//! Consensus requests from other servers and operators, responses to this server's own requests, and notifications.

use super::ports::{FollowerPorts, MemberPorts};
use super::ConfigAgreement;
use crate::core::ReplyTo;
use crate::msgpack_rpc;
use crate::net::peer_connections::{PeerConnectionNumber, PeerEvent};
use crate::net::Server;
use aldercrank_consensus::{PeerRequest, PeerResponse, VersionId};
use aldercrank_pacing::SlowStartStatus;
use std::time::Duration;

/// The most followers that can renew their leases here; each is notified over its connection.
const MAX_FOLLOWERS: usize = 4096;

impl ConfigAgreement {
    fn handle_request(
        &mut self,
        now: Duration,
        reply_to: ReplyTo,
        request: PeerRequest,
        slow_start: Option<SlowStartStatus>,
    ) -> PeerResponse {
        if matches!(request, PeerRequest::Status) {
            return PeerResponse::Status { text: self.status(now, slow_start) };
        }
        let Some(member) = &mut self.member else { return PeerResponse::Unavailable };
        if let PeerRequest::Renew { from, .. } = &request {
            if self.followers.len() >= MAX_FOLLOWERS && !self.followers.contains_key(from) {
                return PeerResponse::Unavailable;
            }
            self.followers.insert(from.clone(), reply_to.conn);
        }
        member.handle_request(now, request, &mut MemberPorts(&mut self.context))
    }
}

impl Server {
    /// Answers a consensus request of another server or an operator. Returns false if the request can't be decoded, or
    /// this server has no versioned configuration.
    pub(in crate::net) fn consensus_request(&mut self, reply_to: ReplyTo, body: &[u8]) -> bool {
        let Ok(request) = rmp_serde::from_slice::<PeerRequest>(body) else { return false };
        let mut response = None;
        let slow_start = self.core.as_ref().and_then(|core| core.slow_start_status());
        self.update_agreement(|agreement, now| {
            response = Some(agreement.handle_request(now, reply_to, request, slow_start));
        });
        let Some(encoded) = response.and_then(|response| rmp_serde::to_vec(&response).ok()) else {
            return false;
        };
        self.net().answer(reply_to, |output, fields| {
            output.append_framing(|bytes| {
                msgpack_rpc::write_result_start(bytes, reply_to.call, encoded.len());
                bytes.extend_from_slice(&encoded);
                msgpack_rpc::write_result_end(bytes, fields);
            });
        });
        true
    }

    /// Handles an event of a connection to another server.
    pub(in crate::net) fn peer_event(&mut self, number: PeerConnectionNumber) {
        let mut buffer = self.take_read_buffer();
        let Some(agreement) = &mut self.agreement else { return };
        let events = agreement.context.peers.handle_event(number, &mut buffer);
        self.read_buffer = buffer;
        for event in events {
            self.update_agreement(|agreement, now| match event {
                PeerEvent::Response(tag, response) => agreement.handle_response(now, tag, *response),
                PeerEvent::Lost(tag) => agreement.context.lost_requests.push(tag),
                PeerEvent::Notification(proposed) => {
                    agreement.follower.notification_received(
                        now,
                        proposed,
                        &mut FollowerPorts(&mut agreement.context),
                    );
                }
            });
        }
    }

    /// Notifies the followers that renew their leases here of the proposed version, or that there is none.
    pub(super) fn notify_followers(&mut self, agreement: &mut ConfigAgreement, proposed: Option<VersionId>) {
        let Ok(body) = rmp_serde::to_vec(&proposed) else { return };
        let mut net = self.net();
        agreement.followers.retain(|_, conn| net.edge.get(*conn).is_some());
        for conn in agreement.followers.values() {
            net.edge.send(*conn, |output, _| {
                output.append_framing(|bytes| msgpack_rpc::write_consensus_notification(bytes, &body));
            });
        }
    }
}
