//! The whole program on loopback sockets, between small stand-ins for the parties that it speaks to.

use crate::codecs::{call, check, interrupt};
use crate::harness::*;
use std::io::{Read, Write};
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[test]
fn a_day_in_small_from_the_first_check_to_a_clean_end() {
    let mut program = Program::start(|_| ok("reply\r\n!"));
    let mut edge = program.connect();
    edge.0.write_all(&check(1)).unwrap();
    // Not fit before the pool is up.
    edge.hears(&[&[0x94, 1, 1, 0xc0, 0x92, 0xc2]]);
    let mut pool = program.serving();
    edge.0.write_all(&check(2)).unwrap();
    edge.hears(&[&[0x94, 1, 2, 0xc0, 0x92, 0xc3]]);
    // Two txns at once, answered the other way round; the first makes a call.
    edge.ask(3, "map", &attempt(3), None, &[0, 13, 10]);
    edge.ask(4, "buy", &attempt(4), Some("t"), b"");
    assert_eq!(pool.next(), (vec!["spawn".into(), attempt(3), "map".into(), "3".into()], vec![0, 13, 10]));
    assert_eq!(pool.next().0[1], attempt(4));
    pool.say(&format!("blocked 1 {} 2\r\n\r\n\r\n", attempt(3)));
    let asked = program.calls.recv_timeout(LONG).unwrap();
    assert!(asked.contains(&format!("X-Parent-Id: {}\r\n", attempt(3))) && asked.ends_with("\r\n\r\n\r\n"));
    assert_eq!(pool.next(), (vec!["supply".into(), attempt(3), "8".into()], b"reply\r\n!".to_vec()));
    pool.finish(2, &attempt(4), b"\xff\0four");
    edge.hears(&[&[0x94, 1, 4, 0xc0, 0x92, 0xc4, 6], b"\xff\0four", b"hint"]);
    // A repeat is answered from what was kept.
    edge.ask(5, "buy", &attempt(5), Some("t"), b"");
    edge.hears(&[&[0x94, 1, 5, 0xc0, 0x92, 0xc4, 6], b"\xff\0four"]);
    // Told to leave: listed as OUT, bad to checks, what runs is waited for, then everything closes.
    program.term();
    assert!(program.reports.iter().any(|r| r.ends_with("{\"phase\":\"OUT\"}")));
    edge.0.write_all(&check(6)).unwrap();
    edge.hears(&[&[0x94, 1, 6, 0xc0, 0x92, 0xc2]]);
    pool.finish(3, &attempt(3), b"three");
    edge.hears(&[&[0x94, 1, 3, 0xc0, 0x92, 0xc4, 5], b"three", b"closing"]);
    drop(edge);
    assert!(program.ended().success());
}

#[test]
fn a_lost_link_is_bound_from_the_last_notice_and_replayed_ones_count_once() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let mut edge = program.connect();
    (1..=3).for_each(|n| edge.ask(n, "buy", &attempt(n), Some(&attempt(n)), b"b"));
    (1..=3).for_each(|n| assert_eq!(pool.next().0[1], attempt(n)));
    pool.finish(1, &attempt(1), b"one");
    edge.hears(&[b"one"]);
    drop(pool);
    let mut pool = PoolEnd::accept(&program.pool);
    pool.bound("1", "99000");
    pool.finish(1, &attempt(2), b"old");
    pool.finish(2, &attempt(9), b"for nobody");
    pool.say("gibberish\r\nunknown spawn 77\r\n");
    // The last one is the one that shows, so that all of them have been read when the link goes.
    pool.finish(3, &attempt(2), b"two");
    let heard = edge.hears(&[b"two"]);
    assert!(!heard.windows(3).any(|w| w == b"old"));
    // One that came up after the link was lost has nothing of what the other ran.
    drop(pool);
    let mut pool = PoolEnd::accept(&program.pool);
    pool.bound("3", "0.5");
    edge.hears(&[&[0x94, 1, 3, 0x92], b"Internal"]);
    edge.ask(4, "buy", &attempt(4), Some("t"), b"b");
    assert_eq!(pool.next().0[1], attempt(4));
    pool.finish(1, &attempt(4), b"four");
    edge.hears(&[b"four"]);
}

