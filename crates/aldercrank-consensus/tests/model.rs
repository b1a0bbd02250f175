//! The crate's own transitions under a model checker: three members, two servers, and what can go wrong, in steps of
//! an eighth of the bound. What is said in a step is heard in it, in its order, unless a way is cut (it is lost), held
//! (it comes later: once or twice, in its order or turned round), or its process stands stopped.
//!
//! Bounded by steps and by how much goes wrong in one history; each history within that is looked at.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_consensus::{
    follower, member, messages::VersionSummary, CommitteeMember, ConfigVersion, CorrelationId, Follower,
    InjectedFault, PeerRequest, PeerResponse, PermissionLevel, QuotaHandover, ServerName, Terms, VersionId,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(250);
const MEMBERS: usize = 3;
const ALL: usize = 5;
/// Steps in which a proposal that all can hear is decided on.
const BOUNDED: u8 = 6;

fn name(n: usize) -> ServerName {
    ServerName::new(&format!("n{n}"))
}

fn place(name: &ServerName) -> usize {
    name.0[1..].parse().unwrap()
}

/// Version `number`, with one of several contents.
fn version(number: u64, content: u8) -> ConfigVersion {
    let mut digest = [0; 32];
    (digest[0], digest[1]) = (number as u8, content);
    ConfigVersion { version_id: VersionId { number, digest }, text: Arc::from(format!("{number} {content}")) }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Word {
    PeerRequest(bool, CorrelationId, PeerRequest),
    PeerResponse(bool, CorrelationId, PeerResponse),
    News(Option<VersionId>),
}

#[derive(Default)]
struct Said {
    asks: Vec<(ServerName, CorrelationId, PeerRequest)>,
    news: Option<Option<VersionId>>,
    acceptor_state: Option<member::AcceptorState>,
    book: Option<(u64, Duration)>,
}

impl Said {
    fn read(version_id: &VersionId, text: &str) -> Option<VersionSummary> {
        let (number, content) = text.split_once(' ')?;
        let same = version(number.parse().ok()?, content.parse().ok()?).version_id == *version_id;
        same.then(|| VersionSummary {
            committee: (0..MEMBERS).map(name).collect(),
            ..VersionSummary::default()
        })
    }
}

impl follower::Ports for Said {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        self.asks.push((to.clone(), correlation_id, request));
    }
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        _: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        Said::read(version_id, text)
    }
    fn version_committed(&mut self, version: &ConfigVersion, _: &VersionSummary, stood: Duration) {
        self.book = Some((version.version_id.number, stood));
    }
}

impl member::Ports for Said {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        self.asks.push((to.clone(), correlation_id, request));
    }
    fn notify(&mut self, proposed: Option<VersionId>) {
        self.news = Some(proposed);
    }
    fn keep(&mut self, acceptor_state: &member::AcceptorState) {
        self.acceptor_state = Some(acceptor_state.clone());
    }
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        _: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        Said::read(version_id, text)
    }
}

/// Members come first, then servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Duration,
    members: Vec<Option<CommitteeMember>>,
    acceptor_state: Vec<Option<member::AcceptorState>>,
    lives: Vec<u64>,
    servers: Vec<Follower>,
    books: Vec<Option<u64>>,
    shares: Vec<QuotaHandover<u32>>,
    seen_by: BTreeMap<usize, usize>,
    stopped: BTreeSet<usize>,
    cut: BTreeSet<usize>,
    /// Ways on which all that is said is lost.
    deaf: BTreeSet<(usize, usize)>,
    held: BTreeSet<(usize, usize)>,
    /// What is on its way: from, to, what.
    way: VecDeque<(usize, usize, Word)>,
    later: Vec<(usize, usize, Word)>,
    proposed: u8,
    wrong: u8,
    steps: u8,
    /// Steps since anything went wrong, or is wrong yet, or was proposed.
    quiet: u8,
    /// When each version was first acted on; and what is broken, if anything.
    first: BTreeMap<u64, Duration>,
    broken: Option<&'static str>,
    shared: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Pass,
    Propose(usize, u8),
    Stop(usize),
    Continue(usize),
    Cut(usize),
    Heal,
    Hold(usize, usize),
    Release {
        twice: bool,
        turned: bool,
    },
    /// It ends, and begins again at once: with its votes, or knowing nothing.
    Crash(usize),
    /// What one says to the other is lost.
    Deaf(usize, usize),
    /// The list service has forgotten what was proposed last, as this member hears.
    Forget(usize),
    /// It has the version that the fleet started from again, and one that was decided on before.
    Old(usize),
    /// A server is replaced by one that knows nothing, as versions change.
    Join(usize),
}

