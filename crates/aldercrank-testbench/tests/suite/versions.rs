//! Versions of the configuration on a cluster of several servers with faults between them, and the operators' `rules`
//! commands.

use crate::common::{dir, fleet, play_unbroken, program, TESTBENCH};
use serde_json::Value;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const BASE: &str = "seconds 9\nfleet servers=7 zones=3 cores=4\nrules committee=3 within-ms=1000\n\
    product \"map-extract\" share=0.7 work-ms=10\nproduct \"licence-buy\" share=0.3 work-ms=15\n\
    callers rate=250 edges=4 choose=\"two-choices\"\nlist capacity=800 lag-ms=300\n";

/// Plays these steps and asserts that no rule is broken, including the one on conflicting versions. Returns the
/// outcome.
fn play(name: &str, steps: &str) -> Value {
    let outcome = play_unbroken(name, &format!("{BASE}{steps}"));
    assert!(outcome["counts"]["completed"].as_u64() > Some(500), "{outcome}");
    outcome
}

fn acted_on(outcome: &Value) -> u64 {
    outcome["agree"]["acted_on"].as_u64().unwrap()
}

fn value(outcome: &Value) -> f64 {
    outcome["value"].as_f64().unwrap()
}

#[test]
fn versions_take_effect_while_half_of_the_servers_are_replaced() {
    // n6 is paused and does not confirm the version, so the version waits until the server's lease must have expired.
    let steps = "at 2 \"stop\" server=\"n6\" for=1.5\nat 2.1 \"rules\" set=\"licence-buy.window-ms=5000\"\n\
        at 2.15 \"kill\" server=\"n4\" for=0.3\nat 2.15 \"kill\" server=\"n5\" for=0.3\n\
        at 2.2 \"kill\" server=\"n7\" for=0.3\nat 2.25 \"leave\" server=\"n2\"\n\
        at 5 \"rules\" set=\"licence-buy.window-ms=6000\"\n";
    assert_eq!(acted_on(&play("replaced", steps)), 3);
}

#[test]
fn a_malformed_version_is_reported_and_the_last_one_stays_committed() {
    let steps = "at 1 \"rules-broken\" kind=\"cut\"\nat 2.3 \"rules-broken\" kind=\"long\"\n\
        at 3.6 \"rules-broken\" kind=\"field\"\nat 4.9 \"rules-broken\" kind=\"later\"\n\
        at 6 \"rules-old\"\nat 6.3 \"rules\" set=\"licence-buy.points=6\"\n";
    let keep = dir("no-book-kept");
    let output = fleet("no-book", &format!("{BASE}{steps}"), &["--json", "--keep", &keep.to_string_lossy()]);
    let all: Value = serde_json::from_slice(&output.stdout).unwrap();
    let outcome = &all["outcome"];
    assert_eq!(outcome["counts"]["broken"], 0, "{}", outcome["broken"]);
    assert!(value(outcome) > 0.95, "invalid versions must not cost any value: {}", value(outcome));
    let log = std::fs::read_to_string(keep.join("n1.1.log")).unwrap();
    assert!(log.contains("configuration version at the membership service is invalid; ignoring it"), "{log}");
    let _ = std::fs::remove_dir_all(keep);
}

#[test]
fn a_queued_keyed_request_is_rejected_by_a_server_paused_for_longer_than_its_lease() {
    // One core and slow runs, so that requests are queued when the server is paused. Meanwhile versions change the
    // deduplication window of the class.
    let steps = "fleet cores=1 memory-kb=60000\nproduct \"licence-buy\" share=0.6 work-ms=60 sla-ms=1800 expiry-ms=4000\n\
        callers rate=90 again=#true\nat 1 \"rules\" set=\"licence-buy.window-ms=5000|licence-buy.window-ms=6000\" every=0.8 for=7\n\
        at 2 \"stop\" share=0.4 for=1.8\nat 5 \"stop\" share=0.4 for=1.5\n";
    let outcome = play("stopped", steps);
    assert!(acted_on(&outcome) >= 5, "{}", outcome["agree"]);
}