#[test]
fn a_call_that_breaks_is_not_made_again_for_what_runs_once_and_the_txn_is_voided() {
    // The index answers the first call and breaks during the second, on the connection that was kept.
    let mut program = Program::start(|call| if call.ends_with("good") { ok("fine") } else { None });
    let mut pool = program.serving();
    let mut edge = program.connect();
    for (n, body) in [(1, "good"), (2, "evil")] {
        edge.ask(n, "buy", &attempt(n), Some(&attempt(n)), b"");
        assert_eq!(pool.next().0[0], "spawn");
        pool.say(&format!("blocked {n} {} 4\r\n{body}\r\n", attempt(n)));
        assert!(program.calls.recv_timeout(LONG).unwrap().ends_with(body));
        if n == 1 {
            assert_eq!(pool.next().1, b"fine");
        }
    }
    edge.hears(&[&[0x94, 1, 2, 0x92], b"Internal"]);
    assert!(program.calls.recv_timeout(Duration::from_millis(300)).is_err(), "called twice");
}

#[test]
fn what_no_edge_node_says_closes_its_connection_alone_and_all_open_on_it_gets_an_error() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let (mut bad, mut crowd, mut good) = (program.connect(), program.connect(), program.connect());
    bad.ask(1, "map", &attempt(1), None, b"");
    assert_eq!(pool.next().0[1], attempt(1));
    bad.0.write_all(&[0xc1, 0xc1]).unwrap();
    // At once, though what it asked still runs: a reply that comes later reaches nobody.
    assert!(bad.closes().windows(8).any(|w| w == b"Internal"));
    pool.finish(1, &attempt(1), b"done");
    // One call more than may be open: it is not run, and what is open is answered.
    (1..=33).for_each(|n| crowd.ask(n, "map", &attempt(100 + n), None, b""));
    good.ask(1, "map", &attempt(2), None, b"");
    good.ask(2, "nothing", &attempt(3), None, b"");
    good.0.write_all(&interrupt(77)).unwrap();
    good.hears(&[&[0x94, 1, 2, 0x92], b"Internal"]);
    let answers = crowd.closes().windows(2).filter(|w| *w == [0x94, 1]).count();
    assert_eq!(answers, 32);
    good.0.write_all(&check(9)).unwrap();
    good.hears(&[&[0x94, 1, 9, 0xc0, 0x92, 0xc3]]);
    // Each kind gets an error or a close, and nothing of it comes to the pool.
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string();
    let with = |name: &str, value: &str| {
        let (mut fields, attempt) =
            (vec![("t0", time.as_str()), ("peer", "4"), ("budget", "3000")], attempt(9));
        fields.extend([("rid", attempt.as_str()), ("mem", "24.5"), ("prio", "0.9")]);
        fields.retain(|(n, _)| *n != name);
        fields.push((name, value));
        call(1, "map", &fields, b"")
    };
    let twice = [with("x", ""), with("rid", &attempt(8))].concat();
    let mut spoilt = vec![b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0x94, 0, 0xff], twice];
    spoilt.extend([[0xc6, 0xff, 0xff, 0xff, 0xff].to_vec(), vec![0x93, 2, 0xa1, b'x', 0x90]]);
    for (name, value) in [
        ("rid", "x"),
        ("rid", ""),
        ("t0", "-1"),
        ("t0", "1e400"),
        ("budget", "99999999999999999999999"),
        ("budget", "-5"),
        ("mem", "0"),
        ("mem", "NaN"),
        ("mem", "2000"),
        ("prio", "1"),
        ("prio", "-0.1"),
        ("peer", "me"),
    ] {
        spoilt.push(with(name, value));
    }
    for bytes in spoilt {
        let mut bad = program.connect();
        bad.0.write_all(&bytes).unwrap();
        let heard = bad.closes();
        assert!(!heard.windows(3).any(|w| w == [0x94, 1, 0xc0]), "{bytes:?}");
    }
    good.ask(10, "map", &attempt(10), None, b"");
    loop {
        // But for the first of two under one number, which was stopped.
        let (words, _) = pool.next();
        if words[1] == attempt(10) {
            break;
        }
        assert!(words[0] == "suspend" || words[1] != attempt(8), "{words:?}");
    }
}

