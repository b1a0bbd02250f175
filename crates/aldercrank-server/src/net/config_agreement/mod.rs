//! This server's part in the agreement on the versioned configuration. Every server runs a follower, and also a
//! committee member if the configuration names it as one.
//!
//! `aldercrank-consensus` makes the decisions; this module connects it to the sockets, the state file and the core. It
//! is used only if the service file names a versioned configuration.
//!
//! - [`ports`]: the environments in which follower and member run.
//! - [`applying`]: how a committed version, leases and quotas reach the core.
//! - [`peer_requests`]: requests from and to other servers, and notifications.
//! - [`version_polling`]: reading proposed versions from the membership service.
//! - [`status`]: the status for operators.

mod applying;
mod peer_requests;
mod ports;
mod status;
mod version_polling;

use super::connection::EventLoopHandle;
use super::peer_connections::{PeerConnections, RequestTag, Requester};
use super::state_file::{StateFile, StoredVersion};
use crate::clock::Clock;
use crate::config::{AgreementConfig, Config};
use crate::core::ConnId;
use aldercrank::Settings;
use aldercrank_consensus::{
    CommitteeMember, ConfigVersion, Follower, MemberIdentity, PeerResponse, PermissionBounds,
    PermissionLevel, QuotaHandover, ServerName, Timing, VersionId,
};
use aldercrank_versioned_config::VersionedConfig;
use ports::{FollowerPorts, MemberPorts, PortContext};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use version_polling::VersionPolling;

/// The least quota of dependency calls that the admission module is given, since it takes zero for no limit.
const MIN_QUOTA: f64 = 1e-3;

/// The settings that are in force, and this server's quota of dependency calls if the version gives one.
struct EffectiveSettings {
    settings: Settings,
    quota: Option<f64>,
}

/// The state of this server's part in the agreement.
pub(super) struct ConfigAgreement {
    /// A clock that is never restarted, unlike the server's own, which counts from its worker pool's start.
    clock: Clock,
    timing: Timing,
    /// The incarnation that this server will use when it next becomes a committee member.
    next_incarnation: u64,
    follower: Follower,
    member: Option<CommitteeMember>,
    context: PortContext,
    /// Present once a version has given this server a quota of dependency calls.
    quotas: Option<QuotaHandover<f64>>,
    /// The version in force.
    in_force: Option<Rc<VersionedConfig>>,
    in_force_since: Duration,
    /// The bounds that were last passed to the core.
    permission_bounds: PermissionBounds,
    permission: PermissionLevel,
    /// Connections from the servers that renew their leases here, over which they are notified.
    followers: BTreeMap<ServerName, ConnId>,
    /// Present if the service file asks to read proposed versions from the membership service.
    polling: Option<VersionPolling>,
}

/// The id of a version.
fn version_id(version: &VersionedConfig) -> VersionId {
    VersionId { number: version.number.0, digest: version.digest().0 }
}

impl ConfigAgreement {
    /// Starts with the stored version if there is one, otherwise with the one in the service file.
    pub(super) fn new(
        config: &Config,
        agreement: &AgreementConfig,
        event_loop: EventLoopHandle,
    ) -> ConfigAgreement {
        let (clock, server) = (Clock::default(), ServerName::new(&config.name));
        let now = clock.now();
        let mut timing = Timing::new(
            agreement.initial_version.agreement_bound(),
            agreement.initial_version.isolation_limit(),
        );
        timing.injected_fault = agreement.injected_fault;
        let initial = ConfigVersion {
            version_id: version_id(&agreement.initial_version),
            text: Arc::from(agreement.initial_version.text()),
        };
        let committee = agreement.initial_version.committee();
        let member_names: Vec<ServerName> =
            committee.iter().map(|member| ServerName::new(&member.name)).collect();
        let own_index = member_names.iter().position(|name| *name == server);
        let mut peers = PeerConnections::new(event_loop, &agreement.member_addresses);
        peers.set_addresses(committee);
        let state_file = StateFile::open(agreement.state_dir.as_deref());
        let mut context = PortContext::new(server.clone(), config.settings.clone(), peers, state_file);
        // Distributes the followers over the members.
        let spread =
            own_index.map_or_else(|| aldercrank_pacing::fnv1a_hash(&config.name), |index| index as u64);
        let mut follower = Follower::new(server, member_names, spread, timing.clone());
        let stored = context.state_file.version();
        let newest = stored.as_ref().map_or(&initial, |stored| &stored.version).clone();
        if let Some(StoredVersion { committed, version }) = stored {
            follower.restore(now, committed, version, &mut FollowerPorts(&mut context));
        }
        let mut created = ConfigAgreement {
            clock,
            timing,
            // The time only makes it differ from the incarnations of earlier processes.
            next_incarnation: Clock::unix_time().as_nanos() as u64,
            follower,
            member: None,
            context,
            quotas: None,
            in_force: None,
            in_force_since: now,
            permission_bounds: PermissionBounds::default(),
            permission: PermissionLevel::Denied,
            followers: BTreeMap::new(),
            polling: agreement.read_proposals.then(|| VersionPolling::new(config, now)),
        };
        created.join_committee(now, &newest);
        created
    }

