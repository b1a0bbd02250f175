//! The module beside the plain model of the four rules, on generated inputs with a fixed seed.

use crate::model::{settings, At, Play, MS};
use aldercrank::Outcome::{Completed, ConnectionLost, Failed, Rejected, TimedOut};
use aldercrank::{Permission, RequestId, Value};
use quickcheck::{Gen, QuickCheck, TestResult};

type Step = (u8, u8, u16);

/// Settings of every kind, not only those met so far: missing and senseless ones too.
fn any_settings(pick: u32) -> aldercrank::Settings {
    let mut cfg = settings(&["retryable", "dedup", "fragile", "retryable"]);
    let text = |list: &[&str], n: u32| Value::Text(list[n as usize % list.len()].to_string());
    cfg.set("family_info.halt", text(&["none", "abort", "suspend"], pick));
    cfg.set("family_info.advert", text(&["none", "threshold", "window", "share_of"], pick / 3));
    cfg.set("family_info.cold", Value::Flag(pick & 16 != 0));
    cfg.set("family_info.cores", Value::Num(f64::from(pick / 32 % 7)));
    cfg.set("family_info.memory_kb", Value::Num([300.0, 1500.0, 1e9][pick as usize / 256 % 3]));
    cfg.set("rules.fall_multiple", Value::Num([2.0, 3.0, 8.0][pick as usize / 768 % 3]));
    cfg.set("family_info.fresh_for", Value::Num(if pick & 4096 != 0 { 0.0 } else { 500_000.0 }));
    cfg.set("family_info.worth_without.3", Value::Num(0.5));
    cfg.set("profiles.0.late_worth", Value::Num(0.2));
    cfg.set("tenants.0.name", Value::Text("t0".into()));
    cfg.set("tenants.0.quota_per_s", Value::Num(f64::from(pick % 5)));
    cfg.set("family_info.below", text(&["none", "shared", "tier"], pick / 7));
    if pick & 8192 != 0 {
        let missing =
            ["family_info.calls_out", "rules.cold_from", "family_info.run_factor", "rules.warm_after"];
        cfg.0.remove(missing[pick as usize / 16384 % 4]);
    }
    cfg
}

fn step(play: &mut Play, (what, which, much): Step) {
    let now = play.now();
    let pick = |play: &Play, at: &[At]| {
        let w = play.world.0.borrow();
        let open: Vec<RequestId> =
            w.requests.iter().filter(|(_, t)| at.contains(&t.at)).map(|(id, _)| *id).collect();
        open.get(which as usize % open.len().max(1)).copied()
    };
    let unanswered = |play: &Play, id: &RequestId| play.world.0.borrow().requests[id].answers == 0;
    match what % 16 {
        0..=6 => {
            let class = usize::from(which % 4);
            let reference = (class == 1).then_some(which / 4 % 8);
            let (left, unread_for) = (MS * u32::from(much % 4000), MS * u32::from(much % 7) * 20);
            (play.unread_for, play.kb) = (unread_for, f64::from(much % 60));
            play.read(class, left, reference, f64::from(which) / 256.0);
        }
        7 | 8 => {
            let how = if much % 9 == 0 { Failed } else { Completed };
            if let Some(id) = pick(play, &[At::Running]) {
                play.end(id, how);
            }
        }
        9 => {
            if let Some(id) = pick(play, &[At::Running]).filter(|id| unanswered(play, id)) {
                play.set(id, At::Waiting);
                play.admission.call_requested(now, id);
            }
        }
        10 | 11 => {
            let how = [Completed, Failed, Rejected, TimedOut, ConnectionLost][usize::from(much) % 5];
            if let Some(id) = pick(play, &[At::Calling]).filter(|id| unanswered(play, id)) {
                play.set(id, if how == Completed { At::Running } else { At::Waiting });
                let called = how != Completed && !how.never_ran();
                play.world.0.borrow_mut().requests.get_mut(&id).unwrap().called = called;
                play.admission.call_ended(now, id, how, MS * u32::from(much % 900));
            }
        }
        12 => {
            if let Some(id) = pick(play, &[At::Held, At::Joined, At::Running]) {
                play.set(id, if play.at(id) == At::Running { At::Running } else { At::Over });
                play.world.0.borrow_mut().requests.get_mut(&id).unwrap().gone = true;
                play.admission.caller_gone(now, id);
            }
        }
        13 if which == 0 && play.world.0.borrow().leaving.is_none() => {
            let stop = now + MS * 2500;
            play.world.0.borrow_mut().leaving = Some((now, stop));
            play.admission.drain(now, stop);
        }
        15 if which < 64 => {
            let leave =
                [Permission::Everything, Permission::Idempotent, Permission::Nothing][usize::from(which) % 3];
            play.admission.set_permission(now, leave);
        }
        15 if which < 96 => {
            // Windows grow and shrink; effects stay, since the model goes by one for each product.
            let mut cfg = play.world.0.borrow().cfg.clone();
            cfg.set("profiles.1.window", Value::Num(6e6 + f64::from(much) * 1e3));
            cfg.set("profiles.0.offered", Value::Flag(which % 2 == 0));
            cfg.set("family_info.calls_out", Value::Num(f64::from(which % 5)));
            play.admission.apply_settings(now, &cfg);
        }
        14 => {
            let stranger = RequestId(u32::MAX - u32::from(which));
            play.admission.call_requested(now, stranger);
            play.admission.call_ended(now, stranger, TimedOut, MS);
            play.admission.run_ended(now, stranger, Completed, MS);
            play.admission.caller_gone(now, stranger);
        }
        _ => play.pass(MS * u32::from(much % 400 + 1), f64::from(which % 8)),
    }
}

fn keeps_the_rules(pick: u32, steps: Vec<Step>) -> TestResult {
    let mut play = Play::new(any_settings(pick));
    for s in steps {
        step(&mut play, s);
        play.world.0.borrow_mut().check_lost();
    }
    play.pass(MS * 4200, 0.0);
    let broken = play.world.0.borrow().broken.first().cloned();
    broken.map_or(TestResult::passed(), TestResult::error)
}

#[test]
fn the_four_rules_hold_on_generated_inputs() {
    let mut tests = QuickCheck::new().tests(1500).rng(Gen::from_size_and_seed(260, 20261201));
    tests.quickcheck(keeps_the_rules as fn(u32, Vec<Step>) -> TestResult);
}
