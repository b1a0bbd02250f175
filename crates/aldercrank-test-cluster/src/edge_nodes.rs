//! Edge nodes and their callers as stand-ins, without sockets: they learn of servers from a list that may be old,
//! choose among them by a published habit, wait so long and no longer, and ask again where that can do no harm.

use crate::ids::{ClassNo, ConnNo, EdgeNo, Incarnation, RequestNo, ServerNo};
use crate::invariant_checker::{self, Attempt, Effect};
use crate::random::{fnv1a_hash, RandomStream};
use aldercrank_protocol::msgpack_rpc::{self, MessageId, ReceivedFields, RequestFields, ResponseHandler};
use aldercrank_protocol::worker_pool::AttemptId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Calls that may be open on a connection.
const OPEN: usize = 32;
/// The longest answer.
const ANSWER: usize = 2 << 20;
/// What crosses a close within this was never read.
const CROSSING: Duration = Duration::from_millis(50);
/// Before a referenced txn is asked for again, and before one that nobody would take.
const PAUSE: Duration = Duration::from_millis(100);
/// A server that can't be reached is left alone for this long.
const AWAY: Duration = Duration::from_millis(500);
/// How long after its expiry a call stays open, so that the checker sees whether an answer comes.
const AFTER: Duration = Duration::from_millis(200);
/// A health check is answered in this time, or it is bad.
const CHECK: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChoice {
    RoundRobin,
    /// The one with the fewest calls open.
    Least,
    /// The better of two drawn.
    TwoChoices,
    /// One server until it declines or breaks.
    Sticky,
}

#[derive(Clone, Debug, PartialEq)]
pub struct CallerPolicy {
    pub choose: ServerChoice,
    /// Tries of one txn at most.
    pub attempts: u32,
    /// How long one try of an inquiry-like txn may take before another server is asked.
    pub patience: Option<Duration>,
    /// Heeds `backoff`, `final` and the free value.
    pub heeds: bool,
    /// Later tries for each first one, at most.
    pub retry_budget: f64,
    pub checks: Option<Duration>,
    /// Connections to one server at most.
    pub connections: usize,
    pub idle: Duration,
    /// The share of callers that go before their time.
    pub leave: f64,
    /// Asks again for a referenced txn whose connection broke, on the same server.
    pub again: bool,
}

#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: String,
    pub effect: Effect,
    pub value: f64,
    pub late: f64,
    /// What a result made without its call is worth.
    pub without: f64,
    pub latency_target: Duration,
    pub deadline: Duration,
    pub memory_kb: f64,
    pub body: usize,
}

/// How a txn ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    InTime,
    Late,
    Rejected,
    Failed,
    /// No answer in the caller's time.
    Expired,
    /// The caller went.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    /// The caller's whole time is over.
    Expiry(RequestNo),
    /// One try has taken as long as it may.
    TryEnd(RequestNo, u32),
    /// The caller goes before its time.
    Leaves(RequestNo),
    Again(RequestNo),
    /// Is an answer still owed on this call?
    Owed(ConnNo, MessageId),
    Learn(EdgeNo),
    Check(EdgeNo),
    /// Has this health check been answered?
    Checked(EdgeNo, ServerNo, u32),
}

pub trait Ports {
    fn connect(&mut self, edge: EdgeNo, server: ServerNo) -> Option<ConnNo>;
    fn send(&mut self, conn: ConnNo, bytes: &[u8]);
    fn close(&mut self, conn: ConnNo);
    fn wake(&mut self, at: Duration, what: Wake);
    /// This moment by the Unix clock, in milliseconds.
    fn unix_ms(&self, at: Duration) -> u64;
    fn incarnation(&self, server: ServerNo) -> Incarnation;
    /// The servers that this edge node believes in.
    fn view(&mut self, edge: EdgeNo, now: Duration) -> Vec<ServerNo>;
    /// For the checker.
    fn asked(&mut self, asked: Attempt);
    fn answered(
        &mut self,
        now: Duration,
        server: ServerNo,
        reply_to: (ConnNo, MessageId),
        result: Option<&[u8]>,
        rejected: bool,
        rules: Option<u64>,
    );
    fn taken_back(&mut self, reply_to: (ConnNo, MessageId));
    fn broken_off(&mut self, now: Duration, reply_to: (ConnNo, MessageId), ours: bool);
    /// Whether nothing is owed there any more.
    fn overdue(&mut self, now: Duration, reply_to: (ConnNo, MessageId)) -> bool;
    fn ended(&mut self, now: Duration, request: RequestNo, by: &Request, end: End);
}

