//! The rule book on sockets: this server's side of the agreement, the committee's where it is a member, and how what
//! is in force reaches the core. All of it is absent where the service file names no book.

use super::exchange::Exchange;
use super::memory::Memory;
use super::peers::{ms, Heard, PeerNo, Peers, Side};
use super::{Due, Server};
use crate::clock::Clock;
use crate::config::{Config, Rules as Wanted};
use crate::core::{ConnId, ReplyTo};
use crate::membership;
use crate::msgpack_rpc;
use aldercrank::Settings;
use aldercrank_consensus::messages::VersionSummary;
use aldercrank_consensus::{follower, member};
use aldercrank_consensus::{
    CommittedState, CommitteeMember, ConfigVersion, CorrelationId, Follower, MemberIdentity, PeerRequest,
    PeerResponse, PermissionBounds, PermissionLevel, QuotaHandover, ServerName, Terms, VersionId,
};
use aldercrank_pacing::RetryPacer;
use aldercrank_pacing::SlowStartStatus;
use aldercrank_versioned_config::{changes, restrictions, Consistency, VersionedConfig};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How often the list service is read where nothing changes: it holds the answer back for that long.
const READ: Duration = Duration::from_secs(5);
/// After something new the list service is read again this soon: one that says something else each time is read no
/// oftener.
const READ_AGAIN: f64 = 0.02;
/// How much longer than that an answer is waited for.
const READ_LATE: Duration = Duration::from_secs(2);
/// Servers that are told news on their connections.
const TOLD: usize = 4096;
/// A share below this is none.
const LEAST_SHARE: f64 = 1e-3;
/// Texts that have been read and need not be again.
const READ_BOOKS: usize = 4;

/// Reads of the list service.
struct Reading {
    pace: RetryPacer,
    /// The one that is out, and when it was begun.
    out: Option<(u64, Exchange, Duration)>,
    numbers: u64,
    due: Duration,
    /// The tag of what was read last, and its number.
    have: Option<(String, u64)>,
}

/// What both sides of the agreement act through.
struct Hand {
    me: ServerName,
    platform: Settings,
    peers: Peers,
    memory: Memory,
    /// Questions to the member in this very server.
    local: VecDeque<(CorrelationId, PeerRequest)>,
    lost: Vec<(Side, CorrelationId)>,
    news: Option<Option<VersionId>>,
    /// A version that has come to be in force here and has not been told on.
    force: Option<(ConfigVersion, Rc<VersionedConfig>, Duration)>,
    books: VecDeque<(VersionId, Rc<VersionedConfig>)>,
}

struct AsServer<'a>(&'a mut Hand);
struct AsMember<'a>(&'a mut Hand);

pub struct Rules {
    /// Never set anew, unlike the server's own, which counts from its pool's start.
    clock: Clock,
    terms: Terms,
    life: u64,
    follower: Follower,
    member: Option<CommitteeMember>,
    hand: Hand,
    /// Where the book gives shares of the index.
    shares: Option<QuotaHandover<f64>>,
    book: Option<Rc<VersionedConfig>>,
    since: Duration,
    response: PermissionBounds,
    level: PermissionLevel,
    attached: BTreeMap<ServerName, ConnId>,
    reading: Option<Reading>,
}

fn version_id(book: &VersionedConfig) -> VersionId {
    VersionId { number: book.number.0, digest: book.digest().0 }
}

impl Hand {
    /// The book of this text, read once.
    fn book(&mut self, wanted: &VersionId, text: &str) -> Option<Rc<VersionedConfig>> {
        if let Some((_, book)) = self.books.iter().find(|(known, _)| known == wanted) {
            return Some(book.clone());
        }
        let book = Rc::new(VersionedConfig::parse(text).ok()?);
        if version_id(&book) != *wanted {
            return None;
        }
        self.books.push_front((*wanted, book.clone()));
        self.books.truncate(READ_BOOKS);
        Some(book)
    }

