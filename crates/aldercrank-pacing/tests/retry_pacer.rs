//! Tests a single pacer against a model of its bounds, and simulates thousands of servers that share one service.

// Test code needs neither documentation nor minimal visibility, and some tests are long.
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
fn a_single_server_starts_at_once_and_many_are_spread_over_one_interval() {
    let single = RetryPacerConfig { server_count: Some(1.0), ..config() };
    assert_eq!(RetryPacer::new(single, "s", "n1", SECOND).first_attempt(ms(7)), ms(7));
    let many = RetryPacerConfig { server_count: Some(1e6), ..config() };
    let first_attempts: BTreeSet<Duration> = (0..1000)
        .map(|n| RetryPacer::new(many, "s", &format!("n{n}"), SECOND).first_attempt(SECOND))
        .collect();
    assert_eq!(
        first_attempts.len(),
        1000,
        "servers with the same seed and different names start at different times"
    );
    assert!(*first_attempts.first().unwrap() < ms(1010) && *first_attempts.last().unwrap() > ms(1990));
    assert!(first_attempts.iter().all(|at| (SECOND..SECOND * 2).contains(at)));
}

#[test]
fn retry_after_is_respected_up_to_sixty_intervals() {
    let mut pacer = pacer("n1");
    let backoff = pacer.rejected(SECOND, None) - SECOND;
    assert!(backoff >= ms(175) && backoff <= ms(250), "{backoff:?}");
    assert!(
        pacer.rejected(SECOND, Some(Duration::ZERO)) > SECOND,
        "a Retry-After of 0 does not cause an immediate attempt"
    );
    let after_two_seconds = pacer.rejected(SECOND, Some(SECOND * 2)) - SECOND;
    assert!(after_two_seconds >= SECOND * 2 && after_two_seconds <= SECOND * 6, "{after_two_seconds:?}");
    let after_an_hour = pacer.rejected(SECOND, Some(SECOND * 3600)) - SECOND;
    assert!(after_an_hour >= SECOND * 60 && after_an_hour <= SECOND * 180, "{after_an_hour:?}");
}

