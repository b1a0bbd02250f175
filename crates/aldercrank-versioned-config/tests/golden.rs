//! Golden files of the versioned configuration: each `tests/golden/rule-books/*.kdl` with what is parsed from it beside
//! it. The expected files are written only where `RECORD_GOLDEN_FILES` is set.

// Support code is shared by the modules of this test alone; a scenario may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

#[path = "../../../tests/golden/compare.rs"]
mod compare;

use aldercrank::{Settings, Value as Setting};
use aldercrank_versioned_config::{changes, restrictions, Consistency, MemberAddress, VersionedConfig};
use std::fmt::Write;
use std::path::PathBuf;

fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../tests/golden/rule-books")
}

fn input(name: &str) -> String {
    std::fs::read_to_string(directory().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Compares a text with the golden file of this name; a failure names the first line that differs.
fn compare(name: &str, actual: &str) {
    compare::check(&format!("rule-books/{name}"), actual);
}

/// All golden versions, in the order of their names.
fn version_file_names() -> Vec<String> {
    let files = std::fs::read_dir(directory()).unwrap();
    let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".kdl")).collect();
    names.sort();
    names
}

fn parse_file(name: &str) -> VersionedConfig {
    VersionedConfig::parse(&input(name)).unwrap_or_else(|faults| panic!("{name}: {faults:?}"))
}

