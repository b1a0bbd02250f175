//! The laboratory's command line: `aldercrank-lab load`, `cost`, `check`.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

mod agree;
mod budget;
mod cost;
mod fleet;
mod live;
mod load;
mod peer;
mod platform;
mod plot;
mod server;
mod soak;
mod stand;
mod trace;
mod why;

use aldercrank_server::config::{Config, ConfigError};
use bpaf::{construct, long, positional, OptionParser, Parser};
use cost::Case;
use server::Build;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts what the counted server allocates; the laboratory's own processes pay a little for it.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Clone, Debug)]
enum Command {
    Load(load::Load),
    Cost {
        program: Option<PathBuf>,
        against: Option<PathBuf>,
        rounds: usize,
        plot: Option<PathBuf>,
        json: bool,
    },
    /// Instructions a txn, where valgrind is.
    Instructions,
    Check {
        write: bool,
        long: bool,
        program: Option<PathBuf>,
        against: Option<PathBuf>,
        name: String,
    },
    Fleet(fleet::Fleet),
    Start(live::Start),
    Hunt {
        program: Option<PathBuf>,
        seconds: u64,
        seed: u64,
        rules: bool,
        into: PathBuf,
    },
    Why {
        dir: PathBuf,
        request: String,
    },
    /// Starts another program, passes signals on, and writes down what it does.
    Watch {
        parent: u32,
        report: PathBuf,
        words: Vec<String>,
    },
    /// Becomes another program that ends with the one that asked for it.
    Hold {
        parent: u32,
        words: Vec<String>,
    },
    Counted {
        service: Option<String>,
        config: String,
    },
    /// A server that goes wrong on purpose, by its rule book.
    Broken {
        injected_fault: String,
        service: Option<String>,
        config: String,
    },
}

fn commands() -> OptionParser<Command> {
    let file = |name: &'static str, help: &'static str| long(name).help(help).argument::<PathBuf>("FILE");
    let program = file("program", "the server's program; the one beside this by default").optional();
    let rate = long("rate").help("first tries a second").argument("N").fallback(40u32);
    let seconds = long("seconds").help("how long to send").argument("N").fallback(10u32);
    let connections = long("connections").help("connections to send on").argument("N").fallback(4usize);
    let cores = long("cores").help("cores that runs share").argument("N").fallback(4usize);
    let work = long("work-ms").help("how long a run takes on a core").argument("MS").fallback(50u64);
    let json = long("json").help("one JSON document in place of the table").switch();
    let load = construct!(load::Load { program, rate, seconds, connections, cores, work, json });
    let load = construct!(Command::Load(load))
        .to_options()
        .descr("Start a server with stand-ins round it, send an open-loop load and count the answers")
        .footer("Example: aldercrank-lab load --rate 160\nExit: 0 all answered once, 1 not so, 2 it could not be run")
        .command("load");
    let program =
        file("program", "measure this program; heap and copies are counted in our own only").optional();
    let against = file("against", "an earlier build, measured in turns with ours").optional();
    let rounds = long("rounds").help("rounds of each case; the least counts").argument("N").fallback(3usize);
    let plot = file("plot", "draw the cost as things grow, as SVG").optional();
    let json = long("json").help("one JSON document in place of the table").switch();
    let cost = construct!(Command::Cost { program, against, rounds, plot, json })
        .to_options()
        .descr("Say what one txn of each kind costs the server")
        .footer("Example: aldercrank-lab cost --plot cost.svg\nExit: 0 all measured, 1 some were not, 2 none could be")
        .command("cost");
    let instructions = bpaf::pure(Command::Instructions)
        .to_options()
        .descr("Count the instructions of a txn, as things grow; needs valgrind")
        .footer("Exit: 0 counted, 2 they could not be")
        .command("instructions");
    let write = long("write").help("write the budget anew from what is measured").switch();
    let whole = long("long").help("the long form, where there is one: minutes").switch();
    let program = file("program", "the server's program, for live").optional();
    let against =
        file("against", "an earlier build, whose figures are shown beside, for coldstart").optional();
    let name = positional::<String>("NAME").help("the check: cost, live, coldstart, agree, platform, soak");
    let check = construct!(Command::Check { write, long(whole), program, against, name })
        .to_options()
        .descr("Hold what is measured against its bounds")
        .footer("Exit: 0 all bounds hold, 1 one does not, 2 it could not be measured")
        .command("check");
    let config = positional::<String>("CONFIG");
    let service = long("service").argument::<String>("FILE").optional();
    let counted = construct!(Command::Counted { service, config }).to_options().command("counted").hide();
    let config = positional::<String>("CONFIG");
    let service = long("service").argument::<String>("FILE").optional();
    let (injected_fault, verb) = (positional::<String>("MISTAKE"), positional::<String>("serve"));
    let broken = construct!(service, injected_fault, verb, config)
        .map(|(service, injected_fault, _, config)| Command::Broken { service, injected_fault, config })
        .to_options()
        .command("broken")
        .hide();
    let fleet = fleet_command();
    let hunt = hunt_command();
    let start = start_command();
    let dir = positional::<PathBuf>("DIR").help("where `fleet --keep` wrote a run's record");
    let request = positional::<String>("TXN").help("a txn's number, or the id of one of its tries");
    let why = construct!(Command::Why { dir, request })
        .to_options()
        .descr("Follow one txn through every process that handled it")
        .footer("Example: aldercrank-lab why /tmp/run 17\nExit: 0 it stands in the record, 1 it does not, 2 no record")
        .command("why");
    let parent = positional::<u32>("PARENT");
    let words = positional::<String>("WORD").many();
    let hold = construct!(Command::Hold { parent, words }).to_options().command("hold").hide();
    let parent = positional::<u32>("PARENT");
    let report = positional::<PathBuf>("REPORT");
    let words = positional::<String>("WORD").many();
    let watch = construct!(Command::Watch { parent, report, words }).to_options().command("watch").hide();
    construct!([load, cost, instructions, check, fleet, start, hunt, why, counted, broken, hold, watch])
        .to_options()
        .descr("aldercrank's laboratory, on loopback")
}

