//! What the module can do to its server. No decision lives here.

use crate::types::TxnId;
use std::time::Duration;

pub trait Host {
    /// Starts a held txn.
    fn start(&mut self, txn: TxnId);
    /// Stops a running txn, where the settings allow it.
    fn stop(&mut self, txn: TxnId);
    /// Final answer: turned away, never ran. `back_in`: when to come back; `last`: try nobody else.
    fn decline(&mut self, txn: TxnId, back_in: Option<Duration>, last: bool);
    /// Final answer: an error that promises nothing.
    fn void(&mut self, txn: TxnId);
    /// Remembers a txn so that its repeats are known.
    fn keep(&mut self, txn: TxnId, span: Duration);
    /// Drops a remembered txn.
    fn forget(&mut self, txn: TxnId);
    /// Answers a repeat from the txn it repeats.
    fn join(&mut self, txn: TxnId);
    /// Makes the call that a txn waits for.
    fn call(&mut self, txn: TxnId, give_up_after: Duration);
    /// Goes on without the call.
    fn skip_call(&mut self, txn: TxnId);
    /// What health checks hear from now on.
    fn health(&mut self, good: bool, stored: bool);
    /// Closes connections idle for this long.
    fn close_idle(&mut self, span: Duration);
    /// Sets the free value sent along with every answer.
    fn advertise(&mut self, value: f64);
    /// Asks for a wake-up.
    fn wake(&mut self, after: Duration);
    /// Adds a line to the log.
    fn log(&mut self, line: &str);
}
