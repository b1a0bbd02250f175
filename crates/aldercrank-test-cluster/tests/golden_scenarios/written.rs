//! Golden file of the service files that the test cluster writes for its servers, read back by the program's own reader.

use crate::compare;
use aldercrank_service_config::{parse, Start};
use aldercrank_test_cluster::config::{rules_section, start_section, MemberAddress};
use aldercrank_test_cluster::ids::ServerNo;
use std::path::Path;

/// The decoded meaning, by the names of the file.
fn decoded(text: &str) -> String {
    let read = parse(text).unwrap_or_else(|faults| panic!("{}", faults[0]));
    let mut lines = format!("  start: tell-share {}\n", read.start.report_share);
    if let Some(options) = read.versioned_config {
        lines += &format!("  rules: book {:?}, dir {:?}, ", options.version_file, options.state_dir);
        lines += &format!("read-list {}\n", options.read_proposals);
        lines.extend(
            options
                .member_addresses
                .iter()
                .map(|(member, at)| format!("  rules: reach {member:?} at {at}\n")),
        );
    }
    lines
}

#[test]
fn service_files_of_the_test_cluster_are_read_as_recorded() {
    let config_version = Path::new("/run/a \"b\"/rules.kdl");
    let member_addresses = |server: u16| MemberAddress {
        member: ServerNo(server),
        address: ([127, 0, 0, 1], 7100 + server).into(),
    };
    let texts = [
        start_section(&Start { report_share: true }),
        start_section(&Start { report_share: false }),
        rules_section(config_version, None, &[]),
        rules_section(
            config_version,
            Some(Path::new("/run/n1")),
            &[member_addresses(1), member_addresses(2)],
        ),
    ];
    let both = format!("{}{}", texts[3], texts[0]);
    let all = texts.iter().chain([&both]);
    let built: String = all.map(|text| format!("{text}--\n{}\n", decoded(text))).collect();
    compare::check("service-file/written-by-the-fleet.txt", &built);
}
