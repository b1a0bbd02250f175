//! The lease holder: tracks which committed version a server knows, until when the server may use it, and which member
//! to ask next.
//!
//! It asks one member of the committee, and stays with it while it grants leases. A lease counts from the sending of
//! the request: the longer the response takes, the less of the lease is left, and a response that arrives after the end
//! of its lease grants nothing.

use crate::error::ProposalError;
use crate::messages::{
    CommittedState, ConfigVersion, CorrelationId, Evaluation, PeerRequest, PeerResponse, ServerName,
    VersionId, VersionSummary,
};
use crate::permission::{PermissionBounds, PermissionLevel};
use crate::timing::{InjectedFault, Timing};
use std::sync::Arc;
use std::time::Duration;

/// Backoff after the first pass over all members without a lease, in response timeouts. It doubles with every further
/// pass, up to the renewal interval.
const FIRST_BACKOFF_RESPONSE_TIMEOUTS: f64 = 1.0;
/// Limit on the doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// How much earlier than the renewal interval a renewal may come at most, as a fraction of the interval.
const RENEWAL_JITTER: f64 = 0.1;
/// The same for the renewal after one that a notification has triggered: notifications reach many followers at once.
const JITTER_AFTER_NOTIFICATION: f64 = 0.6;

/// What a follower needs from the server that it runs in.
pub trait FollowerEnvironment {
    /// Sends a request to a member. [`Follower::handle_response`] or [`Follower::request_lost`] follows with the same
    /// correlation id.
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest);
    /// Parses a text and compares it with its version id, with the version before it, and with what this server
    /// supports. Returns `None` if the text does not match its version id or can't be parsed.
    fn summarize(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary>;
    /// Makes this version the one that the server uses. It was committed at least `committed_for` ago.
    fn version_committed(
        &mut self,
        version: &ConfigVersion,
        summary: &VersionSummary,
        committed_for: Duration,
    );
}

/// A committed state reported by a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReportedState {
    committed: CommittedState,
    /// Minimum time for which its version has been committed.
    committed_for: Duration,
    /// End of the lease granted with it, if one was.
    lease_until: Option<Duration>,
}

/// Why a request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Purpose {
    Renew,
    /// Text of a committed version that is new to this server.
    FetchCommitted(ReportedState),
    /// Text of a proposed version.
    FetchProposed(VersionId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingRequest {
    correlation_id: CorrelationId,
    sent_at: Duration,
    purpose: Purpose,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownVersion {
    committed: CommittedState,
    version: ConfigVersion,
    /// Why this server can't apply it; `None` if it can.
    incompatibility: Option<String>,
}

/// A proposed version that this server can apply. Its text need not be fetched again once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReadyProposal {
    version: ConfigVersion,
    summary: VersionSummary,
}

/// State machine of a follower. [`Follower::level`] rises only when a version becomes known (`apply`) or a lease is
/// extended (`extend_lease`). It falls as time passes, or when a newer version becomes known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Follower {
    name: ServerName,
    timing: Timing,
    committee: Vec<ServerName>,
    /// Index in `committee` of the member to ask.
    current_member: usize,
    next_correlation_id: u64,
    outstanding: Option<OutstandingRequest>,
    known: Option<KnownVersion>,
    lease_until: Duration,
    /// End of the last lease, or time of a restart from disk: idempotent requests go on for a limited time after it.
    isolated_since: Option<Duration>,
    renewal_due: Duration,
    /// Whether a notification has arrived since the last renewal.
    notified: bool,
    /// Number of requests in a row that led to no lease.
    failed_attempts: u32,
    evaluation: Option<Evaluation>,
    /// A proposed version whose text could not be fetched. It is not tried again before the next renewal is due.
    fetch_deferred: Option<VersionId>,
    ready_proposal: Option<ReadyProposal>,
    /// The level when a timer last fired or the lease was last extended, for [`InjectedFault::StaleLevelAfterPause`].
    last_level: PermissionLevel,
}

impl Follower {
    /// A follower without a known version. `committee` is the initial one. `spread` differs between servers, so that
    /// they do not all begin with the same member.
    pub fn new(name: ServerName, committee: Vec<ServerName>, spread: u64, timing: Timing) -> Follower {
        let current_member = (spread % committee.len().max(1) as u64) as usize;
        Follower {
            name,
            timing,
            committee,
            current_member,
            next_correlation_id: 1,
            outstanding: None,
            known: None,
            lease_until: Duration::ZERO,
            isolated_since: None,
            renewal_due: Duration::ZERO,
            notified: true,
            failed_attempts: 0,
            evaluation: None,
            fetch_deferred: None,
            ready_proposal: None,
            last_level: PermissionLevel::Denied,
        }
    }

