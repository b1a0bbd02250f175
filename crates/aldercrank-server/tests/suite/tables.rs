//! Slots, deadlines, keys, phases and the configuration.

use aldercrank::RequestId;
use aldercrank_server::config::Config;
use aldercrank_server::deadlines::Deadlines;
use aldercrank_server::dedup::{CachedOutcome, DedupKey, DedupTable};
use aldercrank_server::logger::{Bound, Lines, LogOptions, Logger};
use aldercrank_server::payload::{OutputBuffer, Payload};
use aldercrank_server::phase::Phase;
use aldercrank_server::slots::Slots;
use std::collections::VecDeque;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

#[test]
fn a_slot_taken_again_has_another_number_and_the_old_one_reaches_nothing() {
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
fn a_deadline_set_anew_replaces_the_old_and_all_move_with_the_clock() {
    let mut all = Deadlines::default();
    all.set('a', S * 5);
    all.set('b', S * 3);
    all.set('a', S);
    assert_eq!(
        (all.next(), all.due(S / 2), all.due(S * 2), all.due(S * 2)),
        (Some(S), None, Some('a'), None)
    );
    // The pool came up a second ago, our clock had counted two.
    all.rebase(S * 2, S);
    assert_eq!((all.due(S), all.due(S * 2)), (None, Some('b')));
}

#[test]
fn a_key_links_repeats_by_arrival_and_its_window_outlives_results_that_make_room() {
    let mut keys = DedupTable::new(10);
    let (mark, other) = (DedupKey::token("p", "t", b"x"), DedupKey::token("p", "u", b"x"));
    let (a, b, c) = (RequestId(1), RequestId(2), RequestId(3));
    let key = keys.store(&mark, a, S * 10).unwrap().entry;
    assert_eq!(keys.find_original(&mark, S * 11, S * 11), None, "came after the window");
    assert!(keys.run_started(&mark, a).is_none());
    keys.run_ended(&mark, a, Some(Payload::Passing(b"12345678")));
    assert_eq!(keys.find_original(&mark, S * 9, S * 12), Some(a), "came within the window, read late");
    assert_eq!(keys.outcome(&mark), CachedOutcome::Completed(b"12345678".as_slice().into()));
    // Another's result takes the room; the entry stays, so nothing runs again.
    keys.store(&other, c, S * 10).unwrap();
    keys.run_started(&other, c);
    keys.run_ended(&other, c, Some(Payload::Passing(b"123")));
    assert_eq!((keys.outcome(&mark), keys.find_original(&mark, S, S)), (CachedOutcome::Unavailable, Some(a)));
    // One read after the window runs anew; the entry names it alone.
    assert_eq!(keys.store(&mark, b, S * 30).unwrap().replaced, None);
    assert_eq!((keys.run_started(&mark, b), keys.refers_to(&mark, a)), (Some(a), false));
    keys.forget(&mark, b);
    assert!(keys.refers_to(&mark, b), "what has run is not forgotten");
    assert_eq!((keys.expires_at(key, S), keys.expire(key)), (Some(S * 31), vec![b, b]));
    assert_eq!(keys.find_original(&mark, S, S), None);
    // A read whose run came to nothing is no source for others.
    let subject = DedupKey::subject("p", "s");
    keys.store(&subject, a, S * 9).unwrap();
    keys.run_started(&subject, a);
    keys.run_ended(&subject, a, None);
    assert_eq!(keys.find_original(&subject, S, S), None);
}

#[test]
fn phases_follow_one_another_and_the_notice_may_come_at_any_of_them() {
    let mut phase = Phase::Starting;
    assert!(phase.linked() && !phase.linked() && phase.bound() && !phase.bound() && phase.serving());
    assert!(!phase.done() && phase.told_to_leave() && !phase.told_to_leave());
    assert!(!phase.bound() && !phase.linked() && phase.done() && phase.stopped());
    let mut early = Phase::Starting;
    assert!(early.told_to_leave() && !early.bound() && early.draining());
}

#[test]
fn the_log_is_cut_short_place_by_place() {
    let bound = Bound::default();
    let admitted = (0..50).filter(|_| bound.admits("a", 1, 7).is_some()).count();
    assert!((1..50).contains(&admitted));
    assert_eq!(bound.admits("a", 2, 7), Some(0));
    assert_eq!(bound.admits("a", 1, 8), Some(50 - admitted as u32), "says how many it left out");
}

/// What is logged under a wish by a few events.
fn logged(wish: LogOptions) -> String {
    use tracing_subscriber::layer::SubscriberExt;
    let lines = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let into = lines.clone();
    let sink = Box::new(move |line: &[u8]| into.lock().unwrap().extend_from_slice(line));
    let logger = Logger(std::sync::Arc::new(Lines::new(wish, sink)));
    logger.0.called("n7", false);
    let all = tracing_subscriber::registry().with(logger);
    tracing::subscriber::with_default(all, || {
        tracing::warn!(target: "aldercrank::a", status = 503u16, why = "two\nlines", "taken {}", "aback");
        tracing::debug!(target: "aldercrank::a", "more");
        tracing::info!(target: "calloop", "not ours");
        for _ in 0..9 {
            tracing::debug!(target: "aldercrank::request", attempt = "0a", "read");
        }
    });
    let all = lines.lock().unwrap().clone();
    String::from_utf8(all).unwrap()
}

#[test]
fn the_log_is_text_or_json_and_tells_of_txns_only_where_that_is_wanted() {
    let said = logged(LogOptions::default());
    let (at, line) = said.split_once(' ').unwrap();
    assert!(at.parse::<f64>().unwrap() > 1e9);
    assert_eq!(line, "warn taken aback status=503 why=\"two\\nlines\"\n", "one line, whatever is said");
    let said = logged(LogOptions { verbose: true, json: true, requests: true });
    let lines: Vec<serde_json::Value> = said.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 11, "the way of a txn is not cut short: {said}");
    assert_eq!((&lines[0]["status"], &lines[0]["server"]), (&503.into(), &"n7".into()));
    assert_eq!((&lines[1]["said"], &lines[10]["attempt"]), (&"more".into(), &"0a".into()));
}

