//! The command line of the program `aldercrank`: `serve`, `check-config`, `rules` and `version`.

use aldercrank_server::config::{Config, ConfigError};
use aldercrank_server::logger::{LogOptions, Logger};
use aldercrank_server::{net, operator_commands};
use bpaf::{construct, long, positional, pure, OptionParser, Parser};
use std::io;
use std::process::ExitCode;
use thiserror::Error;

#[derive(Clone)]
enum Command {
    Serve { log: LogOptions, service: Option<String>, config: Option<String> },
    CheckConfig { service: Option<String>, config: Option<String> },
    Version,
    Rules(operator_commands::RulesCommand),
}

#[derive(Debug, Error)]
enum ProgramError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Serve(#[from] io::Error),
    #[error(transparent)]
    Rules(#[from] operator_commands::CommandError),
}

impl ProgramError {
    fn exit_code(&self) -> ExitCode {
        match self {
            ProgramError::Config(_) | ProgramError::Serve(_) => ExitCode::FAILURE,
            ProgramError::Rules(error) => ExitCode::from(error.exit_code()),
        }
    }
}

fn log_options() -> impl Parser<LogOptions> {
    let verbose = long("verbose").short('v').help("log debug events too").switch();
    let json = long("json-log").help("log one JSON document per line").switch();
    let requests =
        long("log-txns").help("log every event of every request; these lines are not rate-limited").switch();
    construct!(LogOptions { verbose, json, requests })
}

fn command_line() -> OptionParser<Command> {
    let config = || {
        positional::<String>("CONFIG")
            .help("the platform's JSON file; by default the one that ROUTER_CONFIG names")
            .optional()
    };
    let service = || {
        let help = "the program's own settings (example: deploy/service.kdl); all are off without it";
        long("service").help(help).argument::<String>("FILE").optional()
    };
    let (log, file, service_file) = (log_options(), config(), service());
    let serve = construct!(Command::Serve { log, service(service_file), config(file) })
        .to_options()
        .descr("Serve until SIGTERM")
        .command("serve");
    let (file, service_file) = (config(), service());
    let check = construct!(Command::CheckConfig { service(service_file), config(file) })
        .to_options()
        .descr("Check whether a configuration can be served, and report what is wrong with it")
        .footer("Exit status: 0 if the configuration can be served, 1 if not")
        .command("check-config");
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    let rules = operator_commands::command_parser().command("rules").map(Command::Rules);
    construct!([serve, check, rules, version])
        .to_options()
        .descr("Serve requests to a worker pool, with admission control")
}

fn serve(log: LogOptions, service: Option<String>, config: Option<String>) -> Result<(), ProgramError> {
    let logger = Logger::install(log);
    let load = move || Config::load(config.as_deref(), service.as_deref());
    let config = load()?;
    logger.0.configure(&config.name, config.json_log);
    Ok(net::serve(config, load)?)
}

fn run(command: Command) -> Result<ExitCode, ProgramError> {
    match command {
        Command::Serve { log, service, config } => serve(log, service, config)?,
        Command::CheckConfig { service, config } => {
            let config = Config::load(config.as_deref(), service.as_deref())?;
            println!("{}: can be served on {}", config.name, config.listen);
        }
        Command::Version => println!("aldercrank {}", env!("CARGO_PKG_VERSION")),
        Command::Rules(rules) => return Ok(ExitCode::from(operator_commands::run(&rules)?)),
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run(command_line().run()).unwrap_or_else(|error| {
        eprintln!("aldercrank: {error}");
        error.exit_code()
    })
}
