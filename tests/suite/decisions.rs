//! The window, the breaker, the queue, the calls and each failure met so far, one small test each.

use crate::model::{settings, At, Play, MS};
use aldercrank::{Outcome, RequestId, Settings, Value};
use std::time::Duration;

const LONG: u32 = 2500;

fn offer(play: &mut Play, many: usize) -> Vec<RequestId> {
    (0..many).map(|_| play.read(0, MS * LONG, None, 0.99)).collect()
}

fn running(play: &Play) -> usize {
    play.world.0.borrow().count(At::Running)
}

fn run_once(play: &mut Play, millis: u32) {
    let id = play.read(0, MS * 20_000, None, 0.99);
    play.pass(MS * millis, 9.0);
    play.end(id, Outcome::Completed);
}

fn with(name: &str, value: f64) -> Settings {
    let mut cfg = settings(&["retryable", "dedup"]);
    cfg.set(name, Value::Num(value));
    cfg
}

#[test]
fn it_grows_on_demand_only_and_not_past_the_ceiling() {
    for (demand, most) in [(false, 4), (true, 8)] {
        let mut play = Play::new(with("window.per_core", 2.0));
        for _ in 0..60 {
            let ids = offer(&mut play, if demand { 8 } else { 2 });
            play.pass(MS * 100, 9.0);
            ids.into_iter().for_each(|id| play.end(id, Outcome::Completed));
        }
        offer(&mut play, 12);
        assert_eq!(running(&play), most, "demand {demand}");
    }
}

#[test]
fn idle_cores_with_work_held_grow_it_each_tick_and_a_cold_start_keeps_it_low() {
    for (cold, most) in [(false, 8), (true, 4)] {
        let mut cfg = with("window.per_core", 2.0);
        cfg.set("family_info.cold", Value::Flag(cold));
        cfg.set("rules.cold_from", Value::Num(0.6));
        let mut play = Play::new(cfg);
        offer(&mut play, 9);
        play.pass(MS * 40, 3.0);
        assert_eq!(running(&play), most, "cold {cold}");
    }
}

#[test]
fn a_p99_over_one_and_the_breaker_cut_it_never_below_the_cores() {
    for (millis, left) in [(1200, 5), (3300, 5), (900, 8)] {
        let mut play = Play::new(with("window.per_core", 2.0));
        offer(&mut play, 9);
        play.pass(MS * 40, 3.0);
        let first = play.world.0.borrow().requests.keys().next().copied().unwrap();
        play.pass(MS * 20, 9.0);
        let now = play.now();
        play.set(first, At::Over);
        play.world.0.borrow_mut().requests.get_mut(&first).unwrap().answers = 1;
        play.admission.run_ended(now, first, Outcome::Completed, MS * millis);
        if millis < 3000 {
            play.pass(MS * 600, 9.0);
        }
        let ids: Vec<RequestId> = play.world.0.borrow().requests.keys().copied().collect();
        ids.into_iter().for_each(|id| play.end(id, Outcome::Cancelled));
        offer(&mut play, 9);
        assert_eq!(running(&play), left, "run of {millis} ms");
    }
}

#[test]
fn time_at_calls_is_no_run_time_and_leaves_the_window() {
    let mut play = Play::new(settings(&["retryable"]));
    let ids = offer(&mut play, 5);
    assert_eq!((running(&play), play.world.0.borrow().count(At::Held)), (4, 1));
    play.set(ids[0], At::Waiting);
    play.admission.call_requested(MS, ids[0]);
    assert_eq!((play.at(ids[0]), play.at(ids[4])), (At::Calling, At::Running));
}

#[test]
fn calls_keep_to_their_share_and_wait_their_turn() {
    let mut play = Play::new(with("family_info.calls_out", 3.0));
    let ids = offer(&mut play, 4);
    for id in &ids {
        play.set(*id, At::Waiting);
        play.admission.call_requested(MS, *id);
    }
    assert_eq!(play.world.0.borrow().count(At::Calling), 1);
    play.set(ids[0], At::Running);
    play.admission.call_ended(MS * 30, ids[0], Outcome::Completed, MS * 29);
    assert_eq!(play.at(ids[1]), At::Calling);
}

