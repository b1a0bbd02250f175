//! Model checking of the state machines: three members and two followers under faults, in steps of an eighth of the
//! agreement bound. Messages arrive in order, in the step in which they were sent, unless their link loses or delays
//! them or their recipient is paused. Delayed messages arrive later, once or twice, in order or reversed.
//!
//! The histories are bounded by their numbers of steps, faults and proposals, and explored breadth first, up to a limit
//! on the number of generated states. Where that limit is reached first, the longest histories are not explored.

// Support code is private to this test, and some scenarios are long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod modelled_fleet;
mod support;

use aldercrank_consensus::{Follower, InjectedFault, PermissionLevel, QuotaHandover, Timing};
use modelled_fleet::{
    committee, server_name, version, Disks, Release, State, AGREEMENT_BOUND, FOLLOWERS, MEMBERS, PROCESSES,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const ISOLATION_LIMIT: Duration = Duration::from_secs(60);
/// Steps after which all followers have a lease on the first version.
const STEPS_TO_START: usize = 28;
/// Sum of the two followers' quotas in each version.
const QUOTA_LIMIT: u32 = 10;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// Time passes: timers fire, and messages are delivered.
    Step,
    Propose {
        member: usize,
        content: u8,
    },
    Pause(usize),
    Resume(usize),
    Isolate(usize),
    Reconnect,
    DelayLink(usize, usize),
    ReleaseDelayed(Release),
    /// A member restarts at once; [`Disks`] says whether it keeps its acceptor state.
    Crash(usize),
    BreakLink(usize, usize),
    /// The member learns that the last proposal was withdrawn.
    Withdraw(usize),
    /// The initial version is proposed to the member again, and then another version with the same number.
    ProposeOld(usize),
    /// A follower is replaced by a new one without a known version.
    ReplaceFollower(usize),
}

struct FleetModel {
    injected_fault: Option<InjectedFault>,
    disks: Disks,
    max_steps: u8,
    max_faults: u8,
    max_proposals: u8,
    /// Faults that may occur.
    faults: Vec<Action>,
}

impl FleetModel {
    fn timing(&self) -> Timing {
        let mut timing = Timing::new(AGREEMENT_BOUND, ISOLATION_LIMIT);
        timing.injected_fault = self.injected_fault;
        timing
    }

    fn new_follower(&self, process: usize) -> Follower {
        Follower::new(server_name(process), committee(), process as u64, self.timing())
    }

    /// A fleet in which all followers have a lease on version 1.
    fn started_fleet(&self) -> State {
        let mut state = State {
            now: Duration::ZERO,
            members: vec![None; MEMBERS],
            stored_acceptor_states: vec![None; MEMBERS],
            incarnations: vec![0; MEMBERS],
            followers: (MEMBERS..PROCESSES).map(|process| self.new_follower(process)).collect(),
            versions_in_use: vec![None; FOLLOWERS],
            quotas: vec![QuotaHandover::new(self.timing(), Duration::ZERO); FOLLOWERS],
            connections: BTreeMap::new(),
            paused: BTreeSet::new(),
            isolated: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            delayed_links: BTreeSet::new(),
            in_transit: VecDeque::new(),
            delayed: Vec::new(),
            proposals: 0,
            faults: 0,
            steps: 0,
            quiet_steps: 0,
            first_use: BTreeMap::new(),
            violation: None,
            largest_quota_sum: 0,
        };
        (0..MEMBERS).for_each(|member| state.begin_incarnation(member, self.timing(), self.disks));
        for _ in 0..STEPS_TO_START {
            state.step();
        }
        let level = |follower: &Follower| follower.level(state.now);
        assert!(state.followers.iter().all(|follower| level(follower) == PermissionLevel::Full));
        state.steps = 0;
        state
    }
}

