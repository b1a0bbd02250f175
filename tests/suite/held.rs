//! The queue and the calls of late beside plain models that pass over all, on generated steps.

use aldercrank::outstanding_calls::Calls;
use aldercrank::queue::Queue;
use aldercrank::RequestId;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// One who is held: due time, id, product, worth.
type Plain = (Duration, RequestId, usize, f64);

/// The passes of before: turns away who has no slack; where the rest can't be in time, the least worth ahead.
fn pruned(all: &[Plain], run: &[f64], sure: f64, now: Duration) -> Vec<RequestId> {
    let (mut ahead, mut wait, mut gone): (Vec<Plain>, f64, Vec<RequestId>) = (Vec::new(), 0.0, Vec::new());
    for held in all {
        let slack = held.0.saturating_sub(now).as_secs_f64() - run[held.2] * sure;
        if slack < 0.0 {
            gone.push(held.1);
            continue;
        }
        let before = wait;
        ahead.push(*held);
        wait += run[held.2];
        if before > slack {
            let least = (0..ahead.len()).min_by(|a, b| ahead[*a].3.total_cmp(&ahead[*b].3)).unwrap();
            let least = ahead.remove(least);
            wait -= run[least.2];
            gone.push(least.1);
        }
    }
    gone
}

/// The same by the queue's own search.
fn prune(queue: &mut Queue, all: &[Plain], run: &[f64], sure: f64, now: Duration) -> Vec<RequestId> {
    let (mut after, mut gone) = (None, Vec::new());
    let slack = |due: Duration, i: usize| due.saturating_sub(now).as_secs_f64() - run[i] * sure;
    while let Some((place, i)) = queue.find(after, |i| run[i], |ahead, due, class| ahead > slack(due, class))
    {
        let least = if slack(place.0, i) < 0.0 { place } else { queue.least_to(place).unwrap() };
        after = Some(place);
        assert!(all.iter().any(|h| (h.0, h.1) == least));
        queue.remove(least);
        gone.push(least.1);
    }
    gone
}

#[test]
fn the_hold_prunes_as_a_pass_over_all_would() {
    for seed in 0..60 {
        let mut draws = draws(seed);
        let mut draw = |n: u64| draws(n);
        let (mut queue, mut all): (Queue, Vec<Plain>) = (Queue::default(), Vec::new());
        for step in 0..300 {
            let now = MS * step;
            if draw(4) > 0 {
                let (due, id) = (now + MS * draw(400) as u32, RequestId(step));
                let (class, worth) = (draw(3) as usize, draw(20) as f64 / 10.0);
                queue.insert((due, id), class, worth);
                all.push((due, id, class, worth));
            } else if !all.is_empty() {
                let gone = all.swap_remove(draw(all.len() as u64) as usize);
                queue.remove((gone.0, gone.1));
            }
            all.sort_by_key(|h| (h.0, h.1));
            // Odd figures, so that sums taken in another order make no tie fall otherwise.
            let run: Vec<f64> =
                (0..3).map(|i| 0.000_123_457 * (1 + i) as f64 * (1 + draw(60)) as f64).collect();
            let plain: f64 = all.iter().map(|h| run[h.2]).sum();
            assert!((queue.cost(|i| run[i]) - plain).abs() < 1e-9);
            assert_eq!(queue.first(), all.first().map(|h| (h.0, h.1)));
            if draw(3) == 0 {
                let expected = pruned(&all, &run, 1.7, now);
                assert_eq!(prune(&mut queue, &all, &run, 1.7, now), expected, "seed {seed}, step {step}");
                all.retain(|h| !expected.contains(&h.1));
            }
            assert_eq!(queue.len(), all.len());
        }
    }
}

#[test]
fn the_calls_of_late_sum_up_as_a_pass_over_all_would() {
    for seed in 0..60 {
        let mut draw = draws(seed);
        let (mut calls, mut all): (Calls, Vec<(RequestId, Duration, Duration)>) =
            (Calls::default(), Vec::new());
        let (mut now, over) = (Duration::ZERO, MS * 200);
        for step in 0..400u32 {
            now += MS * draw(9) as u32;
            match draw(3) {
                0 => {
                    // A txn has one call at a time.
                    let until = now + MS * (1 + draw(90) as u32);
                    calls.made(RequestId(step), now, until);
                    all.push((RequestId(step), now, until));
                }
                1 if !all.is_empty() => {
                    let (request, _, until) = all[draw(all.len() as u64) as usize];
                    let end = now + MS * (draw(2) * 20) as u32;
                    calls.ends(request, now, end);
                    let open = all.iter_mut().find(|c| c.0 == request && until >= now);
                    open.into_iter().for_each(|call| call.2 = end);
                }
                _ => {}
            }
            let since = now.saturating_sub(over);
            all.retain(|c| c.2 > since);
            let taken: Duration = all.iter().map(|c| c.2 - c.1.max(since)).sum();
            assert_eq!(calls.taken(since), taken, "seed {seed}, step {step}");
            assert_eq!(calls.out(now), all.iter().filter(|c| c.2 > now).count());
            assert_eq!(calls.is_empty(), all.is_empty());
        }
    }
}

/// Numbers under `n`, the same for the same seed.
fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed | 1;
    move |n| {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 33) % n
    }
}
