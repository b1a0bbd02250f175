//! Connects the processes with the stub services: sockets, relayed links with their impairment, timers, the membership
//! that edge nodes read, the invariant checker and the run's record. [`crate::cluster`] drives it.

use crate::edge_nodes::EdgeTimer;
use crate::ids::{ConnNo, EdgeNo, Incarnation, RemoteEndpoint, ReplyTo, ServerNo};
use crate::invariant_checker::{InvariantChecker, Rule};
use crate::membership_stub::MembershipStub;
use crate::random::RandomStream;
use crate::relayed_link::{Impairment, RelayedLink};
use crate::run_record::RunRecord;
use crate::sockets::{ListenerId, SocketEvent, SocketSet};
use crate::version_checker::VersionedDecision;
use aldercrank_protocol::worker_pool::AttemptId;
use aldercrank_protocol::worker_pool::CommandError;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The two parties of a connection of the test cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOwner {
    /// A server's connection to its worker pool.
    WorkerPool(ServerNo),
    /// A server's connection to the index.
    Index(ServerNo),
    /// A server's connection to the membership service.
    MembershipService(ServerNo),
    /// An edge node's connection to a server.
    Edge(EdgeNo, ServerNo),
    /// This server's half of a relayed connection between two servers.
    Peer(ServerNo),
}

impl ConnectionOwner {
    /// The link that the connection belongs to.
    pub fn link(self) -> LinkId {
        let (server, remote) = match self {
            ConnectionOwner::WorkerPool(server) => (server, RemoteEndpoint::WorkerPool),
            ConnectionOwner::Index(server) => (server, RemoteEndpoint::Index),
            ConnectionOwner::MembershipService(server) => (server, RemoteEndpoint::MembershipService),
            ConnectionOwner::Edge(_, server) => (server, RemoteEndpoint::EdgeNodes),
            ConnectionOwner::Peer(server) => (server, RemoteEndpoint::Peers),
        };
        LinkId { server, remote }
    }
}

/// All connections between one server and one kind of remote endpoint. Scenarios apply impairment to these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId {
    /// The server.
    pub server: ServerNo,
    /// What it is connected to.
    pub remote: RemoteEndpoint,
}

/// A relay between two servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayId {
    /// The server that connects.
    pub client: ServerNo,
    /// The committee member that it connects to.
    pub member: ServerNo,
}

/// An attempt that is over, whether it was answered or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// The server that it was sent to.
    pub server: ServerNo,
    /// The attempt.
    pub attempt: AttemptId,
}

/// An action that the test cluster takes at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A run of this server's worker pool ends or reaches its call.
    WorkerPool(ServerNo),
    /// A call at the index ends.
    Index,
    /// An answer of the membership service is due.
    MembershipService,
    /// A timer of the edge nodes.
    Edge(EdgeTimer),
    /// Queued bytes of a connection are to be released.
    RelayedLink(ConnNo),
    /// The next request arrives.
    NextArrival,
    /// The timeline's step of this index begins for a server.
    BeginStep(usize, ServerNo),
    /// The timeline's step of this index ends for a server.
    EndStep(usize, ServerNo),
    /// Exited processes are reaped and scheduling delay is sampled.
    SampleProcesses,
    /// Memory, descriptors and load are compared with their limits.
    CheckLimits,
    /// A server is started.
    StartServer(ServerNo),
    /// A step of the timeline sends one of its signals to an incarnation of a server: index of the step, server,
    /// incarnation, index of the signal within the step.
    SendSignal(usize, ServerNo, Incarnation, usize),
    /// A request is written on each open connection to an incarnation of a server.
    RequestBurst(ServerNo, Incarnation),
    /// An incarnation of a server that was asked to shut down is killed.
    KillAtStopTimeout(ServerNo, Incarnation),
    /// The step of this index resets a server's link to its worker pool.
    ResetPoolLink(usize, ServerNo),
    /// Long polls of the configuration store time out.
    ConfigReadTimeout,
    /// The step of this index publishes its next configuration version.
    PublishVersion(usize),
}

/// Both directions of a connection. It exists only for connections on which bytes had to be queued, or whose close is
/// deferred.
#[derive(Default)]
struct ConnectionLinks {
    to_process: RelayedLink,
    from_process: RelayedLink,
    /// The process has closed the connection, which is handled once the bytes that it sent before are delivered.
    closed_by_process: bool,
    /// The test cluster closes the connection once the bytes that it sent before are released.
    closing: bool,
}

