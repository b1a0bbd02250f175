//! The rule book in force, as it reaches what is in hand: a change of settings in one step, and leases that end by
//! the clock before anything else happens.

use super::*;
use aldercrank::Permission;

/// Until when everything may be taken, and until when what may run again. Without a rule book that is for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    full: Duration,
    alone: Duration,
    /// What the module has been told.
    told: Permission,
}

impl Default for Lease {
    fn default() -> Self {
        Lease { full: Duration::MAX, alone: Duration::MAX, told: Permission::Everything }
    }
}

impl Lease {
    fn leave(&self, now: Duration) -> Permission {
        match () {
            () if now < self.full => Permission::Everything,
            () if now < self.alone => Permission::Idempotent,
            () => Permission::Nothing,
        }
    }

    /// When the module has to be told something else.
    pub(super) fn next(&self) -> Duration {
        match self.told {
            Permission::Everything => self.full,
            Permission::Idempotent => self.alone,
            Permission::Nothing => Duration::MAX,
        }
    }

    pub(super) fn covers(&self, effect: Effect) -> bool {
        self.told.permits(effect)
    }
}

impl<P: Ports> CoreState<P> {
    /// Whether calls to the index may be made: a share of the rule book is none without a lease.
    pub(super) fn may_call(&self) -> bool {
        self.share.is_none_or(|share| share > 0.0 && self.lease.told == Permission::Everything)
    }

    /// What the core itself takes from settings.
    pub(super) fn goes_by(&mut self, settings: &Settings) {
        let classes = parameters::classes(settings);
        let longest = classes.iter().map(|p| p.window).max().unwrap_or_default();
        // An entry may have been made under a longer one.
        self.longest = self.longest.max(longest);
        let key = |i: usize| format!("profiles.{i}.give_up");
        let patience = (0..classes.len()).filter_map(|i| settings.span(&key(i))).max();
        self.patience = patience.unwrap_or(Duration::MAX);
        self.classes = classes.into_iter().map(|p| (p.name, p.effect)).collect();
    }
}

impl<P: Ports> Core<P> {
    /// A version of the rule book is in force: its settings hold for what is read from here on. `share`: of the index,
    /// where the version gives one.
    pub fn in_force(&mut self, now: Duration, settings: &Settings, version: u64, share: Option<f64>) {
        let state = self.at(now);
        (state.version, state.share) = (Some(version), share);
        self.goes_by(now, settings);
    }

    /// Other settings hold for what is read from here on, by one step between two events: what is in hand keeps the
    /// effect and the expiry that it was read with.
    pub fn goes_by(&mut self, now: Duration, settings: &Settings) {
        self.at(now).goes_by(settings);
        self.start_goes_by(settings);
        self.admission.apply_settings(now, settings);
        self.follow();
    }

    /// Everything may be taken until `full`, and what may run again until `alone`.
    pub fn leased(&mut self, now: Duration, full: Duration, alone: Duration) {
        let state = self.at(now);
        (state.lease.full, state.lease.alone) = (full, alone.max(full));
        self.lapse(now);
        self.follow();
    }

    /// Calls that could not be made never ran; the module goes on without them, or later.
    pub(super) fn follow_unmade(&mut self) {
        while let Some(id) = self.admission.host.unmade.pop_front() {
            let now = self.admission.host.now;
            let made = self.admission.host.request(id).and_then(|request| request.called.take());
            if made.is_some() {
                self.admission.call_ended(now, id, Outcome::Unreachable, Duration::ZERO);
            }
        }
    }

    /// Tells the module what may be taken, where that has changed.
    pub(super) fn lapse(&mut self, now: Duration) {
        let lease = &mut self.admission.host.lease;
        let leave = lease.leave(now);
        if std::mem::replace(&mut lease.told, leave) != leave {
            self.admission.set_permission(now, leave);
        }
    }
}
