//! Connections to other servers, on which this one sends consensus requests.
//!
//! There is at most one connection to each server. Requests are calls in the protocol that edge nodes use. Besides
//! responses, the other server sends unsolicited notifications.

use super::connection::{Connection, EventLoopHandle, ReadOutcome};
use super::Server;
use crate::msgpack_rpc::{
    self, MessageId, ProtocolError, ReceivedFields, RequestFields, ResponseHandler, CONSENSUS_METHOD,
};
use aldercrank_consensus::{CorrelationId, PeerRequest, PeerResponse, ServerName, VersionId};
use aldercrank_versioned_config::MemberAddress;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// The longest response, in bytes: the text of a version and the fields that accompany it.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// The most outstanding requests to one server. With that many unanswered, the connection is closed and made anew.
const MAX_OUTSTANDING: usize = 16;

/// The part of this server that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// The follower, which runs on every server.
    Follower,
    /// The committee member, if this server is one.
    CommitteeMember,
}

/// Identifies an outstanding request within this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestTag {
    pub(super) requester: Requester,
    pub(super) correlation_id: CorrelationId,
}

/// Number of a connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerConnectionNumber(u64);

struct PeerConnection {
    number: PeerConnectionNumber,
    connection: Connection,
    last_message_id: u32,
    outstanding: BTreeMap<MessageId, RequestTag>,
    /// The other server accepts no new requests on this connection.
    closing: bool,
}

/// An event on a connection to another server.
pub(super) enum PeerEvent {
    /// A request was answered.
    Response(RequestTag, Box<PeerResponse>),
    /// A request was lost and will not be answered.
    Lost(RequestTag),
    /// The other server has a new proposed version, or `None` if it has none any more.
    Notification(Option<VersionId>),
}

/// Why a request could not be sent.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("address of the server is unknown")]
    UnknownAddress,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the other server is closing the connection")]
    Closing,
}

/// All connections to other servers.
pub(super) struct PeerConnections {
    event_loop: EventLoopHandle,
    connections: BTreeMap<ServerName, PeerConnection>,
    last_number: u64,
    /// Addresses of committee members, from the versions that have been in force so far.
    addresses: BTreeMap<ServerName, SocketAddr>,
    /// Addresses from the service file, which take precedence, for servers that are reached differently from here.
    address_overrides: BTreeMap<ServerName, SocketAddr>,
}

/// Collects decoded messages while the input buffer is borrowed.
#[derive(Default)]
struct ResponseCollector {
    /// Responses by the id of their call; `None` if the response is an error or can't be decoded.
    responses: Vec<(MessageId, Option<PeerResponse>)>,
    notifications: Vec<Option<VersionId>>,
    closing: bool,
}

impl ResponseHandler for ResponseCollector {
    fn completed(&mut self, call: MessageId, result: &[u8], _: ReceivedFields) {
        self.responses.push((call, rmp_serde::from_slice(result).ok()));
    }
    fn rejected(&mut self, call: MessageId, _: ReceivedFields) {
        self.responses.push((call, None));
    }
    fn failed(&mut self, call: MessageId, _: &str, _: ReceivedFields) {
        self.responses.push((call, None));
    }
    fn health_reported(&mut self, call: MessageId, _: bool, _: ReceivedFields) {
        self.responses.push((call, None));
    }
    fn closing(&mut self) {
        self.closing = true;
    }
    fn consensus_notification(&mut self, body: &[u8]) {
        self.notifications.extend(rmp_serde::from_slice::<Option<VersionId>>(body).ok());
    }
}

impl PeerConnection {
    /// Reads all available input. Returns whether the connection has ended.
    fn read(&mut self, buffer: &mut [u8]) -> bool {
        let mut has_ended = self.connection.finish_connecting().is_err();
        self.connection.flush();
        while !has_ended && !self.connection.is_connecting() {
            match self.connection.read(buffer) {
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed | ReadOutcome::Broken => has_ended = true,
                ReadOutcome::Bytes(length) => self.connection.input.extend_from_slice(&buffer[..length]),
            }
        }
        has_ended
    }