/// The impairment of both directions of a link.
#[derive(Clone, Debug, Default)]
struct LinkImpairment {
    to_process: Impairment,
    from_process: Impairment,
}

/// What the caller of [`Testbed::release_queued`] has to do with the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseAction {
    /// It stays open.
    KeepOpen,
    /// A byte limit was reached: reset it.
    Reset,
    /// The process closed it, and all bytes that it sent before are delivered.
    HandleClose,
}

/// The state that the parts of a run share.
pub struct Testbed {
    /// All sockets.
    pub sockets: SocketSet,
    /// Socket events of the current iteration of the event loop; kept to reuse its memory.
    pub events: Vec<SocketEvent>,
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// The earliest pending time of each coalesced timer; later ones are not queued.
    coalesced_timers: BTreeMap<Timer, Duration>,
    timers_set: u64,
    /// Time since the start of the run.
    pub now: Duration,
    owners: HashMap<ConnNo, ConnectionOwner>,
    links: HashMap<ConnNo, ConnectionLinks>,
    impairments: BTreeMap<LinkId, LinkImpairment>,
    /// Servers to which edge nodes can't connect.
    pub unreachable: BTreeSet<ServerNo>,
    /// The link whose connections each listener of a stub service accepts.
    pub listener_links: HashMap<ListenerId, LinkId>,
    /// Relays between servers, by listener.
    pub relays: HashMap<ListenerId, RelayId>,
    /// Where each server listens.
    pub server_addresses: Vec<SocketAddr>,
    /// The current incarnation of each server.
    pub incarnations: Vec<Incarnation>,
    /// Checks what crosses the wire.
    pub checker: InvariantChecker,
    /// The run's figures and trace.
    pub record: RunRecord,
    /// The membership service.
    pub membership: MembershipStub,
    /// How outdated the membership is that edge nodes see.
    pub membership_lag: Duration,
    /// Additional lag that an injected fault causes.
    pub extra_membership_lag: Duration,
    /// An injected fault: edge nodes see each server twice, and one that never existed.
    pub wrong_membership: bool,
    /// Attempts that are over, answered or not, and not yet reported to their worker pools.
    pub finished_attempts: Vec<FinishedAttempt>,
    /// Decisions by a configuration version that are not yet reported to the version checker.
    pub decisions: Vec<VersionedDecision>,
    /// The parent attempt of each open call at the index.
    pub index_call_parents: HashMap<ConnNo, String>,
    /// The Unix time at which the run started.
    pub started_unix: Duration,
    random: RandomStream,
}

impl Testbed {
    /// A testbed for this many servers, without listeners.
    ///
    /// # Errors
    /// If the epoll instance can't be created.
    pub fn new(
        checker: InvariantChecker,
        record: RunRecord,
        membership: MembershipStub,
        membership_lag: Duration,
        servers: usize,
        random: RandomStream,
    ) -> io::Result<Testbed> {
        Ok(Testbed {
            sockets: SocketSet::new()?,
            events: Vec::new(),
            timers: BinaryHeap::new(),
            coalesced_timers: BTreeMap::new(),
            timers_set: 0,
            now: Duration::ZERO,
            owners: HashMap::new(),
            links: HashMap::new(),
            impairments: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            listener_links: HashMap::new(),
            relays: HashMap::new(),
            server_addresses: Vec::new(),
            incarnations: vec![Incarnation(0); servers],
            checker,
            record,
            membership,
            membership_lag,
            extra_membership_lag: Duration::ZERO,
            wrong_membership: false,
            finished_attempts: Vec::new(),
            decisions: Vec::new(),
            index_call_parents: HashMap::new(),
            started_unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            random,
        })
    }

    /// Records in `finished_attempts` that the attempt whose response is expected here is over.
    pub fn finish_attempt(&mut self, reply_to: ReplyTo) {
        if let Some(attempt) = self.checker.attempt_at(reply_to) {
            self.finished_attempts.push(FinishedAttempt { server: attempt.server, attempt: attempt.attempt });
        }
    }

