//! `aldercrank-testbench check platform`: the program in a scenario that takes every path, observed from outside. It must
//! not use what the operators' platform refuses: certain system calls, a second process, descriptors and listeners of
//! other kinds, static linking.

use crate::scenario_command;
use aldercrank_test_cluster::cluster::{run_dir, RunOptions, TestCluster};
use aldercrank_test_cluster::process::end_with;
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

/// System calls that the platform answers with an error, or does not know.
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

/// Calls, a reload, links lost, misuse by garbled messages, interrupts, a drain: on two servers.
const SCENARIO: &str = "seconds 6\nfleet servers=2\ncallers rate=80 edges=2 leave=0.05\n\
    at 1 \"pool-resets\" every=0.4 for=1\nat 1.5 \"bad-config\" server=\"n1\"\n\
    at 2.2 \"garble\" with=\"edges\" way=\"to\" share-of-pieces=0.2 for=0.8\nat 3 \"index\" state=\"dead\" for=0.5\n\
    at 3.2 \"list\" state=\"down\" for=0.5\nat 3.6 \"leave\" server=\"n2\"\n";

/// What was observed of one process and those that it started.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Observations {
    calls: BTreeMap<String, u64>,
    /// What it must not do, each once.
    faults: BTreeSet<String>,
}

type Shared = Arc<Mutex<Observations>>;

fn lock(observations: &Shared) -> std::sync::MutexGuard<'_, Observations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Follows a process, its threads and what it starts, from the thread that started it. Gives its exit code.
fn follow(pid: Pid, observations: &Shared) -> nix::Result<Option<i32>> {
    let flags = WaitPidFlag::__WALL | WaitPidFlag::__WNOTHREAD;
    loop {
        // A process that has ended since is reported next, so its errors here do not matter.
        let _ = match waitpid(None, Some(flags))? {
            WaitStatus::PtraceSyscall(of) => {
                entered(of, observations);
                ptrace::syscall(of, None)
            }
            WaitStatus::PtraceEvent(of, _, event) => {
                let starts = [nix::libc::PTRACE_EVENT_FORK, nix::libc::PTRACE_EVENT_VFORK];
                if starts.contains(&event) {
                    lock(observations).faults.insert(format!("{} starts a second process", who(of, pid)));
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

fn who(of: Pid, pid: Pid) -> &'static str {
    if of == pid {
        "the program"
    } else {
        "a child"
    }
}

fn entered(of: Pid, observations: &Shared) {
    let Ok(info) = ptrace::syscall_info(of) else { return };
    if info.op != nix::libc::PTRACE_SYSCALL_INFO_ENTRY {
        return;
    }
    let Ok(regs) = ptrace::getregs(of) else { return };
    let name = Sysno::new(regs.orig_rax as usize).map_or("unknown", |s| s.name());
    let mut observations = lock(observations);
    *observations.calls.entry(name.to_string()).or_insert(0) += 1;
    if REFUSED_SYSTEM_CALLS.contains(&name) {
        observations.faults.insert(format!("system call {name}, which the platform refuses"));
    }
    if name == "socket" && !matches!(regs.rdi as i32, nix::libc::AF_INET) {
        observations.faults.insert(format!("a socket of family {}, where only IPv4 is known", regs.rdi));
    }
}

/// The kinds of socket that the kernel knows of, by inode: those that are not TCP or UDP over IPv4.
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

/// Listening TCP sockets over IPv4: inode, and the address as the kernel writes it.
fn listeners(pid: u32) -> BTreeMap<String, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.get(3) == Some(&"0A"))
            .then(|| Some((fields.get(9)?.to_string(), fields.get(1)?.to_string())))?
    };
    text.lines().skip(1).filter_map(row).collect()
}

/// What this process has open: the program may have it from here, through whoever called the testbench.
fn inherited() -> BTreeSet<String> {
    let Ok(open) = std::fs::read_dir("/proc/self/fd") else { return BTreeSet::new() };
    open.flatten()
        .filter_map(|fd| Some(std::fs::read_link(fd.path()).ok()?.to_string_lossy().into_owned()))
        .collect()
}

/// Inspects a process once: its descriptors, its listeners, how it is linked.
fn inspect(
    pid: u32,
    dir: &Path,
    given: &BTreeSet<String>,
    listen: &mut BTreeSet<String>,
    observations: &Shared,
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
        let own = Path::new(&link).starts_with(dir) || link == "/dev/null" || given.contains(&link);
        match (inode, kind) {
            (Some(inode), _) => {
                if let Some(table) = others.get(inode) {
                    observations.faults.insert(format!("a socket of the kind {table}"));
                }
                if let Some(at) = listening.get(inode) {
                    listen.insert(at.clone());
                }
            }
            (None, Some("eventpoll" | "eventfd" | "signalfd" | "timerfd")) => {}
            (None, None) if own => {}
            // Where the program itself, or its libraries, are being loaded.
            (None, None)
                if link.starts_with("/lib")
                    || link.starts_with("/usr/lib")
                    || link.starts_with("/etc/ld") => {}
            (None, None) if link.starts_with("/proc/") || link.starts_with("/sys/") => {}
            _ => {
                observations.faults.insert(format!("a descriptor of {link}"));
            }
        }
    }
}

/// What the platform asks of the program as a file: linked dynamically, against the C library.
fn linked(pid: u32) -> Option<bool> {
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).ok()?;
    (!maps.is_empty()).then(|| maps.contains("/libc.so") || maps.contains("/libc-"))
}

