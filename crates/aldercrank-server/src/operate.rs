//! `aldercrank rules`: what operators do with the rule book, from a command line. It speaks with servers and with the
//! list service as any other of theirs does, one question at a time, and waits for its answer.

use aldercrank_consensus::{PeerRequest, PeerResponse};
use aldercrank_protocol::msgpack_rpc::{
    self, MessageId, ReceivedFields, RequestFields, ResponseHandler, CONSENSUS_METHOD,
};
use aldercrank_protocol::{http, membership};
use aldercrank_versioned_config::{changes, restrictions, VersionedConfig};
use bpaf::{construct, long, positional, OptionParser, Parser};
use serde_json::Value as Json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long `propose --at` waits for a decision, and how often it looks.
const DECISION: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_millis(100);
const ANSWER: usize = 4 << 20;

#[derive(Clone, Debug)]
pub enum Rules {
    Check { config: Option<String>, file: String },
    Show { at: Option<SocketAddr>, file: Option<String> },
    Diff { json: bool, old: String, new: String },
    Propose { to: SocketAddr, at: Option<SocketAddr>, file: String },
    Withdraw { to: SocketAddr },
    Status { at: Vec<SocketAddr>, json: bool },
}

pub fn commands() -> OptionParser<Rules> {
    let place = |name: &'static str, help: &'static str| long(name).help(help).argument::<SocketAddr>("ADDR");
    let file = || positional::<String>("FILE").help("a version of the rule book, KDL");
    let json = || long("json").help("one JSON document").switch();
    let (config, book) = (
        long("config")
            .help("also whether the server of this configuration can go by it")
            .argument("CONFIG")
            .optional(),
        file(),
    );
    let check = construct!(Rules::Check { config, file(book) })
        .to_options()
        .descr("Say whether a version can be read, and all that is wrong with it")
        .footer("Example: aldercrank rules check rules-9.kdl\nExit: 0 it can be read, 1 it can not")
        .command("check");
    let (at, book) = (place("at", "a server: the version that it goes by").optional(), file().optional());
    let show = construct!(Rules::Show { at, file(book) })
        .to_options()
        .descr("Print a version in its one form, with its digest")
        .footer("Example: aldercrank rules show --at 127.0.0.1:7001\nExit: 0 shown, 1 it can't be read, 2 nobody answers")
        .command("show");
    let (json_, old, new) = (json(), file(), file());
    let diff = construct!(Rules::Diff { json(json_), old, new })
        .to_options()
        .descr("Say what differs between two versions, free or fenced, and what all servers must have heard of first")
        .footer("Exit: 0 nothing differs, 1 something does, 2 one can't be read")
        .command("diff");
    let (to, at, book) = (
        place("to", "the list service"),
        place("at", "a member of the committee: wait for the decision and say it").optional(),
        file(),
    );
    let propose = construct!(Rules::Propose { to, at, file(book) })
        .to_options()
        .descr("Hand a version to the list service, where the committee reads it")
        .footer(
            "Example: aldercrank rules propose rules-9.kdl --to 127.0.0.1:8761 --at 127.0.0.1:7001\n\
             Exit: 0 handed over (with --at: in force), 1 refused, 2 it could not be asked",
        )
        .command("propose");
    let to = place("to", "the list service");
    let withdraw = construct!(Rules::Withdraw { to })
        .to_options()
        .descr("Take the version back that is not in force yet; its number is used up")
        .footer("Exit: 0 taken back, 1 refused, 2 it could not be asked")
        .command("withdraw");
    let (at, json_) =
        (place("at", "a server; several may be named").some("name a server with --at ADDR"), json());
    let status = construct!(Rules::Status { at, json(json_) })
        .to_options()
        .descr("Say for each server which version it goes by, since when, and what holds a version up")
        .footer("Example: aldercrank rules status --at 127.0.0.1:7001\nExit: 0 all answer and agree, 1 not so, 2 nobody answers")
        .command("status");
    construct!([check, show, diff, propose, withdraw, status])
        .to_options()
        .descr("What operators do with the rule book")
}

/// What could not be done, with the exit code for it.
pub struct Failed(pub u8, pub String);

