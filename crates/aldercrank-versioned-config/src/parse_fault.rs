//! What can be wrong with the text of a version, beyond the faults that every KDL reader of ours reports.

use crate::path::ItemPath;
use thiserror::Error;

/// A fault in the text of a version. Displays as operators see it behind line and column.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum ParseFault {
    #[error("{bytes} bytes; a version has {limit} at most")]
    TooLong { bytes: usize, limit: usize },
    #[error("no book")]
    NoVersion,
    #[error("rules NUMBER {{ ... }} is missing")]
    RulesMissing,
    #[error("rules takes the version's number, 1 or more, found {found}")]
    InvalidNumber { found: String },
    #[error("rules takes the version's number alone")]
    NumberExpected,
    #[error("{name} {of} stands here a second time; it may stand once")]
    RepeatedBlock { name: String, of: String },
    #[error("{path} stands here a second time; it may stand once")]
    RepeatedItem { path: ItemPath },
    #[error("product takes a product's name, found {found}")]
    InvalidClassName { found: String },
    #[error("product takes one name, product \"NAME\" {{ ... }}")]
    ClassNameExpected,
    #[error("{item} takes one number from {min} to {max}")]
    NumberInRangeExpected { item: String, min: f64, max: f64 },
    #[error("{item} takes one number from {min} to {max}, found {found}")]
    NumberOutOfRange { item: String, min: f64, max: f64, found: String },
    #[error("{name:?} is no plain name of a server")]
    InvalidMemberName { name: String },
    #[error("{address:?} is no address with a port")]
    InvalidAddress { address: String },
    #[error("{members} members; {limit} at most, 3 or 5 do")]
    CommitteeTooLarge { members: usize, limit: usize },
    #[error("{name} stands in the list twice; a server is in one zone")]
    RepeatedServer { name: String },
    #[error("a server's name, found {found}")]
    ServerNameExpected { found: String },
    #[error("a zone's name, and the names of its servers behind it")]
    ZoneExpected,
    #[error("turned-away takes callers' numbers, found {found}")]
    CallerExpected { found: String },
    #[error("committee {{ NAME \"ADDRESS:PORT\" ... }} is missing: who is to agree on the next version")]
    CommitteeMissing,
    #[error("{class}: given up after {timeout} ms, before its SLA time of {latency_target} ms")]
    TimeoutBeforeLatencyTarget { class: String, timeout: f64, latency_target: f64 },
    #[error("the shares come to {sum}, over their limit of {limit}")]
    QuotasOverLimit { sum: f64, limit: f64 },
    #[error("shares need a limit that their sum stays within")]
    QuotaLimitMissing,
    #[error("{zone} is no zone of `servers`, which shares go by")]
    UnknownZone { zone: String },
}
