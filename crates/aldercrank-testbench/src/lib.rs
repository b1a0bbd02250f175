//! Black-box tests of the aldercrank server: an open-loop load generator, measurements of the cost of a request,
//! scenarios on a cluster of server processes, and checks that compare the results with their bounds. The programs
//! `aldercrank-testbench` and `aldercrank-lab` (its earlier name) call [`main`].

mod check_runner;
mod cluster_checks;
mod cold_start;
mod command_line;
mod consensus_check;
pub mod cost_budget;
mod cost_case;
mod cost_command;
mod cost_plot;
mod edge_client;
mod figures;
mod load_generator;
mod platform_check;
mod request_cost;
mod request_trace;
mod scenario_bounds;
mod scenario_command;
mod selection;
mod server_modes;
mod server_under_test;
mod shutdown_soak;
mod soak_check;
mod stub_services;
mod syscall_trace;

use command_line::{commands, CheckArguments, CheckName, Command};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::io;
use std::process::ExitCode;

/// Exit code of a check or measurement that ran and failed.
const EXIT_FAILED: u8 = 1;
/// Exit code of a command that could not be carried out.
const EXIT_NOT_RUN: u8 = 2;

/// Counts the allocations of `serve_counted`. The testbench's other processes bear the small overhead as well.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Raises the limit on open descriptors to its hard limit: some cases open thousands of connections. Server processes
/// inherit the limit.
fn raise_descriptor_limit() {
    use nix::sys::resource::{getrlimit, setrlimit, Resource};
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

fn check(arguments: &CheckArguments) -> io::Result<bool> {
    let CheckArguments { selection, write, long, program, against, name } = arguments;
    let Some(check) = CheckName::named(name) else {
        let names = CheckName::all_names();
        return Err(io::Error::other(format!("unknown check {name}; known checks: {names}")));
    };
    if matches!(check, CheckName::Cost | CheckName::Platform | CheckName::Soak) {
        selection.check_is_empty()?;
    }
    match check {
        CheckName::Cost => cost_budget::check(*write),
        CheckName::Live => cluster_checks::check(selection, *long, program.clone()),
        CheckName::ColdStart => cold_start::check(selection, *long, program.clone(), against.clone()),
        CheckName::Agree => consensus_check::check(selection, *long, program.clone()),
        CheckName::Platform => platform_check::check(program.clone()),
        CheckName::Soak => soak_check::check(),
        CheckName::Shutdown => shutdown_soak::check(selection, program.clone()),
    }
}

/// Runs a command. Returns whether its checks passed or its measurements succeeded.
fn run(command: Command) -> io::Result<bool> {
    match command {
        Command::Load(load) => load_generator::run(&load),
        Command::Cost(arguments) => cost_command::run(&arguments),
        Command::Instructions => cost_command::print_instructions(),
        Command::Check(arguments) => check(&arguments),
        Command::Fleet(scenario_run) => scenario_command::run(&scenario_run),
        Command::ColdStart(cold_start) => cold_start::run(&cold_start),
        Command::Soak(soak) => shutdown_soak::run(&soak),
        Command::Hunt(arguments) => scenario_command::search(&arguments),
        Command::Why { directory, request } => request_trace::print_trace(&directory, &request),
        Command::Watch { parent, report, arguments } => platform_check::watch(parent, &report, &arguments),
        Command::Hold { parent, arguments } => {
            Err(aldercrank_test_cluster::process::exec_bound_to_parent(parent, &arguments))
        }
        Command::Faulty { fault, service, config } => server_modes::serve_faulty(&fault, config, service),
        Command::Counted { service, config } => server_modes::serve_counted(config, service),
    }
}

/// Runs the command on the command line and returns the exit code of the process.
pub fn main() -> ExitCode {
    raise_descriptor_limit();
    match run(commands().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("aldercrank-testbench: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}
