//! Tests slow start in single scenarios, and against a reference model for random sequences of events.

// Test code needs neither documentation nor minimal visibility, and some tests are long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_pacing::{Phase, SlowStart, SlowStartConfig, SlowStartReason};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
const CONFIG: SlowStartConfig = SlowStartConfig {
    min_share: 0.25,
    warm_after: Duration::from_secs(5),
    evaluation_interval: EVALUATION_INTERVAL,
};

/// A slow start whose pool came up cold at time zero.
fn cold_slow_start() -> SlowStart {
    let mut slow_start = SlowStart::new(CONFIG);
    assert_eq!(slow_start.status().phase, Phase::NoPool);
    assert_eq!(slow_start.status().share, 0.0);
    slow_start.pool_up(Duration::ZERO, true);
    slow_start
}

#[test]
fn a_warm_pool_gets_the_full_load_at_once_and_a_cold_one_as_its_runs_show_headroom() {
    let mut warm = SlowStart::new(CONFIG);
    assert_eq!(warm.pool_up(EVALUATION_INTERVAL, false).phase, Phase::Full);
    let mut slow_start = cold_slow_start();
    let mut phases = vec![slow_start.status().phase];
    for n in 1..=9 {
        slow_start.run_completed(0.3);
        phases.extend(slow_start.evaluate(EVALUATION_INTERVAL * n).map(|status| status.phase));
    }
    assert_eq!(phases[0], Phase::Cold);
    assert!(phases[1..8].iter().all(|p| *p == Phase::RampUp), "{phases:?}");
    assert_eq!(*phases.last().unwrap(), Phase::Full);
}

#[test]
fn rejected_calls_and_slow_runs_cut_the_share_down_to_its_minimum() {
    let mut slow_start = cold_slow_start();
    for n in 1..=4 {
        slow_start.run_completed(0.1);
        slow_start.evaluate(EVALUATION_INTERVAL * n);
    }
    let share_before = slow_start.status().share;
    slow_start.call_rejected();
    slow_start.run_completed(0.1);
    assert_eq!(
        slow_start.evaluate(EVALUATION_INTERVAL * 5).map(|status| status.reason),
        Some(SlowStartReason::CallRejected)
    );
    assert!(slow_start.status().share < share_before);
    for n in 6..=20 {
        slow_start.run_completed(3.0);
        slow_start.evaluate(EVALUATION_INTERVAL * n);
    }
    assert_eq!(slow_start.status().share, CONFIG.min_share);
}

#[test]
fn without_runs_the_share_stays_the_same_until_the_time_limit() {
    let mut slow_start = cold_slow_start();
    assert_eq!(slow_start.evaluate(Duration::from_secs(19)), None);
    let status = slow_start.evaluate(Duration::from_secs(20)).unwrap();
    assert_eq!((status.phase, status.reason), (Phase::Full, SlowStartReason::TimeLimit));
    // A new cold pool starts over.
    assert_eq!(slow_start.pool_up(Duration::from_secs(21), true).phase, Phase::Cold);
}

#[derive(Clone, Debug)]
enum Event {
    /// A run that took this many hundredths of its latency target.
    Completed(u8),
    CallRejected,
    /// Time passes, in units of four milliseconds.
    TimePasses(u8),
    PoolUp {
        cold: bool,
    },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        match u8::arbitrary(g) % 16 {
            0 => Event::PoolUp { cold: bool::arbitrary(g) },
            1 | 2 => Event::CallRejected,
            3..=8 => Event::Completed(u8::arbitrary(g)),
            _ => Event::TimePasses(u8::arbitrary(g)),
        }
    }
}

/// A simple implementation that stores all events since the last evaluation and goes through them at each.
#[derive(Default)]
struct ReferenceModel {
    pool_up_at: f64,
    evaluated_at: f64,
    events: Vec<Event>,
    share: f64,
    full: bool,
}

impl ReferenceModel {
    fn evaluate(&mut self, now: f64) {
        if self.full || self.share == 0.0 || now - self.evaluated_at < 0.1 - 1e-9 {
            return;
        }
        self.evaluated_at = now;
        let events = std::mem::take(&mut self.events);
        let call_rejected = events.iter().any(|event| matches!(event, Event::CallRejected));
        let times: Vec<f64> = events
            .iter()
            .filter_map(|event| match event {
                Event::Completed(hundredths) => Some(f64::from(*hundredths) / 100.0),
                _ => None,
            })
            .collect();
        let (all_with_headroom, any_over_target) =
            (times.iter().all(|t| *t <= 0.8), times.iter().any(|t| *t > 1.0));
        if now - self.pool_up_at >= 20.0 - 1e-9 {
            (self.share, self.full) = (1.0, true);
        } else if call_rejected || any_over_target {
            self.share = (self.share * 0.7).max(0.25);
        } else if !times.is_empty() && all_with_headroom {
            self.share = (self.share + 0.1).min(1.0);
            self.full = self.share >= 1.0;
        }
    }
}

#[test]
fn the_share_equals_that_of_the_reference_model_for_any_event_sequence() {
    fn agrees(events: Vec<Event>) -> bool {
        let (mut slow_start, mut model) = (SlowStart::new(CONFIG), ReferenceModel::default());
        let mut now = Duration::ZERO;
        events.into_iter().all(|event| {
            match &event {
                Event::Completed(hundredths) => slow_start.run_completed(f64::from(*hundredths) / 100.0),
                Event::CallRejected => slow_start.call_rejected(),
                Event::TimePasses(units) => {
                    now += Duration::from_millis(u64::from(*units) * 4);
                    slow_start.evaluate(now);
                    model.evaluate(now.as_secs_f64());
                }
                Event::PoolUp { cold } => {
                    slow_start.pool_up(now, *cold);
                    let share = if *cold { 0.25 } else { 1.0 };
                    let at = now.as_secs_f64();
                    model = ReferenceModel {
                        pool_up_at: at,
                        evaluated_at: at,
                        share,
                        full: !cold,
                        ..ReferenceModel::default()
                    };
                }
            }
            if matches!(event, Event::Completed(_) | Event::CallRejected) {
                model.events.push(event);
            }
            let status = slow_start.status();
            (status.share - model.share).abs() < 1e-9 && (status.phase == Phase::Full) == model.full
        })
    }
    QuickCheck::new().tests(3000).quickcheck(agrees as fn(Vec<Event>) -> bool);
}
