//! The agreement bound in a simulated fleet: under random faults, in the hard cases one by one, and what the protocol
//! costs as a fleet grows.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod simulated_fleet;
mod support;

use aldercrank_consensus::member::Refusal;
use aldercrank_consensus::{InjectedFault, PermissionLevel};
use simulated_fleet::{version, SimulatedFleet, AGREEMENT_BOUND, MILLISECOND};
use std::time::Duration;
use support::TestEnvironment;

const SECOND: Duration = Duration::from_secs(1);

/// Whether one member loses its acceptor state whenever it restarts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disks {
    AllMembers,
    AllButFirstMember,
}

/// A run with random faults and a new version every second or so.
fn random_run(seed: u64, injected_fault: Option<InjectedFault>, disks: Disks) -> SimulatedFleet {
    let servers = 5 + (seed % 4) as usize;
    let mut fleet = SimulatedFleet::new(servers, &[0, 1, 2], seed, injected_fault);
    for member in 0..3 {
        fleet.processes[member].has_disk = disks == Disks::AllMembers || member > 0;
    }
    fleet.run_for(SECOND * 4);
    let mut number = 1;
    for _ in 0..25 {
        random_fault(&mut fleet, servers, disks);
        number += 1;
        let properties = format!("servers={servers} {}", fleet.random.below(2));
        let proposed = version(number, &[0, 1, 2], &properties);
        let member = fleet.random.below(3) as usize;
        fleet.propose(member, &proposed);
        if fleet.random.one_in(4) {
            let other = version(number, &[0, 1, 2], &format!("servers={servers} another"));
            fleet.propose((member + 1) % 3, &other);
        }
        let span = 300 + fleet.random.below(1500) as u32;
        fleet.run_for(MILLISECOND * span);
    }
    fleet
}

fn random_fault(fleet: &mut SimulatedFleet, servers: usize, disks: Disks) {
    let index = fleet.random.below(servers as u64) as usize;
    match fleet.random.below(9) {
        0 => fleet.pause(index),
        1 | 2 => (0..servers).for_each(|index| fleet.resume(index)),
        3 if index > 2 || disks == Disks::AllMembers || index == 0 => fleet.kill(index),
        4 => (0..servers).for_each(|index| fleet.restart(index)),
        5 => {
            fleet.isolated.insert(index);
        }
        6 => {
            fleet.isolated.clear();
            fleet.broken_links.clear();
        }
        7 => {
            let to = fleet.random.below(servers as u64) as usize;
            fleet.broken_links.insert((index, to));
        }
        _ => {
            let slow = fleet.random.below(400) as u32;
            fleet.delay = (MILLISECOND / 5, MILLISECOND * (1 + slow));
            fleet.loss_one_in = if fleet.random.one_in(3) { 10 } else { 0 };
        }
    }
}

#[test]
fn versions_overlap_within_the_bound_under_random_faults() {
    let mut longest_overlap = Duration::ZERO;
    for seed in 0..120 {
        let fleet = random_run(seed, None, Disks::AllMembers);
        longest_overlap = longest_overlap.max(fleet.longest_overlap);
        assert!(
            fleet.longest_overlap <= AGREEMENT_BOUND,
            "seed {seed}: an older version was used {:?} after a newer one",
            fleet.longest_overlap
        );
        assert!(fleet.regressions.is_empty(), "seed {seed}: {:?}", fleet.regressions);
    }
    assert!(
        longest_overlap > AGREEMENT_BOUND / 4,
        "the faults are hard enough to show an error: {longest_overlap:?}"
    );
}

#[test]
fn versions_overlap_within_the_bound_where_a_member_loses_its_state() {
    for seed in 0..80 {
        let fleet = random_run(seed, None, Disks::AllButFirstMember);
        assert!(
            fleet.longest_overlap <= AGREEMENT_BOUND,
            "seed {seed}: an older version was used {:?} after a newer one",
            fleet.longest_overlap
        );
        assert!(fleet.regressions.is_empty(), "seed {seed}: {:?}", fleet.regressions);
    }
}

