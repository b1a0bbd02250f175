//! The timeline of a scenario: the injected faults, when they begin and end, and which servers they affect.

use crate::ids::{RemoteEndpoint, ServerNo};
use crate::index_stub::IndexState;
use crate::membership_stub::MembershipState;
use crate::relayed_link::Impairment;
use std::time::Duration;

/// Why a text in the configuration store is not a valid version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigCorruption {
    /// It is cut off in the middle.
    Truncated,
    /// It exceeds the length limit by far.
    Overlong,
    /// One item has an invalid value.
    InvalidField,
    /// It has a later format version.
    LaterFormat,
}

/// Publishes versions of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// The changed items, `CLASS.ITEM=VALUE` separated by spaces. Alternatives, separated by `|`, are used in turn.
    pub items: String,
    /// The time between versions; only one version is published if `None`.
    pub interval: Option<Duration>,
    /// Whether two different contents are stored under one version number.
    pub contradictory: bool,
}

/// A signal to a server process, or another event in a series of signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGHUP with a valid configuration to reload.
    Reload,
    /// SIGHUP with an invalid configuration to reload.
    ReloadInvalid,
    /// SIGTERM.
    Terminate,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// The worker pool exits, which ends all runs, and a cold one starts.
    PoolRestart,
}

/// Signals that are sent to a server process in order. SIGKILL follows when the stop timeout after the first SIGTERM
/// has elapsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignalSeries {
    /// The signals, in the order in which they are sent.
    pub signals: Vec<ProcessSignal>,
    /// The time between two signals.
    pub gap: Duration,
}

impl SignalSeries {
    /// When a signal, by its index, is sent after the start of the series.
    pub fn sent_after(&self, index: usize) -> Duration {
        self.gap * index as u32
    }

    /// When this signal is first sent after the start of the series.
    fn first_sent_after(&self, signal: ProcessSignal) -> Option<Duration> {
        let first = self.signals.iter().position(|other| *other == signal);
        first.map(|index| self.sent_after(index))
    }

    /// When SIGTERM is first delivered after the start of the series. A paused process receives it when it resumes.
    pub fn terminates_after(&self) -> Option<Duration> {
        let sent = self.first_sent_after(ProcessSignal::Terminate)?;
        let paused = self.first_sent_after(ProcessSignal::Pause).filter(|paused| *paused <= sent);
        let resumed = self.first_sent_after(ProcessSignal::Resume).filter(|_| paused.is_some());
        Some(resumed.map_or(sent, |resumed| resumed.max(sent)))
    }

    /// How long the process is paused after SIGTERM was delivered.
    pub fn paused_while_draining(&self) -> Duration {
        let paused =
            self.first_sent_after(ProcessSignal::Pause).zip(self.first_sent_after(ProcessSignal::Resume));
        let (Some((paused, resumed)), Some(terminates)) = (paused, self.terminates_after()) else {
            return Duration::ZERO;
        };
        resumed.saturating_sub(paused.max(terminates))
    }

    /// How long the process is paused in all.
    pub fn paused_for(&self) -> Duration {
        let paused =
            self.first_sent_after(ProcessSignal::Pause).zip(self.first_sent_after(ProcessSignal::Resume));
        paused.map_or(Duration::ZERO, |(paused, resumed)| resumed.saturating_sub(paused))
    }
}

/// The servers that a step affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// All servers.
    All,
    /// One server.
    Server(ServerNo),
    /// A share of all servers, selected at random by the scenario's seed.
    Share(f64),
    /// The servers of a zone, by its index.
    Zone(usize),
}

/// A fault to inject.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL. The server is restarted at the end of the step, if it has one.
    Kill,
    /// SIGTERM. The server is restarted shortly after its exit.
    Shutdown,
    /// SIGSTOP, and SIGCONT at the end of the step.
    Pause,
    /// A series of signals.
    Signals(SignalSeries),
    /// Each edge node opens this many connections and sends nothing on them.
    IdleConnections(usize),
    /// SIGHUP with an invalid configuration to reload.
    InvalidConfig,
    /// SIGKILL, and a restart with an invalid configuration. At the end of the step, a restart with a valid one.
    InvalidStart,
    /// The worker pool's cores run at this share of their speed.
    SlowPool(f64),
    /// This share of runs fails immediately.
    FailingRuns(f64),
    /// The worker pool exits, which ends all runs. A cold one starts at the end of the step.
    PoolCrash,
    /// The worker pool becomes available this much later.
    PoolDelayed(Duration),
    /// Every link to the worker pool is reset once per interval.
    PoolLinkResets(Duration),
    /// Transmission on a link is impaired.
    ImpairLink {
        /// The remote end of the servers' links.
        remote: RemoteEndpoint,
        /// The fault towards the server, if any.
        to_server: Option<Impairment>,
        /// The fault from the server, if any.
        from_server: Option<Impairment>,
    },
    /// Connections between the servers and this endpoint are refused.
    RefuseConnections(RemoteEndpoint),
    /// The index is in this state.
    Index(IndexState),
    /// The index's caches are emptied.
    IndexCachesEmptied,
    /// The membership service is in this state.
    MembershipService(MembershipState),
    /// The membership service restarts with no entries.
    MembershipForgets,
    /// The membership service can process this many reports per second.
    MembershipCapacity(f64),
    /// The membership lists each server twice, and one that never existed.
    MembershipWrong,
    /// The membership that edge nodes read is older by this.
    MembershipStale(Duration),
    /// This share of the edge nodes restarts.
    EdgeNodesRestart(f64),
    /// Requests arrive at this multiple of the scenario's rate.
    ArrivalRate(f64),
    /// Versions of the configuration are published.
    Publish(Publication),
    /// The published version is deleted from the configuration store.
    Withdraw,
    /// The configuration store returns a text that is not a valid version.
    StoreCorruptConfig(ConfigCorruption),
    /// The configuration store returns the version that the cluster started with.
    StoreInitialVersion,
}

impl Fault {
    /// Whether the fault affects something that all servers share, so that its step takes no target.
    pub fn is_shared(&self) -> bool {
        matches!(
            self,
            Fault::Index(_)
                | Fault::IndexCachesEmptied
                | Fault::MembershipService(_)
                | Fault::MembershipForgets
                | Fault::MembershipCapacity(_)
                | Fault::MembershipStale(_)
                | Fault::EdgeNodesRestart(_)
                | Fault::ArrivalRate(_)
                | Fault::Publish(_)
                | Fault::Withdraw
                | Fault::StoreCorruptConfig(_)
                | Fault::StoreInitialVersion
        )
    }

    /// Whether the fault is instantaneous, so that its step takes no duration.
    pub fn is_instant(&self) -> bool {
        match self {
            Fault::Publish(publication) => publication.interval.is_none(),
            _ => matches!(
                self,
                Fault::Shutdown
                    | Fault::Signals(_)
                    | Fault::IdleConnections(_)
                    | Fault::InvalidConfig
                    | Fault::IndexCachesEmptied
                    | Fault::MembershipForgets
                    | Fault::EdgeNodesRestart(_)
                    | Fault::Withdraw
                    | Fault::StoreCorruptConfig(_)
                    | Fault::StoreInitialVersion
            ),
        }
    }
}

/// A step of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When the step begins, since the callers started.
    pub at: Duration,
    /// The duration of the step; it lasts until the end of the run if `None`.
    pub lasts: Option<Duration>,
    /// The delay between the beginning at one server and at the next.
    pub each: Duration,
    /// The affected servers.
    pub target: Target,
    /// The injected fault.
    pub fault: Fault,
    /// The fault's name in the document.
    pub word: String,
}
