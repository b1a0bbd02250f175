//! HTTP/1.1 messages: responses as a server reads them, and requests as the other end does.

use std::io::Write;
use std::ops::Range;
use std::time::Duration;

/// The longest head, including those of interim responses, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body, in bytes. No memory is allocated for a length that is only stated.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Header fields that are read at most.
const MAX_HEADERS: usize = 64;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head is too long.
    #[error("a head over the limit")]
    HeadTooLong,
    /// The head is no valid HTTP.
    #[error("not HTTP")]
    NotHttp,
    /// The body is chunked, which this protocol does not use.
    #[error("a body in chunks")]
    ChunkedBody,
    /// `Content-Length` is given more than once, with different values.
    #[error("lengths that differ")]
    ConflictingLengths,
    /// `Content-Length` is no number, or too large.
    #[error("a length that makes no sense")]
    InvalidLength,
    /// `Content-Length` is missing.
    #[error("a body of no length")]
    MissingLength,
}

/// The head of a response, and where its body lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the response is marked as rejected without being processed.
    pub shed: bool,
    /// `Retry-After`, if it is given in whole seconds; a date or an invalid value is ignored.
    pub retry_after: Option<Duration>,
    /// Where the body lies in the input.
    pub body: Range<usize>,
}

/// Reads one response, however its bytes are split. A head that has been read is not read again.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// Where the final response's head begins, behind interim responses.
    head_start: usize,
    head: Option<Response>,
}

impl ResponseReader {
    /// Reads from `input`, which holds all bytes received so far. Returns `None` until the response is complete. Bytes
    /// behind it are ignored.
    ///
    /// # Errors
    ///
    /// If the input is no valid response, or exceeds a limit.
    pub fn read(&mut self, input: &[u8]) -> Result<Option<Response>, HttpError> {
        while self.head.is_none() {
            let Some(head) = read_response_head(&input[self.head_start..])? else {
                // Interim responses without end count as a head without end.
                return if input.len() <= MAX_HEAD_BYTES { Ok(None) } else { Err(HttpError::HeadTooLong) };
            };
            self.head_start += head.length;
            if self.head_start > MAX_HEAD_BYTES {
                return Err(HttpError::HeadTooLong);
            }
            let body_start = self.head_start;
            self.head = head
                .response
                .map(|response| Response { body: body_start..body_start + response.body.len(), ..response });
        }
        Ok(self.head.clone().filter(|response| response.body.end <= input.len()))
    }
}

/// A head that was read.
struct ResponseHead {
    /// Its length in bytes.
    length: usize,
    /// The response, with a body that starts at zero; `None` for an interim response, which another one follows.
    response: Option<Response>,
}

fn read_response_head(input: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::NotHttp),
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
        return Err(HttpError::ChunkedBody);
    }
    let mut lengths = fields("content-length");
    let body_length = match lengths.next() {
        Some(first) if lengths.any(|other| other != first) => return Err(HttpError::ConflictingLengths),
        Some(text) => body_length(text)?,
        None if status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED => 0,
        None => return Err(HttpError::MissingLength),
    };
    let shed = fields("x-shed").any(|value| value == b"1");
    let retry_after = fields("retry-after").next().and_then(seconds);
    let response = Response { status, shed, retry_after, body: 0..body_length };
    Ok(Some(ResponseHead { length, response: Some(response) }))
}

fn body_length(text: &[u8]) -> Result<usize, HttpError> {
    number(text).filter(|length| *length <= MAX_BODY_BYTES).ok_or(HttpError::InvalidLength)
}

fn seconds(text: &[u8]) -> Option<Duration> {
    number(text).map(|seconds| Duration::from_secs(seconds as u64))
}

/// A number of digits alone: without a sign, and no list.
fn number(text: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(text).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok()
}

/// A request as the other end reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The length of head and body, in bytes.
    pub length: usize,
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The entity tag of what the client has already.
    pub have: Option<String>,
    /// How long the client would wait for something else.
    pub wait: Option<Duration>,
    /// The id of the request that a dependency call is made for.
    pub parent: Option<String>,
    /// How long the client waits for the result of a dependency call.
    pub budget: Option<Duration>,
    /// Where the body lies in the input.
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
        Err(_) => return Err(HttpError::NotHttp),
    };
    let field = |name: &str| {
        let named = parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.trim_ascii())
    };
    let length = head + field("content-length").map_or(Ok(0), body_length)?;
    if input.len() < length {
        return Ok(None);
    }
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Ok(Some(Request {
        length,
        method: parsed.method.unwrap_or_default().to_string(),
        path: parsed.path.unwrap_or_default().to_string(),
        have: field("if-none-match").map(|tag| text(tag.trim_ascii()).trim_matches('"').to_string()),
        wait: field("prefer").and_then(|value| seconds(value.strip_prefix(b"wait=")?)),
        parent: field("x-parent-id").map(text),
        budget: field("x-budget-ms").and_then(number).map(|ms| Duration::from_millis(ms as u64)),
        body: head..length,
    }))
}

/// Writes a response. `shed` marks it as rejected without being processed; `retry_after` is rounded down to seconds.
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
    if let Some(span) = retry_after {
        let _ = write!(output, "Retry-After: {}\r\n", span.as_secs());
    }
    let _ = write!(output, "Content-Length: {}\r\n\r\n", body.len());
    output.extend(body);
}