type Done = Result<u8, Failed>;

fn read_file(file: &str, code: u8) -> Result<VersionedConfig, Failed> {
    let text = std::fs::read_to_string(file).map_err(|e| Failed(code, format!("{file}: {e}")))?;
    VersionedConfig::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{file}:{fault}")).collect();
        Failed(code, lines.join("\n"))
    })
}

pub fn run(rules: &Rules) -> Done {
    match rules {
        Rules::Check { config, file } => check(config.as_deref(), file),
        Rules::Show { at, file } => show(*at, file.as_deref()),
        Rules::Diff { json, old, new } => diff(*json, old, new),
        Rules::Propose { to, at, file } => propose(*to, *at, file),
        Rules::Withdraw { to } => withdraw(*to),
        Rules::Status { at, json } => status(at, *json),
    }
}

fn check(config: Option<&str>, file: &str) -> Done {
    let book = read_file(file, 1)?;
    if let Some(config) = config {
        let config = crate::config::Config::load(Some(config), None).map_err(|why| Failed(1, why))?;
        let incompatibilities = book.incompatibilities(&config.settings, &config.name);
        let incompatibilities: Vec<String> = incompatibilities.iter().map(ToString::to_string).collect();
        if !incompatibilities.is_empty() {
            return Err(Failed(
                1,
                format!("{} can't go by it:\n{}", config.name, incompatibilities.join("\n")),
            ));
        }
    }
    println!("version {} ({}): can be read; agree-within {:?}", book.number, book.digest(), book.within());
    Ok(0)
}

fn show(at: Option<SocketAddr>, file: Option<&str>) -> Done {
    let book = match (at, file) {
        (Some(at), None) => {
            let status = ask_status(at)?;
            let text =
                status["text"].as_str().ok_or_else(|| Failed(1, format!("{at} goes by no version yet")))?;
            VersionedConfig::parse(text)
                .map_err(|_| Failed(1, format!("{at} has a text that can't be read here")))?
        }
        (None, Some(file)) => read_file(file, 1)?,
        _ => return Err(Failed(2, "name a FILE, or a server with --at ADDR".to_string())),
    };
    print!("{}", book.text());
    println!("// digest {}", book.digest());
    Ok(0)
}

fn diff(json: bool, old: &str, new: &str) -> Done {
    let (old, new) = (read_file(old, 2)?, read_file(new, 2)?);
    let (all, tighter) = (changes(&old, &new), restrictions(&old, &new));
    if json {
        let all: Vec<Json> = all
            .iter()
            .map(|c| {
                let word = |v: &Option<aldercrank_versioned_config::Value>| v.as_ref().map(|v| v.to_string());
                serde_json::json!({"item": c.path.to_string(), "role": format!("{:?}", c.role).to_lowercase(),
                    "from": word(&c.from), "to": word(&c.to)})
            })
            .collect();
        println!(
            "{}",
            serde_json::json!({"from": old.number.0, "to": new.number.0, "changes": all, "tightens": tighter})
        );
    } else {
        all.iter().for_each(|change| println!("{change}"));
        for change in &tighter {
            println!("all servers that could go on against it must hold it first: {change}");
        }
    }
    Ok(u8::from(!all.is_empty()))
}

fn propose(to: SocketAddr, at: Option<SocketAddr>, file: &str) -> Done {
    let book = read_file(file, 1)?;
    let (status, said) = ask_list(to, &membership::write_version_proposal(&to.to_string(), &book.text()))?;
    if status / 100 != 2 {
        return Err(Failed(1, format!("the list service refuses it ({status}): {said}")));
    }
    let Some(at) = at else {
        println!("version {} ({}) is with the list service", book.number, book.digest());
        return Ok(0);
    };
    let (began, mut held) = (Instant::now(), String::new());
    while began.elapsed() < DECISION {
        let status = ask_status(at)?;
        let standing = &status["committee"]["standing"];
        if standing.is_null() {
            return Err(Failed(2, format!("{at} is not on the committee; ask a member")));
        }
        if standing["last"].as_u64() >= Some(book.number.0) {
            if standing["version"].as_u64() == Some(book.number.0)
                && standing["digest"] == book.digest().to_string()
            {
                println!("version {} is in force", book.number);
                return Ok(0);
            }
            let refused = status["committee"]["refused"].as_array().into_iter().flatten();
            let mut own = refused
                .filter(|r| r["version"].as_u64() == Some(book.number.0))
                .filter_map(|r| r["why"].as_str());
            let why =
                own.next_back().unwrap_or("another version has this number, or a higher one").to_string();
            return Err(Failed(1, format!("version {} is not in force: {why}", book.number)));
        }
        held = status["committee"]["held_up"].as_str().unwrap_or("not read yet").to_string();
        std::thread::sleep(LOOK);
    }
    Err(Failed(1, format!("version {} is not decided on after {DECISION:?}: {held}", book.number)))
}

