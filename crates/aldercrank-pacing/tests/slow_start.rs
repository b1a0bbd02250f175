//! Slow start by the runs that end, beside a plain model.

// Support code is shared by the modules of this test alone; a scenario may be long.
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

fn cold() -> SlowStart {
    let mut slow_start = SlowStart::new(CONFIG);
    assert_eq!(slow_start.status().phase, Phase::Linking);
    assert_eq!(slow_start.status().share, 0.0);
    slow_start.pool_up(Duration::ZERO, true);
    slow_start
}

#[test]
fn a_warm_pool_gets_the_whole_load_at_once_and_a_cold_one_by_its_runs() {
    let mut warm = SlowStart::new(CONFIG);
    assert_eq!(warm.pool_up(EVALUATION_INTERVAL, false).phase, Phase::Full);
    let mut slow_start = cold();
    let mut phases = vec![slow_start.status().phase];
    for n in 1..=9 {
        slow_start.run_completed(0.3);
        phases.extend(slow_start.evaluate(EVALUATION_INTERVAL * n).map(|status| status.phase));
    }
    assert_eq!(phases[0], Phase::SlowStart);
    assert!(phases[1..8].iter().all(|p| *p == Phase::Offering), "{phases:?}");
    assert_eq!(*phases.last().unwrap(), Phase::Full);
}

#[test]
fn a_rejected_call_and_a_slow_run_cut_the_share_down_to_its_minimum() {
    let mut slow_start = cold();
    for n in 1..=4 {
        slow_start.run_completed(0.1);
        slow_start.evaluate(EVALUATION_INTERVAL * n);
    }
    let grown = slow_start.status().share;
    slow_start.call_rejected();
    slow_start.run_completed(0.1);
    assert_eq!(
        slow_start.evaluate(EVALUATION_INTERVAL * 5).map(|status| status.reason),
        Some(SlowStartReason::Refused)
    );
    assert!(slow_start.status().share < grown);
    for n in 6..=20 {
        slow_start.run_completed(3.0);
        slow_start.evaluate(EVALUATION_INTERVAL * n);
    }
    assert_eq!(slow_start.status().share, CONFIG.min_share);
}

#[test]
fn without_runs_the_share_stays_until_the_longest_slow_start_has_passed() {
    let mut slow_start = cold();
    assert_eq!(slow_start.evaluate(Duration::from_secs(19)), None);
    let status = slow_start.evaluate(Duration::from_secs(20)).unwrap();
    assert_eq!((status.phase, status.reason), (Phase::Full, SlowStartReason::LongEnough));
    // A new pool begins a new slow start.
    assert_eq!(slow_start.pool_up(Duration::from_secs(21), true).phase, Phase::SlowStart);
}

#[derive(Clone, Debug)]
enum Event {
    /// A run that took so many hundredths of its latency target.
    Completed(u8),
    CallRejected,
    /// So many times four milliseconds.
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

/// Keeps all events since the last evaluation and passes over them at each.
#[derive(Default)]
struct PlainModel {
    pool_up_at: f64,
    evaluated_at: f64,
    events: Vec<Event>,
    share: f64,
    full: bool,
}

impl PlainModel {
    fn reevaluate(&mut self, now: f64) {
        if self.full || self.share == 0.0 || now - self.evaluated_at < 0.1 - 1e-9 {
            return;
        }
        self.evaluated_at = now;
        let events = std::mem::take(&mut self.events);
        let call_rejected = events.iter().any(|c| matches!(c, Event::CallRejected));
        let times: Vec<f64> = events
            .iter()
            .filter_map(|c| if let Event::Completed(t) = c { Some(f64::from(*t) / 100.0) } else { None })
            .collect();
        let (all_with_headroom, one_over) = (times.iter().all(|t| *t <= 0.8), times.iter().any(|t| *t > 1.0));
        if now - self.pool_up_at >= 20.0 - 1e-9 {
            (self.share, self.full) = (1.0, true);
        } else if call_rejected || one_over {
            self.share = (self.share * 0.7).max(0.25);
        } else if !times.is_empty() && all_with_headroom {
            self.share = (self.share + 0.1).min(1.0);
            self.full = self.share >= 1.0;
        }
    }
}

#[test]
fn the_share_equals_that_of_a_plain_model_for_all_event_sequences() {
    fn agrees(events: Vec<Event>) -> bool {
        let (mut slow_start, mut model) = (SlowStart::new(CONFIG), PlainModel::default());
        let mut now = Duration::ZERO;
        events.into_iter().all(|event| {
            match &event {
                Event::Completed(hundredths) => slow_start.run_completed(f64::from(*hundredths) / 100.0),
                Event::CallRejected => slow_start.call_rejected(),
                Event::TimePasses(units) => {
                    now += Duration::from_millis(u64::from(*units) * 4);
                    slow_start.evaluate(now);
                    model.reevaluate(now.as_secs_f64());
                }
                Event::PoolUp { cold } => {
                    slow_start.pool_up(now, *cold);
                    let share = if *cold { 0.25 } else { 1.0 };
                    let at = now.as_secs_f64();
                    model = PlainModel {
                        pool_up_at: at,
                        evaluated_at: at,
                        share,
                        full: !cold,
                        ..PlainModel::default()
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
