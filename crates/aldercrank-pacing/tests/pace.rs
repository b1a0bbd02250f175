//! The pace of one server, beside a slow plain model of its bounds; and of thousands that share one service.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_pacing::{PacerState, RetryPacer, Terms};
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn terms() -> Terms {
    Terms { interval: S, lapse: S * 3, longest: S * 4, servers: None }
}

fn pace(name: &str) -> RetryPacer {
    RetryPacer::new(terms(), "one image", name, Duration::ZERO)
}

#[test]
fn one_server_alone_waits_for_nobody_and_many_are_spread_over_the_interval() {
    let alone = Terms { servers: Some(1.0), ..terms() };
    assert_eq!(RetryPacer::new(alone, "s", "n1", S).first(ms(7)), ms(7));
    let many = Terms { servers: Some(1e6), ..terms() };
    let firsts: BTreeSet<Duration> =
        (0..1000).map(|n| RetryPacer::new(many, "s", &format!("n{n}"), S).first(S)).collect();
    assert_eq!(firsts.len(), 1000, "the same seed, another name: another draw");
    assert!(*firsts.first().unwrap() < ms(1010) && *firsts.last().unwrap() > ms(1990));
    assert!(firsts.iter().all(|at| (S..S * 2).contains(at)));
}

#[test]
fn what_it_is_told_of_coming_back_is_heeded_within_bounds() {
    let mut pace = pace("n1");
    let first = pace.rejected(S, None) - S;
    assert!(first >= ms(175) && first <= ms(250), "{first:?}");
    assert!(pace.rejected(S, Some(Duration::ZERO)) > S, "0 is no invitation to ask at once");
    let told = pace.rejected(S, Some(S * 2)) - S;
    assert!(told >= S * 2 && told <= S * 6, "{told:?}");
    let hour = pace.rejected(S, Some(S * 3600)) - S;
    assert!(hour >= S * 60 && hour <= S * 180, "{hour:?}");
}

#[test]
fn it_is_fast_again_after_a_long_rest_and_slow_again_only_by_steps() {
    let mut pace = pace("n1");
    let mut now = S;
    for _ in 0..20 {
        now = pace.failed(now);
    }
    assert_eq!(pace.state(), PacerState::BackingOff(20));
    let gap = pace.failed(now) - now;
    assert!(gap >= ms(2800) && gap <= ms(4000), "{gap:?}");
    let next = pace.succeeded(now, now) - now;
    assert!(next >= ms(700) && next <= ms(1700), "{next:?}");
    assert_eq!(pace.state(), PacerState::Steady);
    assert!(pace.failed(now) - now <= ms(250));
}

/// What may happen to a try.
#[derive(Clone, Debug)]
enum Came {
    Taken(u16),
    Refused(Option<u32>),
    Lost,
}

impl quickcheck::Arbitrary for Came {
    fn arbitrary(g: &mut Gen) -> Came {
        match u8::arbitrary(g) % 4 {
            0 => Came::Lost,
            1 => Came::Refused(Option::<u32>::arbitrary(g)),
            _ => Came::Taken(u16::arbitrary(g) % 900),
        }
    }
}

/// Whatever comes, the next try is neither at once again nor further off than the bounds say.
#[test]
fn no_sequence_leads_out_of_the_bounds() {
    fn holds(all: Vec<Came>, name: String) -> bool {
        let (mut pace, mut now, mut failed, mut stretch) = (pace(&name), S, 0u32, 1.0f64);
        let mut steady = false;
        for came in all {
            let (next, least, most) = match came {
                Came::Taken(took) => {
                    let (least, most) = if steady { (0.949, 1.051) } else { (0.699, 1.701) };
                    (failed, stretch, steady) = (0, (stretch - 0.005).max(1.0), true);
                    let begun = now;
                    now += ms(u64::from(took));
                    let gap = S.mul_f64(stretch);
                    (
                        pace.succeeded(now, begun),
                        begun + gap.mul_f64(least).min(S * 12 / 5),
                        (begun + gap.mul_f64(most)).max(now),
                    )
                }
                Came::Lost => {
                    steady = false;
                    failed += 1;
                    let span = S.mul_f64((0.25 * 2f64.powi(failed.min(16) as i32 - 1)).min(4.0));
                    (pace.failed(now), now + span.mul_f64(0.699), now + span)
                }
                Came::Refused(retry_after) => {
                    steady = false;
                    (failed, stretch) = (failed + 1, (stretch * 3.0).min(2.4));
                    let span = S.mul_f64((0.25 * 2f64.powi(failed.min(16) as i32 - 1)).min(4.0));
                    let told = retry_after.map(|ms| Duration::from_millis(u64::from(ms)).min(S * 60));
                    let most = span.max(told.unwrap_or_default().mul_f64(3.0));
                    let least = span.mul_f64(0.699).max(told.unwrap_or_default());
                    (
                        pace.rejected(now, retry_after.map(|ms| Duration::from_millis(u64::from(ms)))),
                        now + least,
                        now + most,
                    )
                }
            };
            if next < least || next > most + ms(1) {
                return false;
            }
            now = next.max(now);
        }
        true
    }
    QuickCheck::new().tests(2000).quickcheck(holds as fn(Vec<Came>, String) -> bool);
}