    fn read(
        &mut self,
        wanted: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        let book = self.book(wanted, text)?;
        let before = before.and_then(|doc| self.book(&doc.version_id, &doc.text));
        let incompatibilities = book.incompatibilities(&self.platform, &self.me.0);
        let mut incompatibilities: Vec<String> = incompatibilities.iter().map(ToString::to_string).collect();
        let mut tighter = Vec::new();
        if let Some(before) = before {
            let fixed = changes(&before, &book).into_iter().filter(|c| c.role == Consistency::Fixed);
            incompatibilities.extend(fixed.map(|c| format!("{} can't be changed in service", c.path)));
            tighter = restrictions(&before, &book);
        }
        let servers = book.servers().map(|all| all.into_keys().map(ServerName::new).collect());
        Some(VersionSummary {
            misfit: incompatibilities.into_iter().next(),
            committee: book.committee().iter().map(|member| ServerName::new(&member.name)).collect(),
            servers,
            restrictions: tighter,
        })
    }
}

impl follower::Ports for AsServer<'_> {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, ask: PeerRequest) {
        let hand = &mut *self.0;
        if *to == hand.me {
            return hand.local.push_back((correlation_id, ask));
        }
        hand.peers.ask(to, Side::Server, correlation_id, &ask, &mut hand.lost);
    }
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        self.0.read(version_id, text, before)
    }
    fn version_committed(&mut self, doc: &ConfigVersion, _: &VersionSummary, stood: Duration) {
        if let Some(book) = self.0.book(&doc.version_id, &doc.text) {
            self.0.peers.know(book.committee());
            self.0.force = Some((doc.clone(), book, stood));
        }
    }
}

impl member::Ports for AsMember<'_> {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, ask: PeerRequest) {
        let hand = &mut *self.0;
        hand.peers.ask(to, Side::CommitteeMember, correlation_id, &ask, &mut hand.lost);
    }
    fn notify(&mut self, draft: Option<VersionId>) {
        self.0.news = Some(draft);
    }
    fn keep(&mut self, votes: &member::AcceptorState) {
        self.0.memory.keep_acceptor_state(votes);
    }
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        self.0.read(version_id, text, before)
    }
}

impl Rules {
    pub fn new(config: &Config, wanted: &Wanted, on_loop: super::link::Loop) -> Rules {
        let (clock, me) = (Clock::default(), ServerName::new(&config.name));
        let mut terms = Terms::new(wanted.book.within(), wanted.book.alone());
        terms.injected_fault = wanted.injected_fault;
        let genesis =
            ConfigVersion { version_id: version_id(&wanted.book), text: Arc::from(wanted.book.text()) };
        let committee = wanted.book.committee();
        let names: Vec<ServerName> = committee.iter().map(|member| ServerName::new(&member.name)).collect();
        let own = names.iter().position(|name| *name == me);
        let mut peers = Peers::new(on_loop, &wanted.reach);
        peers.know(committee);
        let mut hand = Hand {
            me: me.clone(),
            platform: config.settings.clone(),
            peers,
            memory: Memory::open(wanted.dir.as_deref()),
            local: VecDeque::new(),
            lost: Vec::new(),
            news: None,
            force: None,
            books: VecDeque::new(),
        };
        let now = clock.now();
        // Only its difference from other lives counts, not that it is a time.
        let life = Clock::unix().as_nanos() as u64;
        let spread = own.map_or_else(|| aldercrank_pacing::digest(&config.name), |place| place as u64);
        let mut follower = Follower::new(me.clone(), names, spread, terms.clone());
        let version = hand.memory.version();
        let newest = version.as_ref().map_or(&genesis, |(_, doc)| doc).clone();
        if let Some((standing, doc)) = version {
            follower.restore(now, standing, doc, &mut AsServer(&mut hand));
        }
        let reading = wanted.read_list.then(|| Reading {
            pace: RetryPacer::new(
                aldercrank_pacing::Terms {
                    interval: READ,
                    lapse: READ * 4,
                    longest: READ * 2,
                    servers: Some(1.0),
                },
                &config.seed,
                &config.name,
                Clock::unix(),
            ),
            out: None,
            numbers: 0,
            due: now,
            have: None,
        });
        let mut rules = Rules {
            clock,
            terms,
            life,
            follower,
            member: None,
            hand,
            shares: None,
            book: None,
            since: now,
            response: PermissionBounds::default(),
            level: PermissionLevel::Mute,
            attached: BTreeMap::new(),
            reading,
        };
        rules.join(now, &newest);
        rules
    }