fn start_command() -> impl Parser<Command> {
    let file =
        |name: &'static str, help: &'static str| long(name).help(help).argument::<PathBuf>("FILE").optional();
    let servers = long("servers").help("how many start at once").argument("N").fallback(40usize);
    let list_capacity = long("list-capacity")
        .help("reports that the list service can do in a second")
        .argument("R")
        .fallback(60.0);
    let index_slots =
        long("index-slots").help("calls that the index does at once").argument("S").fallback(64.0);
    let rate = long("rate").help("first tries a second").argument("N").fallback(400.0);
    let seed = long("seed").help("of arrivals and work").argument("N").fallback(40u64);
    let program = file("program", "the server's program; the one beside this by default");
    let against = file("against", "an earlier build, played on the same seed");
    let report = file("report", "write a page with plots");
    let json = long("json").help("one JSON document in place of the table").switch();
    construct!(live::Start {
        servers,
        list_capacity,
        index_slots,
        rate,
        seed,
        program,
        against,
        report,
        json
    })
    .map(Command::Start)
    .to_options()
    .descr(
        "Start a fleet in one moment, over an index with empty caches, and say what the services below met",
    )
    .footer(
        "Example: aldercrank-lab coldstart --servers 100 --list-capacity 150 --against old/aldercrank\n\
             Exit: 0 no rule broken, 1 one was, 2 it could not be played",
    )
    .command("coldstart")
}

