//! The declarations of all items: consistency, values, and the setting that each stands for. Every other list of items
//! is derived from these.

/// Whether two values of an item may be in use in the fleet at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Consistency {
    /// They may: any mix of versions works.
    Free,
    /// Not for longer than the agreement bound.
    Fenced,
    /// A version can't change the item at all.
    Fixed,
}

/// A value by its name in the text of a version and by its name in the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) name: &'static str,
    pub(crate) setting: &'static str,
}

/// The values that an item takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ValueKind {
    Number {
        min: f64,
        max: f64,
    },
    /// In milliseconds; the setting is in microseconds.
    TimeSpan {
        min: f64,
        max: f64,
    },
    Flag,
    /// One of these.
    OneOf(&'static [Choice]),
}

/// Declaration of an item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    pub(crate) name: &'static str,
    pub(crate) consistency: Consistency,
    pub(crate) kind: ValueKind,
    /// The setting; `{}` stands for the index of the request class.
    pub(crate) setting: &'static str,
}

const DAY_MILLISECONDS: f64 = 86_400_000.0;

/// Effects of a request class: idempotent, keyed, or neither.
const EFFECTS: &[Choice] = &[
    Choice { name: "inquiry-like", setting: "retryable" },
    Choice { name: "referenced", setting: "dedup" },
    Choice { name: "once-only", setting: "fragile" },
];

/// Settings of a request class.
pub(crate) const CLASS_SETTINGS: &[Item] = &[
    Item {
        name: "sla-ms",
        consistency: Consistency::Free,
        kind: ValueKind::TimeSpan { min: 1.0, max: DAY_MILLISECONDS },
        setting: "profiles.{}.goal_time",
    },
    Item {
        name: "give-up-ms",
        consistency: Consistency::Free,
        kind: ValueKind::TimeSpan { min: 1.0, max: DAY_MILLISECONDS },
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
        kind: ValueKind::TimeSpan { min: 0.0, max: DAY_MILLISECONDS },
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

/// Settings of a server.
pub(crate) const LIMITS: &[Item] = &[
    Item {
        name: "retry-after-ms",
        consistency: Consistency::Free,
        kind: ValueKind::TimeSpan { min: 0.0, max: DAY_MILLISECONDS },
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

/// Of the lists: servers in service by zone, quotas by zone, rejected callers.
pub(crate) const LIST_CONSISTENCY: Consistency = Consistency::Fenced;
/// Of the committee: a version names the committee that decides on the next one.
pub(crate) const COMMITTEE_CONSISTENCY: Consistency = Consistency::Fenced;
/// Of the agreement bound and the isolation limit, by which all servers must go alike.
pub(crate) const TIMING_CONSISTENCY: Consistency = Consistency::Fixed;
