//! Small scenarios with several server processes and faults between them, and tests of the test cluster itself: with
//! invalid scenarios, too few descriptors, a server that ignores SIGTERM, and when it is killed.

use crate::common::{command, dir, fleet, play_unbroken, program, TESTBENCH};
use serde_json::Value;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const FLEET: &str = "seconds 4\nfleet servers=4 zones=2 cores=4\ncallers rate=80 edges=3\n";

/// Plays these steps and asserts that no rule is broken. Returns the outcome.
fn play(name: &str, steps: &str) -> Value {
    let outcome = play_unbroken(name, &format!("{FLEET}{steps}"));
    assert!(outcome["counts"]["completed"].as_u64() > Some(100), "{outcome}");
    outcome
}

fn value(outcome: &Value) -> f64 {
    outcome["value"].as_f64().unwrap()
}

/// The number of processes with this text in their command line.
fn count_processes(text: &str) -> usize {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let lines = all.filter_map(|p| std::fs::read(p.path().join("cmdline")).ok());
    lines.filter(|line| String::from_utf8_lossy(line).contains(text)).count()
}

#[test]
fn a_retried_keyed_request_runs_once_on_each_incarnation_when_its_server_is_paused_partitioned_or_killed() {
    // These callers retry keyed requests even after a failure. A server prevents duplicate runs only within its own
    // incarnation; duplicates on another one are prevented by callers that do not retry, as in the second scenario.
    let retrying = "callers again=#true\nat 0.8 \"stop\" server=\"n1\" for=1\n\
        at 1 \"cut\" server=\"n2\" with=\"edges\" way=\"from\" for=1\nat 1.2 \"kill\" server=\"n3\" for=0.3\n";
    let outcome = play("again", retrying);
    assert_eq!(outcome["starts"], 5);
    let without_retries = play("heeding", &retrying.replace("again=#true", "again=#false"));
    assert_eq!(
        without_retries["counts"]["across"], 0,
        "no request runs on two incarnations if callers do not retry after a failure"
    );
}

#[test]
fn a_server_paused_with_half_written_responses_resumes_where_it_was() {
    let steps = "at 1 \"trickle\" server=\"n1\" with=\"edges\" way=\"from\" rate=3000 for=1.5\n\
        at 1.2 \"stop\" server=\"n1\" for=0.8\nat 1 \"unread\" server=\"n2\" with=\"edges\" for=1\n";
    play("half-written", steps);
}

#[test]
fn a_restarted_server_serves_while_edge_nodes_still_have_the_old_connection() {
    let steps = "at 0.8 \"cut\" server=\"n1\" with=\"edges\" way=\"from\" for=1.5\n\
        at 1 \"kill\" server=\"n1\" for=0.1\nat 1.6 \"kill\" server=\"n1\" for=0.1\n";
    let outcome = play("old-connection", steps);
    assert_eq!(outcome["starts"], 6);
}

#[test]
fn a_stale_and_a_wrong_endpoint_list_cost_attempts_and_lose_no_request() {
    let steps = "seconds 6\nlist lag-ms=300\nat 0.5 \"list-wrong\" for=2\nat 2.5 \"list-old\" by=10 for=3\n\
        at 3 \"kill\" server=\"n1\" for=2\n";
    let outcome = play("old-list", steps);
    assert!(value(&outcome) > 0.7, "{}", value(&outcome));
}

#[test]
fn a_failed_start_and_a_malformed_configuration_do_not_affect_other_servers() {
    let steps = "at 0.5 \"bad-config\" server=\"n1\"\nat 1 \"bad-start\" server=\"n2\" for=1\n";
    let outcome = play("bad-start", steps);
    assert_eq!(outcome["starts"], 6, "four first starts, the start that fails and the one after it");
    assert!(value(&outcome) > 0.8, "{}", value(&outcome));
}

#[test]
fn restarts_of_worker_pools_and_the_index_break_no_rule() {
    let steps = "at 0.6 \"pool-gone\" share=0.5 for=0.5\nat 1.4 \"index\" state=\"dead\" for=0.5\n\
        at 2 \"index\" state=\"hung\" for=0.5\nat 2.6 \"err\" share=0.5 share-of-runs=0.8 for=0.6\n\
        at 0.5 \"delay\" with=\"pool\" ms=15 jitter=1 for=3\n";
    play("pools", steps);
}

