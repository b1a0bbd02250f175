//! Parsing of valid and invalid service files.

// Items are visible to the modules of this test only, and a test may be long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

use aldercrank_service_config::{
    parse, LogConfig, ReportConfig, ResultConfig, ServiceConfig, StartConfig, VersionedConfigOptions,
};
use std::time::Duration;

fn faults(text: &str) -> Vec<String> {
    parse(text).unwrap_err().iter().map(|fault| fault.to_string()).collect()
}

#[test]
fn example_file_is_parsed_and_empty_file_gives_defaults() {
    let example = include_str!("../../../deploy/service.kdl");
    assert_eq!(
        parse(example),
        Ok(ServiceConfig {
            results: ResultConfig { max_kb: Some(1024) },
            reports: ReportConfig { max_backoff: Some(Duration::from_millis(4000)) },
            log: LogConfig { json: true },
            versioned_config: Some(VersionedConfigOptions {
                version_file: "/etc/aldercrank/rules.kdl".to_string(),
                state_dir: Some("/var/lib/aldercrank".to_string()),
                read_proposals: true,
                member_addresses: [("n2".to_string(), "127.0.0.1:7102".parse().unwrap())].into(),
            }),
            start: StartConfig { report_share: true },
        })
    );
    assert_eq!(parse("// nothing\n"), Ok(ServiceConfig::default()));
}

#[test]
fn all_faults_are_reported_at_once_with_line_and_column() {
    let text =
        "resluts {\n}\nresults 3 {\n    longest-kb \"big\"\n    longest-kb 4\n    colour #true\n}\nresults\n";
    assert_eq!(
        faults(text),
        [
            "1:1: resluts is not known; did you mean results?",
            "3:9: results takes a block of settings and no value",
            "4:16: longest-kb takes one whole number from 1 to 65536, found the text \"big\"",
            "5:5: longest-kb is repeated; it may occur only once",
            "6:5: colour is not known; known here: longest-kb",
            "8:1: results is repeated; it may occur only once",
        ]
    );
    assert_eq!(faults("log {\n json 1\n}"), ["2:7: json takes #true or #false, found 1"]);
    assert_eq!(
        faults("rules {\n dir 3\n reach { n1 \"here\"; }\n}"),
        [
            "1:1: rules needs book \"FILE\", the file of the initial version",
            "2:6: dir takes the name of a directory, found 3",
            "3:10: \"here\" is not an IP address with a port",
        ]
    );
    assert_eq!(faults("start {\n tell-share 1\n}"), ["2:13: tell-share takes #true or #false, found 1"]);
    assert_eq!(faults("results"), ["1:1: results needs a block of settings in braces"]);
    for (wrong, found) in [("0", "0"), ("70000", "70000"), ("1.5", "1.5"), ("#null", "#null")] {
        let text = format!("results {{\n\tlongest-kb {wrong}\n}}");
        let expected = format!("2:13: longest-kb takes one whole number from 1 to 65536, found {found}");
        assert_eq!(faults(&text), [expected]);
    }
}

#[test]
fn invalid_kdl_is_reported_with_its_position_and_never_panics() {
    assert!(faults("results {\n  longest-kb 4\n").iter().all(|f| f.contains(':')));
    let example = include_str!("../../../deploy/service.kdl");
    // Removes or replaces each fifth byte, one at a time.
    for at in (0..example.len()).step_by(5) {
        for replacement in ["", "\"", "{", "\u{0}", "\u{fe0f}", "}"] {
            let (Some(head), Some(tail)) = (example.get(..at), example.get(at + 1..)) else { continue };
            if let Err(faults) = parse(&format!("{head}{replacement}{tail}")) {
                assert!(!faults.is_empty() && faults.iter().all(|f| f.line > 0 && f.column > 0));
            }
        }
    }
}
