//! A scenario: the fleet, its products, callers and habits, what goes wrong when, and the bounds that must hold.
//! Read from a KDL document, whole or not at all; one may include another and say what differs.

use crate::edge_nodes::{CallerPolicy, ServerChoice};
use crate::ids::{RemoteEndpoint, ServerNo};
use crate::index_stub::{IndexSettings, IndexState};
use crate::invariant_checker::Effect;
use crate::kdl_properties::NodeProperties;
use crate::membership_stub::MembershipState;
use crate::random::RandomStream;
use crate::relayed_link::Corruption;
use aldercrank_service_config::Reader;
use std::path::{Path, PathBuf};
use std::time::Duration;

mod read;
pub use read::zone_name;

#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub servers: usize,
    pub zones: usize,
    pub cores: f64,
    /// What the module may book, in KB.
    pub memory_kb: f64,
    pub cold: bool,
    pub cold_from: f64,
    pub warm_after: Duration,
    /// How many times as long as it is promised a cold worker pool truly takes to warm up.
    pub warms_times: f64,
    pub stop: Duration,
    pub grace: Duration,
    pub slack: Duration,
    /// The process's own limits.
    pub memory_mb: f64,
    pub sockets: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub name: String,
    pub effect: Effect,
    pub share: f64,
    pub value: f64,
    pub late: f64,
    pub work: Duration,
    /// The share of runs that make a call, and what an answer without it is worth.
    pub calls: f64,
    pub without: f64,
    pub latency_target: Duration,
    pub deadline: Duration,
    pub window: Duration,
    pub memory_kb: f64,
    pub body: usize,
}

/// The rule book on which servers agree.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleBook {
    /// The first so many servers.
    pub committee: usize,
    pub within: Duration,
    pub alone: Duration,
    /// Whether servers have a directory for what they must not forget.
    pub disks: bool,
    /// What the first version has beside the products' effects and windows: `CLASS.ITEM=VALUE`, `shares.ZONE=N`.
    pub set: String,
}

/// How a text is no book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    Cut,
    Long,
    Field,
    Later,
}

/// A version that is published.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// What it sets, alternatives apart by `|`, taken in turns.
    pub set: String,
    /// One after another, once so often.
    pub every: Option<Duration>,
    /// Two contents at once, under one number.
    pub two: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Callers {
    /// First tries a second, in all.
    pub rate: f64,
    pub edges: usize,
    pub policy: CallerPolicy,
    /// How late edge nodes see the list, and how often they look.
    pub lag: Duration,
    pub learn: Duration,
}

/// Whom a step is about.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    All,
    Server(ServerNo),
    /// So many of all, drawn from the seed.
    Share(f64),
    Zone(usize),
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL; started again after the span, if there is one.
    Kill,
    /// SIGTERM; started again a moment after it has ended.
    Leave,
    /// SIGSTOP, and SIGCONT after the span.
    Stop,
    /// Told to read a configuration that makes no sense, by SIGHUP.
    BadConfig,
    /// Killed, and started with a configuration that is bad; with the good one after the span.
    BadStart,
    /// The cores get on at this share of their speed.
    Slow(f64),
    /// This share of runs ends at once with an error.
    Err(f64),
    /// The worker pool is gone, with all runs; a cold one comes after the span.
    PoolGone,
    /// The worker pool comes up so much later than its server.
    PoolLate(Duration),
    /// Each link to the pool is reset once so often.
    PoolResets(Duration),
    /// What the pair says is spoiled: to the server, from it.
    Pair(RemoteEndpoint, Option<Corruption>, Option<Corruption>),
    /// The pair's connections are refused.
    Refuse(RemoteEndpoint),
    Index(IndexState),
    /// The index's caches are empty.
    IndexCold,
    MembershipStub(MembershipState),
    /// It has started again and knows nobody.
    ListForgets,
    ListCapacity(f64),
    /// It names each server twice, and one that never was.
    ListWrong,
    /// It answers from a state that is so old.
    ListOld(Duration),
    /// Edge nodes start again, this share of them.
    EdgesRestart(f64),
    /// The rate of callers times this.
    Rate(f64),
    Publish(Published),
    /// What is published and not in force yet is taken back.
    Withdraw,
    /// The list service has a text that is no book: cut short, far too long, with one bad field, of a later form.
    RulesBroken(Spoilt),
    /// It has the version that the fleet started from again.
    RulesOld,
}

impl Fault {
    /// Of these the target means nothing.
    fn shared(&self) -> bool {
        use Fault::*;
        matches!(
            self,
            Index(_)
                | IndexCold
                | MembershipStub(_)
                | ListForgets
                | ListCapacity(_)
                | ListOld(_)
                | EdgesRestart(_)
                | Rate(_)
                | Publish(_)
                | Withdraw
                | RulesBroken(_)
                | RulesOld
        )
    }