fn withdraw(to: SocketAddr) -> Done {
    let (status, said) = ask_list(to, &membership::write_version_withdrawal(&to.to_string()))?;
    if status / 100 != 2 {
        return Err(Failed(1, format!("the list service refuses it ({status}): {said}")));
    }
    println!("taken back");
    Ok(0)
}

fn status(at: &[SocketAddr], json: bool) -> Done {
    let told: Vec<(SocketAddr, Result<Json, Failed>)> = at.iter().map(|at| (*at, ask_status(*at))).collect();
    if told.iter().all(|(_, t)| t.is_err()) {
        let why = told.into_iter().filter_map(|(_, t)| t.err()).map(|failed| failed.1);
        return Err(Failed(2, why.collect::<Vec<_>>().join("\n")));
    }
    let standings: Vec<&Json> =
        told.iter().filter_map(|(_, t)| t.as_ref().ok()).map(|t| &t["standing"]).collect();
    let agree = told.iter().all(|(_, t)| t.is_ok()) && standings.windows(2).all(|w| w[0] == w[1]);
    if json {
        let one = |(at, told): &(SocketAddr, Result<Json, Failed>)| match told {
            Ok(status) => serde_json::json!({"at": at.to_string(), "status": status}),
            Err(Failed(_, why)) => serde_json::json!({"at": at.to_string(), "error": why}),
        };
        println!("{}", Json::Array(told.iter().map(one).collect()));
    } else {
        for (at, told) in &told {
            match told {
                Ok(status) => print_status(status),
                Err(Failed(_, why)) => println!("{at}: {why}"),
            }
        }
    }
    Ok(u8::from(!agree))
}

fn print_status(status: &Json) {
    let word = |v: &Json| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let secs = |v: &Json| format!("{:.1} s", v.as_f64().unwrap_or_default() / 1e3);
    let standing = &status["standing"];
    let version = match standing.is_null() {
        true => "no version known".to_string(),
        false => format!(
            "version {} ({}) since {}",
            standing["version"],
            word(&standing["digest"]),
            secs(&status["since_ms"])
        ),
    };
    let may = match status["level"].as_str() {
        Some("full") => format!("lease {}", secs(&status["lease_ms"])),
        Some("alone") => "out of touch: does what may run again, and nothing else".to_string(),
        _ => "takes nothing".to_string(),
    };
    println!("{}: {version}, {may}", word(&status["server"]));
    let start = &status["start"];
    if let Some(share) = start["share"].as_f64().filter(|share| *share < 1.0) {
        println!("  {}, offers {:.0} %: {}", word(&start["phase"]), share * 100.0, word(&start["why"]));
    }
    if let Some(why) = status["misfit"].as_str() {
        println!("  can't go by it: {why}");
    }
    let committee = &status["committee"];
    if committee.is_null() {
        return;
    }
    let members = committee["members"].as_array().cloned().unwrap_or_default();
    let state = match (committee["sound"].as_bool(), committee["vouches"].as_bool()) {
        (Some(true), Some(true)) => "vouches for what stands",
        (Some(true), _) => "hears no majority",
        _ => "remembers nothing yet, and is silent",
    };
    println!("  on the committee of {}: {state}", members.iter().map(word).collect::<Vec<_>>().join(", "));
    if let Some(draft) = committee["draft"].as_u64() {
        println!("  version {draft} to come: {}", word(&committee["held_up"]));
    }
    for odd in committee["at_odds"].as_array().into_iter().flatten() {
        println!("  the same number with another content: {}", word(odd));
    }
    for refused in committee["refused"].as_array().into_iter().flatten() {
        println!("  version {} refused: {}", refused["version"], word(&refused["why"]));
    }
    for server in committee["servers"].as_array().into_iter().flatten() {
        let weighed = &server["weighed"];
        let draft = match (weighed.is_null(), weighed["refuses"].as_str()) {
            (true, _) => String::new(),
            (_, None) => format!(", holds {}", weighed["version"]),
            (_, Some(why)) => format!(", refuses {}: {why}", weighed["version"]),
        };
        println!(
            "  {:<12} version {}, heard {} ago, lease {}{draft}",
            word(&server["name"]),
            server["last"],
            secs(&server["heard_ms"]),
            secs(&server["lease_ms"])
        );
    }
}

