//! The checker of the rule book's promise. It sees answers with the versions that they say they were judged by, the
//! tries that they answer, and what worker pools were told; of what servers believe it knows nothing. No I/O, no clock.
//!
//! Two acts contradict each other where the item that they went by differs between their versions. How far they are
//! apart is told to the server's favour: from the first answer by the newer version to when the last txn that was
//! judged by the older one was asked for.

use crate::ids::{ClassNo, Incarnation, ServerNo};
use aldercrank_versioned_config::{Value, VersionedConfig};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What of a product is fenced, as a version has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub effect: Option<String>,
    pub window: Option<f64>,
    pub offered: bool,
}

impl Terms {
    pub fn of(book: &VersionedConfig, class: &str) -> Terms {
        let get = |name: &str| book.get("product", class, name);
        Terms {
            effect: match get("effect") {
                Some(Value::Word(word)) => Some(word.clone()),
                _ => None,
            },
            window: match get("window-ms") {
                Some(Value::Number(ms)) => Some(*ms),
                _ => None,
            },
            offered: get("offered") != Some(&Value::Flag(false)),
        }
    }
}

/// One txn that was judged by a version.
#[derive(Clone, Debug)]
pub struct Act {
    pub server: ServerNo,
    pub incarnation: Incarnation,
    pub class: ClassNo,
    pub version: u64,
    pub asked: Duration,
    pub answered: Duration,
    /// This very try was run.
    pub ran: bool,
    pub token: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    first_answered: Duration,
    last_asked: Duration,
}

/// A run of a txn that may be asked for again.
#[derive(Clone, Copy, Debug)]
struct Run {
    server: ServerNo,
    incarnation: Incarnation,
    t0: Duration,
    version: u64,
}

/// What it came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub acts: u64,
    pub published: u64,
    /// Versions that some act went by.
    pub acted_on: usize,
    /// The furthest apart that two contradicting acts were, and by how many they were further than the bound.
    pub farthest_ms: f64,
    pub too_far: u64,
    /// Of each version and server, from when it was published to its first answer by it; of versions that change
    /// free items alone, and of the others.
    pub free_p99_ms: f64,
    pub fenced_p99_ms: f64,
    /// Messages between servers, and reads of the list service with their bytes.
    pub words: u64,
    pub reads: u64,
    pub read_bytes: u64,
}

pub struct VersionChecker {
    within: Duration,
    classes: Vec<String>,
    /// By number: what each version says of each product, when it was published, and whether it is free of fenced
    /// changes.
    versions: BTreeMap<u64, (Vec<Terms>, Duration, bool)>,
    spans: BTreeMap<(ClassNo, u64), Span>,
    /// From when a version was published to a server's first answer by it, less what was waited for a core.
    seen: BTreeMap<(u64, ServerNo), Duration>,
    runs: BTreeMap<u64, Vec<Run>>,
    pub figures: Figures,
    /// What is broken, in words.
    pub broken: Vec<(Duration, ServerNo, String)>,
}

impl VersionChecker {
    pub fn new(within: Duration, classes: Vec<String>, genesis: &VersionedConfig) -> VersionChecker {
        let mut version_checker = VersionChecker {
            within,
            classes,
            versions: BTreeMap::new(),
            spans: BTreeMap::new(),
            seen: BTreeMap::new(),
            runs: BTreeMap::new(),
            figures: Figures::default(),
            broken: Vec::new(),
        };
        version_checker.knows(Duration::ZERO, genesis, true);
        version_checker
    }

    fn knows(&mut self, now: Duration, book: &VersionedConfig, free: bool) {
        let terms = self.classes.iter().map(|p| Terms::of(book, p)).collect();
        self.versions.insert(book.number.0, (terms, now, free));
    }

    /// A version was published.
    pub fn published(&mut self, now: Duration, book: &VersionedConfig, free: bool) {
        self.figures.published += 1;
        self.knows(now, book, free);
    }

