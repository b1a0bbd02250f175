//! Versions of the configuration on a cluster of several processes with faults between them, and the operators' commands.

use crate::common::{dir, fleet, program, unbroken, LAB};
use serde_json::Value;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const BASE: &str = "seconds 9\nfleet servers=7 zones=3 cores=4\nrules committee=3 within-ms=1000\n\
    product \"map-extract\" share=0.7 work-ms=10\nproduct \"licence-buy\" share=0.3 work-ms=15\n\
    callers rate=250 edges=4 choose=\"two-choices\"\nlist capacity=800 lag-ms=300\n";

/// Plays it; no rule may be broken, that on conflicting versions among them. Gives its outcome.
fn plays(name: &str, steps: &str) -> Value {
    let outcome = unbroken(name, &format!("{BASE}{steps}"));
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
fn half_of_the_servers_are_replaced_while_a_version_is_proposed() {
    // One stands stopped and does not say whether it holds it, so the version waits for its time.
    let steps = "at 2 \"stop\" server=\"n6\" for=1.5\nat 2.1 \"rules\" set=\"licence-buy.window-ms=5000\"\n\
        at 2.15 \"kill\" server=\"n4\" for=0.3\nat 2.15 \"kill\" server=\"n5\" for=0.3\n\
        at 2.2 \"kill\" server=\"n7\" for=0.3\nat 2.25 \"leave\" server=\"n2\"\n\
        at 5 \"rules\" set=\"licence-buy.window-ms=6000\"\n";
    assert_eq!(acted_on(&plays("replaced", steps)), 3);
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
    assert!(value(outcome) > 0.95, "nobody is the worse for it: {}", value(outcome));
    let output_text = std::fs::read_to_string(keep.join("n1.1.log")).unwrap();
    assert!(
        output_text.contains("configuration version at the membership service is invalid; ignoring it"),
        "{output_text}"
    );
    let _ = std::fs::remove_dir_all(keep);
}

#[test]
fn a_queued_keyed_request_is_rejected_by_a_server_paused_for_longer_than_its_lease() {
    // Few cores and slow runs: requests are held when it is stopped. Versions change their window meanwhile.
    let steps = "fleet cores=1 memory-kb=60000\nproduct \"licence-buy\" share=0.6 work-ms=60 sla-ms=1800 expiry-ms=4000\n\
        callers rate=90 again=#true\nat 1 \"rules\" set=\"licence-buy.window-ms=5000|licence-buy.window-ms=6000\" every=0.8 for=7\n\
        at 2 \"stop\" share=0.4 for=1.8\nat 5 \"stop\" share=0.4 for=1.5\n";
    let outcome = plays("stopped", steps);
    assert!(acted_on(&outcome) >= 5, "{}", outcome["agree"]);
}

#[test]
fn a_reload_and_a_new_version_at_the_same_time_do_not_interfere() {
    let steps = "at 2 \"rules\" set=\"licence-buy.window-ms=5000\"\nat 2 \"bad-config\"\n\
        at 2.005 \"bad-config\" server=\"n1\"\nat 4 \"rules\" set=\"licence-buy.points=4\"\n";
    let outcome = plays("sighup", steps);
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
    let outcome = plays("committee-cut", steps);
    assert!(acted_on(&outcome) >= 6, "{}", outcome["agree"]);
}

#[test]
fn a_scenario_that_publishes_versions_without_a_configuration_is_rejected_before_anything_starts() {
    let output = fleet("no-rules", "seconds 4\nat 1 \"rules\" set=\"licence-buy.points=6\"\n", &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("the scenario has no versioned configuration"));
}

/// A cluster that runs beside a test and ends with it.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn rules(args: &[&str]) -> Output {
    Command::new(program()).arg("rules").args(args).output().unwrap()
}

