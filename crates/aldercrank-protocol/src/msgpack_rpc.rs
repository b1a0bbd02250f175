//! The edge's MessagePack-RPC, apart from sockets: one method of `Edge` for each thing that is said.

use rmp::decode;
use rmp::{encode, Marker};
use std::time::Duration;

/// A call's number on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u32);

/// The longest message and body that are read.
const FRAME: usize = 16 * 1024;
pub const MAX_BODY_BYTES: usize = 2 * 1024;

/// The method, and the notification, by which servers speak with one another about the rule book: a body, and no
/// fields.
pub const CONSENSUS_METHOD: &str = "rules";

/// What cannot be read any further.
#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// The fields that decisions need; the rest is passed over.
#[derive(Debug, Default, PartialEq)]
pub struct RequestFields<'a> {
    pub attempt: Option<&'a str>,
    pub t0: Option<u64>,
    pub peer: Option<u64>,
    pub budget: Option<u64>,
    pub mem: Option<f64>,
    pub prio: Option<f64>,
    pub token: Option<&'a str>,
    pub obj: Option<&'a str>,
}

pub trait Edge {
    fn request(&mut self, call: MessageId, method: &str, fields: &RequestFields, body: &[u8]);
    fn health_check(&mut self, call: MessageId);
    fn cancel(&mut self, call: MessageId);
    /// A call that makes no sense, but has an id to answer to.
    fn invalid_request(&mut self, call: MessageId, why: &'static str);
    /// A notification that is not known.
    fn unknown_notification(&mut self, why: &'static str);
}

/// Reads one message off the front. Gives its length, or nothing while it is not whole.
pub fn read_request(buf: &[u8], edge: &mut impl Edge) -> Result<Option<usize>, ProtocolError> {
    let Some(end) = whole(buf, FRAME)? else { return Ok(None) };
    let mut rest = &buf[..end];
    message(&mut rest, edge)?;
    Ok(Some(end))
}

/// Where the value at the front ends. Counts what is owed instead of nesting, so depth costs nothing.
fn whole(buf: &[u8], most: usize) -> Result<Option<usize>, ProtocolError> {
    let (mut at, mut owed) = (0usize, 1u64);
    let long = |at: usize, n: usize| -> Option<u64> {
        let bytes = buf.get(at + 1..at + 1 + n)?;
        Some(bytes.iter().fold(0, |sum, b| sum << 8 | u64::from(*b)))
    };
    while owed > 0 {
        if at > most {
            return Err(ProtocolError("a message over the limit"));
        }
        let Some(first) = buf.get(at) else { return Ok(None) };
        let sized = |n: usize| long(at, n).map(|len| 1 + n as u64 + len);
        let marker = Marker::from_u8(*first);
        let step = match marker {
            Marker::Reserved => return Err(ProtocolError("not MessagePack")),
            Marker::FixStr(n) => Some(1 + u64::from(n)),
            Marker::Str8 | Marker::Bin8 => sized(1),
            Marker::Str16 | Marker::Bin16 => sized(2),
            Marker::Str32 | Marker::Bin32 => sized(4),
            Marker::U8 | Marker::I8 => Some(2),
            Marker::U16 | Marker::I16 | Marker::FixExt1 => Some(3),
            Marker::FixExt2 => Some(4),
            Marker::U32 | Marker::I32 | Marker::F32 => Some(5),
            Marker::FixExt4 => Some(6),
            Marker::U64 | Marker::I64 | Marker::F64 => Some(9),
            Marker::FixExt8 => Some(10),
            Marker::FixExt16 => Some(18),
            Marker::Ext8 => sized(1).map(|n| n + 1),
            Marker::Ext16 => sized(2).map(|n| n + 1),
            Marker::Ext32 => sized(4).map(|n| n + 1),
            Marker::FixArray(n) => {
                owed += u64::from(n);
                Some(1)
            }
            Marker::FixMap(n) => {
                owed += 2 * u64::from(n);
                Some(1)
            }
            Marker::Array16 | Marker::Map16 | Marker::Array32 | Marker::Map32 => {
                let wide = matches!(marker, Marker::Array32 | Marker::Map32);
                let map = matches!(marker, Marker::Map16 | Marker::Map32);
                let n = if wide { 4 } else { 2 };
                long(at, n).map(|items| {
                    owed += items * if map { 2 } else { 1 };
                    1 + n as u64
                })
            }
            _ => Some(1),
        };
        let Some(step) = step else { return Ok(None) };
        at = at.saturating_add(usize::try_from(step).unwrap_or(usize::MAX));
        owed -= 1;
    }
    match at {
        _ if at > most => Err(ProtocolError("a message over the limit")),
        _ if at > buf.len() => Ok(None),
        _ => Ok(Some(at)),
    }
}

fn message(rest: &mut &[u8], edge: &mut impl Edge) -> Result<(), ProtocolError> {
    let parts = decode::read_array_len(rest).map_err(|_| ProtocolError("not a message"))?;
    let kind: u32 = decode::read_int(rest).map_err(|_| ProtocolError("a message of no kind"))?;
    match (kind, parts) {
        (0, 4) => {
            let call =
                decode::read_int(rest).map(MessageId).map_err(|_| ProtocolError("a call without an id"))?;
            if let Err(why) = called(call, rest, edge) {
                edge.invalid_request(call, why);
            }
            Ok(())
        }
        (2, 3) => {
            let known = text(rest).is_some_and(|method| method == "interrupt");
            let id = known
                .then(|| decode::read_array_len(rest).ok().filter(|n| *n > 0))
                .flatten()
                .and_then(|_| decode::read_int(rest).map(MessageId).ok());
            match id {
                Some(call) => edge.cancel(call),
                None => edge.unknown_notification("a notification that is not known"),
            }
            Ok(())
        }
        (1, 4) => {
            edge.unknown_notification("an answer to nothing");
            Ok(())
        }
        _ => Err(ProtocolError("a message of no kind")),
    }
}

fn called(call: MessageId, rest: &mut &[u8], edge: &mut impl Edge) -> Result<(), &'static str> {
    let method = text(rest).ok_or("a method that is no text")?;
    let params = decode::read_array_len(rest).map_err(|_| "parameters that are no list")?;
    if method == "check" {
        edge.health_check(call);
        return Ok(());
    }
    if params < 2 {
        return Err("a call without fields and body");
    }
    let count = decode::read_map_len(rest).map_err(|_| "fields that are no map")?;
    let mut fields = RequestFields::default();
    for _ in 0..count {
        let (Some(name), Some(value)) = (text(rest), text(rest)) else {
            return Err("a field that is no text");
        };
        match name {
            "rid" => fields.attempt = Some(value),
            "t0" => fields.t0 = value.parse().ok(),
            "peer" => fields.peer = value.parse().ok(),
            "budget" => fields.budget = value.parse().ok(),
            "mem" => fields.mem = number(value),
            "prio" => fields.prio = number(value),
            "token" => fields.token = Some(value),
            "obj" => fields.obj = Some(value),
            _ => {}
        }
    }
    let length = decode::read_bin_len(rest).map_err(|_| "a body that is not binary")? as usize;
    let body = rest.get(..length).filter(|b| b.len() <= MAX_BODY_BYTES).ok_or("a body over the limit")?;
    edge.request(call, method, &fields, body);
    Ok(())
}

fn text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let length = decode::read_str_len(rest).ok()? as usize;
    let (text, after) = rest.split_at_checked(length)?;
    *rest = after;
    std::str::from_utf8(text).ok()
}

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// What every answer may carry: the free value as it is written, and the version of the rule book that the txn was
/// judged by.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseFields<'a> {
    pub hint: Option<&'a str>,
    pub rules: Option<u64>,
}

