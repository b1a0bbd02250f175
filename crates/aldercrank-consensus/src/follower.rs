//! A server's side: what it knows of the version in force, until when it may act on it, and whom it asks next.
//!
//! It asks any one member of the committee, the same one while that answers. A lease counts from when the question
//! was sent: an answer that was long on its way is worth less, and one that comes after its lease is worth nothing.

use crate::messages::{
    CommittedState, ConfigVersion, CorrelationId, PeerRequest, PeerResponse, ServerName, VersionId,
    VersionSummary,
};
use crate::timing::{InjectedFault, Terms};
use std::sync::Arc;
use std::time::Duration;

/// After all members were asked in vain, the next round of them comes after so many waits for an answer, doubled
/// each time, up to the span between two renewals.
const AGAIN: f64 = 1.0;
/// How much sooner than at the latest a renewal may come, as a share of the span between two; and the one after news.
const LOOSE: f64 = 0.1;
const TOLD: f64 = 0.6;

/// How much a server may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PermissionLevel {
    /// Nothing: it has never known the version in force, or has been out of touch for too long.
    Mute,
    /// What may run again: it is out of touch, or starts from memory.
    Alone,
    /// Everything, by the version that it knows.
    Full,
}

/// What a follower does to its server.
pub trait Ports {
    /// Asks a member; the answer carries the ticket, or `request_lost` is called with it.
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest);
    /// Reads a text and checks it against its stamp, against the one that it would follow, and against what this
    /// server can do. `None`: it is not what its stamp says, or can't be read.
    fn read(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary>;
    /// From here on this is the version that the server goes by. It has stood for so long at least.
    fn version_committed(&mut self, version: &ConfigVersion, read: &VersionSummary, stood: Duration);
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum What {
    Renew,
    /// The text of what is in force since the renewal that was sent then, with what it told.
    Force {
        committed: CommittedState,
        until: Option<Duration>,
        stood: Duration,
    },
    /// The text of a draft.
    Draft(VersionId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Out {
    correlation_id: CorrelationId,
    to: ServerName,
    sent: Duration,
    what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Known {
    committed: CommittedState,
    version: ConfigVersion,
    /// Why this server can't go by it, where it can't.
    misfit: Option<String>,
}

/// The phases, all their transitions in `knows` and `extends`; time alone leads from one to the next lower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Follower {
    me: ServerName,
    terms: Terms,
    committee: Vec<ServerName>,
    /// Its place among the committee whom it asks.
    home: usize,
    next_correlation_id: u64,
    out: Option<Out>,
    known: Option<Known>,
    /// The end of its lease.
    until: Duration,
    /// Since when it has had none, at the latest; for what may run again.
    touched: Option<Duration>,
    due: Duration,
    /// News have come, to others as well.
    response: bool,
    /// Members asked in vain, one after another.
    vain: u32,
    weighed: Option<(VersionId, Result<(), String>)>,
    /// A draft whose text did not come: it is not asked for again before the next renewal is due.
    put_off: Option<VersionId>,
    /// The draft that it could go by: it need not be fetched again once it is in force.
    held: Option<(ConfigVersion, VersionSummary)>,
    /// What the last look at the clock came to, for one mistake.
    looked: PermissionLevel,
}

impl Follower {
    /// `committee` as the service file names it. `spread` is a number of this server's own, so that servers do not
    /// all ask the same member.
    pub fn new(me: ServerName, committee: Vec<ServerName>, spread: u64, terms: Terms) -> Follower {
        let home = (spread % committee.len().max(1) as u64) as usize;
        Follower {
            me,
            terms,
            committee,
            home,
            next_correlation_id: 1,
            out: None,
            known: None,
            until: Duration::ZERO,
            touched: None,
            due: Duration::ZERO,
            response: true,
            vain: 0,
            weighed: None,
            put_off: None,
            held: None,
            looked: PermissionLevel::Mute,
        }
    }

    /// A version remembered from an earlier life: good for what may run again, and not to be asked for anew.
    pub fn restore(
        &mut self,
        now: Duration,
        committed: CommittedState,
        version: ConfigVersion,
        ports: &mut impl Ports,
    ) {
        let Some(read) = ports.read(&version.version_id, &version.text, None) else { return };
        if version.version_id == committed.book {
            self.touched = Some(now);
            self.knows((committed, Duration::ZERO), version, read, ports);
        }
    }

    pub fn committed(&self) -> Option<CommittedState> {
        self.known.as_ref().map(|k| k.committed)
    }

    pub fn version(&self) -> Option<&ConfigVersion> {
        self.known.as_ref().map(|k| &k.version)
    }

    pub fn incompatibility(&self) -> Option<&str> {
        self.known.as_ref()?.misfit.as_deref()
    }

    /// The member that it asks.
    pub fn current_member(&self) -> Option<&ServerName> {
        self.committee.get(self.home)
    }

    /// The end of its lease, as it is known now.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// What it may do at this moment, and when that is next less.
    pub fn level(&self, now: Duration) -> (PermissionLevel, Option<Duration>) {
        if self.terms.injected_fault == Some(InjectedFault::WakesUnlooked) {
            return (self.looked, None);
        }
        self.look(now)
    }

    /// Until when it may do everything, and until when what may run again.
    pub fn bounds(&self) -> (Duration, Duration) {
        let fits = self.known.as_ref().is_some_and(|k| k.misfit.is_none());
        match (fits, self.touched) {
            (true, _) if self.terms.injected_fault == Some(InjectedFault::NoFence) => {
                (Duration::MAX, Duration::MAX)
            }
            (true, Some(touched)) => (self.until, touched.max(self.until) + self.terms.alone),
            _ => (Duration::ZERO, Duration::ZERO),
        }
    }

    fn look(&self, now: Duration) -> (PermissionLevel, Option<Duration>) {
        let (full, alone) = self.bounds();
        match () {
            () if now < full => (PermissionLevel::Full, Some(full)),
            () if now < alone => (PermissionLevel::Alone, Some(alone)),
            () => (PermissionLevel::Mute, None),
        }
    }

    /// When something is to be done next.
    pub fn next(&self) -> Duration {
        self.out.as_ref().map_or(self.due, |out| out.sent + self.terms.answer())
    }

    /// The time has come, or may have.
    pub fn timer_fired(&mut self, now: Duration, ports: &mut impl Ports) {
        self.looked = self.look(now).0;
        if let Some(out) = self.out.as_ref().filter(|out| now >= out.sent + self.terms.answer()) {
            let correlation_id = out.correlation_id;
            self.request_lost(now, correlation_id, ports);
        }
        if self.out.is_none() && now >= self.due {
            self.put_off = None;
            self.renew(now, ports);
        }
    }

    /// A member says that there is something to be asked about: a draft to be weighed, or what stands.
    pub fn notify(&mut self, now: Duration, proposed: Option<VersionId>, ports: &mut impl Ports) {
        self.response = true;
        if self.out.is_some() {
            // What it is asked now may have been answered before the news.
            self.due = now;
        } else if !self.weighs(proposed, now, ports) {
            self.renew(now, ports);
        }
    }

    /// Asks for the text of a draft that is new to it.
    fn weighs(&mut self, proposed: Option<VersionId>, now: Duration, ports: &mut impl Ports) -> bool {
        let known = |proposed: &VersionId| {
            self.weighed.as_ref().is_some_and(|(version_id, _)| version_id == proposed)
        };
        let new = proposed.filter(|proposed| !known(proposed) && self.put_off.as_ref() != Some(proposed));
        if let Some(version_id) = new {
            self.send(now, What::Draft(version_id), PeerRequest::Fetch { version_id }, ports);
        }
        new.is_some()
    }

    fn send(&mut self, now: Duration, what: What, request: PeerRequest, ports: &mut impl Ports) {
        let Some(to) = self.committee.get(self.home).cloned() else { return };
        let correlation_id = CorrelationId(self.next_correlation_id);
        self.next_correlation_id += 1;
        self.out = Some(Out { correlation_id, to: to.clone(), sent: now, what });
        ports.send_request(&to, correlation_id, request);
    }

    /// Until the next renewal. Those that were told the same news at one moment would come together for as long as
    /// they live: each comes at a moment of its own, by its name.
    fn gap(&self) -> Duration {
        let own = self.me.0.bytes().chain(self.next_correlation_id.to_le_bytes());
        let sum =
            own.fold(0xcbf2_9ce4_8422_2325, |d: u64, b| (d ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        let share = (sum >> 40) as f64 / (1u64 << 24) as f64;
        let loose = if self.response { TOLD } else { LOOSE };
        self.terms.renew().mul_f64(1.0 - loose * share)
    }

    fn renew(&mut self, now: Duration, ports: &mut impl Ports) {
        self.due = now + self.gap();
        self.response = false;
        let last = self.committed().map_or(0, |s| s.last);
        let request = PeerRequest::Renew { from: self.me.clone(), last, weighed: self.weighed.clone() };
        self.send(now, What::Renew, request, ports);
    }

    /// There will be no answer to this one: the next member is asked, at once until all were.
    pub fn request_lost(&mut self, now: Duration, correlation_id: CorrelationId, ports: &mut impl Ports) {
        if let Some(out) = self.out.take_if(|out| out.correlation_id == correlation_id) {
            if let What::Draft(version_id) = out.what {
                self.put_off = Some(version_id);
            }
            self.elsewhere(now, ports);
        }
    }

    fn elsewhere(&mut self, now: Duration, ports: &mut impl Ports) {
        let members = self.committee.len().max(1);
        self.home = (self.home + 1) % members;
        self.vain = self.vain.saturating_add(1);
        let rounds = self.vain / members as u32;
        if (self.vain as usize).is_multiple_of(members) {
            let wait = self.terms.answer().mul_f64(AGAIN * f64::from(1u32 << rounds.min(8)) / 2.0);
            self.due = now + wait.min(self.terms.renew());
        } else {
            self.renew(now, ports);
        }
    }

    pub fn handle_response(
        &mut self,
        now: Duration,
        correlation_id: CorrelationId,
        response: PeerResponse,
        ports: &mut impl Ports,
    ) {
        let Some(out) = self.out.take_if(|out| out.correlation_id == correlation_id) else { return };
        let from = if self.terms.injected_fault == Some(InjectedFault::FromAnswer) { now } else { out.sent };
        match (out.what, response) {
            (What::Renew, PeerResponse::Lease { committed, age, stood, proposed }) => {
                let until = age.and_then(|age| (from + self.terms.lease()).checked_sub(age));
                self.leased(now, (committed, stood), until, proposed, ports);
            }
            (What::Force { committed, until, stood }, PeerResponse::Text { version_id, text })
                if version_id == committed.book =>
            {
                match ports.read(&version_id, &text, self.version()) {
                    Some(read) => {
                        self.knows(
                            (committed, stood),
                            ConfigVersion { version_id, text: Arc::from(text) },
                            read,
                            ports,
                        );
                        self.extends(now, until, ports);
                    }
                    None => self.elsewhere(now, ports),
                }
            }
            (What::Draft(proposed), PeerResponse::Text { version_id, text }) if version_id == proposed => {
                let version = ConfigVersion { version_id, text: Arc::from(text) };
                self.held = None;
                let verdict = match ports.read(&version_id, &version.text, self.version()) {
                    Some(VersionSummary { misfit: Some(why), .. }) => Err(why),
                    Some(read) => {
                        self.held = Some((version, read));
                        Ok(())
                    }
                    None => Err("its text is not what its digest says, or can't be read".to_string()),
                };
                self.weighed = Some((version_id, verdict));
                self.renew(now, ports);
            }
            // It was withdrawn or decided on meanwhile.
            (What::Draft(_), _) => {}
            _ => self.elsewhere(now, ports),
        }
    }

    fn leased(
        &mut self,
        now: Duration,
        (committed, stood): (CommittedState, Duration),
        until: Option<Duration>,
        proposed: Option<VersionId>,
        ports: &mut impl Ports,
    ) {
        let mine = self.committed();
        // Versions never go back: one that knows less has nothing to say here.
        if mine.is_some_and(|mine| mine.last > committed.last) {
            return self.elsewhere(now, ports);
        }
        // One number, two contents: whoever is wrong, this server does not follow.
        if mine.is_some_and(|mine| mine.last == committed.last && mine.book != committed.book) {
            return self.elsewhere(now, ports);
        }
        if let Some((version, read)) = self.held.take_if(|(version, _)| version.version_id == committed.book)
        {
            self.knows((committed, stood), version, read, ports);
        } else if mine.map(|mine| mine.book) != Some(committed.book) {
            let request = PeerRequest::Fetch { version_id: committed.book };
            return self.send(now, What::Force { committed, until, stood }, request, ports);
        }
        if let Some(known) = &mut self.known {
            known.committed = committed;
        }
        self.extends(now, until, ports);
        if self.out.is_none() {
            self.weighs(proposed, now, ports);
        }
    }

    /// From here on this is the version that it knows; a lease of the one before says nothing of it.
    fn knows(
        &mut self,
        (committed, stood): (CommittedState, Duration),
        version: ConfigVersion,
        read: VersionSummary,
        ports: &mut impl Ports,
    ) {
        // The member's clock may run ahead of this one.
        ports.version_committed(&version, &read, stood - stood * 2 * self.terms.drift / 1000);
        let asked = self.committee.get(self.home).cloned();
        if !read.committee.is_empty() {
            self.committee = read.committee;
            let place = self.committee.iter().position(|name| Some(name) == asked.as_ref());
            self.home = place.unwrap_or(self.home % self.committee.len());
        }
        self.known = Some(Known { committed, version, misfit: read.misfit });
        self.until = Duration::ZERO;
    }

    fn extends(&mut self, now: Duration, until: Option<Duration>, ports: &mut impl Ports) {
        match until.filter(|until| *until > now) {
            Some(until) => {
                self.until = self.until.max(until);
                self.touched = Some(self.until);
                self.vain = 0;
            }
            // It can't vouch for anything: another may.
            None => self.elsewhere(now, ports),
        }
        self.looked = self.look(now).0;
    }
}
