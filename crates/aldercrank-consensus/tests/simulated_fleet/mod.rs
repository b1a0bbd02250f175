//! A simulated fleet in virtual time: servers, their committee, faults, and the data for the invariant checks. Every
//! server that may use its version does. The invariant is that no server uses an older version for longer than the
//! agreement bound after another one has used a newer one; [`SimulatedFleet::longest_overlap`] records that time.

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
    CommittedState, CommitteeMember, ConfigVersion, CorrelationId, Follower, InjectedFault, MemberIdentity,
    PeerRequest, PeerResponse, PermissionLevel, QuotaHandover, ServerName, Timing, VersionId,
};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub const MILLISECOND: Duration = Duration::from_millis(1);
pub const AGREEMENT_BOUND: Duration = Duration::from_secs(2);
const ISOLATION_LIMIT: Duration = Duration::from_secs(60);

/// A self-contained random generator, so that a seed gives the same run on every platform.
pub struct RandomGenerator(u64);

impl RandomGenerator {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) * limit) >> 31
    }

    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

pub fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("n{index:04}"))
}

/// A version whose text is its number, its committee, and its properties, separated by spaces: `servers=COUNT`,
/// `incompatible=NAME` (that server can't apply it), and `restrictions` (the version restricts what servers may do).
pub fn version(number: u64, committee: &[usize], properties: &str) -> ConfigVersion {
    let members: Vec<String> = committee.iter().map(|index| server_name(*index).to_string()).collect();
    let text = format!("{number};{};{properties}", members.join(","));
    let mut digest = [0; 32];
    let hash = text
        .bytes()
        .fold(0xcbf29ce484222325u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3));
    digest[..8].copy_from_slice(&hash.to_le_bytes());
    ConfigVersion { version_id: VersionId { number, digest }, text: Arc::from(text) }
}

/// Parses the text of a version for one server.
fn summarize(own_name: &ServerName, version_id: &VersionId, text: &str) -> Option<VersionSummary> {
    let parts: Vec<&str> = text.split(';').collect();
    if parse_version(text).version_id != *version_id {
        return None;
    }
    let property = |key: &str| parts[2].split(' ').find_map(|property| property.strip_prefix(key));
    let servers = property("servers=").map(|count| (0..count.parse().unwrap()).map(server_name).collect());
    let incompatibility = property("incompatible=").filter(|name| **name == *own_name.0);
    let restrictions = property("restrictions").map(|_| "a request class may not run again".to_string());
    Some(VersionSummary {
        incompatibility: incompatibility.map(|_| "it has no such request class".to_string()),
        committee: parts[1].split(',').map(ServerName::new).collect(),
        servers,
        restrictions: restrictions.into_iter().collect(),
    })
}

fn parse_version(text: &str) -> ConfigVersion {
    let parts: Vec<&str> = text.split(';').collect();
    let members: Vec<usize> = parts[1].split(',').map(|member| member[1..].parse().unwrap()).collect();
    version(parts[0].parse().unwrap(), &members, parts[2])
}

fn environment(own_name: ServerName) -> TestEnvironment {
    TestEnvironment::new(move |version_id, text| summarize(&own_name, version_id, text))
}

#[derive(Clone, Debug)]
enum Event {
    Request { from: usize, to: usize, correlation_id: CorrelationId, sender: Role, request: PeerRequest },
    Response { to: usize, correlation_id: CorrelationId, sender: Role, response: Box<PeerResponse> },
    Notification { to: usize, proposed: Option<VersionId> },
    Timer { server: usize },
}

/// Which of a server's state machines sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    CommitteeMember,
}

pub struct Process {
    follower: Follower,
    pub member: Option<CommitteeMember>,
    incarnation: u64,
    running: bool,
    /// Whether it is paused: it handles no events until it is resumed.
    paused: bool,
    /// Events that arrived while it was paused.
    deferred_events: Vec<Event>,
    /// The rate of its clock, in thousandths, and the clock's reading at the start of the run. No two clocks show the
    /// same time.
    clock_rate: u32,
    clock_offset: Duration,
    stored_acceptor_state: Option<AcceptorState>,
    /// Whether its acceptor state survives a restart.
    pub has_disk: bool,
    quota: QuotaHandover<u32>,
    /// Number of the version that it uses.
    version_in_use: Option<u64>,
    /// Followers that are connected to this member.
    connected_followers: BTreeSet<usize>,
    /// Requests that its follower has sent to a member on another server.
    pub follower_requests: u32,
}