/// So many servers and one service that can do so many a second, refuses the rest, or is gone for a while.
struct World {
    paces: Vec<RetryPacer>,
    /// By second and by tenth: tries.
    seconds: BTreeMap<u64, u32>,
    tenths: BTreeMap<u64, u32>,
    refused: u32,
    last: Vec<Option<Duration>>,
    /// Times that an entry had lapsed when its server came again, from the tenth second on.
    lapses: u32,
    lapsed: BTreeSet<usize>,
}

/// Plays so many seconds of `servers` that start together; `capacity` by second, none while it is gone.
fn world(servers: usize, seconds: u64, capacity: impl Fn(u64) -> Option<f64>) -> World {
    let paces: Vec<RetryPacer> = (0..servers).map(|n| pace(&format!("n{n}"))).collect();
    let mut w = World {
        paces,
        seconds: BTreeMap::new(),
        tenths: BTreeMap::new(),
        refused: 0,
        last: vec![None; servers],
        lapses: 0,
        lapsed: BTreeSet::new(),
    };
    let mut due: BTreeSet<(Duration, usize)> = BTreeSet::new();
    for n in 0..servers {
        due.insert((w.paces[n].first(Duration::ZERO), n));
    }
    let mut busy = Duration::ZERO;
    while let Some((now, n)) = due.pop_first().filter(|(now, _)| *now < S * seconds as u32) {
        *w.seconds.entry(now.as_secs()).or_default() += 1;
        *w.tenths.entry(now.as_millis() as u64 / 100).or_default() += 1;
        let next = match capacity(now.as_secs()) {
            None => w.paces[n].failed(now),
            Some(_) if busy.saturating_sub(now) > ms(500) => {
                w.refused += 1;
                w.paces[n].rejected(now, Some(S))
            }
            Some(rate) => {
                busy = busy.max(now) + S.div_f64(rate);
                if w.last[n].is_some_and(|last| now - last > S * 3) && now > S * 10 {
                    w.lapses += 1;
                    w.lapsed.insert(n);
                }
                w.last[n] = Some(now);
                w.paces[n].succeeded(busy, now)
            }
        };
        due.insert((next, n));
    }
    w
}

#[test]
fn three_thousand_that_start_at_once_keep_within_what_the_service_can_do() {
    let rate = 4500.0;
    let w = world(3000, 300, |_| Some(rate));
    assert_eq!(w.refused, 0);
    assert!(w.seconds.values().all(|n| f64::from(*n) <= rate), "{:?}", w.seconds.values().max());
    assert!(w.seconds.values().take(2).all(|n| *n <= 6000), "two tries a server until all are listed");
    assert!(w.last.iter().all(Option::is_some));
    // As evenly spread after five minutes as at first.
    let late: Vec<u32> = w.tenths.iter().filter(|(at, _)| **at >= 2900).map(|(_, n)| *n).collect();
    let mean = f64::from(late.iter().sum::<u32>()) / late.len() as f64;
    let most = f64::from(*late.iter().max().unwrap());
    assert!(most < 1.4 * mean, "{most} in a tenth of a second, {mean:.0} on average");
}

#[test]
fn at_half_of_what_they_ask_the_refused_come_less_often_and_few_lapse() {
    let rate = 1500.0;
    let w = world(3000, 60, |_| Some(rate));
    let over = |from: u64| w.seconds.range(from..).map(|(_, n)| *n).max().unwrap();
    assert!(f64::from(over(5)) <= 1.2 * rate, "{} tries in a second, {rate} can be done", over(5));
    // With two seconds between reports, one that is told to come back in a second has lapsed by then.
    let (lapses, whose) = (w.lapses, w.lapsed.len() as u32);
    assert!(lapses <= 50 * 12, "{lapses} lapses in 50 s, one server in 250 a second at most");
    assert!(whose * 10 >= lapses * 8, "{lapses} lapses of {whose} servers: not always the same ones");
}

#[test]
fn a_dead_service_is_asked_by_a_third_of_them_and_whole_again_within_four_seconds() {
    let w = world(3000, 40, |second| (second >= 20).then_some(4500.0));
    let tries: u32 = (8..20).map(|second| w.seconds[&second]).sum();
    assert!(tries <= 12 * 1000, "{tries} tries in twelve seconds, a third of the steady rate is 12,000");
    assert!(w.last.iter().all(Option::is_some));
    assert!(w.seconds.range(20..).all(|(_, n)| *n <= 4500), "{:?}", w.seconds);
    let whole: u32 = w.seconds.range(20..24).map(|(_, n)| *n).sum();
    assert!(whole >= 3000, "{whole}");
}