    /// Sets a timer. Timers of stub services and links are set again at each event, so only the earliest is kept.
    pub fn set_timer(&mut self, at: Duration, timer: Timer) {
        let coalesced = matches!(
            timer,
            Timer::WorkerPool(_) | Timer::Index | Timer::MembershipService | Timer::RelayedLink(_)
        );
        if coalesced {
            if self.coalesced_timers.get(&timer).is_some_and(|set| *set <= at) {
                return;
            }
            self.coalesced_timers.insert(timer, at);
        }
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, timer)));
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Removes and returns the next timer that is due at `now`. Timers of the same time come in the order in which they
    /// were set.
    pub fn pop_due_timer(&mut self, now: Duration) -> Option<Timer> {
        self.now = self.now.max(now);
        let Reverse((at, _, timer)) = *self.timers.peek().filter(|Reverse((at, _, _))| *at <= now)?;
        self.timers.pop();
        if self.coalesced_timers.get(&timer) == Some(&at) {
            self.coalesced_timers.remove(&timer);
        }
        Some(timer)
    }

    /// Registers a new connection.
    pub fn register(&mut self, conn: ConnNo, owner: ConnectionOwner) {
        self.owners.insert(conn, owner);
        if self.impairments.get(&owner.link()).is_some_and(|impairment| impairment.from_process.unread) {
            self.sockets.set_paused(conn, true);
        }
    }

    /// The parties of a connection; `None` once it is unregistered.
    pub fn owner(&self, conn: ConnNo) -> Option<ConnectionOwner> {
        self.owners.get(&conn).copied()
    }

    /// Removes a connection and closes it, or leaves the close until its queued bytes are sent.
    pub fn unregister(&mut self, conn: ConnNo) -> Option<ConnectionOwner> {
        self.index_call_parents.remove(&conn);
        let closes_later = self.links.get(&conn).is_some_and(|links| links.closing);
        if !closes_later {
            self.links.remove(&conn);
            self.sockets.close(conn);
        }
        self.owners.remove(&conn)
    }

    /// Closes a connection once its queued bytes are sent.
    pub fn close_after_queued(&mut self, conn: ConnNo) {
        let queued = self.links.get_mut(&conn).filter(|links| !links.to_process.is_empty());
        match queued {
            Some(links) => links.closing = true,
            None => self.sockets.close(conn),
        }
    }

    fn impairment_of(&self, conn: ConnNo) -> Option<&LinkImpairment> {
        self.impairments.get(&self.owners.get(&conn)?.link())
    }

    /// Whether a link is under impairment.
    pub fn is_link_impaired(&self, link: LinkId) -> bool {
        self.impairments.contains_key(&link)
    }

    /// Whether the link of this connection is under impairment.
    pub fn is_connection_impaired(&self, conn: ConnNo) -> bool {
        self.impairment_of(conn).is_some()
    }

    /// The open connections of a link, in the order in which they were made.
    pub fn connections_of(&self, link: LinkId) -> Vec<ConnNo> {
        let of_link = self.owners.iter().filter(|(_, owner)| owner.link() == link);
        let mut connections: Vec<ConnNo> = of_link.map(|(conn, _)| *conn).collect();
        connections.sort();
        connections
    }

    /// Sets the impairment of a link from now on; a direction that is `None` stays as it is.
    pub fn set_impairment(
        &mut self,
        now: Duration,
        link: LinkId,
        to_process: Option<Impairment>,
        from_process: Option<Impairment>,
    ) {
        let impairment = self.impairments.entry(link).or_default();
        if let Some(to_process) = to_process {
            impairment.to_process = to_process;
        }
        if let Some(from_process) = from_process {
            impairment.from_process = from_process;
        }
        let unread = impairment.from_process.unread;
        if impairment.to_process.is_none() && impairment.from_process.is_none() {
            self.impairments.remove(&link);
        }
        for conn in self.connections_of(link) {
            self.sockets.set_paused(conn, unread);
            self.set_timer(now, Timer::RelayedLink(conn));
        }
    }

    /// Sends bytes to a process, subject to the impairment of the link.
    pub fn send_to_process(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let impairment = self.impairment_of(conn).map_or_else(Impairment::default, |c| c.to_process.clone());
        match self.links.get(&conn) {
            None if impairment.is_none() => return self.sockets.send(conn, bytes),
            Some(links) if links.to_process.is_transparent(&impairment) => {
                return self.sockets.send(conn, bytes);
            }
            _ => {}
        }
        let link = &mut self.links.entry(conn).or_default().to_process;
        link.push(now, bytes.to_vec(), &impairment, &mut self.random);
        if let Some(at) = link.next_release(&impairment) {
            self.set_timer(at, Timer::RelayedLink(conn));
        }
    }

    /// Takes bytes that a process has sent. Returns them if they pass at once; otherwise queues them.
    pub fn receive_from_process(&mut self, now: Duration, conn: ConnNo, bytes: Vec<u8>) -> Option<Vec<u8>> {
        self.now = self.now.max(now);
        let impairment =
            self.impairment_of(conn).map_or_else(Impairment::default, |c| c.from_process.clone());
        match self.links.get(&conn) {
            None if impairment.is_none() => return Some(bytes),
            Some(links) if links.from_process.is_transparent(&impairment) => return Some(bytes),
            _ => {}
        }
        let link = &mut self.links.entry(conn).or_default().from_process;
        link.push(now, bytes, &impairment, &mut self.random);
        let (full, next_release) = (link.is_full(), link.next_release(&impairment));
        if full {
            self.sockets.set_paused(conn, true);
        }
        if let Some(at) = next_release {
            self.set_timer(at, Timer::RelayedLink(conn));
        }
        None
    }

    /// Defers the handling of a close by the process if queued bytes come before it or the link is blocked. Returns
    /// whether it was deferred.
    pub fn defer_close_by_process(&mut self, conn: ConnNo) -> bool {
        let blocked = self.impairment_of(conn).is_some_and(|impairment| impairment.from_process.blocked);
        match self.links.get_mut(&conn) {
            Some(links) if !links.from_process.is_empty() || blocked => {
                links.closed_by_process = true;
                self.sockets.stop_polling(conn);
                true
            }
            None if blocked => {
                self.links.entry(conn).or_default().closed_by_process = true;
                self.sockets.stop_polling(conn);
                true
            }
            _ => false,
        }
    }

    /// Releases the queued bytes of a connection that are due: sends those to the process, and appends those from it
    /// to `from_process`.
    pub fn release_queued(
        &mut self,
        now: Duration,
        conn: ConnNo,
        from_process: &mut Vec<u8>,
    ) -> ReleaseAction {
        let impairment = self.impairment_of(conn).cloned().unwrap_or_default();
        let Some(links) = self.links.get_mut(&conn) else { return ReleaseAction::KeepOpen };
        let mut to_process = Vec::new();
        let sent = links.to_process.release(now, &impairment.to_process, &mut to_process);
        let received = links.from_process.release(now, &impairment.from_process, from_process);
        let next_to = links.to_process.next_release(&impairment.to_process);
        let next_from = links.from_process.next_release(&impairment.from_process);
        let next_release = next_to.into_iter().chain(next_from).min();
        let drained = links.from_process.is_empty() && !impairment.from_process.blocked;
        let close_delivered = links.closed_by_process && drained;
        let closes_now = links.closing && links.to_process.is_empty();
        let may_read =
            !links.from_process.is_full() && !links.closed_by_process && !impairment.from_process.unread;
        self.sockets.send(conn, &to_process);
        if closes_now {
            self.links.remove(&conn);
            self.sockets.close(conn);
            return ReleaseAction::KeepOpen;
        }
        if may_read {
            self.sockets.set_paused(conn, false);
        }
        if let Some(at) = next_release {
            self.set_timer(at.max(now), Timer::RelayedLink(conn));
        }
        if sent.is_err() || received.is_err() {
            ReleaseAction::Reset
        } else if close_delivered {
            ReleaseAction::HandleClose
        } else {
            ReleaseAction::KeepOpen
        }
    }

    /// Records the violation that a server sent its worker pool an invalid command, unless a fault impairs that link.
    pub fn record_invalid_pool_command(&mut self, now: Duration, server: ServerNo, why: &CommandError) {
        if !self.is_link_impaired(LinkId { server, remote: RemoteEndpoint::WorkerPool }) {
            let what = format!("the server sent its worker pool an invalid command: {why}");
            self.checker.record_violation(now, Rule::Mixed, None, Some(server), what);
        }
    }
}
