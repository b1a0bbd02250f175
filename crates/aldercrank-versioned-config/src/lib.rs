//! The versioned configuration: settings and lists that all servers of a fleet share, identified by a version number
//! and a digest. This crate does no I/O and reads no clock.
//!
//! [`VersionedConfig::parse`] accepts a version as a whole or reports all its faults, each with a line and a column.
//! The [`Consistency`] of an item states whether servers may use two of its values at the same time: without a limit
//! (free), within the agreement bound (fenced) or never (fixed). [`changes()`] compares two versions, and
//! [`VersionedConfig::merged_settings`] merges a version with the platform's settings.

mod changes;
mod incompatibility;
mod items;
mod parse_fault;
mod parser;
mod path;
mod platform_settings;
mod value;
mod version;
mod versioned_config;

pub use changes::{changes, restrictions, Change};
pub use incompatibility::Incompatibility;
pub use items::Consistency;
pub use path::ItemPath;
pub use value::Value;
pub use version::{Digest, VersionNumber};
pub use versioned_config::{MemberAddress, VersionedConfig};
