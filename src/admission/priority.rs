//! The priority of a request against the admission threshold, and its age at arrival.

use super::constants::{USUAL_WAIT_SHARE, WAIT_BUCKETS};
use super::Admission;
use crate::host::Host;
use crate::types::{IncomingRequest, RequestClass};
use std::time::Duration;

impl<H: Host> Admission<H> {
    /// Time since the first attempt, where it can be derived. Most callers still wait a usual part of the deadline of the
    /// class, or as long as they did before; one that waits less has spent the difference on earlier attempts.
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
        // A late request counts as new where its late answer still earns as much as the cheapest in time.
        let cheapest = self.classes.iter().map(|class| class.priority_weight).fold(f64::MAX, f64::min);
        if age > class.latency_target && class.priority_weight * class.late_share >= cheapest {
            Duration::ZERO
        } else {
            age
        }
    }

    /// The priority, compared with the admission threshold: below 1 for classes that are shed first, 1 and above for
    /// the others, by the user's rank within the class, so that a threshold cuts the same users on all servers.
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

    /// The mean of a figure over the classes, weighted by their arrivals.
    pub(super) fn mean_over_arrivals(&self, figure: impl Fn(usize) -> f64) -> f64 {
        let sum: f64 = self.arrivals.iter().enumerate().map(|(class, count)| count * figure(class)).sum();
        sum / self.arrivals.iter().sum::<f64>().max(1e-9)
    }
}