pub struct Request {
    pub edge: EdgeNo,
    pub class: ClassNo,
    pub token: Option<u64>,
    pub rank: f64,
    pub born: Duration,
    pub latency_target: Duration,
    pub deadline: Duration,
    pub attempts: u32,
    /// Where it is being asked for, since when.
    reply_to: Option<(ConnNo, MessageId)>,
    sent: Duration,
    /// It may have run there, so it is asked for nowhere else.
    pinned: Option<ServerNo>,
    tried: Vec<ServerNo>,
    last: End,
    pub end: Option<End>,
    /// Its result was made without the call that it needed.
    pub poorer: bool,
}

struct Conn {
    edge: EdgeNo,
    server: ServerNo,
    stands: bool,
    check: bool,
    next: u32,
    open: BTreeMap<MessageId, (RequestNo, Duration)>,
    closing: Option<Duration>,
    idle_since: Duration,
    input: Vec<u8>,
}

impl Conn {
    fn new(edge: EdgeNo, server: ServerNo, check: bool, now: Duration) -> Conn {
        Conn {
            edge,
            server,
            stands: false,
            check,
            next: 0,
            open: BTreeMap::new(),
            closing: None,
            idle_since: now,
            input: Vec::new(),
        }
    }
}

#[derive(Default)]
struct Server {
    conns: Vec<ConnNo>,
    open: usize,
    away_until: Duration,
    broke: Option<Duration>,
    sick: bool,
    hint: Option<f64>,
    check: Option<(ConnNo, u32)>,
}

struct Edge {
    known: BTreeMap<ServerNo, Server>,
    listed: Vec<ServerNo>,
    turn: usize,
    stays: Option<ServerNo>,
    firsts: f64,
    again: f64,
}

pub struct EdgeNodes {
    policy: CallerPolicy,
    classes: Vec<RequestClass>,
    learn: Duration,
    edges: Vec<Edge>,
    conns: BTreeMap<ConnNo, Conn>,
    pub requests: Vec<Request>,
    draw: RandomStream,
    seed: u64,
}

/// What was heard on a connection, gathered while its bytes are borrowed.
enum Heard {
    Completed(MessageId, Vec<u8>, ReceivedFields),
    Rejected(MessageId, ReceivedFields),
    Failed(MessageId, ReceivedFields),
    Checked(MessageId, bool),
    Closing,
}

#[derive(Default)]
struct Ear(Vec<Heard>);

impl ResponseHandler for Ear {
    fn completed(&mut self, call: MessageId, result: &[u8], with: ReceivedFields) {
        self.0.push(Heard::Completed(call, result.to_vec(), with));
    }
    fn rejected(&mut self, call: MessageId, with: ReceivedFields) {
        self.0.push(Heard::Rejected(call, with));
    }
    fn failed(&mut self, call: MessageId, _why: &str, with: ReceivedFields) {
        self.0.push(Heard::Failed(call, with));
    }
    fn health_reported(&mut self, call: MessageId, good: bool, _with: ReceivedFields) {
        self.0.push(Heard::Checked(call, good));
    }
    fn closing(&mut self) {
        self.0.push(Heard::Closing);
    }
}

/// A txn's body: the same for all its tries.
pub fn body(seed: u64, request: RequestNo, length: usize) -> Vec<u8> {
    let word = format!("{seed:x}.{} ", request.0).into_bytes();
    word.iter().copied().cycle().take(length).collect()
}

impl EdgeNodes {
    pub fn new(
        policy: CallerPolicy,
        classes: Vec<RequestClass>,
        edges: usize,
        learn: Duration,
        seed: u64,
    ) -> EdgeNodes {
        let edge = || Edge {
            known: BTreeMap::new(),
            listed: Vec::new(),
            turn: 0,
            stays: None,
            firsts: 0.0,
            again: 0.0,
        };
        let edges = (0..edges).map(|_| edge()).collect();
        let draw = RandomStream::of(seed, "edge nodes");
        EdgeNodes { policy, classes, learn, edges, conns: BTreeMap::new(), requests: Vec::new(), draw, seed }
    }

