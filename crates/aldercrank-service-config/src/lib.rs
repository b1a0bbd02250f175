//! The service file: the program's own settings in KDL, apart from the platform's configuration.
//!
//! The file is read completely or not at all, and all its faults are reported at once, each with its line and column.
//! What the file does not name is off or has its default. This package does no I/O.

mod fault;
mod parser;
mod reader;
mod service;

pub use fault::{Fault, FaultKind};
pub use parser::parse;
pub use reader::{kind, Reader};
pub use service::{LogConfig, ReportConfig, ResultConfig, ServiceConfig, Start, VersionedConfigOptions};
