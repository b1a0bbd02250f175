//! What a run came to: by product and second, in figures that can be shown, compared and kept.

use crate::edge_nodes::{Request, RequestClass, RequestEnd};
use crate::ids::{RequestNo, ServerNo};
use crate::invariant_checker::{Counts, Effect, Violation};
use crate::version_checker::Figures;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Lines of the trace that are kept.
const LINES: usize = 2_000_000;

#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// By product: value sought by first tries that came then, and what they got in the end.
    pub sought: Vec<f64>,
    pub got: Vec<f64>,
    pub ends: BTreeMap<RequestEnd, u64>,
    pub attempts: u64,
    /// Servers that run, stand listed, and whose pool is linked.
    pub up: usize,
    pub listed: usize,
    pub reports: u64,
    pub refused_reports: u64,
    /// Reports that said that their server offers a part of itself only.
    pub parts: u64,
    /// Calls in hand at the index, on average.
    pub in_hand: f64,
    pub calls: u64,
    /// Words between servers, about the rule book.
    pub words: u64,
}

/// One thing that crossed the wire, or that the rig did.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct Line {
    /// Microseconds since the callers began; before that it is negative.
    pub us: i64,
    pub request: Option<u32>,
    pub server: Option<u16>,
    pub what: String,
}

pub struct RunRecord {
    classes: Vec<RequestClass>,
    pub begun: Option<Duration>,
    pub seconds: Vec<Second>,
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Settled with what was made without its call.
    pub poorer: u64,
    times: Histogram<u64>,
    pub trace: Option<Vec<Line>>,
}

impl RunRecord {
    pub fn new(classes: Vec<RequestClass>, trace: bool) -> RunRecord {
        RunRecord {
            classes,
            begun: None,
            seconds: Vec::new(),
            ends: BTreeMap::new(),
            poorer: 0,
            times: Histogram::new(3).expect("three digits"),
            trace: trace.then(Vec::new),
        }
    }

    /// Since the callers began.
    pub fn since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.begun.unwrap_or(now))
    }

    pub fn second(&mut self, now: Duration) -> &mut Second {
        let n = self.since(now).as_secs() as usize;
        let classes = self.classes.len();
        while self.seconds.len() <= n {
            let (sought, got) = (vec![0.0; classes], vec![0.0; classes]);
            self.seconds.push(Second { sought, got, ..Second::default() });
        }
        &mut self.seconds[n]
    }

    pub fn came(&mut self, now: Duration, class: usize) {
        let value = self.classes[class].value;
        self.second(now).sought[class] += value;
    }

    pub fn ended(&mut self, now: Duration, request: &Request, end: RequestEnd) {
        let class = request.class.0 as usize;
        let p = &self.classes[class];
        let got = match end {
            RequestEnd::InTime => p.value,
            RequestEnd::Late => p.value * p.late_share,
            _ => 0.0,
        };
        let got = if request.degraded { got * p.degraded_share } else { got };
        self.poorer += u64::from(request.degraded);
        if matches!(end, RequestEnd::InTime | RequestEnd::Late) {
            // It widens as it must, up to times beyond any that could be.
            let _ = self.times.record((now - request.arrived_at).as_micros() as u64);
        }
        *self.ends.entry(end).or_default() += 1;
        let second = self.second(request.arrived_at);
        second.got[class] += got;
        *second.ends.entry(end).or_default() += 1;
    }

    pub fn note(
        &mut self,
        now: Duration,
        request: Option<RequestNo>,
        server: Option<ServerNo>,
        what: impl FnOnce() -> String,
    ) {
        let begun = self.begun.unwrap_or_default();
        let Some(trace) = self.trace.as_mut().filter(|t| t.len() < LINES) else { return };
        let us = now.as_micros() as i64 - begun.as_micros() as i64;
        trace.push(Line { us, request: request.map(|t| t.0), server: server.map(|s| s.0), what: what() });
    }

    fn sum(&self, which: impl Fn(&RequestClass) -> bool) -> (f64, f64) {
        let (mut sought, mut got) = (0.0, 0.0);
        for second in &self.seconds {
            for (n, p) in self.classes.iter().enumerate().filter(|(_, p)| which(p)) {
                let _ = p;
                sought += second.sought[n];
                got += second.got[n];
            }
        }
        (sought, got)
    }

    fn share(&self, which: impl Fn(&RequestClass) -> bool) -> f64 {
        let (sought, got) = self.sum(which);
        if sought > 0.0 {
            got / sought
        } else {
            1.0
        }
    }

    /// The second from which on the value stays at this share of what the last third comes to.
    pub fn steady(&self, share: f64) -> Option<f64> {
        let values: Vec<f64> = self
            .seconds
            .iter()
            .filter(|s| s.sought.iter().sum::<f64>() > 0.0)
            .map(|s| s.got.iter().sum::<f64>() / s.sought.iter().sum::<f64>())
            .collect();
        let last = &values[values.len() - values.len() / 3..];
        let level = last.iter().sum::<f64>() / last.len().max(1) as f64;
        let below = values.iter().rposition(|v| *v < share * level);
        let first = below.map_or(0, |n| n + 1);
        (!last.is_empty() && first < values.len()).then_some(first as f64)
    }

    pub fn value(&self) -> f64 {
        self.share(|_| true)
    }

    pub fn inquiry(&self) -> f64 {
        self.share(|p| p.effect == Effect::Idempotent)
    }

    pub fn by_class(&self) -> Vec<(String, f64)> {
        let one = |p: &RequestClass| (p.name.clone(), self.share(|other| other.name == p.name));
        self.classes.iter().map(one).collect()
    }

    pub fn quantile(&self, q: f64) -> f64 {
        self.times.value_at_quantile(q) as f64 / 1e3
    }
}

