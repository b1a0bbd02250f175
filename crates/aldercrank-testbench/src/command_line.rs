//! The commands of `aldercrank-testbench` and their arguments.

use crate::cold_start::ColdStart;
use crate::load_generator::Load;
use crate::scenario_command::ScenarioRun;
use crate::selection::Selection;
use crate::shutdown_soak::Soak;
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::path::PathBuf;

/// A check that `aldercrank-testbench check NAME` runs.
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

    /// The check with this name, if there is one.
    pub(crate) fn named(name: &str) -> Option<CheckName> {
        CheckName::ALL.iter().find(|(known, _)| *known == name).map(|(_, check)| *check)
    }

    /// The names of all checks, separated by commas.
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
    /// Search faults between servers that use a versioned configuration, instead of faults of servers.
    pub(crate) rules: bool,
    pub(crate) into: PathBuf,
}

/// A parsed command line. The last four commands are hidden from the help: the testbench uses them to start itself as a
/// child process.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Load(Load),
    Cost(CostArguments),
    /// Counts the instructions per request under valgrind.
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
    /// Starts another program under a tracer, forwards signals to it and writes a report of what it did.
    Watch {
        parent: u32,
        report: PathBuf,
        arguments: Vec<String>,
    },
    /// Executes another program in place of this process; it is killed when the parent process ends.
    Hold {
        parent: u32,
        arguments: Vec<String>,
    },
    /// Runs the server in this process and counts its allocations and copies.
    Counted {
        service: Option<String>,
        config: String,
    },
    /// Runs the server in this process with a fault injected into the consensus.
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
    long("json").help("print one JSON document instead of the table").switch()
}

fn server_program() -> impl Parser<Option<PathBuf>> {
    file("program", "the server program; by default `aldercrank` in the directory of this program").optional()
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
    .descr("Tests the aldercrank server from outside, on loopback")
}

fn load_command() -> impl Parser<Command> {
    let program = server_program();
    let rate = long("rate").help("first attempts per second").argument("N").fallback(40u32);
    let seconds = long("seconds").help("how long to send requests").argument("N").fallback(10u32);
    let connections = long("connections").help("number of connections").argument("N").fallback(4usize);
    let cores = long("cores").help("cores that the runs share").argument("N").fallback(4usize);
    let work_ms =
        long("work-ms").help("duration of a run that has a core of its own").argument("MS").fallback(50u64);
    let json = json();
    construct!(Load { program, rate, seconds, connections, cores, work_ms, json })
        .map(Command::Load)
        .to_options()
        .descr("Start a server with stub services, send it an open-loop load and count the answers")
        .footer(
            "Example: aldercrank-testbench load --rate 160\n\
             Exit status: 0 each request was answered once, 1 one was not, 2 the load could not be run",
        )
        .command("load")
}

fn cost_command() -> impl Parser<Command> {
    let program = file(
        "program",
        "measure this program; allocations and copies are counted only in the built-in server",
    )
    .optional();
    let against =
        file("against", "an earlier build to compare with, measured in alternating rounds").optional();
    let rounds =
        long("rounds").help("rounds of each case; the minimum is reported").argument("N").fallback(3usize);
    let plot = file(
        "plot",
        "write an SVG plot of the cost against requests in flight, connections and dedup entries",
    )
    .optional();
    let json = json();
    construct!(CostArguments { program, against, rounds, plot, json })
        .map(Command::Cost)
        .to_options()
        .descr("Measure the cost of one request of each kind to the server")
        .footer(
            "Example: aldercrank-testbench cost --plot cost.svg\n\
             Exit status: 0 all cases were measured, 1 some were not, 2 the measurement could not be run",
        )
        .command("cost")
}

fn instructions_command() -> impl Parser<Command> {
    bpaf::pure(Command::Instructions)
        .to_options()
        .descr(
            "Count the instructions per request under valgrind, as requests in flight and other sizes grow",
        )
        .footer("Exit status: 0 counted, 2 the count could not be made")
        .command("instructions")
}

fn check_command() -> impl Parser<Command> {
    let write = long("write").help("replace the budget with the measured counts, for cost").switch();
    let long_form =
        long("long").help("run the long form, which takes minutes, for live, coldstart and agree").switch();
    let program = file("program", "the server program, for all checks but cost and soak").optional();
    let against =
        file("against", "an earlier build whose figures are printed as well, for coldstart").optional();
    let name = positional::<String>("NAME")
        .help("the check: cost, live, coldstart, agree, platform, soak, shutdown");
    let except = long("except").help("skip this scenario").argument::<String>("SCENARIO").many();
    let only = long("only").help("play only this scenario").argument::<String>("SCENARIO").optional();
    let selection = construct!(Selection { except, only });
    construct!(CheckArguments { selection, write, long(long_form), program, against, name })
        .map(Command::Check)
        .to_options()
        .descr("Run a check and compare its results with their bounds")
        .footer("Exit status: 0 the check passed, 1 it failed, 2 it could not be run")
        .command("check")
}

