//! One batch a line in, one reply a line out; the end of input ends it.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

use aldercrank_simulator_adapter::Drill;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut drill = Drill::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.by_ref().read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(e) => return stop(&format!("cannot read: {e}")),
        }
        let text = match std::str::from_utf8(&line) {
            Ok(text) => text,
            Err(e) => return stop(&format!("not a batch: not UTF-8 (byte {})", e.valid_up_to())),
        };
        let reply = match drill.batch(text.trim_end()) {
            Ok(reply) => reply,
            Err(why) => return stop(&why),
        };
        if let Err(e) = writeln!(output, "{reply}").and_then(|()| output.flush()) {
            return stop(&format!("cannot write: {e}"));
        }
    }
}

fn stop(why: &str) -> ExitCode {
    eprintln!("aldercrank-simulator-adapter: {why}");
    ExitCode::FAILURE
}