fn consistency_name(consistency: Consistency) -> &'static str {
    match consistency {
        Consistency::Free => "free",
        Consistency::Fenced => "fenced",
        Consistency::Fixed => "fixed",
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// What one text means: the faults, or the version's content and its canonical text.
fn meaning(text: &str) -> String {
    match VersionedConfig::parse(text) {
        Ok(config) => content(&config),
        Err(faults) => {
            let mut out = "not readable\n".to_string();
            for fault in faults {
                let _ = writeln!(out, "line {} column {}: {}", fault.line, fault.column, fault.what);
                assert_eq!(fault.to_string(), format!("{}:{}: {}", fault.line, fault.column, fault.what));
            }
            out
        }
    }
}

fn content(config: &VersionedConfig) -> String {
    let mut out = format!("version {}\ndigest {}\n", config.number, hex(&config.digest().0));
    let _ = writeln!(out, "short digest {}", config.digest());
    let _ = writeln!(out, "agree within {:?}", config.agreement_bound());
    let _ = writeln!(out, "alone for {:?}", config.isolation_limit());
    for MemberAddress { name, address } in config.committee() {
        let _ = writeln!(out, "committee: {name} at {address}");
    }
    match config.servers() {
        None => out.push_str("servers: not named\n"),
        Some(servers) => {
            for (name, zone) in servers {
                let _ = writeln!(out, "server {name} in zone {zone}");
            }
        }
    }
    for name in ["n1", "n2", "n3", "n5", "n9"] {
        let (serves, share) = (config.is_in_service(name), config.quota(name));
        let _ = writeln!(out, "{name}: in service {serves}, share {share:?}");
    }
    for (path, value) in config.items() {
        let _ = writeln!(out, "item {path} = {value}");
    }
    let text = config.text();
    let again = VersionedConfig::parse(&text).expect("the canonical text is readable");
    assert_eq!((&again, again.text(), again.digest()), (config, text.clone(), config.digest()));
    out + "canonical text:\n" + &text
}

#[test]
fn every_golden_version_reads_as_recorded() {
    let names = version_file_names();
    assert!(names.len() >= 25, "only {} versions", names.len());
    for name in names {
        assert_eq!(VersionedConfig::parse(&input(&name)).is_err(), name.starts_with("bad-"), "{name}");
        compare(&name.replace(".kdl", ".txt"), &meaning(&input(&name)));
    }
}

#[test]
fn a_truncated_or_too_long_version_has_the_recorded_faults() {
    let text = input("plain.kdl");
    let mut out = String::new();
    for length in (0..text.trim_end().len()).step_by(17) {
        let _ = writeln!(out, "plain.kdl cut to {length} bytes: {}", meaning(&text[..length]));
    }
    for length in [12 * 1024, 12 * 1024 + 1, 100_000] {
        let long = format!("{text}//{}", "x".repeat(length - text.len() - 2));
        let _ = writeln!(out, "plain.kdl filled up to {length} bytes with a comment: {}", meaning(&long));
    }
    compare("cut.txt", &out);
}

#[test]
fn changes_between_versions_are_as_recorded() {
    let mut out = String::new();
    let readable_names: Vec<String> =
        version_file_names().into_iter().filter(|n| !n.starts_with("bad-")).collect();
    for old in &readable_names {
        for new in &readable_names {
            let (before, after) = (parse_file(old), parse_file(new));
            let _ = writeln!(out, "from {old} to {new}");
            for change in changes(&before, &after) {
                let value = |value: &Option<aldercrank_versioned_config::Value>| {
                    value.as_ref().map(|v| v.to_string())
                };
                let (from, to) = (value(&change.from), value(&change.to));
                let _ = writeln!(
                    out,
                    "  {} {} from {from:?} to {to:?}",
                    consistency_name(change.role),
                    change.path
                );
                let _ = writeln!(out, "    as text: {change}");
            }
            for restriction in restrictions(&before, &after) {
                let _ = writeln!(out, "  tightens: {restriction}");
            }
        }
    }
    compare("changes.txt", &out);
}

/// A platform's settings with these request classes, each with its effect, latency target, timeout and window.
fn platform(classes: &[(&str, &str, f64, f64, f64)]) -> Settings {
    let mut settings = Settings::default();
    for (index, (name, effect, goal, timeout, window)) in classes.iter().enumerate() {
        let mut set = |field: &str, value: Setting| settings.set(&format!("profiles.{index}.{field}"), value);
        set("name", Setting::Text(name.to_string()));
        set("effect", Setting::Text(effect.to_string()));
        set("goal_time", Setting::Number(*goal));
        set("give_up", Setting::Number(*timeout));
        set("window", Setting::Number(*window));
    }
    settings.set("family_info.calls_out", Setting::Number(4.0));
    settings.set("family_info.memory_kb", Setting::Number(9000.0));
    settings
}

fn platforms() -> Vec<(&'static str, Settings)> {
    let buy = ("licence-buy", "dedup", 1e6, 3e6, 9e6);
    let map = ("map-extract", "retryable", 1e6, 3e6, 0.0);
    let pay = ("pay", "fragile", 1e6, 3e6, 0.0);
    let rent = ("rent", "retryable", 1e6, 3e6, 1e6);
    vec![
        ("empty", Settings::default()),
        ("buy and map", platform(&[buy, map])),
        ("map, pay, rent and buy", platform(&[map, pay, rent, buy])),
        ("slow buy, pay, nothing and map", {
            let slow = ("licence-buy", "dedup", 6e6, 9.5e6, 9e6);
            platform(&[slow, pay, ("nothing", "dedup", 2e6, 1e6, 5e5), map])
        }),
    ]
}

#[test]
fn incompatibilities_and_merged_settings_are_as_recorded() {
    let mut out = String::new();
    for name in version_file_names().iter().filter(|name| !name.starts_with("bad-")) {
        let config = parse_file(name);
        for (title, platform) in platforms() {
            for server in ["n1", "n9"] {
                let _ = writeln!(out, "{name}, products {title}, server {server}");
                for incompatibility in config.incompatibilities(&platform, server) {
                    let _ = writeln!(out, "  misfit: {incompatibility}");
                }
                for (name, value) in &config.settings(&platform, server).0 {
                    let _ = match value {
                        Setting::Number(number) => writeln!(out, "  {name} = {number}"),
                        Setting::Text(text) => writeln!(out, "  {name} = {text:?}"),
                        Setting::Flag(flag) => writeln!(out, "  {name} = #{flag}"),
                    };
                }
            }
        }
    }
    compare("settings.txt", &out);
}
