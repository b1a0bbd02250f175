//! Messages to servers: requests, health checks, and cancellations of requests.

use super::framing::message_length;
use super::{
    parse_number, read_text, MessageId, ProtocolError, CALL_ELEMENTS, KIND_NOTIFICATION, KIND_REQUEST,
    KIND_RESPONSE, METHOD_HEALTH_CHECK, NOTIFICATION_CANCEL, NOTIFICATION_ELEMENTS,
};
use rmp::{decode, encode};

/// Maximum length of a message to a server, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum length of a request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 2 * 1024;

/// The fields of a request that a server uses; others are ignored. On the wire, names and values are text. A numeric
/// value that is invalid is treated as missing.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    /// The id of the attempt.
    pub attempt: Option<&'a str>,
    /// When the attempt was sent, in milliseconds of Unix time.
    pub sent_at_ms: Option<u64>,
    /// The id of the caller.
    pub caller_id: Option<u64>,
    /// How long the caller waits, counted from [`RequestFields::sent_at_ms`], in milliseconds.
    pub budget_ms: Option<u64>,
    /// The memory that the request needs, in KB.
    pub memory_kb: Option<f64>,
    /// The rank of the request within its class, from 0 to below 1.
    pub rank: Option<f64>,
    /// The idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// What the request acts on, such as a user or an account.
    pub subject: Option<&'a str>,
}

/// Why a request is invalid. It has a message id, so it can be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The method is not a UTF-8 string.
    #[error("method is not a UTF-8 string")]
    MethodNotText,
    /// The parameters are not an array.
    #[error("parameters are not an array")]
    ParametersNotAnArray,
    /// There are fewer than two parameters.
    #[error("fewer than two parameters; fields and a body are required")]
    MissingParameters,
    /// The fields are not a map.
    #[error("fields are not a map")]
    FieldsNotAMap,
    /// The name or value of a field is not a UTF-8 string.
    #[error("name or value of a field is not a UTF-8 string")]
    FieldNotText,
    /// The body is not binary.
    #[error("body is not binary")]
    BodyNotBinary,
    /// The body is too long.
    #[error("body exceeds {} bytes", MAX_BODY_BYTES)]
    BodyTooLong,
}

/// Why a message that is not a request was not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnexpectedMessage {
    /// A notification with an unknown method or invalid parameters.
    #[error("notification with an unknown method or invalid parameters")]
    UnknownMethod,
    /// A response, although a server sends no requests on connections that it has accepted.
    #[error("unexpected response: no request was sent on this connection")]
    UnexpectedResponse,
}

/// Receives the messages to a server, from edge nodes, other servers and operator commands.
pub trait RequestHandler {
    /// A request, for any method but the health check.
    fn request(&mut self, call: MessageId, method: &str, fields: &RequestFields, body: &[u8]);
    /// A health check.
    fn health_check(&mut self, call: MessageId);
    /// The caller no longer waits for this request.
    fn cancel(&mut self, call: MessageId);
    /// An invalid request. It has a message id, so it can be answered.
    fn invalid_request(&mut self, call: MessageId, reason: InvalidRequest);
    /// A message that is neither a request nor a known notification. It cannot be answered.
    fn unexpected_message(&mut self, reason: UnexpectedMessage);
}

/// Reads one message from the front of `input`. Returns its length, or `None` until it is complete.
///
/// # Errors
///
/// If the input is not a valid message; nothing after it can be read either.
pub fn read_request(input: &[u8], handler: &mut impl RequestHandler) -> Result<Option<usize>, ProtocolError> {
    let Some(length) = message_length(input, MAX_MESSAGE_BYTES)? else { return Ok(None) };
    read_message(&mut &input[..length], handler)?;
    Ok(Some(length))
}

fn read_message(rest: &mut &[u8], handler: &mut impl RequestHandler) -> Result<(), ProtocolError> {
    let elements = decode::read_array_len(rest).map_err(|_| ProtocolError::NotAnArray)?;
    let kind: u32 = decode::read_int(rest).map_err(|_| ProtocolError::UnknownKind)?;
    match (kind, elements) {
        (KIND_REQUEST, CALL_ELEMENTS) => {
            let id = decode::read_int(rest).map_err(|_| ProtocolError::InvalidMessageId)?;
            let call = MessageId(id);
            if let Err(reason) = read_call(call, rest, handler) {
                handler.invalid_request(call, reason);
            }
        }
        (KIND_NOTIFICATION, NOTIFICATION_ELEMENTS) => match read_cancellation(rest) {
            Some(call) => handler.cancel(call),
            None => handler.unexpected_message(UnexpectedMessage::UnknownMethod),
        },
        (KIND_RESPONSE, CALL_ELEMENTS) => {
            handler.unexpected_message(UnexpectedMessage::UnexpectedResponse);
        }
        _ => return Err(ProtocolError::UnknownKind),
    }
    Ok(())
}

