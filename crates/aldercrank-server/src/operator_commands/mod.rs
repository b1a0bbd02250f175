//! Operator commands for the versioned configuration: `aldercrank rules ...`.
//!
//! Each command sends its requests to servers and to the membership service one at a time, and blocks until it has
//! the response.

mod client;
mod command_line;
mod error;
mod status_report;

pub use command_line::{command_parser, RulesCommand};
pub use error::{CommandError, RequestError, ResponseError};

use crate::config::{Config, ConfigError, FileFaults};
use aldercrank_protocol::membership;
use aldercrank_versioned_config::{changes, restrictions, Change, Value, VersionedConfig};
use client::{request_http, request_status};
use serde_json::Value as Json;
use status_report::print_status;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long `propose --at` waits for a decision.
const DECISION_TIMEOUT: Duration = Duration::from_secs(15);
/// How long `propose --at` waits between two polls of the committee member.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The exit code of a command that completed; that of a failed one is [`CommandError::exit_code`].
type CommandResult = Result<u8, CommandError>;

const SUCCESS: u8 = 0;

/// Runs a command, prints its output and returns the program's exit code.
pub fn run(command: &RulesCommand) -> CommandResult {
    match command {
        RulesCommand::Check { config, file } => check(config.as_deref(), file),
        RulesCommand::Show { at, file } => show(*at, file.as_deref()),
        RulesCommand::Diff { json, old, new } => diff(*json, old, new),
        RulesCommand::Propose { to, at, file } => propose(*to, *at, file),
        RulesCommand::Withdraw { to } => withdraw(*to),
        RulesCommand::Status { at, json } => status(at, *json),
    }
}

fn read_version(file: &str) -> Result<VersionedConfig, ConfigError> {
    let path = || file.to_string();
    let text =
        std::fs::read_to_string(file).map_err(|source| ConfigError::Unreadable { path: path(), source })?;
    Ok(VersionedConfig::parse(&text).map_err(|faults| FileFaults { path: path(), faults })?)
}

fn check(config: Option<&str>, file: &str) -> CommandResult {
    let version = read_version(file)?;
    if let Some(config) = config {
        let config = Config::load(Some(config), None)?;
        let incompatibilities = version.incompatibilities(&config.settings, &config.name);
        if !incompatibilities.is_empty() {
            let incompatibilities = incompatibilities.iter().map(ToString::to_string).collect();
            return Err(CommandError::Incompatible { server: config.name, incompatibilities });
        }
    }
    println!(
        "version {} ({}): can be read; agree-within {:?}",
        version.number,
        version.digest(),
        version.agreement_bound()
    );
    Ok(SUCCESS)
}

fn show(at: Option<SocketAddr>, file: Option<&str>) -> CommandResult {
    let version = match (at, file) {
        (Some(at), None) => {
            let status = request_status(at)?;
            let text = status["text"].as_str().ok_or(CommandError::NoVersion { at })?;
            VersionedConfig::parse(text).map_err(|_| CommandError::UnreadableVersion { at })?
        }
        (None, Some(file)) => read_version(file)?,
        _ => return Err(CommandError::InvalidSource),
    };
    print!("{}", version.text());
    println!("// digest {}", version.digest());
    Ok(SUCCESS)
}

fn change_as_json(change: &Change) -> Json {
    let text = |value: &Option<Value>| value.as_ref().map(ToString::to_string);
    serde_json::json!({"item": change.path.to_string(), "role": format!("{:?}", change.consistency).to_lowercase(),
        "from": text(&change.from), "to": text(&change.to)})
}

fn diff(json: bool, old: &str, new: &str) -> CommandResult {
    let old = read_version(old).map_err(CommandError::DiffInput)?;
    let new = read_version(new).map_err(CommandError::DiffInput)?;
    let (changes, restrictions) = (changes(&old, &new), restrictions(&old, &new));
    if json {
        let as_json: Vec<Json> = changes.iter().map(change_as_json).collect();
        let document = serde_json::json!({"from": old.number.0, "to": new.number.0, "changes": as_json,
            "tightens": restrictions});
        println!("{document}");
    } else {
        changes.iter().for_each(|change| println!("{change}"));
        for restriction in &restrictions {
            println!("all servers that could go on against it must hold it first: {restriction}");
        }
    }
    Ok(u8::from(!changes.is_empty()))
}

