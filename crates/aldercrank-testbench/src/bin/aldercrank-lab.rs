//! The testbench under the name that earlier versions gave it, for scripts that call it so.

use std::process::ExitCode;

fn main() -> ExitCode {
    aldercrank_testbench::main()
}
