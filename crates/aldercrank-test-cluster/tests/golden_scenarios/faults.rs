//! Golden files of invalid scenarios: each document, then its errors with their line and column.

use crate::compare;
use aldercrank_test_cluster::scenario::Scenario;
use std::path::{Path, PathBuf};

/// Documents with malformed nodes and properties.
const MALFORMED_NODES: [&str; 24] = [
    "flet servers=1",
    "zzzzzz 1",
    "fleet servers=4 zonse=2",
    "fleet servers=0\nfleet zones=27\nfleet cores=0.5\nfleet sockets=31\nfleet cold=1\nfleet cold-from=\"x\"",
    "fleet 3 servers=4",
    "fleet servers=4 {\n a\n}",
    "name",
    "name 3",
    "name \"a\" \"b\"",
    "seed -1",
    "seed \"x\"\nseconds 0.4\nseconds",
    "from-start 1",
    "product",
    "product 4",
    "product \"map-extract\" effect=\"refrenced\" share=-1 late=2 body=2049",
    "callers rate=-1 choose=\"stiky\" tries=0 heeds=1 again=\"yes\"",
    "index slots=0 take-ms=#null\nlist capacity=0 lag-ms=20001 learn-ms=9",
    "rules committee=0 within-ms=499 alone-ms=999 disks=1 set=3",
    "start tell-share=1\nstart tell-shaer=#true",
    "bounds value=1.1 of-calm=2.1 acros=0",
    "sabotage\nsabotage \"overun\"\nsabotage 3",
    "include\ninclude 3\ninclude \"base.kdl\"",
    "seconds 5\nfleet {",
    "name \"not closed",
];

/// Documents with malformed steps of the timeline.
const MALFORMED_STEPS: [&str; 37] = [
    "at",
    "at \"kill\"",
    "at 1",
    "at 1 3",
    "at -1 \"kill\"",
    "at 1 \"kil\"",
    "at 1 \"kill\" server=\"n9\"",
    "at 1 \"kill\" server=\"n0\"",
    "at 1 \"kill\" server=\"server\"",
    "at 1 \"kill\" server=3",
    "at 1 \"kill\" zone=\"c\"",
    "at 1 \"kill\" share=1.5",
    "at 1 \"kill\" server=\"n1\" share=0.5",
    "at 1 \"kill\" for=0.01",
    "at 1 \"kill\" fro=2",
    "at 1 \"kill\" \"leave\"",
    "at 1 \"leave\" for=2",
    "at 1 \"slow\"",
    "at 1 \"slow\" to=0",
    "at 1 \"err\"\nat 1 \"pool-late\"\nat 1 \"pool-resets\"",
    "at 1 \"delay\" with=\"pool\"",
    "at 1 \"delay\" ms=3",
    "at 1 \"cut\" with=\"indx\" way=\"sideways\"",
    "at 1 \"reset\" with=\"pool\"\nat 1 \"half\" with=\"pool\"\nat 1 \"trickle\" with=\"pool\"",
    "at 1 \"garble\" with=\"pool\"",
    "at 1 \"refuse\"\nat 1 \"unread\"",
    "at 1 \"index\"",
    "at 1 \"index\" state=\"slow\"",
    "at 1 \"index\" state=\"sloww\"",
    "at 1 \"index\" state=\"dead\" zone=\"a\"",
    "at 1 \"list\"\nat 1 \"list\" state=\"up\"",
    "at 1 \"list-capacity\"\nat 1 \"list-old\"\nat 1 \"edges-restart\"\nat 1 \"rate\"",
    "at 1 \"rules\"\nat 1 \"rules\" set=\"a.b=1\" for=2",
    "at 1 \"rules-broken\" kind=\"short\"",
    "at 1 \"signals\"",
    "at 1 \"signals\" send=\"hup trem\" gap-ms=-1",
    "at 1 \"idle-connections\" for=2",
];

/// Documents that are well-formed but contradict themselves.
const CONTRADICTORY: [&str; 11] = [
    "product \"map-extract\" share=0\nproduct \"licence-buy\" share=0",
    "product \"map-extract\" sla-ms=900 expiry-ms=800",
    "seconds 2\nat 3 \"kill\"",
    "seconds 2\nat 2 \"kill\"",
    "at 1 \"rules\" set=\"licence-buy.points=6\"",
    "at 1 \"rules-withdraw\"",
    "at 1 \"rules-broken\"",
    "at 1 \"rules-old\"",
    "fleet servers=2\nrules committee=3",
    "fleet servers=2 zones=3",
    "callers edges=400 connections=4",
];

fn errors_of(text: &str) -> String {
    match Scenario::parse(text) {
        Ok(_) => "  can be played\n".to_string(),
        Err(errors) => errors.0.iter().map(|error| format!("  fault {error}\n")).collect(),
    }
}

fn blocks(texts: &[&str]) -> String {
    let numbered = (1..).zip(texts);
    numbered.map(|(n, text)| format!("== {n}\n{text}\n--\n{}\n", errors_of(text))).collect()
}

#[test]
fn malformed_nodes_are_reported_as_recorded() {
    compare::check("scenarios/faults/nodes.txt", &blocks(&MALFORMED_NODES));
}

#[test]
fn malformed_steps_are_reported_as_recorded() {
    compare::check("scenarios/faults/steps.txt", &blocks(&MALFORMED_STEPS));
}

#[test]
fn contradictory_scenarios_are_rejected_as_recorded() {
    compare::check("scenarios/faults/senseless.txt", &blocks(&CONTRADICTORY));
}

/// Creates a temporary directory with these files.
fn folder_with(files: &[(&str, &str)]) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("golden-scenarios-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    files.iter().for_each(|(name, text)| std::fs::write(folder.join(name), text).unwrap());
    folder
}

/// The result of loading a file, with the directory's path replaced by `FOLDER`.
fn loaded(folder: &Path, name: &str) -> String {
    let decoded = match Scenario::load(&folder.join(name)) {
        Ok(scenario) => format!(
            "  decoded: name {:?}, seed {}, servers {}\n",
            scenario.name, scenario.seed, scenario.fleet.servers
        ),
        Err(errors) => errors.0.iter().map(|error| format!("  fault {error}\n")).collect(),
    };
    format!("== {name}\n{}\n", decoded.replace(folder.to_str().unwrap(), "FOLDER"))
}

#[test]
fn included_files_are_read_and_their_errors_reported_as_recorded() {
    let files = [
        ("base.kdl", "name \"base\"\nseed 5\nfleet servers=6\n"),
        ("over-base.kdl", "include \"base.kdl\"\nname \"over\"\n"),
        ("base-last.kdl", "name \"over\"\nseed 9\ninclude \"base.kdl\"\n"),
        ("bad.kdl", "seed 1\nfleet servres=6\n"),
        ("over-bad.kdl", "include \"bad.kdl\"\nnaem \"over\"\n"),
        ("over-missing.kdl", "seed 1\ninclude \"missing.kdl\"\n"),
        ("itself.kdl", "include \"itself.kdl\"\n"),
        ("over-senseless.kdl", "include \"base.kdl\"\nseconds 1\nat 2 \"kill\"\n"),
    ];
    let folder = folder_with(&files);
    let output: String =
        files.iter().map(|(name, text)| format!("{text}{}", loaded(&folder, name))).collect();
    let output = output + &loaded(&folder, "absent.kdl");
    std::fs::remove_dir_all(&folder).unwrap();
    compare::check("scenarios/faults/included.txt", &output);
}