fn fleet_command() -> impl Parser<Command> {
    let path = |name: &'static str, help: &'static str, what: &'static str| {
        long(name).help(help).argument::<PathBuf>(what).optional()
    };
    let program = path("program", "the server's program; the one beside this by default", "FILE");
    let seed = long("seed").help("play this seed in place of the scenario's").argument::<u64>("N").optional();
    let calm = long("calm").help("play the same seed without faults beside it").switch();
    let json = long("json").help("one JSON document in place of the table").switch();
    let quiet = long("quiet").help("no line of figures a second").switch();
    let report = path("report", "write a page with plots", "FILE.html");
    let keep = path("keep", "keep configurations, logs and the record, for `why`", "DIR");
    let file = positional::<PathBuf>("SCENARIO").help("a KDL document, as scenarios/ has them");
    construct!(fleet::Fleet { program, seed, calm, json, quiet, report, keep, file })
        .map(Command::Fleet)
        .to_options()
        .descr("Start a fleet of real servers, play a scenario with faults between them, and judge it by the rules")
        .footer(
            "Example: aldercrank-lab fleet scenarios/kill-restart.kdl --report run.html\n\
             Exit: 0 rules and bounds hold, 1 one does not, 2 it could not be played",
        )
        .command("fleet")
}

fn hunt_command() -> impl Parser<Command> {
    let program = long("program").help("the server's program").argument::<PathBuf>("FILE").optional();
    let seconds = long("seconds").help("how long to hunt").argument("N").fallback(600u64);
    let seed = long("seed").help("where the draws begin").argument("N").fallback(1u64);
    let rules =
        long("rules").help("servers that go by a rule book, and what goes wrong between them").switch();
    let into = long("into").help("where finds are written").argument::<PathBuf>("DIR");
    let into = into.fallback(PathBuf::from("scenarios/found"));
    construct!(Command::Hunt { program, seconds, seed, rules, into })
        .to_options()
        .descr("Draw timelines of faults, and keep the smallest that break a rule or lose the most")
        .footer("Example: aldercrank-lab hunt --seconds 600\nExit: 0 no rule broken, 1 one was, 2 it could not be played")
        .command("hunt")
}

/// What is measured against an earlier build: the name, how many are in hand, and open at once.
const PAIRED: [(&str, usize, usize); 4] = [
    ("settled, 1 open", 0, 1),
    ("settled, 32 open", 0, 32),
    ("settled, 100 in hand", 100, 1),
    ("settled, 5000 in hand", 5000, 1),
];

/// Serves in this process, and says on each line of standard input what has been counted.
fn broken(injected_fault: &str, config: String, service: Option<String>) -> Result<(), String> {
    let injected_fault =
        agree::injected_fault(injected_fault).ok_or(format!("no mistake is named {injected_fault}"))?;
    let read = move || -> Result<Config, ConfigError> {
        let mut config = Config::load(Some(&config), service.as_deref())?;
        config.rules.iter_mut().for_each(|rules| rules.injected_fault = Some(injected_fault));
        Ok(config)
    };
    let config = read().map_err(|e| e.to_string())?;
    aldercrank_server::net::serve(config, read).map_err(|e| e.to_string())
}

fn counted(config: String, service: Option<String>) -> Result<(), String> {
    std::thread::spawn(|| {
        for _ in std::io::stdin().lines() {
            let heap = HEAP.stats();
            let allocations = heap.allocations + heap.reallocations;
            let copied = aldercrank_server::payload::copied();
            println!("{allocations} {} {copied}", heap.bytes_allocated);
        }
        // Whoever asked is gone.
        std::process::exit(0);
    });
    let read = move || Config::load(Some(&config), service.as_deref());
    let config = read().map_err(|e| e.to_string())?;
    aldercrank_server::net::serve(config, read).map_err(|e| e.to_string())
}

/// Measures what can be. An earlier build may not know what a case needs; the others count all the same.
fn measure(
    build: &Build,
    cases: Vec<Case>,
    rounds: usize,
    left: &mut Vec<String>,
) -> Vec<(Case, cost::Cost)> {
    let mut rows = Vec::new();
    for case in cases {
        eprintln!("measuring {} ...", case.name);
        match cost::measure(build, &case, rounds) {
            Ok(cost) => rows.push((case, cost)),
            Err(e) => left.push(format!("{}: not measured: {e}", case.name)),
        }
    }
    rows
}