/// Sends a request to the membership service; an HTTP status other than 2xx is an error.
fn request_membership(to: SocketAddr, request: &[u8]) -> Result<(), CommandError> {
    let response = request_http(to, request)?;
    if !response.is_success() {
        return Err(CommandError::Refused { status: response.status, reason: response.body });
    }
    Ok(())
}

fn propose(to: SocketAddr, at: Option<SocketAddr>, file: &str) -> CommandResult {
    let version = read_version(file)?;
    request_membership(to, &membership::write_version_proposal(&to.to_string(), &version.text()))?;
    let Some(at) = at else {
        println!("version {} ({}) submitted to the membership service", version.number, version.digest());
        return Ok(SUCCESS);
    };
    let (started_at, mut pending_reason) = (Instant::now(), String::new());
    while started_at.elapsed() < DECISION_TIMEOUT {
        let status = request_status(at)?;
        let committee = &status["committee"];
        if committee["standing"].is_null() {
            return Err(CommandError::NotOnCommittee { at });
        }
        if let Some(in_force) = decision(committee, &version) {
            in_force?;
            println!("version {} is in force", version.number);
            return Ok(SUCCESS);
        }
        pending_reason =
            committee["held_up"].as_str().unwrap_or("the committee member has not read it yet").to_string();
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(CommandError::Undecided {
        version: version.number.to_string(),
        waited: DECISION_TIMEOUT,
        reason: pending_reason,
    })
}

/// Returns whether the committee put a version in force or why not, or `None` while it has not decided.
fn decision(committee: &Json, version: &VersionedConfig) -> Option<Result<(), CommandError>> {
    let (committed, number) = (&committee["standing"], version.number.0);
    if committed["last"].as_u64() < Some(number) {
        return None;
    }
    if committed["version"].as_u64() == Some(number) && committed["digest"] == version.digest().to_string() {
        return Some(Ok(()));
    }
    let refusals = committee["refused"].as_array().into_iter().flatten();
    let reason = refusals
        .filter(|refusal| refusal["version"].as_u64() == Some(number))
        .filter_map(|refusal| refusal["why"].as_str())
        .next_back()
        .unwrap_or("another version with this number or a higher one was decided on");
    Some(Err(CommandError::NotInForce { version: version.number.to_string(), reason: reason.to_string() }))
}

fn withdraw(to: SocketAddr) -> CommandResult {
    request_membership(to, &membership::write_version_withdrawal(&to.to_string()))?;
    println!("proposed version withdrawn");
    Ok(SUCCESS)
}

/// The response of a server to a status request.
struct ServerStatus {
    at: SocketAddr,
    status: Result<Json, RequestError>,
}

impl ServerStatus {
    fn as_json(&self) -> Json {
        match &self.status {
            Ok(status) => serde_json::json!({"at": self.at.to_string(), "status": status}),
            Err(error) => serde_json::json!({"at": self.at.to_string(), "error": error.to_string()}),
        }
    }

    fn print(&self) {
        match &self.status {
            Ok(status) => print_status(status),
            Err(error) => println!("{}: {error}", self.at),
        }
    }
}

fn status(at: &[SocketAddr], json: bool) -> CommandResult {
    let servers: Vec<ServerStatus> =
        at.iter().map(|at| ServerStatus { at: *at, status: request_status(*at) }).collect();
    if servers.iter().all(|server| server.status.is_err()) {
        let errors = servers.into_iter().filter_map(|server| server.status.err());
        return Err(CommandError::NoResponses(errors.collect()));
    }
    let committed: Vec<&Json> =
        servers.iter().filter_map(|server| server.status.as_ref().ok()).map(|s| &s["standing"]).collect();
    let agree = committed.len() == servers.len() && committed.windows(2).all(|pair| pair[0] == pair[1]);
    if json {
        println!("{}", Json::Array(servers.iter().map(ServerStatus::as_json).collect()));
    } else {
        servers.iter().for_each(ServerStatus::print);
    }
    Ok(u8::from(!agree))
}
