//! The versioned configuration: settings and lists with a version number and a digest, the same on every server of a
//! fleet. No I/O and no clock.
//!
//! A version is parsed as a whole or not at all; each fault has a line and a column. The table in `items` declares of
//! each item whether versions may mix (free), or whether two values must not be in use at once (fenced). [`changes()`]
//! compares two versions, and [`VersionedConfig::settings`] merges one with the platform's settings.

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