    pub fn begin(&mut self, now: Duration, ports: &mut impl Ports) {
        for n in 0..self.edges.len() {
            let edge = EdgeNo(n as u16);
            self.woken(now, Wake::Learn(edge), ports);
            if let Some(every) = self.policy.checks {
                ports.wake(now + every.mul_f64(self.draw.unit()), Wake::Check(edge));
            }
        }
    }

    /// A caller comes.
    pub fn arrive(&mut self, now: Duration, edge: EdgeNo, class: ClassNo, rank: f64, ports: &mut impl Ports) {
        let p = &self.classes[class.0 as usize];
        let number = RequestNo(self.requests.len() as u32);
        let token = (p.effect == Effect::Keyed).then_some(u64::from(number.0) + 1);
        let request = Request {
            edge,
            class,
            token,
            rank,
            born: now,
            latency_target: now + p.latency_target,
            deadline: now + p.deadline,
            attempts: 0,
            reply_to: None,
            sent: now,
            pinned: None,
            tried: Vec::new(),
            last: End::Expired,
            end: None,
            poorer: false,
        };
        ports.wake(request.deadline, Wake::Expiry(number));
        if self.draw.chance(self.policy.leave) {
            ports.wake(now + p.deadline.mul_f64(self.draw.unit()), Wake::Leaves(number));
        }
        self.requests.push(request);
        self.edges[edge.0 as usize].firsts += 1.0;
        self.place(now, number, ports);
    }

    fn finish(&mut self, now: Duration, number: RequestNo, end: End, ports: &mut impl Ports) {
        let request = &mut self.requests[number.0 as usize];
        if request.end.is_none() {
            request.end = Some(end);
            ports.ended(now, number, request, end);
        }
    }

    /// Whether this server may be asked for something new.
    fn willing(&self, edge: &Edge, server: ServerNo, now: Duration) -> bool {
        let Some(known) = edge.known.get(&server) else { return true };
        !known.sick && (now >= known.away_until || !self.policy.heeds && known.broke.is_none())
    }

    fn pick(&mut self, now: Duration, number: RequestNo) -> Option<ServerNo> {
        let request = &self.requests[number.0 as usize];
        if request.pinned.is_some() {
            return request.pinned;
        }
        let n = request.edge.0 as usize;
        let edge = &self.edges[n];
        let fit = |tried: bool| -> Vec<ServerNo> {
            let all = edge.listed.iter().copied().filter(|s| self.willing(edge, *s, now));
            all.filter(|s| tried || !request.tried.contains(s)).collect()
        };
        let fresh = fit(false);
        let among = if fresh.is_empty() { fit(true) } else { fresh };
        if among.is_empty() {
            return None;
        }
        let open = |s: ServerNo| self.edges[n].known.get(&s).map_or(0, |k| k.open);
        let picked = match self.policy.choose {
            ServerChoice::RoundRobin => among[self.edges[n].turn % among.len()],
            ServerChoice::Least => {
                let turn = self.edges[n].turn;
                let order = (0..among.len()).map(|i| among[(i + turn) % among.len()]);
                order.min_by_key(|s| open(*s)).unwrap_or(among[0])
            }
            ServerChoice::TwoChoices => {
                let (a, b) = (self.draw.below(among.len()), self.draw.below(among.len()));
                if open(among[a]) <= open(among[b]) {
                    among[a]
                } else {
                    among[b]
                }
            }
            ServerChoice::Sticky => {
                let stays = self.edges[n].stays.filter(|s| among.contains(s));
                stays.unwrap_or_else(|| among[self.draw.below(among.len())])
            }
        };
        let edge = &mut self.edges[n];
        edge.turn = edge.turn.wrapping_add(1);
        edge.stays = Some(picked);
        Some(self.skip(n, picked, &among))
    }

