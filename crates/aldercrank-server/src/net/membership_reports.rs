//! Reports of this server's health to the membership service.
//!
//! Reports are sent often enough that the server's entry never expires, and at once when the reported health changes.
//! Each report has a connection of its own, so one that is not answered, but may have been received, delays neither the
//! next one nor the report of a change. `aldercrank-pacing` decides when the next report is due, so that a fleet that
//! starts, or whose membership service becomes available again, neither reports in one burst nor stays synchronized.

use super::http_exchange::{ExchangeError, HttpExchange};
use super::{Net, Server, TimerEvent};
use crate::membership::{self, ENTRY_TTL, REPORT_INTERVAL};
use crate::slots::{Slot, Slots};
use aldercrank_pacing::RetryPacer;
use std::time::Duration;

/// The most outstanding reports: as many as are sent within an entry's TTL. Beyond that, the oldest is closed.
const MAX_OUTSTANDING: usize = ENTRY_TTL.as_secs().div_ceil(REPORT_INTERVAL.as_secs()) as usize;
/// The HTTP status with which the membership service accepts a report.
const STATUS_ACCEPTED: u16 = 204;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportId(Slot);

struct Report {
    exchange: HttpExchange,
    healthy: bool,
    sent_at: Duration,
}

/// Outstanding reports and their pacing.
pub(super) struct MembershipReports {
    outstanding: Slots<Report>,
    /// The health that the membership service accepted last.
    accepted: Option<bool>,
    pacer: RetryPacer,
    /// The latest report, if its outcome is not known yet and decides when the next one is due.
    latest: Option<Slot>,
    /// Whether the report that this server shuts down is still to be sent.
    shutdown_report_pending: bool,
}

impl MembershipReports {
    /// Creates the state before the first report.
    pub(super) fn new(pacer: RetryPacer) -> MembershipReports {
        MembershipReports {
            outstanding: Slots::default(),
            accepted: None,
            pacer,
            latest: None,
            shutdown_report_pending: false,
        }
    }

    /// Whether this server has to delay its exit, since the report that it shuts down has not been sent.
    pub(super) fn shutdown_report_pending(&self) -> bool {
        self.shutdown_report_pending
    }

    /// Makes the time of the next report independent of the outcome of the latest one, since what is to be reported has
    /// changed.
    fn discard_latest(&mut self) {
        self.latest = None;
    }
}

impl Server {
    /// Sends a report now.
    fn send_report(&mut self) {
        let (healthy, version) = (self.reports_healthy(), self.config_version_number());
        let slow_starting_core = self.core.as_ref().filter(|_| self.config.start.report_share);
        let share = slow_starting_core.and_then(|core| core.slow_start_status()).map(|status| status.share);
        let mut net = self.net();
        let net = &mut *net;
        let now = net.clock.now();
        net.close_obsolete_reports(healthy, now);
        // A report that is not answered by then counts as lost.
        net.timers.set(TimerEvent::Report, now + REPORT_INTERVAL);
        let host = net.membership_address.to_string();
        let message = membership::write_report(&host, &net.name, healthy, version, share);
        let outstanding = &mut net.reports.outstanding;
        let store = |exchange| outstanding.insert(Report { exchange, healthy, sent_at: now }).map(ReportId);
        let started = HttpExchange::start(
            &net.event_loop,
            net.membership_address,
            &message,
            Server::report_event,
            store,
        );
        match started {
            Ok(id) => {
                net.reports.latest = id.map(|id| id.0);
                net.reports.shutdown_report_pending &= id.is_some();
            }
            Err(e) => {
                tracing::warn!(reason = %e, "could not connect to the membership service; retrying the report");
                net.reports.shutdown_report_pending = false;
                let retry_at = net.reports.pacer.failed(now);
                net.timers.set(TimerEvent::Report, retry_at);
            }
        }
    }

    /// The next report is due, or the latest one should have been answered by now.
    pub(super) fn report_due(&mut self) {
        let retry_at = {
            let mut net = self.net();
            let (now, reports) = (net.clock.now(), &mut net.reports);
            let unanswered = reports.latest.take().and_then(|slot| reports.outstanding.get(slot));
            let sent_at = unanswered.map(|report| report.sent_at);
            let retry_at = sent_at.map(|sent_at| reports.pacer.failed(sent_at)).filter(|at| *at > now);
            retry_at.inspect(|at| net.timers.set(TimerEvent::Report, *at))
        };
        if retry_at.is_none() {
            self.send_report();
        }
    }

