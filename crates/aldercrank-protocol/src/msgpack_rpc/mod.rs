//! MessagePack-RPC, by which servers are called by edge nodes, other servers and operator commands: requests with text
//! fields and a binary body, responses, and notifications.

mod framing;
mod request;
mod response;

pub use request::{
    read_request, write_cancel, write_health_check, write_request, InvalidRequest, RequestFields,
    RequestHandler, UnexpectedMessage, MAX_BODY_BYTES,
};
pub use response::{
    read_response, write_closing, write_consensus_notification, write_failed, write_health, write_rejected,
    write_result_end, write_result_start, ReceivedFields, ResponseFields, ResponseHandler,
};

use rmp::decode;

// The first element of a message, which MessagePack-RPC calls its type.
const KIND_REQUEST: u32 = 0;
const KIND_RESPONSE: u32 = 1;
const KIND_NOTIFICATION: u32 = 2;
/// Number of array elements of a request or a response.
const CALL_ELEMENTS: u32 = 4;
/// Number of array elements of a notification.
const NOTIFICATION_ELEMENTS: u32 = 3;

/// The method of the requests and notifications by which servers agree on the versioned configuration. Such a request
/// has a body and no fields.
pub const CONSENSUS_METHOD: &str = "rules";
const METHOD_HEALTH_CHECK: &str = "check";
const NOTIFICATION_CANCEL: &str = "interrupt";
const NOTIFICATION_CLOSING: &str = "closing";

/// The id by which a connection matches responses with requests; MessagePack-RPC's `msgid`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u32);

/// Why no more messages can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The message is too long.
    #[error("message exceeds the length limit")]
    MessageTooLong,
    /// The input is not valid MessagePack: it contains the byte 0xc1, which no value starts with.
    #[error("invalid MessagePack: reserved byte 0xc1")]
    NotMessagePack,
    /// The message is not an array.
    #[error("message is not an array")]
    NotAnArray,
    /// The type of the message is missing or unknown, or the array has the wrong number of elements for it.
    #[error("unknown message type, or wrong number of elements")]
    UnknownKind,
    /// A request has no valid message id.
    #[error("request without a valid message id")]
    InvalidMessageId,
    /// The message is not a valid response or notification.
    #[error("invalid response or notification")]
    InvalidResponse,
}

fn read_text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let length = decode::read_str_len(rest).ok()? as usize;
    let (text, after) = rest.split_at_checked(length)?;
    *rest = after;
    std::str::from_utf8(text).ok()
}

/// Parses a finite number of at least 0.
fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