    /// The free value, where it is a share, is the chance that a caller stays with a server.
    fn skip(&mut self, n: usize, picked: ServerNo, among: &[ServerNo]) -> ServerNo {
        let hint = self.edges[n].known.get(&picked).and_then(|k| k.hint);
        match hint.filter(|_| self.policy.heeds) {
            Some(stay) if self.draw.unit() >= stay => among[self.draw.below(among.len())],
            _ => picked,
        }
    }

    /// A connection to this server with room for one more call.
    fn reply_to(
        &mut self,
        now: Duration,
        n: EdgeNo,
        server: ServerNo,
        ports: &mut impl Ports,
    ) -> Option<ConnNo> {
        let known = self.edges[n.0 as usize].known.entry(server).or_default();
        let roomy =
            |c: &&ConnNo| self.conns.get(c).is_some_and(|c| c.open.len() < OPEN && c.closing.is_none());
        let room = known.conns.iter().filter(roomy).min_by_key(|c| self.conns[c].open.len()).copied();
        let idle = room.filter(|c| self.conns[c].open.is_empty());
        if idle.is_some() || (room.is_some() && known.conns.len() >= self.policy.connections) {
            return room;
        }
        if known.conns.len() >= self.policy.connections.max(1) {
            return None;
        }
        let Some(conn) = ports.connect(n, server) else {
            (known.away_until, known.broke) = (now + AWAY, Some(now));
            return room;
        };
        known.conns.push(conn);
        self.conns.insert(conn, Conn::new(n, server, false, now));
        Some(conn)
    }

    /// Asks for it somewhere, or ends it where there is nobody to ask.
    fn place(&mut self, now: Duration, number: RequestNo, ports: &mut impl Ports) {
        let request = &self.requests[number.0 as usize];
        if request.end.is_some() || now >= request.deadline {
            return;
        }
        let edge = request.edge;
        let Some(server) = self.pick(now, number) else {
            return ports.wake(now + PAUSE, Wake::Again(number));
        };
        let Some(conn) = self.reply_to(now, edge, server, ports) else {
            self.requests[number.0 as usize].tried.push(server);
            return ports.wake(now + PAUSE, Wake::Again(number));
        };
        self.ask(now, number, conn, ports);
    }

    fn ask(&mut self, now: Duration, number: RequestNo, conn: ConnNo, ports: &mut impl Ports) {
        let request = &mut self.requests[number.0 as usize];
        let p = &self.classes[request.class.0 as usize];
        let c = self.conns.get_mut(&conn).expect("the seat was just found");
        c.next += 1;
        let (call, server) = (MessageId(c.next), c.server);
        request.attempts += 1;
        (request.reply_to, request.sent) = (Some((conn, call)), now);
        request.tried.push(server);
        let whole = request.deadline - now;
        let patience = self.policy.patience.filter(|_| p.effect == Effect::Idempotent);
        let wait = patience.map_or(whole, |p| p.min(whole));
        // A millisecond is the wire's measure; what is left of one is the server's.
        let budget = (wait.as_millis() as u64).max(1);
        let id = format!("{:08x}{:08x}", number.0 + 1, request.attempts);
        let attempt = AttemptId::new(&id).expect("sixteen hex digits");
        let body = body(self.seed, number, p.body);
        let token = request.token.map(|t| format!("{t:032x}"));
        let fields = RequestFields {
            attempt: Some(&id),
            t0: Some(ports.unix_ms(now)),
            peer: Some(u64::from(request.edge.0) + 1),
            budget: Some(budget),
            mem: Some(p.memory_kb),
            prio: Some(request.rank),
            token: token.as_deref(),
            obj: None,
        };
        let mut bytes = Vec::with_capacity(256 + body.len());
        msgpack_rpc::write_request(&mut bytes, call, &p.name, &fields, &body);
        c.open.insert(call, (number, now));
        let deadline = now + Duration::from_millis(budget);
        let asked = Attempt {
            request: number,
            attempt,
            edge: request.edge,
            server,
            incarnation: ports.incarnation(server),
            reply_to: (conn, call),
            class: request.class,
            token: request.token,
            body: fnv1a_hash(&body),
            asked: now,
            deadline,
        };
        if wait < whole {
            ports.wake(deadline, Wake::TryEnd(number, request.attempts));
        }
        ports.wake(deadline + AFTER, Wake::Owed(conn, call));
        self.edges[request.edge.0 as usize].known.entry(server).or_default().open += 1;
        ports.asked(asked);
        ports.send(conn, &bytes);
    }

