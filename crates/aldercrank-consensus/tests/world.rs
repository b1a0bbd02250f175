//! Servers and their committee in virtual time, with whatever may go wrong between them; and the promise, judged from
//! outside: at each moment every server that may act does, and nobody acts on an older version for longer than the
//! bound after somebody acted on a newer one.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_consensus::{
    follower, member, messages::VersionSummary, CommittedState, CommitteeMember, ConfigVersion,
    CorrelationId, Follower, InjectedFault, PeerRequest, PeerResponse, PermissionLevel, QuotaHandover,
    ServerName, Terms, VersionId,
};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
pub const WITHIN: Duration = Duration::from_secs(2);

/// A small generator of its own, so that a seed gives the same world everywhere.
pub struct Draw(pub u64);

impl Draw {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) * n) >> 31
    }
    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

pub fn name(n: usize) -> ServerName {
    ServerName::new(&format!("n{n:04}"))
}

/// A text: the number, who is on the committee, and words about it (`incompatibility=NAME`, `restrictions`, `servers=N`).
pub fn version(number: u64, committee: &[usize], words: &str) -> ConfigVersion {
    let members: Vec<String> = committee.iter().map(|n| name(*n).to_string()).collect();
    let text = format!("{number};{};{words}", members.join(","));
    let mut digest = [0; 32];
    let sum = text.bytes().fold(0xcbf29ce484222325u64, |d, b| (d ^ u64::from(b)).wrapping_mul(0x100000001b3));
    digest[..8].copy_from_slice(&sum.to_le_bytes());
    ConfigVersion { version_id: VersionId { number, digest }, text: Arc::from(text) }
}

pub fn read(me: &ServerName, version_id: &VersionId, text: &str) -> Option<VersionSummary> {
    let parts: Vec<&str> = text.split(';').collect();
    if doc_of(text).version_id != *version_id {
        return None;
    }
    let word = |key: &str| parts[2].split(' ').find_map(|w| w.strip_prefix(key));
    let servers = word("servers=").map(|n| (0..n.parse().unwrap()).map(name).collect());
    Some(VersionSummary {
        misfit: word("misfit=").filter(|n| **n == *me.0).map(|_| "it has no such product".to_string()),
        committee: parts[1].split(',').map(ServerName::new).collect(),
        servers,
        restrictions: word("restrictions")
            .map(|_| "a product may not run again".to_string())
            .into_iter()
            .collect(),
    })
}

fn doc_of(text: &str) -> ConfigVersion {
    let parts: Vec<&str> = text.split(';').collect();
    let members: Vec<usize> = parts[1].split(',').map(|m| m[1..].parse().unwrap()).collect();
    version(parts[0].parse().unwrap(), &members, parts[2])
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A question arrives.
    Asked {
        from: usize,
        to: usize,
        correlation_id: CorrelationId,
        side: Side,
        request: PeerRequest,
    },
    Answered {
        to: usize,
        correlation_id: CorrelationId,
        side: Side,
        response: Box<PeerResponse>,
    },
    News {
        to: usize,
        proposed: Option<VersionId>,
    },
    Woken {
        who: usize,
    },
}

/// Who asked: a server, or the member in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Follower,
    CommitteeMember,
}

pub struct Process {
    pub follower: Follower,
    pub member: Option<CommitteeMember>,
    pub life: u64,
    pub up: bool,
    /// Stopped: nothing of it runs until it is continued.
    pub stopped: bool,
    late: Vec<Event>,
    /// Its clock's rate, in thousandths, and where it stood when the world began: no two agree on the time.
    rate: u32,
    zero: Duration,
    /// What a member keeps on its disk, and the version that a server does.
    acceptor_state: Option<member::AcceptorState>,
    pub disk: bool,
    pub share: QuotaHandover<u32>,
    /// The version that it goes by.
    pub book: Option<u64>,
    seen_by: BTreeSet<usize>,
    /// Questions of its server side that have come to a member.
    pub exchanges: u32,
}

#[derive(Default)]
struct Said {
    asks: Vec<(ServerName, CorrelationId, PeerRequest)>,
    news: Option<Option<VersionId>>,
    acceptor_state: Option<member::AcceptorState>,
    book: Option<(u64, Duration)>,
}

struct Hand<'a>(&'a mut Said, &'a ServerName);

