//! Runs the server's code in a testbench process, either with its allocations and copies counted or with a fault
//! injected into its consensus.

use crate::consensus_check::injected_fault;
use crate::HEAP;
use aldercrank_server::config::{Config, ConfigError};
use aldercrank_server::net::serve;
use std::io;

/// Serves until SIGTERM with an injected fault that the checks must detect. Fails if the fault is unknown or the
/// configuration is invalid.
pub(crate) fn serve_faulty(name: &str, config: String, service: Option<String>) -> io::Result<bool> {
    let unknown = || io::Error::other(format!("unknown injected fault {name}"));
    let fault = injected_fault(name).ok_or_else(unknown)?;
    let load = move || -> Result<Config, ConfigError> {
        let mut config = Config::load(Some(&config), service.as_deref())?;
        if let Some(agreement) = &mut config.agreement {
            agreement.injected_fault = Some(fault);
        }
        Ok(config)
    };
    serve(load().map_err(io::Error::other)?, load)?;
    Ok(true)
}

/// Serves until SIGTERM and answers each line on standard input with the numbers of allocations, bytes allocated and
/// bytes copied so far. Exits at the end of standard input.
pub(crate) fn serve_counted(config: String, service: Option<String>) -> io::Result<bool> {
    std::thread::spawn(|| {
        for _ in io::stdin().lines() {
            let heap = HEAP.stats();
            let allocations = heap.allocations + heap.reallocations;
            let copied = aldercrank_server::payload::copied_bytes();
            println!("{allocations} {} {copied}", heap.bytes_allocated);
        }
        // The process that reads the counts has ended.
        std::process::exit(0);
    });
    let load = move || Config::load(Some(&config), service.as_deref());
    serve(load().map_err(io::Error::other)?, load)?;
    Ok(true)
}
