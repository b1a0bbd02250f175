//! The rule book: a numbered version, with a digest, of settings and lists that the servers of a fleet go by. No I/O,
//! no clock.
//!
//! A book is read whole or not at all, each fault by line and column. Each item is free (any mix of versions does no
//! harm) or fenced (two values must not be acted on at the same time); `items.rs` says which, once. `changes` tells
//! two versions apart, `VersionedConfig::settings` merges one with what the platform says.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

pub mod book;
mod changes;
pub mod items;
mod merge;
mod parser;

pub use book::{Digest, Number, Value, VersionedConfig};
pub use changes::{changes, restrictions, Change};
pub use items::Consistency;
