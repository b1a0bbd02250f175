//! A member of the committee: votes on the next decision, vouches for the last one, and brings a draft to a decision.
//!
//! Each decision is a single-decree Paxos of its own, known by the number that it follows (`after`). Anybody on the
//! committee may begin a round; in the order of their names they wait a little longer each, so that one does as a
//! rule. What is decided is final, and is learnt with the number alone.
//!
//! *Vouching.* A member that asked a majority whether anything else was decided, or accepted and so perhaps decided,
//! and heard of nothing, vouches for what it knows as of when it asked: what is decided later is accepted by a
//! majority that shares a member with the one that answered, and that one accepted after it had answered.
//!
//! *Memory.* Votes must not be forgotten. A member with a directory keeps them there before it says them. One without
//! is `Recovering` after its start: silent until every round and lease that an earlier life of it had a part in is
//! over, and until it has heard from a majority that remembers, or from everybody.

use crate::messages::{
    abbreviated_list, Ballot, CommittedState, ConfigVersion, CorrelationId, Decision, PeerRequest,
    PeerResponse, ProposalTally, ServerName, Verdict, VersionId, VersionSummary,
};
use crate::timing::Terms;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Drafts of one number that are kept; more than one content is refused anyway.
const DRAFTS: usize = 2;
/// Servers that a member keeps count of.
const ATTACHED: usize = 4096;
/// Refusals that are told to whoever asks how things stand.
const REFUSALS: usize = 8;
/// A server counts as in touch until so many times its span between two renewals.
const IN_TOUCH: f64 = 1.6;

/// What a member does to its server.
pub trait Ports {
    /// Asks another member.
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest);
    /// Tells the servers that ask this one that there is something to be asked about: this draft, or what stands.
    fn notify(&mut self, proposed: Option<VersionId>);
    /// Keeps the votes before they are said, where there is a place for them.
    fn keep(&mut self, acceptor_state: &AcceptorState);
    /// As a follower's.
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary>;
}

/// What a member must not forget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct AcceptorState {
    #[serde(rename = "standing")]
    pub committed: CommittedState,
    pub text: Arc<str>,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Decision)>,
    /// The text of what is accepted.
    pub accepted_text: Option<Arc<str>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Mode {
    /// Until it may speak; whom it has heard.
    Recovering {
        until: Duration,
        heard: BTreeMap<ServerName, Heard>,
    },
    Sound,
}