#[test]
fn a_configuration_is_taken_or_its_field_is_named() {
    let good = r#"{"name":"n3","listen":"127.0.0.1:7001","pool":"127.0.0.1:1","members":"127.0.0.1:2",
        "index":"127.0.0.1:3","seed":"8c","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "unheard":[1],"settings":{"profiles":[{"name":"p","odd":null}]}}"#;
    let none = |_: &str| None;
    let config = Config::parse(good, none).ok().unwrap();
    assert_eq!((config.name.as_str(), config.stop, config.sockets), ("n3", S * 16 / 5, 1024));
    for (from, to, field) in [
        ("\"n3\"", "\"\"", "name"),
        ("\"n3\"", "\"a b\"", "name"),
        ("127.0.0.1:7001", "here", "listen"),
        ("\"pool\"", "\"loop\"", "pool"),
        ("127.0.0.1:2", "127.0.0.1", "members"),
        ("127.0.0.1:3", "127.0.0.1:99999", "index"),
        ("3200", "-1", "stop_ms"),
        ("3200", "\"soon\"", "stop_ms"),
        ("192", "0", "limits.memory_mb"),
        ("1024", "3", "limits.sockets"),
        ("\"limits\"", "\"bounds\"", "limits"),
        ("\"profiles\"", "\"things\"", "settings.profiles"),
        ("\"settings\":{", "\"settings\":7,\"s\":{", "settings"),
        ("{\"name\"", "{{\"name\"", "not JSON"),
    ] {
        let why = Config::parse(&good.replace(from, to), none).err().unwrap_or_default();
        assert!(why.contains(field) && why.lines().count() == 1, "{to}: {why}");
    }
    // Where nothing calls, no index is needed; else it is.
    let without = good.replace("\"index\"", "\"x\"");
    assert!(Config::parse(&without, none).err().unwrap().contains("index"));
    let calm = without.replace("\"settings\":{", "\"settings\":{\"family_info\":{\"below\":\"none\"},");
    assert_eq!(Config::parse(&calm, none).ok().unwrap().index, None);
    let var = |name: &str| (name == "ROUTER_NAME").then(|| "n9".to_string());
    assert_eq!(Config::parse(&good.replacen("\"name\"", "\"title\"", 1), var).ok().unwrap().name, "n9");
}

