//! The agreement bound in a simulated fleet: under random faults and in single difficult cases. Also the number of
//! messages that the protocol needs as the fleet grows.

// Support code is private to this test, and some scenarios are long.
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

/// Which members keep their acceptor state over a restart.
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
            let longest_ms = 1 + fleet.random.below(400) as u32;
            fleet.delay = (MILLISECOND / 5, MILLISECOND * longest_ms);
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
        "the faults are too mild to reveal an error: longest overlap {longest_overlap:?}"
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
        let detecting_seed = (0..3000).find(|seed| {
            random_run(*seed, Some(injected_fault), Disks::AllMembers).longest_overlap > AGREEMENT_BOUND
        });
        assert!(detecting_seed.is_some(), "no seed below 3000 detects {injected_fault:?}");
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
    // Until every follower is in the tally of only one member.
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
    for index in [2, 7, 8] {
        assert_eq!(fleet.level(index), PermissionLevel::IdempotentOnly, "n{index}");
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
fn no_server_loses_its_lease_when_one_member_fails() {
    for failed in 0..3 {
        let mut fleet = started_fleet(9);
        fleet.kill(failed);
        for _ in 0..40 {
            fleet.run_for(MILLISECOND * 100);
            assert_eq!(fleet.servers_using(1), 8, "without n{failed}, at {:?}", fleet.now);
        }
    }
}

#[test]
fn losing_the_whole_committee_stops_only_fenced_items() {
    let mut fleet = started_fleet(9);
    (0..3).for_each(|index| fleet.kill(index));
    fleet.run_for(AGREEMENT_BOUND + MILLISECOND * 50);
    assert!((3..9).all(|index| fleet.level(index) == PermissionLevel::IdempotentOnly));
    (0..3).for_each(|index| fleet.restart(index));
    fleet.run_for(SECOND * 5);
    assert_eq!(fleet.servers_using(1), 9);
}

#[test]
fn two_texts_with_one_number_are_refused_and_the_committed_version_stays() {
    let mut fleet = started_fleet(7);
    fleet.propose(0, &version(2, &[0, 1, 2], "servers=7 a"));
    fleet.propose(1, &version(2, &[0, 1, 2], "servers=7 b"));
    fleet.run_for(SECOND * 2);
    assert_eq!(fleet.servers_using(1), 7);
    assert_eq!(fleet.committed(5).unwrap().last_decided, 2, "the number is used up");
    let refusals = refusals(&fleet, 0);
    assert!(refusals[0].reason.contains("two contents"), "{refusals:?}");
    fleet.propose(0, &version(3, &[0, 1, 2], "servers=7"));
    fleet.run_for(SECOND * 2);
    assert_eq!(fleet.servers_using(3), 7);
}

#[test]
fn a_version_that_one_server_cannot_apply_is_refused_and_the_reason_names_the_server() {
    let mut fleet = started_fleet(7);
    fleet.propose(1, &version(2, &[0, 1, 2], "servers=7 incompatible=n0006"));
    fleet.run_for(SECOND * 2);
    assert_eq!((fleet.servers_using(1), fleet.committed(6).unwrap().last_decided), (7, 2));
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
fn a_withdrawn_proposal_is_decided_the_same_way_on_all_servers() {
    for half_milliseconds in 0..12 {
        let mut fleet = started_fleet(7);
        fleet.propose(1, &version(2, &[0, 1, 2], "servers=7"));
        fleet.run_for(MILLISECOND * half_milliseconds / 2);
        let now = fleet.now;
        if let Some(member) = &mut fleet.processes[0].member {
            // The messages that the member sends now are lost.
            member.proposal_withdrawn(now, 2, &mut TestEnvironment::new(|_, _| None));
        }
        fleet.run_for(SECOND * 2);
        assert!(
            [1, 2].iter().any(|number| fleet.servers_using(*number) == 7),
            "withdrawn after {half_milliseconds} half milliseconds"
        );
        assert_eq!(fleet.committed(4).unwrap().last_decided, 2, "the number is decided");
    }
}

/// Guards against losing a version that a member reads while a lower number is being decided: the member does not read
/// it again.
#[test]
fn a_version_read_while_another_is_being_decided_is_decided_after_it() {
    for delay in (0..16).map(|step| MILLISECOND * 10 * step) {
        let mut fleet = started_fleet(7);
        fleet.delay = (MILLISECOND * 15, MILLISECOND * 15);
        (0..3).for_each(|member| fleet.propose(member, &version(2, &[0, 1, 2], "servers=7")));
        fleet.run_for(delay);
        // Each member reads the version only once.
        (0..3).for_each(|member| fleet.propose(member, &version(3, &[0, 1, 2], "servers=7")));
        let end = fleet.now + SECOND;
        while fleet.servers_using(2) < 7 && fleet.now < end {
            fleet.run_for(MILLISECOND);
        }
        assert_eq!(fleet.servers_using(2), 7, "version 3 read after {delay:?}");
        fleet.run_for(SECOND * 2);
        assert_eq!(fleet.servers_using(3), 7, "version 3 read after {delay:?}");
    }
}

#[test]
fn the_committee_that_a_version_names_decides_on_the_next_version() {
    let mut fleet = started_fleet(9);
    fleet.propose(0, &version(2, &[0, 1, 5], "servers=9"));
    fleet.run_for(SECOND * 6);
    // This test does not start the new member on n5; the other two members are a quorum.
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
    for (injected_fault, expected_sums) in
        [(None, 100..=100), (Some(InjectedFault::NoHandoverWait), 101..=1000)]
    {
        let mut fleet = SimulatedFleet::new(8, &[0, 1, 2], 9, injected_fault);
        fleet.quotas.borrow_mut().extend([(1, [20, 5]), (2, [5, 20]), (3, [20, 5])]);
        fleet.run_for(SECOND * 8);
        // Two servers whose quota decreases do not learn of the new version.
        fleet.isolated.extend([4, 6]);
        fleet.run_for(MILLISECOND * 50);
        fleet.propose(0, &version(2, &[0, 1, 2], "servers=8"));
        fleet.run_for(SECOND * 3);
        fleet.isolated.clear();
        fleet.propose(0, &version(3, &[0, 1, 2], "servers=8"));
        fleet.run_for(SECOND * 8);
        let largest_quota_sum = fleet.largest_quota_sum;
        assert!(expected_sums.contains(&largest_quota_sum), "{injected_fault:?}: {largest_quota_sum}");
    }
}

#[test]
fn versions_overlap_within_the_bound_under_a_flapping_partition() {
    let mut fleet = started_fleet(9);
    for number in 2..32 {
        if number % 2 == 0 {
            fleet.isolated.extend([1, 6, 7]);
        } else {
            fleet.isolated.clear();
        }
        fleet.propose(0, &version(number, &[0, 1, 2], "servers=9"));
        fleet.run_for(MILLISECOND * 300);
    }
    assert!(fleet.longest_overlap <= AGREEMENT_BOUND);
    fleet.isolated.clear();
    fleet.run_for(SECOND * 3);
    let last = fleet.committed(0).unwrap().version_id.number;
    assert_eq!(fleet.servers_using(last), 9);
    assert!(last > 20, "too few versions were committed meanwhile: the last is {last}");
}

/// Cost of the protocol in a fleet.
struct ProtocolCost {
    /// Messages per server and second while the version does not change.
    message_rate: f64,
    /// Time from a proposal to its use on all servers, in message delays.
    delays_to_use: f64,
    /// Largest number of requests that one follower sent in that time.
    follower_requests: u32,
}

fn measure_cost(servers: usize) -> ProtocolCost {
    let mut fleet = SimulatedFleet::new(servers, &[0, 1, 2], 3, None);
    let delay = MILLISECOND * 4;
    fleet.delay = (delay, delay);
    fleet.run_for(SECOND * 5);
    let (messages_before, from) = (fleet.messages, fleet.now);
    fleet.run_for(SECOND * 10);
    let messages = (fleet.messages - messages_before) as f64;
    let message_rate = messages / servers as f64 / (fleet.now - from).as_secs_f64();
    let from = fleet.now;
    let before: Vec<u32> = fleet.processes.iter().map(|process| process.follower_requests).collect();
    fleet.propose(0, &version(2, &[0, 1, 2], &format!("servers={servers}")));
    while fleet.servers_using(2) < servers && fleet.now < from + SECOND {
        fleet.run_for(MILLISECOND);
    }
    let requests = fleet.processes.iter().zip(before);
    let requests = requests.map(|(process, before)| process.follower_requests - before);
    let delays_to_use = (fleet.now - from).as_secs_f64() / delay.as_secs_f64();
    ProtocolCost { message_rate, delays_to_use, follower_requests: requests.max().unwrap() }
}

#[test]
fn the_message_rate_per_server_does_not_grow_with_the_fleet() {
    let (small, large) = (measure_cost(10), measure_cost(1000));
    for (servers, cost) in [(10, &small), (1000, &large)] {
        let ProtocolCost { message_rate, delays_to_use, follower_requests } = cost;
        println!("{servers} servers: {message_rate:.2} messages per server and second");
        println!("in use after {delays_to_use} message delays, {follower_requests} requests");
    }
    let (small_rate, large_rate) = (small.message_rate, large.message_rate);
    assert!(large_rate <= 2.0, "{large_rate} messages per server and second");
    assert!(large_rate <= small_rate, "{large_rate} with 1000 servers, {small_rate} with 10");
    // A follower sends three requests: to fetch the text, to report its evaluation, and to renew on the committed
    // state. A regular renewal in between adds one.
    let (small_requests, large_requests) = (small.follower_requests, large.follower_requests);
    assert!(small_requests <= 4 && large_requests <= 4, "{small_requests} and {large_requests} requests");
    let (small_delays, large_delays) = (small.delays_to_use, large.delays_to_use);
    assert!(large_delays <= 20.0, "{large_delays} message delays with 1000 servers, {small_delays} with 10");
}
