//! The format of the state file and what is read from valid and damaged files: two slots, written alternately. The
//! golden file has a fixed boot id in place of the machine's.

use super::{compare, golden, hex, recording};
use aldercrank_consensus::member::AcceptorState;
use aldercrank_consensus::{
    AcceptedDecision, Ballot, CommittedState, Decision, ServerName, Verdict, VersionId,
};
use aldercrank_server::net::state_file::{StateFile, StoredVersion};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Once};

const FILE_NAME: &str = "rules.memory";
const GOLDEN_FILE: &str = "consensus/rules.memory";
/// Size of a slot, and the offset of the second one.
const SLOT_BYTES: usize = 128 * 1024;
const HEADER_BYTES: usize = 24;
/// As long as a boot id of a machine.
const GOLDEN_BOOT_ID: &str = "00000000-0000-4000-8000-000000000000";

fn machine_boot_id() -> String {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id")
        .expect("could not read the machine's boot id");
    id.trim().to_string()
}

/// A temporary directory, removed when dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> TempDirectory {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("aldercrank-golden-state-file-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        TempDirectory(path)
    }

    fn with_state_file(bytes: &[u8]) -> TempDirectory {
        let directory = TempDirectory::new();
        std::fs::write(directory.0.join(FILE_NAME), bytes).unwrap();
        directory
    }

    fn bytes(&self) -> Vec<u8> {
        std::fs::read(self.0.join(FILE_NAME)).unwrap()
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The checksum of the file format: FNV-1a.
fn checksum(bytes: &[u8]) -> u64 {
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The bytes of a slot: header and body.
fn encoded_slot(counter: u64, body: &[u8]) -> Vec<u8> {
    let header = [counter, body.len() as u64, checksum(body)];
    [header.map(u64::to_le_bytes).concat(), body.to_vec()].concat()
}

/// The counter, checksum and body of the slot at this offset; `None` if there is none.
fn slot(file: &[u8], offset: usize) -> Option<(u64, u64, Vec<u8>)> {
    let number = |index: usize| Some(u64::from_le_bytes(file.get(index..index + 8)?.try_into().ok()?));
    let (counter, length) = (number(offset)?, number(offset + 8)? as usize);
    let body = file.get(offset + HEADER_BYTES..(offset + HEADER_BYTES).checked_add(length)?)?.to_vec();
    (length > 0).then_some((counter, number(offset + 16)?, body))
}

/// Replaces the slot at this offset.
fn replace_slot(file: &mut Vec<u8>, offset: usize, counter: u64, body: &[u8]) {
    let slot = encoded_slot(counter, body);
    file.resize(file.len().max(offset + slot.len()), 0);
    file[offset..offset + slot.len()].copy_from_slice(&slot);
}

/// The file with another boot id of the same length in both slots, and matching checksums.
fn with_boot_id(file: &[u8], from: &str, to: &str) -> Vec<u8> {
    let mut changed = file.to_vec();
    for offset in [0, SLOT_BYTES] {
        let Some((counter, _, mut body)) = slot(file, offset) else { continue };
        let found = body.windows(from.len()).position(|bytes| bytes == from.as_bytes());
        let index = found.expect("the slot contains no boot id");
        body[index..index + to.len()].copy_from_slice(to.as_bytes());
        replace_slot(&mut changed, offset, counter, &body);
    }
    changed
}

fn version(number: u64) -> VersionId {
    VersionId { number, digest: std::array::from_fn(|index| (number as u8).wrapping_add(index as u8)) }
}

fn committed_state(last: u64, number: u64) -> CommittedState {
    CommittedState { last_decided: last, version_id: version(number) }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: Some(ServerName::new("n2")), incarnation: 1_764_748_800_123_456_789 }
}

fn acceptor_state(promised: Ballot, accepted: Option<(Decision, Option<&str>)>) -> AcceptorState {
    AcceptorState {
        committed: committed_state(8, 8),
        text: Arc::from("rules 8 {\n}\n"),
        promised: promised.clone(),
        accepted: accepted.as_ref().map(|(decision, _)| (promised, decision.clone()).into()),
        accepted_text: accepted.and_then(|(_, text)| text).map(Arc::from),
    }
}

fn committed_decision() -> Decision {
    Decision { version_id: version(9), verdict: Verdict::Committed }
}

fn refused_decision() -> Decision {
    Decision { version_id: version(9), verdict: Verdict::Refused("its number is used up".to_string()) }
}

fn described_version(version: &VersionId) -> String {
    format!("{} with digest {}", version.number, hex(&version.digest))
}

fn described_ballot(ballot: &Ballot) -> String {
    let by = ballot.proposer.as_ref().map(|name| name.to_string());
    format!("round {}, by {by:?}, life {}", ballot.round, ballot.incarnation)
}

fn described_committed_state(committed_state: &CommittedState) -> String {
    format!("last {}, book {}", committed_state.last_decided, described_version(&committed_state.version_id))
}

/// The content of a state file, one line per field.
fn described_state(state_file: &StateFile) -> String {
    let mut out = String::new();
    match state_file.version() {
        None => out.push_str("  version none\n"),
        Some(StoredVersion { committed: committed_state, version: text }) => {
            let _ = writeln!(out, "  version standing {}", described_committed_state(&committed_state));
            assert_eq!(text.version_id, committed_state.version_id);
            let _ = writeln!(out, "  version text {:?}", &text.text[..text.text.len().min(60)]);
        }
    }
    let Some(acceptor_state) = state_file.acceptor_state() else { return out + "  votes none\n" };
    let _ = writeln!(out, "  votes standing {}", described_committed_state(&acceptor_state.committed));
    let _ = writeln!(out, "  votes text {:?}", &*acceptor_state.text);
    let _ = writeln!(out, "  votes promised {}", described_ballot(&acceptor_state.promised));
    match &acceptor_state.accepted {
        None => out.push_str("  votes accepted none\n"),
        Some(AcceptedDecision { ballot, decision }) => {
            let verdict = match &decision.verdict {
                Verdict::Committed => "InForce".to_string(),
                Verdict::Refused(reason) => format!("Refused {reason:?}"),
            };
            let (ballot, of) = (described_ballot(ballot), described_version(&decision.version_id));
            let _ = writeln!(out, "  votes accepted {verdict} for {of} in {ballot}");
        }
    }
    let _ = writeln!(out, "  votes accepted text {:?}", acceptor_state.accepted_text.as_deref());
    out
}

/// The slots of a file, with their headers and bodies.
fn layout(file: &[u8]) -> String {
    let mut out = format!("  {} bytes\n", file.len());
    for offset in [0, SLOT_BYTES] {
        let _ = match slot(file, offset) {
            None => writeln!(out, "  slot at {offset}: none"),
            Some((counter, sum, body)) => {
                let shown = if body.len() > 2000 { &body[..200] } else { &body };
                let length = body.len();
                writeln!(
                    out,
                    "  slot at {offset}: count {counter}, length {length}, checksum {sum:016x}, body {}",
                    hex(shown)
                )
            }
        };
    }
    out
}

type Call = Box<dyn Fn(&mut StateFile)>;

/// The calls that produce the golden file, with their titles.
fn store_calls() -> Vec<(&'static str, Call)> {
    let keep = |acceptor_state: AcceptorState| {
        move |state_file: &mut StateFile| state_file.store_acceptor_state(&acceptor_state)
    };
    let first = acceptor_state(Ballot::default(), None);
    let accepted = acceptor_state(ballot(300), Some((committed_decision(), Some("rules 9 {\n}\n"))));
    let no_text = acceptor_state(ballot(301), Some((refused_decision(), None)));
    let with_text =
        acceptor_state(ballot(302), Some((refused_decision(), Some("rules 9 {\n    limits {\n    }\n}\n"))));
    vec![
        ("keep votes with nothing promised", Box::new(keep(first))),
        (
            "keep version 7, 7 being the last",
            Box::new(|state_file| {
                state_file.store_version(committed_state(7, 7), &Arc::from("rules 7 {\n}\n"))
            }),
        ),
        ("keep votes that accept version 9", Box::new(keep(accepted.clone()))),
        ("keep votes that accept a refusal without its text", Box::new(keep(no_text))),
        ("keep votes that accept a refusal with its text", Box::new(keep(with_text))),
        (
            "keep version 8, 9 having been refused",
            Box::new(|state_file| {
                state_file.store_version(committed_state(9, 8), &Arc::from("rules 8 {\n}\n"))
            }),
        ),
        ("keep votes that accept version 9 again", Box::new(keep(accepted))),
    ]
}

/// The golden file; written anew, once, where files are recorded.
fn golden_file() -> Vec<u8> {
    static RECORDED: Once = Once::new();
    RECORDED.call_once(|| {
        if recording() {
            let directory = TempDirectory::new();
            let mut state_file = StateFile::open(Some(&directory.0));
            store_calls().iter().for_each(|(_, call)| call(&mut state_file));
            let file = with_boot_id(&directory.bytes(), &machine_boot_id(), GOLDEN_BOOT_ID);
            std::fs::write(golden(GOLDEN_FILE), file).unwrap();
        }
    });
    std::fs::read(golden(GOLDEN_FILE)).unwrap()
}

#[test]
fn what_a_member_stores_is_as_recorded() {
    let (directory, boot) = (TempDirectory::new(), machine_boot_id());
    let mut state_file = StateFile::open(Some(&directory.0));
    let mut out =
        format!("a new directory\n{}{}\n", layout(&directory.bytes()), described_state(&state_file));
    for (title, call) in store_calls() {
        call(&mut state_file);
        let file = with_boot_id(&directory.bytes(), &boot, GOLDEN_BOOT_ID);
        let again = described_state(&StateFile::open(Some(&directory.0)));
        assert_eq!(again, described_state(&state_file), "{title}: read back");
        let _ = writeln!(out, "{title}\n{}{again}", layout(&file));
    }
    compare("consensus/memory-writes.txt", &out);
    let written = with_boot_id(&directory.bytes(), &boot, GOLDEN_BOOT_ID);
    let expected = golden_file();
    let differs = written.iter().zip(&expected).position(|(actual, golden)| actual != golden);
    assert_eq!(
        (differs, written.len()),
        (None, expected.len()),
        "{GOLDEN_FILE}: position of the first byte that differs, and the length"
    );
}

/// What is read from a state file with these bytes, and which slot the next write uses.
fn described_after_opening(bytes: &[u8]) -> String {
    let directory = TempDirectory::with_state_file(bytes);
    let mut state_file = StateFile::open(Some(&directory.0));
    let read = described_state(&state_file);
    assert_eq!(directory.bytes(), bytes, "opening the file must not change it");
    state_file.store_version(committed_state(20, 20), &Arc::from("rules 20 {\n}\n"));
    let after = directory.bytes();
    let written =
        [0, SLOT_BYTES].into_iter().find(|offset| slot(&after, *offset) != slot(bytes, *offset)).unwrap();
    let counter = slot(&after, written).unwrap().0;
    format!("{read}  the next write takes the slot at {written}, with count {counter}\n")
}

/// Changed copies of the golden file, whose newest slot is the second one, with counter 7.
fn damaged_copies(file: &[u8]) -> Vec<(String, Vec<u8>)> {
    let (counter, _, body) = slot(file, SLOT_BYTES).unwrap();
    let mut all = Vec::new();
    let mut change = |title: &str, act: &dyn Fn(&mut Vec<u8>)| {
        let mut changed = file.to_vec();
        act(&mut changed);
        all.push((title.to_string(), changed));
    };
    change("as it is", &|_| ());
    change("a byte of the newest body changed", &|file| file[SLOT_BYTES + HEADER_BYTES + 60] ^= 1);
    change("the last byte of the newest body changed", &|file| {
        file[SLOT_BYTES + HEADER_BYTES + body.len() - 1] ^= 1
    });
    change("the newest length one less", &|file| file[SLOT_BYTES + 8] -= 1);
    change("the newest length over a slot", &|file| file[SLOT_BYTES + 10] = 3);
    change("the newest length beyond all numbers", &|file| file[SLOT_BYTES + 8..SLOT_BYTES + 16].fill(255));
    change("the newest checksum changed", &|file| file[SLOT_BYTES + 16] ^= 1);
    change("the newest count lower than the other's", &|file| file[SLOT_BYTES] = 1);
    change("the newest count equal to the other's", &|file| file[SLOT_BYTES] = 6);
    change("the newest head zero", &|file| file[SLOT_BYTES..SLOT_BYTES + HEADER_BYTES].fill(0));
    change("a byte of the older body changed", &|file| file[HEADER_BYTES + 60] ^= 1);
    change("both wounded", &|file| {
        file[HEADER_BYTES + 60] ^= 1;
        file[SLOT_BYTES + HEADER_BYTES + 60] ^= 1;
    });
    change("empty", &|file| file.clear());
    change("bytes behind the newest body", &|file| file.extend([7; 100]));
    for length in [
        10,
        HEADER_BYTES,
        200,
        SLOT_BYTES,
        SLOT_BYTES + 10,
        SLOT_BYTES + HEADER_BYTES,
        SLOT_BYTES + HEADER_BYTES + body.len() - 1,
    ] {
        change(&format!("cut to {length} bytes"), &|file| file.truncate(length));
    }
    let replace = |body: Vec<u8>| move |file: &mut Vec<u8>| replace_slot(file, SLOT_BYTES, counter, &body);
    let mut other_format = body.clone();
    other_format[1] = 2;
    change("the newest of form 2", &replace(other_format));
    let no_boot = [&body[..2], &[0xc0], &body[4 + GOLDEN_BOOT_ID.len()..]].concat();
    change("the newest without a boot id", &replace(no_boot));
    change("the newest with bytes behind its value", &replace([&body[..], &[1, 2]].concat()));
    change("the newest no value at all", &replace(vec![0xc1]));
    change("the newest a list of four", &replace([&[0x94], &body[1..]].concat()));
    all
}

/// A slot whose values are encoded with field names instead of by position.
fn slot_with_field_names() -> Vec<u8> {
    let digest: Vec<u8> = (0..32).collect();
    let config_version = serde_json::json!({"number": 4, "digest": digest});
    let committed_state = serde_json::json!({"last": 5, "book": config_version});
    let ballot = serde_json::json!({"round": 1, "by": "n1", "life": 2});
    let decision = serde_json::json!({"stamp": config_version, "verdict": "InForce"});
    let acceptor_state = serde_json::json!({"standing": committed_state, "text": "rules 4", "promised": ballot,
        "accepted": [ballot, decision], "accepted_text": "rules 6"});
    let body = serde_json::json!({"form": 1, "boot": machine_boot_id(), "standing": committed_state, "text": "rules 4",
        "votes": acceptor_state});
    encoded_slot(2, &rmp_serde::to_vec(&body).unwrap())
}

#[test]
fn the_golden_file_and_damaged_copies_of_it_are_read_as_recorded() {
    let file = golden_file();
    let mut out = String::new();
    let boots = [("another boot", GOLDEN_BOOT_ID.to_string()), ("the present boot", machine_boot_id())];
    for (title, boot) in boots {
        for (damage, bytes) in damaged_copies(&with_boot_id(&file, GOLDEN_BOOT_ID, &boot)) {
            let _ = writeln!(out, "written in {title}: {damage}\n{}", described_after_opening(&bytes));
        }
    }
    let _ = writeln!(
        out,
        "one slot whose values stand under names\n{}",
        described_after_opening(&slot_with_field_names())
    );
    compare("consensus/memory-reads.txt", &out);
}

#[test]
fn a_text_longer_than_a_slot_disables_the_state_file_as_recorded() {
    let file = golden_file();
    let directory = TempDirectory::with_state_file(&file);
    let mut state_file = StateFile::open(Some(&directory.0));
    state_file.store_version(committed_state(21, 21), &Arc::from("x".repeat(SLOT_BYTES)));
    let mut out = format!("a text of {SLOT_BYTES} bytes\n{}", layout(&directory.bytes()));
    out += &described_state(&state_file);
    state_file.store_version(committed_state(22, 22), &Arc::from("rules 22 {\n}\n"));
    let _ =
        write!(out, "a short text after it\n{}{}", layout(&directory.bytes()), described_state(&state_file));
    let _ = write!(out, "opened again\n{}", described_state(&StateFile::open(Some(&directory.0))));
    let mut without_directory = StateFile::open(None);
    without_directory.store_acceptor_state(&acceptor_state(ballot(1), None));
    let _ =
        write!(out, "without a directory, after votes were kept\n{}", described_state(&without_directory));
    let blocked = TempDirectory::with_state_file(&file);
    let below_a_file = StateFile::open(Some(Path::new(&blocked.0.join(FILE_NAME))));
    let _ = write!(out, "a file in the directory's place\n{}", described_state(&below_a_file));
    compare("consensus/memory-end.txt", &out);
}