#[test]
fn each_injected_fault_is_detected_under_random_faults() {
    for injected_fault in
        [InjectedFault::LeaseFromResponse, InjectedFault::StaleLevelAfterPause, InjectedFault::NoLeaseCheck]
    {
        let found = (0..3000).find(|seed| {
            random_run(*seed, Some(injected_fault), Disks::AllMembers).longest_overlap > AGREEMENT_BOUND
        });
        assert!(found.is_some(), "{injected_fault:?}");
    }
}

fn refusals(fleet: &SimulatedFleet, member: usize) -> Vec<Refusal> {
    fleet.processes[member].member.as_ref().unwrap().refusals().to_vec()
}

/// A fleet in which all servers use version 1.
fn started_fleet(servers: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(servers, &[0, 1, 2], 5, None);
    fleet.run_for(SECOND * 4);
    assert_eq!(fleet.servers_using(1), servers);
    // By now every follower counts at one member alone.
    fleet.run_for(SECOND * 3);
    fleet
}

#[test]
fn a_version_is_in_use_on_all_servers_within_a_few_round_trips() {
    let mut fleet = started_fleet(12);
    let before = fleet.now;
    fleet.propose(2, &version(2, &[0, 1, 2], "servers=12"));
    while fleet.servers_using(2) < 12 && fleet.now < before + SECOND {
        fleet.run_for(MILLISECOND);
    }
    assert!(fleet.now - before < MILLISECOND * 300, "{:?}", fleet.now - before);
}

#[test]
fn an_isolated_minority_stops_within_the_bound_and_recovers() {
    let mut fleet = started_fleet(9);
    fleet.isolated.extend([2, 7, 8]);
    fleet.run_for(AGREEMENT_BOUND + MILLISECOND * 100);
    for n in [2, 7, 8] {
        assert_eq!(fleet.level(n), PermissionLevel::IdempotentOnly, "n{n}");
    }
    fleet.propose(0, &version(2, &[0, 1, 2], "servers=9"));
    fleet.run_for(SECOND * 2);
    assert_eq!(fleet.servers_using(2), 6, "connected servers go on");
    fleet.isolated.clear();
    fleet.run_for(SECOND * 2);
    assert_eq!(fleet.servers_using(2), 9);
    fleet.isolated.extend([2, 7, 8]);
    fleet.run_for(Duration::from_secs(63));
    assert_eq!(fleet.level(7), PermissionLevel::Denied, "isolated for too long");
}

#[test]
fn losing_one_member_costs_no_server_its_lease() {
    for lost in 0..3 {
        let mut fleet = started_fleet(9);
        fleet.kill(lost);
        for _ in 0..40 {
            fleet.run_for(MILLISECOND * 100);
            assert_eq!(fleet.servers_using(1), 8, "without n{lost}, at {:?}", fleet.now);
        }
    }
}

#[test]
fn losing_the_whole_committee_stops_fenced_items_alone() {
    let mut fleet = started_fleet(9);
    (0..3).for_each(|n| fleet.kill(n));
    fleet.run_for(AGREEMENT_BOUND + MILLISECOND * 50);
    assert!((3..9).all(|n| fleet.level(n) == PermissionLevel::IdempotentOnly));
    (0..3).for_each(|n| fleet.restart(n));
    fleet.run_for(SECOND * 5);
    assert_eq!(fleet.servers_using(1), 9);
}

#[test]
fn one_number_with_two_contents_is_refused_and_the_last_version_stays() {
    let mut fleet = started_fleet(7);
    fleet.propose(0, &version(2, &[0, 1, 2], "servers=7 a"));
    fleet.propose(1, &version(2, &[0, 1, 2], "servers=7 b"));
    fleet.run_for(SECOND * 2);
    assert_eq!(fleet.servers_using(1), 7);
    assert_eq!(fleet.committed(5).unwrap().last, 2, "the number is used up");
    let refusals = refusals(&fleet, 0);
    assert!(refusals[0].reason.contains("two contents"), "{refusals:?}");
    fleet.propose(0, &version(3, &[0, 1, 2], "servers=7"));
    fleet.run_for(SECOND * 2);
    assert_eq!(fleet.servers_using(3), 7);
}

