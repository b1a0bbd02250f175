//! The service file: a server's own settings in KDL, separate from the platform's configuration.
//!
//! A file with any fault is rejected as a whole, and all its faults are reported at once, each with its line and
//! column. A setting that is left out is off or has its default. This crate does no I/O.

mod fault;
mod parser;
mod reader;
mod service;

pub use fault::{Fault, FaultKind};
pub use parser::parse;
pub use reader::{describe_value, Reader};
pub use service::{
    LogConfig, ReportConfig, ResultConfig, ServiceConfig, StartConfig, VersionedConfigOptions,
};
