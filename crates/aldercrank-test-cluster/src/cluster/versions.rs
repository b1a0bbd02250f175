//! The rule book of a run: the version that its fleet starts from, those that the timeline publishes, each server's
//! service file, and the relays between servers.

use super::*;
use crate::config::service;
use crate::config_store_stub::{ConfigStoreStub, ReadAnswer, StoredVersion};
use crate::scenario::{Published, RuleBook, Spoilt};
use crate::version_checker::VersionChecker;
use aldercrank_versioned_config::book::Path as Item;
use aldercrank_versioned_config::{changes, Consistency, Number, VersionedConfig};

/// What a run with a rule book has beside the others.
pub struct Rules {
    pub terms: RuleBook,
    /// The newest that was published, and the last number given out.
    pub newest: VersionedConfig,
    pub last: u64,
    pub config_store: ConfigStoreStub,
    pub version_checker: VersionChecker,
    /// The two ends of each relayed connection.
    pub partners: HashMap<ConnNo, ConnNo>,
    /// Where servers reach members: relays, one for each pair.
    pub reach: HashMap<(ServerNo, ServerNo), std::net::SocketAddr>,
    pub words: u64,
    /// Alternatives used so far, by step.
    pub turns: HashMap<usize, usize>,
}

/// The version that the fleet starts from.
pub fn genesis(
    scenario: &Scenario,
    terms: &RuleBook,
    places: &[std::net::SocketAddr],
) -> io::Result<VersionedConfig> {
    let mut text = "rules 1 {\n".to_string();
    text +=
        &format!("agree-within-ms {}\nalone-for-ms {}\n", terms.within.as_millis(), terms.alone.as_millis());
    text += "committee {\n";
    for (n, at) in places.iter().take(terms.committee).enumerate() {
        text += &format!("{} \"{at}\"\n", ServerNo(n as u16));
    }
    text += "}\n";
    for p in &scenario.classes {
        let effect = match p.effect {
            invariant_checker::Effect::Idempotent => "inquiry-like",
            invariant_checker::Effect::Keyed => "referenced",
            invariant_checker::Effect::Unsafe => "once-only",
        };
        let window = p.window.as_millis();
        text +=
            &format!("product {:?} {{ effect \"{effect}\"; window-ms {window}; offered #true }}\n", p.name);
    }
    text += "servers {\n";
    for zone in 0..scenario.fleet.zones {
        let names = (0..scenario.fleet.servers).filter(|n| n % scenario.fleet.zones == zone);
        let names: Vec<String> = names.map(|n| format!("\"{}\"", ServerNo(n as u16))).collect();
        text += &format!("{} {}\n", crate::scenario::zone_name(zone), names.join(" "));
    }
    text += "}\n}\n";
    let book = VersionedConfig::parse(&text).map_err(|faults| io::Error::other(format!("{faults:?}")))?;
    let first = set(&book, 1, &terms.set);
    first.map_err(|why| io::Error::other(format!("rules set=: {why}")))
}

/// A version with some items set anew.
pub fn set(book: &VersionedConfig, number: u64, words: &str) -> Result<VersionedConfig, String> {
    let mut all = Vec::new();
    for word in words.split_whitespace() {
        let (item, value) = word.split_once('=').ok_or(format!("{word} is no ITEM=VALUE"))?;
        let (of, name) =
            item.split_once('.').ok_or(format!("{item} is no PRODUCT.ITEM, shares.ZONE or limits.ITEM"))?;
        let path = match of {
            "shares" => Item::new("shares", "", name),
            "limits" => Item::new("limits", "", name),
            class => Item::new("product", class, name),
        };
        let value = match value.parse::<f64>() {
            Ok(n) => aldercrank_versioned_config::Value::Number(n),
            Err(_) if value == "yes" || value == "no" => {
                aldercrank_versioned_config::Value::Flag(value == "yes")
            }
            Err(_) => aldercrank_versioned_config::Value::Word(value.to_string()),
        };
        all.push((path, Some(value)));
    }
    let next = book.next(Number(number), all);
    let again = VersionedConfig::parse(&next.text()).map_err(|faults| faults[0].to_string())?;
    Ok(again)
}

