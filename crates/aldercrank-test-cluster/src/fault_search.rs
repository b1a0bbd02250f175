//! Looks for the worst day: draws timelines of faults, plays each against the same seed without them, and shrinks
//! what breaks a rule, or loses the most, to the fewest steps that still do.

use crate::random::RandomStream;
use crate::run_record::Outcome;
use crate::scenario::Scenario;
use std::io;
use std::time::{Duration, Instant};

/// Steps in a timeline at most, and finds that are kept.
const STEPS: usize = 4;
const KEPT: usize = 5;
/// A find without a broken rule is worth keeping below this share of calm.
const LOSS: f64 = 0.6;
/// Shrinking may lose so much of what made it a find.
const NEAR: f64 = 0.1;

/// What the hunted fleets have in common.
const FLEET: &str = "seconds 5\nfleet servers=6 zones=2 cores=4\ncallers rate=150 edges=3\n";
/// And those that go by a rule book, whose versions change what is fenced all the time.
const RULES: &str = "seconds 8\nfleet servers=7 zones=2 cores=4\ncallers rate=200 edges=3\n\
    rules committee=3 within-ms=1000\nat 0.7 \"rules\" set=\"licence-buy.window-ms=5000|licence-buy.points=4|\
    licence-buy.window-ms=6000|licence-buy.effect=inquiry-like|licence-buy.effect=referenced\" every=0.45\n";

/// What is hunted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Game {
    Servers,
    /// Servers that go by a rule book.
    Rules,
}