    /// Restores the version that an earlier incarnation stored. It allows idempotent requests without a lease, and its
    /// text need not be fetched. Must be called before anything else; does nothing if the text can't be parsed.
    pub fn restore(
        &mut self,
        now: Duration,
        committed: CommittedState,
        version: ConfigVersion,
        environment: &mut impl FollowerEnvironment,
    ) {
        let Some(summary) = environment.summarize(&version.version_id, &version.text, None) else { return };
        if version.version_id == committed.version_id {
            self.isolated_since = Some(now);
            let state = ReportedState { committed, committed_for: Duration::ZERO, lease_until: None };
            self.apply(&state, version, summary, environment);
        }
    }

    /// The committed state, as this server knows it.
    pub fn committed(&self) -> Option<CommittedState> {
        self.known.as_ref().map(|known| known.committed)
    }

    /// The committed version, as this server knows it.
    pub fn version(&self) -> Option<&ConfigVersion> {
        self.known.as_ref().map(|known| &known.version)
    }

    /// Why this server can't apply the version that it knows; `None` if it can.
    pub fn incompatibility(&self) -> Option<&str> {
        self.known.as_ref()?.incompatibility.as_deref()
    }

    /// The member that the follower asks.
    pub fn current_member(&self) -> Option<&ServerName> {
        self.committee.get(self.current_member)
    }

    /// What the server may do now.
    pub fn level(&self, now: Duration) -> PermissionLevel {
        if self.timing.injected_fault == Some(InjectedFault::StaleLevelAfterPause) {
            return self.last_level;
        }
        self.level_at(now)
    }

    /// Until when the server has each permission level.
    pub fn bounds(&self) -> PermissionBounds {
        let compatible = self.known.as_ref().is_some_and(|known| known.incompatibility.is_none());
        match (compatible, self.isolated_since) {
            (true, _) if self.timing.injected_fault == Some(InjectedFault::NoLeaseCheck) => {
                PermissionBounds { full_until: Duration::MAX, idempotent_until: Duration::MAX }
            }
            (true, Some(since)) => PermissionBounds {
                full_until: self.lease_until,
                idempotent_until: since.max(self.lease_until) + self.timing.isolation_limit,
            },
            _ => PermissionBounds::default(),
        }
    }

    fn level_at(&self, now: Duration) -> PermissionLevel {
        let PermissionBounds { full_until, idempotent_until } = self.bounds();
        if now < full_until {
            PermissionLevel::Full
        } else if now < idempotent_until {
            PermissionLevel::IdempotentOnly
        } else {
            PermissionLevel::Denied
        }
    }

    /// When [`Follower::timer_fired`] is to be called next.
    pub fn next_timeout(&self) -> Duration {
        self.outstanding
            .as_ref()
            .map_or(self.renewal_due, |request| request.sent_at + self.timing.response_timeout())
    }

    /// Gives up a request that has timed out, and sends a renewal if one is due. May be called early.
    pub fn timer_fired(&mut self, now: Duration, environment: &mut impl FollowerEnvironment) {
        self.last_level = self.level_at(now);
        let timeout = self.timing.response_timeout();
        if let Some(request) = self.outstanding.as_ref().filter(|request| now >= request.sent_at + timeout) {
            let correlation_id = request.correlation_id;
            self.request_lost(now, correlation_id, environment);
        }
        if self.outstanding.is_none() && now >= self.renewal_due {
            self.fetch_deferred = None;
            self.renew(now, environment);
        }
    }

    /// Handles a member's notification: of a proposed version to evaluate or, with `None`, that leases can be granted
    /// on the committed state.
    pub fn notification_received(
        &mut self,
        now: Duration,
        proposed: Option<VersionId>,
        environment: &mut impl FollowerEnvironment,
    ) {
        self.notified = true;
        if self.outstanding.is_some() {
            // The response may have been sent before the notification.
            self.renewal_due = now;
        } else if !self.fetch_proposed(proposed, now, environment) {
            self.renew(now, environment);
        }
    }

