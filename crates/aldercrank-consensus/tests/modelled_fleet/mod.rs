//! The state of the modelled fleet: its processes, the messages between them, and the invariants that it violates.

// Support code is private to this test, and some scenarios are long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use crate::support::{RecordedActions, SentRequest, TestEnvironment};
use aldercrank_consensus::member::AcceptorState;
use aldercrank_consensus::messages::VersionSummary;
use aldercrank_consensus::{
    CommitteeMember, ConfigVersion, CorrelationId, Follower, MemberIdentity, PeerRequest, PeerResponse,
    PermissionLevel, QuotaHandover, ServerName, Timing, VersionId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

pub const AGREEMENT_BOUND: Duration = Duration::from_secs(2);
pub const STEP: Duration = Duration::from_millis(250);
pub const MEMBERS: usize = 3;
/// Members come first, then followers.
pub const PROCESSES: usize = 5;
pub const FOLLOWERS: usize = PROCESSES - MEMBERS;
/// Steps within which a proposal is decided while all processes are connected.
pub const STEPS_TO_DECIDE: u8 = 6;

pub fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("n{index}"))
}

pub fn index_of(name: &ServerName) -> usize {
    name.0[1..].parse().unwrap()
}

pub fn committee() -> Vec<ServerName> {
    (0..MEMBERS).map(server_name).collect()
}

/// A version of this number, with one of several contents.
pub fn version(number: u64, content: u8) -> ConfigVersion {
    let mut digest = [0; 32];
    (digest[0], digest[1]) = (number as u8, content);
    ConfigVersion { version_id: VersionId { number, digest }, text: Arc::from(format!("{number} {content}")) }
}

pub fn summarize(version_id: &VersionId, text: &str) -> Option<VersionSummary> {
    let (number, content) = text.split_once(' ')?;
    let matches = version(number.parse().ok()?, content.parse().ok()?).version_id == *version_id;
    matches.then(|| VersionSummary { committee: committee(), ..VersionSummary::default() })
}

pub fn environment() -> TestEnvironment {
    TestEnvironment::new(summarize)
}

/// Which state machine sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Follower,
    Member,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Payload {
    Request { sender: Role, correlation_id: CorrelationId, request: PeerRequest },
    Response { sender: Role, correlation_id: CorrelationId, response: PeerResponse },
    Notification { proposed: Option<VersionId> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    pub from: usize,
    pub to: usize,
    pub payload: Payload,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Duration,
    pub members: Vec<Option<CommitteeMember>>,
    pub stored_acceptor_states: Vec<Option<AcceptorState>>,
    pub incarnations: Vec<u64>,
    pub followers: Vec<Follower>,
    /// Number of the version that each follower uses.
    pub versions_in_use: Vec<Option<u64>>,
    pub quotas: Vec<QuotaHandover<u32>>,
    /// For each follower, the member that it asked last and that notifies it.
    pub connections: BTreeMap<usize, usize>,
    pub paused: BTreeSet<usize>,
    /// Processes that can exchange messages only among themselves.
    pub isolated: BTreeSet<usize>,
    /// Links that lose all messages, as sender and recipient.
    pub broken_links: BTreeSet<(usize, usize)>,
    /// Links whose messages wait until they are released, as sender and recipient.
    pub delayed_links: BTreeSet<(usize, usize)>,
    pub in_transit: VecDeque<Message>,
    pub delayed: Vec<Message>,
    pub proposals: u8,
    pub faults: u8,
    pub steps: u8,
    /// Steps since the last other action, counted only while no fault is in effect and all members are active.
    pub quiet_steps: u8,
    /// When each version was first used.
    pub first_use: BTreeMap<u64, Duration>,
    pub violation: Option<&'static str>,
    pub largest_quota_sum: u32,
}

/// How delayed messages arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Release {
    Once,
    Twice,
    Reversed,
}

/// Whether members keep their acceptor state over a crash.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disks {
    Present,
    Absent,
}

/// The quota that the version of this number gives a follower.
pub fn quota(number: u64, process: usize) -> u32 {
    if (number as usize + process).is_multiple_of(2) {
        8
    } else {
        2
    }
}

impl State {
    pub fn begin_incarnation(&mut self, member: usize, timing: Timing, disks: Disks) {
        self.incarnations[member] += 1;
        let stored = self.stored_acceptor_states[member].clone();
        let acceptor_state = stored.filter(|_| disks == Disks::Present);
        let identity = MemberIdentity { name: server_name(member), incarnation: self.incarnations[member] };
        let mut environment = environment();
        self.members[member] =
            CommitteeMember::new(self.now, identity, version(1, 0), acceptor_state, timing, &mut environment);
        self.perform(member, Role::Member, environment.actions);
    }

    pub fn send(&mut self, from: usize, to: usize, payload: Payload) {
        self.in_transit.push_back(Message { from, to, payload });
    }

    pub fn perform(&mut self, from: usize, sender: Role, actions: RecordedActions) {
        for SentRequest { to, correlation_id, request } in actions.requests {
            let to = index_of(&to);
            if sender == Role::Follower {
                self.connections.insert(from, to);
            }
            self.send(from, to, Payload::Request { sender, correlation_id, request });
        }
        if let Some(acceptor_state) = actions.acceptor_state {
            self.stored_acceptor_states[from] = Some(acceptor_state);
        }
        if let Some(proposed) = actions.notification {
            let connected = self.connections.iter().filter(|(_, member)| **member == from);
            let connected: Vec<usize> = connected.map(|(follower, _)| *follower).collect();
            for follower in connected {
                self.send(from, follower, Payload::Notification { proposed });
            }
        }
        if let Some(committed) = actions.committed {
            let (follower, number) = (from - MEMBERS, committed.number);
            if self.versions_in_use[follower].is_some_and(|before| before > number) {
                self.violation = Some("a follower went back to an older version");
            }
            self.versions_in_use[follower] = Some(number);
            self.quotas[follower].version_committed(self.now, quota(number, from), committed.committed_for);
        }
    }

