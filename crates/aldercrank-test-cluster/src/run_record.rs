//! The record of a run: statistics by request class and by second, the trace, and the outcome.

use crate::edge_nodes::{Request, RequestClass, RequestEnd};
use crate::ids::{RequestNo, ServerNo};
use crate::invariant_checker::{Counts, Effect, Violation};
use crate::version_checker::Figures;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most lines of a trace. Further ones are dropped.
const MAX_TRACE_LINES: usize = 2_000_000;
/// Significant digits of the recorded response times.
const RESPONSE_TIME_DIGITS: u8 = 3;

/// Statistics of one second of a run. Requests are counted in the second in which they arrived.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// By class: the value of the requests that arrived in this second.
    pub sought: Vec<f64>,
    /// By class: the value that these requests obtained.
    pub got: Vec<f64>,
    /// The number of these requests, by how they ended.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Attempts sent.
    pub attempts: u64,
    /// Servers running at the end of the second.
    pub up: usize,
    /// Servers listed at the end of the second.
    pub listed: usize,
    /// Load reports that the membership service received in full.
    pub reports: u64,
    /// Load reports that the membership service rejected.
    #[serde(rename = "refused_reports")]
    pub rejected_reports: u64,
    /// Load reports in which a server offers a part of its capacity.
    pub parts: u64,
    /// The mean number of outstanding calls at the index.
    #[serde(rename = "in_hand")]
    pub outstanding_calls: f64,
    /// Calls to the index.
    pub calls: u64,
    /// Messages between servers.
    #[serde(rename = "words")]
    pub peer_messages: u64,
}

/// A line of the trace: an event on the wire, or an action of the test cluster.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the callers started; negative before.
    pub us: i64,
    /// The number of the request concerned, if any. Traces by earlier versions name this field `txn`.
    #[serde(alias = "txn")]
    pub request: Option<u32>,
    /// The number of the server concerned, if any.
    pub server: Option<u16>,
    /// A description of the event.
    pub what: String,
}

/// The value of requests, and the value that they obtained.
#[derive(Default)]
struct ValueSum {
    sought: f64,
    got: f64,
}

impl ValueSum {
    /// The share of the value that was obtained; 1 if there were no requests.
    fn obtained_share(&self) -> f64 {
        if self.sought > 0.0 {
            self.got / self.sought
        } else {
            1.0
        }
    }
}

/// Collects the statistics and the trace while a run is played.
pub struct RunRecord {
    classes: Vec<RequestClass>,
    /// When the callers started; `None` before.
    pub begun: Option<Duration>,
    /// Statistics by second since the callers started.
    pub seconds: Vec<Second>,
    /// The number of requests, by how they ended.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Requests completed with a degraded result, from a run that continued without its call.
    pub degraded: u64,
    /// Response times of completed requests, in microseconds.
    response_times: Histogram<u64>,
    /// The trace, if one is recorded.
    pub trace: Option<Vec<Line>>,
}

impl RunRecord {
    /// Creates an empty record, with a trace if `keeps_trace` is set.
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

