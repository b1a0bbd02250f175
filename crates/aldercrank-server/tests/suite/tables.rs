//! Slots, deadlines and deduplication entries.

use aldercrank::RequestId;
use aldercrank_server::deadlines::Deadlines;
use aldercrank_server::dedup::{CachedOutcome, DedupKey, DedupTable};
use aldercrank_server::payload::Payload;
use aldercrank_server::slots::Slots;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

#[test]
fn a_reused_slot_has_another_number_and_the_old_one_finds_nothing() {
    let mut slots = Slots::default();
    let (a, b) = (slots.insert('a').unwrap(), slots.insert('b').unwrap());
    assert_eq!(slots.remove(a), Some('a'));
    let c = slots.insert('c').unwrap();
    assert!(a != c && slots.get(a).is_none() && slots.remove(a).is_none());
    assert_eq!((slots.get(b), slots.get(c), slots.len()), (Some(&'b'), Some(&'c'), 2));
    while slots.insert('x').is_some() {}
    assert_eq!(slots.len(), 1 << 16);
}

#[test]
fn a_new_deadline_replaces_the_old_one_and_all_move_with_the_clock() {
    let mut deadlines = Deadlines::default();
    deadlines.set('a', S * 5);
    deadlines.set('b', S * 3);
    deadlines.set('a', S);
    assert_eq!(
        (deadlines.next(), deadlines.pop_due(S / 2), deadlines.pop_due(S * 2), deadlines.pop_due(S * 2)),
        (Some(S), None, Some('a'), None)
    );
    // The clock, which had counted two seconds, is set to count from the pool's start one second ago.
    deadlines.rebase(S * 2, S);
    assert_eq!((deadlines.pop_due(S), deadlines.pop_due(S * 2)), (None, Some('b')));
}

#[test]
fn a_dedup_entry_links_repeats_by_arrival_and_outlives_its_evicted_result() {
    let mut table = DedupTable::new(10);
    let (key, other) = (DedupKey::token("p", "t", b"x"), DedupKey::token("p", "u", b"x"));
    let (a, b, c) = (RequestId(1), RequestId(2), RequestId(3));
    let entry = table.store(&key, a, S * 10).unwrap().entry;
    assert_eq!(table.find_original(&key, S * 11, S * 11), None, "arrived after the window");
    assert!(table.run_started(&key, a).is_none());
    table.run_ended(&key, a, Some(Payload::Transient(b"12345678")));
    assert_eq!(table.find_original(&key, S * 9, S * 12), Some(a), "arrived within the window, read late");
    assert_eq!(table.outcome(&key), CachedOutcome::Completed(b"12345678".as_slice().into()));
    // Another result evicts the first one. The entry stays, so that the request does not run again.
    table.store(&other, c, S * 10).unwrap();
    table.run_started(&other, c);
    table.run_ended(&other, c, Some(Payload::Transient(b"123")));
    assert_eq!((table.outcome(&key), table.find_original(&key, S, S)), (CachedOutcome::Unavailable, Some(a)));
    // A request after the window runs again, and the entry then refers only to it.
    assert_eq!(table.store(&key, b, S * 30).unwrap().replaced, None);
    assert_eq!((table.run_started(&key, b), table.refers_to(&key, a)), (Some(a), false));
    table.forget(&key, b);
    assert!(table.refers_to(&key, b), "a request that ran is not forgotten");
    assert_eq!((table.removable_at(entry, S), table.expire(entry)), (Some(S * 31), vec![b, b]));
    assert_eq!(table.find_original(&key, S, S), None);
    // A read without a result does not answer others.
    let subject = DedupKey::subject("p", "s");
    table.store(&subject, a, S * 9).unwrap();
    table.run_started(&subject, a);
    table.run_ended(&subject, a, None);
    assert_eq!(table.find_original(&subject, S, S), None);
}

/// Reads were served with results that were older than the settings allow, after a later read had been given up.
#[test]
fn a_forgotten_read_leaves_the_expiry_of_an_earlier_result_as_it_was() {
    let (first, second, third) = (RequestId(1), RequestId(2), RequestId(3));
    let key = DedupKey::subject("p", "s");
    let mut table = DedupTable::new(10);
    table.store(&key, first, S).unwrap();
    table.run_started(&key, first);
    table.run_ended(&key, first, Some(Payload::Transient(b"1")));
    assert_eq!(
        (table.find_original(&key, S, S), table.find_original(&key, S * 2, S * 2)),
        (Some(first), None)
    );
    // While a later read waits, others wait with it. Nothing is left of it once it is given up.
    let entry = table.store(&key, second, S * 3).unwrap().entry;
    assert_eq!(table.find_original(&key, S * 2, S * 2), Some(second));
    table.forget(&key, second);
    assert_eq!(
        (table.find_original(&key, S, S * 2), table.find_original(&key, S * 2, S * 2)),
        (Some(first), None)
    );
    assert_eq!(table.removable_at(entry, S), Some(S * 2));
    // A later read that runs is shared until its own time, also once a third one was given up.
    table.store(&key, second, S * 3).unwrap();
    table.run_started(&key, second);
    table.run_ended(&key, second, Some(Payload::Transient(b"2")));
    table.store(&key, third, S * 9).unwrap();
    table.forget(&key, third);
    let originals = [S * 3, S * 4].map(|time| table.find_original(&key, time, time));
    assert_eq!(originals, [Some(second), None]);
}

/// A repeat of a request that ran was rejected, as if it had never run, while the table was full.
#[test]
fn a_full_table_of_deduplication_entries_has_room_for_repeats_only() {
    let mut table = DedupTable::new(0);
    let key = |number: u32| DedupKey::token("p", &number.to_string(), b"");
    let mut stored = 0;
    while table.has_room_for(&key(stored)) {
        table.store(&key(stored), RequestId(stored), S).unwrap();
        stored += 1;
    }
    assert!((0..stored).all(|number| table.has_room_for(&key(number))));
    let entry = table.store(&key(0), RequestId(stored), S * 2).unwrap().entry;
    table.expire(entry);
    assert!(table.has_room_for(&key(stored)), "an entry was removed");
}
