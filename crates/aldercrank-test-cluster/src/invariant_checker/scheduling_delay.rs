//! Time that processes waited for a core, so that a busy machine is not taken for a slow program.

use crate::ids::ServerNo;
use std::time::Duration;

/// Cumulative scheduling delays at one time.
struct Sample {
    at: Duration,
    cluster: Duration,
    servers: Vec<Duration>,
}

/// Samples of the cumulative time that the servers and the test cluster itself waited for a core.
#[derive(Default)]
pub struct SchedulingDelay {
    samples: Vec<Sample>,
}

impl SchedulingDelay {
    /// Adds the sums so far: the test cluster's own, and each server's. Called in the order of time.
    pub fn sample(&mut self, now: Duration, cluster: Duration, servers: Vec<Duration>) {
        self.samples.push(Sample { at: now, cluster, servers });
    }

    /// An upper bound for what a server and the test cluster waited from `from` to `to`.
    pub fn between(&self, server: ServerNo, from: Duration, to: Duration) -> Duration {
        let index_after = |time: Duration| self.samples.partition_point(|sample| sample.at <= time);
        let first = index_after(from).saturating_sub(1);
        let last = index_after(to).min(self.samples.len().saturating_sub(1));
        let (Some(first), Some(last)) = (self.samples.get(first), self.samples.get(last)) else {
            return Duration::ZERO;
        };
        let of_server = |sample: &Sample| sample.servers.get(server.0 as usize).copied().unwrap_or_default();
        let server_delay = of_server(last).saturating_sub(of_server(first));
        server_delay + last.cluster.saturating_sub(first.cluster)
    }
}