impl Model for FleetModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.started_fleet()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.steps >= self.max_steps || state.violation.is_some() {
            return;
        }
        actions.push(Action::Step);
        if state.proposals < self.max_proposals {
            let content = state.proposals;
            actions.extend([0, 2].map(|member| Action::Propose { member, content }));
            if state.proposals > 0 {
                actions.push(Action::Propose { member: 1, content: content + SAME_NUMBER });
            }
        }
        actions.extend(state.paused.iter().map(|process| Action::Resume(*process)));
        if !state.isolated.is_empty() || !state.broken_links.is_empty() {
            actions.push(Action::Reconnect);
        }
        if !state.delayed.is_empty() && !state.delayed_links.is_empty() {
            actions.extend([Release::Once, Release::Twice, Release::Reversed].map(Action::ReleaseDelayed));
        }
        if state.faults < self.max_faults {
            let possible = |fault: &&Action| match fault {
                Action::Pause(process) => !state.paused.contains(process),
                Action::Isolate(process) => !state.isolated.contains(process),
                _ => true,
            };
            actions.extend(self.faults.iter().filter(possible).cloned());
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let is_fault = !matches!(
            action,
            Action::Step
                | Action::Propose { .. }
                | Action::Resume(_)
                | Action::Reconnect
                | Action::ReleaseDelayed(_)
        );
        state.faults += u8::from(is_fault);
        if action != Action::Step {
            state.quiet_steps = 0;
        }
        self.apply(&mut state, action)?;
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(INVARIANT, |_, state: &State| state.violation.is_none()),
            Property::always(QUOTAS_WITHIN_LIMIT, |_, state: &State| state.largest_quota_sum <= QUOTA_LIMIT),
            Property::sometimes(VERSION_COMMITTED, |_, state: &State| state.first_use.contains_key(&2)),
            Property::sometimes(VERSION_REFUSED, |model: &FleetModel, state: &State| {
                model.max_proposals < 2
                    || state.members[1].as_ref().is_some_and(|member| {
                        member.committed().last_decided != member.committed().version_id.number
                    })
            }),
        ]
    }
}

/// Added to the content of a proposal that reuses the number of the proposal before it.
const SAME_NUMBER: u8 = 10;
/// Content of a proposal that reuses the number of the initial version.
const OTHER_INITIAL_CONTENT: u8 = 30;

const INVARIANT: &str = "versions overlap within the bound, never go back, and are decided";
const QUOTAS_WITHIN_LIMIT: &str = "quotas stay within their limit";
const VERSION_COMMITTED: &str = "a version is committed";
const VERSION_REFUSED: &str = "a version is refused";

impl FleetModel {
    /// Performs an action. Returns `None` if it is not possible in this state.
    fn apply(&self, state: &mut State, action: Action) -> Option<()> {
        match action {
            Action::Step => state.step(),
            Action::Propose { member, content } => {
                state.proposals += 1;
                if state.paused.contains(&member) {
                    return None;
                }
                let number = 1 + u64::from(state.proposals) - u64::from(content >= SAME_NUMBER);
                state.with_member(member, |member, now, environment| {
                    let _ = member.version_proposed(now, version(number, content), environment);
                })?;
                state.deliver();
            }
            Action::Pause(process) => drop(state.paused.insert(process)),
            Action::Resume(process) => {
                state.paused.remove(&process);
                // It may use its version before it handles the messages that have arrived.
                state.use_versions();
                let messages = state.take_delayed(|message| message.to == process);
                state.in_transit.extend(messages);
                state.deliver();
            }
            Action::Isolate(process) => drop(state.isolated.insert(process)),
            Action::Reconnect => {
                state.isolated.clear();
                state.broken_links.clear();
            }
            Action::BreakLink(from, to) => drop(state.broken_links.insert((from, to))),
            Action::Withdraw(member) => {
                let number = 1 + u64::from(state.proposals);
                state.with_member(member, |member, now, environment| {
                    member.proposal_withdrawn(now, number, environment);
                })?;
                state.deliver();
            }
            Action::ProposeOld(member) => {
                for content in [0, OTHER_INITIAL_CONTENT] {
                    state.with_member(member, |member, now, environment| {
                        let _ = member.version_proposed(now, version(1, content), environment);
                    })?;
                }
                state.deliver();
            }
            Action::ReplaceFollower(process) => {
                let follower = process - MEMBERS;
                state.followers[follower] = self.new_follower(process);
                state.versions_in_use[follower] = None;
                state.quotas[follower] = QuotaHandover::new(self.timing(), Duration::ZERO);
                state.drop_delayed(process);
            }
            Action::DelayLink(from, to) => drop(state.delayed_links.insert((from, to))),
            Action::ReleaseDelayed(release) => state.release_delayed(release),
            Action::Crash(member) => {
                state.drop_delayed(member);
                state.begin_incarnation(member, self.timing(), self.disks);
                state.deliver();
            }
        }
        Some(())
    }
}