pub struct SimulatedFleet {
    pub now: Duration,
    timing: Timing,
    pub processes: Vec<Process>,
    committee: Vec<usize>,
    initial_version: ConfigVersion,
    /// Times and indices of future events.
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: Vec<Option<Event>>,
    pub random: RandomGenerator,
    /// Servers that can exchange messages only among themselves.
    pub isolated: BTreeSet<usize>,
    /// Links that lose all messages, as sender and recipient.
    pub broken_links: BTreeSet<(usize, usize)>,
    /// Shortest and longest delay of a message.
    pub delay: (Duration, Duration),
    /// One message out of this many is lost; with 0, none.
    pub loss_one_in: u64,
    pub messages: u64,
    /// When each version was first used, by number.
    first_use: BTreeMap<u64, Duration>,
    /// The longest time from the first use of a version to a use of an older one.
    pub longest_overlap: Duration,
    /// Descriptions of the events in which a server went back to an older version.
    pub regressions: Vec<String>,
    pub largest_quota_sum: u32,
    /// By version number: the quota of each server with an even index, and of each with an odd one.
    pub quotas: Rc<RefCell<BTreeMap<u64, [u32; 2]>>>,
}

impl SimulatedFleet {
    pub fn new(
        servers: usize,
        committee: &[usize],
        seed: u64,
        injected_fault: Option<InjectedFault>,
    ) -> SimulatedFleet {
        let mut timing = Timing::new(AGREEMENT_BOUND, ISOLATION_LIMIT);
        timing.injected_fault = injected_fault;
        let mut fleet = SimulatedFleet {
            now: Duration::ZERO,
            timing,
            processes: Vec::new(),
            committee: committee.to_vec(),
            initial_version: version(1, committee, &format!("servers={servers}")),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            random: RandomGenerator(seed.wrapping_mul(7919).wrapping_add(12345)),
            isolated: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            delay: (MILLISECOND / 5, MILLISECOND),
            loss_one_in: 0,
            messages: 0,
            first_use: BTreeMap::new(),
            longest_overlap: Duration::ZERO,
            regressions: Vec::new(),
            largest_quota_sum: 0,
            quotas: Rc::default(),
        };
        for index in 0..servers {
            let process = fleet.new_process(index, 1, false);
            fleet.processes.push(process);
        }
        for index in 0..servers {
            fleet.begin_incarnation(index);
        }
        fleet
    }

    fn new_process(&self, index: usize, incarnation: u64, has_disk: bool) -> Process {
        let committee: Vec<ServerName> = self.committee.iter().map(|index| server_name(*index)).collect();
        let committee_index = self.committee.iter().position(|member| *member == index);
        let spread = committee_index.unwrap_or(index) as u64;
        Process {
            follower: Follower::new(server_name(index), committee, spread, self.timing.clone()),
            member: None,
            incarnation,
            running: true,
            paused: false,
            deferred_events: Vec::new(),
            clock_rate: 1000,
            clock_offset: Duration::from_secs(60 * index as u64 % 7919),
            stored_acceptor_state: None,
            has_disk,
            quota: QuotaHandover::new(self.timing.clone(), Duration::ZERO),
            version_in_use: None,
            connected_followers: BTreeSet::new(),
            follower_requests: 0,
        }
    }

    /// Starts a process. A member with a disk restores its acceptor state from it.
    fn begin_incarnation(&mut self, index: usize) {
        let clock_rate = 995 + self.random.below(11) as u32;
        let process = &mut self.processes[index];
        process.clock_rate = clock_rate;
        let local_now = local_time(self.now, clock_rate) + process.clock_offset;
        if self.committee.contains(&index) {
            let acceptor_state = process.stored_acceptor_state.clone().filter(|_| process.has_disk);
            let incarnation = (index as u64) << 32 | process.incarnation;
            let identity = MemberIdentity { name: server_name(index), incarnation };
            let mut environment = environment(server_name(index));
            process.member = CommitteeMember::new(
                local_now,
                identity,
                self.initial_version.clone(),
                acceptor_state,
                self.timing.clone(),
                &mut environment,
            );
            self.perform(index, Role::CommitteeMember, environment.actions);
        }
        self.schedule(self.now, Event::Timer { server: index });
    }