/// What one that recovers has heard from another: whether that one remembers, and its votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard {
    sound: bool,
    last: u64,
    accepted: Option<(Ballot, Decision)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Round {
    Idle,
    Preparing {
        since: Duration,
        own: Decision,
        best: Option<(Ballot, Decision)>,
        promises: BTreeSet<ServerName>,
    },
    Accepting {
        since: Duration,
        decision: Decision,
        accepts: BTreeSet<ServerName>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Draft {
    version: ConfigVersion,
    read: VersionSummary,
    since: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FollowerState {
    heard: Duration,
    /// It was given a lease here; one that was not has gone on to another member.
    leased: bool,
    last: u64,
    weighed: Option<(VersionId, Result<(), String>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum What {
    Check,
    /// Of this round.
    Prepare(u64),
    Accept(u64),
    Learn,
    /// A text: of what is in force elsewhere, or of a draft.
    Force(CommittedState),
    Draft,
}

/// What another member said last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Other {
    at: Duration,
    tally: ProposalTally,
}

/// How one server stands, as `rules status` shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerState {
    pub name: ServerName,
    pub last: u64,
    /// Since it was last heard, and of its lease what is left at most.
    pub heard: Duration,
    pub lease_left: Duration,
    pub weighed: Option<(VersionId, Result<(), String>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommitteeMember {
    me: ServerName,
    terms: Terms,
    committed: CommittedState,
    /// Since when it has been known here to stand.
    since: Duration,
    version: ConfigVersion,
    read: VersionSummary,
    mode: Mode,
    /// When this life began: who was heard before is not known.
    began: Duration,
    promised: Ballot,
    accepted: Option<(Ballot, Decision)>,
    /// Since when something has been accepted and not decided.
    pending: Option<Duration>,
    round: Round,
    ballot: Ballot,
    next_correlation_id: u64,
    out: BTreeMap<CorrelationId, (ServerName, What, Duration)>,
    check_due: Duration,
    /// The check that is out: when it was sent, and who has heard of nothing else.
    checking: Option<(Duration, BTreeSet<ServerName>)>,
    /// When the last check was sent that a majority answered so.
    confirmed_at: Option<Duration>,
    proposals: Vec<Draft>,
    /// The list service has taken the draft back.
    withdrawn: Option<u64>,
    others: BTreeMap<ServerName, Other>,
    followers: BTreeMap<ServerName, FollowerState>,
    refusals: Vec<(u64, String)>,
    said: Option<VersionId>,
    /// Members for which the same number has another content.
    at_odds: BTreeMap<ServerName, VersionId>,
}

impl CommitteeMember {
    /// `version` is the version that this life begins with: the fleet's first, or the one that makes this server a member.
    /// `acceptor_state` is what an earlier life kept. `life` is a number that no other life of this member has. Nothing where
    /// a text can't be read.
    pub fn new(
        now: Duration,
        (me, life): (ServerName, u64),
        version: ConfigVersion,
        acceptor_state: Option<AcceptorState>,
        terms: Terms,
        ports: &mut impl Ports,
    ) -> Option<CommitteeMember> {
        let mode = match &acceptor_state {
            Some(_) => Mode::Sound,
            None => Mode::Recovering { until: now + terms.quarantine(), heard: BTreeMap::new() },
        };
        let first = CommittedState { last: version.version_id.number, book: version.version_id };
        let committed = acceptor_state.as_ref().map_or(first, |v| v.committed);
        let version = acceptor_state
            .as_ref()
            .map_or(version, |v| ConfigVersion { version_id: committed.book, text: v.text.clone() });
        let read = ports.read(&version.version_id, &version.text, None)?;
        let mut member = CommitteeMember {
            me: me.clone(),
            committed,
            since: now,
            version,
            read,
            mode,
            began: now,
            promised: Ballot::default(),
            accepted: None,
            pending: None,
            round: Round::Idle,
            ballot: Ballot { round: 0, by: Some(me), life },
            next_correlation_id: 1,
            out: BTreeMap::new(),
            check_due: now,
            checking: None,
            confirmed_at: None,
            proposals: Vec::new(),
            withdrawn: None,
            others: BTreeMap::new(),
            followers: BTreeMap::new(),
            refusals: Vec::new(),
            said: None,
            at_odds: BTreeMap::new(),
            terms,
        };
        if let Some(acceptor_state) = acceptor_state {
            if let Some((text, (_, decision))) =
                acceptor_state.accepted_text.zip(acceptor_state.accepted.as_ref())
            {
                let _ = member.version_proposed(
                    now,
                    ConfigVersion { version_id: decision.version_id, text },
                    ports,
                );
            }
            (member.promised, member.accepted) = (acceptor_state.promised, acceptor_state.accepted);
            member.pending = member.accepted.as_ref().map(|_| now);
        }
        Some(member)
    }

    pub fn committed(&self) -> CommittedState {
        self.committed
    }

    pub fn version(&self) -> &ConfigVersion {
        &self.version
    }

    pub fn committee(&self) -> &[ServerName] {
        &self.read.committee
    }

    /// Whether it remembers what it has said.
    pub fn is_active(&self) -> bool {
        self.mode == Mode::Sound
    }

    /// Whether it vouches for what stands now.
    pub fn confirms(&self, now: Duration) -> bool {
        self.age(now).is_some()
    }

    pub fn proposed(&self) -> Option<&ConfigVersion> {
        self.proposals.first().map(|d| &d.version)
    }

    /// What holds up the draft, in words.
    pub fn blocked_by(&self, now: Duration) -> Option<String> {
        let proposed = self.proposals.first()?;
        let own = self.tally(now);
        let tallies = || std::iter::once(&own).chain(self.others.values().map(|o| &o.tally));
        let of = || tallies().filter(|t| t.proposed == Some(proposed.version.version_id));
        if let Some(why) = of().find_map(|t| t.refuses.clone()) {
            return Some(why);
        }
        let (hold, followers) = of().fold((0, 0), |sum, t| (sum.0 + t.hold, sum.1 + t.followers));
        let silent = if self.is_active() { "" } else { "; this member remembers nothing yet" };
        Some(format!("{hold} of {followers} hold {}{silent}", proposed.version.version_id.number))
    }

    /// Members for which the number that stands has another content.
    pub fn conflicting_members(&self) -> &BTreeMap<ServerName, VersionId> {
        &self.at_odds
    }

    pub fn refusals(&self) -> &[(u64, String)] {
        &self.refusals
    }

    /// The servers that ask this member, in the order of their names.
    pub fn servers(&self, now: Duration) -> Vec<ServerState> {
        let lease = self.terms.lease();
        let one = |(name, a): (&ServerName, &FollowerState)| ServerState {
            name: name.clone(),
            last: a.last,
            heard: now.saturating_sub(a.heard),
            lease_left: (a.heard + lease).saturating_sub(now),
            weighed: a.weighed.clone(),
        };
        self.followers.iter().map(one).collect()
    }

    fn on_committee(&self) -> bool {
        self.read.committee.contains(&self.me)
    }

    fn others(&self) -> Vec<ServerName> {
        self.read.committee.iter().filter(|name| **name != self.me).cloned().collect()
    }

    fn majority(&self, many: usize) -> bool {
        many * 2 > self.read.committee.len()
    }

    fn rank(&self) -> u32 {
        self.read.committee.iter().position(|name| *name == self.me).unwrap_or(0) as u32
    }

    /// How old what it vouches for is.
    fn age(&self, now: Duration) -> Option<Duration> {
        let speaks = self.mode == Mode::Sound && self.on_committee();
        let age = now.saturating_sub(self.confirmed_at.filter(|_| speaks)?);
        (age < self.terms.lease()).then_some(age)
    }

    // ---- what others ask ----

    pub fn handle_request(
        &mut self,
        now: Duration,
        request: PeerRequest,
        ports: &mut impl Ports,
    ) -> PeerResponse {
        match request {
            PeerRequest::Renew { from, last, weighed } => self.renewed(now, from, last, weighed, ports),
            PeerRequest::Fetch { version_id } => self.text(&version_id),
            PeerRequest::Check { from, committed, tally } => self.checked(now, from, committed, tally, ports),
            PeerRequest::Prepare { after, ballot } => self.prepare(now, after, ballot, ports),
            PeerRequest::Accept { after, ballot, decision } => {
                self.accept(now, after, ballot, decision, ports)
            }
            PeerRequest::Learn { after, decision } => {
                if after == self.committed.last {
                    self.decided(now, decision, ports);
                }
                PeerResponse::Fine
            }
            // Its host has more to say than it knows.
            PeerRequest::Status => PeerResponse::Silent,
        }
    }

    fn renewed(
        &mut self,
        now: Duration,
        from: ServerName,
        last: u64,
        weighed: Option<(VersionId, Result<(), String>)>,
        ports: &mut impl Ports,
    ) -> PeerResponse {
        let known = self.followers.contains_key(&from) || self.followers.len() < ATTACHED;
        if known {
            let leased = self.confirms(now);
            self.followers.insert(from, FollowerState { heard: now, leased, last, weighed });
            self.weigh(now, ports);
        }
        let proposed = self.proposals.first().map(|d| d.version.version_id);
        let stood = now.saturating_sub(self.since);
        PeerResponse::Lease { committed: self.committed, age: self.age(now), stood, proposed }
    }

    fn text(&self, version_id: &VersionId) -> PeerResponse {
        let proposals = self.proposals.iter().map(|d| &d.version);
        match std::iter::once(&self.version)
            .chain(proposals)
            .find(|version| version.version_id == *version_id)
        {
            Some(version) => PeerResponse::Text { version_id: *version_id, text: version.text.to_string() },
            None => PeerResponse::NoText,
        }
    }

    fn checked(
        &mut self,
        now: Duration,
        from: ServerName,
        committed: CommittedState,
        tally: ProposalTally,
        ports: &mut impl Ports,
    ) -> PeerResponse {
        self.other(now, &from, committed, tally, ports);
        let sound = self.mode == Mode::Sound && self.on_committee();
        let accepted = self.accepted.clone();
        PeerResponse::Checked { committed: self.committed, sound, accepted, tally: self.tally(now) }
    }

    /// Another member stands so, and has heard so much.
    fn other(
        &mut self,
        now: Duration,
        from: &ServerName,
        committed: CommittedState,
        tally: ProposalTally,
        ports: &mut impl Ports,
    ) {
        if !self.read.committee.contains(from) {
            return;
        }
        if committed.last > self.committed.last {
            self.fetch(now, from, committed.book, What::Force(committed), ports);
        }
        if committed.last == self.committed.last && committed.book != self.committed.book {
            self.at_odds.insert(from.clone(), committed.book);
        }
        let unknown = |version_id: &VersionId| {
            version_id.number > self.committed.last
                && !self.proposals.iter().any(|d| d.version.version_id == *version_id)
        };
        if let Some(version_id) = tally.proposed.filter(unknown) {
            self.fetch(now, from, version_id, What::Draft, ports);
        }
        self.others.insert(from.clone(), Other { at: now, tally });
        self.weigh(now, ports);
    }

    fn fetch(
        &mut self,
        now: Duration,
        from: &ServerName,
        version_id: VersionId,
        what: What,
        ports: &mut impl Ports,
    ) {
        if self.out.values().all(|(to, out, _)| (to, out) != (from, &what)) {
            self.send(now, from, what, PeerRequest::Fetch { version_id }, ports);
        }
    }

    fn elsewhere(&self) -> PeerResponse {
        PeerResponse::Elsewhere { committed: self.committed }
    }

    fn prepare(
        &mut self,
        _now: Duration,
        after: u64,
        ballot: Ballot,
        ports: &mut impl Ports,
    ) -> PeerResponse {
        match () {
            () if self.mode != Mode::Sound || !self.on_committee() => PeerResponse::Silent,
            () if after != self.committed.last => self.elsewhere(),
            () if ballot < self.promised => PeerResponse::Outbid { ballot: self.promised.clone() },
            () => {
                self.promised = ballot;
                self.keep(ports);
                PeerResponse::Promised { accepted: self.accepted.clone() }
            }
        }
    }

    fn accept(
        &mut self,
        now: Duration,
        after: u64,
        ballot: Ballot,
        decision: Decision,
        ports: &mut impl Ports,
    ) -> PeerResponse {
        match () {
            () if self.mode != Mode::Sound || !self.on_committee() => PeerResponse::Silent,
            () if after != self.committed.last => self.elsewhere(),
            () if ballot < self.promised => PeerResponse::Outbid { ballot: self.promised.clone() },
            // What it votes for it must be able to hand on.
            () if decision.verdict == Verdict::InForce && self.find(&decision.version_id).is_none() => {
                PeerResponse::Lacks { version_id: decision.version_id }
            }
            () => {
                self.promised = ballot.clone();
                self.accepted = Some((ballot, decision));
                self.pending.get_or_insert(now);
                self.keep(ports);
                PeerResponse::Accepted
            }
        }
    }

    fn find(&self, version_id: &VersionId) -> Option<&Draft> {
        self.proposals.iter().find(|d| d.version.version_id == *version_id)
    }

    fn keep(&self, ports: &mut impl Ports) {
        let text = self.accepted.as_ref().and_then(|(_, decision)| self.find(&decision.version_id));
        ports.keep(&AcceptorState {
            committed: self.committed,
            text: self.version.text.clone(),
            promised: self.promised.clone(),
            accepted: self.accepted.clone(),
            accepted_text: text.map(|d| d.version.text.clone()),
        });
    }

    // ---- drafts ----

    /// A text is proposed: read off the list service, handed over by an operator, or told by another member. Says
    /// why it is no draft, where it is not.
    pub fn version_proposed(
        &mut self,
        now: Duration,
        version: ConfigVersion,
        ports: &mut impl Ports,
    ) -> Result<(), String> {
        let number = version.version_id.number;
        let last = self.committed.last;
        if version.version_id == self.committed.book || self.find(&version.version_id).is_some() {
            return Ok(());
        }
        if number <= last {
            return Err(format!(
                "{number} has been decided on; the last decision was {last}, the next is higher"
            ));
        }
        if let Some((_, decision)) = &self.accepted {
            return Err(format!("{} is being decided on", decision.version_id.number));
        }
        let Some(read) = ports.read(&version.version_id, &version.text, Some(&self.version)) else {
            return Err("its text is not what its digest says, or can't be read".to_string());
        };
        // The lowest number comes first; what is higher comes back when its time has come.
        if self.proposals.first().is_some_and(|first| first.version.version_id.number < number) {
            return Err(format!("{} is being decided on first", self.proposals[0].version.version_id.number));
        }
        self.proposals.retain(|d| d.version.version_id.number == number);
        if self.proposals.len() < DRAFTS {
            let version_id = version.version_id;
            self.proposals.push(Draft { version, read, since: now });
            self.proposals.sort_by_key(|d| d.version.version_id);
            ports.notify(Some(version_id));
            // The others have their servers weigh it meanwhile.
            self.check(now, ports);
            self.weigh(now, ports);
        }
        Ok(())
    }

    /// The list service names no draft any more, or another.
    pub fn proposal_withdrawn(&mut self, now: Duration, number: u64, ports: &mut impl Ports) {
        if self.proposals.first().is_some_and(|d| d.version.version_id.number == number) {
            self.withdrawn = Some(number);
            self.weigh(now, ports);
        }
    }

    /// Servers that are in touch with this member.
    fn in_touch(&self, now: Duration) -> impl Iterator<Item = (&ServerName, &FollowerState)> {
        let span = self.terms.renew().mul_f64(IN_TOUCH);
        self.followers.iter().filter(move |(_, a)| a.leased && a.heard + span > now)
    }

    fn tally(&self, now: Duration) -> ProposalTally {
        let Some(proposed) = self.proposals.first() else { return ProposalTally::default() };
        let version_id = proposed.version.version_id;
        let mut tally = ProposalTally { proposed: Some(version_id), ..ProposalTally::default() };
        let own = |a: &FollowerState| {
            a.weighed.clone().filter(|(of, _)| *of == version_id).map(|(_, verdict)| verdict)
        };
        for (name, followers) in self.in_touch(now) {
            tally.followers += 1;
            match own(followers) {
                Some(Ok(())) => tally.hold += 1,
                Some(Err(why)) => tally.refused(format!("{name} refuses it: {why}")),
                None => {}
            }
        }
        if self.proposals.len() > 1 {
            let both = (self.proposals[0].version.version_id, self.proposals[1].version.version_id);
            tally.refused(format!("one number with two contents, {} and {}", both.0, both.1));
        } else if self.withdrawn == Some(version_id.number) {
            tally.refused("withdrawn".to_string());
        }
        let gone = self.terms.alone + self.terms.within;
        for (place, name) in self.read.servers.iter().flatten().enumerate() {
            let followers = self.followers.get(name);
            if followers.and_then(own) == Some(Ok(())) {
                tally.holders.set(place);
            }
            if followers.map_or(self.began, |a| a.heard) + gone > now {
                tally.loud.set(place);
            }
        }
        tally
    }

    /// Looks whether the draft has come to a decision that is worth a round; and tells the others at once what they
    /// wait for.
    fn weigh(&mut self, now: Duration, ports: &mut impl Ports) {
        let Some(proposed) = self.proposals.first() else { return };
        let version_id = proposed.version.version_id;
        let tally = self.tally(now);
        let ready = tally.refuses.is_some() || tally.complete();
        if ready && self.said != Some(version_id) {
            self.said = Some(version_id);
            self.check(now, ports);
        }
        if self.round == Round::Idle && self.mode == Mode::Sound && self.on_committee() {
            if let Some(verdict) = self.verdict(now) {
                self.propose(now, Decision { version_id, verdict }, ports);
            }
        }
    }

    /// What the draft comes to, once that can be said.
    fn verdict(&self, now: Duration) -> Option<Verdict> {
        let proposed = self.proposals.first()?;
        let own = self.tally(now);
        let fresh = |o: &&Other| o.at + self.terms.check() * 3 > now;
        let others: Vec<&Other> = self.others.values().filter(fresh).collect();
        let tallies = || std::iter::once(&own).chain(others.iter().map(|o| &o.tally));
        let same = |t: &&ProposalTally| t.proposed == Some(proposed.version.version_id);
        if let Some(why) = tallies().filter(same).find_map(|t| t.refuses.clone()) {
            return Some(Verdict::Refused(why));
        }
        // Others may begin before it; those behind them wait a little longer.
        let late = now.saturating_sub(proposed.since);
        let gathered = late >= self.terms.gather() + self.terms.rank() * self.rank();
        let all = self.others().iter().all(|name| {
            self.others.get(name).filter(|o| fresh(o)).is_some_and(|o| same(&&o.tally) && o.tally.complete())
        });
        let first = self.rank() == 0 || late >= self.terms.rank() * self.rank();
        if !(gathered || (all && own.complete() && first)) {
            return None;
        }
        let unheard = self.unheard(proposed, tallies().filter(same).collect());
        if let Some(why) = unheard {
            return gathered.then_some(Verdict::Refused(why));
        }
        Some(Verdict::InForce)
    }

    /// Why the draft can't take effect though nobody refuses it: a server may go on against it that has not heard.
    fn unheard(&self, proposed: &Draft, tallies: Vec<&ProposalTally>) -> Option<String> {
        let tighter = proposed.read.restrictions.first()?;
        let Some(servers) = &self.read.servers else {
            return Some(format!(
                "a server that is out of touch may go on against it ({tighter}), and the version in force names no \
                 servers: name them first"
            ));
        };
        let holds = |place: usize| tallies.iter().any(|t| t.holders.has(place));
        let loud = |place: usize| tallies.iter().any(|t| t.loud.has(place));
        let missing: BTreeSet<&ServerName> = servers
            .iter()
            .enumerate()
            .filter(|(n, _)| !holds(*n) && loud(*n))
            .map(|(_, name)| name)
            .collect();
        (!missing.is_empty()).then(|| {
            format!(
                "{} may go on against it ({tighter}) and have not said that they hold it",
                abbreviated_list(&missing)
            )
        })
    }

    // ---- rounds ----

    fn propose(&mut self, now: Duration, own: Decision, ports: &mut impl Ports) {
        self.ballot.round = self.ballot.round.max(self.promised.round) + 1;
        self.round = Round::Preparing { since: now, own, best: None, promises: BTreeSet::new() };
        let (after, ballot) = (self.committed.last, self.ballot.clone());
        let response = self.prepare(now, after, ballot.clone(), ports);
        for to in self.others() {
            let request = PeerRequest::Prepare { after, ballot: ballot.clone() };
            self.send(now, &to, What::Prepare(ballot.round), request, ports);
        }
        let me = self.me.clone();
        self.promise(now, &me, response, ports);
    }

    fn promise(&mut self, now: Duration, from: &ServerName, response: PeerResponse, ports: &mut impl Ports) {
        let Round::Preparing { best, promises, own, since } = &mut self.round else { return };
        let PeerResponse::Promised { accepted } = response else { return };
        if now >= *since + self.terms.round() {
            return;
        }
        promises.insert(from.clone());
        // What may have been decided already is decided again, and nothing else.
        if accepted.as_ref().map(|a| &a.0) > best.as_ref().map(|b| &b.0) {
            *best = accepted;
        }
        let (many, decision) = (promises.len(), best.as_ref().map_or(&*own, |(_, d)| d).clone());
        if !self.majority(many) {
            return;
        }
        self.round = Round::Accepting { since: now, decision: decision.clone(), accepts: BTreeSet::new() };
        let (after, ballot) = (self.committed.last, self.ballot.clone());
        let response = self.accept(now, after, ballot.clone(), decision.clone(), ports);
        for to in self.others() {
            let request = PeerRequest::Accept { after, ballot: ballot.clone(), decision: decision.clone() };
            self.send(now, &to, What::Accept(ballot.round), request, ports);
        }
        let me = self.me.clone();
        self.accepts(now, &me, response, ports);
    }

    fn accepts(&mut self, now: Duration, from: &ServerName, response: PeerResponse, ports: &mut impl Ports) {
        let Round::Accepting { decision, accepts, since } = &mut self.round else { return };
        // Who forgets its votes keeps silent for longer than a round lasts: what comes later counts for nothing.
        if response != PeerResponse::Accepted || now >= *since + self.terms.round() {
            return;
        }
        accepts.insert(from.clone());
        let (many, decision) = (accepts.len(), decision.clone());
        if self.majority(many) {
            let after = self.committed.last;
            // Before anything else is asked of them: what they vouch for is to be this.
            for to in self.others() {
                let request = PeerRequest::Learn { after, decision: decision.clone() };
                self.send(now, &to, What::Learn, request, ports);
            }
            self.decided(now, decision, ports);
        }
    }

    /// It is final. One that lacks the text hears of it with the next check.
    fn decided(&mut self, now: Duration, decision: Decision, ports: &mut impl Ports) {
        let next = decision.after(&self.committed);
        if next.book == self.committed.book {
            if let Verdict::Refused(why) = decision.verdict {
                self.refusals.push((next.last, why));
                let over = self.refusals.len().saturating_sub(REFUSALS);
                self.refusals.drain(..over);
            }
            let (version, read) = (self.version.clone(), self.read.clone());
            self.stands(now, next, version, read, ports);
        } else if let Some(proposed) = self.find(&next.book).cloned() {
            self.stands(now, next, proposed.version, proposed.read, ports);
        }
    }

    /// The one place where what stands changes.
    fn stands(
        &mut self,
        now: Duration,
        committed: CommittedState,
        version: ConfigVersion,
        read: VersionSummary,
        ports: &mut impl Ports,
    ) {
        if committed.book != self.committed.book {
            self.since = now;
        }
        (self.committed, self.version, self.read) = (committed, version, read);
        (self.promised, self.accepted, self.pending) = (Ballot::default(), None, None);
        (self.round, self.confirmed_at, self.checking) = (Round::Idle, None, None);
        self.proposals.retain(|d| d.version.version_id.number > committed.last);
        for proposed in &mut self.proposals {
            // It would follow another one now.
            if let Some(read) =
                ports.read(&proposed.version.version_id, &proposed.version.text, Some(&self.version))
            {
                proposed.read = read;
            }
        }
        self.at_odds.clear();
        (self.withdrawn, self.said) = (None, None);
        self.others.clear();
        self.keep(ports);
        // Those that ask this one are told once a majority has answered: before that it can't vouch for it.
        self.check(now, ports);
    }

    // ---- time, and answers ----

    fn send(
        &mut self,
        now: Duration,
        to: &ServerName,
        what: What,
        request: PeerRequest,
        ports: &mut impl Ports,
    ) {
        let correlation_id = CorrelationId(self.next_correlation_id);
        self.next_correlation_id += 1;
        self.out.insert(correlation_id, (to.clone(), what, now));
        ports.send_request(to, correlation_id, request);
    }

    /// Asks all others whether anything else has been decided, or may be.
    fn check(&mut self, now: Duration, ports: &mut impl Ports) {
        self.check_due = now + self.terms.check();
        // Members that ask one another nothing else are still asked by those that recover.
        self.out.retain(|_, (_, what, sent)| *what != What::Check && *sent + self.terms.round() > now);
        self.checking = Some((now, BTreeSet::new()));
        let tally = self.tally(now);
        for to in self.others() {
            let request =
                PeerRequest::Check { from: self.me.clone(), committed: self.committed, tally: tally.clone() };
            self.send(now, &to, What::Check, request, ports);
        }
        let me = self.me.clone();
        let sound = self.mode == Mode::Sound;
        self.vouch(now, &me, self.committed, sound && self.accepted.is_none(), ports);
    }

    /// One of the committee answered a check. Those that could not be told anything are told when they can be.
    fn vouch(
        &mut self,
        now: Duration,
        from: &ServerName,
        committed: CommittedState,
        nothing_else: bool,
        ports: &mut impl Ports,
    ) {
        let Some((sent, agree)) = &mut self.checking else { return };
        if committed != self.committed || !nothing_else {
            return;
        }
        agree.insert(from.clone());
        let (sent, many) = (*sent, agree.len());
        if self.majority(many) {
            let before = self.confirms(now);
            self.confirmed_at = Some(sent);
            if !before && self.confirms(now) {
                ports.notify(None);
            }
        }
    }

    /// When something is to be done next.
    pub fn next(&self) -> Duration {
        let round = match &self.round {
            Round::Idle => None,
            Round::Preparing { since, .. } | Round::Accepting { since, .. } => {
                Some(*since + self.terms.round())
            }
        };
        round.map_or(self.check_due, |round| round.min(self.check_due))
    }

    pub fn timer_fired(&mut self, now: Duration, ports: &mut impl Ports) {
        let over = match &self.round {
            Round::Idle => false,
            Round::Preparing { since, .. } | Round::Accepting { since, .. } => {
                now >= *since + self.terms.round()
            }
        };
        if over {
            self.round = Round::Idle;
        }
        if now >= self.check_due {
            self.recover(now);
            self.check(now, ports);
            self.finish(now, ports);
            self.weigh(now, ports);
            let gone = self.terms.alone + self.terms.within;
            self.followers.retain(|_, a| a.heard + gone > now);
        }
    }

    /// What somebody left accepted and not decided is brought to its end.
    fn finish(&mut self, now: Duration, ports: &mut impl Ports) {
        let Some((_, decision)) = self.accepted.clone().filter(|_| self.round == Round::Idle) else { return };
        let wait = self.terms.round() + self.terms.rank() * self.rank();
        if self.pending.is_some_and(|since| now >= since + wait) {
            self.pending = Some(now);
            self.propose(now, decision, ports);
        }
    }

    /// Whether it may speak again: it knows what any of the others knew, and their votes stand for its own.
    fn recover(&mut self, now: Duration) {
        let others = self.others();
        let Mode::Recovering { until, heard } = &self.mode else { return };
        let remember = heard.values().filter(|h| h.sound).count();
        let enough = self.majority(remember) || others.iter().all(|name| heard.contains_key(name));
        let knows = heard.values().all(|h| h.last <= self.committed.last);
        if now < *until || !enough || !knows {
            return;
        }
        let last = self.committed.last;
        let acceptor_state = heard.values().filter(|h| h.last == last).filter_map(|h| h.accepted.clone());
        self.accepted = acceptor_state.max_by(|a, b| a.0.cmp(&b.0));
        self.pending = self.accepted.as_ref().map(|_| now);
        self.mode = Mode::Sound;
    }

    /// There will be no answer to this one.
    pub fn request_lost(&mut self, correlation_id: CorrelationId) {
        self.out.remove(&correlation_id);
    }

    pub fn handle_response(
        &mut self,
        now: Duration,
        correlation_id: CorrelationId,
        response: PeerResponse,
        ports: &mut impl Ports,
    ) {
        let Some((from, what, _)) = self.out.remove(&correlation_id) else { return };
        match (what, response) {
            (What::Check, PeerResponse::Checked { committed, sound, accepted, tally }) => {
                self.vouch(now, &from, committed, sound && accepted.is_none(), ports);
                if let Mode::Recovering { heard, until } = &mut self.mode {
                    // What was said before the quarantine was over may be of a round that is not.
                    if now >= *until {
                        heard.insert(from.clone(), Heard { sound, last: committed.last, accepted });
                    }
                }
                self.other(now, &from, committed, tally, ports);
            }
            (What::Prepare(round), response @ PeerResponse::Promised { .. })
                if round == self.ballot.round =>
            {
                self.promise(now, &from, response, ports)
            }
            (What::Accept(round), response @ PeerResponse::Accepted) if round == self.ballot.round => {
                self.accepts(now, &from, response, ports)
            }
            (What::Prepare(_) | What::Accept(_), PeerResponse::Outbid { ballot }) => {
                // Somebody else is at it; a higher round follows if nothing comes of that.
                self.ballot.round = self.ballot.round.max(ballot.round);
            }
            (What::Prepare(_) | What::Accept(_), PeerResponse::Elsewhere { committed })
                if committed.last > self.committed.last =>
            {
                self.fetch(now, &from, committed.book, What::Force(committed), ports);
            }
            (What::Accept(_), PeerResponse::Lacks { .. }) => self.check(now, ports),
            (What::Force(committed), PeerResponse::Text { version_id, text }) => {
                let newer = committed.last > self.committed.last && version_id == committed.book;
                if let Some(read) = ports.read(&version_id, &text, Some(&self.version)).filter(|_| newer) {
                    let version = ConfigVersion { version_id, text: Arc::from(text) };
                    self.stands(now, committed, version, read, ports);
                }
            }
            (What::Draft, PeerResponse::Text { version_id, text }) => {
                let _ =
                    self.version_proposed(now, ConfigVersion { version_id, text: Arc::from(text) }, ports);
            }
            _ => {}
        }
    }
}
