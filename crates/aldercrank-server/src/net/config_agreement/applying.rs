//! Applies what the agreement decides: committed versions, leases and quotas reach the core, and followers are
//! notified.

use super::ports::{FollowerPorts, NewVersion};
use super::ConfigAgreement;
use crate::net::{Server, TimerEvent};
use aldercrank::Settings;
use aldercrank_consensus::{PermissionBounds, PermissionLevel, QuotaHandover};
use aldercrank_versioned_config::changes;
use std::time::Duration;

impl Server {
    /// Updates the agreement, and applies everything that follows from the update in one step.
    pub(super) fn update_agreement(&mut self, update: impl FnOnce(&mut ConfigAgreement, Duration)) {
        let Some(mut agreement) = self.agreement.take() else { return };
        let now = agreement.clock.now();
        update(&mut agreement, now);
        agreement.answer_local_requests(now);
        self.apply_agreement(&mut agreement, now);
        self.agreement = Some(agreement);
    }

    fn apply_agreement(&mut self, agreement: &mut ConfigAgreement, now: Duration) {
        loop {
            if let Some(new) = agreement.context.new_version.take() {
                self.apply_version(agreement, now, &new);
            }
            self.apply_lease(agreement, now);
            let Some(proposed) = agreement.context.notification.take() else { break };
            self.notify_followers(agreement, proposed);
            // This server's own follower is notified as well.
            agreement.follower.notification_received(
                now,
                proposed,
                &mut FollowerPorts(&mut agreement.context),
            );
            agreement.answer_local_requests(now);
        }
        if let (None, Some(member)) = (&agreement.member, agreement.follower.current_member()) {
            agreement.context.peers.close_idle_except(member);
        }
        let due_in = agreement.next_due(now).saturating_sub(now);
        let mut net = self.net();
        let due = net.clock.now() + due_in;
        net.timers.set(TimerEvent::ConfigAgreement, due);
    }

    /// Puts a version in force: stores it, passes its settings to the core, and joins the committee if the version
    /// names this server.
    fn apply_version(&mut self, agreement: &mut ConfigAgreement, now: Duration, new: &NewVersion) {
        let NewVersion { version, parsed, committed_for } = new;
        let before = agreement.in_force.replace(parsed.clone());
        agreement.in_force_since = now;
        let quota = parsed.quota(&agreement.context.server.0);
        if quota.is_some() || agreement.quotas.is_some() {
            let platform = &agreement.context.platform;
            let own_limit = platform.number("family_info.calls_out").unwrap_or_default();
            // A call lasts no longer than its request.
            let deadlines = (0..).map_while(|i| platform.duration(&format!("profiles.{i}.give_up")));
            let longest_call = deadlines.max().unwrap_or_default();
            let timing = &agreement.timing;
            let quotas =
                agreement.quotas.get_or_insert_with(|| QuotaHandover::new(timing.clone(), longest_call));
            quotas.version_committed(now, quota.unwrap_or(own_limit), *committed_for);
        }
        if let Some(committed) = agreement.follower.committed() {
            agreement.context.state_file.store_version(committed, &version.text);
        }
        let changed = before.map_or(0, |before| changes(&before, parsed).len());
        tracing::info!(
            version = version.version_id.number,
            digest = %parsed.digest(),
            changed,
            "configuration version in force"
        );
        agreement.join_committee(now, version);
        self.apply_settings(agreement, now);
    }

    /// Passes the settings in force to the core.
    fn apply_settings(&mut self, agreement: &mut ConfigAgreement, now: Duration) {
        let pool_was_cold = self.pool_was_cold;
        if let (Some(mut effective), Some(core)) = (agreement.effective_settings(now), &mut self.core) {
            effective.settings.set("family_info.cold", aldercrank::Value::Flag(pool_was_cold));
            let number = agreement.in_force.as_ref().map_or(0, |version| version.number.0);
            let at = self.net.borrow().clock.now();
            core.apply_version(at, &effective.settings, number, effective.quota);
        }
    }