#[test]
fn a_referenced_call_that_may_have_run_is_not_made_again() {
    let mut play = Play::new(settings(&["retryable", "dedup"]));
    for (how, open) in [(Outcome::ConnectionLost, false), (Outcome::Rejected, true)] {
        let id = play.read(1, MS * LONG, Some(how as u8), 0.5);
        play.set(id, At::Waiting);
        let now = play.now();
        play.admission.call_requested(now, id);
        play.set(id, At::Waiting);
        play.admission.call_ended(now, id, how, MS);
        play.pass(MS * 150, 9.0);
        assert_eq!(play.world.0.borrow().requests[&id].answers == 0, open, "{how:?}");
        play.end(id, Outcome::Cancelled);
    }
}

#[test]
fn a_repeat_takes_the_place_of_one_held_and_joins_one_that_ran() {
    let mut play = Play::new(settings(&["retryable", "dedup"]));
    let ran = play.read(1, MS * LONG, Some(1), 0.5);
    let joined = play.read(1, MS * LONG, Some(1), 0.5);
    offer(&mut play, 3);
    let held = play.read(1, MS * LONG, Some(2), 0.5);
    let heir = play.read(1, MS * LONG, Some(2), 0.5);
    let ats = [ran, joined, held, heir].map(|id| play.at(id));
    assert_eq!(ats, [At::Running, At::Joined, At::Over, At::Held]);
}

#[test]
fn a_txn_that_cannot_be_in_time_is_answered_at_once_and_told_when_to_come_back() {
    let mut play = Play::new(settings(&["retryable"]));
    offer(&mut play, 40);
    let w = play.world.0.borrow();
    assert!(w.rejected.len() > 10 && w.rejected.iter().any(|(_, retry_after, _)| retry_after.is_some()));
    assert!(w.count(At::Held) > 0);
}

/// A stall, once learnt as the usual run time, must not have all turned away for good.
#[test]
fn a_stall_is_forgotten() {
    let mut play = Play::new(settings(&["retryable"]));
    for _ in 0..60 {
        run_once(&mut play, 1500);
    }
    play.pass(MS * 6000, 0.0);
    let id = play.read(0, MS * LONG, None, 0.99);
    assert_eq!(play.at(id), At::Running);
}

/// One that turns away most of what it reads asks not to try elsewhere; a cold server never does.
#[test]
fn most_turned_away_end_the_tries() {
    for cold in [false, true] {
        let mut cfg = settings(&["retryable"]);
        cfg.set("family_info.cold", Value::Flag(cold));
        let mut play = Play::new(cfg);
        for _ in 0..40 {
            play.pass(MS * 25, 9.0);
            play.unread_for = MS * 990;
            play.read(0, MS * LONG, None, 0.5);
        }
        let last = play.world.0.borrow().rejected.last().map(|(_, _, last)| *last);
        assert_eq!(last, Some(!cold));
    }
}

/// One caller that sends nearly all must not be held to an even share of the credit, and the credit falls when
/// txns lie unread, so that a slow server is sent less.
#[test]
fn the_credit_follows_who_sends_and_falls_with_time_unread() {
    let credit = |senders: u64, unread_for: u32| {
        let mut cfg = with("family_info.upstreams", 6.0);
        cfg.set("family_info.advert", Value::Text("window".into()));
        let mut play = Play::new(cfg);
        for n in 0..60 {
            (play.caller, play.unread_for) = (n % senders, MS * unread_for);
            run_once(&mut play, 100);
        }
        let said = *play.world.0.borrow().said.last().unwrap();
        said
    };
    assert!(credit(1, 0) > 4.0 * credit(6, 0) && credit(1, 900) < credit(1, 0) / 2.0);
}

/// A call that can't be in time any more must not stand before one that can.
#[test]
fn a_late_call_goes_behind_one_in_time() {
    let mut play = Play::new(with("family_info.calls_out", 3.0));
    let old = play.read(0, MS * 20_000, None, 0.99);
    play.pass(MS * 900, 9.0);
    let ids = offer(&mut play, 2);
    for id in [ids[0], old, ids[1]] {
        play.set(id, At::Waiting);
        play.admission.call_requested(MS * 950, id);
    }
    play.set(ids[0], At::Running);
    play.admission.call_ended(MS * 960, ids[0], Outcome::Completed, MS * 10);
    assert_eq!((play.at(old), play.at(ids[1])), (At::Waiting, At::Calling));
}