#[test]
fn a_version_that_one_server_can_not_apply_is_refused_with_its_name() {
    let mut fleet = started_fleet(7);
    fleet.propose(1, &version(2, &[0, 1, 2], "servers=7 misfit=n0006"));
    fleet.run_for(SECOND * 2);
    assert_eq!((fleet.servers_using(1), fleet.committed(6).unwrap().last), (7, 2));
    let refusals = refusals(&fleet, 2);
    assert!(refusals[0].reason.contains("n0006 refuses it: it has no such request class"), "{refusals:?}");
}

#[test]
fn a_restriction_is_committed_only_once_every_possibly_active_server_is_ready() {
    let mut fleet = started_fleet(7);
    fleet.isolated.insert(6);
    fleet.run_for(MILLISECOND * 100);
    fleet.propose(0, &version(2, &[0, 1, 2], "servers=7 restrictions"));
    fleet.run_for(SECOND * 3);
    assert_eq!(fleet.servers_using(1), 6, "n6 may still run idempotent requests");
    let refusals = refusals(&fleet, 0);
    assert!(refusals[0].reason.contains("n0006 may go on against it"), "{refusals:?}");
    fleet.run_for(Duration::from_secs(63));
    fleet.propose(0, &version(3, &[0, 1, 2], "servers=7 restrictions"));
    fleet.run_for(SECOND * 3);
    assert_eq!(fleet.servers_using(3), 6, "n6 has been isolated for so long that it has stopped");
    fleet.isolated.clear();
    fleet.run_for(SECOND * 2);
    assert_eq!(fleet.servers_using(3), 7);
}

#[test]
fn a_withdrawn_proposal_is_either_refused_or_committed() {
    for late in 0..12 {
        let mut fleet = started_fleet(7);
        fleet.propose(1, &version(2, &[0, 1, 2], "servers=7"));
        fleet.run_for(MILLISECOND * late / 2);
        let now = fleet.now;
        if let Some(member) = &mut fleet.processes[0].member {
            // Its messages about it are lost.
            member.proposal_withdrawn(now, 2, &mut TestEnvironment::new(|_, _| None));
        }
        fleet.run_for(SECOND * 2);
        assert!([1, 2].iter().any(|number| fleet.servers_using(*number) == 7), "{late}");
        assert_eq!(fleet.committed(4).unwrap().last, 2, "the number is decided");
    }
}

/// A version that arrives during a decision is not remembered as read and forgotten.
#[test]
fn a_version_read_while_another_is_being_decided_is_decided_after_it() {
    for late in 0..16 {
        let mut fleet = started_fleet(7);
        fleet.delay = (MILLISECOND * 15, MILLISECOND * 15);
        (0..3).for_each(|member| fleet.propose(member, &version(2, &[0, 1, 2], "servers=7")));
        fleet.run_for(MILLISECOND * 10 * late);
        // Each member reads it once.
        (0..3).for_each(|member| fleet.propose(member, &version(3, &[0, 1, 2], "servers=7")));
        let end = fleet.now + SECOND;
        while fleet.servers_using(2) < 7 && fleet.now < end {
            fleet.run_for(MILLISECOND);
        }
        assert_eq!(fleet.servers_using(2), 7, "{late}");
        fleet.run_for(SECOND * 2);
        assert_eq!(fleet.servers_using(3), 7, "{late}");
    }
}

#[test]
fn a_version_changes_the_committee_and_the_new_one_decides() {
    let mut fleet = started_fleet(9);
    fleet.propose(0, &version(2, &[0, 1, 5], "servers=9"));
    fleet.run_for(SECOND * 6);
    // Nobody starts the new member n5 here; two of three members are a quorum.
    assert_eq!(fleet.servers_using(2), 9);
    fleet.propose(1, &version(3, &[0, 1, 5], "servers=9"));
    fleet.run_for(SECOND * 3);
    assert_eq!(fleet.servers_using(3), 9);
    fleet.propose(2, &version(4, &[0, 1, 5], "servers=9"));
    fleet.run_for(SECOND * 3);
    assert_eq!(fleet.servers_using(3), 9, "a former member decides nothing");
}

