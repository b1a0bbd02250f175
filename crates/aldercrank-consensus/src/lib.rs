//! Agreement on the committed version of the configuration, and leases on it. The state machines do no I/O and read
//! no clock: the caller passes in the current time of a monotonic clock.
//!
//! A small committee, named by the committed version, decides on the next version ([`member`]). Each decision is an
//! instance of single-decree Paxos, without a leader. Every server ([`follower`]) renews a lease at any one member, and
//! counts it from the time at which the request was sent. Only under a lease does it use fenced items: those of which
//! two values must not be in use at once for longer than the agreement bound. A member grants leases only on a state
//! that a majority has confirmed to be the newest (read index). [`quota_handover`] moves quotas between servers while
//! their sum stays within a limit. `docs/design-consensus.md` has the assumptions and a sketch of the proof.

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