fn out(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Tries until it comes out so, for some seconds.
fn until(what: &str, mut so: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !so() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The version in `file` with another number, and one text in place of another.
fn version(file: &Path, number: u64, from: &str, to: &str, into: &Path) -> String {
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
    let fleet = Command::new(LAB)
        .args(["fleet", "--quiet", "--program"])
        .arg(program())
        .arg("--keep")
        .arg(&keep)
        .arg(&scenario)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let _running = Running(fleet);
    let genesis = keep.join("rules.kdl");
    until("the fleet writes its book", || genesis.is_file());
    let config: Value = {
        until("n1 has a configuration", || keep.join("n1.json").is_file());
        serde_json::from_str(&std::fs::read_to_string(keep.join("n1.json")).unwrap()).unwrap()
    };
    let (at, list) =
        (config["listen"].as_str().unwrap().to_string(), config["members"].as_str().unwrap().to_string());
    until("n1 vouches", || out(&rules(&["status", "--at", &at])).contains("vouches for what stands"));
    // A version that differs, as people see it.
    let next = |n: u64, from: &str, to: &str| version(&genesis, n, from, to, &keep.join(format!("v{n}.kdl")));
    let second = next(2, "window-ms 6000", "window-ms 5000");
    let diff = rules(&["diff", &genesis.to_string_lossy(), &second]);
    assert_eq!(
        (diff.status.code(), out(&diff).trim()),
        (Some(1), "fenced product.licence-buy.window-ms: 6000 -> 5000")
    );
    let good = rules(&["propose", &second, "--to", &list, "--at", &at]);
    assert_eq!((good.status.code(), out(&good).trim()), (Some(0), "version 2 is in force"));
    assert!(out(&rules(&["show", "--at", &at])).contains("window-ms 5000"));
    // One that no server can go by, one whose number has been used, one that can't be read.
    let odd = next(3, "product \"licence-buy\"", "product \"licence-rent\"");
    let refused = rules(&["propose", &odd, "--to", &list, "--at", &at]);
    assert_eq!(refused.status.code(), Some(1), "{}", out(&refused));
    assert!(
        out(&refused).contains("refuses it: product.licence-rent: this server has no such product"),
        "{}",
        out(&refused)
    );
    let status = out(&rules(&["status", "--at", &at]));
    assert!(status.contains("n1: version 2") && status.contains("version 3 refused:"), "{status}");
    let used = rules(&["propose", &second, "--to", &list, "--at", &at]);
    assert_eq!(used.status.code(), Some(0), "what is in force already is: {}", out(&used));
    std::fs::write(keep.join("bad.kdl"), "rules 9 {\n    comittee { n1 \"x\"; }\n}\n").unwrap();
    let bad = rules(&["check", &keep.join("bad.kdl").to_string_lossy()]);
    assert_eq!(bad.status.code(), Some(1));
    assert!(
        out(&bad).contains("bad.kdl:2:5: comittee is not known; did you mean committee?"),
        "{}",
        out(&bad)
    );
    // Taken back before anybody has read it, as it is weighed, or too late: the next one takes effect all the same.
    let fourth = next(4, "offered #true", "offered #false");
    assert_eq!(rules(&["propose", &fourth, "--to", &list]).status.code(), Some(0));
    assert_eq!(rules(&["withdraw", "--to", &list]).status.code(), Some(0));
    let fifth = next(5, "window-ms 6000", "window-ms 7000");
    let after = rules(&["propose", &fifth, "--to", &list, "--at", &at]);
    assert_eq!((after.status.code(), out(&after).trim()), (Some(0), "version 5 is in force"));
    let json: Value = serde_json::from_slice(&rules(&["status", "--json", "--at", &at]).stdout).unwrap();
    let committed = &json[0]["status"]["committee"]["standing"];
    assert_eq!((&committed["version"], &committed["last"]), (&5.into(), &5.into()));
    // Its pool was warm, so its start is over.
    assert_eq!(json[0]["status"]["start"]["phase"], "full", "{}", json[0]["status"]["start"]);
    // Nobody listens there, and a server without a versioned configuration.
    assert_eq!(rules(&["status", "--at", "127.0.0.1:1"]).status.code(), Some(2));
    drop(_running);
    let _ = std::fs::remove_dir_all(keep);
}

#[test]
fn a_version_published_while_another_is_being_decided_takes_effect_after_it() {
    // Messages between servers take so long that the first version is still being decided when the second is read.
    let steps = "at 0.5 \"delay\" with=\"peers\" ms=15 for=8\n\
        at 2 \"rules\" set=\"licence-buy.points=6\"\nat 2.05 \"rules\" set=\"licence-buy.points=7\"\n\
        rules within-ms=2000\n";
    let outcome = plays("overlap", steps);
    assert_eq!(acted_on(&outcome), 3, "the first version and both that were published");
}

/// Publishes an invalid text of this kind and, while it has stood for some seconds, two versions one after the other.
fn publishes_valid_versions_after_an_invalid_one(name: &str, kind: &str) {
    let steps = format!(
        "at 1 \"rules-broken\" kind=\"{kind}\"\nat 5.5 \"rules\" set=\"licence-buy.points=6\"\n\
        at 7 \"rules\" set=\"licence-buy.points=7\"\n"
    );
    let outcome = plays(name, &steps);
    assert_eq!(acted_on(&outcome), 3, "the first version and both valid ones that were published");
}

/// Guards against reads of the membership service that grow rarer the longer an invalid text stands there.
#[test]
fn a_version_published_after_an_invalid_one_takes_effect_before_the_next_replaces_it() {
    publishes_valid_versions_after_an_invalid_one("after-invalid", "cut");
}

/// The same where the text is too long to be read.
#[test]
fn a_version_published_after_an_overlong_one_takes_effect_before_the_next_replaces_it() {
    publishes_valid_versions_after_an_invalid_one("after-overlong", "long");
}
