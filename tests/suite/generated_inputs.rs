//! Property test: the four rules that `model` checks hold on generated sequences of events (fixed seed).

use crate::model::{settings, Drain, Scenario, Stage, MS};
use aldercrank::Outcome::{Completed, ConnectionLost, Failed, Rejected, TimedOut};
use aldercrank::{Permission, RequestId, Value};
use quickcheck::{Gen, QuickCheck, TestResult};

/// The kind of an event, a selector for what it applies to, and an amount such as a duration.
pub type Step = (u8, u8, u16);

/// Settings that vary with `pick`; some of them are missing or invalid.
pub fn any_settings(pick: u32) -> aldercrank::Settings {
    let mut settings = settings(&["retryable", "dedup", "fragile", "retryable"]);
    let text = |list: &[&str], index: u32| Value::Text(list[index as usize % list.len()].to_string());
    settings.set("family_info.halt", text(&["none", "abort", "suspend"], pick));
    settings.set("family_info.advert", text(&["none", "threshold", "window", "share_of"], pick / 3));
    settings.set("family_info.cold", Value::Flag(pick & 16 != 0));
    settings.set("family_info.cores", Value::Number(f64::from(pick / 32 % 7)));
    settings.set("family_info.memory_kb", Value::Number([300.0, 1500.0, 1e9][pick as usize / 256 % 3]));
    settings.set("rules.fall_multiple", Value::Number([2.0, 3.0, 8.0][pick as usize / 768 % 3]));
    settings.set("family_info.fresh_for", Value::Number(if pick & 4096 != 0 { 0.0 } else { 500_000.0 }));
    settings.set("family_info.worth_without.3", Value::Number(0.5));
    settings.set("profiles.0.late_worth", Value::Number(0.2));
    settings.set("tenants.0.name", Value::Text("t0".into()));
    settings.set("tenants.0.quota_per_s", Value::Number(f64::from(pick % 5)));
    settings.set("family_info.below", text(&["none", "shared", "tier"], pick / 7));
    if pick & 8192 != 0 {
        let missing =
            ["family_info.calls_out", "rules.cold_from", "family_info.run_factor", "rules.warm_after"];
        settings.0.remove(missing[pick as usize / 16384 % 4]);
    }
    settings
}

pub fn step(scenario: &mut Scenario, (event, choice, amount): Step) {
    let now = scenario.now();
    let pick = |scenario: &Scenario, stages: &[Stage]| {
        let model = scenario.model.0.borrow();
        let open: Vec<RequestId> = model
            .requests
            .iter()
            .filter(|(_, request)| stages.contains(&request.stage))
            .map(|(id, _)| *id)
            .collect();
        open.get(choice as usize % open.len().max(1)).copied()
    };
    let unanswered =
        |scenario: &Scenario, id: &RequestId| scenario.model.0.borrow().requests[id].answers == 0;
    match event % 16 {
        0..=6 => {
            let class = usize::from(choice % 4);
            let key = (class == 1).then_some(choice / 4 % 8);
            let (time_left, unread_time) = (MS * u32::from(amount % 4000), MS * u32::from(amount % 7) * 20);
            (scenario.unread_time, scenario.memory_kb) = (unread_time, f64::from(amount % 60));
            scenario.receive(class, time_left, key, f64::from(choice) / 256.0);
        }
        7 | 8 => {
            let outcome = if amount % 9 == 0 { Failed } else { Completed };
            if let Some(id) = pick(scenario, &[Stage::Running]) {
                scenario.end_run(id, outcome);
            }
        }
        9 => {
            if let Some(id) = pick(scenario, &[Stage::Running]).filter(|id| unanswered(scenario, id)) {
                scenario.set_stage(id, Stage::AwaitingCall);
                scenario.admission.call_requested(now, id);
            }
        }
        10 | 11 => {
            let outcome = [Completed, Failed, Rejected, TimedOut, ConnectionLost][usize::from(amount) % 5];
            if let Some(id) = pick(scenario, &[Stage::Calling]).filter(|id| unanswered(scenario, id)) {
                scenario
                    .set_stage(id, if outcome == Completed { Stage::Running } else { Stage::AwaitingCall });
                let call_may_have_run = outcome != Completed && !outcome.provably_not_run();
                scenario.model.0.borrow_mut().requests.get_mut(&id).unwrap().call_may_have_run =
                    call_may_have_run;
                scenario.admission.call_ended(now, id, outcome, MS * u32::from(amount % 900));
            }
        }
        12 => {
            if let Some(id) = pick(scenario, &[Stage::Queued, Stage::Joined, Stage::Running]) {
                scenario.set_stage(
                    id,
                    if scenario.stage(id) == Stage::Running { Stage::Running } else { Stage::Ended },
                );
                scenario.model.0.borrow_mut().requests.get_mut(&id).unwrap().caller_gone = true;
                scenario.admission.caller_gone(now, id);
            }
        }
        13 if choice == 0 && scenario.model.0.borrow().drain.is_none() => {
            let stop = now + MS * 2500;
            scenario.model.0.borrow_mut().drain = Some(Drain { notified_at: now, stops_at: stop });
            scenario.admission.drain(now, stop);
        }
        15 if choice < 64 => {
            let permission = [Permission::Everything, Permission::Idempotent, Permission::Nothing]
                [usize::from(choice) % 3];
            scenario.admission.set_permission(now, permission);
        }
        15 if choice < 96 => {
            // Windows grow and shrink. Effects stay the same, since the model assumes one effect per class.
            let mut settings = scenario.model.0.borrow().settings.clone();
            settings.set("profiles.1.window", Value::Number(6e6 + f64::from(amount) * 1e3));
            settings.set("profiles.0.offered", Value::Flag(choice % 2 == 0));
            settings.set("family_info.calls_out", Value::Number(f64::from(choice % 5)));
            scenario.admission.apply_settings(now, &settings);
        }
        14 => {
            let unknown = RequestId(u32::MAX - u32::from(choice));
            scenario.admission.call_requested(now, unknown);
            scenario.admission.call_ended(now, unknown, TimedOut, MS);
            scenario.admission.run_ended(now, unknown, Completed, MS);
            scenario.admission.caller_gone(now, unknown);
        }
        _ => scenario.advance(MS * u32::from(amount % 400 + 1), f64::from(choice % 8)),
    }
}

fn rules_hold(pick: u32, steps: Vec<Step>) -> TestResult {
    let mut scenario = Scenario::new(any_settings(pick));
    for next_step in steps {
        step(&mut scenario, next_step);
        scenario.model.0.borrow_mut().check_answered();
    }
    scenario.advance(MS * 4200, 0.0);
    let violations = scenario.model.0.borrow().violations.first().cloned();
    violations.map_or(TestResult::passed(), TestResult::error)
}

#[test]
fn the_four_rules_hold_on_generated_inputs() {
    let mut tests = QuickCheck::new().tests(1500).rng(Gen::from_size_and_seed(260, 20261201));
    tests.quickcheck(rules_hold as fn(u32, Vec<Step>) -> TestResult);
}
