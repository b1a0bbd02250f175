//! Errors in scenario documents, and the reproducibility of random numbers.

use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::scenario::Scenario;

/// The first random number of the stream `anchor` of seed 1.
const ANCHOR: u64 = 13366971278353767537;

#[test]
fn each_error_in_a_scenario_is_reported_with_its_position() {
    let text = "seconds 5\nfleet servers=4 zonse=2\nat 1 \"kil\" server=\"n1\"\nat 2 \"kill\" server=\"n9\"\n\
                at 2 \"cut\" way=\"sideways\"\nat 2 \"index\" state=\"slow\"\ncallers rate=-1\nflet servers=1\n";
    let errors: Vec<String> =
        Scenario::parse(text).unwrap_err().0.iter().map(|error| error.to_string()).collect();
    let expected = [
        "2:17: zonse is not known; did you mean zones?",
        "3:6: kil is not known; did you mean kill?",
        "4:1: at: no server n9: servers are n1 to n4",
        "5:1: at: needs with=, one of pool, index, list, edges",
        "5:12: sideways is not known",
        "6:1: at: state=\"slow\" needs by=, the factor by which calls take longer",
        "7:9: rate takes a number from 0.1 to 1000000, found -1",
        "8:1: flet is not known; did you mean fleet?",
    ];
    for line in expected {
        assert!(errors.iter().any(|error| error.starts_with(line)), "{line} not in\n{}", errors.join("\n"));
    }
}

#[test]
fn a_contradictory_scenario_is_rejected_with_its_reason() {
    let error = |text: &str| Scenario::parse(text).unwrap_err().to_string();
    assert!(error("seconds 2\nat 3 \"kill\"").contains("the run ends after 2 s"));
    assert!(error("fleet servers=2 zones=3").contains("more zones than servers"));
    assert!(
        error("callers edges=400 connections=4").contains("lower edges= or connections=, or raise sockets=")
    );
    assert!(error("product \"map-extract\" share=0\nproduct \"licence-buy\" share=0")
        .contains("no requests would be sent"));
    assert!(error("at 1 \"index\" state=\"dead\" zone=\"a\"").contains("remove server=, share= or zone="));
}

#[test]
fn the_same_seed_gives_the_same_random_numbers() {
    let numbers = |seed: u64| -> Vec<u64> {
        let mut random = RandomStream::of(seed, "x");
        (0..4).map(|_| random.next_u64()).collect()
    };
    assert_eq!(numbers(7), numbers(7));
    assert_ne!(numbers(7), numbers(8));
    // The generator is portable: a seed yields the same numbers on every machine.
    assert_eq!(RandomStream::of(1, "anchor").next_u64(), ANCHOR);
    let scenario = Scenario::parse("seed 3\nat 1 \"kill\" share=0.5").unwrap();
    assert_eq!(scenario.reached(0), scenario.reached(0));
    assert_eq!(scenario.reached(0).len(), 4);
}
