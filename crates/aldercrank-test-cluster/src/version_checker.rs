//! Checks the guarantee of the versioned configuration. It sees responses with the version that they name, the attempts
//! that they answer, and whether those ran; it knows nothing of the servers' state. No I/O, no clock.
//!
//! Two decisions contradict each other where the items that they went by differ between their versions. How far they
//! are apart is measured in the servers' favour: from the first response by the newer version to the sending of the
//! last attempt that was decided by the older one.

use crate::ids::{ClassNo, Incarnation, ServerNo};
use aldercrank_versioned_config::{Value, VersionedConfig};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The items of a request class that must not contradict each other, as a version has them.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTerms {
    /// What a further run does, by its name in the configuration.
    pub effect: Option<String>,
    /// The deduplication window in milliseconds.
    pub window_ms: Option<f64>,
    /// Whether servers run the class at all.
    pub offered: bool,
}

impl ClassTerms {
    /// The terms of a class in a version.
    pub fn of(config: &VersionedConfig, class: &str) -> ClassTerms {
        let get = |name: &str| config.get("product", class, name);
        ClassTerms {
            effect: match get("effect") {
                Some(Value::Word(word)) => Some(word.clone()),
                _ => None,
            },
            window_ms: match get("window-ms") {
                Some(Value::Number(ms)) => Some(*ms),
                _ => None,
            },
            offered: get("offered") != Some(&Value::Flag(false)),
        }
    }
}

/// An attempt that a server decided by a version.
#[derive(Clone, Debug)]
pub struct VersionedDecision {
    /// The server.
    pub server: ServerNo,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The attempt's class.
    pub class: ClassNo,
    /// The number of the version.
    pub version: u64,
    /// When the attempt was sent.
    pub sent_at: Duration,
    /// When its response was received.
    pub answered_at: Duration,
    /// Whether this attempt was run.
    pub ran: bool,
    /// The idempotency key of its request.
    pub idempotency_key: Option<u64>,
}

/// The times of the decisions by one version on one class.
#[derive(Clone, Copy, Debug, Default)]
struct DecisionSpan {
    first_answered: Duration,
    last_sent: Duration,
}

/// A run of a request with an idempotency key.
#[derive(Clone, Copy, Debug)]
struct KeyedRun {
    server: ServerNo,
    incarnation: Incarnation,
    sent_at: Duration,
    version: u64,
}

struct PublishedVersion {
    /// By class number.
    terms: Vec<ClassTerms>,
    published_at: Duration,
    /// Changes only items that may differ between servers.
    changes_free_items_only: bool,
}

/// A violation of the guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionViolation {
    /// When it was seen.
    pub at: Duration,
    /// The server that it was seen at.
    pub server: ServerNo,
    /// What was seen.
    pub what: String,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Decisions by some version.
    #[serde(rename = "acts")]
    pub decisions: u64,
    /// Published versions.
    pub published: u64,
    /// Versions that some decision was made by.
    pub acted_on: usize,
    /// The furthest apart that two contradicting decisions were.
    pub farthest_ms: f64,
    /// How many were further apart than the bound.
    pub beyond_bound: u64,
    /// The 99th percentile, over versions that change free items alone and servers, of the time from the publication
    /// to the server's first response by the version.
    pub free_p99_ms: f64,
    /// The same for the other versions.
    pub fenced_p99_ms: f64,
    /// Messages between servers.
    #[serde(rename = "words")]
    pub peer_messages: u64,
    /// Reads of the configuration store.
    pub reads: u64,
    /// The bytes of the answers to these reads.
    pub read_bytes: u64,
}

/// Checks the guarantee during a run.
pub struct VersionChecker {
    bound: Duration,
    classes: Vec<String>,
    versions: BTreeMap<u64, PublishedVersion>,
    spans: BTreeMap<(ClassNo, u64), DecisionSpan>,
    /// From the publication of a version to a server's first response by it, less what was waited for a core.
    propagation: BTreeMap<(u64, ServerNo), Duration>,
    runs_by_key: BTreeMap<u64, Vec<KeyedRun>>,
    figures: Figures,
    /// Violations that were not taken yet.
    pub violations: Vec<VersionViolation>,
}

impl VersionChecker {
    /// A checker for a cluster that starts with the version `genesis`. Contradicting decisions may be `bound` apart.
    pub fn new(bound: Duration, classes: Vec<String>, genesis: &VersionedConfig) -> VersionChecker {
        let mut version_checker = VersionChecker {
            bound,
            classes,
            versions: BTreeMap::new(),
            spans: BTreeMap::new(),
            propagation: BTreeMap::new(),
            runs_by_key: BTreeMap::new(),
            figures: Figures::default(),
            violations: Vec::new(),
        };
        version_checker.add_version(Duration::ZERO, genesis, true);
        version_checker
    }

    fn add_version(&mut self, now: Duration, config: &VersionedConfig, changes_free_items_only: bool) {
        let terms = self.classes.iter().map(|class| ClassTerms::of(config, class)).collect();
        let version = PublishedVersion { terms, published_at: now, changes_free_items_only };
        self.versions.insert(config.number.0, version);
    }

