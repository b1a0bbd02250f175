//! A new configuration at SIGHUP, in any phase: read and checked whole, then each link moves to its new place, and
//! other settings hold by one step between two events. A bad file changes nothing.

use super::{Server, SocketTerms};
use crate::config::Config;
use aldercrank::Settings;

impl Server {
    pub fn reload(&mut self) {
        let new = match (self.reread)() {
            Ok(new) => new,
            Err(why) => return tracing::error!(%why, "the new configuration is left aside"),
        };
        if let Some(why) = self.config.foreign(&new) {
            return tracing::error!(%why, "the new configuration is another server's and is left aside");
        }
        let fixed = self.config.fixed(&new);
        if !fixed.is_empty() {
            tracing::warn!(changed = fixed.join(", "), "what has changed needs a restart");
        }
        if let Some(settings) = self.config.settings_of(&new) {
            self.settings_changed(settings);
        }
        if !self.phase.draining() {
            (self.stop, self.config.stop) = (new.stop, new.stop);
        }
        let Config { pool, index, members, .. } = new;
        tracing::info!(%pool, %members, "configuration read again");
        let (pool_moves, members_moves) = (pool != self.config.pool, members != self.config.members);
        (self.config.pool, self.config.index, self.config.members) = (pool, index, members);
        {
            let mut net = self.net();
            // Calls under way end on their own connections; the next one is made at the new place.
            (net.pool_addr, net.index_addr, net.members_addr) = (pool, index, members);
            if members_moves {
                net.end_reports();
            }
        }
        if pool_moves {
            self.pool_moved();
        }
        if members_moves && self.core.is_some() {
            self.report_soon();
        }
    }

    /// What was read before keeps the effect, expiry and marks that it was read with; what the module learnt stays.
    fn settings_changed(&mut self, settings: Settings) {
        let misfit = self.rules_misfit(&settings);
        if let Some(why) = misfit {
            return tracing::error!(
                why,
                "the new settings are left aside: the rule book in force asks for what they lack"
            );
        }
        let changed = settings
            .0
            .iter()
            .filter(|(name, value)| self.config.settings.0.get(*name) != Some(value))
            .count();
        tracing::info!(changed, "settings changed");
        self.config.settings = settings;
        self.terms = SocketTerms::read(&self.config.settings);
        let mut settings = self.config.settings.clone();
        settings.set("family_info.cold", aldercrank::Value::Flag(self.cold));
        if self.rules_platform(&self.config.settings.clone()) {
            return;
        }
        let now = self.now();
        if let Some(core) = &mut self.core {
            core.goes_by(now, &settings);
        }
    }
}