#[test]
fn quotas_moved_during_a_partition_never_exceed_their_limit() {
    for (injected_fault, most) in [(None, 100..=100), (Some(InjectedFault::NoHandoverWait), 101..=1000)] {
        let mut fleet = SimulatedFleet::new(8, &[0, 1, 2], 9, injected_fault);
        fleet.quotas.borrow_mut().extend([(1, [20, 5]), (2, [5, 20]), (3, [20, 5])]);
        fleet.run_for(SECOND * 8);
        // The servers whose quota shrinks do not learn of it.
        fleet.isolated.extend([4, 6]);
        fleet.run_for(MILLISECOND * 50);
        fleet.propose(0, &version(2, &[0, 1, 2], "servers=8"));
        fleet.run_for(SECOND * 3);
        fleet.isolated.clear();
        fleet.propose(0, &version(3, &[0, 1, 2], "servers=8"));
        fleet.run_for(SECOND * 8);
        assert!(most.contains(&fleet.largest_quota_sum), "{injected_fault:?}: {}", fleet.largest_quota_sum);
    }
}

#[test]
fn a_flapping_partition_costs_leases_but_never_exceeds_the_bound() {
    let mut fleet = started_fleet(9);
    for n in 2..32 {
        if n % 2 == 0 {
            fleet.isolated.extend([1, 6, 7]);
        } else {
            fleet.isolated.clear();
        }
        fleet.propose(0, &version(n, &[0, 1, 2], "servers=9"));
        fleet.run_for(MILLISECOND * 300);
    }
    assert!(fleet.longest_overlap <= AGREEMENT_BOUND);
    fleet.isolated.clear();
    fleet.run_for(SECOND * 3);
    let last = fleet.committed(0).unwrap().version_id.number;
    assert_eq!(fleet.servers_using(last), 9);
    assert!(last > 20, "versions are committed nevertheless: {last}");
}

/// What the protocol costs a fleet.
struct Cost {
    /// Per server and second, without a change of version.
    messages: f64,
    /// Time from a proposal to its use on all servers, in message delays.
    delays_to_use: f64,
    /// The most requests that one follower sent in that time.
    follower_requests: u32,
}

fn cost(servers: usize) -> Cost {
    let mut fleet = SimulatedFleet::new(servers, &[0, 1, 2], 3, None);
    let delay = MILLISECOND * 4;
    fleet.delay = (delay, delay);
    fleet.run_for(SECOND * 5);
    let (messages_before, from) = (fleet.messages, fleet.now);
    fleet.run_for(SECOND * 10);
    let messages = (fleet.messages - messages_before) as f64;
    let messages = messages / servers as f64 / (fleet.now - from).as_secs_f64();
    let from = fleet.now;
    let before: Vec<u32> = fleet.processes.iter().map(|process| process.follower_requests).collect();
    fleet.propose(0, &version(2, &[0, 1, 2], &format!("servers={servers}")));
    while fleet.servers_using(2) < servers && fleet.now < from + SECOND {
        fleet.run_for(MILLISECOND);
    }
    let requests = fleet.processes.iter().zip(before);
    let requests = requests.map(|(process, before)| process.follower_requests - before);
    let delays_to_use = (fleet.now - from).as_secs_f64() / delay.as_secs_f64();
    Cost { messages, delays_to_use, follower_requests: requests.max().unwrap() }
}

#[test]
fn the_message_rate_per_server_does_not_grow_with_the_fleet() {
    let (small, large) = (cost(10), cost(1000));
    for (servers, cost) in [(10, &small), (1000, &large)] {
        let Cost { messages, delays_to_use, follower_requests } = cost;
        println!("{servers} servers: {messages:.2} messages per server and second");
        println!("in use after {delays_to_use} message delays, {follower_requests} requests");
    }
    assert!(large.messages <= 2.0, "{}", large.messages);
    assert!(large.messages <= small.messages, "{} {}", large.messages, small.messages);
    // A follower sends three requests: for the text, with its evaluation, and for the committed state. One more where
    // a renewal falls in between.
    let (small_requests, large_requests) = (small.follower_requests, large.follower_requests);
    assert!(small_requests <= 4 && large_requests <= 4, "{small_requests} {large_requests}");
    assert!(large.delays_to_use <= 20.0, "{} {}", large.delays_to_use, small.delays_to_use);
}