    /// Starts a committee member if `version` names this server as one and there is none yet.
    fn join_committee(&mut self, now: Duration, version: &ConfigVersion) {
        let Some(parsed) = self.context.parse(&version.version_id, &version.text) else { return };
        let is_named = parsed.committee().iter().any(|member| *member.name == *self.context.server.0);
        if !is_named || self.member.is_some() {
            return;
        }
        let identity =
            MemberIdentity { name: self.context.server.clone(), incarnation: self.next_incarnation };
        let acceptor_state = self.context.state_file.acceptor_state();
        let has_stored_state = acceptor_state.is_some();
        self.next_incarnation += 1;
        self.member = CommitteeMember::new(
            now,
            identity,
            version.clone(),
            acceptor_state,
            self.timing.clone(),
            &mut MemberPorts(&mut self.context),
        );
        let number = version.version_id.number;
        tracing::info!(
            has_stored_state,
            version = number,
            "joined the committee of the versioned configuration"
        );
    }

    fn handle_response(&mut self, now: Duration, tag: RequestTag, response: PeerResponse) {
        let id = tag.correlation_id;
        match tag.requester {
            Requester::Follower => {
                self.follower.handle_response(now, id, response, &mut FollowerPorts(&mut self.context));
            }
            Requester::CommitteeMember => {
                if let Some(member) = &mut self.member {
                    member.handle_response(now, id, response, &mut MemberPorts(&mut self.context));
                }
            }
        }
    }

    fn request_lost(&mut self, now: Duration, tag: RequestTag) {
        match tag.requester {
            Requester::Follower => {
                let ports = &mut FollowerPorts(&mut self.context);
                self.follower.request_lost(now, tag.correlation_id, ports);
            }
            Requester::CommitteeMember => {
                if let Some(member) = &mut self.member {
                    member.request_lost(tag.correlation_id);
                }
            }
        }
    }

    /// Answers the follower's requests to this server's own member, and reports requests that could not be sent, until
    /// none are left.
    fn answer_local_requests(&mut self, now: Duration) {
        // Terminates, since the follower asks one member after another and then waits for a timer.
        loop {
            if let Some((correlation_id, request)) = self.context.local_requests.pop_front() {
                let response = match &mut self.member {
                    Some(member) => member.handle_request(now, request, &mut MemberPorts(&mut self.context)),
                    None => PeerResponse::Unavailable,
                };
                let tag = RequestTag { requester: Requester::Follower, correlation_id };
                self.handle_response(now, tag, response);
            } else if let Some(tag) = self.context.lost_requests.pop() {
                self.request_lost(now, tag);
            } else {
                return;
            }
        }
    }

    fn timer_fired(&mut self, now: Duration) {
        if now >= self.follower.next_timeout() {
            self.follower.timer_fired(now, &mut FollowerPorts(&mut self.context));
        }
        if let Some(member) = self.member.as_mut().filter(|member| now >= member.next_timeout()) {
            member.timer_fired(now, &mut MemberPorts(&mut self.context));
        }
    }

    /// When the next timer is due, on the agreement's clock.
    fn next_due(&mut self, now: Duration) -> Duration {
        let member = self.member.as_ref().map(CommitteeMember::next_timeout);
        let quota = self.quotas.as_mut().and_then(|quotas| quotas.available(now).increases_at);
        let polling = self.polling.as_ref().filter(|_| self.member.is_some()).map(VersionPolling::due);
        let others = [member, quota, polling].into_iter().flatten();
        others.fold(self.follower.next_timeout(), Duration::min)
    }

    /// The settings in force; `None` before a version is in force.
    fn effective_settings(&mut self, now: Duration) -> Option<EffectiveSettings> {
        let version = self.in_force.as_ref()?;
        let mut settings = version.merged_settings(&self.context.platform, &self.context.server.0);
        let quota = self.quotas.as_mut().map(|quotas| quotas.available(now).quota);
        if let Some(quota) = quota {
            // For the admission module zero means no limit. With a quota of zero, the core itself prevents calls.
            settings.set("family_info.calls_out", aldercrank::Value::Number(quota.max(MIN_QUOTA)));
        }
        Some(EffectiveSettings { settings, quota })
    }
}