    /// Fetches the text of a proposed version unless it was evaluated or deferred. Returns whether it is fetched.
    fn fetch_proposed(
        &mut self,
        proposed: Option<VersionId>,
        now: Duration,
        environment: &mut impl FollowerEnvironment,
    ) -> bool {
        let evaluated = self.evaluation.as_ref().map(|evaluation| evaluation.version_id);
        let new = proposed.filter(|_| evaluated != proposed && self.fetch_deferred != proposed);
        if let Some(version_id) = new {
            let request = PeerRequest::Fetch { version_id };
            self.send(now, Purpose::FetchProposed(version_id), request, environment);
        }
        new.is_some()
    }

    fn send(
        &mut self,
        now: Duration,
        purpose: Purpose,
        request: PeerRequest,
        environment: &mut impl FollowerEnvironment,
    ) {
        let Some(to) = self.committee.get(self.current_member) else { return };
        let correlation_id = CorrelationId(self.next_correlation_id);
        self.next_correlation_id += 1;
        self.outstanding = Some(OutstandingRequest { correlation_id, sent_at: now, purpose });
        environment.send_request(to, correlation_id, request);
    }

    /// Time until the next renewal. The jitter is a hash of the name and the request count: followers that were
    /// notified at one moment would otherwise renew together from then on.
    fn renewal_delay(&self) -> Duration {
        const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let key = self.name.0.bytes().chain(self.next_correlation_id.to_le_bytes());
        let hash = key.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        let fraction = (hash >> 40) as f64 / (1u64 << 24) as f64;
        let jitter = if self.notified { JITTER_AFTER_NOTIFICATION } else { RENEWAL_JITTER };
        self.timing.renewal_interval().mul_f64(1.0 - jitter * fraction)
    }

    fn renew(&mut self, now: Duration, environment: &mut impl FollowerEnvironment) {
        self.renewal_due = now + self.renewal_delay();
        self.notified = false;
        let last_decided = self.committed().map_or(0, |committed| committed.last_decided);
        let request =
            PeerRequest::Renew { from: self.name.clone(), last_decided, evaluation: self.evaluation.clone() };
        self.send(now, Purpose::Renew, request, environment);
    }

    /// Called when a request will get no response. Asks the next member: at once, or after a backoff if a pass over all
    /// members is complete.
    pub fn request_lost(
        &mut self,
        now: Duration,
        correlation_id: CorrelationId,
        environment: &mut impl FollowerEnvironment,
    ) {
        if let Some(request) = self.outstanding.take_if(|request| request.correlation_id == correlation_id) {
            if let Purpose::FetchProposed(version_id) = request.purpose {
                self.fetch_deferred = Some(version_id);
            }
            self.try_next_member(now, environment);
        }
    }

    fn try_next_member(&mut self, now: Duration, environment: &mut impl FollowerEnvironment) {
        let members = self.committee.len().max(1);
        self.current_member = (self.current_member + 1) % members;
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        let passes = self.failed_attempts / members as u32;
        if (self.failed_attempts as usize).is_multiple_of(members) {
            let doubled = f64::from(1u32 << passes.min(MAX_BACKOFF_DOUBLINGS));
            let backoff =
                self.timing.response_timeout().mul_f64(FIRST_BACKOFF_RESPONSE_TIMEOUTS * doubled / 2.0);
            self.renewal_due = now + backoff.min(self.timing.renewal_interval());
        } else {
            self.renew(now, environment);
        }
    }

    /// Handles a response. It is ignored if its request is no longer outstanding.
    pub fn handle_response(
        &mut self,
        now: Duration,
        correlation_id: CorrelationId,
        response: PeerResponse,
        environment: &mut impl FollowerEnvironment,
    ) {
        let Some(request) = self.outstanding.take_if(|request| request.correlation_id == correlation_id)
        else {
            return;
        };
        let from_response = self.timing.injected_fault == Some(InjectedFault::LeaseFromResponse);
        let lease_start = if from_response { now } else { request.sent_at };
        match (request.purpose, response) {
            (Purpose::Renew, PeerResponse::Lease { committed, age, committed_for, proposed }) => {
                let lease_until =
                    age.and_then(|age| (lease_start + self.timing.lease_duration()).checked_sub(age));
                let state = ReportedState { committed, committed_for, lease_until };
                self.lease_received(now, state, proposed, environment);
            }
            (Purpose::FetchCommitted(state), PeerResponse::Text { version_id, text })
                if version_id == state.committed.version_id =>
            {
                self.committed_text_received(now, &state, &text, environment);
            }
            (Purpose::FetchProposed(proposed), PeerResponse::Text { version_id, text })
                if version_id == proposed =>
            {
                let version = ConfigVersion { version_id, text: Arc::from(text) };
                self.evaluate(version, environment);
                self.renew(now, environment);
            }
            // The version was withdrawn or decided meanwhile.
            (Purpose::FetchProposed(_), _) => {}
            _ => self.try_next_member(now, environment),
        }
    }

