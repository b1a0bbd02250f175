//! The program `aldercrank-testbench`.

use std::process::ExitCode;

fn main() -> ExitCode {
    aldercrank_testbench::main()
}