    /// What was asked for there has not come to anything. `ran` says whether it may have run.
    fn retry(
        &mut self,
        now: Duration,
        number: RequestNo,
        server: ServerNo,
        ran: bool,
        ports: &mut impl Ports,
    ) {
        let request = &mut self.requests[number.0 as usize];
        if request.end.is_some() {
            return;
        }
        request.reply_to = None;
        let effect = self.classes[request.class.0 as usize].effect;
        let edge = &mut self.edges[request.edge.0 as usize];
        let broke = edge.known.get(&server).and_then(|k| k.broke).is_some_and(|at| at >= request.sent);
        let may = match effect {
            Effect::Idempotent => true,
            Effect::Keyed => !ran || !broke || self.policy.again,
            Effect::Unsafe => !ran,
        };
        let budget = edge.again + 1.0 <= (edge.firsts * self.policy.retry_budget).max(10.0);
        let (last, attempts) = (request.last, request.attempts);
        if !may || !budget || attempts >= self.policy.attempts {
            return self.finish(now, number, last, ports);
        }
        edge.again += 1.0;
        if ran && effect == Effect::Keyed {
            request.pinned = Some(server);
            return ports.wake(now + PAUSE, Wake::Again(number));
        }
        self.place(now, number, ports);
    }

    fn left(
        &mut self,
        conn: ConnNo,
        call: MessageId,
        now: Duration,
    ) -> Option<(RequestNo, Duration, ServerNo, EdgeNo)> {
        let c = self.conns.get_mut(&conn)?;
        let (request, sent) = c.open.remove(&call)?;
        c.idle_since = now;
        let known = self.edges[c.edge.0 as usize].known.entry(c.server).or_default();
        known.open = known.open.saturating_sub(1);
        Some((request, sent, c.server, c.edge))
    }

