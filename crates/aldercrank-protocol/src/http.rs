//! Answers in HTTP/1.1, apart from sockets.

use std::ops::Range;

/// The longest that heads may be, those of words in between counted in; and the longest body. Nothing is set
/// aside for a length that is only claimed.
const HEAD: usize = 8 * 1024;
const BODY: usize = 64 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// Marked as turned away unexamined.
    pub shed: bool,
    /// When to come back, where it says so in whole seconds; a date, or nonsense, says nothing.
    pub retry_after: Option<std::time::Duration>,
    pub body: Range<usize>,
}

/// Reads one answer, however it is cut: a head that has been read is not read again.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// Where the answer's own head begins, behind the words in between.
    at: usize,
    head: Option<Response>,
}

impl ResponseReader {
    /// `buf` holds all that has come so far: nothing while the answer is not whole, an error where it can't be
    /// read. What stands behind it is nobody's.
    pub fn read(&mut self, buf: &[u8]) -> Result<Option<Response>, &'static str> {
        while self.head.is_none() {
            let Some((length, reply)) = head(&buf[self.at..])? else {
                // Words in between without end are a head without end.
                return if buf.len() <= HEAD { Ok(None) } else { Err("a head over the limit") };
            };
            self.at += length;
            if self.at > HEAD {
                return Err("a head over the limit");
            }
            let own = |r: Response| Response { body: self.at..self.at + r.body.len(), ..r };
            self.head = reply.map(own);
        }
        Ok(self.head.clone().filter(|reply| reply.body.end <= buf.len()))
    }
}

/// A head's length and what it says; without the latter it is a word in between, and the answer follows.
fn head(buf: &[u8]) -> Result<Option<(usize, Option<Response>)>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut answer = httparse::Response::new(&mut headers);
    let head = match answer.parse(buf) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("not HTTP"),
    };
    let status = answer.code.unwrap_or_default();
    if status / 100 == 1 {
        return Ok(Some((head, None)));
    }
    let fields = |name: &'static str| {
        let named = answer.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value.trim_ascii())
    };
    if fields("transfer-encoding").next().is_some() {
        return Err("a body in chunks");
    }
    let mut lengths = fields("content-length");
    let length = match lengths.next() {
        Some(first) if lengths.any(|other| other != first) => return Err("lengths that differ"),
        Some(text) => number(text).filter(|n| *n <= BODY).ok_or("a length that makes no sense")?,
        None if status == 204 || status == 304 => 0,
        None => return Err("a body of no length"),
    };
    let shed = fields("x-shed").any(|v| v == b"1");
    let retry_after =
        fields("retry-after").next().and_then(number).map(|s| std::time::Duration::from_secs(s as u64));
    Ok(Some((head, Some(Response { status, shed, retry_after, body: 0..length }))))
}

/// Digits alone: no sign, no list.
fn number(text: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(text).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok()
}

/// A question, as the other end hears it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The whole question's length.
    pub length: usize,
    pub method: String,
    pub path: String,
    /// The tag of what the other end has already, and how long it would wait for something else.
    pub have: Option<String>,
    pub wait: Option<std::time::Duration>,
    /// The txn that a call is made for, and how long it is waited for.
    pub parent: Option<String>,
    pub budget: Option<std::time::Duration>,
    pub body: Range<usize>,
}

/// Reads one question off the front: nothing while it is not whole.
pub fn read_request(buf: &[u8]) -> Result<Option<Request>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut asked = httparse::Request::new(&mut headers);
    let head = match asked.parse(buf) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if buf.len() > HEAD => return Err("a head over the limit"),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("not HTTP"),
    };
    let field = |name: &str| {
        let named = asked.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value.trim_ascii())
    };
    let length = match field("content-length") {
        Some(text) => number(text).filter(|n| *n <= BODY).ok_or("a length that makes no sense")?,
        None => 0,
    };
    if buf.len() < head + length {
        return Ok(None);
    }
    let words = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let secs = std::time::Duration::from_secs;
    Ok(Some(Request {
        length: head + length,
        method: asked.method.unwrap_or_default().to_string(),
        path: asked.path.unwrap_or_default().to_string(),
        have: field("if-none-match").map(|tag| words(tag.trim_ascii()).trim_matches('"').to_string()),
        wait: field("prefer").and_then(|p| number(p.strip_prefix(b"wait=")?)).map(|s| secs(s as u64)),
        parent: field("x-parent-id").map(words),
        budget: field("x-budget-ms").and_then(number).map(|ms| std::time::Duration::from_millis(ms as u64)),
        body: head..head + length,
    }))
}

/// Says an answer. `shed` marks it as turned away unexamined; `retry_after` says when to come again.
pub fn write_response(
    into: &mut Vec<u8>,
    status: u16,
    shed: bool,
    retry_after: Option<std::time::Duration>,
    body: &[u8],
) {
    use std::io::Write;
    let _ = write!(into, "HTTP/1.1 {status} -\r\n");
    if shed {
        let _ = write!(into, "X-Shed: 1\r\n");
    }
    if let Some(span) = retry_after {
        let _ = write!(into, "Retry-After: {}\r\n", span.as_secs());
    }
    let _ = write!(into, "Content-Length: {}\r\n\r\n", body.len());
    into.extend(body);
}