    fn committed_text_received(
        &mut self,
        now: Duration,
        state: &ReportedState,
        text: &str,
        environment: &mut impl FollowerEnvironment,
    ) {
        let version_id = state.committed.version_id;
        match environment.summarize(&version_id, text, self.version()) {
            Some(summary) => {
                let version = ConfigVersion { version_id, text: Arc::from(text) };
                self.apply(state, version, summary, environment);
                self.extend_lease(now, state.lease_until, environment);
            }
            None => self.try_next_member(now, environment),
        }
    }

    fn evaluate(&mut self, version: ConfigVersion, environment: &mut impl FollowerEnvironment) {
        self.ready_proposal = None;
        let version_id = version.version_id;
        let result = match environment.summarize(&version_id, &version.text, self.version()) {
            Some(VersionSummary { incompatibility: Some(reason), .. }) => Err(reason),
            Some(summary) => {
                self.ready_proposal = Some(ReadyProposal { version, summary });
                Ok(())
            }
            None => Err(ProposalError::UnreadableText.to_string()),
        };
        self.evaluation = Some(Evaluation { version_id, result });
    }

    fn lease_received(
        &mut self,
        now: Duration,
        state: ReportedState,
        proposed: Option<VersionId>,
        environment: &mut impl FollowerEnvironment,
    ) {
        let (own, committed) = (self.committed(), state.committed);
        // The committed state never goes back: no lease is taken from a member that knows only an earlier state.
        if own.is_some_and(|own| own.last_decided > committed.last_decided) {
            return self.try_next_member(now, environment);
        }
        // Two versions with the same number: one of the two servers is wrong, and this one keeps its version.
        if own.is_some_and(|own| {
            own.last_decided == committed.last_decided && own.version_id != committed.version_id
        }) {
            return self.try_next_member(now, environment);
        }
        let is_committed = |ready: &mut ReadyProposal| ready.version.version_id == committed.version_id;
        if let Some(ready) = self.ready_proposal.take_if(is_committed) {
            self.apply(&state, ready.version, ready.summary, environment);
        } else if own.map(|own| own.version_id) != Some(committed.version_id) {
            let request = PeerRequest::Fetch { version_id: committed.version_id };
            return self.send(now, Purpose::FetchCommitted(state), request, environment);
        }
        if let Some(known) = &mut self.known {
            known.committed = committed;
        }
        self.extend_lease(now, state.lease_until, environment);
        if self.outstanding.is_none() {
            self.fetch_proposed(proposed, now, environment);
        }
    }

    /// Makes this the known version. Ends the lease, which was granted on the version before.
    fn apply(
        &mut self,
        state: &ReportedState,
        version: ConfigVersion,
        summary: VersionSummary,
        environment: &mut impl FollowerEnvironment,
    ) {
        // The member's clock may be fast compared with this server's.
        let committed_for = state.committed_for - self.timing.drift_over(state.committed_for);
        environment.version_committed(&version, &summary, committed_for);
        let asked = self.committee.get(self.current_member).cloned();
        if !summary.committee.is_empty() {
            self.committee = summary.committee;
            let index = self.committee.iter().position(|name| Some(name) == asked.as_ref());
            self.current_member = index.unwrap_or(self.current_member % self.committee.len());
        }
        self.known = Some(KnownVersion {
            committed: state.committed,
            version,
            incompatibility: summary.incompatibility,
        });
        self.lease_until = Duration::ZERO;
    }

    fn extend_lease(
        &mut self,
        now: Duration,
        lease_until: Option<Duration>,
        environment: &mut impl FollowerEnvironment,
    ) {
        match lease_until.filter(|until| *until > now) {
            Some(until) => {
                self.lease_until = self.lease_until.max(until);
                self.isolated_since = Some(self.lease_until);
                self.failed_attempts = 0;
            }
            // The member has not confirmed its state, or the lease is over already; another member may grant one.
            None => self.try_next_member(now, environment),
        }
        self.last_level = self.level_at(now);
    }
}