    /// Whether it is over at once.
    fn instant(&self) -> bool {
        use Fault::*;
        let once = |p: &Published| p.every.is_none();
        match self {
            Publish(published) => once(published),
            _ => matches!(
                self,
                Leave
                    | BadConfig
                    | IndexCold
                    | ListForgets
                    | EdgesRestart(_)
                    | Withdraw
                    | RulesBroken(_)
                    | RulesOld
            ),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    /// How long it lasts; nothing is until the end.
    pub lasts: Option<Duration>,
    /// From one server to the next.
    pub each: Duration,
    pub target: Target,
    pub fault: Fault,
    /// As it stands in the document.
    pub word: String,
}

impl Step {
    /// It is about something that all servers share, so it is done once.
    pub fn fault_is_shared(&self) -> bool {
        self.fault.shared()
    }
}

/// What is broken on purpose, to show that the checker names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedViolation {
    LoseAnswer,
    DoubleRun,
    LateStart,
    SwapResult,
    Overrun,
    DoubleAnswer,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// The least value, as a share of all that was sought.
    pub value: Option<f64>,
    /// The same, as a share of the same seed without faults.
    pub of_calm: Option<f64>,
    /// The same of inquiry-like products alone.
    pub inquiry_of_calm: Option<f64>,
    /// The most runs of one txn in several lives.
    pub across: Option<u64>,
    /// Of the list service: the most connections in any second, and in any tenth of one, as shares of what it can
    /// do in a second; the most reports that it refuses; and by when all are listed.
    pub list_second: Option<f64>,
    pub list_tenth: Option<f64>,
    pub list_refused: Option<u64>,
    pub listed_by: Option<Duration>,
    /// Of the rule book: the least versions that some server acted on; how long a version may take to reach servers at
    /// the 99th percentile, of free items and of fenced ones; the least share of inquiry-like tries that servers
    /// which are cut off settle, of the same without faults.
    pub acted: Option<u64>,
    pub free_p99_ms: Option<f64>,
    pub fenced_p99_ms: Option<f64>,
    pub cut_inquiry_of_calm: Option<f64>,
    /// The most calls in hand at the index at any moment.
    pub index_most: Option<u64>,
    /// The most collapses of the index, and the most that its calls may take in a second, in times the best.
    pub collapses: Option<u64>,
    /// How long the value may take to be steady, in times the least that is possible; and how much more than the mean
    /// one server may settle in a second.
    pub steady: Option<f64>,
    pub crowded: Option<f64>,
    /// The most times that a server leaves the list while it runs.
    pub flaps: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    pub span: Duration,
    pub fleet: Fleet,
    pub classes: Vec<RequestClass>,
    pub callers: Callers,
    pub index: IndexSettings,
    pub list_capacity: f64,
    pub rules: Option<RuleBook>,
    /// How servers start, by their service file.
    pub start: aldercrank_service_config::Start,
    /// Callers and timeline begin with the first start, not once all are listed.
    pub from_start: bool,
    pub timeline: Vec<Step>,
    pub bounds: Bounds,
    pub sabotage: Option<InjectedViolation>,
}

fn ms(n: f64) -> Duration {
    Duration::from_secs_f64(n / 1e3)
}

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "unnamed".to_string(),
            seed: 1,
            span: secs(6.0),
            fleet: Fleet {
                servers: 8,
                zones: 2,
                cores: 4.0,
                memory_kb: 20_000.0,
                cold: false,
                cold_from: 0.25,
                warm_after: secs(5.0),
                warms_times: 1.0,
                stop: secs(3.2),
                grace: secs(1.0),
                slack: ms(60.0),
                memory_mb: 192.0,
                sockets: 1024,
            },
            classes: vec![
                RequestClass {
                    name: "map-extract".to_string(),
                    effect: Effect::Idempotent,
                    share: 0.7,
                    value: 1.0,
                    late: 0.2,
                    work: ms(20.0),
                    calls: 0.5,
                    without: 0.6,
                    latency_target: ms(600.0),
                    deadline: ms(1800.0),
                    window: secs(5.0),
                    memory_kb: 20.0,
                    body: 200,
                },
                RequestClass {
                    name: "licence-buy".to_string(),
                    effect: Effect::Keyed,
                    share: 0.3,
                    value: 5.0,
                    late: 0.2,
                    work: ms(30.0),
                    calls: 1.0,
                    without: 0.0,
                    latency_target: ms(800.0),
                    deadline: ms(2000.0),
                    window: secs(6.0),
                    memory_kb: 20.0,
                    body: 300,
                },
            ],
            callers: Callers {
                rate: 200.0,
                edges: 4,
                policy: CallerPolicy {
                    choose: ServerChoice::Least,
                    max_attempts: 4,
                    attempt_timeout: Some(ms(600.0)),
                    follows_advice: true,
                    retry_budget: 0.5,
                    health_check_interval: Some(secs(1.0)),
                    max_connections: 2,
                    idle_timeout: secs(10.0),
                    cancel_probability: 0.01,
                    retries_keyed_after_failure: false,
                },
                lag: secs(1.0),
                learn: ms(500.0),
            },
            index: IndexSettings {
                slots: 64.0,
                limit: 128.0,
                call_duration: ms(10.0),
                cold_slowdown: 4.0,
                warming: 400,
            },
            list_capacity: 400.0,
            rules: None,
            start: aldercrank_service_config::Start::default(),
            from_start: false,
            timeline: Vec::new(),
            bounds: Bounds::default(),
            sabotage: None,
        }
    }
}

/// What is wrong with a scenario: a line each, with file, line and column.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong(pub Vec<String>);

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Wrong {}
