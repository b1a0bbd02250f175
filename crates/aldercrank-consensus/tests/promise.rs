//! The promise on drawn days, the hard cases one by one, and what agreement costs as a fleet grows.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod world;

use aldercrank_consensus::{InjectedFault, PermissionLevel};
use std::time::Duration;
use world::{version, World, MS, WITHIN};

const S: Duration = Duration::from_secs(1);

/// A day of drawn faults, with a new version every second or so.
fn drawn_day(seed: u64, injected_fault: Option<InjectedFault>, forgetful: bool) -> World {
    let servers = 5 + (seed % 4) as usize;
    let mut w = World::new(servers, &[0, 1, 2], seed, injected_fault);
    for n in 0..3 {
        w.all[n].disk = !forgetful || n > 0;
    }
    w.pass(S * 4);
    let mut number = 1;
    for _ in 0..25 {
        let n = w.draw.below(servers as u64) as usize;
        match w.draw.below(9) {
            0 => w.stop(n),
            1 | 2 => (0..servers).for_each(|n| w.go_on(n)),
            3 if n > 2 || !forgetful || n == 0 => w.kill(n),
            4 => (0..servers).for_each(|n| w.restart(n)),
            5 => {
                w.cut.insert(n);
            }
            6 => {
                w.cut.clear();
                w.deaf.clear();
            }
            7 => {
                let m = w.draw.below(servers as u64) as usize;
                w.deaf.insert((n, m));
            }
            _ => {
                let slow = w.draw.below(400) as u32;
                w.delay = (MS / 5, MS * (1 + slow));
                w.lose = if w.draw.one_in(3) { 10 } else { 0 };
            }
        }
        number += 1;
        let proposed = version(number, &[0, 1, 2], &format!("servers={servers} {}", w.draw.below(2)));
        let member = w.draw.below(3) as usize;
        w.propose(member, &proposed);
        if w.draw.one_in(4) {
            let other = version(number, &[0, 1, 2], &format!("servers={servers} another"));
            w.propose((member + 1) % 3, &other);
        }
        let span = 300 + w.draw.below(1500) as u32;
        w.pass(MS * span);
    }
    w
}

#[test]
fn the_promise_holds_on_drawn_days() {
    let mut farthest = Duration::ZERO;
    for seed in 0..120 {
        let w = drawn_day(seed, None, false);
        farthest = farthest.max(w.farthest);
        assert!(w.farthest <= WITHIN, "seed {seed}: contradicting acts {:?} apart", w.farthest);
        assert!(w.back.is_empty(), "seed {seed}: {:?}", w.back);
    }
    assert!(farthest > WITHIN / 4, "the days are hard enough to tell: {farthest:?}");
}

#[test]
fn it_holds_where_one_member_forgets_all_with_each_life() {
    for seed in 0..80 {
        let w = drawn_day(seed, None, true);
        assert!(w.farthest <= WITHIN, "seed {seed}: contradicting acts {:?} apart", w.farthest);
        assert!(w.back.is_empty(), "seed {seed}: {:?}", w.back);
    }
}

#[test]
fn each_mistake_made_on_purpose_is_found_on_drawn_days() {
    for injected_fault in [InjectedFault::FromAnswer, InjectedFault::WakesUnlooked, InjectedFault::NoFence] {
        let found = (0..3000).find(|seed| drawn_day(*seed, Some(injected_fault), false).farthest > WITHIN);
        assert!(found.is_some(), "{injected_fault:?}");
    }
}

fn completed(servers: usize) -> World {
    let mut w = World::new(servers, &[0, 1, 2], 5, None);
    w.pass(S * 4);
    assert_eq!(w.acting_on(1), servers);
    // Those that asked another member while theirs could not speak count with theirs alone by then.
    w.pass(S * 3);
    w
}

#[test]
fn a_version_is_in_force_everywhere_within_a_few_rounds() {
    let mut w = completed(12);
    let before = w.now;
    w.propose(2, &version(2, &[0, 1, 2], "servers=12"));
    while w.acting_on(2) < 12 && w.now < before + S {
        w.pass(MS);
    }
    assert!(w.now - before < MS * 300, "{:?}", w.now - before);
}