fn fleet_command() -> impl Parser<Command> {
    let path = |name: &'static str, help: &'static str, what: &'static str| {
        long(name).help(help).argument::<PathBuf>(what).optional()
    };
    let program = server_program();
    let seed = long("seed").help("use this seed instead of the scenario's").argument::<u64>("N").optional();
    let calm = long("calm").help("also play the same seed without faults, for comparison").switch();
    let json = json();
    let quiet = long("quiet").help("do not print a line of figures each second").switch();
    let report = path("report", "write an HTML page with plots", "FILE.html");
    let keep = path("keep", "keep configurations, logs and the trace in this directory, for `why`", "DIR");
    let file = positional::<PathBuf>("SCENARIO").help("a scenario in KDL; scenarios/ has examples");
    construct!(ScenarioRun { program, seed, calm, json, quiet, report, keep, file })
        .map(Command::Fleet)
        .to_options()
        .descr("Start a cluster of server processes, play a scenario with faults and check the rules of the service")
        .footer(
            "Example: aldercrank-testbench fleet scenarios/kill-restart.kdl --report run.html\n\
             Exit status: 0 all rules and bounds hold, 1 one does not, 2 the scenario could not be played",
        )
        .command("fleet")
}

fn cold_start_command() -> impl Parser<Command> {
    let servers =
        long("servers").help("number of servers that start at once").argument("N").fallback(40usize);
    let membership_capacity = long("list-capacity")
        .help("reports per second that the membership service can handle")
        .argument("R")
        .fallback(60.0);
    let index_slots =
        long("index-slots").help("calls that the index can process at once").argument("S").fallback(64.0);
    let rate = long("rate").help("first attempts per second").argument("N").fallback(400.0);
    let seed = long("seed").help("seed of arrivals and work").argument("N").fallback(40u64);
    let program = server_program();
    let against = file("against", "an earlier build to compare with, run with the same seed").optional();
    let report = file("report", "write an HTML page with plots").optional();
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
    .descr("Start all servers of a cluster at once and show the load on the index and the membership service")
    .footer(
        "Example: aldercrank-testbench coldstart --servers 100 --list-capacity 150 --against old/aldercrank\n\
         Exit status: 0 no rule was broken, 1 a rule was broken, 2 a scenario could not be played",
    )
    .command("coldstart")
}

fn hunt_command() -> impl Parser<Command> {
    let program = long("program").help("the server program").argument::<PathBuf>("FILE").optional();
    let seconds = long("seconds").help("how long to search").argument("N").fallback(600u64);
    let seed = long("seed").help("seed of the random faults").argument("N").fallback(1u64);
    let rules =
        long("rules").help("search faults between servers that use a versioned configuration").switch();
    let into = long("into").help("directory to write the scenarios found to").argument::<PathBuf>("DIR");
    let into = into.fallback(PathBuf::from("scenarios/found"));
    construct!(SearchArguments { program, seconds, seed, rules, into })
        .map(Command::Hunt)
        .to_options()
        .descr("Play random timelines of faults and write the smallest ones that break a rule or cost the most value")
        .footer(
            "Example: aldercrank-testbench hunt --seconds 600\n\
             Exit status: 0 no rule was broken, 1 a rule was broken, 2 a scenario could not be played",
        )
        .command("hunt")
}

fn soak_command() -> impl Parser<Command> {
    let program = server_program();
    let seed = long("seed").help("the first seed").argument("N").fallback(1u64);
    let runs = long("runs").help("number of seeds to play").argument("N").fallback(50u64);
    let side_by_side = long("side-by-side").help("seeds to play at once").argument("N").fallback(4usize);
    construct!(Soak { program, seed, runs, side_by_side })
        .map(Command::Soak)
        .to_options()
        .descr(
            "Send series of signals to servers and kill them at their stop timeout, under a load of requests",
        )
        .footer(
            "Example: aldercrank-testbench soak --seed 1 --runs 50\n\
             Exit status: 0 all seeds passed, 1 one did not, 2 a scenario could not be played",
        )
        .command("soak")
}

fn why_command() -> impl Parser<Command> {
    let directory = positional::<PathBuf>("DIR").help("directory that `fleet --keep` wrote");
    let request =
        positional::<String>("REQUEST").help("a request's number, or the id of one of its attempts");
    construct!(Command::Why { directory, request })
        .to_options()
        .descr("Print the trace of one request through every process that handled it")
        .footer(
            "Example: aldercrank-testbench why /tmp/run 17\n\
             Exit status: 0 the request is in the trace, 1 it is not, 2 the trace could not be read",
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
