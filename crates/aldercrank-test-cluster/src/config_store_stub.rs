//! A stub of the configuration store in which the membership service keeps the next version of the versioned
//! configuration: conditional reads with long polling, writes and deletion. It performs no I/O and reads no clock.

use crate::ids::ConnNo;
use std::collections::BTreeMap;
use std::time::Duration;

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer {
    /// The stored version.
    Content(String),
    /// The reader already has the stored version.
    NotModified,
    /// No version is stored.
    NotFound,
}

/// A stored version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// The entity tag, by which readers name the version that they have.
    pub tag: String,
    /// The version's text.
    pub text: String,
}

/// A long poll that is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRead {
    /// The connection of the reader.
    pub conn: ConnNo,
    /// The answer.
    pub answer: ReadAnswer,
}

struct LongPoll {
    tag: Option<String>,
    until: Duration,
}

/// The configuration store.
#[derive(Default)]
pub struct ConfigStoreStub {
    /// At most one, or several with contradictory contents under one version number, served to readers in rotation.
    versions: Vec<StoredVersion>,
    rotation: usize,
    long_polls: BTreeMap<ConnNo, LongPoll>,
    /// Reads received so far.
    pub reads: u64,
    /// Bytes sent in answer to reads so far.
    pub read_bytes: u64,
}

impl ConfigStoreStub {
    /// Replaces the contents. Returns the long polls that are now answered.
    pub fn put(&mut self, versions: Vec<StoredVersion>) -> Vec<AnsweredRead> {
        self.versions = versions;
        let mut answers = Vec::new();
        for (conn, poll) in std::mem::take(&mut self.long_polls) {
            match self.answer(poll.tag.as_deref()) {
                ReadAnswer::NotModified => drop(self.long_polls.insert(conn, poll)),
                answer => answers.push(AnsweredRead { conn, answer }),
            }
        }
        answers
    }

    fn answer(&mut self, tag: Option<&str>) -> ReadAnswer {
        self.rotation += 1;
        let Some(version) = self.versions.get(self.rotation % self.versions.len().max(1)) else {
            return if tag.is_some() { ReadAnswer::NotFound } else { ReadAnswer::NotModified };
        };
        if tag == Some(version.tag.as_str()) {
            ReadAnswer::NotModified
        } else {
            ReadAnswer::Content(version.text.clone())
        }
    }

    /// Handles a read by a reader that has the version with this tag. Returns `None` if the read becomes a long poll.
    pub fn read(
        &mut self,
        now: Duration,
        conn: ConnNo,
        tag: Option<String>,
        wait: Duration,
    ) -> Option<ReadAnswer> {
        self.reads += 1;
        match self.answer(tag.as_deref()) {
            ReadAnswer::NotModified if !wait.is_zero() => {
                self.long_polls.insert(conn, LongPoll { tag, until: now + wait });
                None
            }
            answer => Some(answer),
        }
    }

    /// Drops the long poll of a reader whose connection has ended.
    pub fn connection_ended(&mut self, conn: ConnNo) {
        self.long_polls.remove(&conn);
    }

    /// When the next long poll times out.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.long_polls.values().map(|poll| poll.until).min()
    }

    /// Removes the long polls that have timed out by `now`, and returns their connections.
    pub fn take_timed_out(&mut self, now: Duration) -> Vec<ConnNo> {
        let timed_out = self.long_polls.iter().filter(|(_, poll)| poll.until <= now);
        let conns: Vec<ConnNo> = timed_out.map(|(conn, _)| *conn).collect();
        self.long_polls.retain(|_, poll| poll.until > now);
        conns
    }
}