/// What goes along with answers.
fn fields(into: &mut Vec<u8>, beside: ResponseFields, retry_after: Option<Duration>, last: bool) {
    // Rounded up: a moment of less than a millisecond still is one.
    let (mut digits, mut number) = (itoa::Buffer::new(), itoa::Buffer::new());
    let retry_after = retry_after.map(|b| digits.format(b.as_micros().div_ceil(1000)));
    let rules = beside.rules.map(|n| number.format(n));
    let last = last.then_some("1");
    let all = [("hint", beside.hint), ("backoff", retry_after), ("final", last), (CONSENSUS_METHOD, rules)];
    let _ = encode::write_map_len(into, all.iter().flat_map(|(_, value)| value).count() as u32);
    for (name, value) in all.iter().filter_map(|(name, value)| value.map(|v| (name, v))) {
        let _ = encode::write_str(into, name);
        let _ = encode::write_str(into, value);
    }
}

fn head(into: &mut Vec<u8>, call: MessageId) {
    let _ = encode::write_array_len(into, 4);
    let _ = encode::write_uint(into, 1);
    let _ = encode::write_uint(into, u64::from(call.0));
}

/// Before a result of this length; `completed_end` follows it.
pub fn write_completed(into: &mut Vec<u8>, call: MessageId, length: usize) {
    head(into, call);
    let _ = encode::write_nil(into);
    let _ = encode::write_array_len(into, 2);
    let _ = encode::write_bin_len(into, length as u32);
}

