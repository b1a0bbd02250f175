//! Requests of servers and operators to the membership service: the bytes that the codec writes, and what is read in
//! them.

use crate::http::record_request;
use crate::text::{filler, Cases};
use aldercrank_protocol::membership;
use std::time::Duration;

fn write_reports(cases: &mut Cases) {
    for healthy in [true, false] {
        let plain = membership::write_report("members:80", "s-1", healthy, None, None);
        record_request(cases, &format!("a report, fit {healthy}"), &plain);
    }
    for version in [0, 7, u64::MAX] {
        let bytes = membership::write_report("m", "s-1", true, Some(version), None);
        record_request(cases, &format!("a report with version {version} of the rules"), &bytes);
    }
    for share in [0.0, 0.004, 0.005, 0.35, 0.999, 1.0] {
        let bytes = membership::write_report("m", "s-1", true, None, Some(share));
        record_request(cases, &format!("a report with share {share}"), &bytes);
    }
    let all = membership::write_report("[::1]:8080", "dublin-3.a", false, Some(12), Some(0.5));
    record_request(cases, "a report with all that may be told", &all);
}

fn write_versions(cases: &mut Cases) {
    let seconds = Duration::from_secs;
    record_request(cases, "a read of the rules", &membership::write_version_read("m", None, seconds(0)));
    record_request(cases, "a read with a tag", &membership::write_version_read("m", Some("12"), seconds(20)));
    let fractional = Duration::from_millis(1_999);
    record_request(
        cases,
        "a read with a wait that is not whole",
        &membership::write_version_read("m", Some(""), fractional),
    );
    record_request(
        cases,
        "a new version of the rules",
        &membership::write_version_proposal("m", "in service: no\r\n\u{fc}\n"),
    );
    record_request(cases, "an empty version", &membership::write_version_proposal("m", ""));
    let long = String::from_utf8(filler(3000)).expect("letters");
    record_request(cases, "a long version", &membership::write_version_proposal("m", &long));
    record_request(cases, "the version to come is dropped", &membership::write_version_withdrawal("m"));
}

pub fn write(cases: &mut Cases) {
    cases.section("reports");
    write_reports(cases);
    cases.section("rules");
    write_versions(cases);
    cases.section("numbers");
    let (ttl, interval, path) =
        (membership::ENTRY_TTL, membership::REPORT_INTERVAL, membership::VERSIONS_PATH);
    let lines = [format!("an entry lapses after {ttl:?}"), format!("a report every {interval:?}")];
    cases.case("reports", "", &lines);
    cases.case("where rules are read and written", path, &[]);
}
