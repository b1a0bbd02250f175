//! The timeline of a scenario: faults, when they begin, and which servers they affect.

use crate::ids::{RemoteEndpoint, ServerNo};
use crate::index_stub::IndexState;
use crate::membership_stub::MembershipState;
use crate::relayed_link::Corruption;
use std::time::Duration;

/// How a stored text is no version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigCorruption {
    /// It ends in its middle.
    Truncated,
    /// It is far too long.
    Overlong,
    /// One item has an invalid value.
    InvalidField,
    /// It is of a later format.
    LaterFormat,
}

/// The publication of versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// The items that change, `CLASS.ITEM=VALUE` separated by spaces; alternatives, separated by `|`, are taken in turn.
    pub items: String,
    /// Publishes a further version once per interval.
    pub interval: Option<Duration>,
    /// Stores two different contents under one version number.
    pub contradictory: bool,
}

/// One of a series of signals to a server's process, or what happens between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGHUP, with a valid configuration to read.
    Reload,
    /// SIGHUP, with an invalid configuration to read.
    ReloadInvalid,
    /// SIGTERM.
    Terminate,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// The worker pool's process ends, with all runs, and a cold one starts.
    PoolRestart,
}

/// Signals to a server's process, one after the other. SIGKILL follows the first SIGTERM by the stop timeout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignalSeries {
    /// The signals.
    pub signals: Vec<ProcessSignal>,
    /// From one signal to the next.
    pub gap: Duration,
}

impl SignalSeries {
    /// When the signal of this index is sent, since the series began.
    pub fn sent_after(&self, index: usize) -> Duration {
        self.gap * index as u32
    }

    fn first(&self, wanted: ProcessSignal) -> Option<Duration> {
        let first = self.signals.iter().position(|signal| *signal == wanted);
        first.map(|index| self.sent_after(index))
    }

    /// When SIGTERM is delivered for the first time, since the series began. A paused process gets it as it resumes.
    pub fn terminates_after(&self) -> Option<Duration> {
        let sent = self.first(ProcessSignal::Terminate)?;
        let paused = self.first(ProcessSignal::Pause).filter(|paused| *paused <= sent);
        let resumed = self.first(ProcessSignal::Resume).filter(|_| paused.is_some());
        Some(resumed.map_or(sent, |resumed| resumed.max(sent)))
    }

    /// How long the process is paused after SIGTERM is delivered.
    pub fn paused_while_draining(&self) -> Duration {
        let paused = self.first(ProcessSignal::Pause).zip(self.first(ProcessSignal::Resume));
        let (Some((paused, resumed)), Some(terminates)) = (paused, self.terminates_after()) else {
            return Duration::ZERO;
        };
        resumed.saturating_sub(paused.max(terminates))
    }

    /// How long the process is paused.
    pub fn paused_for(&self) -> Duration {
        let paused = self.first(ProcessSignal::Pause).zip(self.first(ProcessSignal::Resume));
        paused.map_or(Duration::ZERO, |(paused, resumed)| resumed.saturating_sub(paused))
    }
}

/// The servers that a step affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// All.
    All,
    /// One.
    Server(ServerNo),
    /// A random share of all, by the scenario's seed.
    Share(f64),
    /// Those of the zone of this index.
    Zone(usize),
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL; the server is started again at the step's end, if it has one.
    Kill,
    /// SIGTERM; the server is started again shortly after its exit.
    Shutdown,
    /// SIGSTOP, and SIGCONT at the step's end.
    Pause,
    /// Several signals.
    Signals(SignalSeries),
    /// Each edge node opens so many connections that it does not use.
    IdleConnections(usize),
    /// The server is asked, by SIGHUP, to read an invalid configuration.
    InvalidConfig,
    /// SIGKILL, and a start with an invalid configuration; a start with a valid one at the step's end.
    InvalidStart,
    /// The worker pool's cores run at this share of their speed.
    SlowPool(f64),
    /// This share of runs fails at once.
    FailingRuns(f64),
    /// The worker pool ends, with all runs; a cold one starts at the step's end.
    PoolCrash,
    /// The worker pool is up so much later.
    PoolDelayed(Duration),
    /// Each link to the worker pool is reset once per interval.
    PoolLinkResets(Duration),
    /// The bytes of a link are corrupted.
    CorruptLink {
        /// What the servers are connected to by the link.
        remote: RemoteEndpoint,
        /// Towards the server; unchanged if `None`.
        to_server: Option<Corruption>,
        /// From the server; unchanged if `None`.
        from_server: Option<Corruption>,
    },
    /// Connections to this endpoint, or from edge nodes, are refused.
    RefuseConnections(RemoteEndpoint),
    /// The index has this fault.
    Index(IndexState),
    /// The index's caches are emptied.
    IndexCachesEmptied,
    /// The membership service has this fault.
    MembershipService(MembershipState),
    /// The membership service restarts without its entries.
    MembershipForgets,
    /// The membership service can take this many reports a second.
    MembershipCapacity(f64),
    /// The membership names each server twice, and one that never existed.
    MembershipWrong,
    /// The membership is older by this.
    MembershipStale(Duration),
    /// This share of the edge nodes restarts.
    EdgeNodesRestart(f64),
    /// Requests arrive at this multiple of the rate.
    ArrivalRate(f64),
    /// Versions of the configuration are published.
    Publish(Publication),
    /// The published version is deleted from the configuration store.
    Withdraw,
    /// The configuration store has a text that is no version.
    StoreCorruptConfig(ConfigCorruption),
    /// The configuration store has the version that the cluster started with.
    StoreGenesis,
}

impl Fault {
    /// Whether it is about what all servers share, so that it has no target.
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
                | Fault::StoreGenesis
        )
    }

    /// Whether it is over at once, so that it has no duration.
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
                    | Fault::StoreGenesis
            ),
        }
    }
}

/// A step of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it begins, since the callers began.
    pub at: Duration,
    /// How long it lasts; until the end of the run if `None`.
    pub lasts: Option<Duration>,
    /// From the begin at one server to that at the next.
    pub each: Duration,
    /// The servers that it affects.
    pub target: Target,
    /// What happens.
    pub fault: Fault,
    /// The fault's name in the document.
    pub word: String,
}
