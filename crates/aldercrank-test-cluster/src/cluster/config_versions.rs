//! The versioned configuration of a run: publications by the timeline, the configuration store, each server's service
//! file, and the relays between servers.

use super::initial_version::{initial_version, with_items};
use super::state::{ConfigVersions, TestCluster};
use super::stub_services::HttpRequest;
use crate::config::{self, MemberAddress};
use crate::config_store_stub::{AnsweredRead, ConfigStoreStub, ReadAnswer, StoredVersion};
use crate::ids::{ConnNo, ServerNo};
use crate::membership_stub::MembershipState;
use crate::scenario::{ConfigCorruption, Fault, Publication};
use crate::testbed::{ConnectionOwner, RelayId, Timer};
use crate::version_checker::VersionChecker;
use aldercrank_protocol::http;
use aldercrank_service_config::StartConfig;
use aldercrank_versioned_config::{changes, Consistency, VersionNumber, VersionedConfig};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The file in the run's directory that holds the version that the cluster starts with.
const INITIAL_VERSION_FILE: &str = "rules.kdl";
/// The length of the padding that makes a text far longer than any version may be.
const OVERLONG_BYTES: usize = 10_000_000;

/// Whether the versions differ only in items whose values may differ between servers.
fn changes_free_items_only(from: &VersionedConfig, to: &VersionedConfig) -> bool {
    changes(from, to).iter().all(|change| change.consistency == Consistency::Free)
}

