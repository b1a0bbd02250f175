//! HTTP/1.1 messages: servers read responses; the upstream dependency and the membership service read requests and
//! write responses.

use std::io::Write;
use std::ops::Range;
use std::time::Duration;

/// Maximum length of a head, in bytes. The heads of interim (1xx) responses before a response count towards it.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a body, in bytes. No memory is allocated for a stated `Content-Length`.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of header fields in a head.
const MAX_HEADERS: usize = 64;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head is too long.
    #[error("HTTP head exceeds {} bytes", MAX_HEAD_BYTES)]
    HeadTooLong,
    /// The head is not valid HTTP, or has too many header fields.
    #[error("malformed HTTP head, or more than {} header fields", MAX_HEADERS)]
    InvalidHead,
    /// The response has a `Transfer-Encoding`; bodies have a stated length in this protocol.
    #[error("Transfer-Encoding is not supported")]
    UnsupportedTransferEncoding,
    /// `Content-Length` is given more than once, with different values.
    #[error("conflicting Content-Length values")]
    ConflictingLengths,
    /// `Content-Length` is not a number, or too large.
    #[error("Content-Length is not a number, or exceeds {} bytes", MAX_BODY_BYTES)]
    InvalidLength,
    /// `Content-Length` is missing.
    #[error("Content-Length is missing")]
    MissingLength,
}

/// The head of a response, and the position of its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether `X-Shed: 1` marks the request as rejected without being processed.
    pub shed: bool,
    /// `Retry-After` in whole seconds; a date or an invalid value is ignored.
    pub retry_after: Option<Duration>,
    /// The byte range of the body in the input.
    pub body: Range<usize>,
}

/// Incremental reader of a single response, which may arrive in any number of pieces. Complete heads are parsed only
/// once.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// Total length of the complete heads so far, in bytes.
    parsed_length: usize,
    head: Option<Response>,
}

impl ResponseReader {
    /// Reads from `input`, which holds all bytes received so far. Returns `None` until the response is complete. Bytes
    /// after it are ignored.
    ///
    /// # Errors
    ///
    /// If the input is no valid response, or exceeds a limit.
    pub fn read(&mut self, input: &[u8]) -> Result<Option<Response>, HttpError> {
        while self.head.is_none() {
            let Some(head) = read_response_head(&input[self.parsed_length..])? else {
                // Heads of interim responses are included, so an endless series of them is an error as well.
                return if input.len() <= MAX_HEAD_BYTES { Ok(None) } else { Err(HttpError::HeadTooLong) };
            };
            self.parsed_length += head.length;
            if self.parsed_length > MAX_HEAD_BYTES {
                return Err(HttpError::HeadTooLong);
            }
            let body_start = self.parsed_length;
            self.head = head
                .response
                .map(|response| Response { body: body_start..body_start + response.body.len(), ..response });
        }
        Ok(self.head.clone().filter(|response| response.body.end <= input.len()))
    }
}

struct ResponseHead {
    /// The length of the head, in bytes.
    length: usize,
    /// The response, with a body range that starts at 0; `None` for an interim response.
    response: Option<Response>,
}

fn read_response_head(input: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::InvalidHead),
    };
    let status = parsed.code.unwrap_or_default();
    if status / 100 == 1 {
        return Ok(Some(ResponseHead { length, response: None }));
    }
    let fields = |name: &'static str| {
        let named = parsed.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.trim_ascii())
    };
    if fields("transfer-encoding").next().is_some() {
        return Err(HttpError::UnsupportedTransferEncoding);
    }
    let mut lengths = fields("content-length");
    let body_length = match lengths.next() {
        Some(first) if lengths.any(|other| other != first) => return Err(HttpError::ConflictingLengths),
        Some(text) => parse_body_length(text)?,
        None if status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED => 0,
        None => return Err(HttpError::MissingLength),
    };
    let shed = fields("x-shed").any(|value| value == b"1");
    let retry_after = fields("retry-after").next().and_then(parse_seconds);
    let response = Response { status, shed, retry_after, body: 0..body_length };
    Ok(Some(ResponseHead { length, response: Some(response) }))
}

fn parse_body_length(text: &[u8]) -> Result<usize, HttpError> {
    parse_digits(text).filter(|length| *length <= MAX_BODY_BYTES).ok_or(HttpError::InvalidLength)
}

fn parse_seconds(text: &[u8]) -> Option<Duration> {
    parse_digits(text).map(|seconds| Duration::from_secs(seconds as u64))
}

/// Parses a number that consists of digits only: a sign, or a list such as `3, 3`, is invalid.
fn parse_digits(text: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(text).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok()
}

/// A request to the upstream dependency or the membership service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The length of head and body together, in bytes.
    pub length: usize,
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// `If-None-Match`: the entity tag of the version that the client has, without quotes.
    pub if_none_match: Option<String>,
    /// `Prefer: wait`: how long the response may be held back until there is another version.
    pub wait: Option<Duration>,
    /// `X-Parent-Id`: the id of the attempt that a dependency call is made for.
    pub parent_id: Option<String>,
    /// `X-Budget-Ms`: how long the client waits for the result of a dependency call.
    pub budget: Option<Duration>,
    /// The byte range of the body in the input.
    pub body: Range<usize>,
}

/// Reads one request from the front of `input`. Returns `None` until it is complete.
///
/// # Errors
///
/// If the input is no valid request, or exceeds a limit.
pub fn read_request(input: &[u8]) -> Result<Option<Request>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => return Err(HttpError::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::InvalidHead),
    };
    let field = |name: &str| {
        let named = parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.trim_ascii())
    };
    let length = head + field("content-length").map_or(Ok(0), parse_body_length)?;
    if input.len() < length {
        return Ok(None);
    }
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Ok(Some(Request {
        length,
        method: parsed.method.unwrap_or_default().to_string(),
        path: parsed.path.unwrap_or_default().to_string(),
        if_none_match: field("if-none-match").map(|tag| text(tag.trim_ascii()).trim_matches('"').to_string()),
        wait: field("prefer").and_then(|value| parse_seconds(value.strip_prefix(b"wait=")?)),
        parent_id: field("x-parent-id").map(text),
        budget: field("x-budget-ms").and_then(parse_digits).map(|ms| Duration::from_millis(ms as u64)),
        body: head..length,
    }))
}

/// Writes a response. `shed` marks the request as rejected without being processed; `retry_after` is rounded down to
/// whole seconds.
pub fn write_response(
    output: &mut Vec<u8>,
    status: u16,
    shed: bool,
    retry_after: Option<Duration>,
    body: &[u8],
) {
    let _ = write!(output, "HTTP/1.1 {status} -\r\n");
    if shed {
        let _ = write!(output, "X-Shed: 1\r\n");
    }
    if let Some(delay) = retry_after {
        let _ = write!(output, "Retry-After: {}\r\n", delay.as_secs());
    }
    let _ = write!(output, "Content-Length: {}\r\n\r\n", body.len());
    output.extend(body);
}