    /// Takes its place on the committee, where the book has one for it.
    fn join(&mut self, now: Duration, doc: &ConfigVersion) {
        let Some(book) = self.hand.book(&doc.version_id, &doc.text) else { return };
        let on_committee = book.committee().iter().any(|member| *member.name == *self.hand.me.0);
        if on_committee && self.member.is_none() {
            let id = MemberIdentity { name: self.hand.me.clone(), incarnation: self.life };
            let votes = self.hand.memory.votes();
            let remembers = votes.is_some();
            self.life += 1;
            self.member = CommitteeMember::new(
                now,
                id,
                doc.clone(),
                votes,
                self.terms.clone(),
                &mut AsMember(&mut self.hand),
            );
            tracing::info!(remembers, version = doc.version_id.number, "on the committee of the rule book");
        }
    }

    fn told_to(&mut self, now: Duration, side: Side, correlation_id: CorrelationId, response: PeerResponse) {
        match side {
            Side::Server => {
                self.follower.handle_response(now, correlation_id, response, &mut AsServer(&mut self.hand))
            }
            Side::CommitteeMember => {
                if let Some(member) = &mut self.member {
                    member.handle_response(now, correlation_id, response, &mut AsMember(&mut self.hand));
                }
            }
        }
    }

    /// What this server asks of itself is answered, and what can't be asked is lost, until nothing more comes of it.
    fn carry(&mut self, now: Duration) {
        // Each turn asks one member after another; all of them in vain is a wait.
        loop {
            if let Some((correlation_id, ask)) = self.hand.local.pop_front() {
                let response = match &mut self.member {
                    Some(member) => member.handle_request(now, ask, &mut AsMember(&mut self.hand)),
                    None => PeerResponse::Silent,
                };
                self.told_to(now, Side::Server, correlation_id, response);
            } else if let Some((side, correlation_id)) = self.hand.lost.pop() {
                match side {
                    Side::Server => {
                        self.follower.request_lost(now, correlation_id, &mut AsServer(&mut self.hand))
                    }
                    Side::CommitteeMember => {
                        if let Some(member) = &mut self.member {
                            member.request_lost(correlation_id);
                        }
                    }
                }
            } else {
                return;
            }
        }
    }

    fn timer_fired(&mut self, now: Duration) {
        if now >= self.follower.next() {
            self.follower.timer_fired(now, &mut AsServer(&mut self.hand));
        }
        if let Some(member) = self.member.as_mut().filter(|m| now >= m.next()) {
            member.timer_fired(now, &mut AsMember(&mut self.hand));
        }
    }

    /// The settings that hold now.
    fn settings(&mut self, now: Duration) -> Option<(Settings, Option<f64>)> {
        let book = self.book.as_ref()?;
        let mut settings = book.settings(&self.hand.platform, &self.hand.me.0);
        let share = self.shares.as_mut().map(|shares| shares.share(now).quota);
        if let Some(share) = share {
            // For the module none would be no limit; that there is none the core sees to.
            settings.set("family_info.calls_out", aldercrank::Value::Num(share.max(LEAST_SHARE)));
        }
        Some((settings, share))
    }

    fn next(&mut self, now: Duration) -> Duration {
        let member = self.member.as_ref().map(CommitteeMember::next);
        let share = self.shares.as_mut().and_then(|s| s.share(now).grows_at);
        let list = self.reading.as_ref().filter(|_| self.member.is_some()).map(|r| r.due);
        let others = [member, share, list].into_iter().flatten();
        others.fold(self.follower.next(), Duration::min)
    }

