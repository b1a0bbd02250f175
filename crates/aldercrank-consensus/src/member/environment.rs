//! What a committee member needs from the server that it runs in.

use super::acceptor::AcceptorState;
use crate::messages::{ConfigVersion, CorrelationId, PeerRequest, ServerName, VersionId, VersionSummary};

/// What a committee member needs from the server that it runs in.
pub trait MemberEnvironment {
    /// Sends a request to another member. `CommitteeMember::handle_response` or `CommitteeMember::request_lost`
    /// follows with the same correlation id.
    fn send_request(&mut self, to: &ServerName, correlation_id: CorrelationId, request: PeerRequest);
    /// Notifies the followers of this member of a proposed version to evaluate or, with `None`, that a majority has
    /// confirmed the committed state, so that leases can be granted on it.
    fn notify_followers(&mut self, proposed: Option<VersionId>);
    /// Stores the acceptor state durably if this server has a state directory. Called before any message that depends
    /// on it leaves the member.
    fn persist_acceptor_state(&mut self, acceptor_state: &AcceptorState);
    /// Parses a text and compares it with its version id and with the version before it. Returns `None` if the text
    /// does not match its version id or can't be parsed.
    fn summarize(
        &mut self,
        version_id: &VersionId,
        text: &str,
        before: Option<&ConfigVersion>,
    ) -> Option<VersionSummary>;
}
