//! Instances started with usual, missing and invalid settings: the log lines about the settings, and the actions that
//! follow.

use crate::batches::{power_on, Transcript};

const REQUEST: &str =
    r#"{"t":"NewRequest","request_id":1,"cls":"look","user_group":"a","by":17,"footprint":9.0}"#;

/// Records the start of an instance, a request, and the timer.
fn instance_start(transcript: &mut Transcript, title: &str, start: &str) {
    transcript.section(title);
    transcript.items("PowerOn", 1_000_000, start);
    transcript.items("a request", 1_100_000, REQUEST);
    transcript.items("the timer", 2_500_000, r#"{"t":"Alarm","tag":"tick","pressure":[0.62,3]}"#);
}

/// The start of an instance with these settings.
fn power_on_with(env: &str) -> String {
    format!(r#"{{"t":"PowerOn","salt":5,"env":{env}}}"#)
}

const OTHER_SETTINGS: [(&str, &str); 16] = [
    ("empty settings", "{}"),
    ("settings of null", "null"),
    ("settings that are a list", "[1,2]"),
    ("settings that are a number", "5"),
    ("everything of another kind", r#"{"family_info":5,"rules":"x","profiles":{"name":"look"},"tick":"x"}"#),
    ("a class by its name alone", r#"{"profiles":[{"name":"look"}]}"#),
    ("a class without a name", r#"{"profiles":[{"effect":"dedup"},{"name":"look"}]}"#),
    ("a class of an unknown effect", r#"{"profiles":[{"name":"look","effect":"magic"}]}"#),
    ("a class that is not offered", r#"{"profiles":[{"name":"look","effect":"retryable","offered":false}]}"#),
    ("out of service", r#"{"rules":{"in_service":false},"profiles":[{"name":"look","effect":"retryable"}]}"#),
    (
        "a caller turned away",
        r#"{"rules":{"turned_away":[5,17]},"profiles":[{"name":"look","effect":"retryable"}]}"#,
    ),
    (
        "a tenant beyond its share",
        r#"{"over_share_worth":0.1,"peers_total":2,"tenants":[{"name":"a","quota_per_s":0}],"profiles":[{"name":"look","effect":"retryable"}]}"#,
    ),
    ("a tick of half a second", r#"{"tick":500000,"profiles":[{"name":"look","effect":"retryable"}]}"#),
    (
        "dedup with a window",
        r#"{"profiles":[{"name":"look","effect":"dedup","window":7000000,"give_up":2000000,"goal_time":1000000}]}"#,
    ),
    (
        "negative and huge numbers",
        r#"{"tick":-5,"family_info":{"cores":-1,"memory_kb":1e300},"profiles":[{"name":"look","give_up":-1,"goal_time":1e300}]}"#,
    ),
    (
        "memory for nothing",
        r#"{"family_info":{"memory_kb":1.0},"profiles":[{"name":"look","effect":"retryable"}]}"#,
    ),
];

/// Requests with and without a tenant in turn, more than can run: those beyond their tenant's share are rejected first.
fn tenants(transcript: &mut Transcript) {
    transcript.section("tenants, under load");
    let env = r#"{"over_share_worth":0.01,"peers_total":2,"tenants":[{"name":"a","quota_per_s":2}],"family_info":{"cores":1},"profiles":[{"name":"look","effect":"retryable","goal_time":1000000,"give_up":3000000}]}"#;
    transcript.items("PowerOn", 0, &power_on_with(env));
    for id in 1..12 {
        let tenant = ["", r#","user_group":"a""#, r#","user_group":"b""#][id % 3];
        let item = format!(r#"{{"t":"NewRequest","request_id":{id},"cls":"look","precedence":0.5{tenant}}}"#);
        transcript.items("a request", 100_000, &item);
    }
}

pub fn text() -> String {
    let mut transcript = Transcript::default();
    instance_start(&mut transcript, "usual settings", &power_on(""));
    instance_start(&mut transcript, "usual settings, cold", &power_on(r#","cold":true"#));
    instance_start(
        &mut transcript,
        "unknown settings beside",
        &power_on(r#","never_heard_of":[1,{"x":null}]"#),
    );
    instance_start(&mut transcript, "no settings at all", r#"{"t":"PowerOn"}"#);
    for (title, env) in OTHER_SETTINGS {
        instance_start(&mut transcript, title, &power_on_with(env));
    }
    tenants(&mut transcript);
    transcript.text
}
