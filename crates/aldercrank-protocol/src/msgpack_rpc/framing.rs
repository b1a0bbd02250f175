//! Determines the length of a message before it is decoded.

use super::ProtocolError;
use rmp::Marker;

/// The length of the MessagePack value at the front of `input`; `None` until it is complete.
///
/// Nested values are counted rather than visited recursively, so deeply nested input cannot exhaust the stack.
pub(super) fn message_length(input: &[u8], max_bytes: usize) -> Result<Option<usize>, ProtocolError> {
    let (mut at, mut values_left) = (0usize, 1u64);
    while values_left > 0 {
        if at > max_bytes {
            return Err(ProtocolError::MessageTooLong);
        }
        let Some(first) = input.get(at) else { return Ok(None) };
        let marker = Marker::from_u8(*first);
        if marker == Marker::Reserved {
            return Err(ProtocolError::NotMessagePack);
        }
        let Some(extent) = value_extent(marker, &input[at..]) else { return Ok(None) };
        at = at.saturating_add(usize::try_from(extent.bytes).unwrap_or(usize::MAX));
        values_left = values_left + extent.nested_values - 1;
    }
    match at {
        _ if at > max_bytes => Err(ProtocolError::MessageTooLong),
        _ if at > input.len() => Ok(None),
        _ => Ok(Some(at)),
    }
}

/// The extent of a value.
struct Extent {
    /// The length of the value in bytes; of an array or map, that of its header.
    bytes: u64,
    /// The number of values that follow the header of an array or map.
    nested_values: u64,
}

/// The extent of the value at the front of `input`; `None` until its header is complete.
fn value_extent(marker: Marker, input: &[u8]) -> Option<Extent> {
    let value = |bytes: u64| Some(Extent { bytes, nested_values: 0 });
    // A header whose length field has `width` bytes, then `extra` bytes, then content of that length.
    let sized = |width: usize, extra: u64| {
        let length = length_field(input, width)?;
        value(1 + width as u64 + extra + length)
    };
    // The header of an array or map whose length field has `width` bytes.
    let container = |width: usize, values_each: u64| {
        let length = length_field(input, width)?;
        Some(Extent { bytes: 1 + width as u64, nested_values: length * values_each })
    };
    match marker {
        Marker::FixStr(length) => value(1 + u64::from(length)),
        Marker::Str8 | Marker::Bin8 => sized(1, 0),
        Marker::Str16 | Marker::Bin16 => sized(2, 0),
        Marker::Str32 | Marker::Bin32 => sized(4, 0),
        Marker::U8 | Marker::I8 => value(2),
        Marker::U16 | Marker::I16 | Marker::FixExt1 => value(3),
        Marker::FixExt2 => value(4),
        Marker::U32 | Marker::I32 | Marker::F32 => value(5),
        Marker::FixExt4 => value(6),
        Marker::U64 | Marker::I64 | Marker::F64 => value(9),
        Marker::FixExt8 => value(10),
        Marker::FixExt16 => value(18),
        Marker::Ext8 => sized(1, 1),
        Marker::Ext16 => sized(2, 1),
        Marker::Ext32 => sized(4, 1),
        Marker::FixArray(length) => Some(Extent { bytes: 1, nested_values: u64::from(length) }),
        Marker::FixMap(length) => Some(Extent { bytes: 1, nested_values: 2 * u64::from(length) }),
        Marker::Array16 => container(2, 1),
        Marker::Array32 => container(4, 1),
        Marker::Map16 => container(2, 2),
        Marker::Map32 => container(4, 2),
        _ => value(1),
    }
}

/// The big-endian length field of `width` bytes that follows the marker.
fn length_field(input: &[u8], width: usize) -> Option<u64> {
    let bytes = input.get(1..1 + width)?;
    Some(bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}