impl follower::Ports for Hand<'_> {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        self.0.asks.push((to.clone(), correlation_id, request));
    }
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        _: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        read(self.1, version_id, text)
    }
    fn version_committed(&mut self, version: &ConfigVersion, _: &VersionSummary, stood: Duration) {
        self.0.book = Some((version.version_id.number, stood));
    }
}

impl member::Ports for Hand<'_> {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        self.0.asks.push((to.clone(), correlation_id, request));
    }
    fn notify(&mut self, proposed: Option<VersionId>) {
        // What stands is asked about with the draft; the last word is enough.
        self.0.news = Some(proposed);
    }
    fn keep(&mut self, acceptor_state: &member::AcceptorState) {
        self.0.acceptor_state = Some(acceptor_state.clone());
    }
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        _: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        read(self.1, version_id, text)
    }
}

pub struct World {
    pub now: Duration,
    pub terms: Terms,
    pub all: Vec<Process>,
    committee: Vec<usize>,
    genesis: ConfigVersion,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    what: Vec<Option<Event>>,
    pub draw: Draw,
    /// Processes that can't be heard by others, nor hear them; and how long words take.
    pub cut: BTreeSet<usize>,
    /// Ways that are dead: from, to.
    pub deaf: BTreeSet<(usize, usize)>,
    pub delay: (Duration, Duration),
    pub lose: u64,
    pub messages: u64,
    /// By version: when it was first acted on, and last.
    pub acts: BTreeMap<u64, (Duration, Duration)>,
    pub farthest: Duration,
    pub back: Vec<String>,
    pub most_shares: u32,
    /// The share of each version's two zones, even and odd servers.
    pub shares: Rc<RefCell<BTreeMap<u64, [u32; 2]>>>,
}

impl World {
    pub fn new(
        servers: usize,
        committee: &[usize],
        seed: u64,
        injected_fault: Option<InjectedFault>,
    ) -> World {
        let mut terms = Terms::new(WITHIN, Duration::from_secs(60));
        terms.injected_fault = injected_fault;
        let mut world = World {
            now: Duration::ZERO,
            all: Vec::new(),
            committee: committee.to_vec(),
            genesis: version(1, committee, &format!("servers={servers}")),
            events: BinaryHeap::new(),
            what: Vec::new(),
            draw: Draw(seed.wrapping_mul(7919).wrapping_add(12345)),
            cut: BTreeSet::new(),
            deaf: BTreeSet::new(),
            delay: (MS / 5, MS),
            lose: 0,
            messages: 0,
            acts: BTreeMap::new(),
            farthest: Duration::ZERO,
            back: Vec::new(),
            most_shares: 0,
            shares: Rc::default(),
            terms,
        };
        for n in 0..servers {
            let process = world.process(n, 1, false);
            world.all.push(process);
        }
        for n in 0..servers {
            world.begin(n);
        }
        world
    }

    fn process(&mut self, n: usize, life: u64, disk: bool) -> Process {
        let committee: Vec<ServerName> = self.committee.iter().map(|n| name(*n)).collect();
        let own = self.committee.iter().position(|m| *m == n);
        let spread = own.unwrap_or(n) as u64;
        Process {
            follower: Follower::new(name(n), committee, spread, self.terms.clone()),
            member: None,
            life,
            up: true,
            stopped: false,
            late: Vec::new(),
            rate: 1000,
            zero: Duration::from_secs(60 * n as u64 % 7919),
            acceptor_state: None,
            disk,
            share: QuotaHandover::new(self.terms.clone(), Duration::ZERO),
            book: None,
            seen_by: BTreeSet::new(),
            exchanges: 0,
        }
    }

    /// A life of a process begins; a member with a disk finds its votes there.
    fn begin(&mut self, n: usize) {
        let rate = 995 + self.draw.below(11) as u32;
        let p = &mut self.all[n];
        p.rate = rate;
        let local = local(self.now, rate) + p.zero;
        if self.committee.contains(&n) {
            let (acceptor_state, me) = (p.acceptor_state.clone().filter(|_| p.disk), name(n));
            let mut said = Said::default();
            let mut hand = Hand(&mut said, &me);
            let life = (n as u64) << 32 | p.life;
            let id = (me.clone(), life);
            p.member = CommitteeMember::new(
                local,
                id,
                self.genesis.clone(),
                acceptor_state,
                self.terms.clone(),
                &mut hand,
            );
            self.carry(n, Side::CommitteeMember, said);
        }
        self.at(self.now, Event::Woken { who: n });
    }

