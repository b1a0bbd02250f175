//! The priority that is compared with the admission threshold, and the age of a request at its arrival.

use super::constants::{USUAL_WAIT_SHARE, WAIT_BUCKETS};
use super::Admission;
use crate::host::Host;
use crate::types::{IncomingRequest, RequestClass};
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Estimates the time since the first attempt from the remaining wait. A first attempt has a remaining wait that
    /// many recent requests share, or that the same caller has had before. A caller that waits less is assumed to have
    /// spent the rest of the class deadline on earlier attempts.
    pub(super) fn age_at_arrival(
        &mut self,
        incoming: &IncomingRequest,
        arrived_at: Duration,
        class: &RequestClass,
    ) -> Duration {
        let whole = class.deadline.max(self.parameters.tick);
        let share_left = |deadline: Duration| deadline.saturating_sub(arrived_at).div_duration_f64(whole);
        let left = incoming.deadline.map_or(1.0, share_left).min(1.0);
        let comparison = self.recent_callers.record(incoming.caller, (left * WAIT_BUCKETS) as usize);
        let is_usual = comparison.similar_share >= USUAL_WAIT_SHARE || comparison.seen_from_caller;
        let age = if is_usual { Duration::ZERO } else { class.deadline.mul_f64(1.0 - left) };
        // A request that is already late counts as new if a late answer still earns at least as much as an answer in
        // time of the class with the lowest weight.
        let cheapest = self.classes.iter().map(|class| class.priority_weight).fold(f64::MAX, f64::min);
        if age > class.latency_target && class.priority_weight * class.late_share >= cheapest {
            Duration::ZERO
        } else {
            age
        }
    }

    /// The priority of a request, to be compared with the admission threshold. It is below 1 for classes that are shed
    /// first, whose weight relative to their run time is below the mean, and from 1 to below 2 for the others. Within a
    /// class users are ordered by rank, so that equal thresholds reject the same users on all servers. Beyond the quota
    /// of its tenant a request has a reduced priority.
    pub(super) fn priority(&mut self, now: Duration, class: usize, incoming: &IncomingRequest) -> f64 {
        let rank_in_class = (incoming.rank.clamp(0.0, 1.0) * self.classes.len() as f64).fract();
        let weight_for_time = self.classes[class].priority_weight
            * self.mean_over_arrivals(|i| self.run_seconds[i])
            / self.run_seconds[class].max(1e-9);
        let is_kept = weight_for_time >= self.mean_over_arrivals(|i| self.classes[i].priority_weight);
        let priority = rank_in_class + f64::from(u32::from(is_kept));
        let Some(tenant) = incoming.tenant else { return priority };
        let Some(index) = self.parameters.tenants.iter().position(|quota| quota.name == tenant) else {
            return priority;
        };
        let rate = self.parameters.tenants[index].rate;
        if !self.tenant_quotas.take(index, rate, now) {
            return priority * self.parameters.over_quota_factor;
        }
        priority
    }

    /// The mean of a value over the classes, weighted by their recent arrivals.
    pub(super) fn mean_over_arrivals(&self, figure: impl Fn(usize) -> f64) -> f64 {
        let sum: f64 = self.arrivals.iter().enumerate().map(|(class, count)| count * figure(class)).sum();
        sum / self.arrivals.iter().sum::<f64>().max(1e-9)
    }
}
