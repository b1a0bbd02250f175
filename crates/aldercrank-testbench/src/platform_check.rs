//! `aldercrank-testbench check platform`: traces the server program in a scenario that exercises all of its code paths.
//! It must not use what the operators' platform refuses: certain system calls, child processes, sockets other than TCP
//! and UDP over IPv4, other unusual descriptors, listeners that are not configured, static linking.

use crate::scenario_command;
use crate::syscall_trace::number_and_argument;
use aldercrank_test_cluster::cluster::{run_dir, RunOptions, TestCluster};
use aldercrank_test_cluster::process::kill_on_parent_exit;
use aldercrank_test_cluster::scenario::Scenario;
use nix::sys::ptrace::{self, Options};
use nix::sys::wait::{waitpid, WaitPidFlag, WaitStatus};
use nix::unistd::Pid;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use syscalls::Sysno;

/// System calls that the platform denies or does not implement.
const REFUSED_SYSTEM_CALLS: [&str; 10] = [
    "fork",
    "vfork",
    "execveat",
    "io_uring_setup",
    "io_uring_enter",
    "io_uring_register",
    "splice",
    "vmsplice",
    "tee",
    "sendfile",
];
/// How often descriptors are inspected.
const INSPECTION_INTERVAL: Duration = Duration::from_millis(10);

/// Two servers with index calls, an invalid reload, resets of pool links, garbled messages, failures of the index and
/// the membership service, and a drain.
const SCENARIO: &str = "seconds 6\nfleet servers=2\ncallers rate=80 edges=2 leave=0.05\n\
    at 1 \"pool-resets\" every=0.4 for=1\nat 1.5 \"bad-config\" server=\"n1\"\n\
    at 2.2 \"garble\" with=\"edges\" way=\"to\" share-of-pieces=0.2 for=0.8\nat 3 \"index\" state=\"dead\" for=0.5\n\
    at 3.2 \"list\" state=\"down\" for=0.5\nat 3.6 \"leave\" server=\"n2\"\n";

/// What was observed of one server process, its threads and its children.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Observations {
    /// Number of system calls by name.
    calls: BTreeMap<String, u64>,
    /// Each kind of forbidden behavior that was observed.
    faults: BTreeSet<String>,
}

type SharedObservations = Arc<Mutex<Observations>>;

fn lock(observations: &SharedObservations) -> std::sync::MutexGuard<'_, Observations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Traces a process, its threads and its children until the process ends. Must run on the thread that attached to it.
/// Returns the exit code, or `None` if a signal ended the process.
fn follow(pid: Pid, observations: &SharedObservations) -> nix::Result<Option<i32>> {
    let flags = WaitPidFlag::__WALL | WaitPidFlag::__WNOTHREAD;
    loop {
        // Errors for a process that has ended meanwhile are ignored: `waitpid` reports its end next.
        let _ = match waitpid(None, Some(flags))? {
            WaitStatus::PtraceSyscall(of) => {
                record_system_call(of, observations);
                ptrace::syscall(of, None)
            }
            WaitStatus::PtraceEvent(of, _, event) => {
                let starts = [nix::libc::PTRACE_EVENT_FORK, nix::libc::PTRACE_EVENT_VFORK];
                if starts.contains(&event) {
                    lock(observations).faults.insert(format!("{} starts a second process", role(of, pid)));
                }
                ptrace::syscall(of, None)
            }
            WaitStatus::Stopped(of, signal) => {
                let passed = (signal != nix::sys::signal::Signal::SIGSTOP).then_some(signal);
                ptrace::syscall(of, passed)
            }
            WaitStatus::Exited(of, code) if of == pid => return Ok(Some(code)),
            WaitStatus::Signaled(of, _, _) if of == pid => return Ok(None),
            WaitStatus::Exited(..) | WaitStatus::Signaled(..) => Ok(()),
            other => other.pid().map_or(Ok(()), |of| ptrace::syscall(of, None)),
        };
    }
}

fn role(of: Pid, pid: Pid) -> &'static str {
    if of == pid {
        "the program"
    } else {
        "a child"
    }
}

fn record_system_call(of: Pid, observations: &SharedObservations) {
    let Ok(info) = ptrace::syscall_info(of) else { return };
    if info.op != nix::libc::PTRACE_SYSCALL_INFO_ENTRY {
        return;
    }
    let Ok(regs) = ptrace::getregs(of) else { return };
    let (number, argument) = number_and_argument(&regs);
    let name = Sysno::new(number).map_or("unknown", |s| s.name());
    let mut observations = lock(observations);
    *observations.calls.entry(name.to_string()).or_insert(0) += 1;
    if REFUSED_SYSTEM_CALLS.contains(&name) {
        observations.faults.insert(format!("system call {name}, which the platform refuses"));
    }
    if name == "socket" && !matches!(argument as i32, nix::libc::AF_INET) {
        observations
            .faults
            .insert(format!("a socket of address family {}; the platform supports only IPv4", argument));
    }
}

