//! Warming up by what comes back, beside a slow plain model of its bounds.

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

const LOOK: Duration = Duration::from_millis(100);
const TERMS: SlowStartConfig = SlowStartConfig { least: 0.25, promised: Duration::from_secs(5), look: LOOK };

fn cold() -> SlowStart {
    let mut warming = SlowStart::linking(TERMS);
    assert_eq!(warming.now().phase, Phase::Linking);
    assert_eq!(warming.now().share, 0.0);
    warming.bound(Duration::ZERO, true);
    warming
}

#[test]
fn a_warm_pool_is_offered_whole_at_once_and_a_cold_one_by_what_comes_back() {
    let mut warm = SlowStart::linking(TERMS);
    assert_eq!(warm.bound(LOOK, false).phase, Phase::Full);
    let mut warming = cold();
    let mut phases = vec![warming.now().phase];
    for n in 1..=9 {
        warming.completed(0.3);
        phases.extend(warming.at(LOOK * n).map(|look| look.phase));
    }
    assert_eq!(phases[0], Phase::SlowStart);
    assert!(phases[1..8].iter().all(|p| *p == Phase::Offering), "{phases:?}");
    assert_eq!(*phases.last().unwrap(), Phase::Full);
}

#[test]
fn a_refusal_and_a_slow_run_cut_the_share_to_the_least_at_the_lowest() {
    let mut warming = cold();
    for n in 1..=4 {
        warming.completed(0.1);
        warming.at(LOOK * n);
    }
    let grown = warming.now().share;
    warming.rejected();
    warming.completed(0.1);
    assert_eq!(warming.at(LOOK * 5).map(|look| look.why), Some(SlowStartReason::Refused));
    assert!(warming.now().share < grown);
    for n in 6..=20 {
        warming.completed(3.0);
        warming.at(LOOK * n);
    }
    assert_eq!(warming.now().share, TERMS.least);
}

#[test]
fn without_anything_that_comes_back_it_stays_and_is_full_once_it_has_waited_long_enough() {
    let mut warming = cold();
    assert_eq!(warming.at(Duration::from_secs(19)), None);
    let look = warming.at(Duration::from_secs(20)).unwrap();
    assert_eq!((look.phase, look.why), (Phase::Full, SlowStartReason::LongEnough));
    // Another pool begins it all again.
    assert_eq!(warming.bound(Duration::from_secs(21), true).phase, Phase::SlowStart);
}

#[derive(Clone, Debug)]
enum Came {
    Completed(u8),
    Refused,
    SlowStartStatus(u8),
    Pool(bool),
}

impl Arbitrary for Came {
    fn arbitrary(g: &mut Gen) -> Came {
        match u8::arbitrary(g) % 16 {
            0 => Came::Pool(bool::arbitrary(g)),
            1 | 2 => Came::Refused,
            3..=8 => Came::Completed(u8::arbitrary(g)),
            _ => Came::SlowStartStatus(u8::arbitrary(g)),
        }
    }
}

/// The model keeps all that came since the last look and goes through it again at each.
#[derive(Default)]
struct Plain {
    since: f64,
    looked: f64,
    came: Vec<Came>,
    share: f64,
    full: bool,
}

impl Plain {
    fn look(&mut self, now: f64) {
        if self.full || self.share == 0.0 || now - self.looked < 0.1 - 1e-9 {
            return;
        }
        self.looked = now;
        let came = std::mem::take(&mut self.came);
        let refused = came.iter().any(|c| matches!(c, Came::Refused));
        let times: Vec<f64> = came
            .iter()
            .filter_map(|c| if let Came::Completed(t) = c { Some(f64::from(*t) / 100.0) } else { None })
            .collect();
        let (all_well, one_over) = (times.iter().all(|t| *t <= 0.8), times.iter().any(|t| *t > 1.0));
        if now - self.since >= 20.0 - 1e-9 {
            (self.share, self.full) = (1.0, true);
        } else if refused || one_over {
            self.share = (self.share * 0.7).max(0.25);
        } else if !times.is_empty() && all_well {
            self.share = (self.share + 0.1).min(1.0);
            self.full = self.share >= 1.0;
        }
    }
}

#[test]
fn the_share_is_what_a_plain_model_says_whatever_comes() {
    fn agrees(all: Vec<Came>) -> bool {
        let (mut warming, mut plain) = (SlowStart::linking(TERMS), Plain::default());
        let mut now = Duration::ZERO;
        all.into_iter().all(|came| {
            match &came {
                Came::Completed(times) => warming.completed(f64::from(*times) / 100.0),
                Came::Refused => warming.rejected(),
                Came::SlowStartStatus(ms) => {
                    now += Duration::from_millis(u64::from(*ms) * 4);
                    warming.at(now);
                    plain.look(now.as_secs_f64());
                }
                Came::Pool(cold) => {
                    warming.bound(now, *cold);
                    let share = if *cold { 0.25 } else { 1.0 };
                    let at = now.as_secs_f64();
                    plain = Plain { since: at, looked: at, share, full: !cold, ..Plain::default() };
                }
            }
            if matches!(came, Came::Completed(_) | Came::Refused) {
                plain.came.push(came);
            }
            let look = warming.now();
            (look.share - plain.share).abs() < 1e-9 && (look.phase == Phase::Full) == plain.full
        })
    }
    QuickCheck::new().tests(3000).quickcheck(agrees as fn(Vec<Came>) -> bool);
}
