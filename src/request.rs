//! A txn as the module has it in hand, and what is due for one. No decision lives here.

use crate::totals::Stage;
use crate::types::Effect;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: usize,
    pub effect: Effect,
    pub arrived: Duration,
    pub due: Duration,
    pub deadline: Duration,
    pub kb: f64,
    pub stage: Stage,
    pub started: Duration,
    /// Time spent at calls so far, and since when it stands at one.
    pub call_wait: Duration,
    pub call_since: Duration,
    pub calls: u32,
    /// No sooner than this is its call made again.
    pub redial: Duration,
    /// It has had its final answer but still runs.
    pub answered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Expiry,
    Key,
}
