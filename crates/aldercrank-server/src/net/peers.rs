//! Connections to other servers, on which this one asks about the rule book: one to each that is asked, calls on it as
//! edge nodes make them, its answers, and the news that the other side sends without being asked.

use super::link::{Got, Link, Loop};
use super::Server;
use crate::msgpack_rpc::{self, MessageId, ReceivedFields, RequestFields, ResponseHandler, CONSENSUS_METHOD};
use aldercrank_consensus::{CorrelationId, PeerRequest, PeerResponse, ServerName, VersionId};
use aldercrank_versioned_config::MemberAddress;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest answer: a version's text, and what goes along with it.
const ANSWER: usize = 64 * 1024;
/// Questions that may be open with one server; one that answers none of them is dialled anew.
const OPEN: usize = 16;

/// Who of this server asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Server,
    CommitteeMember,
}

/// One connection, never given out twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerNo(u64);

struct Peer {
    number: PeerNo,
    link: Link,
    next: u32,
    open: BTreeMap<MessageId, (Side, CorrelationId)>,
    /// It takes nothing new.
    closing: bool,
}

/// What has come of a question, or without one.
pub enum Heard {
    PeerResponse(Side, CorrelationId, Box<PeerResponse>),
    Lost(Side, CorrelationId),
    News(Option<VersionId>),
}

pub struct Peers {
    on_loop: Loop,
    all: BTreeMap<ServerName, Peer>,
    numbers: u64,
    /// Where each is reached.
    places: BTreeMap<ServerName, SocketAddr>,
    /// Where some are reached from here instead.
    reach: BTreeMap<ServerName, SocketAddr>,
}

/// What was heard on a connection, gathered while its bytes are borrowed.
#[derive(Default)]
struct Ear {
    answers: Vec<(MessageId, Option<PeerResponse>)>,
    news: Vec<Option<VersionId>>,
    closing: bool,
}

impl ResponseHandler for Ear {
    fn completed(&mut self, call: MessageId, result: &[u8], _: ReceivedFields) {
        self.answers.push((call, rmp_serde::from_slice(result).ok()));
    }
    fn rejected(&mut self, call: MessageId, _: ReceivedFields) {
        self.answers.push((call, None));
    }
    fn failed(&mut self, call: MessageId, _: &str, _: ReceivedFields) {
        self.answers.push((call, None));
    }
    fn health_reported(&mut self, call: MessageId, _: bool, _: ReceivedFields) {
        self.answers.push((call, None));
    }
    fn closing(&mut self) {
        self.closing = true;
    }
    fn notified(&mut self, body: &[u8]) {
        self.news.extend(rmp_serde::from_slice::<Option<VersionId>>(body).ok());
    }
}

impl Peers {
    pub fn new(on_loop: Loop, reach: &BTreeMap<String, SocketAddr>) -> Peers {
        let reach = reach.iter().map(|(name, at)| (ServerName::new(name), *at)).collect();
        Peers { on_loop, all: BTreeMap::new(), numbers: 0, places: BTreeMap::new(), reach }
    }

    /// Where members are, by the book in force.
    pub fn know(&mut self, committee: Vec<MemberAddress>) {
        for member in committee {
            self.places.insert(ServerName::new(&member.name), member.address);
        }
    }

    /// Asks; whether it could be. The connection that the question needs may not stand yet.
    pub fn ask(
        &mut self,
        to: &ServerName,
        side: Side,
        correlation_id: CorrelationId,
        ask: &PeerRequest,
        lost: &mut Vec<(Side, CorrelationId)>,
    ) {
        let stuck = self.all.get(to).is_some_and(|p| p.open.len() >= OPEN);
        if stuck {
            lost.extend(self.close(to));
        }
        let asked = self.dial(to).is_some_and(|peer| {
            let Ok(body) = rmp_serde::to_vec(ask) else { return false };
            peer.next += 1;
            let call = MessageId(peer.next);
            peer.open.insert(call, (side, correlation_id));
            peer.link.out.words(|words| {
                msgpack_rpc::write_request(words, call, CONSENSUS_METHOD, &RequestFields::default(), &body)
            });
            peer.link.flush();
            true
        });
        if !asked {
            lost.push((side, correlation_id));
        }
    }

    fn dial(&mut self, to: &ServerName) -> Option<&mut Peer> {
        if !self.all.contains_key(to) {
            let at = *self.reach.get(to).or_else(|| self.places.get(to))?;
            self.numbers += 1;
            let number = PeerNo(self.numbers);
            let mut link =
                Link::dial(at).inspect_err(|e| tracing::debug!(to = %to, why = %e, "no dial")).ok()?;
            link.on_loop(&self.on_loop, move |_, server: &mut Server| server.peer_ready(number)).ok()?;
            let peer = Peer { number, link, next: 0, open: BTreeMap::new(), closing: false };
            self.all.insert(to.clone(), peer);
        }
        self.all.get_mut(to).filter(|peer| !peer.closing)
    }

    /// Ends a connection; gives what was asked on it and not answered.
    fn close(&mut self, to: &ServerName) -> Vec<(Side, CorrelationId)> {
        let Some(peer) = self.all.remove(to) else { return Vec::new() };
        peer.link.close(&self.on_loop);
        peer.open.into_values().collect()
    }

    /// A server that is no member keeps the connection to the member that it asks, and no other.
    pub fn keep_only(&mut self, one: &ServerName) {
        let idle =
            |(name, peer): (&ServerName, &Peer)| (name != one && peer.open.is_empty()).then(|| name.clone());
        let idle: Vec<ServerName> = self.all.iter().filter_map(idle).collect();
        for name in idle {
            self.close(&name);
        }
    }

    /// Something has come up on a connection: what was heard on it, in its order.
    pub fn ready(&mut self, number: PeerNo, chunk: &mut [u8]) -> Vec<Heard> {
        let Some(name) = self.all.iter().find(|(_, p)| p.number == number).map(|(name, _)| name.clone())
        else {
            return Vec::new();
        };
        let Some(peer) = self.all.get_mut(&name) else { return Vec::new() };
        let mut ended = peer.link.connected().is_err();
        peer.link.flush();
        while !ended && !peer.link.connecting() {
            match peer.link.read(chunk) {
                Got::Dry => break,
                Got::End | Got::ProtocolError => ended = true,
                Got::Bytes(n) => peer.link.input.extend_from_slice(&chunk[..n]),
            }
        }
        let (mut ear, mut taken) = (Ear::default(), 0);
        loop {
            match msgpack_rpc::read_response(&peer.link.input[taken..], ANSWER, &mut ear) {
                Ok(Some(n)) => taken += n,
                Ok(None) => break,
                Err(broken) => {
                    tracing::warn!(from = %name, why = broken.0, "another server said what is no answer");
                    ended = true;
                    break;
                }
            }
        }
        peer.link.input.drain(..taken);
        peer.closing |= ear.closing;
        let mut heard: Vec<Heard> = ear.news.into_iter().map(Heard::News).collect();
        for (call, response) in ear.answers {
            if let Some((side, correlation_id)) = peer.open.remove(&call) {
                heard.push(match response {
                    Some(response) => Heard::PeerResponse(side, correlation_id, Box::new(response)),
                    None => Heard::Lost(side, correlation_id),
                });
            }
        }
        if ended || (peer.closing && peer.open.is_empty()) {
            heard.extend(
                self.close(&name).into_iter().map(|(side, correlation_id)| Heard::Lost(side, correlation_id)),
            );
        }
        heard
    }
}

/// A span as a person reads it.
pub fn ms(span: Duration) -> u64 {
    span.as_millis() as u64
}
