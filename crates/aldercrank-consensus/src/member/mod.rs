//! A committee member: acceptor, proposer and learner of the next decision, and grantor of leases on the last one.
//!
//! Each decision is a single-decree Paxos instance of its own, identified by the number of the decision that precedes
//! it. Any member may begin a round; each waits a little longer than the one before it in the order of names, so that
//! one of them proposes as a rule. A chosen decision is final, and is learnt by its number alone.
//!
//! | module | role |
//! |---|---|
//! | `acceptor` | promises, accepted decisions, durable state |
//! | `proposer` | rounds |
//! | `recovery` | restart without acceptor state |
//! | `confirmation` | confirms that the committed state is still the newest (read index) |
//! | `followers` | registry of followers |
//! | `proposals`, `verdict` | proposed versions, tallies, and the decision to propose |
//! | `requests` | outstanding requests to other members |
//!
//! `state` holds a member's whole state. On it `events` handles requests, responses and timers, `voting` takes part in
//! rounds, and `learning` confirms and commits.

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
