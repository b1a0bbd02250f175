//! Checks the guarantee of the versioned configuration: decisions by contradicting versions are no further apart in
//! time than a bound. The checker sees responses with the version that they name, the attempts that they belong to, and
//! whether those ran, but never the servers' state. It does no I/O and reads no clock.
//!
//! Two decisions contradict each other if their versions differ in the items that the decisions depend on. The time
//! between them is measured in the servers' favour: from the first response by the newer version to the sending of the
//! last attempt that was decided by the older one.

use crate::ids::{ClassNo, Incarnation, ServerNo};
use aldercrank_versioned_config::{Value, VersionedConfig};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The items of a request class, in one version, in which contradicting versions differ.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTerms {
    /// The effect of running a request again, by its name in the configuration.
    pub effect: Option<String>,
    /// The deduplication window in milliseconds.
    pub window_ms: Option<f64>,
    /// Whether servers accept requests of the class.
    pub offered: bool,
}

impl ClassTerms {
    /// Reads the terms of a class from a version.
    pub fn of(config: &VersionedConfig, class: &str) -> ClassTerms {
        let get = |name: &str| config.get("product", class, name);
        ClassTerms {
            effect: match get("effect") {
                Some(Value::Text(word)) => Some(word.clone()),
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

/// A server's decision on an attempt by a version of the configuration.
#[derive(Clone, Debug)]
pub struct VersionedDecision {
    /// The server.
    pub server: ServerNo,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The attempt's class.
    pub class: ClassNo,
    /// The number of the version that the response names.
    pub version: u64,
    /// When the attempt was sent.
    pub sent_at: Duration,
    /// When its response was received.
    pub answered_at: Duration,
    /// Whether the attempt was run.
    pub ran: bool,
    /// The idempotency key of the request, if any.
    pub idempotency_key: Option<u64>,
}

/// The time span of the decisions by one version on one class.
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
    /// The terms of the classes, by class number.
    terms: Vec<ClassTerms>,
    published_at: Duration,
    /// Whether the version changes free items only, which may differ between servers.
    changes_free_items_only: bool,
}

/// A violation of the guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionViolation {
    /// When it was detected.
    pub at: Duration,
    /// The server whose decision violated the guarantee.
    pub server: ServerNo,
    /// A description of the violation.
    pub what: String,
}

/// Statistics of the versioned configuration in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Decisions by any version.
    #[serde(rename = "acts")]
    pub decisions: u64,
    /// Versions published.
    pub published: u64,
    /// Versions by which at least one decision was made.
    pub acted_on: usize,
    /// The longest time between two contradicting decisions.
    pub farthest_ms: f64,
    /// Decisions made later than the bound after a contradicting decision by a newer version.
    pub beyond_bound: u64,
    /// The 99th percentile, over servers and versions that change free items only, of the time from the publication of
    /// the version to the server's first response by it.
    pub free_p99_ms: f64,
    /// Like `free_p99_ms`, for the other versions.
    pub fenced_p99_ms: f64,
    /// Messages between servers.
    #[serde(rename = "words")]
    pub peer_messages: u64,
    /// Reads of the configuration store.
    pub reads: u64,
    /// Bytes of the responses to these reads.
    pub read_bytes: u64,
}

/// Checks the guarantee of the versioned configuration during a run.
pub struct VersionChecker {
    bound: Duration,
    classes: Vec<String>,
    versions: BTreeMap<u64, PublishedVersion>,
    spans: BTreeMap<(ClassNo, u64), DecisionSpan>,
    /// The time from the publication of a version to a server's first response by it, less the scheduling delay.
    propagation: BTreeMap<(u64, ServerNo), Duration>,
    runs_by_key: BTreeMap<u64, Vec<KeyedRun>>,
    figures: Figures,
    /// Violations that the caller has not taken yet.
    pub violations: Vec<VersionViolation>,
}

impl VersionChecker {
    /// Creates a checker for a cluster that starts with the version `initial_version`. Contradicting decisions may be
    /// at most `bound` apart.
    pub fn new(bound: Duration, classes: Vec<String>, initial_version: &VersionedConfig) -> VersionChecker {
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
        version_checker.add_version(Duration::ZERO, initial_version, true);
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

    fn record_violation(&mut self, decision: &VersionedDecision, what: String) {
        let (at, server) = (decision.answered_at, decision.server);
        self.violations.push(VersionViolation { at, server, what });
    }

    /// Checks a decision. `waited_since` returns how long its server and the test cluster have waited for a core since
    /// a given time.
    pub fn check(&mut self, decision: &VersionedDecision, waited_since: impl Fn(Duration) -> Duration) {
        self.figures.decisions += 1;
        let Some(version) = self.versions.get(&decision.version) else {
            let what = format!("decided by version {}, which was never published", decision.version);
            return self.record_violation(decision, what);
        };
        let published_at = version.published_at;
        let terms = version.terms[decision.class.0 as usize].clone();
        self.propagation.entry((decision.version, decision.server)).or_insert_with(|| {
            let span = decision.answered_at.saturating_sub(published_at);
            span.saturating_sub(waited_since(published_at))
        });
        if decision.ran && !terms.offered {
            let what = format!("ran a class that version {} does not offer", decision.version);
            self.record_violation(decision, what);
        }
        self.check_runs_once(decision);
        let span = self
            .spans
            .entry((decision.class, decision.version))
            .or_insert(DecisionSpan { first_answered: decision.answered_at, last_sent: decision.sent_at });
        span.first_answered = span.first_answered.min(decision.answered_at);
        span.last_sent = span.last_sent.max(decision.sent_at);
        self.check_time_apart(decision, &terms);
    }

    /// Checks that a request with an idempotency key runs once on an incarnation within the deduplication window of
    /// each run's version.
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
                violations.push(format!(
                    "ran twice within the deduplication window of version {version}, which the other run used"
                ));
            }
        }
        runs.push(KeyedRun {
            server: decision.server,
            incarnation: decision.incarnation,
            sent_at: decision.sent_at,
            version: decision.version,
        });
        for what in violations {
            self.record_violation(decision, what);
        }
    }

    /// Checks the time between a decision and the earlier ones by newer versions with different terms.
    fn check_time_apart(&mut self, decision: &VersionedDecision, terms: &ClassTerms) {
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
            let what = format!(
                "decided by version {number} {apart:?} after a contradicting decision by a newer version"
            );
            self.record_violation(decision, what);
        }
    }

    /// The 99th percentile of the propagation time in milliseconds, either of versions that change free items only or
    /// of the others. The initial version is left out.
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

    /// Returns the statistics at the end of a run.
    pub fn finish(&mut self) -> Figures {
        self.figures.free_p99_ms = self.propagation_p99_ms(true);
        self.figures.fenced_p99_ms = self.propagation_p99_ms(false);
        let versions: BTreeSet<u64> = self.propagation.keys().map(|(number, _)| *number).collect();
        self.figures.acted_on = versions.len();
        self.figures.clone()
    }
}