    /// `waited`: how long this server and the rig waited for a core since that moment.
    pub fn act(&mut self, act: &Act, waited: impl Fn(Duration) -> Duration) {
        self.figures.acts += 1;
        if let Some((_, published, _)) = self.versions.get(&act.version) {
            let published = *published;
            self.seen
                .entry((act.version, act.server))
                .or_insert_with(|| act.answered.saturating_sub(published).saturating_sub(waited(published)));
        }
        let class = act.class.0 as usize;
        let Some((terms, _, _)) = self.versions.get(&act.version) else {
            let what = format!("judged by version {}, which nobody published", act.version);
            return self.broken.push((act.answered, act.server, what));
        };
        let terms = terms[class].clone();
        if act.ran && !terms.offered {
            let what = format!("ran a product that version {} does not offer", act.version);
            self.broken.push((act.answered, act.server, what));
        }
        self.runs_once(act, &terms);
        let key = (act.class, act.version);
        let span =
            self.spans.entry(key).or_insert(Span { first_answered: act.answered, last_asked: act.asked });
        span.first_answered = span.first_answered.min(act.answered);
        span.last_asked = span.last_asked.max(act.asked);
        self.compare(act, &terms);
    }

    /// A token's runs on one life of a server, by the window of the version that each was judged by.
    fn runs_once(&mut self, act: &Act, _: &Terms) {
        let Some(token) = act.token.filter(|_| act.ran) else { return };
        let class = act.class.0 as usize;
        let runs = self.runs.entry(token).or_default();
        for run in runs.iter().filter(|r| (r.server, r.incarnation) == (act.server, act.incarnation)) {
            let Some((terms, _, _)) = self.versions.get(&run.version) else { continue };
            let terms = &terms[class];
            let marked = terms.effect.as_deref() == Some("referenced");
            let window = Duration::from_secs_f64(terms.window.unwrap_or_default() / 1e3);
            let (first, second) = (run.t0.min(act.asked), run.t0.max(act.asked));
            if marked && second <= first + window {
                let what =
                    format!("ran twice within the window of version {}, by which it ran first", run.version);
                self.broken.push((act.answered, act.server, what));
            }
        }
        runs.push(Run {
            server: act.server,
            incarnation: act.incarnation,
            t0: act.asked,
            version: act.version,
        });
    }

    /// Holds this act against those by newer versions that differ.
    fn compare(&mut self, act: &Act, terms: &Terms) {
        let class = act.class.0 as usize;
        let newer =
            self.spans.range((act.class, act.version + 1)..).take_while(|((p, _), _)| *p == act.class);
        let differs = |v: &u64| self.versions.get(v).is_some_and(|(all, _, _)| all[class] != *terms);
        let first = newer.filter(|((_, v), _)| differs(v)).map(|(_, span)| span.first_answered).min();
        let Some(apart) = first.and_then(|first| act.asked.checked_sub(first)) else { return };
        self.figures.farthest_ms = self.figures.farthest_ms.max(apart.as_secs_f64() * 1e3);
        if apart > self.within {
            self.figures.too_far += 1;
            let what =
                format!("acted by version {} {apart:?} after another acted by a newer one", act.version);
            self.broken.push((act.answered, act.server, what));
        }
    }

    /// The 99th percentile of how long versions took to reach servers, among those that some server acted on.
    fn reached(&self, free: bool) -> f64 {
        let acted: BTreeSet<u64> = self.seen.keys().map(|(v, _)| *v).collect();
        let mut spans: Vec<f64> = Vec::new();
        for ((version, _), span) in &self.seen {
            let Some((_, published, is_free)) = self.versions.get(version) else { continue };
            if *is_free == free && !published.is_zero() && acted.contains(version) {
                spans.push(span.as_secs_f64() * 1e3);
            }
        }
        spans.sort_by(f64::total_cmp);
        spans.get((spans.len() * 99 / 100).min(spans.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }

    pub fn finish(&mut self) -> Figures {
        self.figures.free_p99_ms = self.reached(true);
        self.figures.fenced_p99_ms = self.reached(false);
        self.figures.acted_on = self.seen.keys().map(|(v, _)| *v).collect::<BTreeSet<u64>>().len();
        self.figures.clone()
    }
}
