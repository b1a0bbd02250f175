//! Declares every item of a version: its consistency, its allowed values and the platform setting that it overrides.
//! The parser, the comparison of versions and the merge with the platform's settings all work from these declarations.

/// Whether servers of a fleet may use different values of an item at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Consistency {
    /// For any length of time: every mix of versions works.
    Free,
    /// For no longer than the agreement bound.
    Fenced,
    /// Never: a new version can't change the item.
    Fixed,
}

/// One allowed value of a [`ValueKind::OneOf`] item: its name in a version's text and in the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) name: &'static str,
    pub(crate) setting: &'static str,
}

/// The type of an item's value, with its allowed range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ValueKind {
    Number {
        min: f64,
        max: f64,
    },
    /// A time span: milliseconds in the version, microseconds in the setting.
    TimeSpan {
        min: f64,
        max: f64,
    },
    Flag,
    OneOf(&'static [Choice]),
}

/// The declaration of an item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    pub(crate) name: &'static str,
    pub(crate) consistency: Consistency,
    pub(crate) kind: ValueKind,
    /// The setting that the item overrides; `{}` is a placeholder for the index of the request class.
    pub(crate) setting: &'static str,
}

const MILLISECONDS_PER_DAY: f64 = 86_400_000.0;

/// Whether a request may run more than once: yes (idempotent), once within the deduplication window (keyed), or no.
const EFFECTS: &[Choice] = &[
    Choice { name: "inquiry-like", setting: "retryable" },
    Choice { name: "referenced", setting: "dedup" },
    Choice { name: "once-only", setting: "fragile" },
];

/// Items of a request class.
pub(crate) const CLASS_SETTINGS: &[Item] = &[
    Item {
        name: "sla-ms",
        consistency: Consistency::Free,
        kind: ValueKind::TimeSpan { min: 1.0, max: MILLISECONDS_PER_DAY },
        setting: "profiles.{}.goal_time",
    },
    Item {
        name: "give-up-ms",
        consistency: Consistency::Free,
        kind: ValueKind::TimeSpan { min: 1.0, max: MILLISECONDS_PER_DAY },
        setting: "profiles.{}.give_up",
    },
    Item {
        name: "points",
        consistency: Consistency::Free,
        kind: ValueKind::Number { min: 0.0, max: 1e9 },
        setting: "profiles.{}.points",
    },
    Item {
        name: "late-worth",
        consistency: Consistency::Free,
        kind: ValueKind::Number { min: 0.0, max: 1.0 },
        setting: "profiles.{}.late_worth",
    },
    Item {
        name: "without-call",
        consistency: Consistency::Free,
        kind: ValueKind::Number { min: 0.0, max: 1.0 },
        setting: "family_info.worth_without.{}",
    },
    Item {
        name: "calls",
        consistency: Consistency::Free,
        kind: ValueKind::Flag,
        setting: "family_info.class_calls.{}",
    },
    Item {
        name: "window-ms",
        consistency: Consistency::Fenced,
        kind: ValueKind::TimeSpan { min: 0.0, max: MILLISECONDS_PER_DAY },
        setting: "profiles.{}.window",
    },
    Item {
        name: "effect",
        consistency: Consistency::Fenced,
        kind: ValueKind::OneOf(EFFECTS),
        setting: "profiles.{}.effect",
    },
    Item {
        name: "offered",
        consistency: Consistency::Fenced,
        kind: ValueKind::Flag,
        setting: "profiles.{}.offered",
    },
];

/// Items of the `limits` block, which apply to each server.
pub(crate) const LIMITS: &[Item] = &[
    Item {
        name: "retry-after-ms",
        consistency: Consistency::Free,
        kind: ValueKind::TimeSpan { min: 0.0, max: MILLISECONDS_PER_DAY },
        setting: "limits.max_retry_after",
    },
    Item {
        name: "memory-kb",
        consistency: Consistency::Free,
        kind: ValueKind::Number { min: 100.0, max: 1e12 },
        setting: "family_info.memory_kb",
    },
    Item {
        name: "per-core",
        consistency: Consistency::Free,
        kind: ValueKind::Number { min: 0.1, max: 64.0 },
        setting: "window.per_core",
    },
    Item {
        name: "cold-per-core",
        consistency: Consistency::Free,
        kind: ValueKind::Number { min: 0.1, max: 64.0 },
        setting: "window.cold_per_core",
    },
];

/// Consistency of the lists: servers in service by zone, quotas by zone, rejected callers.
pub(crate) const LIST_CONSISTENCY: Consistency = Consistency::Fenced;
/// Consistency of the committee. A version names the committee that decides on the next version.
pub(crate) const COMMITTEE_CONSISTENCY: Consistency = Consistency::Fenced;
/// Consistency of the agreement bound and the isolation limit, which must be the same on all servers at all times.
pub(crate) const TIMING_CONSISTENCY: Consistency = Consistency::Fixed;