    fn report_event(&mut self, id: ReportId) {
        let mut buffer = self.take_read_buffer();
        let net = self.net.clone();
        let mut net = net.borrow_mut();
        let net = &mut *net;
        let Some(report) = net.reports.outstanding.get_mut(id.0) else { return };
        let polled = report.exchange.poll_response(&mut buffer);
        self.read_buffer = buffer;
        net.reports.shutdown_report_pending &=
            report.healthy || !(polled.is_some() || report.exchange.request_sent());
        let Some(response) = polled else { return };
        let (healthy, sent_at) = (report.healthy, report.sent_at);
        net.close_report(id.0);
        let now = net.clock.now();
        let pacer = &mut net.reports.pacer;
        let next_at = match &response {
            Ok(response) if response.status == STATUS_ACCEPTED => pacer.succeeded(now, sent_at),
            Ok(response) => pacer.rejected(now, response.retry_after),
            Err(_) => pacer.failed(now),
        };
        // Only the latest report decides when the next is due.
        if net.reports.latest.take_if(|latest| *latest == id.0).is_some() {
            net.timers.set(TimerEvent::Report, next_at);
        }
        let response = response.map(|response| response.status);
        net.reports.log_outcome(response, healthy, next_at.saturating_sub(now));
    }

    /// Schedules the first report at a random time. Called when the worker pool is bound for the first time.
    pub(super) fn schedule_first_report(&mut self) {
        let mut net = self.net();
        let now = net.clock.now();
        let first_at = net.reports.pacer.first_attempt(now);
        net.timers.set(TimerEvent::Report, first_at);
    }

    /// Schedules the report that this server shuts down at a random time within `spread`, since servers are often
    /// stopped together. Returns another random duration within `spread`, by which peers are asked to close earlier.
    pub(super) fn schedule_shutdown_report(&mut self, spread: Duration) -> Duration {
        let mut net = self.net();
        let now = net.clock.now();
        let report_at = now + net.reports.pacer.random_time_within(spread);
        net.reports.shutdown_report_pending = true;
        net.reports.discard_latest();
        net.timers.set(TimerEvent::Report, report_at);
        net.reports.pacer.random_time_within(spread)
    }

    /// Schedules a report for this turn of the event loop. Called when the health or the membership service's address
    /// has changed.
    pub(super) fn report_soon(&mut self) {
        let mut net = self.net();
        let now = net.clock.now();
        net.reports.discard_latest();
        net.timers.set(TimerEvent::Report, now);
    }
}

impl MembershipReports {
    fn log_outcome(&mut self, status: Result<u16, ExchangeError>, healthy: bool, next_in: Duration) {
        let next_ms = next_in.as_millis() as u64;
        match status {
            Ok(STATUS_ACCEPTED) => {
                if self.accepted.replace(healthy) != Some(healthy) {
                    let phase = membership::phase_name(healthy);
                    tracing::info!(phase, "membership service accepted a changed health report");
                }
            }
            Ok(status) => {
                tracing::warn!(status, next_ms, "membership service rejected a health report; retrying");
            }
            Err(error) => {
                tracing::warn!(reason = %error, next_ms, "health report to the membership service failed; retrying");
            }
        }
    }
}

impl Net {
    /// Closes outstanding reports of another health, which must not arrive after the new one, reports that are older
    /// than an entry's TTL, and the oldest ones if too many are outstanding.
    fn close_obsolete_reports(&mut self, healthy: bool, now: Duration) {
        let mut outstanding: Vec<(Duration, Slot, bool)> = self
            .reports
            .outstanding
            .iter()
            .map(|(slot, report)| (report.sent_at, slot, report.healthy))
            .collect();
        outstanding.sort();
        let excess = (outstanding.len() + 1).saturating_sub(MAX_OUTSTANDING);
        for (n, (sent_at, slot, reported)) in outstanding.into_iter().enumerate() {
            if n < excess || reported != healthy || now >= sent_at + ENTRY_TTL {
                self.close_report(slot);
            }
        }
    }

    fn close_report(&mut self, slot: Slot) {
        if let Some(report) = self.reports.outstanding.remove(slot) {
            report.exchange.close(&self.event_loop);
        }
    }

    /// Closes all outstanding reports. Called when the membership service's address has changed.
    pub(super) fn close_reports(&mut self) {
        let slots: Vec<Slot> = self.reports.outstanding.iter().map(|(slot, _)| slot).collect();
        slots.into_iter().for_each(|slot| self.close_report(slot));
    }
}