#[test]
fn a_success_resets_the_backoff() {
    let mut pacer = pacer("n1");
    let mut now = SECOND;
    for _ in 0..20 {
        now = pacer.failed(now);
    }
    assert_eq!(pacer.state(), PacerState::BackingOff(20));
    let backoff = pacer.failed(now) - now;
    assert!(backoff >= ms(2800) && backoff <= ms(4000), "{backoff:?}");
    let interval = pacer.succeeded(now, now) - now;
    assert!(interval >= ms(700) && interval <= ms(1700), "{interval:?}");
    assert_eq!(pacer.state(), PacerState::Steady);
    assert!(pacer.failed(now) - now <= ms(250));
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
enum AttemptOutcome {
    /// After this many milliseconds.
    Succeeded(u16),
    /// With or without a `Retry-After` in milliseconds.
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

/// A model computes the earliest and the latest time of the next attempt.
#[test]
fn the_next_attempt_is_within_bounds_after_any_sequence_of_outcomes() {
    fn holds(outcomes: Vec<AttemptOutcome>, name: String) -> bool {
        let (mut pacer, mut now, mut failures, mut stretch) = (pacer(&name), SECOND, 0u32, 1.0f64);
        let mut steady = false;
        for outcome in outcomes {
            let (next, earliest, latest) = match outcome {
                AttemptOutcome::Succeeded(took) => {
                    let (shortest, longest) = if steady { (0.949, 1.051) } else { (0.699, 1.701) };
                    (failures, stretch, steady) = (0, (stretch - 0.005).max(1.0), true);
                    let started_at = now;
                    now += ms(u64::from(took));
                    let interval = SECOND.mul_f64(stretch);
                    (
                        pacer.succeeded(now, started_at),
                        started_at + interval.mul_f64(shortest).min(SECOND * 12 / 5),
                        (started_at + interval.mul_f64(longest)).max(now),
                    )
                }
                AttemptOutcome::Failed => {
                    steady = false;
                    failures += 1;
                    let backoff = SECOND.mul_f64((0.25 * 2f64.powi(failures.min(16) as i32 - 1)).min(4.0));
                    (pacer.failed(now), now + backoff.mul_f64(0.699), now + backoff)
                }
                AttemptOutcome::Rejected(retry_after) => {
                    steady = false;
                    (failures, stretch) = (failures + 1, (stretch * 3.0).min(2.4));
                    let backoff = SECOND.mul_f64((0.25 * 2f64.powi(failures.min(16) as i32 - 1)).min(4.0));
                    let retry_after_span =
                        retry_after.map(|ms| Duration::from_millis(u64::from(ms)).min(SECOND * 60));
                    let longest = backoff.max(retry_after_span.unwrap_or_default().mul_f64(3.0));
                    let shortest = backoff.mul_f64(0.699).max(retry_after_span.unwrap_or_default());
                    (
                        pacer.rejected(now, retry_after.map(|ms| Duration::from_millis(u64::from(ms)))),
                        now + shortest,
                        now + longest,
                    )
                }
            };
            if next < earliest || next > latest + ms(1) {
                return false;
            }
            now = next.max(now);
        }
        true
    }
    QuickCheck::new().tests(2000).quickcheck(holds as fn(Vec<AttemptOutcome>, String) -> bool);
}

/// Simulated servers that share one service, which rejects attempts beyond its capacity or is down for a while.
struct Simulation {
    pacers: Vec<RetryPacer>,
    /// Number of attempts in each second.
    attempts_by_second: BTreeMap<u64, u32>,
    /// Number of attempts in each tenth of a second.
    attempts_by_tenth: BTreeMap<u64, u32>,
    rejections: u32,
    last_success: Vec<Option<Duration>>,
    /// Entries that expired before the next success of their server, from the tenth second on.
    expirations: u32,
    /// The servers of these entries.
    servers_with_expirations: BTreeSet<usize>,
}

/// Simulates servers that start together and run for this many seconds. `capacity` returns how many attempts per second
/// succeed in a given second, or `None` while the service is down.
fn simulate(server_count: usize, seconds: u64, capacity: impl Fn(u64) -> Option<f64>) -> Simulation {
    let pacers: Vec<RetryPacer> = (0..server_count).map(|n| pacer(&format!("n{n}"))).collect();
    let mut simulation = Simulation {
        pacers,
        attempts_by_second: BTreeMap::new(),
        attempts_by_tenth: BTreeMap::new(),
        rejections: 0,
        last_success: vec![None; server_count],
        expirations: 0,
        servers_with_expirations: BTreeSet::new(),
    };
    let mut due: BTreeSet<(Duration, usize)> = BTreeSet::new();
    for n in 0..server_count {
        due.insert((simulation.pacers[n].first_attempt(Duration::ZERO), n));
    }
    // When the service has handled all attempts that it accepted.
    let mut busy_until = Duration::ZERO;
    while let Some((now, n)) = due.pop_first().filter(|(now, _)| *now < SECOND * seconds as u32) {
        *simulation.attempts_by_second.entry(now.as_secs()).or_default() += 1;
        *simulation.attempts_by_tenth.entry(now.as_millis() as u64 / 100).or_default() += 1;
        let next = match capacity(now.as_secs()) {
            None => simulation.pacers[n].failed(now),
            Some(_) if busy_until.saturating_sub(now) > ms(500) => {
                simulation.rejections += 1;
                simulation.pacers[n].rejected(now, Some(SECOND))
            }
            Some(rate) => {
                busy_until = busy_until.max(now) + SECOND.div_f64(rate);
                if simulation.last_success[n].is_some_and(|last| now - last > SECOND * 3) && now > SECOND * 10
                {
                    simulation.expirations += 1;
                    simulation.servers_with_expirations.insert(n);
                }
                simulation.last_success[n] = Some(now);
                simulation.pacers[n].succeeded(busy_until, now)
            }
        };
        due.insert((next, n));
    }
    simulation
}

#[test]
fn three_thousand_servers_that_start_together_stay_within_the_capacity() {
    let rate = 4500.0;
    let simulation = simulate(3000, 300, |_| Some(rate));
    assert_eq!(simulation.rejections, 0);
    assert!(
        simulation.attempts_by_second.values().all(|n| f64::from(*n) <= rate),
        "{:?}",
        simulation.attempts_by_second.values().max()
    );
    assert!(
        simulation.attempts_by_second.values().take(2).all(|n| *n <= 6000),
        "servers make more than two attempts each in one of the first two seconds"
    );
    assert!(simulation.last_success.iter().all(Option::is_some));
    // After five minutes, attempts are still evenly spread.
    let late: Vec<u32> =
        simulation.attempts_by_tenth.iter().filter(|(at, _)| **at >= 2900).map(|(_, n)| *n).collect();
    let mean = f64::from(late.iter().sum::<u32>()) / late.len() as f64;
    let most = f64::from(*late.iter().max().unwrap());
    assert!(most < 1.4 * mean, "{most} attempts in a tenth of a second, {mean:.0} on average");
}

#[test]
fn with_half_the_needed_capacity_rejected_servers_slow_down_and_few_entries_expire() {
    let rate = 1500.0;
    let simulation = simulate(3000, 60, |_| Some(rate));
    let most_from = |from: u64| simulation.attempts_by_second.range(from..).map(|(_, n)| *n).max().unwrap();
    assert!(
        f64::from(most_from(5)) <= 1.2 * rate,
        "{} attempts in a second, the capacity is {rate}",
        most_from(5)
    );
    // Reports are two seconds apart here, so the entry of a server that is told to retry after another second expires
    // before the retry.
    let (expirations, server_count) =
        (simulation.expirations, simulation.servers_with_expirations.len() as u32);
    assert!(
        expirations <= 50 * 12,
        "{expirations} entries expired in 50 s; the limit is one server in 250 per second"
    );
    assert!(
        server_count * 10 >= expirations * 8,
        "{expirations} entries of only {server_count} servers expired: the same servers are hit repeatedly"
    );
}

#[test]
fn a_failed_service_gets_at_most_a_third_of_the_load_and_all_servers_return_within_four_seconds() {
    let simulation = simulate(3000, 40, |second| (second >= 20).then_some(4500.0));
    let attempts: u32 = (8..20).map(|second| simulation.attempts_by_second[&second]).sum();
    assert!(attempts <= 12 * 1000, "{attempts} attempts in 12 s; a third of the steady rate is 12,000");
    assert!(simulation.last_success.iter().all(Option::is_some));
    assert!(
        simulation.attempts_by_second.range(20..).all(|(_, n)| *n <= 4500),
        "{:?}",
        simulation.attempts_by_second
    );
    let returned: u32 = simulation.attempts_by_second.range(20..24).map(|(_, n)| *n).sum();
    assert!(returned >= 3000, "{returned}");
}
