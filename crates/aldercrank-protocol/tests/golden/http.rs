//! HTTP responses and requests: the bytes that the codec writes, and what it reads in them and in other messages.

use crate::text::{escaped, filler, Cases};
use aldercrank_protocol::http::{self, HttpError, Request, Response, ResponseReader};
use std::time::Duration;

type Message = (&'static str, &'static str);

pub fn read_response(bytes: &[u8]) -> Result<Option<Response>, HttpError> {
    ResponseReader::default().read(bytes)
}

fn describe_response(bytes: &[u8], read: Result<Option<Response>, HttpError>) -> String {
    match read {
        Ok(None) => "not whole".to_string(),
        Err(error) => format!("error: {error}"),
        Ok(Some(Response { status, shed, retry_after, body })) => {
            let content = escaped(&bytes[body.clone()]);
            format!(
                "answer status={status} shed={shed} retry-after={retry_after:?} body at {body:?}: {content:?}"
            )
        }
    }
}

/// Records one response: what is read in it as a whole, and when it arrives byte by byte.
fn record_response(cases: &mut Cases, title: &str, bytes: &[u8]) {
    let mut meaning = vec![describe_response(bytes, read_response(bytes))];
    let mut reader = ResponseReader::default();
    let incremental = (0..=bytes.len())
        .map(|length| (length, reader.read(&bytes[..length])))
        .find(|(_, read)| *read != Ok(None));
    meaning.push(match incremental {
        Some((length, read)) => {
            format!("decided with {length} of {}: {}", bytes.len(), describe_response(bytes, read))
        }
        None => "never decided".to_string(),
    });
    cases.case(title, &escaped(bytes), &meaning);
}

/// Describes what is read in a request.
pub fn describe_request(bytes: &[u8]) -> Vec<String> {
    match http::read_request(bytes) {
        Ok(None) => vec!["not whole".to_string()],
        Err(error) => vec![format!("error: {error}")],
        Ok(Some(Request {
            length,
            method,
            path,
            if_none_match: have,
            wait,
            parent_id: parent,
            budget,
            body,
        })) => vec![
            format!("request of {length} bytes: {method} {path:?} body {:?}", escaped(&bytes[body])),
            format!("if-none-match={have:?} wait={wait:?} x-parent-id={parent:?} x-budget-ms={budget:?}"),
        ],
    }
}

/// Records one request: the bytes, what is read in them, and the length of the shortest prefix that suffices for a
/// result.
pub fn record_request(cases: &mut Cases, title: &str, bytes: &[u8]) {
    let mut meaning = describe_request(bytes);
    let decided = (0..=bytes.len()).find(|length| http::read_request(&bytes[..*length]) != Ok(None));
    meaning.push(match decided {
        Some(length) => format!("decided with {length} of {} bytes", bytes.len()),
        None => "never decided".to_string(),
    });
    cases.case(title, &escaped(bytes), &meaning);
}

fn write_encoded_responses(cases: &mut Cases) {
    let responses: [(u16, bool, Option<u64>, &[u8]); 9] = [
        (200, false, None, b"done\r\n\x00\xff"),
        (200, false, None, b""),
        (204, false, None, b""),
        (304, false, None, b""),
        (400, false, None, b"why"),
        (409, true, None, b""),
        (503, true, Some(0), b""),
        (503, true, Some(1_999), b"later"),
        (504, false, Some(86_400_000), b""),
    ];
    for (status, shed, retry_after, body) in responses {
        let mut bytes = Vec::new();
        http::write_response(&mut bytes, status, shed, retry_after.map(Duration::from_millis), body);
        record_response(cases, &format!("{status}, shed {shed}, retry after {retry_after:?} ms"), &bytes);
    }
}

