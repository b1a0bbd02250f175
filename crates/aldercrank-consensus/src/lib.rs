//! Which version of the rule book is in force, and until when a server may act on it. No I/O, no clock: times are
//! handed in, from a clock that only goes forward; nothing here reads the time of day.
//!
//! A small committee, named by the book in force, decides on the next version (`member.rs`): a single-decree Paxos
//! for each decision, with nobody in charge. Every server (`follower.rs`) acts on fenced items by a lease that it
//! renews at any one member, counted from when it asked; a member vouches for the version in force as of the moment
//! at which it asked a majority whether anything else was being decided. `handover.rs` is for shares whose sum has a
//! limit. docs/design-rules.md has the proof's sketch and what is assumed.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

pub mod follower;
pub mod member;
pub mod messages;
pub mod quota_handover;
pub mod timing;

pub use follower::{Follower, PermissionLevel};
pub use member::CommitteeMember;
pub use messages::{
    Ballot, CommittedState, ConfigVersion, CorrelationId, Decision, PeerRequest, PeerResponse, ProposalTally,
    ServerName, Verdict, VersionId,
};
pub use quota_handover::QuotaHandover;
pub use timing::{InjectedFault, Terms};