#[test]
fn a_minority_cut_off_stops_within_the_bound_and_comes_back() {
    let mut w = completed(9);
    w.cut.extend([2, 7, 8]);
    w.pass(WITHIN + MS * 100);
    for n in [2, 7, 8] {
        assert_eq!(w.level(n), PermissionLevel::Alone, "n{n}");
    }
    w.propose(0, &version(2, &[0, 1, 2], "servers=9"));
    w.pass(S * 2);
    assert_eq!(w.acting_on(2), 6, "those that hear one another go on");
    w.cut.clear();
    w.pass(S * 2);
    assert_eq!(w.acting_on(2), 9);
    w.cut.extend([2, 7, 8]);
    w.pass(Duration::from_secs(63));
    assert_eq!(w.level(7), PermissionLevel::Mute, "out of touch for too long");
}

#[test]
fn a_member_gone_costs_nobody_its_lease() {
    for gone in 0..3 {
        let mut w = completed(9);
        w.kill(gone);
        for _ in 0..40 {
            w.pass(MS * 100);
            assert_eq!(w.acting_on(1), 8, "n{gone} gone, at {:?}", w.now);
        }
    }
}

#[test]
fn the_committee_gone_all_at_once_stops_what_is_fenced_and_nothing_else() {
    let mut w = completed(9);
    (0..3).for_each(|n| w.kill(n));
    w.pass(WITHIN + MS * 50);
    assert!((3..9).all(|n| w.level(n) == PermissionLevel::Alone));
    (0..3).for_each(|n| w.restart(n));
    w.pass(S * 5);
    assert_eq!(w.acting_on(1), 9);
}

#[test]
fn one_number_with_two_contents_is_refused_and_the_last_one_stands() {
    let mut w = completed(7);
    w.propose(0, &version(2, &[0, 1, 2], "servers=7 a"));
    w.propose(1, &version(2, &[0, 1, 2], "servers=7 b"));
    w.pass(S * 2);
    assert_eq!(w.acting_on(1), 7);
    assert_eq!(w.committed(5).unwrap().last, 2, "the number is used up");
    let refusals = w.all[0].member.as_ref().unwrap().refusals().to_vec();
    assert!(refusals[0].1.contains("two contents"), "{refusals:?}");
    w.propose(0, &version(3, &[0, 1, 2], "servers=7"));
    w.pass(S * 2);
    assert_eq!(w.acting_on(3), 7);
}

#[test]
fn a_version_that_one_server_can_not_go_by_is_refused_by_name() {
    let mut w = completed(7);
    w.propose(1, &version(2, &[0, 1, 2], "servers=7 misfit=n0006"));
    w.pass(S * 2);
    assert_eq!((w.acting_on(1), w.committed(6).unwrap().last), (7, 2));
    let refusals = w.all[2].member.as_ref().unwrap().refusals().to_vec();
    assert!(refusals[0].1.contains("n0006 refuses it: it has no such product"), "{refusals:?}");
}

#[test]
fn what_tightens_takes_effect_only_once_all_that_could_go_on_against_it_hold_it() {
    let mut w = completed(7);
    w.cut.insert(6);
    w.pass(MS * 100);
    w.propose(0, &version(2, &[0, 1, 2], "servers=7 restrictions"));
    w.pass(S * 3);
    assert_eq!(w.acting_on(1), 6, "n6 may still do what may run again");
    let refusals = w.all[0].member.as_ref().unwrap().refusals().to_vec();
    assert!(refusals[0].1.contains("n0006 may go on against it"), "{refusals:?}");
    w.pass(Duration::from_secs(63));
    w.propose(0, &version(3, &[0, 1, 2], "servers=7 restrictions"));
    w.pass(S * 3);
    assert_eq!(w.acting_on(3), 6, "n6 has been silent for so long that it has stopped");
    w.cut.clear();
    w.pass(S * 2);
    assert_eq!(w.acting_on(3), 7);
}

#[test]
fn a_draft_that_is_withdrawn_is_refused_or_in_force_and_nothing_between() {
    for late in 0..12 {
        let mut w = completed(7);
        w.propose(1, &version(2, &[0, 1, 2], "servers=7"));
        w.pass(MS * late / 2);
        let now = w.now;
        if let Some(m) = &mut w.all[0].member {
            struct Deaf;
            impl aldercrank_consensus::member::Ports for Deaf {
                fn send_request(
                    &mut self,
                    _: &aldercrank_consensus::ServerName,
                    _: aldercrank_consensus::CorrelationId,
                    _: aldercrank_consensus::PeerRequest,
                ) {
                }
                fn notify(&mut self, _: Option<aldercrank_consensus::VersionId>) {}
                fn keep(&mut self, _: &aldercrank_consensus::member::AcceptorState) {}
                fn read(
                    &mut self,
                    _: &aldercrank_consensus::VersionId,
                    _: &str,
                    _: Option<&aldercrank_consensus::ConfigVersion>,
                ) -> Option<aldercrank_consensus::messages::VersionSummary> {
                    None
                }
            }
            m.proposal_withdrawn(now, 2, &mut Deaf);
        }
        w.pass(S * 2);
        assert!([1, 2].iter().any(|book| w.acting_on(*book) == 7), "{late}");
        assert_eq!(w.committed(4).unwrap().last, 2, "it has been decided on");
    }
}

