//! Reports to the membership service, often enough that no entry lapses, and at once when the word changes.
//! Each has a connection of its own: one that stays without an answer, which counts all the same, holds up
//! neither the next nor a change of word.

use super::exchange::{Exchange, Failure};
use super::{Due, Server};
use crate::members::{self, EVERY, LAPSE};
use crate::slots::{Slot, Slots};
use std::time::Duration;

/// Between tries while the service can't be reached.
const RETRY: Duration = Duration::from_millis(200);
/// As many as come within the lapse may be out; the oldest gives way.
const MOST: usize = LAPSE.as_secs().div_ceil(EVERY.as_secs()) as usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportId(Slot);

struct Report {
    exchange: Exchange,
    fit: bool,
    since: Duration,
}

#[derive(Default)]
pub struct Reports {
    out: Slots<Report>,
    /// The word that was taken last.
    taken: Option<bool>,
}

impl Server {
    /// The time to report has come.
    pub fn report(&mut self) {
        let fit = self.listed();
        let mut net = self.net();
        let net = &mut *net;
        let now = net.clock.now();
        let mut out: Vec<(Duration, Slot, bool)> =
            net.reports.out.iter().map(|(slot, r)| (r.since, slot, r.fit)).collect();
        out.sort();
        // An older word must not come after a newer one, nor may those without an answer pile up.
        let room = (out.len() + 1).saturating_sub(MOST);
        for (n, (since, slot, word)) in out.into_iter().enumerate() {
            if n < room || word != fit || now >= since + LAPSE {
                net.end_report(slot);
            }
        }
        net.deadlines.set(Due::Report, now + EVERY);
        let report = members::report(&net.members_addr.to_string(), &net.name, fit);
        let out = &mut net.reports.out;
        let keep = |exchange| out.insert(Report { exchange, fit, since: now }).map(ReportId);
        let begun = Exchange::begin(&net.on_loop, net.members_addr, report, Server::report_ready, keep);
        if let Err(e) = begun {
            log::warn!("the membership service can't be reached: {e}");
            net.deadlines.set(Due::Report, now + RETRY);
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
        let Some(reply) = heard else { return };
        let word = report.fit;
        net.end_report(id.0);
        match reply.map(|r| r.status) {
            Ok(204) => {
                if net.reports.taken.replace(word) != Some(word) {
                    log::info!("listed as {}", if word { "UP" } else { "OUT" });
                }
            }
            Ok(status) => log::warn!("the membership service answered {status}"),
            Err(failure) => {
                let why = match failure {
                    Failure::NeverAsked => "no connection",
                    Failure::Closed => "a close",
                    Failure::Unreadable(why) => why,
                };
                log::warn!("a report to the membership service ended with {why}");
                let at = net.clock.now() + RETRY;
                net.deadlines.set(Due::Report, at);
            }
        }
    }

    /// The word, or the place to tell it, has changed: it is told at once.
    pub fn report_soon(&mut self) {
        let mut net = self.net();
        let now = net.clock.now();
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
