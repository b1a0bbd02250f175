//! What stands between the processes and their stand-ins: sockets, lanes and what is done to them, timers, the
//! list that edge nodes read, the checker and the book. The rig acts on it; it decides nothing.

use crate::edge_nodes::Wake;
use crate::ids::{ConnNo, EdgeNo, Incarnation, RemoteEndpoint, ServerNo};
use crate::invariant_checker::{InvariantChecker, Rule};
use crate::membership_stub::MembershipStub;
use crate::random::RandomStream;
use crate::relayed_link::{Corruption, RelayedLink};
use crate::run_record::RunRecord;
use crate::sockets::{Event, Net, PortNo};
use crate::version_checker::Act;
use aldercrank_protocol::msgpack_rpc::MessageId;
use aldercrank_protocol::worker_pool::AttemptId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Whose a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOwner {
    Pool(ServerNo),
    Index(ServerNo),
    MembershipStub(ServerNo),
    Edge(EdgeNo, ServerNo),
    /// Half of a relayed connection between two servers: this one's.
    Peer(ServerNo),
}

impl ConnectionOwner {
    pub fn pair(self) -> (ServerNo, RemoteEndpoint) {
        match self {
            ConnectionOwner::Pool(server) => (server, RemoteEndpoint::Pool),
            ConnectionOwner::Index(server) => (server, RemoteEndpoint::Index),
            ConnectionOwner::MembershipStub(server) => (server, RemoteEndpoint::MembershipStub),
            ConnectionOwner::Edge(_, server) => (server, RemoteEndpoint::EdgeNodes),
            ConnectionOwner::Peer(server) => (server, RemoteEndpoint::Peers),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Pool(ServerNo),
    Index,
    MembershipStub,
    Edge(Wake),
    RelayedLink(ConnNo),
    Arrive,
    Begin(usize, ServerNo),
    End(usize, ServerNo),
    Look,
    Sizes,
    Start(ServerNo),
    PoolReset(usize, ServerNo),
    /// Readers of the rule book have waited long enough.
    ConfigStore,
    /// The next version of a step that publishes one after another.
    Publish(usize),
}

#[derive(Default)]
struct Lanes {
    to: RelayedLink,
    from: RelayedLink,
    /// The far side has ended; that is heard once what it said has come.
    ended: bool,
    /// The near side has ended; that is said once what it said has gone.
    closing: bool,
}

pub struct Testbed {
    pub net: Net,
    pub events: Vec<Event>,
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Pools and the index are woken by their next end alone: later timers for them are not set.
    next_of: BTreeMap<Timer, Duration>,
    timers_set: u64,
    pub now: Duration,
    whose: HashMap<ConnNo, ConnectionOwner>,
    lanes: HashMap<ConnNo, Lanes>,
    corruptions: BTreeMap<(ServerNo, RemoteEndpoint), (Corruption, Corruption)>,
    /// Servers that edge nodes can't reach.
    pub unreachable: BTreeSet<ServerNo>,
    pub ports: HashMap<PortNo, (ServerNo, RemoteEndpoint)>,
    /// Relays between servers: who asks, and whom.
    pub relays: HashMap<PortNo, (ServerNo, ServerNo)>,
    pub addrs: Vec<SocketAddr>,
    pub incarnations: Vec<Incarnation>,
    pub checker: InvariantChecker,
    pub book: RunRecord,
    pub list: MembershipStub,
    pub lag: Duration,
    pub old_list: Duration,
    /// The list that edge nodes read names each server twice, and one that never was.
    pub wrong_list: bool,
    /// Tries that are over, answered or not, until their pools have heard of it.
    pub over: Vec<(ServerNo, AttemptId)>,
    /// What was judged by a version of the rule book, until the checker has heard of it.
    pub acts: Vec<Act>,
    /// The txns that calls at the index are made for.
    pub parents: HashMap<ConnNo, String>,
    pub unix_zero: Duration,
    draw: RandomStream,
}

impl Testbed {
    pub fn new(
        checker: InvariantChecker,
        book: RunRecord,
        list: MembershipStub,
        lag: Duration,
        servers: usize,
        draw: RandomStream,
    ) -> io::Result<Testbed> {
        Ok(Testbed {
            net: Net::new()?,
            events: Vec::new(),
            timers: BinaryHeap::new(),
            next_of: BTreeMap::new(),
            timers_set: 0,
            now: Duration::ZERO,
            whose: HashMap::new(),
            lanes: HashMap::new(),
            corruptions: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            ports: HashMap::new(),
            relays: HashMap::new(),
            addrs: Vec::new(),
            incarnations: vec![Incarnation(0); servers],
            checker,
            book,
            list,
            lag,
            old_list: Duration::ZERO,
            wrong_list: false,
            over: Vec::new(),
            acts: Vec::new(),
            parents: HashMap::new(),
            unix_zero: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            draw,
        })
    }

    /// The call on this seat is over.
    pub fn reply_over(&mut self, reply_to: (ConnNo, MessageId)) {
        if let Some(asked) = self.checker.at(reply_to) {
            self.over.push((asked.server, asked.attempt));
        }
    }

    pub fn wake(&mut self, at: Duration, timer: Timer) {
        // These are asked for again at every event; one that is set no later will do.
        if matches!(timer, Timer::Pool(_) | Timer::Index | Timer::MembershipStub | Timer::RelayedLink(_)) {
            if self.next_of.get(&timer).is_some_and(|set| *set <= at) {
                return;
            }
            self.next_of.insert(timer, at);
        }
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, timer)));
    }

    pub fn next(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((at, _, _))| *at)
    }

    /// The next timer that has come.
    pub fn due(&mut self, now: Duration) -> Option<Timer> {
        self.now = self.now.max(now);
        let Reverse((at, _, timer)) = *self.timers.peek().filter(|Reverse((at, _, _))| *at <= now)?;
        self.timers.pop();
        if self.next_of.get(&timer) == Some(&at) {
            self.next_of.remove(&timer);
        }
        Some(timer)
    }

    pub fn own(&mut self, conn: ConnNo, whose: ConnectionOwner) {
        self.whose.insert(conn, whose);
        let (server, far) = whose.pair();
        if self.corruptions.get(&(server, far)).is_some_and(|(_, from)| from.unread) {
            self.net.pause(conn, true);
        }
    }

    pub fn whose(&self, conn: ConnNo) -> Option<ConnectionOwner> {
        self.whose.get(&conn).copied()
    }

    /// It is nobody's any more, and ends.
    pub fn disown(&mut self, conn: ConnNo) -> Option<ConnectionOwner> {
        self.parents.remove(&conn);
        let parked = self.lanes.get(&conn).is_some_and(|l| l.closing);
        if !parked {
            self.lanes.remove(&conn);
            self.net.close(conn);
        }
        self.whose.remove(&conn)
    }

    /// Ends a connection once what was said on it has gone.
    pub fn close(&mut self, conn: ConnNo) {
        let held = self.lanes.get_mut(&conn).filter(|l| !l.to.is_empty());
        match held {
            Some(lanes) => lanes.closing = true,
            None => self.net.close(conn),
        }
    }

    fn corruption_of(&self, conn: ConnNo) -> Option<&(Corruption, Corruption)> {
        self.corruptions.get(&self.whose.get(&conn)?.pair())
    }

    pub fn corruptions(&self, server: ServerNo, far: RemoteEndpoint) -> bool {
        self.corruptions.contains_key(&(server, far))
    }

    pub fn spoils_edges(&self, conn: ConnNo) -> bool {
        self.corruption_of(conn).is_some()
    }

    pub fn of_pair(&self, server: ServerNo, far: RemoteEndpoint) -> Vec<ConnNo> {
        let mut all: Vec<ConnNo> =
            self.whose.iter().filter(|(_, w)| w.pair() == (server, far)).map(|(c, _)| *c).collect();
        all.sort();
        all
    }

    /// From now on this is done to what the pair says, where it is named.
    pub fn set_corruption(
        &mut self,
        now: Duration,
        server: ServerNo,
        far: RemoteEndpoint,
        to: Option<Corruption>,
        from: Option<Corruption>,
    ) {
        let both = self.corruptions.entry((server, far)).or_default();
        if let Some(to) = to {
            both.0 = to;
        }
        if let Some(from) = from {
            both.1 = from;
        }
        let unread = both.1.unread;
        if both.0.none() && both.1.none() {
            self.corruptions.remove(&(server, far));
        }
        for conn in self.of_pair(server, far) {
            self.net.pause(conn, unread);
            self.wake(now, Timer::RelayedLink(conn));
        }
    }

    /// A stand-in says something to a process.
    pub fn say(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let none = Corruption::default();
        let corruption = self.corruption_of(conn).map_or(none, |(to, _)| to.clone());
        match self.lanes.get(&conn) {
            None if corruption.none() => return self.net.send(conn, bytes),
            Some(lanes) if lanes.to.clear(&corruption) => return self.net.send(conn, bytes),
            _ => {}
        }
        let lane = &mut self.lanes.entry(conn).or_default().to;
        lane.enter(now, bytes.to_vec(), &corruption, &mut self.draw);
        if let Some(at) = lane.next(&corruption) {
            self.wake(at, Timer::RelayedLink(conn));
        }
    }

    /// A process has said something: what of it comes through at once.
    pub fn heard(&mut self, now: Duration, conn: ConnNo, bytes: Vec<u8>) -> Option<Vec<u8>> {
        self.now = self.now.max(now);
        let corruption = self.corruption_of(conn).map_or(Corruption::default(), |(_, from)| from.clone());
        match self.lanes.get(&conn) {
            None if corruption.none() => return Some(bytes),
            Some(lanes) if lanes.from.clear(&corruption) => return Some(bytes),
            _ => {}
        }
        let lane = &mut self.lanes.entry(conn).or_default().from;
        lane.enter(now, bytes, &corruption, &mut self.draw);
        let (full, at) = (lane.full(), lane.next(&corruption));
        if full {
            self.net.pause(conn, true);
        }
        if let Some(at) = at {
            self.wake(at, Timer::RelayedLink(conn));
        }
        None
    }

    /// Whether the end of a connection is heard only once what was said on it has come.
    pub fn ends_later(&mut self, conn: ConnNo) -> bool {
        let dead = self.corruption_of(conn).is_some_and(|(_, from)| from.dead);
        match self.lanes.get_mut(&conn) {
            Some(lanes) if !lanes.from.is_empty() || dead => {
                lanes.ended = true;
                self.net.deaf(conn);
                true
            }
            None if dead => {
                self.lanes.entry(conn).or_default().ended = true;
                self.net.deaf(conn);
                true
            }
            _ => false,
        }
    }

    /// What may come out of a connection's lanes by now. Says whether it is to be reset, and whether its end is
    /// now heard.
    pub fn release(&mut self, now: Duration, conn: ConnNo, from: &mut Vec<u8>) -> (bool, bool) {
        let corruptions = self.corruption_of(conn).cloned().unwrap_or_default();
        let Some(lanes) = self.lanes.get_mut(&conn) else { return (false, false) };
        let mut to = Vec::new();
        let out = lanes.to.leave(now, &corruptions.0, &mut to);
        let back = lanes.from.leave(now, &corruptions.1, from);
        let next = lanes.to.next(&corruptions.0).into_iter().chain(lanes.from.next(&corruptions.1)).min();
        let ended = lanes.ended && lanes.from.is_empty() && !corruptions.1.dead;
        let gone = lanes.closing && lanes.to.is_empty();
        let room = !lanes.from.full() && !lanes.ended && !corruptions.1.unread;
        self.net.send(conn, &to);
        if gone {
            self.lanes.remove(&conn);
            self.net.close(conn);
            return (false, false);
        }
        if room {
            self.net.pause(conn, false);
        }
        if let Some(at) = next {
            self.wake(at.max(now), Timer::RelayedLink(conn));
        }
        (out.is_err() || back.is_err(), ended)
    }

    /// A server said what is no command.
    pub fn pool_misuse(&mut self, now: Duration, server: ServerNo, why: &str) {
        if !self.corruptions(server, RemoteEndpoint::Pool) {
            let what = format!("it told its pool what is no command: {why}");
            self.checker.breaks(now, Rule::Mixed, None, Some(server), what);
        }
    }
}
