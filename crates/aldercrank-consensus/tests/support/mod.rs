//! An environment for followers and members under test, which records their actions.

// Support code is private to the tests.
#![allow(missing_docs, unreachable_pub)]

use aldercrank_consensus::follower::FollowerEnvironment;
use aldercrank_consensus::member::{AcceptorState, MemberEnvironment};
use aldercrank_consensus::messages::VersionSummary;
use aldercrank_consensus::{ConfigVersion, CorrelationId, PeerRequest, ServerName, VersionId};
use std::time::Duration;

pub struct SentRequest {
    pub to: ServerName,
    pub correlation_id: CorrelationId,
    pub request: PeerRequest,
}

pub struct CommittedVersion {
    pub number: u64,
    pub committed_for: Duration,
}

/// What a follower or member did while it handled one event.
#[derive(Default)]
pub struct RecordedActions {
    pub requests: Vec<SentRequest>,
    /// The last notification: of a proposed version or, with `None` in it, of a confirmed committed state.
    pub notification: Option<Option<VersionId>>,
    pub acceptor_state: Option<AcceptorState>,
    pub committed: Option<CommittedVersion>,
}

type Summarize = Box<dyn Fn(&VersionId, &str) -> Option<VersionSummary>>;

/// Records actions, and parses texts with the given function.
pub struct TestEnvironment {
    pub actions: RecordedActions,
    summarize: Summarize,
}

impl TestEnvironment {
    pub fn new(summarize: impl Fn(&VersionId, &str) -> Option<VersionSummary> + 'static) -> TestEnvironment {
        TestEnvironment { actions: RecordedActions::default(), summarize: Box::new(summarize) }
    }

    fn record_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        self.actions.requests.push(SentRequest { to: to.clone(), correlation_id, request });
    }
}

impl FollowerEnvironment for TestEnvironment {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        self.record_request(to, correlation_id, request);
    }

    fn summarize(
        &mut self,
        version_id: &VersionId,
        text: &str,
        _: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        (self.summarize)(version_id, text)
    }

    fn version_committed(&mut self, version: &ConfigVersion, _: &VersionSummary, committed_for: Duration) {
        let number = version.version_id.number;
        self.actions.committed = Some(CommittedVersion { number, committed_for });
    }
}

impl MemberEnvironment for TestEnvironment {
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest) {
        self.record_request(to, correlation_id, request);
    }

    fn notify_followers(&mut self, proposed: Option<VersionId>) {
        self.actions.notification = Some(proposed);
    }

    fn persist_acceptor_state(&mut self, acceptor_state: &AcceptorState) {
        self.actions.acceptor_state = Some(acceptor_state.clone());
    }

    fn summarize(
        &mut self,
        version_id: &VersionId,
        text: &str,
        _: Option<&ConfigVersion>,
    ) -> Option<VersionSummary> {
        (self.summarize)(version_id, text)
    }
}
