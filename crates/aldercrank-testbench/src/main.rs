//! The program `aldercrank-testbench`.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

use std::process::ExitCode;

fn main() -> ExitCode {
    aldercrank_testbench::main()
}
