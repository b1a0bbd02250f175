//! Golden tests of the versioned configuration: each version `tests/golden/rule-books/*.kdl` has its expected parse
//! result beside it. The expected files are written only if `RECORD_GOLDEN_FILES` is set.

// Test code needs neither documentation nor minimal visibility, and some tests are long.
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

fn golden_directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../tests/golden/rule-books")
}

fn read_version(name: &str) -> String {
    std::fs::read_to_string(golden_directory().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Compares a text with the golden file of this name. A failure shows the first line that differs.
fn compare(name: &str, actual: &str) {
    compare::check(&format!("rule-books/{name}"), actual);
}

/// File names of all golden versions, sorted.
fn version_file_names() -> Vec<String> {
    let files = std::fs::read_dir(golden_directory()).unwrap();
    let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".kdl")).collect();
    names.sort();
    names
}

fn parse_file(name: &str) -> VersionedConfig {
    VersionedConfig::parse(&read_version(name)).unwrap_or_else(|faults| panic!("{name}: {faults:?}"))
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

/// The result of parsing a text: its faults, or the content and the canonical text of the version.
fn parse_result(text: &str) -> String {
    match VersionedConfig::parse(text) {
        Ok(config) => content(&config),
        Err(faults) => {
            let mut out = "not readable\n".to_string();
            for fault in faults {
                let _ = writeln!(out, "line {} column {}: {}", fault.line, fault.column, fault.kind);
                assert_eq!(fault.to_string(), format!("{}:{}: {}", fault.line, fault.column, fault.kind));
            }
            out
        }
    }
}

/// The content of a version as its getters return it, and its canonical text, which must parse to the same version.
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
        let (in_service, quota) = (config.is_in_service(name), config.quota(name));
        let _ = writeln!(out, "{name}: in service {in_service}, share {quota:?}");
    }
    for (path, value) in config.items() {
        let _ = writeln!(out, "item {path} = {value}");
    }
    let text = config.text();
    let reparsed = VersionedConfig::parse(&text).expect("the canonical text has no faults");
    assert_eq!((&reparsed, reparsed.text(), reparsed.digest()), (config, text.clone(), config.digest()));
    out + "canonical text:\n" + &text
}

#[test]
fn every_golden_version_parses_as_recorded() {
    let names = version_file_names();
    assert!(names.len() >= 25, "only {} versions", names.len());
    for name in names {
        assert_eq!(VersionedConfig::parse(&read_version(&name)).is_err(), name.starts_with("bad-"), "{name}");
        compare(&name.replace(".kdl", ".txt"), &parse_result(&read_version(&name)));
    }
}

#[test]
fn a_truncated_or_too_long_version_has_the_recorded_faults() {
    let text = read_version("plain.kdl");
    let mut out = String::new();
    for length in (0..text.trim_end().len()).step_by(17) {
        let _ = writeln!(out, "plain.kdl cut to {length} bytes: {}", parse_result(&text[..length]));
    }
    for length in [12 * 1024, 12 * 1024 + 1, 100_000] {
        let long = format!("{text}//{}", "x".repeat(length - text.len() - 2));
        let _ =
            writeln!(out, "plain.kdl filled up to {length} bytes with a comment: {}", parse_result(&long));
    }
    compare("cut.txt", &out);
}

#[test]
fn changes_between_versions_are_as_recorded() {
    let mut out = String::new();
    let valid_names: Vec<String> =
        version_file_names().into_iter().filter(|n| !n.starts_with("bad-")).collect();
    for old in &valid_names {
        for new in &valid_names {
            let (old_config, new_config) = (parse_file(old), parse_file(new));
            let _ = writeln!(out, "from {old} to {new}");
            for change in changes(&old_config, &new_config) {
                let value = |value: &Option<aldercrank_versioned_config::Value>| {
                    value.as_ref().map(|v| v.to_string())
                };
                let (from, to) = (value(&change.from), value(&change.to));
                let _ = writeln!(
                    out,
                    "  {} {} from {from:?} to {to:?}",
                    consistency_name(change.consistency),
                    change.path
                );
                let _ = writeln!(out, "    as text: {change}");
            }
            for restriction in restrictions(&old_config, &new_config) {
                let _ = writeln!(out, "  tightens: {restriction}");
            }
        }
    }
    compare("changes.txt", &out);
}

/// Platform settings with these request classes: name, effect, and latency target, timeout and deduplication window in
/// microseconds.
fn platform_settings(classes: &[(&str, &str, f64, f64, f64)]) -> Settings {
    let mut settings = Settings::default();
    for (index, (name, effect, latency_target, timeout, window)) in classes.iter().enumerate() {
        let mut set = |field: &str, value: Setting| settings.set(&format!("profiles.{index}.{field}"), value);
        set("name", Setting::Text(name.to_string()));
        set("effect", Setting::Text(effect.to_string()));
        set("goal_time", Setting::Number(*latency_target));
        set("give_up", Setting::Number(*timeout));
        set("window", Setting::Number(*window));
    }
    settings.set("family_info.calls_out", Setting::Number(4.0));
    settings.set("family_info.memory_kb", Setting::Number(9000.0));
    settings
}

/// Platform settings to merge the golden versions with, each with its title in the golden file.
fn platforms() -> Vec<(&'static str, Settings)> {
    let buy = ("licence-buy", "dedup", 1e6, 3e6, 9e6);
    let map = ("map-extract", "retryable", 1e6, 3e6, 0.0);
    let pay = ("pay", "fragile", 1e6, 3e6, 0.0);
    let rent = ("rent", "retryable", 1e6, 3e6, 1e6);
    vec![
        ("empty", Settings::default()),
        ("buy and map", platform_settings(&[buy, map])),
        ("map, pay, rent and buy", platform_settings(&[map, pay, rent, buy])),
        ("slow buy, pay, nothing and map", {
            let slow = ("licence-buy", "dedup", 6e6, 9.5e6, 9e6);
            platform_settings(&[slow, pay, ("nothing", "dedup", 2e6, 1e6, 5e5), map])
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
                for (name, value) in &config.merged_settings(&platform, server).0 {
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