    pub fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        (process.running, process.paused) = (false, false);
        process.deferred_events.clear();
    }

    pub fn restart(&mut self, index: usize) {
        let old = &mut self.processes[index];
        if old.running {
            return;
        }
        let (incarnation, has_disk) = (old.incarnation + 1, old.has_disk);
        let acceptor_state = old.stored_acceptor_state.take().filter(|_| has_disk);
        let mut process = self.new_process(index, incarnation, has_disk);
        process.stored_acceptor_state = acceptor_state;
        self.processes[index] = process;
        self.begin_incarnation(index);
    }

    pub fn pause(&mut self, index: usize) {
        self.processes[index].paused = true;
    }

    /// Resumes a process, which then handles the events that have arrived meanwhile all at once.
    pub fn resume(&mut self, index: usize) {
        if std::mem::take(&mut self.processes[index].paused) {
            // It may use its version before it handles the events that have arrived.
            self.use_version(index);
            for event in std::mem::take(&mut self.processes[index].deferred_events) {
                self.schedule(self.now, event);
            }
        }
    }

    /// Proposes a version to a member, unless it does not run or is paused.
    pub fn propose(&mut self, member: usize, version: &ConfigVersion) {
        let now = self.local_now(member);
        let process = &mut self.processes[member];
        if !process.running || process.paused {
            return;
        }
        let mut environment = environment(server_name(member));
        if let Some(member) = &mut process.member {
            let _ = member.version_proposed(now, version.clone(), &mut environment);
        }
        self.perform(member, Role::CommitteeMember, environment.actions);
    }

    fn local_now(&self, index: usize) -> Duration {
        local_time(self.now, self.processes[index].clock_rate) + self.processes[index].clock_offset
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Some(event));
        self.queue.push(Reverse((at, self.events.len() - 1)));
    }

    fn disconnected(&self, from: usize, to: usize) -> bool {
        let partitioned = self.isolated.contains(&from) != self.isolated.contains(&to);
        from != to && (partitioned || self.broken_links.contains(&(from, to)))
    }

    /// Delivers a message after a random delay, unless it is lost.
    fn transmit(&mut self, from: usize, to: usize, event: Event) {
        if from != to {
            self.messages += 1;
            let lost =
                self.disconnected(from, to) || (self.loss_one_in > 0 && self.random.one_in(self.loss_one_in));
            if lost {
                return;
            }
        }
        let spread = (self.delay.1 - self.delay.0).as_micros() as u64 + 1;
        let delay = self.delay.0 + Duration::from_micros(self.random.below(spread));
        self.schedule(self.now + if from == to { Duration::ZERO } else { delay }, event);
    }

    fn perform(&mut self, index: usize, sender: Role, actions: RecordedActions) {
        for SentRequest { to, correlation_id, request } in actions.requests {
            let to: usize = to.0[1..].parse().unwrap();
            self.transmit(index, to, Event::Request { from: index, to, correlation_id, sender, request });
        }
        if let Some(acceptor_state) = actions.acceptor_state {
            self.processes[index].stored_acceptor_state = Some(acceptor_state);
        }
        if let Some(proposed) = actions.notification {
            for to in self.processes[index].connected_followers.clone() {
                self.transmit(index, to, Event::Notification { to, proposed });
            }
        }
        if let Some(committed) = actions.committed {
            let (now, number) = (self.local_now(index), committed.number);
            let quota = self.quotas.borrow().get(&number).map_or(0, |quotas| quotas[index % 2]);
            if self.processes[index].version_in_use.is_some_and(|before| before > number) {
                self.regressions.push(format!("n{index} went back to version {number} at {:?}", self.now));
            }
            self.processes[index].version_in_use = Some(number);
            self.processes[index].quota.version_committed(now, quota, committed.committed_for);
        }
        self.schedule_timer(index);
    }

    fn schedule_timer(&mut self, index: usize) {
        let process = &self.processes[index];
        let follower_due = process.follower.next_timeout();
        let due =
            process.member.as_ref().map_or(follower_due, |member| member.next_timeout().min(follower_due));
        let elapsed = due.saturating_sub(process.clock_offset).as_nanos() as u64;
        let at = Duration::from_nanos(elapsed.saturating_mul(1000) / u64::from(process.clock_rate));
        // Slightly later, since the conversion from the local time rounds down.
        let at = at.max(self.now + MILLISECOND / 20) + MILLISECOND / 1000;
        self.schedule(at, Event::Timer { server: index });
    }

    fn with_follower(
        &mut self,
        index: usize,
        handle: impl FnOnce(&mut Follower, Duration, &mut TestEnvironment),
    ) {
        let now = self.local_now(index);
        let mut environment = environment(server_name(index));
        handle(&mut self.processes[index].follower, now, &mut environment);
        self.perform(index, Role::Follower, environment.actions);
    }

    fn with_member<T>(
        &mut self,
        index: usize,
        handle: impl FnOnce(&mut CommitteeMember, Duration, &mut TestEnvironment) -> T,
    ) -> Option<T> {
        let now = self.local_now(index);
        let mut environment = environment(server_name(index));
        let member = self.processes[index].member.as_mut();
        let result = member.map(|member| handle(member, now, &mut environment));
        self.perform(index, Role::CommitteeMember, environment.actions);
        result
    }

    fn handle_event(&mut self, event: Event) {
        let index = match &event {
            Event::Request { to, .. } | Event::Response { to, .. } | Event::Notification { to, .. } => *to,
            Event::Timer { server } => *server,
        };
        if !self.processes[index].running {
            return;
        }
        if self.processes[index].paused {
            return self.processes[index].deferred_events.push(event);
        }
        match event {
            Event::Request { from, to, correlation_id, sender, request } => {
                if sender == Role::Follower {
                    self.connect(from, to);
                }
                let response = self
                    .with_member(to, |member, now, environment| {
                        member.handle_request(now, request, environment)
                    })
                    .unwrap_or(PeerResponse::Unavailable);
                let response = Box::new(response);
                self.transmit(to, from, Event::Response { to: from, correlation_id, sender, response });
            }
            Event::Response { to, correlation_id, sender: Role::Follower, response } => {
                self.with_follower(to, |follower, now, environment| {
                    follower.handle_response(now, correlation_id, *response, environment)
                })
            }
            Event::Response { to, correlation_id, sender: Role::CommitteeMember, response } => {
                self.with_member(to, |member, now, environment| {
                    member.handle_response(now, correlation_id, *response, environment)
                });
            }
            Event::Notification { to, proposed } => self.with_follower(to, |follower, now, environment| {
                follower.notification_received(now, proposed, environment)
            }),
            Event::Timer { server } => self.fire_due_timers(server),
        }
        self.use_version(index);
    }

    /// Moves the follower's only connection to the member that it asks.
    fn connect(&mut self, follower: usize, member: usize) {
        for process in &mut self.processes {
            process.connected_followers.remove(&follower);
        }
        self.processes[member].connected_followers.insert(follower);
        self.processes[follower].follower_requests += u32::from(follower != member);
    }

    fn fire_due_timers(&mut self, index: usize) {
        let now = self.local_now(index);
        if self.processes[index].member.as_ref().is_some_and(|member| member.next_timeout() <= now) {
            self.with_member(index, |member, now, environment| member.timer_fired(now, environment));
        }
        if self.processes[index].follower.next_timeout() <= now {
            self.with_follower(index, |follower, now, environment| follower.timer_fired(now, environment));
        }
    }

    /// Lets the server use its version if it may, and updates the longest overlap.
    fn use_version(&mut self, index: usize) {
        let now = self.local_now(index);
        let process = &self.processes[index];
        let level = process.follower.level(now);
        if level != PermissionLevel::Full || !process.running || process.paused {
            return;
        }
        let Some(number) = process.version_in_use else { return };
        self.first_use.entry(number).or_insert(self.now);
        let newer = self.first_use.range(number + 1..).map(|(_, first)| *first).min();
        if let Some(first) = newer {
            self.longest_overlap = self.longest_overlap.max(self.now.saturating_sub(first));
        }
    }

    fn update_largest_quota_sum(&mut self) {
        let mut sum = 0;
        for index in 0..self.processes.len() {
            let now = self.local_now(index);
            let process = &mut self.processes[index];
            let active = process.running && !process.paused;
            if active && process.follower.level(now) == PermissionLevel::Full {
                sum += process.quota.available(now).quota;
            }
        }
        self.largest_quota_sum = self.largest_quota_sum.max(sum);
    }

    /// Advances the time by this span. Every server uses its version at regular intervals, as long as it may.
    pub fn run_for(&mut self, span: Duration) {
        const USE_INTERVAL: Duration = Duration::from_millis(20);
        let end = self.now + span;
        let mut next_use = self.now;
        while self.now < end {
            let next_event = self.queue.peek().map_or(end, |Reverse((at, _))| *at).min(end);
            if next_use <= next_event {
                self.now = self.now.max(next_use);
                (0..self.processes.len()).for_each(|index| self.use_version(index));
                self.update_largest_quota_sum();
                next_use += USE_INTERVAL;
                continue;
            }
            self.now = self.now.max(next_event);
            let Some(Reverse((at, id))) = self.queue.peek().copied() else { continue };
            if at <= self.now {
                self.queue.pop();
                if let Some(event) = self.events[id].take() {
                    self.handle_event(event);
                }
            }
        }
    }

    pub fn committed(&self, index: usize) -> Option<CommittedState> {
        self.processes[index].follower.committed()
    }

    pub fn level(&self, index: usize) -> PermissionLevel {
        self.processes[index].follower.level(self.local_now(index))
    }

    /// Number of servers that may use this version now.
    pub fn servers_using(&self, number: u64) -> usize {
        let may_use = |index: &usize| {
            let process = &self.processes[*index];
            process.running
                && process.version_in_use == Some(number)
                && self.level(*index) == PermissionLevel::Full
        };
        (0..self.processes.len()).filter(may_use).count()
    }
}

fn local_time(now: Duration, clock_rate: u32) -> Duration {
    now * clock_rate / 1000
}