#[test]
fn silence_and_half_messages_are_cut_off_and_at_the_bound_they_make_room_for_others() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let (mut half, mut busy) = (program.connect(), program.connect());
    half.0.write_all(&[0x94, 0, 1]).unwrap();
    busy.ask(1, "map", &attempt(1), None, b"");
    assert_eq!(pool.next().0[1], attempt(1));
    // More than the descriptors that edge nodes may have: the silent make room, one at work does not.
    let mut silent: Vec<Edge> = (0..100).map(|_| program.connect()).collect();
    let mut good = program.connect();
    good.0.write_all(&check(1)).unwrap();
    good.0.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    good.hears(&[&[0x94, 1, 1, 0xc0, 0x92, 0xc3]]);
    pool.finish(1, &attempt(1), b"done");
    busy.hears(&[b"done"]);
    // All have a close well before anybody would give up on one.
    let began = Instant::now();
    half.closes();
    silent.iter_mut().for_each(|edge| drop(edge.closes()));
    assert!(began.elapsed() < Duration::from_millis(2500));
}

#[test]
fn idle_connections_are_told_to_close_and_one_at_work_is_not() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let (mut idle, mut busy) = (program.connect(), program.connect());
    idle.0.write_all(&check(1)).unwrap();
    busy.ask(1, "map", &attempt(1), None, b"");
    assert_eq!(pool.next().0[1], attempt(1));
    // Checks keep theirs: it is not idle.
    let mut checks = program.connect();
    for n in 1..=7 {
        checks.0.write_all(&check(n)).unwrap();
        assert!(!checks.hears(&[&[0xc0, 0x92, 0xc3]]).windows(7).any(|w| w == b"closing"));
        std::thread::sleep(Duration::from_millis(100));
    }
    // One that has never said anything is closed without a word; this one has.
    let told = idle.closes();
    assert!(told.ends_with(&[&[0x93, 2, 0xa7], b"closing".as_slice(), &[0x90]].concat()));
    pool.finish(1, &attempt(1), b"late");
    busy.hears(&[b"late", b"closing"]);
}

#[test]
fn the_notice_before_the_pool_is_up_ends_it_cleanly_and_what_comes_too_soon_is_declined() {
    let mut program = Program::start(|_| None);
    let mut edge = program.connect();
    edge.ask(1, "map", &attempt(1), None, b"");
    edge.hears(&[&[0x94, 1, 1, 0x92], b"Overloaded"]);
    program.term();
    edge.hears(&[b"closing"]);
    drop(edge);
    assert!(program.ended().success());
}

