//! `aldercrank-testbench` under its earlier name, for scripts that still use it.

use std::process::ExitCode;

fn main() -> ExitCode {
    aldercrank_testbench::main()
}
