//! What both sides go by: all spans are shares of the bound that operators set.

use std::time::Duration;

/// A lease, as a share of the bound, before clocks are allowed for.
const RENEW: f64 = 0.6;
/// How often a member asks the others whether it still knows the latest.
const CHECK: f64 = 0.125;
/// How long anybody waits for an answer.
const ANSWER: f64 = 0.08;
/// How long servers have to say whether they can go by a draft.
const GATHER: f64 = 0.25;
/// A round that has not come to its end by then is over.
const ROUND: f64 = 0.25;
/// A member waits so much longer than the one before it in the order of names, before it begins a round.
const RANK: f64 = 0.08;
/// A member that remembers nothing keeps silent for so long: a round that an earlier life of it took part in is
/// over by then, and so is each lease that hung on it.
const QUARANTINE: f64 = 1.3;

/// A way in which an implementation could go wrong, done on purpose so that checks are seen to find it. Nothing in
/// the program sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// The lease is counted from when the answer came.
    FromAnswer,
    /// What grows does not wait until what shrinks has shrunk.
    NoWait,
    /// After it was stopped, a server acts before it has looked at the clock.
    WakesUnlooked,
    /// It acts whether it has a lease or not.
    NoFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// For no longer than this may two values of a fenced item be acted on.
    pub within: Duration,
    /// For so long a server out of touch goes on with what may run again.
    pub alone: Duration,
    /// How far the rates of two clocks may be apart, in thousandths.
    pub drift: u32,
    pub injected_fault: Option<InjectedFault>,
}

impl Terms {
    pub fn new(within: Duration, alone: Duration) -> Terms {
        Terms { within, alone, drift: 10, injected_fault: None }
    }

    /// How long a lease is good for, from when it was asked for: on a clock that runs late by the drift, and with an
    /// age told by one that does, it still ends within the bound.
    pub fn lease(&self) -> Duration {
        self.within - self.within * 2 * self.drift / 1000
    }

    pub fn renew(&self) -> Duration {
        self.within.mul_f64(RENEW)
    }

    pub fn check(&self) -> Duration {
        self.within.mul_f64(CHECK)
    }

    pub fn answer(&self) -> Duration {
        self.within.mul_f64(ANSWER)
    }

    pub fn gather(&self) -> Duration {
        self.within.mul_f64(GATHER)
    }

    pub fn round(&self) -> Duration {
        self.within.mul_f64(ROUND)
    }

    pub fn rank(&self) -> Duration {
        self.within.mul_f64(RANK)
    }

    pub fn quarantine(&self) -> Duration {
        self.within.mul_f64(QUARANTINE)
    }
}
