//! Messages from servers: responses and notifications.

use super::framing::message_length;
use super::{
    parse_number, read_text, MessageId, ProtocolError, CALL_ELEMENTS, CONSENSUS_METHOD, KIND_NOTIFICATION,
    KIND_RESPONSE, NOTIFICATION_CLOSING, NOTIFICATION_ELEMENTS,
};
use rmp::{decode, encode, Marker};
use std::time::Duration;

/// The name of the error that rejects a request.
const ERROR_REJECTED: &str = "Overloaded";
/// The name of the error that a failed request gets.
const ERROR_FAILED: &str = "Internal";
/// The field with the number of the configuration version by which a request was decided.
const FIELD_VERSION: &str = CONSENSUS_METHOD;

/// The fields that any response may carry.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseFields<'a> {
    /// The server's load hint, formatted.
    pub load_hint: Option<&'a str>,
    /// The number of the configuration version by which the request was decided.
    pub version: Option<u64>,
}

/// The fields that only a rejection may carry.
#[derive(Clone, Copy, Default)]
struct RejectionFields {
    retry_after: Option<Duration>,
    is_final: bool,
}

fn write_fields(output: &mut Vec<u8>, fields: ResponseFields, rejection: RejectionFields) {
    let (mut retry_digits, mut version_digits) = (itoa::Buffer::new(), itoa::Buffer::new());
    // Rounded up, so that a delay of less than a millisecond does not become 0.
    let retry_after =
        rejection.retry_after.map(|delay| retry_digits.format(delay.as_micros().div_ceil(1000)));
    let version = fields.version.map(|number| version_digits.format(number));
    let is_final = rejection.is_final.then_some("1");
    let all =
        [("hint", fields.load_hint), ("backoff", retry_after), ("final", is_final), (FIELD_VERSION, version)];
    let _ = encode::write_map_len(output, all.iter().flat_map(|(_, value)| value).count() as u32);
    for (name, value) in all.iter().filter_map(|(name, value)| value.map(|value| (name, value))) {
        let _ = encode::write_str(output, name);
        let _ = encode::write_str(output, value);
    }
}

fn write_head(output: &mut Vec<u8>, call: MessageId) {
    let _ = encode::write_array_len(output, CALL_ELEMENTS);
    let _ = encode::write_uint(output, u64::from(KIND_RESPONSE));
    let _ = encode::write_uint(output, u64::from(call.0));
}

fn write_error(
    output: &mut Vec<u8>,
    call: MessageId,
    name: &str,
    fields: ResponseFields,
    rejection: RejectionFields,
) {
    write_head(output, call);
    let _ = encode::write_array_len(output, 2);
    let _ = encode::write_str(output, name);
    write_fields(output, fields, rejection);
    let _ = encode::write_nil(output);
}

/// Writes the part of a response before a result of this length. The result has to follow, and then
/// [`write_result_end`].
pub fn write_result_start(output: &mut Vec<u8>, call: MessageId, length: usize) {
    write_head(output, call);
    let _ = encode::write_nil(output);
    let _ = encode::write_array_len(output, 2);
    let _ = encode::write_bin_len(output, length as u32);
}

/// Writes the part of a response after the result.
pub fn write_result_end(output: &mut Vec<u8>, fields: ResponseFields) {
    write_fields(output, fields, RejectionFields::default());
}

/// Writes a rejection. `retry_after` is rounded up to whole milliseconds; `is_final` asks the caller not to try other
/// servers.
pub fn write_rejected(
    output: &mut Vec<u8>,
    call: MessageId,
    fields: ResponseFields,
    retry_after: Option<Duration>,
    is_final: bool,
) {
    write_error(output, call, ERROR_REJECTED, fields, RejectionFields { retry_after, is_final });
}

/// Writes the response to a request that has failed.
pub fn write_failed(output: &mut Vec<u8>, call: MessageId, fields: ResponseFields) {
    write_error(output, call, ERROR_FAILED, fields, RejectionFields::default());
}

/// Writes the response to a health check.
pub fn write_health(output: &mut Vec<u8>, call: MessageId, healthy: bool, fields: ResponseFields) {
    write_head(output, call);
    let _ = encode::write_nil(output);
    let _ = encode::write_array_len(output, 2);
    let _ = encode::write_bool(output, healthy);
    write_fields(output, fields, RejectionFields::default());
}

fn write_notification_head(output: &mut Vec<u8>, method: &str) {
    let _ = encode::write_array_len(output, NOTIFICATION_ELEMENTS);
    let _ = encode::write_uint(output, u64::from(KIND_NOTIFICATION));
    let _ = encode::write_str(output, method);
}

/// Writes a notification about the versioned configuration.
pub fn write_consensus_notification(output: &mut Vec<u8>, body: &[u8]) {
    write_notification_head(output, CONSENSUS_METHOD);
    let _ = encode::write_array_len(output, 1);
    let _ = encode::write_bin(output, body);
}

