//! Counts another process's system calls by name, from outside: nothing in the program knows of it.

use nix::sys::ptrace::{self, Options};
use nix::sys::wait::{waitpid, WaitPidFlag, WaitStatus};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use syscalls::Sysno;

/// System calls by name.
pub(crate) type Calls = BTreeMap<&'static str, u64>;

/// Follows the first thread of a process until that ends.
pub(crate) struct Tracer {
    calls: Arc<Mutex<Calls>>,
}

impl Tracer {
    /// Begins to trace. Fails where the system does not let a process trace its own child.
    pub(crate) fn start(pid: u32) -> io::Result<Tracer> {
        let calls: Arc<Mutex<Calls>> = Arc::default();
        let (counted, pid) = (calls.clone(), Pid::from_raw(pid as i32));
        let (attached, attach_result) = channel();
        // What is traced answers to one thread only.
        std::thread::spawn(move || {
            let seized =
                ptrace::seize(pid, Options::PTRACE_O_TRACESYSGOOD).and_then(|()| ptrace::interrupt(pid));
            let good = seized.is_ok();
            let _ = attached.send(seized);
            if good {
                let _ = follow(pid, &counted);
            }
        });
        match attach_result.recv() {
            Ok(Ok(())) => Ok(Tracer { calls }),
            Ok(Err(e)) => Err(io::Error::other(format!("cannot trace the server: {e}"))),
            Err(_) => Err(io::Error::other("the tracer has ended")),
        }
    }

    /// The calls so far.
    pub(crate) fn calls(&self) -> Calls {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn follow(pid: Pid, calls: &Mutex<Calls>) -> nix::Result<()> {
    loop {
        match waitpid(pid, Some(WaitPidFlag::__WALL))? {
            WaitStatus::Exited(..) | WaitStatus::Signaled(..) => return Ok(()),
            WaitStatus::PtraceSyscall(_) => {
                let info = ptrace::syscall_info(pid)?;
                if info.op == nix::libc::PTRACE_SYSCALL_INFO_ENTRY {
                    let number = ptrace::getregs(pid)?.orig_rax as usize;
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