    pub fn kill(&mut self, n: usize) {
        let p = &mut self.all[n];
        (p.up, p.stopped) = (false, false);
        p.late.clear();
    }

    pub fn restart(&mut self, n: usize) {
        if self.all[n].up {
            return;
        }
        let (life, acceptor_state, disk) =
            (self.all[n].life + 1, self.all[n].acceptor_state.take(), self.all[n].disk);
        let mut process = self.process(n, life, disk);
        process.acceptor_state = acceptor_state.filter(|_| disk);
        self.all[n] = process;
        self.begin(n);
    }

    pub fn stop(&mut self, n: usize) {
        self.all[n].stopped = true;
    }

    /// Continued: all that has come for it meanwhile comes at once.
    pub fn go_on(&mut self, n: usize) {
        if std::mem::take(&mut self.all[n].stopped) {
            // Its first act may come before it has looked at anything.
            self.act(n);
            for event in std::mem::take(&mut self.all[n].late) {
                self.at(self.now, event);
            }
        }
    }

    /// A new version is at the list service, and the member hears of it.
    pub fn propose(&mut self, member: usize, version: &ConfigVersion) {
        let now = self.local(member);
        let mut said = Said::default();
        let p = &mut self.all[member];
        if !p.up || p.stopped {
            return;
        }
        if let Some(m) = &mut p.member {
            let _ = m.version_proposed(now, version.clone(), &mut Hand(&mut said, &name(member)));
        }
        self.carry(member, Side::CommitteeMember, said);
    }

