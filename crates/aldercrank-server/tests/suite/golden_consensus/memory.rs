//! The file in which a member of the committee keeps what it must not forget: two slots, written in turns. The golden
//! file has a fixed boot id in place of the machine's.

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

const FILE: &str = "rules.memory";
const BINARY: &str = "consensus/rules.memory";
const SLOT: usize = 128 * 1024;
const HEAD: usize = 24;
/// As long as every boot id.
const GOLDEN_BOOT: &str = "00000000-0000-4000-8000-000000000000";

fn machine_boot() -> String {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").expect("the machine has a boot id");
    id.trim().to_string()
}

/// A directory of this test's own, removed at its end.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Directory {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("aldercrank-golden-memory-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }

    fn holding(bytes: &[u8]) -> Directory {
        let directory = Directory::new();
        std::fs::write(directory.0.join(FILE), bytes).unwrap();
        directory
    }

    fn bytes(&self) -> Vec<u8> {
        std::fs::read(self.0.join(FILE)).unwrap()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// FNV-1a, as the file's format has it.
fn checksum(bytes: &[u8]) -> u64 {
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

fn sealed(count: u64, body: &[u8]) -> Vec<u8> {
    let head = [count, body.len() as u64, checksum(body)];
    [head.map(u64::to_le_bytes).concat(), body.to_vec()].concat()
}

/// The count, checksum and body of the slot at this place; nothing where there is none.
fn slot(file: &[u8], at: usize) -> Option<(u64, u64, Vec<u8>)> {
    let number = |place: usize| Some(u64::from_le_bytes(file.get(place..place + 8)?.try_into().ok()?));
    let (count, length) = (number(at)?, number(at + 8)? as usize);
    let body = file.get(at + HEAD..(at + HEAD).checked_add(length)?)?.to_vec();
    (length > 0).then_some((count, number(at + 16)?, body))
}

/// Writes a slot in place of the one that stands there.
fn put(file: &mut Vec<u8>, at: usize, count: u64, body: &[u8]) {
    let slot = sealed(count, body);
    file.resize(file.len().max(at + slot.len()), 0);
    file[at..at + slot.len()].copy_from_slice(&slot);
}

/// The file with another boot id of the same length in both slots, and the checksums to fit.
fn with_boot(file: &[u8], from: &str, to: &str) -> Vec<u8> {
    let mut changed = file.to_vec();
    for at in [0, SLOT] {
        let Some((count, _, mut body)) = slot(file, at) else { continue };
        let found = body.windows(from.len()).position(|bytes| bytes == from.as_bytes());
        let place = found.expect("the boot id stands in the slot");
        body[place..place + to.len()].copy_from_slice(to.as_bytes());
        put(&mut changed, at, count, &body);
    }
    changed
}

fn version(number: u64) -> VersionId {
    VersionId { number, digest: std::array::from_fn(|place| (number as u8).wrapping_add(place as u8)) }
}

fn committed_state(last: u64, number: u64) -> CommittedState {
    CommittedState { last, version_id: version(number) }
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

fn in_force() -> Decision {
    Decision { version_id: version(9), verdict: Verdict::Committed }
}

fn refused() -> Decision {
    Decision { version_id: version(9), verdict: Verdict::Refused("its number is used up".to_string()) }
}

fn described_version(version: &VersionId) -> String {
    format!("{} with digest {}", version.number, hex(&version.digest))
}

fn described_ballot(ballot: &Ballot) -> String {
    let by = ballot.proposer.as_ref().map(|name| name.to_string());
    format!("round {}, by {by:?}, life {}", ballot.round, ballot.incarnation)
}

fn committed_text(committed_state: &CommittedState) -> String {
    format!("last {}, book {}", committed_state.last, described_version(&committed_state.version_id))
}

/// What a memory holds, a line for each thing.
fn meaning(memory: &StateFile) -> String {
    let mut out = String::new();
    match memory.version() {
        None => out.push_str("  version none\n"),
        Some(StoredVersion { committed: committed_state, version: text }) => {
            let _ = writeln!(out, "  version standing {}", committed_text(&committed_state));
            assert_eq!(text.version_id, committed_state.version_id);
            let _ = writeln!(out, "  version text {:?}", &text.text[..text.text.len().min(60)]);
        }
    }
    let Some(acceptor_state) = memory.acceptor_state() else { return out + "  votes none\n" };
    let _ = writeln!(out, "  votes standing {}", committed_text(&acceptor_state.committed));
    let _ = writeln!(out, "  votes text {:?}", &*acceptor_state.text);
    let _ = writeln!(out, "  votes promised {}", described_ballot(&acceptor_state.promised));
    match &acceptor_state.accepted {
        None => out.push_str("  votes accepted none\n"),
        Some(AcceptedDecision { ballot, decision }) => {
            let verdict = match &decision.verdict {
                Verdict::Committed => "InForce".to_string(),
                Verdict::Refused(why) => format!("Refused {why:?}"),
            };
            let (ballot, of) = (described_ballot(ballot), described_version(&decision.version_id));
            let _ = writeln!(out, "  votes accepted {verdict} for {of} in {ballot}");
        }
    }
    let _ = writeln!(out, "  votes accepted text {:?}", acceptor_state.accepted_text.as_deref());
    out
}

/// The file's bytes, slot by slot.
fn layout(file: &[u8]) -> String {
    let mut out = format!("  {} bytes\n", file.len());
    for at in [0, SLOT] {
        let _ = match slot(file, at) {
            None => writeln!(out, "  slot at {at}: none"),
            Some((count, sum, body)) => {
                let shown = if body.len() > 2000 { &body[..200] } else { &body };
                let length = body.len();
                writeln!(
                    out,
                    "  slot at {at}: count {count}, length {length}, checksum {sum:016x}, body {}",
                    hex(shown)
                )
            }
        };
    }
    out
}

type Call = Box<dyn Fn(&mut StateFile)>;

/// The calls of which the golden file is the outcome.
fn calls() -> Vec<(&'static str, Call)> {
    let keep = |acceptor_state: AcceptorState| {
        move |memory: &mut StateFile| memory.store_acceptor_state(&acceptor_state)
    };
    let first = acceptor_state(Ballot::default(), None);
    let accepted = acceptor_state(ballot(300), Some((in_force(), Some("rules 9 {\n}\n"))));
    let no_text = acceptor_state(ballot(301), Some((refused(), None)));
    let own_text =
        acceptor_state(ballot(302), Some((refused(), Some("rules 9 {\n    limits {\n    }\n}\n"))));
    vec![
        ("keep votes with nothing promised", Box::new(keep(first))),
        (
            "keep version 7, 7 being the last",
            Box::new(|memory| memory.store_version(committed_state(7, 7), &Arc::from("rules 7 {\n}\n"))),
        ),
        ("keep votes that accept version 9", Box::new(keep(accepted.clone()))),
        ("keep votes that accept a refusal without its text", Box::new(keep(no_text))),
        ("keep votes that accept a refusal with its text", Box::new(keep(own_text))),
        (
            "keep version 8, 9 having been refused",
            Box::new(|memory| memory.store_version(committed_state(9, 8), &Arc::from("rules 8 {\n}\n"))),
        ),
        ("keep votes that accept version 9 again", Box::new(keep(accepted))),
    ]
}

/// The golden file; written anew, once, where files are recorded.
fn golden_file() -> Vec<u8> {
    static RECORDED: Once = Once::new();
    RECORDED.call_once(|| {
        if recording() {
            let directory = Directory::new();
            let mut memory = StateFile::open(Some(&directory.0));
            calls().iter().for_each(|(_, call)| call(&mut memory));
            let file = with_boot(&directory.bytes(), &machine_boot(), GOLDEN_BOOT);
            std::fs::write(golden(BINARY), file).unwrap();
        }
    });
    std::fs::read(golden(BINARY)).unwrap()
}

#[test]
fn what_a_member_stores_is_as_recorded() {
    let (directory, boot) = (Directory::new(), machine_boot());
    let mut memory = StateFile::open(Some(&directory.0));
    let mut out = format!("a new directory\n{}{}\n", layout(&directory.bytes()), meaning(&memory));
    for (title, call) in calls() {
        call(&mut memory);
        let file = with_boot(&directory.bytes(), &boot, GOLDEN_BOOT);
        let again = meaning(&StateFile::open(Some(&directory.0)));
        assert_eq!(again, meaning(&memory), "{title}: read back");
        let _ = writeln!(out, "{title}\n{}{again}", layout(&file));
    }
    compare("consensus/memory-writes.txt", &out);
    let written = with_boot(&directory.bytes(), &boot, GOLDEN_BOOT);
    let expected = golden_file();
    let differs = written.iter().zip(&expected).position(|(actual, golden)| actual != golden);
    assert_eq!(
        (differs, written.len()),
        (None, expected.len()),
        "{BINARY}: first other byte, and the length"
    );
}

/// What opening these bytes gives, and which slot the write after it takes.
fn opened(bytes: &[u8]) -> String {
    let directory = Directory::holding(bytes);
    let mut memory = StateFile::open(Some(&directory.0));
    let read = meaning(&memory);
    assert_eq!(directory.bytes(), bytes, "opening writes nothing");
    memory.store_version(committed_state(20, 20), &Arc::from("rules 20 {\n}\n"));
    let after = directory.bytes();
    let written = [0, SLOT].into_iter().find(|at| slot(&after, *at) != slot(bytes, *at)).unwrap();
    let count = slot(&after, written).unwrap().0;
    format!("{read}  the next write takes the slot at {written}, with count {count}\n")
}

/// Changes to the golden file, whose newest slot is the one at `SLOT`, with count 7.
fn wounded(file: &[u8]) -> Vec<(String, Vec<u8>)> {
    let (count, _, body) = slot(file, SLOT).unwrap();
    let mut all = Vec::new();
    let mut change = |title: &str, act: &dyn Fn(&mut Vec<u8>)| {
        let mut changed = file.to_vec();
        act(&mut changed);
        all.push((title.to_string(), changed));
    };
    change("as it is", &|_| ());
    change("a byte of the newest body changed", &|file| file[SLOT + HEAD + 60] ^= 1);
    change("the last byte of the newest body changed", &|file| file[SLOT + HEAD + body.len() - 1] ^= 1);
    change("the newest length one less", &|file| file[SLOT + 8] -= 1);
    change("the newest length over a slot", &|file| file[SLOT + 10] = 3);
    change("the newest length beyond all numbers", &|file| file[SLOT + 8..SLOT + 16].fill(255));
    change("the newest checksum changed", &|file| file[SLOT + 16] ^= 1);
    change("the newest count lower than the other's", &|file| file[SLOT] = 1);
    change("the newest count equal to the other's", &|file| file[SLOT] = 6);
    change("the newest head zero", &|file| file[SLOT..SLOT + HEAD].fill(0));
    change("a byte of the older body changed", &|file| file[HEAD + 60] ^= 1);
    change("both wounded", &|file| {
        file[HEAD + 60] ^= 1;
        file[SLOT + HEAD + 60] ^= 1;
    });
    change("empty", &|file| file.clear());
    change("bytes behind the newest body", &|file| file.extend([7; 100]));
    for length in [10, HEAD, 200, SLOT, SLOT + 10, SLOT + HEAD, SLOT + HEAD + body.len() - 1] {
        change(&format!("cut to {length} bytes"), &|file| file.truncate(length));
    }
    let replace = |body: Vec<u8>| move |file: &mut Vec<u8>| put(file, SLOT, count, &body);
    let mut other_form = body.clone();
    other_form[1] = 2;
    change("the newest of form 2", &replace(other_form));
    let no_boot = [&body[..2], &[0xc0], &body[4 + GOLDEN_BOOT.len()..]].concat();
    change("the newest without a boot id", &replace(no_boot));
    change("the newest with bytes behind its value", &replace([&body[..], &[1, 2]].concat()));
    change("the newest no value at all", &replace(vec![0xc1]));
    change("the newest a list of four", &replace([&[0x94], &body[1..]].concat()));
    all
}

fn named() -> Vec<u8> {
    let digest: Vec<u8> = (0..32).collect();
    let config_version = serde_json::json!({"number": 4, "digest": digest});
    let committed_state = serde_json::json!({"last": 5, "book": config_version});
    let ballot = serde_json::json!({"round": 1, "by": "n1", "life": 2});
    let decision = serde_json::json!({"stamp": config_version, "verdict": "InForce"});
    let acceptor_state = serde_json::json!({"standing": committed_state, "text": "rules 4", "promised": ballot,
        "accepted": [ballot, decision], "accepted_text": "rules 6"});
    let body = serde_json::json!({"form": 1, "boot": machine_boot(), "standing": committed_state, "text": "rules 4",
        "votes": acceptor_state});
    sealed(2, &rmp_serde::to_vec(&body).unwrap())
}

#[test]
fn the_golden_file_and_wounded_copies_of_it_read_as_recorded() {
    let file = golden_file();
    let mut out = String::new();
    let boots = [("another boot", GOLDEN_BOOT.to_string()), ("the present boot", machine_boot())];
    for (title, boot) in boots {
        for (wound, bytes) in wounded(&with_boot(&file, GOLDEN_BOOT, &boot)) {
            let _ = writeln!(out, "written in {title}: {wound}\n{}", opened(&bytes));
        }
    }
    let _ = writeln!(out, "one slot whose values stand under names\n{}", opened(&named()));
    compare("consensus/memory-reads.txt", &out);
}

#[test]
fn a_text_longer_than_a_slot_ends_the_memory_as_recorded() {
    let file = golden_file();
    let directory = Directory::holding(&file);
    let mut memory = StateFile::open(Some(&directory.0));
    memory.store_version(committed_state(21, 21), &Arc::from("x".repeat(SLOT)));
    let mut out = format!("a text of {SLOT} bytes\n{}", layout(&directory.bytes()));
    out += &meaning(&memory);
    memory.store_version(committed_state(22, 22), &Arc::from("rules 22 {\n}\n"));
    let _ = write!(out, "a short text after it\n{}{}", layout(&directory.bytes()), meaning(&memory));
    let _ = write!(out, "opened again\n{}", meaning(&StateFile::open(Some(&directory.0))));
    let mut nowhere = StateFile::open(None);
    nowhere.store_acceptor_state(&acceptor_state(ballot(1), None));
    let _ = write!(out, "without a directory, after votes were kept\n{}", meaning(&nowhere));
    let blocked = Directory::holding(&file);
    let inside_a_file = StateFile::open(Some(Path::new(&blocked.0.join(FILE))));
    let _ = write!(out, "a file in the directory's place\n{}", meaning(&inside_a_file));
    compare("consensus/memory-end.txt", &out);
}