/// Inspects its descriptors, listeners and linking again and again until it has ended.
fn inspect_until(
    pid: u32,
    program: &Path,
    dir: &Path,
    listen: &str,
    observations: &Shared,
    over: &AtomicBool,
) {
    let (mut listening, mut dynamic, given) = (BTreeSet::new(), None, inherited());
    while !over.load(Ordering::Relaxed) {
        // Until then it is the `hold` command, about to become the program.
        if std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|is| is == program) {
            inspect(pid, dir, &given, &mut listening, observations);
            dynamic = linked(pid).or(dynamic);
        }
        std::thread::sleep(INSPECTION_INTERVAL);
    }
    let mut observations = lock(observations);
    for at in listening.iter().filter(|at| !at.ends_with(listen)) {
        observations.faults.insert(format!("a listener at {at}, which is not in its configuration"));
    }
    if dynamic == Some(false) {
        observations.faults.insert("not linked dynamically against the C library".to_string());
    }
}

/// The port that a configuration names to listen on, as the kernel writes it.
fn configured_port(config: &Path) -> Option<String> {
    let json: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(config).ok()?).ok()?;
    let port = json["listen"].as_str()?.rsplit(':').next()?.parse::<u16>().ok()?;
    Some(format!(":{port:04X}"))
}

/// Starts the program as `hold` does, passes signals on to it, and writes down what was observed of it. Ends with its
/// exit code.
pub(crate) fn watch(parent: u32, report: &Path, arguments: &[String]) -> io::Result<bool> {
    use nix::sys::signal::{SigSet, Signal};
    end_with(parent)?;
    let mut passed = SigSet::empty();
    passed.add(Signal::SIGTERM);
    passed.add(Signal::SIGHUP);
    passed.thread_block()?;
    let signals = nix::sys::signalfd::SignalFd::new(&passed)?;
    let (started, start_seen) = std::sync::mpsc::channel();
    let (report, arguments) = (report.to_path_buf(), arguments.to_vec());
    // What is traced answers to one thread only, the one that started it.
    std::thread::spawn(move || {
        let code = traced(&report, &arguments, &started).unwrap_or_else(|e| {
            eprintln!("aldercrank-testbench: {e}");
            Some(2)
        });
        std::process::exit(code.unwrap_or(101));
    });
    let child = start_seen.recv().map_err(|_| io::Error::other("the program could not be started"))?;
    loop {
        if let Some(signal) = signals.read_signal()? {
            let signal = Signal::try_from(signal.ssi_signo as i32)?;
            let _ = nix::sys::signal::kill(child, signal);
        }
    }
}

fn traced(
    report: &Path,
    arguments: &[String],
    started: &std::sync::mpsc::Sender<Pid>,
) -> io::Result<Option<i32>> {
    let own = std::env::current_exe()?;
    let mut command = std::process::Command::new(own);
    command.arg("hold").arg(std::process::id().to_string()).args(arguments);
    let child = command.spawn()?;
    let (pid, observations) = (Pid::from_raw(child.id() as i32), Shared::default());
    let options = Options::PTRACE_O_TRACESYSGOOD
        | Options::PTRACE_O_EXITKILL
        | Options::PTRACE_O_TRACEFORK
        | Options::PTRACE_O_TRACEVFORK
        | Options::PTRACE_O_TRACECLONE;
    ptrace::seize(pid, options).and_then(|()| ptrace::interrupt(pid))?;
    let _ = started.send(pid);
    let config = arguments.last().map(PathBuf::from).unwrap_or_default();
    let (dir, listen) = (config.parent().unwrap_or(Path::new("/")).to_path_buf(), configured_port(&config));
    let over = Arc::new(AtomicBool::new(false));
    let inspector = {
        let (over, observations, program) =
            (over.clone(), observations.clone(), PathBuf::from(&arguments[0]));
        let listen = listen.unwrap_or_default();
        std::thread::spawn(move || inspect_until(child.id(), &program, &dir, &listen, &observations, &over))
    };
    let code = follow(pid, &observations)?;
    over.store(true, Ordering::Relaxed);
    let _ = inspector.join();
    let file = report.join(format!("seen-{pid}.json"));
    std::fs::write(file, serde_json::to_string(&*lock(&observations))?)?;
    Ok(code)
}

/// Plays the check. Gives whether the program used nothing that the platform refuses and broke no rule.
pub(crate) fn check(program: Option<PathBuf>) -> io::Result<bool> {
    let mut program = scenario_command::program(program)?;
    let scenario = Scenario::parse(SCENARIO).map_err(io::Error::other)?;
    let report = run_dir("platform-report");
    std::fs::create_dir_all(&report)?;
    program.verb = ("watch".to_string(), vec![report.to_string_lossy().into_owned()]);
    let options = RunOptions { program, dir: run_dir("platform"), keep: false, verbose: false };
    let outcome = TestCluster::play(&scenario, &options);
    let observations = gather(&report);
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
    println!("check platform: {faults} things that the platform refuses, {broken} rules broken");
    // A run in which nothing was observed would prove nothing.
    let whole = incarnations == outcome.starts as usize && calls > 1000 && outcome.counts.completed > 50;
    Ok(faults == 0 && broken == 0 && whole)
}

/// What was observed of all incarnations together.
fn gather(report: &Path) -> io::Result<(usize, Observations)> {
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