#[test]
fn the_committee_is_changed_by_a_version_and_the_new_one_decides() {
    let mut w = completed(9);
    w.propose(0, &version(2, &[0, 1, 5], "servers=9"));
    w.pass(S * 6);
    // n5 is told by its host that it is a member now; here nobody is, and two of three do.
    assert_eq!(w.acting_on(2), 9);
    w.propose(1, &version(3, &[0, 1, 5], "servers=9"));
    w.pass(S * 3);
    assert_eq!(w.acting_on(3), 9);
    w.propose(2, &version(4, &[0, 1, 5], "servers=9"));
    w.pass(S * 3);
    assert_eq!(w.acting_on(3), 9, "one that has left the committee decides nothing");
}

#[test]
fn shares_moved_while_one_side_is_cut_off_never_come_to_more_than_their_limit() {
    for (injected_fault, most) in [(None, 100..=100), (Some(InjectedFault::NoWait), 101..=1000)] {
        let mut w = World::new(8, &[0, 1, 2], 9, injected_fault);
        w.shares.borrow_mut().extend([(1, [20, 5]), (2, [5, 20]), (3, [20, 5])]);
        w.pass(S * 8);
        // Those that give up their part do not hear of it.
        w.cut.extend([4, 6]);
        w.pass(MS * 50);
        w.propose(0, &version(2, &[0, 1, 2], "servers=8"));
        w.pass(S * 3);
        w.cut.clear();
        w.propose(0, &version(3, &[0, 1, 2], "servers=8"));
        w.pass(S * 8);
        assert!(most.contains(&w.most_shares), "{injected_fault:?}: {}", w.most_shares);
    }
}

#[test]
fn a_flapping_partition_costs_leases_and_not_the_promise() {
    let mut w = completed(9);
    for n in 2..32 {
        if n % 2 == 0 {
            w.cut.extend([1, 6, 7]);
        } else {
            w.cut.clear();
        }
        w.propose(0, &version(n, &[0, 1, 2], "servers=9"));
        w.pass(MS * 300);
    }
    assert!(w.farthest <= WITHIN);
    w.cut.clear();
    w.pass(S * 3);
    let last = w.committed(0).unwrap().book.number;
    assert_eq!(w.acting_on(last), 9);
    assert!(last > 20, "versions take effect all the same: {last}");
}

/// Messages a server and second; how long a version takes until all act on it, in steps of one word; and the most
/// questions that a server asked meanwhile.
fn cost(servers: usize) -> (f64, f64, u32) {
    let mut w = World::new(servers, &[0, 1, 2], 3, None);
    w.delay = (MS * 4, MS * 4);
    w.pass(S * 5);
    let (before, from) = (w.messages, w.now);
    w.pass(S * 10);
    let each = (w.messages - before) as f64 / servers as f64 / (w.now - from).as_secs_f64();
    let from = w.now;
    let asked: Vec<u32> = w.all.iter().map(|p| p.exchanges).collect();
    w.propose(0, &version(2, &[0, 1, 2], &format!("servers={servers}")));
    while w.acting_on(2) < servers && w.now < from + S {
        w.pass(MS);
    }
    let asked = w.all.iter().zip(asked).map(|(p, before)| p.exchanges - before).max().unwrap();
    (each, (w.now - from).as_secs_f64() / 0.004, asked)
}

#[test]
fn agreement_costs_a_server_the_same_however_many_there_are() {
    let (few, steps_few, asked_few) = cost(10);
    let (many, steps_many, asked_many) = cost(1000);
    println!("10 servers: {few:.2} messages a server and second; in force after {steps_few} words, {asked_few} questions");
    println!("1000 servers: {many:.2}; {steps_many}, {asked_many}");
    assert!(many <= 2.0, "{many}");
    assert!(many <= few, "{many} {few}");
    // A server asks three times: for the draft, with what it makes of it, and what stands. One more where a
    // renewal falls in between.
    assert!(asked_few <= 4 && asked_many <= 4, "{asked_few} {asked_many}");
    assert!(steps_many <= 20.0, "{steps_many} {steps_few}");
}
