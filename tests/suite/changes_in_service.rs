//! Changes of settings and permissions while requests are in flight.

use crate::model::{settings, Rejection, Scenario, Stage, MS};
use aldercrank::{Outcome, Permission, RequestId, Settings, Value};

fn rejection(scenario: &Scenario, id: RequestId) -> Option<Rejection> {
    let model = scenario.model.0.borrow();
    model.rejected.iter().find(|rejection| rejection.id == id).copied()
}

/// All four cores are busy, and an idempotent and a keyed request are queued.
fn busy_scenario() -> (Scenario, RequestId, RequestId) {
    let mut scenario = Scenario::new(settings(&["retryable", "dedup"]));
    scenario.memory_kb = 1.0;
    for _ in 0..4 {
        scenario.receive(0, MS * 2900, None, 0.2);
    }
    let idempotent = scenario.receive(0, MS * 2900, None, 0.2);
    let keyed = scenario.receive(1, MS * 2900, Some(1), 0.8);
    assert_eq!((scenario.stage(idempotent), scenario.stage(keyed)), (Stage::Queued, Stage::Queued));
    (scenario, idempotent, keyed)
}

fn settings_changed_by(scenario: &Scenario, set: &[(&str, Value)]) -> Settings {
    let mut settings = scenario.model.0.borrow().settings.clone();
    set.iter().for_each(|(name, value)| settings.set(name, value.clone()));
    settings
}

#[test]
fn restricting_the_permission_rejects_only_queued_requests_that_it_excludes() {
    let (mut scenario, idempotent, keyed) = busy_scenario();
    let now = scenario.now();
    scenario.admission.set_permission(now, Permission::Idempotent);
    assert_eq!(
        rejection(&scenario, keyed),
        Some(Rejection { id: keyed, retry_after: Some(MS * 1000), last: false })
    );
    assert_eq!(rejection(&scenario, idempotent), None);
    let (late, other) =
        (scenario.receive(1, MS * 2900, Some(2), 0.8), scenario.receive(0, MS * 2900, None, 0.2));
    assert!(rejection(&scenario, late).is_some() && rejection(&scenario, other).is_none());
    scenario.admission.set_permission(now, Permission::Everything);
    let again = scenario.receive(1, MS * 2900, Some(2), 0.8);
    assert_eq!(rejection(&scenario, again), None);
    scenario.admission.set_permission(now, Permission::Nothing);
    assert!([idempotent, other, again].iter().all(|id| rejection(&scenario, *id).is_some()));
    assert!(!scenario.has_violations());
}

#[test]
fn a_repeat_of_a_started_request_joins_it_whatever_the_permission() {
    let mut scenario = Scenario::new(settings(&["retryable", "dedup"]));
    let keyed = scenario.receive(1, MS * 2900, Some(1), 0.8);
    assert_eq!(scenario.stage(keyed), Stage::Running);
    let now = scenario.now();
    scenario.admission.set_permission(now, Permission::Nothing);
    let settings = settings_changed_by(&scenario, &[("profiles.1.offered", Value::Flag(false))]);
    scenario.admission.apply_settings(now, &settings);
    let repeat = scenario.receive(1, MS * 2900, Some(1), 0.8);
    assert_eq!((scenario.stage(repeat), rejection(&scenario, repeat)), (Stage::Joined, None));
    scenario.end_run(keyed, Outcome::Completed);
    assert!(!scenario.has_violations());
}

#[test]
fn a_withdrawn_class_rejects_new_requests_but_keeps_queued_ones() {
    let (mut scenario, _, keyed) = busy_scenario();
    let now = scenario.now();
    let settings = settings_changed_by(&scenario, &[("profiles.1.offered", Value::Flag(false))]);
    scenario.admission.apply_settings(now, &settings);
    assert_eq!(
        rejection(&scenario, keyed),
        None,
        "a queued request keeps the settings under which it was read"
    );
    let late = scenario.receive(1, MS * 2900, Some(2), 0.8);
    assert_eq!(rejection(&scenario, late).map(|rejection| rejection.last), Some(true));
    let settings = settings_changed_by(&scenario, &[("rules.turned_away.0", Value::Number(7.0))]);
    scenario.admission.apply_settings(now, &settings);
    scenario.caller = 7;
    let from_rejected_caller = scenario.receive(1, MS * 2900, Some(3), 0.8);
    scenario.caller = 8;
    let other = scenario.receive(1, MS * 2900, Some(4), 0.8);
    assert!(rejection(&scenario, from_rejected_caller).is_some() && rejection(&scenario, other).is_none());
}

#[test]
fn a_dedup_entry_lasts_for_the_longer_of_the_old_and_the_new_window() {
    for (window, ends) in [(3_000_000.0, 6000), (12_000_000.0, 12_000)] {
        let mut scenario = Scenario::new(settings(&["retryable", "dedup"]));
        let keyed = scenario.receive(1, MS * 2900, Some(1), 0.8);
        let settings = settings_changed_by(&scenario, &[("profiles.1.window", Value::Number(window))]);
        let now = scenario.now();
        scenario.admission.apply_settings(now, &settings);
        scenario.end_run(keyed, Outcome::Completed);
        let until = scenario.model.0.borrow().entries[&1].until;
        assert!(until >= MS * ends && until < MS * (ends + 500), "{until:?} {ends}");
    }
}

#[test]
fn a_changed_effect_does_not_apply_to_requests_read_before() {
    let mut settings = settings(&["retryable", "dedup"]);
    settings.set("family_info.halt", Value::Text("abort".into()));
    let mut scenario = Scenario::new(settings);
    let (idempotent, keyed) =
        (scenario.receive(0, MS * 2900, None, 0.2), scenario.receive(1, MS * 2900, Some(1), 0.8));
    let swapped = [
        ("profiles.0.effect", Value::Text("fragile".into())),
        ("profiles.1.effect", Value::Text("retryable".into())),
    ];
    let (settings, now) = (settings_changed_by(&scenario, &swapped), scenario.now());
    scenario.admission.apply_settings(now, &settings);
    // An abandoned run is stopped only where the request was idempotent when it was read.
    scenario.admission.caller_gone(now, idempotent);
    scenario.admission.caller_gone(now, keyed);
    let ending: Vec<RequestId> = scenario.model.0.borrow().ending_runs.iter().map(|(id, _)| *id).collect();
    assert_eq!(ending, [idempotent]);
    assert!(!scenario.has_violations());
}

#[test]
fn new_settings_with_different_classes_are_rejected() {
    let mut scenario = Scenario::new(settings(&["retryable", "dedup"]));
    let (settings, now) = (settings(&["retryable"]), scenario.now());
    scenario.admission.apply_settings(now, &settings);
    let keyed = scenario.receive(1, MS * 2900, Some(1), 0.8);
    assert_eq!(rejection(&scenario, keyed), None);
}
