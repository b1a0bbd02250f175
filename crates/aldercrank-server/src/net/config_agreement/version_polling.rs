//! Reads proposed versions from the membership service by long polls, while this server is a committee member.

use super::ports::MemberPorts;
use super::version_id;
use crate::clock::Clock;
use crate::config::Config;
use crate::http::Response;
use crate::membership;
use crate::net::connection::EventLoopHandle;
use crate::net::http_exchange::{ExchangeError, HttpExchange};
use crate::net::Server;
use aldercrank_consensus::ConfigVersion;
use aldercrank_pacing::RetryPacer;
use aldercrank_service_config::Fault;
use aldercrank_versioned_config::VersionedConfig;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long the membership service delays its answer while the version doesn't change.
const POLL_WAIT: Duration = Duration::from_secs(5);
/// An answer that takes at least this share of [`POLL_WAIT`] is taken as delayed by the service.
const LONG_POLL_SHARE: f64 = 0.9;
/// After a change the next poll starts after this share of [`POLL_WAIT`]. This limits the rate of polls to a service
/// whose answer differs each time.
const POLL_AGAIN_SHARE: f64 = 0.02;
/// After an answer that is not a valid version the next poll starts after this share of [`POLL_WAIT`]. There is no
/// backoff, since the service works and its next version may be valid.
const POLL_AFTER_INVALID_SHARE: f64 = 0.1;
/// How much longer than [`POLL_WAIT`] a poll waits for its answer.
const POLL_GRACE: Duration = Duration::from_secs(2);
const STATUS_OK: u16 = 200;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;
const STATUS_NOT_FOUND: u16 = 404;

/// The outstanding poll.
struct OutstandingPoll {
    number: u64,
    exchange: HttpExchange,
    started_at: Duration,
}

/// The version that was read last.
struct KnownVersion {
    /// Its entity tag.
    tag: String,
    number: u64,
}

/// A response to a poll that was read completely.
struct PollResponse {
    response: Response,
    body: Vec<u8>,
}

/// State of the polls.
pub(super) struct VersionPolling {
    pacer: RetryPacer,
    outstanding: Option<OutstandingPoll>,
    last_number: u64,
    /// When the next poll starts, or the outstanding one times out.
    due: Duration,
    known: Option<KnownVersion>,
}

impl VersionPolling {
    /// Creates the state before the first poll, which is due at once.
    pub(super) fn new(config: &Config, now: Duration) -> VersionPolling {
        let pacer_config = aldercrank_pacing::RetryPacerConfig {
            interval: POLL_WAIT,
            entry_lifetime: POLL_WAIT * 4,
            max_backoff: POLL_WAIT * 2,
            server_count: Some(1.0),
        };
        VersionPolling {
            pacer: RetryPacer::new(pacer_config, &config.seed, &config.name, Clock::unix_time()),
            outstanding: None,
            last_number: 0,
            due: now,
            known: None,
        }
    }

    /// When the next poll starts or the outstanding one times out, on the agreement's clock.
    pub(super) fn due(&self) -> Duration {
        self.due
    }

    /// Starts anew at another membership service: forgets the version that was read last, and makes a poll due now.
    fn membership_address_changed(&mut self, now: Duration, event_loop: &EventLoopHandle) {
        if let Some(poll) = self.outstanding.take() {
            poll.exchange.close(event_loop);
        }
        self.known = None;
        self.due = now;
    }

    /// Schedules the next poll after an invalid answer. An invalid version has no digest and so no entity tag, by which
    /// the service could delay its answer until there is a valid one.
    fn invalid_answer_received(&mut self, now: Duration) {
        self.due = now + POLL_WAIT.mul_f64(POLL_AFTER_INVALID_SHARE);
    }

    fn request(&self, address: SocketAddr) -> Vec<u8> {
        let known = self.known.as_ref().map(|known| known.tag.as_str());
        membership::write_version_read(&address.to_string(), known, POLL_WAIT)
    }
}

impl Server {
    /// Polls the membership service at its new address, if versions are polled.
    pub(in crate::net) fn poll_new_membership_service(&mut self) {
        let event_loop = self.net().event_loop.clone();
        self.update_agreement(|agreement, now| {
            agreement
                .polling
                .iter_mut()
                .for_each(|polling| polling.membership_address_changed(now, &event_loop));
        });
    }

    /// Starts the next poll if it is due, or closes the outstanding one if it has timed out.
    pub(super) fn poll_versions(&mut self) {
        let event_loop = self.net().event_loop.clone();
        let address = self.config.membership_address;
        let Some(agreement) = &mut self.agreement else { return };
        let now = agreement.clock.now();
        let is_member = agreement.member.is_some();
        let Some(polling) = agreement.polling.as_mut().filter(|polling| is_member && now >= polling.due)
        else {
            return;
        };
        if let Some(poll) = polling.outstanding.take() {
            tracing::warn!(
                "membership service did not answer a poll for configuration versions in time; retrying"
            );
            poll.exchange.close(&event_loop);
            polling.due = polling.pacer.failed(now);
        } else {
            polling.last_number += 1;
            let number = polling.last_number;
            let request = polling.request(address);
            polling.due = now + POLL_WAIT + POLL_GRACE;
            let outstanding = &mut polling.outstanding;
            let store = |exchange| {
                *outstanding = Some(OutstandingPoll { number, exchange, started_at: now });
                Some(number)
            };
            let started =
                HttpExchange::start(&event_loop, address, &request, Server::version_poll_event, store);
            if let Err(e) = started {
                tracing::warn!(
                    reason = %e,
                    "could not connect to the membership service for configuration versions; retrying"
                );
                polling.due = polling.pacer.failed(now);
            }
        }
        self.update_agreement(|_, _| {});
    }

