//! Totals over the requests in flight, updated incrementally: their number per class and per stage, and their memory.

use crate::request::Stage;

/// Memory is summed in integer units of 1/65536 KB, so that adding a request and removing it later restores the sum
/// exactly, without rounding errors.
const UNITS_PER_KB: f64 = 65536.0;
/// A request counts for at most this many KB, so that the sum cannot overflow.
const MAX_REQUEST_KB: f64 = 1e9;

fn memory_units(kb: f64) -> u64 {
    (kb.min(MAX_REQUEST_KB) * UNITS_PER_KB).round() as u64
}

/// Memory of the requests in flight in KB, each counted at its size before it runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryTotals {
    /// Memory of queued and joined requests.
    pub(crate) not_started_kb: f64,
    /// Memory of requests whose run has started.
    pub(crate) started_kb: f64,
}

/// Counts and memory of the requests in flight.
#[derive(Debug, Default)]
pub(crate) struct RequestTotals {
    by_class: Vec<usize>,
    by_stage: [usize; 5],
    not_started_units: u64,
    started_units: u64,
}

impl RequestTotals {
    pub(crate) fn new(class_count: usize) -> RequestTotals {
        RequestTotals { by_class: vec![0; class_count], ..RequestTotals::default() }
    }

    fn memory(&mut self, stage: Stage) -> &mut u64 {
        match stage {
            Stage::Queued | Stage::Joined => &mut self.not_started_units,
            Stage::Running | Stage::AwaitingCall | Stage::Calling => &mut self.started_units,
        }
    }

    pub(crate) fn add(&mut self, class: usize, stage: Stage, memory_kb: f64) {
        self.by_class[class] += 1;
        self.by_stage[stage as usize] += 1;
        *self.memory(stage) += memory_units(memory_kb);
    }

    pub(crate) fn remove(&mut self, class: usize, stage: Stage, memory_kb: f64) {
        self.by_class[class] -= 1;
        self.by_stage[stage as usize] -= 1;
        *self.memory(stage) -= memory_units(memory_kb);
    }

    pub(crate) fn count_of_class(&self, class: usize) -> usize {
        self.by_class[class]
    }

    pub(crate) fn running(&self) -> usize {
        self.by_stage[Stage::Running as usize]
    }

    /// Number of requests whose run has started, including those that wait for an upstream call.
    pub(crate) fn started(&self) -> usize {
        self.by_stage.iter().sum::<usize>()
            - self.by_stage[Stage::Queued as usize]
            - self.by_stage[Stage::Joined as usize]
    }

    pub(crate) fn memory_totals(&self) -> MemoryTotals {
        MemoryTotals {
            not_started_kb: self.not_started_units as f64 / UNITS_PER_KB,
            started_kb: self.started_units as f64 / UNITS_PER_KB,
        }
    }
}
