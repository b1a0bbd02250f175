//! Reports to the membership service, often enough that no entry lapses, and at once when the word changes.

use super::link::{Fill, Link, Loop};
use super::{Due, Server};
use crate::http;
use crate::members::{self, EVERY, LAPSE};
use std::time::Duration;

/// Between tries while the service can't be reached.
const RETRY: Duration = Duration::from_millis(200);
/// A report without an answer for this long is given up: a slow service is waited for, within the lapse.
const PATIENCE: Duration = Duration::from_millis(LAPSE.as_millis() as u64 * 2 / 3);

#[derive(Default)]
pub struct Reports {
    link: Option<Link>,
    /// The word that is out, and since when; and the one that was taken last.
    out: Option<(bool, Duration)>,
    taken: Option<bool>,
}

impl Reports {
    fn close(&mut self, on_loop: &Loop) {
        if let Some(link) = self.link.take() {
            link.close(on_loop);
        }
    }
}

impl Server {
    /// The time to report has come; one that is still out by then is given up.
    pub fn report(&mut self) {
        let fit = self.listed();
        let mut net = self.net();
        let net = &mut *net;
        let now = net.clock.now();
        if let Some((_, since)) = net.reports.out {
            if now < since + PATIENCE {
                return net.deadlines.set(Due::Report, since + PATIENCE);
            }
            log::warn!("the membership service does not answer");
            net.reports.out = None;
            net.reports.close(&net.on_loop);
        }
        net.deadlines.set(Due::Report, now + EVERY);
        // One that has said more, or its end, can't be used again.
        if net.reports.link.as_mut().is_some_and(|link| link.fill() != Fill::Dry) {
            net.reports.close(&net.on_loop);
        }
        if net.reports.link.is_none() {
            let dialled = Link::dial(&net.on_loop, net.members_addr, |_, server: &mut Server| {
                server.report_ready();
            });
            match dialled {
                Ok(link) => net.reports.link = Some(link),
                Err(e) => {
                    log::warn!("the membership service can't be reached: {e}");
                    return net.deadlines.set(Due::Report, now + RETRY);
                }
            }
        }
        if let Some(link) = &mut net.reports.link {
            let report = members::report(&net.members_addr.to_string(), &net.name, fit);
            link.input.clear();
            link.say(|out| out.extend(report));
            net.reports.out = Some((fit, now));
        }
    }

    fn report_ready(&mut self) {
        let fit = self.listed();
        let mut net = self.net();
        let net = &mut *net;
        let Some(link) = &mut net.reports.link else { return };
        let lost = link.connected().is_err() || {
            link.flush();
            loop {
                match link.fill() {
                    Fill::More => {}
                    Fill::Dry => break false,
                    Fill::End => break true,
                }
            }
        };
        let reply = http::reply(&link.input);
        let usable = match &reply {
            Ok(None) => true,
            Ok(Some(reply)) => reply.keep,
            Err(_) => false,
        };
        let keep = usable && !lost;
        if let Ok(Some(reply)) = &reply {
            link.input.clear();
            match net.reports.out.take() {
                Some((word, since)) if reply.status == 204 => {
                    if net.reports.taken.replace(word) != Some(word) {
                        log::info!("listed as {}", if word { "UP" } else { "OUT" });
                    }
                    // At once where it changed on the way.
                    let next = if word == fit { since + EVERY } else { net.clock.now() };
                    net.deadlines.set(Due::Report, next);
                }
                _ => log::warn!("the membership service answered {}", reply.status),
            }
        }
        if !keep {
            net.reports.close(&net.on_loop);
            if net.reports.out.take().is_some() {
                log::warn!("a report to the membership service was lost");
                let at = net.clock.now() + RETRY;
                net.deadlines.set(Due::Report, at);
            }
        }
    }

    /// The word has changed: it is told at once, or as soon as the report that is out is answered.
    pub fn report_soon(&mut self) {
        let mut net = self.net();
        if net.reports.out.is_none() {
            let now = net.clock.now();
            net.deadlines.set(Due::Report, now);
        }
    }
}