/// Takes as many bytes as it is told next, and none where that is 0.
struct Slow {
    takes: VecDeque<usize>,
    taken: Vec<u8>,
}

impl std::io::Write for &mut Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let most = self.takes.pop_front().filter(|n| *n > 0).ok_or(std::io::ErrorKind::WouldBlock)?;
        let n = most.min(bytes.len());
        self.taken.extend(&bytes[..n]);
        Ok(n)
    }
    fn write_vectored(&mut self, all: &[std::io::IoSlice]) -> std::io::Result<usize> {
        let joined: Vec<u8> = all.iter().flat_map(|slice| slice.iter().copied()).collect();
        self.write(&joined)
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn what_is_to_be_written_goes_out_in_order_and_once_however_little_is_taken() {
    for seed in 0..200u64 {
        let mut state = seed.wrapping_mul(2).wrapping_add(1);
        let mut draw = |n: u64| {
            state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (state >> 33) % n
        };
        let (mut out, mut plain) = (OutputBuffer::default(), Vec::<u8>::new());
        let mut slow = Slow { takes: VecDeque::new(), taken: Vec::new() };
        for step in 0..400u64 {
            let most = if draw(9) == 0 { 9000 } else { 90 };
            let bytes = vec![step as u8; draw(most) as usize];
            match draw(5) {
                0 => out.words(|words| words.extend(&bytes)),
                1 => out.body(&bytes.as_slice().into()),
                2 => out.result(&Payload::Passing(&bytes)),
                3 => out.result(&Payload::Shared(&bytes.clone().into())),
                _ => {
                    slow.takes.extend([draw(5) as usize * 700, draw(40) as usize]);
                    while let Ok(n) = out.write_to(&mut slow) {
                        if n == 0 {
                            break;
                        }
                    }
                    continue;
                }
            }
            plain.extend(&bytes);
            assert_eq!(out.end(), plain.len() as u64);
        }
        assert_eq!(out.written(), slow.taken.len() as u64);
        assert_eq!(out.waiting(), plain.len() - slow.taken.len());
        slow.takes = std::iter::repeat_n(1_000_000, 1000).collect();
        while out.waiting() > 0 {
            out.write_to(&mut slow).unwrap();
        }
        assert!(slow.taken == plain, "seed {seed}");
    }
}

#[test]
fn the_service_file_is_applied_whole_or_named_with_all_that_is_wrong() {
    let dir = std::env::temp_dir();
    let path = |name: &str| dir.join(format!("aldercrank-{}-{name}", std::process::id()));
    let (config, service) = (path("tables.json"), path("tables.kdl"));
    std::fs::write(&config, include_str!("../../../../examples/config.json")).unwrap();
    let load = |text: &str| {
        std::fs::write(&service, text).unwrap();
        Config::load(config.to_str(), service.to_str())
    };
    assert_eq!(load("results {\n    longest-kb 512\n}\n").unwrap().result, 512 * 1024);
    assert_eq!(load("").unwrap().result, 256 * 1024);
    let why = load("results {\n    longest-kb 0\n}\nresult\n").err().unwrap();
    assert!(
        why.contains("tables.kdl:2:16: longest-kb takes") && why.contains("tables.kdl:4:1: result is not")
    );
    std::fs::remove_file(&service).unwrap();
    assert!(Config::load(config.to_str(), service.to_str()).err().unwrap().contains("tables.kdl"));
    // Of the wrong kind is not missing.
    let text = include_str!("../../../../examples/config.json").replace("\"n1\"", "3");
    assert_eq!(Config::parse(&text, |_| None).err().unwrap(), "name is no text");
    std::fs::remove_file(&config).unwrap();
}
