//! The one table of what a book can say: each item's role, its values, and the setting that it stands for. Nothing
//! else asks for a list of items by name.

/// What a mix of two values in the fleet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Consistency {
    /// No harm: any mix of versions will do.
    Free,
    /// Two values must not be acted on at the same time for longer than `agree-within`.
    Fenced,
    /// It can't be changed by a version at all.
    Fixed,
}

/// What an item's value has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A number, from and to.
    Number(f64, f64),
    /// A span in milliseconds, from and to; settings have it in microseconds.
    Span(f64, f64),
    Flag,
    /// One of these words, each with the settings' name for it.
    Word(&'static [(&'static str, &'static str)]),
}

#[derive(Clone, Copy, Debug)]
pub struct Item {
    pub name: &'static str,
    pub role: Consistency,
    pub kind: Kind,
    /// The setting, `{}` being the product's place.
    pub setting: &'static str,
}

const DAY: f64 = 86_400_000.0;

/// By the book's name for it, and by the settings'.
pub const EFFECTS: &[(&str, &str)] =
    &[("inquiry-like", "retryable"), ("referenced", "dedup"), ("once-only", "fragile")];

/// Of a product.
pub const CLASS_SETTINGS: &[Item] = &[
    Item {
        name: "sla-ms",
        role: Consistency::Free,
        kind: Kind::Span(1.0, DAY),
        setting: "profiles.{}.goal_time",
    },
    Item {
        name: "give-up-ms",
        role: Consistency::Free,
        kind: Kind::Span(1.0, DAY),
        setting: "profiles.{}.give_up",
    },
    Item {
        name: "points",
        role: Consistency::Free,
        kind: Kind::Number(0.0, 1e9),
        setting: "profiles.{}.points",
    },
    Item {
        name: "late-worth",
        role: Consistency::Free,
        kind: Kind::Number(0.0, 1.0),
        setting: "profiles.{}.late_worth",
    },
    Item {
        name: "without-call",
        role: Consistency::Free,
        kind: Kind::Number(0.0, 1.0),
        setting: "family_info.worth_without.{}",
    },
    Item { name: "calls", role: Consistency::Free, kind: Kind::Flag, setting: "family_info.class_calls.{}" },
    Item {
        name: "window-ms",
        role: Consistency::Fenced,
        kind: Kind::Span(0.0, DAY),
        setting: "profiles.{}.window",
    },
    Item {
        name: "effect",
        role: Consistency::Fenced,
        kind: Kind::Word(EFFECTS),
        setting: "profiles.{}.effect",
    },
    Item { name: "offered", role: Consistency::Fenced, kind: Kind::Flag, setting: "profiles.{}.offered" },
];

/// Of a server.
pub const LIMITS: &[Item] = &[
    Item {
        name: "retry-after-ms",
        role: Consistency::Free,
        kind: Kind::Span(0.0, DAY),
        setting: "limits.max_retry_after",
    },
    Item {
        name: "memory-kb",
        role: Consistency::Free,
        kind: Kind::Number(100.0, 1e12),
        setting: "family_info.memory_kb",
    },
    Item {
        name: "per-core",
        role: Consistency::Free,
        kind: Kind::Number(0.1, 64.0),
        setting: "window.per_core",
    },
    Item {
        name: "cold-per-core",
        role: Consistency::Free,
        kind: Kind::Number(0.1, 64.0),
        setting: "window.cold_per_core",
    },
];

/// The lists: servers in service by zone, shares of the index by zone, callers turned away.
pub const LISTS: Consistency = Consistency::Fenced;
/// Who agrees on versions: a version says who decides on the one after it.
pub const COMMITTEE: Consistency = Consistency::Fenced;
/// The bound itself.
pub const WITHIN: Consistency = Consistency::Fixed;