#[test]
fn a_reload_and_a_new_version_at_the_same_time_do_not_interfere() {
    let steps = "at 2 \"rules\" set=\"licence-buy.window-ms=5000\"\nat 2 \"bad-config\"\n\
        at 2.005 \"bad-config\" server=\"n1\"\nat 4 \"rules\" set=\"licence-buy.points=4\"\n";
    let outcome = play("sighup", steps);
    assert_eq!(acted_on(&outcome), 3);
    assert!(value(&outcome) > 0.95, "{}", value(&outcome));
}

#[test]
fn a_partitioned_committee_and_slow_or_corrupting_members_break_no_rule() {
    let steps =
        "at 1 \"rules\" set=\"licence-buy.window-ms=5000|licence-buy.window-ms=6000\" every=0.5 for=7\n\
        at 2 \"cut\" server=\"n1\" with=\"peers\" way=\"from\" for=1.5\n\
        at 4 \"trickle\" server=\"n2\" with=\"peers\" rate=3000 for=1\n\
        at 5.5 \"garble\" server=\"n3\" with=\"peers\" share-of-pieces=0.3 for=1\n\
        at 7 \"half\" server=\"n1\" with=\"peers\" after=500 for=1\n";
    let outcome = play("committee-cut", steps);
    assert!(acted_on(&outcome) >= 6, "{}", outcome["agree"]);
}

#[test]
fn a_scenario_that_publishes_versions_without_a_configuration_is_rejected_before_anything_starts() {
    let output = fleet("no-rules", "seconds 4\nat 1 \"rules\" set=\"licence-buy.points=6\"\n", &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("the scenario has no versioned configuration"));
}

/// A cluster that runs during a test and is killed at its end.
struct RunningCluster(Child);