#[test]
fn the_command_line_names_what_is_wrong_in_one_line() {
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
        let out = command.args(args).env_remove("ROUTER_CONFIG").output().unwrap();
        (out.status.success(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    assert!(run(&["version"]).1.starts_with("aldercrank "));
    for args in [["check-config", "/nowhere.json"].as_slice(), &["serve"], &["check-config", "/dev/null"]] {
        let (fine, _, why) = run(args);
        assert!(!fine && why.lines().count() == 1, "{args:?}: {why}");
    }
    let program = Program::start(|_| None);
    let (fine, says, _) = run(&["check-config", program.config.to_str().unwrap()]);
    assert!(fine && says.contains("n1"), "{says}");
}

#[test]
fn a_reader_that_is_stuck_costs_only_itself_and_gets_all_once_it_reads() {
    let mut program = Program::start(|_| None);
    let pool = program.serving();
    std::thread::spawn(move || pool.serve(&[7; 4096]));
    let (mut stuck, mut good) = (program.connect(), program.connect());
    let mut writer = Edge(stuck.0.try_clone().unwrap());
    // As many as may be open at once.
    let all = 32;
    let writing =
        std::thread::spawn(move || (1..=all).for_each(|n| writer.ask(n, "map", &attempt(n), None, b"")));
    for n in 1..=20 {
        good.ask(n, "map", &attempt(1000 + n), None, b"");
        good.hears(&[&[0x94, 1, n as u8]]);
    }
    let mut heard = Vec::new();
    let answers = |bytes: &[u8]| bytes.windows(2).filter(|w| *w == [0x94, 1]).count();
    while answers(&heard) < all as usize {
        let mut chunk = [0; 65536];
        let n = stuck.0.read(&mut chunk).unwrap();
        assert!(n > 0, "closed after {} answers", answers(&heard));
        heard.extend(&chunk[..n]);
    }
    writing.join().unwrap();
}

#[test]
fn without_index_and_membership_service_it_serves_and_reports_once_they_are_back() {
    let mut program = Program::begin(None::<fn(&str) -> Option<String>>);
    let mut pool = PoolEnd::accept(&program.pool);
    pool.bound("0", "3.5");
    let mut edge = program.connect();
    // A refused call provably never ran: it is tried again, and in the end the txn is voided in time.
    edge.ask(1, "buy", &attempt(1), Some("t"), b"");
    assert_eq!(pool.next().0[1], attempt(1));
    pool.say(&format!("blocked 1 {} 1\r\n?\r\n", attempt(1)));
    edge.ask(2, "map", &attempt(2), None, b"");
    assert_eq!(pool.next().0[1], attempt(2));
    pool.finish(2, &attempt(2), b"two");
    edge.hears(&[b"two", &[0x94, 1, 1, 0x92], b"Internal"]);
    let (addr, said) = program.away.pop().unwrap();
    http(back(addr), said, listed);
    assert!(program.reports.recv_timeout(LONG).unwrap().ends_with("{\"phase\":\"UP\"}"));
}

#[test]
fn a_pause_of_the_machine_leaves_one_answer_for_each_txn() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let mut edge = program.connect();
    (1..=4).for_each(|n| edge.ask(n, "buy", &attempt(n), Some(&attempt(n)), b""));
    (1..=4).for_each(|n| assert_eq!(pool.next().0[1], attempt(n)));
    program.signal("-STOP");
    // While it stands still a result comes for one, and the time of all runs out; one more is asked.
    pool.finish(1, &attempt(1), b"one");
    edge.ask(5, "buy", &attempt(1), Some(&attempt(1)), b"");
    std::thread::sleep(Duration::from_millis(3200));
    program.signal("-CONT");
    let mut heard = Vec::new();
    let answers = |bytes: &[u8]| bytes.windows(2).filter(|w| *w == [0x94, 1]).count();
    edge.0.set_read_timeout(Some(Duration::from_millis(600))).unwrap();
    loop {
        let mut chunk = [0; 4096];
        match edge.0.read(&mut chunk) {
            Ok(n) if n > 0 => heard.extend(&chunk[..n]),
            _ => break,
        }
    }
    assert_eq!(answers(&heard), 5, "{heard:?}");
    // What the pool hears next is the word for another txn: nothing was run again.
    edge.ask(6, "buy", &attempt(6), Some(&attempt(6)), b"");
    assert_eq!(pool.next().0[1], attempt(6));
}

#[test]
fn an_interrupted_txn_is_stopped_and_gets_one_word_at_most_and_one_without_sense_gets_an_error() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let mut edge = program.connect();
    edge.ask(1, "map", &attempt(1), None, b"");
    edge.ask(2, "buy", &attempt(2), Some("t"), b"");
    assert_eq!([pool.next().0[1].clone(), pool.next().0[1].clone()], [attempt(1), attempt(2)]);
    (1..=2).for_each(|n| edge.0.write_all(&interrupt(n)).unwrap());
    // What may run again is stopped; what runs once goes on, and a repeat gets what came of it.
    assert_eq!(pool.next().0, ["suspend".to_string(), attempt(1)]);
    pool.say(&format!("finished 1 {} halted 9 0\r\n\r\n", attempt(1)));
    edge.ask(3, "buy", &attempt(3), Some("t"), b"");
    pool.finish(2, &attempt(2), b"two");
    // An interrupt that crosses the answer changes nothing; nor does one for a call that never was.
    edge.0.write_all(&interrupt(3)).unwrap();
    edge.0.write_all(&interrupt(99)).unwrap();
    edge.0.write_all(&call(4, "map", &[("rid", &attempt(4)), ("t0", "soon"), ("budget", "9")], b"")).unwrap();
    let heard = edge.closes();
    let answered = |n: u8| heard.windows(3).filter(|w| *w == [0x94, 1, n]).count();
    assert_eq!((answered(1), answered(2), answered(3), answered(4)), (1, 1, 1, 1));
}

