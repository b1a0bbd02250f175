//! Where the list service keeps the version of the rule book that is to come, as a stand-in without sockets: read on
//! condition, with the answer held back while nothing changes; written and taken back by operators.

use crate::ids::ConnNo;
use std::collections::BTreeMap;
use std::time::Duration;

/// What it says to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    Text(String),
    /// It is what the reader has.
    Same,
    /// There is none.
    None,
}

#[derive(Clone, Debug)]
struct Version {
    tag: String,
    text: String,
}

#[derive(Default)]
pub struct ConfigStore {
    /// What stands there; every second reader is given another content where there are two.
    versions: Vec<Version>,
    turn: usize,
    waiting: BTreeMap<ConnNo, (Option<String>, Duration)>,
    pub reads: u64,
    pub bytes: u64,
}

impl ConfigStore {
    /// These contents stand there from now on; gives the readers that waited for something else.
    pub fn put(&mut self, versions: Vec<(String, String)>) -> Vec<(ConnNo, Word)> {
        self.versions = versions.into_iter().map(|(tag, text)| Version { tag, text }).collect();
        let all = std::mem::take(&mut self.waiting);
        let mut told = Vec::new();
        for (conn, (have, until)) in all {
            match self.word(have.as_deref()) {
                Word::Same => drop(self.waiting.insert(conn, (have, until))),
                word => told.push((conn, word)),
            }
        }
        told
    }

    fn word(&mut self, have: Option<&str>) -> Word {
        self.turn += 1;
        let Some(version) = self.versions.get(self.turn % self.versions.len().max(1)) else {
            return if have.is_some() { Word::None } else { Word::Same };
        };
        if have == Some(version.tag.as_str()) {
            Word::Same
        } else {
            Word::Text(version.text.clone())
        }
    }

    /// A reader asks; nothing is said while it may wait.
    pub fn read(
        &mut self,
        now: Duration,
        conn: ConnNo,
        have: Option<String>,
        wait: Duration,
    ) -> Option<Word> {
        self.reads += 1;
        match self.word(have.as_deref()) {
            Word::Same if !wait.is_zero() => {
                self.waiting.insert(conn, (have, now + wait));
                None
            }
            word => Some(word),
        }
    }

    pub fn gone(&mut self, conn: ConnNo) {
        self.waiting.remove(&conn);
    }

    pub fn next(&self) -> Option<Duration> {
        self.waiting.values().map(|(_, until)| *until).min()
    }

    /// Readers whose wait is over.
    pub fn due(&mut self, now: Duration) -> Vec<ConnNo> {
        let due: Vec<ConnNo> =
            self.waiting.iter().filter(|(_, (_, until))| *until <= now).map(|(conn, _)| *conn).collect();
        due.iter().for_each(|conn| drop(self.waiting.remove(conn)));
        due
    }
}
