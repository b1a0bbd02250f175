//! What servers and operators send to the membership service, and what it reads.

use crate::http::question;
use crate::text::{filler, Cases};
use aldercrank_protocol::membership;
use std::time::Duration;

fn write_reports(cases: &mut Cases) {
    for fit in [true, false] {
        let plain = membership::write_report("members:80", "s-1", fit, None, None);
        question(cases, &format!("a report, fit {fit}"), &plain);
    }
    for rules in [0, 7, u64::MAX] {
        let bytes = membership::write_report("m", "s-1", true, Some(rules), None);
        question(cases, &format!("a report with version {rules} of the rules"), &bytes);
    }
    for share in [0.0, 0.004, 0.005, 0.35, 0.999, 1.0] {
        let bytes = membership::write_report("m", "s-1", true, None, Some(share));
        question(cases, &format!("a report with share {share}"), &bytes);
    }
    let all = membership::write_report("[::1]:8080", "dublin-3.a", false, Some(12), Some(0.5));
    question(cases, "a report with all that may be told", &all);
}

fn write_rules(cases: &mut Cases) {
    let seconds = Duration::from_secs;
    question(cases, "a read of the rules", &membership::write_version_read("m", None, seconds(0)));
    question(cases, "a read with a tag", &membership::write_version_read("m", Some("12"), seconds(20)));
    let part = Duration::from_millis(1_999);
    question(
        cases,
        "a read with a wait that is not whole",
        &membership::write_version_read("m", Some(""), part),
    );
    question(
        cases,
        "a new version of the rules",
        &membership::write_version_proposal("m", "in service: no\r\n\u{fc}\n"),
    );
    question(cases, "an empty version", &membership::write_version_proposal("m", ""));
    let long = String::from_utf8(filler(3000)).expect("letters");
    question(cases, "a long version", &membership::write_version_proposal("m", &long));
    question(cases, "the version to come is dropped", &membership::write_version_withdrawal("m"));
}

pub fn write(cases: &mut Cases) {
    cases.section("reports");
    write_reports(cases);
    cases.section("rules");
    write_rules(cases);
    cases.section("numbers");
    let (lapse, every, path) =
        (membership::ENTRY_TTL, membership::REPORT_INTERVAL, membership::VERSIONS_PATH);
    let lines = [format!("an entry lapses after {lapse:?}"), format!("a report every {every:?}")];
    cases.case("reports", "", &lines);
    cases.case("where rules are read and written", path, &[]);
}