/// Faults of every kind. Member 1 stays available: it is never paused, isolated or crashed.
fn all_faults() -> Vec<Action> {
    let processes = (0..PROCESSES).filter(|process| *process != 1);
    let mut faults: Vec<Action> =
        processes.clone().map(Action::Pause).chain(processes.map(Action::Isolate)).collect();
    let last = PROCESSES - 1;
    faults.extend([(0, 1), (2, 0), (0, last), (1, last), (2, last)].map(|(a, b)| Action::DelayLink(a, b)));
    faults.extend([0, 2].map(Action::Crash));
    faults.extend([(0, 2), (2, 1), (1, 0), (0, 3), (3, 0)].map(|(a, b)| Action::BreakLink(a, b)));
    faults.extend([Action::Withdraw(0), Action::Withdraw(2), Action::ProposeOld(0)]);
    faults.extend([Action::ReplaceFollower(3), Action::ReplaceFollower(4)]);
    faults
}

struct Exploration {
    states: usize,
    violated: Vec<&'static str>,
}

/// Explores until the checker has generated about this many states, duplicates included.
fn explore(model: FleetModel, target_states: usize) -> Exploration {
    let checker = model.checker().threads(4).target_state_count(target_states).spawn_bfs().join();
    let found = checker.discoveries();
    let invariants = [INVARIANT, QUOTAS_WITHIN_LIMIT];
    let violated: Vec<&str> = invariants.into_iter().filter(|name| found.contains_key(name)).collect();
    let states = checker.unique_state_count();
    if violated.is_empty() {
        let expected = [VERSION_COMMITTED, VERSION_REFUSED];
        let never: Vec<&str> = expected.into_iter().filter(|name| !found.contains_key(name)).collect();
        println!("{states} states, {} deep, never reached: {never:?}", checker.max_depth());
        assert!(never.is_empty(), "the model exercises too little; never reached: {never:?}");
    }
    Exploration { states, violated }
}

#[test]
fn no_single_fault_violates_an_invariant() {
    for disks in [Disks::Present, Disks::Absent] {
        let faults = all_faults();
        let model = FleetModel {
            injected_fault: None,
            disks,
            max_steps: 16,
            max_faults: 1,
            max_proposals: 1,
            faults,
        };
        let Exploration { states, violated } = explore(model, 200_000);
        assert!(violated.is_empty() && states > 30_000, "{states} states, violated: {violated:?}");
    }
}

#[test]
fn no_two_faults_with_two_proposals_violate_an_invariant() {
    let (faults, disks) = (all_faults(), Disks::Present);
    let model =
        FleetModel { injected_fault: None, disks, max_steps: 10, max_faults: 2, max_proposals: 2, faults };
    let Exploration { states, violated } = explore(model, 150_000);
    assert!(violated.is_empty() && states > 50_000, "{states} states, violated: {violated:?}");
}

#[test]
fn each_injected_fault_violates_its_invariant_and_without_it_nothing_does() {
    use Action::{DelayLink, Isolate, Pause};
    let delays = vec![DelayLink(0, 4), DelayLink(1, 4), DelayLink(2, 4), Pause(4)];
    for (injected_fault, invariant, faults) in [
        (InjectedFault::LeaseFromResponse, INVARIANT, delays),
        (InjectedFault::StaleLevelAfterPause, INVARIANT, vec![Pause(4), Pause(3)]),
        (InjectedFault::NoLeaseCheck, INVARIANT, vec![Isolate(4), Isolate(3)]),
        (InjectedFault::NoHandoverWait, QUOTAS_WITHIN_LIMIT, vec![Isolate(4), Isolate(3)]),
    ] {
        let model = |injected_fault| {
            let (faults, disks) = (faults.clone(), Disks::Present);
            FleetModel { injected_fault, disks, max_steps: 20, max_faults: 2, max_proposals: 1, faults }
        };
        let Exploration { states, violated } = explore(model(Some(injected_fault)), 400_000);
        println!("{injected_fault:?}: {violated:?} among {states} states");
        assert!(violated.contains(&invariant), "{injected_fault:?}: {violated:?} in {states} states");
        let Exploration { states, violated } = explore(model(None), 400_000);
        assert!(violated.is_empty(), "without {injected_fault:?}: {violated:?} in {states} states");
    }
}
