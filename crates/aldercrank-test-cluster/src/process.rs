//! Starts, signals and reaps processes of the program under test. The kernel kills each one when the thread that
//! started it ends, so that none is left even if the test cluster itself is killed.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The program under test, and the launcher that starts it.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable `aldercrank`, of this build or of another.
    pub path: PathBuf,
    /// Arguments that come before those of each start.
    pub leading_args: Vec<String>,
    /// A program of this repository whose command `hold PARENT PROGRAM ...` calls [`exec_bound_to_parent`].
    pub launcher: PathBuf,
    /// The launcher's command and its arguments before the program: `hold`, or a command that also observes the
    /// program.
    pub launcher_command: (String, Vec<String>),
}

impl Program {
    /// The program at `path`, started by the launcher's command `hold`.
    pub fn new(path: PathBuf, launcher: PathBuf) -> Program {
        Program {
            path,
            leading_args: Vec::new(),
            launcher,
            launcher_command: (HOLD_COMMAND.to_string(), Vec::new()),
        }
    }
}

/// Makes the kernel kill this process when its parent ends.
///
/// # Errors
/// If the kernel refuses, or the parent has ended already.
pub fn kill_on_parent_exit(parent: u32) -> io::Result<()> {
    rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
    // The parent may have ended before the signal was requested, which is then never sent.
    let current_parent = rustix::process::getppid().map(|pid| pid.as_raw_nonzero().get() as u32);
    if current_parent == Some(parent) {
        Ok(())
    } else {
        Err(io::Error::other(format!("the parent process {parent} has already ended")))
    }
}

/// Replaces this process with the program and arguments in `argv`, after making the kernel kill it when its parent
/// ends. Returns only on failure.
pub fn exec_bound_to_parent(parent: u32, argv: &[String]) -> io::Error {
    let Some((program, args)) = argv.split_first() else {
        return io::Error::other("hold: no program to run");
    };
    if let Err(e) = kill_on_parent_exit(parent) {
        return e;
    }
    Command::new(program).args(args).exec()
}

/// The exit of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exit {
    /// The exit code; `None` if a signal ended it.
    pub code: Option<i32>,
}

/// A started process. Dropping it kills it.
pub struct Process {
    child: Child,
    exit: Option<Exit>,
}

impl Process {
    /// Starts the program, with its standard output and standard error in a log file.
    ///
    /// # Errors
    /// If the log can't be created or the launcher can't be started.
    pub fn start(program: &Program, args: &[&str], log: &Path) -> io::Result<Process> {
        let log = File::create(log)?;
        let mut command = Command::new(&program.launcher);
        command
            .arg(&program.launcher_command.0)
            .arg(std::process::id().to_string())
            .args(&program.launcher_command.1);
        // The launcher leaves what follows `--` to the program, flags included.
        command.arg("--").arg(&program.path).args(&program.leading_args).args(args);
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        Ok(Process { child, exit: None })
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // The id of a reaped process may already belong to another process.
        if let Some(pid) = Pid::from_raw(self.child.id() as i32).filter(|_| self.exit.is_none()) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks the process to shut down, by SIGTERM.
    pub fn request_shutdown(&self) {
        self.signal(Signal::TERM);
    }

    /// Pauses the process, by SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process, by SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to reload its configuration, by SIGHUP.
    pub fn reload_config(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if self.exit.is_none() {
            let _ = self.child.kill();
            self.exit = self.child.wait().ok().map(|status| Exit { code: status.code() });
        }
    }

    /// The exit of the process; `None` while it runs.
    pub fn exit(&mut self) -> Option<Exit> {
        if self.exit.is_none() {
            self.exit = self.child.try_wait().ok().flatten().map(|status| Exit { code: status.code() });
        }
        self.exit
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The time that a thread has spent on a core, and waiting for one, since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CpuTime {
    /// Time on a core.
    pub ran: Duration,
    /// Time during which it was ready to run and waited for a core.
    pub waited: Duration,
}

fn read_schedstat(path: &str) -> CpuTime {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let mut fields = text.split_whitespace().map(|w| Duration::from_nanos(w.parse().unwrap_or_default()));
    CpuTime { ran: fields.next().unwrap_or_default(), waited: fields.next().unwrap_or_default() }
}

/// The CPU time of the calling thread.
pub fn own_cpu_time() -> CpuTime {
    read_schedstat("/proc/thread-self/schedstat")
}

/// The CPU time of a process's main thread; zero once it has ended.
pub fn cpu_time(pid: u32) -> CpuTime {
    read_schedstat(&format!("/proc/{pid}/task/{pid}/schedstat"))
}

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessSize {
    /// The peak resident memory so far.
    pub peak_memory_kb: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// The launcher's command that replaces it with the program.
const HOLD_COMMAND: &str = "hold";

/// Whether a process with this command line, as read from `/proc/PID/cmdline`, has yet to become the program: its
/// command line is still empty, or that of the launcher. Until the launcher's `exec` is complete, the descriptors are
/// those of the parent process.
pub fn is_starting(command_line: &[u8]) -> bool {
    let mut arguments = command_line.split(|byte| *byte == 0);
    let program = arguments.next().unwrap_or_default();
    program.is_empty() || arguments.next() == Some(HOLD_COMMAND.as_bytes())
}

/// The command line of a process; empty once it has ended.
pub fn command_line(pid: u32) -> Vec<u8> {
    std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default()
}

/// The resources that a process uses; zero once it has ended.
pub fn size(pid: u32) -> ProcessSize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_memory_kb =
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    ProcessSize { peak_memory_kb, descriptors }
}
