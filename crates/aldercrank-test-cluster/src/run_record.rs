//! The record of a run: figures by class and second, the trace, and the outcome.

use crate::edge_nodes::{Request, RequestClass, RequestEnd};
use crate::ids::{RequestNo, ServerNo};
use crate::invariant_checker::{Counts, Effect, Violation};
use crate::version_checker::Figures;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most lines of a trace; further ones are dropped.
const MAX_TRACE_LINES: usize = 2_000_000;
/// Significant digits of the recorded response times.
const RESPONSE_TIME_DIGITS: u8 = 3;

/// The figures of one second since the callers began. Requests count in the second of their arrival.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// By class: the value of the requests that arrived.
    pub sought: Vec<f64>,
    /// By class: what these requests got in the end.
    pub got: Vec<f64>,
    /// How these requests ended.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Attempts sent.
    pub attempts: u64,
    /// Servers that run.
    pub up: usize,
    /// Servers that are listed.
    pub listed: usize,
    /// Load reports.
    pub reports: u64,
    /// Load reports that were rejected.
    #[serde(rename = "refused_reports")]
    pub rejected_reports: u64,
    /// Load reports by which a server offers a part of its capacity.
    pub parts: u64,
    /// Open calls at the index, on average.
    #[serde(rename = "in_hand")]
    pub outstanding_calls: f64,
    /// Calls to the index.
    pub calls: u64,
    /// Messages between servers.
    #[serde(rename = "words")]
    pub peer_messages: u64,
}

/// A line of the trace: what crossed the wire, or what the test cluster did.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the callers began; negative before.
    pub us: i64,
    /// The request that it is about. Records of earlier versions have it under another name.
    #[serde(alias = "txn")]
    pub request: Option<u32>,
    /// The server that it is about.
    pub server: Option<u16>,
    /// What happened.
    pub what: String,
}

/// The value that requests sought and got.
#[derive(Default)]
struct ValueSum {
    sought: f64,
    got: f64,
}

impl ValueSum {
    /// 1 where nothing was sought.
    fn share(&self) -> f64 {
        if self.sought > 0.0 {
            self.got / self.sought
        } else {
            1.0
        }
    }
}

/// The record of a run that is being played.
pub struct RunRecord {
    classes: Vec<RequestClass>,
    /// When the callers began.
    pub begun: Option<Duration>,
    /// By second since the callers began.
    pub seconds: Vec<Second>,
    /// How requests ended.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Requests that were completed with a result that was made without its call.
    pub degraded: u64,
    /// In microseconds.
    response_times: Histogram<u64>,
    /// The trace, if it is kept.
    pub trace: Option<Vec<Line>>,
}

impl RunRecord {
    /// An empty record.
    pub fn new(classes: Vec<RequestClass>, keeps_trace: bool) -> RunRecord {
        RunRecord {
            classes,
            begun: None,
            seconds: Vec::new(),
            ends: BTreeMap::new(),
            degraded: 0,
            response_times: Histogram::new(RESPONSE_TIME_DIGITS).expect("the digits are in range"),
            trace: keeps_trace.then(Vec::new),
        }
    }

