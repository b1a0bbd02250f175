//! MessagePack-RPC as edge nodes and servers speak it: requests with text fields and a binary body, responses, and
//! notifications.

mod framing;
mod request;
mod response;

pub use request::{
    read_request, write_cancel, write_health_check, write_request, InvalidRequest, RequestFields,
    RequestHandler, UnknownNotification, MAX_BODY_BYTES,
};
pub use response::{
    read_response, write_closing, write_completed, write_completed_end, write_failed, write_health,
    write_notification, write_rejected, ReceivedFields, ResponseFields, ResponseHandler,
};

use rmp::decode;

/// The kinds of messages.
const KIND_REQUEST: u32 = 0;
const KIND_RESPONSE: u32 = 1;
const KIND_NOTIFICATION: u32 = 2;
/// Elements of a request's and a response's array.
const CALL_PARTS: u32 = 4;
/// Elements of a notification's array.
const NOTIFICATION_PARTS: u32 = 3;

/// The method and the notification by which servers agree on the versioned configuration. A request has a body and no
/// fields.
pub const CONSENSUS_METHOD: &str = "rules";
const METHOD_HEALTH_CHECK: &str = "check";
const NOTIFICATION_CANCEL: &str = "interrupt";
const NOTIFICATION_CLOSING: &str = "closing";

/// The number of a call on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u32);

/// Why nothing further can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The message is too long.
    #[error("a message over the limit")]
    MessageTooLong,
    /// The input is no valid MessagePack.
    #[error("not MessagePack")]
    NotMessagePack,
    /// The input is no array.
    #[error("not a message")]
    NotAMessage,
    /// The kind of the message is missing or unknown.
    #[error("a message of no kind")]
    UnknownKind,
    /// A request has no message id.
    #[error("a call without an id")]
    MissingMessageId,
    /// A message is no valid response or notification.
    #[error("no answer")]
    InvalidResponse,
}

fn read_text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let length = decode::read_str_len(rest).ok()? as usize;
    let (text, after) = rest.split_at_checked(length)?;
    *rest = after;
    std::str::from_utf8(text).ok()
}

/// A finite number of at least zero.
fn parse_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
