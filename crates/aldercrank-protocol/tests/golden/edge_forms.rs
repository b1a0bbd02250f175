//! Messages to servers in MessagePack encodings that the codec reads but does not write, and invalid messages.

use crate::edge_calls::record_message;
use crate::text::{filler, Cases};

type EncodedMessage = (&'static str, &'static [u8]);

const INTEGER_ENCODINGS: [EncodedMessage; 16] = [
    ("number as fixint", b"\x94\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("number as uint 8", b"\x94\x00\xcc\x07\xa4look\x92\x80\xc4\x00"),
    ("number as uint 16", b"\x94\x00\xcd\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("number as uint 32", b"\x94\x00\xce\x00\x00\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("number as uint 64", b"\x94\x00\xcf\x00\x00\x00\x00\x00\x00\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("number as int 8", b"\x94\x00\xd0\x07\xa4look\x92\x80\xc4\x00"),
    ("number as int 16", b"\x94\x00\xd1\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("number as int 32", b"\x94\x00\xd2\x00\x00\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("number as int 64", b"\x94\x00\xd3\x00\x00\x00\x00\x00\x00\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("number of 2^32", b"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa4look\x92\x80\xc4\x00"),
    ("number of -1", b"\x94\x00\xff\xa4look\x92\x80\xc4\x00"),
    ("number as nil", b"\x94\x00\xc0\xa4look\x92\x80\xc4\x00"),
    ("number as text", b"\x94\x00\xa17\xa4look\x92\x80\xc4\x00"),
    ("number as float", b"\x94\x00\xca\x40\xe0\x00\x00\xa4look\x92\x80\xc4\x00"),
    ("kind as uint 8", b"\x94\xcc\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("kind as int 64", b"\x94\xd3\x00\x00\x00\x00\x00\x00\x00\x00\x07\xa4look\x92\x80\xc4\x00"),
];

const LENGTH_ENCODINGS: [EncodedMessage; 18] = [
    ("message as array 16", b"\xdc\x00\x04\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("message as array 32", b"\xdd\x00\x00\x00\x04\x00\x07\xa4look\x92\x80\xc4\x00"),
    ("method as str 8", b"\x94\x00\x07\xd9\x04look\x92\x80\xc4\x00"),
    ("method as str 16", b"\x94\x00\x07\xda\x00\x04look\x92\x80\xc4\x00"),
    ("method as str 32", b"\x94\x00\x07\xdb\x00\x00\x00\x04look\x92\x80\xc4\x00"),
    ("empty method", b"\x94\x00\x07\xa0\x92\x80\xc4\x00"),
    ("parameters as array 16", b"\x94\x00\x07\xa4look\xdc\x00\x02\x80\xc4\x00"),
    ("parameters as array 32", b"\x94\x00\x07\xa4look\xdd\x00\x00\x00\x02\x80\xc4\x00"),
    ("fields as map 16", b"\x94\x00\x07\xa4look\x92\xde\x00\x01\xa2t0\xa15\xc4\x00"),
    ("fields as map 32", b"\x94\x00\x07\xa4look\x92\xdf\x00\x00\x00\x01\xa2t0\xa15\xc4\x00"),
    ("name and value as str 8", b"\x94\x00\x07\xa4look\x92\x81\xd9\x02t0\xd9\x015\xc4\x00"),
    ("name and value as str 16", b"\x94\x00\x07\xa4look\x92\x81\xda\x00\x02t0\xda\x00\x015\xc4\x00"),
    (
        "name and value as str 32",
        b"\x94\x00\x07\xa4look\x92\x81\xdb\x00\x00\x00\x02t0\xdb\x00\x00\x00\x015\xc4\x00",
    ),
    ("body as bin 16", b"\x94\x00\x07\xa4look\x92\x80\xc5\x00\x02ab"),
    ("body as bin 32", b"\x94\x00\x07\xa4look\x92\x80\xc6\x00\x00\x00\x02ab"),
    ("more parameters than two", b"\x94\x00\x07\xa4look\x93\x80\xc4\x01b\x2a"),
    ("check as str 8", b"\x94\x00\x07\xd9\x05check\x91\x80"),
    ("check without parameters", b"\x94\x00\x07\xa5check\x90"),
];

/// A request with this field only.
fn request_with_field(name: &[u8], value: &[u8]) -> Vec<u8> {
    let text = |t: &[u8]| [&[0xd9, t.len() as u8], t].concat();
    [&b"\x94\x00\x07\xa4look\x92\x81"[..], &text(name), &text(value), b"\xc4\x00"].concat()
}

const FIELD_VALUES: [(&str, &str); 26] = [
    ("t0", "007"),
    ("t0", "+7"),
    ("t0", "-7"),
    ("t0", "7.5"),
    ("t0", " 7"),
    ("t0", ""),
    ("t0", "18446744073709551616"),
    ("peer", "x"),
    ("budget", "0"),
    ("budget", "1e3"),
    ("mem", "1e3"),
    ("mem", "-1"),
    ("mem", "-0"),
    ("mem", "NaN"),
    ("mem", "inf"),
    ("mem", ".5"),
    ("mem", "1e999"),
    ("prio", "1.5"),
    ("prio", "0"),
    ("prio", "half"),
    ("rid", "short"),
    ("token", "a b"),
    ("obj", ""),
    ("RID", "0123456789abcdef"),
    ("later", "unknown"),
    ("", ""),
];

const FIELD_ENCODINGS: [EncodedMessage; 9] = [
    ("a field twice: the last", b"\x94\x00\x07\xa4look\x92\x82\xa2t0\xa15\xa2t0\xa16\xc4\x00"),
    ("a number and then none", b"\x94\x00\x07\xa4look\x92\x82\xa2t0\xa15\xa2t0\xa1x\xc4\x00"),
    ("a value that is an integer", b"\x94\x00\x07\xa4look\x92\x81\xa2t0\x05\xc4\x00"),
    ("a value that is binary", b"\x94\x00\x07\xa4look\x92\x81\xa2t0\xc4\x015\xc4\x00"),
    ("a value that is nil", b"\x94\x00\x07\xa4look\x92\x81\xa2t0\xc0\xc4\x00"),
    ("an unknown value that is a list", b"\x94\x00\x07\xa4look\x92\x81\xa1z\x90\xc4\x00"),
    ("a name that is an integer", b"\x94\x00\x07\xa4look\x92\x81\x01\xa15\xc4\x00"),
    ("a name that is not UTF-8", b"\x94\x00\x07\xa4look\x92\x81\xa1\xff\xa15\xc4\x00"),
    ("a value that is not UTF-8", b"\x94\x00\x07\xa4look\x92\x81\xa1z\xa1\xff\xc4\x00"),
];

const INVALID_REQUESTS: [EncodedMessage; 11] = [
    ("method as binary", b"\x94\x00\x07\xc4\x04look\x92\x80\xc4\x00"),
    ("method not UTF-8", b"\x94\x00\x07\xa2\xc3\x28\x92\x80\xc4\x00"),
    ("method as nil", b"\x94\x00\x07\xc0\x92\x80\xc4\x00"),
    ("parameters as map", b"\x94\x00\x07\xa4look\x81\x80\xc4\x00"),
    ("check with parameters as nil", b"\x94\x00\x07\xa5check\xc0"),
    ("no parameters", b"\x94\x00\x07\xa4look\x90"),
    ("fields and no body", b"\x94\x00\x07\xa4look\x91\x80"),
    ("fields as list", b"\x94\x00\x07\xa4look\x92\x90\xc4\x00"),
    ("fields as nil", b"\x94\x00\x07\xa4look\x92\xc0\xc4\x00"),
    ("body as text", b"\x94\x00\x07\xa4look\x92\x80\xa1b"),
    ("body as nil", b"\x94\x00\x07\xa4look\x92\x80\xc0"),
];

const NOTIFICATIONS: [EncodedMessage; 11] = [
    ("interrupt with uint 64", b"\x93\x02\xa9interrupt\x91\xcf\x00\x00\x00\x00\x00\x00\x00\x07"),
    ("interrupt as str 8 in array 16", b"\xdc\x00\x03\x02\xd9\x09interrupt\xdc\x00\x01\x07"),
    ("interrupt with more parameters", b"\x93\x02\xa9interrupt\x92\x07\xa1x"),
    ("interrupt without a number", b"\x93\x02\xa9interrupt\x90"),
    ("interrupt with text", b"\x93\x02\xa9interrupt\x91\xa17"),
    ("interrupt with -1", b"\x93\x02\xa9interrupt\x91\xff"),
    ("interrupt without a list", b"\x93\x02\xa9interrupt\x07"),
    ("unknown notification", b"\x93\x02\xa5hello\x91\x07"),
    ("notification without a name", b"\x93\x02\xc0\x91\x07"),
    ("closing, to a server", b"\x93\x02\xa7closing\x90"),
    ("an answer, to a server", b"\x94\x01\x07\xc0\x92\xc4\x00\x80"),
];

const INVALID_MESSAGES: [EncodedMessage; 16] = [
    ("no bytes", b""),
    ("an integer", b"\x01"),
    ("a map", b"\x81\x01\x02"),
    ("nil", b"\xc0"),
    ("text", b"\xa4look"),
    ("an empty list", b"\x90"),
    ("a kind that is nil", b"\x94\xc0\x07\xa4look\x90"),
    ("a kind that is negative", b"\x94\xff\x07\xa4look\x90"),
    ("a kind that is not known", b"\x94\x03\x07\xa4look\x90"),
    ("a call of three parts", b"\x93\x00\x07\xa4look"),
    ("a call of five parts", b"\x95\x00\x07\xa4look\x90\x90"),
    ("a notification of four parts", b"\x94\x02\xa9interrupt\x91\x07\x07"),
    ("the reserved byte in front", b"\xc1"),
    ("the reserved byte inside", b"\x94\x00\x07\xa4look\x92\x81\xa1z\xc1\xc4\x00"),
    ("broken behind a good one", b"\x94\x00\x07\xa5check\x90\xc1"),
    ("HTTP", b"GET / HTTP/1.1\r\n\r\n"),
];

/// A request with a third parameter, which is ignored and holds a value of every MessagePack type.
const EVERY_TYPE: &[u8] = b"\x94\x00\x07\xa4look\x93\x80\xc4\x01b\xdc\x00\x1d\
    \xc0\xc2\xc3\x7f\xe0\xcc\x01\xcd\x01\x02\xce\x01\x02\x03\x04\xcf\x01\x02\x03\x04\x05\x06\x07\x08\
    \xd0\x01\xd1\x01\x02\xd2\x01\x02\x03\x04\xd3\x01\x02\x03\x04\x05\x06\x07\x08\
    \xca\x00\x00\x00\x00\xcb\x00\x00\x00\x00\x00\x00\x00\x00\
    \xd4\x01a\xd5\x01ab\xd6\x01abcd\xd7\x01abcdefgh\xd8\x01abcdefghijklmnop\
    \xc7\x01\x01a\xc8\x00\x01\x01a\xc9\x00\x00\x00\x01\x01a\
    \xd9\x01a\xda\x00\x01a\xdb\x00\x00\x00\x01a\xc4\x01a\xc5\x00\x01a\
    \x92\x81\xa1k\x91\x01\xde\x00\x01\xa1k\xdd\x00\x00\x00\x01\xdf\x00\x00\x00\x01\xa1k\xa1v";

/// A request of this total length, padded by a binary third parameter.
fn message_of_length(length: usize) -> Vec<u8> {
    let head = b"\x94\x00\x07\xa4look\x93\x80\xc4\x00";
    let padding = length - head.len() - 3;
    [&head[..], &[0xc5, (padding >> 8) as u8, padding as u8], &filler(padding)].concat()
}

fn record_all(cases: &mut Cases, messages: &[EncodedMessage]) {
    messages.iter().for_each(|(title, bytes)| record_message(cases, title, bytes));
}

pub fn write_widths(cases: &mut Cases) {
    cases.section("edge to server, in other widths");
    record_all(cases, &INTEGER_ENCODINGS);
    record_all(cases, &LENGTH_ENCODINGS);
    record_message(cases, "a third parameter with a value of every kind", EVERY_TYPE);
}

pub fn write_fields(cases: &mut Cases) {
    cases.section("edge to server, fields in other forms");
    for (name, value) in FIELD_VALUES {
        record_message(
            cases,
            &format!("{name}: {value:?}"),
            &request_with_field(name.as_bytes(), value.as_bytes()),
        );
    }
    record_all(cases, &FIELD_ENCODINGS);
}

pub fn write_invalid(cases: &mut Cases) {
    cases.section("edge to server, calls that are refused, and notifications");
    record_all(cases, &INVALID_REQUESTS);
    record_all(cases, &NOTIFICATIONS);
    cases.section("edge to server, malformed or too long");
    record_all(cases, &INVALID_MESSAGES);
    record_message(cases, "a message of 16384 bytes", &message_of_length(16_384));
    record_message(cases, "a message of 16385 bytes", &message_of_length(16_385));
    record_message(cases, "a claim of 2^32 - 1 bytes", b"\x94\x00\x07\xdb\xff\xff\xff\xff");
    record_message(cases, "a claim of 2^32 - 1 items", b"\xdd\xff\xff\xff\xff");
    record_message(cases, "lists in lists", &[0x91; 17_000]);
}