    /// Delivers messages until none is in transit.
    pub fn deliver(&mut self) {
        while let Some(message) = self.in_transit.pop_front() {
            let link = (message.from, message.to);
            let partitioned = self.isolated.contains(&link.0) != self.isolated.contains(&link.1);
            if partitioned || self.broken_links.contains(&link) {
                continue;
            }
            if self.delayed_links.contains(&link) || self.paused.contains(&message.to) {
                self.delayed.push(message);
                continue;
            }
            self.receive(message);
        }
        self.use_versions();
    }

    pub fn receive(&mut self, Message { from, to, payload }: Message) {
        let (mut environment, now) = (environment(), self.now);
        match payload {
            Payload::Request { sender, correlation_id, request } => {
                let Some(member) = self.members[to].as_mut() else { return };
                let response = member.handle_request(now, request, &mut environment);
                self.perform(to, Role::Member, environment.actions);
                return self.send(to, from, Payload::Response { sender, correlation_id, response });
            }
            Payload::Response { sender: Role::Member, correlation_id, response } => {
                if let Some(member) = self.members[to].as_mut() {
                    member.handle_response(now, correlation_id, response, &mut environment);
                }
            }
            Payload::Response { sender: Role::Follower, correlation_id, response } => {
                let follower = &mut self.followers[to - MEMBERS];
                follower.handle_response(now, correlation_id, response, &mut environment);
            }
            Payload::Notification { proposed } => {
                self.followers[to - MEMBERS].notification_received(now, proposed, &mut environment)
            }
        }
        let role = if to < MEMBERS { Role::Member } else { Role::Follower };
        self.perform(to, role, environment.actions);
        self.use_versions();
    }

    pub fn fire_timer(&mut self, process: usize) {
        let (mut environment, now) = (environment(), self.now);
        if process >= MEMBERS {
            self.followers[process - MEMBERS].timer_fired(now, &mut environment);
            return self.perform(process, Role::Follower, environment.actions);
        }
        if let Some(member) = self.members[process].as_mut() {
            member.timer_fired(now, &mut environment);
        }
        self.perform(process, Role::Member, environment.actions);
    }

    /// Calls a member and performs its actions. Returns `None` if the member does not run.
    pub fn with_member(
        &mut self,
        member: usize,
        handle: impl FnOnce(&mut CommitteeMember, Duration, &mut TestEnvironment),
    ) -> Option<()> {
        let (mut environment, now) = (environment(), self.now);
        handle(self.members[member].as_mut()?, now, &mut environment);
        self.perform(member, Role::Member, environment.actions);
        Some(())
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let connected = self.isolated.is_empty()
            && self.delayed_links.is_empty()
            && self.broken_links.is_empty()
            && self.paused.is_empty();
        let active = self.members.iter().flatten().all(CommitteeMember::is_active);
        self.quiet_steps = if connected && active { self.quiet_steps + 1 } else { 0 };
        let undecided = self.members.iter().flatten().any(|member| member.proposed().is_some());
        if self.quiet_steps > STEPS_TO_DECIDE && undecided {
            self.violation = Some("a proposal is not decided though all processes are connected");
        }
        for process in (0..PROCESSES).filter(|process| !self.paused.contains(process)).collect::<Vec<_>>() {
            self.fire_timer(process);
        }
        self.deliver();
    }

    /// Lets every follower use its version if it may, and checks the invariants.
    pub fn use_versions(&mut self) {
        let mut quota_sum = 0;
        for follower in 0..FOLLOWERS {
            if self.paused.contains(&(follower + MEMBERS))
                || self.followers[follower].level(self.now) != PermissionLevel::Full
            {
                continue;
            }
            let Some(number) = self.versions_in_use[follower] else { continue };
            quota_sum += self.quotas[follower].available(self.now).quota;
            self.first_use.entry(number).or_insert(self.now);
            let newer = self.first_use.range(number + 1..).map(|(_, first)| *first).min();
            if newer.is_some_and(|first| self.now - first > AGREEMENT_BOUND) {
                self.violation = Some("two versions are in use for longer than the bound");
            }
        }
        self.largest_quota_sum = self.largest_quota_sum.max(quota_sum);
    }

    /// Removes and returns the delayed messages that the filter selects.
    pub fn take_delayed(&mut self, selected: impl Fn(&Message) -> bool) -> Vec<Message> {
        let (taken, kept) = self.delayed.drain(..).partition(selected);
        self.delayed = kept;
        taken
    }

    pub fn release_delayed(&mut self, release: Release) {
        let links = std::mem::take(&mut self.delayed_links);
        let mut messages = self.take_delayed(|message| links.contains(&(message.from, message.to)));
        if release == Release::Reversed {
            messages.reverse();
        }
        let again = if release == Release::Twice { messages.clone() } else { Vec::new() };
        self.in_transit.extend(messages.into_iter().chain(again));
        self.deliver();
    }

    /// Drops delayed messages from and to a process.
    pub fn drop_delayed(&mut self, process: usize) {
        self.delayed.retain(|message| message.from != process && message.to != process);
    }
}
