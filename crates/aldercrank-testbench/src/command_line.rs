//! The commands of `aldercrank-testbench` and their arguments.

use crate::cold_start::ColdStart;
use crate::load_generator::Load;
use crate::scenario_command::ScenarioRun;
use crate::selection::Selection;
use crate::shutdown_soak::Soak;
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::path::PathBuf;

/// A check by its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckName {
    Cost,
    Live,
    ColdStart,
    Agree,
    Platform,
    Soak,
    Shutdown,
}

impl CheckName {
    const ALL: [(&'static str, CheckName); 7] = [
        ("cost", CheckName::Cost),
        ("live", CheckName::Live),
        ("coldstart", CheckName::ColdStart),
        ("agree", CheckName::Agree),
        ("platform", CheckName::Platform),
        ("soak", CheckName::Soak),
        ("shutdown", CheckName::Shutdown),
    ];

    /// The check of this name; nothing where there is none.
    pub(crate) fn named(name: &str) -> Option<CheckName> {
        CheckName::ALL.iter().find(|(known, _)| *known == name).map(|(_, check)| *check)
    }

    /// All names, for people.
    pub(crate) fn all_names() -> String {
        CheckName::ALL.map(|(name, _)| name).join(", ")
    }
}

/// The arguments of `cost`.
#[derive(Clone, Debug)]
pub(crate) struct CostArguments {
    pub(crate) program: Option<PathBuf>,
    pub(crate) against: Option<PathBuf>,
    pub(crate) rounds: usize,
    pub(crate) plot: Option<PathBuf>,
    pub(crate) json: bool,
}

/// The arguments of `check`.
#[derive(Clone, Debug)]
pub(crate) struct CheckArguments {
    pub(crate) selection: Selection,
    pub(crate) write: bool,
    pub(crate) long: bool,
    pub(crate) program: Option<PathBuf>,
    pub(crate) against: Option<PathBuf>,
    pub(crate) name: String,
}

/// The arguments of `hunt`.
#[derive(Clone, Debug)]
pub(crate) struct SearchArguments {
    pub(crate) program: Option<PathBuf>,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    /// Faults between servers that go by a versioned configuration, in place of faults of servers.
    pub(crate) rules: bool,
    pub(crate) into: PathBuf,
}

/// What the command line asks for. The last four are not in the help: the testbench starts itself with them.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Load(Load),
    Cost(CostArguments),
    /// Counts the instructions of a request under valgrind.
    Instructions,
    Check(CheckArguments),
    Fleet(ScenarioRun),
    ColdStart(ColdStart),
    Hunt(SearchArguments),
    Soak(Soak),
    Why {
        directory: PathBuf,
        request: String,
    },
    /// Starts another program, passes signals on, and writes down what it does.
    Watch {
        parent: u32,
        report: PathBuf,
        arguments: Vec<String>,
    },
    /// Becomes another program that ends with the one that asked for it.
    Hold {
        parent: u32,
        arguments: Vec<String>,
    },
    /// Serves in this process and counts its allocations and copies.
    Counted {
        service: Option<String>,
        config: String,
    },
    /// Serves in this process with a fault injected into the consensus.
    Faulty {
        fault: String,
        service: Option<String>,
        config: String,
    },
}

fn file(name: &'static str, help: &'static str) -> impl Parser<PathBuf> {
    long(name).help(help).argument::<PathBuf>("FILE")
}

fn json() -> impl Parser<bool> {
    long("json").help("one JSON document in place of the table").switch()
}

fn server_program() -> impl Parser<Option<PathBuf>> {
    file("program", "the server's program; the one beside this by default").optional()
}

/// The parser of the whole command line.
pub(crate) fn commands() -> OptionParser<Command> {
    let load = load_command();
    let cost = cost_command();
    let instructions = instructions_command();
    let check = check_command();
    let fleet = fleet_command();
    let cold_start = cold_start_command();
    let hunt = hunt_command();
    let soak = soak_command();
    let why = why_command();
    let counted = counted_command();
    let faulty = faulty_command();
    let hold = hold_command();
    let watch = watch_command();
    construct!([
        load,
        cost,
        instructions,
        check,
        fleet,
        cold_start,
        hunt,
        soak,
        why,
        counted,
        faulty,
        hold,
        watch
    ])
    .to_options()
    .descr("Plays the aldercrank server from outside, on loopback")
}