    fn local(&self, n: usize) -> Duration {
        local(self.now, self.all[n].rate) + self.all[n].zero
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.what.push(Some(event));
        let id = self.what.len() - 1;
        self.events.push(Reverse((at, id as u64, id)));
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut.contains(&a) != self.cut.contains(&b) || self.deaf.contains(&(a, b)))
    }

    fn way(&mut self, from: usize, to: usize, event: Event) {
        if from != to {
            self.messages += 1;
            let lost = self.apart(from, to) || (self.lose > 0 && self.draw.one_in(self.lose));
            if lost {
                return;
            }
        }
        let spread = (self.delay.1 - self.delay.0).as_micros() as u64 + 1;
        let delay = self.delay.0 + Duration::from_micros(self.draw.below(spread));
        self.at(self.now + if from == to { Duration::ZERO } else { delay }, event);
    }

    fn carry(&mut self, n: usize, side: Side, said: Said) {
        for (to, correlation_id, request) in said.asks {
            let to: usize = to.0[1..].parse().unwrap();
            self.way(n, to, Event::Asked { from: n, to, correlation_id, side, request });
        }
        if let Some(acceptor_state) = said.acceptor_state {
            self.all[n].acceptor_state = Some(acceptor_state);
        }
        if let Some(proposed) = said.news {
            for to in self.all[n].seen_by.clone() {
                self.way(n, to, Event::News { to, proposed });
            }
        }
        if let Some((book, stood)) = said.book {
            let now = self.local(n);
            let share = self.shares.borrow().get(&book).map_or(0, |s| s[n % 2]);
            if self.all[n].book.is_some_and(|before| before > book) {
                self.back.push(format!("n{n} went back to {book} at {:?}", self.now));
            }
            self.all[n].book = Some(book);
            self.all[n].share.given(now, share, stood);
        }
        let next = {
            let p = &self.all[n];
            let follower = p.follower.next();
            p.member.as_ref().map_or(follower, |m| m.next().min(follower))
        };
        let next = next.saturating_sub(self.all[n].zero);
        let at =
            Duration::from_nanos((next.as_nanos() as u64).saturating_mul(1000) / u64::from(self.all[n].rate));
        // A moment later, since a clock's rate is rounded.
        self.at(at.max(self.now + MS / 20) + MS / 1000, Event::Woken { who: n });
    }

    /// One follower does something with its ports.
    fn with_follower(&mut self, n: usize, act: impl FnOnce(&mut Follower, Duration, &mut Hand)) {
        let now = self.local(n);
        let (mut said, me) = (Said::default(), name(n));
        act(&mut self.all[n].follower, now, &mut Hand(&mut said, &me));
        self.carry(n, Side::Follower, said);
    }

    fn with_member<T>(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut CommitteeMember, Duration, &mut Hand) -> T,
    ) -> Option<T> {
        let now = self.local(n);
        let (mut said, me) = (Said::default(), name(n));
        let got = self.all[n].member.as_mut().map(|m| act(m, now, &mut Hand(&mut said, &me)));
        self.carry(n, Side::CommitteeMember, said);
        got
    }

    fn event(&mut self, event: Event) {
        let who = match &event {
            Event::Asked { to, .. } | Event::Answered { to, .. } | Event::News { to, .. } => *to,
            Event::Woken { who } => *who,
        };
        if !self.all[who].up {
            return;
        }
        if self.all[who].stopped {
            return self.all[who].late.push(event);
        }
        match event {
            Event::Asked { from, to, correlation_id, side, request } => {
                if side == Side::Follower {
                    // It has one connection, to the member that it asks.
                    for p in &mut self.all {
                        p.seen_by.remove(&from);
                    }
                    self.all[to].seen_by.insert(from);
                    self.all[from].exchanges += u32::from(from != to);
                }
                let response = self.with_member(to, |m, now, ports| m.handle_request(now, request, ports));
                let response = Box::new(response.unwrap_or(PeerResponse::Silent));
                self.way(to, from, Event::Answered { to: from, correlation_id, side, response });
            }
            Event::Answered { to, correlation_id, side, response } => match side {
                Side::Follower => self.with_follower(to, |f, now, ports| {
                    f.handle_response(now, correlation_id, *response, ports)
                }),
                Side::CommitteeMember => {
                    self.with_member(to, |m, now, ports| {
                        m.handle_response(now, correlation_id, *response, ports)
                    });
                }
            },
            Event::News { to, proposed } => {
                self.with_follower(to, |f, now, ports| f.notify(now, proposed, ports))
            }
            Event::Woken { who } => {
                let now = self.local(who);
                if self.all[who].member.as_ref().is_some_and(|m| m.next() <= now) {
                    self.with_member(who, |m, now, ports| m.timer_fired(now, ports));
                }
                if self.all[who].follower.next() <= now {
                    self.with_follower(who, |f, now, ports| f.timer_fired(now, ports));
                }
            }
        }
        self.act(who);
    }

    /// Acts if it may, and the promise is judged.
    fn act(&mut self, n: usize) {
        let now = self.local(n);
        let p = &mut self.all[n];
        let level = p.follower.level(now).0;
        if level != PermissionLevel::Full || !p.up || p.stopped {
            return;
        }
        let Some(book) = p.book else { return };
        let (_, last) = self.acts.entry(book).or_insert((self.now, self.now));
        *last = self.now;
        let newer = self.acts.range(book + 1..).map(|(_, (first, _))| *first).min();
        if let Some(first) = newer {
            self.farthest = self.farthest.max(self.now.saturating_sub(first));
        }
    }

    fn sum_of_shares(&mut self) {
        let mut sum = 0;
        for n in 0..self.all.len() {
            let now = self.local(n);
            let p = &mut self.all[n];
            if p.up && !p.stopped && p.follower.level(now).0 == PermissionLevel::Full {
                sum += p.share.share(now).0;
            }
        }
        self.most_shares = self.most_shares.max(sum);
    }

    /// Lets time pass; every so often all that may act do.
    pub fn pass(&mut self, span: Duration) {
        const LOOK: Duration = Duration::from_millis(20);
        let end = self.now + span;
        let mut look = self.now;
        while self.now < end {
            let next = self.events.peek().map_or(end, |Reverse((at, _, _))| *at).min(end);
            if look <= next {
                self.now = self.now.max(look);
                (0..self.all.len()).for_each(|n| self.act(n));
                self.sum_of_shares();
                look += LOOK;
                continue;
            }
            self.now = self.now.max(next);
            let Some(Reverse((at, _, id))) = self.events.peek().copied() else { continue };
            if at <= self.now {
                self.events.pop();
                if let Some(event) = self.what[id].take() {
                    self.event(event);
                }
            }
        }
    }

    pub fn committed(&self, n: usize) -> Option<CommittedState> {
        self.all[n].follower.committed()
    }

    pub fn level(&self, n: usize) -> PermissionLevel {
        self.all[n].follower.level(self.local(n)).0
    }

    /// How many may act on this version now.
    pub fn acting_on(&self, book: u64) -> usize {
        (0..self.all.len())
            .filter(|n| {
                self.all[*n].up && self.all[*n].book == Some(book) && self.level(*n) == PermissionLevel::Full
            })
            .count()
    }
}

fn local(now: Duration, rate: u32) -> Duration {
    now * rate / 1000
}