    /// Time since the callers began; zero before.
    pub fn since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.begun.unwrap_or(now))
    }

    /// The figures of the second that contains `now`.
    pub fn second(&mut self, now: Duration) -> &mut Second {
        let index = self.since(now).as_secs() as usize;
        let classes = self.classes.len();
        while self.seconds.len() <= index {
            let (sought, got) = (vec![0.0; classes], vec![0.0; classes]);
            self.seconds.push(Second { sought, got, ..Second::default() });
        }
        &mut self.seconds[index]
    }

    /// A request of the class of this index arrived.
    pub fn request_arrived(&mut self, now: Duration, class: usize) {
        let value = self.classes[class].value;
        self.second(now).sought[class] += value;
    }

    /// A request has ended for its caller.
    pub fn request_ended(&mut self, now: Duration, request: &Request, end: RequestEnd) {
        let class_index = request.class.0 as usize;
        let class = &self.classes[class_index];
        let got = match end {
            RequestEnd::InTime => class.value,
            RequestEnd::Late => class.value * class.late_share,
            _ => 0.0,
        };
        let got = if request.degraded { got * class.degraded_share } else { got };
        self.degraded += u64::from(request.degraded);
        if matches!(end, RequestEnd::InTime | RequestEnd::Late) {
            // The histogram resizes itself, so that no time is out of its range.
            let _ = self.response_times.record((now - request.arrived_at).as_micros() as u64);
        }
        *self.ends.entry(end).or_default() += 1;
        let second = self.second(request.arrived_at);
        second.got[class_index] += got;
        *second.ends.entry(end).or_default() += 1;
    }

    /// Adds a line to the trace, if it is kept.
    pub fn note(
        &mut self,
        now: Duration,
        request: Option<RequestNo>,
        server: Option<ServerNo>,
        what: impl FnOnce() -> String,
    ) {
        let begun = self.begun.unwrap_or_default();
        let Some(trace) = self.trace.as_mut().filter(|trace| trace.len() < MAX_TRACE_LINES) else { return };
        let us = now.as_micros() as i64 - begun.as_micros() as i64;
        let (request, server) = (request.map(|number| number.0), server.map(|number| number.0));
        trace.push(Line { us, request, server, what: what() });
    }

    fn value_of(&self, includes: impl Fn(&RequestClass) -> bool) -> f64 {
        let mut sum = ValueSum::default();
        for second in &self.seconds {
            for (index, _) in self.classes.iter().enumerate().filter(|(_, class)| includes(class)) {
                sum.sought += second.sought[index];
                sum.got += second.got[index];
            }
        }
        sum.share()
    }

    /// The second from which on the value stays above `share` of its level in the last third of the run.
    pub fn steady(&self, share: f64) -> Option<f64> {
        let values: Vec<f64> = self
            .seconds
            .iter()
            .filter(|second| second.sought.iter().sum::<f64>() > 0.0)
            .map(|second| second.got.iter().sum::<f64>() / second.sought.iter().sum::<f64>())
            .collect();
        let last_third = &values[values.len() - values.len() / 3..];
        let level = last_third.iter().sum::<f64>() / last_third.len().max(1) as f64;
        let last_below = values.iter().rposition(|value| *value < share * level);
        let first_steady = last_below.map_or(0, |index| index + 1);
        (!last_third.is_empty() && first_steady < values.len()).then_some(first_steady as f64)
    }

    /// The value that was got, as a share of what was sought.
    pub fn value(&self) -> f64 {
        self.value_of(|_| true)
    }

    /// The same, of idempotent classes.
    pub fn idempotent_value(&self) -> f64 {
        self.value_of(|class| class.effect == Effect::Idempotent)
    }

    /// The same, by class.
    pub fn by_class(&self) -> Vec<(String, f64)> {
        let value = |class: &RequestClass| self.value_of(|other| other.name == class.name);
        self.classes.iter().map(|class| (class.name.clone(), value(class))).collect()
    }

    /// A quantile, from 0 to 1, of the response times of completed requests, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.response_times.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// The load on the membership service.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct MembershipLoad {
    /// Connections, until the callers ended.
    pub connections: u64,
    /// Load reports that were not accepted.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The most connections in any tenth of a second.
    pub most_tenth: usize,
    /// The most connections in any second.
    pub most_second: usize,
    /// The most in any tenth of a second, from the fifth second on.
    pub later_tenth: usize,
    /// The most in any second, from the fifth second on.
    pub later_second: usize,
    /// Load reports by which a server offers a part of its capacity.
    pub parts: u64,
    /// Seconds from the first start until all servers were listed; `None` if they never were.
    pub all_listed_s: Option<f64>,
    /// How often a server left the membership though it ran and was not asked to shut down.
    pub flaps: u64,
}

/// The outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's seed.
    pub seed: u64,
    /// The number of servers.
    pub servers: usize,
    /// How long requests arrived, in seconds.
    pub span_s: f64,
    /// The value that was got, as a share of what was sought.
    pub value: f64,
    /// The same, of idempotent classes.
    #[serde(rename = "inquiry")]
    pub idempotent_value: f64,
    /// The same, by class.
    pub classes: Vec<(String, f64)>,
    /// How requests ended.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Requests that were completed with a result that was made without its call.
    #[serde(rename = "poorer")]
    pub degraded: u64,
    /// The median response time of completed requests.
    pub p50_ms: f64,
    /// The 99th percentile of the response times of completed requests.
    pub p99_ms: f64,
    /// Counts of what crossed the wire.
    pub counts: Counts,
    /// The first violations.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// The load on the membership service.
    #[serde(rename = "list")]
    pub membership: MembershipLoad,
    /// The most open calls at the index.
    pub index_most: usize,
    /// The most memory of a server's process.
    pub memory_kb: u64,
    /// The most descriptors of a server's process.
    pub descriptors: usize,
    /// How many processes were started.
    pub starts: u32,
    /// Seconds from the first start until all servers were listed.
    pub start_s: f64,
    /// CPU seconds of the test cluster while requests arrived.
    pub cluster_cpu_s: f64,
    /// The most memory of the test cluster.
    pub cluster_memory_kb: u64,
    /// Seconds that the test cluster waited for a core.
    pub cluster_waited_s: f64,
    /// By second since the callers began.
    pub seconds: Vec<Second>,
    /// The steps that began: from, until (in seconds since the callers began), and text.
    pub faults: Vec<(f64, f64, String)>,
    /// How often the index collapsed: its calls took more than four times what each would have taken alone, for longer
    /// than two seconds.
    pub index_collapses: u32,
    /// The largest mean duration of the index's calls in a second, as a multiple of what each would have taken alone.
    pub index_slowest: f64,
    /// Seconds until the value stays above nine tenths of its final level.
    pub steady_s: Option<f64>,
    /// The least that this could be, by what the membership service and the index can do.
    pub least_steady_s: f64,
    /// The most that one server completed in a second, as a multiple of the mean of the servers.
    pub crowded: f64,
    /// Figures of the versioned configuration, if there is one.
    #[serde(rename = "agree")]
    pub version_figures: Option<Figures>,
    /// By server: attempts of idempotent requests, and how many of them were completed.
    pub by_server: Vec<(u64, u64)>,
    /// CPU seconds of the servers' processes while requests arrived.
    pub servers_cpu_s: f64,
}