    /// How things stand, for operators; and how far this server's start has come, where it is followed.
    fn status(&self, now: Duration, start: Option<SlowStartStatus>) -> String {
        let start = start.map(|look| {
            serde_json::json!({"phase": look.phase.name(), "share": look.share, "why": look.why.name()})
        });
        let version = |standing: CommittedState| {
            serde_json::json!({"last": standing.last, "version": standing.book.number,
                "digest": format!("{}", aldercrank_versioned_config::Digest(standing.book.digest))})
        };
        let full = self.follower.bounds().full_until;
        let committee = self.member.as_ref().map(|m| {
            let servers: Vec<_> = m.servers(now).iter().map(|s| serde_json::json!({
                "name": &*s.name.0, "last": s.last, "heard_ms": ms(s.heard), "lease_ms": ms(s.lease_left),
                "weighed": s.evaluation.as_ref().map(|evaluation| serde_json::json!({
                    "version": evaluation.version_id.number, "refuses": evaluation.result.as_ref().err()}))})).collect();
            let odds: Vec<String> = m.conflicting_members().iter().map(|(name, version_id)| format!("{name}: {version_id}")).collect();
            let refused = m.refusals().iter().map(|refusal| serde_json::json!({"version": refusal.number, "why": refusal.reason}));
            let refused: Vec<_> = refused.collect();
            serde_json::json!({"standing": version(m.committed()), "sound": m.is_active(), "vouches": m.confirms(now),
                "draft": m.proposed().map(|d| d.version_id.number), "held_up": m.blocked_by(now), "at_odds": odds,
                "refused": refused, "servers": servers,
                "members": m.committee().iter().map(|n| n.to_string()).collect::<Vec<_>>()})
        });
        let all = serde_json::json!({
            "server": &*self.hand.me.0, "level": format!("{:?}", self.level).to_lowercase(),
            "standing": self.follower.committed().map(version), "since_ms": ms(now.saturating_sub(self.since)),
            "lease_ms": ms(full.saturating_sub(now)), "misfit": self.follower.incompatibility(), "committee": committee,
            "start": start,
            "text": self.follower.version().map(|doc| &*doc.text), "agree_within_ms": ms(self.terms.within)});
        all.to_string()
    }
}

impl Server {
    /// Something happens on the rule book's side; what comes of it is carried through, in one step.
    fn rules_do(&mut self, act: impl FnOnce(&mut Rules, Duration)) {
        let Some(mut rules) = self.rules.take() else { return };
        let now = rules.clock.now();
        act(&mut rules, now);
        rules.carry(now);
        self.rules_follow(&mut rules, now);
        self.rules = Some(rules);
    }

    fn rules_follow(&mut self, rules: &mut Rules, now: Duration) {
        loop {
            if let Some((doc, book, stood)) = rules.hand.force.take() {
                self.rules_in_force(rules, now, (doc, book), stood);
            }
            self.rules_lease(rules, now);
            let Some(draft) = rules.hand.news.take() else { break };
            self.rules_news(rules, draft);
            // It is news for this very server as well.
            rules.follower.notify(now, draft, &mut AsServer(&mut rules.hand));
            rules.carry(now);
        }
        if let (None, Some(home)) = (&rules.member, rules.follower.current_member()) {
            let home = home.clone();
            rules.hand.peers.keep_only(&home);
        }
        let after = rules.next(now).saturating_sub(now);
        let mut net = self.net();
        let at = net.clock.now() + after;
        net.deadlines.set(Due::Rules, at);
    }