fn load_command() -> impl Parser<Command> {
    let program = server_program();
    let rate = long("rate").help("first attempts a second").argument("N").fallback(40u32);
    let seconds = long("seconds").help("how long to send").argument("N").fallback(10u32);
    let connections = long("connections").help("connections to send on").argument("N").fallback(4usize);
    let cores = long("cores").help("cores that runs share").argument("N").fallback(4usize);
    let work_ms = long("work-ms").help("how long a run takes on a core").argument("MS").fallback(50u64);
    let json = json();
    construct!(Load { program, rate, seconds, connections, cores, work_ms, json })
        .map(Command::Load)
        .to_options()
        .descr("Start a server with stub services round it, send an open-loop load and count the answers")
        .footer(
            "Example: aldercrank-testbench load --rate 160\n\
             Exit: 0 all answered once, 1 not so, 2 it could not be run",
        )
        .command("load")
}

fn cost_command() -> impl Parser<Command> {
    let program =
        file("program", "measure this program; heap and copies are counted in our own only").optional();
    let against = file("against", "an earlier build, measured in turns with ours").optional();
    let rounds = long("rounds").help("rounds of each case; the least counts").argument("N").fallback(3usize);
    let plot = file("plot", "draw the cost as things grow, as SVG").optional();
    let json = json();
    construct!(CostArguments { program, against, rounds, plot, json })
        .map(Command::Cost)
        .to_options()
        .descr("Measure what one request of each kind costs the server")
        .footer(
            "Example: aldercrank-testbench cost --plot cost.svg\n\
             Exit: 0 all measured, 1 some were not, 2 none could be",
        )
        .command("cost")
}

fn instructions_command() -> impl Parser<Command> {
    bpaf::pure(Command::Instructions)
        .to_options()
        .descr("Count the instructions of a request, as things grow; needs valgrind")
        .footer("Exit: 0 counted, 2 they could not be")
        .command("instructions")
}

fn check_command() -> impl Parser<Command> {
    let write = long("write").help("write the budget anew from what is measured").switch();
    let long_form = long("long").help("the long form, where there is one: minutes").switch();
    let program = file("program", "the server's program, for live").optional();
    let against =
        file("against", "an earlier build, whose figures are shown beside, for coldstart").optional();
    let name = positional::<String>("NAME")
        .help("the check: cost, live, coldstart, agree, platform, soak, shutdown");
    let except = long("except").help("leave this scenario out").argument::<String>("SCENARIO").many();
    let only = long("only").help("play this scenario alone").argument::<String>("SCENARIO").optional();
    let selection = construct!(Selection { except, only });
    construct!(CheckArguments { selection, write, long(long_form), program, against, name })
        .map(Command::Check)
        .to_options()
        .descr("Hold what is measured against its bounds")
        .footer("Exit: 0 all bounds hold, 1 one does not, 2 it could not be measured")
        .command("check")
}

fn fleet_command() -> impl Parser<Command> {
    let path = |name: &'static str, help: &'static str, what: &'static str| {
        long(name).help(help).argument::<PathBuf>(what).optional()
    };
    let program = server_program();
    let seed = long("seed").help("play this seed in place of the scenario's").argument::<u64>("N").optional();
    let calm = long("calm").help("play the same seed without faults beside it").switch();
    let json = json();
    let quiet = long("quiet").help("no line of figures a second").switch();
    let report = path("report", "write a page with plots", "FILE.html");
    let keep = path("keep", "keep configurations, logs and the record, for `why`", "DIR");
    let file = positional::<PathBuf>("SCENARIO").help("a KDL document, as scenarios/ has them");
    construct!(ScenarioRun { program, seed, calm, json, quiet, report, keep, file })
        .map(Command::Fleet)
        .to_options()
        .descr("Start a cluster of real servers, play a scenario with faults, and check the rules of the service")
        .footer(
            "Example: aldercrank-testbench fleet scenarios/kill-restart.kdl --report run.html\n\
             Exit: 0 rules and bounds hold, 1 one does not, 2 it could not be played",
        )
        .command("fleet")
}

