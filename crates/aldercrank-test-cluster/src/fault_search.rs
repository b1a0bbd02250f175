//! Searches for harmful combinations of faults. Plays random timelines, compares each with a run of the same seed
//! without faults, and shrinks those that violate an invariant or lose much value to the steps that are needed for it.

use crate::random::RandomStream;
use crate::run_record::Outcome;
use crate::scenario::{Scenario, ScenarioErrors};
use std::io;
use std::time::{Duration, Instant};

/// The most steps of a random timeline.
const MAX_STEPS: usize = 4;
/// The number of findings that are kept.
const MAX_FINDINGS: usize = 5;
/// A timeline without a violation is a finding if its value is below this share of the value without faults.
const FINDING_SHARE: f64 = 0.6;
/// A step is removed from a timeline without violations if this raises its share of the value by no more than this.
const SHRINK_TOLERANCE: f64 = 0.1;

/// The scenario for servers without a versioned configuration.
const SERVERS_BASE: &str = "seconds 5\nfleet servers=6 zones=2 cores=4\ncallers rate=150 edges=3\n";
/// The scenario for servers with a versioned configuration. It continuously publishes versions, most of which change
/// more than free items.
const VERSIONS_BASE: &str = "seconds 8\nfleet servers=7 zones=2 cores=4\ncallers rate=200 edges=3\n\
    rules committee=3 within-ms=1000\nat 0.7 \"rules\" set=\"licence-buy.window-ms=5000|licence-buy.points=4|\
    licence-buy.window-ms=6000|licence-buy.effect=inquiry-like|licence-buy.effect=referenced\" every=0.45\n";

/// The kind of servers that faults are injected into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchTarget {
    /// Servers without a versioned configuration.
    Servers,
    /// Servers with a versioned configuration.
    Versions,
}

impl SearchTarget {
    fn base_document(self) -> &'static str {
        match self {
            SearchTarget::Servers => SERVERS_BASE,
            SearchTarget::Versions => VERSIONS_BASE,
        }
    }
}

/// The seed and target of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchStart {
    /// The seed, from which `hunt` derives one per timeline.
    pub seed: u64,
    /// The kind of servers that faults are injected into.
    pub target: SearchTarget,
}

impl SearchStart {
    /// The scenario document with these steps.
    fn document(self, steps: &[String]) -> String {
        let SearchStart { seed, target } = self;
        let base = target.base_document();
        let mut text = format!(
            "// Found by `aldercrank-testbench hunt`.\nname \"found with seed {seed}\"\nseed {seed}\n{base}"
        );
        for step in steps {
            text += step;
            text.push('\n');
        }
        text
    }
}

/// The result of a timeline that was played.
#[derive(Clone, Debug)]
pub struct Found {
    /// The scenario document.
    pub text: String,
    /// The value obtained, as a share of that without faults.
    pub of_calm: f64,
    /// The number of violations.
    pub violations: u64,
    /// Descriptions of the first violations.
    pub what: Vec<String>,
}