/// What lies below hangs and each server has little of it: time-outs alone keep to the share of `calls_over`.
#[test]
fn hanging_calls_keep_to_the_share() {
    let mut play = Play::new(with("family_info.calls_out", 0.5));
    for _ in 0..40 {
        let id = play.read(0, MS * 9000, None, 0.99);
        play.set(id, At::Waiting);
        let now = play.now();
        play.admission.call_requested(now, id);
        play.pass(MS * 125, 0.0);
        play.set(id, At::Running);
        play.end(id, Outcome::Cancelled);
    }
    let spent: Duration = play.world.0.borrow().calls.iter().map(|(_, out)| (*out).min(MS * 325)).sum();
    assert!(spent > MS * 500 && spent < MS * 2900, "{spent:?}");
}

/// Connections of callers that seldom come back are closed soon, unless a storm of tries fills the cores.
#[test]
fn idle_connections_close_soon_but_not_in_a_storm() {
    let idle = |callers: f64, runnable: f64| {
        let mut cfg = with("family_info.upstreams", callers);
        cfg.set("family_info.idle", Value::Num(30e6));
        let mut play = Play::new(cfg);
        offer(&mut play, 3);
        play.pass(MS * 9000, runnable);
        let idle = play.world.0.borrow().idle;
        idle
    };
    assert_eq!((idle(2.0, 3.0), idle(5000.0, 12.0)), (MS * 30_000, MS * 30_000));
    assert!(idle(5000.0, 3.0) < MS * 2000);
}

/// A later try that shows its age by what it still waits must not be run when it can be in time nowhere.
#[test]
fn a_try_past_its_sla_time_is_declined_for_good() {
    let mut play = Play::new(settings(&["retryable"]));
    for n in 0..30 {
        play.caller = n;
        let id = play.read(0, MS * 2000, None, 0.99);
        play.end(id, Outcome::Completed);
    }
    let old = play.read(0, MS * 1000, None, 0.99);
    assert_eq!(play.world.0.borrow().rejected, [(old, None, true)]);
}

/// Calls that can't be left out take too long: what would only wait for one is declined when it is read.
#[test]
fn what_starves_for_calls_is_declined_unrun() {
    for (took, at) in [(30, At::Running), (300, At::Over)] {
        let mut play = Play::new(with("family_info.calls_out", 0.5));
        let id = play.read(0, MS * 9000, None, 0.99);
        play.set(id, At::Waiting);
        play.admission.call_requested(MS, id);
        play.admission.call_ended(MS * (took + 1), id, Outcome::Completed, MS * took);
        let next = play.read(0, MS * 9000, None, 0.99);
        assert_eq!(play.at(next), at, "calls of {took} ms");
    }
}

/// Now and then the index never answers. Taken at their full wait, a few such calls made all others look slow
/// and kept their places: most that could do without were sent on without their call.
#[test]
fn a_call_without_an_answer_is_given_up_made_again_and_does_not_make_the_others_slow() {
    let mut cfg = with("family_info.worth_without.0", 0.6);
    cfg.set("family_info.calls_out", Value::Num(9.0));
    let mut play = Play::new(cfg);
    let stand = |play: &mut Play| {
        let id = play.read(0, MS * LONG, None, 0.99);
        play.set(id, At::Waiting);
        let now = play.now();
        play.admission.call_requested(now, id);
        id
    };
    let end = |play: &mut Play, id, how, took| {
        let now = play.now();
        play.set(id, if how == Outcome::Completed { At::Running } else { At::Waiting });
        play.admission.call_ended(now, id, how, MS * took);
    };
    for _ in 0..40 {
        let id = stand(&mut play);
        play.pass(MS * 10, 9.0);
        end(&mut play, id, Outcome::Completed, 10);
        play.pass(MS, 9.0);
        play.end(id, Outcome::Completed);
    }
    let lost = stand(&mut play);
    assert!(play.world.0.borrow().calls.last().unwrap().1 < MS * 400);
    play.pass(MS * 250, 9.0);
    end(&mut play, lost, Outcome::TimedOut, 250);
    play.pass(MS * 100, 9.0);
    assert_eq!(play.at(lost), At::Calling);
    end(&mut play, lost, Outcome::TimedOut, 2000);
    assert_eq!(play.at(lost), At::Running);
    let next = stand(&mut play);
    assert_eq!(play.at(next), At::Calling);
}