impl Drop for RunningCluster {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs `aldercrank rules` with these arguments.
fn run_rules(args: &[&str]) -> Output {
    Command::new(program()).arg("rules").args(args).output().unwrap()
}

/// Standard output followed by standard error.
fn output_text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Waits until the condition holds. Panics with `what` after 20 s.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Writes the version in `file` to `into` with another number and with `from` replaced by `to`. Returns the path
/// written.
fn write_changed_version(file: &Path, number: u64, from: &str, to: &str, into: &Path) -> String {
    let text = std::fs::read_to_string(file).unwrap();
    let text = text.replacen("rules 1 ", &format!("rules {number} "), 1).replacen(from, to, 1);
    std::fs::write(into, text).unwrap();
    into.to_string_lossy().into_owned()
}

#[test]
fn operators_check_propose_withdraw_and_see_what_blocks_a_version() {
    let keep = dir("operators");
    let scenario = keep.join("scenario.kdl");
    std::fs::write(&scenario, format!("{BASE}seconds 60\ncallers rate=50\nstart tell-share=#true\n"))
        .unwrap();
    let cluster = Command::new(TESTBENCH)
        .args(["fleet", "--quiet", "--program"])
        .arg(program())
        .arg("--keep")
        .arg(&keep)
        .arg(&scenario)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let _running = RunningCluster(cluster);
    let first = keep.join("rules.kdl");
    wait_until("the cluster has not written its versioned configuration", || first.is_file());
    let config: Value = {
        wait_until("n1 has no configuration", || keep.join("n1.json").is_file());
        serde_json::from_str(&std::fs::read_to_string(keep.join("n1.json")).unwrap()).unwrap()
    };
    let (at, list) =
        (config["listen"].as_str().unwrap().to_string(), config["members"].as_str().unwrap().to_string());
    wait_until("n1 has no confirmed version", || {
        output_text(&run_rules(&["status", "--at", &at])).contains("vouches for what stands")
    });
    // The difference between two versions, as printed for operators.
    let next = |n: u64, from: &str, to: &str| {
        write_changed_version(&first, n, from, to, &keep.join(format!("v{n}.kdl")))
    };
    let second = next(2, "window-ms 6000", "window-ms 5000");
    let diff = run_rules(&["diff", &first.to_string_lossy(), &second]);
    assert_eq!(
        (diff.status.code(), output_text(&diff).trim()),
        (Some(1), "fenced product.licence-buy.window-ms: 6000 -> 5000")
    );
    let accepted = run_rules(&["propose", &second, "--to", &list, "--at", &at]);
    assert_eq!((accepted.status.code(), output_text(&accepted).trim()), (Some(0), "version 2 is in force"));
    assert!(output_text(&run_rules(&["show", "--at", &at])).contains("window-ms 5000"));
    // A version that no server supports, one whose number is already in use, and one that is malformed.
    let unsupported = next(3, "product \"licence-buy\"", "product \"licence-rent\"");
    let refused = run_rules(&["propose", &unsupported, "--to", &list, "--at", &at]);
    assert_eq!(refused.status.code(), Some(1), "{}", output_text(&refused));
    assert!(
        output_text(&refused).contains("refuses it: product.licence-rent: this server has no such product"),
        "{}",
        output_text(&refused)
    );
    let status = output_text(&run_rules(&["status", "--at", &at]));
    assert!(status.contains("n1: version 2") && status.contains("version 3 refused:"), "{status}");
    let repeated = run_rules(&["propose", &second, "--to", &list, "--at", &at]);
    assert_eq!(
        repeated.status.code(),
        Some(0),
        "proposing the version in force succeeds: {}",
        output_text(&repeated)
    );
    std::fs::write(keep.join("bad.kdl"), "rules 9 {\n    comittee { n1 \"x\"; }\n}\n").unwrap();
    let malformed = run_rules(&["check", &keep.join("bad.kdl").to_string_lossy()]);
    assert_eq!(malformed.status.code(), Some(1));
    assert!(
        output_text(&malformed).contains("bad.kdl:2:5: comittee is not known; did you mean committee?"),
        "{}",
        output_text(&malformed)
    );
    // Withdrawn before, while or after a server reads it: the next version takes effect in each case.
    let fourth = next(4, "offered #true", "offered #false");
    assert_eq!(run_rules(&["propose", &fourth, "--to", &list]).status.code(), Some(0));
    assert_eq!(run_rules(&["withdraw", "--to", &list]).status.code(), Some(0));
    let fifth = next(5, "window-ms 6000", "window-ms 7000");
    let after = run_rules(&["propose", &fifth, "--to", &list, "--at", &at]);
    assert_eq!((after.status.code(), output_text(&after).trim()), (Some(0), "version 5 is in force"));
    let json: Value = serde_json::from_slice(&run_rules(&["status", "--json", "--at", &at]).stdout).unwrap();
    let committed = &json[0]["status"]["committee"]["standing"];
    assert_eq!((&committed["version"], &committed["last"]), (&5.into(), &5.into()));
    // The worker pool was warm, so the slow start is over.
    assert_eq!(json[0]["status"]["start"]["phase"], "full", "{}", json[0]["status"]["start"]);
    // No server listens at this address.
    assert_eq!(run_rules(&["status", "--at", "127.0.0.1:1"]).status.code(), Some(2));
    drop(_running);
    let _ = std::fs::remove_dir_all(keep);
}

#[test]
fn a_version_published_while_another_is_being_decided_takes_effect_after_it() {
    // Messages between servers take so long that the first version is still being decided when the second is read.
    let steps = "at 0.5 \"delay\" with=\"peers\" ms=15 for=8\n\
        at 2 \"rules\" set=\"licence-buy.points=6\"\nat 2.05 \"rules\" set=\"licence-buy.points=7\"\n\
        rules within-ms=2000\n";
    let outcome = play("overlap", steps);
    assert_eq!(acted_on(&outcome), 3, "the first version and both that were published");
}

/// Publishes an invalid text of this kind and, several seconds later, two valid versions one after the other.
fn publishes_valid_versions_after_an_invalid_one(name: &str, kind: &str) {
    let steps = format!(
        "at 1 \"rules-broken\" kind=\"{kind}\"\nat 5.5 \"rules\" set=\"licence-buy.points=6\"\n\
        at 7 \"rules\" set=\"licence-buy.points=7\"\n"
    );
    let outcome = play(name, &steps);
    assert_eq!(acted_on(&outcome), 3, "the first version and both valid ones that were published");
}

/// Guards against reads of the membership service that become less frequent the longer an invalid text is published:
/// the first valid version was then replaced before it had been read.
#[test]
fn a_version_published_after_an_invalid_one_takes_effect_before_the_next_replaces_it() {
    publishes_valid_versions_after_an_invalid_one("after-invalid", "cut");
}

/// As above, with a text that is too long to be read.
#[test]
fn a_version_published_after_an_overlong_one_takes_effect_before_the_next_replaces_it() {
    publishes_valid_versions_after_an_invalid_one("after-overlong", "long");
}
