//! The subcommands of `aldercrank rules`, with their flags and help texts.

use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;

/// A subcommand of `aldercrank rules`.
#[derive(Clone, Debug)]
pub enum RulesCommand {
    /// Checks whether a version is valid and, given a server's configuration, whether that server can apply it.
    Check {
        /// The platform's configuration file of the server.
        config: Option<String>,
        /// The file of the version.
        file: String,
    },
    /// Prints a version in its canonical form.
    Show {
        /// The server whose version in force is printed.
        at: Option<SocketAddr>,
        /// The file of the version, in place of a server.
        file: Option<String>,
    },
    /// Prints the differences between two versions.
    Diff {
        /// Whether the output is one JSON document.
        json: bool,
        /// The file of the earlier version.
        old: String,
        /// The file of the later version.
        new: String,
    },
    /// Proposes a version to the committee.
    Propose {
        /// The address of the membership service.
        to: SocketAddr,
        /// The address of a committee member, which is polled until the version is decided on.
        at: Option<SocketAddr>,
        /// The file of the version.
        file: String,
    },
    /// Withdraws the proposed version.
    Withdraw {
        /// The address of the membership service.
        to: SocketAddr,
    },
    /// Prints the status of servers.
    Status {
        /// The addresses of the servers.
        at: Vec<SocketAddr>,
        /// Whether the output is one JSON document.
        json: bool,
    },
}

fn address(name: &'static str, help: &'static str) -> impl Parser<SocketAddr> {
    long(name).help(help).argument::<SocketAddr>("ADDR")
}

fn file() -> impl Parser<String> {
    positional::<String>("FILE").help("a version of the rule book, KDL")
}

fn json() -> impl Parser<bool> {
    long("json").help("one JSON document").switch()
}

fn check() -> impl Parser<RulesCommand> {
    let config = long("config")
        .help("also whether the server of this configuration can go by it")
        .argument("CONFIG")
        .optional();
    let version = file();
    construct!(RulesCommand::Check { config, file(version) })
        .to_options()
        .descr("Say whether a version can be read, and all that is wrong with it")
        .footer("Example: aldercrank rules check rules-9.kdl\nExit: 0 it can be read, 1 it can not")
        .command("check")
}

fn show() -> impl Parser<RulesCommand> {
    let (at, version) =
        (address("at", "a server: the version that it goes by").optional(), file().optional());
    construct!(RulesCommand::Show { at, file(version) })
        .to_options()
        .descr("Print a version in its one form, with its digest")
        .footer("Example: aldercrank rules show --at 127.0.0.1:7001\nExit: 0 shown, 1 it can't be read, 2 nobody answers")
        .command("show")
}

fn diff() -> impl Parser<RulesCommand> {
    let (as_json, old, new) = (json(), file(), file());
    construct!(RulesCommand::Diff { json(as_json), old, new })
        .to_options()
        .descr("Say what differs between two versions, free or fenced, and what all servers must have heard of first")
        .footer("Exit: 0 nothing differs, 1 something does, 2 one can't be read")
        .command("diff")
}

fn propose() -> impl Parser<RulesCommand> {
    let to = address("to", "the list service");
    let at = address("at", "a member of the committee: wait for the decision and say it").optional();
    let version = file();
    construct!(RulesCommand::Propose { to, at, file(version) })
        .to_options()
        .descr("Hand a version to the list service, where the committee reads it")
        .footer(
            "Example: aldercrank rules propose rules-9.kdl --to 127.0.0.1:8761 --at 127.0.0.1:7001\n\
             Exit: 0 handed over (with --at: in force), 1 refused, 2 it could not be asked",
        )
        .command("propose")
}

fn withdraw() -> impl Parser<RulesCommand> {
    let to = address("to", "the list service");
    construct!(RulesCommand::Withdraw { to })
        .to_options()
        .descr("Take the version back that is not in force yet; its number is used up")
        .footer("Exit: 0 taken back, 1 refused, 2 it could not be asked")
        .command("withdraw")
}

fn status() -> impl Parser<RulesCommand> {
    let at = address("at", "a server; several may be named").some("name a server with --at ADDR");
    let as_json = json();
    construct!(RulesCommand::Status { at, json(as_json) })
        .to_options()
        .descr("Say for each server which version it goes by, since when, and what holds a version up")
        .footer("Example: aldercrank rules status --at 127.0.0.1:7001\nExit: 0 all answer and agree, 1 not so, 2 nobody answers")
        .command("status")
}

/// The parser of the arguments after `aldercrank rules`.
pub fn command_parser() -> OptionParser<RulesCommand> {
    let (check, show, diff) = (check(), show(), diff());
    let (propose, withdraw, status) = (propose(), withdraw(), status());
    construct!([check, show, diff, propose, withdraw, status])
        .to_options()
        .descr("What operators do with the rule book")
}
