//! The state file of a server: incomplete writes, and acceptor state that was stored before a reboot.

use aldercrank_consensus::member::AcceptorState;
use aldercrank_consensus::{CommittedState, VersionId};
use aldercrank_server::net::state_file::StateFile;
use std::fs::{self, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::Arc;

const FILE_NAME: &str = "rules.memory";
const SLOT_BYTES: u64 = 128 * 1024;
const HEADER_BYTES: u64 = 24;

fn committed(number: u64) -> CommittedState {
    CommittedState { last_decided: number, version_id: VersionId { number, digest: [number as u8; 32] } }
}

#[test]
fn an_incomplete_write_leaves_the_state_written_before() {
    let dir = std::env::temp_dir().join(format!("aldercrank-state-file-{}", std::process::id()));
    let mut state_file = StateFile::open(Some(&dir));
    assert!(state_file.version().is_none());
    for n in 1..=5 {
        state_file.store_version(committed(n), &Arc::from(format!("text {n}").repeat(900)));
    }
    let last_committed =
        |dir: &Path| StateFile::open(Some(dir)).version().map(|stored| stored.committed.last_decided);
    assert_eq!(last_committed(&dir), Some(5));
    let file = OpenOptions::new().write(true).open(dir.join(FILE_NAME)).unwrap();
    file.write_all_at(&[7; 40], SLOT_BYTES + HEADER_BYTES + 100).unwrap();
    assert_eq!(last_committed(&dir), Some(4), "the slot of the fifth write is damaged");
    file.write_all_at(&[7; 4], 0).unwrap();
    file.write_all_at(&[255; 8], 8).unwrap();
    assert_eq!(last_committed(&dir), None, "both slots are damaged");
    fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn after_a_reboot_the_version_is_restored_and_the_acceptor_state_is_not() {
    let dir = std::env::temp_dir().join(format!("aldercrank-boot-{}", std::process::id()));
    let acceptor_state = AcceptorState {
        committed: committed(3),
        text: Arc::from("t"),
        promised: Default::default(),
        accepted: None,
        accepted_text: None,
    };
    let mut state_file = StateFile::open(Some(&dir));
    state_file.store_version(committed(3), &acceptor_state.text);
    state_file.store_acceptor_state(&acceptor_state);
    assert_eq!(StateFile::open(Some(&dir)).acceptor_state(), Some(acceptor_state.clone()));
    let mut in_another_boot = StateFile::open_in_boot(Some(&dir), Some("another".to_string()));
    in_another_boot.store_acceptor_state(&acceptor_state);
    let later = StateFile::open(Some(&dir));
    let version = later.version().map(|stored| stored.committed);
    assert_eq!((later.acceptor_state(), version), (None, Some(committed(3))));
    fs::remove_dir_all(&dir).unwrap();
}