impl TestCluster<'_> {
    /// Writes the initial version and opens the relays, if the scenario has a versioned configuration.
    pub(super) fn prepare_versions(&mut self) -> io::Result<()> {
        let Some(settings) = self.scenario.versioned_config.clone() else { return Ok(()) };
        let addresses: Vec<SocketAddr> = self.servers.iter().map(|server| server.addresses.listen).collect();
        let newest = initial_version(self.scenario, &settings, &addresses)?;
        let relay_addresses = self.open_relays(settings.committee)?;
        std::fs::write(self.options.dir.join(INITIAL_VERSION_FILE), newest.text())?;
        let classes = self.scenario.classes.iter().map(|class| class.name.clone()).collect();
        let checker = VersionChecker::new(settings.decision_bound, classes, &newest);
        self.versions = Some(ConfigVersions {
            settings,
            newest,
            last_number: 1,
            store: ConfigStoreStub::default(),
            checker,
            relay_partners: HashMap::new(),
            relay_addresses,
            peer_messages: 0,
            alternatives_used: HashMap::new(),
        });
        Ok(())
    }

    /// Opens a relay from each server to each committee member except itself.
    fn open_relays(&mut self, committee: usize) -> io::Result<HashMap<RelayId, SocketAddr>> {
        let mut relay_addresses = HashMap::new();
        for client in self.server_numbers() {
            for member in self.server_numbers().take(committee) {
                if client != member {
                    let listener = self.testbed.sockets.listen(&self.listen_ip)?;
                    let relay = RelayId { client, member };
                    self.testbed.relays.insert(listener.id, relay);
                    relay_addresses.insert(relay, listener.address);
                }
            }
        }
        Ok(relay_addresses)
    }

    /// Writes a server's service file; `None` if the scenario sets nothing in it.
    pub(super) fn write_service_file(&self, number: ServerNo) -> io::Result<Option<PathBuf>> {
        let mut text = String::new();
        if self.scenario.start != StartConfig::default() {
            text += &config::start_section(&self.scenario.start);
        }
        if let Some(versions) = &self.versions {
            let own_relays = versions.relay_addresses.iter().filter(|(relay, _)| relay.client == number);
            let members: Vec<MemberAddress> = own_relays
                .map(|(relay, address)| MemberAddress { member: relay.member, address: *address })
                .collect();
            let has_disk = versions.settings.has_disks;
            let dir = has_disk.then(|| self.options.dir.join(format!("{number}.rules")));
            text += &config::rules_section(
                &self.options.dir.join(INITIAL_VERSION_FILE),
                dir.as_deref(),
                &members,
            );
        }
        if text.is_empty() {
            return Ok(None);
        }
        let file = self.options.dir.join(format!("{number}.service.kdl"));
        std::fs::write(&file, text)?;
        Ok(Some(file))
    }

    /// Handles a server's connection to a relay: connects to the committee member, and joins the two connections.
    pub(super) fn connect_relay(&mut self, conn: ConnNo, relay: RelayId) {
        let Some(versions) = &mut self.versions else { return };
        let address = self.servers[relay.member.0 as usize].addresses.listen;
        let Ok(other) = self.testbed.sockets.connect(address) else {
            return self.testbed.sockets.close(conn);
        };
        self.testbed.register(conn, ConnectionOwner::Peer(relay.client));
        self.testbed.register(other, ConnectionOwner::Peer(relay.member));
        versions.relay_partners.insert(conn, other);
        versions.relay_partners.insert(other, conn);
    }

    /// Passes bytes from one server to the other.
    pub(super) fn relay_bytes(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) {
        let Some(versions) = &mut self.versions else { return };
        versions.peer_messages += 1;
        self.testbed.record.second(now).peer_messages += 1;
        if let Some(&other) = versions.relay_partners.get(&conn) {
            self.testbed.send_to_process(now, other, bytes);
        }
    }

    /// Closes the other half of a relayed connection when one half has ended.
    pub(super) fn close_relay_partner(&mut self, conn: ConnNo) {
        let Some(versions) = &mut self.versions else { return };
        let Some(other) = versions.relay_partners.remove(&conn) else { return };
        versions.relay_partners.remove(&other);
        self.testbed.close_after_queued(other);
        self.testbed.unregister(other);
    }

    /// Passes the decisions that have been observed since the last call to the version checker.
    pub(super) fn check_decisions(&mut self) {
        let Some(versions) = &mut self.versions else { return };
        let delay = &self.testbed.checker.scheduling_delay;
        for decision in self.testbed.decisions.drain(..) {
            let waited_since = |since| delay.between(decision.server, since, decision.answered_at);
            versions.checker.check(&decision, waited_since);
        }
    }

    /// Publishes the next version of a step, and sets the timer for the one after it.
    pub(super) fn publish_next(&mut self, now: Duration, step_index: usize) {
        let step = &self.scenario.timeline[step_index];
        let Fault::Publish(publication) = &step.fault else { return };
        let begun = self.callers_began() + step.at;
        if step.lasts.is_some_and(|lasts| now >= begun + lasts) || self.is_over {
            return;
        }
        self.publish(now, step_index, publication);
        if let Some(interval) = publication.interval {
            self.testbed.set_timer(now + interval, Timer::PublishVersion(step_index));
        }
    }

    fn publish(&mut self, now: Duration, step_index: usize, publication: &Publication) {
        let Some(versions) = &mut self.versions else { return };
        let used = versions.alternatives_used.entry(step_index).or_default();
        let alternatives: Vec<&str> = publication.items.split('|').collect();
        let assignments = alternatives[*used % alternatives.len()];
        *used += 1;
        versions.last_number += 1;
        let number = versions.last_number;
        let Ok(next) = with_items(&versions.newest, number, assignments) else { return };
        let mut contents = vec![next.clone()];
        if publication.contradictory {
            let other = alternatives[*used % alternatives.len()];
            contents.extend(with_items(&versions.newest, number, other).ok());
        } else {
            let free = changes_free_items_only(&versions.newest, &next);
            versions.checker.published(now, &next, free);
            versions.newest = next;
        }
        self.testbed.record.note(now, None, None, || format!("published version {number}: {assignments}"));
        let stored = contents
            .iter()
            .map(|config| StoredVersion { tag: format!("{number}-{}", config.digest()), text: config.text() })
            .collect();
        self.store_versions(now, stored);
    }

    /// Stores a text that is not a valid version.
    pub(super) fn store_corrupted(&mut self, now: Duration, corruption: ConfigCorruption) {
        let Some(versions) = &mut self.versions else { return };
        versions.last_number += 1;
        let text = versions.newest.with_changes(VersionNumber(versions.last_number), []).text();
        let text = match corruption {
            ConfigCorruption::Truncated => text[..text.len() / 2].to_string(),
            ConfigCorruption::Overlong => format!("{text}//{}", "x".repeat(OVERLONG_BYTES)),
            ConfigCorruption::InvalidField => text.replacen("window-ms ", "window-ms \"long\" // ", 1),
            ConfigCorruption::LaterFormat => text.replacen("committee {", "quorum 2\n    committee {", 1),
        };
        self.store_versions(now, vec![StoredVersion { tag: "spoilt".to_string(), text }]);
    }

    /// Stores the version that the cluster started with.
    pub(super) fn store_initial_version(&mut self, now: Duration) -> io::Result<()> {
        let text = std::fs::read_to_string(self.options.dir.join(INITIAL_VERSION_FILE))?;
        self.store_versions(now, vec![StoredVersion { tag: "old".to_string(), text }]);
        Ok(())
    }

    /// Replaces the contents of the configuration store, and answers the long polls that waited for it.
    pub(super) fn store_versions(&mut self, now: Duration, contents: Vec<StoredVersion>) {
        let Some(versions) = &mut self.versions else { return };
        for AnsweredRead { conn, answer } in versions.store.put(contents) {
            self.answer_config_read(now, conn, answer);
        }
    }

    fn answer_config_read(&mut self, now: Duration, conn: ConnNo, answer: ReadAnswer) {
        let mut bytes = Vec::new();
        match answer {
            ReadAnswer::Content(text) => {
                http::write_response(&mut bytes, 200, false, None, text.as_bytes());
            }
            ReadAnswer::NotModified => http::write_response(&mut bytes, 304, false, None, b""),
            ReadAnswer::NotFound => http::write_response(&mut bytes, 404, false, None, b""),
        }
        if let Some(versions) = &mut self.versions {
            versions.store.read_bytes += bytes.len() as u64;
        }
        self.testbed.send_to_process(now, conn, &bytes);
    }

    pub(super) fn answer_timed_out_config_reads(&mut self, now: Duration) {
        let Some(versions) = &mut self.versions else { return };
        for conn in versions.store.take_timed_out(now) {
            self.answer_config_read(now, conn, ReadAnswer::NotModified);
        }
        let next = self.versions.as_ref().and_then(|versions| versions.store.next_timeout());
        if let Some(at) = next {
            self.testbed.set_timer(at.max(now), Timer::ConfigReadTimeout);
        }
    }

    /// Handles an HTTP request to the configuration store, sent by a server or an operator's command.
    pub(super) fn config_store_request(&mut self, now: Duration, conn: ConnNo, request: &HttpRequest) {
        let is_up = self.testbed.membership.state() == MembershipState::Up;
        let Some(versions) = self.versions.as_mut().filter(|_| is_up) else { return };
        let status = match request.head.method.as_str() {
            "GET" => {
                let wait = request.head.wait.unwrap_or_default();
                match versions.store.read(now, conn, request.head.if_none_match.clone(), wait) {
                    Some(answer) => self.answer_config_read(now, conn, answer),
                    None => self.testbed.set_timer(now + wait, Timer::ConfigReadTimeout),
                }
                return;
            }
            "PUT" => self.store_sent_version(now, &request.body),
            _ => {
                self.store_versions(now, Vec::new());
                204
            }
        };
        let mut bytes = Vec::new();
        http::write_response(&mut bytes, status, false, None, b"");
        self.testbed.send_to_process(now, conn, &bytes);
    }

    /// Stores the version in the body of an HTTP request. Returns the HTTP status.
    fn store_sent_version(&mut self, now: Duration, body: &[u8]) -> u16 {
        let Some(versions) = &mut self.versions else { return 400 };
        let text = String::from_utf8_lossy(body).into_owned();
        let Ok(config) = VersionedConfig::parse(&text) else { return 400 };
        let free = changes_free_items_only(&versions.newest, &config);
        versions.checker.published(now, &config, free);
        versions.last_number = versions.last_number.max(config.number.0);
        let tag = format!("{}-{}", config.number, config.digest());
        versions.newest = config;
        self.store_versions(now, vec![StoredVersion { tag, text }]);
        204
    }
}
