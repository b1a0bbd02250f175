//! The time that processes waited for a core, which extends time limits on a busy machine.

use crate::ids::ServerNo;
use std::time::Duration;

/// The cumulative scheduling delays at one time.
struct Sample {
    at: Duration,
    cluster: Duration,
    servers: Vec<Duration>,
}

/// Samples of the cumulative time that the servers and the test cluster waited for a core.
#[derive(Default)]
pub struct SchedulingDelay {
    samples: Vec<Sample>,
}

impl SchedulingDelay {
    /// Adds a sample of the cumulative delays of the test cluster and of each server. `now` must not decrease.
    pub fn sample(&mut self, now: Duration, cluster: Duration, servers: Vec<Duration>) {
        self.samples.push(Sample { at: now, cluster, servers });
    }

    /// An upper bound of the time that a server and the test cluster waited between `from` and `to`, by the samples.
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
