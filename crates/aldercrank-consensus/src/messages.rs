//! What is said between servers: a question, and its one answer. Texts of versions go in answers alone, so that a
//! question is always small.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A server's name in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerName(pub Arc<str>);

impl ServerName {
    pub fn new(name: &str) -> ServerName {
        ServerName(name.into())
    }
}

impl fmt::Display for ServerName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Marks a question, so that its answer is known again; never given out twice by one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CorrelationId(pub u64);

/// A version: its number and the digest of its text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId {
    pub number: u64,
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
        self.digest[..6].iter().try_for_each(|b| write!(f, "{b:02x}"))?;
        f.write_str(")")
    }
}

/// A version with its text.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigVersion {
    pub version_id: VersionId,
    pub text: Arc<str>,
}

/// What has been decided last: the number that was decided on, and the version that is in force since. They differ
/// where the last one was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommittedState {
    pub last: u64,
    pub book: VersionId,
}

/// Rounds are numbered, each member's apart from the others', and each of its lives' too: one that has forgotten a
/// round must not begin another under its name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: Option<ServerName>,
    pub life: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    InForce,
    /// Its number is used up, and the version before it stands.
    Refused(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    #[serde(rename = "stamp")]
    pub version_id: VersionId,
    pub verdict: Verdict,
}

impl Decision {
    /// What stands after it.
    pub fn after(&self, before: &CommittedState) -> CommittedState {
        let book = if self.verdict == Verdict::InForce { self.version_id } else { before.book };
        CommittedState { last: self.version_id.number, book }
    }
}

/// One bit for each server that the book in force names, in the order of names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerSet(Vec<u8>);

impl ServerSet {
    pub fn set(&mut self, at: usize) {
        if self.0.len() <= at / 8 {
            self.0.resize(at / 8 + 1, 0);
        }
        self.0[at / 8] |= 1 << (at % 8);
    }

    pub fn has(&self, at: usize) -> bool {
        self.0.get(at / 8).is_some_and(|byte| byte & (1 << (at % 8)) != 0)
    }
}

/// The longest reason that is handed on, in characters.
const MOST_WORDS: usize = 240;

/// What a member has heard from the servers that ask it, about one draft.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalTally {
    #[serde(rename = "draft")]
    pub proposed: Option<VersionId>,
    /// Servers in touch with it, and how many of them hold the draft.
    #[serde(rename = "attached")]
    pub followers: u32,
    pub hold: u32,
    /// One that can't go by it, and why; or why the draft itself can't be.
    pub refuses: Option<String>,
    /// Of the servers that the book names: those that hold it, and those that may be acting by the book in force
    /// as far as this member knows.
    pub holders: ServerSet,
    pub loud: ServerSet,
}

impl ProposalTally {
    /// Why it is refused, short enough to go in any question.
    pub(crate) fn refused(&mut self, why: String) {
        self.refuses = Some(why.chars().take(MOST_WORDS).collect());
    }

    pub fn complete(&self) -> bool {
        self.hold >= self.followers
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A server asks whether what it knows still stands; and says what it makes of a draft.
    Renew {
        from: ServerName,
        last: u64,
        weighed: Option<(VersionId, Result<(), String>)>,
    },
    Fetch {
        #[serde(rename = "stamp")]
        version_id: VersionId,
    },
    /// A member asks whether anything has been decided, or may be.
    Check {
        from: ServerName,
        #[serde(rename = "standing")]
        committed: CommittedState,
        tally: ProposalTally,
    },
    /// The decision on what follows `after`.
    Prepare {
        after: u64,
        ballot: Ballot,
    },
    Accept {
        after: u64,
        ballot: Ballot,
        decision: Decision,
    },
    Learn {
        after: u64,
        decision: Decision,
    },
    /// An operator asks how things stand.
    Status,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerResponse {
    /// What stands, as of so long ago; no age where that can't be vouched for. For how long it has stood at least; and
    /// a draft that is to be weighed.
    Lease {
        #[serde(rename = "standing")]
        committed: CommittedState,
        age: Option<Duration>,
        stood: Duration,
        #[serde(rename = "draft")]
        proposed: Option<VersionId>,
    },
    Text {
        #[serde(rename = "stamp")]
        version_id: VersionId,
        text: String,
    },
    /// Such a text is not here.
    NoText,
    /// `is_active`: this member remembers all that it has said. What it has accepted may have been decided.
    Checked {
        #[serde(rename = "standing")]
        committed: CommittedState,
        sound: bool,
        accepted: Option<(Ballot, Decision)>,
        tally: ProposalTally,
    },
    Promised {
        accepted: Option<(Ballot, Decision)>,
    },
    Accepted,
    /// It has promised itself to a higher one.
    Outbid {
        ballot: Ballot,
    },
    /// It needs this text first.
    Lacks {
        #[serde(rename = "stamp")]
        version_id: VersionId,
    },
    /// It knows of another decision as the last.
    Elsewhere {
        #[serde(rename = "standing")]
        committed: CommittedState,
    },
    /// It remembers nothing yet, or is not on the committee.
    Silent,
    Fine,
    /// How things stand, as a JSON document.
    Status {
        text: String,
    },
}

/// What a text says of itself, once it was read by who can.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionSummary {
    /// Why this very server can't go by it; nothing where it can.
    pub misfit: Option<String>,
    /// In the order of names.
    pub committee: Vec<ServerName>,
    /// Those in service, where the text names them, in the order of names.
    pub servers: Option<Vec<ServerName>>,
    /// In words, what servers out of touch would go on doing against it. The text before it is the one in force.
    pub restrictions: Vec<String>,
}

impl VersionSummary {
    pub fn place(&self, name: &ServerName) -> Option<usize> {
        self.servers.as_ref()?.binary_search(name).ok()
    }
}

/// Names of a few, for people.
pub fn abbreviated_list(names: &BTreeSet<&ServerName>) -> String {
    const FEW: usize = 5;
    let few: Vec<&str> = names.iter().take(FEW).map(|n| &*n.0).collect();
    match names.len().checked_sub(FEW).filter(|more| *more > 0) {
        Some(more) => format!("{} and {more} more", few.join(", ")),
        None => few.join(", "),
    }
}