/// The sockets other than TCP and UDP over IPv4 in the process's network namespace: inode and kind.
fn other_sockets(pid: u32) -> BTreeMap<String, &'static str> {
    let mut found = BTreeMap::new();
    let tables = [("unix", 6), ("tcp6", 9), ("udp6", 9), ("raw", 9), ("netlink", 9), ("packet", 8)];
    for (table, column) in tables {
        let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
        for line in text.lines().skip(1) {
            if let Some(inode) = line.split_whitespace().nth(column) {
                found.insert(inode.to_string(), table);
            }
        }
    }
    found
}

/// Listening TCP sockets over IPv4: inode, and address in the kernel's hexadecimal notation.
fn listeners(pid: u32) -> BTreeMap<String, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.get(3) == Some(&"0A"))
            .then(|| Some((fields.get(9)?.to_string(), fields.get(1)?.to_string())))?
    };
    text.lines().skip(1).filter_map(row).collect()
}

/// The descriptors that are open in this process. The program may have inherited them, so they are allowed.
fn inherited_descriptors() -> BTreeSet<String> {
    let Ok(open) = std::fs::read_dir("/proc/self/fd") else { return BTreeSet::new() };
    open.flatten()
        .filter_map(|fd| Some(std::fs::read_link(fd.path()).ok()?.to_string_lossy().into_owned()))
        .collect()
}

/// Inspects the descriptors and listeners of a process once.
fn inspect(
    pid: u32,
    dir: &Path,
    inherited: &BTreeSet<String>,
    listen: &mut BTreeSet<String>,
    observations: &SharedObservations,
) {
    let Ok(open) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return };
    let links: Vec<String> = open
        .flatten()
        .filter_map(|fd| Some(std::fs::read_link(fd.path()).ok()?.to_string_lossy().into_owned()))
        .collect();
    let (others, listening) = (other_sockets(pid), listeners(pid));
    let mut observations = lock(observations);
    for link in links {
        let inode = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']'));
        let kind = link.strip_prefix("anon_inode:").map(|k| k.trim_matches(['[', ']']));
        let allowed = Path::new(&link).starts_with(dir) || link == "/dev/null" || inherited.contains(&link);
        match (inode, kind) {
            (Some(inode), _) => {
                if let Some(table) = others.get(inode) {
                    observations.faults.insert(format!("a {table} socket"));
                }
                if let Some(at) = listening.get(inode) {
                    listen.insert(at.clone());
                }
            }
            (None, Some("eventpoll" | "eventfd" | "signalfd" | "timerfd")) => {}
            (None, None) if allowed => {}
            // Open while the program and its libraries are loaded.
            (None, None)
                if link.starts_with("/lib")
                    || link.starts_with("/usr/lib")
                    || link.starts_with("/etc/ld") => {}
            (None, None) if link.starts_with("/proc/") || link.starts_with("/sys/") => {}
            _ => {
                observations.faults.insert(format!("an open descriptor of {link}"));
            }
        }
    }
}

/// Whether the process is linked dynamically against the C library, as the platform requires; `None` if it has ended.
fn is_linked_dynamically(pid: u32) -> Option<bool> {
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).ok()?;
    (!maps.is_empty()).then(|| maps.contains("/libc.so") || maps.contains("/libc-"))
}

/// Inspects the descriptors, listeners and linking of a process at intervals until `ended` is set.
fn inspect_until_ended(
    pid: u32,
    program: &Path,
    dir: &Path,
    listen: &str,
    observations: &SharedObservations,
    ended: &AtomicBool,
) {
    let (mut listening, mut dynamic, inherited) = (BTreeSet::new(), None, inherited_descriptors());
    while !ended.load(Ordering::Relaxed) {
        // Until it has executed the program, the process is the testbench's `hold` command.
        if std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|is| is == program) {
            inspect(pid, dir, &inherited, &mut listening, observations);
            dynamic = is_linked_dynamically(pid).or(dynamic);
        }
        std::thread::sleep(INSPECTION_INTERVAL);
    }
    let mut observations = lock(observations);
    for at in listening.iter().filter(|at| !at.ends_with(listen)) {
        observations.faults.insert(format!("a listener at {at}, which is not the configured one"));
    }
    if dynamic == Some(false) {
        observations.faults.insert("not linked dynamically against the C library".to_string());
    }
}

/// The configured port to listen on, in the kernel's hexadecimal notation.
fn configured_port(config: &Path) -> Option<String> {
    let json: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(config).ok()?).ok()?;
    let port = json["listen"].as_str()?.rsplit(':').next()?.parse::<u16>().ok()?;
    Some(format!(":{port:04X}"))
}

