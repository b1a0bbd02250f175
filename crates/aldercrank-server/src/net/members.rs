//! Reports to the membership service, often enough that no entry lapses, and at once when the word changes.
//! Each has a connection of its own: one that stays without an answer, which counts all the same, holds up
//! neither the next nor a change of word. When the next is due, `aldercrank-pacing` says: a fleet that starts, or
//! whose service comes back, must not come in one tenth of a second, nor again together ever after.

use super::exchange::{Exchange, Failure};
use super::{Due, Server};
use crate::membership::{self, ENTRY_TTL, REPORT_INTERVAL};
use crate::slots::{Slot, Slots};
use aldercrank_pacing::RetryPacer;
use std::time::Duration;

/// As many as come within the lapse may be out; the oldest gives way.
const MOST: usize = ENTRY_TTL.as_secs().div_ceil(REPORT_INTERVAL.as_secs()) as usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportId(Slot);

struct Report {
    exchange: Exchange,
    fit: bool,
    since: Duration,
}

pub struct Reports {
    out: Slots<Report>,
    /// The word that was taken last.
    taken: Option<bool>,
    pace: RetryPacer,
    /// The last one, until it is known what came of it.
    last: Option<Slot>,
    /// That this server leaves has still to be said.
    owed: bool,
}

impl Reports {
    pub fn new(pace: RetryPacer) -> Reports {
        Reports { out: Slots::default(), taken: None, pace, last: None, owed: false }
    }

    /// Whether a server that leaves must not end yet: nobody has been told.
    pub fn owed(&self) -> bool {
        self.owed
    }

    /// The word has changed: when it is said hangs no longer on what comes of an earlier one, neither on its answer
    /// nor on that there is none.
    fn changed(&mut self) {
        self.last = None;
    }

    /// When the first is due.
    pub fn first(&mut self, now: Duration) -> Duration {
        self.pace.first(now)
    }
}

impl Server {
    /// The time to report has come.
    pub fn report(&mut self) {
        let (fit, version) = (self.listed(), self.rules_version());
        let told = self.core.as_ref().filter(|_| self.config.start.tell_share);
        let share = told.and_then(|core| core.started()).map(|look| look.share);
        let mut net = self.net();
        let net = &mut *net;
        let now = net.clock.now();
        let mut out: Vec<(Duration, Slot, bool)> =
            net.reports.out.iter().map(|(slot, r)| (r.since, slot, r.fit)).collect();
        out.sort();
        // An older word must not come after a newer one, nor may those without an answer pile up.
        let room = (out.len() + 1).saturating_sub(MOST);
        for (n, (since, slot, word)) in out.into_iter().enumerate() {
            if n < room || word != fit || now >= since + ENTRY_TTL {
                net.end_report(slot);
            }
        }
        // By then the one that goes out now will have been answered, or it counts as lost.
        net.deadlines.set(Due::Report, now + REPORT_INTERVAL);
        let report = membership::write_report(&net.members_addr.to_string(), &net.name, fit, version, share);
        let out = &mut net.reports.out;
        let keep = |exchange| out.insert(Report { exchange, fit, since: now }).map(ReportId);
        let begun = Exchange::begin(&net.on_loop, net.members_addr, report, Server::report_ready, keep);
        match begun {
            Ok(id) => {
                net.reports.last = id.map(|id| id.0);
                net.reports.owed &= id.is_some();
            }
            Err(e) => {
                tracing::warn!(why = %e, "the membership service can't be reached");
                net.reports.owed = false;
                let at = net.reports.pace.failed(now);
                net.deadlines.set(Due::Report, at);
            }
        }
    }

    /// The next report is due, or the last one should have been answered by now.
    pub fn report_due(&mut self) {
        let later = {
            let mut net = self.net();
            let (now, reports) = (net.clock.now(), &mut net.reports);
            let unanswered = reports.last.take().and_then(|slot| reports.out.get(slot));
            let begun = unanswered.map(|report| report.since);
            let at = begun.map(|begun| reports.pace.failed(begun)).filter(|at| *at > now);
            at.inspect(|at| net.deadlines.set(Due::Report, *at))
        };
        if later.is_none() {
            self.report();
        }
    }

    fn report_ready(&mut self, id: ReportId) {
        let mut chunk = self.chunk();
        let net = self.net.clone();
        let mut net = net.borrow_mut();
        let net = &mut *net;
        let Some(report) = net.reports.out.get_mut(id.0) else { return };
        let heard = report.exchange.hear(&mut chunk);
        self.chunk = chunk;
        // Said, or past saying.
        net.reports.owed &= report.fit || !(heard.is_some() || report.exchange.asked());
        let Some(reply) = heard else { return };
        let (word, since) = (report.fit, report.since);
        net.end_report(id.0);
        let now = net.clock.now();
        // Of an earlier one nothing follows: the last one says when the next is due.
        let last = net.reports.last.take_if(|last| *last == id.0).is_some();
        let pace = &mut net.reports.pace;
        let at = match &reply {
            Ok(reply) if reply.status == 204 => pace.succeeded(now, since),
            Ok(reply) => pace.rejected(now, reply.retry_after),
            Err(_) => pace.failed(now),
        };
        if last {
            net.deadlines.set(Due::Report, at);
        }
        match reply.map(|r| r.status) {
            Ok(204) => {
                if net.reports.taken.replace(word) != Some(word) {
                    tracing::info!(phase = if word { "UP" } else { "OUT" }, "listed");
                }
            }
            Ok(status) => {
                let next_ms = at.saturating_sub(now).as_millis() as u64;
                tracing::warn!(status, next_ms, "the membership service took no report");
            }
            Err(failure) => {
                let why = match failure {
                    Failure::NeverAsked => "no connection",
                    Failure::Closed => "a close",
                    Failure::Unreadable(why) => why,
                };
                let next_ms = at.saturating_sub(now).as_millis() as u64;
                tracing::warn!(why, next_ms, "a report to the membership service came to nothing");
            }
        }
    }

    /// The pool is up: there is something to report, at the moment that is drawn for this server.
    pub fn first_report(&mut self) {
        let mut net = self.net();
        let now = net.clock.now();
        let at = net.reports.first(now);
        net.deadlines.set(Due::Report, at);
    }

    /// This server leaves, and others with it as a rule: it says so a moment of its own later, within this span. Its
    /// connections are told at another such moment before the last.
    pub fn report_leaving(&mut self, span: Duration) -> Duration {
        let mut net = self.net();
        let now = net.clock.now();
        let at = now + net.reports.pace.within(span);
        net.reports.owed = true;
        net.reports.changed();
        net.deadlines.set(Due::Report, at);
        net.reports.pace.within(span)
    }

    /// The word, or the place to tell it, has changed: it is told at once.
    pub fn report_soon(&mut self) {
        let mut net = self.net();
        let now = net.clock.now();
        net.reports.changed();
        net.deadlines.set(Due::Report, now);
    }
}

impl super::Net {
    fn end_report(&mut self, slot: Slot) {
        if let Some(report) = self.reports.out.remove(slot) {
            report.exchange.close(&self.on_loop);
        }
    }

    /// None goes on at the old place.
    pub fn end_reports(&mut self) {
        let all: Vec<Slot> = self.reports.out.iter().map(|(slot, _)| slot).collect();
        all.into_iter().for_each(|slot| self.end_report(slot));
    }
}