// ---- one question, one answer ----

fn dial(at: SocketAddr) -> Result<TcpStream, Failed> {
    let say = |e: std::io::Error| Failed(2, format!("{at}: {e}"));
    let stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(say)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(say)?;
    Ok(stream)
}

/// Says it, and reads until the answer is whole.
fn ask<T>(
    at: SocketAddr,
    question: &[u8],
    mut whole: impl FnMut(&[u8]) -> Result<Option<T>, String>,
) -> Result<T, Failed> {
    let say = |why: String| Failed(2, format!("{at}: {why}"));
    let mut stream = dial(at)?;
    stream.write_all(question).map_err(|e| say(e.to_string()))?;
    let (mut heard, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    while heard.len() < ANSWER {
        let n = stream.read(&mut chunk).map_err(|e| say(format!("no answer: {e}")))?;
        if n == 0 {
            return Err(say(
                "it closed without an answer; is there a rule book in its service file?".to_string()
            ));
        }
        heard.extend_from_slice(&chunk[..n]);
        if let Some(answer) = whole(&heard).map_err(say)? {
            return Ok(answer);
        }
    }
    Err(say("an answer without end".to_string()))
}

#[derive(Default)]
struct Ear(Option<Option<PeerResponse>>);

impl ResponseHandler for Ear {
    fn completed(&mut self, _: MessageId, result: &[u8], _: ReceivedFields) {
        self.0 = Some(rmp_serde::from_slice(result).ok());
    }
    fn rejected(&mut self, _: MessageId, _: ReceivedFields) {
        self.0 = Some(None);
    }
    fn failed(&mut self, _: MessageId, _: &str, _: ReceivedFields) {
        self.0 = Some(None);
    }
    fn health_reported(&mut self, _: MessageId, _: bool, _: ReceivedFields) {}
    fn closing(&mut self) {}
}

fn ask_status(at: SocketAddr) -> Result<Json, Failed> {
    let mut question = Vec::new();
    let body = rmp_serde::to_vec(&PeerRequest::Status).map_err(|e| Failed(2, e.to_string()))?;
    msgpack_rpc::write_request(
        &mut question,
        MessageId(1),
        CONSENSUS_METHOD,
        &RequestFields::default(),
        &body,
    );
    let told = ask(at, &question, |heard| {
        let mut ear = Ear::default();
        match msgpack_rpc::read_response(heard, ANSWER, &mut ear) {
            Ok(_) => Ok(ear.0),
            Err(broken) => Err(format!("it said what is no answer: {broken}")),
        }
    })?;
    match told {
        Some(PeerResponse::Status { text }) => {
            serde_json::from_str(&text).map_err(|e| Failed(2, format!("{at}: {e}")))
        }
        _ => Err(Failed(2, format!("{at}: it has no rule book"))),
    }
}

fn ask_list(at: SocketAddr, question: &[u8]) -> Result<(u16, String), Failed> {
    let mut reader = http::ResponseReader::default();
    ask(at, question, |heard| match reader.read(heard) {
        Ok(reply) => Ok(reply.map(|r| (r.status, String::from_utf8_lossy(&heard[r.body]).into_owned()))),
        Err(why) => Err(format!("it said what is no answer: {why}")),
    })
}