    /// The time since the callers started; zero before.
    pub fn since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.begun.unwrap_or(now))
    }

    /// The statistics of the second that contains `now`.
    pub fn second(&mut self, now: Duration) -> &mut Second {
        let index = self.since(now).as_secs() as usize;
        let classes = self.classes.len();
        while self.seconds.len() <= index {
            let (sought, got) = (vec![0.0; classes], vec![0.0; classes]);
            self.seconds.push(Second { sought, got, ..Second::default() });
        }
        &mut self.seconds[index]
    }

    /// Records the arrival of a request of a class, by the class's index.
    pub fn request_arrived(&mut self, now: Duration, class: usize) {
        let value = self.classes[class].value;
        self.second(now).sought[class] += value;
    }

    /// Records the end of a request for its caller.
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
            // The histogram resizes itself, so recording never fails for a value out of range.
            let _ = self.response_times.record((now - request.arrived_at).as_micros() as u64);
        }
        *self.ends.entry(end).or_default() += 1;
        let second = self.second(request.arrived_at);
        second.got[class_index] += got;
        *second.ends.entry(end).or_default() += 1;
    }

    /// Adds a line to the trace if one is recorded and not full. `what` is called only then.
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

    /// The value obtained by the requests of some classes, as a share of their value.
    fn value_of(&self, includes: impl Fn(&RequestClass) -> bool) -> f64 {
        let mut sum = ValueSum::default();
        for second in &self.seconds {
            for (index, _) in self.classes.iter().enumerate().filter(|(_, class)| includes(class)) {
                sum.sought += second.sought[index];
                sum.got += second.got[index];
            }
        }
        sum.obtained_share()
    }

    /// The first second from which on the value is never below `share` of its mean in the last third of the run; `None`
    /// if there is none.
    pub fn steady(&self, share: f64) -> Option<f64> {
        let values: Vec<f64> = self
            .seconds
            .iter()
            .filter(|second| second.sought.iter().sum::<f64>() > 0.0)
            .map(|second| second.got.iter().sum::<f64>() / second.sought.iter().sum::<f64>())
            .collect();
        let last_third = &values[values.len() - values.len() / 3..];
        let final_mean = last_third.iter().sum::<f64>() / last_third.len().max(1) as f64;
        let last_below = values.iter().rposition(|value| *value < share * final_mean);
        let first_steady = last_below.map_or(0, |index| index + 1);
        (!last_third.is_empty() && first_steady < values.len()).then_some(first_steady as f64)
    }

    /// The value obtained by all requests, as a share of their value.
    pub fn value(&self) -> f64 {
        self.value_of(|_| true)
    }

    /// Like `value`, over the idempotent classes only.
    pub fn idempotent_value(&self) -> f64 {
        self.value_of(|class| class.effect == Effect::Idempotent)
    }

    /// Like `value`, by class.
    pub fn by_class(&self) -> Vec<(String, f64)> {
        let value = |class: &RequestClass| self.value_of(|other| other.name == class.name);
        self.classes.iter().map(|class| (class.name.clone(), value(class))).collect()
    }

    /// A quantile (from 0 to 1) of the response times of completed requests, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.response_times.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// The load on the membership service.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct MembershipLoad {
    /// Connections until the callers stopped.
    pub connections: u64,
    /// Load reports that the membership service rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The most connections in any tenth of a second.
    pub most_tenth: usize,
    /// The most connections in any second.
    pub most_second: usize,
    /// The most connections in any tenth of a second, from the fifth second on.
    pub later_tenth: usize,
    /// The most connections in any second, from the fifth second on.
    pub later_second: usize,
    /// Load reports in which a server offers a part of its capacity.
    pub parts: u64,
    /// Seconds from the start of the first server until all servers were listed; `None` if they never were.
    pub all_listed_s: Option<f64>,
    /// How often servers left the membership while they ran and were not asked to shut down.
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
    /// How long callers sent requests, in seconds.
    pub span_s: f64,
    /// The value obtained by all requests, as a share of their value.
    pub value: f64,
    /// Like `value`, over the idempotent classes only.
    #[serde(rename = "inquiry")]
    pub idempotent_value: f64,
    /// Like `value`, by class.
    pub classes: Vec<(String, f64)>,
    /// The number of requests, by how they ended.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Requests completed with a degraded result, from a run that continued without its call.
    #[serde(rename = "poorer")]
    pub degraded: u64,
    /// The median of the response times of completed requests.
    pub p50_ms: f64,
    /// The 99th percentile of the response times of completed requests.
    pub p99_ms: f64,
    /// Counts of events on the wire.
    pub counts: Counts,
    /// The first violations.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// The load on the membership service.
    #[serde(rename = "list")]
    pub membership: MembershipLoad,
    /// The most outstanding calls at the index at any time.
    pub index_most: usize,
    /// The most memory used by a server process.
    pub memory_kb: u64,
    /// The most descriptors open in a server process.
    pub descriptors: usize,
    /// The number of server processes that were started.
    pub starts: u32,
    /// Seconds from the start of the first server until all were listed.
    pub start_s: f64,
    /// CPU seconds used by the test cluster while callers sent requests.
    pub cluster_cpu_s: f64,
    /// The most memory used by the test cluster.
    pub cluster_memory_kb: u64,
    /// Seconds that the test cluster waited for a core.
    pub cluster_waited_s: f64,
    /// Statistics by second since the callers started.
    pub seconds: Vec<Second>,
    /// The steps that began: start and end in seconds since the callers started, and the fault with its server.
    pub faults: Vec<(f64, f64, String)>,
    /// How often the index collapsed: for longer than two seconds, its calls took more than four times as long as each
    /// would have taken alone.
    pub index_collapses: u32,
    /// The longest mean duration of calls to the index in a second, as a multiple of that of a call alone.
    pub index_slowest: f64,
    /// Seconds until the value stays at nine tenths or more of its mean in the last third of the run.
    pub steady_s: Option<f64>,
    /// The least possible `steady_s`, by the capacities of the membership service and the index.
    pub least_steady_s: f64,
    /// The most attempts that one server completed in a second, as a multiple of the mean over the servers.
    pub crowded: f64,
    /// Statistics of the versioned configuration, if there is one.
    #[serde(rename = "agree")]
    pub version_figures: Option<Figures>,
    /// By server: the attempts of idempotent requests, and how many of them were completed.
    pub by_server: Vec<(u64, u64)>,
    /// CPU seconds used by the server processes while callers sent requests.
    pub servers_cpu_s: f64,
}