    /// Passes the bounds of the lease to the core, and marks the health as changed if the permission is lost or
    /// regained.
    fn apply_lease(&mut self, agreement: &mut ConfigAgreement, now: Duration) {
        let bounds = agreement.follower.bounds();
        let permission = agreement.follower.level(now);
        if bounds != agreement.permission_bounds {
            agreement.permission_bounds = bounds;
            self.apply_lease_bounds(agreement, now);
        }
        let before = std::mem::replace(&mut agreement.permission, permission);
        if before != permission {
            let level = permission_name(permission);
            tracing::info!(level, "permission level under the versioned configuration changed");
            if (before == PermissionLevel::Denied) != (permission == PermissionLevel::Denied) {
                self.net().health_changed = true;
            }
        }
    }

    fn apply_lease_bounds(&mut self, agreement: &ConfigAgreement, now: Duration) {
        let at = self.now();
        // The two clocks differ only in their start.
        let on_core_clock = |bound: Duration| match bound {
            Duration::MAX => bound,
            bound => (at + bound).saturating_sub(now),
        };
        let PermissionBounds { full_until, idempotent_until } = agreement.permission_bounds;
        if let Some(core) = &mut self.core {
            core.renew_lease(at, on_core_clock(full_until), on_core_clock(idempotent_until));
        }
    }

    /// Passes the lease and settings known so far to a core that has just started.
    pub(in crate::net) fn apply_config_to_new_core(&mut self) {
        let Some(mut agreement) = self.agreement.take() else { return };
        let now = agreement.clock.now();
        self.apply_lease_bounds(&agreement, now);
        self.apply_settings(&mut agreement, now);
        self.agreement = Some(agreement);
    }

    /// Why these platform settings are incompatible with the version in force; `None` if they are not.
    pub(in crate::net) fn config_version_incompatibility(&self, settings: &Settings) -> Option<String> {
        let agreement = self.agreement.as_ref()?;
        let version = agreement.in_force.as_ref()?;
        version.incompatibilities(settings, &agreement.context.server.0).first().map(ToString::to_string)
    }

    /// Applies changed platform settings, which versions build on. Returns whether a version is in force; if so, the
    /// resulting settings have been passed to the core.
    pub(in crate::net) fn platform_settings_changed(&mut self, settings: &Settings) -> bool {
        let Some(mut agreement) = self.agreement.take() else { return false };
        agreement.context.platform = settings.clone();
        let now = agreement.clock.now();
        self.apply_settings(&mut agreement, now);
        let is_in_force = agreement.in_force.is_some();
        self.agreement = Some(agreement);
        is_in_force
    }

    /// Whether no request may run, since this server doesn't know which version is in force.
    pub(in crate::net) fn lacks_permission(&self) -> bool {
        self.agreement.as_ref().is_some_and(|agreement| agreement.permission == PermissionLevel::Denied)
    }

    /// The number of the version in force.
    pub(in crate::net) fn config_version_number(&self) -> Option<u64> {
        self.agreement.as_ref()?.in_force.as_ref().map(|version| version.number.0)
    }

    /// Handles the timer of the agreement.
    pub(in crate::net) fn agreement_due(&mut self) {
        let quotas = |server: &Server| server.agreement.as_ref().and_then(|a| a.quotas.clone());
        let before = quotas(self);
        self.update_agreement(|agreement, now| agreement.timer_fired(now));
        if before != quotas(self) {
            // A quota can grow by the passage of time alone; the core is then given the new one.
            if let Some(mut agreement) = self.agreement.take() {
                let now = agreement.clock.now();
                self.apply_settings(&mut agreement, now);
                self.agreement = Some(agreement);
            }
        }
        self.poll_versions();
    }
}

/// The name of a permission level in logs and in the status.
pub(super) fn permission_name(permission: PermissionLevel) -> &'static str {
    match permission {
        PermissionLevel::Denied => "mute",
        PermissionLevel::IdempotentOnly => "alone",
        PermissionLevel::Full => "full",
    }
}
