//! Settings that change while txns are in hand, and what may be taken by a server that does not know the rules in
//! force.

use crate::model::{settings, At, Play, MS};
use aldercrank::{Outcome, Permission, RequestId, Settings, Value};
use std::time::Duration;

fn rejected(play: &Play, id: RequestId) -> Option<(Option<Duration>, bool)> {
    let w = play.world.0.borrow();
    w.rejected.iter().find(|d| d.0 == id).map(|d| (d.1, d.2))
}

/// Four cores that are busy, one referenced and one inquiry-like txn held behind them.
fn busy() -> (Play, RequestId, RequestId) {
    let mut play = Play::new(settings(&["retryable", "dedup"]));
    play.kb = 1.0;
    for _ in 0..4 {
        play.read(0, MS * 2900, None, 0.2);
    }
    let inquiry = play.read(0, MS * 2900, None, 0.2);
    let buy = play.read(1, MS * 2900, Some(1), 0.8);
    assert_eq!((play.at(inquiry), play.at(buy)), (At::Held, At::Held));
    (play, inquiry, buy)
}

fn changed(play: &Play, set: &[(&str, Value)]) -> Settings {
    let mut cfg = play.world.0.borrow().cfg.clone();
    set.iter().for_each(|(name, value)| cfg.set(name, value.clone()));
    cfg
}

#[test]
fn without_leave_what_is_held_and_may_not_run_again_is_given_up_at_once_and_the_rest_goes_on() {
    let (mut play, inquiry, buy) = busy();
    let now = play.now();
    play.admission.set_permission(now, Permission::Idempotent);
    assert_eq!(rejected(&play, buy), Some((Some(MS * 1000), false)), "with when to come back");
    assert_eq!(rejected(&play, inquiry), None);
    let (late, other) = (play.read(1, MS * 2900, Some(2), 0.8), play.read(0, MS * 2900, None, 0.2));
    assert!(rejected(&play, late).is_some() && rejected(&play, other).is_none());
    play.admission.set_permission(now, Permission::Everything);
    let again = play.read(1, MS * 2900, Some(2), 0.8);
    assert_eq!(rejected(&play, again), None);
    play.admission.set_permission(now, Permission::Nothing);
    assert!([inquiry, other, again].iter().all(|id| rejected(&play, *id).is_some()));
    assert!(play.world.0.borrow().broken.is_empty());
}

#[test]
fn a_repeat_of_what_runs_is_answered_from_it_whatever_may_be_taken() {
    let mut play = Play::new(settings(&["retryable", "dedup"]));
    let buy = play.read(1, MS * 2900, Some(1), 0.8);
    assert_eq!(play.at(buy), At::Running);
    let now = play.now();
    play.admission.set_permission(now, Permission::Nothing);
    let cfg = changed(&play, &[("profiles.1.offered", Value::Flag(false))]);
    play.admission.apply_settings(now, &cfg);
    let repeat = play.read(1, MS * 2900, Some(1), 0.8);
    assert_eq!((play.at(repeat), rejected(&play, repeat)), (At::Joined, None));
    play.end(buy, Outcome::Completed);
    assert!(play.world.0.borrow().broken.is_empty());
}

#[test]
fn a_product_withdrawn_is_declined_for_good_and_what_was_read_before_still_runs() {
    let (mut play, _, buy) = busy();
    let now = play.now();
    let cfg = changed(&play, &[("profiles.1.offered", Value::Flag(false))]);
    play.admission.apply_settings(now, &cfg);
    assert_eq!(rejected(&play, buy), None, "judged by the version under which it was read");
    let late = play.read(1, MS * 2900, Some(2), 0.8);
    assert_eq!(rejected(&play, late).map(|d| d.1), Some(true), "nobody else need be tried");
    let cfg = changed(&play, &[("rules.turned_away.0", Value::Num(7.0))]);
    play.admission.apply_settings(now, &cfg);
    play.caller = 7;
    let away = play.read(1, MS * 2900, Some(3), 0.8);
    play.caller = 8;
    let other = play.read(1, MS * 2900, Some(4), 0.8);
    assert!(rejected(&play, away).is_some() && rejected(&play, other).is_none());
}

#[test]
fn a_mark_keeps_its_window_or_gets_the_new_one_whichever_is_longer() {
    for (window, ends) in [(3_000_000.0, 6000), (12_000_000.0, 12_000)] {
        let mut play = Play::new(settings(&["retryable", "dedup"]));
        let buy = play.read(1, MS * 2900, Some(1), 0.8);
        let cfg = changed(&play, &[("profiles.1.window", Value::Num(window))]);
        let now = play.now();
        play.admission.apply_settings(now, &cfg);
        play.end(buy, Outcome::Completed);
        let until = play.world.0.borrow().entries[&1].2;
        assert!(until >= MS * ends && until < MS * (ends + 500), "{until:?} {ends}");
    }
}

#[test]
fn an_effect_that_changes_changes_nothing_for_what_was_read_before() {
    let mut cfg = settings(&["retryable", "dedup"]);
    cfg.set("family_info.halt", Value::Text("abort".into()));
    let mut play = Play::new(cfg);
    let (inquiry, buy) = (play.read(0, MS * 2900, None, 0.2), play.read(1, MS * 2900, Some(1), 0.8));
    let turned = [
        ("profiles.0.effect", Value::Text("fragile".into())),
        ("profiles.1.effect", Value::Text("retryable".into())),
    ];
    let (cfg, now) = (changed(&play, &turned), play.now());
    play.admission.apply_settings(now, &cfg);
    // A run nobody waits for is stopped where it may run again, and only there; the model breaks where it may not.
    play.admission.caller_gone(now, inquiry);
    play.admission.caller_gone(now, buy);
    let ending: Vec<RequestId> = play.world.0.borrow().ending.iter().map(|e| e.0).collect();
    assert_eq!(ending, [inquiry]);
    assert!(play.world.0.borrow().broken.is_empty());
}

#[test]
fn other_products_are_no_change_that_can_be_made_in_service() {
    let mut play = Play::new(settings(&["retryable", "dedup"]));
    let (cfg, now) = (settings(&["retryable"]), play.now());
    play.admission.apply_settings(now, &cfg);
    let buy = play.read(1, MS * 2900, Some(1), 0.8);
    assert_eq!(rejected(&play, buy), None);
}