/// A server of a large fleet, with a share of the index under one call, and SLA times that are long beside a call.
fn small_share(share: f64) -> Play {
    let mut cfg = with("family_info.calls_out", share);
    cfg.set("profiles.0.goal_time", Value::Num(4e6));
    cfg.set("profiles.0.give_up", Value::Num(12e6));
    Play::new(cfg)
}

/// A txn comes to its call.
fn at_call(play: &mut Play) -> RequestId {
    let id = play.read(0, MS * 9000, None, 0.99);
    play.set(id, At::Waiting);
    let now = play.now();
    play.admission.call_requested(now, id);
    id
}

/// Its call ends after so long, and so does it.
fn call_ends(play: &mut Play, id: RequestId, millis: u32) {
    play.pass(MS * millis, 4.0);
    play.set(id, At::Running);
    let now = play.now();
    play.admission.call_ended(now, id, Outcome::Completed, MS * millis);
    play.end(id, Outcome::Completed);
}

/// With room kept for a whole time-out, one call in `calls_over` was all that such a server made until it had
/// learnt twenty: a fleet of three hundred left two thirds of its index idle while its txns went late.
#[test]
fn a_small_share_is_used_from_the_first_answer_on() {
    let mut play = small_share(0.41);
    for n in 0..10 {
        let id = at_call(&mut play);
        play.pass(MS * 100, 4.0);
        assert_eq!(play.at(id), At::Calling, "call {n}");
        call_ends(&mut play, id, 11);
        play.pass(MS * 100, 4.0);
    }
}

/// The pace lags when what lies below is suddenly crowded. Paced by it alone, each server came with its next call
/// long before its share of the time allowed, and all together held the index where it was.
#[test]
fn a_call_that_took_long_keeps_the_next_away_by_its_own_time() {
    let mut play = small_share(0.41);
    for _ in 0..30 {
        let id = at_call(&mut play);
        play.pass(MS * 100, 4.0);
        call_ends(&mut play, id, 10);
        play.pass(MS * 100, 4.0);
    }
    let long = at_call(&mut play);
    call_ends(&mut play, long, 200);
    let next = at_call(&mut play);
    play.pass(MS * 200, 4.0);
    assert_eq!(play.at(next), At::Waiting, "0.2 s of calls are its share of 0.6 s at least");
    play.pass(MS * 1300, 4.0);
    assert_eq!(play.at(next), At::Calling);
}

/// Calls at four times their best hurt no SLA time, but are the sign that all servers' calls crowd the index.
#[test]
fn calls_far_slower_than_at_best_cut_their_window_though_they_hurt_nobody() {
    let mut cfg = with("family_info.calls_out", 10.0);
    cfg.set("profiles.0.goal_time", Value::Num(4e6));
    cfg.set("family_info.cores", Value::Num(20.0));
    let mut play = Play::new(cfg);
    let mut out = |millis: u32| {
        let ids: Vec<RequestId> = (0..40).map(|_| at_call(&mut play)).collect();
        let at_once = ids.iter().filter(|id| play.at(**id) == At::Calling).count();
        for id in ids {
            if play.at(id) == At::Calling {
                call_ends(&mut play, id, millis);
            } else {
                play.end(id, Outcome::Cancelled);
            }
        }
        play.pass(MS * 2100, 4.0);
        at_once
    };
    let well = (0..12).map(|_| out(10)).last();
    assert_eq!(well, Some(8), "four fifths of the share");
    let crowded = (0..8).map(|_| out(40)).last();
    assert_eq!(crowded, Some(3), "a third of the share");
}