fn cost(
    build: Build,
    against: Option<PathBuf>,
    rounds: usize,
    plot: Option<PathBuf>,
    json: bool,
) -> std::io::Result<bool> {
    let all: Vec<Case> = cost::ordinary().into_iter().chain(cost::growth()).collect();
    let mut left = Vec::new();
    let rows = measure(&build, all, rounds, &mut left);
    if json {
        println!("{}", budget::json(&rows));
    } else {
        budget::table(&rows);
    }
    if let Some(file) = plot {
        let earlier = match &against {
            Some(old) => measure(&Build::Program(old.clone()), cost::growth(), rounds, &mut left),
            None => Vec::new(),
        };
        plot::growth(&file, &rows, &earlier).map_err(std::io::Error::other)?;
        println!("drawn: {}", file.display());
    }
    left.iter().for_each(|line| eprintln!("{line}"));
    let whole = left.is_empty();
    let Some(old) = against else { return Ok(whole) };
    for (name, held, open) in PAIRED {
        let case = Case { held, open, requests: 320, ..Case::new(name, cost::Kind::Completed) };
        let own = Build::Program(server::beside());
        let (a, b, ratio) = cost::paired(&own, &Build::Program(old.clone()), &case, 5)?;
        println!("{name}: {a:?} against {b:?} on a core for each txn, ratio {ratio:.3}");
    }
    Ok(whole)
}

/// Thousands of connections need as many descriptors; the server inherits what is allowed here.
fn raise_descriptors() {
    use nix::sys::resource::{getrlimit, setrlimit, Resource};
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

fn instructions() -> std::io::Result<bool> {
    let of = |name: &str, held, idle, dedup_entries, open| Case {
        held,
        idle,
        dedup_entries,
        open,
        requests: 1024,
        ..Case::new(name, cost::Kind::Completed)
    };
    let cases = [
        of("settled", 0, 0, 0, 1),
        of("settled, 32 open", 0, 0, 0, 32),
        of("10 in hand", 10, 0, 0, 1),
        of("10,000 in hand", 10_000, 0, 0, 1),
        of("5,000 idle connections", 0, 5_000, 0, 1),
        of("50,000 marks", 0, 0, 50_000, 1),
    ];
    for case in cases {
        println!("{:<34}{:>10.0} instructions a txn", case.name, cost::instructions(&case)?);
    }
    Ok(true)
}

/// Runs the command that the arguments name. Gives the exit code of the process.
pub fn main() -> ExitCode {
    raise_descriptors();
    let run = match commands().run() {
        Command::Load(load) => load::run(&load),
        Command::Cost { program, against, rounds, plot, json } => {
            let build = program.map_or(Build::Counted, Build::Program);
            cost(build, against, rounds.max(1), plot, json)
        }
        Command::Instructions => instructions(),
        Command::Check { write, name, .. } if name == "cost" => budget::check(write),
        Command::Check { long, program, name, .. } if name == "live" => live::check(long, program),
        Command::Check { long, program, against, name, .. } if name == "coldstart" => {
            live::cold(long, program, against)
        }
        Command::Check { long, program, name, .. } if name == "agree" => agree::check(long, program),
        Command::Check { program, name, .. } if name == "platform" => platform::check(program),
        Command::Check { name, .. } if name == "soak" => soak::check(),
        Command::Check { name, .. } => Err(std::io::Error::other(format!(
            "no check is named {name}; there are: cost, live, coldstart, agree, platform, soak"
        ))),
        Command::Fleet(fleet) => fleet::run(&fleet),
        Command::Start(start) => live::start(&start),
        Command::Hunt { program, seconds, seed, rules, into } => {
            fleet::hunt(seconds, seed, rules, &into, program)
        }
        Command::Why { dir, request } => why::why(&dir, &request),
        Command::Watch { parent, report, words } => platform::watch(parent, &report, &words),
        Command::Hold { parent, words } => Err(aldercrank_test_cluster::process::hold(parent, &words)),
        Command::Broken { injected_fault, service, config } => {
            broken(&injected_fault, config, service).map(|()| true).map_err(std::io::Error::other)
        }
        Command::Counted { service, config } => match counted(config, service) {
            Ok(()) => Ok(true),
            Err(why) => Err(std::io::Error::other(why)),
        },
    };
    match run {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("aldercrank-lab: {e}");
            ExitCode::from(2)
        }
    }
}