    pub fn stood(&mut self, conn: ConnNo) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.stands = true;
        }
    }

    /// Bytes have come on a connection. An error means that they are no answer, and it is closed.
    pub fn heard(&mut self, now: Duration, conn: ConnNo, bytes: &[u8], ports: &mut impl Ports) -> bool {
        let Some(c) = self.conns.get_mut(&conn) else { return true };
        c.input.extend_from_slice(bytes);
        let (mut ear, mut taken, mut good) = (Ear::default(), 0, true);
        loop {
            match msgpack_rpc::read_response(&c.input[taken..], ANSWER, &mut ear) {
                Ok(Some(n)) => taken += n,
                Ok(None) => break,
                Err(_) => {
                    good = false;
                    break;
                }
            }
        }
        c.input.drain(..taken);
        for heard in ear.0 {
            self.said(now, conn, heard, ports);
        }
        good
    }

    fn said(&mut self, now: Duration, conn: ConnNo, heard: Heard, ports: &mut impl Ports) {
        let Some(server) = self.conns.get(&conn).map(|c| c.server) else { return };
        match heard {
            Heard::Completed(call, result, with) => {
                ports.answered(now, server, (conn, call), Some(&result), false, with.rules);
                let Some((request, _, server, edge)) = self.left(conn, call, now) else { return };
                self.advised(now, edge, server, with);
                self.requests[request.0 as usize].poorer |= invariant_checker::poorer(&result);
                let in_time = now <= self.requests[request.0 as usize].latency_target;
                self.finish(now, request, if in_time { End::InTime } else { End::Late }, ports);
            }
            Heard::Rejected(call, with) => {
                ports.answered(now, server, (conn, call), None, true, with.rules);
                let Some((request, _, server, edge)) = self.left(conn, call, now) else { return };
                self.advised(now, edge, server, with);
                if self.current(request, conn, call) {
                    self.requests[request.0 as usize].last = End::Rejected;
                    if with.last && self.policy.heeds {
                        return self.finish(now, request, End::Rejected, ports);
                    }
                    self.retry(now, request, server, false, ports);
                }
            }
            Heard::Failed(call, with) => {
                ports.answered(now, server, (conn, call), None, false, with.rules);
                let Some((request, _, server, edge)) = self.left(conn, call, now) else { return };
                self.advised(now, edge, server, with);
                if self.current(request, conn, call) {
                    self.requests[request.0 as usize].last = End::Failed;
                    self.retry(now, request, server, true, ports);
                }
            }
            Heard::Checked(call, good) => self.checked(conn, call, good),
            Heard::Closing => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.closing = Some(now);
                    let (idle, server, edge) = (c.open.is_empty(), c.server, c.edge);
                    let known = self.edges[edge.0 as usize].known.entry(server).or_default();
                    known.conns.retain(|c| *c != conn);
                    if idle {
                        self.drop_conn(conn, ports);
                    }
                }
                return;
            }
        }
        // One that is to close does so once all on it is answered.
        let done = self.conns.get(&conn).is_some_and(|c| c.closing.is_some() && c.open.is_empty());
        if done {
            self.drop_conn(conn, ports);
        }
    }

    fn current(&self, request: RequestNo, conn: ConnNo, call: MessageId) -> bool {
        self.requests[request.0 as usize].reply_to == Some((conn, call))
    }

    fn advised(&mut self, now: Duration, edge: EdgeNo, server: ServerNo, with: ReceivedFields) {
        let known = self.edges[edge.0 as usize].known.entry(server).or_default();
        (known.hint, known.broke) = (with.hint.or(known.hint), None);
        if let Some(span) = with.retry_after {
            known.away_until = known.away_until.max(now + span);
        }
    }

    fn checked(&mut self, conn: ConnNo, call: MessageId, good: bool) {
        let Some(c) = self.conns.get(&conn).filter(|c| c.check) else { return };
        let known = self.edges[c.edge.0 as usize].known.entry(c.server).or_default();
        if known.check == Some((conn, call.0)) {
            (known.sick, known.check) = (!good, Some((conn, 0)));
        }
    }

    fn drop_conn(&mut self, conn: ConnNo, ports: &mut impl Ports) {
        ports.close(conn);
        self.forget(conn);
    }

    fn forget(&mut self, conn: ConnNo) -> Option<Conn> {
        let c = self.conns.remove(&conn)?;
        let known = self.edges[c.edge.0 as usize].known.entry(c.server).or_default();
        known.conns.retain(|other| *other != conn);
        known.open = known.open.saturating_sub(c.open.len());
        if known.check.is_some_and(|(check, _)| check == conn) {
            known.check = None;
        }
        Some(c)
    }

    /// A connection has ended from the other side, or what was said on it was no answer. `ours` says that the rig
    /// did it.
    pub fn ended(&mut self, now: Duration, conn: ConnNo, ours: bool, ports: &mut impl Ports) {
        let Some(c) = self.forget(conn) else { return };
        let known = self.edges[c.edge.0 as usize].known.entry(c.server).or_default();
        if c.check {
            known.sick = true;
            return;
        }
        let clean = c.closing.is_some() || (c.stands && c.open.is_empty());
        if !clean {
            known.broke = Some(now);
            known.away_until = known.away_until.max(now + AWAY);
        }
        for (call, (request, sent)) in c.open {
            let crossed = c.closing.is_some_and(|at| sent + CROSSING >= at);
            ports.broken_off(now, (conn, call), ours || !c.stands || crossed);
            if self.current(request, conn, call) {
                self.requests[request.0 as usize].last = End::Failed;
                self.retry(now, request, c.server, c.stands && !crossed, ports);
            }
        }
    }

    /// All connections of an edge node end: it has started again.
    pub fn restart(&mut self, now: Duration, edge: EdgeNo, ports: &mut impl Ports) {
        let own: Vec<ConnNo> = self.conns.iter().filter(|(_, c)| c.edge == edge).map(|(n, _)| *n).collect();
        for conn in own {
            ports.close(conn);
            let Some(c) = self.forget(conn) else { continue };
            for (call, (request, _)) in c.open {
                ports.taken_back((conn, call));
                if self.current(request, conn, call) {
                    self.finish(now, request, End::Gone, ports);
                }
            }
        }
        self.edges[edge.0 as usize].known.clear();
    }

    pub fn woken(&mut self, now: Duration, what: Wake, ports: &mut impl Ports) {
        match what {
            Wake::Expiry(request) => self.finish(now, request, End::Expired, ports),
            Wake::TryEnd(request, tried) => {
                let t = &self.requests[request.0 as usize];
                if let Some((conn, _)) = t.reply_to.filter(|_| t.attempts == tried && t.end.is_none()) {
                    let server = self.conns.get(&conn).map(|c| c.server);
                    self.requests[request.0 as usize].last = End::Expired;
                    if let Some(server) = server {
                        self.retry(now, request, server, true, ports);
                    }
                }
            }
            Wake::Leaves(request) => {
                let t = &self.requests[request.0 as usize];
                if let Some((conn, call)) = t.reply_to.filter(|_| t.end.is_none()) {
                    self.take_back(now, conn, call, ports);
                }
                self.finish(now, request, End::Gone, ports);
            }
            Wake::Again(request) => self.place(now, request, ports),
            Wake::Owed(conn, call) => {
                if self.conns.get(&conn).is_some_and(|c| c.open.contains_key(&call)) {
                    if ports.overdue(now, (conn, call)) {
                        self.take_back(now, conn, call, ports);
                    } else {
                        ports.wake(now + AFTER, Wake::Owed(conn, call));
                    }
                }
            }
            Wake::Learn(edge) => self.learn(now, edge, ports),
            Wake::Check(edge) => self.check(now, edge, ports),
            Wake::Checked(edge, server, number) => {
                let known = self.edges[edge.0 as usize].known.entry(server).or_default();
                if known.check.is_some_and(|(_, open)| open == number) {
                    known.sick = true;
                }
            }
        }
    }

    fn take_back(&mut self, now: Duration, conn: ConnNo, call: MessageId, ports: &mut impl Ports) {
        if self.left(conn, call, now).is_some() {
            let mut bytes = Vec::new();
            msgpack_rpc::write_cancel(&mut bytes, call);
            ports.taken_back((conn, call));
            ports.send(conn, &bytes);
        }
    }

    fn learn(&mut self, now: Duration, n: EdgeNo, ports: &mut impl Ports) {
        let view = ports.view(n, now);
        let edge = &mut self.edges[n.0 as usize];
        edge.listed = view;
        let gone: Vec<ConnNo> = edge.known.values().flat_map(|k| k.conns.iter().copied()).collect();
        for conn in gone {
            let Some(c) = self.conns.get(&conn) else { continue };
            let unlisted = !self.edges[n.0 as usize].listed.contains(&c.server);
            let idle = now.saturating_sub(c.idle_since) >= self.policy.idle;
            if c.open.is_empty() && c.stands && (idle || unlisted) {
                self.drop_conn(conn, ports);
            }
        }
        let early = self.draw.unit() * 0.1;
        ports.wake(now + self.learn.mul_f64(1.0 - early), Wake::Learn(n));
    }

    /// Asks each listed server whether it is well, on a connection of its own.
    fn check(&mut self, now: Duration, n: EdgeNo, ports: &mut impl Ports) {
        let Some(every) = self.policy.checks else { return };
        for server in self.edges[n.0 as usize].listed.clone() {
            let known = self.edges[n.0 as usize].known.entry(server).or_default();
            let conn = match known.check {
                Some((conn, 0)) => conn,
                Some(_) => continue,
                None => {
                    let Some(conn) = ports.connect(n, server) else {
                        known.sick = true;
                        continue;
                    };
                    self.conns.insert(conn, Conn::new(n, server, true, now));
                    conn
                }
            };
            let c = self.conns.get_mut(&conn).expect("it stands in the table");
            c.next += 1;
            let number = c.next;
            known.check = Some((conn, number));
            let mut bytes = Vec::new();
            msgpack_rpc::write_health_check(&mut bytes, MessageId(number));
            ports.send(conn, &bytes);
            ports.wake(now + CHECK, Wake::Checked(n, server, number));
        }
        ports.wake(now + every, Wake::Check(n));
    }

    /// Txns that are not over.
    pub fn open(&self) -> usize {
        self.requests.iter().filter(|t| t.end.is_none()).count()
    }
}
