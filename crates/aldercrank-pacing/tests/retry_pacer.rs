//! One pacer beside a plain model of its bounds, and thousands that share one service.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_pacing::{PacerState, RetryPacer, RetryPacerConfig};
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn config() -> RetryPacerConfig {
    RetryPacerConfig {
        interval: SECOND,
        entry_lifetime: SECOND * 3,
        max_backoff: SECOND * 4,
        server_count: None,
    }
}

fn pacer(name: &str) -> RetryPacer {
    RetryPacer::new(config(), "one image", name, Duration::ZERO)
}

#[test]
fn one_server_alone_starts_at_once_and_many_are_spread_over_the_interval() {
    let alone = RetryPacerConfig { server_count: Some(1.0), ..config() };
    assert_eq!(RetryPacer::new(alone, "s", "n1", SECOND).first_attempt(ms(7)), ms(7));
    let many = RetryPacerConfig { server_count: Some(1e6), ..config() };
    let firsts: BTreeSet<Duration> = (0..1000)
        .map(|n| RetryPacer::new(many, "s", &format!("n{n}"), SECOND).first_attempt(SECOND))
        .collect();
    assert_eq!(firsts.len(), 1000, "the same seed with another name gives another time");
    assert!(*firsts.first().unwrap() < ms(1010) && *firsts.last().unwrap() > ms(1990));
    assert!(firsts.iter().all(|at| (SECOND..SECOND * 2).contains(at)));
}

#[test]
fn retry_after_is_heeded_within_bounds() {
    let mut pacer = pacer("n1");
    let first = pacer.rejected(SECOND, None) - SECOND;
    assert!(first >= ms(175) && first <= ms(250), "{first:?}");
    assert!(pacer.rejected(SECOND, Some(Duration::ZERO)) > SECOND, "0 does not ask for an attempt at once");
    let retry_after_span = pacer.rejected(SECOND, Some(SECOND * 2)) - SECOND;
    assert!(retry_after_span >= SECOND * 2 && retry_after_span <= SECOND * 6, "{retry_after_span:?}");
    let hour = pacer.rejected(SECOND, Some(SECOND * 3600)) - SECOND;
    assert!(hour >= SECOND * 60 && hour <= SECOND * 180, "{hour:?}");
}

