//! Shares whose sum has a limit, handed from some to others. What shrinks does so at once; what grows does only when
//! whoever still acts on the version before has shrunk or stopped, and what it had begun by then is over:
//! `agree-within` after it was heard of, and as long again as one use of a share can take.

use crate::timing::{InjectedFault, Terms};
use std::time::Duration;

/// Versions that come faster than that are folded into their least.
const MOST: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaHandover<T> {
    terms: Terms,
    /// The longest that one use of a share takes.
    longest: Duration,
    /// Shares by versions, the last one last; each but the last counts until then.
    shares: Vec<(T, Duration)>,
}

impl<T: PartialOrd + Copy + Default> QuotaHandover<T> {
    /// A server that has just come has no share before: whoever had its part may still be acting on it.
    pub fn new(terms: Terms, longest: Duration) -> QuotaHandover<T> {
        QuotaHandover { terms, longest, shares: vec![(T::default(), Duration::ZERO)] }
    }

    /// A version is in force that gives this share, and has stood for so long at least.
    pub fn given(&mut self, now: Duration, share: T, stood: Duration) {
        self.pass(now);
        let last = self.shares.len() - 1;
        let wait = if self.terms.injected_fault == Some(InjectedFault::NoWait) {
            Duration::ZERO
        } else {
            self.terms.within + self.longest
        };
        self.shares[last].1 = now + wait.saturating_sub(stood);
        self.shares.push((share, Duration::MAX));
        if self.shares.len() > MOST {
            let (first, second) = (self.shares[0], self.shares[1]);
            let least = if first.0 < second.0 { first.0 } else { second.0 };
            self.shares.splice(..2, [(least, second.1.max(first.1))]);
        }
    }

    fn pass(&mut self, now: Duration) {
        let last = self.shares.len() - 1;
        let over = self.shares[..last].iter().take_while(|(_, until)| *until <= now).count();
        self.shares.drain(..over);
    }

    /// What may be used now, and when that is next more.
    pub fn share(&mut self, now: Duration) -> (T, Option<Duration>) {
        self.pass(now);
        let least = self.shares.iter().map(|(share, _)| *share).reduce(|a, b| if b < a { b } else { a });
        let next = self.shares[..self.shares.len() - 1].first().map(|(_, until)| *until);
        (least.unwrap_or_default(), next)
    }
}
