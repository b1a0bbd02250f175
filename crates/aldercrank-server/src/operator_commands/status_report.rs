//! Prints the status of a server as text. Its JSON fields are written by `net::config_agreement::status`.

use serde_json::Value as Json;

/// A string without its quotes; any other value as JSON.
fn unquoted(value: &Json) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn seconds(milliseconds: &Json) -> String {
    format!("{:.1} s", milliseconds.as_f64().unwrap_or_default() / 1e3)
}

fn elements(value: &Json) -> impl Iterator<Item = &Json> {
    value.as_array().into_iter().flatten()
}

/// Prints a server's status to standard output.
pub(super) fn print_status(status: &Json) {
    println!("{}: {}, {}", unquoted(&status["server"]), version(status), permission(status));
    let start = &status["start"];
    if let Some(share) = start["share"].as_f64().filter(|share| *share < 1.0) {
        println!(
            "  {}, offers {:.0} %: {}",
            unquoted(&start["phase"]),
            share * 100.0,
            unquoted(&start["why"])
        );
    }
    if let Some(why) = status["misfit"].as_str() {
        println!("  can't apply this version: {why}");
    }
    let committee = &status["committee"];
    if !committee.is_null() {
        print_committee(committee);
    }
}

fn version(status: &Json) -> String {
    let committed = &status["standing"];
    if committed.is_null() {
        return "no version known".to_string();
    }
    format!(
        "version {} ({}) since {}",
        committed["version"],
        unquoted(&committed["digest"]),
        seconds(&status["since_ms"])
    )
}

fn permission(status: &Json) -> String {
    match status["level"].as_str() {
        Some("full") => format!("lease {}", seconds(&status["lease_ms"])),
        Some("alone") => "out of touch: does what may run again, and nothing else".to_string(),
        _ => "takes nothing".to_string(),
    }
}

fn print_committee(committee: &Json) {
    let members: Vec<String> = elements(&committee["members"]).map(unquoted).collect();
    let state = match (committee["sound"].as_bool(), committee["vouches"].as_bool()) {
        (Some(true), Some(true)) => "vouches for what stands",
        (Some(true), _) => "not confirmed by a majority",
        _ => "remembers nothing yet, and is silent",
    };
    println!("  on the committee of {}: {state}", members.join(", "));
    if let Some(proposed) = committee["draft"].as_u64() {
        println!("  version {proposed} proposed: {}", unquoted(&committee["held_up"]));
    }
    for conflict in elements(&committee["at_odds"]) {
        println!("  member with a different version of the same number: {}", unquoted(conflict));
    }
    for refused in elements(&committee["refused"]) {
        println!("  version {} refused: {}", refused["version"], unquoted(&refused["why"]));
    }
    elements(&committee["servers"]).for_each(print_follower);
}

fn print_follower(server: &Json) {
    let proposed = &server["weighed"];
    let confirmation = match (proposed.is_null(), proposed["refuses"].as_str()) {
        (true, _) => String::new(),
        (_, None) => format!(", holds {}", proposed["version"]),
        (_, Some(why)) => format!(", refuses {}: {why}", proposed["version"]),
    };
    println!(
        "  {:<12} version {}, heard {} ago, lease {}{confirmation}",
        unquoted(&server["name"]),
        server["last"],
        seconds(&server["heard_ms"]),
        seconds(&server["lease_ms"])
    );
}
