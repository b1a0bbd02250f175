//! Versions as operators write them, valid and faulty; differences between two; a version on a server.

// Support code is shared by the modules of this test alone; a scenario may be long.
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
fn a_version_written_differently_reads_the_same_and_has_the_same_digest() {
    let first = parse(VERSION_8);
    let again = parse(&first.text());
    assert_eq!((&first, first.digest()), (&again, again.digest()));
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
    let text = "rules 8 {
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
        faults(text),
        [
            "1:1: committee { NAME \"ADDRESS:PORT\" ... } is missing: who is to agree on the next version",
            "2:21: agree-within-ms takes one whole number from 500 to 60000, found 100",
            "3:5: comittee is not known; did you mean committee?",
            "4:13: product takes a product's name, found the text \"p q\"",
            "5:29: window-ms takes one number from 0 to 86400000, found the text \"long\"",
            "5:37: safe is not known; known here: inquiry-like, referenced, once-only",
            "5:64: p: given up after 400 ms, before its SLA time of 500 ms",
            "6:5: product p stands here a second time; it may stand once",
            "7:22: n1 stands in the list twice; a server is in one zone",
            "8:14: the shares come to 61, over their limit of 50",
            "8:20: c is no zone of `servers`, which shares go by",
            "9:17: turned-away takes callers' numbers, found the text \"n1\"",
        ]
    );
    assert_eq!(
        faults("rules 0 { committee { a \"127.0.0.1:1\" } }"),
        ["1:7: rules takes the version's number, 1 or more, found 0"]
    );
    assert_eq!(faults("product \"p\" {}").len(), 2, "no rules at all");
    let long = format!("{VERSION_8}//{}", "x".repeat(10_000_000));
    assert_eq!(faults(&long), ["1:1: 10000398 bytes; a version has 12288 at most"]);
    // A later form of the configuration: an unknown block is not ignored.
    assert!(faults(&VERSION_8.replace("limits {", "quotas { x 1 }\n limits {"))[0]
        .contains("quotas is not known"));
}

#[test]
fn a_truncated_or_corrupted_version_is_never_taken_for_another() {
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
fn changes_have_their_consistency_and_restrictions_are_reported() {
    let old = parse(VERSION_8);
    let consistencies = |to: &str| -> Vec<(String, Consistency)> {
        changes(&old, &parse(to)).iter().map(|c| (c.path.to_string(), c.role)).collect()
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
    for (from, to, restricting) in [
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
        assert_eq!(restrictions(&old, &new).len(), restricting, "{from} -> {to}");
    }
}

#[test]
fn a_server_merges_a_version_with_its_platform_or_reports_why_it_can_not() {
    let (config, platform) = (parse(VERSION_8), platform_settings());
    assert!(config.incompatibilities(&platform, "n1").is_empty());
    let merged = config.settings(&platform, "n1");
    assert_eq!(merged.span("profiles.1.window"), Some(Duration::from_secs(9)));
    assert_eq!(merged.text("profiles.1.effect"), Some("dedup"));
    assert_eq!(merged.number("profiles.1.points"), Some(5.0));
    assert_eq!(merged.number("family_info.calls_out"), Some(30.0), "60 for two servers of zone a");
    assert_eq!(merged.number("rules.turned_away.0"), Some(4.0));
    assert_eq!(merged.flag("rules.in_service"), None);
    let stranger = config.settings(&platform, "n9");
    assert_eq!(
        (stranger.flag("rules.in_service"), stranger.number("family_info.calls_out")),
        (Some(false), Some(0.0))
    );
    let incompatibilities = |config: &VersionedConfig| -> Vec<String> {
        config.incompatibilities(&platform, "n1").iter().map(Incompatibility::to_string).collect()
    };
    let unknown_class = parse(&VERSION_8.replace("\"licence-buy\"", "\"licence-rent\""));
    assert_eq!(incompatibilities(&unknown_class), ["product.licence-rent: this server has no such product"]);
    let short = parse(&VERSION_8.replace("9000", "2000"));
    assert_eq!(
        incompatibilities(&short),
        ["product.licence-buy.window-ms: shorter than its callers go on trying"]
    );
}

/// A version with random changes reads back the same, and `changes` returns just these.
fn random_changes_read_back(steps: Vec<(u8, u16)>) -> bool {
    let old = parse(VERSION_8);
    let set = steps.iter().map(|(what, value)| {
        let n = Value::Number(f64::from(value % 100));
        match what % 4 {
            0 => (ItemPath::new("product", "licence-buy", "points"), Some(n)),
            1 => (ItemPath::new("shares", "", "b"), Some(Value::Number(f64::from(value % 41)))),
            2 => (
                ItemPath::new("limits", "", "per-core"),
                Some(Value::Number(1.0 + f64::from(value % 9) / 7.0)),
            ),
            _ => (ItemPath::new("turned-away", "", ""), None),
        }
    });
    let new = old.next(VersionNumber(9), set);
    let again = parse(&new.text());
    let named = changes(&old, &again);
    again == new
        && named.iter().all(|c| c.from != c.to)
        && (named.is_empty() == (new.text() == old.next(VersionNumber(9), []).text()))
}

#[test]
fn versions_made_by_random_changes_read_back_the_same() {
    let mut tests = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(12, 8));
    tests.quickcheck(random_changes_read_back as fn(Vec<(u8, u16)>) -> bool);
}
