//! Changes at runtime: new settings, new permissions, and graceful shutdown.

use super::constants::MAX_CALL_WINDOW_SHARE;
use super::state::{Drain, LogTopic, OtherServers};
use super::Admission;
use crate::host::Host;
use crate::parameters::{self, Parameters};
use crate::request::{Request, Stage, Timer};
use crate::settings::Settings;
use crate::types::{Permission, RequestId};
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Applies new settings. Requests that have been read keep their effect and deadline, and a deduplication entry
    /// keeps its window if that is longer than the new one. Settings whose request classes have other names, or the
    /// same names in another order, are rejected.
    pub fn apply_settings(&mut self, now: Duration, settings: &Settings) {
        let classes = parameters::request_classes(settings);
        if !classes.iter().map(|class| &class.name).eq(self.classes.iter().map(|class| &class.name)) {
            return self.log(now, LogTopic::Settings, || {
                "new settings rejected, the old ones stay in force: request classes differ".to_string()
            });
        }
        let longest_deadline = parameters::longest_deadline(&classes).unwrap_or_default();
        self.longest_deadline = self.longest_deadline.max(longest_deadline);
        let extended = self.dedup.extend_windows(&self.classes, &classes);
        (self.parameters, self.classes) = (Parameters::from_settings(settings), classes);
        self.call_window = self.call_window.min(self.parameters.call_quota * MAX_CALL_WINDOW_SHARE);
        for entry in extended {
            self.timers.insert(Timer::dedup_entry(entry.request_id, entry.ends_at), ());
            self.host.remember(entry.request_id, entry.ends_at.saturating_sub(now));
        }
        self.start_calls(now);
    }

    /// Sets which requests may run from now on. Queued requests that are no longer permitted are rejected immediately.
    pub fn set_permission(&mut self, now: Duration, permission: Permission) {
        self.permission = permission;
        let barred =
            |request: &Request| request.stage == Stage::Queued && !permission.permits(request.effect);
        let mut ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| barred(request)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids.into_iter().for_each(|id| self.reject_by_policy(id, OtherServers::MayBeTried));
        self.start_queued(now);
    }

    /// Begins a graceful shutdown. Requests that arrive after their callers should have stopped sending are rejected,
    /// and all requests are answered before the process is stopped at `stop`.
    pub fn drain(&mut self, now: Duration, stop: Duration) {
        self.draining = Some(Drain { notified_at: now, stops_at: stop });
        self.host.set_health(false, true);
        let tick = self.parameters.tick;
        for (id, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > stop) {
            self.timers.remove(&Timer::deadline(*id, request.deadline, tick));
            request.deadline = stop;
            self.timers.insert(Timer::deadline(*id, stop, tick), ());
        }
        let in_flight = self.requests.len();
        self.log(now, LogTopic::Drain, || {
            format!("draining: {in_flight} requests in flight, all to be answered before {stop:?} of uptime")
        });
        self.run_due_timers(now);
    }
}