const RESPONSES: [Message; 44] = [
    ("names in small letters", "HTTP/1.1 503 no\r\nx-shed: 1\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n"),
    ("names in capitals", "HTTP/1.1 503 no\r\nX-SHED: 1\r\nRETRY-AFTER: 2\r\nCONTENT-LENGTH: 0\r\n\r\n"),
    ("spaces around values", "HTTP/1.1 503 no\r\nX-Shed:  1 \r\nRetry-After:\t2\t\r\nContent-Length:   1  \r\n\r\nb"),
    ("no spaces", "HTTP/1.1 503 no\r\nX-Shed:1\r\nRetry-After:2\r\nContent-Length:1\r\n\r\nb"),
    ("no reason", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"),
    ("an empty reason", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n"),
    ("a reason of several words", "HTTP/1.1 404 Not Found Here\r\nContent-Length: 0\r\n\r\n"),
    ("HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nb"),
    ("HTTP/2", "HTTP/2 200 OK\r\nContent-Length: 1\r\n\r\nb"),
    ("line ends of one byte", "HTTP/1.1 200 OK\nContent-Length: 1\n\nb"),
    ("unknown fields", "HTTP/1.1 200 OK\r\nServer: x\r\nDate: y\r\nContent-Length: 1\r\n\r\nb"),
    ("shed 0", "HTTP/1.1 503 no\r\nX-Shed: 0\r\nContent-Length: 0\r\n\r\n"),
    ("shed true", "HTTP/1.1 503 no\r\nX-Shed: true\r\nContent-Length: 0\r\n\r\n"),
    ("shed 0 and 1", "HTTP/1.1 503 no\r\nX-Shed: 0\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"),
    ("retry after a date", "HTTP/1.1 503 no\r\nRetry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\nContent-Length: 0\r\n\r\n"),
    ("retry after a fraction", "HTTP/1.1 503 no\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n"),
    ("retry after less than none", "HTTP/1.1 503 no\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n"),
    ("retry after two", "HTTP/1.1 503 no\r\nRetry-After: 3\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n"),
    ("retry after nothing", "HTTP/1.1 503 no\r\nRetry-After:\r\nContent-Length: 0\r\n\r\n"),
    ("retry after too much", "HTTP/1.1 503 no\r\nRetry-After: 18446744073709551616\r\nContent-Length: 0\r\n\r\n"),
    ("a length with zeros in front", "HTTP/1.1 200 OK\r\nContent-Length: 0001\r\n\r\nb"),
    ("the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nb"),
    ("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nbb"),
    ("two lengths that differ in form", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 01\r\n\r\nb"),
    ("a list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\nb"),
    ("a length with a plus", "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nb"),
    ("a length below zero", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nb"),
    ("a length of nothing", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nb"),
    ("a length over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"),
    ("a length over all", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"),
    ("no length", "HTTP/1.1 200 OK\r\n\r\n"),
    ("204 without a length", "HTTP/1.1 204 -\r\n\r\n"),
    ("304 without a length", "HTTP/1.1 304 -\r\n\r\n"),
    ("a body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"),
    ("a body in chunks with a length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nb"),
    ("100 in between", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"),
    ("103 twice in between", "HTTP/1.1 103 -\r\nLink: x\r\n\r\nHTTP/1.1 103 -\r\n\r\nHTTP/1.1 503 -\r\nX-Shed: 1\r\nContent-Length: 2\r\n\r\nbc"),
    ("100 alone", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("more behind the answer", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nbHTTP/1.1 500 -\r\n"),
    ("a body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nb"),
    ("a head cut short", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"),
    ("a status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n"),
    ("a status of 999", "HTTP/1.1 999 -\r\nContent-Length: 0\r\n\r\n"),
    ("something else", "+PONG\r\n\r\n"),
];

const REQUESTS: [Message; 26] = [
    ("a read", "GET /rules HTTP/1.1\r\nHost: h\r\n\r\n"),
    ("a read with a tag and a wait", "GET /rules HTTP/1.1\r\nIf-None-Match: \"12\"\r\nPrefer: wait=20\r\n\r\n"),
    ("a tag without quotes", "GET /rules HTTP/1.1\r\nIf-None-Match:  12 \r\n\r\n"),
    ("a weak tag", "GET /rules HTTP/1.1\r\nIf-None-Match: W/\"12\"\r\n\r\n"),
    ("an empty tag", "GET /rules HTTP/1.1\r\nIf-None-Match: \"\"\r\n\r\n"),
    ("another preference", "GET /rules HTTP/1.1\r\nPrefer: respond-async\r\n\r\n"),
    ("a wait among others", "GET /rules HTTP/1.1\r\nPrefer: respond-async, wait=20\r\n\r\n"),
    ("a wait with a fraction", "GET /rules HTTP/1.1\r\nPrefer: wait=1.5\r\n\r\n"),
    ("a wait of nothing", "GET /rules HTTP/1.1\r\nPrefer: wait=\r\n\r\n"),
    ("a wait in capitals", "GET /rules HTTP/1.1\r\nPrefer: WAIT=20\r\n\r\n"),
    ("a call", "POST /lookup HTTP/1.1\r\nX-Parent-Id: 0123456789abcdef\r\nX-Budget-Ms: 80\r\nContent-Length: 2\r\n\r\nab"),
    ("names in small letters", "POST /lookup HTTP/1.1\r\nx-parent-id: p\r\nx-budget-ms: 80\r\ncontent-length: 2\r\n\r\nab"),
    ("a budget that is no number", "POST /lookup HTTP/1.1\r\nX-Budget-Ms: soon\r\n\r\n"),
    ("a budget below zero", "POST /lookup HTTP/1.1\r\nX-Budget-Ms: -1\r\n\r\n"),
    ("a field twice: the first", "POST /lookup HTTP/1.1\r\nX-Budget-Ms: 1\r\nX-Budget-Ms: 2\r\n\r\n"),
    ("more behind the request", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
    ("HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n"),
    ("an unknown method", "BREW /pot HTTP/1.1\r\n\r\n"),
    ("a query", "GET /a?b=c%20d HTTP/1.1\r\n\r\n"),
    ("an empty line in front", "\r\nGET /a HTTP/1.1\r\n\r\n"),
    ("a length that is no number", "PUT /a HTTP/1.1\r\nContent-Length: x\r\n\r\n"),
    ("a length over the limit", "PUT /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
    ("a body cut short", "PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nb"),
    ("a head cut short", "PUT /a HTTP/1.1\r\nContent-Length: 2\r\n"),
    ("no path", "GET HTTP/1.1\r\n\r\n"),
    ("something else", "\u{1}\u{2}\r\n\r\n"),
];

/// A message without a body whose head has this length, padded by its last field.
fn head_of_length(start_line: &str, length: usize) -> Vec<u8> {
    let head = format!("{start_line}\r\nContent-Length: 0\r\nX-Filler: ");
    [head.as_bytes(), &filler(length - head.len() - 4), b"\r\n\r\n"].concat()
}

/// A message without a body that has this number of header fields.
fn head_with_fields(start_line: &str, count: usize) -> Vec<u8> {
    format!("{start_line}\r\nContent-Length: 0\r\n{}\r\n", "X-A: b\r\n".repeat(count - 1)).into_bytes()
}

fn write_long_responses(cases: &mut Cases) {
    cases.section("long heads and bodies");
    let status = "HTTP/1.1 200 OK";
    for length in [8_192, 8_193] {
        record_response(cases, &format!("a head of {length} bytes"), &head_of_length(status, length));
        record_response(
            cases,
            &format!("{length} bytes of a longer head"),
            &head_of_length(status, 9_000)[..length],
        );
    }
    for count in [64, 65] {
        record_response(cases, &format!("{count} fields"), &head_with_fields(status, count));
    }
    let interim = "HTTP/1.1 100 -\r\n\r\n".repeat(500);
    record_response(cases, "words in between without end", interim.as_bytes());
    let longest = message_with_longest_body(status);
    cases.case(
        "the longest body",
        &escaped(&longest),
        &[describe_response(&longest, read_response(&longest))],
    );
}

fn write_long_requests(cases: &mut Cases) {
    cases.section("long heads and bodies");
    let line = "GET /a HTTP/1.1";
    for length in [8_192, 8_193] {
        record_request(cases, &format!("a head of {length} bytes"), &head_of_length(line, length));
        record_request(
            cases,
            &format!("{length} bytes of a longer head"),
            &head_of_length(line, 9_000)[..length],
        );
    }
    for count in [64, 65] {
        record_request(cases, &format!("{count} fields"), &head_with_fields(line, count));
    }
    let longest = message_with_longest_body(line);
    cases.case("the longest body", &escaped(&longest), &describe_request(&longest));
}

fn message_with_longest_body(start_line: &str) -> Vec<u8> {
    [start_line.as_bytes(), b"\r\nContent-Length: 65536\r\n\r\n", &filler(65_536)].concat()
}

pub fn write_responses(cases: &mut Cases) {
    cases.section("answers, as we write them");
    write_encoded_responses(cases);
    cases.section("answers, in other forms and malformed");
    for (title, text) in RESPONSES {
        record_response(cases, title, text.as_bytes());
    }
    write_long_responses(cases);
}

pub fn write_requests(cases: &mut Cases) {
    cases.section("requests, in other forms and malformed");
    for (title, text) in REQUESTS {
        record_request(cases, title, text.as_bytes());
    }
    record_request(cases, "a parent that is not UTF-8", b"POST /a HTTP/1.1\r\nX-Parent-Id: \xff\r\n\r\n");
    write_long_requests(cases);
}