/// Writes the notification that the server accepts no new requests on this connection.
pub fn write_closing(output: &mut Vec<u8>) {
    write_notification_head(output, NOTIFICATION_CLOSING);
    let _ = encode::write_array_len(output, 0);
}

/// The fields of a response that was read. A value that is invalid is treated as missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReceivedFields {
    /// The server's load hint.
    pub load_hint: Option<f64>,
    /// How long the caller should wait before it tries again.
    pub retry_after: Option<Duration>,
    /// Whether the caller should not try other servers.
    pub is_final: bool,
    /// The number of the configuration version by which the request was decided.
    pub version: Option<u64>,
}

/// Receives the responses and notifications of a server, for an edge node, another server or an operator command.
pub trait ResponseHandler {
    /// A request has completed.
    fn completed(&mut self, call: MessageId, result: &[u8], fields: ReceivedFields);
    /// A request was rejected, and has not run.
    fn rejected(&mut self, call: MessageId, fields: ReceivedFields);
    /// A request has failed with an error of this name.
    fn failed(&mut self, call: MessageId, error: &str, fields: ReceivedFields);
    /// The response to a health check.
    fn health_reported(&mut self, call: MessageId, healthy: bool, fields: ReceivedFields);
    /// The server accepts no new requests on this connection.
    fn closing(&mut self);
    /// A notification about the versioned configuration.
    fn consensus_notification(&mut self, _body: &[u8]) {}
}

/// Reads one message of at most this length from the front of `input`. Returns its length, or `None` until it is
/// complete.
///
/// # Errors
///
/// If the input is not a valid message; nothing after it can be read either.
pub fn read_response(
    input: &[u8],
    max_bytes: usize,
    handler: &mut impl ResponseHandler,
) -> Result<Option<usize>, ProtocolError> {
    let Some(length) = message_length(input, max_bytes)? else { return Ok(None) };
    read_message(&mut &input[..length], handler).ok_or(ProtocolError::InvalidResponse)?;
    Ok(Some(length))
}

fn read_message(rest: &mut &[u8], handler: &mut impl ResponseHandler) -> Option<()> {
    let elements = decode::read_array_len(rest).ok()?;
    let kind: u32 = decode::read_int(rest).ok()?;
    match (kind, elements) {
        (KIND_NOTIFICATION, NOTIFICATION_ELEMENTS) => read_notification(rest, handler),
        (KIND_RESPONSE, CALL_ELEMENTS) => {
            let call = MessageId(decode::read_int(rest).ok()?);
            if rest.first() == Some(&Marker::Null.to_u8()) {
                *rest = &rest[1..];
                read_result(call, rest, handler)
            } else {
                read_error(call, rest, handler)
            }
        }
        _ => None,
    }
}

fn read_notification(rest: &mut &[u8], handler: &mut impl ResponseHandler) -> Option<()> {
    match read_text(rest)? {
        NOTIFICATION_CLOSING => handler.closing(),
        CONSENSUS_METHOD if decode::read_array_len(rest).ok()? == 1 => {
            let length = decode::read_bin_len(rest).ok()? as usize;
            handler.consensus_notification(rest.get(..length)?);
        }
        _ => {}
    }
    Some(())
}

fn read_error(call: MessageId, rest: &mut &[u8], handler: &mut impl ResponseHandler) -> Option<()> {
    if decode::read_array_len(rest).ok()? != 2 {
        return None;
    }
    let error = read_text(rest)?;
    let fields = read_fields(rest)?;
    match error {
        ERROR_REJECTED => handler.rejected(call, fields),
        other => handler.failed(call, other, fields),
    }
    Some(())
}

fn read_result(call: MessageId, rest: &mut &[u8], handler: &mut impl ResponseHandler) -> Option<()> {
    if decode::read_array_len(rest).ok()? != 2 {
        return None;
    }
    match Marker::from_u8(*rest.first()?) {
        Marker::True | Marker::False => {
            let healthy = decode::read_bool(rest).ok()?;
            handler.health_reported(call, healthy, read_fields(rest)?);
        }
        _ => {
            let length = decode::read_bin_len(rest).ok()? as usize;
            let (result, after) = rest.split_at_checked(length)?;
            *rest = after;
            handler.completed(call, result, read_fields(rest)?);
        }
    }
    Some(())
}

fn read_fields(rest: &mut &[u8]) -> Option<ReceivedFields> {
    let mut fields = ReceivedFields::default();
    for _ in 0..decode::read_map_len(rest).ok()? {
        let (name, value) = (read_text(rest)?, read_text(rest)?);
        match name {
            "hint" => fields.load_hint = parse_number(value),
            "backoff" => fields.retry_after = value.parse().ok().map(Duration::from_millis),
            "final" => fields.is_final = value == "1",
            FIELD_VERSION => fields.version = value.parse().ok(),
            _ => {}
        }
    }
    Some(fields)
}