/// A random step, as a line of a document. For servers with a versioned configuration, 0.7 of them come from
/// `random_version_step`, later by up to 2 s.
fn random_step(random: &mut RandomStream, target: SearchTarget) -> String {
    let at = 0.5 + (random.unit() * 30.0).round() / 10.0;
    if target == SearchTarget::Versions && random.chance(0.7) {
        let later = (random.unit() * 20.0).round() / 10.0;
        return random_version_step(random, at + later);
    }
    let lasts = 0.3 + (random.unit() * 17.0).round() / 10.0;
    let targets = ["share=0.2", "share=0.34", "share=0.5", "zone=\"a\"", "server=\"n1\""];
    let target = targets[random.below(targets.len())];
    let way = ["to", "from", "both"][random.below(3)];
    let with = ["pool", "index", "list", "edges"][random.below(4)];
    let bytes = 100 + random.below(4000);
    match random.below(16) {
        0 => format!("at {at} \"kill\" {target} for={lasts}"),
        1 => format!("at {at} \"leave\" {target} each=0.2"),
        2 | 3 => format!("at {at} \"stop\" {target} for={lasts}"),
        4 => format!("at {at} \"cut\" {target} with=\"{with}\" way=\"{way}\" for={lasts}"),
        5 => format!("at {at} \"half\" {target} with=\"{with}\" way=\"{way}\" after={bytes} for={lasts}"),
        6 => format!("at {at} \"reset\" {target} with=\"{with}\" way=\"{way}\" after={bytes} for={lasts}"),
        7 => {
            let ms = 10 + random.below(300);
            format!("at {at} \"delay\" {target} with=\"{with}\" way=\"{way}\" ms={ms} jitter=1.0 for={lasts}")
        }
        8 => format!("at {at} \"unread\" {target} with=\"{with}\" for={lasts}"),
        9 => format!("at {at} \"refuse\" {target} with=\"{with}\" for={lasts}"),
        10 => format!("at {at} \"index\" {} for={lasts}", random_index_state(random)),
        11 => {
            let states = ["down", "silent", "closing"];
            format!("at {at} \"list\" state=\"{}\" for={lasts}", states[random.below(states.len())])
        }
        12 => format!("at {at} \"pool-resets\" {target} every=0.3 for={lasts}"),
        13 => format!("at {at} \"pool-gone\" {target} for={lasts}"),
        14 => format!("at {at} \"err\" {target} share-of-runs=0.7 for={lasts}"),
        _ => format!("at {at} \"rate\" times={} for={lasts}", 2 + random.below(4)),
    }
}

fn random_index_state(random: &mut RandomStream) -> &'static str {
    let states =
        ["state=\"slow\" by=10", "state=\"hung\"", "state=\"shedding\"", "state=\"half\"", "state=\"dead\""];
    states[random.below(states.len())]
}

/// A random step, as a line of a document, that affects agreement on the versioned configuration.
fn random_version_step(random: &mut RandomStream, at: f64) -> String {
    let lasts = 0.2 + (random.unit() * 22.0).round() / 10.0;
    let targets =
        ["server=\"n1\"", "server=\"n2\"", "server=\"n3\"", "server=\"n6\"", "share=0.3", "zone=\"b\""];
    let target = targets[random.below(targets.len())];
    let way = ["to", "from", "both"][random.below(3)];
    match random.below(12) {
        0..=2 => format!("at {at} \"cut\" {target} with=\"peers\" way=\"{way}\" for={lasts}"),
        3 => {
            let ms = 5 + random.below(200);
            format!("at {at} \"delay\" {target} with=\"peers\" ms={ms} jitter=2 for={lasts}")
        }
        4 => {
            let bytes = 50 + random.below(2000);
            format!("at {at} \"reset\" {target} with=\"peers\" after={bytes} for={lasts}")
        }
        5 => {
            let bytes = 50 + random.below(2000);
            format!("at {at} \"half\" {target} with=\"peers\" way=\"{way}\" after={bytes} for={lasts}")
        }
        6 => {
            let rate = 500 + random.below(5000);
            format!("at {at} \"trickle\" {target} with=\"peers\" rate={rate} for={lasts}")
        }
        7 | 8 => format!("at {at} \"stop\" {target} for={lasts}"),
        9 => format!("at {at} \"kill\" {target} for={lasts}"),
        10 => format!("at {at} \"list\" state=\"down\" for={lasts}"),
        _ => format!("at {at} \"rules\" set=\"licence-buy.points=7|licence-buy.points=8\" two=#true"),
    }
}

/// Plays a scenario.
type Player<'a> = dyn FnMut(&Scenario) -> io::Result<Outcome> + 'a;

fn invalid_document(errors: &ScenarioErrors) -> io::Error {
    io::Error::other(errors.to_string())
}

