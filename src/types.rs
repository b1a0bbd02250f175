//! Ids, products and outcomes. No decision lives here.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};
use std::rc::Rc;
use std::time::Duration;

/// A txn as the server knows it; carries no meaning beyond identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A map whose order never shows, and that is the same at each start; it allocates nothing once it has been as
/// full before.
pub type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
pub type RequestMap<V> = DeterministicMap<RequestId, V>;

/// Who sent a txn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// May a txn of a product run again?
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may.
    #[default]
    Idempotent,
    /// A repeat is known by its mark; it runs once within the window.
    Keyed,
    /// Never.
    Unsafe,
}

impl Effect {
    /// By the settings' name for it; what is unknown is not repeated.
    pub fn named(name: &str) -> Effect {
        match name {
            "retryable" => Effect::Idempotent,
            "dedup" => Effect::Keyed,
            _ => Effect::Unsafe,
        }
    }
}

/// A kind of txn, as the settings describe it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: Rc<str>,
    pub effect: Effect,
    /// An answer within this time earns full value.
    pub latency_target: Duration,
    /// How long a client waits across all its tries.
    pub deadline: Duration,
    pub value: f64,
    /// Share of the value earned after the SLA time.
    pub late: f64,
    /// How long a repeat may come after the first.
    pub window: Duration,
    /// Share of the value kept when a call is left out.
    pub without: f64,
    /// Whether it calls below at all.
    pub calls: bool,
    /// Whether it is offered at all.
    pub offered: bool,
}

/// What a server may take, by what it knows of the rules in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Permission {
    #[default]
    Everything,
    /// What may run again.
    Idempotent,
    Nothing,
}

impl Permission {
    pub fn permits(self, effect: Effect) -> bool {
        match self {
            Permission::Everything => true,
            Permission::Idempotent => effect == Effect::Idempotent,
            Permission::Nothing => false,
        }
    }
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Failed,
    /// Turned away unexamined.
    Rejected,
    /// Abandoned; may have had its effect.
    TimedOut,
    /// What lies below could not be reached.
    Unreachable,
    /// Cut off part way; may have had its effect.
    ConnectionLost,
    /// The run was stopped, or had nobody left to answer.
    Cancelled,
    /// Nothing started: the txn was already over.
    NeverStarted,
}

impl Outcome {
    /// Whether this outcome proves that nothing was done.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted)
    }
}

/// What a txn says of itself when it has been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest<'a> {
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub subject: Option<&'a str>,
    /// When its caller gives up, on the instance's clock.
    pub deadline: Option<Duration>,
    /// Estimated work on a core of standard speed.
    pub work: Option<Duration>,
    pub memory_kb: f64,
    /// Position by value from 0 up to 1: one band a product, users spread within it.
    pub rank: f64,
    pub retry: bool,
    pub write: bool,
    pub caller: CallerId,
    /// How long it lay unread.
    pub unread_for: Duration,
    /// The kept txn that this one repeats.
    pub repeats: Option<RequestId>,
}
