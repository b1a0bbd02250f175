//! The program `aldercrank-drill`: reads batches from standard input, one per line, and writes the reply to each as a
//! line of standard output, until the end of the input.

use aldercrank_simulator_adapter::{AdapterError, SimulatorAdapter};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::ExitCode;

/// The name of the program, which precedes error messages.
const PROGRAM: &str = "aldercrank-drill";
/// Size of the input buffer. The batches of a large fleet are long lines.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    match reply_to_batches() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn reply_to_batches() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut adapter = SimulatorAdapter::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.by_ref().read_until(b'\n', &mut line).map_err(AdapterError::Read)? == 0 {
            return Ok(());
        }
        let text = std::str::from_utf8(&line)
            .map_err(|error| AdapterError::NotUtf8 { byte: error.valid_up_to() })?;
        let reply = adapter.handle_batch(text.trim_end())?;
        writeln!(output, "{reply}").and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
}
