//! How far a start has come, where the service file asks for it: what came back is handed to `aldercrank-pacing`, and the
//! share that follows is said. It decides nothing: a module that runs this share of its window alone gets less value at
//! each load (docs/design-start.md), since it learns from the runs themselves how slow its pool is.

use super::*;
use aldercrank_pacing::{SlowStart, SlowStartConfig, SlowStartStatus};

/// Between two looks at what came back, of the shortest SLA time.
const LOOK: f64 = 0.25;

pub(super) struct Start {
    warming: SlowStart,
    /// Of each product.
    slas: Vec<Duration>,
}

fn slas(settings: &Settings) -> Vec<Duration> {
    parameters::classes(settings).into_iter().map(|p| p.latency_target).collect()
}

impl<P: Ports> Core<P> {
    /// From here on what comes back is followed. `cold`: whether the worker pool is.
    pub fn warms_up(&mut self, now: Duration, settings: &Settings, cold: bool) {
        let slas = slas(settings);
        let shortest = slas.iter().min().copied().unwrap_or_default();
        let terms = SlowStartConfig {
            least: settings.num("rules.cold_from").unwrap_or(0.0),
            promised: settings.span("rules.warm_after").unwrap_or_default(),
            look: shortest.mul_f64(LOOK),
        };
        self.start = Some(Start { warming: SlowStart::linking(terms), slas });
        self.pool_up(now, cold);
    }

    /// How far the start has come: nothing where nobody asked.
    pub fn started(&self) -> Option<SlowStartStatus> {
        self.start.as_ref().map(|start| start.warming.now())
    }

    pub(super) fn start_goes_by(&mut self, settings: &Settings) {
        if let Some(start) = &mut self.start {
            start.slas = slas(settings);
        }
    }

    /// The first worker pool, or another one than before.
    pub(super) fn pool_up(&mut self, now: Duration, cold: bool) {
        if let Some(look) = self.start.as_mut().map(|start| start.warming.bound(now, cold)) {
            tell(look);
        }
    }

    pub(super) fn came_back(&mut self, class: usize, took: Duration) {
        let Some(start) = &mut self.start else { return };
        if let Some(latency_target) = start.slas.get(class).filter(|latency_target| !latency_target.is_zero())
        {
            start.warming.completed(took.div_duration_f64(*latency_target));
        }
    }

    pub(super) fn turned_away_below(&mut self) {
        if let Some(start) = &mut self.start {
            start.warming.rejected();
        }
    }

    pub(super) fn look(&mut self, now: Duration) {
        if let Some(look) = self.start.as_mut().and_then(|start| start.warming.at(now)) {
            tell(look);
        }
    }
}

fn tell(look: SlowStartStatus) {
    tracing::info!(phase = look.phase.name(), share = look.share, why = look.why.name(), "start");
}
