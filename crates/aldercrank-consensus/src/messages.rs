//! Messages between servers: requests, each with one response. Only responses carry the texts of versions, so that
//! requests are always small.
//!
//! The names on the wire and the order of variants and fields are part of the protocol: a name that differs from the
//! Rust one is pinned with `#[serde(rename)]`.

use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A server's name in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerName(pub Arc<str>);

impl ServerName {
    /// The name as a shared string.
    pub fn new(name: &str) -> ServerName {
        ServerName(name.into())
    }
}

impl fmt::Display for ServerName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Matches a response to its request. Unique among the requests of the follower or member that assigned it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CorrelationId(pub u64);

/// Identifies a version: its number and the digest of its text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId {
    /// Version number; a later version has a higher one.
    pub number: u64,
    /// SHA-256 of the text.
    pub digest: [u8; 32],
}

impl fmt::Debug for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} (", self.number)?;
        self.digest[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))?;
        f.write_str(")")
    }
}

/// A version with its text.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigVersion {
    /// Number and digest of the text.
    pub version_id: VersionId,
    /// The text in canonical form.
    pub text: Arc<str>,
}

/// The result of all decisions so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommittedState {
    /// The number decided last. It is above the committed version's number if that decision was a refusal.
    #[serde(rename = "last")]
    pub last_decided: u64,
    /// The committed version.
    #[serde(rename = "book")]
    pub version_id: VersionId,
}

/// A Paxos ballot number. The incarnation keeps ballots unique over restarts: a member that has lost its state must not
/// begin another round with a ballot that it has used before. Ordered by round, then member, then incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the round.
    pub round: u64,
    /// The proposer; `None` in the default ballot, which is below all others.
    #[serde(rename = "by")]
    pub proposer: Option<ServerName>,
    /// The proposer's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// What a decision does with a proposed version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It is committed.
    #[serde(rename = "InForce")]
    Committed,
    /// It is refused for this reason. Its number can't be used again, and the version before it stays committed.
    Refused(String),
}

/// The value on which one Paxos instance agrees.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    /// The proposed version.
    #[serde(rename = "stamp")]
    pub version_id: VersionId,
    /// Whether it is committed.
    pub verdict: Verdict,
}

impl Decision {
    /// The committed state after this decision.
    pub fn after(&self, before: &CommittedState) -> CommittedState {
        let version_id = if self.verdict == Verdict::Committed { self.version_id } else { before.version_id };
        CommittedState { last_decided: self.version_id.number, version_id }
    }
}

/// A decision that an acceptor has accepted, which may therefore have been chosen. Encoded as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(from = "(Ballot, Decision)")]
pub struct AcceptedDecision {
    /// The ballot under which it was accepted.
    pub ballot: Ballot,
    /// The accepted value.
    pub decision: Decision,
}

impl From<(Ballot, Decision)> for AcceptedDecision {
    fn from((ballot, decision): (Ballot, Decision)) -> AcceptedDecision {
        AcceptedDecision { ballot, decision }
    }
}

impl Serialize for AcceptedDecision {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.ballot, &self.decision).serialize(serializer)
    }
}

/// Whether a server can apply a proposed version. Encoded as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(from = "(VersionId, Result<(), String>)")]
pub struct Evaluation {
    /// The proposed version.
    pub version_id: VersionId,
    /// `Err` holds the reason why the server can't apply it, as text for operators.
    pub result: Result<(), String>,
}

impl From<(VersionId, Result<(), String>)> for Evaluation {
    fn from((version_id, result): (VersionId, Result<(), String>)) -> Evaluation {
        Evaluation { version_id, result }
    }
}

impl Serialize for Evaluation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.version_id, &self.result).serialize(serializer)
    }
}

/// A bit set of the servers that the committed version names: bit `n` stands for the `n`th of them in the order of
/// names, from 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerSet(Vec<u8>);

impl ServerSet {
    /// Adds the server at this index.
    pub fn insert(&mut self, index: usize) {
        if self.0.len() <= index / 8 {
            self.0.resize(index / 8 + 1, 0);
        }
        self.0[index / 8] |= 1 << (index % 8);
    }

    /// Whether the server at this index is in the set.
    pub fn contains(&self, index: usize) -> bool {
        self.0.get(index / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }
}

/// The longest objection that a tally carries, in characters.
const MAX_OBJECTION_CHARS: usize = 240;

/// What a member knows from its followers about the proposed version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalTally {
    /// The proposed version; `None` if the member knows of none.
    #[serde(rename = "draft")]
    pub proposed: Option<VersionId>,
    /// Number of followers in contact with the member.
    #[serde(rename = "attached")]
    pub followers: u32,
    /// Number of those that have reported that they can apply the version.
    #[serde(rename = "hold")]
    pub ready_followers: u32,
    /// Why the proposal must be refused: a follower can't apply it, it was withdrawn, or its number has two contents.
    #[serde(rename = "refuses")]
    pub objection: Option<String>,
    /// Servers named by the committed version that can apply the proposed one.
    #[serde(rename = "holders")]
    pub ready_servers: ServerSet,
    /// Servers named by the committed version that may still be using it, as far as the member knows.
    #[serde(rename = "loud")]
    pub possibly_active_servers: ServerSet,
}