#[test]
fn a_new_configuration_moves_every_link_and_one_without_sense_moves_none() {
    let mut program = Program::start(|_| ok("old"));
    let mut pool = program.serving();
    let mut edge = program.connect();
    (1..=2).for_each(|n| edge.ask(n, "buy", &attempt(n), Some(&attempt(n)), b""));
    (1..=2).for_each(|n| assert_eq!(pool.next().0[1], attempt(n)));
    // Neither a file that is cut short nor the same addresses again changes anything.
    std::fs::write(&program.config, "{\"name\":").unwrap();
    program.signal("-HUP");
    std::thread::sleep(Duration::from_millis(100));
    program.reload(&[]);
    pool.finish(1, &attempt(1), b"one");
    edge.hears(&[b"one"]);
    // The new places; each is listened on from here alone.
    let ip = program.edge.ip().to_string();
    let (new_pool, pool_addr) = listen(&ip);
    let ((say_call, calls), (say_report, reports)) = (channel(), channel());
    let ((index, index_addr), (members, members_addr)) = (listen(&ip), listen(&ip));
    http(index, say_call, |_| ok("new"));
    http(members, say_report, listed);
    program.reload(&[("pool", pool_addr), ("index", index_addr), ("members", members_addr)]);
    let mut moved = PoolEnd::accept(&new_pool);
    assert_eq!(moved.next().0, ["bind", "1"]);
    // What comes before the new link is bound is said on it, and a result said on the old one counts once.
    pool.finish(2, &attempt(2), b"two");
    edge.ask(3, "buy", &attempt(3), Some("t"), b"");
    std::thread::sleep(Duration::from_millis(50));
    moved.say("bound warm 99000\r\n");
    moved.finish(2, &attempt(2), b"two");
    assert_eq!(moved.next().0[..2], ["spawn".to_string(), attempt(3)]);
    moved.say(&format!("blocked 3 {} 1\r\n?\r\n", attempt(3)));
    assert_eq!(moved.next(), (vec!["supply".into(), attempt(3), "3".into()], b"new".to_vec()));
    assert!(calls.try_recv().is_ok() && program.calls.try_recv().is_err());
    moved.finish(4, &attempt(3), b"three");
    let heard = edge.hears(&[b"two", b"three"]);
    assert_eq!(heard.windows(3).filter(|w| *w == b"two").count(), 1);
    assert!(reports.recv_timeout(LONG).unwrap().ends_with("{\"phase\":\"UP\"}"));
    while program.reports.try_recv().is_ok() {}
    // Once more while it is leaving: the word goes to the newest place.
    program.term();
    assert!(reports.iter().any(|r| r.ends_with("{\"phase\":\"OUT\"}")));
    program.reload(&[]);
    let _back = PoolEnd::accept(&program.pool);
    assert!(program.reports.recv_timeout(LONG).unwrap().ends_with("{\"phase\":\"OUT\"}"));
    drop(edge);
    assert!(program.ended().success());
}

#[test]
fn other_settings_hold_from_the_word_on_and_what_was_read_before_keeps_its_own() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let mut edge = program.connect();
    edge.ask(1, "buy", &attempt(1), Some("t1"), b"");
    assert_eq!(pool.next().0[1], attempt(1));
    // Withdrawn; and cores can't change in service, which the log says.
    let profiles = program.told["settings"]["profiles"].as_array().unwrap();
    let place = profiles.iter().position(|p| p["name"] == "buy").unwrap();
    program.told["settings"]["profiles"][place]["offered"] = false.into();
    program.reload(&[]);
    std::thread::sleep(Duration::from_millis(150));
    edge.ask(2, "buy", &attempt(2), Some("t2"), b"");
    edge.hears(&[b"Overloaded"]);
    pool.finish(1, &attempt(1), b"bought");
    edge.hears(&[b"bought"]);
    program.told["settings"]["profiles"][place]["offered"] = true.into();
    program.reload(&[]);
    std::thread::sleep(Duration::from_millis(150));
    edge.ask(3, "buy", &attempt(3), Some("t3"), b"");
    assert_eq!(pool.next().0[1], attempt(3));
    pool.finish(2, &attempt(3), b"again");
    edge.hears(&[b"again"]);
}

#[test]
fn a_token_with_another_body_is_no_repeat_and_is_not_settled_from_the_first() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let (mut good, mut bad) = (program.connect(), program.connect());
    // The made-up call comes first; the true one runs, and a true repeat is answered from it.
    bad.ask(1, "buy", &attempt(1), Some("t"), b"false");
    assert_eq!(pool.next().0[1], attempt(1));
    good.ask(1, "buy", &attempt(2), Some("t"), b"true");
    assert_eq!(pool.next().0[1], attempt(2));
    pool.say(&format!("unknown spawn {}\r\n", attempt(1)));
    bad.hears(&[&[0x94, 1, 1, 0x92], b"Internal"]);
    pool.finish(1, &attempt(2), b"made");
    good.hears(&[b"made"]);
    bad.ask(2, "buy", &attempt(3), Some("t"), b"false");
    assert_eq!(pool.next().0[1], attempt(3));
    good.ask(2, "buy", &attempt(4), Some("t"), b"true");
    good.hears(&[&[0x94, 1, 2, 0xc0], b"made"]);
}