fn cold_start_command() -> impl Parser<Command> {
    let servers = long("servers").help("how many start at once").argument("N").fallback(40usize);
    let membership_capacity = long("list-capacity")
        .help("reports that the membership service can handle in a second")
        .argument("R")
        .fallback(60.0);
    let index_slots =
        long("index-slots").help("calls that the index runs at once").argument("S").fallback(64.0);
    let rate = long("rate").help("first attempts a second").argument("N").fallback(400.0);
    let seed = long("seed").help("of arrivals and work").argument("N").fallback(40u64);
    let program = server_program();
    let against = file("against", "an earlier build, played on the same seed").optional();
    let report = file("report", "write a page with plots").optional();
    let json = json();
    construct!(ColdStart {
        servers,
        membership_capacity,
        index_slots,
        rate,
        seed,
        program,
        against,
        report,
        json
    })
    .map(Command::ColdStart)
    .to_options()
    .descr("Start a cluster at once, over an index with empty caches, and show the load on the services below")
    .footer(
        "Example: aldercrank-testbench coldstart --servers 100 --list-capacity 150 --against old/aldercrank\n\
         Exit: 0 no rule broken, 1 one was, 2 it could not be played",
    )
    .command("coldstart")
}

fn hunt_command() -> impl Parser<Command> {
    let program = long("program").help("the server's program").argument::<PathBuf>("FILE").optional();
    let seconds = long("seconds").help("how long to search").argument("N").fallback(600u64);
    let seed = long("seed").help("where the random faults begin").argument("N").fallback(1u64);
    let rules =
        long("rules").help("servers with a versioned configuration, and faults between them").switch();
    let into = long("into").help("where finds are written").argument::<PathBuf>("DIR");
    let into = into.fallback(PathBuf::from("scenarios/found"));
    construct!(SearchArguments { program, seconds, seed, rules, into })
        .map(Command::Hunt)
        .to_options()
        .descr("Play random timelines of faults, and keep the smallest that break a rule or lose the most")
        .footer(
            "Example: aldercrank-testbench hunt --seconds 600\n\
             Exit: 0 no rule broken, 1 one was, 2 it could not be played",
        )
        .command("hunt")
}

fn soak_command() -> impl Parser<Command> {
    let program = server_program();
    let seed = long("seed").help("the first seed").argument("N").fallback(1u64);
    let runs = long("runs").help("how many seeds are played").argument("N").fallback(50u64);
    let side_by_side = long("side-by-side").help("runs at once").argument("N").fallback(4usize);
    construct!(Soak { program, seed, runs, side_by_side })
        .map(Command::Soak)
        .to_options()
        .descr("Send servers signals in series and kill them at their stop timeout, while callers keep their connections")
        .footer(
            "Example: aldercrank-testbench soak --seed 1 --runs 50\n\
             Exit: 0 no rule broken, 1 one was, 2 it could not be played",
        )
        .command("soak")
}

fn why_command() -> impl Parser<Command> {
    let directory = positional::<PathBuf>("DIR").help("where `fleet --keep` wrote a run's record");
    let request =
        positional::<String>("REQUEST").help("a request's number, or the id of one of its attempts");
    construct!(Command::Why { directory, request })
        .to_options()
        .descr("Follow one request through every process that handled it")
        .footer(
            "Example: aldercrank-testbench why /tmp/run 17\n\
             Exit: 0 it is in the record, 1 it is not, 2 no record",
        )
        .command("why")
}

fn counted_command() -> impl Parser<Command> {
    let config = positional::<String>("CONFIG");
    let service = long("service").argument::<String>("FILE").optional();
    construct!(Command::Counted { service, config }).to_options().command("counted").hide()
}

fn faulty_command() -> impl Parser<Command> {
    let config = positional::<String>("CONFIG");
    let service = long("service").argument::<String>("FILE").optional();
    let (fault, verb) = (positional::<String>("FAULT"), positional::<String>("serve"));
    construct!(service, fault, verb, config)
        .map(|(service, fault, _, config)| Command::Faulty { fault, service, config })
        .to_options()
        .command("broken")
        .hide()
}

fn hold_command() -> impl Parser<Command> {
    let parent = positional::<u32>("PARENT");
    let arguments = positional::<String>("ARGUMENT").many();
    construct!(Command::Hold { parent, arguments }).to_options().command("hold").hide()
}

fn watch_command() -> impl Parser<Command> {
    let parent = positional::<u32>("PARENT");
    let report = positional::<PathBuf>("REPORT");
    let arguments = positional::<String>("ARGUMENT").many();
    construct!(Command::Watch { parent, report, arguments }).to_options().command("watch").hide()
}