fn read_cancellation(rest: &mut &[u8]) -> Option<MessageId> {
    read_text(rest).filter(|method| *method == NOTIFICATION_CANCEL)?;
    decode::read_array_len(rest).ok().filter(|length| *length > 0)?;
    decode::read_int(rest).map(MessageId).ok()
}

fn read_call(
    call: MessageId,
    rest: &mut &[u8],
    handler: &mut impl RequestHandler,
) -> Result<(), InvalidRequest> {
    let method = read_text(rest).ok_or(InvalidRequest::MethodNotText)?;
    let parameters = decode::read_array_len(rest).map_err(|_| InvalidRequest::ParametersNotAnArray)?;
    if method == METHOD_HEALTH_CHECK {
        handler.health_check(call);
        return Ok(());
    }
    if parameters < 2 {
        return Err(InvalidRequest::MissingParameters);
    }
    let fields = read_fields(rest)?;
    let length = decode::read_bin_len(rest).map_err(|_| InvalidRequest::BodyNotBinary)? as usize;
    let body = rest.get(..length).filter(|body| body.len() <= MAX_BODY_BYTES);
    handler.request(call, method, &fields, body.ok_or(InvalidRequest::BodyTooLong)?);
    Ok(())
}

fn read_fields<'a>(rest: &mut &'a [u8]) -> Result<RequestFields<'a>, InvalidRequest> {
    let count = decode::read_map_len(rest).map_err(|_| InvalidRequest::FieldsNotAMap)?;
    let mut fields = RequestFields::default();
    for _ in 0..count {
        let (Some(name), Some(value)) = (read_text(rest), read_text(rest)) else {
            return Err(InvalidRequest::FieldNotText);
        };
        match name {
            "rid" => fields.attempt = Some(value),
            "t0" => fields.sent_at_ms = value.parse().ok(),
            "peer" => fields.caller_id = value.parse().ok(),
            "budget" => fields.budget_ms = value.parse().ok(),
            "mem" => fields.memory_kb = parse_number(value),
            "prio" => fields.rank = parse_number(value),
            "token" => fields.idempotency_key = Some(value),
            "obj" => fields.subject = Some(value),
            _ => {}
        }
    }
    Ok(fields)
}

fn write_head(output: &mut Vec<u8>, call: MessageId, method: &str) {
    let _ = encode::write_array_len(output, CALL_ELEMENTS);
    let _ = encode::write_uint(output, u64::from(KIND_REQUEST));
    let _ = encode::write_uint(output, u64::from(call.0));
    let _ = encode::write_str(output, method);
}

/// Writes a request. Fields that are `None` are left out.
pub fn write_request(
    output: &mut Vec<u8>,
    call: MessageId,
    method: &str,
    fields: &RequestFields,
    body: &[u8],
) {
    let numbers = [
        ("t0", fields.sent_at_ms.map(|number| number.to_string())),
        ("peer", fields.caller_id.map(|number| number.to_string())),
        ("budget", fields.budget_ms.map(|number| number.to_string())),
        ("mem", fields.memory_kb.map(|number| number.to_string())),
        ("prio", fields.rank.map(|number| format!("{number:.4}"))),
    ];
    let texts = [("rid", fields.attempt), ("token", fields.idempotency_key), ("obj", fields.subject)];
    let all = numbers.iter().map(|(name, value)| (*name, value.as_deref())).chain(texts);
    let present: Vec<(&str, &str)> = all.filter_map(|(name, value)| Some((name, value?))).collect();
    write_head(output, call, method);
    let _ = encode::write_array_len(output, 2);
    let _ = encode::write_map_len(output, present.len() as u32);
    for (name, value) in present {
        let _ = encode::write_str(output, name);
        let _ = encode::write_str(output, value);
    }
    let _ = encode::write_bin(output, body);
}

/// Writes a health check.
pub fn write_health_check(output: &mut Vec<u8>, call: MessageId) {
    write_head(output, call, METHOD_HEALTH_CHECK);
    let _ = encode::write_array_len(output, 1);
    let _ = encode::write_map_len(output, 0);
}

/// Writes the cancellation of a request.
pub fn write_cancel(output: &mut Vec<u8>, call: MessageId) {
    let _ = encode::write_array_len(output, NOTIFICATION_ELEMENTS);
    let _ = encode::write_uint(output, u64::from(KIND_NOTIFICATION));
    let _ = encode::write_str(output, NOTIFICATION_CANCEL);
    let _ = encode::write_array_len(output, 1);
    let _ = encode::write_uint(output, u64::from(call.0));
}