#[test]
fn a_success_ends_the_backoff_and_the_next_failure_starts_it_anew() {
    let mut pacer = pacer("n1");
    let mut now = SECOND;
    for _ in 0..20 {
        now = pacer.failed(now);
    }
    assert_eq!(pacer.state(), PacerState::BackingOff(20));
    let gap = pacer.failed(now) - now;
    assert!(gap >= ms(2800) && gap <= ms(4000), "{gap:?}");
    let next = pacer.succeeded(now, now) - now;
    assert!(next >= ms(700) && next <= ms(1700), "{next:?}");
    assert_eq!(pacer.state(), PacerState::Steady);
    assert!(pacer.failed(now) - now <= ms(250));
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
enum AttemptOutcome {
    /// After so many milliseconds.
    Succeeded(u16),
    /// With a `Retry-After` in milliseconds, or without.
    Rejected(Option<u32>),
    Failed,
}

impl quickcheck::Arbitrary for AttemptOutcome {
    fn arbitrary(g: &mut Gen) -> AttemptOutcome {
        match u8::arbitrary(g) % 4 {
            0 => AttemptOutcome::Failed,
            1 => AttemptOutcome::Rejected(Option::<u32>::arbitrary(g)),
            _ => AttemptOutcome::Succeeded(u16::arbitrary(g) % 900),
        }
    }
}

/// The next attempt is neither at once nor later than the bounds allow.
#[test]
fn no_sequence_of_outcomes_leads_out_of_the_bounds() {
    fn holds(outcomes: Vec<AttemptOutcome>, name: String) -> bool {
        let (mut pacer, mut now, mut failures, mut stretch) = (pacer(&name), SECOND, 0u32, 1.0f64);
        let mut steady = false;
        for outcome in outcomes {
            let (next, least, most) = match outcome {
                AttemptOutcome::Succeeded(took) => {
                    let (least, most) = if steady { (0.949, 1.051) } else { (0.699, 1.701) };
                    (failures, stretch, steady) = (0, (stretch - 0.005).max(1.0), true);
                    let begun = now;
                    now += ms(u64::from(took));
                    let gap = SECOND.mul_f64(stretch);
                    (
                        pacer.succeeded(now, begun),
                        begun + gap.mul_f64(least).min(SECOND * 12 / 5),
                        (begun + gap.mul_f64(most)).max(now),
                    )
                }
                AttemptOutcome::Failed => {
                    steady = false;
                    failures += 1;
                    let span = SECOND.mul_f64((0.25 * 2f64.powi(failures.min(16) as i32 - 1)).min(4.0));
                    (pacer.failed(now), now + span.mul_f64(0.699), now + span)
                }
                AttemptOutcome::Rejected(retry_after) => {
                    steady = false;
                    (failures, stretch) = (failures + 1, (stretch * 3.0).min(2.4));
                    let span = SECOND.mul_f64((0.25 * 2f64.powi(failures.min(16) as i32 - 1)).min(4.0));
                    let retry_after_span =
                        retry_after.map(|ms| Duration::from_millis(u64::from(ms)).min(SECOND * 60));
                    let most = span.max(retry_after_span.unwrap_or_default().mul_f64(3.0));
                    let least = span.mul_f64(0.699).max(retry_after_span.unwrap_or_default());
                    (
                        pacer.rejected(now, retry_after.map(|ms| Duration::from_millis(u64::from(ms)))),
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
    QuickCheck::new().tests(2000).quickcheck(holds as fn(Vec<AttemptOutcome>, String) -> bool);
}

/// Servers and one service of a limited capacity that rejects the rest, or is gone for a while.
struct Simulation {
    pacers: Vec<RetryPacer>,
    /// Attempts by second and by tenth of a second.
    seconds: BTreeMap<u64, u32>,
    tenths: BTreeMap<u64, u32>,
    rejections: u32,
    last_success: Vec<Option<Duration>>,
    /// Entries that had lapsed before their server's next success, and those servers, from the tenth second on.
    lapses: u32,
    lapsed_servers: BTreeSet<usize>,
}

/// Simulates servers that start together for so many seconds. `capacity`: successes a second by second, none while the
/// service is gone.
fn simulate(server_count: usize, seconds: u64, capacity: impl Fn(u64) -> Option<f64>) -> Simulation {
    let pacers: Vec<RetryPacer> = (0..server_count).map(|n| pacer(&format!("n{n}"))).collect();
    let mut simulation = Simulation {
        pacers,
        seconds: BTreeMap::new(),
        tenths: BTreeMap::new(),
        rejections: 0,
        last_success: vec![None; server_count],
        lapses: 0,
        lapsed_servers: BTreeSet::new(),
    };
    let mut due: BTreeSet<(Duration, usize)> = BTreeSet::new();
    for n in 0..server_count {
        due.insert((simulation.pacers[n].first_attempt(Duration::ZERO), n));
    }
    let mut busy = Duration::ZERO;
    while let Some((now, n)) = due.pop_first().filter(|(now, _)| *now < SECOND * seconds as u32) {
        *simulation.seconds.entry(now.as_secs()).or_default() += 1;
        *simulation.tenths.entry(now.as_millis() as u64 / 100).or_default() += 1;
        let next = match capacity(now.as_secs()) {
            None => simulation.pacers[n].failed(now),
            Some(_) if busy.saturating_sub(now) > ms(500) => {
                simulation.rejections += 1;
                simulation.pacers[n].rejected(now, Some(SECOND))
            }
            Some(rate) => {
                busy = busy.max(now) + SECOND.div_f64(rate);
                if simulation.last_success[n].is_some_and(|last| now - last > SECOND * 3) && now > SECOND * 10
                {
                    simulation.lapses += 1;
                    simulation.lapsed_servers.insert(n);
                }
                simulation.last_success[n] = Some(now);
                simulation.pacers[n].succeeded(busy, now)
            }
        };
        due.insert((next, n));
    }
    simulation
}

#[test]
fn three_thousand_servers_that_start_at_once_keep_within_the_capacity() {
    let rate = 4500.0;
    let simulation = simulate(3000, 300, |_| Some(rate));
    assert_eq!(simulation.rejections, 0);
    assert!(
        simulation.seconds.values().all(|n| f64::from(*n) <= rate),
        "{:?}",
        simulation.seconds.values().max()
    );
    assert!(
        simulation.seconds.values().take(2).all(|n| *n <= 6000),
        "two attempts a server until all are listed"
    );
    assert!(simulation.last_success.iter().all(Option::is_some));
    // As evenly spread after five minutes as at first.
    let late: Vec<u32> = simulation.tenths.iter().filter(|(at, _)| **at >= 2900).map(|(_, n)| *n).collect();
    let mean = f64::from(late.iter().sum::<u32>()) / late.len() as f64;
    let most = f64::from(*late.iter().max().unwrap());
    assert!(most < 1.4 * mean, "{most} in a tenth of a second, {mean:.0} on average");
}

#[test]
fn at_half_the_capacity_rejected_servers_slow_down_and_few_entries_lapse() {
    let rate = 1500.0;
    let simulation = simulate(3000, 60, |_| Some(rate));
    let most_from = |from: u64| simulation.seconds.range(from..).map(|(_, n)| *n).max().unwrap();
    assert!(
        f64::from(most_from(5)) <= 1.2 * rate,
        "{} attempts in a second, the capacity is {rate}",
        most_from(5)
    );
    // With two seconds between reports, an entry whose server is asked to retry after a second has lapsed by then.
    let (lapses, server_count) = (simulation.lapses, simulation.lapsed_servers.len() as u32);
    assert!(lapses <= 50 * 12, "{lapses} lapses in 50 s, one server in 250 a second at most");
    assert!(
        server_count * 10 >= lapses * 8,
        "{lapses} lapses of {server_count} servers: not always the same ones"
    );
}

#[test]
fn a_failed_service_gets_a_third_of_the_load_and_all_servers_return_within_four_seconds() {
    let simulation = simulate(3000, 40, |second| (second >= 20).then_some(4500.0));
    let attempts: u32 = (8..20).map(|second| simulation.seconds[&second]).sum();
    assert!(
        attempts <= 12 * 1000,
        "{attempts} attempts in twelve seconds, a third of the steady rate is 12,000"
    );
    assert!(simulation.last_success.iter().all(Option::is_some));
    assert!(simulation.seconds.range(20..).all(|(_, n)| *n <= 4500), "{:?}", simulation.seconds);
    let returned: u32 = simulation.seconds.range(20..24).map(|(_, n)| *n).sum();
    assert!(returned >= 3000, "{returned}");
}
