//! Processes of the program: started, signalled, seen to end. Only those that were started here are touched, by
//! their id; and each ends with the thread that started it, also when the rig itself is killed.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// What is started, and by what.
#[derive(Clone, Debug)]
pub struct Program {
    /// `aldercrank`, of this build or of another.
    pub path: PathBuf,
    /// What it is told before anything else.
    pub first: Vec<String>,
    /// A program of ours that takes `hold PARENT PROGRAM ...` and hands it to `hold`.
    pub holder: PathBuf,
    /// The word in place of `hold`, and what stands before the program, where it is looked at as well.
    pub verb: (String, Vec<String>),
}

impl Program {
    pub fn new(path: PathBuf, holder: PathBuf) -> Program {
        Program { path, first: Vec::new(), holder, verb: ("hold".to_string(), Vec::new()) }
    }
}

/// Sees to it that the kernel ends this process with the one that started it.
pub fn end_with(parent: u32) -> io::Result<()> {
    rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
    // It may have gone before the kernel was told.
    let own = rustix::process::getppid().map(|p| p.as_raw_nonzero().get() as u32);
    if own == Some(parent) {
        Ok(())
    } else {
        Err(io::Error::other("the rig that asked for this program has gone"))
    }
}

/// Becomes the program named first, having seen to it that the kernel ends it with its parent. Returns only where
/// that could not be.
pub fn hold(parent: u32, words: &[String]) -> io::Error {
    let Some((program, args)) = words.split_first() else {
        return io::Error::other("hold needs a program");
    };
    if let Err(e) = end_with(parent) {
        return e;
    }
    Command::new(program).args(args).exec()
}

pub struct Process {
    child: Child,
    ended: Option<Option<i32>>,
}

impl Process {
    pub fn start(program: &Program, args: &[&str], log: &Path) -> io::Result<Process> {
        let said = File::create(log)?;
        let mut command = Command::new(&program.holder);
        command.arg(&program.verb.0).arg(std::process::id().to_string()).args(&program.verb.1);
        // What follows is for the program, flags and all.
        command.arg("--").arg(&program.path).args(&program.first).args(args);
        let child = command.stdin(Stdio::null()).stdout(said.try_clone()?).stderr(said).spawn()?;
        Ok(Process { child, ended: None })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // One whose end has been taken may have given its number to another.
        if let Some(pid) = Pid::from_raw(self.child.id() as i32).filter(|_| self.ended.is_none()) {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn leave(&self) {
        self.signal(Signal::TERM);
    }

    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    pub fn read_again(&self) {
        self.signal(Signal::HUP);
    }

    /// Ends it at once and takes its end.
    pub fn kill(&mut self) {
        if self.ended.is_none() {
            let _ = self.child.kill();
            self.ended = self.child.wait().ok().map(|status| status.code());
        }
    }

    /// How it has ended, once it has: with a code, or by a signal.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten().map(|status| status.code());
        }
        self.ended
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a thread has run and has waited for a core so far.
pub fn on_core(path: &str) -> (Duration, Duration) {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let mut words = text.split_whitespace().map(|w| Duration::from_nanos(w.parse().unwrap_or_default()));
    (words.next().unwrap_or_default(), words.next().unwrap_or_default())
}

/// The same of a process's first thread.
pub fn waited(pid: u32) -> (Duration, Duration) {
    on_core(&format!("/proc/{pid}/task/{pid}/schedstat"))
}

/// The most memory that a process has had resident, in KB, and its descriptors now.
pub fn size(pid: u32) -> (u64, usize) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    (kb, open)
}