pub fn write_completed_end(into: &mut Vec<u8>, beside: ResponseFields) {
    fields(into, beside, None, false);
}

fn error(into: &mut Vec<u8>, call: MessageId, name: &str, with: (ResponseFields, Option<Duration>, bool)) {
    head(into, call);
    let _ = encode::write_array_len(into, 2);
    let _ = encode::write_str(into, name);
    fields(into, with.0, with.1, with.2);
    let _ = encode::write_nil(into);
}

pub fn write_rejected(
    into: &mut Vec<u8>,
    call: MessageId,
    beside: ResponseFields,
    retry_after: Option<Duration>,
    last: bool,
) {
    error(into, call, "Overloaded", (beside, retry_after, last));
}

pub fn write_failed(into: &mut Vec<u8>, call: MessageId, beside: ResponseFields) {
    error(into, call, "Internal", (beside, None, false));
}

pub fn write_health(into: &mut Vec<u8>, call: MessageId, good: bool, beside: ResponseFields) {
    head(into, call);
    let _ = encode::write_nil(into);
    let _ = encode::write_array_len(into, 2);
    let _ = encode::write_bool(into, good);
    fields(into, beside, None, false);
}

/// Says a word about rules that asks for no answer.
pub fn write_notification(into: &mut Vec<u8>, body: &[u8]) {
    let _ = encode::write_array_len(into, 3);
    let _ = encode::write_uint(into, 2);
    let _ = encode::write_str(into, CONSENSUS_METHOD);
    let _ = encode::write_array_len(into, 1);
    let _ = encode::write_bin(into, body);
}

pub fn write_closing(into: &mut Vec<u8>) {
    let _ = encode::write_array_len(into, 3);
    let _ = encode::write_uint(into, 2);
    let _ = encode::write_str(into, "closing");
    let _ = encode::write_array_len(into, 0);
}

/// What goes along with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReceivedFields {
    /// The server's free value.
    pub hint: Option<f64>,
    /// Until when to stay away, from now.
    pub retry_after: Option<Duration>,
    /// The wish that nobody else be tried.
    pub last: bool,
    /// The version of the rule book that the txn was judged by.
    pub rules: Option<u64>,
}

/// The other end: an edge node hears answers.
pub trait ResponseHandler {
    fn completed(&mut self, call: MessageId, result: &[u8], with: ReceivedFields);
    fn rejected(&mut self, call: MessageId, with: ReceivedFields);
    fn failed(&mut self, call: MessageId, why: &str, with: ReceivedFields);
    fn health_reported(&mut self, call: MessageId, good: bool, with: ReceivedFields);
    /// Nothing new is to be asked on this connection.
    fn closing(&mut self);
    /// A word about rules that asks for no answer.
    fn notified(&mut self, _body: &[u8]) {}
}

/// Reads one answer of at most this length off the front. Gives its length, or nothing while it is not whole.
pub fn read_response(
    buf: &[u8],
    most: usize,
    caller: &mut impl ResponseHandler,
) -> Result<Option<usize>, ProtocolError> {
    let Some(end) = whole(buf, most)? else { return Ok(None) };
    said(&mut &buf[..end], caller).ok_or(ProtocolError("no answer"))?;
    Ok(Some(end))
}

