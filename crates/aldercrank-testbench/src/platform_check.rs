//! `aldercrank-testbench check platform`: the program on a day that takes every path, looked at from outside. It has to do
//! without all that the operators' platform refuses: certain system calls, a second process, descriptors and
//! listeners of other kinds, static linking.

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

/// What the platform answers with an error, or does not know.
const REFUSED: [&str; 10] = [
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
/// How often descriptors are looked at.
const LOOK: Duration = Duration::from_millis(10);

/// Calls, a reload, links lost, misuse by garbled messages, interrupts, a drain: on two servers.
const DAY: &str = "seconds 6\nfleet servers=2\ncallers rate=80 edges=2 leave=0.05\n\
    at 1 \"pool-resets\" every=0.4 for=1\nat 1.5 \"bad-config\" server=\"n1\"\n\
    at 2.2 \"garble\" with=\"edges\" way=\"to\" share-of-pieces=0.2 for=0.8\nat 3 \"index\" state=\"dead\" for=0.5\n\
    at 3.2 \"list\" state=\"down\" for=0.5\nat 3.6 \"leave\" server=\"n2\"\n";

/// What was seen of one process and those that it started.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Seen {
    calls: BTreeMap<String, u64>,
    /// What it must not do, each once.
    faults: BTreeSet<String>,
}

type Shared = Arc<Mutex<Seen>>;

fn lock(seen: &Shared) -> std::sync::MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Follows a process, its threads and what it starts, from the thread that started it. Gives its exit code.
fn follow(pid: Pid, seen: &Shared) -> nix::Result<Option<i32>> {
    let flags = WaitPidFlag::__WALL | WaitPidFlag::__WNOTHREAD;
    loop {
        // One that ended between two looks is told of next, so what fails for it is no matter.
        let _ = match waitpid(None, Some(flags))? {
            WaitStatus::PtraceSyscall(of) => {
                entered(of, seen);
                ptrace::syscall(of, None)
            }
            WaitStatus::PtraceEvent(of, _, event) => {
                let starts = [nix::libc::PTRACE_EVENT_FORK, nix::libc::PTRACE_EVENT_VFORK];
                if starts.contains(&event) {
                    lock(seen).faults.insert(format!("{} starts a second process", who(of, pid)));
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

fn entered(of: Pid, seen: &Shared) {
    let Ok(info) = ptrace::syscall_info(of) else { return };
    if info.op != nix::libc::PTRACE_SYSCALL_INFO_ENTRY {
        return;
    }
    let Ok(regs) = ptrace::getregs(of) else { return };
    let name = Sysno::new(regs.orig_rax as usize).map_or("unknown", |s| s.name());
    let mut seen = lock(seen);
    *seen.calls.entry(name.to_string()).or_insert(0) += 1;
    if REFUSED.contains(&name) {
        seen.faults.insert(format!("system call {name}, which the platform refuses"));
    }
    if name == "socket" && !matches!(regs.rdi as i32, nix::libc::AF_INET) {
        seen.faults.insert(format!("a socket of family {}, where only IPv4 is known", regs.rdi));
    }
}

/// The kinds of socket that the kernel knows of, by inode: those that are not TCP or UDP over IPv4.
fn strange_sockets(pid: u32) -> BTreeMap<String, &'static str> {
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
        let words: Vec<&str> = line.split_whitespace().collect();
        (words.get(3) == Some(&"0A")).then(|| Some((words.get(9)?.to_string(), words.get(1)?.to_string())))?
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

/// Looks at a process once: its descriptors, its listeners, how it is linked.
fn look(pid: u32, dir: &Path, given: &BTreeSet<String>, listen: &mut BTreeSet<String>, seen: &Shared) {
    let Ok(open) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return };
    let links: Vec<String> = open
        .flatten()
        .filter_map(|fd| Some(std::fs::read_link(fd.path()).ok()?.to_string_lossy().into_owned()))
        .collect();
    let (strange, listening) = (strange_sockets(pid), listeners(pid));
    let mut seen = lock(seen);
    for link in links {
        let inode = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']'));
        let kind = link.strip_prefix("anon_inode:").map(|k| k.trim_matches(['[', ']']));
        let own = Path::new(&link).starts_with(dir) || link == "/dev/null" || given.contains(&link);
        match (inode, kind) {
            (Some(inode), _) => {
                if let Some(table) = strange.get(inode) {
                    seen.faults.insert(format!("a socket of the kind {table}"));
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
                seen.faults.insert(format!("a descriptor of {link}"));
            }
        }
    }
}

/// What the platform asks of the program as a file: linked dynamically, against the C library.
fn linked(pid: u32) -> Option<bool> {
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).ok()?;
    (!maps.is_empty()).then(|| maps.contains("/libc.so") || maps.contains("/libc-"))
}

/// Looks at its descriptors, listeners and linking again and again, until it is over.
fn keep_looking(pid: u32, program: &Path, dir: &Path, listen: &str, seen: &Shared, over: &AtomicBool) {
    let (mut heard, mut dynamic, given) = (BTreeSet::new(), None, inherited());
    while !over.load(Ordering::Relaxed) {
        // Until then it is what holds it, on its way to become the program.
        if std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|is| is == program) {
            look(pid, dir, &given, &mut heard, seen);
            dynamic = linked(pid).or(dynamic);
        }
        std::thread::sleep(LOOK);
    }
    let mut seen = lock(seen);
    for at in heard.iter().filter(|at| !at.ends_with(listen)) {
        seen.faults.insert(format!("a listener at {at}, which it was not told of"));
    }
    if dynamic == Some(false) {
        seen.faults.insert("not linked dynamically against the C library".to_string());
    }
}

/// The port that a configuration tells it to listen on, as the kernel writes it.
fn told(config: &Path) -> Option<String> {
    let json: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(config).ok()?).ok()?;
    let port = json["listen"].as_str()?.rsplit(':').next()?.parse::<u16>().ok()?;
    Some(format!(":{port:04X}"))
}

