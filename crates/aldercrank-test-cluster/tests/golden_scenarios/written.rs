//! Golden file of the service files that the test cluster writes, parsed by the same parser that servers use.

use crate::compare;
use aldercrank_service_config::{parse, StartConfig};
use aldercrank_test_cluster::config::{rules_section, start_section, MemberAddress};
use aldercrank_test_cluster::ids::ServerNo;
use std::path::Path;

/// The parsed settings, under the names that the service file uses.
fn decoded(text: &str) -> String {
    let config = parse(text).unwrap_or_else(|faults| panic!("{}", faults[0]));
    let mut lines = format!("  start: tell-share {}\n", config.start.report_share);
    if let Some(options) = config.versioned_config {
        lines += &format!("  rules: book {:?}, dir {:?}, ", options.version_file, options.state_dir);
        lines += &format!("read-list {}\n", options.read_proposals);
        lines.extend(
            options
                .member_addresses
                .iter()
                .map(|(member, address)| format!("  rules: reach {member:?} at {address}\n")),
        );
    }
    lines
}

#[test]
fn service_files_of_the_test_cluster_are_parsed_as_recorded() {
    let version_file = Path::new("/run/a \"b\"/rules.kdl");
    let member_address = |server: u16| MemberAddress {
        member: ServerNo(server),
        address: ([127, 0, 0, 1], 7100 + server).into(),
    };
    let texts = [
        start_section(&StartConfig { report_share: true }),
        start_section(&StartConfig { report_share: false }),
        rules_section(version_file, None, &[]),
        rules_section(version_file, Some(Path::new("/run/n1")), &[member_address(1), member_address(2)]),
    ];
    let both = format!("{}{}", texts[3], texts[0]);
    let documents = texts.iter().chain([&both]);
    let output: String = documents.map(|text| format!("{text}--\n{}\n", decoded(text))).collect();
    compare::check("service-file/written-by-the-fleet.txt", &output);
}
