//! Runs of late, as ratios of what they took to their product's SLA time. No decision lives here.

use std::time::Duration;

#[derive(Debug, Default)]
pub struct Recent {
    runs: Vec<(Duration, usize, f64)>,
    /// Used again at each look.
    ratios: Vec<f64>,
}

impl Recent {
    pub fn ended(&mut self, now: Duration, class: usize, ratio: f64) {
        self.runs.push((now, class, ratio));
    }

    /// The 99th percentile of the runs of this span; 0 of none. Older ones go.
    pub fn p99(&mut self, now: Duration, span: Duration) -> f64 {
        self.runs.retain(|(at, _, _)| *at + span >= now);
        self.ratios.clear();
        self.ratios.extend(self.runs.iter().map(|(_, _, r)| *r));
        let place = self.ratios.len() * 99 / 100;
        if place >= self.ratios.len() {
            return 0.0;
        }
        *self.ratios.select_nth_unstable_by(place, f64::total_cmp).1
    }

    /// Whether a run of this product has ended since then.
    pub fn any(&self, class: usize, since: Duration) -> bool {
        self.runs.iter().any(|(at, p, _)| *p == class && *at > since)
    }
}
