//! Timing of the protocol. Every interval is a fixed fraction of the agreement bound that operators set.

use std::time::Duration;

/// Interval between two lease renewals, as a fraction of the agreement bound.
const RENEWAL_INTERVAL_OF_BOUND: f64 = 0.6;
/// Interval between two read confirmations of a committee member, as a fraction of the agreement bound.
const CHECK_INTERVAL_OF_BOUND: f64 = 0.125;
/// Longest wait for a response, as a fraction of the agreement bound.
const RESPONSE_TIMEOUT_OF_BOUND: f64 = 0.08;
/// Time that followers have to evaluate a proposed version, as a fraction of the agreement bound.
const GATHER_TIMEOUT_OF_BOUND: f64 = 0.25;
/// Longest duration of a Paxos round, as a fraction of the agreement bound.
const ROUND_TIMEOUT_OF_BOUND: f64 = 0.25;
/// Extra delay per rank before a member begins a round, as a fraction of the agreement bound.
const RANK_DELAY_OF_BOUND: f64 = 0.08;
/// Silence of a member without acceptor state, as a fraction of the agreement bound: longer than any round or lease
/// in which an earlier incarnation took part.
const QUARANTINE_OF_BOUND: f64 = 1.3;
/// Default of `Timing::clock_drift_per_mille`.
const DEFAULT_CLOCK_DRIFT_PER_MILLE: u32 = 10;

/// A deliberate protocol error, injected so that the invariant checkers can be shown to find it. The program itself
/// never sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// The lease counts from the arrival of the response instead of the sending of the request.
    LeaseFromResponse,
    /// A growing quota takes effect before the shrinking ones have.
    NoHandoverWait,
    /// After a pause, the server acts on its permission level from before the pause.
    StaleLevelAfterPause,
    /// The server acts without a lease.
    NoLeaseCheck,
}

/// Timing parameters, the same on all servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Agreement bound: longest time for which two values of a fenced item may be in use at once.
    pub agreement_bound: Duration,
    /// How long a server without a lease goes on with idempotent requests.
    pub isolation_limit: Duration,
    /// Largest difference between the rates of two clocks, in thousandths.
    pub clock_drift_per_mille: u32,
    /// The protocol error to make, in tests alone.
    pub injected_fault: Option<InjectedFault>,
}

impl Timing {
    /// Parameters with the given agreement bound and isolation limit, the default clock drift and no fault.
    pub fn new(agreement_bound: Duration, isolation_limit: Duration) -> Timing {
        Timing {
            agreement_bound,
            isolation_limit,
            clock_drift_per_mille: DEFAULT_CLOCK_DRIFT_PER_MILLE,
            injected_fault: None,
        }
    }

    /// Duration of a lease, counted from the sending of the renewal. It is shorter than the agreement bound by twice
    /// the clock drift, since the follower's clock and the clock behind the reported age may both be slow.
    pub fn lease_duration(&self) -> Duration {
        self.agreement_bound - self.drift_over(self.agreement_bound)
    }

    /// Largest difference that two clocks can show over a span, with a margin of the same size.
    pub(crate) fn drift_over(&self, span: Duration) -> Duration {
        span * 2 * self.clock_drift_per_mille / 1000
    }

    /// A server that was last seen this long ago has stopped using its version, idempotent requests included.
    pub(crate) fn activity_timeout(&self) -> Duration {
        self.isolation_limit + self.agreement_bound
    }

    /// Interval between two lease renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.agreement_bound.mul_f64(RENEWAL_INTERVAL_OF_BOUND)
    }

    /// Interval between two read confirmations.
    pub fn check_interval(&self) -> Duration {
        self.agreement_bound.mul_f64(CHECK_INTERVAL_OF_BOUND)
    }

    /// Longest wait for a response.
    pub fn response_timeout(&self) -> Duration {
        self.agreement_bound.mul_f64(RESPONSE_TIMEOUT_OF_BOUND)
    }

    /// Time that followers have to evaluate a proposed version.
    pub fn gather_timeout(&self) -> Duration {
        self.agreement_bound.mul_f64(GATHER_TIMEOUT_OF_BOUND)
    }

    /// Longest duration of a Paxos round.
    pub fn round_timeout(&self) -> Duration {
        self.agreement_bound.mul_f64(ROUND_TIMEOUT_OF_BOUND)
    }

    /// Extra delay per rank before a member begins a round.
    pub fn rank_delay(&self) -> Duration {
        self.agreement_bound.mul_f64(RANK_DELAY_OF_BOUND)
    }

    /// Silence of a member that has lost its acceptor state.
    pub fn recovery_quarantine(&self) -> Duration {
        self.agreement_bound.mul_f64(QUARANTINE_OF_BOUND)
    }
}