impl TestCluster<'_> {
    /// Makes the book and the relays, where the scenario has a book.
    pub(super) fn with_rules(&mut self) -> io::Result<()> {
        let Some(terms) = self.scenario.rules.clone() else { return Ok(()) };
        let places: Vec<std::net::SocketAddr> = self.servers.iter().map(|s| s.places.listen).collect();
        let newest = genesis(self.scenario, &terms, &places)?;
        let mut reach = HashMap::new();
        for asker in 0..self.servers.len() {
            for member in 0..terms.committee.min(self.servers.len()) {
                let pair = (ServerNo(asker as u16), ServerNo(member as u16));
                if asker != member {
                    let (port, addr) = self.testbed.net.listen(&self.ip)?;
                    self.testbed.relays.insert(port, pair);
                    reach.insert(pair, addr);
                }
            }
        }
        std::fs::write(self.play.dir.join("rules.kdl"), newest.text())?;
        let classes = self.scenario.classes.iter().map(|p| p.name.clone()).collect();
        let version_checker = VersionChecker::new(terms.within, classes, &newest);
        self.rules = Some(Rules {
            terms,
            newest,
            last: 1,
            config_store: ConfigStoreStub::default(),
            version_checker,
            partners: HashMap::new(),
            reach,
            words: 0,
            turns: HashMap::new(),
        });
        Ok(())
    }

    /// A server's own settings, where there is a book, or something is said of its start.
    pub(super) fn service_file(&self, number: ServerNo) -> io::Result<Option<PathBuf>> {
        let mut text = String::new();
        if self.scenario.start != Default::default() {
            text += &config::start(&self.scenario.start);
        }
        if let Some(rules) = &self.rules {
            let reach = rules.reach.iter().filter(|((asker, _), _)| *asker == number);
            let reach = reach.map(|((_, m), at)| (*m, *at)).collect();
            let dir = rules.terms.disks.then(|| self.play.dir.join(format!("{number}.rules")));
            text += &service(&self.play.dir.join("rules.kdl"), dir.as_deref(), reach);
        }
        if text.is_empty() {
            return Ok(None);
        }
        let file = self.play.dir.join(format!("{number}.service.kdl"));
        std::fs::write(&file, text)?;
        Ok(Some(file))
    }

    /// A connection between two servers has come to its relay: the other half is made.
    pub(super) fn relayed(&mut self, conn: ConnNo, asker: ServerNo, member: ServerNo) {
        let Some(rules) = &mut self.rules else { return };
        let to = self.servers[member.0 as usize].places.listen;
        let Ok(other) = self.testbed.net.connect(to) else { return self.testbed.net.close(conn) };
        self.testbed.register(conn, ConnectionOwner::Peer(asker));
        self.testbed.register(other, ConnectionOwner::Peer(member));
        rules.partners.insert(conn, other);
        rules.partners.insert(other, conn);
    }

    /// What one server said comes to the other.
    pub(super) fn pass_on(&mut self, now: Duration, conn: ConnNo, bytes: &[u8]) {
        let Some(rules) = &mut self.rules else { return };
        rules.words += 1;
        self.testbed.record.second(now).words += 1;
        if let Some(&other) = rules.partners.get(&conn) {
            self.testbed.send_to_process(now, other, bytes);
        }
    }

    /// What was judged by a version since the last turn comes before its checker.
    pub(super) fn check_versions(&mut self) {
        let Some(rules) = &mut self.rules else { return };
        let delay = &self.testbed.checker.scheduling_delay;
        for decision in self.testbed.decisions.drain(..) {
            let waited_since = |since| delay.between(decision.server, since, decision.answered_at);
            rules.version_checker.check(&decision, waited_since);
        }
    }

    /// One half has ended, and so does the other.
    pub(super) fn part(&mut self, conn: ConnNo) {
        let other = self.rules.as_mut().and_then(|rules| {
            let other = rules.partners.remove(&conn)?;
            rules.partners.remove(&other);
            Some(other)
        });
        if let Some(other) = other {
            self.testbed.close_after_queued(other);
            self.testbed.unregister(other);
        }
    }

    /// A step publishes a version, and the next one when its time comes.
    pub(super) fn publish_again(&mut self, now: Duration, step: usize) {
        let plan = &self.scenario.timeline[step];
        let Fault::Publish(what) = &plan.fault else { return };
        let begun = self.testbed.record.begun.unwrap_or_default() + plan.at;
        if plan.lasts.is_some_and(|lasts| now >= begun + lasts) || self.over {
            return;
        }
        self.publish(now, step, what);
        if let Some(every) = what.every {
            self.testbed.set_timer(now + every, Timer::PublishVersion(step));
        }
    }

    /// The timeline publishes a version.
    fn publish(&mut self, now: Duration, step: usize, what: &Published) {
        let Some(rules) = &mut self.rules else { return };
        let turn = rules.turns.entry(step).or_default();
        let words: Vec<&str> = what.set.split('|').collect();
        let own = words[*turn % words.len()];
        *turn += 1;
        rules.last += 1;
        let number = rules.last;
        let Ok(next) = set(&rules.newest, number, own) else { return };
        let mut contents = vec![next.clone()];
        if what.two {
            contents.extend(set(&rules.newest, number, words[*turn % words.len()]).ok());
        }
        let free = changes(&rules.newest, &next).iter().all(|c| c.role == Consistency::Free);
        if !what.two {
            rules.version_checker.published(now, &next, free);
            rules.newest = next;
        }
        self.testbed.record.note(now, None, None, || format!("publishes version {number}: {own}"));
        let contents = contents
            .iter()
            .map(|b| StoredVersion { tag: format!("{number}-{}", b.digest()), text: b.text() })
            .collect();
        self.put(now, contents);
    }

    /// The list service has what is no book.
    pub(super) fn spoilt_book(&mut self, now: Duration, how: Spoilt) {
        let Some(rules) = &mut self.rules else { return };
        rules.last += 1;
        let text = rules.newest.next(Number(rules.last), []).text();
        let spoilt = match how {
            Spoilt::Cut => text[..text.len() / 2].to_string(),
            Spoilt::Long => format!("{text}//{}", "x".repeat(10_000_000)),
            Spoilt::Field => text.replacen("window-ms ", "window-ms \"long\" // ", 1),
            Spoilt::Later => text.replacen("committee {", "quorum 2\n    committee {", 1),
        };
        self.put(now, vec![StoredVersion { tag: "spoilt".to_string(), text: spoilt }]);
    }

    /// What stands at the list service is this from now on.
    pub(super) fn put(&mut self, now: Duration, contents: Vec<StoredVersion>) {
        let Some(rules) = &mut self.rules else { return };
        for (conn, word) in rules.config_store.put(contents) {
            self.shelf_says(now, conn, word);
        }
    }

    pub(super) fn shelf_says(&mut self, now: Duration, conn: ConnNo, word: ReadAnswer) {
        let mut bytes = Vec::new();
        match word {
            ReadAnswer::Content(text) => http::write_response(&mut bytes, 200, false, None, text.as_bytes()),
            ReadAnswer::NotModified => http::write_response(&mut bytes, 304, false, None, b""),
            ReadAnswer::NotFound => http::write_response(&mut bytes, 404, false, None, b""),
        }
        if let Some(rules) = &mut self.rules {
            rules.config_store.read_bytes += bytes.len() as u64;
        }
        self.testbed.send_to_process(now, conn, &bytes);
    }

    pub(super) fn shelf_due(&mut self, now: Duration) {
        let due = self.rules.as_mut().map(|rules| rules.config_store.take_timed_out(now)).unwrap_or_default();
        for conn in due {
            self.shelf_says(now, conn, ReadAnswer::NotModified);
        }
        if let Some(at) = self.rules.as_ref().and_then(|rules| rules.config_store.next_timeout()) {
            self.testbed.set_timer(at.max(now), Timer::ConfigReadTimeout);
        }
    }

    /// A question about the rule book has come to the list service.
    pub(super) fn shelf_hears(&mut self, now: Duration, conn: ConnNo, question: &http::Request, body: &[u8]) {
        let up = self.testbed.membership.state() == MembershipState::Up;
        let Some(rules) = self.rules.as_mut().filter(|_| up) else { return };
        match question.method.as_str() {
            "GET" => {
                let wait = question.wait.unwrap_or_default();
                let word = rules.config_store.read(now, conn, question.have.clone(), wait);
                match word {
                    Some(word) => self.shelf_says(now, conn, word),
                    None => self.testbed.set_timer(now + wait, Timer::ConfigReadTimeout),
                }
            }
            "PUT" => {
                let text = String::from_utf8_lossy(body).into_owned();
                let read = VersionedConfig::parse(&text);
                let status = if read.is_ok() { 204 } else { 400 };
                if let Ok(book) = read {
                    let free = changes(&rules.newest, &book).iter().all(|c| c.role == Consistency::Free);
                    rules.version_checker.published(now, &book, free);
                    rules.last = rules.last.max(book.number.0);
                    rules.newest = book.clone();
                    self.put(
                        now,
                        vec![StoredVersion { tag: format!("{}-{}", book.number, book.digest()), text }],
                    );
                }
                let mut bytes = Vec::new();
                http::write_response(&mut bytes, status, false, None, b"");
                self.testbed.send_to_process(now, conn, &bytes);
            }
            _ => {
                self.put(now, Vec::new());
                let mut bytes = Vec::new();
                http::write_response(&mut bytes, 204, false, None, b"");
                self.testbed.send_to_process(now, conn, &bytes);
            }
        }
    }
}
