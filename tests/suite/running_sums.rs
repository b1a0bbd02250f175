//! Compares the queue and the outstanding calls with simple models that scan all entries, on generated operations.

use aldercrank::outstanding_calls::OutstandingCalls;
use aldercrank::queue::{Queue, QueuePosition};
use aldercrank::RequestId;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// A queued request in the simple model.
#[derive(Clone, Copy)]
struct Queued {
    position: QueuePosition,
    class: usize,
    priority: f64,
}

/// The reference for [`reject_late_by_search`], by a scan of all requests. A request with negative slack is rejected.
/// If a request is late because of those ahead of it, the one with the lowest priority up to and including it is
/// rejected.
fn reject_late_by_scan(all: &[Queued], run_seconds: &[f64], run_times: f64, now: Duration) -> Vec<RequestId> {
    let (mut ahead, mut wait, mut rejected): (Vec<Queued>, f64, Vec<RequestId>) =
        (Vec::new(), 0.0, Vec::new());
    for queued in all {
        let slack =
            queued.position.due_at.saturating_sub(now).as_secs_f64() - run_seconds[queued.class] * run_times;
        if slack < 0.0 {
            rejected.push(queued.position.request_id);
            continue;
        }
        let wait_before = wait;
        ahead.push(*queued);
        wait += run_seconds[queued.class];
        if wait_before > slack {
            let lowest =
                (0..ahead.len()).min_by(|a, b| ahead[*a].priority.total_cmp(&ahead[*b].priority)).unwrap();
            let lowest = ahead.remove(lowest);
            wait -= run_seconds[lowest.class];
            rejected.push(lowest.position.request_id);
        }
    }
    rejected
}

/// Rejects the same requests with the search of the queue.
fn reject_late_by_search(
    queue: &mut Queue,
    all: &[Queued],
    run_seconds: &[f64],
    run_times: f64,
    now: Duration,
) -> Vec<RequestId> {
    let (mut after, mut rejected) = (None, Vec::new());
    let slack = |due_at: Duration, class: usize| {
        due_at.saturating_sub(now).as_secs_f64() - run_seconds[class] * run_times
    };
    while let Some(found) = queue.find_late(
        after,
        |class| run_seconds[class],
        |seconds_ahead, due_at, class| seconds_ahead > slack(due_at, class),
    ) {
        let position = found.position;
        let is_late_alone = slack(position.due_at, found.class) < 0.0;
        let lowest = if is_late_alone { position } else { queue.lowest_priority_until(position).unwrap() };
        after = Some(position);
        assert!(all.iter().any(|queued| queued.position == lowest));
        queue.remove(lowest);
        rejected.push(lowest.request_id);
    }
    rejected
}

#[test]
fn queue_search_rejects_the_same_requests_as_a_full_scan() {
    for seed in 0..60 {
        let mut random = random_numbers(seed);
        let (mut queue, mut all): (Queue, Vec<Queued>) = (Queue::default(), Vec::new());
        for step in 0..300 {
            let now = MS * step;
            if random(4) > 0 {
                let position =
                    QueuePosition { due_at: now + MS * random(400) as u32, request_id: RequestId(step) };
                let (class, priority) = (random(3) as usize, random(20) as f64 / 10.0);
                queue.insert(position, class, priority);
                all.push(Queued { position, class, priority });
            } else if !all.is_empty() {
                let removed = all.swap_remove(random(all.len() as u64) as usize);
                queue.remove(removed.position);
            }
            all.sort_by_key(|queued| queued.position);
            // Values that make ties unlikely, since sums taken in a different order could break a tie differently.
            let run_seconds: Vec<f64> =
                (0..3).map(|i| 0.000_123_457 * (1 + i) as f64 * (1 + random(60)) as f64).collect();
            let plain: f64 = all.iter().map(|queued| run_seconds[queued.class]).sum();
            assert!((queue.total_run_seconds(|class| run_seconds[class]) - plain).abs() < 1e-9);
            assert_eq!(queue.first(), all.first().map(|queued| queued.position));
            if random(3) == 0 {
                let expected = reject_late_by_scan(&all, &run_seconds, 1.7, now);
                let rejected = reject_late_by_search(&mut queue, &all, &run_seconds, 1.7, now);
                assert_eq!(rejected, expected, "seed {seed}, step {step}");
                all.retain(|queued| !expected.contains(&queued.position.request_id));
            }
            assert_eq!(queue.len(), all.len());
        }
    }
}

/// An upstream call in the simple model.
struct Call {
    request_id: RequestId,
    started_at: Duration,
    ends_at: Duration,
}

#[test]
fn outstanding_calls_have_the_same_totals_as_a_full_scan() {
    for seed in 0..60 {
        let mut random = random_numbers(seed);
        let (mut calls, mut all): (OutstandingCalls, Vec<Call>) = (OutstandingCalls::default(), Vec::new());
        let (mut now, period) = (Duration::ZERO, MS * 200);
        for step in 0..400u32 {
            now += MS * random(9) as u32;
            match random(3) {
                0 => {
                    // A new request for each call, since a request has only one call at a time.
                    let (request_id, ends_at) = (RequestId(step), now + MS * (1 + random(90) as u32));
                    calls.start(request_id, now, ends_at);
                    all.push(Call { request_id, started_at: now, ends_at });
                }
                1 if !all.is_empty() => {
                    let chosen = &all[random(all.len() as u64) as usize];
                    let (request_id, ends_at) = (chosen.request_id, chosen.ends_at);
                    let new_end = now + MS * (random(2) * 20) as u32;
                    calls.set_end(request_id, now, new_end);
                    let open = all.iter_mut().find(|call| call.request_id == request_id && ends_at >= now);
                    open.into_iter().for_each(|call| call.ends_at = new_end);
                }
                _ => {}
            }
            let since = now.saturating_sub(period);
            all.retain(|call| call.ends_at > since);
            let used: Duration = all.iter().map(|call| call.ends_at - call.started_at.max(since)).sum();
            assert_eq!(calls.time_since(since), used, "seed {seed}, step {step}");
            assert_eq!(calls.open_count(now), all.iter().filter(|call| call.ends_at > now).count());
            assert_eq!(calls.is_empty(), all.is_empty());
        }
    }
}

/// Returns a generator of pseudo-random numbers below its argument, reproducible by the seed.
fn random_numbers(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed | 1;
    move |below| {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 33) % below
    }
}
