//! Reloads the configuration on SIGHUP, in any phase.
//!
//! The new file is read and checked completely before anything changes. Settings and addresses then change in one step
//! between two events. An invalid file changes nothing.

use super::socket_settings::SocketSettings;
use super::Server;
use crate::config::Config;
use aldercrank::Settings;

impl Server {
    /// Reads the configuration again and applies what has changed.
    pub(super) fn reload(&mut self) {
        let new = match (self.read_config)() {
            Ok(new) => new,
            Err(error) => {
                return tracing::error!(reason = %error, "could not load the new configuration; keeping the present one");
            }
        };
        if let Some(reason) = self.config.foreign_reason(&new) {
            return tracing::error!(
                %reason,
                "the new configuration belongs to another server; keeping the present one"
            );
        }
        let fixed = self.config.restart_only_changes(&new);
        if !fixed.is_empty() {
            let fields = fixed.join(", ");
            tracing::warn!(fields, "some changed configuration fields take effect only after a restart");
        }
        if let Some(settings) = self.config.reloadable_settings(&new) {
            self.settings_changed(settings);
        }
        if !self.phase.is_draining() {
            (self.stop_timeout, self.config.stop_timeout) = (new.stop_timeout, new.stop_timeout);
        }
        self.addresses_changed(&new);
    }

    fn addresses_changed(&mut self, new: &Config) {
        let Config { pool_address: pool, dependency_address: index, membership_address: members, .. } = *new;
        tracing::info!(worker_pool = %pool, membership_service = %members, "configuration reloaded");
        let pool_moved = pool != self.config.pool_address;
        let membership_moved = members != self.config.membership_address;
        (self.config.pool_address, self.config.dependency_address, self.config.membership_address) =
            (pool, index, members);
        {
            let mut net = self.net();
            // Outstanding calls continue on their connections; new calls go to the new address.
            (net.pool_address, net.dependency_address, net.membership_address) = (pool, index, members);
            if membership_moved {
                net.close_reports();
            }
        }
        if pool_moved {
            self.pool_address_changed();
        }
        if membership_moved {
            self.poll_new_membership_service();
        }
        if membership_moved && self.core.is_some() {
            self.report_soon();
        }
    }

    /// Applies changed settings. Requests that were received before keep the settings they were received with, and the
    /// admission module keeps its learned state.
    fn settings_changed(&mut self, settings: Settings) {
        if let Some(reason) = self.config_version_incompatibility(&settings) {
            return tracing::error!(
                reason,
                "the new settings are incompatible with the configuration version in force; keeping the present settings"
            );
        }
        let present = &self.config.settings.0;
        let changed = settings.0.iter().filter(|(name, value)| present.get(*name) != Some(value)).count();
        tracing::info!(changed, "settings changed; in use from now on");
        self.config.settings = settings;
        self.socket_settings = SocketSettings::new(&self.config.settings);
        self.socket_settings.apply_to(&mut self.net().edge);
        let mut settings = self.config.settings.clone();
        if self.platform_settings_changed(&settings) {
            return;
        }
        settings.set("family_info.cold", aldercrank::Value::Flag(self.pool_was_cold));
        let now = self.now();
        if let Some(core) = &mut self.core {
            core.apply_settings(now, &settings);
        }
    }
}