/// Starts the program through `hold`, forwards SIGTERM and SIGHUP to it, and writes what was observed of it to the
/// directory `report`. This process exits with the program's exit code.
pub(crate) fn watch(parent: u32, report: &Path, arguments: &[String]) -> io::Result<bool> {
    use nix::sys::signal::{SigSet, Signal};
    kill_on_parent_exit(parent)?;
    let mut forwarded = SigSet::empty();
    forwarded.add(Signal::SIGTERM);
    forwarded.add(Signal::SIGHUP);
    forwarded.thread_block()?;
    let signals = nix::sys::signalfd::SignalFd::new(&forwarded)?;
    let (started, child_started) = std::sync::mpsc::channel();
    let (report, arguments) = (report.to_path_buf(), arguments.to_vec());
    // Ptrace requests are accepted only from the thread that attached, so one thread starts, traces and waits.
    std::thread::spawn(move || {
        let code = run_traced(&report, &arguments, &started).unwrap_or_else(|e| {
            eprintln!("aldercrank-testbench: {e}");
            Some(2)
        });
        std::process::exit(code.unwrap_or(101));
    });
    let child = child_started
        .recv()
        .map_err(|_| io::Error::other("the program could not be started under the tracer"))?;
    loop {
        if let Some(signal) = signals.read_signal()? {
            let signal = Signal::try_from(signal.ssi_signo as i32)?;
            let _ = nix::sys::signal::kill(child, signal);
        }
    }
}

fn run_traced(
    report: &Path,
    arguments: &[String],
    started: &std::sync::mpsc::Sender<Pid>,
) -> io::Result<Option<i32>> {
    let own = std::env::current_exe()?;
    let mut command = std::process::Command::new(own);
    command.arg("hold").arg(std::process::id().to_string()).args(arguments);
    let child = command.spawn()?;
    let (pid, observations) = (Pid::from_raw(child.id() as i32), SharedObservations::default());
    let options = Options::PTRACE_O_TRACESYSGOOD
        | Options::PTRACE_O_EXITKILL
        | Options::PTRACE_O_TRACEFORK
        | Options::PTRACE_O_TRACEVFORK
        | Options::PTRACE_O_TRACECLONE;
    ptrace::seize(pid, options).and_then(|()| ptrace::interrupt(pid))?;
    let _ = started.send(pid);
    let config = arguments.last().map(PathBuf::from).unwrap_or_default();
    let (dir, listen) = (config.parent().unwrap_or(Path::new("/")).to_path_buf(), configured_port(&config));
    let ended = Arc::new(AtomicBool::new(false));
    let inspector = {
        let (ended, observations, program) =
            (ended.clone(), observations.clone(), PathBuf::from(&arguments[0]));
        let listen = listen.unwrap_or_default();
        std::thread::spawn(move || {
            inspect_until_ended(child.id(), &program, &dir, &listen, &observations, &ended);
        })
    };
    let code = follow(pid, &observations)?;
    ended.store(true, Ordering::Relaxed);
    let _ = inspector.join();
    let file = report.join(format!("seen-{pid}.json"));
    std::fs::write(file, serde_json::to_string(&*lock(&observations))?)?;
    Ok(code)
}

/// Runs the check. Returns whether the program used nothing that the platform refuses and broke no rule.
pub(crate) fn check(program: Option<PathBuf>) -> io::Result<bool> {
    let mut program = scenario_command::program(program)?;
    let scenario = Scenario::parse(SCENARIO).map_err(io::Error::other)?;
    let report = run_dir("platform-report");
    std::fs::create_dir_all(&report)?;
    program.launcher_command = ("watch".to_string(), vec![report.to_string_lossy().into_owned()]);
    let options = RunOptions { program, dir: run_dir("platform"), keep: false, verbose: false };
    let outcome = TestCluster::run_scenario(&scenario, &options);
    let observations = merge_reports(&report);
    let _ = std::fs::remove_dir_all(&report);
    let (outcome, (incarnations, observations)) = (outcome?, observations?);
    let calls: u64 = observations.calls.values().sum();
    println!(
        "{} completed, {} attempts, {incarnations} incarnations",
        outcome.counts.completed, outcome.counts.attempts
    );
    let names = observations.calls.keys().cloned().collect::<Vec<_>>().join(" ");
    println!("{calls} system calls of {} kinds: {names}", observations.calls.len());
    for broken in &outcome.violations {
        println!("BROKEN {:?}: {}", broken.rule, broken.what);
    }
    observations.faults.iter().for_each(|fault| println!("REFUSED {fault}"));
    let (faults, broken) = (observations.faults.len(), outcome.counts.violations);
    println!("check platform: {faults} uses of what the platform refuses, {broken} rules broken");
    // The check is meaningless unless every incarnation was traced and did real work.
    let was_observed =
        incarnations == outcome.starts as usize && calls > 1000 && outcome.counts.completed > 50;
    Ok(faults == 0 && broken == 0 && was_observed)
}

/// The number of traced incarnations, and their observations merged.
fn merge_reports(report: &Path) -> io::Result<(usize, Observations)> {
    let (mut incarnations, mut all) = (0, Observations::default());
    for file in std::fs::read_dir(report)? {
        let observations: Observations = serde_json::from_str(&std::fs::read_to_string(file?.path())?)?;
        incarnations += 1;
        all.faults.extend(observations.faults);
        for (name, n) in observations.calls {
            *all.calls.entry(name).or_insert(0) += n;
        }
    }
    Ok((incarnations, all))
}