fn said(rest: &mut &[u8], caller: &mut impl ResponseHandler) -> Option<()> {
    let parts = decode::read_array_len(rest).ok()?;
    let kind: u32 = decode::read_int(rest).ok()?;
    if (kind, parts) == (2, 3) {
        match text(rest)? {
            "closing" => caller.closing(),
            CONSENSUS_METHOD if decode::read_array_len(rest).ok()? == 1 => {
                let length = decode::read_bin_len(rest).ok()? as usize;
                caller.notified(rest.get(..length)?);
            }
            _ => {}
        }
        return Some(());
    }
    if (kind, parts) != (1, 4) {
        return None;
    }
    let call = MessageId(decode::read_int(rest).ok()?);
    if rest.first() != Some(&Marker::Null.to_u8()) {
        let named = (decode::read_array_len(rest).ok()? == 2).then(|| text(rest))??;
        let with = with(rest)?;
        match named {
            "Overloaded" => caller.rejected(call, with),
            other => caller.failed(call, other, with),
        }
        return Some(());
    }
    *rest = &rest[1..];
    if decode::read_array_len(rest).ok()? != 2 {
        return None;
    }
    match Marker::from_u8(*rest.first()?) {
        Marker::True | Marker::False => {
            let good = decode::read_bool(rest).ok()?;
            caller.health_reported(call, good, with(rest)?);
        }
        _ => {
            let length = decode::read_bin_len(rest).ok()? as usize;
            let (result, after) = rest.split_at_checked(length)?;
            *rest = after;
            caller.completed(call, result, with(rest)?);
        }
    }
    Some(())
}

fn with(rest: &mut &[u8]) -> Option<ReceivedFields> {
    let mut with = ReceivedFields::default();
    for _ in 0..decode::read_map_len(rest).ok()? {
        let (name, value) = (text(rest)?, text(rest)?);
        match name {
            "hint" => with.hint = number(value),
            "backoff" => with.retry_after = value.parse().ok().map(Duration::from_millis),
            "final" => with.last = value == "1",
            CONSENSUS_METHOD => with.rules = value.parse().ok(),
            _ => {}
        }
    }
    Some(with)
}

/// Says a call, as an edge node does; the fields as they stand on the wire.
pub fn write_request(into: &mut Vec<u8>, call: MessageId, class: &str, fields: &RequestFields, body: &[u8]) {
    let numbers = [
        ("t0", fields.t0.map(|n| n.to_string())),
        ("peer", fields.peer.map(|n| n.to_string())),
        ("budget", fields.budget.map(|n| n.to_string())),
        ("mem", fields.mem.map(|n| n.to_string())),
        ("prio", fields.prio.map(|n| format!("{n:.4}"))),
    ];
    let texts = [("rid", fields.attempt), ("token", fields.token), ("obj", fields.obj)];
    let all = numbers.iter().map(|(name, n)| (*name, n.as_deref())).chain(texts);
    let all: Vec<(&str, &str)> = all.filter_map(|(name, value)| Some((name, value?))).collect();
    let _ = encode::write_array_len(into, 4);
    let _ = encode::write_uint(into, 0);
    let _ = encode::write_uint(into, u64::from(call.0));
    let _ = encode::write_str(into, class);
    let _ = encode::write_array_len(into, 2);
    let _ = encode::write_map_len(into, all.len() as u32);
    for (name, value) in all {
        let _ = encode::write_str(into, name);
        let _ = encode::write_str(into, value);
    }
    let _ = encode::write_bin(into, body);
}

/// Says a health check.
pub fn write_health_check(into: &mut Vec<u8>, call: MessageId) {
    let _ = encode::write_array_len(into, 4);
    let _ = encode::write_uint(into, 0);
    let _ = encode::write_uint(into, u64::from(call.0));
    let _ = encode::write_str(into, "check");
    let _ = encode::write_array_len(into, 1);
    let _ = encode::write_map_len(into, 0);
}

/// Takes a call back.
pub fn write_cancel(into: &mut Vec<u8>, call: MessageId) {
    let _ = encode::write_array_len(into, 3);
    let _ = encode::write_uint(into, 2);
    let _ = encode::write_str(into, "interrupt");
    let _ = encode::write_array_len(into, 1);
    let _ = encode::write_uint(into, u64::from(call.0));
}