fn play_steps(
    start: SearchStart,
    steps: &[String],
    fault_free: &Outcome,
    play: &mut Player,
) -> io::Result<Found> {
    let text = start.document(steps);
    let scenario = Scenario::parse(&text).map_err(|errors| invalid_document(&errors))?;
    let outcome = play(&scenario)?;
    let of_calm = outcome.value / fault_free.value.max(1e-9);
    let violations = outcome.violations.iter();
    let what = violations.map(|violation| format!("{:?}: {}", violation.rule, violation.what)).collect();
    Ok(Found { text, of_calm, violations: outcome.counts.violations, what })
}

/// Removes, one by one, the steps without which `is_as_bad` still holds for the rest. At least one step remains.
///
/// # Errors
/// Returns an error if `is_as_bad` fails.
pub fn remove_needless_steps(
    mut steps: Vec<String>,
    mut is_as_bad: impl FnMut(&[String]) -> io::Result<bool>,
) -> io::Result<Vec<String>> {
    let mut index = 0;
    while index < steps.len() && steps.len() > 1 {
        let mut fewer = steps.clone();
        fewer.remove(index);
        if is_as_bad(&fewer)? {
            steps = fewer;
        } else {
            index += 1;
        }
    }
    Ok(steps)
}

/// Removes the steps without which the timeline still violates an invariant, or, if it violates none, still loses about
/// as much value. Returns the result of the remaining timeline.
fn shrink(
    start: SearchStart,
    steps: Vec<String>,
    mut found: Found,
    fault_free: &Outcome,
    play: &mut Player,
) -> io::Result<Found> {
    remove_needless_steps(steps, |fewer| {
        let shrunk = play_steps(start, fewer, fault_free, play)?;
        let is_as_bad = if found.violations > 0 {
            shrunk.violations > 0
        } else {
            shrunk.of_calm <= found.of_calm + SHRINK_TOLERANCE
        };
        if is_as_bad {
            found = shrunk;
        }
        Ok(is_as_bad)
    })?;
    Ok(found)
}

/// Sorts findings, those with violations first and then by increasing value, and keeps the first `MAX_FINDINGS`.
pub fn rank(findings: &mut Vec<Found>) {
    findings
        .sort_by(|a, b| (a.violations == 0).cmp(&(b.violations == 0)).then(a.of_calm.total_cmp(&b.of_calm)));
    findings.truncate(MAX_FINDINGS);
}

/// Searches for `seconds`, and calls `report` with a text for each timeline and each finding. Returns the findings, the
/// worst first.
///
/// # Errors
/// Returns an error if a scenario can't be played.
pub fn hunt(
    seconds: u64,
    start: SearchStart,
    play: &mut Player,
    report: &dyn Fn(&str),
) -> io::Result<Vec<Found>> {
    let end = Instant::now() + Duration::from_secs(seconds);
    let (mut findings, mut timelines): (Vec<Found>, u32) = (Vec::new(), 0);
    while Instant::now() < end {
        timelines += 1;
        let seed = start.seed.wrapping_mul(1000).wrapping_add(u64::from(timelines));
        let start = SearchStart { seed, ..start };
        let mut random = RandomStream::of(seed, "hunt");
        let count = 1 + random.below(MAX_STEPS);
        let steps: Vec<String> = (0..count).map(|_| random_step(&mut random, start.target)).collect();
        let without_steps =
            Scenario::parse(&start.document(&[])).map_err(|errors| invalid_document(&errors))?;
        let fault_free = play(&without_steps)?;
        let found = play_steps(start, &steps, &fault_free, play)?;
        report(&format!(
            "seed {seed}: {count} steps, value {:.3} of that without faults, {} violations{}",
            found.of_calm,
            found.violations,
            found.what.iter().take(3).map(|what| format!("\n    {what}")).collect::<String>()
        ));
        if found.violations > 0 || found.of_calm < FINDING_SHARE {
            let shrunk = shrink(start, steps, found, &fault_free, play)?;
            report(&format!(
                "after shrinking: value {:.3} of that without faults, {} violations:\n{}",
                shrunk.of_calm, shrunk.violations, shrunk.text
            ));
            findings.push(shrunk);
            rank(&mut findings);
        }
    }
    Ok(findings)
}
