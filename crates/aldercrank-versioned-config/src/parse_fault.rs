//! Faults in the text of a version that the shared KDL reader does not report itself.

use crate::parser::{MAX_NAME_BYTES, MAX_NUMBER, NAME_CHARACTERS};
use crate::path::ItemPath;
use thiserror::Error;

/// A fault in the text of a version. Operators see its text after the line and the column.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum ParseFault {
    #[error("version text is {bytes} bytes long; the limit is {limit}")]
    TooLong { bytes: usize, limit: usize },
    #[error("no version could be read")]
    NoVersion,
    #[error("rules NUMBER {{ ... }} is missing")]
    RulesMissing,
    #[error("rules takes the version number, a whole number from 1 to {MAX_NUMBER}, found {found}")]
    InvalidVersionNumber { found: String },
    #[error("rules takes exactly one value, the version number")]
    VersionNumberExpected,
    #[error("{block} is repeated; it may occur only once")]
    RepeatedBlock { block: String },
    #[error("{path} is repeated; it may occur only once")]
    RepeatedItem { path: ItemPath },
    #[error("product takes a name of 1 to {MAX_NAME_BYTES} {NAME_CHARACTERS}, found {found}")]
    InvalidClassName { found: String },
    #[error("product takes exactly one name: product \"NAME\" {{ ... }}")]
    ClassNameExpected,
    #[error("{item} takes one number from {min} to {max}")]
    NumberInRangeExpected { item: String, min: f64, max: f64 },
    #[error("{item} takes one number from {min} to {max}, found {found}")]
    NumberOutOfRange { item: String, min: f64, max: f64, found: String },
    #[error("{name:?} is not a server name of 1 to {MAX_NAME_BYTES} {NAME_CHARACTERS}")]
    InvalidMemberName { name: String },
    #[error("{address:?} is not an IP address with a port")]
    InvalidAddress { address: String },
    #[error("committee has {members} members; the limit is {limit}, and 3 or 5 are enough")]
    CommitteeTooLarge { members: usize, limit: usize },
    #[error("server {name} is listed more than once; a server belongs to one zone")]
    RepeatedServer { name: String },
    #[error(
        "a zone takes server names without keys, of 1 to {MAX_NAME_BYTES} {NAME_CHARACTERS}, found {found}"
    )]
    ServerNameExpected { found: String },
    #[error("a zone has a name of 1 to {MAX_NAME_BYTES} {NAME_CHARACTERS}, and at least one server")]
    ZoneExpected,
    #[error("turned-away takes caller numbers without keys, from 0 to {MAX_NUMBER}, found {found}")]
    CallerNumberExpected { found: String },
    #[error("committee {{ NAME \"ADDRESS:PORT\" ... }} is missing; its members decide on the next version")]
    CommitteeMissing,
    #[error("product {class}: give-up-ms {timeout} is less than sla-ms {latency_target}")]
    TimeoutBeforeLatencyTarget { class: String, timeout: f64, latency_target: f64 },
    #[error("the shares add up to {sum}, over their limit of {limit}")]
    QuotasOverLimit { sum: f64, limit: f64 },
    #[error("limit NUMBER is missing in shares; it limits their sum")]
    QuotaLimitMissing,
    #[error("shares has zone {zone}, which is not listed in servers")]
    UnknownZone { zone: String },
}
