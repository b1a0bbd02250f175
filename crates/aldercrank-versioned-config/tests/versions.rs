//! Parses valid and faulty versions, compares versions, and merges a version with the platform's settings.

// Test code needs neither documentation nor minimal visibility, and some tests are long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank::{Settings, Value as Setting};
use aldercrank_versioned_config::{
    changes, restrictions, Consistency, Incompatibility, ItemPath, Value, VersionNumber, VersionedConfig,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

const VERSION_8: &str = "rules 8 {
    agree-within-ms 2000
    committee { n1 \"127.0.0.1:7001\"; n2 \"127.0.0.1:7002\"; n3 \"127.0.0.1:7003\"; }
    product \"licence-buy\" { effect \"referenced\"; window-ms 9000; points 5; sla-ms 1000 }
    product \"map-extract\" { offered #true; late-worth 0.2 }
    limits { retry-after-ms 1000 }
    servers { a \"n1\" \"n3\"; b \"n2\" }
    shares { limit 100; a 60; b 40 }
    turned-away 17 4
}
";

fn parse(text: &str) -> VersionedConfig {
    VersionedConfig::parse(text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

fn faults(text: &str) -> Vec<String> {
    VersionedConfig::parse(text).unwrap_err().iter().map(|fault| fault.to_string()).collect()
}

fn platform_settings() -> Settings {
    let mut settings = Settings::default();
    for (i, (name, effect)) in [("map-extract", "retryable"), ("licence-buy", "dedup")].iter().enumerate() {
        settings.set(&format!("profiles.{i}.name"), Setting::Text(name.to_string()));
        settings.set(&format!("profiles.{i}.effect"), Setting::Text(effect.to_string()));
        settings.set(&format!("profiles.{i}.goal_time"), Setting::Number(1e6));
        settings.set(&format!("profiles.{i}.give_up"), Setting::Number(3e6));
    }
    settings.set("family_info.calls_out", Setting::Number(4.0));
    settings
}

#[test]
fn equivalent_texts_parse_to_the_same_version_and_digest() {
    let first = parse(VERSION_8);
    let reparsed = parse(&first.text());
    assert_eq!((&first, first.digest()), (&reparsed, reparsed.digest()));
    let reordered = "rules 8 { turned-away 4 17; shares { b 40; a 60; limit 100 }
        servers { b \"n2\"; a \"n3\" \"n1\" }; limits { retry-after-ms 1000.0 }
        product \"map-extract\" { late-worth 0.2; offered #true }
        product \"licence-buy\" { sla-ms 1000; points 5; window-ms 9000; effect \"referenced\" }
        committee { n3 \"127.0.0.1:7003\"; n1 \"127.0.0.1:7001\"; n2 \"127.0.0.1:7002\" }; agree-within-ms 2000 }";
    assert_eq!(parse(reordered).digest(), first.digest());
    let other = parse(&VERSION_8.replace("9000", "9001"));
    assert_ne!(other.digest(), first.digest());
    assert_eq!(first.committee().len(), 3);
    assert_eq!(
        (first.agreement_bound(), first.isolation_limit()),
        (Duration::from_secs(2), Duration::from_secs(60))
    );
}

#[test]
fn all_faults_are_reported_at_once_with_line_and_column() {
    let faulty = "rules 8 {
    agree-within-ms 100
    comittee { n1 \"127.0.0.1:7001\" }
    product \"p q\" { window-ms 1 }
    product \"p\" { window-ms \"long\"; effect \"safe\"; sla-ms 500; give-up-ms 400 }
    product \"p\" { points 1 }
    servers { a \"n1\" \"n1\" }
    shares { a 60; c 1; limit 50 }
    turned-away \"n1\"
}";
    assert_eq!(
        faults(faulty),
        [
            "1:1: committee { NAME \"ADDRESS:PORT\" ... } is missing; its members decide on the next version",
            "2:21: agree-within-ms takes one whole number from 500 to 60000, found 100",
            "3:5: comittee is not known; did you mean committee?",
            "4:13: product takes a name of 1 to 64 ASCII letters, digits, '-', '_' or '.', found the text \"p q\"",
            "5:29: window-ms takes one number from 0 to 86400000, found the text \"long\"",
            "5:37: safe is not known; known here: inquiry-like, referenced, once-only",
            "5:64: product p: give-up-ms 400 is less than sla-ms 500",
            "6:5: product p is repeated; it may occur only once",
            "7:22: server n1 is listed more than once; a server belongs to one zone",
            "8:14: the shares add up to 61, over their limit of 50",
            "8:20: shares has zone c, which is not listed in servers",
            "9:17: turned-away takes caller numbers without keys, from 0 to 9007199254740992, found the text \"n1\"",
        ]
    );
    assert_eq!(
        faults("rules 0 { committee { a \"127.0.0.1:1\" } }"),
        ["1:7: rules takes the version number, a whole number from 1 to 9007199254740992, found 0"]
    );
    assert_eq!(faults("product \"p\" {}").len(), 2, "an unknown block, and no rules block");
    let long = format!("{VERSION_8}//{}", "x".repeat(10_000_000));
    assert_eq!(faults(&long), ["1:1: version text is 10000398 bytes long; the limit is 12288"]);
    // An unknown block, as a later format of the configuration could have it, is a fault and not ignored.
    assert!(faults(&VERSION_8.replace("limits {", "quotas { x 1 }\n limits {"))[0]
        .contains("quotas is not known"));
}

#[test]
fn truncated_versions_are_rejected_and_corrupted_ones_do_not_keep_the_digest() {
    let whole = parse(VERSION_8);
    for at in 0..VERSION_8.trim_end().len() {
        let cut = &VERSION_8[..at];
        assert!(VersionedConfig::parse(cut).is_err(), "cut at {at}");
        for corruption in ["", "\"", "}", "\u{0}"] {
            if let Ok(read) =
                VersionedConfig::parse(&format!("{}{corruption}{}", &VERSION_8[..at], &VERSION_8[at + 1..]))
            {
                assert!(read == whole || read.digest() != whole.digest());
            }
        }
    }
}

#[test]
fn changes_have_their_declared_consistency_and_restrictions_are_reported() {
    let old = parse(VERSION_8);
    let consistencies = |to: &str| -> Vec<(String, Consistency)> {
        changes(&old, &parse(to)).iter().map(|c| (c.path.to_string(), c.consistency)).collect()
    };
    assert_eq!(
        consistencies(&VERSION_8.replace("points 5", "points 6")),
        [("product.licence-buy.points".into(), Consistency::Free)]
    );
    assert_eq!(
        consistencies(&VERSION_8.replace("9000", "8000")),
        [("product.licence-buy.window-ms".into(), Consistency::Fenced)]
    );
    assert_eq!(
        consistencies(&VERSION_8.replace("ms 2000", "ms 3000")),
        [("agree-within-ms".into(), Consistency::Fixed)]
    );
    assert_eq!(consistencies(&VERSION_8.replace("a 60", "a 50")), [("shares.a".into(), Consistency::Fenced)]);
    for (from, to, restriction_count) in [
        ("points 5", "points 6", 0),
        ("offered #true", "offered #false", 1),
        ("offered #true", "effect \"once-only\"", 1),
        ("effect \"referenced\"", "effect \"inquiry-like\"", 0),
        ("effect \"referenced\"", "effect \"once-only\"", 0),
        ("turned-away 17 4", "turned-away 4 5", 1),
        ("turned-away 17 4", "turned-away 4", 0),
        ("a \"n1\" \"n3\"", "a \"n1\"", 1),
        ("a \"n1\" \"n3\"", "a \"n1\" \"n3\" \"n4\"", 0),
    ] {
        let new = parse(&VERSION_8.replace(from, to));
        assert_eq!(restrictions(&old, &new).len(), restriction_count, "{from} -> {to}");
    }
}

#[test]
fn a_version_is_merged_with_the_platform_settings_or_its_incompatibilities_are_reported() {
    let (config, platform) = (parse(VERSION_8), platform_settings());
    assert!(config.incompatibilities(&platform, "n1").is_empty());
    let merged = config.merged_settings(&platform, "n1");
    assert_eq!(merged.duration("profiles.1.window"), Some(Duration::from_secs(9)));
    assert_eq!(merged.text("profiles.1.effect"), Some("dedup"));
    assert_eq!(merged.number("profiles.1.points"), Some(5.0));
    assert_eq!(
        merged.number("family_info.calls_out"),
        Some(30.0),
        "half of the 60 of zone a, which has two servers"
    );
    assert_eq!(merged.number("rules.turned_away.0"), Some(4.0));
    assert_eq!(merged.flag("rules.in_service"), None);
    let unlisted = config.merged_settings(&platform, "n9");
    assert_eq!(
        (unlisted.flag("rules.in_service"), unlisted.number("family_info.calls_out")),
        (Some(false), Some(0.0))
    );
    let incompatibilities = |config: &VersionedConfig| -> Vec<String> {
        config.incompatibilities(&platform, "n1").iter().map(Incompatibility::to_string).collect()
    };
    let unknown_class = parse(&VERSION_8.replace("\"licence-buy\"", "\"licence-rent\""));
    assert_eq!(incompatibilities(&unknown_class), ["product.licence-rent: this server has no such product"]);
    let short_window = parse(&VERSION_8.replace("9000", "2000"));
    assert_eq!(
        incompatibilities(&short_window),
        ["product.licence-buy.window-ms: shorter than its callers go on trying"]
    );
}

/// Whether a version with random changes is the same after a round trip through its text, and `changes` returns only
/// items that differ.
fn random_changes_survive_round_trip(random_changes: Vec<(u8, u16)>) -> bool {
    let old = parse(VERSION_8);
    let set = random_changes.iter().map(|(item, value)| {
        let n = Value::Number(f64::from(value % 100));
        match item % 4 {
            0 => (ItemPath::new("product", "licence-buy", "points"), Some(n)),
            1 => (ItemPath::new("shares", "", "b"), Some(Value::Number(f64::from(value % 41)))),
            2 => (
                ItemPath::new("limits", "", "per-core"),
                Some(Value::Number(1.0 + f64::from(value % 9) / 7.0)),
            ),
            _ => (ItemPath::new("turned-away", "", ""), None),
        }
    });
    let new = old.with_changes(VersionNumber(9), set);
    let reparsed = parse(&new.text());
    let found = changes(&old, &reparsed);
    reparsed == new
        && found.iter().all(|c| c.from != c.to)
        && (found.is_empty() == (new.text() == old.with_changes(VersionNumber(9), []).text()))
}

#[test]
fn random_changes_survive_a_round_trip_through_the_text() {
    let mut tests = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(12, 8));
    tests.quickcheck(random_changes_survive_round_trip as fn(Vec<(u8, u16)>) -> bool);
}
