//! The end of a run: its outcome, and its record on disk.

use super::state::TestCluster;
use crate::invariant_checker::Rule;
use crate::process;
use crate::run_record::Outcome;
use crate::scenario::Fault;
use crate::version_checker::Figures;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufWriter, Write};

/// The share of its final level at which the value counts as steady.
const STEADY_SHARE: f64 = 0.9;
/// Seconds with fewer completed attempts per server, on average, do not show whether one server gets more than others.
const MIN_MEAN_COMPLETED: f64 = 20.0;

impl TestCluster<'_> {
    /// Finishes the checks of a run, and writes its record if it is kept.
    pub(super) fn finish(&mut self) -> io::Result<Outcome> {
        let now = self.now();
        self.check_decisions();
        self.testbed.checker.finish(now);
        if self.options.keep {
            self.write_record()?;
        }
        let version_figures = self.finish_versions();
        let record = &self.testbed.record;
        let checker = &self.testbed.checker;
        let overload = self.index.overload();
        let idempotent_counts = checker.idempotent_by_server.iter();
        Ok(Outcome {
            scenario: self.scenario.name.clone(),
            seed: self.scenario.seed,
            servers: self.servers.len(),
            span_s: self.scenario.span.as_secs_f64(),
            value: record.value(),
            idempotent_value: record.idempotent_value(),
            classes: record.by_class(),
            ends: record.ends.clone(),
            degraded: record.degraded,
            p50_ms: record.quantile(0.5),
            p99_ms: record.quantile(0.99),
            counts: checker.counts,
            violations: checker.violations.clone(),
            membership: self.totals.membership_load,
            index_most: self.index.most_open_calls,
            memory_kb: self.totals.peak_memory_kb,
            descriptors: self.totals.descriptors,
            starts: self.totals.starts,
            start_s: self.totals.start_duration.as_secs_f64(),
            cluster_cpu_s: self.totals.cluster_cpu.as_secs_f64(),
            cluster_memory_kb: process::size(std::process::id()).peak_memory_kb,
            cluster_waited_s: process::own_cpu_time().waited.as_secs_f64(),
            seconds: record.seconds.clone(),
            faults: self.faults.clone(),
            index_collapses: overload.collapses,
            index_slowest: overload.worst_slowdown,
            steady_s: record.steady(STEADY_SHARE),
            least_steady_s: self.least_steady_seconds(),
            crowded: self.most_crowded(),
            version_figures,
            by_server: idempotent_counts.map(|counts| (counts.attempts, counts.completed)).collect(),
            servers_cpu_s: self.totals.servers_cpu.as_secs_f64(),
        })
    }

    /// Reports the violations that the version checker found, and returns its figures.
    fn finish_versions(&mut self) -> Option<Figures> {
        let versions = self.versions.as_mut()?;
        for violation in std::mem::take(&mut versions.checker.violations) {
            let server = Some(violation.server);
            self.testbed.checker.record_violation(violation.at, Rule::Fence, None, server, violation.what);
        }
        let mut figures = versions.checker.finish();
        figures.peer_messages = versions.peer_messages;
        figures.reads = versions.store.reads;
        figures.read_bytes = versions.store.read_bytes;
        Some(figures)
    }

    /// The shortest time, in seconds, after which all servers can be listed and seen by edge nodes, and the index warm.
    fn least_steady_seconds(&self) -> f64 {
        let (scenario, index) = (self.scenario, &self.scenario.index);
        let listed = scenario.fleet.servers as f64 / scenario.membership_capacity
            + scenario.callers.membership_lag.as_secs_f64();
        let mean_call = index.call_duration.as_secs_f64() * (1.0 + index.cold_slowdown) / 2.0;
        let warm_by_slots = f64::from(index.calls_to_warm) * mean_call / index.slots;
        // The index warms no faster than calls arrive.
        let calls_per_request: f64 =
            scenario.classes.iter().map(|class| class.share * class.call_probability).sum();
        let calls_per_second = calls_per_request * scenario.callers.rate;
        let warm = warm_by_slots.max(f64::from(index.calls_to_warm) / calls_per_second.max(1e-6));
        let starts_cold = scenario.timeline.iter().any(|step| step.fault == Fault::IndexCachesEmptied);
        listed.max(if starts_cold { warm } else { 0.0 })
    }

    /// The most that one server completed in a second, as a multiple of the mean of the servers that completed any.
    fn most_crowded(&self) -> f64 {
        let mut seconds: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
        for ((second, _), completed) in &self.testbed.checker.completed_in {
            seconds.entry(*second).or_default().push(*completed);
        }
        let crowding = |servers: &Vec<u32>| {
            let mean = f64::from(servers.iter().sum::<u32>()) / servers.len() as f64;
            let most = f64::from(servers.iter().copied().max().unwrap_or_default());
            (mean >= MIN_MEAN_COMPLETED).then_some(most / mean)
        };
        seconds.values().filter_map(crowding).fold(0.0, f64::max)
    }

    /// Writes `begun` (microseconds of the Unix time at which the callers began) and `trace.jsonl`.
    fn write_record(&self) -> io::Result<()> {
        let begun = self.testbed.started_unix + self.callers_began();
        std::fs::write(self.options.dir.join("begun"), begun.as_micros().to_string())?;
        let mut file = BufWriter::new(File::create(self.options.dir.join("trace.jsonl"))?);
        for line in self.testbed.record.trace.iter().flatten() {
            serde_json::to_writer(&mut file, line)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