impl ProposalTally {
    /// Sets the objection, truncated to keep requests small.
    pub(crate) fn set_objection(&mut self, objection: &str) {
        self.objection = Some(objection.chars().take(MAX_OBJECTION_CHARS).collect());
    }

    /// Whether every follower in contact can apply the proposed version.
    pub fn is_complete(&self) -> bool {
        self.ready_followers >= self.followers
    }
}

/// A request to a committee member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A server asks for a lease.
    Renew {
        /// The server.
        from: ServerName,
        /// The number decided last that the server knows of.
        #[serde(rename = "last")]
        last_decided: u64,
        /// Its evaluation of the proposed version.
        #[serde(rename = "weighed")]
        evaluation: Option<Evaluation>,
    },
    /// A server asks for the text of a version.
    Fetch {
        /// The version.
        #[serde(rename = "stamp")]
        version_id: VersionId,
    },
    /// A member asks whether its committed state is still the newest.
    Check {
        /// The member.
        from: ServerName,
        /// Its committed state.
        #[serde(rename = "standing")]
        committed: CommittedState,
        /// Its followers' evaluations of the proposed version.
        tally: ProposalTally,
    },
    /// Paxos phase 1.
    Prepare {
        /// Number of the decision that precedes this one.
        after: u64,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Paxos phase 2.
    Accept {
        /// Number of the decision that precedes this one.
        after: u64,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The value to accept.
        decision: Decision,
    },
    /// Notifies a learner of the chosen value.
    Learn {
        /// Number of the decision that precedes this one.
        after: u64,
        /// The chosen value.
        decision: Decision,
    },
    /// An operator asks for the member's status.
    Status,
}

/// A committee member's response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Answers [`PeerRequest::Renew`].
    Lease {
        /// The member's committed state.
        #[serde(rename = "standing")]
        committed: CommittedState,
        /// Time since the state was confirmed to be the newest; `None` if it is not confirmed, and no lease is granted.
        age: Option<Duration>,
        /// Minimum time for which the version has been committed.
        #[serde(rename = "stood")]
        committed_for: Duration,
        /// A proposed version to evaluate.
        #[serde(rename = "draft")]
        proposed: Option<VersionId>,
    },
    /// Answers [`PeerRequest::Fetch`].
    Text {
        /// The version.
        #[serde(rename = "stamp")]
        version_id: VersionId,
        /// Its text.
        text: String,
    },
    /// The member does not have the text.
    #[serde(rename = "NoText")]
    TextUnknown,
    /// Answers [`PeerRequest::Check`].
    Checked {
        /// The member's committed state.
        #[serde(rename = "standing")]
        committed: CommittedState,
        /// Whether the member has its complete acceptor state and is on the committee.
        #[serde(rename = "sound")]
        active: bool,
        /// The decision that it has accepted, which may have been chosen.
        accepted: Option<AcceptedDecision>,
        /// Its followers' evaluations of the proposed version.
        tally: ProposalTally,
    },
    /// Answers [`PeerRequest::Prepare`]: no lower ballot will be accepted.
    Promised {
        /// The decision that was accepted before.
        accepted: Option<AcceptedDecision>,
    },
    /// Answers [`PeerRequest::Accept`].
    Accepted,
    /// The member has promised a higher ballot.
    #[serde(rename = "Outbid")]
    BallotSuperseded {
        /// The promised ballot.
        ballot: Ballot,
    },
    /// The member needs the text of the version before it can accept the decision.
    #[serde(rename = "Lacks")]
    TextMissing {
        /// The version.
        #[serde(rename = "stamp")]
        version_id: VersionId,
    },
    /// The request concerns a decision other than the one that follows the member's committed state.
    #[serde(rename = "Elsewhere")]
    DifferentState {
        /// The member's committed state.
        #[serde(rename = "standing")]
        committed: CommittedState,
    },
    /// The server has not recovered its acceptor state, or is not on the committee.
    #[serde(rename = "Silent")]
    Unavailable,
    /// Answers [`PeerRequest::Learn`].
    #[serde(rename = "Fine")]
    Acknowledged,
    /// Answers [`PeerRequest::Status`].
    Status {
        /// The status as a JSON document.
        text: String,
    },
}

/// What the protocol needs to know from the text of a version, which the caller parses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionSummary {
    /// Why this server can't apply the version; `None` if it can.
    pub incompatibility: Option<String>,
    /// The committee that decides on the next version, in the order of names.
    pub committee: Vec<ServerName>,
    /// The servers in service, in the order of names; `None` if the text does not name them.
    pub servers: Option<Vec<ServerName>>,
    /// Changes from the committed version that a server would violate if it did not learn of them, as text for
    /// operators.
    pub restrictions: Vec<String>,
}

/// The first few names, and the number of those left out.
pub(crate) fn abbreviated_list(names: &BTreeSet<&ServerName>) -> String {
    const SHOWN: usize = 5;
    let shown: Vec<&str> = names.iter().take(SHOWN).map(|name| &*name.0).collect();
    match names.len().checked_sub(SHOWN).filter(|more| *more > 0) {
        Some(more) => format!("{} and {more} more", shown.join(", ")),
        None => shown.join(", "),
    }
}