    /// Decodes the complete messages in the input, up to the first invalid one.
    fn decode(&mut self, collector: &mut ResponseCollector) -> Result<(), ProtocolError> {
        let mut consumed = 0;
        let input = &mut self.connection.input;
        let decoded = loop {
            match msgpack_rpc::read_response(&input[consumed..], MAX_RESPONSE_BYTES, collector) {
                Ok(Some(length)) => consumed += length,
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        input.drain(..consumed);
        decoded
    }
}

impl PeerConnections {
    /// Creates a set without connections.
    pub(super) fn new(
        event_loop: EventLoopHandle,
        address_overrides: &BTreeMap<String, SocketAddr>,
    ) -> PeerConnections {
        let overrides = address_overrides.iter().map(|(name, address)| (ServerName::new(name), *address));
        PeerConnections {
            event_loop,
            connections: BTreeMap::new(),
            last_number: 0,
            addresses: BTreeMap::new(),
            address_overrides: overrides.collect(),
        }
    }

    /// Adds the addresses of the committee members that a version names.
    pub(super) fn set_addresses(&mut self, committee: Vec<MemberAddress>) {
        for member in committee {
            self.addresses.insert(ServerName::new(&member.name), member.address);
        }
    }

    /// Sends a request, connecting if necessary. Adds lost requests to `lost`: this one if it can't be sent, and all
    /// outstanding ones if the connection has to be made anew.
    pub(super) fn send_request(
        &mut self,
        to: &ServerName,
        tag: RequestTag,
        request: &PeerRequest,
        lost: &mut Vec<RequestTag>,
    ) {
        let is_stuck = self.connections.get(to).is_some_and(|peer| peer.outstanding.len() >= MAX_OUTSTANDING);
        if is_stuck {
            lost.extend(self.close(to));
        }
        let peer = match self.connect(to) {
            Ok(peer) => peer,
            Err(reason) => {
                tracing::debug!(to = %to, %reason, "could not send a consensus request to another server; request lost");
                return lost.push(tag);
            }
        };
        let Ok(body) = rmp_serde::to_vec(request) else { return lost.push(tag) };
        peer.last_message_id += 1;
        let call = MessageId(peer.last_message_id);
        peer.outstanding.insert(call, tag);
        peer.connection.output.append_framing(|bytes| {
            msgpack_rpc::write_request(bytes, call, CONSENSUS_METHOD, &RequestFields::default(), &body);
        });
        peer.connection.flush();
    }

    /// Returns the connection to a server, connecting if there is none.
    fn connect(&mut self, to: &ServerName) -> Result<&mut PeerConnection, ConnectError> {
        if !self.connections.contains_key(to) {
            let address = self.address_overrides.get(to).or_else(|| self.addresses.get(to));
            let address = *address.ok_or(ConnectError::UnknownAddress)?;
            self.last_number += 1;
            let number = PeerConnectionNumber(self.last_number);
            let mut connection = Connection::connect(address)?;
            connection.register_with_loop(&self.event_loop, move |_, server: &mut Server| {
                server.peer_event(number);
            })?;
            let peer = PeerConnection {
                number,
                connection,
                last_message_id: 0,
                outstanding: BTreeMap::new(),
                closing: false,
            };
            self.connections.insert(to.clone(), peer);
        }
        let peer = self.connections.get_mut(to).filter(|peer| !peer.closing);
        peer.ok_or(ConnectError::Closing)
    }

    /// Closes a connection. Returns its unanswered requests.
    fn close(&mut self, to: &ServerName) -> Vec<RequestTag> {
        let Some(peer) = self.connections.remove(to) else { return Vec::new() };
        peer.connection.close(&self.event_loop);
        peer.outstanding.into_values().collect()
    }

    /// Closes all connections without outstanding requests, except the one to `kept`. A server that is not on the
    /// committee keeps a connection only to the member that it sends its requests to.
    pub(super) fn close_idle_except(&mut self, kept: &ServerName) {
        let idle = |(name, peer): (&ServerName, &PeerConnection)| {
            (name != kept && peer.outstanding.is_empty()).then(|| name.clone())
        };
        let idle: Vec<ServerName> = self.connections.iter().filter_map(idle).collect();
        for name in idle {
            self.close(&name);
        }
    }

    /// Handles an event of a connection. Returns what was received, in order: notifications, responses, then requests
    /// lost with the connection.
    pub(super) fn handle_event(&mut self, number: PeerConnectionNumber, buffer: &mut [u8]) -> Vec<PeerEvent> {
        let found = self.connections.iter_mut().find(|(_, peer)| peer.number == number);
        let Some((name, peer)) = found else { return Vec::new() };
        let name = name.clone();
        let mut has_ended = peer.read(buffer);
        let mut collector = ResponseCollector::default();
        if let Err(error) = peer.decode(&mut collector) {
            tracing::warn!(from = %name, reason = %error, "another server sent a response that can't be decoded; closing the connection");
            has_ended = true;
        }
        peer.closing |= collector.closing;
        let mut events: Vec<PeerEvent> =
            collector.notifications.into_iter().map(PeerEvent::Notification).collect();
        for (call, response) in collector.responses {
            if let Some(tag) = peer.outstanding.remove(&call) {
                events.push(match response {
                    Some(response) => PeerEvent::Response(tag, Box::new(response)),
                    None => PeerEvent::Lost(tag),
                });
            }
        }
        if has_ended || (peer.closing && peer.outstanding.is_empty()) {
            events.extend(self.close(&name).into_iter().map(PeerEvent::Lost));
        }
        events
    }
}