    fn version_poll_event(&mut self, number: u64) {
        let mut buffer = self.take_read_buffer();
        let event_loop = self.net().event_loop.clone();
        let Some(agreement) = &mut self.agreement else { return };
        let now = agreement.clock.now();
        let Some(polling) = agreement.polling.as_mut() else { return };
        let Some(poll) = polling.outstanding.as_mut().filter(|poll| poll.number == number) else { return };
        let started_at = poll.started_at;
        let polled = poll.exchange.poll_response(&mut buffer);
        self.read_buffer = buffer;
        let Some(polled) = polled else { return };
        let result = polled.map(|response| {
            let body = poll.exchange.body(&response).to_vec();
            PollResponse { response, body }
        });
        if let Some(poll) = polling.outstanding.take() {
            poll.exchange.close(&event_loop);
        }
        // A service that doesn't delay its answers is polled once per `POLL_WAIT`.
        let was_long_poll = now >= started_at + POLL_WAIT.mul_f64(LONG_POLL_SHARE);
        polling.due = if was_long_poll { now } else { started_at + POLL_WAIT };
        self.handle_poll_result(now, result);
        self.update_agreement(|_, _| {});
    }

    fn handle_poll_result(&mut self, now: Duration, result: Result<PollResponse, ExchangeError>) {
        let Some(polling) = self.agreement.as_mut().and_then(|agreement| agreement.polling.as_mut()) else {
            return;
        };
        match result {
            Ok(PollResponse { response, body }) => match response.status {
                STATUS_OK => self.version_received(&String::from_utf8_lossy(&body)),
                STATUS_NOT_MODIFIED => {}
                STATUS_NO_CONTENT | STATUS_NOT_FOUND => {
                    if let Some(known) = polling.known.take() {
                        // The next version may follow soon.
                        polling.due = now + POLL_WAIT.mul_f64(POLL_AGAIN_SHARE);
                        self.proposal_withdrawn(known.number);
                    }
                }
                _ => polling.due = polling.pacer.rejected(now, response.retry_after),
            },
            // The version exceeds the limits of a response, or the answer is not HTTP.
            Err(ExchangeError::Unreadable(_)) => polling.invalid_answer_received(now),
            Err(ExchangeError::NotSent | ExchangeError::Closed) => polling.due = polling.pacer.failed(now),
        }
    }

    fn proposal_withdrawn(&mut self, number: u64) {
        self.update_agreement(|agreement, now| {
            if let Some(member) = &mut agreement.member {
                member.proposal_withdrawn(now, number, &mut MemberPorts(&mut agreement.context));
            }
        });
    }

    /// Handles the text of a version that was read from the membership service.
    fn version_received(&mut self, text: &str) {
        let version = match VersionedConfig::parse(text) {
            Ok(version) => version,
            Err(faults) => return self.invalid_version_received(&faults),
        };
        let number = version.number.0;
        let tag = format!("{number}-{}", version.digest());
        self.update_agreement(|agreement, now| {
            let Some(polling) = &mut agreement.polling else { return };
            let is_new = polling.known.as_ref().map(|known| &known.tag) != Some(&tag);
            polling.pacer.succeeded(now, now);
            polling.known = Some(KnownVersion { tag, number });
            if is_new {
                polling.due = now + POLL_WAIT.mul_f64(POLL_AGAIN_SHARE);
            }
            let proposed =
                ConfigVersion { version_id: version_id(&version), text: Arc::from(version.text()) };
            let Some(member) = &mut agreement.member else { return };
            match member.version_proposed(now, proposed, &mut MemberPorts(&mut agreement.context)) {
                Ok(()) if is_new => {
                    let digest = version.digest();
                    tracing::info!(version = number, digest = %digest, "proposed configuration version received");
                }
                Ok(()) => {}
                Err(reason) => {
                    tracing::warn!(version = number, %reason, "configuration version can't be proposed; ignoring it");
                }
            }
        });
    }

    fn invalid_version_received(&mut self, faults: &[Fault]) {
        let first = faults.first().map(|fault| fault.to_string()).unwrap_or_default();
        if let Some(agreement) = &mut self.agreement {
            let now = agreement.clock.now();
            agreement.polling.iter_mut().for_each(|polling| polling.invalid_answer_received(now));
        }
        tracing::error!(
            first,
            faults = faults.len(),
            "configuration version at the membership service is invalid; ignoring it"
        );
    }
}