/// What the list service was asked.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ListLoad {
    pub connections: u64,
    pub refused: u64,
    /// The most connections in any tenth of a second, and in any second, until the callers were gone.
    pub most_tenth: usize,
    pub most_second: usize,
    /// The same from the fifth second on.
    pub later_tenth: usize,
    pub later_second: usize,
    /// Reports that said that their server offers a part of itself only.
    pub parts: u64,
    /// Seconds from the first start until all were listed; none where they never were.
    pub all_listed_s: Option<f64>,
    /// Times that a server left the list while it ran and was not told to.
    pub flaps: u64,
}

/// A run's outcome.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub scenario: String,
    pub seed: u64,
    pub servers: usize,
    pub span_s: f64,
    /// Got over sought, of all, of inquiry-like products, and by product.
    pub value: f64,
    pub inquiry: f64,
    pub classes: Vec<(String, f64)>,
    pub ends: BTreeMap<RequestEnd, u64>,
    pub poorer: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub counts: Counts,
    pub broken: Vec<Violation>,
    /// What was looked at and is over its limit stands among the broken.
    pub list: ListLoad,
    pub index_most: usize,
    pub memory_kb: u64,
    pub descriptors: usize,
    pub starts: u32,
    /// Seconds until all servers were listed, from the first start.
    pub start_s: f64,
    /// Of the rig itself: seconds on a core while callers came, its most memory, what it waited for a core.
    pub rig_cpu_s: f64,
    pub rig_memory_kb: u64,
    pub rig_waited_s: f64,
    pub seconds: Vec<Second>,
    /// What went wrong: when, until when, what.
    pub faults: Vec<(f64, f64, String)>,
    /// How often the index collapsed (its calls over four times what each would take alone for longer than two seconds),
    /// and the most that they took in a second, in those times.
    pub index_collapses: u32,
    pub index_slowest: f64,
    /// Seconds from the first start until the value stays at nine tenths of what it comes to at the end, and the
    /// least that could be by what the list service and the index can do.
    pub steady_s: Option<f64>,
    pub least_steady_s: f64,
    /// The most txns that one server settled in a second, in times the mean of the servers then.
    pub crowded: f64,
    /// Of the rule book, where there is one.
    pub agree: Option<Figures>,
    /// By server: tries of inquiry-like products, and how many of them were settled.
    pub by_server: Vec<(u64, u64)>,
    /// What the servers' processes took on a core while callers came.
    pub servers_cpu_s: f64,
}
