//! A stub of the membership service. Servers send it load reports; the entry of a server expires when its reports stop.
//! Reports beyond its capacity are queued, and rejected once the queue is too long. It performs no I/O and reads no
//! clock.

use crate::ids::{ConnNo, ServerNo};
use aldercrank_protocol::membership::ENTRY_TTL;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The longest time that a report may be queued; one that would have to wait longer is rejected.
const MAX_QUEUE: Duration = Duration::from_millis(500);
/// The `Retry-After` of rejected reports.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long past reports are kept, for edge nodes that see an outdated membership.
const HISTORY: Duration = Duration::from_secs(30);
const TENTH_OF_A_SECOND: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
/// The smallest capacity, in reports per second.
const MIN_CAPACITY: f64 = 0.1;

/// The injected fault, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipState {
    /// No fault.
    Up,
    /// Connections are refused.
    Down,
    /// Reports are read, but neither accepted nor answered.
    Silent,
    /// Connections are accepted and closed at once.
    Closing,
}

/// The answer to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// HTTP status 204, at this time.
    AcceptedAt(Duration),
    /// HTTP status 503, with `RETRY_AFTER`.
    Rejected,
    /// No answer.
    None,
}

/// A report that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportReceived {
    /// When it was received in full.
    pub at: Duration,
    /// The server that sent it.
    pub server: ServerNo,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// The most connections that were made within a window of each length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPeaks {
    /// In any tenth of a second.
    pub per_tenth: usize,
    /// In any second.
    pub per_second: usize,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Duration,
    up: bool,
}

/// An outage. `ended` is `None` while it lasts.
struct Outage {
    began: Duration,
    ended: Option<Duration>,
}

impl Outage {
    fn overlap(&self, from: Duration, to: Duration) -> Duration {
        self.ended.unwrap_or(Duration::MAX).min(to).saturating_sub(self.began.max(from))
    }
}

/// The membership service.
pub struct MembershipStub {
    /// Reports per second.
    capacity: f64,
    /// The injected fault.
    state: MembershipState,
    reports_by_server: BTreeMap<ServerNo, VecDeque<Report>>,
    /// Outages; entries do not expire during one.
    outages: Vec<Outage>,
    busy_until: Duration,
    /// All reports that were received.
    pub reports: Vec<ReportReceived>,
    /// When each connection was accepted, including those on which no report came.
    pub connections: Vec<Duration>,
    /// Connections on which an answer to a report is pending, by the time at which it is due.
    pending_answers: BTreeSet<(Duration, ConnNo)>,
}

impl MembershipStub {
    /// An empty membership service with a capacity in reports per second.
    pub fn new(capacity: f64) -> MembershipStub {
        MembershipStub {
            capacity: capacity.max(MIN_CAPACITY),
            state: MembershipState::Up,
            reports_by_server: BTreeMap::new(),
            outages: Vec::new(),
            busy_until: Duration::ZERO,
            reports: Vec::new(),
            connections: Vec::new(),
            pending_answers: BTreeSet::new(),
        }
    }

    /// Sets the capacity in reports per second.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(MIN_CAPACITY);
    }

    /// The injected fault.
    pub fn state(&self) -> MembershipState {
        self.state
    }

    /// Sets the injected fault.
    pub fn set_state(&mut self, now: Duration, state: MembershipState) {
        let was_out = self.state != MembershipState::Up;
        let is_out = state != MembershipState::Up;
        if is_out && !was_out {
            self.outages.push(Outage { began: now, ended: None });
        } else if let Some(last) = self.outages.last_mut().filter(|_| was_out && !is_out) {
            last.ended = Some(now);
        }
        self.state = state;
    }

    /// Drops all entries, as a restart does.
    pub fn forget_entries(&mut self) {
        self.reports_by_server.clear();
    }

    /// Handles a report that has been received in full. `up` is whether the server reports itself as up.
    pub fn report_received(
        &mut self,
        now: Duration,
        conn: ConnNo,
        server: ServerNo,
        up: bool,
    ) -> ReportAnswer {
        if self.state != MembershipState::Up {
            self.reports.push(ReportReceived { at: now, server, accepted: false });
            return ReportAnswer::None;
        }
        let begins = self.busy_until.max(now);
        if begins - now > MAX_QUEUE {
            self.reports.push(ReportReceived { at: now, server, accepted: false });
            return ReportAnswer::Rejected;
        }
        self.busy_until = begins + Duration::from_secs_f64(1.0 / self.capacity);
        self.reports.push(ReportReceived { at: now, server, accepted: true });
        let reports = self.reports_by_server.entry(server).or_default();
        reports.push_back(Report { at: now, up });
        while reports.len() > 2 && reports[1].at + HISTORY < now {
            reports.pop_front();
        }
        self.pending_answers.insert((self.busy_until, conn));
        ReportAnswer::AcceptedAt(self.busy_until)
    }

    /// Removes and returns the connections whose answer is due by `now`.
    pub fn take_due_answers(&mut self, now: Duration) -> Vec<ConnNo> {
        let mut conns = Vec::new();
        while let Some((_, conn)) = self.pending_answers.first().copied().filter(|(at, _)| *at <= now) {
            conns.push(conn);
            self.pending_answers.pop_first();
        }
        conns
    }

    fn outage_within(&self, from: Duration, to: Duration) -> Duration {
        self.outages.iter().map(|outage| outage.overlap(from, to)).sum()
    }

    /// Whether the membership contained a server at `at`, which may be in the past.
    pub fn is_listed(&self, server: ServerNo, at: Duration) -> bool {
        let reports = self.reports_by_server.get(&server);
        let last = reports.and_then(|reports| reports.iter().rev().find(|report| report.at <= at));
        last.is_some_and(|report| {
            report.up && at.saturating_sub(report.at) < ENTRY_TTL + self.outage_within(report.at, at)
        })
    }

    /// The peaks of new connections from `from` until `to`.
    pub fn connection_peaks(&self, from: Duration, to: Duration) -> ConnectionPeaks {
        let within = self.connections.iter().copied().filter(|at| *at >= from && *at < to);
        let times: Vec<Duration> = within.collect();
        ConnectionPeaks {
            per_tenth: most_within(&times, TENTH_OF_A_SECOND),
            per_second: most_within(&times, SECOND),
        }
    }

    /// The servers that the membership contained at `at`, in ascending order.
    pub fn listed_servers(&self, at: Duration) -> Vec<ServerNo> {
        self.reports_by_server.keys().copied().filter(|server| self.is_listed(*server, at)).collect()
    }
}

/// The largest number of these ascending times that lie within any window of this length.
fn most_within(times: &[Duration], window: Duration) -> usize {
    let (mut first, mut most) = (0, 0);
    for (last, at) in times.iter().enumerate() {
        while times[first] + window <= *at {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
