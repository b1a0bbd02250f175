//! What is in hand, in running sums: how many txns of each product and in each stage, and what they hold in
//! memory. Sums are of whole numbers, so that they come back to where they were. No decision lives here.

/// Where a txn stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Queued,
    Joined,
    Running,
    /// At a call that has not been made.
    AtCall,
    Calling,
}

/// Parts of a KB that memory is counted in; the most KB that one txn counts for.
const PARTS: f64 = 65536.0;
const MOST_KB: f64 = 1e9;

fn parts(kb: f64) -> u64 {
    (kb.min(MOST_KB) * PARTS).round() as u64
}

#[derive(Debug, Default)]
pub struct Totals {
    of_class: Vec<usize>,
    of_stage: [usize; 5],
    waiting: u64,
    begun: u64,
}

impl Totals {
    pub fn new(classes: usize) -> Totals {
        Totals { of_class: vec![0; classes], ..Totals::default() }
    }

    fn memory(&mut self, stage: Stage) -> &mut u64 {
        match stage {
            Stage::Queued | Stage::Joined => &mut self.waiting,
            _ => &mut self.begun,
        }
    }

    pub fn enter(&mut self, class: usize, stage: Stage, kb: f64) {
        self.of_class[class] += 1;
        self.of_stage[stage as usize] += 1;
        *self.memory(stage) += parts(kb);
    }

    pub fn leave(&mut self, class: usize, stage: Stage, kb: f64) {
        self.of_class[class] -= 1;
        self.of_stage[stage as usize] -= 1;
        *self.memory(stage) -= parts(kb);
    }

    pub fn of_class(&self, class: usize) -> usize {
        self.of_class[class]
    }

    pub fn running(&self) -> usize {
        self.of_stage[Stage::Running as usize]
    }

    /// All whose run has begun.
    pub fn begun(&self) -> usize {
        self.of_stage.iter().sum::<usize>()
            - self.of_stage[Stage::Queued as usize]
            - self.of_stage[Stage::Joined as usize]
    }

    /// KB of those whose run has not begun, and of the others.
    pub fn kb(&self) -> (f64, f64) {
        (self.waiting as f64 / PARTS, self.begun as f64 / PARTS)
    }
}