    /// A version is in force here: kept, told to the core, and this server's place on the committee taken where it gives one.
    fn rules_in_force(
        &mut self,
        rules: &mut Rules,
        now: Duration,
        (doc, book): (ConfigVersion, Rc<VersionedConfig>),
        stood: Duration,
    ) {
        let before = rules.book.replace(book.clone());
        rules.since = now;
        let share = book.share(&rules.hand.me.0);
        if share.is_some() || rules.shares.is_some() {
            let own = rules.hand.platform.num("family_info.calls_out").unwrap_or_default();
            // A call that was made lasts no longer than its txn.
            let timeout = (0..).map_while(|i| rules.hand.platform.span(&format!("profiles.{i}.give_up")));
            let longest = timeout.max().unwrap_or_default();
            let shares = rules.shares.get_or_insert_with(|| QuotaHandover::new(rules.terms.clone(), longest));
            shares.given(now, share.unwrap_or(own), stood);
        }
        if let Some(standing) = rules.follower.committed() {
            rules.hand.memory.keep_version(standing, &doc.text);
        }
        let changed = before.map_or(0, |before| changes(&before, &book).len());
        tracing::info!(version = doc.version_id.number, digest = %book.digest(), changed, "rules in force");
        rules.join(now, &doc);
        self.rules_core(rules, now);
    }

    /// Tells the core by what settings it goes now.
    fn rules_core(&mut self, rules: &mut Rules, now: Duration) {
        let cold = self.cold;
        if let (Some((mut settings, share)), Some(core)) = (rules.settings(now), &mut self.core) {
            settings.set("family_info.cold", aldercrank::Value::Flag(cold));
            let version = rules.book.as_ref().map_or(0, |b| b.number.0);
            let at = self.net.borrow().clock.now();
            core.in_force(at, &settings, version, share);
        }
    }

    /// Tells the core until when it may act, and the list service when that changes what it hears.
    fn rules_lease(&mut self, rules: &mut Rules, now: Duration) {
        let bounds = rules.follower.bounds();
        let level = rules.follower.level(now);
        if bounds != rules.response {
            rules.response = bounds;
            self.rules_bounds(rules, now);
        }
        let before = std::mem::replace(&mut rules.level, level);
        if before != level {
            let level = format!("{level:?}").to_lowercase();
            tracing::info!(level, "what may be done by the rule book");
            if (before == PermissionLevel::Mute) != (rules.level == PermissionLevel::Mute) {
                self.net().good_changed = true;
            }
        }
    }

    fn rules_bounds(&mut self, rules: &Rules, now: Duration) {
        let at = self.now();
        // Both clocks go at one rate; only their zeros differ.
        let there = |end: Duration| match end {
            Duration::MAX => end,
            end => (at + end).saturating_sub(now),
        };
        if let Some(core) = &mut self.core {
            core.leased(at, there(rules.response.full_until), there(rules.response.alone_until));
        }
    }

    /// The core has begun: it hears what is known by now.
    pub(super) fn rules_begin(&mut self) {
        let Some(mut rules) = self.rules.take() else { return };
        let now = rules.clock.now();
        self.rules_bounds(&rules, now);
        self.rules_core(&mut rules, now);
        self.rules = Some(rules);
    }

    fn rules_news(&mut self, rules: &mut Rules, draft: Option<VersionId>) {
        let Ok(body) = rmp_serde::to_vec(&draft) else { return };
        let mut net = self.net();
        rules.attached.retain(|_, conn| net.edge.get(*conn).is_some());
        for conn in rules.attached.values() {
            net.edge.say(*conn, |out, _| out.words(|words| msgpack_rpc::write_notification(words, &body)));
        }
    }

    /// Why these settings of the platform's can't be gone by with the book in force.
    pub(super) fn rules_misfit(&self, settings: &Settings) -> Option<String> {
        let rules = self.rules.as_ref()?;
        rules.book.as_ref()?.incompatibilities(settings, &rules.hand.me.0).first().map(ToString::to_string)
    }

    /// The platform's settings have changed under the book. Whether there is one.
    pub(super) fn rules_platform(&mut self, settings: &Settings) -> bool {
        let Some(mut rules) = self.rules.take() else { return false };
        rules.hand.platform = settings.clone();
        let now = rules.clock.now();
        self.rules_core(&mut rules, now);
        let book = rules.book.is_some();
        self.rules = Some(rules);
        book
    }