#[test]
fn a_report_without_an_answer_holds_up_neither_the_next_nor_a_change_of_word() {
    // The grace is shorter than what an unanswered report is given before the next try.
    let shorter = |config: &mut serde_json::Value| {
        config["settings"]["rules"]["stop_sending_within"] = serde_json::json!(120_000);
    };
    let mut program = Program::told(None::<fn(&str) -> Option<String>>, shorter);
    let silent = back(program.away.pop().unwrap().0);
    let mut pool = PoolEnd::accept(&program.pool);
    pool.bound("0", "3.5");
    let began = Instant::now();
    let mut reports = Vec::new();
    for word in ["UP", "UP", "OUT"] {
        if word == "OUT" {
            program.term();
        }
        let mut stream = within(&silent, LONG).unwrap_or_else(|| panic!("{word} was never said"));
        let mut text = [0; 1024];
        let n = stream.read(&mut text).unwrap();
        assert!(String::from_utf8_lossy(&text[..n]).ends_with(&format!("{{\"phase\":\"{word}\"}}")));
        reports.push(stream);
    }
    assert!(began.elapsed() < Duration::from_millis(1900));
}

#[test]
fn a_large_result_that_comes_and_goes_in_pieces_is_whole_and_what_stands_behind_it_too() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let mut edge = program.connect();
    edge.ask(1, "map", &attempt(1), None, b"a");
    edge.ask(2, "map", &attempt(2), None, b"b");
    pool.next();
    pool.next();
    let large: Vec<u8> = (0..250_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    let mut said = format!("finished 1 {} ok 20.5 {}\r\n", attempt(1), large.len()).into_bytes();
    said.extend(&large);
    said.extend(format!("\r\nfinished 2 {} ok 20.5 5\r\nsmall\r\n", attempt(2)).bytes());
    // Cut within the first line, the result, its end and the second line.
    let mut from = 0;
    for to in [9, 40, 100_000, said.len() - 66, said.len() - 30, said.len()] {
        pool.reader.get_mut().write_all(&said[from..to]).unwrap();
        std::thread::sleep(Duration::from_millis(15));
        from = to;
    }
    // The reader has let the socket run full by now.
    std::thread::sleep(Duration::from_millis(50));
    let size = (large.len() as u32).to_be_bytes();
    let all =
        edge.hears(&[&[0x94, 1, 1, 0xc0, 0x92, 0xc6], &size, &large, &[0x94, 1, 2, 0xc0, 0x92], b"small"]);
    assert_eq!(all.windows(3).filter(|w| *w == [0x94, 1, 1]).count(), 1);
    // One over the bound is nobody's result: its txn is not settled by it.
    edge.ask(3, "map", &attempt(3), None, b"c");
    pool.next();
    pool.say(&format!("finished 3 {} ok 20.5 300000\r\n", attempt(3)));
    edge.ask(4, "map", &attempt(4), None, b"d");
    pool.next();
    pool.finish(4, &attempt(4), b"after");
    let all = edge.hears(&[&[0x94, 1, 4, 0xc0, 0x92], b"after"]);
    assert!(!all.windows(4).any(|w| *w == [0x94, 1, 3, 0xc0]));
}

#[test]
fn interrupts_of_all_open_calls_in_one_segment_stop_every_run_with_one_word_each() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let mut edge = program.connect();
    for n in 1..=32 {
        edge.ask(n, "map", &attempt(n), None, b"x");
    }
    (1..=20).for_each(|_| assert_eq!(pool.next().0[0], "spawn"));
    let all: Vec<u8> = (1..=32).flat_map(interrupt).collect();
    edge.0.write_all(&all).unwrap();
    let mut stopped = std::collections::BTreeSet::new();
    while stopped.len() < 20 {
        let (words, _) = pool.next();
        if words[0] == "suspend" {
            assert!(stopped.insert(words[1].clone()), "{words:?} twice");
            pool.say(&format!("finished {} {} halted 1 0\r\n\r\n", stopped.len(), words[1]));
        }
    }
    // The connection has room for as many again, and each number is free.
    edge.ask(1, "map", &attempt(100), None, b"x");
    let words = loop {
        let (words, _) = pool.next();
        if words[1] == attempt(100) {
            break words;
        }
    };
    assert_eq!(words[0], "spawn");
    pool.finish(100, &attempt(100), b"done");
    let all = edge.hears(&[b"done"]);
    assert_eq!(all.windows(8).filter(|w| *w == b"Internal").count(), 32);
}