#[test]
fn a_server_that_ignores_sigterm_is_reported_and_killed() {
    let script = dir("deaf").join("deaf");
    // The shell ignores SIGTERM; the server below it is killed when the shell ends.
    let text = format!("#!/bin/sh\ntrap '' TERM\n{TESTBENCH} hold $$ {} \"$@\"\n", program().display());
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    let text = "seconds 1\nfleet servers=2 stop-ms=400 grace-ms=100\ncallers rate=20 edges=1\n";
    let output = command("deaf", text, &script, &["--json"]).output().unwrap();
    let _ = std::fs::remove_dir_all(dir("deaf"));
    let all: Value = serde_json::from_slice(&output.stdout).unwrap();
    let broken = all["outcome"]["broken"].as_array().unwrap();
    let reported = broken
        .iter()
        .filter(|b| b["what"] == "the server did not exit in time after it was asked to shut down")
        .count();
    assert_eq!((output.status.code(), reported), (Some(1), 2), "{all}");
}

#[test]
fn a_scenario_that_cannot_be_played_is_rejected_before_anything_starts() {
    let output_text = |name: &str, text: &str, program: &Path| {
        let output = command(name, text, program, &[]).output().unwrap();
        let _ = std::fs::remove_dir_all(dir(name));
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let program = program();
    let invalid = output_text("faults", "fleet servers=0\nat 1 \"kil\"\n", &program);
    assert!(invalid.contains("scenario.kdl:1:7: servers takes a number"), "{invalid}");
    assert!(invalid.contains("scenario.kdl:2:6: kil is not known; did you mean kill?"), "{invalid}");
    let absent = output_text("absent", "include \"nothing.kdl\"\n", &program);
    assert!(absent.contains("nothing.kdl: No such file"), "{absent}");
    let circular = output_text("round", "include \"scenario.kdl\"\n", &program);
    assert!(circular.contains("more than 8 deep"), "{circular}");
    let no_program = output_text("none", FLEET, Path::new("/nowhere/aldercrank"));
    assert!(no_program.contains("no such program"), "{no_program}");
}

#[test]
fn a_test_cluster_without_descriptors_reports_it_and_leaves_no_process() {
    let cluster = command("descriptors", FLEET, &program(), &[]);
    let words: Vec<String> = std::iter::once(cluster.get_program())
        .chain(cluster.get_args())
        .map(|w| w.to_string_lossy().into_owned())
        .collect();
    let script = format!("ulimit -n 64; exec {}", words.join(" "));
    let output = Command::new("/bin/sh").arg("-c").arg(script).output().unwrap();
    let _ = std::fs::remove_dir_all(dir("descriptors"));
    let output_text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{output_text}");
    assert!(output_text.contains("file descriptors, but the limit is 64:"), "{output_text}");
}

#[test]
fn no_process_is_left_when_the_test_cluster_is_killed() {
    let keep = dir("killed").join("run").to_string_lossy().into_owned();
    let text = format!("{FLEET}at 0.3 \"stop\" server=\"n2\" for=3\n");
    let mut cluster =
        command("killed", &text, &program(), &["--keep", &keep]).stderr(Stdio::null()).spawn().unwrap();
    let until = Instant::now() + Duration::from_secs(20);
    let servers = || count_processes(&format!("{keep}/n"));
    while servers() < 4 {
        assert!(Instant::now() < until, "{} of 4 servers", servers());
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(2000));
    cluster.kill().unwrap();
    cluster.wait().unwrap();
    let until = Instant::now() + Duration::from_secs(5);
    while servers() > 0 {
        assert!(Instant::now() < until, "{} servers are left; one of them was stopped", servers());
        std::thread::sleep(Duration::from_millis(20));
    }
    let _ = std::fs::remove_dir_all(dir("killed"));
}

#[test]
fn one_request_is_traced_through_a_kept_run() {
    let keep = dir("kept-run");
    let output = fleet("kept", FLEET, &["--json", "--keep", &keep.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    let why = |request: &str| {
        let output = Command::new(TESTBENCH).arg("why").arg(&keep).arg(request).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (code, trace) = why("20");
    assert_eq!(code, Some(0), "{trace}");
    assert!(trace.contains(" sent attempt ") && trace.contains("ended for its caller: "), "{trace}");
    // Fields are in alphabetical order, so `attempt` comes before `class`.
    assert!(
        trace.contains("logs: request received attempt=")
            && trace.contains(" class=")
            && trace.contains("logs: run ended"),
        "{trace}"
    );
    assert_eq!(why("999999").0, Some(1));
    std::fs::write(keep.join("trace.jsonl"), "{\"us\": 1,").unwrap();
    assert_eq!(why("20").0, Some(2), "a truncated trace");
    let _ = std::fs::remove_dir_all(keep);
}