impl Game {
    fn fleet(self) -> &'static str {
        match self {
            Game::Servers => FLEET,
            Game::Rules => RULES,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Found {
    /// The scenario as a document.
    pub text: String,
    pub of_calm: f64,
    pub broken: u64,
    /// Rules broken, in words.
    pub what: Vec<String>,
}

/// One step drawn, as a line of a scenario.
fn step(draw: &mut RandomStream, game: Game) -> String {
    let at = 0.5 + (draw.unit() * 30.0).round() / 10.0;
    if game == Game::Rules && draw.chance(0.7) {
        let later = (draw.unit() * 20.0).round() / 10.0;
        return step_of_rules(draw, at + later);
    }
    let lasts = 0.3 + (draw.unit() * 17.0).round() / 10.0;
    let share = ["share=0.2", "share=0.34", "share=0.5", "zone=\"a\"", "server=\"n1\""][draw.below(5)];
    let way = ["to", "from", "both"][draw.below(3)];
    let with = ["pool", "index", "list", "edges"][draw.below(4)];
    let bytes = 100 + draw.below(4000);
    match draw.below(16) {
        0 => format!("at {at} \"kill\" {share} for={lasts}"),
        1 => format!("at {at} \"leave\" {share} each=0.2"),
        2 | 3 => format!("at {at} \"stop\" {share} for={lasts}"),
        4 => format!("at {at} \"cut\" {share} with=\"{with}\" way=\"{way}\" for={lasts}"),
        5 => format!("at {at} \"half\" {share} with=\"{with}\" way=\"{way}\" after={bytes} for={lasts}"),
        6 => format!("at {at} \"reset\" {share} with=\"{with}\" way=\"{way}\" after={bytes} for={lasts}"),
        7 => {
            let ms = 10 + draw.below(300);
            format!("at {at} \"delay\" {share} with=\"{with}\" way=\"{way}\" ms={ms} jitter=1.0 for={lasts}")
        }
        8 => format!("at {at} \"unread\" {share} with=\"{with}\" for={lasts}"),
        9 => format!("at {at} \"refuse\" {share} with=\"{with}\" for={lasts}"),
        10 => {
            let states = [
                "state=\"slow\" by=10",
                "state=\"hung\"",
                "state=\"shedding\"",
                "state=\"half\"",
                "state=\"dead\"",
            ];
            format!("at {at} \"index\" {} for={lasts}", states[draw.below(5)])
        }
        11 => {
            let states = ["down", "silent", "closing"];
            format!("at {at} \"list\" state=\"{}\" for={lasts}", states[draw.below(3)])
        }
        12 => format!("at {at} \"pool-resets\" {share} every=0.3 for={lasts}"),
        13 => format!("at {at} \"pool-gone\" {share} for={lasts}"),
        14 => format!("at {at} \"err\" {share} share-of-runs=0.7 for={lasts}"),
        _ => format!("at {at} \"rate\" times={} for={lasts}", 2 + draw.below(4)),
    }
}

/// One step about servers that agree.
fn step_of_rules(draw: &mut RandomStream, at: f64) -> String {
    let lasts = 0.2 + (draw.unit() * 22.0).round() / 10.0;
    let who = ["server=\"n1\"", "server=\"n2\"", "server=\"n3\"", "server=\"n6\"", "share=0.3", "zone=\"b\""];
    let who = who[draw.below(6)];
    let way = ["to", "from", "both"][draw.below(3)];
    match draw.below(12) {
        0..=2 => format!("at {at} \"cut\" {who} with=\"peers\" way=\"{way}\" for={lasts}"),
        3 => {
            format!("at {at} \"delay\" {who} with=\"peers\" ms={} jitter=2 for={lasts}", 5 + draw.below(200))
        }
        4 => format!("at {at} \"reset\" {who} with=\"peers\" after={} for={lasts}", 50 + draw.below(2000)),
        5 => format!(
            "at {at} \"half\" {who} with=\"peers\" way=\"{way}\" after={} for={lasts}",
            50 + draw.below(2000)
        ),
        6 => format!("at {at} \"trickle\" {who} with=\"peers\" rate={} for={lasts}", 500 + draw.below(5000)),
        7 | 8 => format!("at {at} \"stop\" {who} for={lasts}"),
        9 => format!("at {at} \"kill\" {who} for={lasts}"),
        10 => format!("at {at} \"list\" state=\"down\" for={lasts}"),
        _ => format!("at {at} \"rules\" set=\"licence-buy.points=7|licence-buy.points=8\" two=#true"),
    }
}

fn text(seed: u64, steps: &[String], game: Game) -> String {
    let fleet = game.fleet();
    let mut text = format!("// Found by a hunt.\nname \"found with seed {seed}\"\nseed {seed}\n{fleet}");
    for step in steps {
        text += step;
        text.push('\n');
    }
    text
}

type Player<'a> = dyn FnMut(&Scenario) -> io::Result<Outcome> + 'a;

fn checker(
    (seed, game): (u64, Game),
    steps: &[String],
    calm: &Outcome,
    play: &mut Player,
) -> io::Result<Found> {
    let text = text(seed, steps, game);
    let scenario = Scenario::parse(&text).map_err(|wrong| io::Error::other(wrong.to_string()))?;
    let outcome = play(&scenario)?;
    let of_calm = outcome.value / calm.value.max(1e-9);
    let what = outcome.broken.iter().map(|b| format!("{:?}: {}", b.rule, b.what)).collect();
    Ok(Found { text, of_calm, broken: outcome.counts.broken, what })
}

/// The fewest of these steps that still make nearly as bad a day.
fn shrink(
    seed: (u64, Game),
    mut steps: Vec<String>,
    mut found: Found,
    calm: &Outcome,
    play: &mut Player,
) -> io::Result<Found> {
    let mut at = 0;
    while at < steps.len() && steps.len() > 1 {
        let mut fewer = steps.clone();
        fewer.remove(at);
        let less = checker(seed, &fewer, calm, play)?;
        let as_bad = if found.broken > 0 { less.broken > 0 } else { less.of_calm <= found.of_calm + NEAR };
        if as_bad {
            (steps, found) = (fewer, less);
        } else {
            at += 1;
        }
    }
    Ok(found)
}

/// What breaks a rule first, then what loses the most; the rest goes.
pub fn rank(finds: &mut Vec<Found>) {
    finds.sort_by(|a, b| (a.broken == 0).cmp(&(b.broken == 0)).then(a.of_calm.total_cmp(&b.of_calm)));
    finds.truncate(KEPT);
}

/// Hunts for so many seconds; the worst come first.
pub fn hunt(
    seconds: u64,
    (seed, game): (u64, Game),
    play: &mut Player,
    say: &dyn Fn(&str),
) -> io::Result<Vec<Found>> {
    let until = Instant::now() + Duration::from_secs(seconds);
    let (mut finds, mut days): (Vec<Found>, u32) = (Vec::new(), 0);
    while Instant::now() < until {
        days += 1;
        let own = seed.wrapping_mul(1000).wrapping_add(u64::from(days));
        let mut draw = RandomStream::of(own, "hunt");
        let many = 1 + draw.below(STEPS);
        let steps: Vec<String> = (0..many).map(|_| step(&mut draw, game)).collect();
        let calm =
            Scenario::parse(&text(own, &[], game)).map_err(|wrong| io::Error::other(wrong.to_string()))?;
        let calm = play(&calm)?;
        let found = checker((own, game), &steps, &calm, play)?;
        say(&format!(
            "seed {own}: {many} steps, value {:.3} of calm, {} rules broken{}",
            found.of_calm,
            found.broken,
            found.what.iter().take(3).map(|what| format!("\n    {what}")).collect::<String>()
        ));
        if found.broken > 0 || found.of_calm < LOSS {
            let least = shrink((own, game), steps, found, &calm, play)?;
            say(&format!(
                "shrunk, value {:.3} of calm, {} broken:\n{}",
                least.of_calm, least.broken, least.text
            ));
            finds.push(least);
            rank(&mut finds);
        }
    }
    Ok(finds)
}
