//! Runs a scenario: starts the processes, provides the stub services around them, injects the faults of the timeline,
//! and checks the invariants. All of this happens on one thread, in one event loop with one clock.

mod config_versions;
mod connections;
mod edge_host;
mod faults;
mod finish;
mod initial_version;
mod pool_host;
mod prepare;
mod run;
mod sample;
mod signals;
mod start;
mod state;
mod stub_services;

pub use state::{run_dir, RunOptions, TestCluster};
