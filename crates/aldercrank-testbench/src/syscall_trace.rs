//! Counts the system calls of another process by name, with ptrace, so that the program needs no support for it.

use nix::sys::ptrace::{self, Options};
use nix::sys::wait::{waitpid, WaitPidFlag, WaitStatus};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use syscalls::Sysno;

/// Number of system calls by name.
pub(crate) type Calls = BTreeMap<&'static str, u64>;

/// Traces the main thread of a process until the process ends.
pub(crate) struct Tracer {
    calls: Arc<Mutex<Calls>>,
}

impl Tracer {
    /// Starts tracing. Fails if the system does not allow a process to trace its child.
    pub(crate) fn start(pid: u32) -> io::Result<Tracer> {
        let calls: Arc<Mutex<Calls>> = Arc::default();
        let (counted, pid) = (calls.clone(), Pid::from_raw(pid as i32));
        let (attached, attach_result) = channel();
        // Ptrace requests are accepted only from the thread that attached.
        std::thread::spawn(move || {
            let seized =
                ptrace::seize(pid, Options::PTRACE_O_TRACESYSGOOD).and_then(|()| ptrace::interrupt(pid));
            let is_attached = seized.is_ok();
            let _ = attached.send(seized);
            if is_attached {
                let _ = follow(pid, &counted);
            }
        });
        match attach_result.recv() {
            Ok(Ok(())) => Ok(Tracer { calls }),
            Ok(Err(e)) => Err(io::Error::other(format!("cannot attach to the server with ptrace: {e}"))),
            Err(_) => Err(io::Error::other("the tracer thread ended before it attached to the server")),
        }
    }

    /// The system calls counted so far.
    pub(crate) fn calls(&self) -> Calls {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The number of the system call that a process enters, and its first argument.
pub(crate) fn number_and_argument(regs: &nix::libc::user_regs_struct) -> (usize, u64) {
    #[cfg(target_arch = "x86_64")]
    return (regs.orig_rax as usize, regs.rdi);
    #[cfg(target_arch = "aarch64")]
    return (regs.regs[8] as usize, regs.regs[0]);
}

fn follow(pid: Pid, calls: &Mutex<Calls>) -> nix::Result<()> {
    loop {
        match waitpid(pid, Some(WaitPidFlag::__WALL))? {
            WaitStatus::Exited(..) | WaitStatus::Signaled(..) => return Ok(()),
            WaitStatus::PtraceSyscall(_) => {
                let info = ptrace::syscall_info(pid)?;
                if info.op == nix::libc::PTRACE_SYSCALL_INFO_ENTRY {
                    let (number, _) = number_and_argument(&ptrace::getregs(pid)?);
                    let name = Sysno::new(number).map_or("unknown", |s| s.name());
                    *calls.lock().unwrap_or_else(PoisonError::into_inner).entry(name).or_insert(0) += 1;
                }
                ptrace::syscall(pid, None)?;
            }
            WaitStatus::Stopped(_, signal) => ptrace::syscall(pid, signal)?,
            _ => ptrace::syscall(pid, None)?,
        }
    }
}