struct Fleet {
    injected_fault: Option<InjectedFault>,
    /// Members keep their votes over a crash.
    disks: bool,
    most_steps: u8,
    most_wrong: u8,
    most_proposals: u8,
    /// What may go wrong.
    faults: Vec<Step>,
}

/// What a version gives the two servers of the index, whose calls may come to ten.
fn share(book: u64, server: usize) -> u32 {
    if (book as usize + server).is_multiple_of(2) {
        8
    } else {
        2
    }
}

impl Fleet {
    fn terms(&self) -> Terms {
        let mut terms = Terms::new(WITHIN, Duration::from_secs(60));
        terms.injected_fault = self.injected_fault;
        terms
    }

    /// A fleet that has come up: all know version 1 and hold leases on it.
    fn up(&self) -> State {
        let (committee, terms): (Vec<ServerName>, Terms) = ((0..MEMBERS).map(name).collect(), self.terms());
        let follower = |n: usize| Follower::new(name(n), committee.clone(), n as u64, terms.clone());
        let mut state = State {
            now: Duration::ZERO,
            members: vec![None; MEMBERS],
            acceptor_state: vec![None; MEMBERS],
            lives: vec![0; MEMBERS],
            servers: (MEMBERS..ALL).map(follower).collect(),
            books: vec![None; ALL - MEMBERS],
            shares: vec![QuotaHandover::new(terms.clone(), Duration::ZERO); ALL - MEMBERS],
            seen_by: BTreeMap::new(),
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            deaf: BTreeSet::new(),
            held: BTreeSet::new(),
            way: VecDeque::new(),
            later: Vec::new(),
            proposed: 0,
            wrong: 0,
            steps: 0,
            quiet: 0,
            first: BTreeMap::new(),
            broken: None,
            shared: 0,
        };
        (0..MEMBERS).for_each(|n| state.begin(n, self));
        for _ in 0..28 {
            state.pass();
        }
        assert!((0..ALL - MEMBERS).all(|n| state.servers[n].level(state.now).0 == PermissionLevel::Full));
        state.steps = 0;
        state
    }
}

impl State {
    fn begin(&mut self, n: usize, fleet: &Fleet) {
        self.lives[n] += 1;
        let acceptor_state = self.acceptor_state[n].clone().filter(|_| fleet.disks);
        let mut said = Said::default();
        let id = (name(n), self.lives[n]);
        self.members[n] =
            CommitteeMember::new(self.now, id, version(1, 0), acceptor_state, fleet.terms(), &mut said);
        self.carry(n, false, said);
    }

    fn carry(&mut self, from: usize, server: bool, said: Said) {
        for (to, correlation_id, request) in said.asks {
            if server {
                self.seen_by.insert(from, place(&to));
            }
            self.way.push_back((from, place(&to), Word::PeerRequest(server, correlation_id, request)));
        }
        if let Some(acceptor_state) = said.acceptor_state {
            self.acceptor_state[from] = Some(acceptor_state);
        }
        for (server, _) in self.seen_by.iter().filter(|(_, home)| **home == from && said.news.is_some()) {
            self.way.push_back((from, *server, Word::News(said.news.unwrap())));
        }
        if let Some((book, stood)) = said.book {
            let n = from - MEMBERS;
            if self.books[n].is_some_and(|before| before > book) {
                self.broken = Some("a version went back");
            }
            self.books[n] = Some(book);
            self.shares[n].given(self.now, share(book, from), stood);
        }
    }