    /// Whether nothing may be taken, since the rules in force are not known.
    pub(super) fn rules_mute(&self) -> bool {
        self.rules.as_ref().is_some_and(|rules| rules.level == PermissionLevel::Mute)
    }

    pub(super) fn rules_version(&self) -> Option<u64> {
        self.rules.as_ref()?.book.as_ref().map(|book| book.number.0)
    }

    /// Another server, or an operator, asks about the rule book. False where there is none, or it makes no sense.
    pub(super) fn rules_asked(&mut self, reply_to: ReplyTo, body: &[u8]) -> bool {
        let Ok(ask) = rmp_serde::from_slice::<PeerRequest>(body) else { return false };
        let mut response = None;
        let start = self.core.as_ref().and_then(|core| core.started());
        self.rules_do(|rules, now| {
            response = Some(match (&ask, &mut rules.member) {
                (PeerRequest::Status, _) => PeerResponse::Status { text: rules.status(now, start) },
                (_, None) => PeerResponse::Silent,
                (PeerRequest::Renew { from, .. }, Some(_))
                    if rules.attached.len() >= TOLD && !rules.attached.contains_key(from) =>
                {
                    PeerResponse::Silent
                }
                (PeerRequest::Renew { from, .. }, Some(member)) => {
                    rules.attached.insert(from.clone(), reply_to.conn);
                    member.handle_request(now, ask, &mut AsMember(&mut rules.hand))
                }
                (_, Some(member)) => member.handle_request(now, ask, &mut AsMember(&mut rules.hand)),
            });
        });
        let Some(bytes) = response.and_then(|response| rmp_serde::to_vec(&response).ok()) else {
            return false;
        };
        self.net().answer(reply_to, |out, beside| {
            out.words(|words| {
                msgpack_rpc::write_completed(words, reply_to.call, bytes.len());
                words.extend_from_slice(&bytes);
                msgpack_rpc::write_completed_end(words, beside);
            });
        });
        true
    }

    pub(super) fn peer_ready(&mut self, number: PeerNo) {
        let mut chunk = self.chunk();
        let Some(rules) = &mut self.rules else { return };
        let heard = rules.hand.peers.ready(number, &mut chunk);
        self.chunk = chunk;
        for heard in heard {
            self.rules_do(|rules, now| match heard {
                Heard::PeerResponse(side, correlation_id, response) => {
                    rules.told_to(now, side, correlation_id, *response)
                }
                Heard::Lost(side, correlation_id) => rules.hand.lost.push((side, correlation_id)),
                Heard::News(draft) => rules.follower.notify(now, draft, &mut AsServer(&mut rules.hand)),
            });
        }
    }

    /// Something of the rule book's is due.
    pub(super) fn rules_due(&mut self) {
        let share = self.rules.as_ref().and_then(|r| r.shares.clone());
        self.rules_do(|rules, now| rules.timer_fired(now));
        if share != self.rules.as_ref().and_then(|r| r.shares.clone()) {
            // A share has grown by waiting.
            if let Some(mut rules) = self.rules.take() {
                let now = rules.clock.now();
                self.rules_core(&mut rules, now);
                self.rules = Some(rules);
            }
        }
        self.rules_read();
    }

    // ---- versions to come, off the list service ----

    fn rules_read(&mut self) {
        let on_loop = self.net().on_loop.clone();
        let to = self.config.members;
        let Some(rules) = &mut self.rules else { return };
        let now = rules.clock.now();
        let Some(reading) = rules.reading.as_mut().filter(|r| rules.member.is_some() && now >= r.due) else {
            return;
        };
        if let Some((_, exchange, _)) = reading.out.take() {
            tracing::warn!("the list service did not answer a read of the rule book in its time");
            exchange.close(&on_loop);
            reading.due = reading.pace.failed(now);
        } else {
            reading.numbers += 1;
            let number = reading.numbers;
            let question = membership::write_version_read(
                &to.to_string(),
                reading.have.as_ref().map(|(tag, _)| tag.as_str()),
                READ,
            );
            reading.due = now + READ + READ_LATE;
            let out = &mut reading.out;
            let keep = |exchange| {
                *out = Some((number, exchange, now));
                Some(number)
            };
            if let Err(e) = Exchange::begin(&on_loop, to, question, Server::rules_heard, keep) {
                tracing::warn!(why = %e, "the list service can't be reached for the rule book");
                reading.due = reading.pace.failed(now);
            }
        }
        self.rules_do(|_, _| {});
    }

