//! Ids, request classes, permissions and outcomes.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};
use std::rc::Rc;
use std::time::Duration;

/// Identifies a request within one server. An id may be used again once the request has ended and its deduplication
/// entry, if it had one, has been removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A hash map without a random seed, so its iteration order is the same at each start. It doesn't allocate as long as
/// it holds no more entries than it has held before.
pub type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
/// A [`DeterministicMap`] keyed by request.
pub type RequestMap<V> = DeterministicMap<RequestId, V>;

/// Identifies the caller that sent a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Whether running a request more than once is safe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    #[default]
    Idempotent,
    /// It carries an idempotency key and runs once within the deduplication window.
    Keyed,
    /// It must not run more than once, and no deduplication entry is kept for it.
    Unsafe,
}

impl Effect {
    /// Parses the name used in the settings. Any unknown name yields [`Effect::Unsafe`].
    pub fn named(name: &str) -> Effect {
        match name {
            "retryable" => Effect::Idempotent,
            "dedup" => Effect::Keyed,
            _ => Effect::Unsafe,
        }
    }
}

/// A request class, as described by the settings.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name by which requests refer to the class.
    pub name: Rc<str>,
    /// Whether running its requests more than once is safe.
    pub effect: Effect,
    /// An answer within this time earns the full `priority_weight`.
    pub latency_target: Duration,
    /// How long a caller waits for an answer, over all its attempts.
    pub deadline: Duration,
    /// Weight of an answer within the latency target, relative to other classes.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the latency target earns.
    pub late_share: f64,
    /// Deduplication window: how long after the first attempt a repeat may arrive.
    pub dedup_window: Duration,
    /// Share of the weight that an answer earns if its upstream call was skipped; 0 if the call is required.
    pub share_without_call: f64,
    /// Whether its requests make upstream calls.
    pub makes_calls: bool,
    /// Whether this server currently accepts requests of this class.
    pub offered: bool,
}

/// Which requests a server may run, given what it knows about the versioned configuration in force.
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
    /// Whether a request with this effect may run.
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
    /// No answer before the timeout; it may have taken effect.
    TimedOut,
    /// The connection could not be established.
    Unreachable,
    /// The connection was lost before the answer; it may have taken effect.
    ConnectionLost,
    /// The run was stopped, or its caller had disconnected.
    Cancelled,
    /// Nothing was started, because the request had already ended.
    NeverStarted,
}

impl Outcome {
    /// Whether this outcome proves that nothing ran, so that a retry can't duplicate an effect.
    pub fn provably_not_run(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted)
    }
}

/// What is known about a request once it has been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest<'a> {
    /// Name of its class.
    pub class: &'a str,
    /// Name of its tenant.
    pub tenant: Option<&'a str>,
    /// The entity that the request concerns, such as a user or an account.
    pub subject: Option<&'a str>,
    /// When its caller stops waiting, as time since the server started.
    pub deadline: Option<Duration>,
    /// Estimated run time on a core of standard speed.
    pub work: Option<Duration>,
    /// Memory that it occupies before it runs, in KB.
    pub memory_kb: f64,
    /// Its priority from 0 up to 1. Each class has a band of equal width, and users are spread over the band.
    pub rank: f64,
    /// Whether it is a later attempt, not the first.
    pub retry: bool,
    /// Whether it changes stored data.
    pub write: bool,
    /// The caller that sent it.
    pub caller: CallerId,
    /// How long it waited in the socket buffer before it was read.
    pub unread_time: Duration,
    /// The earlier request that it repeats, if the host still remembers that one.
    pub repeats: Option<RequestId>,
}
