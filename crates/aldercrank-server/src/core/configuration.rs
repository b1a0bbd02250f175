//! Changes of configuration: settings, configuration versions with their quota, and leases.

use super::ports::Ports;
use super::Core;
use aldercrank::{Outcome, Settings};
use std::time::Duration;

impl<P: Ports> Core<P> {
    /// Puts a configuration version in force. Its settings apply to requests received from now on; `upstream_quota` is
    /// this server's quota of upstream calls, if the version gives one.
    pub fn apply_version(
        &mut self,
        now: Duration,
        settings: &Settings,
        version: u64,
        upstream_quota: Option<f64>,
    ) {
        let state = self.advance_to(now);
        (state.version, state.upstream_quota) = (Some(version), upstream_quota);
        self.apply_settings(now, settings);
    }

    /// Applies new settings to requests received from now on. Requests in flight keep their effect and deadline.
    pub fn apply_settings(&mut self, now: Duration, settings: &Settings) {
        self.advance_to(now).load_settings(settings);
        if let Some(tracker) = &mut self.slow_start {
            tracker.apply_settings(settings);
        }
        self.admission.apply_settings(now, settings);
        self.notify_ended();
    }

    /// Renews the lease: everything is permitted until `full_until`, idempotent requests until `idempotent_until`.
    pub fn renew_lease(&mut self, now: Duration, full_until: Duration, idempotent_until: Duration) {
        self.advance_to(now).lease.renew(full_until, idempotent_until);
        self.apply_lease(now);
        self.notify_ended();
    }

    /// Reports suppressed calls to the admission module as unreachable, since they never ran.
    pub(super) fn notify_suppressed_calls(&mut self) {
        while let Some(id) = self.admission.host.suppressed_calls.pop_front() {
            let now = self.admission.host.now;
            let started_at =
                self.admission.host.request(id).and_then(|request| request.call_started_at.take());
            if started_at.is_some() {
                self.admission.call_ended(now, id, Outcome::Unreachable, Duration::ZERO);
            }
        }
    }

    /// Passes the permission that holds at this time to the admission module, if it has changed.
    pub(super) fn apply_lease(&mut self, now: Duration) {
        if let Some(permission) = self.admission.host.lease.take_change(now) {
            self.admission.set_permission(now, permission);
        }
    }
}