    fn rules_heard(&mut self, number: u64) {
        let mut chunk = self.chunk();
        let on_loop = self.net().on_loop.clone();
        let Some(rules) = &mut self.rules else { return };
        let now = rules.clock.now();
        let Some(reading) = rules.reading.as_mut() else { return };
        let Some((_, exchange, begun)) = reading.out.as_mut().filter(|(out, _, _)| *out == number) else {
            return;
        };
        let begun = *begun;
        let heard = exchange.hear(&mut chunk);
        self.chunk = chunk;
        let Some(heard) = heard else { return };
        let text = heard.as_ref().ok().map(|reply| exchange.body(reply).to_vec());
        if let Some((_, exchange, _)) = reading.out.take() {
            exchange.close(&on_loop);
        }
        // One that answers at once whatever it is asked is read every so often, and no more.
        reading.due = if now >= begun + READ.mul_f64(0.9) { now } else { begun + READ };
        match heard {
            Ok(reply) if reply.status == 200 => {
                let text = String::from_utf8_lossy(&text.unwrap_or_default()).into_owned();
                self.rules_read_text(&text);
            }
            Ok(reply) if reply.status == 304 => {}
            Ok(reply) if matches!(reply.status, 204 | 404) => {
                if let Some((_, number)) = reading.have.take() {
                    // What comes after it is waited for at once.
                    reading.due = now + READ.mul_f64(READ_AGAIN);
                    self.rules_do(|rules, now| {
                        if let Some(member) = &mut rules.member {
                            member.proposal_withdrawn(now, number, &mut AsMember(&mut rules.hand));
                        }
                    });
                }
            }
            Ok(reply) => reading.due = reading.pace.rejected(now, reply.retry_after),
            Err(_) => reading.due = reading.pace.failed(now),
        }
        self.rules_do(|_, _| {});
    }

    /// A version stands at the list service.
    fn rules_read_text(&mut self, text: &str) {
        let book = match VersionedConfig::parse(text) {
            Ok(book) => book,
            Err(faults) => {
                let first = faults.first().map(|fault| fault.to_string()).unwrap_or_default();
                // It has no digest to be read against: what follows it is looked for, oftener at first.
                if let Some(rules) = &mut self.rules {
                    let now = rules.clock.now();
                    rules.reading.iter_mut().for_each(|r| r.due = r.pace.failed(now));
                }
                return tracing::error!(
                    first,
                    faults = faults.len(),
                    "the list service has a rule book that can't be read"
                );
            }
        };
        let (version_id, number) = (version_id(&book), book.number.0);
        let tag = format!("{number}-{}", book.digest());
        self.rules_do(|rules, now| {
            let Some(reading) = &mut rules.reading else { return };
            let new = reading.have.as_ref().map(|(tag, _)| tag) != Some(&tag);
            reading.pace.succeeded(now, now);
            reading.have = Some((tag, number));
            if new {
                reading.due = now + READ.mul_f64(READ_AGAIN);
            }
            let doc = ConfigVersion { version_id, text: Arc::from(book.text()) };
            let Some(member) = &mut rules.member else { return };
            match member.version_proposed(now, doc, &mut AsMember(&mut rules.hand)) {
                Ok(()) if new => {
                    tracing::info!(version = number, digest = %book.digest(), "a version to come was read")
                }
                Ok(()) => {}
                Err(error) => {
                    let why = error.to_string();
                    tracing::warn!(version = number, why, "a version read off the list service is no draft")
                }
            }
        });
    }
}