/// Starts the program in place of `hold`, passes on what signals it, and writes down what was seen of it. Ends as
/// it ends.
pub fn watch(parent: u32, report: &Path, words: &[String]) -> io::Result<bool> {
    use nix::sys::signal::{SigSet, Signal};
    end_with(parent)?;
    let mut passed = SigSet::empty();
    passed.add(Signal::SIGTERM);
    passed.add(Signal::SIGHUP);
    passed.thread_block()?;
    let signals = nix::sys::signalfd::SignalFd::new(&passed)?;
    let (say, began) = std::sync::mpsc::channel();
    let (report, words) = (report.to_path_buf(), words.to_vec());
    // What is traced answers to one thread only, the one that started it.
    std::thread::spawn(move || {
        let code = traced(&report, &words, &say).unwrap_or_else(|e| {
            eprintln!("aldercrank-testbench: {e}");
            Some(2)
        });
        std::process::exit(code.unwrap_or(101));
    });
    let child = began.recv().map_err(|_| io::Error::other("the program could not be started"))?;
    loop {
        if let Some(signal) = signals.read_signal()? {
            let signal = Signal::try_from(signal.ssi_signo as i32)?;
            let _ = nix::sys::signal::kill(child, signal);
        }
    }
}

fn traced(report: &Path, words: &[String], say: &std::sync::mpsc::Sender<Pid>) -> io::Result<Option<i32>> {
    let own = std::env::current_exe()?;
    let mut command = std::process::Command::new(own);
    command.arg("hold").arg(std::process::id().to_string()).args(words);
    let child = command.spawn()?;
    let (pid, seen) = (Pid::from_raw(child.id() as i32), Shared::default());
    let options = Options::PTRACE_O_TRACESYSGOOD
        | Options::PTRACE_O_EXITKILL
        | Options::PTRACE_O_TRACEFORK
        | Options::PTRACE_O_TRACEVFORK
        | Options::PTRACE_O_TRACECLONE;
    ptrace::seize(pid, options).and_then(|()| ptrace::interrupt(pid))?;
    let _ = say.send(pid);
    let config = words.last().map(PathBuf::from).unwrap_or_default();
    let (dir, listen) = (config.parent().unwrap_or(Path::new("/")).to_path_buf(), told(&config));
    let over = Arc::new(AtomicBool::new(false));
    let looking = {
        let (over, seen, program) = (over.clone(), seen.clone(), PathBuf::from(&words[0]));
        let listen = listen.unwrap_or_default();
        std::thread::spawn(move || keep_looking(child.id(), &program, &dir, &listen, &seen, &over))
    };
    let code = follow(pid, &seen)?;
    over.store(true, Ordering::Relaxed);
    let _ = looking.join();
    let file = report.join(format!("seen-{pid}.json"));
    std::fs::write(file, serde_json::to_string(&*lock(&seen))?)?;
    Ok(code)
}

pub fn check(program: Option<PathBuf>) -> io::Result<bool> {
    let mut program = scenario_command::program(program)?;
    let scenario = Scenario::parse(DAY).map_err(io::Error::other)?;
    let report = run_dir("platform-report");
    std::fs::create_dir_all(&report)?;
    program.verb = ("watch".to_string(), vec![report.to_string_lossy().into_owned()]);
    let play = RunOptions { program, dir: run_dir("platform"), keep: false, verbose: false };
    let outcome = TestCluster::play(&scenario, &play);
    let seen = gather(&report);
    let _ = std::fs::remove_dir_all(&report);
    let (outcome, (lives, seen)) = (outcome?, seen?);
    let calls: u64 = seen.calls.values().sum();
    println!("{} settled, {} tries, {lives} lives", outcome.counts.completed, outcome.counts.attempts);
    let names = seen.calls.keys().cloned().collect::<Vec<_>>().join(" ");
    println!("{calls} system calls of {} kinds: {names}", seen.calls.len());
    for broken in &outcome.broken {
        println!("BROKEN {:?}: {}", broken.rule, broken.what);
    }
    seen.faults.iter().for_each(|fault| println!("REFUSED {fault}"));
    let (faults, broken) = (seen.faults.len(), outcome.counts.broken);
    println!("check platform: {faults} things that the platform refuses, {broken} rules broken");
    // A day in which nothing was seen would prove nothing.
    let whole = lives == outcome.starts as usize && calls > 1000 && outcome.counts.completed > 50;
    Ok(faults == 0 && broken == 0 && whole)
}

/// What was seen of all lives together.
fn gather(report: &Path) -> io::Result<(usize, Seen)> {
    let (mut lives, mut all) = (0, Seen::default());
    for file in std::fs::read_dir(report)? {
        let seen: Seen = serde_json::from_str(&std::fs::read_to_string(file?.path())?)?;
        lives += 1;
        all.faults.extend(seen.faults);
        for (name, n) in seen.calls {
            *all.calls.entry(name).or_insert(0) += n;
        }
    }
    Ok((lives, all))
}
