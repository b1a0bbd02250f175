//! What a server must not forget over a restart: the version that it went by, and its votes where it is a member. It
//! is used to start without asking and to go on voting; never to act on what is fenced.
//!
//! One file with two slots, written in turns, each with a count and a digest: a write that was cut short leaves the
//! other. The loop does not wait for a disk: nothing is renamed, cut to a length or flushed, so what is written
//! outlives the process, however it ends, and not for certain the machine. So votes count only while the machine has
//! not been started anew; after that a member recovers as one that has no memory.

use aldercrank_consensus::{member::AcceptorState, CommittedState, ConfigVersion};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;

const FILE: &str = "rules.memory";
/// The form of what is written; another is not read.
const FORM: u32 = 1;
/// A number of the machine's present start.
const BOOT: &str = "/proc/sys/kernel/random/boot_id";
/// Three texts at their longest, and what goes with them.
const SLOT: u64 = 128 * 1024;
/// Before what is written: its count, its length, its digest.
const HEAD: usize = 8 + 8 + 8;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Kept {
    form: u32,
    /// The machine's start during which it was written.
    boot: Option<String>,
    standing: Option<CommittedState>,
    text: Option<Arc<str>>,
    votes: Option<AcceptorState>,
}

/// Nothing is kept where there is no directory.
pub struct Memory {
    file: Option<File>,
    count: u64,
    kept: Kept,
}

/// FNV-1a: tells a write that was cut short, and nothing else.
fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

fn word(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

/// A slot's count and what it holds, where it is whole.
fn slot(file: &File, at: u64) -> Option<(u64, Kept)> {
    let mut head = [0; HEAD];
    file.read_exact_at(&mut head, at).ok()?;
    let (count, length) = (word(&head, 0), word(&head, 8));
    let mut body = vec![0; usize::try_from(length).ok().filter(|n| *n as u64 <= SLOT)?];
    file.read_exact_at(&mut body, at + HEAD as u64).ok()?;
    let kept: Kept = rmp_serde::from_slice(&body).ok().filter(|_| digest(&body) == word(&head, 16))?;
    (kept.form == FORM).then_some((count, kept))
}

impl Memory {
    /// Reads what an earlier life left. A file that can't be opened is named, and nothing is kept then.
    pub fn open(dir: Option<&Path>) -> Memory {
        let file = dir.and_then(|dir| {
            open(dir).inspect_err(|e| tracing::error!(why = %e, "the rule book has no memory here")).ok()
        });
        let slots = file.iter().flat_map(|file| [0, SLOT].map(|at| slot(file, at)));
        let newest = slots.flatten().max_by_key(|(count, _)| *count);
        let (count, mut kept) = newest.unwrap_or((0, Kept { form: FORM, ..Kept::default() }));
        let boot = fs::read_to_string(BOOT).ok().map(|id| id.trim().to_string());
        if kept.boot != boot || boot.is_none() {
            kept.votes = None;
        }
        kept.boot = boot;
        Memory { file, count, kept }
    }

    pub fn votes(&self) -> Option<AcceptorState> {
        self.kept.votes.clone()
    }

    pub fn version(&self) -> Option<(CommittedState, ConfigVersion)> {
        let standing = self.kept.standing?;
        Some((standing, ConfigVersion { version_id: standing.book, text: self.kept.text.clone()? }))
    }

    pub fn keep_acceptor_state(&mut self, votes: &AcceptorState) {
        self.kept.votes = Some(votes.clone());
        self.write();
    }

    pub fn keep_version(&mut self, standing: CommittedState, text: &Arc<str>) {
        (self.kept.standing, self.kept.text) = (Some(standing), Some(text.clone()));
        self.write();
    }

    fn write(&mut self) {
        let Some(file) = &self.file else { return };
        self.count += 1;
        let at = self.count % 2 * SLOT;
        if let Err(e) = write(file, at, self.count, &self.kept) {
            // It votes all the same while it lives. Its next life must not take an older vote for the last.
            tracing::error!(why = %e, "the memory of the rule book can't be written; it is given up");
            let _ = [0, SLOT].map(|at| file.write_all_at(&[0; HEAD], at));
            self.file = None;
        }
    }
}

fn open(dir: &Path) -> io::Result<File> {
    fs::create_dir_all(dir)?;
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(dir.join(FILE))
}

fn write(file: &File, at: u64, count: u64, kept: &Kept) -> io::Result<()> {
    let body = rmp_serde::to_vec(kept).map_err(io::Error::other)?;
    if (HEAD + body.len()) as u64 > SLOT {
        return Err(io::Error::other("more than its slot takes"));
    }
    let mut all = Vec::with_capacity(HEAD + body.len());
    [count, body.len() as u64, digest(&body)].iter().for_each(|n| all.extend_from_slice(&n.to_le_bytes()));
    all.extend_from_slice(&body);
    file.write_all_at(&all, at)
}

#[cfg(test)]
mod tests {
    use super::*;
    use aldercrank_consensus::VersionId;

    fn standing(number: u64) -> CommittedState {
        CommittedState { last: number, book: VersionId { number, digest: [number as u8; 32] } }
    }

    #[test]
    fn the_last_whole_write_is_found_and_one_cut_short_leaves_the_one_before() {
        let dir = std::env::temp_dir().join(format!("aldercrank-memory-{}", std::process::id()));
        let mut memory = Memory::open(Some(&dir));
        assert!(memory.version().is_none());
        for n in 1..=5 {
            memory.keep_version(standing(n), &Arc::from(format!("text {n}").repeat(900)));
        }
        let known = |dir: &Path| Memory::open(Some(dir)).version().map(|(s, _)| s.last);
        assert_eq!(known(&dir), Some(5));
        let file = OpenOptions::new().write(true).open(dir.join(FILE)).unwrap();
        file.write_all_at(&[7; 40], SLOT + HEAD as u64 + 100).unwrap();
        assert_eq!(known(&dir), Some(4), "the fifth is wounded");
        file.write_all_at(&[7; 4], 0).unwrap();
        file.write_all_at(&[255; 8], 8).unwrap();
        assert_eq!(known(&dir), None, "nothing whole is left, and nothing makes it panic");
        fs::remove_dir_all(&dir).unwrap();
    }

    #[test]
    fn votes_of_another_start_of_the_machine_are_not_trusted_and_the_version_is_known() {
        let dir = std::env::temp_dir().join(format!("aldercrank-boot-{}", std::process::id()));
        let mut memory = Memory::open(Some(&dir));
        let votes = AcceptorState {
            committed: standing(3),
            text: Arc::from("t"),
            promised: Default::default(),
            accepted: None,
            accepted_text: None,
        };
        memory.keep_version(standing(3), &votes.text);
        memory.keep_acceptor_state(&votes);
        assert_eq!(Memory::open(Some(&dir)).votes(), Some(votes.clone()));
        memory.kept.boot = Some("another".to_string());
        memory.keep_acceptor_state(&votes);
        let later = Memory::open(Some(&dir));
        assert_eq!((later.votes(), later.version().map(|v| v.0)), (None, Some(standing(3))));
        fs::remove_dir_all(&dir).unwrap();
    }
}
