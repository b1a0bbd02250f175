//! Faults of scenarios, and the random numbers of a run.

use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::scenario::Scenario;

/// The first number of the stream "anchor" of seed 1.
const ANCHOR: u64 = 13366971278353767537;

#[test]
fn each_fault_of_a_scenario_is_reported_at_its_place() {
    let text = "seconds 5\nfleet servers=4 zonse=2\nat 1 \"kil\" server=\"n1\"\nat 2 \"kill\" server=\"n9\"\n\
                at 2 \"cut\" way=\"sideways\"\nat 2 \"index\" state=\"slow\"\ncallers rate=-1\nflet servers=1\n";
    let errors: Vec<String> =
        Scenario::parse(text).unwrap_err().0.iter().map(|error| error.to_string()).collect();
    let expect = [
        "2:17: zonse is not known; did you mean zones?",
        "3:6: kil is not known; did you mean kill?",
        "4:1: at: n9 is none of n1 to n4",
        "5:1: at: needs with=, one of pool, index, list, edges",
        "5:12: sideways is not known",
        "6:1: at: slow needs by=, how many times as long a call takes",
        "7:9: rate takes a number from 0.1 to 1000000, found -1",
        "8:1: flet is not known; did you mean fleet?",
    ];
    for line in expect {
        assert!(errors.iter().any(|w| w.starts_with(line)), "{line} not in\n{}", errors.join("\n"));
    }
}

#[test]
fn a_contradictory_scenario_is_refused_with_its_reason() {
    let refused = |text: &str| Scenario::parse(text).unwrap_err().to_string();
    assert!(refused("seconds 2\nat 3 \"kill\"").contains("the run is over after 2 s"));
    assert!(refused("fleet servers=2 zones=3").contains("more zones than servers"));
    assert!(refused("callers edges=400 connections=4").contains("fewer, or more sockets"));
    assert!(refused("product \"map-extract\" share=0\nproduct \"licence-buy\" share=0").contains("nobody"));
    assert!(refused("at 1 \"index\" state=\"dead\" zone=\"a\"").contains("takes no server, share or zone"));
}

#[test]
fn the_same_seed_gives_the_same_random_numbers() {
    let numbers = |seed: u64| -> Vec<u64> {
        let mut random = RandomStream::of(seed, "x");
        (0..4).map(|_| random.next_u64()).collect()
    };
    assert_eq!(numbers(7), numbers(7));
    assert_ne!(numbers(7), numbers(8));
    // The generator is portable: these numbers are the same on every machine.
    assert_eq!(RandomStream::of(1, "anchor").next_u64(), ANCHOR);
    let scenario = Scenario::parse("seed 3\nat 1 \"kill\" share=0.5").unwrap();
    assert_eq!(scenario.reached(0), scenario.reached(0));
    assert_eq!(scenario.reached(0).len(), 4);
}
