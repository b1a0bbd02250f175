//! Which version of the configuration is committed, and leases on it. No I/O and no clock: the caller passes the time
//! of a monotonic clock.
//!
//! A small committee, named by the committed version, decides on the next one ([`member`]): single-decree Paxos for
//! each decision, without a leader. Every server ([`follower`]) uses fenced items under a lease, which it renews at
//! any one member and counts from the sending of its request. A member grants leases only on a state that a majority
//! has confirmed to be the newest (read index). [`quota_handover`] moves quotas whose sum has a limit.
//! `docs/design-consensus.md` has the assumptions and a sketch of the proof.

mod error;
pub mod follower;
pub mod member;
pub mod messages;
mod permission;
pub mod quota_handover;
pub mod timing;

pub use error::ProposalError;
pub use follower::Follower;
pub use member::{CommitteeMember, MemberIdentity};
pub use messages::{
    AcceptedDecision, Ballot, CommittedState, ConfigVersion, CorrelationId, Decision, Evaluation,
    PeerRequest, PeerResponse, ProposalTally, ServerName, Verdict, VersionId,
};
pub use permission::{PermissionBounds, PermissionLevel};
pub use quota_handover::{AvailableQuota, QuotaHandover};
pub use timing::{InjectedFault, Timing};