    /// What is on its way is heard, until nothing more is said.
    fn deliver(&mut self) {
        while let Some((from, to, word)) = self.way.pop_front() {
            if self.cut.contains(&from) != self.cut.contains(&to) || self.deaf.contains(&(from, to)) {
                continue;
            }
            if self.held.contains(&(from, to)) || self.stopped.contains(&to) {
                self.later.push((from, to, word));
                continue;
            }
            self.hear(from, to, word);
        }
        self.act();
    }

    fn hear(&mut self, from: usize, to: usize, word: Word) {
        let (mut said, now) = (Said::default(), self.now);
        match word {
            Word::PeerRequest(server, correlation_id, request) => {
                let Some(member) = self.members[to].as_mut() else { return };
                let response = member.handle_request(now, request, &mut said);
                self.carry(to, false, said);
                return self.way.push_back((to, from, Word::PeerResponse(server, correlation_id, response)));
            }
            Word::PeerResponse(false, correlation_id, response) => {
                if let Some(member) = self.members[to].as_mut() {
                    member.handle_response(now, correlation_id, response, &mut said);
                }
            }
            Word::PeerResponse(true, correlation_id, response) => {
                self.servers[to - MEMBERS].handle_response(now, correlation_id, response, &mut said);
            }
            Word::News(proposed) => self.servers[to - MEMBERS].notify(now, proposed, &mut said),
        }
        self.carry(to, to >= MEMBERS, said);
        self.act();
    }

    fn timer_fired(&mut self, n: usize) {
        let (mut said, now) = (Said::default(), self.now);
        if n < MEMBERS {
            if let Some(member) = self.members[n].as_mut() {
                member.timer_fired(now, &mut said);
            }
        } else {
            self.servers[n - MEMBERS].timer_fired(now, &mut said);
        }
        self.carry(n, n >= MEMBERS, said);
    }

    fn pass(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let well =
            self.cut.is_empty() && self.held.is_empty() && self.deaf.is_empty() && self.stopped.is_empty();
        let sound = self.members.iter().flatten().all(CommitteeMember::is_active);
        self.quiet = if well && sound { self.quiet + 1 } else { 0 };
        if self.quiet > BOUNDED && self.members.iter().flatten().any(|m| m.proposed().is_some()) {
            self.broken = Some("a proposal that all can hear is not decided on");
        }
        for n in (0..ALL).filter(|n| !self.stopped.contains(n)).collect::<Vec<_>>() {
            self.timer_fired(n);
        }
        self.deliver();
    }

