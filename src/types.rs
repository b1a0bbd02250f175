//! Ids, request classes, permissions and outcomes.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};
use std::rc::Rc;
use std::time::Duration;

/// Identifies a request within one server from its arrival until its last trace is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A hash map without a random seed: its iteration order is the same at each start. It allocates nothing once it has
/// held as many entries before.
pub type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
/// A deterministic map by request.
pub type RequestMap<V> = DeterministicMap<RequestId, V>;

/// Identifies the sender of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may run again.
    #[default]
    Idempotent,
    /// It carries an idempotency key and runs once within the deduplication window.
    Keyed,
    /// It must not run again.
    Unsafe,
}

impl Effect {
    /// Maps the name in the settings. An unknown name is taken for [`Effect::Unsafe`].
    pub fn named(name: &str) -> Effect {
        match name {
            "retryable" => Effect::Idempotent,
            "dedup" => Effect::Keyed,
            _ => Effect::Unsafe,
        }
    }
}

/// A request class as the settings describe it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name, as requests carry it.
    pub name: Rc<str>,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// An answer within this time earns the full weight.
    pub latency_target: Duration,
    /// How long a caller waits over all its attempts.
    pub deadline: Duration,
    /// Weight of an answer in time, relative to other classes.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the latency target earns.
    pub late_share: f64,
    /// How long after the first attempt a repeat may arrive.
    pub window: Duration,
    /// Share of the weight that an answer without the upstream call earns; 0 if the call is required.
    pub share_without_call: f64,
    /// Whether its requests make upstream calls.
    pub makes_calls: bool,
    /// Whether this server offers it at present.
    pub offered: bool,
}

/// What a server is allowed to run, by what it knows of the configuration in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Permission {
    /// All requests.
    #[default]
    Everything,
    /// Idempotent requests only.
    Idempotent,
    /// No requests.
    Nothing,
}

impl Permission {
    /// Whether a request with this effect may be run.
    pub fn permits(self, effect: Effect) -> bool {
        match self {
            Permission::Everything => true,
            Permission::Idempotent => effect == Effect::Idempotent,
            Permission::Nothing => false,
        }
    }
}

/// How a run or an upstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a result.
    Completed,
    /// With an error.
    Failed,
    /// Rejected before it started.
    Rejected,
    /// No answer in time; it may have had its effect.
    TimedOut,
    /// The connection could not be made.
    Unreachable,
    /// The connection was lost before the answer; it may have had its effect.
    ConnectionLost,
    /// The run was stopped, or its caller had gone.
    Cancelled,
    /// Nothing was started, because the request was already over.
    NeverStarted,
}

impl Outcome {
    /// Whether this outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted)
    }
}

/// What is known of a request when it has been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest<'a> {
    /// Name of its class.
    pub class: &'a str,
    /// Name of its tenant.
    pub tenant: Option<&'a str>,
    /// What it is about, such as a user or an account.
    pub subject: Option<&'a str>,
    /// When its caller gives up, since the start of the server.
    pub deadline: Option<Duration>,
    /// Estimated run time on a core of standard speed.
    pub work: Option<Duration>,
    /// Memory that it takes before it runs, in KB.
    pub memory_kb: f64,
    /// Its priority from 0 up to 1: one band a class, users spread within the band.
    pub rank: f64,
    /// It is not the first attempt.
    pub retry: bool,
    /// It changes stored data.
    pub write: bool,
    /// Its sender.
    pub caller: CallerId,
    /// How long it waited in the socket buffer before it was read.
    pub unread_time: Duration,
    /// The remembered request that it repeats.
    pub repeats: Option<RequestId>,
}
