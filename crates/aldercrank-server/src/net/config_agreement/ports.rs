//! The environments of the follower and the committee member: how they send requests, store state and read versions.

use super::version_id;
use crate::net::peer_connections::{PeerConnections, RequestTag, Requester};
use crate::net::state_file::StateFile;
use aldercrank::Settings;
use aldercrank_consensus::messages::VersionSummary;
use aldercrank_consensus::{follower, member};
use aldercrank_consensus::{ConfigVersion, CorrelationId, PeerRequest, ServerName, VersionId};
use aldercrank_versioned_config::{changes, restrictions, Consistency, VersionedConfig};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// How many parsed versions are cached.
const MAX_PARSED_VERSIONS: usize = 4;

/// A version that has come into force and has not been applied yet.
pub(super) struct NewVersion {
    pub(super) version: ConfigVersion,
    pub(super) parsed: Rc<VersionedConfig>,
    /// The least time for which it has been committed.
    pub(super) committed_for: Duration,
}

/// State that the follower and the member share, and actions of theirs that have not been carried out yet.
pub(super) struct PortContext {
    /// The name of this server.
    pub(super) server: ServerName,
    /// The platform's settings, which versions build on.
    pub(super) platform: Settings,
    pub(super) peers: PeerConnections,
    pub(super) state_file: StateFile,
    /// The follower's requests to this server's own member.
    pub(super) local_requests: VecDeque<(CorrelationId, PeerRequest)>,
    /// Requests that could not be sent.
    pub(super) lost_requests: Vec<RequestTag>,
    /// A notification to send: the proposed version, or `Some(None)` if there is none any more.
    pub(super) notification: Option<Option<VersionId>>,
    pub(super) new_version: Option<NewVersion>,
    parsed_versions: VecDeque<(VersionId, Rc<VersionedConfig>)>,
}

impl PortContext {
    /// Creates the context with nothing pending.
    pub(super) fn new(
        server: ServerName,
        platform: Settings,
        peers: PeerConnections,
        state_file: StateFile,
    ) -> PortContext {
        PortContext {
            server,
            platform,
            peers,
            state_file,
            local_requests: VecDeque::new(),
            lost_requests: Vec::new(),
            notification: None,
            new_version: None,
            parsed_versions: VecDeque::new(),
        }
    }

    /// Parses the text of a version, or takes it from the cache. `None` if it can't be parsed or doesn't match the id.
    pub(super) fn parse(&mut self, id: &VersionId, text: &str) -> Option<Rc<VersionedConfig>> {
        if let Some((_, parsed)) = self.parsed_versions.iter().find(|(known, _)| known == id) {
            return Some(parsed.clone());
        }
        let parsed = Rc::new(VersionedConfig::parse(text).ok()?);
        if version_id(&parsed) != *id {
            return None;
        }
        self.parsed_versions.push_front((*id, parsed.clone()));
        self.parsed_versions.truncate(MAX_PARSED_VERSIONS);
        Some(parsed)
    }

    fn summarize(
        &mut self,
        id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        let parsed = self.parse(id, text)?;
        let before = before.and_then(|version| self.parse(&version.version_id, &version.text));
        let incompatibilities = parsed.incompatibilities(&self.platform, &self.server.0);
        let mut incompatibilities: Vec<String> = incompatibilities.iter().map(ToString::to_string).collect();
        let mut tightened = Vec::new();
        if let Some(before) = before {
            let fixed = changes(&before, &parsed).into_iter().filter(|c| c.consistency == Consistency::Fixed);
            incompatibilities.extend(fixed.map(|c| format!("{} can't be changed in service", c.path)));
            tightened = restrictions(&before, &parsed);
        }
        let servers = parsed.servers().map(|all| all.into_keys().map(ServerName::new).collect());
        Some(VersionSummary {
            incompatibility: incompatibilities.into_iter().next(),
            committee: parsed.committee().iter().map(|member| ServerName::new(&member.name)).collect(),
            servers,
            restrictions: tightened,
        })
    }
}

/// The environment of the follower.
pub(super) struct FollowerPorts<'a>(pub(super) &'a mut PortContext);

/// The environment of the committee member.
pub(super) struct MemberPorts<'a>(pub(super) &'a mut PortContext);

impl follower::FollowerEnvironment for FollowerPorts<'_> {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        let context = &mut *self.0;
        if *to == context.server {
            return context.local_requests.push_back((correlation_id, request));
        }
        let tag = RequestTag { requester: Requester::Follower, correlation_id };
        context.peers.send_request(to, tag, &request, &mut context.lost_requests);
    }
    fn summarize(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        self.0.summarize(version_id, text, before)
    }
    fn version_committed(&mut self, version: &ConfigVersion, _: &VersionSummary, committed_for: Duration) {
        if let Some(parsed) = self.0.parse(&version.version_id, &version.text) {
            self.0.peers.set_addresses(parsed.committee());
            self.0.new_version = Some(NewVersion { version: version.clone(), parsed, committed_for });
        }
    }
}

impl member::MemberEnvironment for MemberPorts<'_> {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        let context = &mut *self.0;
        let tag = RequestTag { requester: Requester::CommitteeMember, correlation_id };
        context.peers.send_request(to, tag, &request, &mut context.lost_requests);
    }
    fn notify_followers(&mut self, proposed: Option<VersionId>) {
        self.0.notification = Some(proposed);
    }
    fn persist_acceptor_state(&mut self, acceptor_state: &member::AcceptorState) {
        self.0.state_file.store_acceptor_state(acceptor_state);
    }
    fn summarize(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        self.0.summarize(version_id, text, before)
    }
}