    /// All that may act do; the promise is judged.
    fn act(&mut self) {
        let mut sum = 0;
        for n in (0..ALL - MEMBERS).filter(|n| !self.stopped.contains(&(n + MEMBERS))) {
            let Some(book) =
                self.books[n].filter(|_| self.servers[n].level(self.now).0 == PermissionLevel::Full)
            else {
                continue;
            };
            sum += self.shares[n].share(self.now).0;
            self.first.entry(book).or_insert(self.now);
            let newer = self.first.range(book + 1..).map(|(_, first)| *first).min();
            if newer.is_some_and(|first| self.now - first > WITHIN) {
                self.broken = Some("two versions are acted on for longer than the bound");
            }
        }
        self.shared = self.shared.max(sum);
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.up()]
    }

    fn actions(&self, s: &State, into: &mut Vec<Step>) {
        if s.steps >= self.most_steps || s.broken.is_some() {
            return;
        }
        into.push(Step::Pass);
        if s.proposed < self.most_proposals {
            into.extend([0, 2].map(|member| Step::Propose(member, s.proposed)));
            if s.proposed > 0 {
                into.push(Step::Propose(1, s.proposed + 10));
            }
        }
        into.extend(s.stopped.iter().map(|n| Step::Continue(*n)));
        if !s.cut.is_empty() || !s.deaf.is_empty() {
            into.push(Step::Heal);
        }
        if !s.later.is_empty() && !s.held.is_empty() {
            for (twice, turned) in [(false, false), (true, false), (false, true)] {
                into.push(Step::Release { twice, turned });
            }
        }
        if s.wrong < self.most_wrong {
            let possible = |step: &&Step| match step {
                Step::Stop(n) => !s.stopped.contains(n),
                Step::Cut(n) => !s.cut.contains(n),
                _ => true,
            };
            into.extend(self.faults.iter().filter(possible).cloned());
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let right = matches!(
            step,
            Step::Pass | Step::Propose(..) | Step::Continue(_) | Step::Heal | Step::Release { .. }
        );
        s.wrong += u8::from(!right);
        if step != Step::Pass {
            s.quiet = 0;
        }
        match step {
            Step::Pass => s.pass(),
            Step::Propose(member, content) => {
                s.proposed += 1;
                if s.stopped.contains(&member) {
                    return None;
                }
                // The next number, or the one that somebody else has taken already.
                let number = 1 + u64::from(s.proposed) - u64::from(content >= 10);
                let mut said = Said::default();
                let now = s.now;
                let _ =
                    s.members[member].as_mut()?.version_proposed(now, version(number, content), &mut said);
                s.carry(member, false, said);
                s.deliver();
            }
            Step::Stop(n) => drop(s.stopped.insert(n)),
            Step::Continue(n) => {
                s.stopped.remove(&n);
                // It may act before anything else is looked at.
                s.act();
                let (mine, others) = s.later.drain(..).partition(|(_, to, _)| *to == n);
                s.later = others;
                s.way.extend::<Vec<_>>(mine);
                s.deliver();
            }
            Step::Cut(n) => drop(s.cut.insert(n)),
            Step::Heal => {
                s.cut.clear();
                s.deaf.clear();
            }
            Step::Deaf(from, to) => drop(s.deaf.insert((from, to))),
            Step::Forget(n) => {
                let (mut said, now, number) = (Said::default(), s.now, 1 + u64::from(s.proposed));
                s.members[n].as_mut()?.proposal_withdrawn(now, number, &mut said);
                s.carry(n, false, said);
                s.deliver();
            }
            Step::Old(n) => {
                for content in [0, 30] {
                    let (mut said, now) = (Said::default(), s.now);
                    let _ = s.members[n].as_mut()?.version_proposed(now, version(1, content), &mut said);
                    s.carry(n, false, said);
                }
                s.deliver();
            }
            Step::Join(n) => {
                let place = n - MEMBERS;
                let committee = (0..MEMBERS).map(name).collect();
                s.servers[place] = Follower::new(name(n), committee, n as u64, self.terms());
                s.books[place] = None;
                s.shares[place] = QuotaHandover::new(self.terms(), Duration::ZERO);
                s.later.retain(|(from, to, _)| *from != n && *to != n);
            }
            Step::Hold(from, to) => drop(s.held.insert((from, to))),
            Step::Release { twice, turned } => {
                let held = std::mem::take(&mut s.held);
                let (mut mine, others): (Vec<_>, Vec<_>) =
                    s.later.drain(..).partition(|(from, to, _)| held.contains(&(*from, *to)));
                s.later = others;
                if turned {
                    mine.reverse();
                }
                let again = if twice { mine.clone() } else { Vec::new() };
                s.way.extend(mine.into_iter().chain(again));
                s.deliver();
            }
            Step::Crash(n) => {
                s.later.retain(|(from, to, _)| *from != n && *to != n);
                s.begin(n, self);
                s.deliver();
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the promise", |_, s: &State| s.broken.is_none()),
            Property::always("shares stay within their limit", |_, s: &State| s.shared <= 10),
            Property::sometimes("a version takes effect", |_, s: &State| s.first.contains_key(&2)),
            Property::sometimes("a number is used up", |f: &Fleet, s: &State| {
                f.most_proposals < 2
                    || s.members[1].as_ref().is_some_and(|m| m.committed().last != m.committed().book.number)
            }),
        ]
    }
}

/// All that may go wrong, but for the member that is always there.
fn anything() -> Vec<Step> {
    let all = (0..ALL).filter(|n| *n != 1);
    let mut faults: Vec<Step> = all.clone().map(Step::Stop).chain(all.map(Step::Cut)).collect();
    faults.extend([(0, 1), (2, 0), (0, ALL - 1), (1, ALL - 1), (2, ALL - 1)].map(|(a, b)| Step::Hold(a, b)));
    faults.extend([0, 2].map(Step::Crash));
    faults.extend([(0, 2), (2, 1), (1, 0), (0, 3), (3, 0)].map(|(a, b)| Step::Deaf(a, b)));
    faults.extend([Step::Forget(0), Step::Forget(2), Step::Old(0), Step::Join(3), Step::Join(4)]);
    faults
}

/// Looks at so many states at most; gives how many, and those of the properties that do not hold.
fn looks(fleet: Fleet, states: usize) -> (usize, Vec<&'static str>) {
    let checker = fleet.checker().threads(4).target_state_count(states).spawn_bfs().join();
    let found = checker.discoveries();
    let always = ["the promise", "shares stay within their limit"];
    let broken: Vec<&str> = always.into_iter().filter(|p| found.contains_key(p)).collect();
    if broken.is_empty() {
        let never =
            ["a version takes effect", "a number is used up"].iter().filter(|p| !found.contains_key(**p));
        let never: Vec<&&str> = never.collect();
        println!(
            "{} states, {} deep, never seen: {never:?}",
            checker.unique_state_count(),
            checker.max_depth()
        );
        assert!(never.is_empty(), "a model in which nothing happens shows nothing");
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn nothing_that_goes_wrong_once_breaks_the_promise() {
    for disks in [true, false] {
        let faults = anything();
        let fleet =
            Fleet { injected_fault: None, disks, most_steps: 16, most_wrong: 1, most_proposals: 1, faults };
        let (states, broken) = looks(fleet, 200_000);
        assert!(broken.is_empty() && states > 30_000, "{states} {broken:?}");
    }
}

#[test]
fn two_things_that_go_wrong_and_two_proposals_do_not_either() {
    let faults = anything();
    let fleet =
        Fleet { injected_fault: None, disks: true, most_steps: 10, most_wrong: 2, most_proposals: 2, faults };
    let (states, broken) = looks(fleet, 150_000);
    assert!(broken.is_empty() && states > 50_000, "{states} {broken:?}");
}

#[test]
fn each_mistake_made_on_purpose_is_found_and_without_it_nothing_is() {
    use Step::{Cut, Hold, Stop};
    for (injected_fault, breaks, faults) in [
        (InjectedFault::FromAnswer, "the promise", vec![Hold(0, 4), Hold(1, 4), Hold(2, 4), Stop(4)]),
        (InjectedFault::WakesUnlooked, "the promise", vec![Stop(4), Stop(3)]),
        (InjectedFault::NoFence, "the promise", vec![Cut(4), Cut(3)]),
        (InjectedFault::NoWait, "shares stay within their limit", vec![Cut(4), Cut(3)]),
    ] {
        let fleet = |injected_fault| {
            let faults = faults.clone();
            Fleet { injected_fault, disks: true, most_steps: 20, most_wrong: 2, most_proposals: 1, faults }
        };
        let (states, broken) = looks(fleet(Some(injected_fault)), 400_000);
        println!("{injected_fault:?}: {broken:?} among {states} states");
        assert!(broken.contains(&breaks), "{injected_fault:?}: {broken:?} in {states} states");
        let (states, broken) = looks(fleet(None), 400_000);
        assert!(broken.is_empty(), "without {injected_fault:?}: {broken:?} in {states} states");
    }
}