    /// A version was published.
    pub fn published(&mut self, now: Duration, config: &VersionedConfig, changes_free_items_only: bool) {
        self.figures.published += 1;
        self.add_version(now, config, changes_free_items_only);
    }

    fn record(&mut self, decision: &VersionedDecision, what: String) {
        let (at, server) = (decision.answered_at, decision.server);
        self.violations.push(VersionViolation { at, server, what });
    }

    /// Checks a decision. `waited_since` gives how long its server and the test cluster waited for a core since a time.
    pub fn check(&mut self, decision: &VersionedDecision, waited_since: impl Fn(Duration) -> Duration) {
        self.figures.decisions += 1;
        let Some(version) = self.versions.get(&decision.version) else {
            let what = format!("decided by version {}, which nobody published", decision.version);
            return self.record(decision, what);
        };
        let published_at = version.published_at;
        let terms = version.terms[decision.class.0 as usize].clone();
        self.propagation.entry((decision.version, decision.server)).or_insert_with(|| {
            let span = decision.answered_at.saturating_sub(published_at);
            span.saturating_sub(waited_since(published_at))
        });
        if decision.ran && !terms.offered {
            let what = format!("ran a class that version {} does not offer", decision.version);
            self.record(decision, what);
        }
        self.check_runs_once(decision);
        let span = self
            .spans
            .entry((decision.class, decision.version))
            .or_insert(DecisionSpan { first_answered: decision.answered_at, last_sent: decision.sent_at });
        span.first_answered = span.first_answered.min(decision.answered_at);
        span.last_sent = span.last_sent.max(decision.sent_at);
        self.check_distance(decision, &terms);
    }

    /// A request with an idempotency key runs once on an incarnation, by the window of the version of each run.
    fn check_runs_once(&mut self, decision: &VersionedDecision) {
        let Some(key) = decision.idempotency_key.filter(|_| decision.ran) else { return };
        let mut violations = Vec::new();
        let runs = self.runs_by_key.entry(key).or_default();
        let same_incarnation =
            |run: &&KeyedRun| (run.server, run.incarnation) == (decision.server, decision.incarnation);
        for run in runs.iter().filter(same_incarnation) {
            let Some(version) = self.versions.get(&run.version) else { continue };
            let terms = &version.terms[decision.class.0 as usize];
            let is_deduplicated = terms.effect.as_deref() == Some("referenced");
            let window = Duration::from_secs_f64(terms.window_ms.unwrap_or_default() / 1e3);
            let first = run.sent_at.min(decision.sent_at);
            let second = run.sent_at.max(decision.sent_at);
            if is_deduplicated && second <= first + window {
                let version = run.version;
                violations
                    .push(format!("ran twice within the window of version {version}, by which it ran first"));
            }
        }
        runs.push(KeyedRun {
            server: decision.server,
            incarnation: decision.incarnation,
            sent_at: decision.sent_at,
            version: decision.version,
        });
        for what in violations {
            self.record(decision, what);
        }
    }

    /// Compares a decision with those by newer versions whose terms differ.
    fn check_distance(&mut self, decision: &VersionedDecision, terms: &ClassTerms) {
        let class_no = decision.class;
        let newer = self
            .spans
            .range((class_no, decision.version + 1)..)
            .take_while(|((other_class, _), _)| *other_class == class_no);
        let differs = |number: &u64| {
            let version = self.versions.get(number);
            version.is_some_and(|version| version.terms[class_no.0 as usize] != *terms)
        };
        let contradicting = newer.filter(|((_, number), _)| differs(number));
        let first = contradicting.map(|(_, span)| span.first_answered).min();
        let Some(apart) = first.and_then(|first| decision.sent_at.checked_sub(first)) else { return };
        self.figures.farthest_ms = self.figures.farthest_ms.max(apart.as_secs_f64() * 1e3);
        if apart > self.bound {
            self.figures.beyond_bound += 1;
            let number = decision.version;
            let what = format!("acted by version {number} {apart:?} after another acted by a newer one");
            self.record(decision, what);
        }
    }

    /// The 99th percentile of the propagation in milliseconds, of versions that change free items alone or of the
    /// others; the version of the start does not count.
    fn propagation_p99_ms(&self, changes_free_items_only: bool) -> f64 {
        let counts = |number: &u64| {
            self.versions.get(number).is_some_and(|version| {
                version.changes_free_items_only == changes_free_items_only && !version.published_at.is_zero()
            })
        };
        let of_kind = self.propagation.iter().filter(|((number, _), _)| counts(number));
        let mut spans: Vec<f64> = of_kind.map(|(_, span)| span.as_secs_f64() * 1e3).collect();
        spans.sort_by(f64::total_cmp);
        spans.get((spans.len() * 99 / 100).min(spans.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }

    /// The figures at the end of a run.
    pub fn finish(&mut self) -> Figures {
        self.figures.free_p99_ms = self.propagation_p99_ms(true);
        self.figures.fenced_p99_ms = self.propagation_p99_ms(false);
        let versions: BTreeSet<u64> = self.propagation.keys().map(|(number, _)| *number).collect();
        self.figures.acted_on = versions.len();
        self.figures.clone()
    }
}
