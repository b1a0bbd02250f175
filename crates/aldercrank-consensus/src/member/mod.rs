//! A committee member: acceptor, proposer and learner of the next decision. It grants leases on the committed state.
//!
//! Each decision is a single-decree Paxos instance of its own, identified by the number of the decision that precedes
//! it. Any member may begin a round; each waits a little longer than the one before it in the order of names, so that
//! usually only one of them proposes. A chosen decision is final: a member that learns of a higher decided number takes
//! over the state after it and skips the decisions in between.
//!
//! | module | role |
//! |---|---|
//! | `acceptor` | promises, accepted decisions, durable state |
//! | `proposer` | rounds: phases 1 and 2, and their timeout |
//! | `recovery` | restart without acceptor state |
//! | `confirmation` | confirms that the committed state is still the newest (read index) |
//! | `followers` | registry of the followers that renew at this member |
//! | `proposals`, `verdict` | proposed versions, tallies, and the decision to propose |
//! | `requests` | outstanding requests to other members |
//!
//! `state` defines [`CommitteeMember`]. Its methods are spread over `events` (requests, responses and timers), `voting`
//! (rounds) and `learning` (confirmation and commits).

mod acceptor;
mod confirmation;
mod environment;
mod events;
mod followers;
mod learning;
mod proposals;
mod proposer;
mod quorum;
mod recovery;
mod requests;
mod state;
mod verdict;
mod voting;

pub use acceptor::AcceptorState;
pub use environment::MemberEnvironment;
pub use followers::FollowerStatus;
pub use state::{CommitteeMember, MemberIdentity, Refusal};
