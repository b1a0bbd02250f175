//! The command line: `aldercrank serve`, `aldercrank check-config`, `aldercrank version`.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

use aldercrank_server::config::Config;
use aldercrank_server::logger::{LogOptions, Logger};
use aldercrank_server::{net, operate};
use bpaf::{construct, long, positional, pure, OptionParser, Parser};
use std::process::ExitCode;

#[derive(Clone)]
enum Command {
    Serve { wish: LogOptions, service: Option<String>, config: Option<String> },
    CheckConfig { service: Option<String>, config: Option<String> },
    Version,
    Rules(operate::Rules),
}

fn commands() -> OptionParser<Command> {
    let config = || positional::<String>("CONFIG").help("the file, if not the one that ROUTER_CONFIG names");
    let verbose = long("verbose").short('v').help("log more").switch();
    let json = long("json-log").help("log a JSON document a line").switch();
    let requests =
        long("log-txns").help("log each txn's way through the server; much, and without a bound").switch();
    let wish = construct!(LogOptions { verbose, json, requests });
    let service = || {
        let help = "the program's own settings, as deploy/service.kdl shows; all is off without it";
        long("service").help(help).argument::<String>("FILE").optional()
    };
    let (file, own) = (config().optional(), service());
    let serve = construct!(Command::Serve { wish, service(own), config(file) })
        .to_options()
        .descr("Serve until SIGTERM")
        .command("serve");
    let (file, own) = (config().optional(), service());
    let check = construct!(Command::CheckConfig { service(own), config(file) })
        .to_options()
        .descr("Say whether a configuration can be served, and which field is wrong")
        .footer("Exit: 0 it can be served, 1 it can not")
        .command("check-config");
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    let rules = operate::commands().command("rules").map(Command::Rules);
    construct!([serve, check, rules, version])
        .to_options()
        .descr("Decides what a server takes, runs and turns away")
}

fn main() -> ExitCode {
    let run = match commands().run() {
        Command::Rules(rules) => {
            return match operate::run(&rules) {
                Ok(code) => ExitCode::from(code),
                Err(operate::Failed(code, why)) => {
                    eprintln!("aldercrank: {why}");
                    ExitCode::from(code)
                }
            }
        }
        Command::Version => {
            println!("aldercrank {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig { service, config } => {
            Config::load(config.as_deref(), service.as_deref()).map(|c| {
                println!("{}: can be served on {}", c.name, c.listen);
            })
        }
        Command::Serve { wish, service, config } => {
            let logger = Logger::install(wish);
            let read = move || Config::load(config.as_deref(), service.as_deref());
            read().and_then(|c| {
                logger.0.called(&c.name, c.json_log);
                net::serve(c, read).map_err(|e| e.to_string())
            })
        }
    };
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("aldercrank: {why}");
            ExitCode::FAILURE
        }
    }
}
