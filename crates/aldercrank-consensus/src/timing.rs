//! Timing of the protocol. Intervals and timeouts are fixed fractions of the agreement bound, which operators set.

use std::time::Duration;

/// Interval between two lease renewals, as a fraction of the agreement bound.
const RENEWAL_INTERVAL_FRACTION: f64 = 0.6;
/// Interval between two read confirmations by a committee member, as a fraction of the agreement bound.
const CHECK_INTERVAL_FRACTION: f64 = 0.125;
/// Longest wait for a response, as a fraction of the agreement bound.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.08;
/// Time that followers have to evaluate a proposed version, as a fraction of the agreement bound.
const EVALUATION_TIMEOUT_FRACTION: f64 = 0.25;
/// Longest duration of each of the two phases of a Paxos round, as a fraction of the agreement bound.
const PHASE_TIMEOUT_FRACTION: f64 = 0.25;
/// Extra delay before a member begins a round, per position on the committee, as a fraction of the agreement bound.
const RANK_DELAY_FRACTION: f64 = 0.08;
/// How long a member that has lost its acceptor state neither votes nor grants leases, as a fraction of the agreement
/// bound: longer than any round or lease in which an earlier incarnation took part.
const QUARANTINE_FRACTION: f64 = 1.3;
/// Default of `Timing::clock_drift_per_mille`.
const DEFAULT_CLOCK_DRIFT_PER_MILLE: u32 = 10;

/// A deliberate protocol error, which tests and checks inject to show that the invariant checkers find it. No setting
/// of the server selects one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// The lease counts from the arrival of the response instead of the sending of the request.
    LeaseFromResponse,
    /// An increased quota takes effect before the decreased ones have.
    NoHandoverWait,
    /// After a pause, the server still acts on the permission level that it had before.
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
    /// The protocol error to inject; `None` outside tests and checks.
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
    /// the clock drift, since the follower's clock and the member's clock, which measures the age of the confirmation,
    /// may both be slow.
    pub fn lease_duration(&self) -> Duration {
        self.agreement_bound - self.drift_over(self.agreement_bound)
    }

    /// Largest difference that two clocks can show over a span, with a margin of the same size.
    pub(crate) fn drift_over(&self, span: Duration) -> Duration {
        span * 2 * self.clock_drift_per_mille / 1000
    }

    /// A server that was last seen this long ago has stopped using its version, even for idempotent requests.
    pub(crate) fn activity_timeout(&self) -> Duration {
        self.isolation_limit + self.agreement_bound
    }

    /// Interval between two lease renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.agreement_bound.mul_f64(RENEWAL_INTERVAL_FRACTION)
    }

    /// Interval between two read confirmations by a committee member.
    pub fn check_interval(&self) -> Duration {
        self.agreement_bound.mul_f64(CHECK_INTERVAL_FRACTION)
    }

    /// Longest wait for a response.
    pub fn response_timeout(&self) -> Duration {
        self.agreement_bound.mul_f64(RESPONSE_TIMEOUT_FRACTION)
    }

    /// Time that followers have to evaluate a proposed version.
    pub fn evaluation_timeout(&self) -> Duration {
        self.agreement_bound.mul_f64(EVALUATION_TIMEOUT_FRACTION)
    }

    /// Longest duration of each of the two phases of a Paxos round.
    pub fn phase_timeout(&self) -> Duration {
        self.agreement_bound.mul_f64(PHASE_TIMEOUT_FRACTION)
    }

    /// Extra delay before a member begins a round, per position on the committee.
    pub fn rank_delay(&self) -> Duration {
        self.agreement_bound.mul_f64(RANK_DELAY_FRACTION)
    }

    /// How long a member that has lost its acceptor state neither votes nor grants leases.
    pub fn recovery_quarantine(&self) -> Duration {
        self.agreement_bound.mul_f64(QUARANTINE_FRACTION)
    }
}