#[test]
fn a_body_at_the_limit_is_run_as_it_came_and_one_over_it_ends_the_connection() {
    let mut program = Program::start(|_| None);
    let mut pool = program.serving();
    let mut edge = program.connect();
    let body: Vec<u8> = (0..2048u32).map(|i| (i % 251) as u8).collect();
    edge.ask(1, "map", &attempt(1), None, &body);
    assert_eq!(pool.next().1, body);
    pool.finish(1, &attempt(1), &body);
    edge.hears(&[&body]);
    edge.ask(2, "map", &attempt(2), None, &vec![1; 2049]);
    let all = edge.closes();
    assert!(all.windows(8).any(|w| w == b"Internal"));
}

#[test]
fn callers_that_go_as_their_answer_is_half_written_leave_neither_memory_nor_descriptors() {
    let mut program = Program::start(|_| None);
    let pool = program.serving();
    std::thread::spawn(move || pool.serve(&[7; 200_000]));
    let held = |what: &str, program: &Program| {
        let proc = format!("/proc/{}", program.child.id());
        match what {
            "descriptors" => std::fs::read_dir(format!("{proc}/fd")).unwrap().count(),
            _ => {
                let status = std::fs::read_to_string(format!("{proc}/status")).unwrap();
                let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
                line.split_whitespace().next().unwrap().parse().unwrap()
            }
        }
    };
    let half_read = |n: u32| {
        let mut edge = program.connect();
        edge.ask(1, "map", &attempt(n), None, b"x");
        // The first of it has come, the rest does not fit into the sockets.
        edge.hears(&[&[0x94, 1, 1, 0xc0, 0x92, 0xc6]]);
    };
    (1..=20).for_each(half_read);
    let before = ["descriptors", "memory"].map(|what| held(what, &program));
    (21..=220).for_each(half_read);
    let mut edge = program.connect();
    edge.ask(1, "map", &attempt(1000), None, b"x");
    edge.hears(&[&[7; 200_000]]);
    drop(edge);
    std::thread::sleep(Duration::from_millis(100));
    let after = ["descriptors", "memory"].map(|what| held(what, &program));
    assert!(after[0] <= before[0] + 2, "{before:?} {after:?}");
    // 40 MB went through by halves; a tenth of that would show a leak.
    assert!(after[1] <= before[1] + 4_000, "{before:?} {after:?}");
}

/// On a platform whose requests say nothing of how long their callers wait, every one of them was misuse.
#[test]
fn a_request_without_a_budget_has_the_deadline_of_its_product_where_the_settings_say_that_none_is_told() {
    let told = |passes: bool| {
        Program::told(Some(|_: &str| None), move |config| {
            config["settings"]["family_info"]["passes_deadline"] = passes.into();
            config["settings"]["profiles"][0]["goal_time"] = 300_000.into();
            config["settings"]["profiles"][0]["give_up"] = 700_000.into();
        })
    };
    let message = || {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string();
        let fields =
            [("rid", "00000000000000a1"), ("t0", &time), ("peer", "4"), ("mem", "24.5"), ("prio", "0.9")];
        call(1, "map", &fields, b"")
    };
    let mut program = told(false);
    let mut pool = program.serving();
    let mut edge = program.connect();
    edge.0.write_all(&message()).unwrap();
    assert_eq!(pool.next().0[1], "00000000000000a1");
    // Its run does not end: the caller has an answer by the deadline all the same.
    edge.0.set_read_timeout(Some(Duration::from_millis(1200))).unwrap();
    edge.hears(&[&[0x94, 1, 1, 0x92], b"Internal"]);
    // Where requests have to say so, one that does not is still misuse.
    let program = told(true);
    let mut edge = program.connect();
    edge.0.write_all(&message()).unwrap();
    assert!(edge.closes().windows(8).any(|w| w == b"Internal"));
}
