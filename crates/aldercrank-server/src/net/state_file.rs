//! The file that stores what a server needs after a restart: the configuration version that was in force, and, if the
//! server is a committee member, its acceptor state.
//!
//! With it a server can start before it has reached others, and a committee member can go on voting. It never extends a
//! lease.
//!
//! The file has two slots, written alternately, each with a counter and a checksum, so that a write that was cut short
//! leaves the other slot valid. The event loop doesn't wait for the disk: nothing is renamed, truncated or synced. What
//! is written therefore survives any end of the process, but not necessarily a crash of the machine, so the acceptor
//! state is valid only until the machine reboots. After a reboot a member recovers like one without stored state.

use aldercrank_consensus::{member::AcceptorState, CommittedState, ConfigVersion};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;

/// Name of the file in the state directory.
const FILE_NAME: &str = "rules.memory";
/// Version of the format. Slots of another version are ignored.
const FORMAT: u32 = 1;
/// Where the kernel exposes the id of the machine's present boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// Size of a slot, in bytes: room for three version texts of the greatest length and the fields that accompany them.
const SLOT_BYTES: u64 = 128 * 1024;
/// Offsets of the two slots in the file.
const SLOT_OFFSETS: [u64; 2] = [0, SLOT_BYTES];
/// Size of a slot's header, in bytes: counter, length and checksum.
const HEADER_BYTES: usize = 8 + 8 + 8;

/// Content of a slot. The serialized names and the order of the fields are part of the stored format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct StoredState {
    #[serde(rename = "form")]
    format: u32,
    /// Id of the boot during which the slot was written.
    #[serde(rename = "boot")]
    boot_id: Option<String>,
    #[serde(rename = "standing")]
    committed: Option<CommittedState>,
    text: Option<Arc<str>>,
    #[serde(rename = "votes")]
    acceptor_state: Option<AcceptorState>,
}

/// A valid slot that was read.
struct Slot {
    counter: u64,
    state: StoredState,
}

/// The version that was in force on a server when it was stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// The committed state at that time.
    pub committed: CommittedState,
    /// The version with its text.
    pub version: ConfigVersion,
}

/// Why the state could not be written.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error("{0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("state does not fit into a slot of {SLOT_BYTES} bytes")]
    TooLong,
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The state file of a server. Without a directory, the state is held in memory only.
pub struct StateFile {
    file: Option<File>,
    counter: u64,
    state: StoredState,
}

impl StateFile {
    /// Opens the file in `dir` and reads the state that an earlier process stored. If the file can't be opened, that is
    /// logged and nothing is stored.
    pub fn open(dir: Option<&Path>) -> StateFile {
        let boot_id = fs::read_to_string(BOOT_ID_PATH).ok().map(|id| id.trim().to_string());
        StateFile::open_in_boot(dir, boot_id)
    }

    /// Does the same as [`StateFile::open`], with the id of the machine's present boot, if known.
    pub fn open_in_boot(dir: Option<&Path>, boot_id: Option<String>) -> StateFile {
        let file = dir.and_then(|dir| {
            let opened = open_file(dir);
            opened
                .inspect_err(|e| {
                    tracing::error!(reason = %e, "could not open the state file; continuing without stored state");
                })
                .ok()
        });
        let slots = file.iter().flat_map(|file| SLOT_OFFSETS.map(|offset| read_slot(file, offset)));
        let newest = slots.flatten().max_by_key(|slot| slot.counter);
        let Slot { counter, mut state } = newest.unwrap_or_else(|| Slot {
            counter: 0,
            state: StoredState { format: FORMAT, ..StoredState::default() },
        });
        if state.boot_id != boot_id || boot_id.is_none() {
            state.acceptor_state = None;
        }
        state.boot_id = boot_id;
        StateFile { file, counter, state }
    }

    /// The acceptor state, if one was stored during this boot.
    pub fn acceptor_state(&self) -> Option<AcceptorState> {
        self.state.acceptor_state.clone()
    }

    /// The version that was stored last.
    pub fn version(&self) -> Option<StoredVersion> {
        let committed = self.state.committed?;
        let version = ConfigVersion { version_id: committed.version_id, text: self.state.text.clone()? };
        Some(StoredVersion { committed, version })
    }

    /// Stores the acceptor state. Has to be called before a member sends a response that depends on it.
    pub fn store_acceptor_state(&mut self, acceptor_state: &AcceptorState) {
        self.state.acceptor_state = Some(acceptor_state.clone());
        self.write();
    }

    /// Stores the version that is in force now.
    pub fn store_version(&mut self, committed: CommittedState, text: &Arc<str>) {
        (self.state.committed, self.state.text) = (Some(committed), Some(text.clone()));
        self.write();
    }

    fn write(&mut self) {
        let Some(file) = &self.file else { return };
        self.counter += 1;
        let offset = self.counter % 2 * SLOT_BYTES;
        if let Err(e) = write_slot(file, offset, self.counter, &self.state) {
            // The member goes on voting in this process. The next process must not take an older vote for the last one,
            // so both slots are erased.
            tracing::error!(reason = %e, "could not write the state file; erasing it and continuing without stored state");
            let _ = SLOT_OFFSETS.map(|offset| file.write_all_at(&[0; HEADER_BYTES], offset));
            self.file = None;
        }
    }
}

/// FNV-1a. Only meant to detect incomplete writes.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}

/// Reads the slot at this offset; `None` if it is incomplete, damaged or of another format.
fn read_slot(file: &File, offset: u64) -> Option<Slot> {
    let mut header = [0; HEADER_BYTES];
    file.read_exact_at(&mut header, offset).ok()?;
    let (counter, length) = (read_u64(&header, 0), read_u64(&header, 8));
    let length = usize::try_from(length).ok().filter(|length| *length as u64 <= SLOT_BYTES)?;
    let mut body = vec![0; length];
    file.read_exact_at(&mut body, offset + HEADER_BYTES as u64).ok()?;
    let is_intact = checksum(&body) == read_u64(&header, 16);
    let state: StoredState = rmp_serde::from_slice(&body).ok().filter(|_| is_intact)?;
    (state.format == FORMAT).then_some(Slot { counter, state })
}

fn open_file(dir: &Path) -> io::Result<File> {
    fs::create_dir_all(dir)?;
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(dir.join(FILE_NAME))
}

fn write_slot(file: &File, offset: u64, counter: u64, state: &StoredState) -> Result<(), WriteError> {
    let body = rmp_serde::to_vec(state)?;
    if (HEADER_BYTES + body.len()) as u64 > SLOT_BYTES {
        return Err(WriteError::TooLong);
    }
    let mut slot = Vec::with_capacity(HEADER_BYTES + body.len());
    for number in [counter, body.len() as u64, checksum(&body)] {
        slot.extend_from_slice(&number.to_le_bytes());
    }
    slot.extend_from_slice(&body);
    Ok(file.write_all_at(&slot, offset)?)
}
